package willowdoor.steward;

/**
 * Clock, timers and random source of a steward, so that the same code runs in a process and in a simulation.
 */
public interface StewardEnvironment {

  /** Returns the monotonic time in milliseconds. */
  double now();

  /**
   * Runs a task on the steward's single thread after a delay in milliseconds; 0 means as soon as possible.
   */
  void schedule(double delayMs, Runnable task);

  /** Returns the random source, which keeps stewards from acting at the same moment (election timeouts). */
  java.util.Random random();
}
