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
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Watches the list of backends; while the watch is down the last list stays in use.
 *
 * <p>What the agent holds counts as told to this door, so a door that does not ask does not know what it must
 * keep. Two things follow. A watch that ends is begun again within {@link #MOST_BACKOFF_MS} and a half, well
 * inside the grace that the rule on drains gives. And a move to another address is over only when the new
 * watch has told something that is not older than what is known: until then the old one goes on, and is begun
 * again where it ends.
 */
final class DiscoveryClient {

  private static final Logger LOG = Logger.getLogger(DiscoveryClient.class.getName());
  private static final int MOST_LINE = 4 << 20;
  /** Empty lines come every 2 s; a watch silent for more than two of them is replaced. */
  private static final long SILENT_MS = 5_000;
  /** For so long a silent watch may still show that its news only waits to be read. */
  private static final long LAST_LOOK_MS = 100;
  /** With the longest pause a door is without a watch for less than the 1 s of grace after a drain. */
  private static final int CONNECT_LIMIT_MS = 400;
  private static final double LEAST_BACKOFF_MS = 50;
  private static final double MOST_BACKOFF_MS = 300;
  /** A watch that lasted so long was a good one; junk on each new one must not make a busy loop. */
  private static final double GOOD_MS = 5_000;
  /**
   * A whole list of an older version than was heard in the last so many milliseconds comes from an agent that
   * is behind, and is passed over; a later one is of a registry that counts anew. Agents know all that is so
   * old.
   */
  private static final double BEHIND_MS = 6_000;

  private final EventLoop loop;
  private final Clock clock;
  private final Consumer<RosterNews> listener;
  private final Bootstrap bootstrap;
  private long version;
  /** When the version was heard. */
  private double versionAt;
  private boolean asksAgain;
  private Watch watch;
  /** The watch at the address that a new configuration has left, until the new one has told something. */
  private Watch leaving;
  private boolean answered;
  private final List<Runnable> waiting = new ArrayList<>(2);

  DiscoveryClient(EventLoop loop, Clock clock, InetSocketAddress agent, long version,
      Consumer<RosterNews> listener) {
    this.loop = loop;
    this.clock = clock;
    this.version = version;
    versionAt = clock.now();
    this.listener = listener;
    bootstrap = new Bootstrap().group(loop).channel(Transport.BEST.socket())
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_LIMIT_MS);
    watch = new Watch(agent);
  }

  /**
   * Begins.
   *
   * @param limitMs a door that has been told nothing for so long goes on with what it knew before
   */
  void start(long limitMs) {
    watch.connect();
    loop.schedule(this::goOn, limitMs, TimeUnit.MILLISECONDS);
  }

  /** Runs it once the first watch has been answered, or has not been in time; at most a few at once. */
  void whenAnswered(Runnable then) {
    if (answered) {
      then.run();
    } else {
      waiting.add(then);
    }
  }

  /** Nothing waits for the first answer any longer. */
  void goOn() {
    answered = true;
    List<Runnable> ready = List.copyOf(waiting);
    waiting.clear();
    ready.forEach(Runnable::run);
  }

  /** Watches at another address; the old watch goes on until the new one tells something. */
  void moveTo(InetSocketAddress other) {
    if (other.equals(watch.agent)) {
      return;
    }
    if (NewsLog.ON) {
      NewsLog.step(clock, "move " + watch.agent + " to " + other);
    }
    if (leaving == null) {
      leaving = watch;
    } else {
      // Moved on before the last address told anything: the one that does stays.
      watch.close();
    }
    watch = new Watch(other);
    watch.connect();
  }

  /** Takes a message, or with null an empty line that tells that nothing has changed. */
  private void heard(Watch source, RosterNews news) {
    boolean behind = news != null && news.version() < version && clock.now() - versionAt < BEHIND_MS;
    if (behind) {
      source.behind = true;
      askAgain(source);
      return;
    }
    source.behind &= news == null;
    if (source == watch && leaving != null && !source.behind) {
      leaving.close();
      leaving = null;
    }
    if (news != null) {
      // A version that is none must not be asked for: the watch would be refused for good.
      if (news.version() > 0) {
        version = news.version();
        versionAt = clock.now();
      }
      listener.accept(news);
    }
  }

  /** Guards against a registry that counts anew: its whole list was passed over, and would not come again. */
  private void askAgain(Watch source) {
    if (!asksAgain) {
      asksAgain = true;
      long before = version;
      loop.schedule(() -> {
        asksAgain = false;
        if (version == before && !source.closed) {
          source.channel.close();
        }
      }, (long) BEHIND_MS, TimeUnit.MILLISECONDS);
    }
  }

  /** Passes on the bytes of the answer's body, in which lines and chunks end where they like. */
  private static final class Unwrapper extends SimpleChannelInboundHandler<HttpObject> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
      boolean good = part.decoderResult().isSuccess()
          && !(part instanceof HttpResponse r && !r.status().equals(HttpResponseStatus.OK));
      if (good && part instanceof HttpResponse) {
        ctx.fireUserEventTriggered(Begun.ANSWER);
      }
      if (good && part instanceof HttpContent content && content.content().isReadable()) {
        ctx.fireChannelRead(content.content().retain());
      }
      if (!good || part instanceof LastHttpContent) {
        ctx.close();
      }
    }
  }

  /** The head of a good answer has come. */
  private enum Begun { ANSWER }

  /** The watch at one address, over as many connections as it takes. */
  private final class Watch extends ChannelInitializer<Channel> {
    private final InetSocketAddress agent;
    private double backoffMs = LEAST_BACKOFF_MS;
    private double since;
    private Channel channel;
    private boolean closed;
    /** It told a list that was passed over: its empty lines mean that this one has not changed. */
    private boolean behind;

    Watch(InetSocketAddress agent) {
      this.agent = agent;
    }

    void connect() {
      since = clock.now();
      ChannelFuture connected = bootstrap.clone().handler(this).connect(agent);
      channel = connected.channel();
      connected.addListener((ChannelFuture f) -> {
        if (NewsLog.ON) {
          NewsLog.step(clock, "connect " + agent + " " + f.isSuccess() + " " + f.cause());
          f.channel().closeFuture().addListener(c -> NewsLog.step(clock, "closed " + agent));
        }
        f.channel().closeFuture().addListener(ended -> later());
        if (f.isSuccess()) {
          DefaultFullHttpRequest ask = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
              "/discovery/hosts?stream=1&index=" + version);
          String host = agent.getAddress().getHostAddress() + ":" + agent.getPort();
          ask.headers().set(HttpHeaderNames.HOST, host);
          f.channel().writeAndFlush(ask);
        }
      });
    }

    private void later() {
      if (closed || loop.isShuttingDown()) {
        return;
      }
      backoffMs = clock.now() - since > GOOD_MS ? LEAST_BACKOFF_MS : backoffMs;
      double wait = backoffMs * (0.5 + ThreadLocalRandom.current().nextDouble());
      backoffMs = Math.min(MOST_BACKOFF_MS, 2 * backoffMs);
      loop.schedule(() -> {
        if (!closed) {
          connect();
        }
      }, (long) wait, TimeUnit.MILLISECONDS);
    }

    void close() {
      closed = true;
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
    private boolean begun;

    Lines(Watch source) {
      this.source = source;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) throws IOException {
      heard++;
      if (source.closed) {
        return;
      }
      RosterNews news = line.isReadable() ? RosterNews.parse(ByteBufUtil.getBytes(line)) : null;
      if (NewsLog.ON && news != null) {
        NewsLog.read(clock, source.agent.toString(), news, Transport.waitedMs(ctx.channel()));
      }
      heard(source, news);
    }

    /** What the agent held when it answered comes with the head of its answer. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
      if (begun && !answered) {
        if (NewsLog.ON) {
          NewsLog.step(clock, "answered");
        }
        goOn();
      }
      ctx.fireChannelReadComplete();
    }

    /**
     * Guards against a process that was stopped, or short of CPU, for longer than the silence: its timer runs
     * out before it has read what came meanwhile, and a drain that was told would be dropped unread.
     */
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
      if (event == Begun.ANSWER) {
        begun = true;
      } else if (event instanceof IdleStateEvent) {
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
