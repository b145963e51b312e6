package willowdoor.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import willowdoor.testkit.InvariantChecker.Violation;
import willowdoor.testkit.InvariantChecker.Rule;
import willowdoor.testkit.InvariantChecker.Verdict;
import willowdoor.testkit.EventHistory.ClientRequest;
import willowdoor.testkit.EventHistory.Entry;
import willowdoor.testkit.EventHistory.Kind;

/**
 * Records histories that violate a rule and histories that are allowed, and checks which violations are
 * found.
 */
class InvariantCheckerTest {

  private final EventHistory eventHistory = new EventHistory();

  private Verdict verdict() {
    return new InvariantChecker(eventHistory, RunSettings.typical(),
        new InvariantChecker.BackendCapacity(2, 100)).verdict();
  }

  private void assertOnlyViolation(Rule rule, String request) {
    Verdict v = verdict();
    assertEquals(List.of(rule), v.violations().stream().map(Violation::rule).toList(), v::toString);
    assertTrue(v.violations().get(0).history().stream().anyMatch(e -> e.subject().equals(request)),
        v::toString);
  }

  private void sendRequest(String id, RequestKind kind, double atMs) {
    sendRequest(id, kind, atMs, "full", 1);
  }

  private void sendRequest(String id, RequestKind kind, double atMs, String plan, int units) {
    eventHistory.registerRequest(new ClientRequest(id, "firm-" + plan, plan, kind,
        kind.keyed() ? "k" + id : null, units, 2_000, 0,
        atMs));
    record(id, Kind.ASKED, atMs, "d0", 0, "");
  }

  private void record(String id, Kind kind, double atMs, String at, double amount, String note) {
    eventHistory.add(new Entry(atMs, kind, id, at, amount, note));
  }

  private void recordMachine(Kind kind, double atMs, String name, String other, String note) {
    eventHistory.addMachineEntry(new Entry(atMs, kind, name, other, 0, note));
  }

  private void recordAttempt(String id, double atMs, String backend, String connection) {
    record(id, Kind.FIRST_BYTE, atMs, backend, 0, connection);
    record(id, Kind.LAST_BYTE, atMs, backend, 1, connection);
  }

  private void recordServed(String id, double atMs, String backend) {
    recordAttempt(id, atMs + 1, backend, "c" + id);
    record(id, Kind.EFFECT, atMs + 1, backend, 1, "c" + id);
    record(id, Kind.REPLIED, atMs + 90, backend, 200, "c" + id);
    record(id, Kind.ANSWERED, atMs + 91, "d0", 200, "");
  }

  @Test
  void aCleanRunBreaksNothing() {
    for (int i = 0; i < 50; i++) {
      sendRequest("r" + i, i % 2 == 0 ? RequestKind.BUY : RequestKind.QUOTE, i * 200);
      recordServed("r" + i, i * 200, "b0");
    }
    sendRequest("refused", RequestKind.BUY, 11_000);
    record("refused", Kind.ANSWERED, 11_001, "d0", 429, "");
    Verdict v = verdict();
    assertTrue(v.passed(), v::toString);
    assertEquals(50, v.served());
    assertEquals(1, v.refused());
  }

  private void assertOperatorViolations(List<Rule> broken) {
    Verdict v = new InvariantChecker(eventHistory, RunSettings.typical(),
        new InvariantChecker.BackendCapacity(2, 100))
        .withBudgets(new InvariantChecker.Budgets(1, 1, x -> x.startsWith("d"), 5_000)).verdict();
    assertEquals(broken, v.violations().stream().map(Violation::rule).toList(), v::toString);
  }

