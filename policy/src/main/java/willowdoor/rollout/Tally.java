package willowdoor.rollout;

/**
 * Counts of the results of requests: those of one door process since its start, or the sum of such counts'
 * differences. The counts of a process never decrease.
 *
 * @param asked number of requests that have ended, except those whose client left
 * @param refused number of these that were refused
 * @param failed number of these that failed
 * @param late number of these that were served later than their class's target latency
 */
public record Tally(long asked, long refused, long failed, long late) {

  /** No requests. */
  public static final Tally NONE = new Tally(0, 0, 0, 0);

  /** The difference from earlier counts; {@link #NONE} if any of those is higher, so of another process. */
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
