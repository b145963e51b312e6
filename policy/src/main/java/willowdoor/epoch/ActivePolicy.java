package willowdoor.epoch;

/**
 * The policies that a door decides by until a time of its own clock. Checking this before each decision costs
 * one comparison until that time has come.
 *
 * @param epoch the epoch of the deciding policy; if negative, no policy decides and requests are refused
 * @param also the epoch of a second policy that must admit a request as well, because either policy may be in
 *     force; negative if there is none
 * @param untilMs when this has to be determined again, in milliseconds of the door's monotonic clock
 */
public record ActivePolicy(long epoch, long also, double untilMs) {

  /** Stands for no epoch. */
  public static final long NONE = -1;

  static ActivePolicy single(long epoch, double untilMs) {
    return new ActivePolicy(epoch, NONE, untilMs);
  }

  static ActivePolicy refuseAll() {
    return new ActivePolicy(NONE, NONE, Double.POSITIVE_INFINITY);
  }

  /** Whether requests are refused because the policy in force is unknown. */
  public boolean refuses() {
    return epoch < 0;
  }
}
