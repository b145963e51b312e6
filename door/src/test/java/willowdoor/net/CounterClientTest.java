package willowdoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import willowdoor.policy.GatewayApi.Counted;
import willowdoor.policy.GatewayApi.Status;
import willowdoor.recovery.CounterWatch;

/** The client of the counter, against a scripted counter. */
@Timeout(30)
class CounterClientTest {

  private final Peers peers = new Peers();
  private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, Transport.PREFERRED.ioHandler());
  private final BlockingQueue<Counted> ends = new LinkedBlockingQueue<>();
  private CounterClient client;

  @AfterEach
  void close() throws Exception {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
    peers.close();
  }

  /** Starts the client and calls until one call succeeds, as connections open in the background. */
  private void start(double limitMs) throws Exception {
    client = new CounterClient(group.next(), new Clock(), Dialer.sockets(group.next(), 250),
        new InetSocketAddress("127.0.0.1", peers.counter.getLocalPort()), limitMs, ends::add);
    group.next().submit(client::start).sync();
    do {
      add("up", 0);
    } while (Peers.next(ends).status() == Status.UNREACHABLE);
    peers.counterLines.clear();
  }

  private void add(String name, double amount) {
    group.next().execute(() -> client.add(name, amount, 4000));
  }

  @Test
  void writesPlainNumbersAndReadsTotals() throws Exception {
    start(5_000);
    add("a", 2);
    assertEquals("incr a 2 4000", Peers.next(peers.counterLines));
    assertEquals(new Counted("a", Status.OK, 2, 0).total(), Peers.next(ends).total());
    add("a", -0.0000125);
    assertEquals("incr a -0.000013 4000", Peers.next(peers.counterLines));
    Peers.next(ends);
    peers.counterScript = line -> "busy";
    add("a", 1);
    assertEquals(Status.REJECTED, Peers.next(ends).status());
  }

  /** A call that the counter delays does not delay calls for other names. */
  @Test
  void slowNameDoesNotDelayOthers() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    peers.counterScript = line -> {
      if (line.contains("slow")) {
        await(release);
      }
      return peers.addToCount(line);
    };
    start(5_000);
    add("slow", 1);
    add("fast", 1);
    assertEquals("fast", Peers.next(ends).name());
    release.countDown();
    assertEquals("slow", Peers.next(ends).name());
  }

  /** The late answer to a call that timed out must not be taken for the answer to the next call. */
  @Test
  void lateAnswerBelongsToItsTimedOutCall() throws Exception {
    start(1_500);
    CountDownLatch release = new CountDownLatch(1);
    peers.counterScript = line -> {
      if (line.contains(" 5 ")) {
        await(release);
      }
      return peers.addToCount(line);
    };
    for (int i = 0; i < 12; i++) {
      add("n" + i, 5);
    }
    for (int i = 0; i < 12; i++) {
      assertEquals(Status.TIMED_OUT, Peers.next(ends).status());
    }
    add("x", 1);
    release.countDown();
    Counted next = Peers.next(ends);
    assertEquals(Status.OK, next.status());
    assertEquals(1, next.total());
  }

  @Test
  void invalidLineEndsTheCallAsSpoilt() throws Exception {
    start(5_000);
    peers.counterScript = line -> "what?";
    add("a", 1);
    assertEquals(Status.SPOILT, Peers.next(ends).status());
    peers.counterScript = peers::addToCount;
    add("b", 1);
    assertEquals(Status.OK, Peers.next(ends).status());
  }

  /**
   * Silent connections are replaced, so that calls succeed again although the old ones were never answered.
   */
  @Test
  void silentConnectionsAreReplaced() throws Exception {
    start(50);
    peers.counterScript = line -> null;
    for (int i = 0; i < 24; i++) {
      add("n" + i, 1);
      assertNotEquals(Status.OK, Peers.next(ends).status());
    }
    peers.counterScript = peers::addToCount;
    do {
      add("back", 0);
    } while (Peers.next(ends).status() != Status.OK);
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await(10, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * The counter at the new address is used once it is connected; pending calls at the old one still get
   * answers.
   */
  @Test
  void pendingCallsAtTheOldAddressEndAfterAMove() throws Exception {
    start(5_000);
    CountDownLatch moved = new CountDownLatch(1);
    peers.counterScript = line -> {
      try {
        moved.await(10, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        return null;
      }
      return "ok 77";
    };
    add("a", 2);
    Peers.next(peers.counterLines);
    try (Peers other = new Peers()) {
      group.next().submit(() -> client.moveTo(new InetSocketAddress("127.0.0.1",
          other.counter.getLocalPort()))).sync();
      moved.countDown();
      assertEquals(77, Peers.next(ends).total());
      do {
        add("b", 1);
        assertEquals(Status.OK, Peers.next(ends).status());
      } while (other.counterLines.isEmpty());
    }
  }

  /** Invalid input, with or without a line end, spoils one call; further calls use other connections. */
  @Test
  void invalidInputSpoilsOneCallOnly() throws Exception {
    start(5_000);
    int port = peers.listen(50, (in, out, socket) -> {
      in.read();
      Peers.write(out, "no line's end");
    }).getLocalPort();
    group.next().submit(() -> client.moveTo(new InetSocketAddress("127.0.0.1", port))).sync();
    Status status;
    do {
      add("a", 1);
      status = Peers.next(ends).status();
    } while (status == Status.OK);
    assertEquals(Status.SPOILT, status);
    peers.counterScript = line -> "total?";
    group.next().submit(() -> client.moveTo(new InetSocketAddress("127.0.0.1",
        peers.counter.getLocalPort()))).sync();
    peers.counterLines.clear();
    while (peers.counterLines.isEmpty()) {
      add("b", 1);
      status = Peers.next(ends).status();
    }
    assertEquals(Status.SPOILT, status);
    peers.counterScript = peers::addToCount;
    do {
      add("c", 1);
    } while (Peers.next(ends).status() != Status.OK);
  }

  @Test
  void replacedCounterIsReportedAndChecksAreNotReportedAsCalls() throws Exception {
    BlockingQueue<String> replaced = new LinkedBlockingQueue<>();
    client = new CounterClient(group.next(), new Clock(), Dialer.sockets(group.next(), 250),
        new InetSocketAddress("127.0.0.1", peers.counter.getLocalPort()), 5_000, ends::add);
    CounterWatch watch = new CounterWatch("d1");
    client.setWatch(watch, at -> replaced.add("replaced"));
    AtomicBoolean empty = new AtomicBoolean();
    peers.counterScript = line -> {
      if (empty.getAndSet(false)) {
        peers.forgetCounts();
      }
      return peers.addToCount(line);
    };
    group.next().submit(client::start).sync();
    do {
      add("up", 0);
    } while (Peers.next(ends).status() == Status.UNREACHABLE);
    while (!group.next().submit(watch::hasConfirmedTotal).get()) {
      Thread.onSpinWait();
    }
    // The counter is checked every 250 ms; the next check reveals that it was emptied.
    empty.set(true);
    assertEquals("replaced", Peers.next(replaced));
    add("a", 2);
    assertEquals(2, Peers.next(ends).total());
    assertEquals(0, ends.size(), "checks must not be reported as calls");
  }
}
