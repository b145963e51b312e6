package willowdoor.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;

/** Opens connections to backends and to the counter. */
interface Dialer {

  /** Largest read of a connection, in bytes, and reads of one connection before the next one. */
  int MAX_READ_BYTES = 16 * 1024;
  int READS_PER_TURN = 16;

  /** Opens a connection; the handler sets up the new channel. */
  ChannelFuture dial(InetSocketAddress address, ChannelHandler handler);

  /** A dialer of sockets on the event loop; a connection that is not open within the limit fails. */
  static Dialer sockets(EventLoop loop, double connectLimitMs) {
    Bootstrap bootstrap = new Bootstrap().group(loop).channel(Transport.PREFERRED.socket())
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.RECVBUF_ALLOCATOR, Transport.reads(MAX_READ_BYTES, READS_PER_TURN))
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.ceil(connectLimitMs));
    return (address, handler) -> bootstrap.clone().handler(handler).connect(address);
  }
}
