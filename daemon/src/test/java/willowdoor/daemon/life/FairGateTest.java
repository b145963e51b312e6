package willowdoor.daemon.life;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import willowdoor.fairness.FairCounts;
import willowdoor.testkit.EventHistory.Kind;
import willowdoor.testkit.RequestKind;
import willowdoor.testkit.StandInBackend.Behaviour;

/** The fair queue in a running daemon. */
@Timeout(60)
class FairGateTest {

  private static final String QUEUE = """
      [fair]
      enabled = true
      client_by = "connection"
      first_out = 1
      least_out = 1
      most_out = 1
      """;

  private DaemonFixture fixture;
  private final ExecutorService clients = Executors.newCachedThreadPool();

  @BeforeEach
  void open() throws Exception {
    fixture = new DaemonFixture(2, 5);
    fixture.rig.backendPool().chargeNamedUnits();
  }

  @AfterEach
  void close() throws Exception {
    clients.shutdownNow();
    fixture.close();
  }

  private Daemon daemon(String tables) throws Exception {
    Daemon daemon = fixture.createDaemon(new InetSocketAddress("127.0.0.1", 0), "[end]\naccept_ms = 150\n",
        text -> text + tables).start(false);
    DaemonFixture.awaitUp(daemon.address());
    return daemon;
  }

  private CompletableFuture<Integer> sendRequest(Daemon daemon, String id) throws Exception {
    DaemonFixture.Caller caller = fixture.new Caller(daemon.address(), "d0");
    caller.sendRaw(caller.requestText(id, RequestKind.QUOTE, 3_000));
    fixture.rig.eventHistory().addRequestEntry(Kind.ASKED, id, "d0", 0, "");
    return CompletableFuture.supplyAsync(() -> {
      try {
        return caller.receiveStatus(id);
      } catch (Exception e) {
        throw new java.util.concurrent.CompletionException(e);
      }
    }, clients);
  }

  @Test
  void queuedRequestsAreAllServed() throws Exception {
    Daemon daemon = daemon(QUEUE);
    List<CompletableFuture<Integer>> answers = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      answers.add(sendRequest(daemon, "r" + i));
    }
    for (CompletableFuture<Integer> a : answers) {
      assertEquals(200, a.get());
    }
    FairCounts c = daemon.fairness();
    assertEquals(20, c.released(), c.summary());
    assertTrue(c.released() > c.atOnce(), "no request was queued: " + c.summary());
    assertEquals(0, c.waiting() + c.out() + c.waitingBytes(), c.summary());
    assertTrue(fixture.verdict().passed(), () -> fixture.verdict().toString());
  }

  @Test
  void aDrainRefusesQueuedRequests() throws Exception {
    Daemon daemon = daemon(QUEUE);
    fixture.rig.backendPool().all().forEach(b -> b.setBehaviour(Behaviour.STALLS));
    CompletableFuture<Integer> out = sendRequest(daemon, "out");
    DaemonFixture.await("one request sent to a backend", () -> counts(daemon).out() == 1);
    List<CompletableFuture<Integer>> waiting = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      waiting.add(sendRequest(daemon, "w" + i));
    }
    DaemonFixture.await("five requests queued", () -> counts(daemon).waiting() == 5);
    daemon.requestEnd();
    for (CompletableFuture<Integer> w : waiting) {
      assertEquals(503, w.get(), "the request was not run, and no time for a retry is known");
    }
    out.get();
    assertTrue(fixture.verdict().passed(), () -> fixture.verdict().toString());
  }

  private static FairCounts counts(Daemon daemon) {
    try {
      return daemon.fairness();
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  @Test
  void withoutTheFairTableThereIsNoQueue() throws Exception {
    Daemon daemon = daemon("");
    assertEquals(200, sendRequest(daemon, "r").get());
    assertEquals(null, daemon.fairness());
  }
}
