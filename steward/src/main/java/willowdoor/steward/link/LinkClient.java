package willowdoor.steward.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import willowdoor.steward.link.Answer.Failed;
import willowdoor.steward.link.LinkMessage.Ask;
import willowdoor.steward.link.LinkMessage.Hello;
import willowdoor.steward.link.LinkMessage.Refused;
import willowdoor.steward.link.LinkMessage.Reply;
import willowdoor.steward.link.LinkMessage.Welcome;

/**
 * The client side of a link: keeps a connection to one of several stewards, reconnecting until closed. Runs
 * on one event loop only.
 *
 * <p>A connection that stays silent is as useless as none: if a call gets no answer in time, the client
 * closes the connection and turns to the next steward. Each call gets exactly one answer, from a steward or a
 * local failure. At most {@value #MAX_PENDING_CALLS} calls are pending; a message that doesn't fit the
 * connection's write buffer is not sent.
 */
final class LinkClient {

  static final int MAX_PENDING_CALLS = 1_000;
  /** Limits, in bytes, of the data queued for a peer that does not read. */
  static final WriteBufferWaterMark WRITE_BUFFER_LIMITS = new WriteBufferWaterMark(1 << 20, 4 << 20);
  private static final Logger LOG = Logger.getLogger(LinkClient.class.getName());
  private static final int CONNECT_TIMEOUT_MS = 500;
  private static final int HELLO_TIMEOUT_MS = 1_000;
  private static final double MIN_BACKOFF_MS = 20;
  private static final double MAX_BACKOFF_MS = 400;

  private record PendingCall(Consumer<Answer> callback, Future<?> timeout) { }

  private final EventLoop loop;
  private final List<InetSocketAddress> stewards;
  private final Hello hello;
  private final int maxFrameBytes;
  private final Bootstrap bootstrap;
  private final Map<Long, PendingCall> pendingCalls = new HashMap<>();
  private int stewardIndex;
  private double backoffMs = MIN_BACKOFF_MS;
  private long lastId;
  /** The connection that a steward has accepted; null while there is none. */
  private Channel channel;
  private Channel connecting;
  private boolean closed;
  private String refusal = "";
  private Runnable onConnected = () -> { };

  LinkClient(EventLoop loop, List<InetSocketAddress> stewards, Hello hello) {
    this.loop = loop;
    this.stewards = List.copyOf(stewards);
    this.hello = hello;
    maxFrameBytes = FrameCodec.MAX_CALL_BYTES;
    stewardIndex = ThreadLocalRandom.current().nextInt(stewards.size());
    bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_LIMITS)
        .handler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel ch) {
            FrameCodec.addTo(ch.pipeline());
            FrameCodec.setMaxLength(ch.pipeline(), maxFrameBytes);
            ch.pipeline().addLast(new ConnectionHandler());
          }
        });
  }

  /** Sets what to run each time a steward has accepted a connection. */
  void whenConnected(Runnable callback) {
    onConnected = callback;
  }

  void start() {
    connect();
  }

  boolean isUsable() {
    return channel != null;
  }

  /** Returns why a steward last refused the connection; empty since one accepted it. */
  String refusal() {
    return refusal;
  }

  /** Closes the connection and fails the pending calls. */
  void close() {
    closed = true;
    if (connecting != null && connecting.isOpen()) {
      connecting.close();
    }
    failAll("this process is stopping");
  }

  /**
   * Sends a consensus message, or drops it if the connection is not writable; the consensus tolerates lost
   * messages.
   */
  void sendToSteward(byte[] message) {
    if (channel != null && channel.isWritable()) {
      channel.writeAndFlush(message);
    }
  }

  /**
   * Calls a steward.
   *
   * @param passedOn whether this forwards a call of another process
   * @param timeoutMs without an answer by then the call fails, and the client turns to another steward
   */
  void call(Call call, boolean passedOn, long timeoutMs, Consumer<Answer> callback) {
    if (channel == null || !channel.isWritable() || pendingCalls.size() >= MAX_PENDING_CALLS) {
      callback.accept(new Failed(channel == null ? "no steward of " + stewards + " is reached"
          + (refusal.isEmpty() ? "" : ": " + refusal) : "the link is full", true));
      return;
    }
    long id = ++lastId;
    pendingCalls.put(id, new PendingCall(callback, loop.schedule(() -> timeOut(id, timeoutMs), timeoutMs,
        TimeUnit.MILLISECONDS)));
    channel.writeAndFlush(new Ask(id, passedOn, call));
  }

  private void timeOut(long id, long timeoutMs) {
    PendingCall waiting = pendingCalls.remove(id);
    if (waiting != null) {
      Channel silent = channel;
      waiting.callback.accept(new Failed("no answer within " + timeoutMs + " ms", true));
      if (silent != null && silent == channel) {
        silent.close();
      }
    }
  }

  private void connect() {
    if (closed || loop.isShuttingDown()) {
      return;
    }
    InetSocketAddress steward = stewards.get(stewardIndex);
    ChannelFuture dialled = bootstrap.connect(steward);
    connecting = dialled.channel();
    dialled.addListener((ChannelFuture f) -> {
      if (f.isSuccess()) {
        f.channel().closeFuture().addListener(ended -> onClosed(f.channel(), steward));
      } else {
        // Where the system gives no socket, this is not the loop's thread, and the channel never closes.
        loop.execute(() -> onClosed(f.channel(), steward));
      }
    });
  }

  private void onClosed(Channel ended, InetSocketAddress steward) {
    if (channel == ended) {
      channel = null;
      failAll("the connection to the steward at " + steward + " ended");
    }
    stewardIndex = (stewardIndex + 1) % stewards.size();
    double wait = backoffMs * (0.5 + ThreadLocalRandom.current().nextDouble());
    backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    if (!loop.isShuttingDown()) {
      loop.schedule(this::connect, (long) wait, TimeUnit.MILLISECONDS);
    }
  }

  private void failAll(String why) {
    List<PendingCall> all = List.copyOf(pendingCalls.values());
    pendingCalls.clear();
    for (PendingCall waiting : all) {
      waiting.timeout.cancel(false);
      waiting.callback.accept(new Failed(why, true));
    }
  }

  private final class ConnectionHandler extends SimpleChannelInboundHandler<LinkMessage> {
    private boolean welcomed;

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      ctx.writeAndFlush(hello);
      ctx.executor().schedule(() -> {
        if (!welcomed) {
          ctx.close();
        }
      }, HELLO_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, LinkMessage message) {
      if (message instanceof Welcome && !welcomed) {
        welcomed = true;
        refusal = "";
        backoffMs = MIN_BACKOFF_MS;
        channel = ctx.channel();
        onConnected.run();
      } else if (message instanceof Reply e) {
        PendingCall waiting = pendingCalls.remove(e.id());
        if (waiting != null) {
          waiting.timeout.cancel(false);
          waiting.callback.accept(e.answer());
        }
      } else if (message instanceof Refused e) {
        if (!refusal.equals(e.why())) {
          LOG.warning("the steward at " + ctx.channel().remoteAddress() + " refused the connection: "
              + e.why());
        }
        refusal = e.why();
        ctx.close();
      } else {
        throw new IllegalArgumentException("unexpected message from a steward: " + message);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      LOG.log(Level.FINE, "a link failed", cause);
      ctx.close();
    }
  }
}
