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
import willowdoor.agreement.Command.Ask;
import willowdoor.agreement.Command.Backend;
import willowdoor.agreement.Command.Beat;
import willowdoor.agreement.Command.Beats;
import willowdoor.agreement.Command.Configure;
import willowdoor.agreement.Command.Doing;
import willowdoor.agreement.Command.Forget;
import willowdoor.agreement.Command.Join;
import willowdoor.agreement.Command.Lead;
import willowdoor.agreement.Command.Leave;
import willowdoor.agreement.Command.Return;
import willowdoor.agreement.Command.Sight;
import willowdoor.agreement.Command.StartRelease;
import willowdoor.agreement.Command.SteerRelease;
import willowdoor.agreement.Outcome.Beaten;
import willowdoor.agreement.Outcome.Begun;
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
 * The record that the stewards agree on: which processes of which doors live, what may be out and what is.
 * Commands in, in the order of the log, and what they came to out. It does no I/O, reads no clock, starts no
 * thread and draws no chance: the same log gives the same record at every steward.
 *
 * <p>Its time goes by the leader's clock, by differences within a term: what passes between two leaders
 * counts as none, and {@link Lead} has every lease that is not over run its full length anew. So a steward's
 * view of a lease never ends before the door's own ({@link DoorLease}).
 *
 * <p>What is out by itself counts against the budget as what is out on purpose does: a door of which no
 * process is ready and reached, a backend that does not serve. A permit ends when its subject is seen ready
 * after its return. A backend is out once every process of every door has said that it sends nothing more;
 * one that can't be reached holds that up until it is, or until an operator has it forgotten, as it may still
 * reach the backend.
 *
 * <p>Permits are given in the order of asking. One that only its zone holds back is passed by those of other
 * zones; one that the whole holds back is passed by none, so nobody waits for ever behind smaller ones.
 */
public final class FleetRecord {

  /** Processes of doors; one more may not join. */
  static final int MOST_LIVES = 1_000;
  /** One more is refused. */
  static final int MOST_PERMITS = 1_000;
  /** Those that are listed after so many are not seen. */
  static final int MOST_BACKENDS = 10_000;
  /** The oldest goes first. */
  static final int MOST_NOTES = 1_000;
  /** Remembered of what has ended; the oldest goes first. */
  static final int MOST_OVER = 2_000;
  /** Releases that are kept, the one under way among them; the oldest goes first. */
  static final int MOST_RELEASES = 10;
  /** Wishes of a release that come of what its wishes before came to; never more than these turns. */
  private static final int MOST_TURNS = 4;

  private Terms terms;
  /** How many commands it has taken. */
  private long index;
  private double now;
  /** The leader's time of the last command; none before the first leader. */
  private double leader = Double.NaN;
  private long lastPermit;
  /** Which list of backends it has, and the record's time when it was told. */
  private Command.Listed sight = Command.Listed.NONE;
  private double sightAt;
  private final Map<String, Life> lives = new LinkedHashMap<>();
  private final Map<String, Backend> backends = new LinkedHashMap<>();
  private final Map<Long, Permit> permits = new TreeMap<>();
  private final Deque<Note> notes = new ArrayDeque<>();
  /** Names of requests and of processes that have ended: a message of theirs that comes late does nothing. */
  private final Set<String> over = new LinkedHashSet<>();
  /** Releases that have ended. */
  private final Deque<Release> ended = new ArrayDeque<>();
  /** The last release; null before the first. */
  private Rollout rollout;

  /** Knows nothing yet. */
  public FleetRecord(Terms terms) {
    this.terms = terms;
  }

  /** Goes on from a snapshot. */
  public FleetRecord(State state) {
    terms = state.terms();
    index = state.index();
    now = state.nowMs();
    leader = state.leaderMs();
    lastPermit = state.lastPermit();
    sight = state.sight();
    sightAt = state.sightMs();
    state.lives().forEach(x -> lives.put(x.name(), x));
    state.backends().forEach(x -> backends.put(x.name(), x));
    state.permits().forEach(x -> permits.put(x.id(), x));
    notes.addAll(state.notes());
    over.addAll(state.over());
    ended.addAll(state.releases());
    rollout = ended.isEmpty() ? null : new Rollout(ended.removeLast());
  }

