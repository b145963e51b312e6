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

/** Histories of checks. */
class GatekeeperTest {

  private static final Health HEALTH = new Health(3, 0.5, 1_000, 4_000, 0);
  private static final String BUY = "register-buy";

  private AuthzEngine keeper;

  private static Member member(boolean repeatable, Set<String> open, double cacheMs,
      WeightedAuthoriser... asked) {
    return new Member("acme", List.of(new FirmRange(10, 19)), Set.of(), Set.of(BUY), List.of(asked),
        Choice.ORDER, 300, 0.5, repeatable, open, cacheMs, 2);
  }

  private static WeightedAuthoriser at(int authoriser) {
    return new WeightedAuthoriser(authoriser, 1);
  }

  private void given(Member... members) {
    keeper = new AuthzEngine(new AuthzSettings(List.of(new Authoriser("one", 2, 1_000),
        new Authoriser("two", 2, 1_000)), List.of(members), HEALTH), 1);
  }

  private void then(double at, AuthzEvent event, AuthzAction... actions) {
    assertEquals(List.of(actions), keeper.on(at, event), () -> event + " at " + at);
  }

  private static Arrived request(String id) {
    return request(id, 11, 2_000);
  }

  private static Arrived request(String id, long customer, double giveUpMs) {
    return new Arrived(id, BUY, "full", customer, giveUpMs, 10, "what");
  }

  private static CallEnded answer(String id, int call, Result result) {
    return new CallEnded(id, call, result, 0, null);
  }

  @Test
  void onlyTheMembersClassesPlansAndFirmsAreAskedAbout() {
    given(new Member("acme", List.of(new FirmRange(10, 19)), Set.of("full"), Set.of(BUY), List.of(at(0)),
        Choice.ORDER, 300, 0.5, false, Set.of(), 0, 1));
    then(0, new Arrived("a", "check-quote", "full", 11, 2_000, 0, null),
        new Pass("a", PassReason.NOT_ASKED, null));
    then(0, new Arrived("b", BUY, "basic", 11, 2_000, 0, null), new Pass("b", PassReason.NOT_ASKED, null));
    then(0, new Arrived("c", BUY, "full", 20, 2_000, 0, null), new Pass("c", PassReason.NOT_ASKED, null));
    then(0, new Arrived("d", BUY, "full", 19, 2_000, 0, null), new StartCall("d", 0, 0, 300, false));
  }

  @Test
  void anAllowPassesWithWhatCameWithItAndADenialDenies() {
    given(member(false, Set.of(), 0, at(0)));
    then(0, request("a"), new StartCall("a", 0, 0, 300, false));
    then(9, new CallEnded("a", 0, Result.ALLOWED, 500, "grant"), new Pass("a", PassReason.ALLOWED, "grant"));
    then(10, request("b"), new StartCall("b", 0, 0, 300, false));
    then(19, answer("b", 0, Result.DENIED), new Deny("b", 0));
    assertEquals(0, keeper.undecidedCount());
  }

  @Test
  void aSecondAnswerAndOneAfterTheEndCountForNothing() {
    given(member(false, Set.of(), 0, at(0)));
    then(0, request("a"), new StartCall("a", 0, 0, 300, false));
    then(9, answer("a", 0, Result.DENIED), new Deny("a", 0));
    then(10, answer("a", 0, Result.ALLOWED));
    then(20, request("b"), new StartCall("b", 0, 0, 300, false));
    then(25, new RequestEnded("b"), new CancelCall("b", 0));
    then(26, answer("b", 0, Result.ALLOWED));
    then(27, new RequestEnded("b"));
    assertEquals(0, keeper.callsOut(0));
  }

  @ParameterizedTest
  @EnumSource(names = {"FAILED", "TIMED_OUT", "BAD_ANSWER"})
  void aCallThatMayHaveReachedItsAuthoriserIsNotRepeated(Result result) {
    given(member(false, Set.of(), 0, at(0), at(1)));
    then(0, request("a"), new StartCall("a", 0, 0, 300, false));
    then(9, answer("a", 0, result), new Refuse("a", NoDecisionCause.FAILED, 100));
  }

  @ParameterizedTest
  @EnumSource(names = {"FAILED", "TIMED_OUT", "BAD_ANSWER"})
  void unlessItsChecksAreIdempotent(Result result) {
    given(member(true, Set.of(), 0, at(0), at(1)));
    then(0, request("a"), new StartCall("a", 0, 0, 300, false));
    then(9, answer("a", 0, result), new StartCall("a", 1, 1, 300, false));
    then(10, answer("a", 0, Result.ALLOWED));
    then(20, answer("a", 1, result), new Refuse("a", NoDecisionCause.FAILED, 100));
  }

