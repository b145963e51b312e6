package willowdoor.net;

import willowdoor.policy.GatewayApi.Request;

/** Hears how requests end, each once; on the door's loop, which it must not hold up. */
public interface RequestEndListener {

  /** A request has its final answer, so long after it was taken, or its client has left. */
  void onRequestEnd(Request request, RequestFilter.RequestEnd end, double tookMs);
}
