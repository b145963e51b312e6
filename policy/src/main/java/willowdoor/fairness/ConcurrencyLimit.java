package willowdoor.fairness;

import willowdoor.fairness.FairSettings.Limit;

/**
 * Adaptive limit of the number of outstanding requests of this door at a pool of backends. The target is the
 * knee, beyond which more concurrency brings longer response times but no more answers (L. Kleinrock, "Power
 * and Deterministic Rules of Thumb for Probabilistic Problems in Computer Communications", 1979). It is found
 * by trials in rounds of answers. While requests wait, the limit is raised by a tenth; the increase is kept
 * if the answer rate grows, and otherwise reverted, and the next trial waits for twice as many rounds.
 *
 * <p>When several doors share the pool, a door with more outstanding requests gets more answers at the
 * expense of the others. Therefore, when response times exceed a tenth of their target, each round cuts the
 * limit by a tenth, and above half of that threshold a trial adds only one request. All doors see the same
 * response times, decrease together and converge to even shares (multiplicative decrease: D.-M. Chiu and R.
 * Jain, "Analysis of the Increase and Decrease Algorithms for Congestion Avoidance in Computer Networks",
 * 1989).
 *
 * <p>Two conditions are distinguished from congestion:
 *
 * <ul>
 * <li>A <b>pause</b>: no answer at all for much longer than usual while requests are outstanding. The answers
 *     to requests released before its end are ignored, and the round starts again.
 * <li><b>Slow backends</b>: with fewer outstanding requests, answers are fewer and not faster. The cuts are
 *     reverted.
 * </ul>
 *
 * <p>The limit never falls below its minimum, which keeps probes going to backends that recover.
 */
final class ConcurrencyLimit {

  private static final double TRIAL_INCREASE = 0.1;
  /**
   * Ratio of response time to its target above which the pool is congested, unless a lower limit makes
   * answers no faster.
   */
  private static final double CONGESTION_THRESHOLD = 0.1;
  private static final double CONGESTION_CUT_FACTOR = 0.9;
  /**
   * After this many rounds of cuts, response times must have fallen by {@link #MIN_LATENCY_GAIN}; otherwise
   * the pool is not congested.
   */
  private static final int CONGESTION_CHECK_ROUNDS = 4;
  private static final double MIN_LATENCY_GAIN = 0.15;
  /** A trial is kept if the answer rate grows by more than this part of the increase of the limit. */
  private static final double MIN_TRIAL_GAIN = 0.35;
  private static final int MIN_ROUND_ANSWERS = 10;
  private static final double MIN_ROUND_MS = 500;
  private static final int MAX_HOLD_ROUNDS = 32;
  /**
   * A gap between answers is a pause if it is longer than this many usual gaps and than {@link
   * #MIN_PAUSE_GAP_MS}.
   */
  private static final double PAUSE_GAP_FACTOR = 8;
  private static final double MIN_PAUSE_GAP_MS = 150;
  private static final double GAP_SMOOTHING = 0.05;
  /** Upper bound of the latency ratio of one answer; a failure counts as this ratio. */
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
  /** Limit before the current trial; NaN without a trial. The rate is that of the round before the trial. */
  private double limitBeforeTrial = Double.NaN;
  private double rateBeforeTrial;
  /**
   * Limit before the current series of cuts; NaN without one. The other two fields hold the latency ratio
   * before these cuts, and the number of rounds of cuts.
   */
  private double limitBeforeCuts = Double.NaN;
  private double latencyRatioBeforeCuts;
  private int cutRounds;
  /**
   * Rounds until the next trial (index 0) and the next cuts (index 1); nextHoldRounds holds the value for the
   * next revert.
   */
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

  /** A request has ended without an answer that gives information about the pool. */
  void endedWithoutAnswer() {
    outstanding--;
  }

  /** A backend has answered a request, or the request failed there. */
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
      // Restart the round: a round that spans a pause cannot be compared with another.
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
      limit = Math.min(bounds.max(), limit
          + (latencyRatio < CONGESTION_THRESHOLD / 2 ? Math.max(1, limit * TRIAL_INCREASE) : 1));
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
