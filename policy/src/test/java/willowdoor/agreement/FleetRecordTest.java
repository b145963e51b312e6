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

class FleetRecordTest {

  private static final double LEASE = 3_000;

  private FleetStateMachine record =
      new FleetStateMachine(terms(OutageLimit.of(1), OutageLimit.UNLIMITED, 0));
  private double at = 1_000;
  private long beat;
  private final Map<String, Activity> doing = new HashMap<>();

  private static FleetSettings terms(OutageLimit inAll, OutageLimit inZone, double least) {
    Budget budget = new Budget(inAll, inZone, least);
    return new FleetSettings(budget, budget, LEASE);
  }

  private static Subject door(String name) {
    return new Subject(Kind.DOOR, name);
  }

  private static Subject backend(String name) {
    return new Subject(Kind.BACKEND, name);
  }

  private FleetRecordTest with(OutageLimit inAll, OutageLimit inZone, double least) {
    record = new FleetStateMachine(terms(inAll, inZone, least));
    return this;
  }

  /** Doors d1 to dN, each ready with one process, in zones a and b by turns. */
  private void doors(int n) {
    record.apply(new LeaderElected(at));
    for (int i = 1; i <= n; i++) {
      join("d" + i, "x", i % 2 == 1 ? "a" : "b", 1);
      says("d" + i, Activity.READY);
    }
  }

  private void backends(boolean... serving) {
    List<Backend> all = new ArrayList<>();
    for (int i = 0; i < serving.length; i++) {
      all.add(new Backend("b" + (i + 1), i % 2 == 0 ? "a" : "b", 1, serving[i], 0));
    }
    record.apply(new UpdateBackends(at, 1, all));
  }

  private Outcome join(String door, String incarnation, String zone, long generation) {
    return record.apply(new Join(at, door, incarnation, zone, 1, generation, "1.0"));
  }

  private Outcome says(String door, Activity what, Long... left) {
    return says(door, "x", what, record.state().index(), left);
  }

  private Outcome says(String door, String incarnation, Activity what, long seen, Long... left) {
    doing.put(door, what);
    return record
        .apply(new Heartbeats(at, List.of(new Heartbeat(door, incarnation, what, ++beat, seen, Set.of(left),
        Report.NONE))));
  }

  private Outcome ask(String request, Subject subject) {
    return record.apply(new RequestPermit(at, request, subject, "ana", "disk", false));
  }

  private Outcome giveBack(Subject subject) {
    return record.apply(new ReturnPermit(at, subject, permitOf(subject), "ana"));
  }

  private long permitOf(Subject subject) {
    return record.state().permits().stream().filter(x -> x.subject().equals(subject)).findFirst()
        .map(Permit::id).orElse(0L);
  }

  private Stage stage(Subject subject) {
    return record.state().permits().stream().filter(x -> x.subject().equals(subject)).findFirst()
        .map(Permit::stage).orElse(null);
  }

  private long id(Outcome outcome) {
    return assertInstanceOf(Granted.class, outcome).permit();
  }

  private Waiting waits(Outcome outcome) {
    return assertInstanceOf(Waiting.class, outcome);
  }

  private String refused(Outcome outcome) {
    return assertInstanceOf(Refused.class, outcome).why();
  }

  @Test
  void asManyAsTheBudgetSaysGoOutAndTheRestWaitsInOrder() {
    doors(4);
    id(ask("r1", door("d1")));
    Waiting second = waits(ask("r2", door("d2")));
    assertEquals(1, second.place());
    assertEquals("1 of 4 are out, 1 may be: d1", second.why());
    assertEquals(2, waits(ask("r3", door("d3"))).place());
    says("d1", Activity.EMPTY);
    assertEquals(Stage.OUT, stage(door("d1")));
    giveBack(door("d1"));
    says("d1", Activity.READY);
    id(record.requestStatus("r2"));
    assertEquals(1, waits(record.requestStatus("r3")).place());
  }

  @Test
  void whatIsAskedTwiceIsOneRequest() {
    doors(3);
    long id = id(ask("r1", door("d1")));
    assertEquals(id, id(ask("r1", door("d1"))));
    assertTrue(refused(ask("r2", door("d1"))).contains("asked for by ana: disk"));
    assertEquals("no door nobody is known", refused(ask("r3", door("nobody"))));
    assertEquals("permit 0 is over", refused(giveBack(door("d2"))));
    waits(ask("r4", door("d2")));
    assertInstanceOf(Done.class, giveBack(door("d2")));
    assertEquals("no request is called r4", refused(record.requestStatus("r4")));
  }