  @Test
  void oneThatProvablyNeverReachedItIsAskedElsewhereInAnyCase() {
    given(member(false, Set.of(), 0, at(0), at(1)));
    then(0, request("a"), new StartCall("a", 0, 0, 300, false));
    then(9, answer("a", 0, Result.NOT_REACHED), new StartCall("a", 1, 1, 300, false));
    then(12, answer("a", 1, Result.ALLOWED), new Pass("a", PassReason.ALLOWED, null));
  }

  @Test
  void callsLeaveTheBackendsTheirShareOfTheTime() {
    given(member(true, Set.of(), 0, at(0), at(1)));
    then(0, request("a", 11, 400), new StartCall("a", 0, 0, 200, false));
    then(150, answer("a", 0, Result.FAILED), new StartCall("a", 1, 1, 50, false));
    then(196, answer("a", 1, Result.NOT_REACHED), new Refuse("a", NoDecisionCause.LATE, 100));
    then(200, request("b", 11, 208), new Refuse("b", NoDecisionCause.LATE, 100));
  }

  @Test
  void withoutAnAnswerAClassThatFailsOpenGoesOn() {
    given(member(false, Set.of(BUY), 0, at(0)));
    then(0, request("a"), new StartCall("a", 0, 0, 300, false));
    then(300, answer("a", 0, Result.TIMED_OUT), new Pass("a", PassReason.FAILED_OPEN, null));
    then(301, request("b"), new StartCall("b", 0, 0, 300, false));
    then(302, answer("b", 0, Result.DENIED), new Deny("b", 0));
  }

  @Test
  void noMoreCallsAreOutThanTheBoundAndNoMoreBytesButForOneCall() {
    given(member(false, Set.of(), 0, at(0)));
    then(0, new Arrived("a", BUY, "full", 11, 2_000, 5_000, null), new StartCall("a", 0, 0, 300, false));
    then(0, request("b"), new Refuse("b", NoDecisionCause.BUSY, 100));
    then(1, answer("a", 0, Result.ALLOWED), new Pass("a", PassReason.ALLOWED, null));
    then(2, request("c"), new StartCall("c", 0, 0, 300, false));
    then(2, request("d"), new StartCall("d", 0, 0, 300, false));
    then(2, request("e"), new Refuse("e", NoDecisionCause.BUSY, 100));
    assertEquals(2, keeper.callsOut(0));
  }

  @Test
  void failuresInARowEjectAndSingleProbesBringBack() {
    given(member(false, Set.of(), 0, at(0)));
    for (int i = 0; i < 3; i++) {
      then(i, request("a" + i), new StartCall("a" + i, 0, 0, 300, false));
      then(i, answer("a" + i, 0, Result.FAILED),
          new Refuse("a" + i, NoDecisionCause.FAILED, i < 2 ? 100 : 1_000));
    }
    assertTrue(keeper.isEjected(0));
    then(502, request("b"), new Refuse("b", NoDecisionCause.EJECTED, 500));
    then(1_002, request("c", 11, 9_000), new StartCall("c", 0, 0, 300, true));
    then(1_003, request("d", 11, 9_000), new Refuse("d", NoDecisionCause.EJECTED, 100));
    then(1_100, answer("c", 0, Result.TIMED_OUT), new Refuse("c", NoDecisionCause.FAILED, 2_000));
    then(3_099, request("e", 11, 9_000), new Refuse("e", NoDecisionCause.EJECTED, 100));
    then(3_100, request("f", 11, 9_000), new StartCall("f", 0, 0, 300, true));
    then(3_101, new RequestEnded("f"), new CancelCall("f", 0));
    then(3_102, request("g", 11, 9_000), new StartCall("g", 0, 0, 300, true));
    then(3_110, answer("g", 0, Result.DENIED), new Deny("g", 0));
    assertFalse(keeper.isEjected(0));
    then(3_111, request("h", 11, 9_000), new StartCall("h", 0, 0, 300, false));
  }

  @Test
  void ejectionsGrowToTheirBound() {
    given(member(false, Set.of(), 0, at(0)));
    double at = 0;
    for (double length : new double[] {1_000, 2_000, 4_000, 4_000}) {
      for (int i = 0; !keeper.isEjected(0) || i == 0; i++) {
        keeper.on(at, request("a" + at + i, 11, at + 2_000));
        keeper.on(at, answer("a" + at + i, 0, Result.FAILED));
      }
      then(at, request("b", 11, at + 2_000), new Refuse("b", NoDecisionCause.EJECTED, length));
      at += length;
    }
  }

