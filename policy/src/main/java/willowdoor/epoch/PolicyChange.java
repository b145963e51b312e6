package willowdoor.epoch;

/**
 * A change of policy that is under way.
 *
 * @param document what is to hold; its epoch is the change's name
 * @param sinceMs when it came to its stage, by the record's time
 * @param holdMs by the record's time from when on it holds; meaningless while it is prepared
 */
public record PolicyChange(PolicyDocument document, Stage stage, double sinceMs, double holdMs) {

  /** How far it has come. It may be aborted in the first stage only. */
  public enum Stage {
    /** Doors read it, hold it against their own bounds, and say yes or no. */
    PREPARING,
    /** It will hold from its moment on, whatever comes. */
    DECIDED,
    /**
     * The same, but the leader whose clock the moment was told by is gone. Some doors may believe it past by
     * that clock, so none decides by the old policy alone any more, and none that hears this alone by the new
     * one before the new moment.
     */
    UNSURE,
    /** It holds; not all doors have said that they go by it. */
    HOLDS
  }

  PolicyChange withStage(Stage newStage, double nowMs, double newHoldMs) {
    return new PolicyChange(document, newStage, nowMs, newHoldMs);
  }
}
