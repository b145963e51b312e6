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

/** Watches the list of backends; while the watch is down the last list stays in use. */
final class DiscoveryClient {

  private static final Logger LOG = Logger.getLogger(DiscoveryClient.class.getName());
  private static final int MOST_LINE = 4 << 20;
  /** Empty lines come every 2 s; a watch silent for more than two of them is replaced. */
  private static final long SILENT_MS = 5_000;
  /** For so long a silent watch may still show that its news only waits to be read. */
  private static final long LAST_LOOK_MS = 100;
  private static final double LEAST_BACKOFF_MS = 100;
  private static final double MOST_BACKOFF_MS = 1_500;
  /** A watch that lasted so long was a good one; junk on each new one must not make a busy loop. */
  private static final double GOOD_MS = 5_000;

  private final EventLoop loop;
  private final Clock clock;
  private final Consumer<RosterNews> listener;
  private final Bootstrap bootstrap;
  private long version;
  private double backoffMs = LEAST_BACKOFF_MS;
  private Watch watch;
  /** The watch at the address that a new configuration has left, until the new one has told something. */
  private Watch leaving;

  DiscoveryClient(EventLoop loop, Clock clock, InetSocketAddress agent, long version,
      Consumer<RosterNews> listener) {
    this.loop = loop;
    this.clock = clock;
    this.version = version;
    this.listener = listener;
    bootstrap = new Bootstrap().group(loop).channel(Transport.BEST.socket())
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1_000);
    watch = new Watch(agent);
  }

  void start() {
    watch.connect();
  }

  /** Watches at another address; the old watch goes on until the new one tells something. */
  void moveTo(InetSocketAddress other) {
    if (other.equals(watch.agent)) {
      return;
    }
    if (leaving != null) {
      leaving.close();
    }
    leaving = watch;
    backoffMs = LEAST_BACKOFF_MS;
    watch = new Watch(other);
    watch.connect();
  }

  private void later(Watch ended) {
    if (ended != watch || loop.isShuttingDown()) {
      return;
    }
    backoffMs = clock.now() - ended.since > GOOD_MS ? LEAST_BACKOFF_MS : backoffMs;
    double wait = backoffMs * (0.5 + ThreadLocalRandom.current().nextDouble());
    backoffMs = Math.min(MOST_BACKOFF_MS, 2 * backoffMs);
    loop.schedule(() -> {
      if (ended == watch) {
        watch = new Watch(ended.agent);
        watch.connect();
      }
    }, (long) wait, TimeUnit.MILLISECONDS);
  }

  /** Passes on the bytes of the answer's body, in which lines and chunks end where they like. */
  private static final class Unwrapper extends SimpleChannelInboundHandler<HttpObject> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
      boolean good = part.decoderResult().isSuccess()
          && !(part instanceof HttpResponse r && !r.status().equals(HttpResponseStatus.OK));
      if (good && part instanceof HttpContent content && content.content().isReadable()) {
        ctx.fireChannelRead(content.content().retain());
      }
      if (!good || part instanceof LastHttpContent) {
        ctx.close();
      }
    }
  }

  /** One watch on one connection. */
  private final class Watch extends ChannelInitializer<Channel> {
    private final InetSocketAddress agent;
    private final double since = clock.now();
    private Channel channel;

    Watch(InetSocketAddress agent) {
      this.agent = agent;
    }

    void connect() {
      ChannelFuture connected = bootstrap.clone().handler(this).connect(agent);
      channel = connected.channel();
      connected.addListener((ChannelFuture f) -> {
        f.channel().closeFuture().addListener(closed -> later(this));
        if (f.isSuccess()) {
          DefaultFullHttpRequest ask = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
              "/discovery/hosts?stream=1&index=" + version);
          String host = agent.getAddress().getHostAddress() + ":" + agent.getPort();
          ask.headers().set(HttpHeaderNames.HOST, host);
          f.channel().writeAndFlush(ask);
        }
      });
    }

    void close() {
      channel.close();
    }

    @Override
    protected void initChannel(Channel ch) {
      ch.pipeline().addLast(new IdleStateHandler(SILENT_MS, 0, 0, TimeUnit.MILLISECONDS),
          new HttpClientCodec(), new Unwrapper(), new LineBasedFrameDecoder(MOST_LINE), new Lines(this));
    }
  }

  private final class Lines extends SimpleChannelInboundHandler<ByteBuf> {
    private final Watch source;
    private long heard;

    Lines(Watch source) {
      this.source = source;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) throws IOException {
      heard++;
      if (source != watch && source != leaving) {
        return;
      }
      RosterNews news = line.isReadable() ? RosterNews.parse(ByteBufUtil.getBytes(line)) : null;
      if (source == watch && leaving != null) {
        leaving.close();
        leaving = null;
      }
      if (news != null) {
        // A version that is none must not be asked for: the watch would be refused for good.
        version = news.version() > 0 ? news.version() : version;
        listener.accept(news);
      }
    }

    /**
     * Guards against a process that was stopped, or short of CPU, for longer than the silence: its timer runs
     * out before it has read what came meanwhile, and a drain that was told would be dropped unread.
     */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
      if (event instanceof IdleStateEvent) {
        long before = heard;
        ctx.executor().schedule(() -> {
          if (heard == before) {
            ctx.close();
          }
        }, LAST_LOOK_MS, TimeUnit.MILLISECONDS);
      }
    }

    /** Junk, silence or a broken connection: a new watch from the last good version makes up for it. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      LOG.log(Level.FINE, "watch ended", cause);
      ctx.close();
    }
  }
}
