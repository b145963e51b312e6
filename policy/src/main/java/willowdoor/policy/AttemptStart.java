package willowdoor.policy;

/**
 * Whether an attempt may start, decided immediately before its first byte is sent. An attempt waits for a
 * connection after the policy has sent it, and what the policy decided by may no longer hold then.
 */
public enum AttemptStart {

  ALLOWED,
  /** The attempt itself has ended: it timed out, was cancelled, or its backend drains. */
  ATTEMPT_OVER,
  /** The request has its final answer, its client is known to have left, or the process is about to end. */
  REQUEST_OVER,
  /** The client has closed or reset its connection, or ended its side of it, which was not reported yet. */
  CLIENT_GONE,
  /** A request with this id, which must not run twice, has begun before or at the other process. */
  ID_HAS_BEGUN,
  /** Another attempt of the same request may still reach a backend. */
  OTHER_ATTEMPT_IN_FLIGHT,
  /** The backend is not listed any more, has moved, or has started anew since the decision. */
  BACKEND_REPLACED,
  /** The time in which the attempt may begin has passed, such as the window for repeats. */
  TOO_LATE_TO_BEGIN,
  /** The deadline of the attempt has passed, though its timer has not run yet. */
  OUT_OF_TIME;

  /**
   * What is known at the moment of the decision.
   *
   * @param idHasBegun whether another request with this id has begun, and must not run twice
   * @param backendReplaced whether the backend is another one than the policy chose
   * @param beginLeftMs time in which the attempt may begin, in milliseconds
   * @param leftMs time until the deadline of the attempt, in milliseconds
   */
  public record Circumstances(boolean attemptOver, boolean requestOver, boolean clientGone,
      boolean idHasBegun, boolean otherAttemptInFlight, boolean backendReplaced, double beginLeftMs,
      double leftMs) { }

  /** Decides by what is known at this moment. */
  public static AttemptStart of(Circumstances now) {
    if (now.attemptOver()) {
      return ATTEMPT_OVER;
    }
    if (now.requestOver()) {
      return REQUEST_OVER;
    }
    if (now.clientGone()) {
      return CLIENT_GONE;
    }
    if (now.idHasBegun()) {
      return ID_HAS_BEGUN;
    }
    if (now.otherAttemptInFlight()) {
      return OTHER_ATTEMPT_IN_FLIGHT;
    }
    if (now.backendReplaced()) {
      return BACKEND_REPLACED;
    }
    if (now.leftMs() <= 0) {
      return OUT_OF_TIME;
    }
    return now.beginLeftMs() > 0 ? ALLOWED : TOO_LATE_TO_BEGIN;
  }
}
