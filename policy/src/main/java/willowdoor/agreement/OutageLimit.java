package willowdoor.agreement;

/**
 * How many may be out at once.
 *
 * @param number a count, or a part of all from 0 to 1
 * @param share whether it is such a part
 */
public record OutageLimit(double number, boolean share) {

  /** No bound. */
  public static final OutageLimit UNLIMITED = new OutageLimit(Integer.MAX_VALUE, false);

  /** Refuses what is no bound. */
  public OutageLimit {
    if (!(number >= 0) || share && number > 1) {
      throw new IllegalArgumentException("how many may be out is " + number + (share ? " of 1" : "")
          + " (expected: 0 or more" + (share ? ", 1 at most)" : ")"));
    }
  }

  /** A count. */
  public static OutageLimit of(int number) {
    return new OutageLimit(number, false);
  }

  /** A part of all, rounded down; at least one, unless it is none. */
  public static OutageLimit ofShare(double number) {
    return new OutageLimit(number, true);
  }

  /** The count where there are so many. */
  int resolve(int total) {
    if (!share) {
      return (int) number;
    }
    return number == 0 ? 0 : Math.max(1, (int) Math.floor(number * total + 1e-9));
  }
}
