package willowdoor.steward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.junit.jupiter.api.Test;

class LeaderWatchTest {

  private final LeaderWatch watch = new LeaderWatch();

  private int checksUntilRestart() {
    for (int looks = 1; looks <= 2 * LeaderWatch.MAX_SILENT_CHECKS; looks++) {
      if (watch.check(true)) {
        return looks;
      }
    }
    return -1;
  }

  @Test
  void silentLeaderCausesRestart() {
    assertEquals(LeaderWatch.SILENT_CHECKS, checksUntilRestart());
  }

  @Test
  void leaderMessageResetsCount() {
    for (int i = 0; i < 100; i++) {
      assertFalse(watch.check(true));
      if (i % (LeaderWatch.SILENT_CHECKS - 1) == 0) {
        watch.leaderHeard();
      }
    }
  }

  /** A leader, or a node without a known leader, relies on the library's own elections. */
  @Test
  void noRestartWithoutKnownLeader() {
    for (int i = 0; i < 1_000; i++) {
      assertFalse(watch.check(i % LeaderWatch.SILENT_CHECKS != 0));
    }
  }

  /** A removed steward, which no leader contacts, must not reread its disk every 2 s. */
  @Test
  void fruitlessRestartsBackOff() {
    assertEquals(10, checksUntilRestart());
    assertEquals(20, checksUntilRestart());
    int last = 0;
    for (int i = 0; i < 8; i++) {
      last = checksUntilRestart();
    }
    assertEquals(LeaderWatch.MAX_SILENT_CHECKS, last);
    watch.leaderHeard();
    assertEquals(LeaderWatch.SILENT_CHECKS, checksUntilRestart());
  }
}
