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
final class ConcurrencyLimit {

  private static final double TRIAL_INCREASE = 0.1;
  /** Answers that take more are a crowd, unless fewer out make them no quicker. */
  private static final double CONGESTION_THRESHOLD = 0.1;
  private static final double CONGESTION_CUT_FACTOR = 0.9;
  /** After so many rounds of it answers are to take this much less, or it is no crowd. */
  private static final int CONGESTION_CHECK_ROUNDS = 4;
  private static final double MIN_LATENCY_GAIN = 0.15;
  /** A trial of more is kept if the answers grow by this part of it. */
  private static final double MIN_TRIAL_GAIN = 0.35;
  private static final int MIN_ROUND_ANSWERS = 10;
  private static final double MIN_ROUND_MS = 500;
  private static final int MAX_HOLD_ROUNDS = 32;
  /** A gap of this many usual ones, and of so long at the least, is a pause. */
  private static final double PAUSE_GAP_FACTOR = 8;
  private static final double MIN_PAUSE_GAP_MS = 150;
  private static final double GAP_SMOOTHING = 0.05;
  /** One answer counts for no more than this many times the time wanted. */
  private static final double MAX_LATENCY_RATIO = 3;

  private final Limit bounds;
  private double limit;
  private int outstanding;
  private double usualGapMs = Double.NaN;
  private double lastAnswerMs = Double.NaN;
  private double pauseEndedMs = Double.NEGATIVE_INFINITY;
  private double roundStartMs = Double.NEGATIVE_INFINITY;
  private int answers;
  private int failures;
  private double latencyRatioSum;
  private boolean limitReached;
  /** Before a trial: the limit and what its round had; NaN when none is on. */
  private double limitBeforeTrial = Double.NaN;
  private double rateBeforeTrial;
  /**
   * Where a crowd is taken to be: the limit before, what answers took, and rounds since; NaN when none is.
   */
  private double limitBeforeCuts = Double.NaN;
  private double latencyRatioBeforeCuts;
  private int cutRounds;
  /** Rounds until the next trial of more and of less, and how many after one that is taken back. */
  private final int[] holdRounds = new int[2];
  private final int[] nextHoldRounds = {1, 1};

  ConcurrencyLimit(Limit bounds) {
    this.bounds = bounds;
    limit = bounds.initial();
  }

  double limit() {
    return limit;
  }

  int outstanding() {
    return outstanding;
  }

  boolean hasRoom() {
    limitReached |= outstanding + 1 >= (int) limit;
    return outstanding < (int) limit;
  }

  void onReleased(double nowMs) {
    if (outstanding == 0) {
      lastAnswerMs = nowMs;
    }
    outstanding++;
  }

  /** It is over without an answer that tells of the pool. */
  void endedWithoutAnswer() {
    outstanding--;
  }

  /** A node answered it, or it failed there. */
  void onAnswer(double nowMs, double releasedMs, double aimMs, boolean failed) {
    outstanding--;
    recordAnswerGap(nowMs);
    if (releasedMs < pauseEndedMs || releasedMs < roundStartMs) {
      return;
    }
    answers++;
    failures += failed ? 1 : 0;
    latencyRatioSum += Math.min(MAX_LATENCY_RATIO, failed ? MAX_LATENCY_RATIO : (nowMs - releasedMs) / aimMs);
    if (answers >= Math.max(MIN_ROUND_ANSWERS, limit) && nowMs - roundStartMs >= MIN_ROUND_MS) {
      endRound(nowMs);
      roundStartMs = nowMs;
      answers = 0;
      failures = 0;
      latencyRatioSum = 0;
      limitReached = false;
    }
  }

  private void recordAnswerGap(double nowMs) {
    double gapMs = nowMs - lastAnswerMs;
    if (gapMs > Math.max(MIN_PAUSE_GAP_MS, PAUSE_GAP_FACTOR * usualGapMs)) {
      pauseEndedMs = nowMs;
      limitReached = false;
      // The round begins anew: half of it before and half after a pause compare with nothing.
      answers = 0;
      failures = 0;
      latencyRatioSum = 0;
      roundStartMs = nowMs;
    } else {
      usualGapMs = Double.isNaN(usualGapMs) ? gapMs : usualGapMs + GAP_SMOOTHING * (gapMs - usualGapMs);
    }
    lastAnswerMs = nowMs;
  }

  private void endRound(double nowMs) {
    double latencyRatio = latencyRatioSum / answers;
    double answersPerMs = answers / Math.max(1, nowMs - roundStartMs);
    holdRounds[0] = Math.max(0, holdRounds[0] - 1);
    holdRounds[1] = Math.max(0, holdRounds[1] - 1);
    if (!Double.isNaN(limitBeforeTrial)) {
      boolean keep = answersPerMs / rateBeforeTrial - 1 > MIN_TRIAL_GAIN * (limit / limitBeforeTrial - 1);
      nextHoldRounds[0] = keep ? 1 : Math.min(MAX_HOLD_ROUNDS, nextHoldRounds[0] * 2);
      holdRounds[0] = keep ? 0 : nextHoldRounds[0];
      limit = keep ? limit : limitBeforeTrial;
      limitBeforeTrial = Double.NaN;
    } else if (limitReached && latencyRatio > CONGESTION_THRESHOLD && holdRounds[1] == 0
        && limit > bounds.min()) {
      cutForCongestion(latencyRatio);
    } else if (!Double.isNaN(limitBeforeCuts)) {
      limitBeforeCuts = Double.NaN;
    } else if (limitReached && holdRounds[0] == 0 && failures * 2 < answers && limit < bounds.max()) {
      limitBeforeTrial = limit;
      rateBeforeTrial = answersPerMs;
      limit = Math.min(bounds.max(),
          limit + (latencyRatio < CONGESTION_THRESHOLD / 2 ? Math.max(1, limit * TRIAL_INCREASE) : 1));
    }
  }

  private void cutForCongestion(double latencyRatio) {
    if (Double.isNaN(limitBeforeCuts)) {
      limitBeforeCuts = limit;
      latencyRatioBeforeCuts = latencyRatio;
      cutRounds = 0;
    } else if (++cutRounds % CONGESTION_CHECK_ROUNDS == 0) {
      if (latencyRatio > latencyRatioBeforeCuts * (1 - MIN_LATENCY_GAIN)) {
        limit = limitBeforeCuts;
        limitBeforeCuts = Double.NaN;
        nextHoldRounds[1] = Math.min(MAX_HOLD_ROUNDS, nextHoldRounds[1] * 2);
        holdRounds[1] = nextHoldRounds[1];
        return;
      }
      nextHoldRounds[1] = 1;
      limitBeforeCuts = limit;
      latencyRatioBeforeCuts = latencyRatio;
    }
    limit = Math.max(bounds.min(), limit * CONGESTION_CUT_FACTOR);
  }
}
