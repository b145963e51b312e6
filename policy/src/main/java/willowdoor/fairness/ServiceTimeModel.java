package willowdoor.fairness;

/**
 * Linear model of the service time at the backends by units, for the requests of a class. The slope is a
 * least squares fit over about the last thousand answers, the level an average of about the last fifty. The
 * slope is the work per unit; the intercept is network and queueing time. If all requests have the same units
 * there is no slope. The work is then the time beyond a low quantile of the service times, found by
 * stochastic approximation (H. Robbins and S. Monro, 1951); this is less exact, because it includes
 * variations of the queueing time.
 */
final class ServiceTimeModel {

  private static final double SLOPE_SMOOTHING = 0.002;
  private static final double LEVEL_SMOOTHING = 0.02;
  /** Minimum number of answers for a slope. */
  private static final int MIN_SLOPE_ANSWERS = 50;
  /** Units count as equal if their variance is below this part of their mean square. */
  private static final double MIN_RELATIVE_VARIANCE = 0.01;
  /**
   * The quantile that estimates the time common to all requests; {@link #QUANTILE_STEP} is the step size
   * relative to the mean service time.
   */
  private static final double SHARED_QUANTILE = 0.1;
  private static final double QUANTILE_STEP = 0.05;

  private double answers;
  private double meanUnits;
  private double meanMs;
  private double meanSquaredUnits;
  private double meanUnitsTimesMs;
  private double recentUnits;
  private double recentMs;
  private double sharedMs = Double.NaN;

  void observe(double units, double ms) {
    answers++;
    double slopeWeight = Math.max(SLOPE_SMOOTHING, 1 / answers);
    meanUnits += slopeWeight * (units - meanUnits);
    meanMs += slopeWeight * (ms - meanMs);
    meanSquaredUnits += slopeWeight * (units * units - meanSquaredUnits);
    meanUnitsTimesMs += slopeWeight * (units * ms - meanUnitsTimesMs);
    double levelWeight = Math.max(LEVEL_SMOOTHING, 1 / answers);
    recentUnits += levelWeight * (units - recentUnits);
    recentMs += levelWeight * (ms - recentMs);
    sharedMs = Double.isNaN(sharedMs) ? ms
        : Math.max(0, sharedMs + QUANTILE_STEP * meanMs
        * (ms < sharedMs ? SHARED_QUANTILE - 1 : SHARED_QUANTILE));
  }

  /** Milliseconds per unit; 0 if the answers give no slope. */
  private double msPerUnit() {
    double variance = meanSquaredUnits - meanUnits * meanUnits;
    return answers < MIN_SLOPE_ANSWERS || variance < MIN_RELATIVE_VARIANCE * meanSquaredUnits ? 0
        : Math.max(0, (meanUnitsTimesMs - meanUnits * meanMs) / variance);
  }

  /** Expected service time of a request with these units, in milliseconds. */
  double expectedMs(double units) {
    return Math.max(0, recentMs + msPerUnit() * (units - recentUnits));
  }

  /**
   * Ratio of a request's work to the usual work for its units; 1 while it is unknown. It may be negative for
   * fast answers.
   */
  double workRatio(double units, double ms) {
    double msPerUnit = msPerUnit();
    double workMs = msPerUnit > 0 ? msPerUnit * units : Math.max(recentMs / 20, recentMs - sharedMs);
    return answers < MIN_SLOPE_ANSWERS || workMs <= 0 ? 1 : 1 + (ms - expectedMs(units)) / workMs;
  }
}
