package willowdoor.agreement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
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
import willowdoor.agreement.Command.ReturnPermit;
import willowdoor.agreement.Command.UpdateBackends;
import willowdoor.agreement.Command.StartRelease;
import willowdoor.agreement.Command.SteerRelease;
import willowdoor.agreement.Outcome.HeartbeatsRecorded;
import willowdoor.agreement.Outcome.ReleaseStarted;
import willowdoor.agreement.Outcome.Done;
import willowdoor.agreement.Outcome.Granted;
import willowdoor.agreement.Outcome.Refused;
import willowdoor.agreement.Outcome.Waiting;
import willowdoor.agreement.Permit.Stage;
import willowdoor.agreement.Subject.Kind;
import willowdoor.rollout.Plan;
import willowdoor.rollout.Release;
import willowdoor.rollout.Release.Mode;
import willowdoor.rollout.Rollout;
import willowdoor.rollout.TargetStatus;
import willowdoor.rollout.TargetStatus.PermitState;
import willowdoor.rollout.Step;
import willowdoor.rollout.PermitAction;

/**
 * The replicated state machine of the fleet: which processes of which doors run, and which doors and backends
 * may be out of service and are. It applies commands in the order of the log and returns their outcomes. It
 * does no I/O, reads no clock, starts no thread and uses no randomness, so the same log gives the same state
 * at every replica (steward).
 *
 * <p>The replicated time advances with the leader's clock, by the differences between commands within a term.
 * The time between two leaders is not counted, and {@link LeaderElected} starts every lease that has not
 * expired again with its full length. The replicas' view of a lease therefore never ends before the door's
 * own view ({@link DoorLease}).
 *
 * <p>Subjects that failed count against the budget like subjects that were taken out on purpose: a door
 * without a process that is ready and reachable, and a backend that does not serve. A permit ends when its
 * subject is seen ready after its return. A backend is out once every process of every door has reported that
 * it no longer sends to the backend. A process that is unreachable blocks this until it is reachable again or
 * an operator has it forgotten, because it may still reach the backend.
 *
 * <p>Permits are granted in the order of the requests. A request that is held back only by the limit of its
 * zone may be overtaken by requests of other zones. A request that is held back by a limit over all subjects
 * is not overtaken, so that it cannot wait forever behind requests that fit more easily.
 */
public final class FleetStateMachine {

  /** The maximum number of known processes of doors; further processes may not join. */
  static final int MAX_PROCESSES = 1_000;
  /** The maximum number of permits in any stage; further requests are refused. */
  static final int MAX_PERMITS = 1_000;
  /** The maximum number of backends of a list; the rest of a longer list is ignored. */
  static final int MAX_BACKENDS = 10_000;
  /** The maximum number of audit entries; the oldest is dropped first. */
  static final int MAX_NOTES = 1_000;
  /** The maximum number of names of ended requests and processes; the oldest is dropped first. */
  static final int MAX_ENDED_NAMES = 2_000;
  /** The maximum number of releases kept, including the current one; the oldest is dropped first. */
  static final int MAX_RELEASES = 10;
  /**
   * The maximum number of rounds, after each command, in which the release reacts to the results of its own
   * permit requests.
   */
  private static final int MAX_RELEASE_ROUNDS = 4;

  private FleetSettings settings;
  /** How many commands were applied. */
  private long index;
  /** The replicated time, in milliseconds. */
  private double nowMs;
  /** The leader's time of the last command, in milliseconds; NaN before the first leader. */
  private double leaderMs = Double.NaN;
  private long lastPermitId;
  /** The identity of the current list of backends. */
  private Command.BackendListId backendListId = Command.BackendListId.NONE;
  /** The replicated time at which that list was applied, in milliseconds. */
  private double backendListMs;
  private final Map<String, DoorProcessState> processes = new LinkedHashMap<>();
  private final Map<String, Backend> backends = new LinkedHashMap<>();
  private final Map<Long, Permit> permits = new TreeMap<>();
  private final Deque<Note> notes = new ArrayDeque<>();
  /** Names of ended requests and processes, whose late messages are ignored. */
  private final Set<String> endedNames = new LinkedHashSet<>();
  /** Earlier releases, the oldest first. */
  private final Deque<Release> endedReleases = new ArrayDeque<>();
  /** The current or last release; null before the first. */
  private Rollout rollout;

