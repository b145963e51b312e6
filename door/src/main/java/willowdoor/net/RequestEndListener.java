package willowdoor.net;

import willowdoor.policy.GatewayApi.Request;

/**
 * Listens for the ends of requests. Called once for each request, on the door's loop, which an implementation
 * must not block.
 */
public interface RequestEndListener {

  /**
   * Called when a request has its final answer or its client has disconnected.
   *
   * @param tookMs milliseconds since the request was accepted
   */
  void onRequestEnd(Request request, RequestFilter.RequestEnd end, double tookMs);
}
