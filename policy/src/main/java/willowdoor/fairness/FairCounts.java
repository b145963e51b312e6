package willowdoor.fairness;

/**
 * What a {@link FairQueue} has done so far and holds now.
 *
 * @param atOnce let through without waiting
 * @param late refused since an answer would have come too late
 * @param spent refused since the quota was spent for too long
 * @param full refused since too much waited
 * @param drained refused as the door ended
 * @param promised come-back times told and remembered
 * @param kept clients that came when told, and were let through within a second and not refused after
 * @param missedLate of those that came when told: not let through within a second
 * @param missedSpent let through, and refused as the quota was spent
 * @param missedFull put out as too much waited, as the door ended, or refused by the policy for the
 *     fleet's sake
 * @param unclaimed told, and nobody came
 */
public record FairCounts(long arrived, long atOnce, long released, long late, long spent, long full,
    long drained, long left, long promised, long kept, long missedLate, long missedSpent, long missedFull,
    long unclaimed, int waiting, long waitingBytes, int out, double limit, int firms, int flows,
    int remembered) {

  /** One line of a log: what became of requests, of promises, and what is held. */
  public String summary() {
    return "arrived " + arrived + ", at once " + atOnce + ", after waiting " + (released - atOnce)
        + "; refused: late " + late + ", spent " + spent + ", full " + full + ", drained " + drained
        + "; left " + left + "; promised " + promised + ": kept " + kept + ", missed late " + missedLate
        + ", missed spent " + missedSpent + ", missed full " + missedFull + ", unclaimed " + unclaimed
        + "; waiting " + waiting + " of " + waitingBytes + " bytes, out " + out + " of "
        + Math.round(limit) + ", firms " + firms + ", flows " + flows + ", remembered " + remembered;
  }
}
