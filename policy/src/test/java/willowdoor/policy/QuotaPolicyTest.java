package willowdoor.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import willowdoor.policy.GatewayApi.Add;
import willowdoor.policy.GatewayApi.BackendEntry;
import willowdoor.policy.GatewayApi.Cancel;
import willowdoor.policy.GatewayApi.ClientLeft;
import willowdoor.policy.GatewayApi.Counted;
import willowdoor.policy.GatewayApi.CounterReplaced;
import willowdoor.policy.GatewayApi.Fail;
import willowdoor.policy.GatewayApi.FollowRoster;
import willowdoor.policy.GatewayApi.PreCheck;
import willowdoor.policy.GatewayApi.Outcome;
import willowdoor.policy.GatewayApi.Phase;
import willowdoor.policy.GatewayApi.Refuse;
import willowdoor.policy.GatewayApi.Request;
import willowdoor.policy.GatewayApi.Roster;
import willowdoor.policy.GatewayApi.RosterForm;
import willowdoor.policy.GatewayApi.Send;
import willowdoor.policy.GatewayApi.Status;
import willowdoor.policy.GatewayApi.StreamStarted;
import willowdoor.policy.GatewayApi.Woken;

class QuotaPolicyTest {

  // The ordinary path

  @Test
  void addsTheEstimateThenSends() {
    Fixtures f = Fixtures.withCounter();
    f.request("safe", "rated", 3);
    assertEquals(3, f.lastOf(Add.class).amount());
    assertFalse(f.emitted(Send.class));
    f.replyTotal(3);
    assertTrue(f.emitted(Send.class));
  }

  @Test
  void refusesRequestsBeyondTheQuotaAndReturnsTheirUnits() {
    Fixtures f = Fixtures.withCounter();
    f.request("safe", "rated", 3);
    f.replyTotal(200);
    assertTrue(f.emitted(Refuse.class));
    f.advance(500).request("safe", "rated", 1);
    assertEquals(-3, f.lastOf(Add.class).amount(), "the call only reads, and returns the refused 3 units");
  }

  @Test
  void settlesTheTrueUnitsWithTheNextAdd() {
    Fixtures f = Fixtures.withCounter();
    f.request("safe", "rated", 2);
    Send s = f.replyTotal(2).lastOf(Send.class);
    f.on(new Outcome(s.request(), 0, s.backend(), Status.OK, 50, true, 4, null));
    f.request("safe", "rated", 1);
    assertEquals(1 + 2, f.lastOf(Add.class).amount());
  }

  /** Guards against a sound answer that is given up in a pause, with no attempt to take its place. */
  @Test
  void anAnswerIsReplaceableWhileAnotherAttemptMayFollow() {
    Fixtures f = Fixtures.withCounter();
    f.request("unsafe", "rated", 1);
    assertFalse(f.replyTotal(1).lastOf(Send.class).conditions().replaceable());
    f.request("zone", "rated", 1);
    assertTrue(f.replyTotal(2).lastOf(Send.class).conditions().replaceable(), "within its window");
    f.request("safe", "rated", 1);
    Send first = f.replyTotal(3).lastOf(Send.class);
    assertTrue(first.conditions().replaceable());
    Send second = f.outcome(first, 0, Status.SPOILT, false).lastOf(Send.class);
    assertFalse(second.conditions().replaceable(), "after an answer that was spoilt or has stalled");
  }

  @Test
  void aSpentCustomerIsRefusedWithoutACall() {
    Fixtures f = Fixtures.withCounter();
    f.request("safe", "rated", 3);
    f.replyTotal(200);
    f.advance(10).request("safe", "rated", 3);
    assertTrue(f.emitted(Refuse.class));
    assertFalse(f.emitted(Add.class));
  }

  @Test
  void aPreCheckRefusesOnlyForASpentCustomerAndCountsNothing() {
    Fixtures f = Fixtures.withCounter();
    f.on(new PreCheck(new Request("x", "safe", "rated", 1, 2, 3, f.now + 2_000)));
    assertFalse(f.emitted(Refuse.class) || f.emitted(Add.class) || f.emitted(Send.class),
        "the customer is not known");
    f.request("safe", "rated", 3);
    f.on(new PreCheck(new Request("y", "safe", "rated", 42, 2, 3, f.now + 2_000)));
    assertFalse(f.emitted(Refuse.class) || f.emitted(Add.class), "the counter has not answered yet");
    f.replyTotal(200);
    f.advance(10).on(new PreCheck(new Request("z", "safe", "rated", 42, 2, 3, f.now + 2_000)));
    assertEquals("z", f.lastOf(Refuse.class).request());
    assertFalse(f.emitted(Add.class));
  }

