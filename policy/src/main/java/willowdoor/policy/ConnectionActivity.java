package willowdoor.policy;

import java.util.Comparator;

/**
 * What a client's connection is used for at a moment, and by that whether it may be closed without an answer.
 * Whoever closes connections of clients, to make room, in a drain or at the end of the process, decides by
 * this. A connection on which a request is arriving is not idle; the time that a request may take to arrive
 * is limited elsewhere, and its end is an answer.
 *
 * @param hasRequest whether a request is handled, or waits to be
 * @param isArriving whether a part of a request has arrived
 * @param hasAnswerUnderWay whether an answer is being passed on, or its client has not taken all of it
 * @param hasSentRequest whether a request has come on the connection before
 * @param quietMs how long ago the connection was opened, or its last answer was taken, in milliseconds
 */
public record ConnectionActivity(boolean hasRequest, boolean isArriving, boolean hasAnswerUnderWay,
    boolean hasSentRequest, double quietMs) {

  /** Time after which a connection between requests may be closed if another client needs its place. */
  static final double EVICT_IDLE_MS = 2_050;
  /** The same for a connection without any request: clients connect in order to send one, at once. */
  static final double EVICT_SILENT_MS = 300;

  /** First those that never sent a request, then those between requests, each by the time without one. */
  public static final Comparator<ConnectionActivity> EVICTION_ORDER =
      Comparator.comparing(ConnectionActivity::hasSentRequest)
          .thenComparing(Comparator.comparingDouble(ConnectionActivity::quietMs).reversed());

  /** Whether nothing is lost if the connection is closed. */
  public boolean isIdle() {
    return !hasRequest && !isArriving && !hasAnswerUnderWay;
  }

  /** Whether the connection may be closed in favour of another client. */
  public boolean mayBeEvicted() {
    return isIdle() && quietMs > (hasSentRequest ? EVICT_IDLE_MS : EVICT_SILENT_MS);
  }

  /**
   * Whether the connection has been idle for so long. One without any request is given the time that clients
   * take to send a request, however late it was accepted.
   *
   * @param forMs the time without a request, in milliseconds
   */
  public boolean isIdleFor(double forMs) {
    return isIdle() && quietMs >= (hasSentRequest ? forMs : EVICT_SILENT_MS);
  }
}
