package willowdoor.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import willowdoor.management.ConnectAttempt;

/** Watches discovery's list of backends. While the watch is disconnected, the last list stays in use. */
final class DiscoveryClient {

  private static final Logger LOG = Logger.getLogger(DiscoveryClient.class.getName());
  private static final int MAX_LINE_BYTES = 4 << 20;
  /**
   * Discovery sends an empty line every 2 s as a heartbeat; a watch that misses more than two is replaced.
   */
  private static final long SILENCE_LIMIT_MS = 5_000;
  /** Time in which a silent watch may still read lines that have arrived and only wait to be read. */
  private static final long UNREAD_INPUT_GRACE_MS = 100;
  private static final double MIN_BACKOFF_MS = 100;
  private static final double MAX_BACKOFF_MS = 1_500;
  /** A watch that lasted longer resets the backoff, whatever it brought. */
  private static final double STABLE_WATCH_MS = 5_000;

  private final EventLoop loop;
  private final Clock clock;
  private final Consumer<EndpointUpdate> listener;
  private final Bootstrap bootstrap;
  private long version;
  private double backoffMs = MIN_BACKOFF_MS;
  private Watch watch;
  /** The watch at the previous address, until the new watch has read a line; null if there is none. */
  private Watch previousWatch;

  DiscoveryClient(EventLoop loop, Clock clock, InetSocketAddress address, long version,
      Consumer<EndpointUpdate> listener) {
    this.loop = loop;
    this.clock = clock;
    this.version = version;
    this.listener = listener;
    bootstrap = new Bootstrap().group(loop).channel(Transport.PREFERRED.socket())
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1_000);
    watch = new Watch(address);
  }

  void start() {
    watch.connect();
  }

  /** Watches at another address; the old watch continues until the new one has read a line. */
  void moveTo(InetSocketAddress newAddress) {
    if (newAddress.equals(watch.address)) {
      return;
    }
    if (previousWatch != null) {
      previousWatch.close();
    }
    previousWatch = watch;
    backoffMs = MIN_BACKOFF_MS;
    watch = new Watch(newAddress);
    watch.connect();
  }

  /**
   * Opens the next watch after a wait that grows only with watches that failed: a watch may end as soon as it
   * has told a change. Invalid input must not cause a busy loop.
   */
  private void scheduleReconnect(Watch ended) {
    if (ended != watch || loop.isShuttingDown()) {
      return;
    }
    boolean worked = ended.hasBroughtList && !ended.hasBroughtInvalidInput;
    backoffMs = worked || clock.now() - ended.startedMs > STABLE_WATCH_MS ? MIN_BACKOFF_MS : backoffMs;
    double waitMs = backoffMs * (0.5 + ThreadLocalRandom.current().nextDouble());
    backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
    loop.schedule(() -> {
      if (ended == watch) {
        watch = new Watch(ended.address);
        watch.connect();
      }
    }, (long) waitMs, TimeUnit.MILLISECONDS);
  }

  /** Extracts the bytes of the response body; the boundaries of chunks are independent of those of lines. */
  private static final class BodyExtractor extends SimpleChannelInboundHandler<HttpObject> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
      boolean isValid = part.decoderResult().isSuccess()
          && !(part instanceof HttpResponse r && !r.status().equals(HttpResponseStatus.OK));
      if (isValid && part instanceof HttpContent content && content.content().isReadable()) {
        ctx.fireChannelRead(content.content().retain());
      }
      if (!isValid || part instanceof LastHttpContent) {
        ctx.close();
      }
    }
  }

  /** One watch on one connection. */
  private final class Watch extends ChannelInitializer<Channel> {
    private final InetSocketAddress address;
    private final double startedMs = clock.now();
    private Channel channel;
    private boolean hasBroughtList;
    private boolean hasBroughtInvalidInput;

    Watch(InetSocketAddress address) {
      this.address = address;
    }

    void connect() {
      ChannelFuture connected = bootstrap.clone().handler(this).connect(address);
      channel = connected.channel();
      ConnectAttempt.onClosed(loop, connected, () -> scheduleReconnect(this));
      ConnectAttempt.onDone(loop, connected, () -> {
        if (connected.isSuccess()) {
          DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
              "/discovery/hosts?stream=1&index=" + version);
          String host = address.getAddress().getHostAddress() + ":" + address.getPort();
          request.headers().set(HttpHeaderNames.HOST, host);
          channel.writeAndFlush(request);
        }
      });
    }

    void close() {
      ConnectAttempt.close(channel);
    }

    @Override
    protected void initChannel(Channel ch) {
      ch.pipeline().addLast(new IdleStateHandler(SILENCE_LIMIT_MS, 0, 0, TimeUnit.MILLISECONDS),
          new HttpClientCodec(), new BodyExtractor(), new LineBasedFrameDecoder(MAX_LINE_BYTES),
          new LineHandler(this));
    }
  }

  private final class LineHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private final Watch source;
    private long linesRead;

    LineHandler(Watch source) {
      this.source = source;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) throws IOException {
      linesRead++;
      if (source != watch && source != previousWatch) {
        return;
      }
      EndpointUpdate update = line.isReadable() ? parse(line) : null;
      if (source == watch && previousWatch != null) {
        previousWatch.close();
        previousWatch = null;
      }
      if (update != null) {
        // Discovery refuses a watch from an invalid version, so the last valid one is kept.
        version = update.version() > 0 ? update.version() : version;
        source.hasBroughtList = true;
        listener.accept(update);
      }
    }

    private EndpointUpdate parse(ByteBuf line) throws IOException {
      try {
        return EndpointUpdate.parse(ByteBufUtil.getBytes(line));
      } catch (IOException | RuntimeException e) {
        source.hasBroughtInvalidInput = true;
        throw e;
      }
    }

    /**
     * Closes a silent watch after a grace period. If this process was stopped, or short of CPU, for longer
     * than the silence limit, the timer fires before the input that arrived meanwhile is read; without the
     * grace period a drain among that input would be dropped unread.
     */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
      if (event instanceof IdleStateEvent) {
        long linesAtTimeout = linesRead;
        ctx.executor().schedule(() -> {
          if (linesRead == linesAtTimeout) {
            ctx.close();
          }
        }, UNREAD_INPUT_GRACE_MS, TimeUnit.MILLISECONDS);
      }
    }

    /**
     * Closes the watch after invalid input or a broken connection; a new one resumes from the last valid
     * version.
     */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      LOG.log(Level.FINE, "the watch at discovery failed", cause);
      source.hasBroughtInvalidInput |= cause instanceof DecoderException;
      ctx.close();
    }
  }
}
