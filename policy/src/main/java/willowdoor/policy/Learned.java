package willowdoor.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import willowdoor.policy.GatewayApi.Phase;
import willowdoor.policy.GatewayApi.Request;
import willowdoor.policy.GatewayState.AccountState;
import willowdoor.policy.GatewayState.BackendState;
import willowdoor.policy.GatewayState.Need;

/**
 * What one process of a gateway has learned, for the one that takes its place, so that this one doesn't meet
 * every trouble anew. Moments are told as ages, as two processes' clocks need not agree; whoever goes on from
 * it adds how long it was on its way. What is learned of a backend fades with its age as in one process.
 *
 * <p>What is owed to shared counts goes over for good: it is the successor's from then on.
 *
 * @param serviceMs what a request takes, over all backends
 * @param slow how much longer than usual
 * @param knee attempts out at a backend from which on further ones mostly wait
 */
public record Learned(double serviceMs, double slow, double knee, List<Taken> taken, List<Known> backends,
    List<Owed> owed) {

  /** Bounds of what is told and taken: one more of each is left out. */
  public static final int MOST_CLASSES = 1_000;
  public static final int MOST_BACKENDS = 10_000;
  public static final int MOST_OWED = 5_000;
  private static final double LEAST_OWED = 1e-6;

  /** What requests of a class took, as means over their latest answers. */
  public record Taken(String className, double count, double units, double tookMs, double units2,
      double unitsTook) { }

  /**
   * A backend.
   *
   * @param slow how much longer than usual it takes; NaN where it never answered
   * @param agoMs how long ago it last answered
   * @param restMs for how long nothing is to be sent there yet
   * @param trial whether what is sent next is a trial
   * @param coldTokens what may be sent to it at once while it is cold
   */
  public record Known(long id, double slow, double failing, double agoMs, double restMs, int rests,
      boolean trial, double coldTokens) { }

  /** Units of a customer that go with the next add to that window's count; below 0 they are taken off. */
  public record Owed(long customer, String plan, int gateways, long window, double units) { }

  /** Keeps copies. */
  public Learned {
    taken = List.copyOf(taken);
    backends = List.copyOf(backends);
    owed = List.copyOf(owed);
  }

  /** Of this module, which owes nothing any more from here on. */
  public static Learned of(QuotaPolicy module, double now) {
    List<Taken> taken = new ArrayList<>();
    for (Map.Entry<String, Need> e : module.needs.entrySet()) {
      taken.add(e.getValue().taken(e.getKey()));
    }
    Collection<? extends BackendState> all = module.backends.values();
    Collection<? extends AccountState> accounts = module.accounts.values();
    List<Known> known = all.stream().filter(b -> b.phase != Phase.REMOVED).limit(MOST_BACKENDS)
        .map(b -> b.known(now)).toList();
    List<Owed> owed = accounts.stream().filter(a -> Math.abs(a.owed) > LEAST_OWED).limit(MOST_OWED)
        .map(a -> a.handOver(now)).toList();
    return new Learned(module.fleetService, module.fleetSlow, module.knee, taken, known, owed);
  }

  /**
   * Has a module go on from it; what the module doesn't know (a class, plan or backend that is gone) is left.
   *
   * @param agoMs how long ago it was told
   */
  public void inherit(QuotaPolicy module, double now, double agoMs) {
    module.now = now;
    module.fleetService = serviceMs;
    module.fleetSlow = slow;
    module.knee = Math.max(module.knee, knee);
    for (Taken x : taken) {
      if (module.classes.containsKey(x.className())) {
        module.needs.computeIfAbsent(x.className(), n -> new Need(serviceMs)).goOn(x);
      }
    }
    for (Known x : backends) {
      BackendState b = module.backends.get(x.id());
      if (b != null && Double.isNaN(b.service)) {
        b.goOn(x, now, agoMs);
      }
    }
    for (Owed x : owed) {
      if (module.plans.containsKey(x.plan())) {
        AccountState a = module.accounts.containsKey(x.customer()) ? module.accounts.get(x.customer())
            : module.account(new Request("", "", x.plan(), x.customer(), x.gateways(), 0, 0));
        // A window that is over is settled for good.
        a.owed += a.windowNow(now) == x.window() ? x.units() : 0;
      }
    }
  }
}
