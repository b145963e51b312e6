package willowdoor.fairness;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import willowdoor.fairness.FairAction.Advise;
import willowdoor.fairness.FairAction.Refuse;
import willowdoor.fairness.FairAction.Release;
import willowdoor.fairness.FairAction.WakeAt;
import willowdoor.fairness.FairAction.RefusalReason;
import willowdoor.fairness.FairEvent.Arrived;
import willowdoor.fairness.FairEvent.Draining;
import willowdoor.fairness.FairEvent.Ended;
import willowdoor.fairness.FairEvent.Left;
import willowdoor.fairness.FairEvent.PlansChanged;
import willowdoor.fairness.FairEvent.Refusing;
import willowdoor.fairness.FairEvent.Result;
import willowdoor.fairness.FairEvent.FirmShare;
import willowdoor.fairness.FairSettings.Cost;
import willowdoor.fairness.FairSettings.PlanSettings;

/**
 * Decides which request goes next to a pool of backends, and how long a request may wait. The policy chooses
 * the backend and decides on retries and all other refusals; a request reaches the policy when it is
 * released, and uses no units and no backend capacity before. The class does no I/O and has no clock or
 * thread of its own.
 *
 * <ul>
 * <li>{@link FairTree} defines the order, {@link ConcurrencyLimit} the number of outstanding requests. A firm
 *     at its own bound of outstanding requests, or whose quota was found spent, is skipped until it has room,
 *     and does not delay other firms.
 * <li>A request that cannot be released early enough for a useful answer is refused as soon as this is known,
 *     if possible on arrival.
 * <li>A refusal carries a come-back time if one can be promised ({@link Promises}). A client that comes back
 *     on time goes ahead of the fair order, and its firm is charged. Less than the service rate is promised,
 *     so that there is room for these clients. When there is none, because backends failed or a limit fell,
 *     the promise counts as missed. If the request was refused, other than for draining, the client is
 *     admitted on its next arrival within {@link Promises#OWED_MS}.
 * </ul>
 */
public final class FairQueue {

  /** Minimum come-back delay: allows for the answer's travel time and the client's processing. */
  private static final double MIN_COME_BACK_MS = 100;
  /** Window of the measurement of the service rate; longer than a pause (see {@link ConcurrencyLimit}). */
  private static final double RATE_WINDOW_MS = 1_000;
  private static final double RATE_SMOOTHING = 0.3;
  /** Maximum number of classes with their own service time model; further classes share one. */
  private static final int MAX_CLASSES = 64;

  private final FairSettings settings;
  private Map<String, PlanSettings> plans;
  private final FairTree tree;
  private final ConcurrencyLimit limit;
  private final Promises promises;
  private final Map<String, QueuedRequest> requestsById = new HashMap<>();
  /** Requests of clients that came back on time, in order of arrival. */
  private final ArrayDeque<QueuedRequest> expressQueue = new ArrayDeque<>();
  private final TreeSet<QueuedRequest> waitingByDeadline =
      new TreeSet<>(Comparator.<QueuedRequest>comparingDouble(w -> w.latestReleaseMs)
      .thenComparingLong(w -> w.sequenceNumber));
  /** Firms held back until their quota admits a request, earliest first. */
  private final TreeSet<Flow> heldBackFirms =
      new TreeSet<>(Comparator.<Flow>comparingDouble(f -> f.firm.readyAtMs)
      .thenComparingLong(f -> f.firm.number));
  private final Map<String, ServiceTimeModel> serviceTimes = new HashMap<>();
  private List<FairAction> actions = new ArrayList<>();
  private double nowMs;
  private double wakeAtMs = Double.POSITIVE_INFINITY;
  private boolean draining;
  private long nextNumber;
  private long waitingBytes;
  /** Cost that the pool completes per millisecond; NaN until measured. */
  private double poolCostPerMs = Double.NaN;
  private double windowStartMs = Double.NaN;
  private double windowCost;
  private boolean windowBusy;
  private long arrived;
  private long releasedAtOnce;
  private long released;
  private long left;
  private long keptPromises;
  private long missedLate;
  private long missedSpent;
  private long missedFull;
  private final long[] refusedByReason = new long[RefusalReason.values().length];