  /** All that it knows. */
  public State state() {
    return new State(terms, index, now, leader, lastPermit, sight, sightAt,
        List.copyOf(lives.values()), List.copyOf(backends.values()), List.copyOf(permits.values()),
        List.copyOf(notes), List.copyOf(over), releases());
  }

  private List<Release> releases() {
    List<Release> all = new ArrayList<>(ended);
    if (rollout != null) {
      all.add(rollout.state());
    }
    return all;
  }

  /** Takes the next command of the log. */
  public Outcome on(Command command) {
    index++;
    pass(command);
    Outcome outcome = done(command);
    settle();
    carryOn();
    // Whether an asker waits or goes shows only once all that has ended made room.
    return outcome == null ? told(((Ask) command).request()) : outcome;
  }

  private void pass(Command command) {
    if (command instanceof Lead) {
      // One that was over is over: to have it run anew would count a door as serving that is dead.
      lives.replaceAll((name, x) -> now < x.untilMs() ? x.until(now + terms.leaseMs()) : x);
      leader = command.atMs();
    } else if (command.atMs() > leader) {
      now += command.atMs() - leader;
      leader = command.atMs();
    }
  }

  private Outcome done(Command command) {
    if (command instanceof Ask e) {
      return ask(e);
    } else if (command instanceof Return e) {
      return giveBack(e);
    } else if (command instanceof Beats e) {
      return beats(e);
    } else if (command instanceof Join e) {
      return join(e);
    } else if (command instanceof Forget e) {
      return forget(e);
    } else if (command instanceof Leave e) {
      leave(e);
    } else if (command instanceof Sight e) {
      return sight(e);
    } else if (command instanceof StartRelease e) {
      return start(e);
    } else if (command instanceof SteerRelease e) {
      return steer(e);
    } else if (command instanceof Configure e) {
      terms = e.terms();
    }
    return new Done();
  }

  /**
   * One of an older version is believed where no door that is reached goes by the newer one any more: the
   * list counts anew. What comes late all the same, or gets lost, is mended by {@link View#tellList}.
   */
  private Outcome sight(Sight e) {
    if (e.version() < sight.version() && newest() >= sight.version()) {
      return new Refused("version " + e.version() + " of the list of backends is older than "
          + sight.version());
    }
    sight = Command.Listed.of(e.version(), e.backends());
    sightAt = now;
    Map<String, Backend> missed = new LinkedHashMap<>(backends);
    backends.clear();
    e.backends().stream().limit(MOST_BACKENDS).forEach(x -> backends.put(x.name(), x));
    missed.keySet().removeAll(backends.keySet());
    missed.values().stream().filter(this::isMissed).forEach(x -> backends.put(x.name(), x.gone(now)));
    return new Done();
  }

  /** The newest list that any door goes by, of those that are reached. */
  private long newest() {
    return lives.values().stream().filter(x -> x.reached(now)).mapToLong(x -> x.listed().version()).max()
        .orElse(Command.Listed.NONE.version());
  }

  /**
   * Whether this process is the first of those with the newest list to have another than the record. Asked
   * for once a lease: doors may see one list differently for long.
   */
  private boolean hasAnotherList(Life life) {
    long newest = newest();
    return newest >= 0 && now - sightAt >= terms.leaseMs() && lives.values().stream()
        .filter(x -> x.reached(now) && x.listed().version() == newest && !x.listed().equals(sight))
        .findFirst().filter(x -> x == life).isPresent();
  }

  /**
   * Whether a backend that is listed no more still counts, as one that is out: it went out on purpose and is
   * restarted, or it got another version, may have died of it, and would come back with it. Any other may
   * have gone for good. Guards against an old list that comes late, too.
   */
  private boolean isMissed(Backend x) {
    Permit permit = permitOf(new Subject(Kind.BACKEND, x.name()));
    Release r = rollout == null ? null : rollout.state();
    return permit != null && permit.holds() || r != null && r.mode() != Mode.ENDED
        && r.plan().of() == Plan.Kind.BACKENDS && r.plan().to().equals(r.versions().get(x.name()));
  }

