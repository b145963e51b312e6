package willowdoor.recovery;

/** What {@link CeilingRights} is told. Times are milliseconds on a clock that only moves forward. */
public sealed interface RightsEvent {

  /**
   * A request of a firm under a ceiling has come to this door.
   *
   * @param doorCount how many doors its firm's requests may come through
   * @param doorIndex this door's place among them, from 0, or -1 when it is none of them
   * @param rate units a second by which the ceiling fills
   * @param burst units that it holds at the most
   * @param maxUnits units that one request may name at the most
   * @param units that this request names
   */
  record Requested(long customer, int doorCount, int doorIndex, double rate, double burst, double maxUnits,
      double units) implements RightsEvent { }

  /** The end of a call; the total is NaN when no readable answer came. */
  record CallEnded(String name, double total) implements RightsEvent { }

  /** The moment that a {@link RightsAction.WakeAt} named, or a later one. */
  record Woken() implements RightsEvent { }

  /**
   * This life of the door takes requests from here on: for the first time, or again after {@link HandedOver}.
   * What another life of the same door has given away or spent until now is not known to it.
   */
  record Activated() implements RightsEvent { }

  /** Another life of the same door uses its parts from here on, and this one none of them. */
  record HandedOver() implements RightsEvent { }
}
