package willowdoor.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Ids of requests that have begun are kept while their request may come again, within a bound. */
class BegunRequestsTest {

  private final BegunRequests begun = new BegunRequests();

  @Test
  void anIdIsKeptBeyondItsDeadlineAndThenDropped() {
    begun.add(0, "r1", 1_000);
    assertTrue(begun.contains(1_500, "r1"));
    assertFalse(begun.contains(1_500, "r2"));
    assertFalse(begun.contains(60_000, "r1"));
    assertEquals(List.of(), begun.ids(60_000));
  }

  /** Guards against an id that two processes run, as each takes the claim of the other for nothing. */
  @Test
  void ofTwoProcessesThatHoldAnIdTheFirstRunsIt() {
    assertFalse(begun.confirmClaim(0, "r1", 1_000, true), "held by the first process");
    BegunRequests atSecond = new BegunRequests();
    assertTrue(atSecond.confirmClaim(0, "r1", 1_000, false), "held by the second process, not begun");
    assertTrue(atSecond.contains(1, "r1"), "it doesn't begin there any more");
  }

  @Test
  void aClaimThatComesAgainIsConfirmedAgainWhileItsProcessRuns() {
    assertTrue(begun.confirmClaim(0, "r1", 1_000, false));
    assertTrue(begun.confirmClaim(10, "r1", 1_000, false));
    begun.onOtherEnded();
    assertFalse(begun.confirmClaim(20, "r1", 1_000, false), "a third process");
  }

  @Test
  void whatHasBegunHereIsNeverConfirmed() {
    begun.add(0, "r1", 1_000);
    begun.addOfOther(0, "r1", 1_000);
    assertFalse(begun.confirmClaim(10, "r1", 1_000, false));
  }

  @Test
  void everNewIdsStayWithinTheBound() {
    for (int i = 0; i < 2 * BegunRequests.MAX_IDS; i++) {
      begun.add(i / 100.0, "r" + i, 1_000);
    }
    assertEquals(BegunRequests.MAX_IDS, begun.ids(500).size());
    assertTrue(begun.contains(500, "r" + (2 * BegunRequests.MAX_IDS - 1)), "the newest are kept");
  }
}
