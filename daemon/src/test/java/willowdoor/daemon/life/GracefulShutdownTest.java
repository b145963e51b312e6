package willowdoor.daemon.life;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import willowdoor.life.InstanceLifecycle;
import willowdoor.testkit.EventHistory.Kind;
import willowdoor.testkit.RequestKind;
import willowdoor.testkit.StandInBackend.Behaviour;
import willowdoor.testkit.StandInDiscovery.Listed;

/**
 * Shutdowns that coincide with a critical moment of a request or of the start. Each run is checked against
 * the five rules of the test kit.
 */
@Timeout(60)
class GracefulShutdownTest {

  private static final int ARRIVED_BYTES = 40;
  private static final long ARRIVED_AFTER_MS = 50;
  private static final long REST_AFTER_MS = 800;

  private DaemonFixture fixture;

  @BeforeEach
  void open() throws Exception {
    fixture = new DaemonFixture(2, 300);
  }

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  private static void assertExitCode(int code, Daemon daemon) throws Exception {
    assertEquals(code, daemon.ended().get(DaemonFixture.TIMEOUT_MS, TimeUnit.MILLISECONDS));
  }

  private void assertRulesKept() {
    assertTrue(fixture.verdict().passed(), () -> fixture.verdict().toString());
  }

  /** The attempt waits for a connection that is never established, so no byte of the request is written. */
  @Test
  void endsBeforeTheLastByteOfABuyIsWritten() throws Exception {
    try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      List<SocketChannel> fill = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        SocketChannel c = SocketChannel.open();
        c.configureBlocking(false);
        c.connect(full.getLocalSocketAddress());
        fill.add(c);
      }
      fixture.rig.backendPool().all().forEach(b -> fixture.rig.discovery().setState(b.name(), "left"));
      fixture.rig.discovery()
          .publish(new Listed("full", (InetSocketAddress) full.getLocalSocketAddress(), "a",
          "active",
          0));
      Daemon daemon = fixture.startDaemon();
      DaemonFixture.Caller caller = fixture.new Caller(daemon.address(), "d0");
      caller.send("r1", RequestKind.BUY, 2_000);
      daemon.requestEnd();
      assertEquals(429, caller.receiveStatus());
      assertTrue(Double.parseDouble(caller.headers().get("retry-after")) > 0);
      assertTrue(caller.isClosed());
      assertExitCode(InstanceLifecycle.EXIT_ORDERLY, daemon);
      assertFalse(fixture.recorded("r1", Kind.FIRST_BYTE));
      for (SocketChannel c : fill) {
        c.close();
      }
    }
    assertRulesKept();
  }

  @Test
  void endsAfterTheLastByteOfABuyIsWritten() throws Exception {
    Daemon daemon = fixture.startDaemon();
    DaemonFixture.Caller caller = fixture.new Caller(daemon.address(), "d0");
    caller.send("r1", RequestKind.BUY, 3_000);
    fixture.awaitRecorded("r1", Kind.LAST_BYTE);
    daemon.requestEnd();
    assertEquals(200, caller.receiveStatus());
    assertTrue(caller.isClosed());
    assertExitCode(InstanceLifecycle.EXIT_ORDERLY, daemon);
    assertEquals(1, fixture.history("r1").stream().filter(e -> e.kind() == Kind.EFFECT).count());
    assertRulesKept();
  }

  /** Guards against a request that is cut off as it arrives, when the daemon is told to end. */
  @Test
  void aRequestThatIsArrivingIsAnswered() throws Exception {
    Daemon daemon = fixture.startDaemon();
    DaemonFixture.Caller caller = fixture.new Caller(daemon.address(), "d0");
    caller.send("first", RequestKind.BUY, 3_000);
    assertEquals(200, caller.receiveStatus());
    String request = caller.requestText("r1", RequestKind.BUY, 3_000);
    caller.sendRaw(request.substring(0, ARRIVED_BYTES));
    daemon.requestEnd();
    TimeUnit.MILLISECONDS.sleep(REST_AFTER_MS);
    caller.sendRaw(request.substring(ARRIVED_BYTES));
    assertEquals(200, caller.receiveStatus("r1"));
    assertExitCode(InstanceLifecycle.EXIT_ORDERLY, daemon);
  }

  /** Guards against the same where the request has not arrived when the last ones are answered. */
  @Test
  void aRequestThatIsArrivingAtTheDeadlineIsRefused() throws Exception {
    Daemon daemon = fixture.createDaemon(new InetSocketAddress("127.0.0.1", 0),
        "[end]\naccept_ms = 50\nanswer_ms = 400\n").start(false);
    DaemonFixture.awaitUp(daemon.address());
    DaemonFixture.Caller caller = fixture.new Caller(daemon.address(), "d0");
    caller.sendRaw(caller.requestText("r1", RequestKind.BUY, 3_000).substring(0, ARRIVED_BYTES));
    TimeUnit.MILLISECONDS.sleep(ARRIVED_AFTER_MS);
    daemon.requestEnd();
    assertEquals(503, caller.receiveStatus("r1"));
    assertExitCode(InstanceLifecycle.EXIT_ORDERLY, daemon);
  }

  /**
   * The backend writes only half of its answer. The retry continues during the shutdown, and the client
   * receives a single answer.
   */
  @Test
  void endsWhileTheAnswerToABuyIsHalfWritten() throws Exception {
    Daemon daemon = fixture.startDaemon();
    fixture.rig.backendPool().all().forEach(b -> b.setBehaviour(Behaviour.HALF_ANSWERS));
    DaemonFixture.Caller caller = fixture.new Caller(daemon.address(), "d0");
    caller.send("r1", RequestKind.BUY, 3_000);
    fixture.awaitRecorded("r1", Kind.EFFECT);
    daemon.requestEnd();
    fixture.rig.backendPool().all().forEach(b -> b.setBehaviour(Behaviour.WELL));
    assertEquals(200, caller.receiveStatus());
    assertExitCode(InstanceLifecycle.EXIT_ORDERLY, daemon);
    assertEquals(1, fixture.history("r1").stream().filter(e -> e.kind() == Kind.EFFECT).count());
    assertRulesKept();
  }

  @Test
  void requestsUnfinishedAtTheDeadlineAreAnsweredAsFailed() throws Exception {
    Daemon daemon = fixture.createDaemon(new InetSocketAddress("127.0.0.1", 0),
        "[end]\naccept_ms = 50\nanswer_ms = 400\n").start(false);
    DaemonFixture.awaitUp(daemon.address());
    fixture.rig.backendPool().all().forEach(b -> b.setBehaviour(Behaviour.SLOW));
    DaemonFixture.Caller caller = fixture.new Caller(daemon.address(), "d0");
    caller.send("r1", RequestKind.TRANSFER, 4_000);
    fixture.awaitRecorded("r1", Kind.LAST_BYTE);
    daemon.requestEnd();
    assertEquals(502, caller.receiveStatus());
    assertExitCode(InstanceLifecycle.EXIT_ORDERLY, daemon);
    assertRulesKept();
  }

  @Test
  void aSecondSignalShortensTheDeadline() throws Exception {
    Daemon daemon = fixture.createDaemon(new InetSocketAddress("127.0.0.1", 0),
        "[end]\naccept_ms = 50\nanswer_ms = 60000\nhurried_ms = 100\n").start(false);
    DaemonFixture.awaitUp(daemon.address());
    fixture.rig.backendPool().all().forEach(b -> b.setBehaviour(Behaviour.SLOW));
    DaemonFixture.Caller caller = fixture.new Caller(daemon.address(), "d0");
    caller.send("r1", RequestKind.TRANSFER, 4_000);
    fixture.awaitRecorded("r1", Kind.LAST_BYTE);
    daemon.requestEnd();
    daemon.requestEnd();
    assertEquals(502, caller.receiveStatus());
    assertExitCode(InstanceLifecycle.EXIT_ORDERLY, daemon);
    assertFalse(fixture.recorded("r1", Kind.REPLIED));
    assertRulesKept();
  }

  /**
   * A signal arrives before the socket is bound. Requests on connections from the accept window are still
   * answered.
   */
  @Test
  void endsBeforeTheSocketIsBound() throws Exception {
    Daemon daemon = fixture.createDaemon(new InetSocketAddress("127.0.0.1", 0), "[end]\naccept_ms = 600\n");
    daemon.requestEnd();
    daemon.start(false);
    DaemonFixture.Caller caller = fixture.new Caller(daemon.address(), "d0");
    caller.send("r1", RequestKind.BUY, 3_000);
    assertEquals(200, caller.receiveStatus());
    assertTrue(caller.isClosed());
    assertExitCode(InstanceLifecycle.EXIT_ORDERLY, daemon);
    assertRulesKept();
  }

  /** The connection waits in the accept queue, because a process accepts none while it warms up. */
  @Test
  void endsDuringTheWarmUp() throws Exception {
    Daemon daemon = fixture.createDaemon(new InetSocketAddress("127.0.0.1", 0), "").start(false);
    DaemonFixture.Caller caller = fixture.new Caller(daemon.address(), "d0");
    caller.send("r1", RequestKind.BUY, 3_000);
    daemon.requestEnd();
    assertEquals(200, caller.receiveStatus());
    assertExitCode(InstanceLifecycle.EXIT_ORDERLY, daemon);
    assertRulesKept();
  }

  @Test
  void endsWhileTheCounterAndDiscoveryHang() throws Exception {
    Daemon daemon = fixture.startDaemon();
    fixture.rig.counter().hang(true);
    fixture.rig.discovery().setHanging(true);
    DaemonFixture.Caller caller = fixture.new Caller(daemon.address(), "d0");
    caller.send("r1", RequestKind.BUY, 3_000);
    daemon.requestEnd();
    assertEquals(200, caller.receiveStatus());
    assertExitCode(InstanceLifecycle.EXIT_ORDERLY, daemon);
    assertRulesKept();
  }

  /**
   * During the accept window a request on a kept-alive connection is still answered, and the connection is
   * closed after the answer.
   */
  @Test
  void aRequestOnAKeepAliveConnectionDuringTheDrainIsAnswered() throws Exception {
    Daemon daemon = fixture.startDaemon();
    DaemonFixture.Caller caller = fixture.new Caller(daemon.address(), "d0");
    caller.send("r1", RequestKind.QUOTE, 3_000);
    assertEquals(200, caller.receiveStatus());
    daemon.requestEnd();
    caller.send("r2", RequestKind.BUY, 3_000);
    assertEquals(200, caller.receiveStatus());
    assertTrue(caller.isClosed());
    assertExitCode(InstanceLifecycle.EXIT_ORDERLY, daemon);
    assertRulesKept();
  }

  @Test
  void aDrainingDoorIsNotFoundAndAnIdleConnectionEnds() throws Exception {
    Daemon daemon = fixture.startDaemon();
    DaemonFixture.Caller idle = fixture.new Caller(daemon.address(), "d0");
    DaemonFixture.Caller busy = fixture.new Caller(daemon.address(), "d0");
    busy.send("r1", RequestKind.BUY, 3_000);
    fixture.awaitRecorded("r1", Kind.LAST_BYTE);
    daemon.requestEnd();
    DaemonFixture.await("not up", () -> !DaemonFixture.isUp(daemon.address()));
    assertTrue(idle.isClosed());
    assertEquals(200, busy.receiveStatus());
    assertExitCode(InstanceLifecycle.EXIT_ORDERLY, daemon);
    assertThrows(IOException.class, () -> new Socket("127.0.0.1", daemon.address().getPort()).close());
    assertRulesKept();
  }
}
