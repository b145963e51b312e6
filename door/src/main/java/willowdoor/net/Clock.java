package willowdoor.net;

import java.time.Instant;

/**
 * Unix time in milliseconds that never goes backwards: the system clock is read once, and the monotonic clock
 * from then on. The names of the shared counts' windows derive from this time, so a step of the system clock
 * must not affect it.
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
