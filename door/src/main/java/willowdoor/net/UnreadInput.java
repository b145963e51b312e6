package willowdoor.net;

import java.util.function.DoubleSupplier;

/**
 * Tracks whether a client's connection may hold input that was not read yet, here or at its sender. The end
 * of a connection comes after all its input, so work for a client waits until there is none.
 *
 * <p>An empty receive queue shows nothing after much input: its sender's kernel sends more once the window is
 * open again, and the end of the connection last. So the connection has to be quiet for a while then, if it
 * has brought anything beyond the request that is to begin.
 */
final class UnreadInput {

  /** Interval of the checks of {@link #mayExist} while work waits, in milliseconds. */
  static final long CHECK_INTERVAL_MS = 5;
  /** Input of so many bytes in one turn of the loop may have filled the window of the connection. */
  private static final int MUCH_BYTES = 8 * 1024;
  /** Time without input after which nothing more is at the sender. */
  private static final double QUIET_MS = 20;
  /** The kernel tells times of arrival to so many milliseconds. */
  private static final double KERNEL_CLOCK_MS = 10;
  /** Checks after which a time of arrival is not believed any more, if nothing was read in between. */
  private static final int MAX_CHECKS = 4;

  /** Much was read, and the connection was not quiet since. */
  private boolean much;
  /** The last turn was cut short: something may be in the receive queue. */
  private boolean cutShort;
  private boolean paused;
  private double lastReadMs;
  private int checksSinceRead;

  /**
   * Called when the loop turns to the next connection.
   *
   * @param bytes what was read in this turn
   * @param turnCutShort whether the turn ended by its limits and not because nothing was left
   */
  void onTurnEnd(double nowMs, int bytes, boolean turnCutShort) {
    much |= turnCutShort || bytes >= MUCH_BYTES;
    cutShort = turnCutShort;
    lastReadMs = nowMs;
    checksSinceRead = 0;
  }

  /** Called when the connection is not read for a while. */
  void onReadingPaused() {
    paused = true;
  }

  /** Called when the connection is read again after a pause. */
  void onReadingResumed(double nowMs) {
    paused = false;
    lastReadMs = nowMs;
  }

  /**
   * Whether work for the client should wait, and ask again after {@link #CHECK_INTERVAL_MS}.
   *
   * @param inputBehind whether anything was read beyond the request that the work is for
   * @param sinceArrivalMs tells how long the newest bytes have been with the kernel: a loop that is held up
   *     has not read what has come meanwhile
   */
  boolean mayExist(double nowMs, boolean inputBehind, DoubleSupplier sinceArrivalMs) {
    if (!much || paused) {
      return much;
    }
    double sinceReadMs = nowMs - lastReadMs;
    if (sinceReadMs < QUIET_MS) {
      return cutShort || inputBehind;
    }
    checksSinceRead++;
    boolean arrivedSince = sinceArrivalMs.getAsDouble() < sinceReadMs - KERNEL_CLOCK_MS;
    much = arrivedSince && checksSinceRead <= MAX_CHECKS;
    return much;
  }
}