  /** Creates a state machine with an empty log. */
  public FleetStateMachine(FleetSettings settings) {
    this.settings = settings;
  }

  /** Restores a state machine from a snapshot. */
  public FleetStateMachine(State state) {
    settings = state.terms();
    index = state.index();
    nowMs = state.nowMs();
    leaderMs = state.leaderMs();
    lastPermitId = state.lastPermit();
    backendListId = state.sight();
    backendListMs = state.sightMs();
    state.lives().forEach(x -> processes.put(x.processName(), x));
    state.backends().forEach(x -> backends.put(x.name(), x));
    state.permits().forEach(x -> permits.put(x.id(), x));
    notes.addAll(state.notes());
    endedNames.addAll(state.over());
    endedReleases.addAll(state.releases());
    rollout = endedReleases.isEmpty() ? null : new Rollout(endedReleases.removeLast());
  }

  /** Takes a snapshot of the state. */
  public State state() {
    return new State(settings, index, nowMs, leaderMs, lastPermitId, backendListId, backendListMs,
        List.copyOf(processes.values()), List.copyOf(backends.values()), List.copyOf(permits.values()),
        List.copyOf(notes), List.copyOf(endedNames), releases());
  }

  private List<Release> releases() {
    List<Release> all = new ArrayList<>(endedReleases);
    if (rollout != null) {
      all.add(rollout.state());
    }
    return all;
  }

  /** Applies the next command of the log. */
  public Outcome apply(Command command) {
    index++;
    advanceTime(command);
    Outcome outcome = execute(command);
    settlePermits();
    advanceRelease();
    // Whether the request waits or is granted is known only once ended permits have freed their budget.
    return outcome == null ? requestStatus(((RequestPermit) command).request()) : outcome;
  }

  private void advanceTime(Command command) {
    if (command instanceof LeaderElected) {
      // An expired lease stays expired: a restarted one would count a dead door as serving.
      processes.replaceAll((name, x) -> nowMs < x.untilMs() ? x.withLeaseUntil(nowMs + settings.leaseMs())
          : x);
      leaderMs = command.atMs();
    } else if (command.atMs() > leaderMs) {
      nowMs += command.atMs() - leaderMs;
      leaderMs = command.atMs();
    }
  }

  private Outcome execute(Command command) {
    if (command instanceof RequestPermit e) {
      return requestPermit(e);
    } else if (command instanceof ReturnPermit e) {
      return returnPermit(e);
    } else if (command instanceof Heartbeats e) {
      return recordHeartbeats(e);
    } else if (command instanceof Join e) {
      return join(e);
    } else if (command instanceof Forget e) {
      return forget(e);
    } else if (command instanceof Leave e) {
      leave(e);
    } else if (command instanceof UpdateBackends e) {
      return updateBackends(e);
    } else if (command instanceof StartRelease e) {
      return startRelease(e);
    } else if (command instanceof SteerRelease e) {
      return steerRelease(e);
    } else if (command instanceof Configure e) {
      settings = e.terms();
    }
    return new Done();
  }

  /**
   * A list of an older version is accepted if no reachable door uses the newer version any more: then the
   * versions of the list have started again. A list that is late all the same, or lost, is corrected by
   * {@link DoorView#tellList}.
   */
  private Outcome updateBackends(UpdateBackends e) {
    if (e.version() < backendListId.version() && newestListVersion() >= backendListId.version()) {
      return new Refused("version " + e.version() + " of the list of backends is older than "
          + backendListId.version());
    }
    backendListId = Command.BackendListId.of(e.version(), e.backends());
    backendListMs = nowMs;
    Map<String, Backend> delisted = new LinkedHashMap<>(backends);
    backends.clear();
    e.backends().stream().limit(MAX_BACKENDS).forEach(x -> backends.put(x.name(), x));
    delisted.keySet().removeAll(backends.keySet());
    delisted.values().stream().filter(this::isExpectedBack)
        .forEach(x -> backends.put(x.name(), x.asDelisted(nowMs)));
    return new Done();
  }

