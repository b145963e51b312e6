package willowdoor.recovery;

/** An event that {@link CeilingRights} handles. Times are milliseconds on a monotonic clock. */
public sealed interface RightsEvent {

  /**
   * A request of a firm that has a ceiling arrived at this door.
   *
   * @param doorCount number of doors that serve the firm
   * @param doorIndex this door's index among them, from 0; -1 if it is none of them
   * @param rate refill rate of the ceiling, in units a second
   * @param burst capacity of the ceiling, in units
   * @param maxUnits the largest number of units that one request may ask for
   * @param units the number of units that this request asks for
   */
  record Requested(long customer, int doorCount, int doorIndex, double rate, double burst, double maxUnits,
      double units) implements RightsEvent { }

  /** A call to the counter has ended; the total is NaN if there was no readable answer. */
  record CallEnded(String name, double total) implements RightsEvent { }

  /** The time of a {@link RightsAction.WakeAt} has come or passed. */
  record Woken() implements RightsEvent { }

  /**
   * This process of the door takes requests from now on: for the first time, or again after
   * {@link HandedOver}. It does not know what another process of the same door transferred or spent so far.
   */
  record Activated() implements RightsEvent { }

  /** Another process of the same door uses the door's shares from now on, and this process none of them. */
  record HandedOver() implements RightsEvent { }
}
