package willowdoor.agreement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import willowdoor.agreement.Command.RequestPermit;
import willowdoor.agreement.Command.Backend;
import willowdoor.agreement.Command.Heartbeat;
import willowdoor.agreement.Command.Heartbeats;
import willowdoor.agreement.Command.Configure;
import willowdoor.agreement.Command.Activity;
import willowdoor.agreement.Command.Forget;
import willowdoor.agreement.Command.Join;
import willowdoor.agreement.Command.LeaderElected;
import willowdoor.agreement.Command.Leave;
import willowdoor.agreement.Command.BackendListId;
import willowdoor.agreement.Command.Report;
import willowdoor.agreement.Command.ReturnPermit;
import willowdoor.agreement.Command.UpdateBackends;
import willowdoor.agreement.Command.Tick;
import willowdoor.agreement.Outcome.HeartbeatsRecorded;
import willowdoor.agreement.Outcome.Done;
import willowdoor.agreement.Outcome.Granted;
import willowdoor.agreement.Outcome.Refused;
import willowdoor.agreement.Outcome.Waiting;
import willowdoor.agreement.Permit.Stage;
import willowdoor.agreement.Subject.Kind;

/** Permits, budgets, leases and joins; releases are covered by {@link FleetStateMachineReleaseTest}. */
class FleetStateMachineTest {

  private static final double LEASE_MS = 3_000;

  private FleetStateMachine stateMachine =
      new FleetStateMachine(settings(OutageLimit.of(1), OutageLimit.UNLIMITED, 0));
  private double nowMs = 1_000;
  private long heartbeatNumber;
  private final Map<String, Activity> lastActivity = new HashMap<>();

  private static FleetSettings settings(OutageLimit inAll, OutageLimit inZone, double leastWeight) {
    Budget budget = new Budget(inAll, inZone, leastWeight);
    return new FleetSettings(budget, budget, LEASE_MS);
  }

  private static Subject door(String name) {
    return new Subject(Kind.DOOR, name);
  }

  private static Subject backend(String name) {
    return new Subject(Kind.BACKEND, name);
  }

  private FleetStateMachineTest withBudget(OutageLimit inAll, OutageLimit inZone, double leastWeight) {
    stateMachine = new FleetStateMachine(settings(inAll, inZone, leastWeight));
    return this;
  }

  /** Joins doors d1 to dN, each with one ready process, alternating between zones a and b. */
  private void joinReadyDoors(int count) {
    stateMachine.apply(new LeaderElected(nowMs));
    for (int i = 1; i <= count; i++) {
      join("d" + i, "x", i % 2 == 1 ? "a" : "b", 1);
      heartbeat("d" + i, Activity.READY);
    }
  }

  private void listBackends(boolean... serving) {
    List<Backend> all = new ArrayList<>();
    for (int i = 0; i < serving.length; i++) {
      all.add(new Backend("b" + (i + 1), i % 2 == 0 ? "a" : "b", 1, serving[i], 0));
    }
    stateMachine.apply(new UpdateBackends(nowMs, 1, all));
  }

  private Outcome join(String door, String incarnation, String zone, long generation) {
    return stateMachine.apply(new Join(nowMs, door, incarnation, zone, 1, generation, "1.0"));
  }

  private Outcome heartbeat(String door, Activity activity, Long... left) {
    return heartbeat(door, "x", activity, stateMachine.state().index(), left);
  }

  private Outcome heartbeat(String door, String incarnation, Activity activity, long seenIndex,
      Long... left) {
    lastActivity.put(door, activity);
    return stateMachine.apply(new Heartbeats(nowMs,
        List.of(new Heartbeat(door, incarnation, activity, ++heartbeatNumber, seenIndex, Set.of(left),
        Report.NONE))));
  }

  private Outcome requestPermit(String request, Subject subject) {
    return stateMachine.apply(new RequestPermit(nowMs, request, subject, "ana", "disk", false));
  }

