package willowdoor.testkit;

import java.net.InetSocketAddress;

/**
 * A door of a run, either a child process or an instance inside the test's own process. Every method that
 * changes the door records it in the event history.
 */
public interface Door {

  /** Name of the door, the same after a restart. */
  String name();

  /** Address that clients connect to. */
  InetSocketAddress address();

  /** Starts or restarts the door without waiting until it is ready. */
  void start();

  /** Kills the door immediately. */
  void kill();

  /** Asks the door for a graceful shutdown; it ends when all accepted requests have been answered. */
  void terminate();

  /** Returns true while the door is running. */
  boolean isAlive();
}
