package willowdoor.recovery;

/** An event that {@link CounterWatch} handles. Times are milliseconds on a monotonic clock. */
public sealed interface WatchEvent {

  /** A connection to the counter was established; it may lead to another counter than before. */
  record Connected(int link) implements WatchEvent { }

  /**
   * A check has ended.
   *
   * @param number the number of the {@link WatchAction.Check}
   * @param total the total after the addition; NaN if there was no readable answer, whether or not the
   *     amount was added
   */
  record CheckEnded(long number, double total) implements WatchEvent { }

  /** The time of a {@link WatchAction.WakeAt} has come or passed. */
  record Woken() implements WatchEvent { }
}
