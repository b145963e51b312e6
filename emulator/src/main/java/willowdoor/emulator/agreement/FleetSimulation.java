package willowdoor.emulator.agreement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import willowdoor.agreement.Budget;
import willowdoor.agreement.Command;
import willowdoor.agreement.Command.Heartbeat;
import willowdoor.agreement.Command.Activity;
import willowdoor.agreement.DoorAction;
import willowdoor.agreement.DoorEvent;
import willowdoor.agreement.DoorParticipant;
import willowdoor.agreement.FleetStateMachine;
import willowdoor.agreement.DoorProcessState;
import willowdoor.agreement.OutageLimit;
import willowdoor.agreement.Outcome;
import willowdoor.agreement.Permit;
import willowdoor.agreement.Permit.Stage;
import willowdoor.agreement.State;
import willowdoor.agreement.Subject;
import willowdoor.agreement.Subject.Kind;
import willowdoor.agreement.FleetSettings;
import willowdoor.emulator.SimClock;
import willowdoor.rollout.Comparison;
import willowdoor.rollout.Plan;
import willowdoor.rollout.Release;
import willowdoor.rollout.Step;

/**
 * Simulates in simulated time a fleet that agrees on which doors and backends are taken out of service. The
 * fleet record and the door side are the production code. Leaders change and have unrelated clocks, links
 * lose, delay and repeat messages, processes are killed, stopped and replaced, and operators' commands die.
 * The log itself is assumed to be correct here; {@link StewardSimulation} tests it with the real library.
 *
 * <p>The invariants are checked from outside the processes, by the true simulated time and by what each
 * process actually does.
 *
 * <p>A schedule is either drawn from a seed ({@link #play}), or all schedules with few faults are enumerated
 * ({@link #explore}). An enumeration uses no randomness: each random value is its mean, every message may be
 * lost, delayed or delivered twice, and at a few fixed times the leader or an operator may die or a door may
 * be stopped.
 */
public final class FleetSimulation {

  /** Bugs that can be injected, to verify that the checks detect each of them. */
  public enum Bug {
    NONE, LEASE_FROM_RECEIPT, LEADER_TRUSTS_OLD_LEASES, FORGOTTEN_AT_DEATH, LET_GO_AT_ONCE,
    LEFT_FOR_OTHERS, NOTHING_REMEMBERED, SERVES_BEFORE_TOLD, SUCCESSOR_GOES_BY_FILES, ASKED_ANEW,
    RETURN_OF_ANY, ZOMBIE_BEATS, ALONE_TOO_SOON, LEAVES_TOO_SOON, CLOCK_BEYOND_DRIFT,
    SUCCESSOR_UNASKED, FAILURE_UNSAID, VERSION_UNSAID, BEGINNING_UNSAID, RESTARTED_BEFORE_OUT, START_UNTOLD,
    LIST_TOLD_ONCE, VOUCHES_UNKNOWN
  }

  private static final double LEASE_MS = 1_500;
  private static final double DRIFT = 0.02;
  private static final double MAX_DELAY_MS = 60;
  private static final double MEAN_REQUEST_INTERVAL_MS = 40;
  private static final int MIN_BUDGET = 2;
  private static final int DOORS_PER_BUDGET_UNIT = 8;
  private static final int BACKENDS = 6;
  private static final String OLD_VERSION = "1.0";
  private static final String NEW_VERSION = "2.0";
  /** A version whose processes never become ready when a release starts them. */
  private static final String NEVER_READY_VERSION = "2.0-mute";
  /** A version whose processes, started by a release, die 0.5 to 2 s after they begin to serve. */
  private static final String CRASHING_VERSION = "2.0-faint";
  private static final double READY_LIMIT_MS = 3_000;
  private static final double WARM_UP_MS = 1_200;
  private static final double DISCOVERY_POLL_MS = 250;
  private static final int MAX_CLEANUP_S = 90;

  private final SimClock clock = new SimClock();
  private final Random random;
  /** The enumerated choices, or null when faults are drawn at random. */
  private final Choices choices;
  private final Set<String> deadOperators = new HashSet<>();
  private boolean injectsChosenFaults;
  /** Hashes of the distinct states of the record; null where states are not counted. */
  private Set<Integer> stateHashes;
  private final Bug bug;
  private final int doors;
  private final int maxOut;
  private final FleetStateMachine record;
  private final List<SimulatedProcess> processes = new ArrayList<>();
  private final Map<String, Map<String, Map<String, Long>>> files = new HashMap<>();
  private final Map<String, SimulatedProcess> lockHolders = new HashMap<>();
  /** Incarnations of ended processes by door, until another process of the door has reported them. */
  private final Map<String, Set<String>> unreportedEnds = new HashMap<>();
  private final Map<String, Long> generations = new HashMap<>();
  private final Set<String> cutLinks = new HashSet<>();
  private final List<String> breaches = new ArrayList<>();
  /** Permits that operators know they hold and have not returned, with their subjects. */
  private final Map<Long, Subject> heldPermits = new LinkedHashMap<>();
  private final Map<String, Double> countsAsDeadFromMs = new HashMap<>();
  private final Map<String, Server> servers = new LinkedHashMap<>();
  private long listVersion = 1;
  /** Permits under which a backend has been restarted. */
  private final Set<Long> restartedPermitIds = new HashSet<>();
  private final Set<Long> grantedPermitIds = new HashSet<>();
  private Set<String> backendsOut = Set.of();
  private double leaderRate = 1;
  private double leaderClockOffsetMs;
  private boolean hasLeader;
  private int term;
  private boolean faultsEnded;
  private int incarnations;
  private int granted;
  private int backendsTakenOut;
  private int served;
  private int halts;
  /** The version with which the supervisor starts each door. */
  private final Map<String, String> installedVersions = new HashMap<>();

