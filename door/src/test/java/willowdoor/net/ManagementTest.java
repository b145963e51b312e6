package willowdoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import willowdoor.net.Peers.Client;
import willowdoor.net.Peers.Message;

/** Management calls on real sockets: their replies, and their effect on clients. */
@Timeout(30)
class ManagementTest {

  private static final String UP = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";
  private final Peers peers = new Peers();
  private FrontDoor door;

  @BeforeEach
  void start() throws Exception {
    door = peers.start(peers.config(Peers.rosterEntry("s-1", peers.backend.getLocalPort(), "active"))
        .replace("\"seed\"", "\"management\":\"127.0.0.1:0\",\"seed\""));
  }

  @AfterEach
  void close() throws Exception {
    peers.close();
  }

  private Message call(String text) throws IOException {
    try (Client operator = new Client((InetSocketAddress) door.managementAddress())) {
      Message answer = operator.ask(text);
      assertTrue(operator.isClosedByPeer(), "one call per connection");
      return answer;
    }
  }

  private int post(String target) throws IOException {
    return call("POST " + target + " HTTP/1.1\r\nHost: a\r\n\r\n").status();
  }

  private int up() throws IOException {
    try (Client client = peers.client()) {
      return client.ask(UP).status();
    }
  }

  @Test
  void drainSendsClientsAwayAndUndrainTakesThemBack() throws Exception {
    assertEquals(200, call("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n").status());
    Client busy = peers.client();
    Client idle = peers.client();
    Client fresh = peers.client();
    assertEquals(200, busy.ask(Peers.get("r1", 3000)).status());
    assertEquals(200, idle.ask(Peers.get("r2", 3000)).status());
    assertEquals(200, post("/drain"));
    assertEquals(503, up());
    assertEquals(200, post("/drain"), "a command may be repeated");
    Message last = busy.ask(Peers.get("r3", 3000));
    assertEquals(200, last.status(), "requests during a drain are served");
    assertEquals("close", last.header("Connection"));
    assertEquals(200, peers.client().ask(Peers.get("r4", 3000)).status(), "on new connections too");
    long asked = System.nanoTime();
    assertTrue(idle.isClosedByPeer());
    assertTrue(fresh.isClosedByPeer());
    assertTrue(System.nanoTime() - asked < 3_000_000_000L, "connections must be closed well before 4 s");
    assertEquals(200, call("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n").status(), "the process is still ready");
    assertEquals(200, post("/undrain"));
    assertEquals(200, post("/undrain"));
    assertEquals(200, up());
    Client back = peers.client();
    assertNull(back.ask(Peers.get("r5", 3000)).header("Connection"));
    assertEquals(200, back.ask(Peers.get("r6", 3000)).status());
  }

  @Test
  void aDisabledBackendGetsNothingWhateverDiscoverySays() throws Exception {
    Client client = peers.client();
    assertEquals(200, client.ask(Peers.get("r1", 3000)).status());
    Peers.next(peers.backendRequests);
    assertEquals(200, post("/backends/disable?member=s-1"));
    assertEquals(200, post("/backends/disable?member=s%2D1"), "a command may be repeated");
    assertEquals(404, post("/backends/disable?member=s-9"));
    assertEquals(503, client.ask(Peers.get("r2", 3000)).status());
    Peers.next(peers.watchRequests);
    String listed = Peers.rosterEntry("s-1", peers.backend.getLocalPort(), "active");
    peers.sendToNewestWatch(Peers.rosterJson(8, true, listed, Peers.rosterEntry("s-2", 1, "leaving")) + "\n");
    while (post("/backends/disable?member=s-2") != 200) {
      Thread.onSpinWait();
    }
    assertEquals(503, client.ask(Peers.get("r3", 3000)).status());
    assertTrue(peers.backendRequests.isEmpty());
    assertEquals(200, post("/backends/enable?member=s-1"));
    Message back = client.ask(Peers.get("r4", 3000));
    for (int n = 0; back.status() != 200; n++) {
      back = client.ask(Peers.get("again" + n, 3000));
    }
    assertEquals(404, post("/backends/enable?member=s-9"));
  }

  @Test
  void aRequestInProgressIsAnsweredDuringADrain() throws Exception {
    peers.answer = (request, out) -> {
      try {
        Thread.sleep(2_200);
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
      return Peers.write(out, Peers.OK);
    };
    Client slow = peers.client();
    slow.send(Peers.get("r1", 4000));
    Peers.next(peers.backendRequests);
    assertEquals(200, post("/drain"));
    Message answer = slow.receive();
    assertEquals(200, answer.status());
    assertEquals("close", answer.header("Connection"));
    assertTrue(slow.isClosedByPeer());
  }

  @Test
  void invalidCallsAreRefusedWithAReason() throws Exception {
    assertEquals(404, post("/backends"));
    assertEquals(404, post("/drain/"));
    assertEquals(405, post("/ready"));
    assertEquals(405, call("GET /drain HTTP/1.1\r\nHost: a\r\n\r\n").status());
    assertEquals(405, call("GET /backends/enable?member=s-1 HTTP/1.1\r\nHost: a\r\n\r\n").status());
    assertEquals(400, post("/backends/disable"));
    assertEquals(400, post("/backends/disable?member="));
    assertEquals(400, post("/backends/disable?member=a&member=a"));
    assertEquals(400, post("/backends/disable?member=%zz"));
    assertEquals(400, post("/backends/disable?member=" + "x".repeat(300)));
    assertEquals(400, call("POST /drain HTTP/1.0\r\n\r\n").status());
    assertEquals(400, call("POST /drain HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}").status());
    assertEquals(413, call("POST /drain HTTP/1.1\r\nContent-Length: 9999\r\n\r\n").status());
    assertEquals(400, call("nonsense\r\n\r\n").status());
    assertTrue(call("POST /backends/disable HTTP/1.1\r\nHost: a\r\n\r\n").text().contains("member=ID"));
    assertEquals(200, up(), "no invalid call may drain the door");
  }

  @Test
  void silentCallersAreEvicted() throws Exception {
    List<Client> silent = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      Client caller = new Client((InetSocketAddress) door.managementAddress());
      caller.send("POST /drain HTT");
      silent.add(caller);
    }
    long asked = System.nanoTime();
    assertEquals(200, call("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n").status());
    assertTrue(System.nanoTime() - asked < 1_000_000_000L, "a complete call waits at most 1 s");
    assertTrue(silent.get(0).isClosedByPeer());
    assertFalse(silent.get(99).socket.isClosed());
    for (Client caller : silent) {
      caller.close();
    }
  }
}
