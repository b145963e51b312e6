package willowdoor.net;

/**
 * The request that a client's connection is receiving: since when, how much of it has come, and whether it
 * takes too long. All times are milliseconds on the gateway's clock.
 */
final class IncomingRequest {

  /**
   * Time limit for receiving a request, counted from the connect or, for a later request, from the request's
   * first byte. The head may take 2 s. Received bytes extend the limit at the rate of {@link
   * #MIN_BYTES_PER_MS}, as a body may arrive at 64 kB/s. A client that sends only a trickle gains practically
   * no time: each held connection is one that another client cannot have.
   */
  static final double LIMIT_MS = 2_600;
  private static final double MIN_BYTES_PER_MS = 40;
  /** The same for the time since the last byte: a client that stops is to hear of it within 3 s. */
  private static final double SILENCE_MS = 2_400;

  /** When the request began, or NaN if none is being received. */
  private double sinceMs = Double.NaN;
  private int bytes;
  private double lastByteMs;

  /** Called with the number of bytes received, before they are decoded. */
  void onBytes(double nowMs, int received) {
    lastByteMs = nowMs;
    onBegun(nowMs);
    bytes += received;
  }

  /** Called when a part of a request is there; ignored if that was known. */
  void onBegun(double nowMs) {
    sinceMs = isReceiving() ? sinceMs : nowMs;
  }

  /** Called when the request is complete, or is not received any further. */
  void reset() {
    sinceMs = Double.NaN;
    bytes = 0;
  }

  boolean isReceiving() {
    return !Double.isNaN(sinceMs);
  }

  /** When the request began, or NaN if none is being received. */
  double sinceMs() {
    return sinceMs;
  }

  /** When the last bytes of the connection were read; 0 if none were. */
  double lastByteMs() {
    return lastByteMs;
  }

  /** Bytes of the request so far. */
  int bytes() {
    return bytes;
  }

  /**
   * Whether the request takes too long.
   *
   * @param fromMs the moment from which its time counts
   */
  boolean isOverdue(double nowMs, double fromMs) {
    return isReceiving()
        && (nowMs - fromMs > LIMIT_MS + bytes / MIN_BYTES_PER_MS || nowMs - lastByteMs > SILENCE_MS);
  }
}
