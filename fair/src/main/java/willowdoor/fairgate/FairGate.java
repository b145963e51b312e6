package willowdoor.fairgate;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.ToDoubleFunction;
import java.util.logging.Logger;
import willowdoor.fairness.FairAction;
import willowdoor.fairness.FairAction.Advise;
import willowdoor.fairness.FairAction.Refuse;
import willowdoor.fairness.FairAction.Release;
import willowdoor.fairness.FairAction.WakeAt;
import willowdoor.fairness.FairAction.RefusalReason;
import willowdoor.fairness.FairCounts;
import willowdoor.fairness.FairEvent;
import willowdoor.fairness.FairEvent.Arrived;
import willowdoor.fairness.FairEvent.Draining;
import willowdoor.fairness.FairEvent.Ended;
import willowdoor.fairness.FairEvent.Refusing;
import willowdoor.fairness.FairEvent.Result;
import willowdoor.fairness.FairEvent.FirmShare;
import willowdoor.fairness.FairEvent.Woken;
import willowdoor.fairness.FairQueue;
import willowdoor.fairness.FairSettings;
import willowdoor.net.RequestFilter;
import willowdoor.policy.GatewayApi.Request;
import willowdoor.policy.GatewayApi.RequestClass;
import willowdoor.policy.GatewayApi.Settings;

/**
 * Passes requests to a {@link FairQueue} and applies its decisions to their passages. Runs on the door's
 * event loop only. Actions that result while another action is executed are queued, so that a burst of
 * releases that are all refused at once is handled iteratively, not recursively.
 */
public final class FairGate implements RequestFilter {

  /** How the clients of a firm are distinguished. */
  public enum ClientBy { ADDRESS, CONNECTION, HEADER }

  /** A request from its arrival to its end. */
  private final class QueuedEntry implements FilteredRequest {
    private final Request request;
    private final Continuation passage;
    private boolean quotaSpent;
    private double chargedUnits;

    QueuedEntry(Request request, Continuation passage) {
      this.request = request;
      this.passage = passage;
    }

    @Override
    public void onUnitsCharged(double units) {
      chargedUnits = units;
    }

    @Override
    public double adviseHoldOff(boolean ofFirm, double holdOffMs) {
      quotaSpent = ofFirm;
      if (ofFirm) {
        updateFirmShare(request);
      }
      double adviceMs = holdOffMs;
      for (FairAction a : queue.on(clock.getAsDouble(), new Refusing(request.id(), ofFirm, holdOffMs))) {
        if (a instanceof Advise advise) {
          adviceMs = advise.comeBackMs();
        } else {
          pendingActions.add(a);
        }
      }
      executePending();
      return advisesHoldOff ? adviceMs : holdOffMs;
    }

    @Override
    public void onEnd(RequestEnd end) {
      entriesById.remove(request.id());
      handle(new Ended(request.id(), switch (end) {
        case SERVED -> Result.SERVED;
        case FAILED -> Result.FAILED;
        case LEFT -> Result.LEFT;
        case REFUSED, ANSWERED_HERE -> quotaSpent ? Result.SPENT : Result.REFUSED;
      }, chargedUnits));
    }
  }

  private static final Logger LOG = Logger.getLogger(FairGate.class.getName());
  /** Interval at which the counters are logged, if they have changed. */
  private static final long COUNTS_LOG_INTERVAL_S = 10;

  /**
   * Minimum time between two updates of a firm's share on a refusal by the queue; all firms share this limit,
   * so the firms that are refused most are updated most.
   */
  private static final double SHARE_UPDATE_INTERVAL_MS = 20;

  private final EventLoop loop;
  private final DoubleSupplier clock;
  private final FairQueue queue;
  private final Map<String, RequestClass> classes = new HashMap<>();
  private final ClientBy clientBy;
  private final String header;
  private final boolean advisesHoldOff;
  private final ToDoubleFunction<Request> firmShare;
  private final Map<String, QueuedEntry> entriesById = new HashMap<>();
  private final ArrayDeque<FairAction> pendingActions = new ArrayDeque<>();
  private boolean executing;
  private Future<?> wakeUp;
  private FairCounts loggedCounts;
  private double shareUpdatedMs = Double.NEGATIVE_INFINITY;