  /** The newest version of the list that any reachable process uses. */
  private long newestListVersion() {
    return processes.values().stream().filter(x -> x.isReached(nowMs)).mapToLong(x -> x.listed().version())
        .max()
        .orElse(Command.BackendListId.NONE.version());
  }

  /**
   * Whether this process is the first, of those that use the newest version of the list, whose list differs
   * from the replicated one. The list is requested only once the replicated one is at least one lease old,
   * because doors may see different contents under one version for a long time.
   */
  private boolean mustSendList(DoorProcessState process) {
    long newestVersion = newestListVersion();
    return newestVersion >= 0 && nowMs - backendListMs >= settings.leaseMs() && processes.values().stream()
        .filter(x -> x.isReached(nowMs) && x.listed().version() == newestVersion
        && !x.listed().equals(backendListId))
        .findFirst().filter(x -> x == process).isPresent();
  }

  /**
   * Whether a backend that is no longer listed still counts, as one that is out. This is so if it went out on
   * purpose and is being restarted, or if the current release has given it the new version: the new version
   * may have crashed it, and it would come back with that version. Any other backend may have been removed
   * for good. This also guards against an old list that arrives late.
   */
  private boolean isExpectedBack(Backend x) {
    Permit permit = findPermit(new Subject(Kind.BACKEND, x.name()));
    Release release = rollout == null ? null : rollout.state();
    return permit != null && permit.countsAgainstBudget() || release != null && release.mode() != Mode.ENDED
        && release.plan().of() == Plan.Kind.BACKENDS
        && release.plan().to().equals(release.versions().get(x.name()));
  }

  /**
   * A process that holds the door's exclusive lock ends the processes that held the lock before, and no
   * others: those may be waiting for the lock. A late message of an earlier holder is refused.
   */
  private Outcome join(Join e) {
    String name = e.door() + "/" + e.incarnation();
    long newestGeneration = processes.values().stream().filter(x -> x.door().equals(e.door()))
        .mapToLong(DoorProcessState::generation)
        .max().orElse(0);
    if (endedNames.contains(name) || e.generation() > 0 && e.generation() < newestGeneration) {
      return new Refused("process " + name + " has ended");
    }
    List<String> replaced = processes.values().stream().filter(x -> x.door().equals(e.door())
        && !x.processName().equals(name)
        && (x.hasEnded() || x.generation() > 0 && x.generation() < e.generation()))
        .map(DoorProcessState::processName).toList();
    replaced.forEach(this::markEnded);
    processes.keySet().removeAll(replaced);
    if (processes.containsKey(name)) {
      processes.computeIfPresent(name,
          (x, process) -> process.withGeneration(Math.max(process.generation(), e.generation())));
      return new Done();
    }
    if (processes.size() >= MAX_PROCESSES) {
      return new Refused(MAX_PROCESSES + " processes of doors are known already");
    }
    processes.put(name,
        new DoorProcessState(e.door(), e.incarnation(), e.zone(), e.weight(), e.generation(), e.version(),
        Activity.STARTING, nowMs + settings.leaseMs(), 0, 0, Command.Report.NONE, nowMs,
        Command.BackendListId.NONE));
    return new Done();
  }

  /**
   * The door stays known, as one that is out, until another of its processes joins or the door is forgotten.
   */
  private void leave(Leave e) {
    markEnded(e.door() + "/" + e.incarnation());
    processes.computeIfPresent(e.door() + "/" + e.incarnation(), (name, x) -> x.asEnded());
    boolean others = processes.values().stream().anyMatch(x -> x.door().equals(e.door()) && !x.hasEnded());
    processes.values().removeIf(x -> x.door().equals(e.door()) && x.hasEnded() && others);
  }

