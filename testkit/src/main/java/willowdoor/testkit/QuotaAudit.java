package willowdoor.testkit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import willowdoor.testkit.EventHistory.ClientRequest;
import willowdoor.testkit.EventHistory.Entry;
import willowdoor.testkit.EventHistory.Kind;
import willowdoor.testkit.RunSettings.PlanTerms;

/**
 * Compares what doors forwarded and refused with an ideal token bucket for each firm, as if one door that
 * sees all requests had decided. Uses the units that requests name, so that the result is valid only for runs
 * whose requests cost exactly those.
 */
public final class QuotaAudit {

  /**
   * One firm's usage in a run.
   *
   * @param maxOverQuota largest number of units beyond the quota's bucket; 0 when the quota was never
   *     exceeded
   * @param maxOverCeiling the same for the ceiling's bucket; 0 when the plan has no ceiling
   * @param asked units requested by first tries and retries
   * @param sent units forwarded with first attempts
   */
  public record FirmUse(String firm, PlanTerms plan, double maxOverQuota, double maxOverCeiling, double asked,
      double sent) { }

  /**
   * Tries made when at least half of the burst was unused and the request fitted, and how many of them were
   * refused.
   */
  public record HalfBurstTries(int asked, int refused) {

    /** Refused tries as a share of all; 0 when there were none. */
    public double share() {
      return asked == 0 ? 0 : (double) refused / asked;
    }
  }

  private record Moment(double atMs, ClientRequest request, double units, boolean isAttempt) { }

  private final EventHistory eventHistory;
  private final RunSettings runSettings;
  private final Map<String, List<Moment>> moments = new TreeMap<>();
  private final Map<String, Boolean> refused = new HashMap<>();
  private final Map<String, String> doors = new HashMap<>();

  /** Reads the history of a finished run. */
  public QuotaAudit(EventHistory eventHistory, RunSettings runSettings) {
    this.eventHistory = eventHistory;
    this.runSettings = runSettings;
    eventHistory.requestHistories().forEach((id, history) -> {
      ClientRequest request = eventHistory.clientRequest(id);
      boolean firstAttemptRecorded = false;
      boolean firstTryRecorded = false;
      for (Entry e : request == null ? List.<Entry>of() : history) {
        if (e.kind() == Kind.ASKED && !firstTryRecorded) {
          firstTryRecorded = true;
          doors.put(id, e.other());
          momentsOf(request).add(new Moment(e.atMs(), request, request.units(), false));
        } else if (e.kind() == Kind.LAST_BYTE && !firstAttemptRecorded) {
          firstAttemptRecorded = true;
          momentsOf(request).add(new Moment(e.atMs(), request, e.amount(), true));
        } else if (e.kind() == Kind.ANSWERED) {
          refused.put(id, e.amount() == 429 || e.amount() == 503);
        }
      }
    });
    moments.values().forEach(m -> m.sort(Comparator.comparingDouble(Moment::atMs)));
  }

  private List<Moment> momentsOf(ClientRequest request) {
    return moments.computeIfAbsent(request.firm(), f -> new ArrayList<>());
  }

  /** Usage of every firm. */
  public List<FirmUse> firmUses() {
    List<FirmUse> uses = new ArrayList<>();
    moments.forEach((firm, all) -> {
      PlanTerms plan = runSettings.plan(all.get(0).request().plan());
      Bucket quota = new Bucket(plan.rate(), plan.burst());
      Bucket ceiling = new Bucket(plan.ceilingRate(), plan.ceilingBurst());
      double asked = 0;
      double sent = 0;
      for (Moment m : all) {
        asked += m.isAttempt() ? 0 : m.units();
        if (m.isAttempt()) {
          sent += m.units();
          quota.take(m.atMs(), m.units());
          ceiling.take(m.atMs(), m.units());
        }
      }
      uses.add(new FirmUse(firm, plan, quota.maxOverdraft, plan.ceilingRate() > 0 ? ceiling.maxOverdraft : 0,
          asked, sent));
    });
    return uses;
  }

  /**
   * Counts the tries of the given firms, made in a time interval through the given doors, that found at least
   * half of their firm's burst unused.
   */
  public HalfBurstTries triesWithHalfBurst(double fromMs, double toMs, Predicate<String> ofFirms,
      Predicate<String> throughDoors) {
    int asked = 0;
    int denied = 0;
    for (Map.Entry<String, List<Moment>> e : moments.entrySet()) {
      if (!ofFirms.test(e.getKey())) {
        continue;
      }
      PlanTerms plan = runSettings.plan(e.getValue().get(0).request().plan());
      Bucket quota = new Bucket(plan.rate(), plan.burst());
      for (Moment m : e.getValue()) {
        if (m.isAttempt()) {
          quota.take(m.atMs(), m.units());
        } else if (m.atMs() >= fromMs && m.atMs() < toMs && throughDoors.test(doors.get(m.request().id()))
            && quota.levelAt(m.atMs()) >= Math.max(m.units(), plan.burst() / 2)) {
          asked++;
          denied += refused.getOrDefault(m.request().id(), false) ? 1 : 0;
        }
      }
    }
    return new HalfBurstTries(asked, denied);
  }

  /** A token bucket that starts full, may be overdrawn, and remembers its largest overdraft. */
  private static final class Bucket {
    private final double rate;
    private final double burst;
    private double level;
    private double updatedMs;
    private double maxOverdraft;

    Bucket(double rate, double burst) {
      this.rate = rate;
      this.burst = burst;
      level = burst;
    }

    double levelAt(double now) {
      level = Math.min(burst, level + rate * (now - updatedMs) / 1000);
      updatedMs = now;
      return level;
    }

    void take(double now, double units) {
      level = levelAt(now) - units;
      maxOverdraft = Math.max(maxOverdraft, -level);
    }
  }
}
