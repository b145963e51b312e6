package willowdoor.fairness;

import java.util.ArrayDeque;
import willowdoor.fairness.FairSettings.PlanSettings;

/**
 * State of a firm apart from its position in the fair order: its outstanding requests, its quota once the
 * policy has found it spent, and the come-back times promised to its clients.
 *
 * <p>This door paces the firm by a share of its quota: the reported share of the firm's use that comes
 * through this door, or an even share. A paced request may still find the quota spent, when shares were
 * reported late or not at all. The pace is then reduced for a while, and with it the rate that is promised.
 */
final class Firm {

  /**
   * After its quota was found spent, a firm is paced for this time, and then until its bucket is full, which
   * shows that it asks for less than its quota. If pacing ended earlier, new arrivals would take the units
   * that were promised to other clients.
   */
  private static final double SPENT_PACING_MS = 5_000;
  private static final double PACE_CUT_FACTOR = 0.9;
  private static final double MIN_PACE_FACTOR = 0.5;
  private static final double PACE_RAISE_PER_S = 0.02;
  /**
   * Weight of the even share that is mixed into a reported share, so that a door with a reported share of 0
   * still gets some of the quota.
   */
  private static final double EVEN_SHARE_MIX = 0.1;
  /** Minimum time between two cuts: requests released before the first cut give no new information. */
  private static final double MIN_CUT_INTERVAL_MS = 250;
  /** Rate of a firm that is not paced. */
  private static final double NO_RATE = 0;
  /**
   * Assumed part of a firm's pace that is left for clients without a promise while promises are outstanding;
   * a conservative estimate.
   */
  private static final double UNPROMISED_RATE_SHARE = 0.2;
  /** A wait that is no longer than this counts as no wait. */
  private static final double ROUNDING_MS = 0.01;
  /** Weight of the newest answer in the moving average of a firm's work ratio. */
  private static final double WORK_RATIO_SMOOTHING = 0.03;
  /** Bounds of the work factor: ratios beyond them come from disturbances, not from the work of a request. */
  static final double MIN_WORK_FACTOR = 0.1;
  static final double MAX_WORK_FACTOR = 20;

  final long number;
  private final int entryPoints;
  private PlanSettings plan;
  private double doorShare;
  private double paceFactor = 1;
  int outstanding;
  /** Work of the firm's requests for their units, relative to all firms (1). */
  double workFactor = 1;
  private double meanWorkRatio = 1;
  /** Promised come-back times that are not claimed yet, in order. */
  final ArrayDeque<Promises.Promise> promises = new ArrayDeque<>(1);
  /** While the firm is held back: the time at which its quota admits the next request. */
  double readyAtMs;
  /** All of the firm's rate that may be promised is taken until this time. */
  double promisedUntilMs;
  private double bucketUnits;
  private double bucketUpdatedMs;
  private double spentUntilMs = Double.NEGATIVE_INFINITY;
  private boolean paced;
  private double lastCutMs = Double.NEGATIVE_INFINITY;
  private boolean heldBack;

  Firm(PlanSettings plan, long number, int entryPoints) {
    this.plan = plan;
    this.number = number;
    this.entryPoints = Math.max(1, entryPoints);
    doorShare = 1.0 / this.entryPoints;
  }

  /** The share of the firm's use that comes through this door: as reported, otherwise an even share. */
  double doorShare() {
    return doorShare;
  }

  void doorShare(double nowMs, double share) {
    advance(nowMs);
    doorShare = (1 - EVEN_SHARE_MIX) * Math.max(0, Math.min(1, share)) + EVEN_SHARE_MIX / entryPoints;
  }

  void setPlan(PlanSettings newPlan) {
    plan = newPlan;
    bucketUnits = Math.min(bucketUnits, newPlan.burst());
  }

  /** Whether no further request of the firm may be released now. */
  boolean isBlocked() {
    return heldBack || isAtOutstandingLimit();
  }

  boolean isAtOutstandingLimit() {
    return plan.maxOutstanding() > 0
        && outstanding >= Math.max(1, Math.round(plan.maxOutstanding() * doorShare));
  }

  boolean canBeEvicted() {
    return outstanding == 0 && promises.isEmpty() && !heldBack && bucketUnits >= 0;
  }

