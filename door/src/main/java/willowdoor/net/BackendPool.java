package willowdoor.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import willowdoor.management.ConnectAttempt;
import willowdoor.memory.MemoryBudget;
import willowdoor.policy.GatewayApi.BackendEntry;
import willowdoor.policy.GatewayApi.Phase;
import willowdoor.policy.GatewayApi.Status;
import willowdoor.policy.ReuseGuard;

/**
 * The pool of connections to the backends; runs attempts on them. The choice of the backend and all retries
 * are decided by the policy.
 */
final class BackendPool {

  /**
   * Share of the backends' idle limit after which an idle connection is closed, well before they close it.
   */
  private static final double RETIRE_SHARE = 0.6;
  private static final long SWEEP_INTERVAL_MS = 500;

  /** Address and connections of one backend. */
  static final class Backend {
    InetSocketAddress address;
    private double startedMs;
    private boolean removed;
    /**
     * Ordered by release. The last one is reused first, so that surplus connections stay idle and are
     * retired.
     */
    private final ArrayDeque<BackendConnection> idle = new ArrayDeque<>();
    private final Set<Attempt> connecting = new HashSet<>();

    double startedMs() {
      return startedMs;
    }

    /** Whether the connection leads to this backend as it is listed now. */
    private boolean isReachedBy(BackendConnection connection) {
      return !removed && address.equals(connection.address) && startedMs == connection.startedMs;
    }

    /** Whether this is the backend that was decided for, by its start, and the connection leads to it. */
    boolean isAsDecided(double decidedStartedMs, BackendConnection connection) {
      return isReachedBy(connection) && startedMs == decidedStartedMs;
    }
  }

  private final EventLoop loop;
  private final Clock clock;
  private final Dialer dialer;
  private final double retireAfterMs;
  private final ConnectionBudget places;
  private final MemoryBudget memory;
  private final ReuseGuard reuse = new ReuseGuard();
  private final Map<Long, Backend> backends = new HashMap<>();

