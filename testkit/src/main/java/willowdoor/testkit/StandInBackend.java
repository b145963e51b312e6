package willowdoor.testkit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import willowdoor.testkit.Ledger.Asked;
import willowdoor.testkit.Ledger.Entry;
import willowdoor.testkit.Ledger.Kind;

/**
 * One scripted backend: so many cores, a waiting room, work that takes time and no CPU, and a ledger entry
 * for each thing that a request meets here. Its effect runs when its work begins, so that a backend killed
 * half way has had the effect and never tells. Waiting work whose connection ended is dropped; running work
 * goes on. All on one event loop.
 */
public final class StandInBackend {

  /** What it does with a request. */
  public enum Mood {
    /** Works and answers 200. */
    WELL,
    /** Answers 500 at once; the effect may have run and does. */
    ERRORS,
    /** Runs the effect and resets the connection. */
    RESETS,
    /** Takes requests and never answers; the effect runs. */
    STALLS,
    /** Runs the effect and answers junk. */
    SPOILS,
    /** Runs the effect, writes half of the answer and no more. */
    HALF_ANSWERS,
    /** Works ten times as long. */
    SLOW,
    /** Turns all away unseen. */
    TURNS_AWAY
  }

  private static final double SLOWNESS = 10;
  private static final int MOST_BODY = 64 * 1024;

  private final String name;
  private final String zone;
  private final EventLoop loop;
  private final BackendPark park;
  private final ChannelGroup open;
  private final ArrayDeque<Work> queue = new ArrayDeque<>();
  private volatile Mood mood = Mood.WELL;
  private volatile boolean alive;
  private volatile HttpHeaders lastHeaders;
  private Channel listening;
  private InetSocketAddress address;
  private int running;
  /** NaN while it is warm. */
  private double coldSince = Double.NaN;
  private int life;

  /** One request in hand. */
  private record Work(Hand hand, String id, String key, int units, String attempt, int life) { }

  StandInBackend(String name, String zone, EventLoop loop, BackendPark park) {
    this.name = name;
    this.zone = zone;
    this.loop = loop;
    this.park = park;
    this.open = new DefaultChannelGroup(loop);
  }

  public String name() {
    return name;
  }

  public String zone() {
    return zone;
  }

  public InetSocketAddress address() {
    return address;
  }

  public boolean alive() {
    return alive;
  }

  /** The headers of the newest attempt that came whole, or null. */
  public HttpHeaders lastHeaders() {
    return lastHeaders;
  }

  /** From the next request on it does so. */
  public void mood(Mood other) {
    mood = other;
  }

