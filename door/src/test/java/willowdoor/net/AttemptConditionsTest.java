package willowdoor.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import willowdoor.net.Peers.Client;
import willowdoor.net.Peers.Message;

/**
 * Conditions of an attempt that end while it waits for its connection or while its request is being written:
 * the attempt does not begin at its backend afterwards.
 */
@Timeout(60)
class AttemptConditionsTest {

  private static final String SLOW_CONNECTS = "\"DialTimeoutMs\":2500";
  private static final int WINDOW_MS = 1_000;
  private static final int TIMEOUT_MS = 3_000;
  /** What an answer may come after the request's time. */
  private static final long LATE_MS = 500;
  private static final int LONG_BODY_BYTES = 60_000;
  private static final int SMALL_RECEIVE_BUFFER_BYTES = 2_048;
  private static final int REQUESTS = 6;
  /** Time in which a backend that reads on gets all that is still on its way. */
  private static final long READ_ON_MS = 500;

  @TempDir
  private Path folder;
  private final Peers peers = new Peers();
  private final List<AutoCloseable> closeables = new ArrayList<>();
  private ServingProcess gateway;

  @AfterEach
  void close() throws Exception {
    if (gateway != null) {
      gateway.close();
    }
    for (AutoCloseable closeable : closeables) {
      closeable.close();
    }
    peers.close();
  }

  private LateBackend lateBackend() throws IOException {
    LateBackend late = new LateBackend();
    closeables.add(late);
    return late;
  }

  private void startWith(String... entries) throws Exception {
    gateway = new ServingProcess(folder, peers.config(entries)
        .replace("\"DialTimeoutMs\":250", SLOW_CONNECTS)
        .replace("\"AimMs\":1500", "\"AimMs\":4000")
        .replace("\"RepeatWindowMs\":4000", "\"RepeatWindowMs\":" + WINDOW_MS));
  }

  private static String request(String id, int timeoutMs, String body) {
    return Peers.post(id, body).replace("Request-Timeout-Ms: 3000", "Request-Timeout-Ms: " + timeoutMs);
  }

  private static long millisSince(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
  }

