package willowdoor.agreement;

/**
 * The settings that the replicated state machine decides by.
 *
 * @param doors the budget of the doors
 * @param backends the budget of the backends
 * @param leaseMs how long, in milliseconds, a process of a door counts as reachable after its last heartbeat
 *     was committed
 */
public record FleetSettings(Budget doors, Budget backends, double leaseMs) {

  /** In force until the first settings are committed: no subject may be taken out. */
  public static final FleetSettings UNCONFIGURED =
      new FleetSettings(new Budget(OutageLimit.of(0), OutageLimit.of(0), 0),
      new Budget(OutageLimit.of(0), OutageLimit.of(0), 0), 3_000);

  /** Rejects a lease that is not positive and finite. */
  public FleetSettings {
    if (!(leaseMs > 0 && leaseMs < Double.POSITIVE_INFINITY)) {
      throw new IllegalArgumentException("the lease is " + leaseMs + " ms (expected: above 0)");
    }
  }

  Budget budgetFor(Subject.Kind kind) {
    return kind == Subject.Kind.DOOR ? doors : backends;
  }
}
