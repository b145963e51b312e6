package willowdoor.authz;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import willowdoor.authz.AuthzAction.StartCall;
import willowdoor.authz.AuthzAction.CancelCall;
import willowdoor.authz.AuthzAction.Deny;
import willowdoor.authz.AuthzAction.Pass;
import willowdoor.authz.AuthzAction.Refuse;
import willowdoor.authz.AuthzAction.NoDecisionCause;
import willowdoor.authz.AuthzAction.PassReason;
import willowdoor.authz.AuthzEvent.CallEnded;
import willowdoor.authz.AuthzEvent.Arrived;
import willowdoor.authz.AuthzEvent.RequestEnded;
import willowdoor.authz.AuthzEvent.Result;
import willowdoor.authz.AuthzSettings.Authoriser;
import willowdoor.authz.AuthzSettings.Choice;
import willowdoor.authz.AuthzSettings.WeightedAuthoriser;
import willowdoor.authz.AuthzSettings.FirmRange;
import willowdoor.authz.AuthzSettings.Health;
import willowdoor.authz.AuthzSettings.Member;

/** Single histories of decisions, and random ones. */
class AuthzEngineTest {

  private static final Health HEALTH = new Health(3, 0.5, 1_000, 4_000, 0);
  private static final String BUY = "register-buy";

  private AuthzEngine engine;

  private static Member member(boolean repeatable, Set<String> failOpenClasses, double maxCacheMs,
      WeightedAuthoriser... authorisers) {
    return new Member("acme", List.of(new FirmRange(10, 19)), Set.of(), Set.of(BUY), List.of(authorisers),
        Choice.ORDER, 300, 0.5, repeatable, failOpenClasses, maxCacheMs, 2);
  }

  private static WeightedAuthoriser weighted(int authoriser) {
    return new WeightedAuthoriser(authoriser, 1);
  }

  private void createEngine(Member... members) {
    engine = new AuthzEngine(new AuthzSettings(List.of(new Authoriser("one", 2, 1_000),
        new Authoriser("two", 2, 1_000)), List.of(members), HEALTH), 1);
  }

  private void assertActions(double atMs, AuthzEvent event, AuthzAction... actions) {
    assertEquals(List.of(actions), engine.on(atMs, event), () -> event + " at " + atMs);
  }

  private static Arrived request(String id) {
    return request(id, 11, 2_000);
  }

  private static Arrived request(String id, long customer, double giveUpMs) {
    return new Arrived(id, BUY, "full", customer, giveUpMs, 10, "what");
  }

  private static CallEnded callEnded(String id, int call, Result result) {
    return new CallEnded(id, call, result, 0, null);
  }

  @Test
  void onlyTheMembersClassesPlansAndFirmsNeedADecision() {
    createEngine(new Member("acme", List.of(new FirmRange(10, 19)), Set.of("full"), Set.of(BUY),
        List.of(weighted(0)),
        Choice.ORDER, 300, 0.5, false, Set.of(), 0, 1));
    assertActions(0, new Arrived("a", "check-quote", "full", 11, 2_000, 0, null),
        new Pass("a", PassReason.NOT_ASKED, null));
    assertActions(0, new Arrived("b", BUY, "basic", 11, 2_000, 0, null),
        new Pass("b", PassReason.NOT_ASKED, null));
    assertActions(0, new Arrived("c", BUY, "full", 20, 2_000, 0, null),
        new Pass("c", PassReason.NOT_ASKED, null));
    assertActions(0, new Arrived("d", BUY, "full", 19, 2_000, 0, null), new StartCall("d", 0, 0, 300, false));
  }

  @Test
  void anAllowedRequestPassesWithItsGrantAndADeniedOneIsDenied() {
    createEngine(member(false, Set.of(), 0, weighted(0)));
    assertActions(0, request("a"), new StartCall("a", 0, 0, 300, false));
    assertActions(9, new CallEnded("a", 0, Result.ALLOWED, 500, "grant"),
        new Pass("a", PassReason.ALLOWED, "grant"));
    assertActions(10, request("b"), new StartCall("b", 0, 0, 300, false));
    assertActions(19, callEnded("b", 0, Result.DENIED), new Deny("b", 0));
    assertEquals(0, engine.undecidedCount());
  }

