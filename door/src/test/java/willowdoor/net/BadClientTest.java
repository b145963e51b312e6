package willowdoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.SocketException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import willowdoor.net.Peers.Client;
import willowdoor.net.Peers.Message;

/**
 * Clients that hold connections, never finish a request, or send requests that could be parsed in two ways.
 */
@Timeout(40)
class BadClientTest {

  private static final long END_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(3);
  private static final int MAX_CLIENTS =
      new ConnectionBudget(ResourceLimits.of(Peers.SMALL_SOCKET_LIMIT, 128).connections()).maxClients();

  private final Peers peers = new Peers();

  @AfterEach
  void close() throws Exception {
    peers.close();
  }

  /**
   * Without a limit, file descriptors run out; above the limit one connection is refused, not all of them.
   */
  @Test
  void oneConnectionTooManyIsRefusedAndTheOthersAreServed() throws Exception {
    peers.start(peers.smallConfig());
    String request = Peers.get("r1", 3000);
    Client withinLimit;
    Client tooMany;
    int n = 0;
    do {
      // Repeated if the machine stalled: connections without a complete request may be closed after a while.
      for (int i = 1; i < MAX_CLIENTS; i++) {
        peers.client().send(request.substring(0, 20));
      }
      withinLimit = peers.client();
      withinLimit.send(request.substring(0, 20));
      tooMany = peers.client();
    } while (tooMany.ask(Peers.get("t" + n++, 3000)).status() != 503);
    assertTrue(tooMany.isClosedByPeer());
    assertEquals(200, withinLimit.ask(request.substring(20)).status());
  }

  /** Clients that send one request and keep their connection must not lock other clients out. */
  @Test
  void clientsThatAskOnceAndStayLockNobodyOut() throws Exception {
    peers.start(peers.smallConfig());
    assertNull(peers.client().ask(Peers.get("first", 3000)).header("Connection"));
    Message answer = null;
    for (int i = 0; i < 2 * MAX_CLIENTS; i++) {
      answer = peers.client().ask(Peers.get("r" + i, 3000));
      assertEquals(200, answer.status());
    }
    assertEquals("close", answer.header("Connection"));
  }

  /**
   * Guards against connections of unsound clients that have their last answer, and stay half open for a
   * while, in the places of clients that come meanwhile: these were reset after their requests.
   */
  @Test
  void clientsThatHaveTheirLastAnswerLeaveTheirPlaces() throws Exception {
    peers.start(peers.smallConfig());
    for (int i = 0; i < 3 * MAX_CLIENTS; i++) {
      Client unsound = peers.client();
      assertEquals(400, unsound.ask("no request\r\n\r\n").status());
      if (i % 10 == 0) {
        assertEquals(200, peers.client().ask(Peers.get("r" + i, 3000)).status());
      }
    }
  }

  /**
   * Clients and backends share one budget: whichever side needs more gets it, and together they never exceed
   * the budget.
   */
  @Test
  void clientsAndBackendsTogetherStayWithinTheBudget() {
    ConnectionBudget budget = new ConnectionBudget(100);
    int maxClients = budget.maxClients();
    budget.addClients(maxClients);
    int backends = 0;
    while (budget.hasRoomForBackend()) {
      budget.addBackends(1);
      backends++;
    }
    assertEquals(100, maxClients + backends);
    assertTrue(budget.maxClients() < maxClients);
    budget.addClients(-maxClients);
    assertTrue(budget.hasRoomForBackend());
  }

  /** Guards against a wait that grows with what a client has sent of a request in which it then stops. */
  @Test
  void aClientThatStopsHalfWayThroughALargeRequestHearsOfItInTime() throws Exception {
    peers.start();
    String request = Peers.post("r1", "x".repeat(60_000));
    for (int part : new int[] {request.length() / 2, request.length() - 1}) {
      Client client = peers.client();
      client.send(request.substring(0, part));
      long stoppedNanos = System.nanoTime();
      assertEquals(408, client.receive().status());
      long afterNanos = System.nanoTime() - stoppedNanos;
      assertTrue(afterNanos < END_LIMIT_NANOS, part + " bytes: " + afterNanos + " ns");
    }
  }

  @Test
  void slowSendingDoesNotExtendTheRequestTimeout() throws Exception {
    peers.start();
    Client client = peers.client();
    long from = System.nanoTime();
    client.send("GET /quote/17 HTTP/1.1\r\n");
    client.socket.setSoTimeout(50);
    while (true) {
      try {
        assertEquals(408, client.receive().status());
        break;
      } catch (IOException e) {
        assertTrue(System.nanoTime() - from < END_LIMIT_NANOS,
            "neither an error nor a close within the limit");
        client.send("X-Pad: 1\r\n");
      }
    }
    assertTrue(System.nanoTime() - from < END_LIMIT_NANOS);
  }

