package willowdoor.fairness;

import java.util.Map;

/**
 * Settings of a {@link FairQueue}.
 *
 * @param plans plans with their own settings, by name
 * @param otherPlans settings of every other plan
 * @param doors doors of the fleet; until a firm's share at this door is reported, an even spread over the
 *     doors is assumed
 * @param cost how a request is charged
 */
public record FairSettings(Map<String, PlanSettings> plans, PlanSettings otherPlans, int doors, Cost cost,
    Bounds bounds, Limit limit, ComeBack comeBack) {

  /** A request is charged its units, or its units multiplied by the measured work factor of its firm. */
  public enum Cost { UNITS, WORK }

  public FairSettings {
    plans = Map.copyOf(plans);
    positive("doors", doors);
  }

  /** The settings of a plan. */
  PlanSettings planSettings(String plan) {
    return plans.getOrDefault(plan, otherPlans);
  }

  /**
   * Settings of a plan.
   *
   * @param weight weight of the whole plan against other plans; 0: the sum of its ready firms' weights
   * @param firmWeight weight of each firm against the other firms of the plan
   * @param rate refill rate of a firm's quota, in units per second; 0 for no quota
   * @param burst capacity of a firm's token bucket, in units
   * @param maxOutstanding maximum concurrent requests of a firm at the backends, over all doors; 0: no bound
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
   * Size limits, and the effect of reaching each.
   *
   * @param waiting waiting requests; beyond the limit, the latest request of the firm with the largest
   *     backlog for its weight is refused
   * @param bytes total size of the waiting bodies, with the same effect
   * @param firms firms with a flow; further firms share one flow of their plan
   * @param flows clients' flows of all firms; further clients share a flow of their firm
   * @param clientsOfFirm clients of a firm with their own flow
   * @param sharedFlows flows that further clients of a firm share, chosen by hash
   * @param promises promised come-back times in memory; beyond the limit, none is promised
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

    /** Limits that fit into a door with 64 MB of memory. */
    public static Bounds defaults() {
      return new Bounds(4_096, 4 << 20, 4_096, 16_384, 64, 8, 16_384, 1_024);
    }
  }

  /**
   * Bounds of the concurrency limit of this door at the pool: the initial value, the minimum (which keeps
   * health probes going) and the maximum.
   */
  public record Limit(double initial, double min, double max) {
    public Limit {
      positive("least", min);
      if (!(initial >= min && initial <= max)) {
        throw new IllegalArgumentException("first: " + initial + " (expected: " + min + " to " + max + ")");
      }
    }
  }

  /**
   * Settings of promised come-back times.
   *
   * @param promisedShare the part of the service rate that may be promised; the rest is for clients
   *     without a promise
   * @param maxDelayMs the longest delay that is promised, in milliseconds
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
