package willowdoor.authz;

import java.util.List;
import java.util.Set;

/**
 * What {@link AuthzEngine} goes by: the authorisers, and the members who have theirs asked. The first member
 * that fits a request is the one whose authorisers are asked; a request that fits none is not asked about.
 */
public record AuthzSettings(List<Authoriser> authorisers, List<Member> members, Health health) {

  /** How one of a member's authorisers is chosen: the first in order that may be asked, or by weights. */
  public enum Choice { ORDER, WEIGHT }

  /** What an unanswered check means: the request is refused, or goes on. */
  public enum OnFailure { CLOSED, OPEN }

  /**
   * One policy server.
   *
   * @param maxCalls calls out at it at the most; one more is asked elsewhere, or refused
   * @param maxBytes bodies held for it at the most, in bytes; a single call may always be out
   */
  public record Authoriser(String name, int maxCalls, long maxBytes) {
    public Authoriser {
      checkPositive("mostCalls", maxCalls);
      checkPositive("mostBytes", maxBytes);
    }
  }

  /** Customers from the first number to the last, both within. */
  public record FirmRange(long first, long last) {
    public FirmRange {
      if (last < first) {
        throw new IllegalArgumentException("last: " + last + " (expected: >= first, " + first + ")");
      }
    }

    boolean contains(long customer) {
      return customer >= first && customer <= last;
    }
  }

  /** One of a member's authorisers, by its place in {@link #authorisers()}, and its weight. */
  public record WeightedAuthoriser(int authoriser, double weight) { }

  /**
   * One member: whose requests are asked about, and how.
   *
   * @param firms its customers; empty means all
   * @param plans the plans asked about; empty means all
   * @param classes the classes asked about
   * @param callTimeoutMs a call is given up after this
   * @param backendsShare of the time that a request has on its arrival, this share is left to the backends
   * @param repeatable its checks are idempotent: one that may have reached an authoriser may be repeated
   * @param failOpenClasses the classes for which an unanswered check means that the request goes on
   * @param maxCacheMs an allow is used again for this long at the most; 0 is never
   * @param maxCacheEntries allows kept at the most; beyond it the longest unused is forgotten
   */
  public record Member(String name, List<FirmRange> firms, Set<String> plans, Set<String> classes,
      List<WeightedAuthoriser> authorisers, Choice choice, double callTimeoutMs, double backendsShare,
      boolean repeatable,
      Set<String> failOpenClasses, double maxCacheMs, int maxCacheEntries) {
    public Member {
      checkPositive("limitMs", callTimeoutMs);
      if (authorisers.isEmpty()) {
        throw new IllegalArgumentException("authorisers: none (expected: at least one)");
      }
      if (!(backendsShare >= 0 && backendsShare < 1)) {
        throw new IllegalArgumentException("backendsShare: " + backendsShare + " (expected: 0 to under 1)");
      }
    }

    boolean appliesTo(String className, String plan, long customer) {
      return classes.contains(className) && (plans.isEmpty() || plans.contains(plan))
          && (firms.isEmpty() || firms.stream().anyMatch(f -> f.contains(customer)));
    }

    OnFailure onFailure(String className) {
      return failOpenClasses.contains(className) ? OnFailure.OPEN : OnFailure.CLOSED;
    }
  }

  /**
   * When an authoriser is ejected, and for how long.
   *
   * @param consecutiveFailures so many failed calls one after another eject it
   * @param failureShare and so does a larger share of its latest calls, once there were enough to tell
   * @param ejectMs the first ejection's length; each further one doubles it
   * @param maxEjectMs the longest
   * @param jitterShare each ejection is longer by up to this share of itself, at random, so that the probes
   * of a
   *     fleet's doors don't come together
   */
  public record Health(int consecutiveFailures, double failureShare, double ejectMs, double maxEjectMs,
      double jitterShare) {
    public Health {
      checkPositive("failuresInRow", consecutiveFailures);
      checkPositive("ejectMs", ejectMs);
      if (maxEjectMs < ejectMs) {
        throw new IllegalArgumentException("mostEjectMs: " + maxEjectMs + " (expected: >= ejectMs, "
            + ejectMs
            + ")");
      }
    }
  }

  private static void checkPositive(String name, double value) {
    if (!(value > 0)) {
      throw new IllegalArgumentException(name + ": " + value + " (expected: > 0)");
    }
  }
}
