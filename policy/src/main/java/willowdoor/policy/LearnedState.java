package willowdoor.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import willowdoor.policy.GatewayApi.Phase;
import willowdoor.policy.GatewayApi.Request;
import willowdoor.policy.GatewayState.AccountState;
import willowdoor.policy.GatewayState.BackendState;
import willowdoor.policy.GatewayState.ServiceTimeModel;

/**
 * What one process of a gateway has learned, for the one that takes its place, so that this one doesn't meet
 * every trouble anew. Moments are told as ages, as two processes' clocks need not agree; whoever goes on from
 * it adds how long it was on its way. What is learned of a backend fades with its age as in one process.
 *
 * <p>What is owed to shared counts goes over for good: it is the successor's from then on.
 *
 * @param serviceMs what a request takes, over all backends
 * @param slowness how much longer than usual
 * @param knee attempts out at a backend from which on further ones mostly wait
 */
public record LearnedState(double serviceMs, double slowness, double knee,
    List<ClassServiceTime> serviceTimes,
    List<LearnedBackend> backends,
    List<PendingAdd> pendingAdds) {

  /** Bounds of what is told and taken: one more of each is left out. */
  public static final int MAX_CLASSES = 1_000;
  public static final int MAX_BACKENDS = 10_000;
  public static final int MAX_PENDING_ADDS = 5_000;
  private static final double MIN_PENDING_UNITS = 1e-6;

  /** What requests of a class took, as means over their latest answers. */
  public record ClassServiceTime(String className, double answers, double meanUnits, double meanMs,
      double meanSquaredUnits,
      double meanUnitsTimesMs) { }

  /**
   * A backend.
   *
   * @param slowness how much longer than usual it takes; NaN where it never answered
   * @param lastAnswerAgoMs how long ago it last answered
   * @param backoffMs for how long nothing is to be sent there yet
   * @param needsTrial whether what is sent next is a trial
   * @param coldTokens what may be sent to it at once while it is cold
   */
  public record LearnedBackend(long id, double slowness, double failureRate, double lastAnswerAgoMs,
      double backoffMs, int backoffCount,
      boolean needsTrial, double coldTokens) { }

  /** Units of a customer that go with the next add to that window's count; below 0 they are taken off. */
  public record PendingAdd(long customer, String plan, int entryPoints, long window, double units) { }

  /** Keeps copies. */
  public LearnedState {
    serviceTimes = List.copyOf(serviceTimes);
    backends = List.copyOf(backends);
    pendingAdds = List.copyOf(pendingAdds);
  }

  /** Of this module, which owes nothing any more from here on. */
  public static LearnedState takeFrom(QuotaPolicy policy, double now) {
    List<ClassServiceTime> serviceTimes = new ArrayList<>();
    for (Map.Entry<String, ServiceTimeModel> e : policy.serviceTimes.entrySet()) {
      serviceTimes.add(e.getValue().snapshot(e.getKey()));
    }
    Collection<? extends BackendState> allBackends = policy.backends.values();
    Collection<? extends AccountState> accounts = policy.accounts.values();
    List<LearnedBackend> learned = allBackends.stream().filter(b -> b.phase != Phase.REMOVED)
        .limit(MAX_BACKENDS)
        .map(b -> b.snapshot(now)).toList();
    List<PendingAdd> pendingAdds = accounts.stream().filter(a -> Math.abs(a.pendingUnits) > MIN_PENDING_UNITS)
        .limit(MAX_PENDING_ADDS)
        .map(a -> a.takePendingAdd(now)).toList();
    return new LearnedState(policy.fleetServiceMs, policy.fleetSlowness, policy.knee, serviceTimes, learned,
        pendingAdds);
  }

  /**
   * Has a module go on from it; what the module doesn't know (a class, plan or backend that is gone) is left.
   *
   * @param transferMs how long ago it was told
   */
  public void restoreInto(QuotaPolicy policy, double now, double transferMs) {
    policy.now = now;
    policy.fleetServiceMs = serviceMs;
    policy.fleetSlowness = slowness;
    policy.knee = Math.max(policy.knee, knee);
    for (ClassServiceTime x : serviceTimes) {
      if (policy.classes.containsKey(x.className())) {
        policy.serviceTimes.computeIfAbsent(x.className(), n -> new ServiceTimeModel(serviceMs)).restore(x);
      }
    }
    for (LearnedBackend x : backends) {
      BackendState b = policy.backends.get(x.id());
      if (b != null && Double.isNaN(b.measuredSlowness)) {
        b.restore(x, now, transferMs);
      }
    }
    for (PendingAdd x : pendingAdds) {
      if (policy.plans.containsKey(x.plan())) {
        AccountState a = policy.accounts.containsKey(x.customer()) ? policy.accounts.get(x.customer())
            : policy.account(new Request("", "", x.plan(), x.customer(), x.entryPoints(), 0, 0));
        // A window that is over is settled for good.
        a.pendingUnits += a.currentWindow(now) == x.window() ? x.units() : 0;
      }
    }
  }
}
