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
 * A link between two processes that breaks when told to: whoever connects here is connected to the target.
 * What is held is not lost, as with TCP over a network that was away: it comes when the link is whole again.
 *
 * <p>Bound: {@value #MOST_HELD} bytes of each direction of a connection; beyond it the sender is not read.
 */
public final class Relay implements AutoCloseable {

  /** How the link is. */
  public enum Mode {
    /** Whole. */
    WHOLE,
    /** Connections are ended, and new ones too. */
    CUT,
    /** Nothing comes through either way, and nothing ends. */
    SILENT,
    /** What the one that connected says doesn't come through. */
    DEAF,
    /** What the target says doesn't come through. */
    MUTE,
    /** Each piece comes late, in order, by a time that differs. */
    LATE,
    /** One byte at a time. */
    TRICKLE
  }

  private static final int MOST_HELD = 64 << 10;
  private static final long LOOK_MS = 5;
  private static final long LEAST_LATE_MS = 100;
  private static final long MOST_LATE_MS = 1_000;

  private final EventLoop loop;
  private final InetSocketAddress target;
  private final Channel listening;
  private final Set<Channel> open = new HashSet<>();
  private final java.util.Random random;
  private final AtomicLong passed = new AtomicLong();
  private volatile Mode mode = Mode.WHOLE;

  /** A whole one. */
  public Relay(EventLoopGroup group, InetSocketAddress target, long seed) {
    loop = group.next();
    this.target = target;
    random = new java.util.Random(seed);
    listening = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
        .childOption(ChannelOption.AUTO_READ, false).childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel from) {
            accepted(from);
          }
        }).bind(StandIns.anyAddress()).syncUninterruptibly().channel();
  }

  /** Where to connect in the target's place. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listening.localAddress();
  }

  /** Bytes that came through, both ways together. */
  public long passed() {
    return passed.get();
  }

  /** Has it be so from here on. */
  public void set(Mode other) {
    mode = other;
    loop.execute(() -> {
      if (other == Mode.CUT) {
        Set.copyOf(open).forEach(Channel::close);
      }
    });
  }

  private void accepted(Channel from) {
    if (mode == Mode.CUT) {
      from.close();
      return;
    }
    ChannelFuture connected = new Bootstrap().group(loop).channel(NioSocketChannel.class)
        .option(ChannelOption.AUTO_READ, false).option(ChannelOption.TCP_NODELAY, true)
        .handler(new ChannelInboundHandlerAdapter()).connect(target);
    Channel to = connected.channel();
    open.add(from);
    open.add(to);
    from.closeFuture().addListener(f -> ended(from, to));
    to.closeFuture().addListener(f -> ended(to, from));
    connected.addListener((ChannelFuture f) -> {
      if (f.isSuccess()) {
        from.pipeline().addLast(new Pump(to, Mode.DEAF));
        to.pipeline().addLast(new Pump(from, Mode.MUTE));
        from.read();
        to.read();
      } else {
        from.close();
      }
    });
  }

  private void ended(Channel one, Channel other) {
    open.remove(one);
    if (mode != Mode.SILENT) {
      other.close();
    }
  }

  /** One direction of one connection. */
  private final class Pump extends ChannelInboundHandlerAdapter {
    private final Channel to;
    private final Mode held;
    private final ArrayDeque<ByteBuf> waiting = new ArrayDeque<>();
    private int bytes;
    private double due;
    private boolean looking;

    Pump(Channel to, Mode held) {
      this.to = to;
      this.held = held;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      ByteBuf piece = (ByteBuf) message;
      waiting.add(piece);
      bytes += piece.readableBytes();
      if (mode == Mode.LATE && waiting.size() == 1) {
        late();
      }
    }

    private void late() {
      due = System.nanoTime() / 1e6 + LEAST_LATE_MS + random.nextInt((int) (MOST_LATE_MS - LEAST_LATE_MS));
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
      move(ctx);
    }

    private void move(ChannelHandlerContext ctx) {
      while (!waiting.isEmpty() && may()) {
        boolean drop = mode == Mode.TRICKLE;
        ByteBuf first = waiting.peek();
        int size = drop ? 1 : first.readableBytes();
        to.writeAndFlush(first.readRetainedSlice(size));
        bytes -= size;
        passed.addAndGet(size);
        if (!first.isReadable()) {
          waiting.poll().release();
          if (mode == Mode.LATE) {
            late();
          }
        }
        if (drop) {
          break;
        }
      }
      if (!waiting.isEmpty() && !looking && ctx.channel().isActive()) {
        looking = true;
        loop.schedule(() -> {
          looking = false;
          move(ctx);
        }, LOOK_MS, TimeUnit.MILLISECONDS);
      }
      if (bytes < MOST_HELD) {
        ctx.read();
      }
    }

    private boolean may() {
      return to.isActive() && mode != Mode.SILENT && mode != held
          && !(mode == Mode.LATE && System.nanoTime() / 1e6 < due);
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
      waiting.forEach(ByteBuf::release);
      waiting.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }

  @Override
  public void close() {
    listening.close();
    loop.execute(() -> Set.copyOf(open).forEach(Channel::close));
  }
}
