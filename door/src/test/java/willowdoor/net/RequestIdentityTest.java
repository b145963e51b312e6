package willowdoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import willowdoor.net.Peers.Client;
import willowdoor.net.Peers.Message;

/** Requests that must not run twice and come again with their id: they run once. */
@Timeout(60)
class RequestIdentityTest {

  private static final long IN_PROGRESS_MS = 200;
  private static final long SERVICE_MS = 400;
  private static final int REQUESTS = 20;
  /** So many connections reach both processes with near certainty. */
  private static final int COPIES = 8;

  @TempDir
  private Path folder;
  private final Peers peers = new Peers();
  private ServingProcess gateway;
  private ServingProcess second;

  @AfterEach
  void close() throws Exception {
    gateway.close();
    if (second != null) {
      second.close();
    }
    peers.close();
  }

  private static void pause(long ms) throws IOException {
    try {
      TimeUnit.MILLISECONDS.sleep(ms);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  private void slowBackend() {
    peers.answer = (request, out) -> {
      pause(SERVICE_MS);
      return Peers.write(out, Peers.OK);
    };
  }

  private String config(InetSocketAddress management) {
    return peers.config(Peers.rosterEntry("s-1", peers.backend.getLocalPort(), "active"))
        .replace("\"seed\"", "\"management\":\"127.0.0.1:" + management.getPort() + "\",\"seed\"");
  }

  /** How often each request has come to the backend. */
  private Map<String, Integer> runs() {
    List<Message> all = new ArrayList<>();
    peers.backendRequests.drainTo(all);
    Map<String, Integer> runs = new HashMap<>();
    all.forEach(m -> runs.merge(m.header("Request-Id"), 1, Integer::sum));
    return runs;
  }

  private void leave(String id) throws IOException {
    try (Client client = gateway.client()) {
      client.send(Peers.post(id, "b"));
      pause(IN_PROGRESS_MS);
    }
  }

  /** Guards against a request that runs again when its id comes again after its client has left. */
  @Test
  void anIdThatComesAgainAfterItsClientLeftDoesNotRunAgain() throws Exception {
    slowBackend();
    gateway = new ServingProcess(folder, config(ServingProcess.freeAddress()));
    leave("r1");
    pause(2 * SERVICE_MS);
    try (Client client = gateway.client()) {
      assertNotEquals(200, client.ask(Peers.post("r1", "b")).status(), gateway.log());
      assertEquals(200, client.ask(Peers.post("r2", "b")).status(), gateway.log());
    }
    assertEquals(Map.of("r1", 1, "r2", 1), runs(), gateway.log());
  }

  /** Guards against the same where the id comes again at the process that replaces the first one. */
  @Test
  void anIdThatComesAgainAtTheOtherProcessDoesNotRunAgain() throws Exception {
    slowBackend();
    gateway = new ServingProcess(folder, config(ServingProcess.freeAddress()));
    leave("early");
    InetSocketAddress management = ServingProcess.freeAddress();
    second = gateway.startSecond(config(management));
    second.awaitReady(management);
    List<Client> clients = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      clients.add(gateway.client());
      clients.get(i).send(Peers.post("r" + i, "b"));
    }
    pause(IN_PROGRESS_MS);
    for (Client client : clients) {
      client.close();
    }
    gateway.signal("TERM");
    pause(IN_PROGRESS_MS);
    for (int i = -1; i < REQUESTS; i++) {
      try (Client client = gateway.client()) {
        int status = client.ask(Peers.post(i < 0 ? "early" : "r" + i, "b")).status();
        assertNotEquals(200, status, gateway.log());
      }
    }
    Map<String, Integer> runs = runs();
    assertEquals(REQUESTS + 1, runs.size(), runs.toString());
    assertTrue(runs.values().stream().allMatch(n -> n == 1), runs + "\n" + gateway.log());
  }

  /** Guards against an id that comes to both processes before the one has told the other of it. */
  @Test
  void anIdThatComesToBothProcessesAtOnceDoesNotRunTwice() throws Exception {
    slowBackend();
    gateway = new ServingProcess(folder, config(ServingProcess.freeAddress()));
    InetSocketAddress management = ServingProcess.freeAddress();
    second = gateway.startSecond(config(management));
    second.awaitReady(management);
    for (int i = 0; i < REQUESTS; i++) {
      List<Client> clients = new ArrayList<>();
      for (int copy = 0; copy < COPIES; copy++) {
        clients.add(gateway.client());
      }
      for (Client client : clients) {
        client.send(Peers.post("r" + i, "b"));
      }
      for (Client client : clients) {
        client.receive();
        client.close();
      }
      try (Client client = gateway.client()) {
        assertEquals(200, client.ask(Peers.post("fresh" + i, "b")).status(), gateway.log());
      }
    }
    Map<String, Integer> runs = runs();
    assertTrue(runs.values().stream().allMatch(n -> n == 1), runs + "\n" + gateway.log());
  }
}
