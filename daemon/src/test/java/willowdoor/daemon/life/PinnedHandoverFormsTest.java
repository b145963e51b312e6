package willowdoor.daemon.life;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import willowdoor.policy.Learned;

/** Pins the lines of a handover as an earlier build wrote them: old and new processes replace each other. */
class PinnedHandoverFormsTest {

  @Test
  void learnedLinesAreReadAndWrittenAsBefore() throws IOException {
    List<String> lines;
    try (InputStream in = getClass().getResourceAsStream("/pinned/learned.txt")) {
      lines = new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
    }
    LearnedLines reader = new LearnedLines();
    Learned whole = null;
    for (String line : lines) {
      whole = reader.next(line);
    }
    assertEquals(lines, LearnedLines.of(whole));
  }

  @Test
  void wordsOfTheHandoverAreThoseOfBefore() {
    assertEquals(List.of("1", "takeover", "handing", "refused", "send", "ready", "ready learned", "yours"),
        List.of(Handover.VERSION, Handover.TAKE_OVER, Handover.HANDING, Handover.REFUSED, Handover.SEND,
            Handover.READY, Handover.READY_TO_LEARN, Handover.YOURS));
  }
}
