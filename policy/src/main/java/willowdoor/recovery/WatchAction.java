package willowdoor.recovery;

/** What {@link CounterWatch} has done. */
public sealed interface WatchAction {

  /** What another counter knows of the one before. */
  enum Origin {
    /** Nothing of this door's newest name: it began empty, or with a copy older than that name. */
    EMPTY,
    /** A part: it began with a copy that lacks what was added last. */
    OLD_COPY,
    /** It may be the same: no check was answered for too long to tell. */
    UNTOLD
  }

  /**
   * Add to a name before anything else is sent on the link; the answer is told as
   * {@link WatchEvent.CheckEnded}.
   *
   * @param link the connection, or -1 for any
   */
  record Check(long number, int link, String name, double amount, double ttlMs) implements WatchAction { }

  /**
   * The counter that answers now is not the one that answered before, or can't be told from another.
   *
   * @param incarnation counts the counters that this door has seen, from 1
   * @param lostSinceMs when the last check was sent that an old copy has; negative infinity for any other
   */
  record Replaced(int incarnation, Origin origin, double lostSinceMs) implements WatchAction { }

  /** Be woken then. */
  record WakeAt(double atMs) implements WatchAction { }
}
