package willowdoor.net;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import willowdoor.policy.GatewayApi.Request;

/**
 * Two filters in sequence. A request that the first lets proceed goes to the second, and both are told of its
 * end.
 */
public final class RequestFilterChain implements RequestFilter {

  private final RequestFilter first;
  private final RequestFilter second;

  public RequestFilterChain(RequestFilter first, RequestFilter second) {
    this.first = first;
    this.second = second;
  }

  @Override
  public boolean appliesTo(Request request) {
    return first.appliesTo(request) || second.appliesTo(request);
  }

  @Override
  public boolean wantsQuotaPrecheck() {
    return first.wantsQuotaPrecheck() || second.wantsQuotaPrecheck();
  }

  @Override
  public void setDraining(boolean draining) {
    first.setDraining(draining);
    second.setDraining(draining);
  }

  @Override
  public FilteredRequest filter(Request request, FullHttpRequest message, Origin origin,
      Continuation continuation) {
    ChainedRequest chained = new ChainedRequest(request, message, origin, continuation);
    if (first.appliesTo(request)) {
      chained.inFirst = first.filter(request, message, origin, chained);
      if (chained.requestEnd != null) {
        chained.inFirst.onEnd(chained.requestEnd);
      }
    } else {
      chained.proceed(null);
    }
    return chained;
  }

  /**
   * A request in either filter or in both. The second filter may be called while the first filter's call has
   * not returned yet.
   */
  private final class ChainedRequest implements FilteredRequest, Continuation {
    private final Request request;
    private final FullHttpRequest message;
    private final Origin origin;
    private final Continuation continuation;
    private FilteredRequest inFirst;
    private FilteredRequest inSecond;
    private boolean passedFirst;
    private RequestEnd requestEnd;

    ChainedRequest(Request request, FullHttpRequest message, Origin origin, Continuation continuation) {
      this.request = request;
      this.message = message;
      this.origin = origin;
      this.continuation = continuation;
    }

    @Override
    public void proceed(HttpHeaders responseHeaders) {
      if (passedFirst || requestEnd != null) {
        return;
      }
      passedFirst = true;
      if (!second.appliesTo(request)) {
        continuation.proceed(responseHeaders);
        return;
      }
      inSecond = second.filter(request, message, origin, new Continuation() {
        @Override
        public void proceed(HttpHeaders more) {
          continuation.proceed(responseHeaders);
        }

        @Override
        public void answer(FullHttpResponse answer) {
          continuation.answer(answer);
        }

        @Override
        public void refuse(double comeBackMs) {
          continuation.refuse(comeBackMs);
        }
      });
      if (requestEnd != null) {
        inSecond.onEnd(requestEnd);
      }
    }

    @Override
    public void answer(FullHttpResponse answer) {
      continuation.answer(answer);
    }

    @Override
    public void refuse(double retryAfterMs) {
      continuation.refuse(retryAfterMs);
    }

    @Override
    public void onUnitsCharged(double units) {
      if (inFirst != null) {
        inFirst.onUnitsCharged(units);
      }
      if (inSecond != null) {
        inSecond.onUnitsCharged(units);
      }
    }

    @Override
    public double adviseHoldOff(boolean limitReached, double holdOffMs) {
      double adviceOfFirst = inFirst == null ? holdOffMs : inFirst.adviseHoldOff(limitReached, holdOffMs);
      return inSecond == null ? adviceOfFirst : inSecond.adviseHoldOff(limitReached, adviceOfFirst);
    }

    @Override
    public void onEnd(RequestEnd end) {
      requestEnd = end;
      if (inFirst != null) {
        inFirst.onEnd(end);
      }
      if (inSecond != null) {
        inSecond.onEnd(end);
      }
    }
  }
}
