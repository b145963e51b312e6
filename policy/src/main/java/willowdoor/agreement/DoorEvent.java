package willowdoor.agreement;

import willowdoor.agreement.Command.Doing;
import willowdoor.rollout.Tally;

/** What a {@link DoorSide} hears. */
public sealed interface DoorEvent {

  /** Time has passed, or it is the time that was asked for. */
  record Woken() implements DoorEvent { }

  /** The instance does something else now. */
  record Does(Doing doing) implements DoorEvent { }

  /** The stewards have agreed on a heartbeat. */
  record Answered(long number, View view) implements DoorEvent { }

  /** It goes by this list of backends now. */
  record Sees(Command.Listed listed) implements DoorEvent { }

  /** No attempt of this door is out at the backend any more, and none begins while it is out. */
  record LetGo(String backend) implements DoorEvent { }

  /** So the instance has answered since it began. */
  record Counted(Tally tally) implements DoorEvent { }

  /** A process that was started for an attempt of a release has ended, and this one serves on. */
  record CameToNothing(long attempt) implements DoorEvent { }

  /** An operator asks at this door. */
  record Asked(String request, Subject subject, String by, String reason, boolean force)
      implements DoorEvent { }

  /** The stewards' answer to what an operator asked here. */
  record Said(String request, Outcome outcome) implements DoorEvent { }
}
