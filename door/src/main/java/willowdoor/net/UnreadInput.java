package willowdoor.net;

/**
 * Tracks whether a client's connection may hold input that was not read yet, as the reads of one turn of the
 * loop are limited. The end of a connection comes after all its input, so work for a client waits until there
 * is none, for a limited time: some clients write without end.
 */
final class UnreadInput {

  /** Interval of the checks of {@link #mayExist} while work waits, in milliseconds. */
  static final long CHECK_INTERVAL_MS = 5;
  /** How long work waits for the same unread input, in milliseconds. */
  private static final double MAX_WAIT_MS = 100;

  /** Since when each turn of the loop may have left something unread, or NaN. */
  private double sinceMs = Double.NaN;
  /** Whether something was read, or reading was resumed, since the last check. */
  private boolean readSinceCheck;

  /**
   * Called when the loop turns to the next connection.
   *
   * @param moreUnread whether this connection may hold more
   */
  void onTurnEnd(double nowMs, boolean moreUnread) {
    readSinceCheck = true;
    if (!moreUnread) {
      sinceMs = Double.NaN;
    } else if (Double.isNaN(sinceMs)) {
      sinceMs = nowMs;
    }
  }

  /** Called when the connection is read again after a pause. */
  void onReadingResumed() {
    readSinceCheck = true;
  }

  /**
   * Whether work for the client should wait, and ask again after {@link #CHECK_INTERVAL_MS}. If nothing was
   * read since the last check, there is nothing unread.
   */
  boolean mayExist(double nowMs) {
    if (!readSinceCheck) {
      sinceMs = Double.NaN;
    }
    readSinceCheck = false;
    return nowMs - sinceMs < MAX_WAIT_MS;
  }
}