  private FleetSimulation(Random random, Choices choices, int doors, Bug bug) {
    this.random = random;
    this.choices = choices;
    this.doors = doors;
    this.bug = bug;
    maxOut = Math.max(MIN_BUDGET, doors / DOORS_PER_BUDGET_UNIT);
    Budget budget = new Budget(OutageLimit.of(maxOut), OutageLimit.UNLIMITED, 0);
    record = new FleetStateMachine(new FleetSettings(budget, budget, LEASE_MS));
    for (int i = 0; i < BACKENDS; i++) {
      servers.put("b" + i, new Server("b" + i));
    }
  }

  /** The true state of a backend, and its entry in discovery. */
  private static final class Server {
    private final String name;
    private String version = OLD_VERSION;
    private boolean listed = true;
    /** Down, or warming up after a start. */
    private boolean unavailable;
    private double startedMs;

    Server(String name) {
      this.name = name;
    }
  }

  /**
   * Result of one schedule.
   *
   * @param breaches violated invariants; empty if all held
   * @param granted number of permits granted
   * @param backendsTakenOut how often a backend was taken out of service
   * @param served number of processes started by a release that began to serve
   * @param halts 1 if the final cleanup had to roll back a release, otherwise 0
   */
  public record Result(List<String> breaches, int granted, int backendsTakenOut, int served, int halts) { }

  /** Plays one schedule of about 30 s with a random number of faults, drawn from the seed. */
  public static Result play(long seed, int doors, Bug bug) {
    return new FleetSimulation(new Random(seed), null, doors, bug).run();
  }

  /** The operators' actions in an exploration: requests for door and backend, or a release and its halt. */
  public enum Script { DRAINS, RELEASE, BACKENDS }

  /**
   * Result of all schedules of an exploration.
   *
   * @param schedules number of schedules played
   * @param states number of distinct states of the record over all schedules
   * @param breaches violated invariants of the first failing schedule; empty if all held
   */
  public record Explored(long schedules, long states, List<String> breaches) { }

  /** Plays every schedule with at most the given number of faults, until one violates an invariant. */
  public static Explored explore(Script script, int doors, int faults, Bug bug) {
    Choices choices = new Choices(faults);
    Set<Integer> states = new HashSet<>();
    long schedules = 0;
    do {
      FleetSimulation simulation = new FleetSimulation(new MeanRandom(), choices, doors, bug);
      simulation.stateHashes = states;
      simulation.runExploration(script);
      schedules++;
      if (!simulation.breaches.isEmpty()) {
        return new Explored(schedules, states.size(), List.of(choices + ": " + simulation.breaches));
      }
    } while (choices.next());
    return new Explored(schedules, states.size(), List.of());
  }

  /** A random source that always yields the middle of its range. */
  private static final class MeanRandom extends Random {
    private static final long serialVersionUID = 1;

    @Override
    protected int next(int bits) {
      return 1 << (bits - 1);
    }
  }

  private static final double EXPLORE_FROM_MS = 1_500;
  private static final double EXPLORE_UNTIL_MS = 3_500;
  private static final double EXPLORE_FAULT_INTERVAL_MS = 400;
  private static final double EXPLORE_DELAY_MS = 2_000;

  private void runExploration(Script script) {
    electLeader();
    for (int i = 0; i < doors; i++) {
      startProcess("d" + i, true);
    }
    clock.after(100, this::checkLeases);
    clock.runUntil(EXPLORE_FROM_MS);
    injectsChosenFaults = true;
    if (script == Script.DRAINS) {
      requestPermit("ana", "ana1", new Subject(Kind.DOOR, "d0"), clock.now() + 2_500, 0);
      requestPermit("rui", "rui1", new Subject(Kind.BACKEND, "b" + random.nextInt(BACKENDS)), clock.now()
          + 2_500,
          0);
    } else {
      askUntilAnswered("ana", new Command.StartRelease(0, "release", new Plan(script == Script.RELEASE
          ? Plan.Kind.DOORS
          : Plan.Kind.BACKENDS, OLD_VERSION, NEW_VERSION, List.of(1.0), 0, 200, 12_000, 500,
          Comparison.DEFAULT),
              "ana"), 0);
      clock.after(1_200, () -> askUntilAnswered("rui", new Command.SteerRelease(0, "halt", 1,
          Command.Steering.HALT,
          "rui"), 0));
    }
    for (double at = 0; at < EXPLORE_UNTIL_MS - EXPLORE_FROM_MS; at += EXPLORE_FAULT_INTERVAL_MS) {
      clock.after(at, this::chooseFault);
    }
    clock.runUntil(EXPLORE_UNTIL_MS);
    injectsChosenFaults = false;
    clock.runUntil(EXPLORE_UNTIL_MS + EXPLORE_DELAY_MS);
    deadOperators.clear();
    cleanUp(clock.now(), 0);
  }

