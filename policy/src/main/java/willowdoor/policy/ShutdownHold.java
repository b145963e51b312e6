package willowdoor.policy;

/**
 * Decides how long a process that was told to stop, and has given the final answer to every request that is
 * not being answered yet, stays for the answers that are still under way. Each of these ends by its own
 * limits ({@link AnswerLifecycle}): whole, broken off by a peer, or stalled.
 */
public final class ShutdownHold {

  /** The process ends after so long, in milliseconds, even if an answer still makes progress. */
  public static final double MAX_HOLD_MS = 60_000;

  private ShutdownHold() {
  }

  /**
   * Whether the process stays.
   *
   * @param heldMs for how long it has stayed for answers under way
   * @param answersUnderWay whether an answer is being passed on, or a client has not taken all of one
   */
  public static boolean holds(double heldMs, boolean answersUnderWay) {
    return answersUnderWay && heldMs < MAX_HOLD_MS;
  }
}
