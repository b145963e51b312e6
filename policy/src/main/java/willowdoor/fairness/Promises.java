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

  /** A client is in time from this much before its time until {@link #WINDOW_MS} after. */
  static final double EARLY_MS = 10;
  static final double WINDOW_MS = 1_000;
  /** A client whose promise was missed is taken at its next coming, for so long. */
  static final double OWED_MS = 10_000;

  /** A time that was told to a client of a firm; client 0 is any of the firm's. */
  record Told(Firm firm, double atMs, double untilMs, long client, long number) { }

  private final Bounds bounds;
  private final ComeBack rules;
  private final TreeSet<Told> byEnd = new TreeSet<>(Comparator.<Told>comparingDouble(t -> t.untilMs)
      .thenComparingLong(t -> t.number));
  private long number;
  private double freeAtMs = Double.NEGATIVE_INFINITY;
  private long promised;
  private long unclaimed;
  private long owed;

  Promises(Bounds bounds, ComeBack rules) {
    this.bounds = bounds;
    this.rules = rules;
  }

  int remembered() {
    return byEnd.size();
  }

  long promised() {
    return promised;
  }

  long unclaimed() {
    return unclaimed;
  }

  long owed() {
    return owed;
  }

  /**
   * Promises a time if there is a place for it.
   *
   * @param earliestMs not before
   * @param firmTakesMs for so long the request takes all that is promised of its firm's part
   * @param poolTakesMs and of the pool
   * @return the time, or NaN where none within reach can be kept
   */
  double promise(Firm firm, long client, double now, double earliestMs, double firmTakesMs,
      double poolTakesMs) {
    expire(now);
    double at = Math.max(Math.max(now, earliestMs), Math.max(firm.promisedUntilMs, freeAtMs));
    boolean reached = at - now <= rules.mostMs();
    if (!reached || byEnd.size() >= bounds.promises() || firm.comeBacks.size() >= bounds.promisesOfFirm()) {
      return Double.NaN;
    }
    firm.promisedUntilMs = at + firmTakesMs / rules.share();
    freeAtMs = Math.max(now, freeAtMs) + poolTakesMs / rules.share();
    remember(new Told(firm, at, at + WINDOW_MS, client, number++));
    promised++;
    return at;
  }

  /** The client comes: whether it does so when it was told to. */
  boolean claim(Firm firm, long client, double now) {
    expire(now);
    for (Told t : firm.comeBacks) {
      if (t.atMs - EARLY_MS <= now && (t.client == client || t.client == 0)) {
        firm.comeBacks.remove(t);
        byEnd.remove(t);
        return true;
      }
    }
    return false;
  }

  /** Its promise was not kept: the client is taken when it comes next, whenever that is. */
  void owe(Firm firm, long client, double now) {
    if (byEnd.size() < bounds.promises() && firm.comeBacks.size() < bounds.promisesOfFirm()) {
      remember(new Told(firm, now, now + OWED_MS, client, number++));
      owed++;
    }
  }

  private void remember(Told told) {
    told.firm.comeBacks.add(told);
    byEnd.add(told);
  }

  /** Forgets times that have passed without their client. */
  void expire(double now) {
    while (!byEnd.isEmpty() && byEnd.first().untilMs < now) {
      Told passed = byEnd.pollFirst();
      passed.firm.comeBacks.remove(passed);
      unclaimed++;
    }
  }
}