  private void chooseFault() {
    int fault = choices.pick(doors + 4);
    if (fault == 1) {
      hasLeader = false;
      clock.after(600, this::electLeader);
    } else if (fault == 2 || fault == 3) {
      deadOperators.add(fault == 2 ? "ana" : "rui");
    } else if (fault > 3) {
      SimulatedProcess p = latest("d" + (fault - 4));
      p.setStopped(true);
      clock.after(EXPLORE_DELAY_MS, () -> p.setStopped(false));
    }
  }

  private Result run() {
    electLeader();
    for (int i = 0; i < doors; i++) {
      startProcess("d" + i, true);
    }
    clock.after(3_000, () -> {
      runOperator("ana", 0);
      runOperator("rui", 0);
    });
    clock.after(100, this::checkLeases);
    clock.after(3_500, this::startRelease);
    int faults = 2 + random.nextInt(8);
    for (int i = 0; i < faults; i++) {
      clock.after(3_000 + random.nextInt(15_000), this::injectFault);
    }
    clock.runUntil(22_000);
    cleanUp(26_000, 20);
    return new Result(List.copyOf(breaches), granted, backendsTakenOut, served, halts);
  }

  /** Ends all faults, returns all permits, and checks that the release ends and nothing stays out. */
  private void cleanUp(double from, int minCleanupS) {
    faultsEnded = true;
    cutLinks.clear();
    processes.forEach(p -> p.setStopped(false));
    clock.runUntil(from);
    for (int i = 0; i < minCleanupS || i < MAX_CLEANUP_S && (isReleaseUnderWay() || !allReturned()); i++) {
      returnAllPermits();
      rollBackRelease();
      clock.runUntil(clock.now() + 1_000);
    }
    State end = record.state();
    if (isReleaseUnderWay()) {
      addBreach("a release did not end: " + end.releases());
    }
    if (!allReturned()) {
      addBreach("not everything has been returned: " + end.permits() + ", doors out " + record.out(Kind.DOOR)
          + ", blocked by "
          + end.permits().stream().map(x -> record.blockingProcesses(x.subject())).toList());
    }
  }

  private boolean allReturned() {
    return record.state().permits().isEmpty() && record.out(Kind.DOOR) == 0 && record.out(Kind.BACKEND) == 0;
  }

  private Release latest() {
    List<Release> all = record.state().releases();
    return all.isEmpty() ? null : all.get(all.size() - 1);
  }

  private boolean isReleaseUnderWay() {
    return latest() != null && latest().mode() != Release.Mode.ENDED;
  }

  /** Starts a release and steers it three times with random commands. */
  private void startRelease() {
    String to = List.of(NEW_VERSION, NEW_VERSION, NEVER_READY_VERSION,
        CRASHING_VERSION).get(random.nextInt(4));
    Plan.Kind of = random.nextInt(3) > 0 ? Plan.Kind.DOORS : Plan.Kind.BACKENDS;
    askUntilAnswered("mia", new Command.StartRelease(0, "release", new Plan(of, OLD_VERSION,
        of == Plan.Kind.DOORS ? to : NEW_VERSION, List.of(0.01, 0.5, 1.0), 500, 800, 12_000, 500,
            Comparison.DEFAULT), "mia"), 0);
    for (int i = 0; i < 3; i++) {
      Command.Steering what = Command.Steering.values()[random.nextInt(4)];
      int number = i;
      clock.after(2_000 + random.nextInt(12_000), () -> askUntilAnswered("mia", new Command.SteerRelease(0,
          "steer"
          + number, 1, what, "mia"), 0));
    }
  }

  /** Repeats a command every 400 ms until it is answered, at most 20 times. */
  private void askUntilAnswered(String from, Command command, int tries) {
    if (deadOperators.contains(from)) {
      return;
    }
    boolean[] answered = {false};
    ask(from, command, outcome -> answered[0] = true);
    clock.after(400, () -> {
      if (!answered[0] && tries < 20) {
        askUntilAnswered(from, command, tries + 1);
      }
    });
  }

  private void rollBackRelease() {
    if (isReleaseUnderWay() && (latest().course() == Release.Course.FORWARD || latest().mode() !=
        Release.Mode.GOING)) {
      halts = 1;
      askUntilAnswered("mia", new Command.SteerRelease(0, "back" + clock.now(), latest().id(),
          Command.Steering.BACK,
          "mia"), 0);
    }
  }

  /** Checks that a process started by a release begins to serve only while its step is in progress. */
  private void onReleasedProcessServing(SimulatedProcess p) {
    served++;
    Release r = latest();
    if (r.steps().stream().noneMatch(x -> x.attempt() == p.attempt && x.state() != Step.State.RETURNING
        && x.state() != Step.State.WAITING)) {
      addBreach(p.door + " begins to serve with " + p.version + " by attempt " + p.attempt
          + ", which has ended: "
          + r);
    }
  }

  /** Restarts a backend after a delay once a release has taken it out; discovery lists it later. */
  private void restartIfOut(Permit permit) {
    boolean out = permit.stage() == Stage.OUT || bug == Bug.RESTARTED_BEFORE_OUT
        && permit.stage() == Stage.GRANTED;
    if (!out || permit.subject().kind() != Kind.BACKEND || !permit.request().startsWith("release-")
        || !restartedPermitIds.add(permit.id())) {
      return;
    }
    Server server = servers.get(permit.subject().name());
    clock.after(100 + random.nextInt(800), () -> {
      takeServerDown(server);
      clock.after(300 + random.nextInt(700), () -> bringServerUp(server, permit.reason()));
    });
  }