  @Test
  void findsMoreMembersOutThanTheBudgetAllows() {
    recordMachine(Kind.PERMITTED, 100, "d1", "1", "");
    recordMachine(Kind.PERMITTED, 150, "d1", "1", "");
    recordMachine(Kind.PERMITTED, 200, "b1", "2", "");
    recordMachine(Kind.GIVEN_BACK, 300, "d1", "1", "");
    recordMachine(Kind.PERMITTED, 400, "d2", "3", "");
    assertOperatorViolations(List.of());
    recordMachine(Kind.PERMITTED, 500, "d3", "4", "");
    assertOperatorViolations(List.of(Rule.BUDGET_KEPT));
  }

  @Test
  void countsADoorThatWasKilledLongAgoAndNotOneThatIsBack() {
    recordMachine(Kind.KILLED, 100, "d1", "", "");
    recordMachine(Kind.STARTED, 200, "d1", "", "");
    recordMachine(Kind.KILLED, 300, "d2", "", "");
    recordMachine(Kind.PERMITTED, 5_200, "d3", "1", "");
    assertOperatorViolations(List.of());
    recordMachine(Kind.GIVEN_BACK, 5_250, "d3", "1", "");
    recordMachine(Kind.PERMITTED, 5_400, "d4", "2", "");
    assertOperatorViolations(List.of(Rule.BUDGET_KEPT));
  }

  @Test
  void findsAPermitWithTwoHoldersAndAHolderOfTwoPermits() {
    recordMachine(Kind.PERMITTED, 100, "d1", "1", "");
    recordMachine(Kind.GIVEN_BACK, 200, "d1", "1", "");
    recordMachine(Kind.PERMITTED, 300, "d2", "1", "");
    assertOperatorViolations(List.of(Rule.PERMIT_ONE_HOLDER));
    recordMachine(Kind.PERMITTED, 400, "d2", "2", "");
    assertOperatorViolations(List.of(Rule.PERMIT_ONE_HOLDER, Rule.PERMIT_ONE_HOLDER));
  }

  @Test
  void findsARequestSentToABackendThatIsOut() {
    recordMachine(Kind.OUT, 1_000, "b0", "1", "");
    recordMachine(Kind.GIVEN_BACK, 2_000, "b0", "1", "");
    for (int at : new int[] {900, 2_100}) {
      sendRequest("r" + at, RequestKind.QUOTE, at);
      recordServed("r" + at, at, "b0");
    }
    assertOperatorViolations(List.of());
    sendRequest("r", RequestKind.QUOTE, 1_500);
    recordServed("r", 1_500, "b0");
    assertOperatorViolations(List.of(Rule.SENT_TO_NONE_OUT));
  }

  private void recordProcess(Kind kind, double atMs, String door, String version, int pid) {
    eventHistory.addMachineEntry(new Entry(atMs, kind, door, version, pid, ""));
  }

  @Test
  void findsAThirdVersion() {
    recordProcess(Kind.RUNS, 100, "d1", "1", 1);
    recordProcess(Kind.RUNS, 200, "d2", "1", 2);
    recordProcess(Kind.RUNS, 300, "d1", "2", 3);
    recordProcess(Kind.RAN, 400, "d1", "1", 1);
    recordProcess(Kind.RAN, 500, "d2", "1", 2);
    recordProcess(Kind.RUNS, 600, "d2", "3", 4);
    assertOperatorViolations(List.of());
    recordProcess(Kind.RUNS, 700, "d3", "1", 5);
    assertOperatorViolations(List.of(Rule.TWO_VERSIONS));
  }

  @Test
  void findsAProcessStartedAfterAHalt() {
    recordMachine(Kind.LET_ON, 100, "", "2", "");
    recordProcess(Kind.RUNS, 150, "d1", "2", 1);
    recordMachine(Kind.HALTED, 200, "", "2", "");
    recordProcess(Kind.RUNS, 250, "d3", "1", 2);
    recordMachine(Kind.LET_ON, 300, "", "1", "");
    recordProcess(Kind.RUNS, 350, "d1", "1", 3);
    recordMachine(Kind.HALTED, 400, "", "1", "");
    assertOperatorViolations(List.of());
    recordProcess(Kind.RUNS, 450, "d2", "1", 4);
    assertOperatorViolations(List.of(Rule.HALT_KEPT));
  }

