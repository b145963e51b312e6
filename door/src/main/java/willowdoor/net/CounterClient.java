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
import willowdoor.management.ConnectAttempt;
import willowdoor.policy.GatewayApi.Counted;
import willowdoor.policy.GatewayApi.Status;
import willowdoor.recovery.CounterWatch;
import willowdoor.recovery.WatchAction;
import willowdoor.recovery.WatchAction.Check;
import willowdoor.recovery.WatchAction.Replaced;
import willowdoor.recovery.WatchAction.WakeAt;
import willowdoor.recovery.WatchEvent;
import willowdoor.recovery.WatchEvent.CheckEnded;
import willowdoor.recovery.WatchEvent.Connected;
import willowdoor.recovery.WatchEvent.Woken;

/**
 * Client of the counter. Calls are pipelined on a few persistent connections. A call goes to the connection
 * with the fewest unanswered calls, so that a slow part of the counter delays only calls that already wait
 * behind it; calls for one name keep their order.
 */
final class CounterClient implements CounterStore {

  private static final Logger LOG = Logger.getLogger(CounterClient.class.getName());

  static final int CONNECTIONS = 12;
  static final double CONNECT_LIMIT_MS = 250;
  /** Unanswered calls allowed on one connection; beyond that a call fails here without being sent. */
  private static final int MAX_UNANSWERED = 256;
  private static final int MAX_LINE_BYTES = 256;
  private static final long SWEEP_INTERVAL_MS = 100;
  /** A partial line that is not completed within this time is invalid; the counter writes whole lines. */
  private static final long PARTIAL_LINE_LIMIT_MS = 10;
  /** A connection with unanswered calls is considered dead after a silence of this many call limits. */
  private static final double SILENCE_LIMIT_FACTOR = 12;
  /** An idle connection is pinged at this interval, which keeps it open and reveals a dead one. */
  private static final double PING_INTERVAL_MS = 3_000;
  /**
   * Connections to a previous address are closed after this time, and their unanswered calls end. The counter
   * at that address closes them after 1.5 s.
   */
  private static final long OLD_ADDRESS_CLOSE_MS = 1_300;
  private static final double MIN_BACKOFF_MS = 50;
  private static final double MAX_BACKOFF_MS = 400;

  /**
   * One call, or a ping if the name is null. A call that timed out keeps its place in the queue of its
   * connection.
   */
  private static final class Call {
    /** The number that the watch gave to this check, or -1 for any other call. */
    long checkNumber = -1;
    final String name;
    final double startedAtMs;
    Link link;
    boolean written;
    boolean done;

    Call(String name, double startedAtMs) {
      this.name = name;
      this.startedAtMs = startedAtMs;
    }
  }

  private final EventLoop loop;
  private final Clock clock;
  private final double callLimitMs;
  private final Consumer<Counted> listener;
  private final Dialer dialer;
  /** Null if a replacement of the counter is not to be detected. */
  private CounterWatch watch;
  private DoubleConsumer onReplaced;
  private final List<Link> links = new ArrayList<>(CONNECTIONS);
  /** Connections to the previous address; in use until one to the new address is open. */
  private final List<Link> oldLinks = new ArrayList<>(0);
  private InetSocketAddress counterAddress;
  /** Calls in the order of their starts, and therefore of their time limits. */
  private final ArrayDeque<Call> pendingCalls = new ArrayDeque<>();
  private final Map<String, Call> lastCallByName = new HashMap<>();
  private boolean limitTimerScheduled;

  CounterClient(EventLoop loop, Clock clock, Dialer dialer, InetSocketAddress counterAddress,
      double callLimitMs, Consumer<Counted> listener) {
    this.loop = loop;
    this.clock = clock;
    this.callLimitMs = callLimitMs;
    this.listener = listener;
    this.counterAddress = counterAddress;
    this.dialer = dialer;
  }

  /**
   * Sets the watch that checks the counter's identity, first of all on each new connection. To be
   * called before {@link #start}.
   *
   * @param replacementListener called when another counter answers than before; see {@link Listener#replaced}
   */
  void setWatch(CounterWatch counterWatch, DoubleConsumer replacementListener) {
    watch = counterWatch;
    onReplaced = replacementListener;
  }

