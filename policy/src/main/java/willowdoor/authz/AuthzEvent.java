package willowdoor.authz;

/** An event that {@link AuthzEngine} handles. Times are milliseconds on a monotonic clock. */
public sealed interface AuthzEvent {

  /** How a call to an authoriser ended. */
  enum Result {
    /** The authoriser allows the request. */
    ALLOWED,
    /** The authoriser denies the request; as valid an answer as ALLOWED. */
    DENIED,
    /** No connection, or the call ended before it was written: the authoriser did not receive it. */
    NOT_REACHED,
    /** An error, or the stream or connection broke: the authoriser may have received the call. */
    FAILED,
    /** No answer in time. */
    TIMED_OUT,
    /** The answer can't be read or violates the protocol. */
    BAD_ANSWER;

    /** Whether the authoriser decided. */
    boolean isDecision() {
      return this == ALLOWED || this == DENIED;
    }
  }

  /**
   * A request that needs a decision.
   *
   * @param giveUpMs the time at which its client stops waiting
   * @param bodyBytes size of its body
   * @param checkDigest digest of the check's content without the request's id; null if the decision must not
   *     be reused
   */
  record Arrived(String id, String className, String plan, long customer, double giveUpMs, int bodyBytes,
      String checkDigest) implements AuthzEvent { }

  /**
   * A call has ended.
   *
   * @param call number of the call within the request, from 0
   * @param reusableForMs with ALLOWED: how long the authoriser permits the decision to be reused; 0 for never
   * @param grant with ALLOWED: what the authoriser sent with its decision, passed on unchanged
   */
  record CallEnded(String id, int call, Result result, double reusableForMs, Object grant)
      implements AuthzEvent { }

  /** The request ended before the decision: its client left, its time is up, or the process ends. */
  record RequestEnded(String id) implements AuthzEvent { }
}
