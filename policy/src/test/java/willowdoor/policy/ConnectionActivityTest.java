package willowdoor.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Which connections of clients may be closed, and which of them first. */
class ConnectionActivityTest {

  private static final double LONG_MS = 60_000;

  private static ConnectionActivity quiet(boolean hasSentRequest, double quietMs) {
    return new ConnectionActivity(false, false, false, hasSentRequest, quietMs);
  }

  /** Guards against a connection that is closed while a request arrives, handled or answered on it. */
  @Test
  void aConnectionInUseIsNeverIdle() {
    for (boolean seen : new boolean[] {false, true}) {
      for (ConnectionActivity used : List.of(
          new ConnectionActivity(true, false, false, seen, LONG_MS),
          new ConnectionActivity(false, true, false, seen, LONG_MS),
          new ConnectionActivity(false, false, true, seen, LONG_MS))) {
        assertFalse(used.isIdle() || used.mayBeEvicted() || used.isIdleFor(0), used.toString());
      }
      assertTrue(quiet(seen, LONG_MS).isIdle());
    }
  }

  @Test
  void aNewConnectionIsGivenTimeForItsFirstRequest() {
    assertFalse(quiet(false, 299).mayBeEvicted());
    assertFalse(quiet(false, 299).isIdleFor(0));
    assertTrue(quiet(false, 301).mayBeEvicted());
    assertTrue(quiet(true, 0).isIdleFor(0));
    assertFalse(quiet(true, 2_000).mayBeEvicted());
    assertTrue(quiet(true, 2_100).mayBeEvicted());
  }

  @Test
  void thoseThatNeverSentARequestAreEvictedFirst() {
    List<ConnectionActivity> order = Stream.of(quiet(true, LONG_MS), quiet(false, 400), quiet(true, 3_000),
        quiet(false, 500)).sorted(ConnectionActivity.EVICTION_ORDER).toList();
    assertEquals(List.of(quiet(false, 500), quiet(false, 400), quiet(true, LONG_MS), quiet(true, 3_000)),
        order);
  }
}
