package willowdoor.epoch;

/**
 * The time limits of policy changes, in milliseconds.
 *
 * @param fenceMs a door without an answer from the replicas for this long, by its own clock, refuses all
 *     requests; an unreachable door delays a change by this long
 * @param marginMs the time between the decision and the switch to the new policy; a door that accepted the
 *     change and has no contact for this long no longer decides by the old policy alone
 * @param prepareMs a change that some door has not prepared after this time is aborted
 */
public record EpochSettings(double fenceMs, double marginMs, double prepareMs) {

  /** The defaults: a fence of 1 minute, a margin of 3 seconds, and a prepare timeout of 5 minutes. */
  public static final EpochSettings DEFAULTS = new EpochSettings(60_000, 3_000, 300_000);

  /** Rejects values that are not positive, not finite or not in ascending order. */
  public EpochSettings {
    if (!(marginMs > 0 && marginMs <= fenceMs && fenceMs <= prepareMs
        && prepareMs < Double.POSITIVE_INFINITY)) {
      throw new IllegalArgumentException("margin_ms " + marginMs + ", fence_ms " + fenceMs + ", prepare_ms "
          + prepareMs + " (expected: above 0 and finite; margin_ms at most fence_ms,"
          + " fence_ms at most prepare_ms)");
    }
  }
}
