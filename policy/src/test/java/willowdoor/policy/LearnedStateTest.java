package willowdoor.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import willowdoor.policy.GatewayApi.Add;
import willowdoor.policy.GatewayApi.Outcome;
import willowdoor.policy.GatewayApi.Send;
import willowdoor.policy.GatewayApi.Status;

/** The state that the successor of a process starts with. */
class LearnedStateTest {

  private static final int SLOW_BACKEND = 1;

  private static Fixtures newGateway() {
    return new Fixtures(Fixtures.settings(true, 2, false)).withBackends(4);
  }

  /**
   * Sends requests, which one backend answers ten times as slowly as the others, and returns how many went to
   * that backend.
   */
  private static int countSentToSlow(Fixtures f, int requests) {
    int toSlow = 0;
    for (int i = 0; i < requests; i++) {
      f.request("safe", "free", 1);
      Send send = f.lastOf(Send.class);
      boolean slow = send.backend() == SLOW_BACKEND;
      toSlow += slow ? 1 : 0;
      f.advance(10).on(new Outcome(send.request(), 0, send.backend(), Status.OK, slow ? 500 : 50, true, 1,
          null));
    }
    return toSlow;
  }

  private static Fixtures successorOf(Fixtures before, double transferMs) {
    Fixtures f = newGateway();
    LearnedState.takeFrom(before.policy, before.now).restoreInto(f.policy, f.now, transferMs);
    return f;
  }

  @Test
  void aSlowBackendIsKnownToTheSuccessor() {
    Fixtures before = newGateway();
    countSentToSlow(before, 40);
    assertTrue(countSentToSlow(newGateway(), 20) > 0, "a new gateway has to use the slow backend to learn");
    assertEquals(0, countSentToSlow(successorOf(before, 0), 20));
  }

  /** Measurements that are a minute old, and may be wrong by now, have no weight. */
  @Test
  void oldMeasurementsDoNotKeepABackendUnused() {
    Fixtures before = newGateway();
    countSentToSlow(before, 400);
    assertTrue(countSentToSlow(successorOf(before, 60_000), 20) > 0);
  }

  @Test
  void pendingUnitsMoveToTheSuccessor() {
    Fixtures before = Fixtures.withCounter();
    before.request("safe", "rated", 2);
    Send s = before.replyTotal(2).lastOf(Send.class);
    before.on(new Outcome(s.request(), 0, s.backend(), Status.OK, 50, true, 4, null));
    Fixtures successor = successorOf(before, 0);
    successor.request("safe", "rated", 1);
    assertEquals(1 + 2, successor.lastOf(Add.class).amount());
    before.request("safe", "rated", 1);
    assertEquals(1, before.lastOf(Add.class).amount(), "the predecessor does not add them too");
  }

  @Test
  void pendingUnitsOfAnEndedWindowAreDropped() {
    Fixtures before = Fixtures.withCounter();
    before.request("safe", "rated", 2);
    Send s = before.replyTotal(2).lastOf(Send.class);
    before.on(new Outcome(s.request(), 0, s.backend(), Status.OK, 50, true, 4, null));
    LearnedState state = LearnedState.takeFrom(before.policy, before.now);
    Fixtures successor = new Fixtures(Fixtures.settings(true, 2, false), before.now + 120_000)
        .withBackends(4);
    state.restoreInto(successor.policy, successor.now, 120_000);
    successor.request("safe", "rated", 1);
    assertEquals(1, successor.lastOf(Add.class).amount());
  }

  /** A plan, class or backend that the settings of the successor lack is ignored. */
  @Test
  void unknownPlansClassesAndBackendsAreIgnored() {
    Fixtures f = newGateway();
    new LearnedState(50, 1, 2, List.of(new LearnedState.ClassServiceTime("gone", 9, 1, 9, 1, 9)),
        List.of(new LearnedState.LearnedBackend(99, 9, 1, 0, 500, 3, true, 0)),
        List.of(new LearnedState.PendingAdd(42, "gone", 2, 0, 7))).restoreInto(f.policy, f.now, 0);
    f.request("safe", "rated", 1);
    assertEquals(1, f.lastOf(Add.class).amount());
  }

  /** The backoff goes on for the time that remains after the transfer. */
  @Test
  void aBackendThatBacksOffStaysSoForTheRemainingTime() {
    LearnedState state =
        new LearnedState(50, 1, 3, List.of(),
        List.of(new LearnedState.LearnedBackend(SLOW_BACKEND, 0.1, 0, 0, 5_000, 2, true,
        0)), List.of());
    for (int transferMs : new int[] {1_000, 5_000}) {
      Fixtures f = newGateway();
      state.restoreInto(f.policy, f.now, transferMs);
      int toBackend = 0;
      for (int i = 0; i < 40; i++) {
        f.request("safe", "free", 1);
        toBackend += f.lastOf(Send.class).backend() == SLOW_BACKEND ? 1 : 0;
        f.advance(10);
      }
      assertEquals(transferMs == 1_000, toBackend == 0, transferMs + " ms ago: sent " + toBackend);
    }
  }
}