  @Override
  public void start() {
    if (counterAddress != null) {
      openLinks();
      if (watch != null) {
        loop.execute(() -> dispatch(new Woken()));
      }
    }
    loop.scheduleWithFixedDelay(this::checkLinks, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
  }

  private void openLinks() {
    for (int i = 0; i < CONNECTIONS; i++) {
      Link link = new Link(counterAddress);
      links.add(link);
      link.connect();
    }
  }

  /**
   * Opens connections to another address; calls on the old connections may still end normally for a while.
   */
  @Override
  public void moveTo(InetSocketAddress newAddress) {
    if (newAddress == null || newAddress.equals(counterAddress)) {
      return;
    }
    counterAddress = newAddress;
    List.copyOf(oldLinks).forEach(Link::close);
    oldLinks.addAll(links);
    links.clear();
    openLinks();
    List<Link> old = List.copyOf(oldLinks);
    loop.schedule(() -> old.forEach(Link::close), OLD_ADDRESS_CLOSE_MS, TimeUnit.MILLISECONDS);
  }

  /** Does nothing: the connections end with the event loop. */
  @Override
  public void close() {
    // No other resource is held.
  }

  @Override
  public void add(String name, double amount, double ttlMs) {
    Call call = new Call(name, clock.now());
    Call previousCall = lastCallByName.get(name);
    Link link = previousCall != null ? previousCall.link : leastLoaded();
    if (link == null || !link.isOpen() || link.unanswered.size() >= MAX_UNANSWERED) {
      listener.accept(new Counted(name, Status.UNREACHABLE, 0, 0));
      return;
    }
    lastCallByName.put(name, call);
    pendingCalls.add(call);
    link.send(call, "incr " + name + ' ' + formatAmount(amount) + ' ' + Math.max(1, (long) ttlMs) + "\r\n");
    scheduleLimitTimer();
  }

  private void dispatch(WatchEvent event) {
    for (WatchAction action : watch.on(clock.now(), event)) {
      if (action instanceof Check c) {
        sendCheck(c);
      } else if (action instanceof Replaced r) {
        LOG.info("another counter answers than before (" + r.origin() + "); it is number " + r.incarnation());
        onReplaced.accept(r.lostSinceMs());
      } else if (action instanceof WakeAt w) {
        loop.schedule(() -> dispatch(new Woken()),
            (long) Math.ceil(Math.max(0, w.atMs() - clock.now()) * 1000) + 1, TimeUnit.MICROSECONDS);
      }
    }
  }

  private void sendCheck(Check check) {
    Link link = check.link() >= 0 && check.link() < links.size() ? links.get(check.link())
        : leastLoaded(links);
    if (link == null || !link.isOpen() || link.unanswered.size() >= MAX_UNANSWERED) {
      loop.execute(() -> dispatch(new CheckEnded(check.number(), Double.NaN)));
      return;
    }
    Call call = new Call(check.name(), clock.now());
    call.checkNumber = check.number();
    pendingCalls.add(call);
    link.send(call, "incr " + check.name() + ' ' + formatAmount(check.amount()) + ' ' + (long) check.ttlMs()
        + "\r\n");
    scheduleLimitTimer();
  }

  /** Formats an amount as decimal digits without an exponent, as the counter does not read exponents. */
  static String formatAmount(double amount) {
    if (amount == Math.rint(amount) && Math.abs(amount) < 1e9) {
      return Long.toString((long) amount);
    }
    return BigDecimal.valueOf(amount).setScale(6, RoundingMode.HALF_UP).toPlainString();
  }

  private Link leastLoaded() {
    Link best = leastLoaded(links);
    return best != null ? best : leastLoaded(oldLinks);
  }

  private static Link leastLoaded(List<Link> candidates) {
    Link best = null;
    for (Link link : candidates) {
      if (link.isOpen() && (best == null || link.unanswered.size() < best.unanswered.size())) {
        best = link;
      }
    }
    return best;
  }

  private void finish(Call call, Status status, double total) {
    if (call.done) {
      return;
    }
    call.done = true;
    lastCallByName.remove(call.name, call);
    if (call.checkNumber >= 0) {
      dispatch(new CheckEnded(call.checkNumber, status == Status.OK ? total : Double.NaN));
    } else if (call.name != null) {
      listener.accept(new Counted(call.name, status, total, clock.now() - call.startedAtMs));
    }
  }

  /** Schedules the one timer for all calls, which reach their limits in the order of their starts. */
  private void scheduleLimitTimer() {
    if (!limitTimerScheduled && !pendingCalls.isEmpty()) {
      limitTimerScheduled = true;
      double leftMs = pendingCalls.peekFirst().startedAtMs + callLimitMs - clock.now();
      loop.schedule(this::expireOverdueCalls, (long) Math.ceil(Math.max(0, leftMs) * 1000),
          TimeUnit.MICROSECONDS);
    }
  }

  private void expireOverdueCalls() {
    limitTimerScheduled = false;
    double now = clock.now();
    for (Call call = pendingCalls.peekFirst(); call != null
        && (call.done || call.startedAtMs + callLimitMs <= now);
        call = pendingCalls.peekFirst()) {
      finish(pendingCalls.pollFirst(), Status.TIMED_OUT, 0);
    }
    scheduleLimitTimer();
  }

  private void checkLinks() {
    double now = clock.now();
    for (Link link : links) {
      link.checkLiveness(now);
    }
  }

  /** Splits the input of one connection into lines. */
  private static final class LineDecoder extends LineBasedFrameDecoder {
    LineDecoder() {
      super(MAX_LINE_BYTES, true, true);
    }

    boolean hasUnconsumedBytes() {
      return actualReadableBytes() > 0;
    }
  }

  /** One persistent connection and its unanswered calls, in order. */
  private final class Link extends ChannelInitializer<Channel> {
    private final ArrayDeque<Call> unanswered = new ArrayDeque<>();
    private final InetSocketAddress address;
    private Channel channel;
    private boolean closed;
    private double lastReadMs;
    private double backoffMs = MIN_BACKOFF_MS;

    Link(InetSocketAddress address) {
      this.address = address;
    }

    /** Closes the connection without reopening it. */
    void close() {
      closed = true;
      oldLinks.remove(this);
      if (channel != null) {
        channel.close();
      }
    }

    boolean isOpen() {
      return channel != null && channel.isActive();
    }

    void connect() {
      ChannelFuture connected = dialer.dial(address, this);
      ConnectAttempt.onDone(loop, connected, () -> {
        if (closed) {
          ConnectAttempt.close(connected.channel());
        } else if (connected.isSuccess()) {
          channel = connected.channel();
          lastReadMs = clock.now();
          if (watch != null && links.contains(this)) {
            dispatch(new Connected(links.indexOf(this)));
          }
        } else {
          scheduleReconnect();
        }
      });
    }

    private void scheduleReconnect() {
      if (!links.contains(this)) {
        closed = true;
        oldLinks.remove(this);
        return;
      }
      double waitMs = backoffMs * (0.5 + ThreadLocalRandom.current().nextDouble());
      backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
      loop.schedule(() -> {
        if (!closed) {
          connect();
        }
      }, (long) waitMs, TimeUnit.MILLISECONDS);
    }

    void send(Call call, String line) {
      call.link = this;
      unanswered.add(call);
      ByteBuf bytes = channel.alloc().buffer(line.length());
      bytes.writeCharSequence(line, StandardCharsets.US_ASCII);
      channel.writeAndFlush(bytes).addListener(f -> call.written = f.isSuccess());
    }

    /** Pings an idle connection, and closes one that does not answer: a host that vanished sends no reset. */
    void checkLiveness(double now) {
      if (!isOpen()) {
        return;
      }
      if (unanswered.isEmpty()) {
        if (now - lastReadMs > PING_INTERVAL_MS) {
          send(new Call(null, now), "ping\r\n");
        }
      } else if (now - Math.max(lastReadMs, unanswered.peekFirst().startedAtMs)
          > SILENCE_LIMIT_FACTOR * callLimitMs) {
        channel.close();
      }
    }

    @Override
    protected void initChannel(Channel ch) {
      LineDecoder lines = new LineDecoder();
      ch.pipeline().addLast(lines, new SimpleChannelInboundHandler<ByteBuf>() {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
          onLine(line.toString(StandardCharsets.US_ASCII));
        }

        /** Detects input without a line end, to which the next answer would be appended. */
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
          if (lines.hasUnconsumedBytes()) {
            double heard = lastReadMs;
            loop.schedule(() -> {
              if (lines.hasUnconsumedBytes() && heard == lastReadMs) {
                onInvalidLine();
              }
            }, PARTIAL_LINE_LIMIT_MS, TimeUnit.MILLISECONDS);
          }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
          onDisconnected();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
          if (cause instanceof TooLongFrameException) {
            onInvalidLine();
          }
          ctx.close();
        }
      });
    }

