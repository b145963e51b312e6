package willowdoor.net;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.RecvByteBufAllocator;
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
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The socket types that the event loop drives: native epoll, which took a quarter less CPU under undisturbed
 * load, or NIO where the native library cannot be loaded.
 */
record Transport(IoHandlerFactory ioHandler, Class<? extends SocketChannel> socket,
    Class<? extends ServerSocketChannel> serverSocket) {

  private static final Logger LOG = Logger.getLogger(Transport.class.getName());
  /** States of a TCP connection as numbered by Linux: reset, and closed by the peer. */
  private static final int TCP_CLOSE = 7;
  private static final int TCP_CLOSE_WAIT = 8;
  private static final ByteBuffer PROBE = ByteBuffer.allocateDirect(1);
  private static final int INITIAL_READ_BYTES = 2_048;
  private static final int MIN_READ_BYTES = 64;

  static final Transport PREFERRED = Epoll.isAvailable()
      ? new Transport(EpollIoHandler.newFactory(), EpollSocketChannel.class, EpollServerSocketChannel.class)
      : new Transport(NioIoHandler.newFactory(), NioSocketChannel.class, NioServerSocketChannel.class);

  /** Lets more than one process listen at the same address. */
  static final ChannelOption<Boolean> REUSE_PORT = Epoll.isAvailable() ? EpollChannelOption.SO_REUSEPORT
      : NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT);

  /**
   * Sizes the reads of a connection by what the reads before have brought.
   *
   * @param maxBytes the largest read; what one connection can add to the memory held before it is asked
   *     whether it may
   * @param readsPerTurn reads of one connection before the loop turns to the next one
   */
  static RecvByteBufAllocator reads(int maxBytes, int readsPerTurn) {
    return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, maxBytes)
        .maxMessagesPerRead(readsPerTurn);
  }

  /** What the kernel holds of a connection that was not read yet. */
  enum Unread { NOTHING, BYTES, END }

  /**
   * Asks the kernel for unread input of a connection that is to be quiet. Takes a byte of it, so that the
   * connection cannot be used any more unless there is none. Without epoll only the known state is told.
   */
  static Unread unread(Channel channel) {
    if (!channel.isActive()) {
      return Unread.END;
    }
    if (!(channel instanceof EpollSocketChannel socket)) {
      return Unread.NOTHING;
    }
    try {
      int read = socket.fd().read(PROBE, 0, 1);
      return read > 0 ? Unread.BYTES : read < 0 ? Unread.END : Unread.NOTHING;
    } catch (IOException e) {
      return Unread.END;
    }
  }

  /**
   * Limits the bytes of a connection that the kernel holds and has not sent. Has no effect on a transport or
   * system without such a limit.
   */
  static void limitUnsent(Channel channel, long bytes) {
    if (channel instanceof EpollSocketChannel socket) {
      try {
        socket.config().setTcpNotSentLowAt(bytes);
      } catch (ChannelException e) {
        LOG.log(Level.FINE, "no limit of unsent bytes", e);
      }
    }
  }

  /**
   * Acknowledges what was read at once. A peer that sends small segments one after the other (Nagle's
   * algorithm) holds the next one back until then, which is some 40 ms otherwise or with the next bytes that
   * are written here.
   */
  static void acknowledge(Channel channel) {
    if (channel instanceof EpollSocketChannel socket && channel.isActive()) {
      try {
        socket.config().setTcpQuickAck(true);
      } catch (ChannelException e) {
        LOG.log(Level.FINE, "what was read is acknowledged later", e);
      }
    }
  }

  /** Makes the close of a connection reset it: bytes that the kernel holds are dropped. */
  static void setReset(Channel channel) {
    if (channel instanceof SocketChannel socket && channel.isActive()) {
      try {
        socket.config().setSoLinger(0);
      } catch (ChannelException e) {
        LOG.log(Level.FINE, "the connection is closed without a reset", e);
      }
    }
  }

  /** Creates a server channel on a descriptor that is already listening; requires epoll. */
  static ServerChannel adoptServerSocket(int descriptor) {
    if (!Epoll.isAvailable()) {
      throw new ChannelException("taking over a listening socket requires epoll");
    }
    return new EpollServerSocketChannel(descriptor);
  }

  /** The file descriptor of a channel, or -1 if the channel has none. */
  static int descriptor(Channel channel) {
    return channel instanceof UnixChannel unix ? unix.fd().intValue() : -1;
  }

  /**
   * Whether the peer is known to have closed, reset or half-closed the connection. Asks the kernel where the
   * transport allows it, as a loop that was held up has not read the disconnect yet.
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
   * How long the newest bytes of a connection have been with the kernel, in milliseconds; 0 if the transport
   * does not tell. A loop that is short of CPU reads late, and only the kernel knows how late.
   */
  static double kernelWaitMs(Channel channel) {
    double sinceMs = sinceArrivalMs(channel);
    return Double.isFinite(sinceMs) ? sinceMs : 0;
  }

  /** How long ago the newest bytes of a connection arrived; infinity if the transport does not tell. */
  static double sinceArrivalMs(Channel channel) {
    try {
      return channel instanceof EpollSocketChannel socket ? socket.tcpInfo().lastDataRecv()
          : Double.POSITIVE_INFINITY;
    } catch (ChannelException e) {
      return Double.POSITIVE_INFINITY;
    }
  }
}