  private void takeServerDown(Server server) {
    server.unavailable = true;
    server.listed = false;
    listVersion++;
  }

  private void bringServerUp(Server server, String version) {
    server.listed = true;
    server.version = version;
    server.startedMs = bug == Bug.START_UNTOLD ? server.startedMs : clock.now();
    listVersion++;
    clock.after(WARM_UP_MS, () -> {
      server.unavailable = false;
      listVersion++;
    });
  }

  /** Crashes a backend for which no permit exists; it restarts with the same version. */
  private void crashServer(Server server) {
    if (!server.unavailable && record.state().permits().stream()
        .noneMatch(x -> x.subject().name().equals(server.name))) {
      takeServerDown(server);
      clock.after(300 + random.nextInt(1_500), () -> bringServerUp(server, server.version));
    }
  }

  private List<Command.Backend> listed() {
    return servers.values().stream().filter(x -> x.listed)
        .map(x -> new Command.Backend(x.name, "z", 1, !x.unavailable, x.startedMs)).toList();
  }

  /** Checks that an ended release has brought every door or backend to its target version. */
  private void onReleaseEnded(Release r) {
    if (r.plan().of() == Plan.Kind.BACKENDS) {
      servers.values().stream().filter(x -> x.listed && !x.version.equals(r.targetVersion()))
          .forEach(x -> addBreach(x.name + " has " + x.version + " although release " + r.id()
              + " ended with "
              + r.targetVersion()));
      return;
    }
    for (SimulatedProcess p : processes) {
      if (!p.dead && p.serving && !p.ending && !p.version.equals(r.targetVersion())) {
        addBreach(p.door + " has " + p.version + " although release " + r.id() + " ended with "
            + r.targetVersion());
      }
    }
  }

  private void addBreach(String what) {
    if (breaches.size() < 5) {
      breaches.add(Math.round(clock.now()) + " ms: " + what);
    }
  }

  private double leaderClock() {
    return leaderClockOffsetMs + leaderRate * clock.now();
  }

  private double randomClockRate(double maxDrift) {
    return 1 + maxDrift * (2 * random.nextDouble() - 1);
  }

  private void electLeader() {
    term++;
    hasLeader = true;
    leaderRate = randomClockRate(DRIFT);
    leaderClockOffsetMs = random.nextInt(1_000_000);
    apply(bug == Bug.LEADER_TRUSTS_OLD_LEASES && term > 1 ? new Command.Tick(leaderClock())
        : new Command.LeaderElected(leaderClock()));
    // A new leader grants a full lease to dead doors whose leases had not expired in the record.
    State state = record.state();
    countsAsDeadFromMs.replaceAll((door, from) -> state.lives().stream().anyMatch(x -> x.door().equals(door)
        && x.untilMs() > state.nowMs()) ? Math.max(from, clock.now() + LEASE_MS * (1 + 3 * DRIFT)) : from);
  }

  private void injectFault() {
    int doorIndex = random.nextInt(doors);
    double durationMs = 200 + random.nextInt(5_000);
    SimulatedProcess p = latest("d" + doorIndex);
    switch (random.nextInt(7)) {
      case 6 -> crashServer(servers.get("b" + random.nextInt(BACKENDS)));
      case 0 -> {
        hasLeader = false;
        clock.after(200 + random.nextInt(1_500), this::electLeader);
      }
      case 1 -> {
        if (!p.dead) {
          p.kill();
          clock.after(500 + random.nextInt(12_000), () -> startProcess(p.door, true));
        }
      }
      case 2 -> {
        p.setStopped(true);
        clock.after(durationMs, () -> p.setStopped(false));
      }
      case 3 -> {
        if (!p.dead && p.serving) {
          replace(p);
        }
      }
      default -> {
        cutLinks.add(p.door);
        clock.after(durationMs, () -> cutLinks.remove(p.door));
      }
    }
  }

  private SimulatedProcess latest(String door) {
    return processes.stream().filter(x -> x.door.equals(door)).reduce((a, b) -> b).orElseThrow();
  }

  private boolean hasLiveProcess(String door) {
    return processes.stream().anyMatch(x -> x.door.equals(door) && !x.dead);
  }

  private SimulatedProcess startProcess(String door, boolean onlyIfNoneLives) {
    return hasLiveProcess(door) && onlyIfNoneLives ? null : startProcess(door,
        installedVersions.getOrDefault(door, OLD_VERSION), 0);
  }

  private SimulatedProcess startProcess(String door, String version, long attempt) {
    processes.removeIf(x -> x.door.equals(door) && x.dead);
    SimulatedProcess p = new SimulatedProcess(door, "i" + ++incarnations, version, attempt);
    processes.add(p);
    countsAsDeadFromMs.remove(door);
    p.start();
    return p;
  }

  private void replace(SimulatedProcess old) {
    startProcess(old.door, false);
    clock.after(1_500 + random.nextInt(1_000), old::shutDown);
  }

  /** Sends a command over the named link. The command or its answer may be lost, and it may arrive twice. */
  private void ask(String from, Command command, Consumer<Outcome> then) {
    if (injectsChosenFaults) {
      askWithChosenFault(from, command, then);
      return;
    }
    double late = !faultsEnded && random.nextDouble() < 0.05 ? random.nextInt(5_000) : -1;
    deliver(from, command, then, random.nextDouble() * MAX_DELAY_MS);
    if (late >= 0) {
      deliver(from, command, x -> { }, late);
    }
  }

