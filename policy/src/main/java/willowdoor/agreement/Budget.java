package willowdoor.agreement;

/**
 * Limits how many subjects of one kind may be out of service at once. Subjects that were taken out on purpose
 * and subjects that failed count alike.
 *
 * @param inAll the limit over all known subjects of the kind
 * @param inZone the limit within each zone
 * @param leastWeight the minimum sum of the weights of the subjects that keep serving
 */
public record Budget(OutageLimit inAll, OutageLimit inZone, double leastWeight) {

  /** Rejects a minimum weight that is negative or NaN. */
  public Budget {
    if (!(leastWeight >= 0)) {
      throw new IllegalArgumentException("the least weight is " + leastWeight + " (expected: 0 or more)");
    }
  }
}
