package willowdoor.testkit;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A TCP proxy between two processes that injects network faults. Every connection made to it is forwarded to
 * the target. Data held back during a fault is not lost, as with TCP over an interrupted network: it is
 * delivered when the link works again.
 *
 * <p>Bound: about {@value #MAX_BUFFERED_BYTES} bytes in each direction of a connection; beyond it, the sender
 * is not read.
 */
public final class FaultyLink implements AutoCloseable {

  /** State of the link. */
  public enum Mode {
    /** Forwards everything. */
    WHOLE,
    /** Open connections are closed, and so are new ones. */
    CUT,
    /** Nothing is forwarded in either direction, not even a close. */
    SILENT,
    /** Data from the connecting side is held back. */
    DEAF,
    /** Data from the target is held back. */
    MUTE,
    /** Each chunk is delayed by a random time; the order is kept. */
    LATE,
    /** Forwards one byte at a time. */
    TRICKLE
  }

  private static final int MAX_BUFFERED_BYTES = 64 << 10;
  private static final long POLL_INTERVAL_MS = 5;
  private static final long MIN_DELAY_MS = 100;
  private static final long MAX_DELAY_MS = 1_000;

  private final EventLoop loop;
  private final InetSocketAddress target;
  private final Channel serverChannel;
  private final Set<Channel> openChannels = new HashSet<>();
  private final java.util.Random random;
  private final AtomicLong bytesForwarded = new AtomicLong();
  private volatile Mode mode = Mode.WHOLE;

  /** Starts a proxy that forwards everything. */
  public FaultyLink(EventLoopGroup group, InetSocketAddress target, long seed) {
    loop = group.next();
    this.target = target;
    random = new java.util.Random(seed);
    serverChannel = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
        .childOption(ChannelOption.AUTO_READ, false).childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel from) {
            onAccepted(from);
          }
        }).bind(StandIns.anyAddress()).syncUninterruptibly().channel();
  }

  /** Address to connect to in place of the target's. */
  public InetSocketAddress address() {
    return (InetSocketAddress) serverChannel.localAddress();
  }

  /** Bytes forwarded so far, both directions together. */
  public long bytesForwarded() {
    return bytesForwarded.get();
  }

  /** Sets the state of the link. */
  public void setMode(Mode newMode) {
    mode = newMode;
    loop.execute(() -> {
      if (newMode == Mode.CUT) {
        Set.copyOf(openChannels).forEach(Channel::close);
      }
    });
  }

  private void onAccepted(Channel from) {
    if (mode == Mode.CUT) {
      from.close();
      return;
    }
    ChannelFuture connected = new Bootstrap().group(loop).channel(NioSocketChannel.class)
        .option(ChannelOption.AUTO_READ, false).option(ChannelOption.TCP_NODELAY, true)
        .handler(new ChannelInboundHandlerAdapter()).connect(target);
    Channel to = connected.channel();
    openChannels.add(from);
    openChannels.add(to);
    from.closeFuture().addListener(f -> onClosed(from, to));
    to.closeFuture().addListener(f -> onClosed(to, from));
    connected.addListener((ChannelFuture f) -> {
      if (f.isSuccess()) {
        from.pipeline().addLast(new Forwarder(to, Mode.DEAF));
        to.pipeline().addLast(new Forwarder(from, Mode.MUTE));
        from.read();
        to.read();
      } else {
        from.close();
      }
    });
  }

  private void onClosed(Channel closed, Channel peer) {
    openChannels.remove(closed);
    if (mode != Mode.SILENT) {
      peer.close();
    }
  }

  /** One direction of one connection. */
  private final class Forwarder extends ChannelInboundHandlerAdapter {
    private final Channel to;
    private final Mode blockingMode;
    private final ArrayDeque<ByteBuf> buffered = new ArrayDeque<>();
    private int bufferedBytes;
    private double dueMs;
    private boolean polling;

    Forwarder(Channel to, Mode blockingMode) {
      this.to = to;
      this.blockingMode = blockingMode;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      ByteBuf piece = (ByteBuf) message;
      buffered.add(piece);
      bufferedBytes += piece.readableBytes();
      if (mode == Mode.LATE && buffered.size() == 1) {
        drawDelay();
      }
    }

    private void drawDelay() {
      dueMs = System.nanoTime() / 1e6 + MIN_DELAY_MS + random.nextInt((int) (MAX_DELAY_MS - MIN_DELAY_MS));
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
      forward(ctx);
    }

    private void forward(ChannelHandlerContext ctx) {
      while (!buffered.isEmpty() && canForward()) {
        boolean singleByte = mode == Mode.TRICKLE;
        ByteBuf first = buffered.peek();
        int size = singleByte ? 1 : first.readableBytes();
        to.writeAndFlush(first.readRetainedSlice(size));
        bufferedBytes -= size;
        bytesForwarded.addAndGet(size);
        if (!first.isReadable()) {
          buffered.poll().release();
          if (mode == Mode.LATE) {
            drawDelay();
          }
        }
        if (singleByte) {
          break;
        }
      }
      if (!buffered.isEmpty() && !polling && ctx.channel().isActive()) {
        polling = true;
        loop.schedule(() -> {
          polling = false;
          forward(ctx);
        }, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
      }
      if (bufferedBytes < MAX_BUFFERED_BYTES) {
        ctx.read();
      }
    }

    private boolean canForward() {
      return to.isActive() && mode != Mode.SILENT && mode != blockingMode
          && !(mode == Mode.LATE && System.nanoTime() / 1e6 < dueMs);
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
      buffered.forEach(ByteBuf::release);
      buffered.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }

  @Override
  public void close() {
    serverChannel.close();
    loop.execute(() -> Set.copyOf(openChannels).forEach(Channel::close));
  }
}
