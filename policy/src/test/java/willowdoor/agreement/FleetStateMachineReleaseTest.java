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

/** Releases in the replicated state machine: permits, budgets and the reports of doors. */
class FleetStateMachineReleaseTest {

  private static final Plan PLAN =
      new Plan(Plan.Kind.DOORS, "1", "2", List.of(0.5, 1.0), 1_000, 2_000, 20_000,
      1_000,
      Comparison.DEFAULT);

  private FleetStateMachine stateMachine;
  private double nowMs = 1_000;
  private long heartbeatNumber;

  @BeforeEach
  void joinReadyDoors() {
    Budget one = new Budget(OutageLimit.of(1), OutageLimit.UNLIMITED, 0);
    stateMachine = new FleetStateMachine(new FleetSettings(one, one, 3_000));
    stateMachine.apply(new LeaderElected(nowMs));
    for (String door : List.of("d1", "d2")) {
      stateMachine.apply(new Join(nowMs, door, "x", "a", 1, 1, "1"));
      heartbeat(door, "x", Activity.READY, Report.NONE);
    }
  }

  private void heartbeat(String door, String incarnation, Activity activity, Report report) {
    stateMachine.apply(new Heartbeats(nowMs,
        List.of(new Heartbeat(door, incarnation, activity, ++heartbeatNumber, stateMachine.state().index(),
        Set.of(),
        report))));
  }

  private Outcome start(String request) {
    return stateMachine.apply(new StartRelease(nowMs, request, PLAN, "ana"));
  }

  private Outcome steer(String request, long release, Steering steering) {
    return stateMachine.apply(new SteerRelease(nowMs, request, release, steering, "rui"));
  }

  private Release release() {
    List<Release> all = stateMachine.state().releases();
    return all.get(all.size() - 1);
  }

  private Permit permit(String door) {
    return stateMachine.state().permits().stream().filter(x ->
        x.subject().name().equals(door)).findFirst().orElse(null);
  }

  private long attempt(String door, String incarnation) {
    return stateMachine.view(door, incarnation, 3_000).attempt();
  }

  /** The door drains, a process of version 2 takes its place, and the door is ready again. */
  private void replaceDoor(String door) {
    heartbeat(door, "x", Activity.EMPTY, Report.NONE);
    long attempt = attempt(door, "x");
    assertEquals("2", stateMachine.view(door, "x", 3_000).version());
    heartbeat(door, "x", Activity.EMPTY, new Report(attempt, 0, Tally.NONE));
    stateMachine.apply(new Join(nowMs, door, "y", "a", 1, 0, "2"));
    assertEquals(attempt, attempt(door, "y"));
    heartbeat(door, "y", Activity.EMPTY, Report.NONE);
    stateMachine.apply(new Leave(nowMs, door, "x"));
    assertEquals(Stage.RETURNING, permit(door).stage());
    heartbeat(door, "y", Activity.READY, Report.NONE);
  }

  @Test
  void releaseTakesPermitsWithinTheBudgetOneAtATime() {
    assertEquals(1, assertInstanceOf(ReleaseStarted.class, start("r1")).release());
    assertEquals(1, assertInstanceOf(ReleaseStarted.class, start("r1")).release());
    assertTrue(assertInstanceOf(Refused.class, start("r2")).why().startsWith("release 1 of 2, begun by ana"));
    assertEquals(Stage.GRANTED, permit("d1").stage());
    assertEquals("release 1", permit("d1").by());
    assertEquals(0, attempt("d1", "x"));
    assertInstanceOf(Waiting.class,
        stateMachine.apply(new RequestPermit(nowMs, "q", new Subject(Kind.DOOR, "d2"), "rui", "disk",
        false)));
    replaceDoor("d1");
    // The operator's request was waiting and is granted first.
    assertEquals(Stage.GRANTED, permit("d2").stage());
    stateMachine.apply(new ReturnPermit(nowMs, permit("d2").subject(), permit("d2").id(), "rui"));
    heartbeat("d2", "x", Activity.READY, Report.NONE);
    stateMachine.apply(new Tick(nowMs));
    nowMs += 2_100;
    stateMachine.apply(new Tick(nowMs));
    stateMachine.apply(new Tick(nowMs));
    replaceDoor("d2");
    nowMs += 2_100;
    stateMachine.apply(new Tick(nowMs));
    stateMachine.apply(new Tick(nowMs));
    assertEquals(Mode.ENDED, release().mode());
    assertEquals(List.of(), stateMachine.state().permits());
    assertTrue(stateMachine.state().notes().stream().anyMatch(x -> x.what().equals("every door has 2")));
    assertInstanceOf(Refused.class, steer("s1", 1, Steering.HALT));
  }

