package willowdoor.rollout;

/**
 * A door's change from one version to another.
 *
 * @param attempt counted up over all releases, never used again
 * @param version that the door is to have
 * @param sinceMs when it came to its state
 * @param since the command by which it did
 */
public record Step(String door, long attempt, String version, State state, double sinceMs, long since) {

  /** How far it has come. */
  public enum State {
    /** Its permit waits. It has not begun. */
    WAITING,
    /** The door may go out, and is replaced. */
    GOING,
    /** It was taken back, and goes on only if the door had begun already. */
    WITHDRAWN,
    /** The door has one of both versions, and comes back. */
    RETURNING
  }

  Step withState(State newState, double nowMs, long index) {
    return new Step(door, attempt, version, newState, nowMs, index);
  }
}
