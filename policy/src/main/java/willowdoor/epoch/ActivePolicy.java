package willowdoor.epoch;

/**
 * By which policies a door decides, until a moment of its own clock: asked before each decision, it is one
 * comparison as long as that moment hasn't come.
 *
 * @param epoch that decides; below 0 nothing does, and requests are refused
 * @param also another that must let a request pass as well, as either may hold; below 0 for none
 */
public record ActivePolicy(long epoch, long also, double untilMs) {

  /** No epoch. */
  public static final long NONE = -1;

  static ActivePolicy single(long epoch, double untilMs) {
    return new ActivePolicy(epoch, NONE, untilMs);
  }

  static ActivePolicy refuseAll() {
    return new ActivePolicy(NONE, NONE, Double.POSITIVE_INFINITY);
  }

  /** Whether requests are refused, as it isn't known what holds. */
  public boolean refuses() {
    return epoch < 0;
  }
}