  /** Clients that stay connected delay the replacement only by the drain time of the plan. */
  @Test
  void doorThatDoesNotBecomeEmptyIsReplacedAfterTheDrainTime() {
    start("r1");
    heartbeat("d1", "x", Activity.DRAINING, Report.NONE);
    assertEquals(0, attempt("d1", "x"));
    nowMs += 2_000;
    heartbeat("d1", "x", Activity.DRAINING, Report.NONE);
    assertEquals(1, attempt("d1", "x"));
  }

  @Test
  void operatorCannotReturnAStepsPermit() {
    start("r1");
    Permit own = permit("d1");
    assertTrue(assertInstanceOf(Refused.class,
        stateMachine.apply(new ReturnPermit(nowMs, own.subject(), own.id(),
        "rui"))).why()
        .contains("pause or halt that"));
    assertInstanceOf(Done.class, steer("s1", 1, Steering.HALT));
    assertInstanceOf(Done.class, steer("s1", 1, Steering.HALT));
    assertInstanceOf(Refused.class, steer("s2", 7, Steering.HALT));
    heartbeat("d1", "x", Activity.EMPTY, Report.NONE);
    assertEquals(Stage.RETURNING, permit("d1").stage());
    heartbeat("d1", "x", Activity.READY, Report.NONE);
    assertTrue(release().hasStopped(), release()::toString);
  }

  /** No permit is granted while a failed door uses up the budget, and the release states why it halted. */
  @Test
  void releaseHaltsWhenFailuresUseUpTheBudget() {
    stateMachine.apply(new Leave(nowMs, "d2", "x"));
    start("r1");
    assertEquals(Stage.WAITING, permit("d1").stage());
    for (int i = 0; i < 21; i++) {
      nowMs += 1_000;
      heartbeat("d1", "x", Activity.READY, Report.NONE);
    }
    assertEquals(Mode.HALTED, release().mode());
    assertTrue(release().why().contains("1 of 2 are out"), release().why());
    assertEquals(List.of(), stateMachine.state().permits());
  }

  /** More refusals at the released door than at the other door halt the release. */
  @Test
  void worseFiguresHaltTheRelease() {
    start("r1");
    replaceDoor("d1");
    long refused = 0;
    for (int i = 1; i <= 40 && release().mode() == Mode.GOING && release().bakesSince() >= 0; i++) {
      nowMs += 100;
      refused += 8;
      heartbeat("d1", "y", Activity.READY, new Report(0, 0, new Tally(20L * i, i == 1 ? 0 : refused, 0, 0)));
      heartbeat("d2", "x", Activity.READY, new Report(0, 0, new Tally(20L * i, i, 0, 0)));
    }
    nowMs += 900;
    stateMachine.apply(new Tick(nowMs));
    assertEquals(Mode.HALTED, release().mode(), release()::toString);
    assertTrue(release().why().startsWith("released doors do worse: refused"), release().why());
  }

  @Test
  void figuresAfterALongSilenceAreIgnored() {
    // The bake time is long enough that the comparison is not restarted in between.
    stateMachine.apply(new StartRelease(nowMs, "r1",
        new Plan(Plan.Kind.DOORS, "1", "2", List.of(0.5, 1.0), 60_000, 2_000,
        20_000, 1_000, Comparison.DEFAULT), "ana"));
    replaceDoor("d1");
    nowMs += 1_200;
    heartbeat("d1", "y", Activity.READY, new Report(0, 0, new Tally(10, 0, 0, 0)));
    heartbeat("d2", "x", Activity.READY, new Report(0, 0, new Tally(10, 0, 0, 0)));
    nowMs += 4_000;
    heartbeat("d1", "y", Activity.READY, new Report(0, 0, new Tally(1_000, 900, 0, 0)));
    heartbeat("d2", "x", Activity.READY, new Report(0, 0, new Tally(1_000, 0, 0, 0)));
    nowMs += 1_000;
    stateMachine.apply(new Tick(nowMs));
    assertEquals(0, release().evidence().allReleased().refused(), release()::toString);
  }