  /**
   * Sends a command with the chosen fault: 0 none, 1 the command is lost, 2 its answer is lost, 3 it is late,
   * 4 it is delivered twice.
   */
  private void askWithChosenFault(String from, Command command, Consumer<Outcome> then) {
    int fault = choices.pick(5);
    if (fault == 0 || fault == 4) {
      deliver(from, command, then, MAX_DELAY_MS / 2);
    }
    if (fault == 2) {
      deliver(from, command, x -> { }, MAX_DELAY_MS / 2);
    }
    if (fault == 3) {
      deliver(from, command, then, EXPLORE_DELAY_MS);
    } else if (fault == 4) {
      deliver(from, command, x -> { }, EXPLORE_DELAY_MS);
    }
  }

  private void deliver(String from, Command command, Consumer<Outcome> then, double delay) {
    if (isLost(from)) {
      return;
    }
    clock.after(delay, () -> {
      int asked = term;
      if (hasLeader) {
        clock.after(random.nextDouble() * 10, () -> {
          if (hasLeader && term == asked) {
            Outcome outcome = apply(withAnyPermit(command.withLeaderTime(leaderClock())));
            if (!isLost(from)) {
              clock.after(random.nextDouble() * MAX_DELAY_MS, () -> then.accept(outcome));
            }
          }
        });
      }
    });
  }

  private Command withAnyPermit(Command command) {
    if (bug == Bug.RETURN_OF_ANY && command instanceof Command.ReturnPermit e) {
      return record.state().permits().stream().filter(x -> x.subject().equals(e.subject())).findFirst()
          .<Command>map(x -> new Command.ReturnPermit(e.atMs(), e.subject(), x.id(), e.by())).orElse(command);
    }
    return command;
  }

  private boolean isLost(String from) {
    return cutLinks.contains(from) || choices == null && !faultsEnded && random.nextDouble() < 0.03;
  }

  private Outcome apply(Command command) {
    boolean before = isReleaseUnderWay();
    Outcome outcome = record.apply(command);
    if (before && !isReleaseUnderWay()) {
      onReleaseEnded(latest());
    }
    State state = record.state();
    if (stateHashes != null) {
      stateHashes.add(List.of(state.lives(), state.permits(), state.releases()).hashCode());
    }
    Set<String> now = new HashSet<>();
    for (Permit x : state.permits()) {
      if (x.stage() == Stage.OUT && x.subject().kind() == Kind.BACKEND) {
        now.add(x.subject().name());
      }
      if (x.stage() != Stage.WAITING && grantedPermitIds.add(x.id())) {
        granted++;
        checkBudget(state, x);
      }
      restartIfOut(x);
    }
    backendsTakenOut += now.stream().filter(x -> !backendsOut.contains(x)).count();
    backendsOut = now;
    heldPermits.forEach((id, subject) -> {
      if (state.permits().stream().noneMatch(x -> x.id() == id && x.subject().equals(subject)
          && x.stage() != Stage.WAITING)) {
        addBreach("permit " + id + " of " + subject + " has ended although nobody returned it: " + command);
      }
    });
    return outcome;
  }

  private void checkBudget(State state, Permit given) {
    Set<String> all = new HashSet<>();
    state.permits().stream().filter(x -> x.stage() != Stage.WAITING
        && x.subject().kind() == given.subject().kind()).forEach(x -> all.add(x.subject().name()));
    if (given.subject().kind() == Kind.DOOR) {
      countsAsDeadFromMs.forEach((door, from) -> {
        if (clock.now() > from) {
          all.add(door);
        }
      });
    }
    if (given.subject().kind() == Kind.BACKEND) {
      servers.values().stream().filter(x -> x.unavailable && isRestarted(x.name)).forEach(x ->
          all.add(x.name));
    }
    if (all.size() > maxOut) {
      addBreach(given.subject() + " was permitted while these are out: " + all);
    }
  }

  private boolean isRestarted(String backend) {
    return record.state().permits().stream().anyMatch(x -> x.subject().name().equals(backend)
        && restartedPermitIds.contains(x.id()));
  }

  /** Checks that no door relies on a lease that has expired for the stewards. */
  private void checkLeases() {
    State state = record.state();
    double now = state.nowMs() + Math.max(0, hasLeader ? leaderClock() - state.leaderMs() : 0);
    for (SimulatedProcess p : processes) {
      if (!p.dead && p.side.hasLease(p.clock())) {
        DoorProcessState life = state.lives().stream().filter(x -> x.door().equals(p.door)
            && x.incarnation().equals(p.incarnation)).findFirst().orElse(null);
        if (life != null && now >= life.untilMs()) {
          addBreach(p.door + " relies on its lease, which expired for " + (now - life.untilMs()) + " ms");
        }
      }
    }
    if (bug == Bug.FORGOTTEN_AT_DEATH) {
      state.lives().stream().filter(x -> now >= x.untilMs()).findFirst().ifPresent(x -> ask("bug",
          new Command.Forget(0, "forget" + clock.now(), x.door(), "bug"), y -> { }));
    }
    clock.after(50, this::checkLeases);
  }

  private void runOperator(String name, int number) {
    if (faultsEnded) {
      return;
    }
    Subject subject = random.nextBoolean() ? new Subject(Kind.DOOR, "d" + random.nextInt(doors))
        : new Subject(Kind.BACKEND, "b" + random.nextInt(BACKENDS));
    requestPermit(name, name + number, subject, clock.now() + 2_500, 0);
    clock.after(1_500 + random.nextInt(3_000), () -> runOperator(name, number + 1));
  }