  /** Sends a request of a customer with so many gateways that each window is counted by its total alone. */
  private static void requestBroad(Fixtures f, String id, double units) {
    f.on(new Request(id, "safe", "broad", 42, 40, units, f.now + 4_000));
  }

  @Test
  void ownAddsAreRestoredOnceAfterAReplacement() {
    Fixtures f = new Fixtures(Fixtures.settings(true, 40, false)).withBackends(4);
    requestBroad(f, "a", 3);
    assertEquals(3, f.lastOf(Add.class).amount());
    f.replyTotal(97);
    f.on(new CounterReplaced());
    assertEquals(3, f.lastOf(Add.class).amount(), "its own 3 units, not all 97");
    f.replyTotal(3);
    requestBroad(f, "b", 2);
    assertEquals(2, f.lastOf(Add.class).amount(), "the units are restored once");
    f.replyTotal(5);
    requestBroad(f, "c", 4);
    assertFalse(f.emitted(Send.class), "the 94 units of others still count, though the new total lacks them");
    f.on(new CounterReplaced());
    assertTrue(f.lastOf(Add.class).amount() <= 5, "units are restored once per counter: " + f.lastAdd());
  }

  @Test
  void aFailedRestoreIsRepeatedWithTheNextAdd() {
    Fixtures f = new Fixtures(Fixtures.settings(true, 40, false)).withBackends(4);
    requestBroad(f, "a", 3);
    f.replyTotal(50);
    f.on(new CounterReplaced());
    f.failCall(Status.UNREACHABLE);
    requestBroad(f, "b", 2);
    assertEquals(2 + 3, f.lastOf(Add.class).amount());
  }

  @Test
  void aFollowedBucketKeepsItsLevelThroughAReplacement() {
    Fixtures f = Fixtures.withCounter();
    f.request("safe", "rated", 3);
    f.replyTotal(200);
    f.on(new CounterReplaced());
    f.advance(500).request("safe", "rated", 1);
    if (f.emitted(Add.class)) {
      f.replyTotal(f.lastAdd().amount());
    }
    assertFalse(f.emitted(Send.class), "the quota is used up, whatever the empty counter answers");
  }

  @Test
  void twoBurstsDoNotPassAtTheEdgeOfAWindow() {
    Fixtures f = Fixtures.withCounter();
    String first = null;
    int sent = 0;
    for (double total = 2; f.allActions.size() < 4000; total += 2) {
      f.advance(50).request("safe", "rated", 2);
      if (!f.emitted(Add.class)) {
        continue;
      }
      String name = f.lastAdd().name();
      if (first != null && !name.equals(first)) {
        f.replyTotal(f.lastAdd().amount());
        assertTrue(f.emitted(Refuse.class), "a new window grants no new burst");
        return;
      }
      first = name;
      f.replyTotal(total);
      sent += f.emitted(Send.class) ? 1 : 0;
      if (f.emitted(Send.class)) {
        Send s = f.lastOf(Send.class);
        f.outcome(s, 0, Status.OK, true);
      }
    }
    throw new AssertionError("no window ended; sent " + sent);
  }

  @Test
  void plansWithoutARateNeedNoCall() {
    Fixtures f = Fixtures.withCounter();
    f.request("safe", "free", 3);
    assertTrue(f.emitted(Send.class));
    assertFalse(f.emitted(Add.class));
  }

  @Test
  void withoutACounterSlotsAreSplitAmongTheGateways() {
    Fixtures f = new Fixtures(Fixtures.settings(false, 2, false)).withBackends(4);
    f.request("safe", "narrow", 1);
    assertTrue(f.emitted(Send.class));
    f.request("safe", "narrow", 1);
    assertTrue(f.emitted(Refuse.class));
  }

  @Test
  void withoutACounterTheQuotaIsSplitEvenly() {
    Fixtures f = new Fixtures(Fixtures.settings(false, 2, false)).withBackends(4);
    f.request("safe", "rated", 4);
    assertTrue(f.emitted(Send.class));
    f.request("safe", "rated", 4);
    assertTrue(f.emitted(Refuse.class), "half of a burst of 10 holds one request of 4");
  }

