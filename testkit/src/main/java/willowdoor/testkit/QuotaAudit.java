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
 * Holds what doors sent on, and what they refused, to an ideal token bucket of each firm: as if one door that
 * knows all had decided. Goes by what requests name, so for runs whose requests cost that.
 */
public final class QuotaAudit {

  /**
   * One firm's use of a run.
   *
   * @param maxOverQuota units beyond the bucket at the worst moment; 0 when it was never passed
   * @param maxOverCeiling the same for the ceiling's store; 0 where there is none
   * @param asked units asked for with first tries and retries
   * @param sent units sent on with first attempts
   */
  public record FirmUse(String firm, PlanTerms plan, double maxOverQuota, double maxOverCeiling, double asked,
      double sent) { }

  /** Tries with half of the burst unused and room for them, and how many of these were refused. */
  public record HalfBurstTries(int asked, int refused) {

    /** Refused as a share of asked. */
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

  /** Reads the ledger, when the run is over. */
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

  /** The use of every firm. */
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
   * What became of the tries of some firms, asked between two moments through some doors, that found half of
   * their firm's burst unused.
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

  /** A bucket that starts full, may be overdrawn, and remembers by how much it was. */
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