  /** Requests a permit with retries; gives up waiting after a time, and never returns about 10% of grants. */
  private void requestPermit(String name, String request, Subject subject, double until, int tries) {
    if (deadOperators.contains(name)) {
      return;
    }
    boolean[] answered = {false};
    String said = bug == Bug.ASKED_ANEW ? request + "-" + tries : request;
    ask(name, new Command.RequestPermit(0, said, subject, name, "test", false), outcome -> {
          if (answered[0]) {
            return;
          }
          answered[0] = true;
          if (outcome instanceof Outcome.Granted e) {
            if (grantedPermitIds.contains(e.permit()) && isActive(e.permit())) {
              heldPermits.put(e.permit(), subject);
              if (random.nextDouble() > 0.1) {
                clock.after(500 + random.nextInt(2_000), () -> returnPermit(name, subject, e.permit(), 0));
              }
            }
          } else if (outcome instanceof Outcome.Waiting e) {
            if (clock.now() > until) {
              returnPermit(name, subject, e.permit(), 0);
            } else {
              clock.after(200, () -> requestPermit(name, request, subject, until, tries));
            }
          }
        });
    clock.after(400, () -> {
      if (!answered[0] && tries < 10) {
        answered[0] = true;
        requestPermit(name, request, subject, until, tries + 1);
      }
    });
  }

  /** Whether a permit is still in force; a late answer may name one that was already returned. */
  private boolean isActive(long permit) {
    return record.state().permits().stream().anyMatch(x -> x.id() == permit && x.stage() != Stage.WAITING
        && x.stage() != Stage.RETURNING);
  }

  private void returnPermit(String name, Subject subject, long permit, int tries) {
    if (deadOperators.contains(name)) {
      return;
    }
    heldPermits.remove(permit);
    boolean[] answered = {false};
    ask(name, new Command.ReturnPermit(0, subject, permit, name), outcome -> answered[0] = true);
    clock.after(400, () -> {
      if (!answered[0] && tries < 10) {
        returnPermit(name, subject, permit, tries + 1);
      }
    });
  }

  private void returnAllPermits() {
    heldPermits.clear();
    if (bug != Bug.ASKED_ANEW) {
      record.state().permits().stream().filter(x -> x.stage() != Stage.RETURNING
          && !x.request().startsWith("release-"))
          .forEach(x -> ask("tidy", new Command.ReturnPermit(0, x.subject(), x.id(), "tidy"), y -> { }));
    }
  }

  /** One process of a door. */
  private final class SimulatedProcess {
    private final String door;
    private final String incarnation;
    private final double rate;
    private final double clockOffsetMs = random.nextInt(1_000_000);
    private final DoorParticipant side;
    private final Set<String> backendsTakenOut = new HashSet<>();
    private final Map<String, Integer> pending = new HashMap<>();
    private final List<Runnable> deferredTasks = new ArrayList<>();
    private final boolean mayServeAtStart;
    private final String version;
    private final long attempt;
    private boolean ending;
    private boolean replacing;
    private boolean stopped;
    private boolean dead;
    private boolean serving;
    private boolean ready;
    private boolean drainRequested;
    private long generation;
    private boolean joined;
    private long seenListVersion;
    private List<Command.Backend> seenBackends = List.of();
    private boolean allowedToServe;
    private double wakeAtMs;

    SimulatedProcess(String door, String incarnation, String version, long attempt) {
      this.version = version;
      this.attempt = attempt;
      this.door = door;
      this.incarnation = incarnation;
      rate = bug == Bug.CLOCK_BEYOND_DRIFT ? 0.7 : randomClockRate(DRIFT);
      Map<String, Long> remembered = new HashMap<>();
      boolean hasLock = tryLock();
      if (hasLock && bug != Bug.NOTHING_REMEMBERED) {
        files.getOrDefault(door, Map.of()).values().forEach(remembered::putAll);
      }
      mayServeAtStart = (hasLock || bug == Bug.SUCCESSOR_GOES_BY_FILES) && files.containsKey(door)
          || bug == Bug.SERVES_BEFORE_TOLD || bug == Bug.SUCCESSOR_UNASKED && attempt > 0;
      side = new DoorParticipant(door, incarnation, DRIFT, remembered, version,
          hasLock && !remembered.isEmpty() ? 0 : attempt);
      backendsTakenOut.addAll(remembered.keySet());
      remembered.keySet().forEach(x -> clock.after(0, () -> runWhenResumed(() -> checkBackendIdle(x))));
    }

    double clock() {
      return clockOffsetMs + rate * clock.now();
    }

    /** Runs a task in this process: at once, after a stop ends, or not at all if the process is dead. */
    void runWhenResumed(Runnable what) {
      if (stopped) {
        deferredTasks.add(what);
      } else if (!dead) {
        what.run();
      }
    }

    private void dispatch(DoorEvent event) {
      side.handle(clock(), event).forEach(this::execute);
    }

    void start() {
      dispatch(new DoorEvent.TimerFired());
      pollDiscovery();
      awaitLock();
      reportEndedProcesses();
      if (attempt > 0 && version.equals(NEVER_READY_VERSION)) {
        return;
      }
      clock.after(300 + random.nextInt(600), () -> runWhenResumed(() -> {
        ready = true;
        serveIfAllowed();
      }));
    }

