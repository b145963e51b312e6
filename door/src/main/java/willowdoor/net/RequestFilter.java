package willowdoor.net;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.SocketAddress;
import willowdoor.policy.GatewayApi.Request;

/**
 * A filter that a request passes after it is read and before the decision module gets it. A filter decides,
 * at once or later, that the request proceeds, is answered or is refused, and is told of the request's end
 * exactly once. A filter sends nothing to a backend, and a request that a filter let proceed never returns to
 * that filter, however many attempts the request takes. All calls run on the door's event loop. A door
 * without a filter creates no object and takes no step for filtering.
 */
public interface RequestFilter {

  /** How a request ended. */
  enum RequestEnd {
    /** Answered by a backend. */
    SERVED,
    /** Refused: a retry is harmless. */
    REFUSED,
    /** Failed, without a promise that nothing of the request ran. */
    FAILED,
    /** Answered by the filter itself. */
    ANSWERED_HERE,
    /** The client disconnected. */
    LEFT
  }

  /**
   * Parts of a client's request that are not forwarded as they are: all headers, and the client's address.
   */
  record Origin(HttpHeaders headers, SocketAddress remoteAddress) { }

  /**
   * Takes the filter's decision on a request. Only the first call counts, and no call does after the
   * request's end.
   */
  interface Continuation {
    /**
     * Lets the request proceed, with the message's headers as the filter left them.
     *
     * @param responseHeaders headers that are added to the answer if a backend serves the request; may be
     *     null
     */
    void proceed(HttpHeaders responseHeaders);

    /** Answers the request with the filter's own final answer, which the driver releases. */
    void answer(FullHttpResponse answer);

    /**
     * Refuses the request: nothing of it has run.
     *
     * @param retryAfterMs when the client may retry, in milliseconds from now; 0 for no advice
     */
    void refuse(double retryAfterMs);
  }

  /** A request that the filter handles. */
  interface FilteredRequest {
    /**
     * Called once, when the request has its final answer or its client has disconnected, whether the request
     * had proceeded or not.
     */
    void onEnd(RequestEnd end);

    /** Called before the request's end with its actual cost in units, as stated by a backend's answer. */
    default void onUnitsCharged(double units) {
    }

    /**
     * Called before the request's end if the module refuses the request.
     *
     * @param limitReached whether the quota or ceiling of the request's firm is used up
     * @param holdOffMs when to retry by the module's advice, in milliseconds from now; 0 for no advice
     * @return the advice that the client gets
     */
    default double adviseHoldOff(boolean limitReached, double holdOffMs) {
      return holdOffMs;
    }
  }

  /** Whether the filter applies to such a request. */
  boolean appliesTo(Request request);

  /**
   * Whether a request that the module would refuse by what it knows already is to be refused before it
   * reaches the filter.
   */
  default boolean wantsQuotaPrecheck() {
    return true;
  }

  /** Tells the filter whether the door drains: while it does, no request may wait in the filter. */
  default void setDraining(boolean draining) {
  }

  /**
   * Handles a request to which the filter applies. The message is lent only until the request proceeds or
   * ends.
   */
  FilteredRequest filter(Request request, FullHttpRequest message, Origin origin, Continuation continuation);
}
