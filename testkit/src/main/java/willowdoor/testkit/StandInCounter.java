package willowdoor.testkit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.string.StringDecoder;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.function.IntPredicate;

/**
 * Stand-in of the shared counter. Each line {@code incr NAME AMOUNT LIFE_MS} is answered in order. Faults
 * that it can simulate: slowness, hanging (calls are accepted and not answered), an outage followed by a
 * restart that is empty, complete or from an earlier copy, lost answers, duplicate answers, connection
 * resets, and a limited call rate. Each door may have an address of its own, by which the counter can be
 * partitioned from some doors, or be split into two counters that both serve as the primary (split brain).
 *
 * <p>Bounds: {@value #MAX_NAMES} names and {@value #MAX_WAITING_CALLS} waiting calls; beyond either it
 * answers {@code busy}.
 */
public final class StandInCounter {

  private static final int MAX_NAMES = 200_000;
  private static final double MAX_LIFETIME_MS = 60_000;
  private static final long SWEEP_MS = 1_000;
  private static final int MAX_WAITING_CALLS = 10_000;
  private static final int SHARED_ADDRESS = -1;

  private record Count(double total, double expiresAtMs) { }

  private final EventLoopGroup group;
  private final EventHistory eventHistory;
  private final Map<String, Count> counts = new HashMap<>();
  /**
   * Listening ports by door; {@value #SHARED_ADDRESS} is the shared address for doors without one of their
   * own.
   */
  private final Map<Integer, Port> ports = new ConcurrentSkipListMap<>();
  private Map<String, Count> secondCounts = new HashMap<>();
  private IntPredicate usesSecond = door -> false;
  private double freeAtMs;
  private int waitingCalls;
  private volatile double maxCallsPerSecond = Double.POSITIVE_INFINITY;
  private volatile boolean answersTwice;
  /** Time at which each door first added to a firm's name since the counter last became reachable. */
  private final Map<Integer, Double> firstCalls = new HashMap<>();
  private volatile double delayMs = 1;
  private volatile boolean hanging;
  private volatile boolean dropsAnswers;
  private volatile boolean resetting;
  private Map<String, Count> keptCounts = new HashMap<>();
  private long calls;
  /**
   * Sum of all amounts added to all names of a customer, expired names included; the customer is the part of
   * the name before the colon.
   */
  private final Map<String, Double> addedByCustomer = new HashMap<>();

  /** Listens on a free loopback port; all work runs on the event loop of the group. */
  public StandInCounter(EventLoopGroup group, EventHistory eventHistory) {
    this.group = group;
    this.eventHistory = eventHistory;
    ports.put(SHARED_ADDRESS, new Port(SHARED_ADDRESS));
    group.next().scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
  }

  /** One listening address of the counter. */
  private final class Port extends ChannelInitializer<Channel> {
    private final int door;
    private final InetSocketAddress address;
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private Channel serverChannel;

    Port(int door) {
      this.door = door;
      listen(StandIns.anyAddress());
      address = (InetSocketAddress) serverChannel.localAddress();
    }

    private void listen(InetSocketAddress at) {
      serverChannel = StandIns.listen(new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
          .option(ChannelOption.SO_BACKLOG, 1024).option(ChannelOption.SO_REUSEADDR, true)
          .childOption(ChannelOption.TCP_NODELAY, true).childHandler(this), at);
    }

    @Override
    protected void initChannel(Channel ch) {
      connections.add(ch);
      ch.pipeline().addLast(new LineBasedFrameDecoder(256), new StringDecoder(StandardCharsets.US_ASCII),
          new CallHandler(door));
    }

    void close() {
      serverChannel.close().syncUninterruptibly();
      connections.close().syncUninterruptibly();
    }

    void reopen() {
      if (!serverChannel.isOpen()) {
        listen(address);
      }
    }
  }

  /** The shared address, for doors that have none of their own. */
  public InetSocketAddress address() {
    return ports.get(SHARED_ADDRESS).address;
  }

