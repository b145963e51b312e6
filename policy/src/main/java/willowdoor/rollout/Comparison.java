package willowdoor.rollout;

/**
 * By what released doors are held against those that are not.
 *
 * @param tolerated released doors may refuse, fail or be late so many times as often as the others, above 0
 * @param suspected what is looked for: so many times as often, above {@code tolerated}
 * @param falseAlarm a release that keeps to what is tolerated is halted with this chance at most, in each
 * wave
 * @param clump refusals and failures come in clumps of so many, 1 where each comes by itself
 */
public record Comparison(double tolerated, double suspected, double falseAlarm, double clump) {

  /** What a plan has that says nothing else. */
  public static final Comparison DEFAULT = new Comparison(1.25, 2.5, 0.01, 2);

  /** Refuses what compares nothing. */
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