  /** A dead door, one that hasn't begun and one that ended by a signal. */
  @Test
  void whatIsOutByItselfCounts() {
    with(OutageLimit.of(2), OutageLimit.UNLIMITED, 0).doors(4);
    says("d1", Activity.STARTING);
    record.apply(new Leave(at, "d2", "x"));
    waits(ask("r1", door("d3")));
    says("d1", Activity.READY);
    id(record.requestStatus("r1"));
    at += LEASE;
    says("d1", Activity.READY);
    says("d3", Activity.READY);
    waits(ask("r2", door("d1")));
    assertEquals(3, record.out(Kind.DOOR), "d2 ended, d3 has a permit, d4's lease is over");
  }

  /** Going out, it takes nothing more from the budget; coming back it still needs its permit. */
  @Test
  void whatIsOutAlreadyNeedsNoRoom() {
    doors(3);
    record.apply(new Leave(at, "d1", "x"));
    id(ask("r1", door("d1")));
    waits(ask("r2", door("d2")));
    join("d1", "y", "a", 2);
    says("d1", "y", Activity.READY, record.state().index());
    waits(record.requestStatus("r2"));
  }

  @Test
  void aHoldersDeathFreesNothing() {
    doors(3);
    id(ask("r1", door("d1")));
    at += 10 * LEASE;
    says("d2", Activity.READY);
    says("d3", Activity.READY);
    waits(ask("r2", door("d2")));
    giveBack(door("d1"));
    waits(record.requestStatus("r2"));
    join("d1", "y", "a", 2);
    waits(record.requestStatus("r2"));
    says("d1", "y", Activity.READY, record.state().index());
    id(record.requestStatus("r2"));
  }

  /** It said so before it had heard that it may go out, so it may be going now. */
  @Test
  void aReadyThatKnewNothingOfTheReturnEndsNoPermit() {
    doors(3);
    id(ask("r1", door("d1")));
    long before = record.state().index();
    giveBack(door("d1"));
    says("d1", "x", Activity.READY, before);
    assertEquals(Stage.RETURNING, stage(door("d1")));
    waits(ask("r2", door("d2")));
    says("d1", Activity.READY);
    id(record.requestStatus("r2"));
  }

  @Test
  void zoneAndWeightHaveBudgetsToo() {
    with(OutageLimit.of(3), OutageLimit.of(1), 2).doors(6);
    id(ask("r1", door("d1")));
    assertEquals("1 of 3 are out in zone a, 1 may be", waits(ask("r2", door("d3"))).why());
    id(ask("r3", door("d2")));
    record.apply(new Configure(at, terms(OutageLimit.of(6), OutageLimit.UNLIMITED, 3)));
    id(record.requestStatus("r2"));
    assertEquals("weight 3.0 serves, 3.0 must without it", waits(ask("r4", door("d4"))).why());
  }

  /** Smaller ones must not pass for ever. */
  @Test
  void nothingPassesOneThatTheWholeHoldsBack() {
    with(OutageLimit.of(2), OutageLimit.of(1), 0).doors(6);
    id(ask("r1", door("d1")));
    waits(ask("r2", door("d3")));
    id(ask("r3", door("d2")));
    waits(ask("r4", door("d4")));
    giveBack(door("d1"));
    says("d1", Activity.READY);
    id(record.requestStatus("r2"));
    waits(record.requestStatus("r4"));
  }

  @Test
  void sharesAreRoundedDownButLeaveOne() {
    assertEquals(List.of(1, 1, 2, 3, 0),
        List.of(OutageLimit.ofShare(0.1).resolve(4), OutageLimit.ofShare(0.3).resolve(4),
        OutageLimit.ofShare(0.5).resolve(5), OutageLimit.ofShare(0.3).resolve(10),
        OutageLimit.ofShare(0).resolve(9)));
  }

  @Test
  void forceIsWrittenDown() {
    doors(3);
    id(ask("r1", door("d1")));
    id(record.apply(new RequestPermit(at, "r2", door("d2"), "ben", "fire", true)));
    assertEquals(List.of(new Note(0, "ben", "takes out door d2 by force: fire")), record.state().notes());
    assertEquals(2, record.out(Kind.DOOR));
  }