  @Test
  void findsARollbackThatNeverEndsOrIsReportedFalsely() {
    recordProcess(Kind.RUNS, 50, "d1", "1", 1);
    recordProcess(Kind.RUNS, 60, "d2", "2", 2);
    recordMachine(Kind.LET_ON, 100, "", "1", "");
    assertOperatorViolations(List.of(Rule.WAY_BACK_ENDS));
    recordProcess(Kind.RUNS, 150, "d2", "1", 3);
    recordMachine(Kind.RELEASED, 200, "", "1", "");
    assertOperatorViolations(List.of());
    recordMachine(Kind.RELEASED, 300, "", "2", "");
    assertOperatorViolations(List.of(Rule.WAY_BACK_ENDS));
  }

  @Test
  void findsAnEffectThatRanTwice() {
    sendRequest("r", RequestKind.BUY, 100);
    recordAttempt("r", 101, "b0", "c1");
    record("r", Kind.EFFECT, 101, "b0", 1, "c1");
    record("r", Kind.ATTEMPT_ENDED, 150, "b0", 0, "c1");
    recordServed("r", 200, "b1");
    assertOnlyViolation(Rule.EFFECT_ONCE, "r");
  }

  @Test
  void findsTwoAttemptsOutAtOnce() {
    sendRequest("r", RequestKind.QUOTE, 100);
    recordAttempt("r", 101, "b0", "c1");
    recordServed("r", 200, "b1");
    record("r", Kind.ATTEMPT_ENDED, 400, "b0", 0, "c1");
    assertOnlyViolation(Rule.ONE_ATTEMPT_OUT, "r");
  }

  /** The close of one connection may be read after data that arrived later on another connection. */
  @Test
  void passesACloseReadAfterTheNextAttemptBegan() {
    sendRequest("r", RequestKind.QUOTE, 100);
    recordAttempt("r", 101, "b0", "c1");
    recordAttempt("r", 150, "b1", "c2");
    record("r", Kind.ATTEMPT_ENDED, 152, "b0", 0, "c1");
    record("r", Kind.REPLIED, 200, "b1", 200, "c2");
    record("r", Kind.ANSWERED, 201, "d0", 200, "");
    Verdict v = verdict();
    assertTrue(v.passed(), v::toString);
  }

  @Test
  void findsALateAnswer() {
    sendRequest("r", RequestKind.QUOTE, 100);
    recordServed("r", 100 + 2_000 + InvariantChecker.DEADLINE_SLACK_MS, "b0");
    assertOnlyViolation(Rule.ANSWERED_ONCE, "r");
  }

  @Test
  void findsALostRequest() {
    sendRequest("r", RequestKind.QUOTE, 100);
    record("r", Kind.GAVE_UP, 2_101, "d0", 0, "");
    assertOnlyViolation(Rule.ANSWERED_ONCE, "r");
  }

  @Test
  void findsASecondAnswer() {
    sendRequest("r", RequestKind.QUOTE, 100);
    recordServed("r", 100, "b0");
    record("r", Kind.ANSWERED, 300, "d0", 502, "after its end");
    assertOnlyViolation(Rule.ANSWERED_ONCE, "r");
  }

  @Test
  void findsAnAnswerThatNoBackendMade() {
    sendRequest("r", RequestKind.QUOTE, 100);
    recordServed("r", 100, "b0");
    record("r", Kind.FORGED, 191, "d0", 0, "");
    assertOnlyViolation(Rule.ANSWERED_ONCE, "r");
  }

  @Test
  void findsAReusedConnectionCutAfterTheRequestWasForwarded() {
    sendRequest("r", RequestKind.QUOTE, 100);
    recordAttempt("r", 101, "b0", "c1");
    record("r", Kind.CUT, 120, "d0", 0, "kept");
    assertOnlyViolation(Rule.ANSWERED_ONCE, "r");
  }