  public FairQueue(FairSettings settings) {
    this.settings = settings;
    plans = settings.plans();
    tree = new FairTree(settings.bounds());
    limit = new ConcurrencyLimit(settings.limit());
    promises = new Promises(settings.bounds(), settings.comeBack());
  }

  /** Handles one event and returns the resulting actions, in order. */
  public List<FairAction> on(double eventMs, FairEvent event) {
    nowMs = eventMs;
    actions = new ArrayList<>(2);
    if (event instanceof Arrived e) {
      onArrived(e);
    } else if (event instanceof Ended e) {
      onEnded(e);
    } else if (event instanceof Left e) {
      onLeft(e.id());
    } else if (event instanceof Refusing e) {
      onRefusing(e);
    } else if (event instanceof FirmShare e) {
      onFirmShare(e);
    } else if (event instanceof PlansChanged e) {
      plans = Map.copyOf(e.plans());
      plans.forEach(tree::setPlan);
    } else if (event instanceof Draining e) {
      draining = e.on();
      List.copyOf(draining ? waitingByDeadline : List.<QueuedRequest>of())
          .forEach(w -> refuseWaiting(w, RefusalReason.DRAINING));
    } else {
      wakeAtMs = Double.POSITIVE_INFINITY;
      promises.expire(nowMs);
    }
    refuseOverdue();
    releaseWhileRoom();
    scheduleWakeUp();
    return actions;
  }

  public FairCounts counts() {
    return new FairCounts(arrived, releasedAtOnce, released, refusedByReason[RefusalReason.LATE.ordinal()],
        refusedByReason[RefusalReason.SPENT.ordinal()],
        refusedByReason[RefusalReason.FULL.ordinal()], refusedByReason[RefusalReason.DRAINING.ordinal()],
        left, promises.promisedCount(), keptPromises, missedLate, missedSpent, missedFull,
        promises.unclaimedCount(), waitingByDeadline.size(), waitingBytes, limit.outstanding(),
        limit.limit(), tree.firmCount(), tree.clientFlowCount(), promises.rememberedCount());
  }

  // ---- Arrival ----

  private void onArrived(Arrived e) {
    arrived++;
    PlanSettings planSettings = plans.getOrDefault(e.plan(), settings.otherPlans());
    int doors = Math.max(1, Math.min(e.entryPoints(), settings.doors()));
    Flow flow = tree.clientFlow(plans.containsKey(e.plan()) ? e.plan() : "", planSettings, e.firm(),
        e.client(), doors);
    Firm firm = flow.parent.firm;
    double cost = e.units() * (settings.cost() == Cost.WORK ? firm.workFactor : 1);
    QueuedRequest request = new QueuedRequest(e, flow, nextNumber++, nowMs,
        Math.max(nowMs, e.usefulUntilMs() - expectedServiceMs(e)), cost,
        promises.claim(firm, e.client(), nowMs));
    if (request.hasPromise) {
      if (makeRoom(request)) {
        register(request);
        request.isExpress = true;
        expressQueue.add(request);
      }
      return;
    }
    double quotaWaitMs = firm.pacedUnitsPerMs(nowMs) > 0
        ? firm.unpromisedWaitMs(nowMs, flow.parent.waitingCost + e.units()) : 0;
    double waitMs = Math.max(quotaWaitMs, waitForTurnMs(e, flow, cost));
    if (waitMs > 0 && (draining || nowMs + waitMs > request.latestReleaseMs)) {
      refuse(request, draining ? RefusalReason.DRAINING
          : quotaWaitMs >= waitMs ? RefusalReason.SPENT : RefusalReason.LATE);
    } else if (makeRoom(request)) {
      register(request);
      tree.add(request);
      updateHold(flow.parent);
    }
  }

