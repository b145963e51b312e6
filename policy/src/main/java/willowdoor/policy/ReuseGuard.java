package willowdoor.policy;

/**
 * How long a backend's connection has to be quiet after an answer before it is used again. HTTP/1.1 names no
 * request in an answer, so a second copy of an answer, or other input that nobody asked for, can be told from
 * the next answer only as long as no further request was written. All backends of a gateway count together: a
 * connection is used again early only after many that stayed quiet, and late for a while after one that did
 * not.
 *
 * <p>Input that comes later than the quiet time, after the next request was written, is still taken for its
 * answer.
 */
public final class ReuseGuard {

  /** Quiet time in milliseconds of connections to backends that send nothing unasked. */
  private static final double TRUSTED_QUIET_MS = 4;
  /** The same before that is known. */
  private static final double INITIAL_QUIET_MS = 25;
  /** Upper bound of the quiet time; a later copy would cost nearly all reuse. */
  private static final double MAX_QUIET_MS = 200;
  /** The quiet time as a multiple of the longest delay of unsolicited input that was seen lately. */
  private static final double DELAY_FACTOR = 2.5;
  /** Connections that stayed quiet, in a row, until backends are trusted. */
  private static final int TRUSTED_AFTER = 500;
  /** Milliseconds for which unsolicited input is remembered. */
  private static final double REMEMBER_MS = 60_000;

  private int quietInARow;
  private double rememberedUntilMs = Double.NEGATIVE_INFINITY;
  private double rememberedQuietMs;

  /** A connection was quiet until it was used again. */
  public void onQuiet() {
    quietInARow++;
  }

  /**
   * Something came on a connection that nobody had asked for.
   *
   * @param delayMs how long after the answer before it
   */
  public void onUnsolicited(double nowMs, double delayMs) {
    quietInARow = 0;
    double quietMs = Math.min(MAX_QUIET_MS, Math.max(INITIAL_QUIET_MS, DELAY_FACTOR * delayMs));
    rememberedQuietMs = nowMs < rememberedUntilMs ? Math.max(rememberedQuietMs, quietMs) : quietMs;
    rememberedUntilMs = nowMs + REMEMBER_MS;
  }

  /** The quiet time at this moment, in milliseconds. */
  public double quietMs(double nowMs) {
    if (nowMs < rememberedUntilMs) {
      return rememberedQuietMs;
    }
    return quietInARow >= TRUSTED_AFTER ? TRUSTED_QUIET_MS : INITIAL_QUIET_MS;
  }
}
