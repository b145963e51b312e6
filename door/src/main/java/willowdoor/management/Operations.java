package willowdoor.management;

import java.util.List;
import java.util.function.Consumer;

/** The operations of a front door that operators can call; called on the front door's loop. */
public interface Operations {

  /** Whether this process is ready to serve, whether or not operators have drained the clients. */
  boolean ready();

  /**
   * The other process of this front door announces itself.
   *
   * @return if successful, the state that the other process restores
   */
  Reply hello(ProcessGreeting greeting);

  /**
   * The identity of this process. A call that is meant for another process is rejected; empty if there is no
   * such identity.
   */
  default String processId() {
    return "";
  }

  /**
   * Requests that must not run twice are about to begin at the other process of this front door.
   *
   * @param ids their ids
   * @return if successful, the ids that this process rejects, a line each
   */
  default Reply claim(List<String> ids) {
    return new Reply(404, "this process has no other process");
  }

  /**
   * Applies the command to whatever begins after it.
   *
   * @param forwarded whether the command comes from the other process of this front door, which applies it to
   *     itself
   * @param callback called once, on the loop, when the command is in effect or has failed
   */
  void carryOut(ManagementCommand command, boolean forwarded, Consumer<Reply> callback);
}
