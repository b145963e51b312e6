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

/** The driver's side of the gate's seam, with a gate that says what the test says, when it says it. */
@Timeout(30)
class GateSeamTest {

  private final Peers peers = new Peers();
  private final BlockingQueue<Gate.Passage> entered = new LinkedBlockingQueue<>();
  private final BlockingQueue<Gate.End> ended = new LinkedBlockingQueue<>();
  private FrontDoor door;

  private final class Told implements Gate {
    @Override
    public boolean concerns(Request request) {
      return true;
    }

    @Override
    public Entry enter(Request request, FullHttpRequest message, Origin origin, Passage passage) {
      entered.add(passage);
      return ended::add;
    }
  }

  @BeforeEach
  void open() throws Exception {
    door = peers.start();
    onLoop(() -> door.guard(new Told()));
  }

  @AfterEach
  void close() throws Exception {
    peers.close();
  }

  private void onLoop(Runnable what) throws Exception {
    door.loop().submit(what).sync();
  }

  private Gate.Passage entry() throws InterruptedException {
    return entered.poll(10, TimeUnit.SECONDS);
  }

  private Gate.End end() throws InterruptedException {
    return ended.poll(10, TimeUnit.SECONDS);
  }

  private static FullHttpResponse answer() {
    return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.FORBIDDEN,
        Unpooled.copiedBuffer("no", StandardCharsets.US_ASCII));
  }

  /** Its answer went out when its time was up: nothing of it may run any more. */
  @Test
  void aPassageAfterTheRequestsEndSendsNothing() throws Exception {
    Client client = peers.client();
    client.send(Peers.get("r1", 300));
    Gate.Passage late = entry();
    assertEquals(503, client.receive().status(), "at the gate nothing has run");
    assertEquals(Gate.End.REFUSED, end());
    onLoop(() -> late.pass(null));
    onLoop(() -> late.answer(answer()));
    assertTrue(peers.counterLines.isEmpty(), () -> "the module heard of it: " + peers.counterLines);
    // What would be sent is sent before this one, which goes the same way.
    client.send(Peers.get("r2", 3_000));
    Gate.Passage next = entry();
    onLoop(() -> next.pass(null));
    assertEquals(200, client.receive().status());
    assertEquals("r2", Peers.next(peers.backendRequests).header("Request-Id"));
    assertEquals(1, peers.counterLines.size(), () -> "one call, of r2 alone: " + peers.counterLines);
    assertEquals(Gate.End.SERVED, end());
    assertNull(ended.poll());
    assertEquals(0, heldBy(door));
  }

  private static int heldBy(FrontDoor door) throws Exception {
    return door.loop().submit(door::held).get();
  }

  /** Its client left with time to spare: the module, which never had it, does not get it now. */
  @Test
  void aPassageAfterTheClientHasLeftIsNotTakenToTheModule() throws Exception {
    Client gone = peers.client();
    gone.send(Peers.get("r1", 3_000));
    Gate.Passage late = entry();
    gone.close();
    assertEquals(Gate.End.LEFT, end());
    onLoop(() -> late.pass(null));
    Client client = peers.client();
    client.send(Peers.get("r2", 3_000));
    Gate.Passage next = entry();
    onLoop(() -> next.pass(null));
    assertEquals(200, client.receive().status());
    assertEquals(1, peers.counterLines.size(), () -> "one call, of r2 alone: " + peers.counterLines);
    assertEquals("r2", Peers.next(peers.backendRequests).header("Request-Id"));
    assertEquals(0, heldBy(door));
  }

  @Test
  void onlyTheFirstOfItsWordsCounts() throws Exception {
    Client client = peers.client();
    client.send(Peers.get("r1", 3_000));
    Gate.Passage twice = entry();
    onLoop(() -> {
      twice.pass(null);
      twice.pass(null);
      twice.answer(answer());
    });
    assertEquals(200, client.receive().status());
    assertEquals(Gate.End.SERVED, end());
    client.send(Peers.get("r2", 3_000));
    Gate.Passage denied = entry();
    onLoop(() -> {
      denied.answer(answer());
      denied.pass(null);
    });
    assertEquals(403, client.receive().status());
    assertEquals(Gate.End.ANSWERED_HERE, end());
    assertNull(ended.poll());
    assertEquals("r1", Peers.next(peers.backendRequests).header("Request-Id"));
    assertTrue(peers.backendRequests.isEmpty(), "neither r1 twice nor r2");
  }
}
