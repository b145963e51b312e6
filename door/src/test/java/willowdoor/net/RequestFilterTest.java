package willowdoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import willowdoor.net.Peers.Client;
import willowdoor.policy.GatewayApi.Request;

/**
 * How the driver treats a request filter; the test makes the filter's decisions, at the moments that it
 * chooses.
 */
@Timeout(30)
class RequestFilterTest {

  private final Peers peers = new Peers();
  private final BlockingQueue<RequestFilter.Continuation> continuations = new LinkedBlockingQueue<>();
  private final BlockingQueue<RequestFilter.RequestEnd> ends = new LinkedBlockingQueue<>();
  private FrontDoor door;

  private final class RecordingFilter implements RequestFilter {
    @Override
    public boolean appliesTo(Request request) {
      return true;
    }

    @Override
    public FilteredRequest filter(Request request, FullHttpRequest message, Origin origin,
        Continuation continuation) {
      continuations.add(continuation);
      return ends::add;
    }
  }

  @BeforeEach
  void open() throws Exception {
    door = peers.start();
    onLoop(() -> door.setFilter(new RecordingFilter()));
  }

  @AfterEach
  void close() throws Exception {
    peers.close();
  }

  private void onLoop(Runnable task) throws Exception {
    door.loop().submit(task).sync();
  }

  private RequestFilter.Continuation nextContinuation() throws InterruptedException {
    return continuations.poll(10, TimeUnit.SECONDS);
  }

  private RequestFilter.RequestEnd nextEnd() throws InterruptedException {
    return ends.poll(10, TimeUnit.SECONDS);
  }

  private static FullHttpResponse answer() {
    return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.FORBIDDEN,
        Unpooled.copiedBuffer("no", StandardCharsets.US_ASCII));
  }

  /** The request was answered when its time was up: nothing of it may run any more. */
  @Test
  void aDecisionAfterTheRequestsEndSendsNothing() throws Exception {
    Client client = peers.client();
    client.send(Peers.get("r1", 300));
    RequestFilter.Continuation late = nextContinuation();
    assertEquals(503, client.receive().status(), "nothing of a request in the filter has run");
    assertEquals(RequestFilter.RequestEnd.REFUSED, nextEnd());
    onLoop(() -> late.proceed(null));
    onLoop(() -> late.answer(answer()));
    assertTrue(peers.counterLines.isEmpty(), () -> "the module got the request: " + peers.counterLines);
    // Anything sent for r1 would arrive before r2, which takes the same way.
    client.send(Peers.get("r2", 3_000));
    RequestFilter.Continuation next = nextContinuation();
    onLoop(() -> next.proceed(null));
    assertEquals(200, client.receive().status());
    assertEquals("r2", Peers.next(peers.backendRequests).header("Request-Id"));
    assertEquals(1, peers.counterLines.size(), () -> "only r2 may cause a call: " + peers.counterLines);
    assertEquals(RequestFilter.RequestEnd.SERVED, nextEnd());
    assertNull(ends.poll());
    assertEquals(0, heldRequests(door));
  }

  private static int heldRequests(FrontDoor door) throws Exception {
    return door.loop().submit(door::heldRequests).get();
  }

  /**
   * The client disconnected before the deadline: the module, which never got the request, must not get it
   * now.
   */
  @Test
  void aDecisionAfterTheClientHasLeftDoesNotReachTheModule() throws Exception {
    Client gone = peers.client();
    gone.send(Peers.get("r1", 3_000));
    RequestFilter.Continuation late = nextContinuation();
    gone.close();
    assertEquals(RequestFilter.RequestEnd.LEFT, nextEnd());
    onLoop(() -> late.proceed(null));
    Client client = peers.client();
    client.send(Peers.get("r2", 3_000));
    RequestFilter.Continuation next = nextContinuation();
    onLoop(() -> next.proceed(null));
    assertEquals(200, client.receive().status());
    assertEquals(1, peers.counterLines.size(), () -> "only r2 may cause a call: " + peers.counterLines);
    assertEquals("r2", Peers.next(peers.backendRequests).header("Request-Id"));
    assertEquals(0, heldRequests(door));
  }

  @Test
  void onlyTheFirstDecisionCounts() throws Exception {
    Client client = peers.client();
    client.send(Peers.get("r1", 3_000));
    RequestFilter.Continuation twice = nextContinuation();
    onLoop(() -> {
      twice.proceed(null);
      twice.proceed(null);
      twice.answer(answer());
    });
    assertEquals(200, client.receive().status());
    assertEquals(RequestFilter.RequestEnd.SERVED, nextEnd());
    client.send(Peers.get("r2", 3_000));
    RequestFilter.Continuation denied = nextContinuation();
    onLoop(() -> {
      denied.answer(answer());
      denied.proceed(null);
    });
    assertEquals(403, client.receive().status());
    assertEquals(RequestFilter.RequestEnd.ANSWERED_HERE, nextEnd());
    assertNull(ends.poll());
    assertEquals("r1", Peers.next(peers.backendRequests).header("Request-Id"));
    assertTrue(peers.backendRequests.isEmpty(), "neither a second attempt of r1 nor one of r2");
  }
}