  private static void pause(long ms) {
    try {
      TimeUnit.MILLISECONDS.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Guards against a keyed repeat that is decided within its window and written after it, when its connection
   * comes up: the first attempt is reset, and the other backend's connections come up a second late.
   */
  @Test
  void aRepeatWhoseConnectionComesUpAfterItsWindowIsNotWritten() throws Exception {
    LateBackend late = lateBackend();
    startWith(Peers.rosterEntry("s-1", peers.backend.getLocalPort(), "active"),
        Peers.rosterEntry("s-2", late.port(), "active"));
    peers.answer = (request, out) -> false;
    List<Client> clients = new ArrayList<>();
    long sentNanos = System.nanoTime();
    for (int i = 0; i < REQUESTS; i++) {
      clients.add(gateway.client());
      clients.get(i).send(request("r" + i, TIMEOUT_MS, "b"));
    }
    pause(WINDOW_MS / 2);
    late.open();
    for (Client client : clients) {
      assertTrue(client.receive().status() > 0, gateway.log());
      client.close();
    }
    pause(Math.max(0, 2 * WINDOW_MS - millisSince(sentNanos)));
    List<Message> first = new ArrayList<>();
    peers.backendRequests.drainTo(first);
    assertTrue(!first.isEmpty(), "no attempt was reset");
    for (Message attempt : first) {
      String id = attempt.header("Request-Id");
      assertTrue(late.requests.stream().noneMatch(m -> id.equals(m.header("Request-Id"))),
          id + " was repeated after its window\n" + gateway.log());
    }
  }

  /** A backend with a small receive buffer that reads nothing of a request until it is told to. */
  private static final class SlowlyReadingBackend implements AutoCloseable {
    final BlockingQueue<Socket> accepted = new LinkedBlockingQueue<>();
    private final ServerSocket server = new ServerSocket();

    SlowlyReadingBackend() throws IOException {
      server.setReceiveBufferSize(SMALL_RECEIVE_BUFFER_BYTES);
      server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      Peers.thread(() -> {
        while (true) {
          accepted.add(server.accept());
        }
      });
    }

    int port() {
      return server.getLocalPort();
    }

    /** Reads until nothing more comes; returns the bytes of the body that were read. */
    static int readOn(Socket socket) throws IOException {
      socket.setSoTimeout((int) READ_ON_MS);
      InputStream in = socket.getInputStream();
      StringBuilder text = new StringBuilder();
      byte[] into = new byte[4_096];
      try {
        for (int n = in.read(into); n >= 0; n = in.read(into)) {
          text.append(new String(into, 0, n, StandardCharsets.ISO_8859_1));
        }
      } catch (IOException e) {
        // Reset, or nothing more comes.
      }
      int head = text.indexOf("\r\n\r\n");
      return head < 0 ? 0 : text.length() - head - 4;
    }

    @Override
    public void close() throws IOException {
      server.close();
      for (Socket socket : accepted) {
        socket.close();
      }
    }
  }

  private SlowlyReadingBackend startWithSlowReader() throws Exception {
    SlowlyReadingBackend backend = new SlowlyReadingBackend();
    closeables.add(backend);
    startWith(Peers.rosterEntry("s-1", backend.port(), "active"));
    return backend;
  }

  /** Guards against a request that begins at its backend after its time, as the kernel still delivers it. */
  @Test
  void aRequestReadSlowlyIsAnsweredInTimeAndNotDeliveredLater() throws Exception {
    SlowlyReadingBackend backend = startWithSlowReader();
    Client client = gateway.client();
    long sentNanos = System.nanoTime();
    client.send(request("slow", WINDOW_MS, "x".repeat(LONG_BODY_BYTES)));
    Socket socket = Peers.next(backend.accepted);
    assertTrue(client.receive().status() >= 500, gateway.log());
    long afterMs = millisSince(sentNanos);
    assertTrue(afterMs <= WINDOW_MS + LATE_MS, "answered after " + afterMs + " ms\n" + gateway.log());
    assertTrue(SlowlyReadingBackend.readOn(socket) < LONG_BODY_BYTES, "the whole request came later");
  }

  /** Guards against a request that begins at its backend after its client has left, in the same way. */
  @Test
  void aRequestReadSlowlyIsNotDeliveredAfterItsClientLeft() throws Exception {
    SlowlyReadingBackend backend = startWithSlowReader();
    Client client = gateway.client();
    client.send(request("leaves", TIMEOUT_MS, "x".repeat(LONG_BODY_BYTES)));
    Socket socket = Peers.next(backend.accepted);
    pause(READ_ON_MS / 2);
    client.close();
    pause(READ_ON_MS / 2);
    assertTrue(SlowlyReadingBackend.readOn(socket) < LONG_BODY_BYTES,
        "the whole request came after its client had left\n" + gateway.log());
  }

  /** Guards against an attempt for one start of a backend that is written to another one at its address. */
  @Test
  void anAttemptDecidedBeforeABackendsRestartIsDecidedAnew() throws Exception {
    LateBackend late = lateBackend();
    String entry = Peers.rosterEntry("s-1", late.port(), "active");
    startWith(entry);
    Peers.next(peers.watchRequests);
    List<Client> clients = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      clients.add(gateway.client());
      clients.get(i).send(Peers.get("r" + i, TIMEOUT_MS));
    }
    pause(READ_ON_MS / 2);
    peers.sendToNewestWatch(Peers.rosterJson(8, true,
        entry.replace("\"started_ms\":0", "\"started_ms\":" + System.currentTimeMillis())) + "\n");
    pause(READ_ON_MS / 2);
    late.open();
    int served = 0;
    for (Client client : clients) {
      served += client.receive().status() == 200 ? 1 : 0;
    }
    assertTrue(served < REQUESTS, "all were written to a backend in slow start\n" + gateway.log());
  }
}
