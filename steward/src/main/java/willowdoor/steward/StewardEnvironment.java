package willowdoor.steward;

/** All that a steward takes from outside, so that the same one lives in a process and in simulated time. */
public interface StewardEnvironment {

  /** Monotonic, in milliseconds. */
  double now();

  /** Runs it on the steward's one thread, after a time in milliseconds; at once means soon. */
  void schedule(double delayMs, Runnable task);

  /** Chance, for what must not happen to all at once. */
  java.util.Random random();
}
