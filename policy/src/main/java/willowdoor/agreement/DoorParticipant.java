package willowdoor.agreement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import willowdoor.agreement.Command.Heartbeat;
import willowdoor.agreement.Command.Activity;
import willowdoor.agreement.Command.Report;
import willowdoor.agreement.DoorAction.Drain;
import willowdoor.agreement.DoorAction.PutBack;
import willowdoor.agreement.DoorAction.PersistOutBackends;
import willowdoor.agreement.DoorAction.StartSuccessor;
import willowdoor.agreement.DoorAction.SendPermitRequest;
import willowdoor.agreement.DoorAction.SendHeartbeat;
import willowdoor.agreement.DoorAction.SendJoin;
import willowdoor.agreement.DoorAction.TakeOut;
import willowdoor.agreement.DoorAction.AnswerOperator;
import willowdoor.agreement.DoorAction.SendBackendList;
import willowdoor.agreement.DoorAction.AllowServing;
import willowdoor.agreement.DoorAction.Undrain;
import willowdoor.agreement.DoorAction.WakeAt;
import willowdoor.agreement.DoorEvent.HeartbeatAnswered;
import willowdoor.agreement.DoorEvent.PermitRequested;
import willowdoor.agreement.DoorEvent.SuccessorFailed;
import willowdoor.agreement.DoorEvent.TallyUpdated;
import willowdoor.agreement.DoorEvent.ActivityChanged;
import willowdoor.agreement.DoorEvent.BackendVacated;
import willowdoor.agreement.DoorEvent.PermitAnswered;
import willowdoor.agreement.DoorEvent.BackendListChanged;
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
public final class DoorParticipant {

  /** Requests of operators that wait at once; one more is refused. */
  static final int MAX_PENDING_REQUESTS = 64;
  /** An operator has an answer within this. */
  static final double ANSWER_TIMEOUT_MS = 900;
  /** Heartbeats whose answer is still taken. */
  private static final int MAX_UNANSWERED_HEARTBEATS = 16;
  /** Of a lease, between two heartbeats: some may be lost. */
  private static final double HEARTBEAT_LEASE_FRACTION = 1.0 / 6;
  /** Until it is told how long a lease is. */
  private static final double INITIAL_HEARTBEAT_INTERVAL_MS = 200;

  private final String door;
  private final String incarnation;
  private final String version;
  /** The attempt of a release that this process was started for; 0 for none. */
  private final long successorOfAttempt;
  private final DoorLease lease;
  private double heartbeatIntervalMs = INITIAL_HEARTBEAT_INTERVAL_MS;
  private Activity activity = Activity.STARTING;
  private double lastHeartbeatMs = Double.NEGATIVE_INFINITY;
  private double lastAnswerMs = Double.NEGATIVE_INFINITY;
  private long heartbeatNumber;
  private long seenIndex;
  /** When each heartbeat went, the oldest first. */
  private final Map<Long, Double> heartbeatSentMs = new LinkedHashMap<>();
  /** Backends that are out by the record, with their permits. */
  private final Map<String, Long> outBackends = new HashMap<>();
  /** Of those, the ones with no attempt of this door out. */
  private final Map<String, Long> vacatedBackends = new HashMap<>();
  private boolean draining;
  private boolean servingAllowed;
  private long startedAttempt;
  private long failedAttempt;
  private Tally tally = Tally.NONE;
  private Command.BackendListId backendListId = Command.BackendListId.NONE;
  /** When the answer is due that an operator waits for. */
  private final Map<String, Double> answerDueMs = new LinkedHashMap<>();

  /**
   * For a process of a door.
   *
   * @param drift the most that a clock runs wrong, as a part of the time that passes
   * @param remembered backends that were out, with their permits, by what a process before it kept: to this
   *     one they are out from the start
   * @param version of the program, as releases name it
   * @param successorOfAttempt the attempt of a release that this process was started for, or 0
   */
  public DoorParticipant(String door, String incarnation, double drift, Map<String, Long> remembered,
      String version,
      long successorOfAttempt) {
    outBackends.putAll(remembered);
    this.version = version;
    this.successorOfAttempt = successorOfAttempt;
    this.door = door;
    this.incarnation = incarnation;
    lease = new DoorLease(drift);
  }

