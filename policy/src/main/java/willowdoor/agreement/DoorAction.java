package willowdoor.agreement;

import java.util.Map;

/** The actions that a {@link DoorParticipant} requests from its process. */
public sealed interface DoorAction {

  /** Announce this process to the replicas. */
  record SendJoin() implements DoorAction { }

  /** Send the heartbeat to the replicas. */
  record SendHeartbeat(Command.Heartbeat heartbeat) implements DoorAction { }

  /** Send the replicas the list of backends of the last {@link DoorEvent.BackendListChanged} event. */
  record SendBackendList() implements DoorAction { }

  /** Pass an operator's request on to the replicas. */
  record SendPermitRequest(DoorEvent.PermitRequested request) implements DoorAction { }

  /**
   * Store the backends that are out, with their permits, where a later process of this door finds them,
   * before any {@link DoorEvent.BackendVacated} is reported. A later process may serve before the replicas
   * can tell it which backends are out, and would otherwise send to them.
   */
  record PersistOutBackends(Map<String, Long> out) implements DoorAction {

    /** Makes a defensive copy. */
    public PersistOutBackends {
      out = Map.copyOf(out);
    }
  }

  /**
   * The process may serve: the replicas have told it for the first time which backends are out and, if the
   * process was started for an attempt of a release, that the attempt is still current.
   */
  record AllowServing() implements DoorAction { }

  /**
   * Stop sending to the backend, and report {@link DoorEvent.BackendVacated} once no attempt is in flight at
   * it.
   */
  record TakeOut(String backend) implements DoorAction { }

  /** Send to the backend again, with a slow start. */
  record PutBack(String backend) implements DoorAction { }

  /** Send clients away, and finish the requests that are in progress. */
  record Drain() implements DoorAction { }

  /** Accept clients again. */
  record Undrain() implements DoorAction { }

  /**
   * Start a process of that version as this process's successor. Report {@link DoorEvent.SuccessorFailed} if
   * the successor ends without taking over.
   */
  record StartSuccessor(long attempt, String version) implements DoorAction { }

  /** Give the final answer to an operator's request. */
  record AnswerOperator(String request, Outcome outcome) implements DoorAction { }

  /** Pass in a {@link DoorEvent.TimerFired} event at this time of the monotonic clock. */
  record WakeAt(double atMs) implements DoorAction { }
}