  private void register(QueuedRequest request) {
    requestsById.put(request.arrival.id(), request);
    waitingByDeadline.add(request);
    waitingBytes += request.arrival.bytes();
  }

  /** Expected service time of a request at the backends, in milliseconds; 0 while nothing is known. */
  private double expectedServiceMs(Arrived e) {
    ServiceTimeModel serviceTime = serviceTimes.get(e.className());
    return serviceTime == null ? 0 : serviceTime.expectedMs(e.units());
  }

  /** Expected wait of a new request for its turn, in milliseconds, at the current service rate. */
  private double waitForTurnMs(Arrived e, Flow flow, double cost) {
    Firm firm = flow.parent.firm;
    double firmWaitMs = 0;
    if (firm.isBlocked() && !firm.isHeldBack()) {
      double drainRate = firm.outstandingDrainRate(Math.max(1, expectedServiceMs(e)));
      firmWaitMs = (flow.parent.waitingCount + 1) / drainRate;
    }
    boolean turnIsFree = limit.hasRoom() && expressQueue.isEmpty() && !tree.hasEligibleFlow();
    double turnWaitMs = turnIsFree || Double.isNaN(poolCostPerMs) ? 0
        : (flow.waitingCost + cost) / (poolCostPerMs * tree.shareOf(flow));
    return Math.max(firmWaitMs, turnWaitMs);
  }

  /**
   * Drops the latest request of the firm with the largest backlog for its weight until there is room. Returns
   * false if the newcomer itself was refused.
   */
  private boolean makeRoom(QueuedRequest newcomer) {
    while (waitingByDeadline.size() >= settings.bounds().waiting() || waitingBytes > 0
        && waitingBytes + newcomer.arrival.bytes() > settings.bounds().bytes()) {
      if (tree.waitingCount() == 0 || !newcomer.hasPromise && newcomerIsFullest(newcomer)) {
        refuse(newcomer, RefusalReason.FULL);
        return false;
      }
      refuseWaiting(tree.victim(), RefusalReason.FULL);
    }
    return true;
  }

  /**
   * Whether the newcomer's firm, including the newcomer, has a larger backlog for its weight than any other.
   */
  private boolean newcomerIsFullest(QueuedRequest newcomer) {
    Flow firmFlow = newcomer.flow.parent;
    return (firmFlow.waitingCost + newcomer.cost) / firmFlow.weight
        > tree.victim().flow.parent.backlogPerWeight;
  }

  // ---- Release ----

  private void releaseWhileRoom() {
    while (limit.hasRoom()) {
      QueuedRequest request = expressQueue.poll();
      if (request != null && request.firm().isAtOutstandingLimit()) {
        // The firm is at its bound: this request goes to the head of its client's flow instead.
        request.isExpress = false;
        tree.addFirst(request);
        updateHold(request.flow.parent);
        continue;
      } else if (request != null) {
        tree.charge(request.flow, request.cost);
      } else if (tree.hasEligibleFlow()) {
        request = tree.next();
      } else {
        windowBusy = false;
        return;
      }
      release(request);
    }
  }

  private void release(QueuedRequest request) {
    waitingByDeadline.remove(request);
    waitingBytes -= request.arrival.bytes();
    request.releasedMs = nowMs;
    released++;
    releasedAtOnce += nowMs == request.arrivedMs ? 1 : 0;
    limit.onReleased(nowMs);
    request.firm().onReleased(nowMs, request.arrival.units());
    updateHold(request.flow.parent);
    actions.add(new Release(request.arrival.id(), nowMs - request.arrivedMs));
  }

  /** Holds a firm back or makes it eligible again, according to its quota and its bound. */
  private void updateHold(Flow firmFlow) {
    heldBackFirms.remove(firmFlow);
    double units = firmFlow.waitingCount == 0 ? 0 : firmFlow.readyChildren.first().head.arrival.units();
    firmFlow.firm.updateHold(nowMs, units);
    if (firmFlow.firm.isHeldBack()) {
      heldBackFirms.add(firmFlow);
    }
    tree.updateEligibility(firmFlow);
  }