  @Test
  void ejectionsAreSpreadByChanceAndToldTruly() {
    for (long seed = 1; seed <= 20; seed++) {
      keeper = new AuthzEngine(new AuthzSettings(List.of(new Authoriser("one", 2, 1_000)),
          List.of(member(false, Set.of(), 0, at(0))), new Health(1, 0.5, 1_000, 4_000, 0.2)), seed);
      keeper.on(0, request("a"));
      Refuse refused = (Refuse) keeper.on(0, answer("a", 0, Result.FAILED)).get(0);
      assertTrue(refused.holdOffMs() >= 1_000 && refused.holdOffMs() < 1_200, "seed " + seed);
      double opens = refused.holdOffMs();
      assertTrue(keeper.on(opens - 1, request("b", 11, 9_000)).get(0) instanceof Refuse, "seed " + seed);
      assertTrue(keeper.on(opens, request("c", 11, 9_000)).get(0) instanceof StartCall, "seed " + seed);
    }
  }

  @Test
  void anAuthoriserThatFailsMostOfItsCallsIsEjectedThoughNeverInARow() {
    given(member(false, Set.of(), 0, at(0)));
    int calls = 0;
    while (!keeper.isEjected(0) && calls < 200) {
      keeper.on(calls, request("a" + calls, 11, calls + 2_000));
      keeper.on(calls, answer("a" + calls, 0, calls % 3 == 0 ? Result.ALLOWED : Result.FAILED));
      calls++;
    }
    assertTrue(calls >= 20 && calls < 60, "after " + calls);
  }

  @Test
  void whatWasGivenLittleTimeTellsNothingByTimingOut() {
    given(member(false, Set.of(), 0, at(0)));
    for (int i = 0; i < 50; i++) {
      then(0, request("a", 11, 200), new StartCall("a", 0, 0, 100, false));
      then(0, answer("a", 0, Result.TIMED_OUT), new Refuse("a", NoDecisionCause.FAILED, 100));
    }
    assertFalse(keeper.isEjected(0));
  }

  @Test
  void theOtherAuthoriserIsAskedWhileTheFirstIsEjected() {
    given(member(false, Set.of(), 0, at(0), at(1)));
    for (int i = 0; i < 3; i++) {
      then(i, request("a" + i), new StartCall("a" + i, 0, 0, 300, false));
      keeper.on(i, answer("a" + i, 0, Result.FAILED));
    }
    then(10, request("b"), new StartCall("b", 0, 1, 300, false));
  }

  @Test
  void allowsAreUsedAgainOnlyForTheSameFirmAndCheckAndTime() {
    given(member(false, Set.of(), 1_000, at(0)));
    then(0, request("a"), new StartCall("a", 0, 0, 300, false));
    then(0, new CallEnded("a", 0, Result.ALLOWED, 5_000, "g"), new Pass("a", PassReason.ALLOWED, "g"));
    then(999, request("b"), new Pass("b", PassReason.ALLOWED_BEFORE, "g"));
    then(999, request("c", 12, 2_000), new StartCall("c", 0, 0, 300, false));
    then(999, new Arrived("d", BUY, "full", 11, 2_000, 10, "other"), new StartCall("d", 0, 0, 300, false));
    then(1_000, answer("d", 0, Result.DENIED), new Deny("d", 0));
    then(1_000, request("e"), new StartCall("e", 0, 0, 300, false));
  }

  @Test
  void withoutItsPermissionOrAMembersWishNoAllowIsUsedAgain() {
    given(member(false, Set.of(), 1_000, at(0)));
    then(0, request("a"), new StartCall("a", 0, 0, 300, false));
    then(0, answer("a", 0, Result.ALLOWED), new Pass("a", PassReason.ALLOWED, null));
    then(1, request("b"), new StartCall("b", 0, 0, 300, false));
    given(member(false, Set.of(), 0, at(0)));
    then(0, request("a"), new StartCall("a", 0, 0, 300, false));
    then(0, new CallEnded("a", 0, Result.ALLOWED, 900, null), new Pass("a", PassReason.ALLOWED, null));
    then(1, request("b"), new StartCall("b", 0, 0, 300, false));
  }

  @Test
  void noMoreAllowsAreKeptThanTheBound() {
    given(member(false, Set.of(), 1_000, at(0)));
    for (String what : List.of("x", "y", "z")) {
      keeper.on(0, new Arrived(what, BUY, "full", 11, 2_000, 0, what));
      keeper.on(0, new CallEnded(what, 0, Result.ALLOWED, 900, null));
    }
    then(1, new Arrived("a", BUY, "full", 11, 2_000, 0, "z"), new Pass("a", PassReason.ALLOWED_BEFORE, null));
    then(1, new Arrived("b", BUY, "full", 11, 2_000, 0, "y"), new Pass("b", PassReason.ALLOWED_BEFORE, null));
    then(1, new Arrived("c", BUY, "full", 11, 2_000, 0, "x"), new StartCall("c", 0, 0, 300, false));
  }

