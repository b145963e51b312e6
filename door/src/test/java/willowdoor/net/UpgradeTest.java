package willowdoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import willowdoor.membership.DisabledBackend;
import willowdoor.net.Peers.Client;

/** A second process of a front door starts beside the first and replaces it. */
@Timeout(60)
class UpgradeTest {

  private static final String UP_REQUEST = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";
  /** Longer than the interval of the processes' checks, shorter than it and the limit of a check. */
  private static final long CHECK_IN_PROGRESS_MS = 600;
  private static final int UPGRADES_UNDER_LOAD = 5;
  private static final int CONNECTING_CLIENTS = 8;
  private static final Set<Integer> SERVED_OR_REFUSED = Set.of(200, 429, 503);

  @TempDir
  private Path folder;
  private final Peers peers = new Peers();
  private FrontDoor old;
  private FrontDoor replacement;

  @BeforeEach
  void start() throws Exception {
    old = FrontDoor.start(config(0), folder.toString());
    awaitReady(old);
  }

  @AfterEach
  void close() throws Exception {
    old.stop();
    if (replacement != null) {
      replacement.stop();
    }
    peers.close();
  }

  private Config config(int port) throws IOException {
    return Peers.parse(peers.config(Peers.rosterEntry("s-1", peers.backend.getLocalPort(), "active"))
        .replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"127.0.0.1:" + port + "\"")
        .replace("\"seed\"", "\"management\":\"127.0.0.1:0\",\"seed\""));
  }

  private FrontDoor startReplacement() throws Exception {
    replacement = FrontDoor.start(config(((InetSocketAddress) old.address()).getPort()), folder.toString());
    awaitReady(replacement);
    return replacement;
  }

  private static void awaitReady(FrontDoor door) throws Exception {
    awaitCondition(() -> call(door, "GET /ready") == 200);
  }

  private static void awaitCondition(Callable<Boolean> condition) throws Exception {
    for (int polls = 0; !condition.call(); polls++) {
      assertTrue(polls < 1_000, "not within 10 s");
      Thread.sleep(10);
    }
  }

  private static int call(FrontDoor door, String requestLine) throws IOException {
    try (Client operator = new Client((InetSocketAddress) door.managementAddress())) {
      return operator.ask(requestLine + " HTTP/1.1\r\nHost: a\r\n\r\n").status();
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
  void clientsMoveToTheReplacementAndNoRequestFails() throws Exception {
    Client kept = client();
    Client idle = client();
    assertEquals(200, kept.ask(Peers.get("r1", 3000)).status());
    assertEquals(200, idle.ask(Peers.get("r2", 3000)).status());
    startReplacement();
    Thread ending = end(old);
    awaitCondition(() -> call(old, "GET /ready") != 200);
    assertEquals(200, kept.ask(UP_REQUEST).status(), "/up answers for the front door as a whole");
    assertTrue(kept.isClosedByPeer(), "connection is closed after the response");
    for (int i = 0; i < 40; i++) {
      try (Client client = client()) {
        assertEquals(200, client.ask(Peers.get("n" + i, 3000)).status());
      }
    }
    assertTrue(idle.isClosedByPeer());
    ending.join();
    assertEquals(200, call(replacement, "GET /ready"));
    try (Client client = client()) {
      assertEquals(200, client.ask(Peers.get("last", 3000)).status());
    }
  }

  /** Guards against connections in the accept queue of a process that stops listening: they were reset. */
  @Test
  void connectionsThatComeWhileAProcessStopsListeningAreAnswered() throws Exception {
    long whole = memoryPool(old);
    for (int upgrade = 0; upgrade < UPGRADES_UNDER_LOAD; upgrade++) {
      startReplacement();
      endUnderLoad(old, "u" + upgrade);
      old = replacement;
      replacement = null;
      awaitCondition(() -> memoryPool(old) == whole);
    }
  }

  /** Guards against the same where the second process is told to stop, and the first one goes on. */
  @Test
  void connectionsThatComeWhileTheSecondProcessStopsListeningAreAnswered() throws Exception {
    long whole = memoryPool(old);
    for (int upgrade = 0; upgrade < UPGRADES_UNDER_LOAD; upgrade++) {
      startReplacement();
      endUnderLoad(replacement, "s" + upgrade);
      replacement = null;
      awaitCondition(() -> memoryPool(old) == whole);
    }
  }

  /** Ends a process while clients connect at full speed; each of their requests has to be answered. */
  private void endUnderLoad(FrontDoor door, String idPrefix) throws Exception {
    List<Connecting> clients = new ArrayList<>();
    for (int i = 0; i < CONNECTING_CLIENTS; i++) {
      clients.add(new Connecting(idPrefix + "-" + i + "-"));
    }
    clients.forEach(Thread::start);
    end(door).join();
    for (Connecting client : clients) {
      client.finish();
    }
  }

  /** Opens one connection after another, each with one request, until told to finish. */
  private final class Connecting extends Thread {
    private final InetSocketAddress address = (InetSocketAddress) old.address();
    private final String idPrefix;
    private volatile boolean finished;
    private int answered;
    private Throwable failure;

    Connecting(String idPrefix) {
      this.idPrefix = idPrefix;
    }

    @Override
    public void run() {
      try {
        while (!finished) {
          try (Client client = new Client(address)) {
            int status = client.ask(Peers.get(idPrefix + answered, 3000)).status();
            assertTrue(SERVED_OR_REFUSED.contains(status), "status " + status);
            answered++;
          }
        }
      } catch (IOException | AssertionError e) {
        failure = e;
      }
    }

    void finish() throws Exception {
      finished = true;
      join();
      if (failure != null) {
        throw new AssertionError("after " + answered + " requests of " + idPrefix, failure);
      }
      assertTrue(answered > 0);
    }
  }

  @Test
  void operatorStateIsInheritedAndOrdersApplyToBothProcesses() throws Exception {
    assertEquals(200, call(old, "POST /backends/disable?member=s-1"));
    assertEquals(200, call(old, "POST /drain"));
    startReplacement();
    assertEquals(List.of(EndpointUpdate.idOf("s-1")), idsOut(replacement));
    assertEquals(503, upStatus(), "clients are sent away at both processes");
    assertEquals(200, call(old, "POST /undrain"));
    assertEquals(200, call(replacement, "POST /backends/enable?member=s-1"));
    assertEquals(List.of(), idsOut(old));
    assertEquals(List.of(), idsOut(replacement));
    for (int i = 0; i < 20; i++) {
      assertEquals(200, upStatus(), "both processes take clients");
    }
    assertEquals(200, call(replacement, "POST /backends/disable?member=s-1"));
    assertEquals(List.of(EndpointUpdate.idOf("s-1")), idsOut(old));
    assertEquals(404, call(replacement, "POST /backends/disable?member=s-2"));
  }

  private static List<Long> idsOut(FrontDoor door) throws Exception {
    return door.loop().submit(door::disabledBackends).get().stream().map(DisabledBackend::id).toList();
  }

  private int upStatus() throws IOException {
    try (Client client = client()) {
      return client.ask(UP_REQUEST).status();
    }
  }

  /** Guards against two processes that together hold twice the memory that one may hold. */
  @Test
  void bothProcessesTogetherHaveOneMemoryPool() throws Exception {
    long whole = memoryPool(old);
    startReplacement();
    assertTrue(memoryPool(old) + memoryPool(replacement) <= whole);
    assertTrue(memoryPool(replacement) > 0);
    replacement.stop();
    awaitCondition(() -> memoryPool(old) == whole);
  }

  private static long memoryPool(FrontDoor door) throws Exception {
    return door.loop().submit(() -> door.memory().poolBytes()).get();
  }

  @Test
  void afterTheReplacementEndsAnotherOneMayStart() throws Exception {
    startReplacement();
    IOException third = assertThrows(IOException.class, () -> FrontDoor.start(config(0), folder.toString()));
    assertTrue(third.getMessage().contains("two processes"), third.getMessage());
    replacement.stop();
    String own = ":" + ((InetSocketAddress) old.managementAddress()).getPort() + " ";
    awaitCondition(() -> Files.readString(folder.resolve("front-door.process")).contains(own));
    assertEquals(200, call(old, "POST /drain"), "no other process has to confirm");
    startReplacement();
    assertEquals(503, upStatus());
  }

  /** Guards against a process file that names an ended process: the next one would start as the first. */
  @Test
  void aStoppedProcessWritesNoProcessFile() throws Exception {
    startReplacement();
    CountDownLatch releaseOld = new CountDownLatch(1);
    old.loop().execute(() -> {
      try {
        releaseOld.await(10, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    });
    // By then the replacement waits for the old process, which it asks twice a second whether it lives.
    Thread.sleep(CHECK_IN_PROGRESS_MS);
    Path file = folder.resolve("front-door.process");
    Files.delete(file);
    replacement.stop();
    Thread.sleep(CHECK_IN_PROGRESS_MS);
    assertFalse(Files.exists(file), "written by a process that has ended");
    releaseOld.countDown();
    awaitCondition(() -> Files.exists(file));
  }

  /** Guards against another process at the address of one that has ended, which is taken for that one. */
  @Test
  void anotherProcessAtTheAddressOfAnEndedOneIsNotTheOther() throws Exception {
    long whole = memoryPool(old);
    startReplacement();
    int port = ((InetSocketAddress) replacement.managementAddress()).getPort();
    replacement.stop();
    FrontDoor another = startAnotherFrontDoor(port);
    try {
      awaitCondition(() -> memoryPool(old) == whole);
    } finally {
      another.stop();
    }
  }

  /** Guards against a process file that names an address at which another front door answers by now. */
  @Test
  void aProcessOfAnotherFrontDoorIsNotTheOther() throws Exception {
    FrontDoor another = startAnotherFrontDoor(0);
    try {
      assertEquals(200, call(another, "POST /backends/disable?member=s-1"));
      int port = ((InetSocketAddress) another.managementAddress()).getPort();
      Files.writeString(folder.resolve("front-door.process"),
          "front-door-process 1 127.0.0.1:" + port + " end\n");
      long whole = memoryPool(old);
      startReplacement();
      assertEquals(List.of(), idsOut(replacement));
      assertEquals(whole, memoryPool(replacement));
      assertEquals(whole, memoryPool(another));
    } finally {
      another.stop();
    }
  }

  private FrontDoor startAnotherFrontDoor(int managementPort) throws Exception {
    String entry = Peers.rosterEntry("s-1", peers.backend.getLocalPort(), "active");
    return FrontDoor.start(Peers.parse(peers.config(entry)
        .replace("\"seed\"", "\"management\":\"127.0.0.1:" + managementPort + "\",\"seed\"")));
  }

  @Test
  void invalidProcessFileIsIgnored() throws Exception {
    Path file = folder.resolve("front-door.process");
    for (String text : new String[] {"", "front-door-process 1 127.0.0.1:1", "front-door-process 2 x end\n",
        "front-door-process 1 nowhere:1 end\n", "x".repeat(1 << 16)}) {
      Files.writeString(file, text);
      assertNull(new ProcessFile(folder.toString()).read(), text);
    }
    Files.writeString(file, "front-door-process 1 127.0.0.1:" + peers.backend.getLocalPort() + " end\n");
    startReplacement();
    assertEquals(200, upStatus(), "the process at that address is no front door");
  }

  @Test
  void incompleteStateIsRejected() throws Exception {
    FrontDoorState state = new FrontDoorState(true,
        List.of(new DisabledBackend(EndpointUpdate.idOf("s-1"), 1_700_000_000_123.0),
        new DisabledBackend(7, 2)), "1f-2", List.of("r1", "a b%"));
    assertEquals(state, FrontDoorState.parse(state.format()));
    assertEquals(state, FrontDoorState.parse(state.format().replace("sent-away", "later 3 4\nsent-away")));
    String text = state.format();
    for (String bad : new String[] {"", "front-door-state 2\nend\n", text.substring(0, text.length() - 3),
        text.replace("out 7", "out"), text.replace("out 7", "out x"), text + "x\n".repeat(30_000)}) {
      assertThrows(IOException.class, () -> FrontDoorState.parse(bad), bad);
    }
  }
}
