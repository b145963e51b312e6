package willowdoor.agreement;

/**
 * By what a record decides.
 *
 * @param doors the budget of the doors
 * @param backends the budget of the backends
 * @param leaseMs how long a door counts as reached after its last heartbeat was agreed on
 */
public record Terms(Budget doors, Budget backends, double leaseMs) {

  /** Refuses a lease that is none. */
  public Terms {
    if (!(leaseMs > 0 && leaseMs < Double.POSITIVE_INFINITY)) {
      throw new IllegalArgumentException("the lease is " + leaseMs + " ms (expected: above 0)");
    }
  }

  Budget of(Subject.Kind kind) {
    return kind == Subject.Kind.DOOR ? doors : backends;
  }
}
