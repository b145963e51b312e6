package willowdoor.testkit;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.HdrHistogram.Histogram;

/**
 * Statistics of the client fleet's requests, per second and per firm. A request counts once, in the second of
 * its first try, by the outcome of its last try. Latencies cover first tries and retries alike, from the time
 * a try was due to the last byte of its answer, in microseconds, capped at 60 s.
 */
public final class LoadStatistics {

  private static final long MAX_LATENCY_US = 60_000_000;

  /** Outcome of a try, as its client saw it. */
  public enum TryOutcome { SERVED, REFUSED, FAILED, UNANSWERED, NOT_TAKEN, NO_DOOR }

  /** Statistics of the requests first due in one second. */
  private static final class Second {
    private int tries;
    private final int[] outcomes = new int[TryOutcome.values().length];
    private final Histogram served = new Histogram(MAX_LATENCY_US, 2);
  }

  /** Usage of one firm. */
  public static final class FirmUsage {
    private final String plan;
    private long offeredUnits;
    private long servedUnits;
    private int served;
    private int refused;
    private int promptedRetries;
    private int acceptedRetries;

    FirmUsage(String plan) {
      this.plan = plan;
    }

    public String plan() {
      return plan;
    }

    public long offeredUnits() {
      return offeredUnits;
    }

    public long servedUnits() {
      return servedUnits;
    }

    public int served() {
      return served;
    }

    public int refused() {
      return refused;
    }

    /** Tries that clients made at the time that a Retry-After header told them to. */
    public int promptedRetries() {
      return promptedRetries;
    }

    /** Tries at the Retry-After time that were not refused. */
    public int acceptedRetries() {
      return acceptedRetries;
    }
  }

  /** Statistics of an interval of the run; latencies in milliseconds. */
  public record IntervalStatistics(int tries, int offered, int served, int refused, int failed,
      int unanswered,
      int notTaken,
      double p50Ms, double p99Ms) {

    /** Served requests as a share of those offered; 1 when none was offered. */
    public double servedShare() {
      return offered == 0 ? 1 : (double) served / offered;
    }
  }

  private final TreeMap<Integer, Second> seconds = new TreeMap<>();
  private final Map<String, FirmUsage> firms = new ConcurrentHashMap<>();

  /** Records the outcome of a request's last try, in the second in which its first try was due. */
  synchronized void recordRequest(double firstDueMs, TryOutcome outcome, String firm, String plan,
      int units) {
    secondOf(firstDueMs).outcomes[outcome.ordinal()]++;
    usageOf(firm, plan).offeredUnits += units;
  }

  private Second secondOf(double dueMs) {
    return seconds.computeIfAbsent((int) (dueMs / 1000), k -> new Second());
  }

  private FirmUsage usageOf(String firm, String plan) {
    return firms.computeIfAbsent(firm, k -> new FirmUsage(plan));
  }

  /** Records the outcome of one try. */
  synchronized void recordTry(double dueMs, TryOutcome outcome, double tookMs, String firm, String plan,
      int units) {
    Second second = secondOf(dueMs);
    second.tries++;
    FirmUsage usage = usageOf(firm, plan);
    if (outcome == TryOutcome.SERVED) {
      second.served.recordValue(Math.min(MAX_LATENCY_US, Math.max(0, (long) (tookMs * 1000))));
      usage.servedUnits += units;
      usage.served++;
    } else if (outcome == TryOutcome.REFUSED) {
      usage.refused++;
    }
  }

  /** Records the outcome of a try made at the time that a Retry-After header told the client to. */
  synchronized void recordPromptedRetry(String firm, String plan, TryOutcome outcome) {
    FirmUsage usage = usageOf(firm, plan);
    usage.promptedRetries++;
    usage.acceptedRetries += outcome == TryOutcome.REFUSED ? 0 : 1;
  }

  /**
   * Statistics of the requests that were first due between two times of the event history's clock, in whole
   * seconds.
   */
  public synchronized IntervalStatistics interval(double fromMs, double toMs) {
    int[] outcomes = new int[TryOutcome.values().length];
    int tries = 0;
    Histogram served = new Histogram(MAX_LATENCY_US, 2);
    for (Second s : seconds.subMap((int) (fromMs / 1000), (int) Math.ceil(toMs / 1000)).values()) {
      for (int i = 0; i < outcomes.length; i++) {
        outcomes[i] += s.outcomes[i];
      }
      tries += s.tries;
      served.add(s.served);
    }
    int offered = 0;
    for (int n : outcomes) {
      offered += n;
    }
    return new IntervalStatistics(tries, offered, outcomes[TryOutcome.SERVED.ordinal()],
        outcomes[TryOutcome.REFUSED.ordinal()],
        outcomes[TryOutcome.FAILED.ordinal()], outcomes[TryOutcome.UNANSWERED.ordinal()],
        outcomes[TryOutcome.NOT_TAKEN.ordinal()] + outcomes[TryOutcome.NO_DOOR.ordinal()],
        served.getTotalCount() == 0 ? 0 : served.getValueAtPercentile(50) / 1e3,
        served.getTotalCount() == 0 ? 0 : served.getValueAtPercentile(99) / 1e3);
  }

  /** Usage by firm. */
  public Map<String, FirmUsage> firms() {
    return new TreeMap<>(firms);
  }
}
