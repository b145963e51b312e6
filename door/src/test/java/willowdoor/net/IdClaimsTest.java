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
import org.junit.jupiter.api.Test;
import willowdoor.policy.GatewayApi.Request;

/** Claims of request ids at another process that the test plays. */
class IdClaimsTest {

  private static final int MANY = 200;

  private final EmbeddedChannel loopRunner = new EmbeddedChannel();
  private final List<String> outcomes = new ArrayList<>();
  private final List<List<String>> calls = new ArrayList<>();
  private final List<IdClaims.Reply> replies = new ArrayList<>();
  private boolean takesClients = true;
  private final IdClaims claims = new IdClaims(loopRunner.eventLoop(), new IdClaims.Peer() {
    @Override
    public boolean exists() {
      return true;
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

  private void send(HttpMethod method, String id) {
    FullHttpRequest message =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/", Unpooled.EMPTY_BUFFER);
    claims.filter(new Request(id, "move", "basic", 1, 1, 1, 1_000), message, null,
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
  void whatWaitsBehindACallWithoutReplyProceedsWithIt() {
    for (int i = 0; i < MANY; i++) {
      send(HttpMethod.POST, "00000000000000" + i);
    }
    loopRunner.runPendingTasks();
    replies.get(0).onNoReply();
    assertEquals(1, calls.size());
    assertEquals(MANY, outcomes.size());
    send(HttpMethod.POST, "next");
    loopRunner.runPendingTasks();
    assertEquals(List.of("next"), calls.get(1));
  }
}
