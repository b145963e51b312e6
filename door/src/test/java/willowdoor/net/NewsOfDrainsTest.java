package willowdoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import willowdoor.net.Peers.Client;

/** What a door was told, or would have been told had it asked: how it comes to know in time. */
@Timeout(60)
class NewsOfDrainsTest {

  private static final int MOST_ASKED = 500;

  @TempDir
  private Path folder;
  private final Peers peers = new Peers();
  private final Peers after = new Peers();
  private final int first = named("1");
  private final int second = named("2");
  private Path file;

  @BeforeEach
  void place() {
    file = folder.resolve("config.json");
  }

  @AfterEach
  void close() throws Exception {
    peers.close();
    after.close();
  }

  private int named(String name) {
    return peers.listen(50, (in, out, socket) -> {
      while (true) {
        Peers.read(in);
        Peers.write(out, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + name);
      }
    }).getLocalPort();
  }

  private String both() {
    return peers.config(Peers.entry("s-1", first, "active"), Peers.entry("s-2", second, "active"));
  }

  private String drained(int version) {
    return Peers.list(version, false, Peers.entry("s-1", first, "leaving"));
  }

  private static String at(String config, int discovery) {
    return config.replaceAll("\"discovery\":\"[^\"]*\"", "\"discovery\":\"127.0.0.1:" + discovery + "\"");
  }

  private void reload(FrontDoor door, String config) throws Exception {
    Files.writeString(file, config);
    door.reload(file);
    door.loop.submit(() -> { }).sync();
  }

  private List<String> served(Client client, int requests) throws Exception {
    List<String> by = new ArrayList<>();
    for (int i = 0; i < requests; i++) {
      by.add(client.ask(Peers.get("r" + System.nanoTime(), 3000)).text());
    }
    return by;
  }

  private void untilOnlyTheSecond(Client client) throws Exception {
    int inTurn = 0;
    for (int i = 0; i < MOST_ASKED && inTurn < 30; i++) {
      inTurn = served(client, 1).get(0).equals("2") ? inTurn + 1 : 0;
    }
    assertEquals(30, inTurn);
  }

  private void untilServedBy(String name, Client client) throws Exception {
    String last = "";
    for (int i = 0; i < MOST_ASKED && !last.equals(name); i++) {
      pause(10);
      last = served(client, 1).get(0);
    }
    assertEquals(name, last);
  }

  /** The door has moved to an address that takes connections and says nothing. */
  @Test
  void theOldWatchIsBegunAgainWhileTheNewAddressSaysNothing() throws Exception {
    int mute = peers.listen(50, (in, out, socket) -> in.transferTo(OutputStream.nullOutputStream()))
        .getLocalPort();
    oldWatchGoesOn(mute);
  }

  @Test
  void theOldWatchIsBegunAgainWhileTheNewAddressRefuses() throws Exception {
    ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    closed.close();
    oldWatchGoesOn(closed.getLocalPort());
  }

  private void oldWatchGoesOn(int elsewhere) throws Exception {
    FrontDoor door = peers.start(both());
    Peers.next(peers.watches);
    reload(door, at(both(), elsewhere));
    peers.tell("{junk\n");
    assertTrue(Peers.next(peers.watches).contains("index=7 "));
    peers.tell(drained(8) + "\n");
    untilOnlyTheSecond(peers.client());
  }

  /** The address between has told nothing, so the first one is still the only one that is known to. */
  @Test
  void twoMovesInARowKeepTheWatchThatTells() throws Exception {
    int mute = peers.listen(50, (in, out, socket) -> in.transferTo(OutputStream.nullOutputStream()))
        .getLocalPort();
    int muteToo = peers.listen(50, (in, out, socket) -> in.transferTo(OutputStream.nullOutputStream()))
        .getLocalPort();
    FrontDoor door = peers.start(both());
    Peers.next(peers.watches);
    reload(door, at(both(), mute));
    reload(door, at(both(), muteToo));
    peers.tell(drained(8) + "\n");
    untilOnlyTheSecond(peers.client());
  }

