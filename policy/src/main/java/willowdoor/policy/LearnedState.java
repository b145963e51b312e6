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
 * State that one process of a gateway has learned and hands over to its successor, so that the successor does
 * not have to meet every fault again. Times are given as ages, since the clocks of two processes need not
 * agree; the successor adds the time of the transfer. What was learned of a backend fades with its age as
 * within one process.
 *
 * <p>Units that are still to be added to shared counts are moved: adding them is the successor's task from
 * then on.
 *
 * @param serviceMs mean service time of a request, over all backends
 * @param slowness latency as a multiple of the expected one, over all backends
 * @param knee attempts in flight at a backend beyond which further attempts mostly wait
 * @param serviceTimes models of the service times of the request classes
 * @param backends what was learned of backends
 * @param pendingAdds units that are still to be added to shared counts
 */
public record LearnedState(double serviceMs, double slowness, double knee,
    List<ClassServiceTime> serviceTimes, List<LearnedBackend> backends, List<PendingAdd> pendingAdds) {

  /** Most request classes that are handed over; further ones are left out. */
  public static final int MAX_CLASSES = 1_000;
  /** Most backends that are handed over; further ones are left out. */
  public static final int MAX_BACKENDS = 10_000;
  /** Most customers whose pending units are handed over; further ones are left out. */
  public static final int MAX_PENDING_ADDS = 5_000;
  /** Pending units up to this amount are not handed over. */
  private static final double MIN_PENDING_UNITS = 1e-6;

  /**
   * Service time model of a request class: number of answers, and means over the latest answers.
   *
   * @param answers answers seen
   * @param meanUnits mean of the units
   * @param meanMs mean of the service time
   * @param meanSquaredUnits mean of the squared units
   * @param meanUnitsTimesMs mean of the units multiplied by the service time
   */
  public record ClassServiceTime(String className, double answers, double meanUnits, double meanMs,
      double meanSquaredUnits, double meanUnitsTimesMs) { }

  /**
   * What was learned of a backend.
   *
   * @param slowness latency as a multiple of the expected one; NaN if the backend never answered
   * @param failureRate failure rate, from 0 to 1
   * @param lastAnswerAgoMs time since the last answer
   * @param backoffMs time for which the backend still gets nothing
   * @param backoffCount backoffs since the backend last worked well
   * @param needsTrial whether the next attempt there is a trial
   * @param coldTokens attempts that may be sent there while the backend is cold
   */
  public record LearnedBackend(long id, double slowness, double failureRate, double lastAnswerAgoMs,
      double backoffMs, int backoffCount, boolean needsTrial, double coldTokens) { }

  /**
   * Units of a customer that the next call adds to the count of the window; below 0 they are taken off.
   *
   * @param entryPoints number of gateways through which requests of the customer may come
   */
  public record PendingAdd(long customer, String plan, int entryPoints, long window, double units) { }

  /** Copies the lists. */
  public LearnedState {
    serviceTimes = List.copyOf(serviceTimes);
    backends = List.copyOf(backends);
    pendingAdds = List.copyOf(pendingAdds);
  }

  /** Takes the state of a policy, which no longer adds the pending units that are handed over. */
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
   * Restores this state into a policy. What the policy does not know (a class, plan or backend that is gone)
   * is ignored.
   *
   * @param transferMs time since the state was taken, in milliseconds
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
        // The count of an ended window is final.
        a.pendingUnits += a.currentWindow(now) == x.window() ? x.units() : 0;
      }
    }
  }
}
