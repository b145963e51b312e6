package willowdoor.management;

import java.util.function.Consumer;

/** The operations of a front door that operators can call; called on the front door's loop. */
public interface Operations {

  /** Whether this process is ready to serve, whether or not operators have drained the clients. */
  boolean ready();

  /**
   * The other process of this front door announces itself.
   *
   * @param address the other process's management address
   * @param serves whether the other process takes clients
   * @return if successful, the state that the other process restores
   */
  Reply hello(String address, boolean serves);

  /**
   * Applies the command to whatever begins after it.
   *
   * @param forwarded whether the command comes from the other process of this front door, which applies it to
   *     itself
   * @param callback called once, on the loop, when the command is in effect or has failed
   */
  void carryOut(ManagementCommand command, boolean forwarded, Consumer<Reply> callback);
}
