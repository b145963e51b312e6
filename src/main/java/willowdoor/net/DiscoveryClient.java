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
import io.netty.handler.timeout.ReadTimeoutHandler;
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
  private static final double LEAST_BACKOFF_MS = 100;
  private static final double MOST_BACKOFF_MS = 2_000;

  private final EventLoop loop;
  private final InetSocketAddress agent;
  private final Consumer<RosterNews> listener;
  private final Bootstrap bootstrap;
  private long version;
  private double backoffMs = LEAST_BACKOFF_MS;

  DiscoveryClient(EventLoop loop, InetSocketAddress agent, long version, Consumer<RosterNews> listener) {
    this.loop = loop;
    this.agent = agent;
    this.version = version;
    this.listener = listener;
    bootstrap = new Bootstrap().group(loop).channel(Transport.BEST.socket()).remoteAddress(agent)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1_000)
        .handler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            channel.pipeline().addLast(new ReadTimeoutHandler(SILENT_MS, TimeUnit.MILLISECONDS),
                new HttpClientCodec(), new Unwrapper(), new LineBasedFrameDecoder(MOST_LINE), new Lines());
          }
        });
  }

  void start() {
    bootstrap.connect().addListener((ChannelFuture f) -> {
      f.channel().closeFuture().addListener(closed -> later());
      if (f.isSuccess()) {
        DefaultFullHttpRequest watch = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
            "/discovery/hosts?stream=1&index=" + version);
        String host = agent.getAddress().getHostAddress() + ":" + agent.getPort();
        watch.headers().set(HttpHeaderNames.HOST, host);
        f.channel().writeAndFlush(watch);
      }
    });
  }

  private void later() {
    if (loop.isShuttingDown()) {
      return;
    }
    double wait = backoffMs * (0.5 + ThreadLocalRandom.current().nextDouble());
    backoffMs = Math.min(MOST_BACKOFF_MS, 2 * backoffMs);
    loop.schedule(this::start, (long) wait, TimeUnit.MILLISECONDS);
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

  private final class Lines extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) throws IOException {
      backoffMs = LEAST_BACKOFF_MS;
      if (line.isReadable()) {
        RosterNews news = RosterNews.parse(ByteBufUtil.getBytes(line));
        version = news.version();
        listener.accept(news);
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
