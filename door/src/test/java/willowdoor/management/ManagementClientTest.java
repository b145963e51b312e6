package willowdoor.management;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import willowdoor.management.ManagementClient.CallOutcome;
import willowdoor.management.ManagementClient.CallResult;

/** How calls end that get no answer. */
class ManagementClientTest {

  private static final long LIMIT_MS = 1_000;

  private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final ManagementClient client = new ManagementClient(group.next(), NioSocketChannel.class);

  @AfterEach
  void close() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  private CallOutcome call(InetSocketAddress address) throws Exception {
    CompletableFuture<CallResult> result = new CompletableFuture<>();
    client.call(address, "", HttpMethod.GET, "/ready", LIMIT_MS, result::complete);
    return result.get(2 * LIMIT_MS, TimeUnit.MILLISECONDS).outcome();
  }

  /** Closes the first call with no answer, and the address too if asked to. */
  private static void closeFirstCall(ServerSocket server, boolean andAddress) {
    try (Socket call = server.accept()) {
      call.getInputStream().read();
      if (andAddress) {
        server.close();
      }
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private CallOutcome callThatIsClosed(boolean andAddress) throws Exception {
    try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
      new Thread(() -> closeFirstCall(server, andAddress)).start();
      return call((InetSocketAddress) server.getLocalSocketAddress());
    }
  }

  /** Guards against a process that counts as ended because it has closed a call. */
  @Test
  void aProcessThatClosesACallHasNotEnded() throws Exception {
    assertEquals(CallOutcome.NOTHING, callThatIsClosed(false));
  }

  @Test
  void aProcessThatEndsDuringACallHasEnded() throws Exception {
    assertEquals(CallOutcome.NOBODY, callThatIsClosed(true));
  }

  @Test
  void aSilentProcessHasNotEnded() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
      assertEquals(CallOutcome.NOTHING, call((InetSocketAddress) server.getLocalSocketAddress()));
    }
  }
}