  private Outcome returnPermit(Subject subject) {
    return stateMachine.apply(new ReturnPermit(nowMs, subject, permitId(subject), "ana"));
  }

  private long permitId(Subject subject) {
    return stateMachine.state().permits().stream().filter(x -> x.subject().equals(subject)).findFirst()
        .map(Permit::id).orElse(0L);
  }

  private Stage stageOf(Subject subject) {
    return stateMachine.state().permits().stream().filter(x -> x.subject().equals(subject)).findFirst()
        .map(Permit::stage).orElse(null);
  }

  private long assertGranted(Outcome outcome) {
    return assertInstanceOf(Granted.class, outcome).permit();
  }

  private Waiting assertWaiting(Outcome outcome) {
    return assertInstanceOf(Waiting.class, outcome);
  }

  private String refusalReason(Outcome outcome) {
    return assertInstanceOf(Refused.class, outcome).why();
  }

  @Test
  void permitsBeyondTheBudgetWaitInOrder() {
    joinReadyDoors(4);
    assertGranted(requestPermit("r1", door("d1")));
    Waiting second = assertWaiting(requestPermit("r2", door("d2")));
    assertEquals(1, second.place());
    assertEquals("1 of 4 are out, 1 may be: d1", second.why());
    assertEquals(2, assertWaiting(requestPermit("r3", door("d3"))).place());
    heartbeat("d1", Activity.EMPTY);
    assertEquals(Stage.OUT, stageOf(door("d1")));
    returnPermit(door("d1"));
    heartbeat("d1", Activity.READY);
    assertGranted(stateMachine.requestStatus("r2"));
    assertEquals(1, assertWaiting(stateMachine.requestStatus("r3")).place());
  }

  @Test
  void repeatedRequestReturnsTheSamePermit() {
    joinReadyDoors(3);
    long id = assertGranted(requestPermit("r1", door("d1")));
    assertEquals(id, assertGranted(requestPermit("r1", door("d1"))));
    assertTrue(refusalReason(requestPermit("r2", door("d1"))).contains("asked for by ana: disk"));
    assertEquals("no door nobody is known", refusalReason(requestPermit("r3", door("nobody"))));
    assertEquals("permit 0 is over", refusalReason(returnPermit(door("d2"))));
    assertWaiting(requestPermit("r4", door("d2")));
    assertInstanceOf(Done.class, returnPermit(door("d2")));
    assertEquals("no request is called r4", refusalReason(stateMachine.requestStatus("r4")));
  }

  /** Doors that are unreachable, are starting or have ended count as out. */
  @Test
  void failedAndStartingDoorsCountAgainstTheBudget() {
    withBudget(OutageLimit.of(2), OutageLimit.UNLIMITED, 0).joinReadyDoors(4);
    heartbeat("d1", Activity.STARTING);
    stateMachine.apply(new Leave(nowMs, "d2", "x"));
    assertWaiting(requestPermit("r1", door("d3")));
    heartbeat("d1", Activity.READY);
    assertGranted(stateMachine.requestStatus("r1"));
    nowMs += LEASE_MS;
    heartbeat("d1", Activity.READY);
    heartbeat("d3", Activity.READY);
    assertWaiting(requestPermit("r2", door("d1")));
    assertEquals(3, stateMachine.out(Kind.DOOR),
        "d2 has ended, d3 has a permit, the lease of d4 has expired");
  }

  /** The permit uses no further budget when granted, and is still needed until the door is back. */
  @Test
  void permitForADoorAlreadyOutIsGrantedWithinAFullBudget() {
    joinReadyDoors(3);
    stateMachine.apply(new Leave(nowMs, "d1", "x"));
    assertGranted(requestPermit("r1", door("d1")));
    assertWaiting(requestPermit("r2", door("d2")));
    join("d1", "y", "a", 2);
    heartbeat("d1", "y", Activity.READY, stateMachine.state().index());
    assertWaiting(stateMachine.requestStatus("r2"));
  }

