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
import willowdoor.policy.GatewayApi.BackendEntry;
import willowdoor.policy.GatewayApi.Phase;
import willowdoor.policy.GatewayApi.Status;

/** The connections to the backends, and the attempts on them. It picks no backend and repeats nothing. */
final class BackendPool {

  /** An idle connection is retired at this share of the backends' own limit, well before they close it. */
  private static final double RETIRE_SHARE = 0.6;
  /**
   * A connection is used again only when it has been quiet for this long after an answer. Guards against a
   * second copy just behind, which nothing but the moment of its coming tells from the next answer.
   */
  private static final double SETTLE_MS = 4;
  private static final long SWEEP_INTERVAL_MS = 500;

  /** One backend's place and connections. */
  static final class Backend {
    InetSocketAddress address;
    private double startedMs;
    private boolean removed;
    /** The last one in was used last, and is used next: the others grow old and are retired. */
    private final ArrayDeque<BackendConnection> idle = new ArrayDeque<>();
    private final Set<Attempt> connecting = new HashSet<>();
  }

  private final EventLoop loop;
  private final Clock clock;
  private final Dialer dialer;
  private final double retireAfterMs;
  private final Places places;
  private final Map<Long, Backend> backends = new HashMap<>();

  BackendPool(EventLoop loop, Clock clock, Dialer dialer, double idleLimitMs, Places places) {
    this.loop = loop;
    this.clock = clock;
    this.retireAfterMs = idleLimitMs * RETIRE_SHARE;
    this.places = places;
    this.dialer = dialer;
    loop.scheduleWithFixedDelay(this::retireIdle, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
  }

  /** Takes the places that discovery tells; backends that drain or are gone lose their unused connections. */
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
        List.copyOf(backend.idle).forEach(BackendConnection::close);
        backend.address = address;
        backend.startedMs = entry.startedMs();
      }
    }
    if (update.full()) {
      List.copyOf(backends.keySet()).stream().filter(id -> !listedIds.contains(id)).forEach(this::remove);
    }
  }

  /** Guards the rule on drains: an attempt that still waits for its connection is not written any more. */
  private void remove(long id) {
    Backend backend = backends.remove(id);
    if (backend != null) {
      backend.removed = true;
      List.copyOf(backend.idle).forEach(BackendConnection::close);
      List.copyOf(backend.connecting).forEach(a -> a.abandon(Status.NOT_SENT));
    }
  }

  double now() {
    return clock.now();
  }

  boolean hasBackends() {
    return !backends.isEmpty();
  }

  /** Starts an attempt on an idle connection, or on a new one. */
  void start(long id, Attempt attempt) {
    Backend backend = backends.get(id);
    if (backend == null) {
      attempt.end(Status.NOT_SENT, null);
      return;
    }
    long timeoutMicros = Math.max(0, (long) ((attempt.deadlineMs - clock.now()) * 1000));
    attempt.timer = loop
        .schedule(() -> attempt.abandon(attempt.statusOnTimeout()), timeoutMicros, TimeUnit.MICROSECONDS);
    BackendConnection connection = takeIdle(backend);
    if (connection != null) {
      connection.start(attempt);
    } else if (!places.roomForBackend() && !closeAnyIdle()) {
      attempt.end(Status.NOT_SENT, null);
    } else {
      connect(backend, attempt);
    }
  }

  /** The connection used last, if it has settled, and not so long ago that the backend may be closing it. */
  private BackendConnection takeIdle(Backend backend) {
    double now = clock.now();
    BackendConnection found = null;
    for (Iterator<BackendConnection> i = backend.idle.descendingIterator(); found == null && i.hasNext();) {
      BackendConnection candidate = i.next();
      if (candidate.idleSinceMs < now - SETTLE_MS) {
        i.remove();
        if (candidate.isActive() && candidate.idleSinceMs >= now - retireAfterMs) {
          found = candidate;
        } else {
          candidate.close();
        }
      }
    }
    return found;
  }

  private void connect(Backend backend, Attempt attempt) {
    places.backend(1);
    RequestLog.note(attempt.requestId(), "connecting");
    backend.connecting.add(attempt);
    ResponseDecoder decoder = new ResponseDecoder();
    BackendConnection connection = new BackendConnection(this, backend, decoder);
    ChannelFuture connected = dialer.dial(backend.address, new ChannelInitializer<Channel>() {
      @Override
      protected void initChannel(Channel channel) {
        channel.pipeline().addLast(decoder, new HttpRequestEncoder(), connection);
      }
    });
    connected.addListener((ChannelFuture f) -> {
      backend.connecting.remove(attempt);
      RequestLog.note(attempt.requestId(), "connected", "up", f.isSuccess(), "attempt_over", attempt.ended());
      if (f.isSuccess()) {
        connection.start(attempt);
      } else {
        attempt.end(connectFailureStatus(f.cause()), null);
      }
    });
    connected.channel().closeFuture().addListener(f -> places.backend(-1));
  }

  /**
   * A reset shows that something lives there, which took the connection and dropped it: BROKEN. Guards
   * against taking live backends for restarted ones, whatever resets: their full tables, a box between, a
   * slow loop that first looks when all is over. Harm: a machine that comes back and resets what was under
   * way meanwhile is met once more before a refusal, or the list, tells of its restart.
   */
  private static Status connectFailureStatus(Throwable cause) {
    return String.valueOf(cause.getMessage()).contains("reset") ? Status.BROKEN : Status.UNREACHABLE;
  }

  /** What is written of an attempt now: the backend is told the time that is left now. */
  static FullHttpRequest requestFor(Attempt attempt, double nowMs) {
    FullHttpRequest request = attempt.message.retainedDuplicate();
    request.headers().set(Headers.TIMEOUT_MS, Long.toString((long) Math.ceil(attempt.deadlineMs - nowMs)));
    return request;
  }

  void release(BackendConnection connection) {
    if (!connection.backend.removed && connection.backend.address.equals(connection.address)) {
      connection.idleSinceMs = clock.now();
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