  @Test
  void unknownPlanAndClassAreStillAnsweredOnce() {
    Fixtures f = Fixtures.withCounter();
    f.on(new Request("x", "no such class", "no such plan", 9, 2, 1, f.now + 4000));
    Send s = f.replyTotal(1).lastOf(Send.class);
    f.outcome(s, 0, Status.ERROR, false);
    assertTrue(f.emitted(Fail.class), "an unknown class may not run twice");
  }

  // Counter faults

  @Test
  void anUnansweredCallIsDecidedByTheReplica() {
    Fixtures f = Fixtures.withCounter();
    f.request("safe", "rated", 3);
    f.failCall(Status.TIMED_OUT);
    assertTrue(f.emitted(Send.class));
  }

  @Test
  void aSilentCounterDoesNotHoldARequestPastItsBound() {
    Fixtures f = Fixtures.withCounter();
    f.request("safe", "rated", 3);
    f.runTimers(100);
    assertTrue(f.emitted(Send.class));
  }

  @Test
  void anAbsentCounterIsTriedRarelyAndUsedAgainOnceItAnswers() {
    Fixtures f = Fixtures.withCounter();
    int calls = 0;
    for (int i = 0; i < 200; i++) {
      f.advance(20).on(new Request("q" + i, "safe", "rated", 1000 + i, 2, 1, f.now + 4000));
      if (f.emitted(Add.class)) {
        calls++;
        f.failCall(Status.UNREACHABLE);
      }
    }
    assertTrue(calls < 40, "calls while the counter is away: " + calls);
    int answered = 0;
    for (int i = 0; i < 200; i++) {
      f.advance(20).on(new Request("p" + i, "safe", "rated", 5000 + i, 2, 1, f.now + 4000));
      if (f.emitted(Add.class)) {
        answered++;
        f.replyTotal(1);
      }
    }
    assertTrue(answered > 100, "calls after its return: " + answered);
  }

  @Test
  void unitsOfAFailedCallAreAddedWithTheNextCall() {
    Fixtures f = Fixtures.withCounter();
    f.request("safe", "rated", 3);
    f.failCall(Status.REJECTED);
    assertTrue(f.emitted(Send.class));
    f.request("safe", "rated", 1);
    assertEquals(4, f.lastOf(Add.class).amount());
  }

  @Test
  void aTotalShowsWhetherAnUnansweredCallWasAdded() {
    Fixtures added = Fixtures.withCounter();
    added.request("safe", "rated", 4);
    added.replyTotal(4);
    added.request("safe", "rated", 3);
    added.failCall(Status.TIMED_OUT);
    added.request("safe", "rated", 1);
    added.replyTotal(8);
    added.request("safe", "rated", 1);
    assertEquals(1, added.lastOf(Add.class).amount());

    Fixtures lost = Fixtures.withCounter();
    lost.request("safe", "rated", 4);
    lost.replyTotal(4);
    lost.request("safe", "rated", 3);
    lost.failCall(Status.TIMED_OUT);
    lost.request("safe", "rated", 1);
    lost.replyTotal(5);
    lost.request("safe", "rated", 1);
    assertEquals(1 + 3, lost.lastOf(Add.class).amount());
  }

  @Test
  void anEmptiedCounterGivesNoNewQuota() {
    Fixtures f = Fixtures.withCounter();
    f.request("safe", "rated", 1);
    f.replyTotal(200);
    f.advance(500).request("safe", "rated", 1);
    f.replyTotal(f.lastAdd().amount());
    assertTrue(f.emitted(Refuse.class));
  }

  @Test
  void aRequestThatLeftWhileWaitingIsNotSent() {
    Fixtures f = Fixtures.withCounter();
    String id = f.request("safe", "rated", 1);
    f.on(new ClientLeft(id));
    f.replyTotal(1);
    assertFalse(f.emitted(Send.class));
    f.request("safe", "rated", 2);
    assertEquals(2 - 1, f.lastOf(Add.class).amount(), "the units of the ended request are returned");
  }

  // Attempts

  @Test
  void anUnsafeRequestThatMayHaveRunFails() {
    Fixtures f = Fixtures.withCounter();
    f.request("unsafe", "free", 1);
    Send s = f.lastOf(Send.class);
    f.outcome(s, 0, Status.RESET, false);
    assertTrue(f.emitted(Fail.class));
    assertFalse(f.emitted(Send.class));
  }

