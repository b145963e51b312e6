package willowdoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
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
  private static final int TIMEOUT_MS = 2_000;
  private static final int HELD_UP_ROUNDS = 3;
  private static final long SHORT_SERVICE_MS = 120;
  private static final int PAIRS = 40;
  /** A front door may be held up for 150 ms. */
  private static final long HELD_UP_MS = 130;
  /** New connections go to the second process so long after the first was told to end. */
  private static final long DIRECTED_MS = 60;

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

  /** Guards against an id that both processes run, as neither can reply to the other in time. */
  @Test
  void anIdThatComesToBothProcessesWhileTheyAreHeldUpDoesNotRunTwice() throws Exception {
    peers.answer = (request, out) -> {
      pause(SHORT_SERVICE_MS);
      return Peers.write(out, Peers.OK);
    };
    gateway = new ServingProcess(folder, config(ServingProcess.freeAddress()));
    for (int round = 0; round < HELD_UP_ROUNDS; round++) {
      heldUpRound(round, round != 1, round != 2);
    }
  }

  /** Guards against a request that the second process begins, or keeps, as the first one doesn't reply. */
  @Test
  void theSecondProcessBeginsNothingWhileTheFirstIsSilent() throws Exception {
    peers.answer = (request, out) -> Peers.write(out, Peers.OK);
    gateway = new ServingProcess(folder, config(ServingProcess.freeAddress()));
    List<Client> kept = List.of(gateway.client());
    use(kept, "kept");
    InetSocketAddress management = ServingProcess.freeAddress();
    second = gateway.startSecond(config(management));
    second.awaitReady(management);
    gateway.signal("TERM");
    pause(DIRECTED_MS);
    Client waiting = gateway.client();
    Client refused = gateway.client();
    gateway.signal("STOP");
    waiting.send(Peers.post("waiting", "b"));
    long sentNanos = System.nanoTime();
    refused.send(Peers.post("refused", "b").replace("Request-Timeout-Ms: 3000", "Request-Timeout-Ms: 800"));
    assertEquals(503, statusFor(refused, "refused"));
    assertTrue(System.nanoTime() - sentNanos < TimeUnit.MILLISECONDS.toNanos(850), "the refusal is in time");
    assertTrue(peers.backendRequests.stream().noneMatch(m -> "waiting".equals(m.header("Request-Id"))));
    gateway.close();
    assertEquals(200, statusFor(waiting, "waiting"));
  }

  /** An upgrade in which each id comes to both processes, first to the old one, while some are held up. */
  private void heldUpRound(int round, boolean firstIsHeldUp, boolean secondIsHeldUp) throws Exception {
    List<Client> atFirst = new ArrayList<>();
    for (int i = 0; i < PAIRS; i++) {
      atFirst.add(gateway.client());
    }
    use(atFirst, "early" + round);
    InetSocketAddress management = ServingProcess.freeAddress();
    second = gateway.startSecond(config(management));
    second.awaitReady(management);
    use(atFirst, "late" + round);
    gateway.signal("TERM");
    pause(DIRECTED_MS);
    List<Client> atSecond = new ArrayList<>();
    for (int i = 0; i < PAIRS; i++) {
      atSecond.add(gateway.client());
    }
    Thread heldUp = new Thread(() -> holdUp(firstIsHeldUp, secondIsHeldUp));
    heldUp.start();
    for (int i = 0; i < PAIRS; i++) {
      String request = Peers.post("pair" + round + "-" + i, "b");
      atFirst.get(i).send(request);
      pause(1);
      atSecond.get(i).send(request);
    }
    heldUp.join();
    Set<Integer> ofFirst = new HashSet<>();
    Set<Integer> ofSecond = new HashSet<>();
    for (int i = 0; i < PAIRS; i++) {
      ofFirst.add(statusFor(atFirst.get(i), "first " + i));
      ofSecond.add(statusFor(atSecond.get(i), "second " + i));
      atFirst.get(i).close();
      atSecond.get(i).close();
    }
    Map<String, Integer> runs = runs();
    assertTrue(runs.values().stream().allMatch(n -> n == 1), runs + "\n" + gateway.log());
    assertEquals(Set.of(200), ofFirst, "the request that came first is the one that runs");
    assertEquals(Set.of(400), ofSecond, gateway.log());
    gateway.close();
    gateway = second;
    second = null;
  }

  private int statusFor(Client client, String name) throws IOException {
    try {
      return client.receive().status();
    } catch (IOException e) {
      throw new AssertionError("no answer to " + name + ": " + gateway.log(), e);
    }
  }

  /** Has a request answered on each of these connections. */
  private void use(List<Client> clients, String name) throws IOException {
    for (Client client : clients) {
      client.send(Peers.get(name + "-" + clients.indexOf(client), TIMEOUT_MS));
    }
    for (Client client : clients) {
      statusFor(client, name);
    }
  }

  private void holdUp(boolean first, boolean alsoSecond) {
    try {
      pause(PAIRS / 2);
      List<ServingProcess> processes = new ArrayList<>(first ? List.of(gateway) : List.of());
      processes.addAll(alsoSecond ? List.of(second) : List.of());
      for (ServingProcess process : processes) {
        process.signal("STOP");
      }
      pause(HELD_UP_MS);
      for (ServingProcess process : processes) {
        process.signal("CONT");
      }
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
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
