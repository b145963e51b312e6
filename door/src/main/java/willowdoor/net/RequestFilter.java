package willowdoor.net;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.SocketAddress;
import willowdoor.policy.GatewayApi.Request;

/**
 * What a request passes after it is read and before the module hears of it. A gate says pass or answer, now
 * or later, and hears of the request's end exactly once. It sends nothing to a backend, and a request that it
 * let pass never comes back to it, however many attempts it takes. All on the door's loop. A door without a
 * gate makes no object and takes no step for it.
 */
public interface RequestFilter {

  /** How a request that entered ended. */
  enum RequestEnd {
    /** With a backend's answer. */
    SERVED,
    /** Refused: asking again is harmless. */
    REFUSED,
    /** Failed, with nothing promised. */
    FAILED,
    /** With the gate's own answer. */
    ANSWERED_HERE,
    /** Its client left. */
    LEFT
  }

  /** What a request came with that does not go on to a backend. */
  record Origin(HttpHeaders headers, SocketAddress remoteAddress) { }

  /** The ways on; the first call counts, and none does after the request's end. */
  interface Continuation {
    /**
     * It goes on, with the message as the gate left its headers.
     *
     * @param responseHeaders headers that its answer carries if a backend serves it; may be null
     */
    void proceed(HttpHeaders responseHeaders);

    /** Its final answer, which is the gate's own; the driver releases it. */
    void answer(FullHttpResponse answer);

    /** It is refused: nothing of it has run. 0 gives no advice when to come back. */
    void refuse(double retryAfterMs);
  }

  /** A request that entered. */
  interface FilteredRequest {
    /** It has its final answer or its client left; called once, whether it had passed or not. */
    void onEnd(RequestEnd end);

    /** A backend's answer says what it truly cost, in units; told before its end. */
    default void onUnitsCharged(double units) {
    }

    /**
     * The module refuses it; told before its end.
     *
     * @param limitReached for its firm's sake, whose quota or ceiling is used up
     * @param holdOffMs what the module advises; 0 where nothing may be advised
     * @return what is advised
     */
    default double adviseHoldOff(boolean limitReached, double holdOffMs) {
      return holdOffMs;
    }
  }

  /** Whether this gate wants to see such a request at all. */
  boolean appliesTo(Request request);

  /** Whether what the module would refuse by what it knows already is to be refused before it enters. */
  default boolean wantsQuotaPrecheck() {
    return true;
  }

  /** Nothing may wait here from now on, as the door drains; or, with false, it serves on after all. */
  default void setDraining(boolean draining) {
  }

  /** Takes a request that concerns it. The message is only lent, until the request passes or ends. */
  FilteredRequest filter(Request request, FullHttpRequest message, Origin origin, Continuation continuation);
}
