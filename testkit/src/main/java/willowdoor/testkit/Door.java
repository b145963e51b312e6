package willowdoor.testkit;

import java.net.InetSocketAddress;

/**
 * A door of a run, whatever it is made of: a child process, or one inside the test's own process. Every
 * method notes in the ledger what it did to the door.
 */
public interface Door {

  /** Its name, the same after a restart. */
  String name();

  /** Where clients connect. */
  InetSocketAddress address();

  /** Starts it, or starts it again; gives back at once. */
  void start();

  /** Kills it outright. */
  void kill();

  /** Asks it to end in order; it ends when it has answered all that it took. */
  void terminate();

  /** True while it has a process. */
  boolean isAlive();
}
