package willowdoor.recovery;

/** What {@link CounterWatch} is told. Times are milliseconds on a clock that only moves forward. */
public sealed interface WatchEvent {

  /** A connection to the counter has come up; it may be another counter's. */
  record Connected(int link) implements WatchEvent { }

  /**
   * The end of a check.
   *
   * @param number the check's, as {@link WatchAction.Check} gave it
   * @param total after the add; NaN when no readable answer came, whether it was added or not
   */
  record CheckEnded(long number, double total) implements WatchEvent { }

  /** The moment that a {@link WatchAction.WakeAt} named, or a later one. */
  record Woken() implements WatchEvent { }
}
