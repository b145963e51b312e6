package willowdoor.net;

import java.time.Instant;

/**
 * Unix time in milliseconds that never goes back: the system's time once, and the monotonic clock since. The
 * names of the shared counts' windows come from it, so a step of the system's time must not reach them.
 */
final class Clock {

  private final double startMs;
  private final long startNanos;

  Clock() {
    Instant start = Instant.now();
    startNanos = System.nanoTime();
    startMs = start.getEpochSecond() * 1e3 + start.getNano() / 1e6;
  }

  double now() {
    return startMs + (System.nanoTime() - startNanos) / 1e6;
  }
}
