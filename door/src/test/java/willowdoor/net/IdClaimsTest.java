package willowdoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import willowdoor.policy.GatewayApi.Request;

/** Claims of request ids at another process that the test plays. */
class IdClaimsTest {

  private static final int MANY = 200;
  /** Longer than each wait before a request proceeds or a call is repeated. */
  private static final long WAIT_MS = 150;

  private final EmbeddedChannel loopRunner = new EmbeddedChannel();
  private final List<String> outcomes = new ArrayList<>();
  private final List<List<String>> calls = new ArrayList<>();
  private final List<IdClaims.Reply> replies = new ArrayList<>();
  private boolean takesClients = true;
  private boolean isFirst = true;
  private boolean exists = true;
  private final IdClaims claims = new IdClaims(loopRunner.eventLoop(), new IdClaims.Peer() {
    @Override
    public boolean exists() {
      return exists;
    }

    @Override
    public boolean isFirst() {
      return isFirst;
    }

    @Override
    public boolean takesClients() {
      return takesClients;
    }

    @Override
    public void claim(List<String> ids, IdClaims.Reply callback) {
      calls.add(ids);
      replies.add(callback);
    }
  });

  private void pause(long ms) {
    loopRunner.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
    loopRunner.runScheduledPendingTasks();
  }

  private RequestFilter.FilteredRequest send(HttpMethod method, String id) {
    FullHttpRequest message =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/", Unpooled.EMPTY_BUFFER);
    return claims.filter(new Request(id, "move", "basic", 1, 1, 1, 1_000), message, null,
        new RequestFilter.Continuation() {
      @Override
      public void proceed(HttpHeaders responseHeaders) {
        outcomes.add(id);
      }

      @Override
      public void answer(FullHttpResponse answer) {
        outcomes.add(id + " " + answer.status().code());
        answer.release();
      }

      @Override
      public void refuse(double retryAfterMs) {
        outcomes.add(id + " refused");
      }
    });
  }

  @Test
  void requestsOfOneTurnShareACallAndWaitForItsReply() {
    send(HttpMethod.POST, "a");
    send(HttpMethod.POST, "b");
    send(HttpMethod.GET, "safe");
    loopRunner.runPendingTasks();
    assertEquals(List.of(List.of("a", "b")), calls);
    assertEquals(List.of("safe"), outcomes);
    replies.get(0).onReply(Set.of("b"));
    assertEquals(List.of("safe", "a", "b 400"), outcomes);
  }

  @Test
  void nothingWaitsWhileTheOtherProcessTakesNoClients() {
    takesClients = false;
    send(HttpMethod.POST, "a");
    assertEquals(List.of("a"), outcomes);
    loopRunner.runPendingTasks();
    assertEquals(List.of(List.of("a")), calls);
  }

  /** Guards against requests that wait one call after the other while the other process stands still. */
  @Test
  void theFirstProcessBeginsAllThatWaitsForACallWithoutReply() {
    for (int i = 0; i < MANY; i++) {
      send(HttpMethod.POST, "00000000000000" + i);
    }
    loopRunner.runPendingTasks();
    assertEquals(0, outcomes.size());
    pause(WAIT_MS);
    assertEquals(1, calls.size());
    assertEquals(MANY, outcomes.size());
  }

  /** Guards against ids of requests that have begun and that the other process is never told of. */
  @Test
  void theFirstProcessRepeatsAClaimWithoutReply() {
    send(HttpMethod.POST, "a");
    loopRunner.runPendingTasks();
    pause(WAIT_MS);
    replies.get(0).onNoReply();
    send(HttpMethod.POST, "b");
    pause(WAIT_MS);
    assertEquals(List.of(List.of("a"), List.of("a", "b")), calls);
    replies.get(1).onReply(Set.of());
    pause(WAIT_MS);
    assertEquals(2, calls.size());
    assertEquals(List.of("a", "b"), outcomes);
  }

  /** Guards against a request that the second process begins because the first one is slow. */
  @Test
  void theSecondProcessBeginsNothingWithoutAReply() {
    isFirst = false;
    send(HttpMethod.POST, "a");
    loopRunner.runPendingTasks();
    pause(WAIT_MS);
    replies.get(0).onNoReply();
    pause(WAIT_MS);
    assertEquals(List.of(List.of("a"), List.of("a")), calls);
    assertEquals(List.of(), outcomes);
    replies.get(1).onReply(Set.of());
    assertEquals(List.of("a"), outcomes);
  }

  @Test
  void theSecondProcessGoesOnOnceTheFirstHasEnded() {
    isFirst = false;
    send(HttpMethod.POST, "a");
    loopRunner.runPendingTasks();
    send(HttpMethod.POST, "b");
    replies.get(0).onOtherEnded();
    assertEquals(List.of("a", "b"), outcomes);
    send(HttpMethod.POST, "c");
    exists = false;
    loopRunner.runPendingTasks();
    assertEquals(List.of("a", "b", "c"), outcomes);
  }

  /** Guards against claims that pile up while the other process is silent. */
  @Test
  void theClaimOfARequestThatHasEndedIsNotRepeated() {
    isFirst = false;
    RequestFilter.FilteredRequest left = send(HttpMethod.POST, "a");
    loopRunner.runPendingTasks();
    RequestFilter.FilteredRequest leftUnsent = send(HttpMethod.POST, "b");
    left.onEnd(RequestFilter.RequestEnd.LEFT);
    leftUnsent.onEnd(RequestFilter.RequestEnd.LEFT);
    replies.get(0).onNoReply();
    pause(WAIT_MS);
    assertEquals(1, calls.size());
    assertEquals(List.of(), outcomes);
  }
}