  @Test
  void deathOfAPermitHolderFreesNoBudget() {
    joinReadyDoors(3);
    assertGranted(requestPermit("r1", door("d1")));
    nowMs += 10 * LEASE_MS;
    heartbeat("d2", Activity.READY);
    heartbeat("d3", Activity.READY);
    assertWaiting(requestPermit("r2", door("d2")));
    returnPermit(door("d1"));
    assertWaiting(stateMachine.requestStatus("r2"));
    join("d1", "y", "a", 2);
    assertWaiting(stateMachine.requestStatus("r2"));
    heartbeat("d1", "y", Activity.READY, stateMachine.state().index());
    assertGranted(stateMachine.requestStatus("r2"));
  }

  /** The door reported READY before it learned of its permit, so it may be draining now. */
  @Test
  void readyHeartbeatOlderThanTheReturnDoesNotEndThePermit() {
    joinReadyDoors(3);
    assertGranted(requestPermit("r1", door("d1")));
    long before = stateMachine.state().index();
    returnPermit(door("d1"));
    heartbeat("d1", "x", Activity.READY, before);
    assertEquals(Stage.RETURNING, stageOf(door("d1")));
    assertWaiting(requestPermit("r2", door("d2")));
    heartbeat("d1", Activity.READY);
    assertGranted(stateMachine.requestStatus("r2"));
  }

  @Test
  void zoneAndWeightLimitsApply() {
    withBudget(OutageLimit.of(3), OutageLimit.of(1), 2).joinReadyDoors(6);
    assertGranted(requestPermit("r1", door("d1")));
    assertEquals("1 of 3 are out in zone a, 1 may be", assertWaiting(requestPermit("r2", door("d3"))).why());
    assertGranted(requestPermit("r3", door("d2")));
    stateMachine.apply(new Configure(nowMs, settings(OutageLimit.of(6), OutageLimit.UNLIMITED, 3)));
    assertGranted(stateMachine.requestStatus("r2"));
    assertEquals("weight 3.0 serves, 3.0 must without it",
        assertWaiting(requestPermit("r4", door("d4"))).why());
  }

  /** Later requests that would fit must not overtake it forever. */
  @Test
  void requestHeldBackByTheOverallLimitIsNotOvertaken() {
    withBudget(OutageLimit.of(2), OutageLimit.of(1), 0).joinReadyDoors(6);
    assertGranted(requestPermit("r1", door("d1")));
    assertWaiting(requestPermit("r2", door("d3")));
    assertGranted(requestPermit("r3", door("d2")));
    assertWaiting(requestPermit("r4", door("d4")));
    returnPermit(door("d1"));
    heartbeat("d1", Activity.READY);
    assertGranted(stateMachine.requestStatus("r2"));
    assertWaiting(stateMachine.requestStatus("r4"));
  }

  @Test
  void sharesAreRoundedDownButAllowAtLeastOne() {
    assertEquals(List.of(1, 1, 2, 3, 0),
        List.of(OutageLimit.ofShare(0.1).resolve(4), OutageLimit.ofShare(0.3).resolve(4),
        OutageLimit.ofShare(0.5).resolve(5), OutageLimit.ofShare(0.3).resolve(10),
        OutageLimit.ofShare(0).resolve(9)));
  }

  @Test
  void forcedPermitIsNoted() {
    joinReadyDoors(3);
    assertGranted(requestPermit("r1", door("d1")));
    assertGranted(stateMachine.apply(new RequestPermit(nowMs, "r2", door("d2"), "ben", "fire", true)));
    assertEquals(List.of(new Note(0, "ben", "takes out door d2 by force: fire")),
        stateMachine.state().notes());
    assertEquals(2, stateMachine.out(Kind.DOOR));
  }