  @Test
  void excusesAReusedConnectionCutBeforeTheRequestWasReadAndItsResend() {
    sendRequest("r", RequestKind.QUOTE, 100);
    record("r", Kind.CUT, 101, "d0", 0, "kept");
    record("r", Kind.ASKED, 102, "d0", 0, "");
    recordServed("r", 103, "b0");
    Verdict v = verdict();
    assertTrue(v.passed(), v::toString);
  }

  @Test
  void findsAFreshConnectionCutUnanswered() {
    sendRequest("r", RequestKind.QUOTE, 100);
    record("r", Kind.CUT, 101, "d0", 0, "");
    assertOnlyViolation(Rule.ANSWERED_ONCE, "r");
  }

  @Test
  void excusesRequestsOfAKilledDoorButNotOfADoorThatShutDownGracefully() {
    sendRequest("r", RequestKind.QUOTE, 100);
    record("r", Kind.CUT, 151, "d0", 0, "");
    recordMachine(Kind.KILLED, 150, "d0", "", "");
    recordMachine(Kind.STARTED, 900, "d0", "", "");
    assertTrue(verdict().passed());
    sendRequest("s", RequestKind.QUOTE, 5_000);
    record("s", Kind.CUT, 5_001, "d0", 0, "");
    recordMachine(Kind.ENDING, 4_900, "d0", "", "");
    recordMachine(Kind.EXITED, 5_001, "d0", "", "");
    assertOnlyViolation(Rule.ANSWERED_ONCE, "s");
  }

  private void refusedAfterItRan(RequestKind kind) {
    sendRequest("r", kind, 100);
    recordAttempt("r", 101, "b0", "c1");
    record("r", Kind.EFFECT, 101, "b0", 1, "c1");
    record("r", Kind.ATTEMPT_ENDED, 150, "b0", 0, "c1");
    record("r", Kind.ANSWERED, 151, "d0", 503, "");
  }

  @Test
  void findsARefusalOfWhatRanAndMustNotRunAgain() {
    refusedAfterItRan(RequestKind.TRANSFER);
    assertOnlyViolation(Rule.REFUSED_HARMLESS, "r");
  }

  @Test
  void passesARefusalOfWhatRanWhereAllBackendsDropRepeats() {
    refusedAfterItRan(RequestKind.BUY);
    assertTrue(verdict().passed());
  }

  @Test
  void findsASendToADrainedBackendAndOnlyAfterTheGrace() {
    recordMachine(Kind.TOLD_DRAIN, 1_000, "d0", "b0", "");
    sendRequest("early", RequestKind.QUOTE, 1_900);
    recordServed("early", 1_900, "b0");
    assertTrue(verdict().passed());
    sendRequest("late", RequestKind.QUOTE, 2_100);
    recordServed("late", 2_100, "b0");
    assertOnlyViolation(Rule.DRAIN_KEPT, "late");
  }

  @Test
  void passesASendToABackendThatServesAgain() {
    recordMachine(Kind.TOLD_DRAIN, 1_000, "d0", "b0", "");
    recordMachine(Kind.TOLD_SERVING, 2_000, "d0", "b0", "");
    sendRequest("r", RequestKind.QUOTE, 2_500);
    recordServed("r", 2_500, "b0");
    assertTrue(verdict().passed());
  }

  /**
   * Two cores at 21% do 0.42 ms of work per millisecond: 21 attempts of 100 ms in 2 s at the multiple of 2.5,
   * and 4 attempts of allowance for random variation.
   */
  @Test
  void findsAnOverloadedColdBackend() {
    recordMachine(Kind.STARTED, 1_000, "b0", "", "cold");
    for (int i = 0; i < 24; i++) {
      sendRequest("r" + i, RequestKind.QUOTE, 1_000 + i);
      recordServed("r" + i, 1_000 + i, "b0");
    }
    assertTrue(verdict().passed());
    for (int i = 24; i < 40; i++) {
      sendRequest("r" + i, RequestKind.QUOTE, 1_000 + i);
      recordServed("r" + i, 1_000 + i, "b0");
    }
    Verdict v = verdict();
    assertEquals(1, v.count(Rule.COLD_SPARED), v::toString);
  }

