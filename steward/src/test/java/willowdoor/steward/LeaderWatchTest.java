package willowdoor.steward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.junit.jupiter.api.Test;

class LeaderWatchTest {

  private final LeaderWatch watch = new LeaderWatch();

  private int looksUntilAnew() {
    for (int looks = 1; looks <= 2 * LeaderWatch.MOST_SILENT_LOOKS; looks++) {
      if (watch.look(true)) {
        return looks;
      }
    }
    return -1;
  }

  @Test
  void aLeaderThatIsNamedAndSilentIsGivenUp() {
    assertEquals(LeaderWatch.SILENT_LOOKS, looksUntilAnew());
  }

  @Test
  void aWordBeginsTheCountAnew() {
    for (int i = 0; i < 100; i++) {
      assertFalse(watch.look(true));
      if (i % (LeaderWatch.SILENT_LOOKS - 1) == 0) {
        watch.heard();
      }
    }
  }

  /** Who leads, or knows that there is no leader, goes on by the library's own votes. */
  @Test
  void whereNobodyIsNamedNothingIsBegunAnew() {
    for (int i = 0; i < 1_000; i++) {
      assertFalse(watch.look(i % LeaderWatch.SILENT_LOOKS != 0));
    }
  }

  /** One that no leader ever tells anything, as it was put out, must not read its disk each 2 s. */
  @Test
  void whereItBringsNothingItIsTriedMoreSeldom() {
    assertEquals(10, looksUntilAnew());
    assertEquals(20, looksUntilAnew());
    int last = 0;
    for (int i = 0; i < 8; i++) {
      last = looksUntilAnew();
    }
    assertEquals(LeaderWatch.MOST_SILENT_LOOKS, last);
    watch.heard();
    assertEquals(LeaderWatch.SILENT_LOOKS, looksUntilAnew());
  }
}