  /**
   * Otherwise the old failure of a door would count as a failure of the new attempt, which would not begin.
   */
  @Test
  void attemptNumbersAreNotReusedByLaterReleases() {
    start("r1");
    heartbeat("d1", "x", Activity.EMPTY, Report.NONE);
    long first = attempt("d1", "x");
    Report failed = new Report(first, first, Tally.NONE);
    heartbeat("d1", "x", Activity.EMPTY, failed);
    assertEquals(Mode.HALTED, release().mode());
    heartbeat("d1", "x", Activity.READY, failed);
    steer("b1", 1, Steering.BACK);
    assertEquals(Mode.ENDED, release().mode());
    start("r2");
    heartbeat("d1", "x", Activity.EMPTY, failed);
    assertEquals(Mode.GOING, release().mode(), release()::toString);
    assertTrue(attempt("d1", "x") > first);
  }

  @Test
  void stateMachineFromASnapshotContinuesTheRelease() {
    start("r1");
    stateMachine = new FleetStateMachine(stateMachine.state());
    heartbeat("d1", "x", Activity.EMPTY, Report.NONE);
    assertEquals(1, attempt("d1", "x"));
    assertEquals(stateMachine.state(), new FleetStateMachine(stateMachine.state()).state());
  }

  private void listBackends(double b1StartedMs, boolean b1Serves, double b2StartedMs) {
    stateMachine.apply(new UpdateBackends(nowMs, 1,
        List.of(new Backend("b1", "a", 1, b1Serves, b1StartedMs), new Backend("b2", "a", 1,
        true, b2StartedMs))));
  }

  private void reportVacated(long permit) {
    for (String door : List.of("d1", "d2")) {
      stateMachine.apply(new Heartbeats(nowMs,
          List.of(new Heartbeat(door, "x", Activity.READY, ++heartbeatNumber, stateMachine.state().index(),
          Set.of(permit), Report.NONE))));
    }
  }

  /**
   * A backend goes out, is restarted externally and warms up before the next backend goes out. A halted
   * release does not return a backend that may still be restarted.
   */
  @Test
  void backendsGoOutOneByOneUntilRestarted() {
    listBackends(5, true, 0);
    stateMachine.apply(new StartRelease(nowMs, "r1",
        new Plan(Plan.Kind.BACKENDS, "before", "restarted", List.of(1.0), 0, 0,
        20_000, 0, Comparison.DEFAULT), "ana"));
    Permit b1 = permit("b1");
    assertEquals(Stage.GRANTED, b1.stage());
    reportVacated(b1.id());
    assertEquals(Stage.OUT, permit("b1").stage());
    steer("h", 1, Steering.HALT);
    reportVacated(0);
    assertEquals(Stage.OUT, permit("b1").stage());
    listBackends(900, false, 0);
    assertEquals(Stage.RETURNING, permit("b1").stage());
    steer("s", 1, Steering.RESUME);
    assertEquals(Stage.WAITING, permit("b2").stage());
    listBackends(900, true, 0);
    heartbeat("d1", "x", Activity.READY, Report.NONE);
    heartbeat("d2", "x", Activity.READY, Report.NONE);
    assertEquals(null, permit("b1"));
    assertEquals(Stage.GRANTED, permit("b2").stage());
    reportVacated(permit("b2").id());
    listBackends(900, true, 901);
    heartbeat("d1", "x", Activity.READY, Report.NONE);
    heartbeat("d2", "x", Activity.READY, Report.NONE);
    stateMachine.apply(new Tick(nowMs));
    assertEquals(Mode.ENDED, release().mode(), release()::toString);
  }

  /** A second process of the old version is suspended and has not reported that it no longer serves. */
  @Test
  void doorHasTheNewVersionOnlyOnceNoOldProcessServes() {
    stateMachine.apply(new Join(nowMs, "d1", "w", "a", 1, 0, "1"));
    heartbeat("d1", "w", Activity.READY, Report.NONE);
    start("r1");
    nowMs += 2_500;
    heartbeat("d1", "x", Activity.EMPTY, Report.NONE);
    long attempt = attempt("d1", "x");
    assertTrue(attempt > 0);
    heartbeat("d1", "x", Activity.EMPTY, new Report(attempt, 0, Tally.NONE));
    stateMachine.apply(new Join(nowMs, "d1", "y", "a", 1, 0, "2"));
    heartbeat("d1", "y", Activity.EMPTY, Report.NONE);
    stateMachine.apply(new Leave(nowMs, "d1", "x"));
    assertEquals(Stage.GRANTED, permit("d1").stage());
    stateMachine.apply(new Leave(nowMs, "d1", "w"));
    assertEquals(Stage.RETURNING, permit("d1").stage());
  }