    private void serveIfAllowed() {
      if (ready && !serving && (mayServeAtStart || allowedToServe)) {
        serving = true;
        installedVersions.put(door, version);
        if (attempt > 0) {
          onReleasedProcessServing(this);
          processes.stream().filter(x -> x.door.equals(door) && x != this
              && !x.dead).forEach(SimulatedProcess::shutDown);
        }
        if (attempt > 0 && version.equals(CRASHING_VERSION)) {
          clock.after(500 + random.nextInt(1_500), () -> {
            installedVersions.put(door, OLD_VERSION);
            kill();
            clock.after(700, () -> startProcess(door, true));
          });
        }
        dispatch(new DoorEvent.ActivityChanged(doing()));
        traffic();
      }
    }

    private Activity doing() {
      return !serving ? Activity.STARTING : drainRequested ? Activity.EMPTY : Activity.READY;
    }

    /** Takes the door's lock, which one process holds until its death; returns false if another holds it. */
    private boolean tryLock() {
      SimulatedProcess holder = lockHolders.get(door);
      if (holder != null && !holder.dead && bug != Bug.ALONE_TOO_SOON) {
        return false;
      }
      lockHolders.put(door, this);
      generation = generations.merge(door, 1L, Long::sum);
      return true;
    }

    private void awaitLock() {
      if (generation == 0 && tryLock()) {
        onLockAcquired();
      } else if (generation == 0) {
        clock.after(50, () -> runWhenResumed(this::awaitLock));
      }
    }

    /** Reports ended processes of the door, which it detects by their locks, until the report is answered. */
    private void reportEndedProcesses() {
      if (generation > 0 && (joined || bug == Bug.VOUCHES_UNKNOWN)) {
        for (String ended : List.copyOf(unreportedEnds.getOrDefault(door, Set.of()))) {
          ask(door, new Command.Leave(0, door, ended), x -> unreportedEnds.get(door).remove(ended));
        }
      }
      clock.after(500, () -> runWhenResumed(this::reportEndedProcesses));
    }

    private void onLockAcquired() {
      files.computeIfPresent(door, (name, all) -> all.containsKey(incarnation)
          ? new HashMap<>(Map.of(incarnation, all.get(incarnation))) : all);
      join();
    }

    /** Repeats the join until it is answered or the generation changes. */
    private void join() {
      long said = generation;
      boolean[] answered = {injectsChosenFaults};
      ask(door, new Command.Join(0, door, incarnation, "z", 1, said,
          bug == Bug.VERSION_UNSAID ? OLD_VERSION : version), x -> {
            answered[0] = true;
            joined |= x instanceof Outcome.Done;
          });
      clock.after(400, () -> runWhenResumed(() -> {
        if (!answered[0] && said == generation) {
          join();
        }
      }));
    }

    /** Polls discovery and reports each changed list once. */
    private void pollDiscovery() {
      if (seenListVersion < listVersion) {
        seenListVersion = listVersion;
        seenBackends = listed();
        dispatch(new DoorEvent.BackendListChanged(Command.BackendListId.of(seenListVersion, seenBackends)));
        reportBackendList();
      }
      clock.after(DISCOVERY_POLL_MS, () -> runWhenResumed(this::pollDiscovery));
    }

    private void reportBackendList() {
      ask(door, new Command.UpdateBackends(0, seenListVersion, seenBackends), x -> { });
    }

    void kill() {
      dead = true;
      markLockReleased();
      deferredTasks.clear();
      if (!hasLiveProcess(door)) {
        countsAsDeadFromMs.put(door, clock.now() + LEASE_MS * (1 + 3 * DRIFT) + 3 * MAX_DELAY_MS + 5_000);
      }
      if (bug == Bug.ZOMBIE_BEATS) {
        sendZombieBeats(1_000_000);
      }
    }

    private void sendZombieBeats(long number) {
      if (!faultsEnded) {
        ask(door, new Command.Heartbeats(0, List.of(new Heartbeat(door, incarnation, Activity.READY, number,
            record.state().index(), Set.of(), Command.Report.NONE))), x -> { });
        clock.after(300, () -> sendZombieBeats(number + 1));
      }
    }

    void setStopped(boolean stop) {
      stopped = stop && !dead;
      if (!stop) {
        List<Runnable> all = List.copyOf(deferredTasks);
        deferredTasks.clear();
        all.forEach(this::runWhenResumed);
      }
    }

    /** Shuts down gracefully in favour of another process of the door. */
    void shutDown() {
      runWhenResumed(() -> {
        if (bug == Bug.LEAVES_TOO_SOON) {
          ask(door, new Command.Leave(0, door, incarnation), x -> { });
          clock.after(2_000, () -> runWhenResumed(this::onEnded));
        } else {
          serving = false;
          ending = true;
          dispatch(new DoorEvent.ActivityChanged(Activity.DRAINING));
          endWhenEmpty();
        }
      });
    }

    private void endWhenEmpty() {
      if (pending.isEmpty()) {
        ask(door, new Command.Leave(0, door, incarnation), x -> { });
        onEnded();
      } else {
        clock.after(20, () -> runWhenResumed(this::endWhenEmpty));
      }
    }