  /**
   * Who holds what one process can hold ends those that held it before, and nobody else: others may wait for
   * it. Guards against a word of an earlier holder that comes late.
   */
  private Outcome join(Join e) {
    String name = e.door() + "/" + e.incarnation();
    long holder = lives.values().stream().filter(x -> x.door().equals(e.door())).mapToLong(Life::generation)
        .max().orElse(0);
    if (over.contains(name) || e.generation() > 0 && e.generation() < holder) {
      return new Refused("process " + name + " has ended");
    }
    List<String> gone = lives.values().stream().filter(x -> x.door().equals(e.door())
        && !x.name().equals(name) && (x.ended() || x.generation() > 0 && x.generation() < e.generation()))
        .map(Life::name).toList();
    gone.forEach(this::end);
    lives.keySet().removeAll(gone);
    if (lives.containsKey(name)) {
      lives.computeIfPresent(name, (x, life) -> life.holds(Math.max(life.generation(), e.generation())));
      return new Done();
    }
    if (lives.size() >= MOST_LIVES) {
      return new Refused(MOST_LIVES + " processes of doors are known already");
    }
    lives.put(name, new Life(e.door(), e.incarnation(), e.zone(), e.weight(), e.generation(), e.version(),
        Doing.STARTING, now + terms.leaseMs(), 0, 0, Command.Report.NONE, now, Command.Listed.NONE));
    return new Done();
  }

  /** The door stays known, as one that is out, until another process of it joins or it is forgotten. */
  private void leave(Leave e) {
    end(e.door() + "/" + e.incarnation());
    lives.computeIfPresent(e.door() + "/" + e.incarnation(), (name, x) -> x.end());
    boolean others = lives.values().stream().anyMatch(x -> x.door().equals(e.door()) && !x.ended());
    lives.values().removeIf(x -> x.door().equals(e.door()) && x.ended() && others);
  }

  private Outcome beats(Beats e) {
    List<String> strangers = new ArrayList<>();
    for (Beat beat : e.beats()) {
      String name = beat.door() + "/" + beat.incarnation();
      Life life = lives.get(name);
      if (life == null || life.ended()) {
        strangers.add(name);
      } else if (beat.number() > life.number()) {
        // One that another has overtaken tells nothing new.
        compare(life, beat);
        lives.put(name, life.says(beat, now, now + terms.leaseMs()));
        beat.left().forEach(id -> permits.computeIfPresent(id, (i, permit) -> leaves(permit, name)));
      }
    }
    return new Beaten(strangers, terms.leaseMs());
  }

  /**
   * Figures of a door that has been ready for a while. Those that come after a silence of a lease or more are
   * of a door that was stopped or cut off, and say nothing of its version.
   */
  private void compare(Life life, Beat beat) {
    if (rollout != null && life.doing() == Doing.READY && beat.doing() == Doing.READY && life.reached(now)
        && now - life.readyMs() >= rollout.state().plan().settleMs()) {
      rollout.addTally(life.door(), life.version(), beat.report().tally().since(life.report().tally()), now);
    }
  }

  private static Permit leaves(Permit permit, String life) {
    if (permit.stage() != Stage.GRANTED || permit.subject().kind() != Kind.BACKEND) {
      return permit;
    }
    Set<String> left = new HashSet<>(permit.left());
    left.add(life);
    return permit.with(left);
  }

  private Outcome forget(Forget e) {
    if (over.contains(e.request())) {
      return new Done();
    }
    end(e.request());
    if (e.door().startsWith(Forget.BACKEND)) {
      return forgetBackend(e, e.door().substring(Forget.BACKEND.length()));
    }
    if (!lives.values().removeIf(x -> x.door().equals(e.door()) || x.name().equals(e.door()))) {
      return new Refused("no door or process is called " + e.door());
    }
    note(e.by(), "has " + e.door() + " forgotten: it counts as sending nothing");
    return new Done();
  }