  /**
   * Creates a gate for the door's event loop.
   *
   * @param clock monotonic clock of the door, in milliseconds
   * @param firmShare the part of a request's firm's use that comes through this door, from 0 to 1
   * @param header name of the header that identifies a client, with {@link ClientBy#HEADER}
   */
  public FairGate(EventLoop loop, DoubleSupplier clock, Settings settings, FairSettings fair,
      ToDoubleFunction<Request> firmShare, ClientBy clientBy, String header) {
    this.loop = loop;
    this.clock = clock;
    this.firmShare = firmShare;
    this.clientBy = clientBy;
    this.header = header;
    queue = new FairQueue(fair);
    advisesHoldOff = settings.capabilities().mayAdviseRetry();
    settings.classes().forEach(c -> classes.put(c.name(), c));
    loop.scheduleAtFixedRate(this::logCounts, COUNTS_LOG_INTERVAL_S, COUNTS_LOG_INTERVAL_S, TimeUnit.SECONDS);
  }

  private void logCounts() {
    FairCounts counts = queue.counts();
    if (!counts.equals(loggedCounts)) {
      loggedCounts = counts;
      LOG.info(() -> "fair queue: " + counts.summary());
    }
  }

  /** Counters and state of the queue; to be called on the event loop. */
  public FairCounts counts() {
    return queue.counts();
  }

  @Override
  public boolean appliesTo(Request request) {
    return true;
  }

  /** False: the queue also promises come-back times for requests that the quota refuses. */
  @Override
  public boolean wantsQuotaPrecheck() {
    return false;
  }

  @Override
  public void setDraining(boolean on) {
    handle(new Draining(on));
    logCounts();
  }

  @Override
  public FilteredRequest filter(Request request, FullHttpRequest message, Origin origin,
      Continuation passage) {
    QueuedEntry entry = new QueuedEntry(request, passage);
    entriesById.put(request.id(), entry);
    double nowMs = clock.getAsDouble();
    RequestClass requestClass = classes.get(request.className());
    double aimMs = requestClass == null || requestClass.aimMs() <= 0 ? request.giveUpMs() - nowMs
        : requestClass.aimMs();
    double usefulUntilMs = requestClass != null && requestClass.lateValue() <= 0
        ? Math.min(request.giveUpMs(), nowMs + aimMs)
        : request.giveUpMs();
    handle(new Arrived(request.id(), request.className(), request.planName(), request.customer(),
        clientKey(origin), request.entryPoints(), request.units(), message.content().readableBytes(),
        usefulUntilMs, aimMs));
    return entry;
  }

  /**
   * Key of the client within its firm. Never 0, which means an unknown client; clients with the same hash
   * share a flow.
   */
  private long clientKey(Origin origin) {
    SocketAddress source = origin.remoteAddress();
    Object key = clientBy == ClientBy.HEADER ? origin.headers().get(header)
        : clientBy == ClientBy.ADDRESS && source instanceof InetSocketAddress a ? a.getAddress() : source;
    return key == null ? 1 : (key.hashCode() & 0xFFFF_FFFFL) + 1;
  }

  /**
   * Reports the firm's current share at this door to the queue; the share changes while the firm is paced
   * here.
   */
  private void updateFirmShare(Request request) {
    shareUpdatedMs = clock.getAsDouble();
    pendingActions.addAll(queue.on(shareUpdatedMs,
        new FirmShare(request.customer(), firmShare.applyAsDouble(request))));
  }

  private void handle(FairEvent event) {
    pendingActions.addAll(queue.on(clock.getAsDouble(), event));
    executePending();
  }

  private void executePending() {
    if (executing) {
      return;
    }
    executing = true;
    try {
      for (FairAction a = pendingActions.poll(); a != null; a = pendingActions.poll()) {
        execute(a);
      }
    } finally {
      executing = false;
    }
  }

  private void execute(FairAction action) {
    if (action instanceof Release a) {
      QueuedEntry entry = entriesById.get(a.id());
      if (entry != null) {
        entry.passage.proceed(null);
      }
    } else if (action instanceof Refuse a) {
      QueuedEntry entry = entriesById.get(a.id());
      if (entry != null) {
        if (a.reason() == RefusalReason.SPENT
            && clock.getAsDouble() - shareUpdatedMs >= SHARE_UPDATE_INTERVAL_MS) {
          updateFirmShare(entry.request);
        }
        entry.passage.refuse(advisesHoldOff ? a.comeBackMs() : 0);
      }
    } else if (action instanceof WakeAt a) {
      if (wakeUp != null) {
        wakeUp.cancel(false);
      }
      double waitMs = Math.max(0, a.atMs() - clock.getAsDouble());
      wakeUp = loop.schedule(() -> handle(new Woken()), (long) Math.ceil(waitMs * 1000),
          TimeUnit.MICROSECONDS);
    }
  }

  /** Ids of the requests that wait or are outstanding; for tests and statistics. */
  List<String> currentIds() {
    return List.copyOf(entriesById.keySet());
  }
}