  /** The address for that door alone, by which the counter identifies the door. */
  public InetSocketAddress address(int door) {
    return ports.computeIfAbsent(door, Port::new).address;
  }

  /** Makes the counter unreachable for these doors. */
  public void cutOff(IntPredicate doors) {
    portsOf(doors).forEach(Port::close);
  }

  /** Makes the counter reachable for all doors again. */
  public void reconnect() {
    portsOf(door -> true).forEach(Port::reopen);
    clearFirstCalls();
  }

  private List<Port> portsOf(IntPredicate doors) {
    return ports.values().stream().filter(p -> doors.test(p.door)).toList();
  }

  /**
   * Splits the counter into two: these doors use a second counter, which starts as a copy of the first or
   * empty. Connections of these doors are closed.
   */
  public void splitInTwo(IntPredicate doors, boolean copied) {
    synchronized (this) {
      secondCounts = copied ? new HashMap<>(counts) : new HashMap<>();
      usesSecond = doors;
    }
    portsOf(doors).forEach(p -> p.connections.close());
  }

  /**
   * Ends the split: one of the two counters remains and serves all doors. Connections to the other one are
   * closed.
   */
  public void endSplit(boolean secondWins) {
    IntPredicate moved = usesSecond;
    synchronized (this) {
      if (secondWins) {
        counts.clear();
        counts.putAll(secondCounts);
      }
      usesSecond = door -> false;
    }
    portsOf(secondWins ? moved.negate() : moved).forEach(p -> p.connections.close());
    clearFirstCalls();
  }

  /** Limits the rate of calls, which are then executed one after another. */
  public void limitRate(double mostCallsPerSecond) {
    maxCallsPerSecond = mostCallsPerSecond;
  }

  /** Writes each answer twice when {@code on}. */
  public void answerTwice(boolean on) {
    answersTwice = on;
  }

  /**
   * Time at which each door first added to a firm's name since the counter last became reachable, by the
   * event history's clock.
   */
  public synchronized Map<Integer, Double> firstCalls() {
    return new TreeMap<>(firstCalls);
  }

  private synchronized void clearFirstCalls() {
    firstCalls.clear();
  }

  /** Delays each call by that many milliseconds. */
  public void delay(double ms) {
    delayMs = ms;
  }

  /** Total of all unexpired names of a customer; the customer is the part of the name before the colon. */
  public synchronized double total(String beforeColon) {
    double now = eventHistory.now();
    return counts.entrySet().stream().filter(e -> e.getKey().startsWith(beforeColon + ":")
        && e.getValue().expiresAtMs() >= now).mapToDouble(e -> e.getValue().total()).sum();
  }

  /** When {@code on}, executes calls but writes no answers. */
  public void loseAnswers(boolean on) {
    dropsAnswers = on;
  }

  /** When {@code on}, executes each call and then resets its connection. */
  public void reset(boolean on) {
    resetting = on;
  }

  /** Saves a copy of all totals, for {@link #restartWithCopy}. */
  public synchronized void keepCopy() {
    keptCounts = new HashMap<>(counts);
  }

  /** Restarts the counter at its addresses with all its data, as after a network outage. */
  public void restart() {
    reconnect();
    eventHistory.addMachineEntry(EventHistory.Kind.STARTED, "counter", "");
  }

  /** Restarts the counter at its addresses with the copy that was saved last. */
  public void restartWithCopy() {
    synchronized (this) {
      counts.clear();
      counts.putAll(keptCounts);
    }
    reconnect();
    eventHistory.addMachineEntry(EventHistory.Kind.STARTED, "counter", "");
  }

  /** When {@code on}, accepts calls and answers none. */
  public void hang(boolean on) {
    hanging = on;
  }

  /**
   * Number of calls, except those on the doors' internal names: sentinel names (which start with ~) and names
   * of ceiling shares (which contain ^).
   */
  public synchronized long calls() {
    return calls;
  }

