package willowdoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import willowdoor.memory.MemoryBudget;
import willowdoor.policy.AttemptConditions;
import willowdoor.policy.GatewayApi.BackendEntry;
import willowdoor.policy.GatewayApi.Phase;
import willowdoor.policy.GatewayApi.Status;

/**
 * The status of attempts that got no connection; only some statuses are evidence that the backend has
 * restarted.
 */
@Timeout(30)
class BackendPoolTest {

  private static final long LONGER_THAN_QUIET_MS = 100;

  private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, Transport.PREFERRED.ioHandler());
  private final EventLoop loop = group.next();
  private final BlockingQueue<Status> ends = new LinkedBlockingQueue<>();
  private final BlockingQueue<Boolean> openAtEnd = new LinkedBlockingQueue<>();

  @AfterEach
  void close() throws Exception {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
  }

  private BackendPool pool(int places, int port) {
    BackendPool pool = new BackendPool(loop, new Clock(), Dialer.sockets(loop, 5_000), 10_000,
        new ConnectionBudget(places), new MemoryBudget(1 << 20));
    pool.onRoster(new EndpointUpdate(1, true, List.of(new BackendEntry(1, "a", 0, Phase.SERVING, 1, 0)),
        Map.of(1L, new InetSocketAddress(InetAddress.getLoopbackAddress(), port))));
    return pool;
  }

  private Attempt attempt(double timeoutMs) {
    return new Attempt(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/quote/1",
        Unpooled.EMPTY_BUFFER), new Clock().now() + timeoutMs, AttemptConditions.NONE) {
      @Override
      void onEnd(Status status, FullHttpResponse answer) {
        openAtEnd.add(connection != null && connection.isActive());
        ends.add(status);
      }
    };
  }

  /** The event loop is blocked until the backend has accepted the connection and reset it. */
  @Test
  void resetDuringConnectEndsAsBroken() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      loop.submit(() -> {
        pool(100, server.getLocalPort()).start(1, attempt(5_000));
        // Queued after the connect, which is the loop's next task.
        return loop.submit(() -> {
          Socket accepted = server.accept();
          accepted.setSoLinger(true, 0);
          accepted.close();
          return null;
        });
      }).sync();
      assertEquals(Status.BROKEN, Peers.next(ends));
    }
  }

  @Test
  void refusedConnectionEndsAsUnreachable() throws Exception {
    int port = freePort();
    loop.submit(() -> pool(100, port).start(1, attempt(5_000))).sync();
    assertEquals(Status.UNREACHABLE, Peers.next(ends));
  }

  /**
   * No free connection here, a backend that has left the roster, no time left: none is the backend's fault.
   */
  @Test
  void failuresOfThisProcessEndAsNotSent() throws Exception {
    int port = freePort();
    loop.submit(() -> pool(0, port).start(1, attempt(5_000))).sync();
    assertEquals(Status.NOT_SENT, Peers.next(ends));
    loop.submit(() -> pool(100, port).start(2, attempt(5_000))).sync();
    assertEquals(Status.NOT_SENT, Peers.next(ends));
    loop.submit(() -> {
      Attempt expired = attempt(5_000);
      expired.abandon(expired.statusOnTimeout());
    }).sync();
    assertEquals(Status.NOT_SENT, Peers.next(ends));
  }

  /** A delayed event loop may see that the connection is open before it runs the attempt's expired timer. */
  @Test
  void attemptThatExpiresDuringConnectIsNotWritten() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      loop.submit(() -> {
        pool(100, server.getLocalPort()).start(1, attempt(100));
        return loop.submit(() -> {
          TimeUnit.MILLISECONDS.sleep(200);
          return null;
        });
      }).sync();
      assertEquals(Status.NOT_SENT, Peers.next(ends));
      try (Socket accepted = server.accept()) {
        accepted.setSoTimeout(10_000);
        assertEquals(-1, accepted.getInputStream().read());
      }
    }
  }

  /** Guards against a copy of an answer, unread when the connection is used again, as the next answer. */
  @Test
  void aConnectionWithUnreadInputIsNotUsedAgain() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      server.setSoTimeout(10_000);
      BackendPool pool = loop.submit(() -> pool(100, server.getLocalPort())).get();
      loop.submit(() -> pool.start(1, attempt(5_000))).sync();
      Socket first = server.accept();
      Peers.read(new BufferedInputStream(first.getInputStream()));
      Peers.write(first.getOutputStream(), Peers.OK);
      assertEquals(Status.OK, Peers.next(ends));
      loop.submit(() -> {
        Peers.write(first.getOutputStream(), Peers.OK);
        TimeUnit.MILLISECONDS.sleep(LONGER_THAN_QUIET_MS);
        pool.start(1, attempt(5_000));
        return null;
      }).sync();
      try (Socket second = server.accept()) {
        Peers.read(new BufferedInputStream(second.getInputStream()));
        assertTrue(ends.isEmpty(), "the copy was taken for the answer");
        Peers.write(second.getOutputStream(), Peers.OK);
        assertEquals(Status.OK, Peers.next(ends));
      }
      first.close();
    }
  }

  /** Guards against a next attempt that is written while the one that was given up is still out. */
  @Test
  void theConnectionIsClosedBeforeTheEndOfAnAttemptIsTold() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      loop.submit(() -> pool(100, server.getLocalPort()).start(1, attempt(100))).sync();
      assertEquals(Status.TIMED_OUT, Peers.next(ends));
      assertEquals(false, Peers.next(openAtEnd));
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return server.getLocalPort();
    }
  }
}