  @Test
  void aSilentConnectionIsClosed() throws Exception {
    peers.start();
    long from = System.nanoTime();
    assertTrue(peers.client().isClosedByPeer());
    assertTrue(System.nanoTime() - from < END_LIMIT_NANOS);
  }

  /** The second request in the body must not reach a backend, whichever of the two lengths applies. */
  @Test
  void ambiguousFramingIsRefusedAndTheConnectionCloses() throws Exception {
    peers.start();
    String hidden = Peers.get("hidden", 3000);
    String post = Peers.post("r1", "");
    for (String bad : new String[] {
        post.replace("Content-Length: 0", "Content-Length: 5\r\nTransfer-Encoding: chunked")
            + "0\r\n\r\n" + hidden,
        post.replace("Content-Length: 0", "Transfer-Encoding: chunked\r\nContent-Length: 5")
            + "0\r\n\r\n" + hidden,
        post.replace("Content-Length: 0", "Content-Length: 0\r\nContent-Length: 5") + hidden,
        post.replace("Content-Length: 0", "Content-Length: -5") + hidden,
        post.replace("Content-Length: 0", "Content-Length: +0") + hidden,
        post.replace("Content-Length: 0", "Content-Length: 0x0") + hidden,
        post.replace("Content-Length: 0", "Transfer-Encoding: xchunked") + hidden,
        post.replace("Request-Id: r1", "Request-Id: r1\r\nRequest-Id: r2"),
        post.replace("X-Plan: basic", "X-Plan: basic\r\nX-Plan: basic"),
        post.replace("X-Quota:", "X-Quota: units=1,spread=2,first=1\r\nX-Quota:")}) {
      Client client = peers.client();
      client.send(bad);
      assertEquals(400, client.receive().status(), bad);
      client.socket.shutdownOutput();
      assertTrue(client.isClosedByPeer(), bad);
    }
    assertEquals(200, peers.client().ask(Peers.get("r2", 3000)).status());
    assertEquals("r2", Peers.next(peers.backendRequests).header("Request-Id"));
    assertNull(peers.backendRequests.poll());
  }

  /**
   * A request with a value out of range, in the name of whichever customer, reaches neither a backend nor the
   * counter.
   */
  @Test
  void valuesOutOfRangeReachNeitherBackendNorCounter() throws Exception {
    peers.start();
    String good = Peers.get("r1", 3000);
    Client client = peers.client();
    for (String bad : new String[] {good.replace("units=2", "units=9"), good.replace("units=2", "units=-1"),
        good.replace("units=2", "units=2.5"), good.replace("spread=2", "spread=3"),
        good.replace("spread=2", "spread=0"), good.replace("first=1", "first=2"),
        good.replace("first=1", "first=-1"), good.replace(",first=1", ""),
        good.replace("units=2", "units=99999999999999999999"), good.replace(": 3000", ": 4001"),
        good.replace(": 3000", ": 3e3"), good.replace(": 3000", ": soon"),
        good.replace("00000000b4d65521", "0000000200000000"),
        good.replace("00000000b4d65521", "ffffffffffffffff")}) {
      assertEquals(400, client.ask(bad).status(), bad);
    }
    assertEquals(200, client.ask(good).status());
    assertTrue(Peers.next(peers.counterLines).startsWith("incr "));
    assertNull(peers.counterLines.poll());
    Peers.next(peers.backendRequests);
    assertNull(peers.backendRequests.poll());
  }

  @Test
  void aHugeBodyIsRefusedBeforeItHasArrived() throws Exception {
    peers.start();
    Client client = peers.client();
    client.send(Peers.post("r1", "").replace("Content-Length: 0", "Content-Length: 60000000"));
    assertEquals(413, client.receive().status());
    Client chunked = peers.client();
    chunked.send(Peers.post("r1", "").replace("Content-Length: 0", "Transfer-Encoding: chunked"));
    String chunk = "8000\r\n" + "x".repeat(0x8000) + "\r\n";
    try {
      for (int i = 0; i < 2_000; i++) {
        chunked.send(chunk);
      }
    } catch (SocketException e) {
      // The front door has closed the connection, which tells the client as much as the error does.
    }
    assertEquals(200, peers.client().ask(Peers.get("r2", 3000)).status());
    assertEquals("r2", Peers.next(peers.backendRequests).header("Request-Id"));
  }

  /**
   * When a client sends more requests than are kept, those kept are answered, and the connection is closed.
   */
  @Test
  void aFloodOnOneConnectionIsBounded() throws Exception {
    peers.start();
    StringBuilder flood = new StringBuilder();
    for (int i = 0; i < 200; i++) {
      flood.append(Peers.get("r" + i, 3000));
    }
    Client client = peers.client();
    client.send(flood.toString());
    int answers = 0;
    try {
      while (client.receive().status() == 200) {
        answers++;
      }
    } catch (IOException e) {
      // The connection was closed.
    }
    assertTrue(answers > 0 && answers < 200, "answers: " + answers);
  }
}
