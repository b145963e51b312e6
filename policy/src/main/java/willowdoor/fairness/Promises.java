package willowdoor.fairness;

import java.util.Comparator;
import java.util.TreeSet;
import willowdoor.fairness.FairSettings.Bounds;
import willowdoor.fairness.FairSettings.ComeBack;

/**
 * Come-back times that were promised to clients, and their outcome. A time is assigned by virtual scheduling
 * (the generic cell rate algorithm, ITU-T I.371): it is the next free time of both the firm and the pool, and
 * each of these advances by the time that the request takes at their rate. Promised times are therefore
 * spread by the capacity that they take, and a request larger than a firm's whole share takes as much time as
 * it needs. A promise is kept in memory until {@value #CLAIM_WINDOW_MS} ms after its time.
 */
final class Promises {

  /** A client is on time from this much before the promised time until {@link #CLAIM_WINDOW_MS} after it. */
  static final double EARLY_TOLERANCE_MS = 10;
  static final double CLAIM_WINDOW_MS = 1_000;
  /** A client whose promise was missed is admitted on its next arrival within this time. */
  static final double OWED_MS = 10_000;

  /** A come-back time promised to a client of a firm. Client 0 stands for any client of the firm. */
  record Promise(Firm firm, double atMs, double untilMs, long client, long number) { }

  private final Bounds bounds;
  private final ComeBack rules;
  private final TreeSet<Promise> byExpiry = new TreeSet<>(Comparator.<Promise>comparingDouble(t -> t.untilMs)
      .thenComparingLong(t -> t.number));
  private long nextNumber;
  private double poolFreeAtMs = Double.NEGATIVE_INFINITY;
  private long promisedCount;
  private long unclaimedCount;
  private long owedCount;

  Promises(Bounds bounds, ComeBack rules) {
    this.bounds = bounds;
    this.rules = rules;
  }

  int rememberedCount() {
    return byExpiry.size();
  }

  long promisedCount() {
    return promisedCount;
  }

  long unclaimedCount() {
    return unclaimedCount;
  }

  long owedCount() {
    return owedCount;
  }

  /**
   * Promises a come-back time, if the limits allow.
   *
   * @param earliestMs the earliest time that may be promised
   * @param firmTakesMs the time that the request takes at the firm's full rate, in milliseconds
   * @param poolTakesMs the time that the request takes at the pool's full rate, in milliseconds
   * @return the promised time, or NaN if the maximum delay or a limit on the number of promises is exceeded
   */
  double promise(Firm firm, long client, double nowMs, double earliestMs, double firmTakesMs,
      double poolTakesMs) {
    expire(nowMs);
    double atMs = Math.max(Math.max(nowMs, earliestMs), Math.max(firm.promisedUntilMs, poolFreeAtMs));
    boolean withinReach = atMs - nowMs <= rules.maxDelayMs();
    if (!withinReach || byExpiry.size() >= bounds.promises()
        || firm.promises.size() >= bounds.promisesOfFirm()) {
      return Double.NaN;
    }
    firm.promisedUntilMs = atMs + firmTakesMs / rules.promisedShare();
    poolFreeAtMs = Math.max(nowMs, poolFreeAtMs) + poolTakesMs / rules.promisedShare();
    remember(new Promise(firm, atMs, atMs + CLAIM_WINDOW_MS, client, nextNumber++));
    promisedCount++;
    return atMs;
  }

  /** Claims a promise for an arriving client; returns whether the client came at a promised time. */
  boolean claim(Firm firm, long client, double nowMs) {
    expire(nowMs);
    for (Promise promise : firm.promises) {
      if (promise.atMs - EARLY_TOLERANCE_MS <= nowMs && (promise.client == client || promise.client == 0)) {
        firm.promises.remove(promise);
        byExpiry.remove(promise);
        return true;
      }
    }
    return false;
  }

  /** Records a missed promise: the client is admitted on its next arrival within {@link #OWED_MS}. */
  void owe(Firm firm, long client, double nowMs) {
    if (byExpiry.size() < bounds.promises() && firm.promises.size() < bounds.promisesOfFirm()) {
      remember(new Promise(firm, nowMs, nowMs + OWED_MS, client, nextNumber++));
      owedCount++;
    }
  }

  private void remember(Promise promise) {
    promise.firm.promises.add(promise);
    byExpiry.add(promise);
  }

  /** Removes promises whose claim window has passed unclaimed. */
  void expire(double nowMs) {
    while (!byExpiry.isEmpty() && byExpiry.first().untilMs < nowMs) {
      Promise expired = byExpiry.pollFirst();
      expired.firm.promises.remove(expired);
      unclaimedCount++;
    }
  }
}
