package willowdoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import willowdoor.membership.Out;
import willowdoor.net.Peers.Client;

/** A second process of a front door starts beside the first, and replaces it. */
@Timeout(60)
class UpgradeTest {

  private static final String UP = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";
  @TempDir
  private Path folder;
  private final Peers peers = new Peers();
  private FrontDoor old;
  private FrontDoor fresh;

  @BeforeEach
  void start() throws Exception {
    old = FrontDoor.start(config(0), folder.toString());
    await(old);
  }

  @AfterEach
  void close() throws Exception {
    old.stop();
    if (fresh != null) {
      fresh.stop();
    }
    peers.close();
  }

  private Config config(int port) throws IOException {
    return Peers.parse(peers.config(Peers.entry("s-1", peers.backend.getLocalPort(), "active"))
        .replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"127.0.0.1:" + port + "\"")
        .replace("\"seed\"", "\"management\":\"127.0.0.1:0\",\"seed\""));
  }

  private FrontDoor second() throws Exception {
    fresh = FrontDoor.start(config(((InetSocketAddress) old.address()).getPort()), folder.toString());
    await(fresh);
    return fresh;
  }

  private static void await(FrontDoor door) throws Exception {
    until(() -> call(door, "GET /ready") == 200);
  }

  private static void until(Callable<Boolean> condition) throws Exception {
    for (int looks = 0; !condition.call(); looks++) {
      assertTrue(looks < 1_000, "not within 10 s");
      Thread.sleep(10);
    }
  }

  private static int call(FrontDoor door, String what) throws IOException {
    try (Client operator = new Client((InetSocketAddress) door.managementAddress())) {
      return operator.ask(what + " HTTP/1.1\r\nHost: a\r\n\r\n").status();
    }
  }

  private Client client() throws IOException {
    return new Client((InetSocketAddress) old.address());
  }

  private Thread end(FrontDoor door) {
    Thread ending = new Thread(door::drain, "end");
    ending.start();
    return ending;
  }

  @Test
  void theOldOneLeavesItsClientsToTheNewOneAndNoRequestIsTurnedBack() throws Exception {
    Client kept = client();
    Client idle = client();
    assertEquals(200, kept.ask(Peers.get("r1", 3000)).status());
    assertEquals(200, idle.ask(Peers.get("r2", 3000)).status());
    second();
    Thread ending = end(old);
    until(() -> call(old, "GET /ready") != 200);
    assertEquals(200, kept.ask(UP).status(), "the front door as a whole is up");
    assertTrue(kept.ended(), "the answer was the connection's last");
    for (int i = 0; i < 40; i++) {
      try (Client client = client()) {
        assertEquals(200, client.ask(Peers.get("n" + i, 3000)).status());
      }
    }
    assertTrue(idle.ended());
    ending.join();
    assertEquals(200, call(fresh, "GET /ready"));
    try (Client client = client()) {
      assertEquals(200, client.ask(Peers.get("last", 3000)).status());
    }
  }

  @Test
  void whatOperatorsSaidGoesOverAndACallToEitherHoldsInBoth() throws Exception {
    assertEquals(200, call(old, "POST /backends/disable?member=s-1"));
    assertEquals(200, call(old, "POST /drain"));
    second();
    assertEquals(List.of(RosterNews.number("s-1")), out(fresh));
    assertEquals(503, up(), "sent away at both");
    assertEquals(200, call(old, "POST /undrain"));
    assertEquals(200, call(fresh, "POST /backends/enable?member=s-1"));
    assertEquals(List.of(), out(old));
    assertEquals(List.of(), out(fresh));
    for (int i = 0; i < 20; i++) {
      assertEquals(200, up(), "both take clients");
    }
    assertEquals(200, call(fresh, "POST /backends/disable?member=s-1"));
    assertEquals(List.of(RosterNews.number("s-1")), out(old));
    assertEquals(404, call(fresh, "POST /backends/disable?member=s-2"));
  }

  private static List<Long> out(FrontDoor door) throws Exception {
    return door.loop().submit(door::out).get().stream().map(Out::id).toList();
  }

  private int up() throws IOException {
    try (Client client = client()) {
      return client.ask(UP).status();
    }
  }

  @Test
  void ifTheNewOneDiesTheOldOneIsAloneAgainAndAThirdMayStart() throws Exception {
    second();
    IOException third = assertThrows(IOException.class, () -> FrontDoor.start(config(0), folder.toString()));
    assertTrue(third.getMessage().contains("two processes"), third.getMessage());
    fresh.stop();
    String own = ":" + ((InetSocketAddress) old.managementAddress()).getPort() + " ";
    until(() -> Files.readString(folder.resolve("front-door.process")).contains(own));
    assertEquals(200, call(old, "POST /drain"), "nobody else has to agree");
    second();
    assertEquals(503, up());
  }

  @Test
  void aFileThatIsTornOldOrHostileIsLeftAside() throws Exception {
    Path file = folder.resolve("front-door.process");
    for (String text : new String[] {"", "front-door-process 1 127.0.0.1:1", "front-door-process 2 x end\n",
        "front-door-process 1 nowhere:1 end\n", "x".repeat(1 << 16)}) {
      Files.writeString(file, text);
      assertNull(new TwinFile(folder.toString()).read(), text);
    }
    Files.writeString(file, "front-door-process 1 127.0.0.1:" + peers.backend.getLocalPort() + " end\n");
    second();
    assertEquals(200, up(), "whoever answers there is none of ours");
  }

  @Test
  void aStateIsReadWholeOrNotAtAll() throws Exception {
    TwinState state = new TwinState(true, List.of(new Out(RosterNews.number("s-1"), 1_700_000_000_123.0),
        new Out(7, 2)));
    assertEquals(state, TwinState.read(state.text()));
    assertEquals(state, TwinState.read(state.text().replace("sent-away", "later 3 4\nsent-away")));
    String text = state.text();
    for (String bad : new String[] {"", "front-door-state 2\nend\n", text.substring(0, text.length() - 3),
        text.replace("out 7", "out"), text.replace("out 7", "out x"), text + "x\n".repeat(30_000)}) {
      assertThrows(IOException.class, () -> TwinState.read(bad), bad);
    }
  }
}
