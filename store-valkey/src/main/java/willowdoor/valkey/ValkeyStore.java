package willowdoor.valkey;

import io.lettuce.core.ClientOptions;
import io.lettuce.core.ClientOptions.DisconnectedBehavior;
import io.lettuce.core.RedisChannelHandler;
import io.lettuce.core.RedisClient;
import io.lettuce.core.RedisCommandExecutionException;
import io.lettuce.core.RedisConnectionStateListener;
import io.lettuce.core.RedisNoScriptException;
import io.lettuce.core.RedisURI;
import io.lettuce.core.ScriptOutputType;
import io.lettuce.core.SocketOptions;
import io.lettuce.core.TimeoutOptions;
import io.lettuce.core.api.StatefulRedisConnection;
import io.lettuce.core.codec.StringCodec;
import io.lettuce.core.protocol.ProtocolVersion;
import io.lettuce.core.resource.ClientResources;
import io.lettuce.core.resource.DefaultClientResources;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.logging.Logger;
import willowdoor.net.Config;
import willowdoor.net.CounterStore;
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
 * Shared counts in Valkey or Redis: one script that adds and tells whose counts these are, over one pipelined
 * connection. Lettuce does the sockets on threads of its own; all state here is on the door's loop.
 *
 * <p>Two things tell other counts from those before. Each answer carries the epoch, a key that the script
 * makes where there is none: data that began anew has another. And {@link CounterWatch} adds to a name of
 * this door's: data that lacks some of that (a replica that was promoted without the last writes, a snapshot
 * that was loaded) is told by the next check, with how much is missing.
 *
 * <p>A call is made once at the most: nothing is sent again after a break, as an add may have been made.
 * Bounds: {@value #MOST_OUT} calls out, beyond which one ends as NOT_SENT; each ends at the limit.
 */
public final class ValkeyStore implements CounterStore {

  private static final Logger LOG = Logger.getLogger(ValkeyStore.class.getName());

  static final int MOST_OUT = 4_096;
  private static final long CONNECT_LIMIT_MS = 1_000;
  private static final double LEAST_BACKOFF_MS = 50;
  private static final double MOST_BACKOFF_MS = 1_000;
  /** A left address closes its connection after this; what is owed on it by then is given up before. */
  private static final long LEAVE_MS = 1_300;
  private static final long CLOSE_LIMIT_MS = 2_000;
  private static final String SCRIPT = script();

  /** What a call tells at its end; the total is NaN unless the status is OK. */
  private interface End {
    void told(Status status, double total);
  }

  private final EventLoop loop;
  private final DoubleSupplier clock;
  private final String door;
  private final Listener listener;
  private final ValkeySettings settings;
  private final double limitMs;
  private final ClientResources resources;
  private final RedisClient client;
  private InetSocketAddress address;
  private StatefulRedisConnection<String, String> connection;
  private String digest;
  private String epoch;
  private CounterWatch watch;
  private int watches;
  private int out;
  /** Makes each epoch that is proposed another one, also of one door to a server that began anew. */
  private long proposals;
  private double backoffMs = LEAST_BACKOFF_MS;
  /** Counts the addresses it was moved to; what began for another one is dropped. */
  private int moves;
  private volatile boolean closed;
  private boolean said;

  private ValkeyStore(EventLoop loop, DoubleSupplier clock, String door, Config config, Listener listener,
      ValkeySettings settings) {
    this.loop = loop;
    this.clock = clock;
    this.door = door;
    this.listener = listener;
    this.settings = settings;
    limitMs = config.settings().allowed().countLimitMs();
    address = config.counter();
    watch = new CounterWatch(door);
    resources = DefaultClientResources.builder().ioThreadPoolSize(2).computationThreadPoolSize(2).build();
    client = RedisClient.create(resources);
    client.setOptions(ClientOptions.builder().autoReconnect(false)
        .disconnectedBehavior(DisconnectedBehavior.REJECT_COMMANDS).requestQueueSize(MOST_OUT)
        .protocolVersion(ProtocolVersion.RESP2).timeoutOptions(TimeoutOptions.create())
        .socketOptions(SocketOptions.builder().connectTimeout(Duration.ofMillis(CONNECT_LIMIT_MS))
            .tcpNoDelay(true).build()).build());
  }

  /** Makes stores by such settings. */
  public static Maker maker(ValkeySettings settings) {
    return (loop, clock, door, config, listener) ->
        new ValkeyStore(loop, clock, door, config, listener, settings);
  }

  private static String script() {
    try (InputStream in = ValkeyStore.class.getResourceAsStream("add.lua")) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void start() {
    connect();
    loop.execute(() -> tell(new Woken()));
  }

  @Override
  public void moveTo(InetSocketAddress other) {
    if (other == null || other.equals(address)) {
      return;
    }
    address = other;
    moves++;
    StatefulRedisConnection<String, String> old = connection;
    connection = null;
    if (old != null) {
      loop.schedule(() -> end(old), LEAVE_MS, TimeUnit.MILLISECONDS);
    }
    backoffMs = LEAST_BACKOFF_MS;
    connect();
  }

  @Override
  public void close() {
    closed = true;
    client.shutdownAsync(0, CLOSE_LIMIT_MS, TimeUnit.MILLISECONDS)
        .whenComplete((done, e) -> resources.shutdown(0, CLOSE_LIMIT_MS, TimeUnit.MILLISECONDS));
  }

  private void connect() {
    int mine = moves;
    RedisURI.Builder uri = RedisURI.builder().withHost(address.getAddress().getHostAddress())
        .withPort(address.getPort()).withTimeout(Duration.ofMillis(CONNECT_LIMIT_MS));
    if (!settings.user().isEmpty()) {
      uri.withAuthentication(settings.user(), settings.password().toCharArray());
    } else if (!settings.password().isEmpty()) {
      uri.withPassword(settings.password().toCharArray());
    }
    client.connectAsync(StringCodec.UTF8, uri.build()).toCompletableFuture().whenComplete((made, e) -> {
      if (e != null) {
        onLoop(() -> failed(mine, e));
        return;
      }
      made.async().scriptLoad(SCRIPT).whenComplete((sha, bad) -> onLoop(() -> {
        if (bad != null || closed || mine != moves) {
          end(made);
          failed(mine, bad);
        } else {
          up(made, sha);
        }
      }));
    });
  }

  private static void end(StatefulRedisConnection<String, String> c) {
    if (c.isOpen()) {
      c.closeAsync();
    }
  }

  /** What comes after the loop has ended is of no use to anyone. */
  private void onLoop(Runnable what) {
    if (!loop.isShuttingDown()) {
      loop.execute(what);
    }
  }

  private void failed(int move, Throwable e) {
    if (closed || move != moves) {
      return;
    }
    if (!said) {
      said = true;
      LOG.warning("no connection to the counts at " + address + ": " + reason(e));
    }
    double wait = backoffMs * (0.5 + ThreadLocalRandom.current().nextDouble());
    backoffMs = Math.min(MOST_BACKOFF_MS, 2 * backoffMs);
    loop.schedule(() -> {
      if (!closed && move == moves) {
        connect();
      }
    }, (long) wait, TimeUnit.MILLISECONDS);
  }

  private static String reason(Throwable e) {
    Throwable cause = e;
    while (cause != null && cause.getCause() != null) {
      cause = cause.getCause();
    }
    return cause == null ? "it was closed" : String.valueOf(cause.getMessage());
  }

  private void up(StatefulRedisConnection<String, String> made, String sha) {
    connection = made;
    digest = sha;
    said = false;
    backoffMs = LEAST_BACKOFF_MS;
    int mine = moves;
    made.addListener(new RedisConnectionStateListener() {
      @Override
      public void onRedisDisconnected(RedisChannelHandler<?, ?> handler) {
        onLoop(() -> lost(made, mine));
      }
    });
    if (!made.isOpen()) {
      lost(made, mine);
      return;
    }
    tell(new Connected(0));
  }

  private void lost(StatefulRedisConnection<String, String> which, int move) {
    if (connection == which) {
      connection = null;
      failed(move, null);
    }
  }

  @Override
  public void add(String name, double amount, double ttlMs) {
    double begunAt = clock.getAsDouble();
    call(name, amount, ttlMs, (status, total) -> listener.counted(new Counted(name, status,
        status == Status.OK ? total : 0, clock.getAsDouble() - begunAt)));
  }

  /** Makes a call, whose end is told once: by its answer, by the break of its connection, or by the limit. */
  private void call(String name, double amount, double ttlMs, End end) {
    StatefulRedisConnection<String, String> used = connection;
    if (used == null || !used.isOpen()) {
      end.told(Status.UNREACHABLE, Double.NaN);
      return;
    }
    if (out >= MOST_OUT) {
      end.told(Status.NOT_SENT, Double.NaN);
      return;
    }
    out++;
    Once once = new Once(end);
    once.limit = loop.schedule(() -> once.ends(Status.TIMED_OUT, Double.NaN), (long) (limitMs * 1000),
        TimeUnit.MICROSECONDS);
    String[] keys = {settings.prefix() + ':' + name, settings.prefix() + "!epoch"};
    String[] values = {plain(amount), Long.toString(Math.max(1, (long) ttlMs)),
        door + '.' + proposals++};
    used.async().<List<Object>>evalsha(digest, ScriptOutputType.MULTI, keys, values)
        .whenComplete((answer, e) -> onLoop(() -> ended(used, once, answer, e)));
  }

  /** Tells an end once, and frees the call's place when its answer has come too, or never will. */
  private final class Once {
    private final End end;
    private Future<?> limit;
    private boolean told;

    Once(End end) {
      this.end = end;
    }

    void ends(Status status, double total) {
      if (!told) {
        told = true;
        limit.cancel(false);
        end.told(status, total);
      }
    }
  }

  private void ended(StatefulRedisConnection<String, String> used, Once once, List<Object> answer,
      Throwable e) {
    out--;
    if (e == null) {
      answered(once, answer);
    } else if (e instanceof RedisNoScriptException) {
      // Nothing ran: the scripts were flushed, or the server began anew behind a proxy.
      used.async().scriptLoad(SCRIPT);
      once.ends(Status.REJECTED, Double.NaN);
    } else if (e instanceof RedisCommandExecutionException) {
      if (!said) {
        said = true;
        LOG.warning("the counts at " + address + " refuse adds: " + e.getMessage());
      }
      once.ends(Status.REJECTED, Double.NaN);
    } else {
      once.ends(Status.RESET, Double.NaN);
    }
  }

  private void answered(Once once, List<Object> answer) {
    double total = Double.NaN;
    if (answer.size() == 2 && answer.get(0) instanceof String text) {
      try {
        total = Double.parseDouble(text);
      } catch (NumberFormatException junk) {
        total = Double.NaN;
      }
    }
    if (!Double.isFinite(total)) {
      once.ends(Status.SPOILT, Double.NaN);
      return;
    }
    said = false;
    String told = String.valueOf(answer.get(1));
    if (epoch != null && !epoch.equals(told)) {
      LOG.info("other counts answer than before: epoch " + told + " after " + epoch);
      epoch = told;
      // The watch would tell of the same once more: a new one begins at these counts.
      watch = new CounterWatch(door + 'w' + ++watches);
      listener.replaced(Double.NEGATIVE_INFINITY);
      tell(new Woken());
    }
    epoch = told;
    once.ends(Status.OK, total);
  }

  private void tell(WatchEvent event) {
    tell(watch, event);
  }

  private void tell(CounterWatch told, WatchEvent event) {
    if (told != watch || closed) {
      return;
    }
    for (WatchAction action : told.on(clock.getAsDouble(), event)) {
      if (action instanceof Check c) {
        call(c.name(), c.amount(), c.ttlMs(), (status, total) -> loop.execute(() ->
            tell(told, new CheckEnded(c.number(), status == Status.OK ? total : Double.NaN))));
      } else if (action instanceof Replaced r) {
        LOG.info("other counts answer than before (" + r.origin() + ")");
        listener.replaced(r.lostSinceMs());
      } else if (action instanceof WakeAt w) {
        loop.schedule(() -> tell(told, new Woken()), (long) Math.max(1, w.atMs() - clock.getAsDouble()),
            TimeUnit.MILLISECONDS);
      }
    }
  }

  /** Decimal digits without an exponent. */
  private static String plain(double amount) {
    return BigDecimal.valueOf(amount).setScale(6, RoundingMode.HALF_UP).stripTrailingZeros().toPlainString();
  }
}