  @Test
  void backendIsOutOnceTheLastDoorStoppedSending() {
    joinReadyDoors(3);
    listBackends(true, true, true);
    long id = assertGranted(requestPermit("r1", backend("b1")));
    heartbeat("d1", Activity.READY, id);
    heartbeat("d2", Activity.READY, id);
    assertEquals(Stage.GRANTED, stageOf(backend("b1")));
    assertEquals(List.of("d3/x"), stateMachine.blockingProcesses(backend("b1")));
    heartbeat("d3", Activity.READY, id);
    assertEquals(Stage.OUT, stageOf(backend("b1")));
  }

  /**
   * The unreachable door may still reach the backend, so only its own report or an operator unblocks the
   * permit.
   */
  @Test
  void unreachableDoorBlocksABackendUntilForgotten() {
    joinReadyDoors(2);
    listBackends(true, true);
    long id = assertGranted(requestPermit("r1", backend("b1")));
    nowMs += 10 * LEASE_MS;
    heartbeat("d1", Activity.READY, id);
    assertEquals(List.of("d2/x"), stateMachine.blockingProcesses(backend("b1")));
    assertInstanceOf(Done.class, stateMachine.apply(new Forget(nowMs, "f" + ++heartbeatNumber, "d2", "ana")));
    assertEquals(Stage.OUT, stageOf(backend("b1")));
    assertEquals("no door or process is called d2",
        refusalReason(stateMachine.apply(new Forget(nowMs, "f" + ++heartbeatNumber, "d2", "ana"))));
    assertEquals(List.of("d2/x"),
        assertInstanceOf(HeartbeatsRecorded.class, heartbeat("d2", Activity.READY)).strangers());
  }

  /** A process that joins after the grant may send as well; a process that has ended does not. */
  @Test
  void everyProcessOfADoorMustStopSending() {
    joinReadyDoors(1);
    listBackends(true, true);
    long id = assertGranted(requestPermit("r1", backend("b1")));
    join("d1", "y", "a", 0);
    heartbeat("d1", Activity.READY, id);
    assertEquals(List.of("d1/y"), stateMachine.blockingProcesses(backend("b1")));
    stateMachine.apply(new Leave(nowMs, "d1", "y"));
    assertEquals(Stage.OUT, stageOf(backend("b1")));
  }

  @Test
  void backendIsBackOnceItServesAndAllReachableDoorsKnow() {
    joinReadyDoors(2);
    listBackends(true, true);
    long id = assertGranted(requestPermit("r1", backend("b1")));
    heartbeat("d1", Activity.READY, id);
    heartbeat("d2", Activity.READY, id);
    listBackends(false, true);
    returnPermit(backend("b1"));
    listBackends(true, true);
    heartbeat("d1", Activity.READY);
    assertEquals(Stage.RETURNING, stageOf(backend("b1")));
    heartbeat("d2", Activity.READY);
    assertEquals(null, stageOf(backend("b1")));
  }

  @Test
  void notServingBackendsCountAndDelistedOnesKeepWaiting() {
    joinReadyDoors(1);
    listBackends(false, true, true);
    assertWaiting(requestPermit("r1", backend("b2")));
    stateMachine.apply(new UpdateBackends(nowMs, 1,
        List.of(new Backend("b1", "a", 1, true, 0), new Backend("b3", "a", 1, true,
        0))));
    assertEquals("others wait before it", assertWaiting(stateMachine.requestStatus("r1")).why());
    assertGranted(requestPermit("r2", backend("b3")));
  }

  /** The new leader knows neither what the old leader renewed last nor how the clocks relate. */
  @Test
  void newLeaderRestartsRunningLeases() {
    joinReadyDoors(2);
    nowMs += LEASE_MS - 1;
    stateMachine.apply(new Tick(nowMs));
    assertEquals(0, stateMachine.out(Kind.DOOR));
    nowMs = 5;
    stateMachine.apply(new LeaderElected(nowMs));
    nowMs += LEASE_MS - 1;
    stateMachine.apply(new Tick(nowMs));
    assertEquals(0, stateMachine.out(Kind.DOOR));
    nowMs += 1;
    stateMachine.apply(new Tick(nowMs));
    assertEquals(2, stateMachine.out(Kind.DOOR));
    stateMachine.apply(new Tick(nowMs - 500));
    assertEquals(2, stateMachine.out(Kind.DOOR), "replicated time does not run backwards");
  }

