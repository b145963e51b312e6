package willowdoor.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The quiet time before a connection is used again follows what backends have sent unasked. */
class ReuseGuardTest {

  private static final int MANY = 1_000;
  private final ReuseGuard guard = new ReuseGuard();

  private void stayQuiet() {
    for (int i = 0; i < MANY; i++) {
      guard.onQuiet();
    }
  }

  @Test
  void itIsShortOnlyAfterManyConnectionsThatStayedQuiet() {
    assertTrue(guard.quietMs(0) >= 20);
    stayQuiet();
    assertTrue(guard.quietMs(0) <= 5);
  }

  @Test
  void itExceedsTheLatestCopyAndForgetsIt() {
    stayQuiet();
    guard.onUnsolicited(0, 40);
    assertTrue(guard.quietMs(30_000) > 80);
    guard.onUnsolicited(30_000, 1);
    assertTrue(guard.quietMs(31_000) > 80, "the longest delay counts");
    assertTrue(guard.quietMs(200_000) < 40);
    guard.onUnsolicited(200_000, 60_000);
    assertTrue(guard.quietMs(200_000) <= 200, "bounded");
  }
}
