package willowdoor.agreement;

/**
 * A door's own view of its lease, measured on the door's monotonic clock from the moment at which it sent a
 * heartbeat that was committed. The replicas measure the same length from the commit, which is later. With
 * clock rates that are each wrong by at most the fraction {@code drift}, the door's view ends before the
 * replicas' view if the door uses {@code length * (1 - drift) / (1 + drift)}: the door's clock may run as
 * slow as {@code 1 - drift} while the replicas' clock runs as fast as {@code 1 + drift} (Gray and Cheriton,
 * "Leases", 1989).
 */
public final class DoorLease {

  private final double clockFactor;
  private double untilMs = Double.NEGATIVE_INFINITY;

  /**
   * Creates a lease that is not held yet.
   *
   * @param drift the maximum rate error of a clock, as a fraction of the elapsed time; from 0 to below 1
   */
  public DoorLease(double drift) {
    if (!(drift >= 0 && drift < 1)) {
      throw new IllegalArgumentException("the clock drift is " + drift + " (expected: from 0 to below 1)");
    }
    clockFactor = (1 - drift) / (1 + drift);
  }

  /**
   * Extends the lease: a heartbeat that was sent at {@code sentMs} was committed with a lease of
   * {@code leaseMs}. Answers may arrive in any order.
   */
  public void renew(double sentMs, double leaseMs) {
    untilMs = Math.max(untilMs, sentMs + leaseMs * clockFactor);
  }

  /**
   * Whether the lease is held at {@code nowMs}. Read the clock immediately before each action that needs the
   * lease, because the process may have been suspended since an earlier check.
   */
  public boolean isValid(double nowMs) {
    return nowMs < untilMs;
  }
}
