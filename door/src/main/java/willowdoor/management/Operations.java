package willowdoor.management;

import java.util.function.Consumer;

/** What of a front door operators reach. Called on the front door's loop. */
public interface Operations {

  /** Whether this process is ready to serve, whether or not operators have sent the clients away. */
  boolean ready();

  /**
   * The other process of this front door tells of itself.
   *
   * @param address where it is managed
   * @param serves whether it takes clients
   * @return with a yes, the state that it has to go on from
   */
  Reply hello(String address, boolean serves);

  /**
   * Has the order hold for whatever begins after it.
   *
   * @param forwarded it comes from the other process of this front door, which has it hold there by itself
   * @param callback called once, on the loop, when it holds or cannot
   */
  void carryOut(ManagementCommand command, boolean forwarded, Consumer<Reply> callback);
}
