package willowdoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import willowdoor.net.Peers.Client;
import willowdoor.net.Peers.Message;

/**
 * Clients that close, reset or half-close their connection while their request waits in the gateway: no
 * attempt of such a request may begin at a backend afterwards, and the remaining clients are served.
 */
@Timeout(60)
class ClientDisconnectTest {

  /** More than the 0.1 s within which an attempt may still begin after its client disconnected. */
  private static final long AFTER_LEAVING_MS = 300;
  private static final long IN_PROGRESS_MS = 150;
  /** The timeout sent to a backend may exceed the client's remaining time by so many milliseconds. */
  private static final long SLACK_MS = 150;
  /**
   * Counter calls for one tenant are made one after the other, so only the first of them is visible; the rest
   * is given this time to be read.
   */
  private static final long ALL_READ_MS = 50;
  private static final long POLL_MS = 5;
  /** Less than the 3.5 s that the client waits. */
  private static final int MAX_POLLS = 500;
  private static final int CLIENTS = 4;
  private static final int UNREAD_REQUESTS = 4_000;
  /** The kernel retries a connect after one second, and again after two more. */
  private static final String SLOW_CONNECTS = "\"DialTimeoutMs\":2500";

  @TempDir
  private Path folder;
  private final Peers peers = new Peers();
  private ServingProcess gateway;
  private LateBackend lateBackend;

  @AfterEach
  void close() throws Exception {
    if (gateway != null) {
      gateway.close();
    }
    if (lateBackend != null) {
      lateBackend.close();
    }
    peers.close();
  }

  /**
   * Starts a gateway whose policy waits for the counter long enough for the gateway to be stopped meanwhile.
   */
  private void startWithBackends(int... backendPorts) throws Exception {
    String[] entries = new String[backendPorts.length];
    for (int i = 0; i < entries.length; i++) {
      entries[i] = Peers.rosterEntry("s-" + (i + 1), backendPorts[i], "active");
    }
    gateway = new ServingProcess(folder,
        peers.config(entries).replace("\"DialTimeoutMs\":250", SLOW_CONNECTS)
            .replace("\"AimMs\":1500", "\"AimMs\":4000")
            .replace("\"CountLimitMs\":50", "\"CountLimitMs\":3000"));
  }

  /** The same with two backends of the test peers, to each of which idle connections are open. */
  private void startWithPooledConnections() throws Exception {
    int other = peers.listen(50, peers::serveBackend).getLocalPort();
    startWithBackends(peers.backend.getLocalPort(), other);
    Peers.Answer usual = peers.answer;
    peers.answer = (request, out) -> {
      pause(IN_PROGRESS_MS);
      return usual.respond(request, out);
    };
    List<Client> clients = new ArrayList<>();
    for (int i = 0; i < 4 * CLIENTS; i++) {
      clients.add(gateway.client());
      clients.get(i).send(Peers.get("before" + i, 3_500));
    }
    for (Client client : clients) {
      assertEquals(200, client.receive().status());
      client.close();
    }
    peers.answer = usual;
    peers.backendRequests.clear();
  }

