package willowdoor.rollout;

/** An action that a release asks the stewards' replicated state to perform. */
public sealed interface PermitAction {

  /** Request a permit for this step. */
  record RequestPermit(Step step) implements PermitAction { }

  /** Return the step's permit, or cancel the request for it. */
  record ReturnPermit(Step step) implements PermitAction { }
}
