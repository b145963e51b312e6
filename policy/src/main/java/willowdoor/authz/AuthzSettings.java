package willowdoor.authz;

import java.util.List;
import java.util.Set;

/**
 * Settings of {@link AuthzEngine}: the authorisers, and the members whose requests they decide on. The first
 * member that matches a request determines the authorisers to ask; a request that matches none needs no
 * decision.
 */
public record AuthzSettings(List<Authoriser> authorisers, List<Member> members, Health health) {

  /** How one of a member's authorisers is chosen: the first available in order, or at random by weight. */
  public enum Choice { ORDER, WEIGHT }

  /** What happens without a decision: the request is refused (CLOSED), or proceeds (OPEN). */
  public enum OnFailure { CLOSED, OPEN }

  /**
   * One policy server.
   *
   * @param maxCalls limit of concurrent calls; beyond it another authoriser is asked, or none
   * @param maxBytes limit of request bodies held for its calls, in bytes; a single call is always allowed
   */
  public record Authoriser(String name, int maxCalls, long maxBytes) {
    public Authoriser {
      checkPositive("mostCalls", maxCalls);
      checkPositive("mostBytes", maxBytes);
    }
  }

  /** A range of customer numbers, both ends included. */
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

  /** One of a member's authorisers, by its index in {@link AuthzSettings#authorisers()}, and its weight. */
  public record WeightedAuthoriser(int authoriser, double weight) { }

  /**
   * One member: which requests need a decision, and how it is obtained.
   *
   * @param firms the member's customers; empty for all
   * @param plans the plans whose requests need a decision; empty for all
   * @param classes the request classes that need a decision
   * @param callTimeoutMs timeout of a call
   * @param backendsShare share of a request's remaining time at arrival that is reserved for the backends;
   *     from 0 to below 1
   * @param repeatable whether checks are idempotent, so that a check which may have reached an authoriser may
   *     be repeated at another
   * @param failOpenClasses the request classes that proceed without a decision
   * @param maxCacheMs longest time for which a decision to allow is reused; 0 for never
   * @param maxCacheEntries limit of cached decisions; beyond it the least recently used one is evicted
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
        throw new IllegalArgumentException("backendsShare: " + backendsShare + " (expected: >= 0 and < 1)");
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
   * @param consecutiveFailures number of consecutive failed calls that eject it
   * @param failureShare share of failures among its latest calls above which it is ejected, once there were
   *     enough calls
   * @param ejectMs length of the first ejection; doubled each time a probe fails
   * @param maxEjectMs limit of an ejection's length, before {@code jitterShare}
   * @param jitterShare each ejection is lengthened at random by up to this share of its length, so that the
   *     probes of a fleet's doors do not coincide
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
