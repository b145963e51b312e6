package willowdoor.rollout;

/**
 * How a process of a door has answered since it began; only ever more.
 *
 * @param asked requests that have ended, other than by their client's leaving
 * @param refused of these, those that were refused
 * @param failed of these, those that failed
 * @param late of these, those that were served later than their class aims at
 */
public record Tally(long asked, long refused, long failed, long late) {

  /** Nothing yet. */
  public static final Tally NONE = new Tally(0, 0, 0, 0);

  /** What came since; all none where the other is not an earlier state of the same. */
  public Tally since(Tally earlier) {
    Tally difference = new Tally(asked - earlier.asked, refused - earlier.refused, failed - earlier.failed,
        late - earlier.late);
    return difference.asked < 0 || difference.refused < 0 || difference.failed < 0 || difference.late < 0
        ? NONE : difference;
  }

  Tally plus(Tally other) {
    return new Tally(asked + other.asked, refused + other.refused, failed + other.failed, late + other.late);
  }
}
