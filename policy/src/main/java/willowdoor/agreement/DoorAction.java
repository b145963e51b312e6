package willowdoor.agreement;

/** What a {@link DoorSide} has done. */
public sealed interface DoorAction {

  /** Say to the stewards that this process is there. */
  record SendJoin() implements DoorAction { }

  /** Send it to the stewards. */
  record SendBeat(Command.Beat beat) implements DoorAction { }

  /** Put an operator's request to the stewards. */
  record SendAsk(DoorEvent.Asked asked) implements DoorAction { }

  /** Send nothing more to the backend, and tell once no attempt is out at it. */
  record TakeOut(String backend) implements DoorAction { }

  /** It may be sent to again, as a cold one. */
  record PutBack(String backend) implements DoorAction { }

  /** Have clients sent away, and serve what is here. */
  record Drain() implements DoorAction { }

  /** Take clients again. */
  record Undrain() implements DoorAction { }

  /** The final answer to an operator's request. */
  record Tell(String request, Outcome outcome) implements DoorAction { }

  /** Wake it at that time. */
  record WakeAt(double atMs) implements DoorAction { }
}
