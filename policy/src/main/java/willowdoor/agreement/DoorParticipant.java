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
 * The door's side of the agreement protocol, as a pure state machine: it takes events with the door's
 * monotonic time in milliseconds and returns actions. It does no I/O, reads no clock and starts no thread.
 *
 * <p>Without contact to the replicas the door continues as it is: it serves, backends that it believes to be
 * out stay out, and a drain in progress continues. The door acts on an answer of the replicas only if its
 * lease is held by its own clock at that moment. A process that was suspended and reads an old answer
 * afterwards therefore does nothing late; the answer to its next heartbeat brings the current state. This
 * applies as well to sending to a backend again.
 */
public final class DoorParticipant {

  /** The maximum number of operator requests that wait for an answer; further requests are refused. */
  static final int MAX_PENDING_REQUESTS = 64;
  /** An operator gets an answer within this time, in milliseconds. */
  static final double ANSWER_TIMEOUT_MS = 900;
  /** The maximum number of unanswered heartbeats; answers to older heartbeats are ignored. */
  private static final int MAX_UNANSWERED_HEARTBEATS = 16;
  /** The heartbeat interval as a fraction of the lease, so that some heartbeats may be lost. */
  private static final double HEARTBEAT_LEASE_FRACTION = 1.0 / 6;
  /** The heartbeat interval, in milliseconds, until the length of the lease is known. */
  private static final double INITIAL_HEARTBEAT_INTERVAL_MS = 200;

  private final String door;
  private final String incarnation;
  private final String version;
  /** The attempt of a release that this process was started for, or 0. */
  private final long successorOfAttempt;
  private final DoorLease lease;
  private double heartbeatIntervalMs = INITIAL_HEARTBEAT_INTERVAL_MS;
  private Activity activity = Activity.STARTING;
  private double lastHeartbeatMs = Double.NEGATIVE_INFINITY;
  private double lastAnswerMs = Double.NEGATIVE_INFINITY;
  private long heartbeatNumber;
  private long seenIndex;
  /** When each unanswered heartbeat was sent, by its number, the oldest first. */
  private final Map<Long, Double> heartbeatSentMs = new LinkedHashMap<>();
  /** The backends that are out according to the replicas, with the ids of their permits. */
  private final Map<String, Long> outBackends = new HashMap<>();
  /** Those of the backends that are out at which no attempt of this process is in flight. */
  private final Map<String, Long> vacatedBackends = new HashMap<>();
  private boolean draining;
  private boolean servingAllowed;
  private long startedAttempt;
  private long failedAttempt;
  private Tally tally = Tally.NONE;
  private Command.BackendListId backendListId = Command.BackendListId.NONE;
  /** When the answer to each operator request is due, by the name of the request. */
  private final Map<String, Double> answerDueMs = new LinkedHashMap<>();

  /**
   * Creates the participant for one process of a door.
   *
   * @param drift the maximum rate error of a clock, as a fraction of the elapsed time
   * @param remembered the backends that were out, with the ids of their permits, as an earlier process of the
   *     door stored them; this process treats them as out from the start
   * @param version the version of the program, as releases name it
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

  /** Handles an event at the given time of the door's monotonic clock, in milliseconds. */
  public List<DoorAction> handle(double nowMs, DoorEvent event) {
    List<DoorAction> actions = new ArrayList<>();
    if (event instanceof ActivityChanged e) {
      // Reported at once, because other doors and operators rely on the activity.
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

  /** Whether the lease is held, so that actions that need agreement may begin now. */
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
    // An answer that a newer answer has overtaken, or that was read after the lease expired, is not acted on.
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
   * A process that was started for an attempt serves only once the replicas confirm that the attempt is still
   * current: while the process started, the release may have been halted or another attempt begun. A process
   * begins each attempt at most once.
   */
  private void followRelease(DoorView view, List<DoorAction> actions) {
    if (!servingAllowed && (successorOfAttempt == 0 || view.attempt() == successorOfAttempt)) {
      servingAllowed = true;
      actions.add(new AllowServing());
    }
    if (servingAllowed && view.attempt() > startedAttempt && !view.version().equals(version)) {
      startedAttempt = view.attempt();
      actions.add(new StartSuccessor(view.attempt(), view.version()));
      // Reported at once, because an attempt that has begun cannot be withdrawn.
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
        // The backend came back and went out again while this door had no contact: it was never sent to in
        // between.
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
      actions.add(new AnswerOperator(e.request(),
          new Refused(MAX_PENDING_REQUESTS + " requests wait for the stewards already")));
    } else {
      answerDueMs.put(e.request(), nowMs + ANSWER_TIMEOUT_MS);
      actions.add(new SendPermitRequest(e));
    }
  }

  /**
   * Gives operators an answer within the timeout even if the outcome is unknown: the request may still be
   * agreed on.
   */
  private void expireRequests(double nowMs, List<DoorAction> actions) {
    answerDueMs.entrySet().removeIf(x -> {
      if (nowMs >= x.getValue()) {
        actions.add(new AnswerOperator(x.getKey(),
            new Refused("no answer from the stewards within " + (long) ANSWER_TIMEOUT_MS
            + " ms; it may yet be agreed on: ask for " + x.getKey()
            + " again, it is the same request")));
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
      actions.add(new SendHeartbeat(new Heartbeat(door, incarnation, activity, heartbeatNumber, seenIndex,
          Set.copyOf(vacatedBackends.values()),
          new Report(startedAttempt, failedAttempt, tally), backendListId)));
    }
    double nextAnswerDueMs = answerDueMs.values().stream().mapToDouble(x -> x).min()
        .orElse(Double.POSITIVE_INFINITY);
    actions.add(new WakeAt(Math.min(nextAnswerDueMs, lastHeartbeatMs + heartbeatIntervalMs)));
  }
}