  private Outcome recordHeartbeats(Heartbeats e) {
    List<String> unknownNames = new ArrayList<>();
    for (Heartbeat heartbeat : e.beats()) {
      String name = heartbeat.door() + "/" + heartbeat.incarnation();
      DoorProcessState process = processes.get(name);
      if (process == null || process.hasEnded()) {
        unknownNames.add(name);
      } else if (heartbeat.number() > process.number()) {
        // A heartbeat that a later one has overtaken is ignored.
        recordTally(process, heartbeat);
        processes.put(name, process.withHeartbeat(heartbeat, nowMs, nowMs + settings.leaseMs()));
        heartbeat.left()
            .forEach(id -> permits.computeIfPresent(id, (i, permit) -> withProcessLeft(permit, name)));
      }
    }
    return new HeartbeatsRecorded(unknownNames, settings.leaseMs());
  }

  /**
   * Passes the request counts of a door that has been ready for the settling time on to the release. Counts
   * that arrive after a silence of a lease or longer come from a door that was suspended or cut off; they say
   * nothing about its version and are ignored.
   */
  private void recordTally(DoorProcessState process, Heartbeat heartbeat) {
    if (rollout != null && process.doing() == Activity.READY && heartbeat.doing() == Activity.READY
        && process.isReached(nowMs)
        && nowMs - process.readyMs() >= rollout.state().plan().settleMs()) {
      rollout.addTally(process.door(), process.version(),
          heartbeat.report().tally().since(process.report().tally()), nowMs);
    }
  }

  private static Permit withProcessLeft(Permit permit, String processName) {
    if (permit.stage() != Stage.GRANTED || permit.subject().kind() != Kind.BACKEND) {
      return permit;
    }
    Set<String> left = new HashSet<>(permit.left());
    left.add(processName);
    return permit.withLeft(left);
  }

  private Outcome forget(Forget e) {
    if (endedNames.contains(e.request())) {
      return new Done();
    }
    markEnded(e.request());
    if (e.door().startsWith(Forget.BACKEND_PREFIX)) {
      return forgetBackend(e, e.door().substring(Forget.BACKEND_PREFIX.length()));
    }
    if (!processes.values().removeIf(x -> x.door().equals(e.door()) || x.processName().equals(e.door()))) {
      return new Refused("no door or process is called " + e.door());
    }
    addNote(e.by(), "has " + e.door() + " forgotten: it counts as sending nothing");
    return new Done();
  }

  private Outcome forgetBackend(Forget e, String name) {
    Backend known = backends.get(name);
    if (known == null || known.isListed()) {
      return new Refused("backend " + name + (known == null ? " is not known" : " is listed (expected: one"
          + " that went out and is listed no more; the permit of this one can be given back)"));
    }
    backends.remove(name);
    Permit permit = findPermit(new Subject(Kind.BACKEND, name));
    if (permit != null) {
      markEnded(permit);
    }
    addNote(e.by(), "has backend " + name + " forgotten: it is not expected back");
    return new Done();
  }

  private Outcome requestPermit(RequestPermit e) {
    if (findPermit(e.request()) != null) {
      return null;
    }
    if (endedNames.contains(e.request())) {
      return new Refused("request " + e.request() + " is over");
    }
    Permit other = findPermit(e.subject());
    if (other != null) {
      return new Refused(e.subject() + " is " + other.stage().name().toLowerCase(java.util.Locale.ROOT)
          + " already, asked for by " + other.by() + ": " + other.reason());
    }
    if (!budgetUsage(e.subject().kind()).contains(e.subject().name())) {
      return new Refused("no " + e.subject() + " is known");
    }
    if (permits.size() >= MAX_PERMITS) {
      return new Refused(MAX_PERMITS + " permits are asked for already");
    }
    lastPermitId++;
    permits.put(lastPermitId,
        new Permit(lastPermitId, e.request(), e.subject(), e.by(), e.reason(), e.force(),
        e.force() ? Stage.GRANTED : Stage.WAITING, index, Set.of()));
    if (e.force()) {
      addNote(e.by(), "takes out " + e.subject() + " by force: " + e.reason());
    }
    return null;
  }

