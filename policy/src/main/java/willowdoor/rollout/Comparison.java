package willowdoor.rollout;

/**
 * Parameters of the comparison of released doors with the others.
 *
 * @param tolerated tolerated ratio of the released doors' rate of refusals, failures or late answers to the
 *     rate of the others; above 0
 * @param suspected the ratio that the test looks for; above {@code tolerated}, below 1000
 * @param falseAlarm upper bound, for each wave, of the probability that a release within the tolerated ratio
 *     is halted; above 0 and below 1
 * @param clump number of refusals, failures or late answers that typically occur together; 1 if they occur
 *     independently
 */
public record Comparison(double tolerated, double suspected, double falseAlarm, double clump) {

  /** Applies to plans that state no other values. */
  public static final Comparison DEFAULT = new Comparison(1.25, 2.5, 0.01, 2);

  /** Rejects values out of range. */
  public Comparison {
    if (!(tolerated > 0 && suspected > tolerated && suspected < 1_000)) {
      throw new IllegalArgumentException("tolerated " + tolerated + " and suspected " + suspected
          + " (expected: 0 < tolerated < suspected < 1000)");
    }
    if (!(falseAlarm > 0 && falseAlarm < 1 && clump >= 1 && clump <= 1_000)) {
      throw new IllegalArgumentException("false_alarm " + falseAlarm + " and clump " + clump
          + " (expected: above 0 and below 1; from 1 to 1000)");
    }
  }
}