  BackendPool(EventLoop loop, Clock clock, Dialer dialer, double idleLimitMs, ConnectionBudget places,
      MemoryBudget memory) {
    this.loop = loop;
    this.clock = clock;
    this.retireAfterMs = idleLimitMs * RETIRE_SHARE;
    this.places = places;
    this.memory = memory;
    this.dialer = dialer;
    loop.scheduleWithFixedDelay(this::retireIdle, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
  }

  /**
   * Applies a roster update. Idle connections are closed, and attempts that still wait for their connection
   * are withdrawn, when their backend drains, is removed, has moved to another address or has restarted.
   */
  void onRoster(EndpointUpdate update) {
    Set<Long> listedIds = new HashSet<>();
    for (BackendEntry entry : update.entries()) {
      listedIds.add(entry.id());
      if (entry.phase() != Phase.SERVING) {
        remove(entry.id());
        continue;
      }
      Backend backend = backends.computeIfAbsent(entry.id(), id -> new Backend());
      InetSocketAddress address = update.addresses().get(entry.id());
      if (!address.equals(backend.address) || backend.startedMs != entry.startedMs()) {
        withdraw(backend);
        backend.address = address;
        backend.startedMs = entry.startedMs();
      }
    }
    if (update.full()) {
      List.copyOf(backends.keySet()).stream().filter(id -> !listedIds.contains(id)).forEach(this::remove);
    }
  }

  private void remove(long id) {
    Backend backend = backends.remove(id);
    if (backend != null) {
      backend.removed = true;
      withdraw(backend);
    }
  }

  /** Closes the backend's idle connections, and ends the attempts that wait for a connection to it. */
  private static void withdraw(Backend backend) {
    List.copyOf(backend.idle).forEach(BackendConnection::close);
    List.copyOf(backend.connecting).forEach(a -> a.abandon(Status.NOT_SENT));
  }

  double now() {
    return clock.now();
  }

  /** The budget of all that peers make the process hold. */
  MemoryBudget memory() {
    return memory;
  }

  boolean hasBackends() {
    return !backends.isEmpty();
  }

  /**
   * Starts an attempt on an idle connection, or on a new one; called behind all that the sockets had to tell
   * when the attempt was decided. The attempt ends as NOT_SENT if the backend is not in the roster or no
   * further connection may be opened.
   */
  void start(long id, Attempt attempt) {
    checkLimit(attempt);
    onceClientIsRead(attempt, () -> startNow(id, attempt));
  }

  /** Runs the step once the attempt's client has nothing unread left, as the client's end comes last. */
  private void onceClientIsRead(Attempt attempt, Runnable step) {
    if (!attempt.ended() && attempt.awaitsClientInput()) {
      loop.schedule(() -> onceClientIsRead(attempt, step), UnreadInput.CHECK_INTERVAL_MS,
          TimeUnit.MILLISECONDS);
    } else {
      step.run();
    }
  }

  private void startNow(long id, Attempt attempt) {
    Backend backend = backends.get(id);
    if (attempt.ended()) {
      return;
    }
    if (backend == null) {
      attempt.end(Status.NOT_SENT, null);
      return;
    }
    BackendConnection connection = takeIdle(backend);
    if (connection != null) {
      connection.start(attempt);
    } else if (!places.hasRoomForBackend() && !closeAnyIdle()) {
      attempt.end(Status.NOT_SENT, null);
    } else {
      connect(backend, attempt);
    }
  }

  /** Ends the attempt if its limit has passed, and otherwise checks again then. */
  private void checkLimit(Attempt attempt) {
    double leftMs = attempt.limitMs() - clock.now();
    if (attempt.timer != null && leftMs <= 0) {
      attempt.onTimeUp();
    } else if (!attempt.ended()) {
      attempt.timer = loop.schedule(() -> checkLimit(attempt), (long) Math.max(0, Math.ceil(leftMs * 1000)),
          TimeUnit.MICROSECONDS);
    }
  }

  /** Called with a connection on which something came that nobody had asked for. */
  void onUnsolicited(BackendConnection connection) {
    double now = clock.now();
    RequestLog.note(null, "unsolicited input", "after_ms", now - connection.idleSinceMs);
    reuse.onUnsolicited(now, now - connection.idleSinceMs);
  }

  /**
   * Takes the most recently used connection that has been quiet for as long as {@link ReuseGuard} wants, or
   * returns null. Connections on the way that are closed, hold input that nobody asked for, or are idle for
   * so long that the backend may be closing them, are discarded.
   */
  private BackendConnection takeIdle(Backend backend) {
    double now = clock.now();
    BackendConnection found = null;
    for (Iterator<BackendConnection> i = backend.idle.descendingIterator(); found == null && i.hasNext();) {
      BackendConnection candidate = i.next();
      if (candidate.idleSinceMs < now - reuse.quietMs(now)) {
        i.remove();
        Transport.Unread unread = candidate.unread();
        if (unread == Transport.Unread.NOTHING && candidate.idleSinceMs >= now - retireAfterMs) {
          reuse.onQuiet();
          found = candidate;
        } else {
          if (unread == Transport.Unread.BYTES) {
            onUnsolicited(candidate);
          }
          candidate.close();
        }
      }
    }
    return found;
  }

  private void connect(Backend backend, Attempt attempt) {
    places.addBackends(1);
    RequestLog.note(attempt.requestId(), "connecting");
    backend.connecting.add(attempt);
    ResponseDecoder decoder = new ResponseDecoder();
    TurnLimitHandler input = new TurnLimitHandler();
    BackendConnection connection = new BackendConnection(this, backend, input, decoder);
    ChannelFuture connected = dialer.dial(backend.address, new ChannelInitializer<Channel>() {
      @Override
      protected void initChannel(Channel channel) {
        channel.pipeline().addLast(input, decoder, new HttpRequestEncoder(), connection);
      }
    });
    ConnectAttempt.onDone(loop, connected, () -> {
      backend.connecting.remove(attempt);
      boolean up = connected.isSuccess();
      RequestLog.note(attempt.requestId(), "connected", "up", up, "attempt_over", attempt.ended());
      if (up) {
        // Behind what the client's socket has to tell at this moment, as in the start.
        loop.execute(() -> onceClientIsRead(attempt, () -> connection.start(attempt)));
      } else {
        attempt.end(connectFailureStatus(connected), null);
      }
    });
    ConnectAttempt.onClosed(loop, connected, () -> places.addBackends(-1));
  }

  /**
   * Returns NOT_SENT for a failure of this machine, BROKEN for a reset, UNREACHABLE for any other failure to
   * connect. A reset shows that a host
   * accepted the connection and dropped it. A running backend must not be taken for a restarted one,
   * whatever causes the reset: full connection tables at the backend, a middlebox, or an event loop here so
   * late that it sees the connection only after the reset. Drawback: a host that restarts, and resets
   * connections that were being opened meanwhile, gets one more attempt before a refused connection or the
   * roster shows its restart.
   */
  private static Status connectFailureStatus(ChannelFuture failed) {
    if (ConnectAttempt.isLocalFailure(failed)) {
      return Status.NOT_SENT;
    }
    String cause = String.valueOf(failed.cause().getMessage());
    return cause.contains("reset") ? Status.BROKEN : Status.UNREACHABLE;
  }

  /**
   * Returns the attempt's request as it is written at this moment, with the time left in its timeout
   * header.
   */
  static FullHttpRequest requestFor(Attempt attempt, double nowMs) {
    FullHttpRequest request = attempt.message.retainedDuplicate();
    request.headers().set(Headers.TIMEOUT_MS, Long.toString((long) Math.ceil(attempt.deadlineMs - nowMs)));
    return request;
  }

  void release(BackendConnection connection) {
    if (connection.backend.isReachedBy(connection)) {
      connection.backend.idle.addLast(connection);
    } else {
      connection.close();
    }
  }

  void onClosed(BackendConnection connection) {
    connection.backend.idle.remove(connection);
  }

  private void retireIdle() {
    double idleBeforeMs = clock.now() - retireAfterMs;
    for (Backend backend : backends.values()) {
      while (!backend.idle.isEmpty() && backend.idle.peekFirst().idleSinceMs < idleBeforeMs) {
        backend.idle.pollFirst().close();
      }
    }
  }

  private boolean closeAnyIdle() {
    for (Backend backend : backends.values()) {
      BackendConnection connection = backend.idle.pollFirst();
      if (connection != null) {
        connection.close();
        return true;
      }
    }
    return false;
  }
}