  private Outcome forgetBackend(Forget e, String name) {
    Backend known = backends.get(name);
    if (known == null || known.listed()) {
      return new Refused("backend " + name + (known == null ? " is not known" : " is listed (expected: one"
          + " that went out and is listed no more; the permit of this one can be given back)"));
    }
    backends.remove(name);
    Permit permit = permitOf(new Subject(Kind.BACKEND, name));
    if (permit != null) {
      end(permit);
    }
    note(e.by(), "has backend " + name + " forgotten: it is not expected back");
    return new Done();
  }

  private Outcome ask(Ask e) {
    if (permitOf(e.request()) != null) {
      return null;
    }
    if (over.contains(e.request())) {
      return new Refused("request " + e.request() + " is over");
    }
    Permit other = permitOf(e.subject());
    if (other != null) {
      return new Refused(e.subject() + " is " + other.stage().name().toLowerCase(java.util.Locale.ROOT)
          + " already, asked for by " + other.by() + ": " + other.reason());
    }
    if (!outs(e.subject().kind()).knows(e.subject().name())) {
      return new Refused("no " + e.subject() + " is known");
    }
    if (permits.size() >= MOST_PERMITS) {
      return new Refused(MOST_PERMITS + " permits are asked for already");
    }
    lastPermit++;
    permits.put(lastPermit, new Permit(lastPermit, e.request(), e.subject(), e.by(), e.reason(), e.force(),
        e.force() ? Stage.GRANTED : Stage.WAITING, index, Set.of()));
    if (e.force()) {
      note(e.by(), "takes out " + e.subject() + " by force: " + e.reason());
    }
    return null;
  }

  private Outcome giveBack(Return e) {
    Permit permit = permitOf(e.subject());
    if (permit == null || permit.id() != e.permit()) {
      return new Refused("permit " + e.permit() + " is over" + (permit == null ? "" : "; " + e.subject()
          + " is " + permit.stage().name().toLowerCase(java.util.Locale.ROOT) + " by permit " + permit.id()));
    }
    if (rollout != null && rollout.state().plan().of() == Plan.Kind.DOORS
        && !e.by().equals(asker(rollout.state()))
        && rollout.state().steps().stream().anyMatch(x -> permit.request().equals(request(rollout.state(),
            x)))) {
      return new Refused("permit " + permit.id() + " is of " + permit.by() + ", which gives it back once the"
          + " door's step is over: pause or halt that");
    }
    if (permit.stage() == Stage.WAITING) {
      end(permit);
    } else {
      permits.put(permit.id(), permit.at(Stage.RETURNING, index));
    }
    return new Done();
  }

  private Outcome start(StartRelease e) {
    Release last = rollout == null ? null : rollout.state();
    for (Release x : releases()) {
      if (x.request().equals(e.request())) {
        return new Begun(x.id());
      }
    }
    if (over.contains(e.request())) {
      return new Refused("request " + e.request() + " is over");
    }
    if (last != null && last.mode() != Mode.ENDED) {
      return new Refused("release " + last.id() + " of " + last.plan().to() + ", begun by " + last.by()
          + ", is "
          + last.mode().name().toLowerCase(java.util.Locale.ROOT) + ": " + last.why());
    }
    long id = last == null ? 1 : last.id() + 1;
    try {
      Rollout next = Rollout.begin(id, e.request(), e.by(), e.plan(), now, e.plan().of() == Plan.Kind.DOORS
          ? seen(null) : backends.values().stream().map(x -> seen(x, null, e.plan().from())).toList(),
              last == null ? 0 : last.attempts());
      if (last != null) {
        ended.addLast(last);
      }
      if (ended.size() >= MOST_RELEASES) {
        ended.removeFirst();
      }
      rollout = next;
    } catch (IllegalArgumentException wrong) {
      return new Refused(wrong.getMessage());
    }
    end(e.request());
    note(e.by(), "begins release " + id + " of " + e.plan().to() + " over " + e.plan().from());
    return new Begun(id);
  }

