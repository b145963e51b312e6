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

  /** Who leads, or knows that there is no leader, goes on by the library's own votes. */
  @Test
  void noRestartWithoutKnownLeader() {
    for (int i = 0; i < 1_000; i++) {
      assertFalse(watch.check(i % LeaderWatch.SILENT_CHECKS != 0));
    }
  }

  /** One that no leader ever tells anything, as it was put out, must not read its disk each 2 s. */
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
