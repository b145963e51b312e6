package willowdoor.net;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Unread input of a client is waited for while it is read, and for a limited time. */
class UnreadInputTest {

  private final UnreadInput input = new UnreadInput();

  @Test
  void aTurnThatLeavesNothingEndsTheWait() {
    assertFalse(input.mayExist(0));
    input.onTurnEnd(1, true);
    assertTrue(input.mayExist(1));
    input.onTurnEnd(2, false);
    assertFalse(input.mayExist(6));
  }

  /** Guards against a wait of the whole limit where the last read of a turn was the last there is. */
  @Test
  void anIntervalWithoutReadsEndsTheWait() {
    input.onTurnEnd(1, true);
    assertTrue(input.mayExist(1));
    assertFalse(input.mayExist(6));
    assertFalse(input.mayExist(7));
  }

  @Test
  void aClientThatWritesWithoutEndIsWaitedForALimitedTime() {
    for (int t = 1; t <= 100; t += 5) {
      input.onTurnEnd(t, true);
      assertTrue(input.mayExist(t));
    }
    input.onTurnEnd(101, true);
    assertFalse(input.mayExist(101));
  }
}
