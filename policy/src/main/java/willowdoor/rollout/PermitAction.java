package willowdoor.rollout;

/** What a release has the record do. */
public sealed interface PermitAction {

  /** Ask for a permit for this step. */
  record RequestPermit(Step step) implements PermitAction { }

  /** Give the step's permit back, or no longer wait for it. */
  record ReturnPermit(Step step) implements PermitAction { }
}