  @Test
  void anUnsafeRequestThatNeverRanIsSentAgainElsewhere() {
    Fixtures f = Fixtures.withCounter();
    f.request("unsafe", "free", 1);
    Send s = f.lastOf(Send.class);
    f.outcome(s, 0, Status.UNREACHABLE, false);
    assertNotEquals(s.backend(), f.lastOf(Send.class).backend());
  }

  @Test
  void aKeyedRequestThatMayHaveRunStaysInItsGroupAndWindow() {
    Fixtures f = Fixtures.withCounter();
    f.request("cell", "free", 1);
    Send s = f.lastOf(Send.class);
    f.outcome(s, 0, Status.ERROR, false);
    if (f.emitted(Send.class)) {
      assertEquals(s.backend(), f.lastOf(Send.class).backend(), "this is the only backend of the cell");
    }
    f.request("zone", "free", 1);
    Send z = f.lastOf(Send.class);
    f.outcome(z, 0, Status.ERROR, false);
    assertEquals(z.backend() % 2, f.lastOf(Send.class).backend() % 2);
    Send again = f.lastOf(Send.class);
    f.advance(3500).outcome(again, 1, Status.ERROR, false);
    assertFalse(f.emitted(Send.class), "the backends no longer drop its repeats");
    assertTrue(f.emitted(Fail.class), "a refusal would promise that trying again is harmless");
  }

  @Test
  void everyRequestIsAnsweredBeforeItsClientGivesUp() {
    Fixtures f = new Fixtures(Fixtures.settings(true, 2, false));
    f.request("safe", "free", 1);
    assertFalse(f.emitted(Send.class), "no backend is known");
    f.runTimers(1000);
    assertTrue(f.emitted(Refuse.class));
    f.on(new Request("short", "safe", "free", 1, 2, 1, f.now + 5));
    assertTrue(f.emitted(Refuse.class), "no time is left for another check");
  }

  @Test
  void anAttemptTimesOutBeforeTheClientGivesUp() {
    Fixtures f = Fixtures.withCounter();
    f.request("safe", "free", 1);
    assertTrue(f.lastOf(Send.class).timeoutMs() < 4000);
  }

  @Test
  void aStartedStreamIsNotCancelled() {
    Fixtures f = Fixtures.withCounter();
    String id = f.request("stream", "free", 1);
    f.on(new StreamStarted(id, 0)).runTimers(6000);
    assertTrue(f.lastActions.isEmpty(), f.lastActions.toString());
  }

  @Test
  void anAttemptAtASilentBackendIsCancelledWhereTheClassAllows() {
    Fixtures f = Fixtures.withCounter();
    f.request("safe", "free", 1);
    Send s = f.lastOf(Send.class);
    f.runTimers(700);
    assertEquals(new Cancel(s.request(), 0), f.lastOf(Cancel.class));
    f.outcome(s, 0, Status.CANCELLED, false);
    assertNotEquals(s.backend(), f.lastOf(Send.class).backend());
  }

  @Test
  void eventsForUnknownRequestsAreIgnored() {
    Fixtures f = Fixtures.withCounter();
    f.on(new Outcome("nobody", 0, 1, Status.OK, 5, true, 0, null));
    f.on(new Counted("nothing", Status.OK, 5, 1));
    f.on(new ClientLeft("nobody"));
    f.on(new Woken("unknown"));
    assertTrue(f.lastActions.isEmpty());
  }

  // Backends

  @Test
  void drainingAndRemovedBackendsGetNoNewRequests() {
    Fixtures f = Fixtures.withCounter();
    f.on(new Roster(RosterForm.CHANGES, List.of(new BackendEntry(0, "a", 0, Phase.DRAINING, 1, 0),
        new BackendEntry(1, "b", 1, Phase.REMOVED, 1, 0))));
    Set<Long> used = new HashSet<>();
    for (int i = 0; i < 400; i++) {
      f.runTimers(25).request("safe", "free", 1);
      Send s = f.lastOf(Send.class);
      used.add(s.backend());
      f.outcome(s, 0, Status.OK, true);
    }
    assertEquals(Set.of(2L, 3L), used);
  }