  @Test
  void lateHeartbeatsAndThoseOfEndedProcessesAreIgnored() {
    joinReadyDoors(2);
    Heartbeat late = new Heartbeat("d1", "x", Activity.READY, ++heartbeatNumber, stateMachine.state().index(),
        Set.of(), Report.NONE);
    heartbeat("d1", Activity.DRAINING);
    stateMachine.apply(new Heartbeats(nowMs, List.of(late)));
    assertEquals(1, stateMachine.out(Kind.DOOR));
    stateMachine.apply(new Leave(nowMs, "d1", "x"));
    assertEquals(List.of("d1/x"),
        assertInstanceOf(HeartbeatsRecorded.class, heartbeat("d1", Activity.READY)).strangers());
    assertEquals(1, stateMachine.out(Kind.DOOR));
  }

  @Test
  void collectionsAreBounded() {
    withBudget(OutageLimit.of(0), OutageLimit.UNLIMITED, 0).stateMachine.apply(new LeaderElected(nowMs));
    IntStream.range(0, FleetStateMachine.MAX_PROCESSES).forEach(i -> join("d" + i, "x", "a", 0));
    assertTrue(refusalReason(join("more", "x", "a", 0)).startsWith("1000 processes"));
    assertInstanceOf(Done.class, join("d1", "x", "a", 0));
    stateMachine.apply(new UpdateBackends(nowMs, 1, IntStream.range(0, FleetStateMachine.MAX_BACKENDS + 5)
        .mapToObj(i -> new Backend("b" + i, "a", 1, true, 0)).toList()));
    assertEquals(FleetStateMachine.MAX_BACKENDS, stateMachine.state().backends().size());
    IntStream.range(0, FleetStateMachine.MAX_PERMITS).forEach(i -> requestPermit("r" + i, backend("b" + i)));
    assertTrue(refusalReason(requestPermit("more", backend("b5000"))).startsWith("1000 permits"));
    IntStream.range(0, FleetStateMachine.MAX_NOTES + 1).forEach(i -> {
      stateMachine.apply(new Forget(nowMs, "f" + i, "d" + (i + 1) % 1_000, "ana"));
      join("d" + (i + 1) % 1_000, "x", "a", 0);
    });
    assertEquals(FleetStateMachine.MAX_NOTES, stateMachine.state().notes().size());
  }

  private void heartbeatWithList(String door, BackendListId list) {
    stateMachine.apply(new Heartbeats(nowMs, List.of(new Heartbeat(door, "x", Activity.READY,
        ++heartbeatNumber, stateMachine.state().index(), Set.of(),
        Report.NONE, list))));
  }

  private boolean isAskedForList(String door) {
    return stateMachine.view(door, "x", LEASE_MS).tellList();
  }

  /**
   * The older list comes from a door that lags behind, unless no reachable door uses the newer one any more.
   */
  @Test
  void olderBackendListIsRefusedWhileAReachableDoorHasANewerOne() {
    joinReadyDoors(2);
    List<Backend> two = List.of(new Backend("b1", "a", 1, true, 0), new Backend("b2", "a", 1, false, 0));
    heartbeatWithList("d1", BackendListId.of(7, two));
    stateMachine.apply(new UpdateBackends(nowMs, 7, two));
    assertTrue(refusalReason(stateMachine.apply(new UpdateBackends(nowMs, 6, List.of())))
        .contains("version 6"));
    assertEquals(2, stateMachine.state().backends().size());
    heartbeatWithList("d1", BackendListId.of(2, List.of()));
    stateMachine.apply(new UpdateBackends(nowMs, 2, List.of()));
    assertEquals(0, stateMachine.state().backends().size());
  }