  private Outcome returnPermit(ReturnPermit e) {
    Permit permit = findPermit(e.subject());
    if (permit == null || permit.id() != e.permit()) {
      return new Refused("permit " + e.permit() + " is over" + (permit == null ? "" : "; " + e.subject()
          + " is " + permit.stage().name().toLowerCase(java.util.Locale.ROOT) + " by permit " + permit.id()));
    }
    if (rollout != null && rollout.state().plan().of() == Plan.Kind.DOORS
        && !e.by().equals(requesterName(rollout.state()))
        && rollout.state().steps().stream().anyMatch(x -> permit.request().equals(requestName(rollout.state(),
            x)))) {
      return new Refused("permit " + permit.id() + " is of " + permit.by() + ", which gives it back once the"
          + " door's step is over: pause or halt that");
    }
    if (permit.stage() == Stage.WAITING) {
      markEnded(permit);
    } else {
      permits.put(permit.id(), permit.withStage(Stage.RETURNING, index));
    }
    return new Done();
  }

  private Outcome startRelease(StartRelease e) {
    Release last = rollout == null ? null : rollout.state();
    for (Release x : releases()) {
      if (x.request().equals(e.request())) {
        return new ReleaseStarted(x.id());
      }
    }
    if (endedNames.contains(e.request())) {
      return new Refused("request " + e.request() + " is over");
    }
    if (last != null && last.mode() != Mode.ENDED) {
      return new Refused("release " + last.id() + " of " + last.plan().to() + ", begun by " + last.by()
          + ", is "
          + last.mode().name().toLowerCase(java.util.Locale.ROOT) + ": " + last.why());
    }
    long id = last == null ? 1 : last.id() + 1;
    try {
      Rollout next = Rollout.begin(id, e.request(), e.by(), e.plan(), nowMs, e.plan().of() == Plan.Kind.DOORS
          ? observe(null) : backends.values().stream().map(x -> observe(x, null, e.plan().from())).toList(),
              last == null ? 0 : last.attempts());
      if (last != null) {
        endedReleases.addLast(last);
      }
      if (endedReleases.size() >= MAX_RELEASES) {
        endedReleases.removeFirst();
      }
      rollout = next;
    } catch (IllegalArgumentException invalid) {
      return new Refused(invalid.getMessage());
    }
    markEnded(e.request());
    addNote(e.by(), "begins release " + id + " of " + e.plan().to() + " over " + e.plan().from());
    return new ReleaseStarted(id);
  }

  private Outcome steerRelease(SteerRelease e) {
    if (endedNames.contains(e.request())) {
      return new Done();
    }
    Release release = rollout == null ? null : rollout.state();
    if (release == null || release.id() != e.release() || release.mode() == Mode.ENDED) {
      return new Refused(release == null ? "there is no release" : "release " + e.release() + " is over");
    }
    markEnded(e.request());
    switch (e.steering()) {
      case PAUSE -> rollout.pause(e.by());
      case HALT -> rollout.halt("halted by " + e.by());
      case RESUME -> rollout.resume(e.by(), nowMs);
      case BACK -> rollout.rollBack(e.by(), nowMs);
      default -> throw new IllegalStateException(e.steering().name());
    }
    addNote(e.by(),
        "has release " + e.release() + " " + e.steering().name().toLowerCase(java.util.Locale.ROOT));
    return new Done();
  }

  /**
   * Carries out what the release asks for, as for any other requester, until the release asks for nothing
   * more.
   */
  private void advanceRelease() {
    for (int round = 0; rollout != null && rollout.state().mode() != Mode.ENDED
        && round < MAX_RELEASE_ROUNDS; round++) {
      Mode previousMode = rollout.state().mode();
      List<PermitAction> wishes = rollout.advance(nowMs, index, observeSubjects(rollout.state()));
      if (rollout.state().mode() != previousMode) {
        addNote(requesterName(rollout.state()), rollout.state().why());
      }
      for (PermitAction wish : wishes) {
        fulfil(wish);
      }
      if (wishes.isEmpty()) {
        return;
      }
      settlePermits();
    }
  }