  @Test
  void aBackendIsOutOnceTheLastDoorHasLetGo() {
    doors(3);
    backends(true, true, true);
    long id = id(ask("r1", backend("b1")));
    says("d1", Activity.READY, id);
    says("d2", Activity.READY, id);
    assertEquals(Stage.GRANTED, stage(backend("b1")));
    assertEquals(List.of("d3/x"), record.blockingProcesses(backend("b1")));
    says("d3", Activity.READY, id);
    assertEquals(Stage.OUT, stage(backend("b1")));
  }

  /** It may still reach the backend, so only an operator's word lets it go without its own. */
  @Test
  void aDoorThatIsCutOffHoldsUpABackendsGoing() {
    doors(2);
    backends(true, true);
    long id = id(ask("r1", backend("b1")));
    at += 10 * LEASE;
    says("d1", Activity.READY, id);
    assertEquals(List.of("d2/x"), record.blockingProcesses(backend("b1")));
    assertInstanceOf(Done.class, record.apply(new Forget(at, "f" + ++beat, "d2", "ana")));
    assertEquals(Stage.OUT, stage(backend("b1")));
    assertEquals("no door or process is called d2",
        refused(record.apply(new Forget(at, "f" + ++beat, "d2", "ana"))));
    assertEquals(List.of("d2/x"),
        assertInstanceOf(HeartbeatsRecorded.class, says("d2", Activity.READY)).strangers());
  }

  /** A process that joins after the grant sends too, and one that ended sends no more. */
  @Test
  void bothProcessesOfADoorHaveToLetGo() {
    doors(1);
    backends(true, true);
    long id = id(ask("r1", backend("b1")));
    join("d1", "y", "a", 0);
    says("d1", Activity.READY, id);
    assertEquals(List.of("d1/y"), record.blockingProcesses(backend("b1")));
    record.apply(new Leave(at, "d1", "y"));
    assertEquals(Stage.OUT, stage(backend("b1")));
  }

  @Test
  void aBackendIsBackWhenItServesAndAllWhoAreReachedKnow() {
    doors(2);
    backends(true, true);
    long id = id(ask("r1", backend("b1")));
    says("d1", Activity.READY, id);
    says("d2", Activity.READY, id);
    backends(false, true);
    giveBack(backend("b1"));
    backends(true, true);
    says("d1", Activity.READY);
    assertEquals(Stage.RETURNING, stage(backend("b1")));
    says("d2", Activity.READY);
    assertEquals(null, stage(backend("b1")));
  }

  @Test
  void backendsThatDrainOrAreColdCountAndGoneOnesWaitUnseen() {
    doors(1);
    backends(false, true, true);
    waits(ask("r1", backend("b2")));
    record.apply(
        new UpdateBackends(at, 1, List.of(new Backend("b1", "a", 1, true, 0), new Backend("b3", "a", 1, true,
        0))));
    assertEquals("others wait before it", waits(record.requestStatus("r1")).why());
    id(ask("r2", backend("b3")));
  }

  /** The new leader can't know what the old one has renewed, nor how its clock stands. */
  @Test
  void aNewLeaderLetsLeasesRunAnew() {
    doors(2);
    at += LEASE - 1;
    record.apply(new Tick(at));
    assertEquals(0, record.out(Kind.DOOR));
    at = 5;
    record.apply(new LeaderElected(at));
    at += LEASE - 1;
    record.apply(new Tick(at));
    assertEquals(0, record.out(Kind.DOOR));
    at += 1;
    record.apply(new Tick(at));
    assertEquals(2, record.out(Kind.DOOR));
    record.apply(new Tick(at - 500));
    assertEquals(2, record.out(Kind.DOOR), "time does not go back");
  }

  @Test
  void overtakenHeartbeatsAndThoseOfTheEndedTellNothing() {
    doors(2);
    Heartbeat late =
        new Heartbeat("d1", "x", Activity.READY, ++beat, record.state().index(), Set.of(), Report.NONE);
    says("d1", Activity.DRAINING);
    record.apply(new Heartbeats(at, List.of(late)));
    assertEquals(1, record.out(Kind.DOOR));
    record.apply(new Leave(at, "d1", "x"));
    assertEquals(List.of("d1/x"),
        assertInstanceOf(HeartbeatsRecorded.class, says("d1", Activity.READY)).strangers());
    assertEquals(1, record.out(Kind.DOOR));
  }