  /** A list that arrived late, or a list that was lost, is corrected. */
  @Test
  void doorWithADifferentListIsAskedToSendIt() {
    joinReadyDoors(2);
    List<Backend> two = List.of(new Backend("b1", "a", 1, true, 0), new Backend("b2", "a", 1, true, 0));
    stateMachine.apply(new UpdateBackends(nowMs, 7, two.subList(0, 1)));
    heartbeatWithList("d1", BackendListId.of(6, List.of()));
    heartbeatWithList("d2", BackendListId.of(7, List.of(two.get(1), two.get(0))));
    assertFalse(isAskedForList("d2"), "the replicated list is less than one lease old");
    nowMs += LEASE_MS;
    heartbeatWithList("d2", BackendListId.of(7, two));
    assertTrue(isAskedForList("d2"));
    heartbeatWithList("d1", BackendListId.of(6, List.of()));
    assertFalse(isAskedForList("d1"), "d1 has an older list");
    stateMachine.apply(new UpdateBackends(nowMs, 7, two));
    nowMs += LEASE_MS;
    heartbeatWithList("d1", BackendListId.of(7, List.of(two.get(1), two.get(0))));
    heartbeatWithList("d2", BackendListId.of(7, two));
    assertFalse(isAskedForList("d1") || isAskedForList("d2"),
        "the order of the backends makes no difference");
    heartbeatWithList("d1", BackendListId.of(9, two));
    assertTrue(isAskedForList("d1"));
  }

  /** The holder of the door's lock ends earlier holders, but no process that waits for the lock. */
  @Test
  void newerGenerationEndsOnlyOlderOnes() {
    joinReadyDoors(1);
    join("d1", "y", "a", 0);
    join("d1", "z", "a", 0);
    assertEquals(3, stateMachine.state().lives().size());
    join("d1", "y", "a", 2);
    assertEquals(List.of("y", "z"),
        stateMachine.state().lives().stream().map(DoorProcessState::incarnation).toList());
    assertTrue(stateMachine.view("d1", "y", LEASE_MS).known());
    assertFalse(stateMachine.view("d1", "x", LEASE_MS).known());
  }

  @Test
  void doorIsToldItsOwnPermitAndThoseOfBackendsThatAreOut() {
    joinReadyDoors(3);
    listBackends(true, true, true);
    requestPermit("r1", door("d1"));
    requestPermit("r2", door("d2"));
    requestPermit("r3", backend("b1"));
    requestPermit("r4", backend("b2"));
    assertEquals(List.of("r1", "r3"), requestsToldTo("d1"));
    assertEquals(List.of("r2", "r3"), requestsToldTo("d2"));
    assertEquals(List.of("r3"), requestsToldTo("d3"));
  }

  private List<String> requestsToldTo(String door) {
    return stateMachine.view(door, "x", LEASE_MS).permits().stream().map(Permit::request).toList();
  }

  /** An unreachable door may still serve; with a permit it would stay out instead of coming back. */
  @Test
  void unreachableDoorGetsNoPermitBeyondTheBudget() {
    joinReadyDoors(4);
    assertGranted(requestPermit("r1", door("d1")));
    nowMs += LEASE_MS + 1;
    heartbeat("d1", Activity.DRAINING);
    heartbeat("d3", Activity.READY);
    heartbeat("d4", Activity.READY);
    assertEquals("2 of 4 are out, 1 may be: d1, d2", assertWaiting(requestPermit("r2", door("d2"))).why());
  }

