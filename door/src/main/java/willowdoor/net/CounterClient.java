package willowdoor.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.DoubleConsumer;
import java.util.logging.Logger;
import willowdoor.policy.GatewayApi.Counted;
import willowdoor.policy.GatewayApi.Status;
import willowdoor.recovery.CounterWatch;
import willowdoor.recovery.WatchAction;
import willowdoor.recovery.WatchAction.Check;
import willowdoor.recovery.WatchAction.Replaced;
import willowdoor.recovery.WatchAction.WakeAt;
import willowdoor.recovery.WatchEvent;
import willowdoor.recovery.WatchEvent.Answered;
import willowdoor.recovery.WatchEvent.Connected;
import willowdoor.recovery.WatchEvent.Woken;

/**
 * Calls to the counter, pipelined on a few kept connections. A call goes to the connection with the fewest
 * answers owed, so that one slow part of the counter holds up only what already waits behind it; calls for
 * one name keep their order.
 */
final class CounterClient implements CounterStore {

  private static final Logger LOG = Logger.getLogger(CounterClient.class.getName());

  static final int CONNECTIONS = 12;
  static final double CONNECT_LIMIT_MS = 250;
  /** Answers that one connection may owe; beyond that a call is turned away here. */
  private static final int MOST_OWED = 256;
  private static final int MOST_LINE = 256;
  private static final long SWEEP_MS = 100;
  /** A line comes whole; a part of one that stays alone for so long is none. */
  private static final long WHOLE_MS = 10;
  /** A connection silent for so many limits of a call, though it owes an answer, is taken for dead. */
  private static final double SILENT_LIMITS = 12;
  /** An idle connection is pinged this often: it stays open, and a dead one shows. */
  private static final double PING_MS = 3_000;
  /** A left address closes its connections after 1.5 s; what is owed on them by then is given up before. */
  private static final long LEAVE_MS = 1_300;
  private static final double LEAST_BACKOFF_MS = 50;
  private static final double MOST_BACKOFF_MS = 400;

  /** One call, or a ping where the name is null; it keeps its place when it is given up. */
  private static final class Call {
    /** The watch's number of it, or -1 for any other call. */
    long check = -1;
    final String name;
    final double startedAt;
    Link link;
    boolean written;
    boolean done;

    Call(String name, double startedAt) {
      this.name = name;
      this.startedAt = startedAt;
    }
  }

  private final EventLoop loop;
  private final Clock clock;
  private final double limitMs;
  private final Consumer<Counted> listener;
  private final Dialer dialer;
  /** Null where nothing is to be told of a counter that was replaced. */
  private CounterWatch watch;
  private DoubleConsumer replaced;
  private final List<Link> links = new ArrayList<>(CONNECTIONS);
  /** Connections to the address that a new configuration has left; in use until new ones are up. */
  private final List<Link> leaving = new ArrayList<>(0);
  private InetSocketAddress counter;
  /** Calls in the order of their starts, and so of their limits. */
  private final ArrayDeque<Call> pending = new ArrayDeque<>();
  private final Map<String, Call> lastOfName = new HashMap<>();
  private boolean watching;

  CounterClient(EventLoop loop, Clock clock, Dialer dialer, InetSocketAddress counter, double limitMs,
      Consumer<Counted> listener) {
    this.loop = loop;
    this.clock = clock;
    this.limitMs = limitMs;
    this.listener = listener;
    this.counter = counter;
    this.dialer = dialer;
  }

  /**
   * Has the counter asked who it is, on each new connection first; to be told before the start.
   *
   * @param whenReplaced run when another counter answers than before
   */
  void watch(CounterWatch counterWatch, DoubleConsumer whenReplaced) {
    watch = counterWatch;
    replaced = whenReplaced;
  }

  @Override
  public void start() {
    if (counter != null) {
      open();
      if (watch != null) {
        loop.execute(() -> tell(new Woken()));
      }
    }
    loop.scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
  }

  private void open() {
    for (int i = 0; i < CONNECTIONS; i++) {
      Link link = new Link(counter);
      links.add(link);
      link.connect();
    }
  }

  /** Opens connections to another address; those to the old one finish what they owe. */
  @Override
  public void moveTo(InetSocketAddress other) {
    if (other == null || other.equals(counter)) {
      return;
    }
    counter = other;
    List.copyOf(leaving).forEach(Link::close);
    leaving.addAll(links);
    links.clear();
    open();
    List<Link> old = List.copyOf(leaving);
    loop.schedule(() -> old.forEach(Link::close), LEAVE_MS, TimeUnit.MILLISECONDS);
  }

