package willowdoor.daemon.life;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import willowdoor.policy.LearnedState;

/** Pins the lines of a handover as an earlier build wrote them: old and new processes replace each other. */
class PinnedHandoverFormsTest {

  @Test
  void learnedLinesAreReadAndWrittenAsBefore() throws IOException {
    List<String> lines;
    try (InputStream in = getClass().getResourceAsStream("/pinned/learned.txt")) {
      lines = new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
    }
    LearnedStateLines reader = new LearnedStateLines();
    LearnedState whole = null;
    for (String line : lines) {
      whole = reader.read(line);
    }
    assertEquals(lines, LearnedStateLines.encode(whole));
  }

  @Test
  void wordsOfTheHandoverAreThoseOfBefore() {
    assertEquals(List.of("1", "takeover", "handing", "refused", "send", "ready", "ready learned", "yours"),
        List.of(HandoverProtocol.VERSION, HandoverProtocol.TAKE_OVER, HandoverProtocol.HANDING,
        HandoverProtocol.REFUSED, HandoverProtocol.SEND,
            HandoverProtocol.READY, HandoverProtocol.READY_FOR_LEARNED_STATE, HandoverProtocol.CONFIRMED));
  }
}
