package willowdoor.agreement;

/**
 * What may be out at once of one kind, on purpose and by itself together.
 *
 * @param inAll of all that are known
 * @param inZone of those of one zone
 * @param leastWeight the sum of the weights that must go on serving
 */
public record Budget(OutageLimit inAll, OutageLimit inZone, double leastWeight) {

  /** Refuses a weight below none. */
  public Budget {
    if (!(leastWeight >= 0)) {
      throw new IllegalArgumentException("the least weight is " + leastWeight + " (expected: 0 or more)");
    }
  }
}
