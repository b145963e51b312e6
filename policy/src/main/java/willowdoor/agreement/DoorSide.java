package willowdoor.agreement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import willowdoor.agreement.Command.Beat;
import willowdoor.agreement.Command.Doing;
import willowdoor.agreement.Command.Report;
import willowdoor.agreement.DoorAction.Drain;
import willowdoor.agreement.DoorAction.PutBack;
import willowdoor.agreement.DoorAction.Remember;
import willowdoor.agreement.DoorAction.Replace;
import willowdoor.agreement.DoorAction.SendAsk;
import willowdoor.agreement.DoorAction.SendBeat;
import willowdoor.agreement.DoorAction.SendJoin;
import willowdoor.agreement.DoorAction.TakeOut;
import willowdoor.agreement.DoorAction.Tell;
import willowdoor.agreement.DoorAction.TellList;
import willowdoor.agreement.DoorAction.Told;
import willowdoor.agreement.DoorAction.Undrain;
import willowdoor.agreement.DoorAction.WakeAt;
import willowdoor.agreement.DoorEvent.Answered;
import willowdoor.agreement.DoorEvent.Asked;
import willowdoor.agreement.DoorEvent.CameToNothing;
import willowdoor.agreement.DoorEvent.Counted;
import willowdoor.agreement.DoorEvent.Does;
import willowdoor.agreement.DoorEvent.LetGo;
import willowdoor.agreement.DoorEvent.Said;
import willowdoor.agreement.DoorEvent.Sees;
import willowdoor.agreement.Outcome.Refused;
import willowdoor.agreement.Permit.Stage;
import willowdoor.agreement.Subject.Kind;
import willowdoor.rollout.Tally;

/**
 * A door's part in what the fleet agrees on: events and its monotonic time in, actions out. It does no I/O,
 * reads no clock and starts no thread.
 *
 * <p>Without contact the door goes on as it is: it serves, what it believes to be out stays out, a drain
 * under way goes on. It begins nothing on the word of others unless its lease holds by its own clock at that
 * very moment, so what is read by a process that had been stopped meanwhile makes it do nothing late; the
 * next heartbeat brings what is true then. A backend that may be sent to again waits for the same.
 */
public final class DoorSide {

  /** Requests of operators that wait at once; one more is refused. */
  static final int MOST_ASKED = 64;
  /** An operator has an answer within this. */
  static final double ANSWER_MS = 900;
  /** Heartbeats whose answer is still taken. */
  private static final int MOST_SENT = 16;
  /** Of a lease, between two heartbeats: some may be lost. */
  private static final double PACE = 1.0 / 6;
  /** Until it is told how long a lease is. */
  private static final double FIRST_PACE_MS = 200;

  private final String door;
  private final String incarnation;
  private final String version;
  /** The attempt of a release that this process was started for; 0 for none. */
  private final long successorOf;
  private final DoorLease lease;
  private double paceMs = FIRST_PACE_MS;
  private Doing doing = Doing.STARTING;
  private double beatAt = Double.NEGATIVE_INFINITY;
  private double heardAt = Double.NEGATIVE_INFINITY;
  private long number;
  private long seen;
  /** When each heartbeat went, the oldest first. */
  private final Map<Long, Double> sent = new LinkedHashMap<>();
  /** Backends that are out by the record, with their permits. */
  private final Map<String, Long> out = new HashMap<>();
  /** Of those, the ones with no attempt of this door out. */
  private final Map<String, Long> left = new HashMap<>();
  private boolean drained;
  private boolean told;
  private long trying;
  private long failed;
  private Tally tally = Tally.NONE;
  private Command.Listed listed = Command.Listed.NONE;
  /** When the answer is due that an operator waits for. */
  private final Map<String, Double> asked = new LinkedHashMap<>();

  /**
   * For a process of a door.
   *
   * @param drift the most that a clock runs wrong, as a part of the time that passes
   * @param remembered backends that were out, with their permits, by what a process before it kept: to this
   *     one they are out from the start
   * @param version of the program, as releases name it
   * @param successorOf the attempt of a release that this process was started for, or 0
   */
  public DoorSide(String door, String incarnation, double drift, Map<String, Long> remembered, String version,
      long successorOf) {
    out.putAll(remembered);
    this.version = version;
    this.successorOf = successorOf;
    this.door = door;
    this.incarnation = incarnation;
    lease = new DoorLease(drift);
  }

  /** Takes an event at its time. */
  public List<DoorAction> on(double nowMs, DoorEvent event) {
    List<DoorAction> actions = new ArrayList<>();
    if (event instanceof Does e) {
      // Said at once: others count on it.
      beatAt = e.doing() == doing ? beatAt : Double.NEGATIVE_INFINITY;
      doing = e.doing();
    } else if (event instanceof Answered e) {
      answered(nowMs, e, actions);
    } else if (event instanceof LetGo e) {
      letGo(e.backend());
    } else if (event instanceof Counted e) {
      tally = e.tally();
    } else if (event instanceof Sees e) {
      listed = e.listed();
    } else if (event instanceof CameToNothing e && e.attempt() == trying) {
      failed = trying;
      beatAt = Double.NEGATIVE_INFINITY;
    } else if (event instanceof Asked e) {
      ask(nowMs, e, actions);
    } else if (event instanceof Said e && asked.remove(e.request()) != null) {
      actions.add(new Tell(e.request(), e.outcome()));
    }
    overdue(nowMs, actions);
    beat(nowMs, actions);
    return actions;
  }

