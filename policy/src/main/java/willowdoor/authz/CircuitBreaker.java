package willowdoor.authz;

import java.util.SplittableRandom;
import willowdoor.authz.AuthzSettings.Authoriser;
import willowdoor.authz.AuthzSettings.Health;

/**
 * What is known of one authoriser: calls out, and whether it is ejected.
 *
 * <p>Ejected after failures in a row, or when most of its latest calls fail (Envoy's outlier detection:
 * consecutive errors and success rate). An ejected one is a circuit breaker (M. Nygard, Release It!, 2007):
 * nothing is asked until its time is up; then one call goes out as a probe, and no second while that is out.
 * The probe's success brings it back; its failure ejects it for twice as long, to a bound.
 *
 * <p>It guards against requests that spend their time at an authoriser that won't answer. Harm: where calls
 * fail for the calls' own sake, a healthy authoriser rests for up to the longest ejection.
 */
final class CircuitBreaker {

  /** Weight of the newest call in the share of failures: about the last twenty count. */
  private static final double NEWEST_WEIGHT = 0.1;
  /** Calls after which the share tells something. */
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

  /** Whether it is ejected and its time is not up, or its one probe is out. */
  boolean isBlocked(double now) {
    return ejected && (probeOut || now < probeAtMs);
  }

  /** Whether it has as many calls out as it may have. */
  boolean isFull(int bytes) {
    return callsOut >= authoriser.maxCalls() || callsOut > 0 && bytesOut + bytes > authoriser.maxBytes();
  }

  /** When it may be asked again; now when it may be. */
  double availableAt(double now) {
    return ejected ? Math.max(now, probeAtMs) : now;
  }

  /** A call goes out; true when it is a probe. */
  boolean callStarted(int bytes) {
    callsOut++;
    bytesOut += bytes;
    probeOut = ejected;
    return ejected;
  }

  /** A call has ended and tells nothing of the authoriser. */
  void callDiscarded(int bytes, boolean probe) {
    callsOut--;
    bytesOut -= bytes;
    probeOut &= !probe;
  }

  /** A call has ended well or badly. */
  void callEnded(double now, int bytes, boolean probe, boolean succeeded) {
    callDiscarded(bytes, probe);
    if (ejected) {
      // Calls from before the ejection tell nothing new.
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
    if (consecutiveFailures >= health.consecutiveFailures() || callsCounted >= MIN_CALLS
        && failureShare > health.failureShare()) {
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
