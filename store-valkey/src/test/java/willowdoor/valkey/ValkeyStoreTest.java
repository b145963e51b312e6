package willowdoor.valkey;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import willowdoor.net.Config;
import willowdoor.net.CounterStore;
import willowdoor.policy.GatewayApi.Capabilities;
import willowdoor.policy.GatewayApi.Counted;
import willowdoor.policy.GatewayApi.Rules;
import willowdoor.policy.GatewayApi.Settings;
import willowdoor.policy.GatewayApi.Status;
import willowdoor.testkit.StandInValkey;

/** The store against a stand-in server that is lost, restarted, promoted, slow or rejects calls. */
@Timeout(60)
class ValkeyStoreTest {

  private static final double CALL_LIMIT_MS = 300;
  private static final long WAIT_S = 20;
  private static final ValkeySettings DEFAULT_SETTINGS = new ValkeySettings("", "", "test");

  private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final BlockingQueue<Counted> results = new LinkedBlockingQueue<>();
  private final BlockingQueue<Double> replaced = new LinkedBlockingQueue<>();
  private final List<CounterStore> stores = new ArrayList<>();
  private final List<StandInValkey> servers = new ArrayList<>();

  @AfterEach
  void close() throws Exception {
    stores.forEach(CounterStore::close);
    for (StandInValkey s : servers) {
      s.close();
    }
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }

  private static double now() {
    return System.nanoTime() / 1e6;
  }

  private StandInValkey startServer() throws Exception {
    return register(new StandInValkey());
  }

  private StandInValkey register(StandInValkey server) {
    servers.add(server);
    return server;
  }

  private static Config config(InetSocketAddress counter) {
    Settings settings = new Settings(1, 0, "a", 8, 0, false, List.of(), List.of(),
        new Capabilities(true, CALL_LIMIT_MS, true, false, 6, 100, true, 2_000, false),
        new Rules(8, 0.2, 1_000, 2,
            2_000));
    return new Config(null, null, counter, 1, settings, null, 250, 15_000, null, true, null);
  }

  private CounterStore store(InetSocketAddress address, ValkeySettings settings) {
    CounterStore store = ValkeyStore.maker(settings).make(group.next(), ValkeyStoreTest::now,
        "d" + stores.size(), config(address), new CounterStore.Listener() {
          @Override
          public void counted(Counted end) {
            results.add(end);
          }

          @Override
          public void replaced(double lostSinceMs) {
            replaced.add(lostSinceMs);
          }
        });
    stores.add(store);
    group.next().execute(store::start);
    return store;
  }

  private Counted add(CounterStore store, String name, double amount, double ttlMs) throws Exception {
    group.next().execute(() -> store.add(name, amount, ttlMs));
    Counted result = results.poll(WAIT_S, TimeUnit.SECONDS);
    assertEquals(name, result.name());
    return result;
  }

  /** Returns a connected store: an add to a counter that no test uses otherwise was answered. */
  private CounterStore connectedStore(StandInValkey server) throws Exception {
    CounterStore store = store(server.address(), DEFAULT_SETTINGS);
    awaitOk(store);
    return store;
  }

