package willowdoor.fairness;

import java.util.Comparator;
import java.util.TreeSet;
import willowdoor.fairness.FairSettings.Bounds;
import willowdoor.fairness.FairSettings.ComeBack;

/**
 * Come-back times that were told, and what became of them. A time is told by virtual scheduling (the generic
 * cell rate algorithm, ITU-T I.371): the firm's and the pool's next free moment, each moved on by what the
 * request takes of their rate, so times told are spread as the room that they take, and a request larger than
 * a firm's whole part takes as much time as it needs. A firm's times are remembered until a second after.
 */
final class Promises {

  /** A client is in time from this much before its time until {@link #CLAIM_WINDOW_MS} after. */
  static final double EARLY_TOLERANCE_MS = 10;
  static final double CLAIM_WINDOW_MS = 1_000;
  /** A client whose promise was missed is taken at its next coming, for so long. */
  static final double OWED_MS = 10_000;

  /** A time that was told to a client of a firm; client 0 is any of the firm's. */
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
   * Promises a time if there is a place for it.
   *
   * @param earliestMs not before
   * @param firmTakesMs for so long the request takes all that is promised of its firm's part
   * @param poolTakesMs and of the pool
   * @return the time, or NaN where none within reach can be kept
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

  /** The client comes: whether it does so when it was told to. */
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

  /** Its promise was not kept: the client is taken when it comes next, whenever that is. */
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

  /** Forgets times that have passed without their client. */
  void expire(double nowMs) {
    while (!byExpiry.isEmpty() && byExpiry.first().untilMs < nowMs) {
      Promise expired = byExpiry.pollFirst();
      expired.firm.promises.remove(expired);
      unclaimedCount++;
    }
  }
}