  @Test
  void everythingIsBounded() {
    with(OutageLimit.of(0), OutageLimit.UNLIMITED, 0).record.apply(new LeaderElected(at));
    IntStream.range(0, FleetStateMachine.MAX_PROCESSES).forEach(i -> join("d" + i, "x", "a", 0));
    assertTrue(refused(join("more", "x", "a", 0)).startsWith("1000 processes"));
    assertInstanceOf(Done.class, join("d1", "x", "a", 0));
    record.apply(new UpdateBackends(at, 1, IntStream.range(0, FleetStateMachine.MAX_BACKENDS + 5)
        .mapToObj(i -> new Backend("b" + i, "a", 1, true, 0)).toList()));
    assertEquals(FleetStateMachine.MAX_BACKENDS, record.state().backends().size());
    IntStream.range(0, FleetStateMachine.MAX_PERMITS).forEach(i -> ask("r" + i, backend("b" + i)));
    assertTrue(refused(ask("more", backend("b5000"))).startsWith("1000 permits"));
    IntStream.range(0, FleetStateMachine.MAX_NOTES + 1).forEach(i -> {
      record.apply(new Forget(at, "f" + i, "d" + (i + 1) % 1_000, "ana"));
      join("d" + (i + 1) % 1_000, "x", "a", 0);
    });
    assertEquals(FleetStateMachine.MAX_NOTES, record.state().notes().size());
  }

  private void goesBy(String door, BackendListId list) {
    record.apply(
        new Heartbeats(at,
        List.of(new Heartbeat(door, "x", Activity.READY, ++beat, record.state().index(), Set.of(),
        Report.NONE, list))));
  }

  private boolean askedForItsList(String door) {
    return record.view(door, "x", LEASE).tellList();
  }

  /** Of a door that is behind; where nobody goes by the newer one any more, the list counts anew. */
  @Test
  void anOlderListOfBackendsIsPassedOverWhileADoorGoesByTheNewer() {
    doors(2);
    List<Backend> two = List.of(new Backend("b1", "a", 1, true, 0), new Backend("b2", "a", 1, false, 0));
    goesBy("d1", BackendListId.of(7, two));
    record.apply(new UpdateBackends(at, 7, two));
    assertTrue(refused(record.apply(new UpdateBackends(at, 6, List.of()))).contains("version 6"));
    assertEquals(2, record.state().backends().size());
    goesBy("d1", BackendListId.of(2, List.of()));
    record.apply(new UpdateBackends(at, 2, List.of()));
    assertEquals(0, record.state().backends().size());
  }

  /** An old list that comes late, or one that was lost, is not what the record keeps for good. */
  @Test
  void aDoorWithAnotherListIsAskedToTellIt() {
    doors(2);
    List<Backend> two = List.of(new Backend("b1", "a", 1, true, 0), new Backend("b2", "a", 1, true, 0));
    record.apply(new UpdateBackends(at, 7, two.subList(0, 1)));
    goesBy("d1", BackendListId.of(6, List.of()));
    goesBy("d2", BackendListId.of(7, List.of(two.get(1), two.get(0))));
    assertFalse(askedForItsList("d2"), "not more than once a lease");
    at += LEASE;
    goesBy("d2", BackendListId.of(7, two));
    assertTrue(askedForItsList("d2"));
    goesBy("d1", BackendListId.of(6, List.of()));
    assertFalse(askedForItsList("d1"), "it is behind");
    record.apply(new UpdateBackends(at, 7, two));
    at += LEASE;
    goesBy("d1", BackendListId.of(7, List.of(two.get(1), two.get(0))));
    goesBy("d2", BackendListId.of(7, two));
    assertFalse(askedForItsList("d1") || askedForItsList("d2"), "in another order it is the same list");
    goesBy("d1", BackendListId.of(9, two));
    assertTrue(askedForItsList("d1"));
  }

