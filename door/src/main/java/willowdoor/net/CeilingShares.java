package willowdoor.net;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import willowdoor.policy.GatewayApi.CeilingShare;
import willowdoor.policy.GatewayApi.Counted;
import willowdoor.policy.GatewayApi.Plan;
import willowdoor.policy.GatewayApi.Request;
import willowdoor.policy.GatewayApi.Settings;
import willowdoor.policy.GatewayApi.Status;
import willowdoor.recovery.CeilingRights;
import willowdoor.recovery.RightsAction;
import willowdoor.recovery.RightsAction.Call;
import willowdoor.recovery.RightsAction.Share;
import willowdoor.recovery.RightsAction.WakeAt;
import willowdoor.recovery.RightsEvent;
import willowdoor.recovery.RightsEvent.CallEnded;
import willowdoor.recovery.RightsEvent.Requested;
import willowdoor.recovery.RightsEvent.Activated;
import willowdoor.recovery.RightsEvent.HandedOver;
import willowdoor.recovery.RightsEvent.Woken;

/**
 * Reports requests of firms with a ceiling to {@link CeilingRights}, and makes the calls to the counter
 * that it asks for. All methods are called on the event loop.
 */
final class CeilingShares {

  private final EventLoop loop;
  private final Clock clock;
  private final CounterStore counter;
  private final CeilingRights rights;
  private final double maxUnits;
  private final Map<String, Plan> plansWithCeiling = new HashMap<>();

  CeilingShares(EventLoop loop, Clock clock, CounterStore counter, Settings settings) {
    this.loop = loop;
    this.clock = clock;
    this.counter = counter;
    rights = new CeilingRights(clock.now());
    maxUnits = settings.maxUnits();
    settings.plans().stream().filter(p -> p.ceilingRate() > 0)
        .forEach(p -> plansWithCeiling.put(p.name(), p));
    if (!plansWithCeiling.isEmpty()) {
      loop.execute(() -> dispatch(new Woken()));
    }
  }

  /**
   * Called when this process starts to take the door's requests, also when it does so again after {@link
   * #handOver}.
   */
  void begin() {
    dispatch(new Activated());
  }

  /**
   * Called when another process takes over this door: requests that still arrive here get no share of a
   * ceiling.
   */
  void handOver() {
    dispatch(new HandedOver());
  }

  /**
   * Returns the request with the share of its firm's ceiling that this door may use; unchanged without a
   * ceiling.
   */
  Request withShare(Request request) {
    Plan plan = plansWithCeiling.get(request.planName());
    return plan == null ? request
        : request.withCeilingShare(
        dispatch(new Requested(request.customer(), request.entryPoints(), request.entryPointIndex(),
        plan.ceilingRate(), plan.ceilingBurst(), maxUnits, request.units())));
  }

  /** Handles the end of a call that was made for a ceiling; returns false for any other call. */
  boolean acceptIfOwn(Counted ended) {
    if (!CeilingRights.ownsName(ended.name())) {
      return false;
    }
    dispatch(new CallEnded(ended.name(), ended.status() == Status.OK ? ended.total() : Double.NaN));
    return true;
  }

  private CeilingShare dispatch(RightsEvent event) {
    CeilingShare share = null;
    for (RightsAction action : rights.on(clock.now(), event)) {
      if (action instanceof Share s) {
        share = new CeilingShare(s.share(), s.untilMs(), s.shareAfter());
      } else if (action instanceof Call c) {
        counter.add(c.name(), c.amount(), c.ttlMs());
      } else if (action instanceof WakeAt w) {
        loop.schedule(() -> dispatch(new Woken()), (long) Math.max(1, w.atMs() - clock.now()),
            TimeUnit.MILLISECONDS);
      }
    }
    return share;
  }
}