  @Test
  void aColdBackendGetsASmallShare() {
    Fixtures f = Fixtures.withCounter();
    f.on(new Roster(RosterForm.CHANGES, List.of(new BackendEntry(0, "a", 0, Phase.SERVING, 1, f.now))));
    int cold = 0;
    int all = 0;
    for (int i = 0; i < 200; i++) {
      f.runTimers(25).request("safe", "free", 1);
      if (f.emitted(Send.class)) {
        Send s = f.lastOf(Send.class);
        cold += s.backend() == 0 ? 1 : 0;
        all++;
        f.outcome(s, 0, Status.OK, true);
      }
    }
    assertTrue(cold > 0, "the cold backend is used at all");
    assertTrue(cold < all / 8, "under half of a warm backend's quarter: " + cold + " of " + all);
  }

  /** Guards against backends that are shut out for as long as the clock of this process is behind. */
  @Test
  void backendsWhoseStartIsInTheFutureWarmUpFromNowOn() {
    Fixtures f = Fixtures.withCounter();
    double startMs = f.now + 3_600_000;
    List<BackendEntry> restarted = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      restarted.add(new BackendEntry(i, i % 2 == 0 ? "a" : "b", i, Phase.SERVING, 1, startMs));
    }
    f.on(new Roster(RosterForm.CHANGES, restarted)).runTimers(6_000);
    f.on(new Roster(RosterForm.COMPLETE, restarted)).runTimers(6_000);
    int sent = 0;
    for (int i = 0; i < 50; i++) {
      f.runTimers(25).request("safe", "free", 1);
      if (f.emitted(Send.class)) {
        sent++;
        f.outcome(f.lastOf(Send.class), 0, Status.OK, true);
      }
    }
    assertEquals(50, sent);
  }

  @Test
  void aFastFailingBackendBacksOffAndIsTriedAgain() {
    Fixtures f = Fixtures.withCounter();
    int early = countSendsToFailingBackend(f, 100);
    assertTrue(early < 20, "sends to the failing backend: " + early);
    for (int i = 0, sent = 0; sent == 0; i++) {
      assertTrue(i < 2000, "the backend is never tried again");
      f.runTimers(25).request("safe", "free", 1);
      Send s = f.lastOf(Send.class);
      sent += s.backend() == 0 ? 1 : 0;
      f.outcome(s, 0, Status.OK, true);
    }
  }

  private static int countSendsToFailingBackend(Fixtures f, int requests) {
    int failing = 0;
    for (int i = 0; i < requests; i++) {
      f.runTimers(25).request("safe", "free", 1);
      Send s = f.lastOf(Send.class);
      int attempt = 0;
      while (s.backend() == 0) {
        failing++;
        f.outcome(s, attempt++, Status.ERROR, false);
        if (!f.emitted(Send.class)) {
          break;
        }
        s = f.lastOf(Send.class);
      }
      f.outcome(s, attempt, Status.OK, true);
    }
    return failing;
  }

  /**
   * Guards against incidents ifcb77b and i3b6be0: an old bad load report must not exclude a backend for good.
   */
  @Test
  void anOldLoadReportFades() {
    Fixtures f = Fixtures.withCounter();
    Send busy = null;
    for (int i = 0; i < 4; i++) {
      f.request("safe", "free", 1);
      Send s = f.lastOf(Send.class);
      busy = busy == null ? s : busy;
      f.reportLoad(s, 0, s == busy ? 30 : 0);
    }
    Set<Long> used = new HashSet<>();
    for (int i = 0; i < 200; i++) {
      f.runTimers(25).request("safe", "free", 1);
      Send s = f.lastOf(Send.class);
      used.add(s.backend());
      f.reportLoad(s, 0, 1);
    }
    assertTrue(used.contains(busy.backend()));
  }

  @Test
  void anOverloadedFleetRefusesEarly() {
    Fixtures f = Fixtures.withCounter();
    for (int i = 0; i < 60; i++) {
      f.request("safe", "free", 1);
      if (i >= 30 && f.emitted(Send.class)) {
        Send s = f.lastOf(Send.class);
        f.on(new Outcome(s.request(), 0, s.backend(), Status.OK, 900, true, 0, null));
      }
    }
    f.request("safe", "free", 1);
    assertTrue(f.emitted(Refuse.class));
  }

  @Test
  void aRosterIsFollowedOnRequestAndAgainAfterAFailure() {
    Fixtures f = new Fixtures(Fixtures.settings(true, 2, true));
    assertTrue(f.emitted(FollowRoster.class));
    f.on(new Roster(RosterForm.FAILED, List.of()));
    f.on(new Woken("follow"));
    assertTrue(f.emitted(FollowRoster.class));
  }
}
