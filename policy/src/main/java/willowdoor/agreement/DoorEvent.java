package willowdoor.agreement;

import willowdoor.agreement.Command.Activity;
import willowdoor.rollout.Tally;

/** The events that a {@link DoorParticipant} handles. */
public sealed interface DoorEvent {

  /** Time has passed, or the requested wake-up time has come. */
  record TimerFired() implements DoorEvent { }

  /** The process's activity may have changed. */
  record ActivityChanged(Activity activity) implements DoorEvent { }

  /** The replicas have committed a heartbeat and answered it. */
  record HeartbeatAnswered(long number, DoorView view) implements DoorEvent { }

  /** The process now uses this list of backends. */
  record BackendListChanged(Command.BackendListId listed) implements DoorEvent { }

  /**
   * No attempt of this process is in flight at the backend any more, and none begins while the backend is
   * out.
   */
  record BackendVacated(String backend) implements DoorEvent { }

  /** The counts of the answers that the process has given since it started. */
  record TallyUpdated(Tally tally) implements DoorEvent { }

  /** The successor that was started for an attempt of a release has ended, and this process keeps serving. */
  record SuccessorFailed(long attempt) implements DoorEvent { }

  /** An operator asks this door for a permit. */
  record PermitRequested(String request, Subject subject, String by, String reason, boolean force)
      implements DoorEvent { }

  /** The replicas' answer to an operator's request. */
  record PermitAnswered(String request, Outcome outcome) implements DoorEvent { }
}