  /**
   * The ceiling of plan basic holds 40 units and refills at 10 per second; the slack is 8 units, and 1.5 for
   * varying arrival times.
   */
  @Test
  void findsACeilingPassedByAllDoorsTogether() {
    for (int i = 0; i < 48; i++) {
      sendRequest("r" + i, RequestKind.QUOTE, 100, "basic", 1);
      recordServed("r" + i, 100, "b0");
    }
    assertTrue(verdict().passed());
    for (int i = 48; i < 52; i++) {
      sendRequest("r" + i, RequestKind.QUOTE, 100, "basic", 1);
      recordServed("r" + i, 100, "b0");
    }
    Verdict v = verdict();
    assertEquals(1, v.count(Rule.CEILING_KEPT), v::toString);
  }

  @Test
  void findsARequestThatNoClientSent() {
    recordAttempt("invented", 100, "b0", "c1");
    assertOnlyViolation(Rule.ANSWERED_ONCE, "invented");
  }

  private void assertAuthorisationViolation(Rule rule, boolean idempotent) {
    Verdict v = new InvariantChecker(eventHistory, RunSettings.typical(),
        new InvariantChecker.BackendCapacity(2, 100),
        new InvariantChecker.Authorisation(a -> a.kind() == RequestKind.BUY, idempotent)).verdict();
    assertEquals(rule == null ? List.of() : List.of(rule),
        v.violations().stream().map(Violation::rule).toList(),
        v::toString);
  }

  private void recordCheck(String id, double atMs, Kind answer) {
    record(id, Kind.CHECKED, atMs, "one", 0, "s" + atMs);
    if (answer != null) {
      record(id, answer, atMs, "one", 0, "s" + atMs);
    }
  }

  @Test
  void findsASecondCheck() {
    sendRequest("a", RequestKind.BUY, 0);
    recordCheck("a", 1, null);
    recordCheck("a", 2, Kind.ALLOWED);
    recordServed("a", 10, "b0");
    assertAuthorisationViolation(Rule.CHECKED_ONCE, false);
    assertAuthorisationViolation(null, true);
  }

  @Test
  void findsACheckOfARequestThatNeedsNone() {
    sendRequest("a", RequestKind.QUOTE, 0);
    recordCheck("a", 1, Kind.ALLOWED);
    recordServed("a", 10, "b0");
    assertAuthorisationViolation(Rule.CHECKED_ONCE, true);
  }

  @Test
  void findsARequestForwardedWithoutOrBeforeAnAllow() {
    sendRequest("a", RequestKind.BUY, 0);
    recordServed("a", 10, "b0");
    assertAuthorisationViolation(Rule.ALLOWED_FIRST, false);
    recordCheck("a", 60, Kind.ALLOWED);
    assertAuthorisationViolation(Rule.ALLOWED_FIRST, false);
  }

  @Test
  void findsARequestForwardedAfterADenial() {
    sendRequest("a", RequestKind.BUY, 0);
    recordCheck("a", 1, Kind.DENIED);
    recordServed("a", 10, "b0");
    assertAuthorisationViolation(Rule.ALLOWED_FIRST, false);
  }

  @Test
  void passesAllowedRequestsAndThoseThatNeedNoCheck() {
    sendRequest("a", RequestKind.BUY, 0);
    recordCheck("a", 1, Kind.ALLOWED);
    recordServed("a", 10, "b0");
    sendRequest("b", RequestKind.QUOTE, 0);
    recordServed("b", 10, "b0");
    assertAuthorisationViolation(null, false);
  }
}