  /** This door's part of the quota, in units per millisecond; 0 while the firm is not paced. */
  double pacedUnitsPerMs(double nowMs) {
    return paced ? plan.rate() * doorShare * paceFactor / 1000 : NO_RATE;
  }

  /**
   * Requests per millisecond that the firm's bound of outstanding requests allows, at the given service time
   * of each in milliseconds; 0 for no bound.
   */
  double outstandingDrainRate(double serviceMs) {
    return plan.maxOutstanding() <= 0 ? 0 : Math.max(1, plan.maxOutstanding() * doorShare) / serviceMs;
  }

  /** Milliseconds until the quota admits this many units; 0 while the firm is not paced. */
  double waitForQuotaMs(double nowMs, double units) {
    advance(nowMs);
    double unitsPerMs = pacedUnitsPerMs(nowMs);
    return unitsPerMs <= 0 ? 0 : Math.max(0, (units - bucketUnits) / unitsPerMs);
  }

  private double bucketCapacity() {
    return Math.max(1, plan.burst() * doorShare);
  }

  /** Units reserved for clients with a promised come-back time. */
  private double reservedUnits(double nowMs) {
    return promises.isEmpty() ? 0
        : Math.min(bucketCapacity() / 2, pacedUnitsPerMs(nowMs) * Promises.CLAIM_WINDOW_MS);
  }

  /**
   * Milliseconds until the quota admits this many units for a client without a promise, beside the clients
   * with one.
   */
  double unpromisedWaitMs(double nowMs, double units) {
    double rateShare = promises.isEmpty() ? 1 : UNPROMISED_RATE_SHARE;
    return waitForQuotaMs(nowMs, units + reservedUnits(nowMs)) / rateShare;
  }

  boolean isHeldBack() {
    return heldBack;
  }

  /**
   * Holds the firm back while its quota is spent. Up to one second of its pace, and at most half of its
   * bucket, is reserved for promised clients.
   *
   * @return whether the state has changed
   */
  boolean updateHold(double nowMs, double units) {
    boolean wasHeldBack = heldBack;
    double waitMs = units <= 0 ? 0
        : waitForQuotaMs(nowMs, Math.min(bucketCapacity(), units + reservedUnits(nowMs)));
    heldBack = waitMs > ROUNDING_MS;
    readyAtMs = nowMs + waitMs;
    return wasHeldBack != heldBack;
  }

  void onReleased(double nowMs, double units) {
    outstanding++;
    if (pacedUnitsPerMs(nowMs) > 0) {
      advance(nowMs);
      bucketUnits -= units;
    }
  }

  /** Corrects the bucket by the difference between a request's actual and assumed units; may be negative. */
  void settleUnits(double nowMs, double units) {
    advance(nowMs);
    bucketUnits = Math.min(bucketCapacity(), bucketUnits - units);
  }

  /** The policy found the quota spent: the firm is paced from now on. */
  void onQuotaSpent(double nowMs) {
    advance(nowMs);
    if (plan.rate() <= 0) {
      return;
    }
    if (paced && nowMs - lastCutMs >= MIN_CUT_INTERVAL_MS) {
      paceFactor = Math.max(MIN_PACE_FACTOR, paceFactor * PACE_CUT_FACTOR);
      lastCutMs = nowMs;
    }
    bucketUnits = Math.min(bucketUnits, 0);
    spentUntilMs = nowMs + SPENT_PACING_MS;
    paced = true;
  }

  private void advance(double nowMs) {
    double seconds = (nowMs - bucketUpdatedMs) / 1000;
    paceFactor = Math.min(1, paceFactor + PACE_RAISE_PER_S * seconds);
    bucketUnits = Math.min(bucketCapacity(),
        bucketUnits + plan.rate() * doorShare * paceFactor * seconds);
    bucketUpdatedMs = nowMs;
    paced &= nowMs < spentUntilMs || bucketUnits < bucketCapacity() - ROUNDING_MS;
  }

  /** Records the ratio of a request's work to the usual work for its units. */
  void recordWorkRatio(double ratio) {
    meanWorkRatio += WORK_RATIO_SMOOTHING
        * (Math.max(-MAX_WORK_FACTOR, Math.min(MAX_WORK_FACTOR, ratio)) - meanWorkRatio);
    workFactor = Math.max(MIN_WORK_FACTOR, meanWorkRatio);
  }
}
