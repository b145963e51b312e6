package willowdoor.rollout;

/** What a release has the record do. */
public sealed interface Wish {

  /** Ask for a permit for this step. */
  record Ask(Step step) implements Wish { }

  /** Give the step's permit back, or no longer wait for it. */
  record GiveBack(Step step) implements Wish { }
}
