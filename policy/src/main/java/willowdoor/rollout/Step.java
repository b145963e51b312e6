package willowdoor.rollout;

/**
 * The change of one door or backend from one version to another.
 *
 * @param attempt number of the attempt; increases over all releases and is never reused
 * @param version the version that the door is to get
 * @param sinceMs when the step entered its state, or its timeout was restarted
 * @param since log index of the command by which the step entered its state
 */
public record Step(String door, long attempt, String version, State state, double sinceMs, long since) {

  /** Progress of the step. */
  public enum State {
    /** The permit has been requested and is not granted; the door has not begun. */
    WAITING,
    /** The permit is granted: the door drains and is replaced. */
    GOING,
    /** The step was withdrawn, and completes only if the door had begun already. */
    WITHDRAWN,
    /** The replacement has succeeded or failed, and the permit is being returned. */
    RETURNING
  }

  Step withState(State newState, double nowMs, long index) {
    return new Step(door, attempt, version, newState, nowMs, index);
  }
}