  /** Whoever holds it ends those that held it before, not one that waits for it. */
  @Test
  void theHolderEndsThoseBeforeItOnly() {
    doors(1);
    join("d1", "y", "a", 0);
    join("d1", "z", "a", 0);
    assertEquals(3, record.state().lives().size());
    join("d1", "y", "a", 2);
    assertEquals(List.of("y", "z"),
        record.state().lives().stream().map(DoorProcessState::incarnation).toList());
    assertTrue(record.view("d1", "y", LEASE).known());
    assertFalse(record.view("d1", "x", LEASE).known());
  }

  @Test
  void aDoorIsToldOfItsOwnPermitAndOfBackendsThatAreOut() {
    doors(3);
    backends(true, true, true);
    ask("r1", door("d1"));
    ask("r2", door("d2"));
    ask("r3", backend("b1"));
    ask("r4", backend("b2"));
    assertEquals(List.of("r1", "r3"), told("d1"));
    assertEquals(List.of("r2", "r3"), told("d2"));
    assertEquals(List.of("r3"), told("d3"));
  }

  private List<String> told(String door) {
    return record.view(door, "x", LEASE).permits().stream().map(Permit::request).toList();
  }

  /** Out of reach, it may serve all the same, and would go where it would have come back. */
  @Test
  void oneThatIsOutByItselfIsNotLetGoOverTheBudget() {
    doors(4);
    id(ask("r1", door("d1")));
    at += LEASE + 1;
    says("d1", Activity.DRAINING);
    says("d3", Activity.READY);
    says("d4", Activity.READY);
    assertEquals("2 of 4 are out, 1 may be: d1, d2", waits(ask("r2", door("d2"))).why());
  }

  /** A new leader gives time to those that count as reached, and nobody back what is over. */
  @Test
  void aNewLeaderRevivesNoLeaseThatIsOver() {
    doors(3);
    at += LEASE - 1;
    says("d1", Activity.READY);
    at += 2;
    says("d1", Activity.READY);
    at = 50;
    record.apply(new LeaderElected(at));
    assertEquals(2, record.out(Kind.DOOR));
    at += LEASE - 1;
    record.apply(new Command.Tick(at));
    assertEquals(2, record.out(Kind.DOOR));
  }

  /** Until it is told by what it decides. */
  @Test
  void aRecordWithoutTermsGrantsNothing() {
    record = new FleetStateMachine(FleetSettings.UNCONFIGURED);
    doors(2);
    waits(ask("r1", door("d1")));
    record.apply(new Command.Configure(at, terms(OutageLimit.of(1), OutageLimit.UNLIMITED, 0)));
    assertEquals(Stage.GRANTED, stage(door("d1")));
  }

  /** A link that was slow says once more what was done long ago, to a door that has gone out again since. */
  @Test
  void whatComesLateOnceMoreDoesNothing() {
    doors(2);
    long first = id(ask("r1", door("d1")));
    says("d1", Activity.EMPTY);
    giveBack(door("d1"));
    says("d1", Activity.READY);
    assertEquals("request r1 is over", refused(ask("r1", door("d1"))));
    long second = id(ask("r2", door("d1")));
    assertEquals("permit " + first + " is over; door d1 is granted by permit " + second,
        refused(record.apply(new ReturnPermit(at, door("d1"), first, "ana"))));
    assertEquals(Stage.GRANTED, stage(door("d1")));
    record.apply(new Command.Leave(at, "d2", "x"));
    join("d2", "y", "a", 0);
    assertEquals("process d2/x has ended", refused(join("d2", "x", "a", 0)));
    join("d2", "y", "a", 3);
    join("d2", "z", "a", 4);
    assertEquals("process d2/y has ended", refused(join("d2", "y", "a", 0)));
    assertEquals("process d2/v has ended", refused(join("d2", "v", "a", 2)), "held it before, heard late");
    Forget forget = new Forget(at, "f", "d2", "ana");
    record.apply(forget);
    join("d2", "w", "a", 0);
    record.apply(forget);
    assertTrue(record.view("d2", "w", LEASE).known());
    record.apply(new Forget(at, "g", "d2/w", "ana"));
    assertFalse(record.view("d2", "w", LEASE).known());
  }