  private static void pause(long ms) {
    try {
      TimeUnit.MILLISECONDS.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private interface Step {
    void run() throws Exception;
  }

  /**
   * Stops the process of the gateway, as happens on a busy host, runs the step, lets the clients leave, and
   * continues the process.
   */
  private void leaveWhileStopped(Step step, Clients clients) throws Exception {
    leaveWhileStopped(step, clients, "stays");
  }

  private void leaveWhileStopped(Step step, Clients clients, String served) throws Exception {
    gateway.signal("STOP");
    step.run();
    pause(IN_PROGRESS_MS);
    clients.leave();
    pause(AFTER_LEAVING_MS);
    gateway.signal("CONT");
    assertEquals(200, clients.stays.receive().status(), gateway.log());
    pause(AFTER_LEAVING_MS);
    assertEquals(Set.of(served), ids(peers.backendRequests), gateway.log());
  }

  /** Clients with one request each; all but the first leave. */
  private final class Clients {
    final Client stays = gateway.client();
    private final Client closes = gateway.client();
    private final Client resets = gateway.client();
    private final Client halfCloses = gateway.client();

    Clients() throws Exception {
      send("");
    }

    /** Sends a request on each connection, with ids that begin with the prefix. */
    void send(String prefix) throws Exception {
      stays.send(Peers.get(prefix + "stays", 3_500));
      closes.send(Peers.get(prefix + "closes", 3_500));
      resets.send(Peers.get(prefix + "resets", 3_500));
      halfCloses.send(Peers.get(prefix + "half-closes", 3_500));
    }

    void leave() throws Exception {
      closes.close();
      ServingProcess.reset(resets.socket);
      halfCloses.socket.shutdownOutput();
    }
  }

  private static Set<String> ids(BlockingQueue<Message> requests) {
    List<Message> all = new ArrayList<>();
    requests.drainTo(all);
    Set<String> ids = new TreeSet<>();
    all.forEach(m -> ids.add(m.header("Request-Id")));
    return ids;
  }

  /**
   * Guards against attempts that are written when their connection is established, though the client has
   * left.
   */
  @Test
  void leavesWhileTheBackendConnectionIsEstablished() throws Exception {
    leaveWhileConnecting(() -> { });
  }

  /** Guards against the same during shutdown: what the gateway still writes is for clients that stay. */
  @Test
  void leavesWhileConnectingDuringShutdown() throws Exception {
    leaveWhileConnecting(() -> gateway.signal("TERM"));
  }

  /** Guards against the same while the gateway reloads its configuration. */
  @Test
  void leavesWhileConnectingDuringReload() throws Exception {
    leaveWhileConnecting(() -> {
      gateway.replace(peers.config(Peers.rosterEntry("s-1", lateBackend.port(), "active")));
      gateway.signal("HUP");
    });
  }

  private void leaveWhileConnecting(Step step) throws Exception {
    lateBackend = new LateBackend();
    startWithBackends(lateBackend.port());
    Clients clients = new Clients();
    pause(IN_PROGRESS_MS);
    step.run();
    clients.leave();
    pause(AFTER_LEAVING_MS);
    lateBackend.open();
    assertEquals(200, clients.stays.receive().status(), gateway.log());
    pause(AFTER_LEAVING_MS);
    assertEquals(Set.of("stays"), ids(lateBackend.requests), gateway.log());
  }

  /**
   * Guards against an attempt that begins because the counter's answer is read before the clients'
   * disconnects.
   */
  @Test
  void leavesDuringACounterCallOfAStoppedGateway() throws Exception {
    startWithPooledConnections();
    CountDownLatch answer = new CountDownLatch(1);
    CountDownLatch asked = new CountDownLatch(1);
    peers.counterScript = line -> {
      asked.countDown();
      return await(answer) ? peers.addToCount(line) : null;
    };
    Clients clients = new Clients();
    assertTrue(await(asked));
    pause(ALL_READ_MS);
    leaveWhileStopped(answer::countDown, clients);
  }

  /** Guards against a retry that begins because a rejection is read before the clients' disconnects. */
  @Test
  void leavesDuringARejectionInAStoppedGateway() throws Exception {
    startWithPooledConnections();
    CountDownLatch reject = new CountDownLatch(1);
    CountDownLatch sent = new CountDownLatch(CLIENTS);
    Peers.Answer usual = peers.answer;
    peers.answer = (request, out) -> {
      boolean first = sent.getCount() > 0;
      sent.countDown();
      return first ? await(reject) && Peers.write(out, Peers.NOT_STARTED) : usual.respond(request, out);
    };
    Clients clients = new Clients();
    assertTrue(await(sent));
    peers.backendRequests.clear();
    leaveWhileStopped(reject::countDown, clients);
  }

  /** Guards against work for clients that left while their request waited behind another one of theirs. */
  @Test
  void leavesWhileAPipelinedRequestWaits() throws Exception {
    startWithPooledConnections();
    CountDownLatch answer = new CountDownLatch(1);
    CountDownLatch sent = new CountDownLatch(CLIENTS);
    Peers.Answer usual = peers.answer;
    peers.answer = (request, out) -> {
      sent.countDown();
      return await(answer) && usual.respond(request, out);
    };
    Clients clients = new Clients();
    assertTrue(await(sent));
    peers.backendRequests.clear();
    clients.send("behind-");
    pause(ALL_READ_MS);
    leaveWhileStopped(answer::countDown, clients, "behind-stays");
    assertEquals(200, clients.stays.receive().status());
  }

  /** Guards against work for clients that left before the gateway read their request. */
  @Test
  void leavesBeforeTheRequestIsRead() throws Exception {
    startWithPooledConnections();
    gateway.signal("STOP");
    leaveWhileStopped(() -> { }, new Clients());
  }

  /**
   * Guards against work for a client that has closed its connection behind much that is unread here:
   * the end of the connection comes after all of it.
   */
  @Test
  void leavesBehindMuchThatIsUnread() throws Exception {
    startWithPooledConnections();
    gateway.signal("STOP");
    try (SocketChannel client = SocketChannel.open(gateway.address)) {
      writeMuch(client);
    }
    pause(AFTER_LEAVING_MS);
    gateway.signal("CONT");
    pause(AFTER_LEAVING_MS);
    assertEquals(Set.of(), ids(peers.backendRequests), gateway.log());
  }

  /** Writes as many requests as the connection takes while nobody reads them. */
  private static void writeMuch(SocketChannel client) throws IOException {
    client.configureBlocking(false);
    StringBuilder requests = new StringBuilder();
    for (int i = 0; i < UNREAD_REQUESTS; i++) {
      requests.append(Peers.get("unread" + i, 3_500));
    }
    client.write(ByteBuffer.wrap(requests.toString().getBytes(StandardCharsets.ISO_8859_1)));
  }

  /** Guards against a retry for a client that left, where its end is behind much that is unread. */
  @Test
  void leavesBehindMuchThatIsUnreadBeforeARetry() throws Exception {
    startWithPooledConnections();
    CountDownLatch broken = new CountDownLatch(1);
    peers.answer = (request, out) -> {
      await(broken);
      return false;
    };
    leaveBehindMuch("retried", () -> Peers.next(peers.backendRequests), broken);
  }

  /**
   * Sends a request, holds the gateway up once the request is in progress, lets what the request waits for
   * happen, and leaves behind much that is unread; then no attempt of the request may begin.
   */
  private void leaveBehindMuch(String id, Step untilInProgress, CountDownLatch awaited) throws Exception {
    try (SocketChannel client = SocketChannel.open(gateway.address)) {
      client.write(ByteBuffer.wrap(Peers.get(id, 3_500).getBytes(StandardCharsets.ISO_8859_1)));
      untilInProgress.run();
      gateway.signal("STOP");
      awaited.countDown();
      writeMuch(client);
    }
    pause(AFTER_LEAVING_MS);
    gateway.signal("CONT");
    pause(AFTER_LEAVING_MS);
    assertEquals(Set.of(), ids(peers.backendRequests), gateway.log());
  }

  /** Guards against the same for a first attempt, whose connection or counter call is up just then. */
  @Test
  void leavesBehindMuchThatIsUnreadDuringACounterCall() throws Exception {
    startWithPooledConnections();
    CountDownLatch asked = new CountDownLatch(1);
    CountDownLatch counted = new CountDownLatch(1);
    peers.counterScript = line -> {
      asked.countDown();
      return await(counted) ? peers.addToCount(line) : null;
    };
    leaveBehindMuch("counted", () -> {
      assertTrue(await(asked));
      pause(ALL_READ_MS);
    }, counted);
  }

  /** Guards against requests of disconnected clients that are held for as long as a connect takes. */
  @Test
  void aWithdrawnRequestHoldsNothing() throws Exception {
    lateBackend = new LateBackend();
    FrontDoor embedded = peers.start(peers.config(Peers.rosterEntry("s-1", lateBackend.port(), "active"))
        .replace("\"DialTimeoutMs\":250", SLOW_CONNECTS));
    Client client = peers.client();
    client.send(Peers.get("leaves", 3_500));
    awaitHeldRequest(embedded);
    client.close();
    pause(IN_PROGRESS_MS);
    assertEquals(0, embedded.loop().submit(embedded::heldRequests).get());
  }

  /** Waits until the gateway has accepted a request: the first one of a process takes long. */
  private static void awaitHeldRequest(FrontDoor embedded) throws Exception {
    for (int polls = 0; embedded.loop().submit(embedded::heldRequests).get() == 0; polls++) {
      assertTrue(polls < MAX_POLLS, "no request is held");
      pause(POLL_MS);
    }
  }

  /** Guards against sending a backend the time that was left when its connection began to be established. */
  @Test
  void theTimeoutSentIsWhatIsLeftWhenTheConnectionIsUp() throws Exception {
    lateBackend = new LateBackend();
    startWithBackends(lateBackend.port());
    Client client = gateway.client();
    long sentNanos = System.nanoTime();
    client.send(Peers.get("waits", 3_500));
    pause(IN_PROGRESS_MS);
    lateBackend.open();
    int timeoutMs = Integer.parseInt(Peers.next(lateBackend.requests).header("Request-Timeout-Ms"));
    long passedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
    assertTrue(timeoutMs <= 3_500 - passedMs + SLACK_MS,
        timeoutMs + " ms sent, " + passedMs + " of 3500 had passed");
  }

  /**
   * Guards against an attempt that begins because its connection is seen as established before the timer ends
   * the request.
   */
  @Test
  void timeRunsOutWhileConnecting() throws Exception {
    lateBackend = new LateBackend();
    startWithBackends(lateBackend.port());
    Client client = gateway.client();
    client.send(Peers.get("runs-out", 1_400));
    pause(IN_PROGRESS_MS);
    lateBackend.open();
    gateway.signal("STOP");
    pause(1_400);
    gateway.signal("CONT");
    assertEquals(503, client.receive().status(), "nothing of the request ran, so a retry is harmless");
    pause(AFTER_LEAVING_MS);
    assertEquals(Set.of(), ids(lateBackend.requests), gateway.log());
  }

  private static boolean await(CountDownLatch latch) {
    try {
      return latch.await(10, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
