package willowdoor.agreement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import willowdoor.agreement.Command.RequestPermit;
import willowdoor.agreement.Command.Backend;
import willowdoor.agreement.Command.Heartbeat;
import willowdoor.agreement.Command.Heartbeats;
import willowdoor.agreement.Command.Activity;
import willowdoor.agreement.Command.Forget;
import willowdoor.agreement.Command.Join;
import willowdoor.agreement.Command.LeaderElected;
import willowdoor.agreement.Command.Leave;
import willowdoor.agreement.Command.Report;
import willowdoor.agreement.Command.ReturnPermit;
import willowdoor.agreement.Command.UpdateBackends;
import willowdoor.agreement.Command.StartRelease;
import willowdoor.agreement.Command.SteerRelease;
import willowdoor.agreement.Command.Steering;
import willowdoor.agreement.Command.Tick;
import willowdoor.agreement.Outcome.ReleaseStarted;
import willowdoor.agreement.Outcome.Done;
import willowdoor.agreement.Outcome.Granted;
import willowdoor.agreement.Outcome.Refused;
import willowdoor.agreement.Outcome.Waiting;
import willowdoor.agreement.Permit.Stage;
import willowdoor.agreement.Subject.Kind;
import willowdoor.rollout.Comparison;
import willowdoor.rollout.Plan;
import willowdoor.rollout.Release;
import willowdoor.rollout.Release.Mode;
import willowdoor.rollout.Tally;

/** A release in the record: by permits, budgets and what doors say. */
class ReleaseRecordTest {

  private static final Plan PLAN =
      new Plan(Plan.Kind.DOORS, "1", "2", List.of(0.5, 1.0), 1_000, 2_000, 20_000,
      1_000,
      Comparison.DEFAULT);

  private FleetStateMachine record;
  private double at = 1_000;
  private long beat;

  @BeforeEach
  void doors() {
    Budget one = new Budget(OutageLimit.of(1), OutageLimit.UNLIMITED, 0);
    record = new FleetStateMachine(new FleetSettings(one, one, 3_000));
    record.apply(new LeaderElected(at));
    for (String door : List.of("d1", "d2")) {
      record.apply(new Join(at, door, "x", "a", 1, 1, "1"));
      says(door, "x", Activity.READY, Report.NONE);
    }
  }

  private void says(String door, String incarnation, Activity what, Report report) {
    record.apply(
        new Heartbeats(at, List.of(new Heartbeat(door, incarnation, what, ++beat, record.state().index(),
        Set.of(),
        report))));
  }

  private Outcome start(String request) {
    return record.apply(new StartRelease(at, request, PLAN, "ana"));
  }

  private Outcome steer(String request, long release, Steering what) {
    return record.apply(new SteerRelease(at, request, release, what, "rui"));
  }

  private Release release() {
    List<Release> all = record.state().releases();
    return all.get(all.size() - 1);
  }

  private Permit permit(String door) {
    return record.state().permits().stream().filter(x ->
        x.subject().name().equals(door)).findFirst().orElse(null);
  }

  private long attempt(String door, String incarnation) {
    return record.view(door, incarnation, 3_000).attempt();
  }

  /** Its clients go, the other takes its place, and it is ready again. */
  private void replaced(String door) {
    says(door, "x", Activity.EMPTY, Report.NONE);
    long attempt = attempt(door, "x");
    assertEquals("2", record.view(door, "x", 3_000).version());
    says(door, "x", Activity.EMPTY, new Report(attempt, 0, Tally.NONE));
    record.apply(new Join(at, door, "y", "a", 1, 0, "2"));
    assertEquals(attempt, attempt(door, "y"));
    says(door, "y", Activity.EMPTY, Report.NONE);
    record.apply(new Leave(at, door, "x"));
    assertEquals(Stage.RETURNING, permit(door).stage());
    says(door, "y", Activity.READY, Report.NONE);
  }