  private void fulfil(PermitAction wish) {
    if (wish instanceof PermitAction.RequestPermit e) {
      String by = requesterName(rollout.state());
      requestPermit(new RequestPermit(nowMs, requestName(rollout.state(), e.step()),
          new Subject(subjectKind(rollout.state()),
          e.step().door()), by,
          e.step().version(), false));
    } else if (wish instanceof PermitAction.ReturnPermit e) {
      Permit permit = findPermit(requestName(rollout.state(), e.step()));
      if (permit != null) {
        returnPermit(new ReturnPermit(nowMs, permit.subject(), permit.id(), requesterName(rollout.state())));
      }
    }
  }

  /** The name of a release as a requester of permits. */
  private static String requesterName(Release release) {
    return "release " + release.id();
  }

  private static String requestName(Release release, Step step) {
    return "release-" + release.id() + "-" + step.attempt() + "-" + step.door();
  }

  private static Kind subjectKind(Release release) {
    return release.plan().of() == Plan.Kind.DOORS ? Kind.DOOR : Kind.BACKEND;
  }

  private List<TargetStatus> observeSubjects(Release release) {
    if (release.plan().of() == Plan.Kind.DOORS) {
      return observe(release);
    }
    return backends.values().stream().map(x -> observe(x, release, release.versions()
        .getOrDefault(x.name(), release.plan().from()))).toList();
  }

  /**
   * The state of a backend as a release sees it. Once the backend is out, it may be restarted at any time,
   * and then has the version that it went out for. A backend that is away for its restart does not count as
   * lost.
   *
   * @param release the release, or null for a release that is yet to begin
   */
  private TargetStatus observe(Backend backend, Release release, String lastVersion) {
    Permit permit = findPermit(new Subject(Kind.BACKEND, backend.name()));
    Step step = release == null ? null : release.steps().stream().filter(x -> x.door().equals(backend.name()))
        .findFirst().orElse(null);
    boolean ownPermit = permit != null && step != null && permit.request().equals(requestName(release, step));
    Double startedMs = release == null ? null : release.started().get(backend.name());
    boolean restartedForStep = ownPermit && startedMs != null && backend.startedMs() > 0
        && backend.startedMs() != startedMs;
    return new TargetStatus(backend.name(), backend.zone(), restartedForStep ? step.version() : lastVersion,
        backend.serving(),
        ownPermit || backend.isListed() ? 0 : nowMs + backend.startedMs() + 1,
        ownPermit && permit.stage() == Stage.OUT ? step.attempt() : 0, 0, index,
        heldStatus(ownPermit ? permit : null),
        permit != null && !ownPermit, ownPermit && permit.stage() == Stage.WAITING
            && requestStatus(permit.request()) instanceof Waiting w ? w.why() : "");
  }

  /**
   * The state of all doors as a release sees them.
   *
   * @param release the release, or null for a release that is yet to begin
   */
  private List<TargetStatus> observe(Release release) {
    Map<String, List<DoorProcessState>> doors = new LinkedHashMap<>();
    processes.values().forEach(x -> doors.computeIfAbsent(x.door(), d -> new ArrayList<>()).add(x));
    Map<String, Step> steps = new java.util.HashMap<>();
    if (release != null) {
      release.steps().forEach(x -> steps.put(x.door(), x));
    }
    List<TargetStatus> all = new ArrayList<>(doors.size());
    doors.forEach((door, processes) -> {
      Permit permit = findPermit(new Subject(Kind.DOOR, door));
      boolean ownPermit = permit != null && steps.containsKey(door)
          && permit.request().equals(requestName(release, steps.get(door)));
      String version = "";
      double lostMs = Double.POSITIVE_INFINITY;
      long lastStarted = 0;
      long lastFailed = 0;
      long knownIndex = Long.MAX_VALUE;
      for (DoorProcessState x : processes) {
        if (x.isReached(nowMs)) {
          version = x.doing() == Activity.STARTING ? version : x.version();
          lastStarted = Math.max(lastStarted, x.report().trying());
          lastFailed = Math.max(lastFailed, x.report().failed());
          knownIndex = Math.min(knownIndex, x.seen());
          lostMs = 0;
        } else if (!x.hasEnded()) {
          lostMs = Math.min(lostMs, nowMs - x.untilMs() + 1);
        }
      }
      String reachedVersion = version;
      // If a process of another version may still serve, reachable or not, the version of the door is
      // undecided.
      version = processes.stream()
          .anyMatch(x -> x.doing() == Activity.READY && !x.version().equals(reachedVersion)) ? ""
          : reachedVersion;
      all.add(new TargetStatus(door, processes.get(0).zone(), version, processes.stream().anyMatch(x ->
          x.isServing(nowMs)),
          lostMs, lastStarted, lastFailed, knownIndex, heldStatus(ownPermit ? permit : null),
          permit != null && !ownPermit,
          ownPermit && permit.stage() == Stage.WAITING && requestStatus(permit.request()) instanceof Waiting w
          ? w.why()
              : ""));
    });
    return all;
  }

