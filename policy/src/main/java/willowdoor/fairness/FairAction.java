package willowdoor.fairness;

/**
 * An action that {@link FairQueue} asks for. A request that arrived gets one {@link Release} or one
 * {@link Refuse}, unless it leaves before.
 */
public sealed interface FairAction {

  /** Reason for the refusal of a request. */
  enum RefusalReason {
    /** The request has waited, or would wait, longer than its answer is useful. */
    LATE,
    /** The queue is full, and the firm has the largest backlog for its weight. */
    FULL,
    /** The firm's quota stays spent for longer than the answer is useful. */
    SPENT,
    /** The door is draining. */
    DRAINING
  }

  /** The request goes on to the policy. */
  record Release(String id, double waitedMs) implements FairAction { }

  /**
   * The request is refused now; nothing of it has run.
   *
   * @param comeBackMs promised delay after which the client may come back; 0 if none can be promised
   */
  record Refuse(String id, RefusalReason reason, double comeBackMs) implements FairAction { }

  /** The come-back delay for a refusal by the policy, in milliseconds; 0 if none can be promised. */
  record Advise(String id, double comeBackMs) implements FairAction { }

  /** Asks for a {@link FairEvent.Woken} at this time; replaces the previous WakeAt. */
  record WakeAt(double atMs) implements FairAction { }
}
