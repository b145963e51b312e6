package willowdoor.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import willowdoor.net.Peers.Client;
import willowdoor.net.Peers.Message;

/** A front door with real sockets, between small test peers on loopback. */
@Timeout(30)
class FrontDoorTest {

  private final Peers peers = new Peers();

  @AfterEach
  void close() throws Exception {
    peers.close();
  }

  @Test
  void passesRequestAndAnswerOnUnchanged() throws Exception {
    peers.start();
    String body = "x".repeat(60_000) + "\u00e9\0\r\n";
    peers.answer = (request, out) -> Peers.write(out,
        "HTTP/1.1 200 OK\r\nContent-Length: " + request.body().length + "\r\n\r\n" + request.text());
    Message answer = peers.client().ask(Peers.post("r1", body));
    Message sent = Peers.next(peers.backendRequests);
    assertEquals("POST /buy/9 HTTP/1.1", sent.firstLine());
    assertEquals("r1", sent.header("Request-Id"));
    assertEquals("key-r1", sent.header("Idempotency-Key"));
    assertTrue(Integer.parseInt(sent.header("Request-Timeout-Ms")) <= 3000);
    assertArrayEquals(body.getBytes(StandardCharsets.ISO_8859_1), sent.body());
    assertEquals(200, answer.status());
    assertArrayEquals(sent.body(), answer.body());
  }

  @Test
  void keepsClientAndBackendConnections() throws Exception {
    AtomicInteger connections = new AtomicInteger();
    int port = peers.listen(50, (in, out, socket) -> {
      connections.incrementAndGet();
      while (true) {
        peers.backendRequests.add(Peers.read(in));
        Peers.write(out, Peers.OK);
      }
    }).getLocalPort();
    peers.start(peers.config(Peers.rosterEntry("s-1", port, "active")));
    Client client = peers.client();
    for (int i = 0; i < 5; i++) {
      assertEquals("fine", client.ask(Peers.get("r" + i, 3000)).text());
      assertEquals("GET /quote/17?a=%20b&c HTTP/1.1", Peers.next(peers.backendRequests).firstLine());
      // A connection is reused only after the front door has seen that nothing follows the answer.
      TimeUnit.MILLISECONDS.sleep(30);
    }
    assertEquals(1, connections.get());
  }

  @Test
  void answersPipelinedRequestsInOrder() throws Exception {
    peers.start();
    peers.answer = (request, out) -> Peers.write(out,
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + request.header("Request-Id"));
    Client client = peers.client();
    client.send(Peers.get("r1", 3000) + Peers.get("r2", 3000) + Peers.get("r3", 3000));
    for (String id : new String[] {"r1", "r2", "r3"}) {
      assertEquals(id, client.receive().text());
    }
  }

  @Test
  void aRejectedRequestIsRetried() throws Exception {
    peers.start();
    AtomicInteger asked = new AtomicInteger();
    peers.answer = (request, out) ->
        Peers.write(out, asked.incrementAndGet() == 1 ? Peers.NOT_STARTED : Peers.OK);
    assertEquals(200, peers.client().ask(Peers.post("r1", "b")).status());
    assertEquals(2, asked.get());
  }

  /** A retry of a request that may have run carries the same id and key; only the module sends it. */
  @Test
  void aConnectionBrokenAfterTheRequestIsAResetAndTheModuleRetries() throws Exception {
    peers.start();
    AtomicInteger asked = new AtomicInteger();
    peers.answer = (request, out) -> asked.incrementAndGet() > 1 && Peers.write(out, Peers.OK);
    assertEquals(200, peers.client().ask(Peers.post("r1", "b")).status());
    assertEquals("key-r1", Peers.next(peers.backendRequests).header("Idempotency-Key"));
    assertEquals("key-r1", Peers.next(peers.backendRequests).header("Idempotency-Key"));
  }