  @Test
  void secondAnswersAndAnswersAfterTheEndAreIgnored() {
    createEngine(member(false, Set.of(), 0, weighted(0)));
    assertActions(0, request("a"), new StartCall("a", 0, 0, 300, false));
    assertActions(9, callEnded("a", 0, Result.DENIED), new Deny("a", 0));
    assertActions(10, callEnded("a", 0, Result.ALLOWED));
    assertActions(20, request("b"), new StartCall("b", 0, 0, 300, false));
    assertActions(25, new RequestEnded("b"), new CancelCall("b", 0));
    assertActions(26, callEnded("b", 0, Result.ALLOWED));
    assertActions(27, new RequestEnded("b"));
    assertEquals(0, engine.callsOut(0));
  }

  @ParameterizedTest
  @EnumSource(names = {"FAILED", "TIMED_OUT", "BAD_ANSWER"})
  void aCallThatMayHaveReachedItsAuthoriserIsNotRepeated(Result result) {
    createEngine(member(false, Set.of(), 0, weighted(0), weighted(1)));
    assertActions(0, request("a"), new StartCall("a", 0, 0, 300, false));
    assertActions(9, callEnded("a", 0, result), new Refuse("a", NoDecisionCause.FAILED, 100));
  }

  @ParameterizedTest
  @EnumSource(names = {"FAILED", "TIMED_OUT", "BAD_ANSWER"})
  void aCallThatMayHaveReachedItsAuthoriserIsRepeatedIfChecksAreIdempotent(Result result) {
    createEngine(member(true, Set.of(), 0, weighted(0), weighted(1)));
    assertActions(0, request("a"), new StartCall("a", 0, 0, 300, false));
    assertActions(9, callEnded("a", 0, result), new StartCall("a", 1, 1, 300, false));
    assertActions(10, callEnded("a", 0, Result.ALLOWED));
    assertActions(20, callEnded("a", 1, result), new Refuse("a", NoDecisionCause.FAILED, 100));
  }

  @Test
  void aCallThatDidNotReachItsAuthoriserIsRepeatedInAnyCase() {
    createEngine(member(false, Set.of(), 0, weighted(0), weighted(1)));
    assertActions(0, request("a"), new StartCall("a", 0, 0, 300, false));
    assertActions(9, callEnded("a", 0, Result.NOT_REACHED), new StartCall("a", 1, 1, 300, false));
    assertActions(12, callEnded("a", 1, Result.ALLOWED), new Pass("a", PassReason.ALLOWED, null));
  }

  @Test
  void callsLeaveTheBackendsTheirShareOfTheTime() {
    createEngine(member(true, Set.of(), 0, weighted(0), weighted(1)));
    assertActions(0, request("a", 11, 400), new StartCall("a", 0, 0, 200, false));
    assertActions(150, callEnded("a", 0, Result.FAILED), new StartCall("a", 1, 1, 50, false));
    assertActions(196, callEnded("a", 1, Result.NOT_REACHED), new Refuse("a", NoDecisionCause.LATE, 100));
    assertActions(200, request("b", 11, 208), new Refuse("b", NoDecisionCause.LATE, 100));
  }

  @Test
  void withoutADecisionAClassThatFailsOpenProceeds() {
    createEngine(member(false, Set.of(BUY), 0, weighted(0)));
    assertActions(0, request("a"), new StartCall("a", 0, 0, 300, false));
    assertActions(300, callEnded("a", 0, Result.TIMED_OUT), new Pass("a", PassReason.FAILED_OPEN, null));
    assertActions(301, request("b"), new StartCall("b", 0, 0, 300, false));
    assertActions(302, callEnded("b", 0, Result.DENIED), new Deny("b", 0));
  }

  @Test
  void concurrentCallsAndTheirBytesAreLimitedButOneCallIsAlwaysAllowed() {
    createEngine(member(false, Set.of(), 0, weighted(0)));
    assertActions(0, new Arrived("a", BUY, "full", 11, 2_000, 5_000, null),
        new StartCall("a", 0, 0, 300, false));
    assertActions(0, request("b"), new Refuse("b", NoDecisionCause.BUSY, 100));
    assertActions(1, callEnded("a", 0, Result.ALLOWED), new Pass("a", PassReason.ALLOWED, null));
    assertActions(2, request("c"), new StartCall("c", 0, 0, 300, false));
    assertActions(2, request("d"), new StartCall("d", 0, 0, 300, false));
    assertActions(2, request("e"), new Refuse("e", NoDecisionCause.BUSY, 100));
    assertEquals(2, engine.callsOut(0));
  }

