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
import willowdoor.agreement.Outcome.Beaten;
import willowdoor.agreement.Outcome.Done;
import willowdoor.agreement.Outcome.Granted;
import willowdoor.agreement.Outcome.Refused;
import willowdoor.agreement.Outcome.Waiting;
import willowdoor.agreement.Permit.Stage;
import willowdoor.agreement.Subject.Kind;

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

  private Terms terms;
  /** How many commands it has taken. */
  private long index;
  private double now;
  /** The leader's time of the last command; none before the first leader. */
  private double leader = Double.NaN;
  private long lastPermit;
  /** The version of the list of backends, and the record's time when it was told. */
  private long sightVersion;
  private double sightAt = Double.NEGATIVE_INFINITY;
  private final Map<String, Life> lives = new LinkedHashMap<>();
  private final Map<String, Backend> backends = new LinkedHashMap<>();
  private final Map<Long, Permit> permits = new TreeMap<>();
  private final Deque<Note> notes = new ArrayDeque<>();
  /** Names of requests and of processes that have ended: a message of theirs that comes late does nothing. */
  private final Set<String> over = new LinkedHashSet<>();

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
    sightVersion = state.sightVersion();
    sightAt = state.sightMs();
    state.lives().forEach(x -> lives.put(x.name(), x));
    state.backends().forEach(x -> backends.put(x.name(), x));
    state.permits().forEach(x -> permits.put(x.id(), x));
    notes.addAll(state.notes());
    over.addAll(state.over());
  }

  /** All that it knows. */
  public State state() {
    return new State(terms, index, now, leader, lastPermit, sightVersion, sightAt,
        List.copyOf(lives.values()), List.copyOf(backends.values()), List.copyOf(permits.values()),
        List.copyOf(notes), List.copyOf(over));
  }

  /** Takes the next command of the log. */
  public Outcome on(Command command) {
    index++;
    pass(command);
    Outcome outcome = done(command);
    settle();
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
    } else if (command instanceof Configure e) {
      terms = e.terms();
    }
    return new Done();
  }

  /** One of an older version is believed where none newer came for a lease: the list counts anew. */
  private Outcome sight(Sight e) {
    if (e.version() < sightVersion && now - sightAt < terms.leaseMs()) {
      return new Refused("version " + e.version() + " of the list of backends is older than " + sightVersion);
    }
    sightVersion = e.version();
    sightAt = now;
    backends.clear();
    e.backends().stream().limit(MOST_BACKENDS).forEach(x -> backends.put(x.name(), x));
    return new Done();
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
    lives.put(name, new Life(e.door(), e.incarnation(), e.zone(), e.weight(), e.generation(), Doing.STARTING,
        now + terms.leaseMs(), 0, 0));
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
        lives.put(name, life.says(beat, now + terms.leaseMs()));
        beat.left().forEach(id -> permits.computeIfPresent(id, (i, permit) -> leaves(permit, name)));
      }
    }
    return new Beaten(strangers, terms.leaseMs());
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
    if (!lives.values().removeIf(x -> x.door().equals(e.door()) || x.name().equals(e.door()))) {
      return new Refused("no door or process is called " + e.door());
    }
    note(e.by(), "has " + e.door() + " forgotten: it counts as sending nothing");
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
    if (permit.stage() == Stage.WAITING) {
      end(permit);
    } else {
      permits.put(permit.id(), permit.at(Stage.RETURNING, index));
    }
    return new Done();
  }

  /** What has ended makes room, then those who wait take it. */
  private void settle() {
    for (Permit permit : List.copyOf(permits.values())) {
      if (permit.stage() == Stage.RETURNING && isBack(permit)) {
        end(permit);
      } else if (permit.stage() == Stage.GRANTED && gone(permit)) {
        permits.put(permit.id(), permit.at(Stage.OUT, index));
      }
    }
    for (Kind kind : Kind.values()) {
      grant(kind);
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
    return new View(index, permits.values().stream().filter(x -> x.subject().kind() == Kind.BACKEND
        ? x.holds() : x.subject().name().equals(door)).toList(), life != null && !life.ended(), leaseMs);
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
