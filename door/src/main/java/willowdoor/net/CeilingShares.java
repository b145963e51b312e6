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
import willowdoor.recovery.RightsEvent.Answered;
import willowdoor.recovery.RightsEvent.Asked;
import willowdoor.recovery.RightsEvent.Begun;
import willowdoor.recovery.RightsEvent.HandedOver;
import willowdoor.recovery.RightsEvent.Woken;

/**
 * Takes requests of firms under a ceiling to {@link CeilingRights} and its calls to the counter. All on the
 * event loop's thread.
 */
final class CeilingShares {

  private final EventLoop loop;
  private final Clock clock;
  private final CounterStore counter;
  private final CeilingRights rights;
  private final double mostUnits;
  private final Map<String, Plan> ceiled = new HashMap<>();

  CeilingShares(EventLoop loop, Clock clock, CounterStore counter, Settings settings) {
    this.loop = loop;
    this.clock = clock;
    this.counter = counter;
    rights = new CeilingRights(clock.now());
    mostUnits = settings.maxUnits();
    settings.plans().stream().filter(p -> p.ceilingRate() > 0).forEach(p -> ceiled.put(p.name(), p));
    if (!ceiled.isEmpty()) {
      loop.execute(() -> tell(new Woken()));
    }
  }

  /** This door takes requests from here on, or again after {@link #handOver}. */
  void begin() {
    tell(new Begun());
  }

  /** Another process is this door from here on: what still comes here gets nothing of a ceiling. */
  void handOver() {
    tell(new HandedOver());
  }

  /** The request with the share that this door may use of its firm's ceiling, if there is one. */
  Request shared(Request r) {
    Plan plan = ceiled.get(r.planName());
    return plan == null ? r : r.with(tell(new Asked(r.customer(), r.entryPoints(), r.place(),
        plan.ceilingRate(), plan.ceilingBurst(), mostUnits, r.units())));
  }

  /** Takes the end of a call that was made for this; false when it was not. */
  boolean takes(Counted e) {
    if (!CeilingRights.owns(e.name())) {
      return false;
    }
    tell(new Answered(e.name(), e.status() == Status.OK ? e.total() : Double.NaN));
    return true;
  }

  private CeilingShare tell(RightsEvent event) {
    CeilingShare share = null;
    for (RightsAction action : rights.on(clock.now(), event)) {
      if (action instanceof Share s) {
        share = new CeilingShare(s.share(), s.untilMs(), s.then());
      } else if (action instanceof Call c) {
        counter.add(c.name(), c.amount(), c.ttlMs());
      } else if (action instanceof WakeAt w) {
        loop.schedule(() -> tell(new Woken()), (long) Math.max(1, w.atMs() - clock.now()),
            TimeUnit.MILLISECONDS);
      }
    }
    return share;
  }
}