  @Test
  void consecutiveFailuresEjectAndSingleProbesEndTheEjection() {
    createEngine(member(false, Set.of(), 0, weighted(0)));
    for (int i = 0; i < 3; i++) {
      assertActions(i, request("a" + i), new StartCall("a" + i, 0, 0, 300, false));
      assertActions(i, callEnded("a" + i, 0, Result.FAILED), new Refuse("a" + i, NoDecisionCause.FAILED,
          i < 2 ? 100 : 1_000));
    }
    assertTrue(engine.isEjected(0));
    assertActions(502, request("b"), new Refuse("b", NoDecisionCause.EJECTED, 500));
    assertActions(1_002, request("c", 11, 9_000), new StartCall("c", 0, 0, 300, true));
    assertActions(1_003, request("d", 11, 9_000), new Refuse("d", NoDecisionCause.EJECTED, 100));
    assertActions(1_100, callEnded("c", 0, Result.TIMED_OUT), new Refuse("c", NoDecisionCause.FAILED, 2_000));
    assertActions(3_099, request("e", 11, 9_000), new Refuse("e", NoDecisionCause.EJECTED, 100));
    assertActions(3_100, request("f", 11, 9_000), new StartCall("f", 0, 0, 300, true));
    assertActions(3_101, new RequestEnded("f"), new CancelCall("f", 0));
    assertActions(3_102, request("g", 11, 9_000), new StartCall("g", 0, 0, 300, true));
    assertActions(3_110, callEnded("g", 0, Result.DENIED), new Deny("g", 0));
    assertFalse(engine.isEjected(0));
    assertActions(3_111, request("h", 11, 9_000), new StartCall("h", 0, 0, 300, false));
  }

  @Test
  void ejectionsGrowToTheirLimit() {
    createEngine(member(false, Set.of(), 0, weighted(0)));
    double atMs = 0;
    for (double length : new double[] {1_000, 2_000, 4_000, 4_000}) {
      for (int i = 0; !engine.isEjected(0) || i == 0; i++) {
        engine.on(atMs, request("a" + atMs + i, 11, atMs + 2_000));
        engine.on(atMs, callEnded("a" + atMs + i, 0, Result.FAILED));
      }
      assertActions(atMs, request("b", 11, atMs + 2_000), new Refuse("b", NoDecisionCause.EJECTED, length));
      atMs += length;
    }
  }

  @Test
  void ejectionsAreLengthenedAtRandomAndHoldOffsMatchThem() {
    for (long seed = 1; seed <= 20; seed++) {
      engine = new AuthzEngine(new AuthzSettings(List.of(new Authoriser("one", 2, 1_000)),
          List.of(member(false, Set.of(), 0, weighted(0))), new Health(1, 0.5, 1_000, 4_000, 0.2)), seed);
      engine.on(0, request("a"));
      Refuse refused = (Refuse) engine.on(0, callEnded("a", 0, Result.FAILED)).get(0);
      assertTrue(refused.holdOffMs() >= 1_000 && refused.holdOffMs() < 1_200, "seed " + seed);
      double opens = refused.holdOffMs();
      assertTrue(engine.on(opens - 1, request("b", 11, 9_000)).get(0) instanceof Refuse, "seed " + seed);
      assertTrue(engine.on(opens, request("c", 11, 9_000)).get(0) instanceof StartCall, "seed " + seed);
    }
  }

  @Test
  void anAuthoriserThatFailsMostCallsIsEjectedByItsFailureShare() {
    createEngine(member(false, Set.of(), 0, weighted(0)));
    int calls = 0;
    while (!engine.isEjected(0) && calls < 200) {
      engine.on(calls, request("a" + calls, 11, calls + 2_000));
      engine.on(calls, callEnded("a" + calls, 0, calls % 3 == 0 ? Result.ALLOWED : Result.FAILED));
      calls++;
    }
    assertTrue(calls >= 20 && calls < 60, "after " + calls);
  }

