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
import willowdoor.testkit.EventHistory.ClientRequest;
import willowdoor.testkit.EventHistory.Entry;
import willowdoor.testkit.EventHistory.Kind;

/**
 * A scripted backend with a number of cores, a bounded queue, and work that takes time but no CPU. Each step
 * of a request here is recorded in the event history. The effect of a request runs when its work starts, so
 * that a backend killed during the work has had the effect and never reports it. Queued work is dropped when
 * its connection has closed; running work continues. Runs on one event loop.
 */
public final class StandInBackend {

  /** How a request is handled. */
  public enum Behaviour {
    /** Works and answers 200. */
    WELL,
    /** Runs the effect and answers 500 at once. */
    ERRORS,
    /** Runs the effect and resets the connection. */
    RESETS,
    /** Runs the effect and never answers. */
    STALLS,
    /** Runs the effect and answers with bytes that are not HTTP. */
    SPOILS,
    /** Runs the effect and writes an incomplete answer. */
    HALF_ANSWERS,
    /** Works ten times as long as usual. */
    SLOW,
    /** Rejects all requests without starting them. */
    TURNS_AWAY
  }

  private static final double SLOWDOWN_FACTOR = 10;
  private static final int MAX_BODY_BYTES = 64 * 1024;

  private final String name;
  private final String zone;
  private final EventLoop loop;
  private final BackendPool pool;
  private final ChannelGroup connections;
  private final ArrayDeque<Work> queue = new ArrayDeque<>();
  private volatile Behaviour behaviour = Behaviour.WELL;
  private volatile boolean alive;
  private volatile HttpHeaders lastHeaders;
  private Channel serverChannel;
  private InetSocketAddress address;
  private int running;
  /** Start time of a backend that started cold; NaN for one that started warm. */
  private double coldSinceMs = Double.NaN;
  private int incarnation;

  /** One request in progress. */
  private record Work(Connection connection, String id, String key, int units, String attempt,
      int incarnation) { }