  /** Listens, at first on a free loopback port and later on the same one. */
  void listen(boolean cold) {
    InetSocketAddress at = address == null ? StandIns.anyAddress() : address;
    listening = StandIns.listen(new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true).option(ChannelOption.SO_BACKLOG, 512)
        .childOption(ChannelOption.TCP_NODELAY, true).childHandler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel ch) {
            open.add(ch);
            Hand hand = new Hand(ch);
            ch.pipeline().addLast(hand.first, new HttpServerCodec(), new HttpObjectAggregator(MOST_BODY),
                hand);
          }
        }), at);
    address = (InetSocketAddress) listening.localAddress();
    alive = true;
    mood = Mood.WELL;
    coldSince = cold ? park.ledger().now() : Double.NaN;
    park.ledger().machine(new Entry(park.ledger().now(), Kind.STARTED, name, "", 0, cold ? "cold" : ""));
  }

  /** Its process dies: connections are reset, new ones refused, all work is lost. */
  void die() {
    alive = false;
    listening.close().syncUninterruptibly();
    loop.submit(() -> {
      life++;
      queue.clear();
      running = 0;
      open.forEach(c -> {
        c.config().setOption(ChannelOption.SO_LINGER, 0);
        c.close();
      });
    }).syncUninterruptibly();
    park.ledger().machine(Kind.KILLED, name, "");
  }

  /** Refuses new connections, or listens again where it did; nothing else of it changes. */
  public void refuse(boolean on) {
    if (on) {
      listening.close().syncUninterruptibly();
      loop.submit(() -> open.forEach(Channel::close)).syncUninterruptibly();
    } else {
      listen(false);
    }
  }

  private double slowness() {
    if (Double.isNaN(coldSince)) {
      return 1;
    }
    double age = (park.ledger().now() - coldSince) / park.terms().coldMs();
    return age >= 1 ? 1 : 1 / (park.terms().coldFrom() + (1 - park.terms().coldFrom()) * age);
  }

  private void note(Kind kind, Work w, double amount) {
    park.ledger().request(kind, w.id, name, amount, w.attempt);
  }

  private void take(Work w) {
    if (mood == Mood.TURNS_AWAY || queue.size() >= park.make().queue()) {
      note(Kind.TURNED_AWAY, w, 503);
      w.hand.answer(w, HttpResponseStatus.SERVICE_UNAVAILABLE, "", true, 0);
    } else if (running >= park.make().cores()) {
      queue.add(w);
    } else {
      begin(w);
    }
  }

  private void begin(Work w) {
    int units = park.trueUnits(w.units);
    if (w.key == null || park.firstOf(w.key)) {
      note(Kind.EFFECT, w, units);
    } else {
      note(Kind.REPEAT_DROPPED, w, 0);
    }
    running++;
    Mood now = mood;
    switch (now) {
      case ERRORS -> finish(w, () -> w.hand.answer(w, HttpResponseStatus.INTERNAL_SERVER_ERROR, "", false,
          0));
      case RESETS -> finish(w, w.hand::reset);
      case SPOILS -> finish(w, () -> w.hand.raw("\0 junk \r\n\r\n"));
      case HALF_ANSWERS -> finish(w, () -> w.hand.raw(
          "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf of"));
      case STALLS -> finish(w, () -> { });
      default -> {
        double ms = park.work() * slowness() * (now == Mood.SLOW ? SLOWNESS : 1);
        loop.schedule(() -> finish(w, () -> w.hand.answer(w, HttpResponseStatus.OK,
            body(w.id, name), false, units)), (long) (ms * 1000), TimeUnit.MICROSECONDS);
      }
    }
  }

  private void finish(Work w, Runnable answer) {
    if (w.life != life) {
      return;
    }
    running--;
    answer.run();
    while (running < park.make().cores() && !queue.isEmpty()) {
      Work next = queue.poll();
      if (next.hand.channel.isActive()) {
        begin(next);
      }
    }
  }

  /** The body that a backend makes for a request: a client can tell that it is no other's. */
  static String body(String id, String backend) {
    return "made for " + id + " by " + backend;
  }

  /** One connection. */
  private final class Hand extends ChannelDuplexHandler {
    private final Channel channel;
    private final FirstByte first = new FirstByte();
    private Work current;
    private int attempts;

    Hand(Channel channel) {
      this.channel = channel;
    }

    /** Notes when a request's first byte came, before it is decoded. */
    private final class FirstByte extends ChannelDuplexHandler {
      private double at = Double.NaN;

      @Override
      public void channelRead(ChannelHandlerContext ctx, Object bytes) {
        if (Double.isNaN(at) && ((ByteBuf) bytes).isReadable()) {
          at = park.ledger().now();
        }
        ctx.fireChannelRead(bytes);
      }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      FullHttpRequest request = (FullHttpRequest) message;
      double began = first.at;
      first.at = Double.NaN;
      String id = String.valueOf(request.headers().get("Request-Id"));
      String key = request.headers().get("Idempotency-Key");
      lastHeaders = request.headers();
      request.release();
      Asked asked = park.ledger().asked(id);
      String attempt = name + '/' + channel.id().asShortText() + '/' + attempts++;
      int units = asked == null ? 1 : asked.units();
      park.ledger().add(new Entry(began, Kind.FIRST_BYTE, id, name, 0, attempt));
      current = new Work(this, id, key, units, attempt, life);
      note(Kind.LAST_BYTE, current, units);
      take(current);
    }

    void answer(Work w, HttpResponseStatus status, String text, boolean notStarted, int units) {
      if (!channel.isActive() || current != w) {
        return;
      }
      DefaultFullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
          Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
      answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.content().readableBytes());
      if (notStarted) {
        answer.headers().set("Not-Started", "1");
      } else if (units > 0) {
        answer.headers().set("X-Units-Charged", units);
        note(Kind.REPLIED, w, status.code());
      } else {
        note(Kind.REPLIED, w, status.code());
      }
      current = null;
      channel.writeAndFlush(answer);
    }

    void raw(String text) {
      channel.pipeline().firstContext().writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    void reset() {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
      channel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (current != null) {
        note(Kind.ATTEMPT_ENDED, current, 0);
        current = null;
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
