package willowdoor.agreement;

/**
 * A limit for the number of subjects that are out of service at once, either a count or a share of all.
 *
 * @param number a count, or a share from 0 to 1
 * @param share whether {@code number} is a share
 */
public record OutageLimit(double number, boolean share) {

  /** No limit. */
  public static final OutageLimit UNLIMITED = new OutageLimit(Integer.MAX_VALUE, false);

  /** Rejects negative numbers, NaN and shares above 1. */
  public OutageLimit {
    if (!(number >= 0) || share && number > 1) {
      throw new IllegalArgumentException("the outage limit is " + number + (share ? " of 1" : "")
          + " (expected: 0 or more" + (share ? ", 1 at most)" : ")"));
    }
  }

  /** A limit that is a count. */
  public static OutageLimit of(int number) {
    return new OutageLimit(number, false);
  }

  /** A limit that is a share of all subjects, rounded down; a share above 0 allows at least one subject. */
  public static OutageLimit ofShare(double number) {
    return new OutageLimit(number, true);
  }

  /** The number of subjects that may be out if there are {@code all} of them. */
  int resolve(int total) {
    if (!share) {
      return (int) number;
    }
    return number == 0 ? 0 : Math.max(1, (int) Math.floor(number * total + 1e-9));
  }
}
