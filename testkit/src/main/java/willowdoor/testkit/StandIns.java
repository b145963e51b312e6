package willowdoor.testkit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.util.concurrent.locks.LockSupport;

/** Addresses that stand-ins listen on. */
public final class StandIns {

  private static final long PORT_RELEASE_TIMEOUT_NANOS = 5_000_000_000L;
  private static final long BIND_RETRY_NANOS = 5_000_000;

  private StandIns() {
  }

  /**
   * Any free port of a loopback address that nobody connects from. A connection made on this machine comes
   * from 127.0.0.1 unless it binds another address, so that no connection can occupy a stand-in's port while
   * the stand-in is down. On 127.0.0.1 that did happen, and a stand-in that was to restart found its address
   * in use.
   */
  public static InetSocketAddress anyAddress() {
    return new InetSocketAddress("127.0.0.2", 0);
  }

  /**
   * Binds an address that may have been in use until just now, and retries for a while: a closed channel
   * releases its port at the next select of its selector, which comes after the close is reported (JDK,
   * channels registered with a selector).
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

  /** The address as {@code host:port}, the form used in settings. */
  public static String text(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }
}