  @Test
  void goesByPermitsWithinTheBudgetAndOneAtATime() {
    assertEquals(1, assertInstanceOf(ReleaseStarted.class, start("r1")).release());
    assertEquals(1, assertInstanceOf(ReleaseStarted.class, start("r1")).release());
    assertTrue(assertInstanceOf(Refused.class, start("r2")).why().startsWith("release 1 of 2, begun by ana"));
    assertEquals(Stage.GRANTED, permit("d1").stage());
    assertEquals("release 1", permit("d1").by());
    assertEquals(0, attempt("d1", "x"));
    assertInstanceOf(Waiting.class,
        record.apply(new RequestPermit(at, "q", new Subject(Kind.DOOR, "d2"), "rui", "disk",
        false)));
    replaced("d1");
    // What an operator waited for comes first.
    assertEquals(Stage.GRANTED, permit("d2").stage());
    record.apply(new ReturnPermit(at, permit("d2").subject(), permit("d2").id(), "rui"));
    says("d2", "x", Activity.READY, Report.NONE);
    record.apply(new Tick(at));
    at += 2_100;
    record.apply(new Tick(at));
    record.apply(new Tick(at));
    replaced("d2");
    at += 2_100;
    record.apply(new Tick(at));
    record.apply(new Tick(at));
    assertEquals(Mode.ENDED, release().mode());
    assertEquals(List.of(), record.state().permits());
    assertTrue(record.state().notes().stream().anyMatch(x -> x.what().equals("every door has 2")));
    assertInstanceOf(Refused.class, steer("s1", 1, Steering.HALT));
  }

  /** A door whose clients stay is replaced after its time all the same. */
  @Test
  void aDoorThatDoesNotBecomeEmptyHasItsTime() {
    start("r1");
    says("d1", "x", Activity.DRAINING, Report.NONE);
    assertEquals(0, attempt("d1", "x"));
    at += 2_000;
    says("d1", "x", Activity.DRAINING, Report.NONE);
    assertEquals(1, attempt("d1", "x"));
  }

  @Test
  void anOperatorCannotTakeAStepsPermitAway() {
    start("r1");
    Permit own = permit("d1");
    assertTrue(assertInstanceOf(Refused.class, record.apply(new ReturnPermit(at, own.subject(), own.id(),
        "rui"))).why()
        .contains("pause or halt that"));
    assertInstanceOf(Done.class, steer("s1", 1, Steering.HALT));
    assertInstanceOf(Done.class, steer("s1", 1, Steering.HALT));
    assertInstanceOf(Refused.class, steer("s2", 7, Steering.HALT));
    says("d1", "x", Activity.EMPTY, Report.NONE);
    assertEquals(Stage.RETURNING, permit("d1").stage());
    says("d1", "x", Activity.READY, Report.NONE);
    assertTrue(release().hasStopped(), release()::toString);
  }

  /** Nothing is let go where a failure has the budget, and the release says why it halted. */
  @Test
  void failuresThatHaveTheBudgetHoldItUp() {
    record.apply(new Leave(at, "d2", "x"));
    start("r1");
    assertEquals(Stage.WAITING, permit("d1").stage());
    for (int i = 0; i < 21; i++) {
      at += 1_000;
      says("d1", "x", Activity.READY, Report.NONE);
    }
    assertEquals(Mode.HALTED, release().mode());
    assertTrue(release().why().contains("1 of 2 are out"), release().why());
    assertEquals(List.of(), record.state().permits());
  }

  /** Figures of a door that was stopped say nothing; others halt it. */
  @Test
  void worseFiguresHaltIt() {
    start("r1");
    replaced("d1");
    long refused = 0;
    for (int i = 1; i <= 40 && release().mode() == Mode.GOING && release().bakesSince() >= 0; i++) {
      at += 100;
      refused += 8;
      says("d1", "y", Activity.READY, new Report(0, 0, new Tally(20L * i, i == 1 ? 0 : refused, 0, 0)));
      says("d2", "x", Activity.READY, new Report(0, 0, new Tally(20L * i, i, 0, 0)));
    }
    at += 900;
    record.apply(new Tick(at));
    assertEquals(Mode.HALTED, release().mode(), release()::toString);
    assertTrue(release().why().startsWith("released doors do worse: refused"), release().why());
  }

