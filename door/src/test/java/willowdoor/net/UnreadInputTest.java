package willowdoor.net;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Unread input of a client is waited for until its connection is quiet. */
class UnreadInputTest {

  private static final int MUCH = 16_384;

  private final UnreadInput input = new UnreadInput();
  /** When the newest bytes came to the kernel. */
  private double arrivedMs;

  private boolean mayExist(double nowMs, boolean inputBehind) {
    return input.mayExist(nowMs, inputBehind, () -> nowMs - arrivedMs);
  }

  @Test
  void aShortRequestIsNotDelayed() {
    assertFalse(mayExist(0, false));
    input.onTurnEnd(1, 300, false);
    assertFalse(mayExist(1, true));
  }

  /** Guards against a delay of each long request, whose last byte ends the turn. */
  @Test
  void aLongRequestAloneIsNotDelayed() {
    input.onTurnEnd(1, MUCH, true);
    assertTrue(mayExist(1, false));
    input.onTurnEnd(2, 700, false);
    assertFalse(mayExist(2, false));
  }

  /** Guards against an empty receive queue taken for the end of all input: the sender holds more. */
  @Test
  void aTurnThatLeavesNothingIsNoEndOfMuchInput() {
    input.onTurnEnd(1, MUCH, true);
    arrivedMs = 2;
    input.onTurnEnd(2, 13_000, false);
    assertTrue(mayExist(2, true));
    assertTrue(mayExist(21, true));
    assertFalse(mayExist(22, true));
    assertFalse(mayExist(23, true));
  }

  /** Guards against a wait without end where the last read of a turn was the last there is. */
  @Test
  void quietEndsTheWaitOfATurnThatWasCutShort() {
    input.onTurnEnd(1, MUCH, true);
    assertTrue(mayExist(1, false));
    assertTrue(mayExist(20, false));
    assertFalse(mayExist(21, false));
  }

  /** Guards against a wait without end where the system does not tell when input arrived. */
  @Test
  void aTimeOfArrivalThatLeadsToNoReadIsNotBelieved() {
    input.onTurnEnd(1, MUCH, false);
    int checks = 0;
    for (arrivedMs = 30; mayExist(arrivedMs, false); arrivedMs += UnreadInput.CHECK_INTERVAL_MS) {
      checks++;
    }
    assertTrue(checks > 1 && checks < 10, checks + " checks");
  }

  /** Guards against a pause taken for silence: the receive queue may have filled up meanwhile. */
  @Test
  void aPauseIsNoQuiet() {
    input.onReadingPaused();
    input.onTurnEnd(1, MUCH, true);
    assertTrue(mayExist(30, false));
    input.onReadingResumed(31);
    arrivedMs = 1;
    assertTrue(mayExist(32, false));
    input.onTurnEnd(33, 700, false);
    assertFalse(mayExist(33, false));
  }

  @Test
  void aClientThatWritesWithoutEndIsWaitedFor() {
    for (int t = 1; t <= 1_000; t += 5) {
      input.onTurnEnd(t, MUCH, true);
      assertTrue(mayExist(t, false));
    }
  }

  /** Guards against a loop that was held up and has not read what came meanwhile. */
  @Test
  void whatArrivedSinceTheLastReadIsUnread() {
    input.onTurnEnd(1, MUCH, false);
    arrivedMs = 60;
    assertTrue(mayExist(100, false));
    input.onTurnEnd(101, 700, false);
    assertFalse(mayExist(101, false));
  }
}
