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
final class Breaker {

  /** Weight of the newest call in the share of failures: about the last twenty count. */
  private static final double NEWEST = 0.1;
  /** Calls after which the share tells something. */
  private static final int ENOUGH = 20;

  private final Authoriser authoriser;
  private final Health health;
  private final SplittableRandom random;
  private int out;
  private long bytesOut;
  private int inRow;
  private int seen;
  private double failing;
  private boolean ejected;
  private double probeAt;
  private double lengthMs;
  private boolean probing;

  Breaker(Authoriser authoriser, Health health, SplittableRandom random) {
    this.random = random;
    this.authoriser = authoriser;
    this.health = health;
  }

  /** Whether it is ejected and its time is not up, or its one probe is out. */
  boolean closedTo(double now) {
    return ejected && (probing || now < probeAt);
  }

  /** Whether it has as many calls out as it may have. */
  boolean full(int bytes) {
    return out >= authoriser.mostCalls() || out > 0 && bytesOut + bytes > authoriser.mostBytes();
  }

  /** When it may be asked again; now when it may be. */
  double opensAt(double now) {
    return ejected ? Math.max(now, probeAt) : now;
  }

  /** A call goes out; true when it is a probe. */
  boolean asked(int bytes) {
    out++;
    bytesOut += bytes;
    probing = ejected;
    return ejected;
  }

  /** A call has ended and tells nothing of the authoriser. */
  void forgotten(int bytes, boolean probe) {
    out--;
    bytesOut -= bytes;
    probing &= !probe;
  }

  /** A call has ended well or badly. */
  void ended(double now, int bytes, boolean probe, boolean well) {
    forgotten(bytes, probe);
    if (ejected) {
      // Calls from before the ejection tell nothing new.
      if (probe && well) {
        ejected = false;
        inRow = 0;
        failing = 0;
        seen = 0;
        lengthMs = 0;
      } else if (probe) {
        eject(now);
      }
      return;
    }
    inRow = well ? 0 : inRow + 1;
    seen++;
    failing += NEWEST * ((well ? 0 : 1) - failing);
    if (inRow >= health.failuresInRow() || seen >= ENOUGH && failing > health.failingShare()) {
      eject(now);
    }
  }

  private void eject(double now) {
    ejected = true;
    lengthMs = lengthMs == 0 ? health.ejectMs() : Math.min(health.mostEjectMs(), 2 * lengthMs);
    probeAt = now + lengthMs * (1 + health.spread() * random.nextDouble());
  }

  int out() {
    return out;
  }

  boolean ejected() {
    return ejected;
  }
}
