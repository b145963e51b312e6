package willowdoor.testkit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import willowdoor.testkit.Ledger.Asked;
import willowdoor.testkit.Ledger.Entry;
import willowdoor.testkit.Ledger.Kind;
import willowdoor.testkit.Terms.PlanTerms;

/**
 * Holds what doors sent on, and what they refused, to an ideal token bucket of each firm: as if one door that
 * knows all had decided. Goes by what requests name, so for runs whose requests cost that.
 */
public final class Quotas {

  /**
   * One firm's use of a run.
   *
   * @param worstOver units beyond the bucket at the worst moment; 0 when it was never passed
   * @param worstCeiling the same for the ceiling's store; 0 where there is none
   * @param asked units asked for with first tries and retries
   * @param sent units sent on with first attempts
   */
  public record Use(String firm, PlanTerms plan, double worstOver, double worstCeiling, double asked,
      double sent) { }

  /** Tries with half of the burst unused and room for them, and how many of these were refused. */
  public record Half(int asked, int refused) {

    /** Refused as a share of asked. */
    public double share() {
      return asked == 0 ? 0 : (double) refused / asked;
    }
  }

  private record Moment(double atMs, Asked asked, double units, boolean send) { }

  private final Ledger ledger;
  private final Terms terms;
  private final Map<String, List<Moment>> moments = new TreeMap<>();
  private final Map<String, Boolean> refused = new HashMap<>();
  private final Map<String, String> doors = new HashMap<>();

  /** Reads the ledger, when the run is over. */
  public Quotas(Ledger ledger, Terms terms) {
    this.ledger = ledger;
    this.terms = terms;
    ledger.histories().forEach((id, history) -> {
      Asked asked = ledger.asked(id);
      boolean sent = false;
      boolean told = false;
      for (Entry e : asked == null ? List.<Entry>of() : history) {
        if (e.kind() == Kind.ASKED && !told) {
          told = true;
          doors.put(id, e.other());
          of(asked).add(new Moment(e.atMs(), asked, asked.units(), false));
        } else if (e.kind() == Kind.LAST_BYTE && !sent) {
          sent = true;
          of(asked).add(new Moment(e.atMs(), asked, e.amount(), true));
        } else if (e.kind() == Kind.ANSWERED) {
          refused.put(id, e.amount() == 429 || e.amount() == 503);
        }
      }
    });
    moments.values().forEach(m -> m.sort(Comparator.comparingDouble(Moment::atMs)));
  }

  private List<Moment> of(Asked asked) {
    return moments.computeIfAbsent(asked.firm(), f -> new ArrayList<>());
  }

  /** The use of every firm. */
  public List<Use> uses() {
    List<Use> uses = new ArrayList<>();
    moments.forEach((firm, all) -> {
      PlanTerms plan = terms.plan(all.get(0).asked().plan());
      Bucket quota = new Bucket(plan.rate(), plan.burst());
      Bucket ceiling = new Bucket(plan.ceilingRate(), plan.ceilingBurst());
      double asked = 0;
      double sent = 0;
      for (Moment m : all) {
        asked += m.send() ? 0 : m.units();
        if (m.send()) {
          sent += m.units();
          quota.take(m.atMs(), m.units());
          ceiling.take(m.atMs(), m.units());
        }
      }
      uses.add(new Use(firm, plan, quota.worst, plan.ceilingRate() > 0 ? ceiling.worst : 0, asked, sent));
    });
    return uses;
  }

  /**
   * What became of the tries of some firms, asked between two moments through some doors, that found half of
   * their firm's burst unused.
   */
  public Half half(double fromMs, double toMs, Predicate<String> ofFirms, Predicate<String> throughDoors) {
    int asked = 0;
    int denied = 0;
    for (Map.Entry<String, List<Moment>> e : moments.entrySet()) {
      if (!ofFirms.test(e.getKey())) {
        continue;
      }
      PlanTerms plan = terms.plan(e.getValue().get(0).asked().plan());
      Bucket quota = new Bucket(plan.rate(), plan.burst());
      for (Moment m : e.getValue()) {
        if (m.send()) {
          quota.take(m.atMs(), m.units());
        } else if (m.atMs() >= fromMs && m.atMs() < toMs && throughDoors.test(doors.get(m.asked().id()))
            && quota.at(m.atMs()) >= Math.max(m.units(), plan.burst() / 2)) {
          asked++;
          denied += refused.getOrDefault(m.asked().id(), false) ? 1 : 0;
        }
      }
    }
    return new Half(asked, denied);
  }

  /** A bucket that starts full, may be overdrawn, and remembers by how much it was. */
  private static final class Bucket {
    private final double rate;
    private final double burst;
    private double level;
    private double atMs;
    private double worst;

    Bucket(double rate, double burst) {
      this.rate = rate;
      this.burst = burst;
      level = burst;
    }

    double at(double now) {
      level = Math.min(burst, level + rate * (now - atMs) / 1000);
      atMs = now;
      return level;
    }

    void take(double now, double units) {
      level = at(now) - units;
      worst = Math.max(worst, -level);
    }
  }
}