  private void onEnded(Ended e) {
    QueuedRequest request = requestsById.get(e.id());
    if (request == null || Double.isNaN(request.releasedMs)) {
      onLeft(e.id());
      return;
    }
    requestsById.remove(e.id());
    Firm firm = request.firm();
    firm.outstanding--;
    boolean ran = e.result() == Result.SERVED || e.result() == Result.FAILED;
    if (ran) {
      limit.onAnswer(nowMs, request.releasedMs, request.arrival.aimMs(), e.result() == Result.FAILED);
      settle(request, e.units());
      firm.settleUnits(nowMs, e.units() > 0 ? e.units() - request.arrival.units() : 0);
    } else {
      limit.endedWithoutAnswer();
      tree.charge(request.flow, e.result() == Result.LEFT ? 0 : -request.cost);
    }
    if (request.hasPromise) {
      recordPromiseOutcome(request, e.result());
    }
    updateHold(request.flow.parent);
  }

  private void recordPromiseOutcome(QueuedRequest request, Result result) {
    if (result == Result.SPENT || result == Result.REFUSED) {
      missedSpent += result == Result.SPENT ? 1 : 0;
      missedFull += result == Result.REFUSED ? 1 : 0;
      promises.owe(request.firm(), request.arrival.client(), nowMs);
    } else if (request.releasedMs - request.arrivedMs > Promises.CLAIM_WINDOW_MS) {
      missedLate++;
    } else {
      keptPromises++;
    }
  }

  /**
   * Charges the difference between actual and assumed cost, and updates the service time of the class and the
   * work factor of the firm.
   */
  private void settle(QueuedRequest request, double reportedUnits) {
    double units = request.arrival.units();
    double actualCost = reportedUnits > 0 ? reportedUnits : units;
    double tookMs = nowMs - request.releasedMs;
    String className = request.arrival.className();
    ServiceTimeModel serviceTime = serviceTimes.computeIfAbsent(
        serviceTimes.size() < MAX_CLASSES ? className : "", n -> new ServiceTimeModel());
    if (settings.cost() == Cost.WORK) {
      request.firm().recordWorkRatio(serviceTime.workRatio(units, tookMs));
      actualCost = units * request.firm().workFactor;
    }
    serviceTime.observe(units, tookMs);
    tree.charge(request.flow, actualCost - request.cost);
    measureRate(actualCost);
  }

  private void measureRate(double cost) {
    if (Double.isNaN(windowStartMs)) {
      windowStartMs = nowMs;
      windowBusy = true;
    }
    windowCost += cost;
    double spanMs = nowMs - windowStartMs;
    if (spanMs >= RATE_WINDOW_MS) {
      double measured = windowCost / spanMs;
      poolCostPerMs = Double.isNaN(poolCostPerMs) ? measured
          : windowBusy ? poolCostPerMs + RATE_SMOOTHING * (measured - poolCostPerMs)
          : Math.max(poolCostPerMs, measured);
      windowStartMs = nowMs;
      windowCost = 0;
      windowBusy = true;
    }
  }

  // ---- Refusal ----

  private void refuseOverdue() {
    while (!waitingByDeadline.isEmpty() && waitingByDeadline.first().latestReleaseMs < nowMs) {
      QueuedRequest request = waitingByDeadline.first();
      refuseWaiting(request, request.firm().isHeldBack() && !request.hasPromise
          ? RefusalReason.SPENT : RefusalReason.LATE);
    }
  }

  /** Removes a waiting request and refuses it. */
  private void refuseWaiting(QueuedRequest request, RefusalReason reason) {
    removeWaiting(request);
    refuse(request, reason);
  }

  private void removeWaiting(QueuedRequest request) {
    requestsById.remove(request.arrival.id());
    waitingByDeadline.remove(request);
    waitingBytes -= request.arrival.bytes();
    if (request.isExpress) {
      expressQueue.remove(request);
    } else {
      tree.remove(request);
      updateHold(request.flow.parent);
    }
  }

