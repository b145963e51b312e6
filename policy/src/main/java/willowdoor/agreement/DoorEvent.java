package willowdoor.agreement;

import willowdoor.agreement.Command.Activity;
import willowdoor.rollout.Tally;

/** What a {@link DoorParticipant} hears. */
public sealed interface DoorEvent {

  /** Time has passed, or it is the time that was asked for. */
  record TimerFired() implements DoorEvent { }

  /** The instance does something else now. */
  record ActivityChanged(Activity activity) implements DoorEvent { }

  /** The stewards have agreed on a heartbeat. */
  record HeartbeatAnswered(long number, DoorView view) implements DoorEvent { }

  /** It goes by this list of backends now. */
  record BackendListChanged(Command.BackendListId listed) implements DoorEvent { }

  /** No attempt of this door is out at the backend any more, and none begins while it is out. */
  record BackendVacated(String backend) implements DoorEvent { }

  /** So the instance has answered since it began. */
  record TallyUpdated(Tally tally) implements DoorEvent { }

  /** A process that was started for an attempt of a release has ended, and this one serves on. */
  record SuccessorFailed(long attempt) implements DoorEvent { }

  /** An operator asks at this door. */
  record PermitRequested(String request, Subject subject, String by, String reason, boolean force)
      implements DoorEvent { }

  /** The stewards' answer to what an operator asked here. */
  record PermitAnswered(String request, Outcome outcome) implements DoorEvent { }
}