  @Test
  void callsWithAShortTimeoutDoNotCountAsFailuresByTimingOut() {
    createEngine(member(false, Set.of(), 0, weighted(0)));
    for (int i = 0; i < 50; i++) {
      assertActions(0, request("a", 11, 200), new StartCall("a", 0, 0, 100, false));
      assertActions(0, callEnded("a", 0, Result.TIMED_OUT), new Refuse("a", NoDecisionCause.FAILED, 100));
    }
    assertFalse(engine.isEjected(0));
  }

  @Test
  void theSecondAuthoriserIsCalledWhileTheFirstIsEjected() {
    createEngine(member(false, Set.of(), 0, weighted(0), weighted(1)));
    for (int i = 0; i < 3; i++) {
      assertActions(i, request("a" + i), new StartCall("a" + i, 0, 0, 300, false));
      engine.on(i, callEnded("a" + i, 0, Result.FAILED));
    }
    assertActions(10, request("b"), new StartCall("b", 0, 1, 300, false));
  }

  @Test
  void cachedDecisionsApplyOnlyToTheSameFirmAndCheckWithinTheirTime() {
    createEngine(member(false, Set.of(), 1_000, weighted(0)));
    assertActions(0, request("a"), new StartCall("a", 0, 0, 300, false));
    assertActions(0, new CallEnded("a", 0, Result.ALLOWED, 5_000, "g"),
        new Pass("a", PassReason.ALLOWED, "g"));
    assertActions(999, request("b"), new Pass("b", PassReason.ALLOWED_BEFORE, "g"));
    assertActions(999, request("c", 12, 2_000), new StartCall("c", 0, 0, 300, false));
    assertActions(999, new Arrived("d", BUY, "full", 11, 2_000, 10, "other"),
        new StartCall("d", 0, 0, 300, false));
    assertActions(1_000, callEnded("d", 0, Result.DENIED), new Deny("d", 0));
    assertActions(1_000, request("e"), new StartCall("e", 0, 0, 300, false));
  }

  @Test
  void noDecisionIsCachedUnlessBothAuthoriserAndMemberPermitIt() {
    createEngine(member(false, Set.of(), 1_000, weighted(0)));
    assertActions(0, request("a"), new StartCall("a", 0, 0, 300, false));
    assertActions(0, callEnded("a", 0, Result.ALLOWED), new Pass("a", PassReason.ALLOWED, null));
    assertActions(1, request("b"), new StartCall("b", 0, 0, 300, false));
    createEngine(member(false, Set.of(), 0, weighted(0)));
    assertActions(0, request("a"), new StartCall("a", 0, 0, 300, false));
    assertActions(0, new CallEnded("a", 0, Result.ALLOWED, 900, null),
        new Pass("a", PassReason.ALLOWED, null));
    assertActions(1, request("b"), new StartCall("b", 0, 0, 300, false));
  }

  @Test
  void cachedDecisionsAreLimited() {
    createEngine(member(false, Set.of(), 1_000, weighted(0)));
    for (String id : List.of("x", "y", "z")) {
      engine.on(0, new Arrived(id, BUY, "full", 11, 2_000, 0, id));
      engine.on(0, new CallEnded(id, 0, Result.ALLOWED, 900, null));
    }
    assertActions(1, new Arrived("a", BUY, "full", 11, 2_000, 0, "z"),
        new Pass("a", PassReason.ALLOWED_BEFORE, null));
    assertActions(1, new Arrived("b", BUY, "full", 11, 2_000, 0, "y"),
        new Pass("b", PassReason.ALLOWED_BEFORE, null));
    assertActions(1, new Arrived("c", BUY, "full", 11, 2_000, 0, "x"), new StartCall("c", 0, 0, 300, false));
  }

  @Test
  void callsAreDistributedByWeight() {
    createEngine(new Member("acme", List.of(), Set.of(), Set.of(BUY), List.of(new WeightedAuthoriser(0, 3),
        new WeightedAuthoriser(1, 1)), Choice.WEIGHT, 300, 0.5, false, Set.of(), 0, 1));
    int first = 0;
    for (int i = 0; i < 4_000; i++) {
      StartCall ask = (StartCall) engine.on(i, request("a", 11, i + 2_000)).get(0);
      first += ask.authoriser() == 0 ? 1 : 0;
      engine.on(i, callEnded("a", 0, Result.ALLOWED));
    }
    assertEquals(3_000, first, 150);
  }

