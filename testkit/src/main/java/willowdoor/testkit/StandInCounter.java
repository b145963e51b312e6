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
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The shared counter: lines {@code incr NAME AMOUNT LIFE_MS}, answered in their order. It can be slow, hang
 * (takes calls and answers none), be lost and come back empty. Holds {@value #MOST_NAMES} names; past that it
 * answers {@code busy}.
 */
public final class StandInCounter {

  private static final int MOST_NAMES = 200_000;
  private static final double LONGEST_LIFE_MS = 60_000;
  private static final long SWEEP_MS = 1_000;

  private record Count(double total, double endsAt) { }

  private final EventLoopGroup group;
  private final Ledger ledger;
  private final Map<String, Count> counts = new HashMap<>();
  private final ChannelGroup open = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private Channel listening;
  private InetSocketAddress address;
  private volatile double delayMs = 1;
  private volatile boolean hanging;
  private volatile boolean losing;
  private volatile boolean resetting;
  private Map<String, Count> copy = new HashMap<>();
  private long calls;
  /** What was added to all names of a customer, whatever became of them; the customer is what stands before
  the colon. */
  private final Map<String, Double> added = new HashMap<>();

  /** Listens on a free loopback port; all its work is on the group's one loop. */
  public StandInCounter(EventLoopGroup group, Ledger ledger) {
    this.group = group;
    this.ledger = ledger;
    listen(new InetSocketAddress("127.0.0.1", 0));
    group.next().scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
  }

  private void listen(InetSocketAddress at) {
    listening = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, 1024).option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel ch) {
            open.add(ch);
            ch.pipeline().addLast(new LineBasedFrameDecoder(256),
                new StringDecoder(StandardCharsets.US_ASCII),
                new Calls());
          }
        }).bind(at).syncUninterruptibly().channel();
    address = (InetSocketAddress) listening.localAddress();
  }

  public InetSocketAddress address() {
    return address;
  }

  /** Each call waits so long for its turn. */
  public void delay(double ms) {
    delayMs = ms;
  }

  /** Total of all living names of a customer; the customer is what stands before the colon. */
  public synchronized double total(String beforeColon) {
    double now = ledger.now();
    return counts.entrySet().stream().filter(e -> e.getKey().startsWith(beforeColon + ":")
        && e.getValue().endsAt() >= now).mapToDouble(e -> e.getValue().total()).sum();
  }

  /** From here on it adds and loses the answers, or answers again. */
  public void loseAnswers(boolean on) {
    losing = on;
  }

  /** From here on it resets a connection with every call, which is added, or stays open again. */
  public void reset(boolean on) {
    resetting = on;
  }

  /** Keeps a copy of all totals as they are now. */
  public synchronized void keepCopy() {
    copy = new HashMap<>(counts);
  }

  /** It is back where it was with all that it had: it was only out of reach. */
  public void comeBack() {
    listen(address);
    ledger.machine(Ledger.Kind.STARTED, "counter", "");
  }

  /** It is back where it was, with the copy that was kept last. */
  public void comeBackWithCopy() {
    synchronized (this) {
      counts.clear();
      counts.putAll(copy);
    }
    listen(address);
    ledger.machine(Ledger.Kind.STARTED, "counter", "");
  }

  /** From here on it takes calls and answers none, or answers again. */
  public void hang(boolean on) {
    hanging = on;
  }

  /** Calls taken so far, but for those by which doors ask who answers (their names begin with ~). */
  public synchronized long calls() {
    return calls;
  }

  /**
   * All that was ever added to the names that begin with the text and a colon, expired ones included; kept
   * for
   * as many customers as a run has.
   */
  public synchronized double added(String beforeColon) {
    return added.getOrDefault(beforeColon, 0.0);
  }

  /** It is gone: connections end and new ones are refused. */
  public void lose() {
    listening.close().syncUninterruptibly();
    open.close().syncUninterruptibly();
    ledger.machine(Ledger.Kind.KILLED, "counter", "");
  }

  /** It is back where it was, empty. */
  public void comeBackEmpty() {
    synchronized (this) {
      counts.clear();
    }
    listen(address);
    ledger.machine(Ledger.Kind.STARTED, "counter", "");
  }

  private synchronized void sweep() {
    double now = ledger.now();
    counts.values().removeIf(c -> c.endsAt() < now);
  }

  private synchronized String call(String line) {
    String[] parts = line.split(" ");
    calls += parts.length > 1 && parts[1].startsWith("~") ? 0 : 1;
    try {
      if (parts.length != 4 || !parts[0].equals("incr") || parts[1].length() > 64) {
        return "error";
      }
      double amount = Double.parseDouble(parts[2]);
      double life = Math.min(LONGEST_LIFE_MS, Double.parseDouble(parts[3]));
      double now = ledger.now();
      Count old = counts.get(parts[1]);
      if (old != null && old.endsAt() < now) {
        old = null;
      }
      if (old == null && counts.size() >= MOST_NAMES) {
        return "busy";
      }
      Count count = old == null ? new Count(amount, now + life) : new Count(old.total() + amount,
          old.endsAt());
      counts.put(parts[1], count);
      added.merge(parts[1].substring(0, Math.max(0, parts[1].indexOf(':'))), amount, Double::sum);
      return String.format(Locale.ROOT, "ok %.6f", count.total());
    } catch (NumberFormatException e) {
      return "error";
    }
  }

  /** One connection: calls are answered in their order, each after the delay. */
  private final class Calls extends SimpleChannelInboundHandler<String> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, String line) {
      if (hanging) {
        return;
      }
      if (line.equals("ping")) {
        answer(ctx, "pong");
        return;
      }
      ctx.executor().schedule(() -> {
        String text = call(line);
        if (resetting) {
          ctx.channel().config().setOption(ChannelOption.SO_LINGER, 0);
          ctx.close();
        } else if (!losing) {
          answer(ctx, text);
        }
      }, (long) (delayMs * 1000), TimeUnit.MICROSECONDS);
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
