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
 * A fleet that agrees on what goes out, in simulated time: the real record and the real doors' sides, with
 * leaders that change and whose clocks have nothing to do with each other, links that lose, delay and repeat,
 * processes that are killed, stopped and replaced, and operators who die. The log itself is taken for whole
 * here; that it is, {@link StewardWorld} shows with the real library.
 *
 * <p>What must hold is looked at from above, by true time and by what each process truly does.
 *
 * <p>A schedule is drawn by a seed ({@link #play}), or all schedules with few faults are gone through
 * ({@link #explore}): then nothing else is left to chance, each delay is its mean, and every message may be
 * lost, late or heard twice, and at each of a few moments the leader or an operator may die or a door be
 * stopped.
 */
public final class FleetWorld {

  /** Mistakes that may be planted, to see that each is found. */
  public enum Bug {
    NONE, LEASE_FROM_RECEIPT, LEADER_TRUSTS_OLD_LEASES, FORGOTTEN_AT_DEATH, LET_GO_AT_ONCE,
    LEFT_FOR_OTHERS, NOTHING_REMEMBERED, SERVES_BEFORE_TOLD, SUCCESSOR_GOES_BY_FILES, ASKED_ANEW,
    RETURN_OF_ANY, ZOMBIE_BEATS, ALONE_TOO_SOON, LEAVES_TOO_SOON, CLOCK_BEYOND_DRIFT,
    SUCCESSOR_UNASKED, FAILURE_UNSAID, VERSION_UNSAID, BEGINNING_UNSAID, RESTARTED_BEFORE_OUT, START_UNTOLD,
    LIST_TOLD_ONCE, VOUCHES_UNKNOWN
  }

  private static final double LEASE_MS = 1_500;
  private static final double DRIFT = 0.02;
  private static final double MOST_DELAY_MS = 60;
  private static final double TRAFFIC_MS = 40;
  private static final int OUT_AT_ONCE = 2;
  private static final int DOORS_FOR_ONE_MORE = 8;
  private static final int BACKENDS = 6;
  private static final String OLD = "1.0";
  private static final String NEW = "2.0";
  /** Of it no process is ever ready. */
  private static final String MUTE = "2.0-mute";
  /** Each process of it dies once it has served for a while. */
  private static final String FAINT = "2.0-faint";
  private static final double READY_LIMIT_MS = 3_000;
  private static final double COLD_MS = 1_200;
  private static final double LIST_MS = 250;
  private static final int MOST_TIDYING_S = 90;

  private final SimClock clock = new SimClock();
  private final Random random;
  /** Null where chance decides. */
  private final Choices choices;
  private final Set<String> goneOperators = new HashSet<>();
  private boolean choosing;
  /** Those of the record that were seen; null where they aren't counted. */
  private Set<Integer> states;
  private final Bug bug;
  private final int doors;
  private final int atOnce;
  private final FleetStateMachine record;
  private final List<Process> processes = new ArrayList<>();
  private final Map<String, Map<String, Map<String, Long>>> files = new HashMap<>();
  private final Map<String, Process> holders = new HashMap<>();
  /** Processes that have ended, by their doors, until somebody has told of them. */
  private final Map<String, Set<String>> ends = new HashMap<>();
  private final Map<String, Long> generations = new HashMap<>();
  private final Set<String> cut = new HashSet<>();
  private final List<String> breaches = new ArrayList<>();
  /** Permits that operators were told and have not asked back, with their subjects. */
  private final Map<Long, Subject> held = new LinkedHashMap<>();
  private final Map<String, Double> countsAsDead = new HashMap<>();
  private final Map<String, Server> servers = new LinkedHashMap<>();
  private long listVersion = 1;
  /** Permits under which a backend was restarted. */
  private final Set<Long> restarted = new HashSet<>();
  private final Set<Long> seenGranted = new HashSet<>();
  private Set<String> out = Set.of();
  private double leaderRate = 1;
  private double leaderAhead;
  private boolean led;
  private int term;
  private boolean quiet;
  private int incarnations;
  private int granted;
  private int told;
  private int served;
  private int halts;
  /** What a supervisor starts a door by. */
  private final Map<String, String> installed = new HashMap<>();

  private FleetWorld(Random random, Choices choices, int doors, Bug bug) {
    this.random = random;
    this.choices = choices;
    this.doors = doors;
    this.bug = bug;
    atOnce = Math.max(OUT_AT_ONCE, doors / DOORS_FOR_ONE_MORE);
    Budget budget = new Budget(OutageLimit.of(atOnce), OutageLimit.UNLIMITED, 0);
    record = new FleetStateMachine(new FleetSettings(budget, budget, LEASE_MS));
    for (int i = 0; i < BACKENDS; i++) {
      servers.put("b" + i, new Server("b" + i));
    }
  }

  /** A backend as it truly is, and as discovery lists it. */
  private static final class Server {
    private final String name;
    private String version = OLD;
    private boolean listed = true;
    /** Away, or cold. */
    private boolean out;
    private double startedMs;

    Server(String name) {
      this.name = name;
    }
  }

  /**
   * What came of one schedule.
   *
   * @param breaches none if all held
   * @param granted permits that were given
   * @param told how often a backend was out
   * @param served how often a process that a release started began to serve
   * @param halts whether a release was halted in the end, or went back, 0 or 1
   */
  public record Result(List<String> breaches, int granted, int told, int served, int halts) { }

  /** Plays one schedule of some 30 s, with so many faults as chance has it. */
  public static Result play(long seed, int doors, Bug bug) {
    return new FleetWorld(new Random(seed), null, doors, bug).run();
  }

  /** What an exploration has two operators do: take out what two want, or release and halt. */
  public enum Script { DRAINS, RELEASE, BACKENDS }

  /**
   * What came of all schedules.
   *
   * @param schedules how many were played
   * @param states how many different states the record had in them, in all
   * @param breaches the first that was found, or none
   */
  public record Explored(long schedules, long states, List<String> breaches) { }

  /** Plays each schedule with so many faults at most, until one breaks what must hold. */
  public static Explored explore(Script script, int doors, int faults, Bug bug) {
    Choices choices = new Choices(faults);
    Set<Integer> states = new HashSet<>();
    long schedules = 0;
    do {
      FleetWorld world = new FleetWorld(new Means(), choices, doors, bug);
      world.states = states;
      world.small(script);
      schedules++;
      if (!world.breaches.isEmpty()) {
        return new Explored(schedules, states.size(), List.of(choices + ": " + world.breaches));
      }
    } while (choices.next());
    return new Explored(schedules, states.size(), List.of());
  }

  /** Chance that always has the mean. */
  private static final class Means extends Random {
    private static final long serialVersionUID = 1;

    @Override
    protected int next(int bits) {
      return 1 << (bits - 1);
    }
  }

  private static final double SMALL_FROM_MS = 1_500;
  private static final double SMALL_UNTIL_MS = 3_500;
  private static final double SMALL_MOMENT_MS = 400;
  private static final double SMALL_AWAY_MS = 2_000;

  private void small(Script script) {
    lead();
    for (int i = 0; i < doors; i++) {
      begin("d" + i, true);
    }
    clock.after(100, this::look);
    clock.runUntil(SMALL_FROM_MS);
    choosing = true;
    if (script == Script.DRAINS) {
      attempt("ana", "ana1", new Subject(Kind.DOOR, "d0"), clock.now() + 2_500, 0);
      attempt("rui", "rui1", new Subject(Kind.BACKEND, "b" + random.nextInt(BACKENDS)), clock.now() + 2_500,
          0);
    } else {
      persist("ana",
          new Command.StartRelease(0, "release", new Plan(script == Script.RELEASE ? Plan.Kind.DOORS
          : Plan.Kind.BACKENDS, OLD, NEW, List.of(1.0), 0, 200, 12_000, 500, Comparison.DEFAULT), "ana"), 0);
      clock.after(1_200, () -> persist("rui", new Command.SteerRelease(0, "halt", 1, Command.Steering.HALT,
          "rui"), 0));
    }
    for (double at = 0; at < SMALL_UNTIL_MS - SMALL_FROM_MS; at += SMALL_MOMENT_MS) {
      clock.after(at, this::moment);
    }
    clock.runUntil(SMALL_UNTIL_MS);
    choosing = false;
    clock.runUntil(SMALL_UNTIL_MS + SMALL_AWAY_MS);
    goneOperators.clear();
    tidy(clock.now(), 0);
  }

  private void moment() {
    int what = choices.pick(doors + 4);
    if (what == 1) {
      led = false;
      clock.after(600, this::lead);
    } else if (what == 2 || what == 3) {
      goneOperators.add(what == 2 ? "ana" : "rui");
    } else if (what > 3) {
      Process p = last("d" + (what - 4));
      p.stop(true);
      clock.after(SMALL_AWAY_MS, () -> p.stop(false));
    }
  }

  private Result run() {
    lead();
    for (int i = 0; i < doors; i++) {
      begin("d" + i, true);
    }
    clock.after(3_000, () -> {
      operate("ana", 0);
      operate("rui", 0);
    });
    clock.after(100, this::look);
    clock.after(3_500, this::release);
    int faults = 2 + random.nextInt(8);
    for (int i = 0; i < faults; i++) {
      clock.after(3_000 + random.nextInt(15_000), this::fault);
    }
    clock.runUntil(22_000);
    tidy(26_000, 20);
    return new Result(List.copyOf(breaches), granted, told, served, halts);
  }

  /** All is whole from here on, and everything comes back. */
  private void tidy(double from, int leastS) {
    quiet = true;
    cut.clear();
    processes.forEach(p -> p.stop(false));
    clock.runUntil(from);
    for (int i = 0; i < leastS || i < MOST_TIDYING_S && (underWay() || !allBack()); i++) {
      giveAllBack();
      wayBack();
      clock.runUntil(clock.now() + 1_000);
    }
    State end = record.state();
    if (underWay()) {
      breach("a release has not ended: " + end.releases());
    }
    if (!allBack()) {
      breach("not all is back: " + end.permits() + ", doors out " + record.out(Kind.DOOR) + ", held up by "
          + end.permits().stream().map(x -> record.blockingProcesses(x.subject())).toList());
    }
  }

  private boolean allBack() {
    return record.state().permits().isEmpty() && record.out(Kind.DOOR) == 0 && record.out(Kind.BACKEND) == 0;
  }

  private Release last() {
    List<Release> all = record.state().releases();
    return all.isEmpty() ? null : all.get(all.size() - 1);
  }

  private boolean underWay() {
    return last() != null && last().mode() != Release.Mode.ENDED;
  }

  /** Somebody begins one, and others do with it what comes to their minds. */
  private void release() {
    String to = List.of(NEW, NEW, MUTE, FAINT).get(random.nextInt(4));
    Plan.Kind of = random.nextInt(3) > 0 ? Plan.Kind.DOORS : Plan.Kind.BACKENDS;
    persist("mia", new Command.StartRelease(0, "release", new Plan(of, OLD, of == Plan.Kind.DOORS ? to : NEW,
        List.of(0.01, 0.5, 1.0), 500, 800, 12_000, 500, Comparison.DEFAULT), "mia"), 0);
    for (int i = 0; i < 3; i++) {
      Command.Steering what = Command.Steering.values()[random.nextInt(4)];
      int number = i;
      clock.after(2_000 + random.nextInt(12_000), () -> persist("mia", new Command.SteerRelease(0, "steer"
          + number, 1, what, "mia"), 0));
    }
  }

  /** Asked until it is answered. */
  private void persist(String from, Command command, int tries) {
    if (goneOperators.contains(from)) {
      return;
    }
    boolean[] answered = {false};
    ask(from, command, outcome -> answered[0] = true);
    clock.after(400, () -> {
      if (!answered[0] && tries < 20) {
        persist(from, command, tries + 1);
      }
    });
  }

  private void wayBack() {
    if (underWay() && (last().course() == Release.Course.FORWARD || last().mode() != Release.Mode.GOING)) {
      halts = 1;
      persist("mia", new Command.SteerRelease(0, "back" + clock.now(), last().id(), Command.Steering.BACK,
          "mia"), 0);
    }
  }

  /** A process that a release started begins to serve: only while its step is under way. */
  private void begins(Process p) {
    served++;
    Release r = last();
    if (r.steps().stream().noneMatch(x -> x.attempt() == p.attempt && x.state() != Step.State.RETURNING
        && x.state() != Step.State.WAITING)) {
      breach(p.door + " begins to serve with " + p.version + " by attempt " + p.attempt + ", which is over: "
          + r);
    }
  }

  /** Whoever restarts backends does so once a release has one out; discovery tells late what it sees. */
  private void restart(Permit permit) {
    boolean out = permit.stage() == Stage.OUT || bug == Bug.RESTARTED_BEFORE_OUT
        && permit.stage() == Stage.GRANTED;
    if (!out || permit.subject().kind() != Kind.BACKEND || !permit.request().startsWith("release-")
        || !restarted.add(permit.id())) {
      return;
    }
    Server server = servers.get(permit.subject().name());
    clock.after(100 + random.nextInt(800), () -> {
      goes(server);
      clock.after(300 + random.nextInt(700), () -> comes(server, permit.reason()));
    });
  }

  private void goes(Server server) {
    server.out = true;
    server.listed = false;
    listVersion++;
  }

  private void comes(Server server, String version) {
    server.listed = true;
    server.version = version;
    server.startedMs = bug == Bug.START_UNTOLD ? server.startedMs : clock.now();
    listVersion++;
    clock.after(COLD_MS, () -> {
      server.out = false;
      listVersion++;
    });
  }

  /** A backend that nobody has out dies by itself, and comes back as it was. */
  private void dies(Server server) {
    if (!server.out && record.state().permits().stream()
        .noneMatch(x -> x.subject().name().equals(server.name))) {
      goes(server);
      clock.after(300 + random.nextInt(1_500), () -> comes(server, server.version));
    }
  }

  private List<Command.Backend> listed() {
    return servers.values().stream().filter(x -> x.listed)
        .map(x -> new Command.Backend(x.name, "z", 1, !x.out, x.startedMs)).toList();
  }

  /** Whoever is told that all doors have it can rely on that. */
  private void ended(Release r) {
    if (r.plan().of() == Plan.Kind.BACKENDS) {
      servers.values().stream().filter(x -> x.listed && !x.version.equals(r.targetVersion()))
          .forEach(x -> breach(x.name + " has " + x.version + ", and release " + r.id() + " has ended with "
              + r.targetVersion()));
      return;
    }
    for (Process p : processes) {
      if (!p.dead && p.serving && !p.ending && !p.version.equals(r.targetVersion())) {
        breach(p.door + " has " + p.version + ", and release " + r.id() + " has ended with "
            + r.targetVersion());
      }
    }
  }

  private void breach(String what) {
    if (breaches.size() < 5) {
      breaches.add(Math.round(clock.now()) + " ms: " + what);
    }
  }

  private double leaderClock() {
    return leaderAhead + leaderRate * clock.now();
  }

  private double drifting(double most) {
    return 1 + most * (2 * random.nextDouble() - 1);
  }

  private void lead() {
    term++;
    led = true;
    leaderRate = drifting(DRIFT);
    leaderAhead = random.nextInt(1_000_000);
    agree(bug == Bug.LEADER_TRUSTS_OLD_LEASES && term > 1 ? new Command.Tick(leaderClock())
        : new Command.LeaderElected(leaderClock()));
    // Whoever is dead and was not known to be was given a whole lease anew.
    State state = record.state();
    countsAsDead.replaceAll((door, from) -> state.lives().stream().anyMatch(x -> x.door().equals(door)
        && x.untilMs() > state.nowMs()) ? Math.max(from, clock.now() + LEASE_MS * (1 + 3 * DRIFT)) : from);
  }

  private void fault() {
    int one = random.nextInt(doors);
    double lasts = 200 + random.nextInt(5_000);
    Process p = last("d" + one);
    switch (random.nextInt(7)) {
      case 6 -> dies(servers.get("b" + random.nextInt(BACKENDS)));
      case 0 -> {
        led = false;
        clock.after(200 + random.nextInt(1_500), this::lead);
      }
      case 1 -> {
        if (!p.dead) {
          p.kill();
          clock.after(500 + random.nextInt(12_000), () -> begin(p.door, true));
        }
      }
      case 2 -> {
        p.stop(true);
        clock.after(lasts, () -> p.stop(false));
      }
      case 3 -> {
        if (!p.dead && p.serving) {
          replace(p);
        }
      }
      default -> {
        cut.add(p.door);
        clock.after(lasts, () -> cut.remove(p.door));
      }
    }
  }

  private Process last(String door) {
    return processes.stream().filter(x -> x.door.equals(door)).reduce((a, b) -> b).orElseThrow();
  }

  private boolean lives(String door) {
    return processes.stream().anyMatch(x -> x.door.equals(door) && !x.dead);
  }

  private Process begin(String door, boolean alone) {
    return lives(door) && alone ? null : begin(door, installed.getOrDefault(door, OLD), 0);
  }

  private Process begin(String door, String version, long attempt) {
    processes.removeIf(x -> x.door.equals(door) && x.dead);
    Process p = new Process(door, "i" + ++incarnations, version, attempt);
    processes.add(p);
    countsAsDead.remove(door);
    p.start();
    return p;
  }

  private void replace(Process old) {
    begin(old.door, false);
    clock.after(1_500 + random.nextInt(1_000), old::end);
  }

  /** Has a command agreed on, over a link of this name; both ways may lose it, and it may come twice. */
  private void ask(String from, Command command, Consumer<Outcome> then) {
    if (choosing) {
      chosen(from, command, then);
      return;
    }
    double late = !quiet && random.nextDouble() < 0.05 ? random.nextInt(5_000) : -1;
    deliver(from, command, then, random.nextDouble() * MOST_DELAY_MS);
    if (late >= 0) {
      deliver(from, command, x -> { }, late);
    }
  }

  /** Lost, heard with its answer lost, late, or heard twice; as it should be where nothing is chosen. */
  private void chosen(String from, Command command, Consumer<Outcome> then) {
    int how = choices.pick(5);
    if (how == 0 || how == 4) {
      deliver(from, command, then, MOST_DELAY_MS / 2);
    }
    if (how == 2) {
      deliver(from, command, x -> { }, MOST_DELAY_MS / 2);
    }
    if (how == 3) {
      deliver(from, command, then, SMALL_AWAY_MS);
    } else if (how == 4) {
      deliver(from, command, x -> { }, SMALL_AWAY_MS);
    }
  }

  private void deliver(String from, Command command, Consumer<Outcome> then, double delay) {
    if (lost(from)) {
      return;
    }
    clock.after(delay, () -> {
      int asked = term;
      if (led) {
        clock.after(random.nextDouble() * 10, () -> {
          if (led && term == asked) {
            Outcome outcome = agree(returnOfAny(command.withLeaderTime(leaderClock())));
            if (!lost(from)) {
              clock.after(random.nextDouble() * MOST_DELAY_MS, () -> then.accept(outcome));
            }
          }
        });
      }
    });
  }

  private Command returnOfAny(Command command) {
    if (bug == Bug.RETURN_OF_ANY && command instanceof Command.ReturnPermit e) {
      return record.state().permits().stream().filter(x -> x.subject().equals(e.subject())).findFirst()
          .<Command>map(x -> new Command.ReturnPermit(e.atMs(), e.subject(), x.id(), e.by())).orElse(command);
    }
    return command;
  }

  private boolean lost(String from) {
    return cut.contains(from) || choices == null && !quiet && random.nextDouble() < 0.03;
  }

  private Outcome agree(Command command) {
    boolean before = underWay();
    Outcome outcome = record.apply(command);
    if (before && !underWay()) {
      ended(last());
    }
    State state = record.state();
    if (states != null) {
      states.add(List.of(state.lives(), state.permits(), state.releases()).hashCode());
    }
    Set<String> now = new HashSet<>();
    for (Permit x : state.permits()) {
      if (x.stage() == Stage.OUT && x.subject().kind() == Kind.BACKEND) {
        now.add(x.subject().name());
      }
      if (x.stage() != Stage.WAITING && seenGranted.add(x.id())) {
        granted++;
        budget(state, x);
      }
      restart(x);
    }
    told += now.stream().filter(x -> !out.contains(x)).count();
    out = now;
    held.forEach((id, subject) -> {
      if (state.permits().stream().noneMatch(x -> x.id() == id && x.subject().equals(subject)
          && x.stage() != Stage.WAITING)) {
        breach("permit " + id + " of " + subject + " is over, and nobody gave it back: " + command);
      }
    });
    return outcome;
  }

  private void budget(State state, Permit given) {
    Set<String> all = new HashSet<>();
    state.permits().stream().filter(x -> x.stage() != Stage.WAITING
        && x.subject().kind() == given.subject().kind()).forEach(x -> all.add(x.subject().name()));
    if (given.subject().kind() == Kind.DOOR) {
      countsAsDead.forEach((door, from) -> {
        if (clock.now() > from) {
          all.add(door);
        }
      });
    }
    if (given.subject().kind() == Kind.BACKEND) {
      servers.values().stream().filter(x -> x.out && restarts(x.name)).forEach(x -> all.add(x.name));
    }
    if (all.size() > atOnce) {
      breach(given.subject() + " was let go while these are out: " + all);
    }
  }

  private boolean restarts(String backend) {
    return record.state().permits().stream().anyMatch(x -> x.subject().name().equals(backend)
        && restarted.contains(x.id()));
  }

  /** No door believes in a lease that the stewards hold for over. */
  private void look() {
    State state = record.state();
    double now = state.nowMs() + Math.max(0, led ? leaderClock() - state.leaderMs() : 0);
    for (Process p : processes) {
      if (!p.dead && p.side.hasLease(p.clock())) {
        DoorProcessState life = state.lives().stream().filter(x -> x.door().equals(p.door)
            && x.incarnation().equals(p.incarnation)).findFirst().orElse(null);
        if (life != null && now >= life.untilMs()) {
          breach(p.door + " believes in its lease, over for " + (now - life.untilMs()) + " ms");
        }
      }
    }
    if (bug == Bug.FORGOTTEN_AT_DEATH) {
      state.lives().stream().filter(x -> now >= x.untilMs()).findFirst().ifPresent(x -> ask("bug",
          new Command.Forget(0, "forget" + clock.now(), x.door(), "bug"), y -> { }));
    }
    clock.after(50, this::look);
  }

  private void operate(String name, int number) {
    if (quiet) {
      return;
    }
    Subject subject = random.nextBoolean() ? new Subject(Kind.DOOR, "d" + random.nextInt(doors))
        : new Subject(Kind.BACKEND, "b" + random.nextInt(BACKENDS));
    attempt(name, name + number, subject, clock.now() + 2_500, 0);
    clock.after(1_500 + random.nextInt(3_000), () -> operate(name, number + 1));
  }

  /** Asks again until it is answered; gives up on waiting after a time; now and then its command dies. */
  private void attempt(String name, String request, Subject subject, double until, int tries) {
    if (goneOperators.contains(name)) {
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
            if (seenGranted.contains(e.permit()) && stands(e.permit())) {
              held.put(e.permit(), subject);
              if (random.nextDouble() > 0.1) {
                clock.after(500 + random.nextInt(2_000), () -> giveBack(name, subject, e.permit(), 0));
              }
            }
          } else if (outcome instanceof Outcome.Waiting e) {
            if (clock.now() > until) {
              giveBack(name, subject, e.permit(), 0);
            } else {
              clock.after(200, () -> attempt(name, request, subject, until, tries));
            }
          }
        });
    clock.after(400, () -> {
      if (!answered[0] && tries < 10) {
        answered[0] = true;
        attempt(name, request, subject, until, tries + 1);
      }
    });
  }

  /** An answer may come after others gave back what a dead command had left. */
  private boolean stands(long permit) {
    return record.state().permits().stream().anyMatch(x -> x.id() == permit && x.stage() != Stage.WAITING
        && x.stage() != Stage.RETURNING);
  }

  private void giveBack(String name, Subject subject, long permit, int tries) {
    if (goneOperators.contains(name)) {
      return;
    }
    held.remove(permit);
    boolean[] answered = {false};
    ask(name, new Command.ReturnPermit(0, subject, permit, name), outcome -> answered[0] = true);
    clock.after(400, () -> {
      if (!answered[0] && tries < 10) {
        giveBack(name, subject, permit, tries + 1);
      }
    });
  }

  private void giveAllBack() {
    held.clear();
    if (bug != Bug.ASKED_ANEW) {
      record.state().permits().stream().filter(x -> x.stage() != Stage.RETURNING
          && !x.request().startsWith("release-"))
          .forEach(x -> ask("tidy", new Command.ReturnPermit(0, x.subject(), x.id(), "tidy"), y -> { }));
    }
  }

  /** One process of a door. */
  private final class Process {
    private final String door;
    private final String incarnation;
    private final double rate;
    private final double ahead = random.nextInt(1_000_000);
    private final DoorParticipant side;
    private final Set<String> away = new HashSet<>();
    private final Map<String, Integer> pending = new HashMap<>();
    private final List<Runnable> held = new ArrayList<>();
    private final boolean knows;
    private final String version;
    private final long attempt;
    private boolean ending;
    private boolean replacing;
    private boolean stopped;
    private boolean dead;
    private boolean serving;
    private boolean ready;
    private boolean drains;
    private long generation;
    private boolean taken;
    private long seesList;
    private List<Command.Backend> sees = List.of();
    private boolean told;
    private double wakeAt;

    Process(String door, String incarnation, String version, long attempt) {
      this.version = version;
      this.attempt = attempt;
      this.door = door;
      this.incarnation = incarnation;
      rate = bug == Bug.CLOCK_BEYOND_DRIFT ? 0.7 : drifting(DRIFT);
      Map<String, Long> before = new HashMap<>();
      boolean holds = takesLock();
      if (holds && bug != Bug.NOTHING_REMEMBERED) {
        files.getOrDefault(door, Map.of()).values().forEach(before::putAll);
      }
      knows = (holds || bug == Bug.SUCCESSOR_GOES_BY_FILES) && files.containsKey(door)
          || bug == Bug.SERVES_BEFORE_TOLD || bug == Bug.SUCCESSOR_UNASKED && attempt > 0;
      side = new DoorParticipant(door, incarnation, DRIFT, before, version,
          holds && !before.isEmpty() ? 0 : attempt);
      away.addAll(before.keySet());
      before.keySet().forEach(x -> clock.after(0, () -> on(() -> lookWhetherLeft(x))));
    }

    double clock() {
      return ahead + rate * clock.now();
    }

    /** Has this process do it, when it goes on. */
    void on(Runnable what) {
      if (stopped) {
        held.add(what);
      } else if (!dead) {
        what.run();
      }
    }

    private void tell(DoorEvent event) {
      side.handle(clock(), event).forEach(this::execute);
    }

    void start() {
      tell(new DoorEvent.TimerFired());
      sight();
      waitForLock();
      vouch();
      if (attempt > 0 && version.equals(MUTE)) {
        return;
      }
      clock.after(300 + random.nextInt(600), () -> on(() -> {
        ready = true;
        serveIfTold();
      }));
    }

    private void serveIfTold() {
      if (ready && !serving && (knows || told)) {
        serving = true;
        installed.put(door, version);
        if (attempt > 0) {
          begins(this);
          processes.stream().filter(x -> x.door.equals(door) && x != this && !x.dead).forEach(Process::end);
        }
        if (attempt > 0 && version.equals(FAINT)) {
          clock.after(500 + random.nextInt(1_500), () -> {
            installed.put(door, OLD);
            kill();
            clock.after(700, () -> begin(door, true));
          });
        }
        tell(new DoorEvent.ActivityChanged(doing()));
        traffic();
      }
    }

    private Activity doing() {
      return !serving ? Activity.STARTING : drains ? Activity.EMPTY : Activity.READY;
    }

    /** Held by one process of the door until that is dead. */
    private boolean takesLock() {
      Process holder = holders.get(door);
      if (holder != null && !holder.dead && bug != Bug.ALONE_TOO_SOON) {
        return false;
      }
      holders.put(door, this);
      generation = generations.merge(door, 1L, Long::sum);
      return true;
    }

    private void waitForLock() {
      if (generation == 0 && takesLock()) {
        holds();
      } else if (generation == 0) {
        clock.after(50, () -> on(this::waitForLock));
      }
    }

    /** Sees by their locks which processes of the door have ended, and says so until it is answered. */
    private void vouch() {
      if (generation > 0 && (taken || bug == Bug.VOUCHES_UNKNOWN)) {
        for (String ended : List.copyOf(ends.getOrDefault(door, Set.of()))) {
          ask(door, new Command.Leave(0, door, ended), x -> ends.get(door).remove(ended));
        }
      }
      clock.after(500, () -> on(this::vouch));
    }

    private void holds() {
      files.computeIfPresent(door, (name, all) -> all.containsKey(incarnation)
          ? new HashMap<>(Map.of(incarnation, all.get(incarnation))) : all);
      join();
    }

    /** Until it is answered, or another is said. */
    private void join() {
      long said = generation;
      boolean[] answered = {choosing};
      ask(door, new Command.Join(0, door, incarnation, "z", 1, said,
          bug == Bug.VERSION_UNSAID ? OLD : version), x -> {
            answered[0] = true;
            taken |= x instanceof Outcome.Done;
          });
      clock.after(400, () -> on(() -> {
        if (!answered[0] && said == generation) {
          join();
        }
      }));
    }

    /** Looks at the list now and then, and says once what has changed. */
    private void sight() {
      if (seesList < listVersion) {
        seesList = listVersion;
        sees = listed();
        tell(new DoorEvent.BackendListChanged(Command.BackendListId.of(seesList, sees)));
        tellList();
      }
      clock.after(LIST_MS, () -> on(this::sight));
    }

    private void tellList() {
      ask(door, new Command.UpdateBackends(0, seesList, sees), x -> { });
    }

    void kill() {
      dead = true;
      lockIsFree();
      held.clear();
      if (!lives(door)) {
        countsAsDead.put(door, clock.now() + LEASE_MS * (1 + 3 * DRIFT) + 3 * MOST_DELAY_MS + 5_000);
      }
      if (bug == Bug.ZOMBIE_BEATS) {
        zombie(1_000_000);
      }
    }

    private void zombie(long number) {
      if (!quiet) {
        ask(door, new Command.Heartbeats(0, List.of(new Heartbeat(door, incarnation, Activity.READY, number,
            record.state().index(), Set.of(), Command.Report.NONE))), x -> { });
        clock.after(300, () -> zombie(number + 1));
      }
    }

    void stop(boolean on) {
      stopped = on && !dead;
      if (!on) {
        List<Runnable> all = List.copyOf(held);
        held.clear();
        all.forEach(this::on);
      }
    }

    /** Ends in order, in favour of another process. */
    void end() {
      on(() -> {
        if (bug == Bug.LEAVES_TOO_SOON) {
          ask(door, new Command.Leave(0, door, incarnation), x -> { });
          clock.after(2_000, () -> on(this::ended));
        } else {
          serving = false;
          ending = true;
          tell(new DoorEvent.ActivityChanged(Activity.DRAINING));
          endWhenEmpty();
        }
      });
    }

    private void endWhenEmpty() {
      if (pending.isEmpty()) {
        ask(door, new Command.Leave(0, door, incarnation), x -> { });
        ended();
      } else {
        clock.after(20, () -> on(this::endWhenEmpty));
      }
    }

    /** Seen twice by then: what it had written is there. */
    private void lockIsFree() {
      clock.after(500, () -> ends.computeIfAbsent(door, x -> new HashSet<>()).add(incarnation));
    }

    private void ended() {
      dead = true;
      lockIsFree();
      if (!lives(door)) {
        clock.after(500, () -> begin(door, true));
      }
    }

    private void traffic() {
      if (!serving) {
        return;
      }
      String backend = "b" + random.nextInt(BACKENDS);
      if (!away.contains(backend)) {
        pending.merge(backend, 1, Integer::sum);
        Runnable arrives = () -> {
          if (out.contains(backend)) {
            breach(door + "/" + incarnation + " sends to " + backend + ", which is out");
          }
          clock.after(random.nextInt(60), () -> on(() -> {
            if (pending.merge(backend, -1, Integer::sum) == 0) {
              pending.remove(backend);
            }
          }));
        };
        // Written already, or when its connection is there.
        double delay = random.nextDouble() * 60;
        clock.after(delay, random.nextBoolean() ? arrives : () -> on(arrives));
      }
      clock.after(random.nextDouble() * 2 * TRAFFIC_MS, () -> on(this::traffic));
    }

    private void lookWhetherLeft(String backend) {
      if (!away.contains(backend)) {
        return;
      }
      if (!pending.containsKey(backend) || bug == Bug.LET_GO_AT_ONCE) {
        tell(new DoorEvent.BackendVacated(backend));
      } else {
        clock.after(20, () -> on(() -> lookWhetherLeft(backend)));
      }
    }

    private void execute(DoorAction action) {
      if (action instanceof DoorAction.SendHeartbeat e) {
        beat(e.heartbeat());
      } else if (action instanceof DoorAction.SendJoin) {
        join();
      } else if (action instanceof DoorAction.SendBackendList && bug != Bug.LIST_TOLD_ONCE) {
        tellList();
      } else if (action instanceof DoorAction.WakeAt e) {
        wakeAt = e.atMs();
        clock.after((e.atMs() - clock()) / rate + 0.01, () -> on(() -> {
          if (wakeAt == e.atMs()) {
            tell(new DoorEvent.TimerFired());
          }
        }));
      } else if (action instanceof DoorAction.StartSuccessor e) {
        replace(e);
      } else if (action instanceof DoorAction.PersistOutBackends e) {
        files.computeIfAbsent(door, x -> new HashMap<>()).put(incarnation, e.out());
      } else if (action instanceof DoorAction.TakeOut e) {
        away.add(e.backend());
        lookWhetherLeft(e.backend());
      } else if (action instanceof DoorAction.PutBack e) {
        away.remove(e.backend());
      } else if (action instanceof DoorAction.AllowServing) {
        told = true;
        serveIfTold();
      } else if (action instanceof DoorAction.Drain || action instanceof DoorAction.Undrain) {
        drains = action instanceof DoorAction.Drain;
        clock.after(100 + random.nextInt(300), () -> on(() -> tell(new DoorEvent.ActivityChanged(doing()))));
      }
    }

    /** Starts another, kills it where it isn't ready in time, and says so where this one serves on. */
    private void replace(DoorAction.StartSuccessor e) {
      if (ending || dead) {
        return;
      }
      Process next = begin(door, e.version(), e.attempt());
      clock.after(READY_LIMIT_MS, () -> {
        if (!next.serving && !next.dead) {
          // By the one that started it, or by itself where that is gone; then its supervisor starts the door.
          next.kill();
          clock.after(700, () -> begin(door, true));
        }
      });
      awaitSuccessor(next, e.attempt());
    }

    private void awaitSuccessor(Process next, long of) {
      if (next.dead && !ending) {
        if (bug != Bug.FAILURE_UNSAID) {
          tell(new DoorEvent.SuccessorFailed(of));
        }
      } else if (!ending) {
        clock.after(50, () -> on(() -> awaitSuccessor(next, of)));
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
              + (bug == Bug.LEASE_FROM_RECEIPT ? clock() - sentAt + MOST_DELAY_MS : 0));
          on(() -> tell(new DoorEvent.HeartbeatAnswered(beat.number(), view)));
        }
      });
    }
  }
}
