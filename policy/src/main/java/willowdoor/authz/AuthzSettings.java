package willowdoor.authz;

import java.util.List;
import java.util.Set;

/**
 * What {@link Gatekeeper} goes by: the authorisers, and the members who have theirs asked. The first member
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
   * @param mostCalls calls out at it at the most; one more is asked elsewhere, or refused
   * @param mostBytes bodies held for it at the most, in bytes; a single call may always be out
   */
  public record Authoriser(String name, int mostCalls, long mostBytes) {
    public Authoriser {
      positive("mostCalls", mostCalls);
      positive("mostBytes", mostBytes);
    }
  }

  /** Customers from the first number to the last, both within. */
  public record Firms(long first, long last) {
    public Firms {
      if (last < first) {
        throw new IllegalArgumentException("last: " + last + " (expected: >= first, " + first + ")");
      }
    }

    boolean holds(long customer) {
      return customer >= first && customer <= last;
    }
  }

  /** One of a member's authorisers, by its place in {@link #authorisers()}, and its weight. */
  public record Choosable(int authoriser, double weight) { }

  /**
   * One member: whose requests are asked about, and how.
   *
   * @param firms its customers; empty means all
   * @param plans the plans asked about; empty means all
   * @param classes the classes asked about
   * @param limitMs a call is given up after this
   * @param backendsShare of the time that a request has on its arrival, this share is left to the backends
   * @param repeatable its checks are idempotent: one that may have reached an authoriser may be repeated
   * @param open the classes for which an unanswered check means that the request goes on
   * @param cacheMostMs an allow is used again for this long at the most; 0 is never
   * @param cacheEntries allows kept at the most; beyond it the longest unused is forgotten
   */
  public record Member(String name, List<Firms> firms, Set<String> plans, Set<String> classes,
      List<Choosable> authorisers, Choice choice, double limitMs, double backendsShare, boolean repeatable,
      Set<String> open, double cacheMostMs, int cacheEntries) {
    public Member {
      positive("limitMs", limitMs);
      if (authorisers.isEmpty()) {
        throw new IllegalArgumentException("authorisers: none (expected: at least one)");
      }
      if (!(backendsShare >= 0 && backendsShare < 1)) {
        throw new IllegalArgumentException("backendsShare: " + backendsShare + " (expected: 0 to under 1)");
      }
    }

    boolean asks(String className, String plan, long customer) {
      return classes.contains(className) && (plans.isEmpty() || plans.contains(plan))
          && (firms.isEmpty() || firms.stream().anyMatch(f -> f.holds(customer)));
    }

    OnFailure onFailure(String className) {
      return open.contains(className) ? OnFailure.OPEN : OnFailure.CLOSED;
    }
  }

  /**
   * When an authoriser is ejected, and for how long.
   *
   * @param failuresInRow so many failed calls one after another eject it
   * @param failingShare and so does a larger share of its latest calls, once there were enough to tell
   * @param ejectMs the first ejection's length; each further one doubles it
   * @param mostEjectMs the longest
   * @param spread each ejection is longer by up to this share of itself, at random, so that the probes of a
   *     fleet's doors don't come together
   */
  public record Health(int failuresInRow, double failingShare, double ejectMs, double mostEjectMs,
      double spread) {
    public Health {
      positive("failuresInRow", failuresInRow);
      positive("ejectMs", ejectMs);
      if (mostEjectMs < ejectMs) {
        throw new IllegalArgumentException("mostEjectMs: " + mostEjectMs + " (expected: >= ejectMs, "
            + ejectMs
            + ")");
      }
    }
  }

  private static void positive(String name, double value) {
    if (!(value > 0)) {
      throw new IllegalArgumentException(name + ": " + value + " (expected: > 0)");
    }
  }
}
