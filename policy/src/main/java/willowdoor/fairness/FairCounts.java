package willowdoor.fairness;

/**
 * Counters and current state of a {@link FairQueue}.
 *
 * @param atOnce requests released without waiting
 * @param late requests refused because the answer would have come too late
 * @param spent requests refused because the quota was spent for too long
 * @param full requests refused because the queue was full
 * @param drained requests refused because the door was draining
 * @param left waiting requests whose client left or whose deadline passed
 * @param promised promised come-back times
 * @param kept clients that came on time, were released within a second and not refused after that
 * @param missedLate clients that came on time and were released after more than a second, or refused
 *     because the answer would have come too late
 * @param missedSpent clients that came on time, were released, and then refused because the quota was spent
 * @param missedFull clients that came on time and were refused because the queue was full, the door was
 *     draining, or by the policy for a cause other than the quota
 * @param unclaimed promised times for which no client came
 * @param out requests released and not ended yet
 * @param limit current concurrency limit
 * @param remembered promises in memory
 */
public record FairCounts(long arrived, long atOnce, long released, long late, long spent, long full,
    long drained, long left, long promised, long kept, long missedLate, long missedSpent, long missedFull,
    long unclaimed, int waiting, long waitingBytes, int out, double limit, int firms, int flows,
    int remembered) {

  /** One log line: outcomes of requests and promises, and the current state. */
  public String summary() {
    return "arrived " + arrived + ", at once " + atOnce + ", after waiting " + (released - atOnce)
        + "; refused: late " + late + ", spent " + spent + ", full " + full + ", drained " + drained
        + "; left " + left + "; promised " + promised + ": kept " + kept + ", missed late " + missedLate
        + ", missed spent " + missedSpent + ", missed full " + missedFull + ", unclaimed " + unclaimed
        + "; waiting " + waiting + " of " + waitingBytes + " bytes, out " + out + " of "
        + Math.round(limit) + ", firms " + firms + ", flows " + flows + ", remembered " + remembered;
  }
}