    private void onLine(String line) {
      lastReadMs = clock.now();
      Call call = unanswered.poll();
      if (call != null && line.startsWith("ok ") && call.name != null) {
        double total;
        try {
          total = Double.parseDouble(line.substring(3));
        } catch (NumberFormatException e) {
          total = Double.NaN;
        }
        if (Double.isFinite(total)) {
          backoffMs = MIN_BACKOFF_MS;
          finish(call, Status.OK, total);
          return;
        }
      } else if (call != null && (line.equals("busy") || line.equals("error"))) {
        finish(call, Status.REJECTED, 0);
        return;
      } else if (call != null && line.equals("pong") && call.name == null) {
        backoffMs = MIN_BACKOFF_MS;
        return;
      }
      if (call != null) {
        unanswered.addFirst(call);
      }
      onInvalidLine();
    }

    /**
     * Handles input that is no valid answer. The first unanswered call ends as SPOILT, since it may have been
     * applied; the connection is closed, as nothing that follows on it can be trusted.
     */
    private void onInvalidLine() {
      Call call = unanswered.poll();
      Channel used = channel;
      channel = null;
      if (used != null) {
        used.close();
      }
      if (call != null) {
        finish(call, Status.SPOILT, 0);
      }
    }

    /** Ends all unanswered calls. One that was not completely written added nothing; any other may have. */
    private void onDisconnected() {
      channel = null;
      while (!unanswered.isEmpty()) {
        Call call = unanswered.poll();
        finish(call, call.written ? Status.RESET : Status.UNREACHABLE, 0);
      }
      scheduleReconnect();
    }
  }
}
