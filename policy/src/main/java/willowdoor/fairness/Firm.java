package willowdoor.fairness;

import java.util.ArrayDeque;
import willowdoor.fairness.FairSettings.PlanSettings;

/**
 * What is known of a firm beside its place in the order: what it has out, its quota once that was seen to be
 * spent, and the come-back times that it was told.
 *
 * <p>Of its quota this door paces a part: what is told of its use over all doors, or an even one. A request
 * that was paced and found the quota spent all the same, as parts were told late or not at all, makes it
 * careful for a while: a little less is paced, and so promised.
 */
final class Firm {

  /**
   * A firm seen to be spent is paced by its quota for so long, and then until its bucket is full: it asks for
   * less than its quota. Ended earlier, whatever came next would take what others were told to come back for.
   */
  private static final double SPENT_PACING_MS = 5_000;
  private static final double PACE_CUT_FACTOR = 0.9;
  private static final double MIN_PACE_FACTOR = 0.5;
  private static final double PACE_RAISE_PER_S = 0.02;
  /** A part that is told is mixed with an even one by so much, or a door that has none would get none. */
  private static final double EVEN_SHARE_MIX = 0.1;
  /** Cuts come this far apart: what was let through before the first one tells nothing new. */
  private static final double MIN_CUT_INTERVAL_MS = 250;
  /** A firm without a quota, or unknown, is not bound by one. */
  private static final double NO_RATE = 0;
  /** What is left of a quota's pace beside those who were told to come back: a guess, and a careful one. */
  private static final double UNPROMISED_RATE_SHARE = 0.2;
  /** A wait of less than this is none. */
  private static final double ROUNDING_MS = 0.01;
  /** Weight of the newest answer in what a firm's requests take. */
  private static final double WORK_RATIO_SMOOTHING = 0.03;
  /** Answers tell of the work of one request within these factors; beyond, of an accident. */
  static final double MIN_WORK_FACTOR = 0.1;
  static final double MAX_WORK_FACTOR = 20;

  final long number;
  private final int entryPoints;
  private PlanSettings plan;
  private double doorShare;
  private double paceFactor = 1;
  int outstanding;
  /** What its requests take for what their units say, all firms' being 1. */
  double workFactor = 1;
  private double meanWorkRatio = 1;
  /** Come-back times told, in order, and not claimed yet. */
  final ArrayDeque<Promises.Promise> promises = new ArrayDeque<>(1);
  /** When its quota lets the next through, while it is held back. */
  double readyAtMs;
  /** Until then nothing more may be promised: what was has taken the room. */
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

  /** The part of its use that comes through this door, as told, or else as an even spread makes it. */
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

  /** Whether it may have nothing more out now. */
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

  /** Units a millisecond of its quota that are this door's; 0 while it is not known to be spent. */
  double pacedUnitsPerMs(double nowMs) {
    return paced ? plan.rate() * doorShare * paceFactor / 1000 : NO_RATE;
  }

  /** Requests a millisecond that its bound of requests out lets through, each taking so long; 0 is any. */
  double outstandingDrainRate(double serviceMs) {
    return plan.maxOutstanding() <= 0 ? 0 : Math.max(1, plan.maxOutstanding() * doorShare) / serviceMs;
  }

  /** How long until its quota lets so many units through, with so many ahead; 0 where it does not bind. */
  double waitForQuotaMs(double nowMs, double units) {
    advance(nowMs);
    double unitsPerMs = pacedUnitsPerMs(nowMs);
    return unitsPerMs <= 0 ? 0 : Math.max(0, (units - bucketUnits) / unitsPerMs);
  }

  private double bucketCapacity() {
    return Math.max(1, plan.burst() * doorShare);
  }

  /** Units kept for those who were told to come back. */
  private double reservedUnits(double nowMs) {
    return promises.isEmpty() ? 0
        : Math.min(bucketCapacity() / 2, pacedUnitsPerMs(nowMs) * Promises.CLAIM_WINDOW_MS);
  }

  /** How long until so many units come through for who was promised nothing, beside those who were. */
  double unpromisedWaitMs(double nowMs, double units) {
    double rateShare = promises.isEmpty() ? 1 : UNPROMISED_RATE_SHARE;
    return waitForQuotaMs(nowMs, units + reservedUnits(nowMs)) / rateShare;
  }

  boolean isHeldBack() {
    return heldBack;
  }

  /**
   * Holds it back while its quota is spent, with a second's room kept for those who were told to come back;
   * tells whether that has changed.
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

  /** A request cost so much more of its quota than it was taken to, or less. */
  void settleUnits(double nowMs, double units) {
    advance(nowMs);
    bucketUnits = Math.min(bucketCapacity(), bucketUnits - units);
  }

  /** The policy found its quota spent: from now on it is paced. */
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
    bucketUnits = Math
        .min(bucketCapacity(), bucketUnits + plan.rate() * doorShare * paceFactor * seconds);
    bucketUpdatedMs = nowMs;
    paced &= nowMs < spentUntilMs || bucketUnits < bucketCapacity() - ROUNDING_MS;
  }

  /** One of its requests took that much of what its units say. */
  void recordWorkRatio(double ratio) {
    meanWorkRatio += WORK_RATIO_SMOOTHING
        * (Math.max(-MAX_WORK_FACTOR, Math.min(MAX_WORK_FACTOR, ratio)) - meanWorkRatio);
    workFactor = Math.max(MIN_WORK_FACTOR, meanWorkRatio);
  }
}
