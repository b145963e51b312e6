package willowdoor.fairness;

/**
 * How long requests of a class take at the nodes by their units: a line, its slope fitted by least squares to
 * the last thousand answers or so, its level to the last fifty. The slope is the work of a unit; what is
 * there without units is the way and the queue. Where all have the same units there is no slope, and the work
 * is what is taken beyond the time that nearly all take (a low quantile by stochastic approximation: H.
 * Robbins and S. Monro, 1951), which tells less, as it holds the queue's ups and downs.
 */
final class Takes {

  private static final double SLOPE_NEWEST = 0.002;
  private static final double LEVEL_NEWEST = 0.02;
  /** Fewer answers than this tell no slope. */
  private static final int LEAST_ANSWERS = 50;
  /** Units that differ by less than this, as a variance for their square, are the same. */
  private static final double SAME = 0.01;
  /** The quantile taken for what all share, and how far a step goes for what answers take. */
  private static final double SHARED_QUANTILE = 0.1;
  private static final double STEP = 0.05;

  private double answers;
  private double u;
  private double t;
  private double uu;
  private double ut;
  private double latelyU;
  private double latelyT;
  private double shared = Double.NaN;

  void saw(double units, double ms) {
    answers++;
    double a = Math.max(SLOPE_NEWEST, 1 / answers);
    u += a * (units - u);
    t += a * (ms - t);
    uu += a * (units * units - uu);
    ut += a * (units * ms - ut);
    double b = Math.max(LEVEL_NEWEST, 1 / answers);
    latelyU += b * (units - latelyU);
    latelyT += b * (ms - latelyT);
    shared = Double.isNaN(shared) ? ms
        : Math.max(0, shared + STEP * t * (ms < shared ? SHARED_QUANTILE - 1 : SHARED_QUANTILE));
  }

  /** Milliseconds of a unit; 0 where the answers tell none. */
  private double slope() {
    double variance = uu - u * u;
    return answers < LEAST_ANSWERS || variance < SAME * uu ? 0 : Math.max(0, (ut - u * t) / variance);
  }

  /** The time that so many units are expected to take, in milliseconds. */
  double expected(double units) {
    return Math.max(0, latelyT + slope() * (units - latelyU));
  }

  /** Times the usual work for its units that a request has taken. */
  double ratio(double units, double ms) {
    double slope = slope();
    double work = slope > 0 ? slope * units : Math.max(latelyT / 20, latelyT - shared);
    return answers < LEAST_ANSWERS || work <= 0 ? 1 : 1 + (ms - expected(units)) / work;
  }
}