  private Outcome steer(SteerRelease e) {
    if (over.contains(e.request())) {
      return new Done();
    }
    Release r = rollout == null ? null : rollout.state();
    if (r == null || r.id() != e.release() || r.mode() == Mode.ENDED) {
      return new Refused(r == null ? "there is no release" : "release " + e.release() + " is over");
    }
    end(e.request());
    switch (e.steering()) {
      case PAUSE -> rollout.pause(e.by());
      case HALT -> rollout.halt("halted by " + e.by());
      case RESUME -> rollout.resume(e.by(), now);
      case BACK -> rollout.rollBack(e.by(), now);
      default -> throw new IllegalStateException(e.steering().name());
    }
    note(e.by(), "has release " + e.release() + " " + e.steering().name().toLowerCase(java.util.Locale.ROOT));
    return new Done();
  }

  /** What a release wishes for is done as if somebody had asked for it, until it wishes for nothing more. */
  private void carryOn() {
    for (int turn = 0; rollout != null && rollout.state().mode() != Mode.ENDED && turn < MOST_TURNS; turn++) {
      Mode before = rollout.state().mode();
      List<PermitAction> wishes = rollout.advance(now, index, seenNow(rollout.state()));
      if (rollout.state().mode() != before) {
        note(asker(rollout.state()), rollout.state().why());
      }
      for (PermitAction wish : wishes) {
        wished(wish);
      }
      if (wishes.isEmpty()) {
        return;
      }
      settle();
    }
  }

  private void wished(PermitAction wish) {
    if (wish instanceof PermitAction.RequestPermit e) {
      String by = asker(rollout.state());
      ask(new Ask(now, request(rollout.state(), e.step()), new Subject(kind(rollout.state()),
          e.step().door()), by,
          e.step().version(), false));
    } else if (wish instanceof PermitAction.ReturnPermit e) {
      Permit permit = permitOf(request(rollout.state(), e.step()));
      if (permit != null) {
        giveBack(new Return(now, permit.subject(), permit.id(), asker(rollout.state())));
      }
    }
  }

  /** How a release is called as the one who asks. */
  private static String asker(Release release) {
    return "release " + release.id();
  }

  private static String request(Release release, Step step) {
    return "release-" + release.id() + "-" + step.attempt() + "-" + step.door();
  }

  private static Kind kind(Release release) {
    return release.plan().of() == Plan.Kind.DOORS ? Kind.DOOR : Kind.BACKEND;
  }

  private List<TargetStatus> seenNow(Release release) {
    if (release.plan().of() == Plan.Kind.DOORS) {
      return seen(release);
    }
    return backends.values().stream().map(x -> seen(x, release, release.versions()
        .getOrDefault(x.name(), release.plan().from()))).toList();
  }

  /**
   * A backend as a release sees it; null for one that is yet to begin. Once it is out somebody may be about
   * to restart it, and what starts then has the version that it went out for. One that is away for that is
   * not lost.
   */
  private TargetStatus seen(Backend backend, Release release, String before) {
    Permit permit = permitOf(new Subject(Kind.BACKEND, backend.name()));
    Step step = release == null ? null : release.steps().stream().filter(x -> x.door().equals(backend.name()))
        .findFirst().orElse(null);
    boolean own = permit != null && step != null && permit.request().equals(request(release, step));
    Double startedMs = release == null ? null : release.started().get(backend.name());
    boolean anew = own && startedMs != null && backend.startedMs() > 0 && backend.startedMs() != startedMs;
    return new TargetStatus(backend.name(), backend.zone(), anew ? step.version() : before, backend.serving(),
        own || backend.listed() ? 0 : now + backend.startedMs() + 1,
        own && permit.stage() == Stage.OUT ? step.attempt() : 0, 0, index, held(own ? permit : null),
        permit != null && !own, own && permit.stage() == Stage.WAITING
            && told(permit.request()) instanceof Waiting w ? w.why() : "");
  }