  @Test
  void nonsenseIsNamed() {
    assertTrue(message(() -> OutageLimit.ofShare(1.5)).contains("1.5 of 1 (expected: 0 or more, 1 at most)"));
    assertTrue(message(() -> new Budget(OutageLimit.UNLIMITED, OutageLimit.UNLIMITED, Double.NaN))
        .contains("least weight is NaN"));
    assertTrue(message(() -> new FleetSettings(null, null, Double.NaN)).contains("the lease is NaN ms"));
    assertTrue(message(() -> new DoorLease(1)).contains("clocks wrong by 1.0"));
  }

  private static String message(Runnable made) {
    try {
      made.run();
    } catch (IllegalArgumentException e) {
      return e.getMessage();
    }
    return "nothing was refused";
  }

  /** Whatever the drift up to the bound, the door's view of its lease is over before the stewards'. */
  @Test
  void aDoorsLeaseIsOverBeforeTheStewardsCountItSo() {
    double drift = 0.05;
    for (double door : new double[] {1 - drift, 1, 1 + drift}) {
      for (double steward : new double[] {1 - drift, 1, 1 + drift}) {
        DoorLease lease = new DoorLease(drift);
        lease.renew(700 * door, LEASE);
        lease.renew(100 * door, LEASE);
        double overAtStewards = 700 + LEASE / steward;
        assertTrue(!lease.isValid(overAtStewards * door + 1e-6), door + " beside " + steward);
        assertTrue(lease.isValid(700 * door + LEASE * 0.85));
      }
    }
  }

  /** By chance, whatever comes: the budget is kept, and a copy from a snapshot says the same. */
  @Test
  void budgetsHoldUnderAnyCommands() {
    for (long seed = 1; seed <= 300; seed++) {
      Random random = new Random(seed);
      with(OutageLimit.of(2), OutageLimit.of(1), 0).doors(5);
      backends(true, true, true, true, true);
      FleetStateMachine copy = new FleetStateMachine(record.state());
      for (int step = 0; step < 120; step++) {
        Set<String> outBefore = holders();
        Command command = any(random);
        Outcome outcome = record.apply(command);
        String what = "seed " + seed + " step " + step + " " + command;
        assertEquals(outcome, copy.apply(command), what);
        assertEquals(record.state(), copy.state(), what);
        holders().stream().filter(x -> !outBefore.contains(x) && serves(x)).forEach(x ->
            assertTrue(record.out(x.startsWith("door") ? Kind.DOOR : Kind.BACKEND) <= 2, what));
        if (step % 40 == 0) {
          copy = new FleetStateMachine(record.state());
        }
      }
    }
  }

  /** Whether it would serve but for its permit. */
  private boolean serves(String subject) {
    State state = record.state();
    return state.lives().stream().anyMatch(x -> subject.equals("door " + x.door())
        && x.doing() == Activity.READY && state.nowMs() < x.untilMs())
        || state.backends().stream().anyMatch(x -> subject.equals("backend " + x.name()) && x.serving());
  }

  private Set<String> holders() {
    Set<String> names = new HashSet<>();
    record.state().permits().stream().filter(Permit::countsAgainstBudget)
        .forEach(x -> names.add(x.subject().toString()));
    return names;
  }

  private Command any(Random random) {
    at += random.nextInt(400);
    String door = "d" + (1 + random.nextInt(5));
    Subject subject = random.nextBoolean() ? door(door) : backend("b" + (1 + random.nextInt(5)));
    switch (random.nextInt(8)) {
      case 0:
        return new RequestPermit(at, "r" + random.nextInt(50), subject, "ana", "any", false);
      case 1:
        return new ReturnPermit(at, subject, permitOf(subject), "ana");
      case 2:
        return new Leave(at, door, "x");
      case 3:
        return new Join(at, door, random.nextBoolean() ? "x" : "y", "a", 1, random.nextInt(3), "1.0");
      case 4:
        at = random.nextInt(5_000);
        return new LeaderElected(at);
      case 5:
        return new UpdateBackends(at, 1, IntStream.rangeClosed(1, 5).mapToObj(i -> new Backend("b" + i,
            i % 2 == 0 ? "a" : "b", 1, random.nextInt(4) > 0, 0)).toList());
      default:
        Activity what = Activity.values()[random.nextInt(4)];
        return new Heartbeats(at,
            List.of(new Heartbeat(door, random.nextInt(4) == 0 ? "y" : "x", what, ++beat,
            record.state().index() - random.nextInt(3), Set.of(1L + random.nextInt(20)), Report.NONE)));
    }
  }
}
