package willowdoor.testkit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.util.concurrent.locks.LockSupport;

/** Where stand-ins listen. */
public final class StandIns {

  private static final long PORT_RELEASE_TIMEOUT_NANOS = 5_000_000_000L;
  private static final long BIND_RETRY_NANOS = 5_000_000;

  private StandIns() {
  }

  /**
   * Any free port of a loopback address that nobody connects from: a connection made on this machine comes
   * from 127.0.0.1 unless it says otherwise, so while a stand-in is down, none can take its port as its own.
   * On 127.0.0.1 one did, and a stand-in that was to come back found its address in use.
   */
  public static InetSocketAddress anyAddress() {
    return new InetSocketAddress("127.0.0.2", 0);
  }

  /**
   * Listens there, where it may have listened until just now: a closed channel gives its port back when its
   * selector is asked next, which is after its close is told (by the JDK, of channels in a selector).
   */
  static Channel listen(ServerBootstrap server, InetSocketAddress at) {
    long until = System.nanoTime() + PORT_RELEASE_TIMEOUT_NANOS;
    ChannelFuture bound = server.bind(at).awaitUninterruptibly();
    while (bound.cause() instanceof BindException && System.nanoTime() < until) {
      LockSupport.parkNanos(BIND_RETRY_NANOS);
      bound = server.bind(at).awaitUninterruptibly();
    }
    return bound.syncUninterruptibly().channel();
  }

  /** As a setting has it. */
  public static String text(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }
}
