package willowdoor.authz;

import java.util.SplittableRandom;
import willowdoor.authz.AuthzSettings.Authoriser;
import willowdoor.authz.AuthzSettings.Health;

/**
 * The state of one authoriser: its calls in progress, and whether it is ejected.
 *
 * <p>An authoriser is ejected after a number of consecutive failures, or when too large a share of its latest
 * calls fail (as in Envoy's outlier detection: consecutive errors and success rate). While it is ejected this
 * class works as an open circuit breaker (M. Nygard, Release It!, 2007): no call is made until the ejection
 * time is over; then a single call is made as a probe, and no other while the probe is in progress. If the
 * probe succeeds the authoriser is used again; if it fails the authoriser is ejected for twice as long, up to
 * a limit.
 *
 * <p>This keeps requests from spending their time on an authoriser that does not answer. The cost: if calls
 * fail because of their own content, a healthy authoriser is not used for up to the longest ejection.
 */
final class CircuitBreaker {

  /** Weight of the newest call in the moving average of failures: about the last twenty calls count. */
  private static final double NEWEST_WEIGHT = 0.1;
  /** Number of calls from which on the share of failures is used. */
  private static final int MIN_CALLS = 20;

  private final Authoriser authoriser;
  private final Health health;
  private final SplittableRandom random;
  private int callsOut;
  private long bytesOut;
  private int consecutiveFailures;
  private int callsCounted;
  private double failureShare;
  private boolean ejected;
  private double probeAtMs;
  private double ejectionMs;
  private boolean probeOut;

  CircuitBreaker(Authoriser authoriser, Health health, SplittableRandom random) {
    this.random = random;
    this.authoriser = authoriser;
    this.health = health;
  }

  /** Whether it is ejected, and the ejection time is not over or the probe is in progress. */
  boolean isBlocked(double now) {
    return ejected && (probeOut || now < probeAtMs);
  }

  /** Whether another call with a body of this size would exceed its limits. */
  boolean isFull(int bytes) {
    return callsOut >= authoriser.maxCalls() || callsOut > 0 && bytesOut + bytes > authoriser.maxBytes();
  }

  /** The earliest time at which it may be called, not before {@code now}. */
  double availableAt(double now) {
    return ejected ? Math.max(now, probeAtMs) : now;
  }

  /** Records the start of a call; returns whether the call is a probe. */
  boolean callStarted(int bytes) {
    callsOut++;
    bytesOut += bytes;
    probeOut = ejected;
    return ejected;
  }

  /** Records the end of a call that says nothing about the authoriser. */
  void callDiscarded(int bytes, boolean probe) {
    callsOut--;
    bytesOut -= bytes;
    probeOut &= !probe;
  }

  /** Records the end of a call that succeeded or failed. */
  void callEnded(double now, int bytes, boolean probe, boolean succeeded) {
    callDiscarded(bytes, probe);
    if (ejected) {
      // Calls started before the ejection are ignored; only the probe counts.
      if (probe && succeeded) {
        ejected = false;
        consecutiveFailures = 0;
        failureShare = 0;
        callsCounted = 0;
        ejectionMs = 0;
      } else if (probe) {
        eject(now);
      }
      return;
    }
    consecutiveFailures = succeeded ? 0 : consecutiveFailures + 1;
    callsCounted++;
    failureShare += NEWEST_WEIGHT * ((succeeded ? 0 : 1) - failureShare);
    if (consecutiveFailures >= health.consecutiveFailures()
        || callsCounted >= MIN_CALLS && failureShare > health.failureShare()) {
      eject(now);
    }
  }

  private void eject(double now) {
    ejected = true;
    ejectionMs = ejectionMs == 0 ? health.ejectMs() : Math.min(health.maxEjectMs(), 2 * ejectionMs);
    probeAtMs = now + ejectionMs * (1 + health.jitterShare() * random.nextDouble());
  }

  int callsOut() {
    return callsOut;
  }

  boolean isEjected() {
    return ejected;
  }
}