  /** Its connections end with the loop. */
  @Override
  public void close() {
    // Nothing else is held.
  }

  @Override
  public void add(String name, double amount, double ttlMs) {
    Call call = new Call(name, clock.now());
    Call before = lastOfName.get(name);
    Link link = before != null ? before.link : leastOwing();
    if (link == null || !link.open() || link.owed.size() >= MOST_OWED) {
      listener.accept(new Counted(name, Status.UNREACHABLE, 0, 0));
      return;
    }
    lastOfName.put(name, call);
    pending.add(call);
    link.send(call, "incr " + name + ' ' + plain(amount) + ' ' + Math.max(1, (long) ttlMs) + "\r\n");
    watchLimit();
  }

  private void tell(WatchEvent event) {
    for (WatchAction action : watch.on(clock.now(), event)) {
      if (action instanceof Check c) {
        check(c);
      } else if (action instanceof Replaced r) {
        LOG.info("another counter answers than before (" + r.origin() + "); it is number " + r.incarnation());
        replaced.accept(r.lostSinceMs());
      } else if (action instanceof WakeAt w) {
        loop.schedule(() -> tell(new Woken()), (long) Math.ceil(Math.max(0, w.atMs() - clock.now()) * 1000)
            + 1,
            TimeUnit.MICROSECONDS);
      }
    }
  }

  private void check(Check c) {
    Link link = c.link() >= 0 && c.link() < links.size() ? links.get(c.link()) : leastOwing(links);
    if (link == null || !link.open() || link.owed.size() >= MOST_OWED) {
      loop.execute(() -> tell(new Answered(c.number(), Double.NaN)));
      return;
    }
    Call call = new Call(c.name(), clock.now());
    call.check = c.number();
    pending.add(call);
    link.send(call, "incr " + c.name() + ' ' + plain(c.amount()) + ' ' + (long) c.ttlMs() + "\r\n");
    watchLimit();
  }

  /** Decimal digits without an exponent, which the counter does not read. */
  static String plain(double amount) {
    if (amount == Math.rint(amount) && Math.abs(amount) < 1e9) {
      return Long.toString((long) amount);
    }
    return BigDecimal.valueOf(amount).setScale(6, RoundingMode.HALF_UP).toPlainString();
  }

  private Link leastOwing() {
    Link best = leastOwing(links);
    return best != null ? best : leastOwing(leaving);
  }

  private static Link leastOwing(List<Link> among) {
    Link best = null;
    for (Link l : among) {
      if (l.open() && (best == null || l.owed.size() < best.owed.size())) {
        best = l;
      }
    }
    return best;
  }

  private void finish(Call call, Status status, double total) {
    if (call.done) {
      return;
    }
    call.done = true;
    lastOfName.remove(call.name, call);
    if (call.check >= 0) {
      tell(new Answered(call.check, status == Status.OK ? total : Double.NaN));
    } else if (call.name != null) {
      listener.accept(new Counted(call.name, status, total, clock.now() - call.startedAt));
    }
  }

  /** One timer for all calls: their limits come in the order of their starts. */
  private void watchLimit() {
    if (!watching && !pending.isEmpty()) {
      watching = true;
      double left = pending.peekFirst().startedAt + limitMs - clock.now();
      loop.schedule(this::giveUpOverdue, (long) Math.ceil(Math.max(0, left) * 1000), TimeUnit.MICROSECONDS);
    }
  }

  private void giveUpOverdue() {
    watching = false;
    double now = clock.now();
    for (Call c = pending.peekFirst(); c != null && (c.done || c.startedAt + limitMs <= now);
        c = pending.peekFirst()) {
      finish(pending.pollFirst(), Status.TIMED_OUT, 0);
    }
    watchLimit();
  }

  private void sweep() {
    double now = clock.now();
    for (Link l : links) {
      l.check(now);
    }
  }

  /** The lines of one connection. */
  private static final class Lines extends LineBasedFrameDecoder {
    Lines() {
      super(MOST_LINE, true, true);
    }

    boolean holdsMore() {
      return actualReadableBytes() > 0;
    }
  }

