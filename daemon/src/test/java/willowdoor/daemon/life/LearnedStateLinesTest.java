package willowdoor.daemon.life;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import willowdoor.policy.LearnedState;

class LearnedStateLinesTest {

  private static final LearnedState LEARNED = new LearnedState(51.5, 1.25, 3,
      List.of(new LearnedState.ClassServiceTime("a class, 100%", 12, 1.5, 60, 3, 90)),
      List.of(new LearnedState.LearnedBackend(-5, Double.NaN, 0, 12, 0, 0, false, -0.5),
          new LearnedState.LearnedBackend(7, 2.5, 0.75, 3, 250, 2, true, 0.25)),
      List.of(new LearnedState.PendingAdd(-42, "plan b", 3, 1_790_000_000L, -2.5)));

  private static LearnedState read(List<String> lines) throws IOException {
    LearnedStateLines reader = new LearnedStateLines();
    LearnedState whole = null;
    for (String line : lines) {
      whole = reader.read(line);
    }
    return whole;
  }

  @Test
  void roundTrips() throws Exception {
    assertEquals(LEARNED, read(LearnedStateLines.encode(LEARNED)));
  }

  @Test
  void incompleteStateIsRejected() throws Exception {
    List<String> lines = LearnedStateLines.encode(LEARNED);
    assertEquals(null, read(lines.subList(0, lines.size() - 1)));
    List<String> holed = new java.util.ArrayList<>(lines);
    holed.remove(1);
    assertTrue(assertThrows(IOException.class, () -> read(holed)).getMessage().contains("not whole"));
  }

  @Test
  void malformedLinesAreRejected() {
    for (String bad : List.of("learned", "learned all 1 2", "learned all -1 1 1", "learned all NaN 1 1",
        "learned all 1e300 1 1", "learned backend xyz 1 1 1 1 1 true 1",
        "learned backend 1 1 1 1 1 1.5 true 1",
        "learned owed 1 %zz 1 1 1", "learned class x 1 2 3", "learned end 7")) {
      assertThrows(IOException.class, () -> read(List.of(bad)), bad);
    }
  }

  @Test
  void unknownKindsAreIgnored() throws Exception {
    List<String> lines = new java.util.ArrayList<>(LearnedStateLines.encode(LEARNED));
    lines.add(1, "learned weather fine");
    lines.set(lines.size() - 1, "learned end " + (lines.size() - 1));
    assertEquals(LEARNED, read(lines));
  }

  @Test
  void tooManyLinesAreRejected() {
    LearnedStateLines reader = new LearnedStateLines();
    assertTrue(assertThrows(IOException.class, () -> {
      for (int i = 0; i < 100_000; i++) {
        reader.read("learned class x 1 1 1 1 1");
      }
    }).getMessage().contains("more than"));
  }
}