  @Test
  void figuresAfterASilenceCountForNothing() {
    // Long enough that what is compared isn't begun anew meanwhile.
    record.apply(
        new StartRelease(at, "r1", new Plan(Plan.Kind.DOORS, "1", "2", List.of(0.5, 1.0), 60_000, 2_000,
        20_000, 1_000, Comparison.DEFAULT), "ana"));
    replaced("d1");
    at += 1_200;
    says("d1", "y", Activity.READY, new Report(0, 0, new Tally(10, 0, 0, 0)));
    says("d2", "x", Activity.READY, new Report(0, 0, new Tally(10, 0, 0, 0)));
    at += 4_000;
    says("d1", "y", Activity.READY, new Report(0, 0, new Tally(1_000, 900, 0, 0)));
    says("d2", "x", Activity.READY, new Report(0, 0, new Tally(1_000, 0, 0, 0)));
    at += 1_000;
    record.apply(new Tick(at));
    assertEquals(0, release().evidence().allReleased().refused(), release()::toString);
  }

  /** A door that failed once would otherwise be taken to have failed again, and not begin. */
  @Test
  void attemptsOfALaterReleaseAreOthers() {
    start("r1");
    says("d1", "x", Activity.EMPTY, Report.NONE);
    long first = attempt("d1", "x");
    Report failed = new Report(first, first, Tally.NONE);
    says("d1", "x", Activity.EMPTY, failed);
    assertEquals(Mode.HALTED, release().mode());
    says("d1", "x", Activity.READY, failed);
    steer("b1", 1, Steering.BACK);
    assertEquals(Mode.ENDED, release().mode());
    start("r2");
    says("d1", "x", Activity.EMPTY, failed);
    assertEquals(Mode.GOING, release().mode(), release()::toString);
    assertTrue(attempt("d1", "x") > first);
  }

  @Test
  void aRecordFromASnapshotGoesOnAsTheFirst() {
    start("r1");
    record = new FleetStateMachine(record.state());
    says("d1", "x", Activity.EMPTY, Report.NONE);
    assertEquals(1, attempt("d1", "x"));
    assertEquals(record.state(), new FleetStateMachine(record.state()).state());
  }

  private void listed(double b1, boolean serves1, double b2) {
    record.apply(
        new UpdateBackends(at, 1, List.of(new Backend("b1", "a", 1, serves1, b1), new Backend("b2", "a", 1,
        true, b2))));
  }

  private void letGo(long permit) {
    for (String door : List.of("d1", "d2")) {
      record.apply(
          new Heartbeats(at, List.of(new Heartbeat(door, "x", Activity.READY, ++beat, record.state().index(),
          Set.of(permit), Report.NONE))));
    }
  }

  /** Out, restarted by somebody, warm, and then the next; nothing goes back to one that may be restarted. */
  @Test
  void backendsGoOutOneAfterTheOtherAndWaitForTheirRestart() {
    listed(5, true, 0);
    record.apply(
        new StartRelease(at, "r1", new Plan(Plan.Kind.BACKENDS, "before", "restarted", List.of(1.0), 0, 0,
        20_000, 0, Comparison.DEFAULT), "ana"));
    Permit b1 = permit("b1");
    assertEquals(Stage.GRANTED, b1.stage());
    letGo(b1.id());
    assertEquals(Stage.OUT, permit("b1").stage());
    steer("h", 1, Steering.HALT);
    letGo(0);
    assertEquals(Stage.OUT, permit("b1").stage());
    listed(900, false, 0);
    assertEquals(Stage.RETURNING, permit("b1").stage());
    steer("s", 1, Steering.RESUME);
    assertEquals(Stage.WAITING, permit("b2").stage());
    listed(900, true, 0);
    says("d1", "x", Activity.READY, Report.NONE);
    says("d2", "x", Activity.READY, Report.NONE);
    assertEquals(null, permit("b1"));
    assertEquals(Stage.GRANTED, permit("b2").stage());
    letGo(permit("b2").id());
    listed(900, true, 901);
    says("d1", "x", Activity.READY, Report.NONE);
    says("d2", "x", Activity.READY, Report.NONE);
    record.apply(new Tick(at));
    assertEquals(Mode.ENDED, release().mode(), release()::toString);
  }