  private static PermitState heldStatus(Permit permit) {
    return permit == null ? PermitState.NONE : switch (permit.stage()) {
      case WAITING -> PermitState.WAITING;
      case GRANTED, OUT -> PermitState.GRANTED;
      case RETURNING -> PermitState.RETURNING;
    };
  }

  /** Ends permits whose subjects are back, then grants waiting permits within the budget that is free. */
  private void settlePermits() {
    for (Permit permit : List.copyOf(permits.values())) {
      if (permit.stage() == Stage.RETURNING && isBack(permit)) {
        markEnded(permit);
      } else if (permit.stage() == Stage.GRANTED && isOut(permit)) {
        permits.put(permit.id(), permit.withStage(Stage.OUT, index));
        out(permit);
      }
    }
    for (Kind kind : Kind.values()) {
      grantWaiting(kind);
    }
  }

  private void out(Permit permit) {
    Backend backend = backends.get(permit.subject().name());
    if (backend != null && permit.subject().kind() == Kind.BACKEND && rollout != null
        && rollout.state().steps().stream().anyMatch(x -> permit.request().equals(requestName(rollout.state(),
            x)))) {
      rollout.backendTakenOut(backend.name(), backend.startedMs());
    }
  }

  private void grantWaiting(Kind kind) {
    BudgetUsage usage = null;
    for (Permit permit : List.copyOf(permits.values())) {
      if (permit.stage() != Stage.WAITING || permit.subject().kind() != kind) {
        continue;
      }
      usage = usage == null ? budgetUsage(kind) : usage;
      String name = permit.subject().name();
      if (!usage.contains(name)) {
        // The subject is no longer known. Its permit keeps waiting in case the subject comes back.
        continue;
      }
      BudgetUsage.Denial denial = usage.denialFor(name);
      if (denial == null) {
        usage.takeOut(name);
        permits.put(permit.id(), permit.withStage(Stage.GRANTED, index));
      } else if (!denial.zoneOnly()) {
        return;
      }
    }
  }

  /** Whether the subject of the permit is known to receive no more requests. */
  private boolean isOut(Permit permit) {
    if (permit.subject().kind() == Kind.BACKEND) {
      return blockingProcesses(permit.subject()).isEmpty();
    }
    return processes.values().stream().filter(x -> x.door().equals(permit.subject().name()))
        .allMatch(x -> x.hasEnded() || x.doing() == Activity.EMPTY && x.seen() >= permit.since());
  }

  /**
   * Whether the subject is ready again, as reported by processes that knew of the return. This guards against
   * a door that reported READY before it learned of its permit, which would count as serving while it drains.
   * For a backend, unreachable doors are not waited for: they were waited for when the backend went out.
   */
  private boolean isBack(Permit permit) {
    String name = permit.subject().name();
    if (permit.subject().kind() == Kind.BACKEND) {
      Backend backend = backends.get(name);
      return backend != null && backend.serving()
          && processes.values().stream().allMatch(x -> nowMs >= x.untilMs() || x.seen() >= permit.since());
    }
    return processes.values().stream()
        .anyMatch(x -> x.door().equals(name) && x.isServing(nowMs) && x.seen() >= permit.since());
  }

