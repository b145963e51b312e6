package willowdoor.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.channel.unix.UnixChannel;
import java.net.StandardSocketOptions;

/**
 * The sockets that the event loop drives: native epoll, which took a quarter less CPU on a calm day, or NIO
 * where its library cannot be loaded.
 */
record Transport(IoHandlerFactory ioHandler, Class<? extends SocketChannel> socket,
    Class<? extends ServerSocketChannel> serverSocket) {

  /** States of a connection as Linux numbers them: reset, and ended by the peer. */
  private static final int TCP_CLOSE = 7;
  private static final int TCP_CLOSE_WAIT = 8;

  static final Transport PREFERRED = Epoll.isAvailable()
      ? new Transport(EpollIoHandler.newFactory(), EpollSocketChannel.class, EpollServerSocketChannel.class)
      : new Transport(NioIoHandler.newFactory(), NioSocketChannel.class, NioServerSocketChannel.class);

  /** More than one process may listen at the address. */
  static final ChannelOption<Boolean> REUSE_PORT = Epoll.isAvailable() ? EpollChannelOption.SO_REUSEPORT
      : NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT);

  /** A server socket's channel on a descriptor that listens already; for epoll alone. */
  static ServerChannel adoptServerSocket(int descriptor) {
    if (!Epoll.isAvailable()) {
      throw new ChannelException("a listening socket can be taken over with epoll only");
    }
    return new EpollServerSocketChannel(descriptor);
  }

  /** The descriptor of a channel, or -1 where it tells none. */
  static int descriptor(Channel channel) {
    return channel instanceof UnixChannel unix ? unix.fd().intValue() : -1;
  }

  /**
   * Whether the peer is known to have closed, reset or ended its sending, by the kernel's word where it
   * tells: a loop that was held up has not read it yet.
   */
  static boolean isPeerGone(Channel channel) {
    if (!channel.isActive()) {
      return true;
    }
    try {
      int state = channel instanceof EpollSocketChannel socket ? socket.tcpInfo().state() : 0;
      return state == TCP_CLOSE || state == TCP_CLOSE_WAIT;
    } catch (ChannelException e) {
      return !channel.isActive();
    }
  }

  /**
   * For how long the newest bytes of a connection had been with the kernel, in milliseconds; 0 where it does
   * not tell. A loop that is short of CPU reads late, and only the kernel knows how late.
   */
  static double kernelWaitMs(Channel channel) {
    try {
      return channel instanceof EpollSocketChannel socket ? socket.tcpInfo().lastDataRecv() : 0;
    } catch (ChannelException e) {
      return 0;
    }
  }
}