  @Test
  void invalidSettingsAreRejected() {
    assertEquals("mostCalls: 0.0 (expected: > 0)", assertThrows(IllegalArgumentException.class,
        () -> new Authoriser("a", 0, 1)).getMessage());
    assertThrows(IllegalArgumentException.class, () -> new FirmRange(2, 1));
    assertThrows(IllegalArgumentException.class, () -> new Health(1, 0.5, 10, 9, 0));
    assertThrows(IllegalArgumentException.class, () -> member(false, Set.of(), 0));
    assertThrows(IllegalArgumentException.class, () -> new Member("m", List.of(), Set.of(), Set.of(),
        List.of(weighted(0)), Choice.ORDER, 1, 1, false, Set.of(), 0, 1));
    createEngine(member(false, Set.of(), 0, weighted(0)));
    engine.on(0, request("a"));
    assertThrows(IllegalArgumentException.class, () -> engine.on(1, request("a")));
  }

  /** Random events, valid or not: each request is decided once, and no rule for calls is broken. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void randomHistoriesDecideEachRequestOnce(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    boolean repeatable = seed % 2 == 0;
    createEngine(member(repeatable, seed % 3 == 0 ? Set.of(BUY) : Set.of(), seed % 4 < 2 ? 500 : 0,
        weighted(0), weighted(1)));
    Map<String, Integer> decisions = new HashMap<>();
    Map<String, Boolean> mayHaveReached = new HashMap<>();
    Map<String, Integer> calls = new HashMap<>();
    Set<String> ended = new HashSet<>();
    List<String> ids = new ArrayList<>();
    double nowMs = 0;
    for (int step = 0; step < 20_000; step++) {
      nowMs += random.nextDouble() * 20;
      String id = ids.isEmpty() ? "" : ids.get(Math.max(0, ids.size() - 1 - random.nextInt(8)));
      List<AuthzAction> actions;
      int kind = random.nextInt(10);
      if (kind < 4) {
        id = "r" + step;
        ids.add(id);
        actions = engine.on(nowMs, new Arrived(id, BUY, "full", 10 + random.nextInt(11),
            nowMs + random.nextInt(900), random.nextInt(800), "s" + random.nextInt(4)));
      } else if (kind < 9) {
        Result result = Result.values()[random.nextInt(Result.values().length)];
        int call = random.nextInt(2);
        if (calls.getOrDefault(id, -1) == call && !decisions.containsKey(id) && !ended.contains(id)) {
          mayHaveReached.merge(id, result != Result.NOT_REACHED, Boolean::logicalOr);
        }
        actions = engine.on(nowMs, new CallEnded(id, call, result, random.nextInt(900), null));
      } else {
        ended.add(id);
        actions = engine.on(nowMs, new RequestEnded(id));
      }
      for (AuthzAction a : actions) {
        if (a instanceof StartCall ask) {
          assertFalse(decisions.containsKey(ask.id()) || ended.contains(ask.id()), () -> "seed " + seed);
          assertTrue(repeatable || !mayHaveReached.getOrDefault(ask.id(), false), () -> "seed " + seed);
          assertEquals(calls.getOrDefault(ask.id(), -1) + 1, ask.call(), () -> "seed " + seed);
          calls.put(ask.id(), ask.call());
        } else if (!(a instanceof CancelCall)) {
          String decided = a instanceof Pass p ? p.id() : a instanceof Deny d ? d.id() : ((Refuse) a).id();
          assertFalse(ended.contains(decided), () -> "seed " + seed);
          assertEquals(1, decisions.merge(decided, 1, Integer::sum), () -> "seed " + seed + " " + decided);
        }
      }
      assertTrue(engine.callsOut(0) <= 2 && engine.callsOut(1) <= 2, () -> "seed " + seed);
      assertEquals(engine.undecidedCount(), engine.callsOut(0) + engine.callsOut(1), () -> "seed " + seed);
    }
    for (String id : ids) {
      engine.on(nowMs, new RequestEnded(id));
    }
    assertEquals(0, engine.undecidedCount() + engine.callsOut(0) + engine.callsOut(1));
  }
}