  /** Takes an event at its time. */
  public List<DoorAction> handle(double nowMs, DoorEvent event) {
    List<DoorAction> actions = new ArrayList<>();
    if (event instanceof ActivityChanged e) {
      // Said at once: others count on it.
      lastHeartbeatMs = e.activity() == activity ? lastHeartbeatMs : Double.NEGATIVE_INFINITY;
      activity = e.activity();
    } else if (event instanceof HeartbeatAnswered e) {
      onHeartbeatAnswered(nowMs, e, actions);
    } else if (event instanceof BackendVacated e) {
      onBackendVacated(e.backend());
    } else if (event instanceof TallyUpdated e) {
      tally = e.tally();
    } else if (event instanceof BackendListChanged e) {
      backendListId = e.listed();
    } else if (event instanceof SuccessorFailed e && e.attempt() == startedAttempt) {
      failedAttempt = startedAttempt;
      lastHeartbeatMs = Double.NEGATIVE_INFINITY;
    } else if (event instanceof PermitRequested e) {
      onPermitRequested(nowMs, e, actions);
    } else if (event instanceof PermitAnswered e && answerDueMs.remove(e.request()) != null) {
      actions.add(new AnswerOperator(e.request(), e.outcome()));
    }
    expireRequests(nowMs, actions);
    sendHeartbeatIfDue(nowMs, actions);
    return actions;
  }

  /** Whether what needs agreement may begin now. */
  public boolean hasLease(double nowMs) {
    return lease.isValid(nowMs);
  }

  private void onHeartbeatAnswered(double nowMs, HeartbeatAnswered e, List<DoorAction> actions) {
    Double sentMs = heartbeatSentMs.remove(e.number());
    if (sentMs == null) {
      return;
    }
    if (!e.view().known()) {
      actions.add(new SendJoin());
      return;
    }
    lease.renew(sentMs, e.view().leaseMs());
    heartbeatIntervalMs = e.view().leaseMs() * HEARTBEAT_LEASE_FRACTION;
    lastAnswerMs = nowMs;
    // An answer that another has overtaken, or that was read too late, is not acted on.
    if (e.view().index() <= seenIndex || !lease.isValid(nowMs)) {
      return;
    }
    if (e.view().tellList()) {
      actions.add(new SendBackendList());
    }
    boolean first = seenIndex == 0;
    seenIndex = e.view().index();
    updateBackends(e.view().permits(), first, actions);
    updateDrain(e.view().permits(), actions);
    followRelease(e.view(), actions);
  }

  /**
   * A process that was started for an attempt serves only on the word that it still stands: it may have been
   * halted, or another begun, while this one started. Each attempt is begun once by a process.
   */
  private void followRelease(DoorView view, List<DoorAction> actions) {
    if (!servingAllowed && (successorOfAttempt == 0 || view.attempt() == successorOfAttempt)) {
      servingAllowed = true;
      actions.add(new AllowServing());
    }
    if (servingAllowed && view.attempt() > startedAttempt && !view.version().equals(version)) {
      startedAttempt = view.attempt();
      actions.add(new StartSuccessor(view.attempt(), view.version()));
      // Said at once: what has begun is not taken back.
      lastHeartbeatMs = Double.NEGATIVE_INFINITY;
    }
  }