  /** The doors as a release sees them; null for a release that is yet to begin. */
  private List<TargetStatus> seen(Release release) {
    Map<String, List<Life>> doors = new LinkedHashMap<>();
    lives.values().forEach(x -> doors.computeIfAbsent(x.door(), d -> new ArrayList<>()).add(x));
    Map<String, Step> steps = new java.util.HashMap<>();
    if (release != null) {
      release.steps().forEach(x -> steps.put(x.door(), x));
    }
    List<TargetStatus> all = new ArrayList<>(doors.size());
    doors.forEach((door, processes) -> {
      Permit permit = permitOf(new Subject(Kind.DOOR, door));
      boolean own = permit != null && steps.containsKey(door)
          && permit.request().equals(request(release, steps.get(door)));
      String version = "";
      double lost = Double.POSITIVE_INFINITY;
      long trying = 0;
      long failed = 0;
      long knows = Long.MAX_VALUE;
      for (Life x : processes) {
        if (x.reached(now)) {
          version = x.doing() == Doing.STARTING ? version : x.version();
          trying = Math.max(trying, x.report().trying());
          failed = Math.max(failed, x.report().failed());
          knows = Math.min(knows, x.seen());
          lost = 0;
        } else if (!x.ended()) {
          lost = Math.min(lost, now - x.untilMs() + 1);
        }
      }
      String has = version;
      // One of another version may serve beside it, reached or not: which one the door has is not settled.
      version = processes.stream().anyMatch(x -> x.doing() == Doing.READY && !x.version().equals(has)) ? ""
          : has;
      all.add(new TargetStatus(door, processes.get(0).zone(), version, processes.stream().anyMatch(x ->
          x.serves(now)),
          lost, trying, failed, knows, held(own ? permit : null), permit != null && !own,
          own && permit.stage() == Stage.WAITING && told(permit.request()) instanceof Waiting w ? w.why()
              : ""));
    });
    return all;
  }

  private static PermitState held(Permit permit) {
    return permit == null ? PermitState.NONE : switch (permit.stage()) {
      case WAITING -> PermitState.WAITING;
      case GRANTED, OUT -> PermitState.GRANTED;
      case RETURNING -> PermitState.RETURNING;
    };
  }

  /** What has ended makes room, then those who wait take it. */
  private void settle() {
    for (Permit permit : List.copyOf(permits.values())) {
      if (permit.stage() == Stage.RETURNING && isBack(permit)) {
        end(permit);
      } else if (permit.stage() == Stage.GRANTED && gone(permit)) {
        permits.put(permit.id(), permit.at(Stage.OUT, index));
        out(permit);
      }
    }
    for (Kind kind : Kind.values()) {
      grant(kind);
    }
  }

  private void out(Permit permit) {
    Backend backend = backends.get(permit.subject().name());
    if (backend != null && permit.subject().kind() == Kind.BACKEND && rollout != null
        && rollout.state().steps().stream().anyMatch(x -> permit.request().equals(request(rollout.state(),
            x)))) {
      rollout.backendTakenOut(backend.name(), backend.startedMs());
    }
  }

  private void grant(Kind kind) {
    Outs outs = null;
    for (Permit permit : List.copyOf(permits.values())) {
      if (permit.stage() != Stage.WAITING || permit.subject().kind() != kind) {
        continue;
      }
      outs = outs == null ? outs(kind) : outs;
      String name = permit.subject().name();
      if (!outs.knows(name)) {
        // It is listed no more. Its turn comes if it is again.
        continue;
      }
      Outs.Held held = outs.holdsBack(name);
      if (held == null) {
        outs.take(name);
        permits.put(permit.id(), permit.at(Stage.GRANTED, index));
      } else if (!held.byZone()) {
        return;
      }
    }
  }

  /** Whether nothing is sent to it any more, by all that is known. */
  private boolean gone(Permit permit) {
    if (permit.subject().kind() == Kind.BACKEND) {
      return holdUp(permit.subject()).isEmpty();
    }
    return lives.values().stream().filter(x -> x.door().equals(permit.subject().name()))
        .allMatch(x -> x.ended() || x.doing() == Doing.EMPTY && x.seen() >= permit.since());
  }

