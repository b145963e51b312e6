package willowdoor.net;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import willowdoor.policy.GatewayApi.Request;

/** Two gates, one after the other. What the first lets pass enters the second, and both hear of its end. */
public final class GateChain implements Gate {

  private final Gate first;
  private final Gate second;

  public GateChain(Gate first, Gate second) {
    this.first = first;
    this.second = second;
  }

  @Override
  public boolean concerns(Request request) {
    return first.concerns(request) || second.concerns(request);
  }

  @Override
  public boolean foresees() {
    return first.foresees() || second.foresees();
  }

  @Override
  public void draining(boolean on) {
    first.draining(on);
    second.draining(on);
  }

  @Override
  public Entry enter(Request request, FullHttpRequest message, Origin origin, Passage passage) {
    Both both = new Both(request, message, origin, passage);
    if (first.concerns(request)) {
      both.one = first.enter(request, message, origin, both);
      if (both.ended != null) {
        both.one.ended(both.ended);
      }
    } else {
      both.pass(null);
    }
    return both;
  }

  /** A request in either; where it enters the second while the first is still being entered, too. */
  private final class Both implements Entry, Passage {
    private final Request request;
    private final FullHttpRequest message;
    private final Origin origin;
    private final Passage passage;
    private Entry one;
    private Entry other;
    private boolean passed;
    private End ended;

    Both(Request request, FullHttpRequest message, Origin origin, Passage passage) {
      this.request = request;
      this.message = message;
      this.origin = origin;
      this.passage = passage;
    }

    @Override
    public void pass(HttpHeaders forClient) {
      if (passed || ended != null) {
        return;
      }
      passed = true;
      if (!second.concerns(request)) {
        passage.pass(forClient);
        return;
      }
      other = second.enter(request, message, origin, new Passage() {
        @Override
        public void pass(HttpHeaders more) {
          passage.pass(forClient);
        }

        @Override
        public void answer(FullHttpResponse answer) {
          passage.answer(answer);
        }

        @Override
        public void refuse(double comeBackMs) {
          passage.refuse(comeBackMs);
        }
      });
      if (ended != null) {
        other.ended(ended);
      }
    }

    @Override
    public void answer(FullHttpResponse answer) {
      passage.answer(answer);
    }

    @Override
    public void refuse(double comeBackMs) {
      passage.refuse(comeBackMs);
    }

    @Override
    public void charged(double units) {
      if (one != null) {
        one.charged(units);
      }
      if (other != null) {
        other.charged(units);
      }
    }

    @Override
    public double advised(boolean spent, double holdOffMs) {
      double told = one == null ? holdOffMs : one.advised(spent, holdOffMs);
      return other == null ? told : other.advised(spent, told);
    }

    @Override
    public void ended(End end) {
      ended = end;
      if (one != null) {
        one.ended(end);
      }
      if (other != null) {
        other.ended(end);
      }
    }
  }
}
