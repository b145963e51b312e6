package willowdoor.fairness;

import willowdoor.fairness.FairSettings.Limit;

/**
 * How many requests may be out at a pool of nodes from this door. The knee is where more of them bring no more
 * answers, only longer ones (L. Kleinrock, "Power and Deterministic Rules of Thumb for Probabilistic Problems
 * in Computer Communications", 1979). It is found by trials in rounds of answers: a tenth more, while requests
 * wait here, is kept where it brings more answers; less, where they take a good part of the time that they
 * want, is kept where it costs none. What is not kept is taken back, and the next trial of that kind waits for
 * twice as many rounds.
 *
 * <p>Two things are not a crowd, and are told apart from one:
 * <ul>
 * <li>A <b>pause</b>: no answer at all for much longer than usual while requests are out. What was out
 *     during it tells nothing, and the round begins anew.
 * <li><b>Slow nodes</b>: with fewer out, fewer answers come. The trial is taken back.
 * </ul>
 * It never falls below the least, which keeps probes at nodes that recover.
 */
final class OutLimit {

  private static final double UP = 0.1;
  private static final double DOWN = 0.85;
  /** Answers that take less of the time they want are no reason to try with fewer. */
  private static final double DOWN_OVER = 0.1;
  /**
   * Answers that take more of it are a reason not to try with more: beside other doors a door with more out
   * has more answers, but they are taken from these.
   */
  private static final double UP_UNDER = 0.25;
  /** A trial of more is kept if the answers grow by this part of it; one of less, if they fall by less. */
  private static final double KEPT = 0.35;
  private static final int LEAST_ANSWERS = 10;
  private static final double LEAST_ROUND_MS = 500;
  private static final int MOST_HOLD = 32;
  /** A gap of this many usual ones, and of so long at the least, is a pause. */
  private static final double GAPS = 8;
  private static final double LEAST_GAP_MS = 150;
  private static final double GAP_NEWEST = 0.05;
  /** One answer counts for no more than this many times the time wanted. */
  private static final double MOST = 3;

  private final Limit bounds;
  private double limit;
  private int out;
  private double usualGapMs = Double.NaN;
  private double answeredAtMs = Double.NaN;
  private double pauseEndedMs = Double.NEGATIVE_INFINITY;
  private double roundAtMs = Double.NEGATIVE_INFINITY;
  private int answers;
  private int failures;
  private double sum;
  private boolean met;
  /** Before a trial: the limit and what its round had; NaN when none is on. */
  private double triedFrom = Double.NaN;
  private double triedRate;
  /** Rounds until the next trial of more and of less, and how many after one that is taken back. */
  private final int[] hold = new int[2];
  private final int[] nextHold = {1, 1};

  OutLimit(Limit bounds) {
    this.bounds = bounds;
    limit = bounds.first();
  }

  double limit() {
    return limit;
  }

  int out() {
    return out;
  }

  boolean hasRoom() {
    met |= out + 1 >= (int) limit;
    return out < (int) limit;
  }

  void released(double now) {
    if (out == 0) {
      answeredAtMs = now;
    }
    out++;
  }

  /** It is over without an answer that tells of the pool. */
  void left() {
    out--;
  }

  /** A node answered it, or it failed there. */
  void ended(double now, double releasedMs, double aimMs, boolean failed) {
    out--;
    noteGap(now);
    if (releasedMs < pauseEndedMs || releasedMs < roundAtMs) {
      return;
    }
    answers++;
    failures += failed ? 1 : 0;
    sum += Math.min(MOST, failed ? MOST : (now - releasedMs) / aimMs);
    if (answers >= Math.max(LEAST_ANSWERS, limit) && now - roundAtMs >= LEAST_ROUND_MS) {
      judge(now);
      roundAtMs = now;
      answers = 0;
      failures = 0;
      sum = 0;
      met = false;
    }
  }

  private void noteGap(double now) {
    double gap = now - answeredAtMs;
    if (gap > Math.max(LEAST_GAP_MS, GAPS * usualGapMs)) {
      pauseEndedMs = now;
      met = false;
      // The round begins anew: half of it before and half after a pause compare with nothing.
      answers = 0;
      failures = 0;
      sum = 0;
      roundAtMs = now;
    } else {
      usualGapMs = Double.isNaN(usualGapMs) ? gap : usualGapMs + GAP_NEWEST * (gap - usualGapMs);
    }
    answeredAtMs = now;
  }

  private void judge(double now) {
    double took = sum / answers;
    double rate = answers / Math.max(1, now - roundAtMs);
    hold[0] = Math.max(0, hold[0] - 1);
    hold[1] = Math.max(0, hold[1] - 1);
    if (!Double.isNaN(triedFrom)) {
      int kind = limit > triedFrom ? 0 : 1;
      boolean keep = rate / triedRate - 1 > KEPT * (limit / triedFrom - 1);
      nextHold[kind] = keep ? 1 : Math.min(MOST_HOLD, nextHold[kind] * 2);
      hold[kind] = keep ? 0 : nextHold[kind];
      limit = keep ? limit : triedFrom;
      triedFrom = Double.NaN;
    } else if (met && took > DOWN_OVER && hold[1] == 0 && limit > bounds.least()) {
      change(Math.max(bounds.least(), limit * DOWN), rate);
    } else if (met && took < UP_UNDER && hold[0] == 0 && failures * 2 < answers && limit < bounds.most()) {
      change(Math.min(bounds.most(), limit + Math.max(1, limit * UP)), rate);
    }
  }

  private void change(double to, double rate) {
    triedFrom = limit;
    triedRate = rate;
    limit = to;
  }
}
