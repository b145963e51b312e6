package willowdoor.fairness;

/** What {@link FairQueue} has done. A request that arrived gets one of {@link Release}, {@link Refuse}. */
public sealed interface FairAction {

  /** Why a request is refused. */
  enum RefusalReason {
    /** It would have waited, or has waited, for longer than an answer is of use. */
    LATE,
    /** Too much waits, and most of it is its firm's. */
    FULL,
    /** Its firm's quota is spent for longer than an answer is of use. */
    SPENT,
    /** The door ends. */
    DRAINING
  }

  /** It goes on to the policy. */
  record Release(String id, double waitedMs) implements FairAction { }

  /**
   * It is answered now; nothing of it has run.
   *
   * @param comeBackMs after which it may come back, which is remembered; 0 where nothing can be promised
   */
  record Refuse(String id, RefusalReason reason, double comeBackMs) implements FairAction { }

  /** What the policy's refusal advises; 0 where nothing can be promised. */
  record Advise(String id, double comeBackMs) implements FairAction { }

  /** To be woken at that time; only the latest such wish counts. */
  record WakeAt(double atMs) implements FairAction { }
}
