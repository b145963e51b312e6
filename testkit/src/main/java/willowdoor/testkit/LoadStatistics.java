package willowdoor.testkit;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.HdrHistogram.Histogram;

/**
 * The client fleet's figures of a run: per second of asking, and per firm. A request counts once, in the
 * second of its first try, by how its last try ended. The times of answers are those of
 * first tries and retries alike, from when a try was due to its last byte, in microseconds, to 60 s at most.
 */
public final class LoadStatistics {

  private static final long MAX_LATENCY_US = 60_000_000;

  /** How a try ended for its client. */
  public enum TryOutcome { SERVED, REFUSED, FAILED, UNANSWERED, NOT_TAKEN, NO_DOOR }

  /** One second of asking. */
  private static final class Second {
    private int tries;
    private final int[] outcomes = new int[TryOutcome.values().length];
    private final Histogram served = new Histogram(MAX_LATENCY_US, 2);
  }

  /** One firm's use. */
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

    /** Tries of clients that came back when they were told to. */
    public int promptedRetries() {
      return promptedRetries;
    }

    /** Those of them that were not refused. */
    public int acceptedRetries() {
      return acceptedRetries;
    }
  }

  /** Figures of a stretch of the run. */
  public record IntervalStatistics(int tries, int offered, int served, int refused, int failed,
      int unanswered,
      int notTaken,
      double p50Ms, double p99Ms) {

    /** Served as a share of offered; 1 when nothing was offered. */
    public double servedShare() {
      return offered == 0 ? 1 : (double) served / offered;
    }
  }

  private final TreeMap<Integer, Second> seconds = new TreeMap<>();
  private final Map<String, FirmUsage> firms = new ConcurrentHashMap<>();

  /** A request's last try ended so; its first try was due at that moment. */
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

  /** A try ended so. */
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

  /** A try that came when its client was told to ended so. */
  synchronized void recordPromptedRetry(String firm, String plan, TryOutcome outcome) {
    FirmUsage usage = usageOf(firm, plan);
    usage.promptedRetries++;
    usage.acceptedRetries += outcome == TryOutcome.REFUSED ? 0 : 1;
  }

  /**
   * Figures of the requests that were first due between two moments of the ledger's clock, in whole seconds.
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

  /** Use by firm. */
  public Map<String, FirmUsage> firms() {
    return new TreeMap<>(firms);
  }
}