  /**
   * Sum of all amounts ever added to names of a customer, expired ones included; kept for every customer of a
   * run.
   */
  public synchronized double added(String beforeColon) {
    return addedByCustomer.getOrDefault(beforeColon, 0.0);
  }

  /** Stops the counter: open connections are closed and new ones are refused. */
  public void stop() {
    portsOf(door -> true).forEach(Port::close);
    eventHistory.addMachineEntry(EventHistory.Kind.KILLED, "counter", "");
  }

  /** Restarts the counter at its addresses without data. */
  public void restartEmpty() {
    synchronized (this) {
      counts.clear();
    }
    reconnect();
    eventHistory.addMachineEntry(EventHistory.Kind.STARTED, "counter", "");
  }

  private synchronized void sweep() {
    double now = eventHistory.now();
    counts.values().removeIf(c -> c.expiresAtMs() < now);
    secondCounts.values().removeIf(c -> c.expiresAtMs() < now);
  }

  private synchronized String execute(String line, int door) {
    String[] parts = line.split(" ");
    boolean internal = parts.length > 1 && (parts[1].startsWith("~") || parts[1].indexOf('^') > 0);
    calls += internal ? 0 : 1;
    Map<String, Count> counts = door >= 0 && usesSecond.test(door) ? secondCounts : this.counts;
    try {
      if (parts.length != 4 || !parts[0].equals("incr") || parts[1].length() > 64) {
        return "error";
      }
      double amount = Double.parseDouble(parts[2]);
      double lifetimeMs = Math.min(MAX_LIFETIME_MS, Double.parseDouble(parts[3]));
      double now = eventHistory.now();
      if (!internal) {
        firstCalls.putIfAbsent(door, now);
      }
      Count old = counts.get(parts[1]);
      if (old != null && old.expiresAtMs() < now) {
        old = null;
      }
      if (old == null && counts.size() >= MAX_NAMES) {
        return "busy";
      }
      Count count = old == null ? new Count(amount, now + lifetimeMs) : new Count(old.total() + amount,
          old.expiresAtMs());
      counts.put(parts[1], count);
      addedByCustomer.merge(parts[1].substring(0, Math.max(0, parts[1].indexOf(':'))), amount, Double::sum);
      return String.format(Locale.ROOT, "ok %.6f", count.total());
    } catch (NumberFormatException e) {
      return "error";
    }
  }

  /** Time in milliseconds that the next call waits for its turn; negative when too many calls are waiting. */
  private synchronized double reserveTurn() {
    if (waitingCalls >= MAX_WAITING_CALLS) {
      return -1;
    }
    waitingCalls++;
    double now = eventHistory.now();
    freeAtMs = Math.max(now, freeAtMs) + 1000 / maxCallsPerSecond;
    return freeAtMs - now;
  }

  private synchronized void finishTurn() {
    waitingCalls--;
  }

  /** One connection: calls are answered in order, each after the delay. */
  private final class CallHandler extends SimpleChannelInboundHandler<String> {
    private final int door;

    CallHandler(int door) {
      this.door = door;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, String line) {
      if (hanging) {
        return;
      }
      if (line.equals("ping")) {
        answer(ctx, "pong");
        return;
      }
      double turn = reserveTurn();
      if (turn < 0) {
        answer(ctx, "busy");
        return;
      }
      ctx.executor().schedule(() -> {
        finishTurn();
        String text = execute(line, door);
        if (resetting) {
          ctx.channel().config().setOption(ChannelOption.SO_LINGER, 0);
          ctx.close();
        } else if (!dropsAnswers) {
          answer(ctx, text);
          if (answersTwice) {
            answer(ctx, text);
          }
        }
      }, (long) ((delayMs + turn) * 1000), TimeUnit.MICROSECONDS);
    }

    private void answer(ChannelHandlerContext ctx, String text) {
      ctx.writeAndFlush(ByteBufUtil.writeAscii(ctx.alloc(), text + "\r\n"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