  /** Another process of the door, of the old version, is stopped and has not said that it serves no more. */
  @Test
  void aDoorHasAVersionOnlyOnceNoProcessOfAnotherServes() {
    record.apply(new Join(at, "d1", "w", "a", 1, 0, "1"));
    says("d1", "w", Activity.READY, Report.NONE);
    start("r1");
    at += 2_500;
    says("d1", "x", Activity.EMPTY, Report.NONE);
    long attempt = attempt("d1", "x");
    assertTrue(attempt > 0);
    says("d1", "x", Activity.EMPTY, new Report(attempt, 0, Tally.NONE));
    record.apply(new Join(at, "d1", "y", "a", 1, 0, "2"));
    says("d1", "y", Activity.EMPTY, Report.NONE);
    record.apply(new Leave(at, "d1", "x"));
    assertEquals(Stage.GRANTED, permit("d1").stage());
    record.apply(new Leave(at, "d1", "w"));
    assertEquals(Stage.RETURNING, permit("d1").stage());
  }

  private void list(Backend... backends) {
    record.apply(new UpdateBackends(at, 1, List.of(backends)));
    for (String door : List.of("d1", "d2")) {
      says(door, "x", Activity.READY, Report.NONE);
    }
  }

  private static Backend backend(String name, double startedMs) {
    return new Backend(name, "a", 1, true, startedMs);
  }

  private void releaseBackends(double... waves) {
    assertInstanceOf(ReleaseStarted.class,
        record.apply(new StartRelease(at, "r1", new Plan(Plan.Kind.BACKENDS, "before",
        "after", java.util.Arrays.stream(waves).boxed().toList(), 1_000, 0, 20_000, 0, Comparison.DEFAULT),
        "ana")));
  }

  /** Out, gone from the list for a while, and listed as it started anew. */
  private void restarted(String name, double startedMs, Backend... others) {
    assertEquals(Stage.GRANTED, permit(name).stage());
    letGo(permit(name).id());
    assertEquals(Stage.OUT, permit(name).stage());
    list(others);
    assertEquals(Stage.OUT, permit(name).stage());
    assertEquals(1, record.out(Kind.BACKEND), "it counts while it is away");
    List<Backend> all = new java.util.ArrayList<>(List.of(others));
    all.add(backend(name, startedMs));
    list(all.toArray(Backend[]::new));
    assertEquals(null, permit(name), name);
  }

  /** Nothing else goes out while one is away, though the list doesn't name it. */
  @Test
  void aBackendThatIsListedNoMoreWhileItRestartsIsAwaited() {
    list(backend("b1", 0), backend("b2", 0));
    releaseBackends(1);
    restarted("b1", 900, backend("b2", 0));
    assertEquals("after", release().versions().get("b1"));
    restarted("b2", 950, backend("b1", 900));
    at += 2_000;
    record.apply(new Tick(at));
    record.apply(new Tick(at));
    assertEquals(Mode.ENDED, release().mode(), release()::toString);
  }

  @Test
  void theWayBackOfBackendsIsAnotherRestart() {
    list(backend("b1", 0), backend("b2", 0));
    releaseBackends(0.5, 1);
    restarted("b1", 900, backend("b2", 0));
    steer("b", 1, Steering.BACK);
    assertEquals("after", release().versions().get("b1"));
    restarted("b1", 990, backend("b2", 0));
    assertEquals(Mode.ENDED, release().mode(), release()::toString);
    assertEquals(2, release().countWithVersion("before"));
  }

  /** Taken back while one is away: it comes with the version that it went for, and goes once more. */
  @Test
  void theWayBackBeginsInTheMiddleOfARestart() {
    list(backend("b1", 0), backend("b2", 0));
    releaseBackends(1);
    letGo(permit("b1").id());
    list(backend("b2", 0));
    steer("b", 1, Steering.BACK);
    list(backend("b2", 0), backend("b1", 900));
    assertEquals("after", release().versions().get("b1"));
    restarted("b1", 990, backend("b2", 0));
    assertEquals(Mode.ENDED, release().mode(), release()::toString);
  }

