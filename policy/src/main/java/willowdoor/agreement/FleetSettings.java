package willowdoor.agreement;

/**
 * By what a record decides.
 *
 * @param doors the budget of the doors
 * @param backends the budget of the backends
 * @param leaseMs how long a door counts as reached after its last heartbeat was agreed on
 */
public record FleetSettings(Budget doors, Budget backends, double leaseMs) {

  /** Of a record to which none were told yet: nothing may go out. */
  public static final FleetSettings UNCONFIGURED =
      new FleetSettings(new Budget(OutageLimit.of(0), OutageLimit.of(0), 0),
      new Budget(OutageLimit.of(0), OutageLimit.of(0), 0), 3_000);

  /** Refuses a lease that is none. */
  public FleetSettings {
    if (!(leaseMs > 0 && leaseMs < Double.POSITIVE_INFINITY)) {
      throw new IllegalArgumentException("the lease is " + leaseMs + " ms (expected: above 0)");
    }
  }

  Budget budgetFor(Subject.Kind kind) {
    return kind == Subject.Kind.DOOR ? doors : backends;
  }
}