  /** A new leader extends only the leases that have not expired. */
  @Test
  void newLeaderDoesNotRestartExpiredLeases() {
    joinReadyDoors(3);
    nowMs += LEASE_MS - 1;
    heartbeat("d1", Activity.READY);
    nowMs += 2;
    heartbeat("d1", Activity.READY);
    nowMs = 50;
    stateMachine.apply(new LeaderElected(nowMs));
    assertEquals(2, stateMachine.out(Kind.DOOR));
    nowMs += LEASE_MS - 1;
    stateMachine.apply(new Command.Tick(nowMs));
    assertEquals(2, stateMachine.out(Kind.DOOR));
  }

  /** Requests wait until the first settings are committed. */
  @Test
  void unconfiguredStateMachineGrantsNothing() {
    stateMachine = new FleetStateMachine(FleetSettings.UNCONFIGURED);
    joinReadyDoors(2);
    assertWaiting(requestPermit("r1", door("d1")));
    stateMachine.apply(new Command.Configure(nowMs, settings(OutageLimit.of(1), OutageLimit.UNLIMITED, 0)));
    assertEquals(Stage.GRANTED, stageOf(door("d1")));
  }

  /** A slow connection repeats commands that were applied long ago, after the door has gone out again. */
  @Test
  void lateRepeatsOfCommandsHaveNoEffect() {
    joinReadyDoors(2);
    long first = assertGranted(requestPermit("r1", door("d1")));
    heartbeat("d1", Activity.EMPTY);
    returnPermit(door("d1"));
    heartbeat("d1", Activity.READY);
    assertEquals("request r1 is over", refusalReason(requestPermit("r1", door("d1"))));
    long second = assertGranted(requestPermit("r2", door("d1")));
    assertEquals("permit " + first + " is over; door d1 is granted by permit " + second,
        refusalReason(stateMachine.apply(new ReturnPermit(nowMs, door("d1"), first, "ana"))));
    assertEquals(Stage.GRANTED, stageOf(door("d1")));
    stateMachine.apply(new Command.Leave(nowMs, "d2", "x"));
    join("d2", "y", "a", 0);
    assertEquals("process d2/x has ended", refusalReason(join("d2", "x", "a", 0)));
    join("d2", "y", "a", 3);
    join("d2", "z", "a", 4);
    assertEquals("process d2/y has ended", refusalReason(join("d2", "y", "a", 0)));
    assertEquals("process d2/v has ended", refusalReason(join("d2", "v", "a", 2)),
        "late join of an earlier holder of the lock");
    Forget forget = new Forget(nowMs, "f", "d2", "ana");
    stateMachine.apply(forget);
    join("d2", "w", "a", 0);
    stateMachine.apply(forget);
    assertTrue(stateMachine.view("d2", "w", LEASE_MS).known());
    stateMachine.apply(new Forget(nowMs, "g", "d2/w", "ana"));
    assertFalse(stateMachine.view("d2", "w", LEASE_MS).known());
  }

  @Test
  void invalidSettingsAreRejected() {
    assertTrue(rejectionMessage(() -> OutageLimit.ofShare(1.5))
        .contains("1.5 of 1 (expected: 0 or more, 1 at most)"));
    assertTrue(rejectionMessage(() -> new Budget(OutageLimit.UNLIMITED, OutageLimit.UNLIMITED, Double.NaN))
        .contains("least weight is NaN"));
    assertTrue(rejectionMessage(() -> new FleetSettings(null, null, Double.NaN))
        .contains("the lease is NaN ms"));
    assertTrue(rejectionMessage(() -> new DoorLease(1)).contains("the clock drift is 1.0"));
  }

  private static String rejectionMessage(Runnable construction) {
    try {
      construction.run();
    } catch (IllegalArgumentException e) {
      return e.getMessage();
    }
    return "no exception was thrown";
  }

