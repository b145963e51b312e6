package willowdoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import willowdoor.net.Peers.Client;

/**
 * A gateway in its own process for which the system has no more descriptors for a while, so that it can
 * accept no connection and open none: it goes on as before once there are some again.
 */
@Timeout(60)
class NoDescriptorTest {

  private static final int DESCRIPTORS = 120;
  private static final long WITHOUT_MS = 1_500;
  /** The longest wait between two watches, with what a busy machine adds. */
  private static final long NEXT_WATCH_MS = 3_000;
  private static final long MAX_ACCEPT_MS = 400;

  @TempDir
  private Path folder;
  private final Peers peers = new Peers();
  private final List<Socket> crowd = new ArrayList<>();
  private ServingProcess gateway;

  @BeforeEach
  void start() throws Exception {
    String config = peers.config(Peers.rosterEntry("s-1", peers.backend.getLocalPort(), "active"))
        .replace("\"seed\"", "\"limits\":{\"cores\":1,\"memory_mb\":192,\"sockets\":1024},\"seed\"");
    gateway = ServingProcess.withDescriptors(folder, config, DESCRIPTORS);
    Peers.next(peers.watchRequests);
  }

  @AfterEach
  void close() throws Exception {
    leave();
    gateway.close();
    peers.close();
  }

  /** Opens so many connections that the gateway has no descriptor left, and more of them wait. */
  private void crowd() throws IOException {
    for (int i = 0; i < 2 * DESCRIPTORS; i++) {
      crowd.add(new Socket(gateway.address.getAddress(), gateway.address.getPort()));
    }
  }

  private void leave() throws IOException {
    for (Socket socket : crowd) {
      socket.close();
    }
    crowd.clear();
  }

  /** Guards against a watch of the backend list that is never opened again after one failed attempt. */
  @Test
  void theListIsWatchedAgain() throws Exception {
    crowd();
    for (OutputStream watch : peers.watchOutputs) {
      watch.close();
    }
    TimeUnit.MILLISECONDS.sleep(WITHOUT_MS);
    peers.watchRequests.clear();
    leave();
    assertNotNull(peers.watchRequests.poll(NEXT_WATCH_MS, TimeUnit.MILLISECONDS), gateway.log());
  }

  /** Guards against places of backends' connections that are lost with each attempt to open one. */
  @Test
  void requestsAreServedAgain() throws Exception {
    List<Client> clients = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      clients.add(gateway.client());
    }
    crowd();
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WITHOUT_MS);
    for (int i = 0; System.nanoTime() < endNanos; i++) {
      Client client = clients.get(i % clients.size());
      client.send(Peers.get("during" + i, 300));
      assertTrue(client.receive().status() >= 200, "a final answer");
    }
    leave();
    TimeUnit.MILLISECONDS.sleep(MAX_ACCEPT_MS);
    try (Client client = gateway.client()) {
      assertEquals(200, client.ask(Peers.get("after", 3_000)).status(), gateway.log());
    }
  }

  /** Guards against a listener that accepts nothing for a second after one failure. */
  @Test
  void connectionsAreAcceptedAtOnceAgain() throws Exception {
    crowd();
    TimeUnit.MILLISECONDS.sleep(WITHOUT_MS);
    leave();
    for (int i = 0; i < 10; i++) {
      long sentNanos = System.nanoTime();
      try (Client client = gateway.client()) {
        assertEquals(200, client.ask(Peers.get("after" + i, 3_000)).status(), gateway.log());
      }
      long afterMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
      assertTrue(afterMs <= MAX_ACCEPT_MS, afterMs + " ms\n" + gateway.log());
    }
  }
}