  private void listAndHeartbeat(Backend... backends) {
    stateMachine.apply(new UpdateBackends(nowMs, 1, List.of(backends)));
    for (String door : List.of("d1", "d2")) {
      heartbeat(door, "x", Activity.READY, Report.NONE);
    }
  }

  private static Backend backend(String name, double startedMs) {
    return new Backend(name, "a", 1, true, startedMs);
  }

  private void releaseBackends(double... waves) {
    assertInstanceOf(ReleaseStarted.class,
        stateMachine.apply(new StartRelease(nowMs, "r1", new Plan(Plan.Kind.BACKENDS, "before",
        "after", java.util.Arrays.stream(waves).boxed().toList(), 1_000, 0, 20_000, 0, Comparison.DEFAULT),
        "ana")));
  }

  /** The backend goes out, is not listed for a while, and is listed again with a new start time. */
  private void restartBackend(String name, double startedMs, Backend... others) {
    assertEquals(Stage.GRANTED, permit(name).stage());
    reportVacated(permit(name).id());
    assertEquals(Stage.OUT, permit(name).stage());
    listAndHeartbeat(others);
    assertEquals(Stage.OUT, permit(name).stage());
    assertEquals(1, stateMachine.out(Kind.BACKEND), "the backend counts as out while it is not listed");
    List<Backend> all = new java.util.ArrayList<>(List.of(others));
    all.add(backend(name, startedMs));
    listAndHeartbeat(all.toArray(Backend[]::new));
    assertEquals(null, permit(name), name);
  }

  /**
   * No other backend goes out while one restarts, although the list does not contain the restarting backend.
   */
  @Test
  void backendDelistedDuringItsRestartIsAwaited() {
    listAndHeartbeat(backend("b1", 0), backend("b2", 0));
    releaseBackends(1);
    restartBackend("b1", 900, backend("b2", 0));
    assertEquals("after", release().versions().get("b1"));
    restartBackend("b2", 950, backend("b1", 900));
    nowMs += 2_000;
    stateMachine.apply(new Tick(nowMs));
    stateMachine.apply(new Tick(nowMs));
    assertEquals(Mode.ENDED, release().mode(), release()::toString);
  }

  @Test
  void rollbackOfABackendIsAnotherRestart() {
    listAndHeartbeat(backend("b1", 0), backend("b2", 0));
    releaseBackends(0.5, 1);
    restartBackend("b1", 900, backend("b2", 0));
    steer("b", 1, Steering.BACK);
    assertEquals("after", release().versions().get("b1"));
    restartBackend("b1", 990, backend("b2", 0));
    assertEquals(Mode.ENDED, release().mode(), release()::toString);
    assertEquals(2, release().countWithVersion("before"));
  }

  /**
   * The backend comes back with the version that it went out for, and is restarted once more for the
   * rollback.
   */
  @Test
  void rollbackBegunDuringARestartRestartsAgain() {
    listAndHeartbeat(backend("b1", 0), backend("b2", 0));
    releaseBackends(1);
    reportVacated(permit("b1").id());
    listAndHeartbeat(backend("b2", 0));
    steer("b", 1, Steering.BACK);
    listAndHeartbeat(backend("b2", 0), backend("b1", 900));
    assertEquals("after", release().versions().get("b1"));
    restartBackend("b1", 990, backend("b2", 0));
    assertEquals(Mode.ENDED, release().mode(), release()::toString);
  }

  @Test
  void unexpectedRestartChangesNoVersion() {
    listAndHeartbeat(backend("b1", 0), backend("b2", 0));
    releaseBackends(0.5, 1);
    listAndHeartbeat(backend("b1", 0), backend("b2", 700));
    assertEquals("before", release().versions().get("b2"));
    restartBackend("b1", 900, backend("b2", 700));
    stateMachine = new FleetStateMachine(stateMachine.state());
    assertEquals("after", release().versions().get("b1"));
  }

