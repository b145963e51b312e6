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

/** The list of backends: how changes arrive, and what follows from them. */
@Timeout(40)
class DiscoveryTest {

  private final Peers peers = new Peers();

  @AfterEach
  void close() throws Exception {
    peers.close();
  }

  private ServerSocket namedBackend(String name) {
    return peers.listen(50, (in, out, socket) -> {
      while (true) {
        Peers.read(in);
        Peers.write(out, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + name);
      }
    });
  }

  private void askUntil(String name) throws IOException {
    Client client = peers.client();
    int n = 0;
    while (!client.ask(Peers.get("to-" + name + n++, 3000)).text().equals(name)) {
      Thread.onSpinWait();
    }
  }

  @Test
  void takesChangesThatAreSplitAcrossChunks() throws Exception {
    int first = namedBackend("1").getLocalPort();
    int second = namedBackend("2").getLocalPort();
    peers.start(peers.config(Peers.entry("s-1", first, "active")));
    assertEquals("GET /discovery/hosts?stream=1&index=7 HTTP/1.1", Peers.next(peers.watches));
    askUntil("1");
    String line = Peers.list(8, false, Peers.entry("s-1", first, "leaving"),
        Peers.entry("s-2", second, "active")) + "\n";
    peers.tell("\n" + line.substring(0, 30));
    peers.tell(line.substring(30, 90));
    peers.tell(line.substring(90) + "\n");
    askUntil("2");
    Client client = peers.client();
    for (int i = 0; i < 20; i++) {
      assertEquals("2", client.ask(Peers.get("r" + i, 3000)).text());
    }
  }

  /** An attempt whose connection is still coming up when its backend drains is not written any more. */
  @Test
  void whatWaitsForAConnectionIsNotWrittenToADrainedBackend() throws Exception {
    List<SocketChannel> filling = new ArrayList<>();
    try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      for (int i = 0; i < 8; i++) {
        SocketChannel channel = SocketChannel.open();
        filling.add(channel);
        channel.configureBlocking(false);
        channel.connect(full.getLocalSocketAddress());
      }
      String config = peers.config(Peers.entry("s-1", full.getLocalPort(), "active"));
      peers.start(config.replace("\"DialTimeoutMs\":250", "\"DialTimeoutMs\":20000")
          .replace("\"Cancel\":true", "\"Cancel\":false")
          .replace("\"DeadlineMs\":4000", "\"DeadlineMs\":15000"));
      Peers.next(peers.watches);
      Client client = peers.client();
      long from = System.nanoTime();
      client.send(Peers.post("r1", "b").replace("Request-Timeout-Ms: 3000", "Request-Timeout-Ms: 15000"));
      Peers.next(peers.atCounter);
      // The next call follows the first one's answer, so the first attempt is under way.
      peers.client().send(Peers.post("r2", "b"));
      Peers.next(peers.atCounter);
      peers.tell(Peers.list(8, false, Peers.entry("s-1", full.getLocalPort(), "leaving")) + "\n");
      assertEquals(503, client.receive().status());
      assertTrue(System.nanoTime() - from < TimeUnit.SECONDS.toNanos(9));
    } finally {
      for (SocketChannel channel : filling) {
        channel.close();
      }
    }
  }

  @Test
  void junkEndsTheWatchAndTheNextGoesOnFromTheLastVersion() throws Exception {
    peers.start();
    Peers.next(peers.watches);
    peers.tell(Peers.list(9, false) + "\n");
    peers.tell("{\"version\":10,\"servers\":[{\"id\":\n");
    assertTrue(Peers.next(peers.watches).contains("index=9 "));
    assertEquals(200, peers.client().ask(Peers.get("r1", 3000)).status());
  }

  /** Junk in one entry, or a list that is none, neither hides the other entries nor empties the list. */
  @Test
  void whatCannotBeUsedInAListIsPassedOver() throws Exception {
    int second = namedBackend("2").getLocalPort();
    peers.start();
    Peers.next(peers.watches);
    peers.tell(Peers.list(9, false, Peers.entry("s-9", 1, "active").replace("127.0.0.1:1", "nowhere"),
        "{\"id\":7}", Peers.entry("s-1", peers.backend.getLocalPort(), "leaving"),
        Peers.entry("s-2", second, "active")) + "\n");
    askUntil("2");
    peers.tell("{\"version\":-4,\"full\":true}\n");
    assertTrue(Peers.next(peers.watches).contains("index=9 "));
    askUntil("2");
  }

  /** A machine that vanished resets nothing: the watch is replaced for its silence alone. */
  @Test
  void aSilentWatchIsReplaced() throws Exception {
    peers.start();
    Peers.next(peers.watches);
    assertTrue(Peers.next(peers.watches).contains("index=7 "));
  }

  @Test
  void saysWhatIsWrongWithAConfiguration() throws IOException {
    String good = peers.config();
    assertEquals(50, Peers.parse(good).settings().allowed().countLimitMs());
    for (String[] bad : new String[][] {{"127.0.0.1:0", "somewhere:80", "listen"},
        {"8c1f30d27a5be964", "seed", "seed"}, {"\"Profiles\"", "\"Other\"", "classes"}}) {
      String message = assertThrows(IOException.class, () -> Peers.parse(good.replace(bad[0], bad[1])))
          .getMessage();
      assertTrue(message.contains(bad[2]), message);
    }
  }
}
