package willowdoor.recovery;

/** An action that {@link CounterWatch} asks its caller to perform. */
public sealed interface WatchAction {

  /** What the new counter has of the previous counter's totals. */
  enum Origin {
    /** None of this door's latest names: it started empty, or from a copy older than these names. */
    EMPTY,
    /** A part: it started from a copy that lacks the latest additions. */
    OLD_COPY,
    /** Unknown: no check was answered for so long that it may or may not be the same counter. */
    UNTOLD
  }

  /**
   * Add to a name, before anything else is sent on the connection; the answer is reported as
   * {@link WatchEvent.CheckEnded}.
   *
   * @param number identifies the check
   * @param link the connection to use, or -1 for any
   * @param ttlMs how long the counter keeps a new name
   */
  record Check(long number, int link, String name, double amount, double ttlMs) implements WatchAction { }

  /**
   * The counter that answers now is not the one that answered before, or can't be shown to be the same.
   *
   * @param incarnation number of counters that this door has seen, from 1
   * @param lostSinceMs with an old copy, when the last check that the copy contains was sent; otherwise
   *     negative infinity
   */
  record Replaced(int incarnation, Origin origin, double lostSinceMs) implements WatchAction { }

  /** Send {@link WatchEvent.Woken} at this time. */
  record WakeAt(double atMs) implements WatchAction { }
}