  private void onLeft(String id) {
    QueuedRequest request = requestsById.get(id);
    if (request != null && Double.isNaN(request.releasedMs)) {
      removeWaiting(request);
      left++;
    }
  }

  private void refuse(QueuedRequest request, RefusalReason reason) {
    refusedByReason[reason.ordinal()]++;
    if (request.hasPromise) {
      missedLate += reason == RefusalReason.LATE ? 1 : 0;
      missedFull += reason == RefusalReason.LATE ? 0 : 1;
    }
    if (reason == RefusalReason.DRAINING) {
      actions.add(new Refuse(request.arrival.id(), reason, 0));
      return;
    }
    double comeBackAtMs = promiseComeBack(request, 0);
    if (request.hasPromise) {
      promises.owe(request.firm(), request.arrival.client(), nowMs);
    }
    actions.add(new Refuse(request.arrival.id(), reason,
        Double.isNaN(comeBackAtMs) ? 0 : comeBackAtMs - nowMs));
  }

  private void onRefusing(Refusing e) {
    QueuedRequest request = requestsById.get(e.id());
    if (request == null) {
      actions.add(new Advise(e.id(), 0));
      return;
    }
    if (e.quotaSpent()) {
      request.firm().onQuotaSpent(nowMs);
      updateHold(request.flow.parent);
    }
    double comeBackAtMs = promiseComeBack(request, e.holdOffMs());
    actions.add(new Advise(e.id(), Double.isNaN(comeBackAtMs) ? 0 : comeBackAtMs - nowMs));
  }

  /** Promises a time from which the client is admitted; NaN if none can be promised. */
  private double promiseComeBack(QueuedRequest request, double minWaitMs) {
    if (Double.isNaN(poolCostPerMs)) {
      return Double.NaN;
    }
    Firm firm = request.firm();
    double units = request.arrival.units();
    double firmTakesMs = request.cost / (poolCostPerMs * tree.shareOf(request.flow.parent));
    double pacedUnitsPerMs = firm.pacedUnitsPerMs(nowMs);
    firmTakesMs = pacedUnitsPerMs > 0 ? Math.max(firmTakesMs, units / pacedUnitsPerMs) : firmTakesMs;
    double drainRate = firm.outstandingDrainRate(Math.max(1, expectedServiceMs(request.arrival)));
    firmTakesMs = drainRate > 0 ? Math.max(firmTakesMs, 1 / drainRate) : firmTakesMs;
    double earliestMs = nowMs + Math.max(Math.max(minWaitMs, MIN_COME_BACK_MS),
        firm.waitForQuotaMs(nowMs, pacedUnitsPerMs > 0 ? units : 0));
    return promises.promise(firm, request.arrival.client(), nowMs, earliestMs, firmTakesMs,
        request.cost / poolCostPerMs);
  }

  // ---- Shares and timer ----

  private void onFirmShare(FirmShare e) {
    for (String plan : tree.planNames()) {
      Flow firmFlow = tree.firm(plan, e.firm());
      if (firmFlow != null) {
        firmFlow.firm.doorShare(nowMs, e.share());
        tree.setWeight(firmFlow, plans.getOrDefault(plan, settings.otherPlans()).firmWeight()
            * firmFlow.firm.doorShare());
        updateHold(firmFlow);
      }
    }
  }

  private void scheduleWakeUp() {
    while (!heldBackFirms.isEmpty() && heldBackFirms.first().firm.readyAtMs <= nowMs) {
      updateHold(heldBackFirms.first());
      releaseWhileRoom();
    }
    double wakeMs = waitingByDeadline.isEmpty() ? Double.POSITIVE_INFINITY
        : waitingByDeadline.first().latestReleaseMs + 1;
    wakeMs = heldBackFirms.isEmpty() ? wakeMs : Math.min(wakeMs, heldBackFirms.first().firm.readyAtMs);
    if (wakeMs < wakeAtMs) {
      wakeAtMs = wakeMs;
      actions.add(new WakeAt(wakeMs));
    }
  }
}