  StandInBackend(String name, String zone, EventLoop loop, BackendPool pool) {
    this.name = name;
    this.zone = zone;
    this.loop = loop;
    this.pool = pool;
    this.connections = new DefaultChannelGroup(loop);
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

  public boolean isAlive() {
    return alive;
  }

  /** Headers of the last complete attempt, or null. */
  public HttpHeaders lastHeaders() {
    return lastHeaders;
  }

  /** Sets how requests are handled from the next one on. */
  public void setBehaviour(Behaviour newBehaviour) {
    behaviour = newBehaviour;
  }

  /** Listens on a free loopback port the first time, and on the same port after that. */
  void listen(boolean cold) {
    InetSocketAddress at = address == null ? StandIns.anyAddress() : address;
    serverChannel = StandIns.listen(new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true).option(ChannelOption.SO_BACKLOG, 512)
        .childOption(ChannelOption.TCP_NODELAY, true).childHandler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel ch) {
            connections.add(ch);
            Connection hand = new Connection(ch);
            ch.pipeline().addLast(hand.firstByte, new HttpServerCodec(),
                new HttpObjectAggregator(MAX_BODY_BYTES),
                hand);
          }
        }), at);
    address = (InetSocketAddress) serverChannel.localAddress();
    alive = true;
    behaviour = Behaviour.WELL;
    coldSinceMs = cold ? pool.eventHistory().now() : Double.NaN;
    pool.eventHistory().addMachineEntry(new Entry(pool.eventHistory().now(), Kind.STARTED, name, "", 0,
        cold ? "cold" : ""));
  }

  /** Simulates a process crash: connections are reset, new ones are refused, and all work is lost. */
  void kill() {
    alive = false;
    serverChannel.close().syncUninterruptibly();
    loop.submit(() -> {
      incarnation++;
      queue.clear();
      running = 0;
      connections.forEach(c -> {
        c.config().setOption(ChannelOption.SO_LINGER, 0);
        c.close();
      });
    }).syncUninterruptibly();
    pool.eventHistory().addMachineEntry(Kind.KILLED, name, "");
  }

  /**
   * When {@code on}, closes all connections and refuses new ones; otherwise listens again at the same
   * address, warm and with behaviour WELL.
   */
  public void refuseConnections(boolean on) {
    if (on) {
      serverChannel.close().syncUninterruptibly();
      loop.submit(() -> connections.forEach(Channel::close)).syncUninterruptibly();
    } else {
      listen(false);
    }
  }

  private double slowdown() {
    if (Double.isNaN(coldSinceMs)) {
      return 1;
    }
    double age = (pool.eventHistory().now() - coldSinceMs) / pool.runSettings().coldMs();
    return age >= 1 ? 1 : 1 / (pool.runSettings().coldFrom() + (1 - pool.runSettings().coldFrom()) * age);
  }

  private void record(Kind kind, Work work, double amount) {
    pool.eventHistory().addRequestEntry(kind, work.id, name, amount, work.attempt);
  }

  private void admit(Work work) {
    if (behaviour == Behaviour.TURNS_AWAY || queue.size() >= pool.spec().queue()) {
      record(Kind.TURNED_AWAY, work, 503);
      work.connection.answer(work, HttpResponseStatus.SERVICE_UNAVAILABLE, "", true, 0);
    } else if (running >= pool.spec().cores()) {
      queue.add(work);
    } else {
      startWork(work);
    }
  }

  private void startWork(Work work) {
    int units = pool.trueUnits(work.units);
    if (work.key == null || pool.rememberIfNew(work.key)) {
      record(Kind.EFFECT, work, units);
    } else {
      record(Kind.REPEAT_DROPPED, work, 0);
    }
    running++;
    Behaviour currentBehaviour = behaviour;
    switch (currentBehaviour) {
      case ERRORS -> finishWork(work, () -> work.connection.answer(work,
          HttpResponseStatus.INTERNAL_SERVER_ERROR, "",
          false,
          0));
      case RESETS -> finishWork(work, work.connection::reset);
      case SPOILS -> finishWork(work, () -> work.connection.writeRaw("\0 junk \r\n\r\n"));
      case HALF_ANSWERS -> finishWork(work, () -> work.connection.writeRaw(
          "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf of"));
      case STALLS -> finishWork(work, () -> { });
      default -> {
        double ms = pool.drawWorkMs() * slowdown() * (currentBehaviour == Behaviour.SLOW ? SLOWDOWN_FACTOR
            : 1);
        loop.schedule(() -> finishWork(work, () -> work.connection.answer(work, HttpResponseStatus.OK,
            body(work.id, name), false, units)), (long) (ms * 1000), TimeUnit.MICROSECONDS);
      }
    }
  }

  private void finishWork(Work work, Runnable answer) {
    if (work.incarnation != incarnation) {
      return;
    }
    running--;
    answer.run();
    while (running < pool.spec().cores() && !queue.isEmpty()) {
      Work next = queue.poll();
      if (next.connection.channel.isActive()) {
        startWork(next);
      }
    }
  }

  /**
   * The body of a backend's answer; it names the request, so that a client can detect an answer to another
   * one.
   */
  static String body(String id, String backend) {
    return "made for " + id + " by " + backend;
  }

  /** One connection. */
  private final class Connection extends ChannelDuplexHandler {
    private final Channel channel;
    private final FirstByte firstByte = new FirstByte();
    private Work current;
    private int attempts;

    Connection(Channel channel) {
      this.channel = channel;
    }

    /** Records when the first byte of a request arrived, before it is decoded. */
    private final class FirstByte extends ChannelDuplexHandler {
      private double atMs = Double.NaN;

      @Override
      public void channelRead(ChannelHandlerContext ctx, Object bytes) {
        if (Double.isNaN(atMs) && ((ByteBuf) bytes).isReadable()) {
          atMs = pool.eventHistory().now();
        }
        ctx.fireChannelRead(bytes);
      }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      FullHttpRequest request = (FullHttpRequest) message;
      double firstByteMs = firstByte.atMs;
      firstByte.atMs = Double.NaN;
      String id = String.valueOf(request.headers().get("Request-Id"));
      String key = request.headers().get("Idempotency-Key");
      lastHeaders = request.headers();
      request.release();
      ClientRequest asked = pool.eventHistory().clientRequest(id);
      String attempt = name + '/' + channel.id().asShortText() + '/' + attempts++;
      int units = asked == null ? 1 : asked.units();
      pool.eventHistory().add(new Entry(firstByteMs, Kind.FIRST_BYTE, id, name, 0, attempt));
      current = new Work(this, id, key, units, attempt, incarnation);
      record(Kind.LAST_BYTE, current, units);
      admit(current);
    }

    void answer(Work work, HttpResponseStatus status, String text, boolean notStarted, int units) {
      if (!channel.isActive() || current != work) {
        return;
      }
      DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
          Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
      if (notStarted) {
        response.headers().set("Not-Started", "1");
      } else if (units > 0) {
        response.headers().set("X-Units-Charged", units);
        record(Kind.REPLIED, work, status.code());
      } else {
        record(Kind.REPLIED, work, status.code());
      }
      current = null;
      channel.writeAndFlush(response);
    }

    void writeRaw(String text) {
      channel.pipeline().firstContext().writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    void reset() {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
      channel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (current != null) {
        record(Kind.ATTEMPT_ENDED, current, 0);
        current = null;
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
