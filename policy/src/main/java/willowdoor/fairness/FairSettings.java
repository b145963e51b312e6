package willowdoor.fairness;

import java.util.Map;

/**
 * What a {@link FairQueue} goes by.
 *
 * @param plans the plans with parts of their own
 * @param otherPlans what any other plan has
 * @param doors doors of the fleet: until more is told, a firm's part at one is what an even spread makes it
 * @param cost what a request is charged
 */
public record FairSettings(Map<String, PlanSettings> plans, PlanSettings otherPlans, int doors, Cost cost,
    Bounds bounds,
    Limit limit, ComeBack comeBack) {

  /** A request costs its units, or its units by what its firm's requests take of the nodes' time. */
  public enum Cost { UNITS, WORK }

  public FairSettings {
    plans = Map.copyOf(plans);
    positive("doors", doors);
  }

  /** That plan's part. */
  PlanSettings planSettings(String plan) {
    return plans.getOrDefault(plan, otherPlans);
  }

  /**
   * One plan.
   *
   * @param weight of the whole plan against other plans; 0 makes it the sum of its waiting firms' weights
   * @param firmWeight of each of its firms against its other firms
   * @param rate units a second of a firm's quota; 0 is none
   * @param burst units of a firm's bucket
   * @param maxOutstanding requests of a firm at the nodes at once, over all doors; 0 is no bound
   */
  public record PlanSettings(double weight, double firmWeight, double rate, double burst,
      int maxOutstanding) {
    public PlanSettings {
      notNegative("weight", weight);
      positive("firmWeight", firmWeight);
      notNegative("rate", rate);
      notNegative("burst", burst);
      notNegative("mostOut", maxOutstanding);
    }
  }

  /**
   * Sizes, and what follows where one is met.
   *
   * @param waiting requests; one more refuses the latest of the firm that has most waiting
   * @param bytes of waiting bodies; the same
   * @param firms firms known; further ones share one flow of their plan
   * @param flows clients' flows of all firms; further clients share those of their firm
   * @param clientsOfFirm a firm's clients with a flow of their own
   * @param sharedFlows flows of a firm that its further clients share, by hash
   * @param promises come-back times remembered; beyond it advice promises nothing
   * @param promisesOfFirm the same for one firm
   */
  public record Bounds(int waiting, long bytes, int firms, int flows, int clientsOfFirm, int sharedFlows,
      int promises, int promisesOfFirm) {
    public Bounds {
      positive("waiting", waiting);
      positive("bytes", bytes);
      positive("firms", firms);
      positive("flows", flows);
      positive("clientsOfFirm", clientsOfFirm);
      positive("sharedFlows", sharedFlows);
      notNegative("promises", promises);
      notNegative("promisesOfFirm", promisesOfFirm);
    }

    /** What a door of 64 MB holds without feeling it. */
    public static Bounds defaults() {
      return new Bounds(4_096, 4 << 20, 4_096, 16_384, 64, 8, 16_384, 1_024);
    }
  }

  /** Requests out at the pool from this door: to begin with, at the least (the probes' part), at the most. */
  public record Limit(double initial, double min, double max) {
    public Limit {
      positive("least", min);
      if (!(initial >= min && initial <= max)) {
        throw new IllegalArgumentException("first: " + initial + " (expected: " + min + " to " + max + ")");
      }
    }
  }

  /**
   * Come-back times.
   *
   * @param promisedShare of what drains that may be promised; the rest is for those who come unpromised
   * @param maxDelayMs the furthest that is promised, in milliseconds
   */
  public record ComeBack(double promisedShare, double maxDelayMs) {
    public ComeBack {
      if (!(promisedShare > 0 && promisedShare <= 1)) {
        throw new IllegalArgumentException("share: " + promisedShare + " (expected: > 0 and <= 1)");
      }
      positive("mostMs", maxDelayMs);
    }
  }

  private static void positive(String name, double value) {
    if (!(value > 0)) {
      throw new IllegalArgumentException(name + ": " + value + " (expected: > 0)");
    }
  }

  private static void notNegative(String name, double value) {
    if (!(value >= 0)) {
      throw new IllegalArgumentException(name + ": " + value + " (expected: >= 0)");
    }
  }
}