  /** Whether what needs agreement may begin now. */
  public boolean inContact(double nowMs) {
    return lease.holds(nowMs);
  }

  private void answered(double nowMs, Answered e, List<DoorAction> actions) {
    Double at = sent.remove(e.number());
    if (at == null) {
      return;
    }
    if (!e.view().known()) {
      actions.add(new SendJoin());
      return;
    }
    lease.agreed(at, e.view().leaseMs());
    paceMs = e.view().leaseMs() * PACE;
    heardAt = nowMs;
    // An answer that another has overtaken, or that was read too late, is not acted on.
    if (e.view().index() <= seen || !lease.holds(nowMs)) {
      return;
    }
    if (e.view().tellList()) {
      actions.add(new TellList());
    }
    boolean first = seen == 0;
    seen = e.view().index();
    backends(e.view().permits(), first, actions);
    own(e.view().permits(), actions);
    follow(e.view(), actions);
  }

  /**
   * A process that was started for an attempt serves only on the word that it still stands: it may have been
   * halted, or another begun, while this one started. Each attempt is begun once by a process.
   */
  private void follow(View view, List<DoorAction> actions) {
    if (!told && (successorOf == 0 || view.attempt() == successorOf)) {
      told = true;
      actions.add(new Told());
    }
    if (told && view.attempt() > trying && !view.version().equals(version)) {
      trying = view.attempt();
      actions.add(new Replace(view.attempt(), view.version()));
      // Said at once: what has begun is not taken back.
      beatAt = Double.NEGATIVE_INFINITY;
    }
  }

  private void backends(List<Permit> permits, boolean first, List<DoorAction> actions) {
    Map<String, Long> now = permits.stream().filter(x -> x.subject().kind() == Kind.BACKEND
        && (x.stage() == Stage.GRANTED || x.stage() == Stage.OUT))
        .collect(Collectors.toMap(x -> x.subject().name(), Permit::id, Math::max, LinkedHashMap::new));
    if (first || !now.equals(out)) {
      actions.add(new Remember(now));
    }
    for (String backend : List.copyOf(out.keySet())) {
      if (!now.containsKey(backend)) {
        out.remove(backend);
        left.remove(backend);
        actions.add(new PutBack(backend));
      }
    }
    now.forEach((backend, id) -> {
      Long before = out.put(backend, id);
      if (before == null) {
        actions.add(new TakeOut(backend));
      } else if (!before.equals(id) && left.containsKey(backend)) {
        // Back and out again while this door heard nothing: to it, it was out all along.
        left.put(backend, id);
      }
    });
  }

  private void own(List<Permit> permits, List<DoorAction> actions) {
    boolean out = permits.stream().anyMatch(x -> x.subject().equals(new Subject(Kind.DOOR, door))
        && (x.stage() == Stage.GRANTED || x.stage() == Stage.OUT));
    if (out != drained) {
      drained = out;
      actions.add(out ? new Drain() : new Undrain());
    }
  }

  private void letGo(String backend) {
    Long permit = out.get(backend);
    if (permit != null && !permit.equals(left.put(backend, permit))) {
      beatAt = Double.NEGATIVE_INFINITY;
    }
  }

  private void ask(double nowMs, Asked e, List<DoorAction> actions) {
    if (asked.containsKey(e.request())) {
      return;
    }
    if (!lease.holds(nowMs)) {
      actions.add(new Tell(e.request(), new Refused("the stewards have not been heard for "
          + (heardAt == Double.NEGATIVE_INFINITY ? "the whole of this process's life"
              : Math.round(nowMs - heardAt) + " ms") + ", so nothing can be agreed on")));
    } else if (asked.size() >= MOST_ASKED) {
      actions.add(new Tell(e.request(), new Refused(MOST_ASKED + " requests wait for the stewards already")));
    } else {
      asked.put(e.request(), nowMs + ANSWER_MS);
      actions.add(new SendAsk(e));
    }
  }

  /** An operator is told within the second, also that it is not known: it may have been agreed on. */
  private void overdue(double nowMs, List<DoorAction> actions) {
    asked.entrySet().removeIf(x -> {
      if (nowMs >= x.getValue()) {
        actions.add(new Tell(x.getKey(), new Refused("no answer from the stewards within " + (long) ANSWER_MS
            + " ms; it may yet be agreed on: ask for " + x.getKey() + " again, it is the same request")));
        return true;
      }
      return false;
    });
  }

  private void beat(double nowMs, List<DoorAction> actions) {
    if (nowMs - beatAt >= paceMs) {
      beatAt = nowMs;
      number++;
      sent.put(number, nowMs);
      if (sent.size() > MOST_SENT) {
        sent.remove(sent.keySet().iterator().next());
      }
      actions.add(new SendBeat(new Beat(door, incarnation, doing, number, seen, Set.copyOf(left.values()),
          new Report(trying, failed, tally), listed)));
    }
    double due = asked.values().stream().mapToDouble(x -> x).min().orElse(Double.POSITIVE_INFINITY);
    actions.add(new WakeAt(Math.min(due, beatAt + paceMs)));
  }
}