    /** Marks the lock as released after 500 ms, when writes of the ended process are visible to others. */
    private void markLockReleased() {
      clock.after(500, () -> unreportedEnds.computeIfAbsent(door, x -> new HashSet<>()).add(incarnation));
    }

    private void onEnded() {
      dead = true;
      markLockReleased();
      if (!hasLiveProcess(door)) {
        clock.after(500, () -> startProcess(door, true));
      }
    }

    private void traffic() {
      if (!serving) {
        return;
      }
      String backend = "b" + random.nextInt(BACKENDS);
      if (!backendsTakenOut.contains(backend)) {
        pending.merge(backend, 1, Integer::sum);
        Runnable arrives = () -> {
          if (backendsOut.contains(backend)) {
            addBreach(door + "/" + incarnation + " sends to " + backend + ", which is out");
          }
          clock.after(random.nextInt(60), () -> runWhenResumed(() -> {
            if (pending.merge(backend, -1, Integer::sum) == 0) {
              pending.remove(backend);
            }
          }));
        };
        // Either already written, or sent later if the process still runs once its connection is open.
        double delay = random.nextDouble() * 60;
        clock.after(delay, random.nextBoolean() ? arrives : () -> runWhenResumed(arrives));
      }
      clock.after(random.nextDouble() * 2 * MEAN_REQUEST_INTERVAL_MS, () -> runWhenResumed(this::traffic));
    }

    private void checkBackendIdle(String backend) {
      if (!backendsTakenOut.contains(backend)) {
        return;
      }
      if (!pending.containsKey(backend) || bug == Bug.LET_GO_AT_ONCE) {
        dispatch(new DoorEvent.BackendVacated(backend));
      } else {
        clock.after(20, () -> runWhenResumed(() -> checkBackendIdle(backend)));
      }
    }

    private void execute(DoorAction action) {
      if (action instanceof DoorAction.SendHeartbeat e) {
        beat(e.heartbeat());
      } else if (action instanceof DoorAction.SendJoin) {
        join();
      } else if (action instanceof DoorAction.SendBackendList && bug != Bug.LIST_TOLD_ONCE) {
        reportBackendList();
      } else if (action instanceof DoorAction.WakeAt e) {
        wakeAtMs = e.atMs();
        clock.after((e.atMs() - clock()) / rate + 0.01, () -> runWhenResumed(() -> {
          if (wakeAtMs == e.atMs()) {
            dispatch(new DoorEvent.TimerFired());
          }
        }));
      } else if (action instanceof DoorAction.StartSuccessor e) {
        replace(e);
      } else if (action instanceof DoorAction.PersistOutBackends e) {
        files.computeIfAbsent(door, x -> new HashMap<>()).put(incarnation, e.out());
      } else if (action instanceof DoorAction.TakeOut e) {
        backendsTakenOut.add(e.backend());
        checkBackendIdle(e.backend());
      } else if (action instanceof DoorAction.PutBack e) {
        backendsTakenOut.remove(e.backend());
      } else if (action instanceof DoorAction.AllowServing) {
        allowedToServe = true;
        serveIfAllowed();
      } else if (action instanceof DoorAction.Drain || action instanceof DoorAction.Undrain) {
        drainRequested = action instanceof DoorAction.Drain;
        clock.after(100 + random.nextInt(300), () -> runWhenResumed(() ->
            dispatch(new DoorEvent.ActivityChanged(doing()))));
      }
    }

    /** Starts a successor and kills it if it is not ready in time; this process then reports the failure. */
    private void replace(DoorAction.StartSuccessor e) {
      if (ending || dead) {
        return;
      }
      SimulatedProcess next = startProcess(door, e.version(), e.attempt());
      clock.after(READY_LIMIT_MS, () -> {
        if (!next.serving && !next.dead) {
          // Killed by its starter, or ends itself if that is gone; then the supervisor starts the door.
          next.kill();
          clock.after(700, () -> startProcess(door, true));
        }
      });
      awaitSuccessor(next, e.attempt());
    }

    private void awaitSuccessor(SimulatedProcess next, long of) {
      if (next.dead && !ending) {
        if (bug != Bug.FAILURE_UNSAID) {
          dispatch(new DoorEvent.SuccessorFailed(of));
        }
      } else if (!ending) {
        clock.after(50, () -> runWhenResumed(() -> awaitSuccessor(next, of)));
      }
    }

    private Command.Report reported(Command.Report report) {
      return bug == Bug.BEGINNING_UNSAID ? new Command.Report(0, report.failed(), report.tally()) : report;
    }

    private void beat(Heartbeat beat) {
      double sentAt = clock();
      Set<Long> left = new HashSet<>(beat.left());
      if (bug == Bug.LEFT_FOR_OTHERS) {
        record.state().permits().forEach(x -> left.add(x.id()));
      }
      Heartbeat said =
          new Heartbeat(beat.door(), beat.incarnation(), beat.doing(), beat.number(), beat.seen(), left,
          reported(beat.report()), beat.listed());
      Command.Heartbeats command = new Command.Heartbeats(0, List.of(said));
      ask(door, command, outcome -> {
        if (outcome instanceof Outcome.HeartbeatsRecorded e) {
          var view = record.view(door, incarnation, e.leaseMs()
              + (bug == Bug.LEASE_FROM_RECEIPT ? clock() - sentAt + MAX_DELAY_MS : 0));
          runWhenResumed(() -> dispatch(new DoorEvent.HeartbeatAnswered(beat.number(), view)));
        }
      });
    }
  }
}
