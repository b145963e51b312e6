package willowdoor.fairness;

import willowdoor.fairness.FairSettings.Limit;

/**
 * How many requests may be out at a pool of nodes from this door. The knee is where more of them bring no
 * more answers, only longer ones (L. Kleinrock, "Power and Deterministic Rules of Thumb for Probabilistic
 * Problems in Computer Communications", 1979). It is found by trials in rounds of answers: a tenth more,
 * while requests wait here, is kept where it brings more answers; else it is taken back, and the next trial
 * waits for twice as many rounds.
 *
 * <p>Beside other doors a door with more out has more answers, but takes them from these. So where answers
 * take a tenth of the time they want, each round takes a tenth, and near that one is added at a time: all
 * doors see the same answers, go down together and come to even parts (multiplicative decrease: D.-M. Chiu
 * and R. Jain, "Analysis of the Increase and Decrease Algorithms for Congestion Avoidance in Computer
 * Networks", 1989).
 *
 * <p>Two things are not a crowd, and are told apart from one:
 *
 * <ul>
 * <li>A <b>pause</b>: no answer at all for much longer than usual while requests are out. What was out
 *     during it tells nothing, and the round begins anew.
 * <li><b>Slow nodes</b>: with fewer out, fewer answers come and none is quicker. What was taken is given
 *     back.
 * </ul>
 *
 * <p>It never falls below the least, which keeps probes at nodes that recover.
 */
final class OutLimit {

  private static final double UP = 0.1;
  /** Answers that take more are a crowd, unless fewer out make them no quicker. */
  private static final double CROWD_OVER = 0.1;
  private static final double CROWD_CUT = 0.9;
  /** After so many rounds of it answers are to take this much less, or it is no crowd. */
  private static final int CROWD_ROUNDS = 4;
  private static final double CROWD_QUICKER = 0.15;
  /** A trial of more is kept if the answers grow by this part of it. */
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
  /**
   * Where a crowd is taken to be: the limit before, what answers took, and rounds since; NaN when none is.
   */
  private double crowdFrom = Double.NaN;
  private double crowdTook;
  private int crowdRounds;
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
      boolean keep = rate / triedRate - 1 > KEPT * (limit / triedFrom - 1);
      nextHold[0] = keep ? 1 : Math.min(MOST_HOLD, nextHold[0] * 2);
      hold[0] = keep ? 0 : nextHold[0];
      limit = keep ? limit : triedFrom;
      triedFrom = Double.NaN;
    } else if (met && took > CROWD_OVER && hold[1] == 0 && limit > bounds.least()) {
      crowd(took);
    } else if (!Double.isNaN(crowdFrom)) {
      crowdFrom = Double.NaN;
    } else if (met && hold[0] == 0 && failures * 2 < answers && limit < bounds.most()) {
      triedFrom = limit;
      triedRate = rate;
      limit = Math.min(bounds.most(), limit + (took < CROWD_OVER / 2 ? Math.max(1, limit * UP) : 1));
    }
  }

  private void crowd(double took) {
    if (Double.isNaN(crowdFrom)) {
      crowdFrom = limit;
      crowdTook = took;
      crowdRounds = 0;
    } else if (++crowdRounds % CROWD_ROUNDS == 0) {
      if (took > crowdTook * (1 - CROWD_QUICKER)) {
        limit = crowdFrom;
        crowdFrom = Double.NaN;
        nextHold[1] = Math.min(MOST_HOLD, nextHold[1] * 2);
        hold[1] = nextHold[1];
        return;
      }
      nextHold[1] = 1;
      crowdFrom = limit;
      crowdTook = took;
    }
    limit = Math.max(bounds.least(), limit * CROWD_CUT);
  }
}
