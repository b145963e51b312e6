package willowdoor.agreement;

/**
 * The lease as its door counts it, on its own monotonic clock from the sending of a heartbeat that was agreed
 * on. The stewards count the same length from the commit, which comes after the sending; so with clocks
 * that each run wrong by a part of at most {@code drift}, the door's view ends first if it takes
 * {@code length * (1 - drift) / (1 + drift)} (Gray and Cheriton, 1989): the door's clock may be as slow as
 * {@code 1 - drift} while the stewards' is as fast as {@code 1 + drift}.
 */
public final class DoorLease {

  private final double clockFactor;
  private double untilMs = Double.NEGATIVE_INFINITY;

  /**
   * None is held yet.
   *
   * @param drift the most that a clock runs wrong, as a part of the time that passes
   */
  public DoorLease(double drift) {
    if (!(drift >= 0 && drift < 1)) {
      throw new IllegalArgumentException("clocks wrong by " + drift + " (expected: from 0 to below 1)");
    }
    clockFactor = (1 - drift) / (1 + drift);
  }

  /** A heartbeat that was sent at that time has been agreed on for so long, answers in any order. */
  public void renew(double sentMs, double leaseMs) {
    untilMs = Math.max(untilMs, sentMs + leaseMs * clockFactor);
  }

  /**
   * Whether it holds; to be asked with the clock read just now, before each thing that needs it, since the
   * process may have been stopped since it last looked.
   */
  public boolean isValid(double nowMs) {
    return nowMs < untilMs;
  }
}
