package willowdoor.epoch;

/**
 * A policy change in progress.
 *
 * @param document the new policy; its epoch identifies the change
 * @param sinceMs the replicated time at which the change reached its stage, in milliseconds
 * @param holdMs the replicated time from which the new policy is in force, in milliseconds; meaningless in
 *     stage {@link Stage#PREPARING}
 */
public record PolicyChange(PolicyDocument document, Stage stage, double sinceMs, double holdMs) {

  /** The stages of a change, which can be aborted only in the first stage. */
  public enum Stage {
    /** Doors read the document, check it against their own limits, and accept or refuse it. */
    PREPARING,
    /** The change is decided: the new policy will be in force from the switch time on. */
    DECIDED,
    /**
     * The change is decided, but the leader whose clock defined the switch time is gone. Some doors may
     * believe that the old switch time has passed. So no door decides by the old policy alone any more, and a
     * door that learns of this stage does not decide by the new policy alone before the new switch time.
     */
    UNSURE,
    /** The new policy is in force; not all doors have reported that they use it. */
    HOLDS
  }

  PolicyChange withStage(Stage newStage, double nowMs, double newHoldMs) {
    return new PolicyChange(document, newStage, nowMs, newHoldMs);
  }
}