  /** One kept connection and the answers that it owes, in order. */
  private final class Link extends ChannelInitializer<Channel> {
    private final ArrayDeque<Call> owed = new ArrayDeque<>();
    private final InetSocketAddress address;
    private Channel channel;
    private boolean closed;
    private double heardAt;
    private double backoffMs = LEAST_BACKOFF_MS;

    Link(InetSocketAddress address) {
      this.address = address;
    }

    /** Ends it for good. */
    void close() {
      closed = true;
      leaving.remove(this);
      if (channel != null) {
        channel.close();
      }
    }

    boolean open() {
      return channel != null && channel.isActive();
    }

    void connect() {
      dialer.dial(address, this).addListener((ChannelFuture f) -> {
        if (closed) {
          f.channel().close();
        } else if (f.isSuccess()) {
          channel = f.channel();
          heardAt = clock.now();
          if (watch != null && links.contains(this)) {
            tell(new Connected(links.indexOf(this)));
          }
        } else {
          later();
        }
      });
    }

    private void later() {
      if (!links.contains(this)) {
        closed = true;
        leaving.remove(this);
        return;
      }
      double wait = backoffMs * (0.5 + ThreadLocalRandom.current().nextDouble());
      backoffMs = Math.min(MOST_BACKOFF_MS, 2 * backoffMs);
      loop.schedule(() -> {
        if (!closed) {
          connect();
        }
      }, (long) wait, TimeUnit.MILLISECONDS);
    }

    void send(Call call, String line) {
      call.link = this;
      owed.add(call);
      ByteBuf bytes = channel.alloc().buffer(line.length());
      bytes.writeCharSequence(line, StandardCharsets.US_ASCII);
      channel.writeAndFlush(bytes).addListener(f -> call.written = f.isSuccess());
    }

    /** Replaces the connection when it is silent: a vanished machine resets nothing. */
    void check(double now) {
      if (!open()) {
        return;
      }
      if (owed.isEmpty()) {
        if (now - heardAt > PING_MS) {
          send(new Call(null, now), "ping\r\n");
        }
      } else if (now - Math.max(heardAt, owed.peekFirst().startedAt) > SILENT_LIMITS * limitMs) {
        channel.close();
      }
    }

    @Override
    protected void initChannel(Channel ch) {
      Lines lines = new Lines();
      ch.pipeline().addLast(lines, new SimpleChannelInboundHandler<ByteBuf>() {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
          answered(line.toString(StandardCharsets.US_ASCII));
        }

        /** Guards against noise without a line's end, to which the next answer would be added. */
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
          if (lines.holdsMore()) {
            double heard = heardAt;
            loop.schedule(() -> {
              if (lines.holdsMore() && heard == heardAt) {
                spoilt();
              }
            }, WHOLE_MS, TimeUnit.MILLISECONDS);
          }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
          lost();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
          if (cause instanceof TooLongFrameException) {
            spoilt();
          }
          ctx.close();
        }
      });
    }

    private void answered(String line) {
      heardAt = clock.now();
      Call call = owed.poll();
      if (call != null && line.startsWith("ok ") && call.name != null) {
        double total;
        try {
          total = Double.parseDouble(line.substring(3));
        } catch (NumberFormatException e) {
          total = Double.NaN;
        }
        if (Double.isFinite(total)) {
          backoffMs = LEAST_BACKOFF_MS;
          finish(call, Status.OK, total);
          return;
        }
      } else if (call != null && (line.equals("busy") || line.equals("error"))) {
        finish(call, Status.REJECTED, 0);
        return;
      } else if (call != null && line.equals("pong") && call.name == null) {
        backoffMs = LEAST_BACKOFF_MS;
        return;
      }
      if (call != null) {
        owed.addFirst(call);
      }
      spoilt();
    }

    /** Junk: what was asked for first was added; nothing that follows on this connection can be trusted. */
    private void spoilt() {
      Call call = owed.poll();
      Channel used = channel;
      channel = null;
      if (used != null) {
        used.close();
      }
      if (call != null) {
        finish(call, Status.SPOILT, 0);
      }
    }

    /** What was not written whole added nothing; anything else may have been added. */
    private void lost() {
      channel = null;
      while (!owed.isEmpty()) {
        Call call = owed.poll();
        finish(call, call.written ? Status.RESET : Status.UNREACHABLE, 0);
      }
      later();
    }
  }
}
