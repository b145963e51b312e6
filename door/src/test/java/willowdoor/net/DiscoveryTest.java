package willowdoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import willowdoor.net.Peers.Client;
import willowdoor.policy.GatewayApi.BackendEntry;

/** Updates of the list of backends, and their effects. */
@Timeout(40)
class DiscoveryTest {

  private static final int WATCHES = 6;
  /** Twice the longest wait before the next watch, which is 150 ms. */
  private static final double MAX_REOPEN_MS = 300;
  /** What the shortest waits of {@link #WATCHES} failed watches come to: 50, 100, 200, 400, 750, 750 ms. */
  private static final double MIN_SUM_OF_FAILED_MS = 2_200;

  private final Peers peers = new Peers();

  @AfterEach
  void close() throws Exception {
    peers.close();
  }

  private ServerSocket backendNamed(String name) {
    return peers.listen(50, (in, out, socket) -> {
      while (true) {
        Peers.read(in);
        Peers.write(out, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + name);
      }
    });
  }

  private void requestUntilServedBy(String name) throws IOException {
    Client client = peers.client();
    int n = 0;
    while (!client.ask(Peers.get("to-" + name + n++, 3000)).text().equals(name)) {
      Thread.onSpinWait();
    }
  }

  @Test
  void readsUpdatesSplitAcrossChunks() throws Exception {
    int first = backendNamed("1").getLocalPort();
    int second = backendNamed("2").getLocalPort();
    peers.start(peers.config(Peers.rosterEntry("s-1", first, "active")));
    assertEquals("GET /discovery/hosts?stream=1&index=7 HTTP/1.1", Peers.next(peers.watchRequests));
    requestUntilServedBy("1");
    String line = Peers.rosterJson(8, false, Peers.rosterEntry("s-1", first, "leaving"),
        Peers.rosterEntry("s-2", second, "active")) + "\n";
    peers.sendToNewestWatch("\n" + line.substring(0, 30));
    peers.sendToNewestWatch(line.substring(30, 90));
    peers.sendToNewestWatch(line.substring(90) + "\n");
    requestUntilServedBy("2");
    Client client = peers.client();
    for (int i = 0; i < 20; i++) {
      assertEquals("2", client.ask(Peers.get("r" + i, 3000)).text());
    }
  }

