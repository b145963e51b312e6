package willowdoor.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
    Fixtures f = Fixtures.counted();
    f.request("safe", "rated", 3);
    assertEquals(3, f.only(Add.class).amount());
    assertFalse(f.did(Send.class));
    f.total(3);
    assertTrue(f.did(Send.class));
  }

  @Test
  void refusesWhatWouldPassTheQuotaAndOwesItBack() {
    Fixtures f = Fixtures.counted();
    f.request("safe", "rated", 3);
    f.total(200);
    assertTrue(f.did(Refuse.class));
    f.pass(500).request("safe", "rated", 1);
    assertEquals(-3, f.only(Add.class).amount(), "only reads, and takes the refused 3 off");
  }

  @Test
  void settlesTheTrueUnitsWithTheNextAdd() {
    Fixtures f = Fixtures.counted();
    f.request("safe", "rated", 2);
    Send s = f.total(2).only(Send.class);
    f.on(new Outcome(s.request(), 0, s.backend(), Status.OK, 50, true, 4, null));
    f.request("safe", "rated", 1);
    assertEquals(1 + 2, f.only(Add.class).amount());
  }

  @Test
  void aSpentCustomerIsRefusedWithoutACall() {
    Fixtures f = Fixtures.counted();
    f.request("safe", "rated", 3);
    f.total(200);
    f.pass(10).request("safe", "rated", 3);
    assertTrue(f.did(Refuse.class));
    assertFalse(f.did(Add.class));
  }

  @Test
  void whatIsForeseenIsRefusedForASpentCustomerOnlyAndCountsNothing() {
    Fixtures f = Fixtures.counted();
    f.on(new PreCheck(new Request("x", "safe", "rated", 1, 2, 3, f.now + 2_000)));
    assertFalse(f.did(Refuse.class) || f.did(Add.class) || f.did(Send.class), "nothing is known of it");
    f.request("safe", "rated", 3);
    f.on(new PreCheck(new Request("y", "safe", "rated", 42, 2, 3, f.now + 2_000)));
    assertFalse(f.did(Refuse.class) || f.did(Add.class), "its count is not told yet");
    f.total(200);
    f.pass(10).on(new PreCheck(new Request("z", "safe", "rated", 42, 2, 3, f.now + 2_000)));
    assertEquals("z", f.only(Refuse.class).request());
    assertFalse(f.did(Add.class));
  }

  /** Met through so many gateways that one burst a window is counted by the totals alone. */
  private static void broad(Fixtures f, String id, double units) {
    f.on(new Request(id, "safe", "broad", 42, 40, units, f.now + 4_000));
  }

  @Test
  void whatThisGatewayAddedIsPutBackOnceAfterAReplacement() {
    Fixtures f = new Fixtures(Fixtures.settings(true, 40, false)).backends(4);
    broad(f, "a", 3);
    assertEquals(3, f.only(Add.class).amount());
    f.total(97);
    f.on(new CounterReplaced());
    assertEquals(3, f.only(Add.class).amount(), "its own 3, not the 97 of all");
    f.total(3);
    broad(f, "b", 2);
    assertEquals(2, f.only(Add.class).amount(), "put back once");
    f.total(5);
    broad(f, "c", 4);
    assertFalse(f.did(Send.class), "the 94 of others are not forgotten, though no total tells them");
    f.on(new CounterReplaced());
    assertTrue(f.only(Add.class).amount() <= 5, "once for each counter: " + f.lastAdd());
  }

  @Test
  void whatProvablyWasNotPutBackIsPutBackLater() {
    Fixtures f = new Fixtures(Fixtures.settings(true, 40, false)).backends(4);
    broad(f, "a", 3);
    f.total(50);
    f.on(new CounterReplaced());
    f.callFails(Status.UNREACHABLE);
    broad(f, "b", 2);
    assertEquals(2 + 3, f.only(Add.class).amount());
  }

  @Test
  void aFollowedBucketKeepsItsLevelThroughAReplacement() {
    Fixtures f = Fixtures.counted();
    f.request("safe", "rated", 3);
    f.total(200);
    f.on(new CounterReplaced());
    f.pass(500).request("safe", "rated", 1);
    if (f.did(Add.class)) {
      f.total(f.lastAdd().amount());
    }
    assertFalse(f.did(Send.class), "it is spent, whatever the empty counter says");
  }

  @Test
  void twoBurstsDoNotPassAtTheEdgeOfAWindow() {
    Fixtures f = Fixtures.counted();
    String first = null;
    int sent = 0;
    for (double total = 2; f.all.size() < 4000; total += 2) {
      f.pass(50).request("safe", "rated", 2);
      if (!f.did(Add.class)) {
        continue;
      }
      String name = f.lastAdd().name();
      if (first != null && !name.equals(first)) {
        f.total(f.lastAdd().amount());
        assertTrue(f.did(Refuse.class), "a new window is not a new burst");
        return;
      }
      first = name;
      f.total(total);
      sent += f.did(Send.class) ? 1 : 0;
      if (f.did(Send.class)) {
        Send s = f.only(Send.class);
        f.outcome(s, 0, Status.OK, true);
      }
    }
    throw new AssertionError("no window edge met, sent " + sent);
  }

  @Test
  void plansWithoutRateNeedNoCall() {
    Fixtures f = Fixtures.counted();
    f.request("safe", "free", 3);
    assertTrue(f.did(Send.class));
    assertFalse(f.did(Add.class));
  }

  @Test
  void withoutACounterPlacesAreSplitAmongTheGateways() {
    Fixtures f = new Fixtures(Fixtures.settings(false, 2, false)).backends(4);
    f.request("safe", "narrow", 1);
    assertTrue(f.did(Send.class));
    f.request("safe", "narrow", 1);
    assertTrue(f.did(Refuse.class));
  }

  @Test
  void withoutACounterTheQuotaIsSplitEvenly() {
    Fixtures f = new Fixtures(Fixtures.settings(false, 2, false)).backends(4);
    f.request("safe", "rated", 4);
    assertTrue(f.did(Send.class));
    f.request("safe", "rated", 4);
    assertTrue(f.did(Refuse.class), "half of a burst of 10 holds one request of 4");
  }

  @Test
  void unknownPlanAndClassAreStillAnsweredOnce() {
    Fixtures f = Fixtures.counted();
    f.on(new Request("x", "no such class", "no such plan", 9, 2, 1, f.now + 4000));
    Send s = f.total(1).only(Send.class);
    f.outcome(s, 0, Status.ERROR, false);
    assertTrue(f.did(Fail.class), "an unknown class may not run twice");
  }

  // Counter trouble

  @Test
  void anUnansweredCallIsDecidedByTheReplica() {
    Fixtures f = Fixtures.counted();
    f.request("safe", "rated", 3);
    f.callFails(Status.TIMED_OUT);
    assertTrue(f.did(Send.class));
  }

  @Test
  void aSilentCounterDoesNotHoldARequestPastItsBound() {
    Fixtures f = Fixtures.counted();
    f.request("safe", "rated", 3);
    f.run(100);
    assertTrue(f.did(Send.class));
  }

  @Test
  void anAbsentCounterIsTriedRarelyAndComesBackAtOnce() {
    Fixtures f = Fixtures.counted();
    int calls = 0;
    for (int i = 0; i < 200; i++) {
      f.pass(20).on(new Request("q" + i, "safe", "rated", 1000 + i, 2, 1, f.now + 4000));
      if (f.did(Add.class)) {
        calls++;
        f.callFails(Status.UNREACHABLE);
      }
    }
    assertTrue(calls < 40, "calls while the counter is away: " + calls);
    int answered = 0;
    for (int i = 0; i < 200; i++) {
      f.pass(20).on(new Request("p" + i, "safe", "rated", 5000 + i, 2, 1, f.now + 4000));
      if (f.did(Add.class)) {
        answered++;
        f.total(1);
      }
    }
    assertTrue(answered > 100, "calls after its return: " + answered);
  }

  @Test
  void aFailedCallThatAddedNothingLeavesAnAdmittedRequestOwed() {
    Fixtures f = Fixtures.counted();
    f.request("safe", "rated", 3);
    f.callFails(Status.REJECTED);
    assertTrue(f.did(Send.class));
    f.request("safe", "rated", 1);
    assertEquals(4, f.only(Add.class).amount());
  }

  @Test
  void anAnswerTellsWhetherAnUnansweredCallWasAdded() {
    Fixtures added = Fixtures.counted();
    added.request("safe", "rated", 4);
    added.total(4);
    added.request("safe", "rated", 3);
    added.callFails(Status.TIMED_OUT);
    added.request("safe", "rated", 1);
    added.total(8);
    added.request("safe", "rated", 1);
    assertEquals(1, added.only(Add.class).amount());

    Fixtures lost = Fixtures.counted();
    lost.request("safe", "rated", 4);
    lost.total(4);
    lost.request("safe", "rated", 3);
    lost.callFails(Status.TIMED_OUT);
    lost.request("safe", "rated", 1);
    lost.total(5);
    lost.request("safe", "rated", 1);
    assertEquals(1 + 3, lost.only(Add.class).amount());
  }

  @Test
  void anEmptiedCounterIsNoFreshQuota() {
    Fixtures f = Fixtures.counted();
    f.request("safe", "rated", 1);
    f.total(200);
    f.pass(500).request("safe", "rated", 1);
    f.total(f.lastAdd().amount());
    assertTrue(f.did(Refuse.class));
  }

  @Test
  void aRequestThatLeftWhileWaitingIsNotSent() {
    Fixtures f = Fixtures.counted();
    String id = f.request("safe", "rated", 1);
    f.on(new ClientLeft(id));
    f.total(1);
    assertFalse(f.did(Send.class));
    f.request("safe", "rated", 2);
    assertEquals(2 - 1, f.only(Add.class).amount(), "and its units are returned");
  }

  // Attempts

  @Test
  void anUnsafeRequestThatMayHaveRunFails() {
    Fixtures f = Fixtures.counted();
    f.request("unsafe", "free", 1);
    Send s = f.only(Send.class);
    f.outcome(s, 0, Status.RESET, false);
    assertTrue(f.did(Fail.class));
    assertFalse(f.did(Send.class));
  }

  @Test
  void anUnsafeRequestThatNeverRanIsSentAgainElsewhere() {
    Fixtures f = Fixtures.counted();
    f.request("unsafe", "free", 1);
    Send s = f.only(Send.class);
    f.outcome(s, 0, Status.UNREACHABLE, false);
    assertNotEquals(s.backend(), f.only(Send.class).backend());
  }

  @Test
  void aKeyedRequestThatMayHaveRunStaysInItsGroupAndWindow() {
    Fixtures f = Fixtures.counted();
    f.request("cell", "free", 1);
    Send s = f.only(Send.class);
    f.outcome(s, 0, Status.ERROR, false);
    if (f.did(Send.class)) {
      assertEquals(s.backend(), f.only(Send.class).backend(), "its cell has this backend alone");
    }
    f.request("zone", "free", 1);
    Send z = f.only(Send.class);
    f.outcome(z, 0, Status.ERROR, false);
    assertEquals(z.backend() % 2, f.only(Send.class).backend() % 2);
    Send again = f.only(Send.class);
    f.pass(3500).outcome(again, 1, Status.ERROR, false);
    assertFalse(f.did(Send.class), "its repeats are no longer dropped");
    assertTrue(f.did(Fail.class), "and a refusal would promise too much");
  }

  @Test
  void everyRequestIsAnsweredBeforeItsClientLeaves() {
    Fixtures f = new Fixtures(Fixtures.settings(true, 2, false));
    f.request("safe", "free", 1);
    assertFalse(f.did(Send.class), "no backend is known");
    f.run(1000);
    assertTrue(f.did(Refuse.class));
    f.on(new Request("short", "safe", "free", 1, 2, 1, f.now + 5));
    assertTrue(f.did(Refuse.class), "no time is left to look again");
  }

  @Test
  void anAttemptStopsBeforeTheClientLeaves() {
    Fixtures f = Fixtures.counted();
    f.request("safe", "free", 1);
    assertTrue(f.only(Send.class).timeoutMs() < 4000);
  }

  @Test
  void aBegunStreamIsLeftAlone() {
    Fixtures f = Fixtures.counted();
    String id = f.request("stream", "free", 1);
    f.on(new StreamStarted(id, 0)).run(6000);
    assertTrue(f.last.isEmpty(), f.last.toString());
  }

  @Test
  void aSilentBackendIsGivenUpOnWhereTheClassAllows() {
    Fixtures f = Fixtures.counted();
    f.request("safe", "free", 1);
    Send s = f.only(Send.class);
    f.run(700);
    assertEquals(new Cancel(s.request(), 0), f.only(Cancel.class));
    f.outcome(s, 0, Status.CANCELLED, false);
    assertNotEquals(s.backend(), f.only(Send.class).backend());
  }

  @Test
  void answersForWhatIsOverAreIgnored() {
    Fixtures f = Fixtures.counted();
    f.on(new Outcome("nobody", 0, 1, Status.OK, 5, true, 0, null));
    f.on(new Counted("nothing", Status.OK, 5, 1));
    f.on(new ClientLeft("nobody"));
    f.on(new Woken("unknown"));
    assertTrue(f.last.isEmpty());
  }

  // Backends

  @Test
  void drainingAndGoneBackendsGetNothingNew() {
    Fixtures f = Fixtures.counted();
    f.on(new Roster(RosterForm.CHANGES, List.of(new BackendEntry(0, "a", 0, Phase.DRAINING, 1, 0),
        new BackendEntry(1, "b", 1, Phase.REMOVED, 1, 0))));
    Set<Long> met = new HashSet<>();
    for (int i = 0; i < 400; i++) {
      f.run(25).request("safe", "free", 1);
      Send s = f.only(Send.class);
      met.add(s.backend());
      f.outcome(s, 0, Status.OK, true);
    }
    assertEquals(Set.of(2L, 3L), met);
  }

  @Test
  void aColdBackendGetsLittle() {
    Fixtures f = Fixtures.counted();
    f.on(new Roster(RosterForm.CHANGES, List.of(new BackendEntry(0, "a", 0, Phase.SERVING, 1, f.now))));
    int cold = 0;
    int all = 0;
    for (int i = 0; i < 200; i++) {
      f.run(25).request("safe", "free", 1);
      if (f.did(Send.class)) {
        Send s = f.only(Send.class);
        cold += s.backend() == 0 ? 1 : 0;
        all++;
        f.outcome(s, 0, Status.OK, true);
      }
    }
    assertTrue(cold > 0, "it is used at all");
    assertTrue(cold < all / 8, "under half of a warm backend's quarter: " + cold + " of " + all);
  }

  @Test
  void aBackendThatFailsFastRestsAndIsTriedAgain() {
    Fixtures f = Fixtures.counted();
    int early = failsFast(f, 100);
    assertTrue(early < 20, "sends to the failing backend: " + early);
    for (int i = 0, met = 0; met == 0; i++) {
      assertTrue(i < 2000, "never tried again");
      f.run(25).request("safe", "free", 1);
      Send s = f.only(Send.class);
      met += s.backend() == 0 ? 1 : 0;
      f.outcome(s, 0, Status.OK, true);
    }
  }

  private static int failsFast(Fixtures f, int requests) {
    int failing = 0;
    for (int i = 0; i < requests; i++) {
      f.run(25).request("safe", "free", 1);
      Send s = f.only(Send.class);
      int attempt = 0;
      while (s.backend() == 0) {
        failing++;
        f.outcome(s, attempt++, Status.ERROR, false);
        if (!f.did(Send.class)) {
          break;
        }
        s = f.only(Send.class);
      }
      f.outcome(s, attempt, Status.OK, true);
    }
    return failing;
  }

  /** Guards incidents ifcb77b and i3b6be0: an old bad report must not shun a backend for good. */
  @Test
  void anOldReportFades() {
    Fixtures f = Fixtures.counted();
    Send busy = null;
    for (int i = 0; i < 4; i++) {
      f.request("safe", "free", 1);
      Send s = f.only(Send.class);
      busy = busy == null ? s : busy;
      f.report(s, 0, s == busy ? 30 : 0);
    }
    Set<Long> met = new HashSet<>();
    for (int i = 0; i < 200; i++) {
      f.run(25).request("safe", "free", 1);
      Send s = f.only(Send.class);
      met.add(s.backend());
      f.report(s, 0, 1);
    }
    assertTrue(met.contains(busy.backend()));
  }

  @Test
  void aFullFleetRefusesEarly() {
    Fixtures f = Fixtures.counted();
    for (int i = 0; i < 60; i++) {
      f.request("safe", "free", 1);
      if (i >= 30 && f.did(Send.class)) {
        Send s = f.only(Send.class);
        f.on(new Outcome(s.request(), 0, s.backend(), Status.OK, 900, true, 0, null));
      }
    }
    f.request("safe", "free", 1);
    assertTrue(f.did(Refuse.class));
  }

  @Test
  void aRosterThatMustBeAskedForIsFollowedAndAskedForAgain() {
    Fixtures f = new Fixtures(Fixtures.settings(true, 2, true));
    assertTrue(f.did(FollowRoster.class));
    f.on(new Roster(RosterForm.FAILED, List.of()));
    f.on(new Woken("follow"));
    assertTrue(f.did(FollowRoster.class));
  }
}
