package willowdoor.agreement;

import java.util.Map;

/** What a {@link DoorParticipant} has done. */
public sealed interface DoorAction {

  /** Say to the stewards that this process is there. */
  record SendJoin() implements DoorAction { }

  /** Send it to the stewards. */
  record SendHeartbeat(Command.Heartbeat heartbeat) implements DoorAction { }

  /** Tell the stewards the list of backends that was {@link DoorEvent.BackendListChanged seen} last. */
  record SendBackendList() implements DoorAction { }

  /** Put an operator's request to the stewards. */
  record SendPermitRequest(DoorEvent.PermitRequested request) implements DoorAction { }

  /**
   * Keep this where a process of this door that comes after finds it, before any {@link
   * DoorEvent.BackendVacated}: it
   * may serve before the stewards can tell it which backends are out, and would send there.
   */
  record PersistOutBackends(Map<String, Long> out) implements DoorAction {

    /** Keeps a copy. */
    public PersistOutBackends {
      out = Map.copyOf(out);
    }
  }

  /**
   * The stewards have told for the first time which backends are out and, to one that was started for an
   * attempt of a release, that the attempt still stands: it may serve.
   */
  record AllowServing() implements DoorAction { }

  /** Send nothing more to the backend, and tell once no attempt is out at it. */
  record TakeOut(String backend) implements DoorAction { }

  /** It may be sent to again, as a cold one. */
  record PutBack(String backend) implements DoorAction { }

  /** Have clients sent away, and serve what is here. */
  record Drain() implements DoorAction { }

  /** Take clients again. */
  record Undrain() implements DoorAction { }

  /**
   * Start a process of that version, which takes this one's place; tell {@link DoorEvent.SuccessorFailed}
   * once
   * it has ended without that.
   */
  record StartSuccessor(long attempt, String version) implements DoorAction { }

  /** The final answer to an operator's request. */
  record AnswerOperator(String request, Outcome outcome) implements DoorAction { }

  /** Wake it at that time. */
  record WakeAt(double atMs) implements DoorAction { }
}