  /** An attempt whose connection is still being opened when its backend drains is not written. */
  @Test
  void connectingAttemptIsNotWrittenToADrainingBackend() throws Exception {
    List<SocketChannel> queueFillers = new ArrayList<>();
    try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      for (int i = 0; i < 8; i++) {
        SocketChannel channel = SocketChannel.open();
        queueFillers.add(channel);
        channel.configureBlocking(false);
        channel.connect(full.getLocalSocketAddress());
      }
      String config = peers.config(Peers.rosterEntry("s-1", full.getLocalPort(), "active"));
      peers.start(config.replace("\"DialTimeoutMs\":250", "\"DialTimeoutMs\":20000")
          .replace("\"Cancel\":true", "\"Cancel\":false")
          .replace("\"DeadlineMs\":4000", "\"DeadlineMs\":15000"));
      Peers.next(peers.watchRequests);
      Client client = peers.client();
      long startNanos = System.nanoTime();
      client.send(Peers.post("r1", "b").replace("Request-Timeout-Ms: 3000", "Request-Timeout-Ms: 15000"));
      Peers.next(peers.counterLines);
      // The next call to the counter follows the first one's answer, so the first attempt has started.
      peers.client().send(Peers.post("r2", "b"));
      Peers.next(peers.counterLines);
      peers.sendToNewestWatch(Peers.rosterJson(8, false,
          Peers.rosterEntry("s-1", full.getLocalPort(), "leaving")) + "\n");
      assertEquals(503, client.receive().status());
      assertTrue(System.nanoTime() - startNanos < TimeUnit.SECONDS.toNanos(9));
    } finally {
      for (SocketChannel channel : queueFillers) {
        channel.close();
      }
    }
  }

  /** Guards against drains that are heard late where discovery ends each watch with a list. */
  @Test
  void aWatchThatEndsAfterAListIsOpenedAnewSoon() throws Exception {
    peers.start();
    Peers.next(peers.watchRequests);
    for (int version = 8; version < 8 + WATCHES; version++) {
      peers.sendToNewestWatch(Peers.rosterJson(version, true,
          Peers.rosterEntry("s-1", peers.backend.getLocalPort(), "active")) + "\n");
      double reopenedAfterMs = endNewestWatch();
      assertTrue(reopenedAfterMs < MAX_REOPEN_MS, reopenedAfterMs + " ms after version " + version);
    }
  }

  /** Guards against a listener that knows no backend until the next change, as the first list came before. */
  @Test
  void aLateListenerGetsTheListAsItStands() throws Exception {
    int second = backendNamed("2").getLocalPort();
    FrontDoor door = peers.start();
    Peers.next(peers.watchRequests);
    peers.sendToNewestWatch(Peers.rosterJson(8, true, Peers.rosterEntry("s-2", second, "active")) + "\n");
    requestUntilServedBy("2");
    List<EndpointUpdate> heard = new ArrayList<>();
    door.loop().submit(() -> door.addRosterListener(heard::add)).sync();
    assertEquals(1, heard.size());
    assertTrue(heard.get(0).full());
    assertEquals(8, heard.get(0).version());
    assertEquals(List.of(EndpointUpdate.idOf("s-2")),
        heard.get(0).entries().stream().map(BackendEntry::id).toList());
  }

  /** Guards against a busy loop where discovery ends each watch without a list. */
  @Test
  void watchesThatFailAreOpenedAnewLessAndLessOften() throws Exception {
    peers.start();
    Peers.next(peers.watchRequests);
    double sumMs = 0;
    for (int i = 0; i < WATCHES; i++) {
      sumMs += endNewestWatch();
    }
    assertTrue(sumMs > MIN_SUM_OF_FAILED_MS, "opened again in " + sumMs + " ms in all");
  }

  /** Ends the newest watch, and waits for the next one; returns after how many milliseconds it came. */
  private double endNewestWatch() throws Exception {
    long endedNanos = System.nanoTime();
    peers.watchOutputs.get(peers.watchOutputs.size() - 1).close();
    Peers.next(peers.watchRequests);
    return (System.nanoTime() - endedNanos) / 1e6;
  }

  @Test
  void invalidLineEndsTheWatchAndTheNextResumesFromTheLastVersion() throws Exception {
    peers.start();
    Peers.next(peers.watchRequests);
    peers.sendToNewestWatch(Peers.rosterJson(9, false) + "\n");
    peers.sendToNewestWatch("{\"version\":10,\"servers\":[{\"id\":\n");
    assertTrue(Peers.next(peers.watchRequests).contains("index=9 "));
    assertEquals(200, peers.client().ask(Peers.get("r1", 3000)).status());
  }

  /** An invalid entry does not hide the others, and a message without a list does not empty the list. */
  @Test
  void unusableEntriesAndListsAreSkipped() throws Exception {
    int second = backendNamed("2").getLocalPort();
    peers.start();
    Peers.next(peers.watchRequests);
    peers.sendToNewestWatch(Peers.rosterJson(9, false, Peers.rosterEntry("s-9", 1, "active")
        .replace("127.0.0.1:1", "nowhere"),
        "{\"id\":7}", Peers.rosterEntry("s-1", peers.backend.getLocalPort(), "leaving"),
        Peers.rosterEntry("s-2", second, "active")) + "\n");
    requestUntilServedBy("2");
    peers.sendToNewestWatch("{\"version\":-4,\"full\":true}\n");
    assertTrue(Peers.next(peers.watchRequests).contains("index=9 "));
    requestUntilServedBy("2");
  }

  /** A host that vanished sends no reset, so silence alone must replace the watch. */
  @Test
  void silentWatchIsReplaced() throws Exception {
    peers.start();
    Peers.next(peers.watchRequests);
    assertTrue(Peers.next(peers.watchRequests).contains("index=7 "));
  }

  @Test
  void configurationErrorsNameTheField() throws IOException {
    String good = peers.config();
    assertEquals(50, Peers.parse(good).settings().capabilities().counterTimeoutMs());
    for (String[] bad : new String[][] {{"127.0.0.1:0", "somewhere:80", "listen"},
        {"8c1f30d27a5be964", "seed", "seed"}, {"\"Profiles\"", "\"Other\"", "classes"}}) {
      String message = assertThrows(IOException.class, () -> Peers.parse(good.replace(bad[0], bad[1])))
          .getMessage();
      assertTrue(message.contains(bad[2]), message);
    }
  }
}