  private BudgetUsage budgetUsage(Kind kind) {
    BudgetUsage usage = new BudgetUsage(settings.budgetFor(kind));
    Set<String> heldNames = new HashSet<>();
    permits.values().stream().filter(x -> x.countsAgainstBudget() && x.subject().kind() == kind)
        .forEach(x -> heldNames.add(x.subject().name()));
    if (kind == Kind.BACKEND) {
      backends.values().forEach(x -> usage.add(x.name(), x.zone(), x.weight(),
          !x.serving() || heldNames.contains(x.name())));
      return usage;
    }
    Map<String, DoorProcessState> doors = new LinkedHashMap<>();
    processes.values().forEach(x -> doors.merge(x.door(), x, (a, b) -> a.isServing(nowMs) ? a : b));
    doors.values().forEach(x -> usage.add(x.door(), x.zone(), x.weight(),
        !x.isServing(nowMs) || heldNames.contains(x.door())));
    return usage;
  }

  private Permit findPermit(String request) {
    return permits.values().stream().filter(x -> x.request().equals(request)).findFirst().orElse(null);
  }

  private Permit findPermit(Subject subject) {
    return permits.values().stream().filter(x -> x.subject().equals(subject)).findFirst().orElse(null);
  }

  /** The current status of a permit request. */
  public Outcome requestStatus(String request) {
    Permit permit = findPermit(request);
    if (permit == null) {
      return new Refused("no request is called " + request);
    }
    if (permit.countsAgainstBudget()) {
      return new Granted(permit.id());
    }
    Kind kind = permit.subject().kind();
    int place = 1 + (int) permits.values().stream().filter(x -> x.stage() == Stage.WAITING
        && x.subject().kind() == kind && x.id() < permit.id()).count();
    BudgetUsage usage = budgetUsage(kind);
    BudgetUsage.Denial denial = usage.contains(permit.subject().name())
        ? usage.denialFor(permit.subject().name()) : null;
    return new Waiting(permit.id(), place, denial == null ? "others wait before it" : denial.why());
  }

  /**
   * The view for the answer to a heartbeat of a process of a door.
   *
   * @param leaseMs for how many milliseconds the heartbeat counts, from its
   *     {@link HeartbeatsRecorded outcome}
   */
  public DoorView view(String door, String incarnation, double leaseMs) {
    DoorProcessState process = processes.get(door + "/" + incarnation);
    Permit doorPermit = findPermit(new Subject(Kind.DOOR, door));
    Step dueStep = rollout == null || doorPermit == null ? null
        : rollout.dueStep(door, doorPermit.stage() == Stage.OUT, nowMs);
    return new DoorView(index, permits.values().stream().filter(x -> x.subject().kind() == Kind.BACKEND
        ? x.countsAgainstBudget() : x.subject().name().equals(door)).toList(),
        process != null && !process.hasEnded(), leaseMs,
        dueStep == null ? 0 : dueStep.attempt(), dueStep == null ? "" : dueStep.version(), process != null
            && mustSendList(process));
  }

  /**
   * The processes that may still send to a backend that is going out, as door/incarnation; empty if it is
   * out.
   */
  public List<String> blockingProcesses(Subject backend) {
    Permit permit = findPermit(backend);
    return permit == null || permit.stage() != Stage.GRANTED ? List.of()
        : processes.values().stream().filter(x -> !x.hasEnded()).map(DoorProcessState::processName)
            .filter(x -> !permit.left().contains(x)).toList();
  }

  /** How many subjects of a kind are out, on purpose or because they failed. */
  public int out(Kind kind) {
    return budgetUsage(kind).outCount();
  }

  private void markEnded(Permit permit) {
    permits.remove(permit.id());
    markEnded(permit.request());
  }

  private void markEnded(String name) {
    if (endedNames.add(name) && endedNames.size() > MAX_ENDED_NAMES) {
      endedNames.remove(endedNames.iterator().next());
    }
  }

  private void addNote(String by, String what) {
    if (notes.size() >= MAX_NOTES) {
      notes.removeFirst();
    }
    notes.addLast(new Note(nowMs, by, what));
  }
}