  @Test
  void aStartThatNobodyAwaitedChangesNoVersion() {
    list(backend("b1", 0), backend("b2", 0));
    releaseBackends(0.5, 1);
    list(backend("b1", 0), backend("b2", 700));
    assertEquals("before", release().versions().get("b2"));
    restarted("b1", 900, backend("b2", 700));
    record = new FleetStateMachine(record.state());
    assertEquals("after", release().versions().get("b1"));
  }

  /** The new version starts, is seen to serve, and dies. */
  @Test
  void aReleasedBackendThatIsLostHalts() {
    list(backend("b1", 0), backend("b2", 0));
    releaseBackends(0.5, 1);
    restarted("b1", 900, backend("b2", 0));
    list(backend("b2", 0));
    assertEquals(1, record.out(Kind.BACKEND));
    assertEquals(Mode.GOING, release().mode());
    at += 2_000;
    record.apply(new Tick(at));
    assertEquals(Mode.HALTED, release().mode());
    assertEquals("released doors are lost: b1; of the 1 others 0", release().why());
    steer("b", 1, Steering.BACK);
    assertEquals(Mode.GOING, release().mode(), "it would come back with the new version");
    assertInstanceOf(Done.class, record.apply(new Forget(at, "f", "backend/b1", "rui")));
    assertEquals(Mode.ENDED, release().mode(), release()::toString);
    assertEquals(0, record.out(Kind.BACKEND));
  }

  /** It comes back as what it was while the way back is under way: it has to go too. */
  @Test
  void aReleasedBackendThatWasAwayAsTheWayBackBeganGoesBackToo() {
    list(backend("b1", 0), backend("b2", 0));
    releaseBackends(1);
    restarted("b1", 900, backend("b2", 0));
    letGo(permit("b2").id());
    list(backend("b2", 0));
    steer("b", 1, Steering.BACK);
    list(backend("b2", 950));
    list(backend("b2", 950), backend("b1", 980));
    restarted("b2", 990, backend("b1", 980));
    restarted("b1", 995, backend("b2", 990));
    assertEquals(Mode.ENDED, release().mode(), release()::toString);
    assertEquals(2, release().countWithVersion("before"));
  }

  @Test
  void oneThatNeverComesBackIsForgottenByAnOperator() {
    list(backend("b1", 0), backend("b2", 0));
    releaseBackends(1);
    letGo(permit("b1").id());
    assertInstanceOf(Refused.class, record.apply(new Forget(at, "f1", "backend/b1", "rui")));
    assertInstanceOf(Refused.class, record.apply(new Forget(at, "f2", "backend/b9", "rui")));
    list(backend("b2", 0));
    at += 21_000;
    says("d1", "x", Activity.READY, Report.NONE);
    assertEquals(Mode.HALTED, release().mode());
    assertTrue(!release().hasStopped());
    assertInstanceOf(Done.class, record.apply(new Forget(at, "f3", "backend/b1", "rui")));
    assertTrue(release().hasStopped());
    assertEquals(null, permit("b1"));
    assertEquals(0, record.out(Kind.BACKEND));
  }

  @Test
  void keepsTheLastReleasesOnly() {
    for (int i = 0; i < 25; i++) {
      start("r" + i);
      steer("b" + i, i + 1, Steering.BACK);
      for (int k = 0; k < 3; k++) {
        says("d1", "x", Activity.EMPTY, Report.NONE);
        says("d1", "x", Activity.READY, Report.NONE);
      }
      assertEquals(Mode.ENDED, release().mode(), release()::toString);
    }
    assertEquals(FleetStateMachine.MAX_RELEASES, record.state().releases().size());
    assertEquals(25, release().id());
    assertInstanceOf(Refused.class, start("r1"));
  }

  @Test
  void refusesWhereADoorHasAThirdVersion() {
    record.apply(new Join(at, "d3", "x", "a", 1, 1, "0"));
    says("d3", "x", Activity.READY, Report.NONE);
    assertTrue(assertInstanceOf(Refused.class, start("r1")).why().contains("d3 has version 0"));
    assertInstanceOf(Refused.class, steer("s", 1, Steering.HALT));
    assertInstanceOf(Granted.class,
        record.apply(new RequestPermit(at, "q", new Subject(Kind.DOOR, "d1"), "ana", "x",
        false)));
  }
}
