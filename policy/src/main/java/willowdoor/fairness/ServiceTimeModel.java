package willowdoor.fairness;

/**
 * How long requests of a class take at the nodes by their units: a line, its slope fitted by least squares to
 * the last thousand answers or so, its level to the last fifty. The slope is the work of a unit; what is
 * there without units is the way and the queue. Where all have the same units there is no slope, and the work
 * is what is taken beyond the time that nearly all take (a low quantile by stochastic approximation: H.
 * Robbins and S. Monro, 1951), which tells less, as it holds the queue's ups and downs.
 */
final class ServiceTimeModel {

  private static final double SLOPE_SMOOTHING = 0.002;
  private static final double LEVEL_SMOOTHING = 0.02;
  /** Fewer answers than this tell no slope. */
  private static final int MIN_SLOPE_ANSWERS = 50;
  /** Units that differ by less than this, as a variance for their square, are the same. */
  private static final double MIN_RELATIVE_VARIANCE = 0.01;
  /** The quantile taken for what all share, and how far a step goes for what answers take. */
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
        : Math.max(0,
        sharedMs + QUANTILE_STEP * meanMs * (ms < sharedMs ? SHARED_QUANTILE - 1 : SHARED_QUANTILE));
  }

  /** Milliseconds of a unit; 0 where the answers tell none. */
  private double msPerUnit() {
    double variance = meanSquaredUnits - meanUnits * meanUnits;
    return answers < MIN_SLOPE_ANSWERS || variance < MIN_RELATIVE_VARIANCE * meanSquaredUnits ? 0
        : Math.max(0, (meanUnitsTimesMs - meanUnits * meanMs) / variance);
  }

  /** The time that so many units are expected to take, in milliseconds. */
  double expectedMs(double units) {
    return Math.max(0, recentMs + msPerUnit() * (units - recentUnits));
  }

  /** Times the usual work for its units that a request has taken. */
  double workRatio(double units, double ms) {
    double msPerUnit = msPerUnit();
    double workMs = msPerUnit > 0 ? msPerUnit * units : Math.max(recentMs / 20, recentMs - sharedMs);
    return answers < MIN_SLOPE_ANSWERS || workMs <= 0 ? 1 : 1 + (ms - expectedMs(units)) / workMs;
  }
}