  /** An agent that is behind at first, and one of a registry that counts anew. */
  @Test
  void anOlderListUndoesNoDrainButIsBelievedInTheEnd() throws Exception {
    FrontDoor door = peers.start(both());
    Peers.next(peers.watches);
    peers.tell(drained(9) + "\n");
    Client client = peers.client();
    untilOnlyTheSecond(client);
    reload(door, at(both(), after.discovery.getLocalPort()));
    assertTrue(Peers.next(after.watches).contains("index=9 "));
    String old = Peers.list(8, true, Peers.entry("s-1", first, "active"),
        Peers.entry("s-2", second, "active"));
    after.tell(old + "\n");
    after.tell("\n");
    TimeUnit.MILLISECONDS.sleep(300);
    assertEquals(List.of("2"), served(client, 40).stream().distinct().toList());
    // This agent sends no empty lines, so the silence ends a watch first, and the next one is too early.
    for (int i = 0; i < 2; i++) {
      assertTrue(Peers.next(after.watches).contains("index=9 "));
      after.tell(old + "\n");
    }
    untilServedBy("1", client);
  }

  /** The list that it was given is old, and the first client comes before discovery's answer. */
  @Test
  void aStartTakesNoClientBeforeDiscoveryHasTold() throws Exception {
    int late = peers.listen(50, (in, out, socket) -> {
      Peers.read(in);
      pause(600);
      String line = drained(8) + "\n";
      Peers.write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
          + Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
      in.transferTo(OutputStream.nullOutputStream());
    }).getLocalPort();
    peers.start(at(both(), late));
    assertEquals(List.of("2"), served(peers.client(), 40).stream().distinct().toList());
  }

  @Test
  void aStartDoesNotWaitForEverForADiscoveryThatSaysNothing() throws Exception {
    int mute = peers.listen(50, (in, out, socket) -> in.transferTo(OutputStream.nullOutputStream()))
        .getLocalPort();
    peers.start(at(both(), mute));
    assertEquals(200, peers.client().ask(Peers.get("r", 3000)).status());
  }

  /** In whichever order the kernel hands its sockets over. */
  @Test
  void aLoopThatWasAwayDecidesAfterOneMoreRound() throws Exception {
    FrontDoor door = peers.start(both());
    List<String> order = new CopyOnWriteArrayList<>();
    Clock clock = new Clock();
    NewsFirst newsFirst = new NewsFirst(door.loop, clock, () -> order.add("decides"));
    for (int away = 0; away < 2; away++) {
      door.loop.submit(() -> {
        assertTrue(newsFirst.holds(clock.now()));
        door.loop.schedule(() -> order.add("round"), 0, TimeUnit.MILLISECONDS);
      }).sync();
      while (order.size() < 2 * away + 2) {
        pause(1);
      }
      door.loop.submit(() -> assertFalse(newsFirst.holds(clock.now()))).sync();
      pause((long) NewsFirst.AWAY_MS + 50);
    }
    assertEquals(List.of("round", "decides", "round", "decides"), order);
  }

  /** The file is replaced while the door starts, and its signal is heard by nobody. */
  @Test
  void aStartReadsTheReplacedFile() throws Exception {
    Files.writeString(file, both());
    FrontDoor door = FrontDoor.serve(file, null, () -> {
      try {
        Files.writeString(file, at(both(), after.discovery.getLocalPort()));
      } catch (java.io.IOException e) {
        throw new java.io.UncheckedIOException(e);
      }
    });
    try {
      assertTrue(Peers.next(after.watches).contains("index=7 "));
    } finally {
      door.stop();
    }
  }

  /** An agent that comes and goes is asked again well within the grace of 1 s. */
  @Test
  void aWatchThatEndsIsBegunAgainInTime() throws Exception {
    List<Long> asked = new CopyOnWriteArrayList<>();
    int closing = peers.listen(50, (InputStream in, OutputStream out, Socket socket) -> {
      asked.add(System.nanoTime());
      socket.close();
    }).getLocalPort();
    peers.start(at(both(), closing));
    pause(4_000);
    for (int i = 1; i < asked.size(); i++) {
      long gapMs = TimeUnit.NANOSECONDS.toMillis(asked.get(i) - asked.get(i - 1));
      assertTrue(gapMs < 900, "asked again after " + gapMs + " ms");
    }
    assertTrue(asked.size() >= 8, asked.size() + " times");
  }

  private static void pause(long ms) {
    try {
      TimeUnit.MILLISECONDS.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
