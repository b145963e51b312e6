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
import willowdoor.fairness.FairAction.Why;
import willowdoor.fairness.FairCounts;
import willowdoor.fairness.FairEvent;
import willowdoor.fairness.FairEvent.Arrived;
import willowdoor.fairness.FairEvent.Draining;
import willowdoor.fairness.FairEvent.Ended;
import willowdoor.fairness.FairEvent.Refusing;
import willowdoor.fairness.FairEvent.Result;
import willowdoor.fairness.FairEvent.Through;
import willowdoor.fairness.FairEvent.Woken;
import willowdoor.fairness.FairQueue;
import willowdoor.fairness.FairSettings;
import willowdoor.net.Gate;
import willowdoor.policy.GatewayApi.Request;
import willowdoor.policy.GatewayApi.RequestClass;
import willowdoor.policy.GatewayApi.Settings;

/**
 * Takes requests to a {@link FairQueue} and its decisions to their passages. All on the door's loop. What the
 * queue decides while a decision is being carried out waits for its turn, so a burst of releases that are all
 * refused at once goes in a loop, not ever deeper.
 */
public final class FairGate implements Gate {

  /** What tells clients of a firm apart. */
  public enum ClientBy { ADDRESS, CONNECTION, HEADER }

  /** One request from its entering to its end. */
  private final class Place implements Entry {
    private final Request request;
    private final Passage passage;
    private boolean spent;
    private double charged;

    Place(Request request, Passage passage) {
      this.request = request;
      this.passage = passage;
    }

    @Override
    public void charged(double units) {
      charged = units;
    }

    @Override
    public double advised(boolean ofFirm, double holdOffMs) {
      spent = ofFirm;
      if (ofFirm) {
        tellThrough(request);
      }
      double told = holdOffMs;
      for (FairAction a : queue.on(now.getAsDouble(), new Refusing(request.id(), ofFirm, holdOffMs))) {
        if (a instanceof Advise advise) {
          told = advise.comeBackMs();
        } else {
          pending.add(a);
        }
      }
      carryOut();
      return advises ? told : holdOffMs;
    }

    @Override
    public void ended(End end) {
      places.remove(request.id());
      tell(new Ended(request.id(), switch (end) {
        case SERVED -> Result.SERVED;
        case FAILED -> Result.FAILED;
        case LEFT -> Result.LEFT;
        case REFUSED, ANSWERED_HERE -> spent ? Result.SPENT : Result.REFUSED;
      }, charged));
    }
  }

  private static final Logger LOG = Logger.getLogger(FairGate.class.getName());
  /** How often what was counted is logged, if it has changed. */
  private static final long TELL_EVERY_S = 10;

  /** Of firms refused here, one is asked about this often: the most refused are the most asked about. */
  private static final double THROUGH_EVERY_MS = 20;

  private final EventLoop loop;
  private final DoubleSupplier now;
  private final FairQueue queue;
  private final Map<String, RequestClass> classes = new HashMap<>();
  private final ClientBy clientBy;
  private final String header;
  private final boolean advises;
  private final ToDoubleFunction<Request> through;
  private final Map<String, Place> places = new HashMap<>();
  private final ArrayDeque<FairAction> pending = new ArrayDeque<>();
  private boolean busy;
  private Future<?> wake;
  private FairCounts toldCounts;
  private double throughToldMs = Double.NEGATIVE_INFINITY;

  /**
   * A gate, for the door's loop and by its clock.
   *
   * @param now milliseconds
   * @param through the part of a request's firm's use that comes through this door, from 0 to 1
   * @param header that names a client, with {@link ClientBy#HEADER}
   */
  public FairGate(EventLoop loop, DoubleSupplier now, Settings settings, FairSettings fair,
      ToDoubleFunction<Request> through, ClientBy clientBy, String header) {
    this.loop = loop;
    this.now = now;
    this.through = through;
    this.clientBy = clientBy;
    this.header = header;
    queue = new FairQueue(fair);
    advises = settings.allowed().holdOff();
    settings.classes().forEach(c -> classes.put(c.name(), c));
    loop.scheduleAtFixedRate(this::tellCounts, TELL_EVERY_S, TELL_EVERY_S, TimeUnit.SECONDS);
  }

  private void tellCounts() {
    FairCounts counts = queue.counts();
    if (!counts.equals(toldCounts)) {
      toldCounts = counts;
      LOG.info(() -> "fair queue: " + counts.words());
    }
  }

  /** What the queue has counted and holds; on the loop. */
  public FairCounts counts() {
    return queue.counts();
  }

  @Override
  public boolean concerns(Request request) {
    return true;
  }

  /** The queue's promises are for what the quota refuses, too. */
  @Override
  public boolean foresees() {
    return false;
  }

  @Override
  public void draining(boolean on) {
    tell(new Draining(on));
    tellCounts();
  }

  @Override
  public Entry enter(Request request, FullHttpRequest message, Origin origin, Passage passage) {
    Place place = new Place(request, passage);
    places.put(request.id(), place);
    double at = now.getAsDouble();
    RequestClass type = classes.get(request.className());
    double aim = type == null || type.aimMs() <= 0 ? request.giveUpMs() - at : type.aimMs();
    double useful = type != null && type.lateValue() <= 0 ? Math.min(request.giveUpMs(), at + aim)
        : request.giveUpMs();
    tell(new Arrived(request.id(), request.className(), request.planName(), request.customer(),
        client(origin), request.entryPoints(), request.units(), message.content().readableBytes(), useful,
        aim));
    return place;
  }

  /** Never 0, which is nobody; clients whose hashes meet share their turns. */
  private long client(Origin origin) {
    SocketAddress source = origin.source();
    Object key = clientBy == ClientBy.HEADER ? origin.headers().get(header)
        : clientBy == ClientBy.ADDRESS && source instanceof InetSocketAddress a ? a.getAddress() : source;
    return key == null ? 1 : (key.hashCode() & 0xFFFF_FFFFL) + 1;
  }

  /** Where a firm's use comes through moves on while it is paced here. */
  private void tellThrough(Request request) {
    throughToldMs = now.getAsDouble();
    pending.addAll(queue.on(throughToldMs, new Through(request.customer(), through.applyAsDouble(request))));
  }

  private void tell(FairEvent event) {
    pending.addAll(queue.on(now.getAsDouble(), event));
    carryOut();
  }

  private void carryOut() {
    if (busy) {
      return;
    }
    busy = true;
    try {
      for (FairAction a = pending.poll(); a != null; a = pending.poll()) {
        execute(a);
      }
    } finally {
      busy = false;
    }
  }

  private void execute(FairAction action) {
    if (action instanceof Release a) {
      Place place = places.get(a.id());
      if (place != null) {
        place.passage.pass(null);
      }
    } else if (action instanceof Refuse a) {
      Place place = places.get(a.id());
      if (place != null) {
        if (a.why() == Why.SPENT && now.getAsDouble() - throughToldMs >= THROUGH_EVERY_MS) {
          tellThrough(place.request);
        }
        place.passage.refuse(advises ? a.comeBackMs() : 0);
      }
    } else if (action instanceof WakeAt a) {
      if (wake != null) {
        wake.cancel(false);
      }
      double wait = Math.max(0, a.atMs() - now.getAsDouble());
      wake = loop.schedule(() -> tell(new Woken()), (long) Math.ceil(wait * 1000), TimeUnit.MICROSECONDS);
    }
  }

  /** For tests and statistics: ids that wait or are out. */
  List<String> held() {
    return List.copyOf(places.keySet());
  }
}
