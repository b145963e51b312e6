package willowdoor.policy;

/**
 * Whether an attempt may start, decided immediately before its first byte is sent. An attempt waits for a
 * connection after the policy has sent it, and its request may end meanwhile.
 */
public enum AttemptStart {

  ALLOWED,
  /** The attempt itself has ended: it timed out, was cancelled, or its backend drains. */
  ATTEMPT_OVER,
  /** The request has its final answer, or its client is known to have left. */
  REQUEST_OVER,
  /** The client has closed or reset its connection, or ended its side of it, which was not reported yet. */
  CLIENT_GONE,
  /** The deadline of the attempt has passed, though its timer has not run yet. */
  OUT_OF_TIME;

  /**
   * Decides by what is known at this moment.
   *
   * @param leftMs time until the deadline of the attempt, in milliseconds
   */
  public static AttemptStart of(boolean attemptOver, boolean requestOver, boolean clientGone, double leftMs) {
    if (attemptOver) {
      return ATTEMPT_OVER;
    }
    if (requestOver) {
      return REQUEST_OVER;
    }
    if (clientGone) {
      return CLIENT_GONE;
    }
    return leftMs > 0 ? ALLOWED : OUT_OF_TIME;
  }
}