  /** The new version starts, serves and crashes. */
  @Test
  void losingAReleasedBackendHaltsTheRelease() {
    listAndHeartbeat(backend("b1", 0), backend("b2", 0));
    releaseBackends(0.5, 1);
    restartBackend("b1", 900, backend("b2", 0));
    listAndHeartbeat(backend("b2", 0));
    assertEquals(1, stateMachine.out(Kind.BACKEND));
    assertEquals(Mode.GOING, release().mode());
    nowMs += 2_000;
    stateMachine.apply(new Tick(nowMs));
    assertEquals(Mode.HALTED, release().mode());
    assertEquals("released doors are lost: b1; of the 1 others 0", release().why());
    steer("b", 1, Steering.BACK);
    assertEquals(Mode.GOING, release().mode(), "the lost backend would come back with the new version");
    assertInstanceOf(Done.class, stateMachine.apply(new Forget(nowMs, "f", "backend/b1", "rui")));
    assertEquals(Mode.ENDED, release().mode(), release()::toString);
    assertEquals(0, stateMachine.out(Kind.BACKEND));
  }

  /**
   * The backend comes back with the new version while the rollback runs, so it has to be restarted as well.
   */
  @Test
  void rollbackIncludesABackendThatWasDelistedWhenItBegan() {
    listAndHeartbeat(backend("b1", 0), backend("b2", 0));
    releaseBackends(1);
    restartBackend("b1", 900, backend("b2", 0));
    reportVacated(permit("b2").id());
    listAndHeartbeat(backend("b2", 0));
    steer("b", 1, Steering.BACK);
    listAndHeartbeat(backend("b2", 950));
    listAndHeartbeat(backend("b2", 950), backend("b1", 980));
    restartBackend("b2", 990, backend("b1", 980));
    restartBackend("b1", 995, backend("b2", 990));
    assertEquals(Mode.ENDED, release().mode(), release()::toString);
    assertEquals(2, release().countWithVersion("before"));
  }

  @Test
  void operatorForgetsABackendThatNeverReturns() {
    listAndHeartbeat(backend("b1", 0), backend("b2", 0));
    releaseBackends(1);
    reportVacated(permit("b1").id());
    assertInstanceOf(Refused.class, stateMachine.apply(new Forget(nowMs, "f1", "backend/b1", "rui")));
    assertInstanceOf(Refused.class, stateMachine.apply(new Forget(nowMs, "f2", "backend/b9", "rui")));
    listAndHeartbeat(backend("b2", 0));
    nowMs += 21_000;
    heartbeat("d1", "x", Activity.READY, Report.NONE);
    assertEquals(Mode.HALTED, release().mode());
    assertTrue(!release().hasStopped());
    assertInstanceOf(Done.class, stateMachine.apply(new Forget(nowMs, "f3", "backend/b1", "rui")));
    assertTrue(release().hasStopped());
    assertEquals(null, permit("b1"));
    assertEquals(0, stateMachine.out(Kind.BACKEND));
  }

  @Test
  void onlyTheLastReleasesAreKept() {
    for (int i = 0; i < 25; i++) {
      start("r" + i);
      steer("b" + i, i + 1, Steering.BACK);
      for (int k = 0; k < 3; k++) {
        heartbeat("d1", "x", Activity.EMPTY, Report.NONE);
        heartbeat("d1", "x", Activity.READY, Report.NONE);
      }
      assertEquals(Mode.ENDED, release().mode(), release()::toString);
    }
    assertEquals(FleetStateMachine.MAX_RELEASES, stateMachine.state().releases().size());
    assertEquals(25, release().id());
    assertInstanceOf(Refused.class, start("r1"));
  }

  @Test
  void releaseIsRefusedWhenADoorHasAThirdVersion() {
    stateMachine.apply(new Join(nowMs, "d3", "x", "a", 1, 1, "0"));
    heartbeat("d3", "x", Activity.READY, Report.NONE);
    assertTrue(assertInstanceOf(Refused.class, start("r1")).why().contains("d3 has version 0"));
    assertInstanceOf(Refused.class, steer("s", 1, Steering.HALT));
    assertInstanceOf(Granted.class,
        stateMachine.apply(new RequestPermit(nowMs, "q", new Subject(Kind.DOOR, "d1"), "ana", "x",
        false)));
  }
}