  /**
   * Seen ready by those who knew of the return. Guards against a door that said READY before it had heard
   * that it may go out: it would be counted as serving while it drains. Doors that aren't reached are not
   * waited for; they were waited for when the backend went.
   */
  private boolean isBack(Permit permit) {
    String name = permit.subject().name();
    if (permit.subject().kind() == Kind.BACKEND) {
      Backend backend = backends.get(name);
      return backend != null && backend.serving()
          && lives.values().stream().allMatch(x -> now >= x.untilMs() || x.seen() >= permit.since());
    }
    return lives.values().stream()
        .anyMatch(x -> x.door().equals(name) && x.serves(now) && x.seen() >= permit.since());
  }

  private Outs outs(Kind kind) {
    Outs outs = new Outs(terms.of(kind));
    Set<String> held = new HashSet<>();
    permits.values().stream().filter(x -> x.holds() && x.subject().kind() == kind)
        .forEach(x -> held.add(x.subject().name()));
    if (kind == Kind.BACKEND) {
      backends.values().forEach(x -> outs.add(x.name(), x.zone(), x.weight(),
          !x.serving() || held.contains(x.name())));
      return outs;
    }
    Map<String, Life> doors = new LinkedHashMap<>();
    lives.values().forEach(x -> doors.merge(x.door(), x, (a, b) -> a.serves(now) ? a : b));
    doors.values().forEach(x -> outs.add(x.door(), x.zone(), x.weight(),
        !x.serves(now) || held.contains(x.door())));
    return outs;
  }

  private Permit permitOf(String request) {
    return permits.values().stream().filter(x -> x.request().equals(request)).findFirst().orElse(null);
  }

  private Permit permitOf(Subject subject) {
    return permits.values().stream().filter(x -> x.subject().equals(subject)).findFirst().orElse(null);
  }

  /** How a request stands. */
  public Outcome told(String request) {
    Permit permit = permitOf(request);
    if (permit == null) {
      return new Refused("no request is called " + request);
    }
    if (permit.holds()) {
      return new Granted(permit.id());
    }
    Kind kind = permit.subject().kind();
    int place = 1 + (int) permits.values().stream().filter(x -> x.stage() == Stage.WAITING
        && x.subject().kind() == kind && x.id() < permit.id()).count();
    Outs outs = outs(kind);
    Outs.Held held = outs.knows(permit.subject().name()) ? outs.holdsBack(permit.subject().name()) : null;
    return new Waiting(permit.id(), place, held == null ? "others wait before it" : held.why());
  }

  /**
   * What a process of a door is told.
   *
   * @param leaseMs what its heartbeat came to
   */
  public View view(String door, String incarnation, double leaseMs) {
    Life life = lives.get(door + "/" + incarnation);
    Permit own = permitOf(new Subject(Kind.DOOR, door));
    Step due = rollout == null || own == null ? null
        : rollout.dueStep(door, own.stage() == Stage.OUT, now);
    return new View(index, permits.values().stream().filter(x -> x.subject().kind() == Kind.BACKEND
        ? x.holds() : x.subject().name().equals(door)).toList(), life != null && !life.ended(), leaseMs,
        due == null ? 0 : due.attempt(), due == null ? "" : due.version(), life != null
            && hasAnotherList(life));
  }

  /** The processes that hold up a backend's going out, as door/incarnation; none for what is out. */
  public List<String> holdUp(Subject backend) {
    Permit permit = permitOf(backend);
    return permit == null || permit.stage() != Stage.GRANTED ? List.of()
        : lives.values().stream().filter(x -> !x.ended()).map(Life::name)
            .filter(x -> !permit.left().contains(x)).toList();
  }

  /** How many of a kind are out, on purpose or by themselves. */
  public int out(Kind kind) {
    return outs(kind).count();
  }

  private void end(Permit permit) {
    permits.remove(permit.id());
    end(permit.request());
  }

  private void end(String name) {
    if (over.add(name) && over.size() > MOST_OVER) {
      over.remove(over.iterator().next());
    }
  }

  private void note(String by, String what) {
    if (notes.size() >= MOST_NOTES) {
      notes.removeFirst();
    }
    notes.addLast(new Note(now, by, what));
  }
}