  private void updateBackends(List<Permit> permits, boolean first, List<DoorAction> actions) {
    Map<String, Long> newOut = permits.stream().filter(x -> x.subject().kind() == Kind.BACKEND
        && (x.stage() == Stage.GRANTED || x.stage() == Stage.OUT))
        .collect(Collectors.toMap(x -> x.subject().name(), Permit::id, Math::max, LinkedHashMap::new));
    if (first || !newOut.equals(outBackends)) {
      actions.add(new PersistOutBackends(newOut));
    }
    for (String backend : List.copyOf(outBackends.keySet())) {
      if (!newOut.containsKey(backend)) {
        outBackends.remove(backend);
        vacatedBackends.remove(backend);
        actions.add(new PutBack(backend));
      }
    }
    newOut.forEach((backend, id) -> {
      Long previousId = outBackends.put(backend, id);
      if (previousId == null) {
        actions.add(new TakeOut(backend));
      } else if (!previousId.equals(id) && vacatedBackends.containsKey(backend)) {
        // Back and out again while this door heard nothing: to it, it was out all along.
        vacatedBackends.put(backend, id);
      }
    });
  }

  private void updateDrain(List<Permit> permits, List<DoorAction> actions) {
    boolean mustDrain = permits.stream().anyMatch(x -> x.subject().equals(new Subject(Kind.DOOR, door))
        && (x.stage() == Stage.GRANTED || x.stage() == Stage.OUT));
    if (mustDrain != draining) {
      draining = mustDrain;
      actions.add(mustDrain ? new Drain() : new Undrain());
    }
  }

  private void onBackendVacated(String backend) {
    Long permit = outBackends.get(backend);
    if (permit != null && !permit.equals(vacatedBackends.put(backend, permit))) {
      lastHeartbeatMs = Double.NEGATIVE_INFINITY;
    }
  }

  private void onPermitRequested(double nowMs, PermitRequested e, List<DoorAction> actions) {
    if (answerDueMs.containsKey(e.request())) {
      return;
    }
    if (!lease.isValid(nowMs)) {
      actions.add(new AnswerOperator(e.request(), new Refused("the stewards have not been heard for "
          + (lastAnswerMs == Double.NEGATIVE_INFINITY ? "the whole of this process's life"
              : Math.round(nowMs - lastAnswerMs) + " ms") + ", so nothing can be agreed on")));
    } else if (answerDueMs.size() >= MAX_PENDING_REQUESTS) {
      actions.add(
          new AnswerOperator(e.request(),
          new Refused(MAX_PENDING_REQUESTS + " requests wait for the stewards already")));
    } else {
      answerDueMs.put(e.request(), nowMs + ANSWER_TIMEOUT_MS);
      actions.add(new SendPermitRequest(e));
    }
  }

  /** An operator is told within the second, also that it is not known: it may have been agreed on. */
  private void expireRequests(double nowMs, List<DoorAction> actions) {
    answerDueMs.entrySet().removeIf(x -> {
      if (nowMs >= x.getValue()) {
        actions.add(
            new AnswerOperator(x.getKey(),
            new Refused("no answer from the stewards within " + (long) ANSWER_TIMEOUT_MS
            + " ms; it may yet be agreed on: ask for " + x.getKey() + " again, it is the same request")));
        return true;
      }
      return false;
    });
  }

  private void sendHeartbeatIfDue(double nowMs, List<DoorAction> actions) {
    if (nowMs - lastHeartbeatMs >= heartbeatIntervalMs) {
      lastHeartbeatMs = nowMs;
      heartbeatNumber++;
      heartbeatSentMs.put(heartbeatNumber, nowMs);
      if (heartbeatSentMs.size() > MAX_UNANSWERED_HEARTBEATS) {
        heartbeatSentMs.remove(heartbeatSentMs.keySet().iterator().next());
      }
      actions.add(
          new SendHeartbeat(
          new Heartbeat(door, incarnation, activity, heartbeatNumber, seenIndex,
          Set.copyOf(vacatedBackends.values()),
          new Report(startedAttempt, failedAttempt, tally), backendListId)));
    }
    double nextAnswerDueMs = answerDueMs.values().stream().mapToDouble(x -> x).min()
        .orElse(Double.POSITIVE_INFINITY);
    actions.add(new WakeAt(Math.min(nextAnswerDueMs, lastHeartbeatMs + heartbeatIntervalMs)));
  }
}