  private void awaitOk(CounterStore store) throws Exception {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S);
    while (add(store, "up", 0, 1_000).status() != Status.OK) {
      assertTrue(System.nanoTime() < deadlineNanos, "no add was answered with OK");
    }
  }

  @Test
  void addsOfAllDoorsShareOneTotalAndCountsExpire() throws Exception {
    StandInValkey server = startServer();
    CounterStore one = connectedStore(server);
    CounterStore other = connectedStore(server);
    assertEquals(2.5, add(one, "16:1", 2.5, 60_000).total(), 1e-9);
    assertEquals(1.25, add(other, "16:1", -1.25, 60_000).total(), 1e-9);
    assertEquals(1.25, add(one, "16:1", 0, 60_000).total(), 1e-9);
    assertEquals(1e6 + 7, add(one, "big", 1e6, 60_000).total() + 7, 1e-9);
    add(one, "short", 1, 60);
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S);
    while (add(one, "short", 0, 60).total() != 0) {
      assertTrue(System.nanoTime() < deadlineNanos, "the counter did not expire");
    }
    assertTrue(replaced.isEmpty());
  }

  @Test
  void restartedServerIsReportedOnceByTheFirstAnswer() throws Exception {
    StandInValkey server = startServer();
    CounterStore store = connectedStore(server);
    assertEquals(3, add(store, "16:1", 3, 60_000).total());
    server.kill();
    server.start();
    awaitOk(store);
    assertEquals(Double.NEGATIVE_INFINITY, replaced.poll(WAIT_S, TimeUnit.SECONDS));
    assertEquals(1, add(store, "16:1", 1, 60_000).total());
    // The watch continues on the new data and does not report this restart again.
    awaitChecks(server, 3);
    assertTrue(replaced.isEmpty(), replaced::toString);
  }

  private static void awaitChecks(StandInValkey server, int more) throws Exception {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S);
    long before = server.adds();
    while (server.adds() < before + more) {
      assertTrue(System.nanoTime() < deadlineNanos, "no checks of the watch arrived");
      Thread.onSpinWait();
    }
  }

  /** The first add after FLUSHALL on an open connection reports the replaced data. */
  @Test
  void flushIsReportedOnAnOpenConnection() throws Exception {
    StandInValkey server = startServer();
    CounterStore store = connectedStore(server);
    for (int i = 0; i < 20; i++) {
      add(store, "16:1", 3, 60_000);
      assertEquals("+OK", server.runCommand("FLUSHALL"));
      assertEquals(1, add(store, "16:1", 1, 60_000).total());
      assertEquals(Double.NEGATIVE_INFINITY, replaced.poll(),
          "replacement not reported before the answer, round " + i);
      assertTrue(replaced.isEmpty(), "replacement reported twice");
    }
  }

  @Test
  void promotedReplicaWithoutTheLastWritesIsReported() throws Exception {
    StandInValkey primary = startServer();
    CounterStore store = connectedStore(primary);
    add(store, "16:1", 3, 60_000);
    StandInValkey replica = register(StandInValkey.replicaOf(primary));
    awaitEquals("3", () -> replica.runCommand("GET test:16:1"));
    awaitChecks(primary, 2);
    // Both sizes are read each time, because counters may expire meanwhile in both.
    awaitEquals("as many",
        () -> primary.runCommand("DBSIZE").equals(replica.runCommand("DBSIZE")) ? "as many" : "others");
    assertEquals("+OK", replica.runCommand("REPLICAOF NO ONE"));
    double cutAt = now();
    awaitChecks(primary, 3);
    assertEquals(8, add(store, "16:1", 5, 60_000).total());
    group.next().execute(() -> store.moveTo(replica.address()));
    double lostSince = replaced.poll(WAIT_S, TimeUnit.SECONDS);
    assertTrue(lostSince <= cutAt && lostSince > cutAt - 10_000, lostSince
        + " is not within 10 s before " + cutAt);
    awaitOk(store);
    assertEquals(4, add(store, "16:1", 1, 60_000).total());
  }

  private interface Query {
    String get() throws Exception;
  }

  private static void awaitEquals(String expected, Query query) throws Exception {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S);
    String actual = query.get();
    while (!expected.equals(actual)) {
      assertTrue(System.nanoTime() < deadlineNanos, "wanted " + expected + ", got " + actual);
      actual = query.get();
    }
  }

  @Test
  void readOnlyReplicaRejectsAdds() throws Exception {
    StandInValkey primary = startServer();
    connectedStore(primary);
    StandInValkey replica = register(StandInValkey.replicaOf(primary));
    CounterStore store = store(replica.address(), DEFAULT_SETTINGS);
    Counted result = add(store, "16:1", 3, 60_000);
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S);
    while (result.status() != Status.REJECTED) {
      assertTrue(System.nanoTime() < deadlineNanos, result::toString);
      result = add(store, "16:1", 3, 60_000);
    }
    assertTrue(result.status().provesNotRun());
    assertEquals("$-1", primary.runCommand("GET test:16:1"));
  }

  /** Errors of the published protocol: each proves that nothing was added, and the store works after it. */
  @Test
  void serverErrorsRejectAdds() throws Exception {
    StandInValkey server = startServer();
    CounterStore store = connectedStore(server);
    add(store, "16:1", 3, 60_000);
    for (String line : List.of("LOADING Redis is loading the dataset in memory", "MOVED 3999 127.0.0.1:1",
        "OOM command not allowed when used memory > 'maxmemory'.", "BUSY Redis is busy running a script.",
        "MASTERDOWN Link with MASTER is down and replica-serve-stale-data is set to 'no'.")) {
      server.setErrorReply(line);
      Counted result = add(store, "16:1", 5, 60_000);
      assertEquals(Status.REJECTED, result.status(), line);
      assertTrue(result.status().provesNotRun());
    }
    server.setErrorReply(null);
    awaitOk(store);
    assertEquals(3, add(store, "16:1", 0, 60_000).total());
  }

  @Test
  void flushedScriptIsReloaded() throws Exception {
    StandInValkey server = startServer();
    CounterStore store = connectedStore(server);
    add(store, "16:1", 3, 60_000);
    assertEquals("+OK", server.runCommand("SCRIPT FLUSH"));
    // A check of the watch may get the error first and reload the script.
    add(store, "16:1", 0, 60_000);
    awaitOk(store);
    assertEquals(3, add(store, "16:1", 0, 60_000).total());
  }

  @Test
  void slowServerTimesOutAndTheAddIsMadeOnce() throws Exception {
    StandInValkey server = startServer();
    CounterStore store = connectedStore(server);
    assertEquals("+OK", server.runCommand("CLIENT PAUSE 900 ALL"));
    double startedMs = now();
    Counted result = add(store, "16:1", 3, 60_000);
    double tookMs = now() - startedMs;
    assertEquals(Status.TIMED_OUT, result.status());
    assertFalse(result.status().provesNotRun());
    assertTrue(tookMs >= CALL_LIMIT_MS - 5 && tookMs < 3 * CALL_LIMIT_MS, tookMs + " ms");
    awaitOk(store);
    assertEquals(3, add(store, "16:1", 0, 60_000).total());
    assertTrue(results.isEmpty(), "the late answer must not end the call again");
  }

  @Test
  void callsFailAtOnceWithoutAServerAndReconnect() throws Exception {
    StandInValkey server = startServer();
    CounterStore store = connectedStore(server);
    server.kill();
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S);
    Counted result = add(store, "16:1", 1, 60_000);
    while (result.status() != Status.UNREACHABLE) {
      assertTrue(System.nanoTime() < deadlineNanos, result::toString);
      result = add(store, "16:1", 1, 60_000);
    }
    assertTrue(result.latencyMs() < CALL_LIMIT_MS / 2, result::toString);
    server.start();
    awaitOk(store);
  }

  /** At most once: calls that were outstanding when the connection broke are not sent again. */
  @Test
  void callsAreNotResentAfterADisconnect() throws Exception {
    StandInValkey server = startServer();
    CounterStore store = connectedStore(server);
    for (int round = 0; round < 5; round++) {
      String name = "16:" + round;
      for (int i = 0; i < 200; i++) {
        group.next().execute(() -> store.add(name, 1, 60_000));
      }
      server.runCommand("CLIENT KILL TYPE normal");
      int confirmed = 0;
      int undecided = 0;
      for (int i = 0; i < 200; i++) {
        Counted result = results.poll(WAIT_S, TimeUnit.SECONDS);
        confirmed += result.status() == Status.OK ? 1 : 0;
        undecided += result.status() == Status.OK || result.status().provesNotRun() ? 0 : 1;
      }
      awaitOk(store);
      double total = add(store, name, 0, 60_000).total();
      assertTrue(total >= confirmed && total <= confirmed + undecided, total + " of " + confirmed
          + " confirmed and " + undecided + " undecided");
    }
  }

  @Test
  void outstandingCallsAreBounded() throws Exception {
    StandInValkey server = startServer();
    CounterStore store = connectedStore(server);
    server.runCommand("CLIENT PAUSE 600 ALL");
    int calls = ValkeyStore.MAX_OUTSTANDING_CALLS + 100;
    group.next().execute(() -> {
      for (int i = 0; i < calls; i++) {
        store.add("16:1", 1, 60_000);
      }
    });
    int notSent = 0;
    for (int i = 0; i < calls; i++) {
      notSent += results.poll(WAIT_S, TimeUnit.SECONDS).status() == Status.NOT_SENT ? 1 : 0;
    }
    assertTrue(notSent >= 100 && notSent <= 110, notSent + " rejected as NOT_SENT");
    awaitOk(store);
    assertEquals(calls - notSent, add(store, "16:1", 0, 60_000).total());
  }

  @Test
  void passwordIsRequiredWhereTheServerHasOne() throws Exception {
    StandInValkey server = register(new StandInValkey("secret"));
    CounterStore right = store(server.address(), new ValkeySettings("", "secret", "test"));
    awaitOk(right);
    CounterStore wrong = store(server.address(), new ValkeySettings("", "other", "test"));
    for (int i = 0; i < 20; i++) {
      assertEquals(Status.UNREACHABLE, add(wrong, "16:1", 1, 1_000).status());
    }
    assertFalse(new ValkeySettings("door", "secret", "test").toString().contains("secret"));
  }

  /** The rights that docs/operating/counter.md lists, and no others. */
  @Test
  void userWithTheDocumentedRightsSuffices() throws Exception {
    StandInValkey server = startServer();
    assertEquals("+OK",
        server.runCommand("ACL SETUSER door on >secret -@all ~test:* ~test!epoch +evalsha +script|load "
        + "+get +set +exists +incrbyfloat +pexpire"));
    CounterStore store = store(server.address(), new ValkeySettings("door", "secret", "test"));
    awaitOk(store);
    assertEquals(3, add(store, "16:1", 3, 60_000).total());
    assertEquals("+OK", server.runCommand("ACL SETUSER door -incrbyfloat"));
    assertEquals(Status.REJECTED, add(store, "16:1", 3, 60_000).status());
  }

  @Test
  void invalidSettingsAreNamedInTheMessage() {
    assertTrue(assertThrows(IllegalArgumentException.class, () -> new ValkeySettings("", "", "a b"))
        .getMessage().contains("\"a b\" (expected: 1 to 64"));
    assertTrue(assertThrows(IllegalArgumentException.class, () -> new ValkeySettings("door", "", "a"))
        .getMessage().contains("expected: one for the user door"));
  }
}