  @Test
  void weightsShareTheCallsOut() {
    given(new Member("acme", List.of(), Set.of(), Set.of(BUY), List.of(new WeightedAuthoriser(0, 3),
        new WeightedAuthoriser(1, 1)), Choice.WEIGHT, 300, 0.5, false, Set.of(), 0, 1));
    int first = 0;
    for (int i = 0; i < 4_000; i++) {
      StartCall ask = (StartCall) keeper.on(i, request("a", 11, i + 2_000)).get(0);
      first += ask.authoriser() == 0 ? 1 : 0;
      keeper.on(i, answer("a", 0, Result.ALLOWED));
    }
    assertEquals(3_000, first, 150);
  }

  @Test
  void badSettingsAreNamed() {
    assertEquals("mostCalls: 0.0 (expected: > 0)", assertThrows(IllegalArgumentException.class,
        () -> new Authoriser("a", 0, 1)).getMessage());
    assertThrows(IllegalArgumentException.class, () -> new FirmRange(2, 1));
    assertThrows(IllegalArgumentException.class, () -> new Health(1, 0.5, 10, 9, 0));
    assertThrows(IllegalArgumentException.class, () -> member(false, Set.of(), 0));
    assertThrows(IllegalArgumentException.class, () -> new Member("m", List.of(), Set.of(), Set.of(),
        List.of(at(0)), Choice.ORDER, 1, 1, false, Set.of(), 0, 1));
    given(member(false, Set.of(), 0, at(0)));
    keeper.on(0, request("a"));
    assertThrows(IllegalArgumentException.class, () -> keeper.on(1, request("a")));
  }

  /** Random events, sensible or not: each request is decided once and no rule of asking is broken. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void anyHistoryDecidesEachRequestOnce(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    boolean repeatable = seed % 2 == 0;
    given(member(repeatable, seed % 3 == 0 ? Set.of(BUY) : Set.of(), seed % 4 < 2 ? 500 : 0, at(0), at(1)));
    Map<String, Integer> decisions = new HashMap<>();
    Map<String, Boolean> mayHaveReached = new HashMap<>();
    Map<String, Integer> calls = new HashMap<>();
    Set<String> over = new HashSet<>();
    List<String> ids = new ArrayList<>();
    double at = 0;
    for (int step = 0; step < 20_000; step++) {
      at += random.nextDouble() * 20;
      String id = ids.isEmpty() ? "" : ids.get(Math.max(0, ids.size() - 1 - random.nextInt(8)));
      List<AuthzAction> actions;
      int kind = random.nextInt(10);
      if (kind < 4) {
        id = "r" + step;
        ids.add(id);
        actions = keeper.on(at, new Arrived(id, BUY, "full", 10 + random.nextInt(11), at + random.nextInt(
            900), random.nextInt(800), "s" + random.nextInt(4)));
      } else if (kind < 9) {
        Result result = Result.values()[random.nextInt(Result.values().length)];
        int call = random.nextInt(2);
        if (calls.getOrDefault(id, -1) == call && !decisions.containsKey(id) && !over.contains(id)) {
          mayHaveReached.merge(id, result != Result.NOT_REACHED, Boolean::logicalOr);
        }
        actions = keeper.on(at, new CallEnded(id, call, result, random.nextInt(900), null));
      } else {
        over.add(id);
        actions = keeper.on(at, new RequestEnded(id));
      }
      for (AuthzAction a : actions) {
        if (a instanceof StartCall ask) {
          assertFalse(decisions.containsKey(ask.id()) || over.contains(ask.id()), () -> "seed " + seed);
          assertTrue(repeatable || !mayHaveReached.getOrDefault(ask.id(), false), () -> "seed " + seed);
          assertEquals(calls.getOrDefault(ask.id(), -1) + 1, ask.call(), () -> "seed " + seed);
          calls.put(ask.id(), ask.call());
        } else if (!(a instanceof CancelCall)) {
          String decided = a instanceof Pass p ? p.id() : a instanceof Deny d ? d.id() : ((Refuse) a).id();
          assertFalse(over.contains(decided), () -> "seed " + seed);
          assertEquals(1, decisions.merge(decided, 1, Integer::sum), () -> "seed " + seed + " " + decided);
        }
      }
      assertTrue(keeper.callsOut(0) <= 2 && keeper.callsOut(1) <= 2, () -> "seed " + seed);
      assertEquals(keeper.undecidedCount(), keeper.callsOut(0) + keeper.callsOut(1), () -> "seed " + seed);
    }
    for (String id : ids) {
      keeper.on(at, new RequestEnded(id));
    }
    assertEquals(0, keeper.undecidedCount() + keeper.callsOut(0) + keeper.callsOut(1));
  }
}