  /** For any drift within the bound, the door's view of its lease ends before the replicas' view. */
  @Test
  void doorLeaseExpiresBeforeTheReplicasExpireIt() {
    double drift = 0.05;
    for (double door : new double[] {1 - drift, 1, 1 + drift}) {
      for (double steward : new double[] {1 - drift, 1, 1 + drift}) {
        DoorLease lease = new DoorLease(drift);
        lease.renew(700 * door, LEASE_MS);
        lease.renew(100 * door, LEASE_MS);
        double overAtStewards = 700 + LEASE_MS / steward;
        assertTrue(!lease.isValid(overAtStewards * door + 1e-6),
            door + " is the rate of the door's clock, the replicas' clock runs at " + steward);
        assertTrue(lease.isValid(700 * door + LEASE_MS * 0.85));
      }
    }
  }

  /**
   * Random commands never exceed the budget, and a state machine restored from a snapshot stays identical.
   */
  @Test
  void budgetsHoldUnderRandomCommands() {
    for (long seed = 1; seed <= 300; seed++) {
      Random random = new Random(seed);
      withBudget(OutageLimit.of(2), OutageLimit.of(1), 0).joinReadyDoors(5);
      listBackends(true, true, true, true, true);
      FleetStateMachine copy = new FleetStateMachine(stateMachine.state());
      for (int step = 0; step < 120; step++) {
        Set<String> outBefore = permitHolders();
        Command command = randomCommand(random);
        Outcome outcome = stateMachine.apply(command);
        String context = "seed " + seed + " step " + step + " " + command;
        assertEquals(outcome, copy.apply(command), context);
        assertEquals(stateMachine.state(), copy.state(), context);
        permitHolders().stream().filter(x -> !outBefore.contains(x) && servesApartFromPermit(x)).forEach(x ->
            assertTrue(stateMachine.out(x.startsWith("door") ? Kind.DOOR : Kind.BACKEND) <= 2, context));
        if (step % 40 == 0) {
          copy = new FleetStateMachine(stateMachine.state());
        }
      }
    }
  }

  /** Whether the subject would serve if it had no permit. */
  private boolean servesApartFromPermit(String subject) {
    State state = stateMachine.state();
    return state.lives().stream().anyMatch(x -> subject.equals("door " + x.door())
        && x.doing() == Activity.READY && state.nowMs() < x.untilMs())
        || state.backends().stream().anyMatch(x -> subject.equals("backend " + x.name()) && x.serving());
  }

  private Set<String> permitHolders() {
    Set<String> names = new HashSet<>();
    stateMachine.state().permits().stream().filter(Permit::countsAgainstBudget)
        .forEach(x -> names.add(x.subject().toString()));
    return names;
  }

  private Command randomCommand(Random random) {
    nowMs += random.nextInt(400);
    String door = "d" + (1 + random.nextInt(5));
    Subject subject = random.nextBoolean() ? door(door) : backend("b" + (1 + random.nextInt(5)));
    switch (random.nextInt(8)) {
      case 0:
        return new RequestPermit(nowMs, "r" + random.nextInt(50), subject, "ana", "any", false);
      case 1:
        return new ReturnPermit(nowMs, subject, permitId(subject), "ana");
      case 2:
        return new Leave(nowMs, door, "x");
      case 3:
        return new Join(nowMs, door, random.nextBoolean() ? "x" : "y", "a", 1, random.nextInt(3), "1.0");
      case 4:
        nowMs = random.nextInt(5_000);
        return new LeaderElected(nowMs);
      case 5:
        return new UpdateBackends(nowMs, 1, IntStream.rangeClosed(1, 5).mapToObj(i -> new Backend("b" + i,
            i % 2 == 0 ? "a" : "b", 1, random.nextInt(4) > 0, 0)).toList());
      default:
        Activity activity = Activity.values()[random.nextInt(4)];
        return new Heartbeats(nowMs,
            List.of(new Heartbeat(door, random.nextInt(4) == 0 ? "y" : "x", activity, ++heartbeatNumber,
            stateMachine.state().index() - random.nextInt(3), Set.of(1L + random.nextInt(20)), Report.NONE)));
    }
  }
}
