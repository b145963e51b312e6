package willowdoor.epoch;

/**
 * What a fleet agrees on changes of policy by. Times are milliseconds.
 *
 * @param fenceMs a door that has not heard the stewards for so long, by its own clock, decides nothing any
 *     more; one that is not reached holds a change up for so long
 * @param marginMs between the decision and the moment from which it holds; a door that said yes and hears
 *     nothing for so long no longer decides by the old policy alone
 * @param prepareMs a change that is not prepared everywhere by then is aborted
 */
public record EpochSettings(double fenceMs, double marginMs, double prepareMs) {

  /** A minute, three seconds, and five minutes. */
  public static final EpochSettings DEFAULTS = new EpochSettings(60_000, 3_000, 300_000);

  /** Checked. */
  public EpochSettings {
    if (!(marginMs > 0 && marginMs <= fenceMs && fenceMs <= prepareMs
        && prepareMs < Double.POSITIVE_INFINITY)) {
      throw new IllegalArgumentException("margin_ms " + marginMs + ", fence_ms " + fenceMs + ", prepare_ms "
          + prepareMs + " (expected: above 0, none above the one after it)");
    }
  }
}