  @Test
  void aCutAnswerIsNotServed() throws Exception {
    peers.start();
    peers.answer = (request, out) -> {
      Peers.write(out, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly a part");
      return false;
    };
    assertNotEquals(200, peers.client().ask(Peers.get("r1", 3000)).status());
  }

  @Test
  void anAnswerThatIsNotCompleteInTimeIsNotServed() throws Exception {
    peers.start();
    peers.answer = (request, out) -> Peers.write(out, "HTTP/1.1 200 OK\r\nContent-Length: 2000000000\r\n\r\n"
        + "x".repeat(70_000));
    assertNotEquals(200, peers.client().ask(Peers.get("r1", 3000)).status());
  }

  @Test
  void malformedAnswersCloseTheBackendConnectionAndServingContinues() throws Exception {
    peers.start();
    AtomicInteger asked = new AtomicInteger();
    peers.answer = (request, out) ->
        Peers.write(out, asked.incrementAndGet() == 1 ? "no http at all\r\n\r\n" : Peers.OK);
    assertEquals(200, peers.client().ask(Peers.get("r1", 3000)).status());
    assertEquals(200, peers.client().ask(Peers.get("r2", 3000)).status());
  }

  @Test
  void aRefusedConnectionMeansARefusalThatIsHarmlessToRepeat() throws Exception {
    peers.backend.close();
    peers.start();
    assertEquals(503, peers.client().ask(Peers.post("r1", "b")).status());
  }

  /** A vanished host does not answer: a connect attempt has its own timeout, far below the client's. */
  @Test
  void aConnectAttemptEndsByItsOwnTimeout() throws Exception {
    try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      List<SocketChannel> fill = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        SocketChannel c = SocketChannel.open();
        c.configureBlocking(false);
        c.connect(full.getLocalSocketAddress());
        fill.add(c);
      }
      peers.start(peers.config(Peers.rosterEntry("s-1", full.getLocalPort(), "active")));
      long from = System.nanoTime();
      assertEquals(503, peers.client().ask(Peers.post("r1", "b")).status());
      assertTrue(System.nanoTime() - from < TimeUnit.MILLISECONDS.toNanos(2_900));
      for (SocketChannel c : fill) {
        c.close();
      }
    }
  }

  @Test
  void anAttemptAtASilentBackendTimesOutAndItsConnectionCloses() throws Exception {
    CountDownLatch closed = new CountDownLatch(1);
    int port = peers.listen(50, (in, out, socket) -> {
      Peers.read(in);
      if (in.read() < 0) {
        closed.countDown();
      }
    }).getLocalPort();
    peers.start(peers.config(Peers.rosterEntry("s-1", port, "active")));
    long from = System.nanoTime();
    assertNotEquals(200, peers.client().ask(Peers.get("r1", 900)).status());
    assertTrue(System.nanoTime() - from < TimeUnit.MILLISECONDS.toNanos(950));
    assertTrue(closed.await(10, TimeUnit.SECONDS));
  }

  @Test
  void refusesBrokenRequestsWithoutAskingABackend() throws Exception {
    peers.start();
    Client client = peers.client();
    String good = Peers.get("r1", 3000);
    for (String bad : new String[] {good.replace("quote", "other"), good.replace("basic", "gold"),
        good.replace("Request-Id: r1\r\n", ""), good.replace("units=2", "units=x"),
        good.replace("units=2,", ""), good.replace("00000000b4d65521", "-1"), good.replace("3000", "0"),
        good.replace("GET", "POST"), Peers.post("r1", "").replace("Idempotency-Key: key-r1\r\n", ""),
        good.replace("/quote/17", "/\u00fcquote")}) {
      assertEquals(400, client.ask(bad).status(), bad);
    }
    assertEquals(200, client.ask(good).status());
    Peers.next(peers.backendRequests);
    assertNull(peers.backendRequests.poll());
  }

  @Test
  void closesTheConnectionAfterMalformedAndOversizedMessages() throws Exception {
    peers.start();
    Client malformed = peers.client();
    assertEquals(400, malformed.ask("GET /quote HTTP/1.1\r\nbroken header\r\n\r\n").status());
    assertTrue(malformed.isClosedByPeer());
    Client large = peers.client();
    assertEquals(413, large.ask(Peers.post("r1", "").replace("Content-Length: 0", "Content-Length: 70000"))
        .status());
    large.socket.shutdownOutput();
    assertTrue(large.isClosedByPeer());
    assertEquals(200, peers.client().ask(Peers.get("r1", 3000)).status());
  }


  @Test
  void reportsReadinessAtUp() throws Exception {
    peers.start();
    String up = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
    assertEquals(200, peers.client().ask(up).status());
    assertEquals(405, peers.client().ask(up.replace("GET", "PUT")).status());
  }

  @Test
  void isNotReadyUntilDiscoveryListsABackend() throws Exception {
    peers.start(peers.config());
    String up = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
    Client client = peers.client();
    assertEquals(503, client.ask(up).status());
    Peers.next(peers.watchRequests);
    peers.sendToNewestWatch(Peers
        .rosterJson(8, true, Peers.rosterEntry("s-1", peers.backend.getLocalPort(), "active")) + "\n");
    while (client.ask(up).status() != 200) {
      Thread.onSpinWait();
    }
  }

  /** A client that disconnected gets nothing; its attempt still ends at the module, and serving continues. */
  @Test
  void aClientThatLeavesIsForgotten() throws Exception {
    peers.start();
    CountDownLatch left = new CountDownLatch(1);
    peers.answer = (request, out) -> {
      await(left);
      return Peers.write(out, Peers.OK);
    };
    Client client = peers.client();
    client.send(Peers.get("r1", 3000));
    Peers.next(peers.backendRequests);
    client.close();
    left.countDown();
    assertEquals(200, peers.client().ask(Peers.get("r2", 3000)).status());
  }

  /**
   * During a graceful shutdown, requests on open connections are served, as a load balancer that has not
   * noticed yet sends nowhere else. After that, each answer closes its connection, idle connections are
   * closed, and all accepted requests are answered.
   */
  @Test
  void drainsWithoutLosingARequest() throws Exception {
    FrontDoor door = peers.start();
    CountDownLatch release = new CountDownLatch(1);
    AtomicBoolean hold = new AtomicBoolean();
    peers.answer = (request, out) -> {
      if (hold.get()) {
        await(release);
      }
      return Peers.write(out, Peers.OK);
    };
    Client idle = peers.client();
    Client busy = peers.client();
    Thread shutdown = new Thread(door::drain);
    shutdown.start();
    while (idle.ask("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").status() == 200) {
      Thread.onSpinWait();
    }
    Message kept = busy.ask(Peers.get("r1", 3000));
    assertEquals(200, kept.status());
    assertNull(kept.header("Connection"));
    hold.set(true);
    busy.send(Peers.get("r2", 3000));
    assertTrue(idle.isClosedByPeer());
    release.countDown();
    Message answer = busy.receive();
    assertEquals(200, answer.status());
    assertEquals("close", answer.header("Connection"));
    assertTrue(busy.isClosedByPeer());
    shutdown.join(10_000);
    assertTrue(!shutdown.isAlive());
  }

  private static void await(CountDownLatch latch) throws IOException {
    try {
      latch.await(10, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }
}
