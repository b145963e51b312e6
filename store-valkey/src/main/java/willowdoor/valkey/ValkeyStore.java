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
 * Shared counters in Valkey or Redis. One script adds to a counter and returns the epoch of the data, over
 * one pipelined connection. Lettuce handles the sockets on its own threads; all state of this class is
 * confined to the door's event loop.
 *
 * <p>Replaced data is detected in two ways. Each answer carries the epoch, a key that the script creates
 * where there is none, so a data set that started empty has another epoch. And {@link CounterWatch} adds to a
 * counter of this door: its next check detects data that lacks some of these additions (a replica that was
 * promoted without the last writes, or a loaded snapshot), and tells since when additions are missing.
 *
 * <p>A call is made at most once: nothing is sent again after a disconnect, because the add may already have
 * been made. At most {@value #MAX_OUTSTANDING_CALLS} calls are outstanding; further calls end as NOT_SENT.
 * Each call ends at its time limit at the latest.
 */
public final class ValkeyStore implements CounterStore {

  private static final Logger LOG = Logger.getLogger(ValkeyStore.class.getName());

  static final int MAX_OUTSTANDING_CALLS = 4_096;
  private static final long CONNECT_LIMIT_MS = 1_000;
  private static final double MIN_BACKOFF_MS = 50;
  private static final double MAX_BACKOFF_MS = 1_000;
  /** Delay until the connection to a previous address is closed; the calls on it have timed out by then. */
  private static final long OLD_CONNECTION_CLOSE_MS = 1_300;
  private static final long SHUTDOWN_LIMIT_MS = 2_000;
  private static final String SCRIPT = loadScript();

  /** Receives the end of a call; the total is NaN unless the status is OK. */
  private interface CallListener {
    void onEnd(Status status, double total);
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
  private String scriptDigest;
  private String epoch;
  private CounterWatch watch;
  private int watchCount;
  private int outstandingCalls;
  /** Makes each proposed epoch unique, also when one door proposes one to a restarted server again. */
  private long proposals;
  private double backoffMs = MIN_BACKOFF_MS;
  /** Number of address changes; connection attempts begun before the last change are dropped. */
  private int moveCount;
  private volatile boolean closed;
  private boolean failureLogged;

  private ValkeyStore(EventLoop loop, DoubleSupplier clock, String door, Config config, Listener listener,
      ValkeySettings settings) {
    this.loop = loop;
    this.clock = clock;
    this.door = door;
    this.listener = listener;
    this.settings = settings;
    limitMs = config.settings().capabilities().counterTimeoutMs();
    address = config.counter();
    watch = new CounterWatch(door);
    resources = DefaultClientResources.builder().ioThreadPoolSize(2).computationThreadPoolSize(2).build();
    client = RedisClient.create(resources);
    client.setOptions(ClientOptions.builder().autoReconnect(false)
        .disconnectedBehavior(DisconnectedBehavior.REJECT_COMMANDS).requestQueueSize(MAX_OUTSTANDING_CALLS)
        .protocolVersion(ProtocolVersion.RESP2).timeoutOptions(TimeoutOptions.create())
        .socketOptions(SocketOptions.builder().connectTimeout(Duration.ofMillis(CONNECT_LIMIT_MS))
            .tcpNoDelay(true).build()).build());
  }

  /** Returns a factory of stores with these settings. */
  public static Maker maker(ValkeySettings settings) {
    return (loop, clock, door, config, listener) ->
        new ValkeyStore(loop, clock, door, config, listener, settings);
  }

  private static String loadScript() {
    try (InputStream in = ValkeyStore.class.getResourceAsStream("add.lua")) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void start() {
    connect();
    loop.execute(() -> notifyWatch(new Woken()));
  }

  @Override
  public void moveTo(InetSocketAddress newAddress) {
    if (newAddress == null || newAddress.equals(address)) {
      return;
    }
    address = newAddress;
    moveCount++;
    StatefulRedisConnection<String, String> old = connection;
    connection = null;
    if (old != null) {
      loop.schedule(() -> closeConnection(old), OLD_CONNECTION_CLOSE_MS, TimeUnit.MILLISECONDS);
    }
    backoffMs = MIN_BACKOFF_MS;
    connect();
  }

  @Override
  public void close() {
    closed = true;
    client.shutdownAsync(0, SHUTDOWN_LIMIT_MS, TimeUnit.MILLISECONDS)
        .whenComplete((done, e) -> resources.shutdown(0, SHUTDOWN_LIMIT_MS, TimeUnit.MILLISECONDS));
  }

  private void connect() {
    int move = moveCount;
    RedisURI.Builder uri = RedisURI.builder().withHost(address.getAddress().getHostAddress())
        .withPort(address.getPort()).withTimeout(Duration.ofMillis(CONNECT_LIMIT_MS));
    if (!settings.user().isEmpty()) {
      uri.withAuthentication(settings.user(), settings.password().toCharArray());
    } else if (!settings.password().isEmpty()) {
      uri.withPassword(settings.password().toCharArray());
    }
    client.connectAsync(StringCodec.UTF8, uri.build()).toCompletableFuture().whenComplete((made, e) -> {
      if (e != null) {
        runOnLoop(() -> connectionFailed(move, e));
        return;
      }
      made.async().scriptLoad(SCRIPT).whenComplete((sha, bad) -> runOnLoop(() -> {
        if (bad != null || closed || move != moveCount) {
          closeConnection(made);
          connectionFailed(move, bad);
        } else {
          connected(made, sha);
        }
      }));
    });
  }

  private static void closeConnection(StatefulRedisConnection<String, String> connection) {
    if (connection.isOpen()) {
      connection.closeAsync();
    }
  }

  /** Runs a task on the event loop; drops it if the loop is shutting down. */
  private void runOnLoop(Runnable task) {
    if (!loop.isShuttingDown()) {
      loop.execute(task);
    }
  }

  private void connectionFailed(int move, Throwable e) {
    if (closed || move != moveCount) {
      return;
    }
    if (!failureLogged) {
      failureLogged = true;
      LOG.warning("cannot connect to the counter store at " + address + ": " + reason(e));
    }
    double waitMs = backoffMs * (0.5 + ThreadLocalRandom.current().nextDouble());
    backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
    loop.schedule(() -> {
      if (!closed && move == moveCount) {
        connect();
      }
    }, (long) waitMs, TimeUnit.MILLISECONDS);
  }

  private static String reason(Throwable e) {
    Throwable cause = e;
    while (cause != null && cause.getCause() != null) {
      cause = cause.getCause();
    }
    return cause == null ? "the connection was closed" : String.valueOf(cause.getMessage());
  }

  private void connected(StatefulRedisConnection<String, String> newConnection, String loadedDigest) {
    connection = newConnection;
    scriptDigest = loadedDigest;
    failureLogged = false;
    backoffMs = MIN_BACKOFF_MS;
    int move = moveCount;
    newConnection.addListener(new RedisConnectionStateListener() {
      @Override
      public void onRedisDisconnected(RedisChannelHandler<?, ?> handler) {
        runOnLoop(() -> disconnected(newConnection, move));
      }
    });
    if (!newConnection.isOpen()) {
      disconnected(newConnection, move);
      return;
    }
    notifyWatch(new Connected(0));
  }

  private void disconnected(StatefulRedisConnection<String, String> lostConnection, int move) {
    if (connection == lostConnection) {
      connection = null;
      connectionFailed(move, null);
    }
  }

  @Override
  public void add(String name, double amount, double ttlMs) {
    double startedMs = clock.getAsDouble();
    call(name, amount, ttlMs, (status, total) -> listener.counted(new Counted(name, status,
        status == Status.OK ? total : 0, clock.getAsDouble() - startedMs)));
  }

  /** Starts a call. Its listener is called once: on the answer, on a disconnect or at the time limit. */
  private void call(String name, double amount, double ttlMs, CallListener listener) {
    StatefulRedisConnection<String, String> usedConnection = connection;
    if (usedConnection == null || !usedConnection.isOpen()) {
      listener.onEnd(Status.UNREACHABLE, Double.NaN);
      return;
    }
    if (outstandingCalls >= MAX_OUTSTANDING_CALLS) {
      listener.onEnd(Status.NOT_SENT, Double.NaN);
      return;
    }
    outstandingCalls++;
    PendingCall pendingCall = new PendingCall(listener);
    pendingCall.timeout =
        loop.schedule(() -> pendingCall.complete(Status.TIMED_OUT, Double.NaN), (long) (limitMs * 1000),
        TimeUnit.MICROSECONDS);
    String[] keys = {settings.prefix() + ':' + name, settings.prefix() + "!epoch"};
    String[] arguments = {plainDecimal(amount), Long.toString(Math.max(1, (long) ttlMs)),
        door + '.' + proposals++};
    usedConnection.async().<List<Object>>evalsha(scriptDigest, ScriptOutputType.MULTI, keys, arguments)
        .whenComplete((answer, e) -> runOnLoop(() -> onReply(usedConnection, pendingCall, answer, e)));
  }

  /**
   * A call in progress; its listener is called once only. The call counts as outstanding until Lettuce
   * completes it, which may be after its timeout.
   */
  private final class PendingCall {
    private final CallListener listener;
    private Future<?> timeout;
    private boolean completed;

    PendingCall(CallListener listener) {
      this.listener = listener;
    }

    void complete(Status status, double total) {
      if (!completed) {
        completed = true;
        timeout.cancel(false);
        listener.onEnd(status, total);
      }
    }
  }

  private void onReply(StatefulRedisConnection<String, String> usedConnection, PendingCall pendingCall,
      List<Object> answer,
      Throwable e) {
    outstandingCalls--;
    if (e == null) {
      onAnswer(pendingCall, answer);
    } else if (e instanceof RedisNoScriptException) {
      // Nothing ran: the scripts were flushed, or the server restarted behind a proxy.
      usedConnection.async().scriptLoad(SCRIPT);
      pendingCall.complete(Status.REJECTED, Double.NaN);
    } else if (e instanceof RedisCommandExecutionException) {
      if (!failureLogged) {
        failureLogged = true;
        LOG.warning("the counter store at " + address + " rejects adds: " + e.getMessage());
      }
      pendingCall.complete(Status.REJECTED, Double.NaN);
    } else {
      pendingCall.complete(Status.RESET, Double.NaN);
    }
  }

  private void onAnswer(PendingCall pendingCall, List<Object> answer) {
    double total = Double.NaN;
    if (answer.size() == 2 && answer.get(0) instanceof String text) {
      try {
        total = Double.parseDouble(text);
      } catch (NumberFormatException junk) {
        total = Double.NaN;
      }
    }
    if (!Double.isFinite(total)) {
      pendingCall.complete(Status.SPOILT, Double.NaN);
      return;
    }
    failureLogged = false;
    String answeredEpoch = String.valueOf(answer.get(1));
    if (epoch != null && !epoch.equals(answeredEpoch)) {
      LOG.info("other counts answer than before: epoch " + answeredEpoch + " after " + epoch);
      epoch = answeredEpoch;
      // The old watch would report this replacement again: start a new one on the new data.
      watch = new CounterWatch(door + 'w' + ++watchCount);
      listener.replaced(Double.NEGATIVE_INFINITY);
      notifyWatch(new Woken());
    }
    epoch = answeredEpoch;
    pendingCall.complete(Status.OK, total);
  }

  private void notifyWatch(WatchEvent event) {
    notifyWatch(watch, event);
  }

  private void notifyWatch(CounterWatch target, WatchEvent event) {
    if (target != watch || closed) {
      return;
    }
    for (WatchAction action : target.on(clock.getAsDouble(), event)) {
      if (action instanceof Check c) {
        call(c.name(), c.amount(), c.ttlMs(), (status, total) -> loop.execute(() ->
            notifyWatch(target, new CheckEnded(c.number(), status == Status.OK ? total : Double.NaN))));
      } else if (action instanceof Replaced r) {
        LOG.info("other counts answer than before (" + r.origin() + ")");
        listener.replaced(r.lostSinceMs());
      } else if (action instanceof WakeAt w) {
        loop.schedule(() -> notifyWatch(target, new Woken()),
            (long) Math.max(1, w.atMs() - clock.getAsDouble()),
            TimeUnit.MILLISECONDS);
      }
    }
  }

  /** Formats an amount as decimal digits without an exponent. */
  private static String plainDecimal(double amount) {
    return BigDecimal.valueOf(amount).setScale(6, RoundingMode.HALF_UP).stripTrailingZeros().toPlainString();
  }
}
