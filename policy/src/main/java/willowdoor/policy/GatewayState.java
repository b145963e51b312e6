package willowdoor.policy;

import willowdoor.policy.GatewayApi.Phase;
import willowdoor.policy.GatewayApi.Plan;
import willowdoor.policy.GatewayApi.Request;
import willowdoor.policy.GatewayApi.RequestClass;
import willowdoor.policy.GatewayApi.Rules;
import willowdoor.policy.GatewayApi.Settings;

/** What {@link QuotaPolicy} remembers, without any decision: all of those are in the module. */
final class GatewayState {

  private GatewayState() {
  }

  /** The finaliser of SplitMix64: spreads numbers evenly, and alike at every start. */
  static long mix(long number) {
    long z = (number ^ (number >>> 30)) * 0xBF58476D1CE4E5B9L;
    z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
    return z ^ (z >>> 31);
  }

  /** A mean that forgets: by samples where they come often, by time where they are rare. */
  static final class Mean {
    private final double weight;
    private final double lifeMs;
    private double at;
    double value;

    Mean(double weight, double lifeMs, double now) {
      this.weight = weight;
      this.lifeMs = lifeMs;
      this.at = now;
    }

    void add(double sample, double now) {
      value += Math.max(weight, 1 - Math.exp((at - now) / lifeMs)) * (sample - value);
      at = now;
    }

    double at() {
      return at;
    }

    /** The mean, less as it ages without samples. */
    double fresh(double now) {
      return value * Math.exp((at - now) / lifeMs);
    }
  }

  /**
   * What requests of a class take by their units, in milliseconds: least squares over their latest answers,
   * older ones forgotten. It serves where units tell the work, where they are a guess of it, and where they
   * tell nothing of it: the line lies between one through nought and a level one.
   */
  static final class Need {
    /** The last hundred answers count: some seconds of any class. */
    private static final double WEIGHT = 0.01;
    /** Answers that the first one counts for. */
    private static final double FIRST = 3;
    private final double unknownMs;
    private double count;
    private double units;
    private double took;
    private double units2;
    private double unitsTook;

    Need(double unknownMs) {
      this.unknownMs = unknownMs;
    }

    void learn(double u, double ms) {
      if (count == 0) {
        units = u;
        took = ms;
        units2 = u * u;
        unitsTook = u * ms;
      }
      count++;
      double weight = Math.max(WEIGHT, 1 / (count + FIRST));
      units += weight * (u - units);
      took += weight * (ms - took);
      units2 += weight * (u * u - units2);
      unitsTook += weight * (u * ms - unitsTook);
    }

    Learned.Taken taken(String className) {
      return new Learned.Taken(className, count, units, took, units2, unitsTook);
    }

    void goOn(Learned.Taken told) {
      count = told.count();
      units = told.units();
      took = told.tookMs();
      units2 = told.units2();
      unitsTook = told.unitsTook();
    }

    double of(double u) {
      if (count == 0) {
        return unknownMs;
      }
      double spread = units2 - units * units;
      double slope = spread < 1e-6 || units <= 0 ? 0
          : Math.max(0, Math.min(took / units, (unitsTook - units * took) / spread));
      return Math.max(1, took + slope * (u - units));
    }
  }

  /** One customer as this gateway sees it. */
  static class AccountState {
    private static final double IMPLAUSIBLE = 10;
    final long customer;
    final Plan plan;
    /** Through how many gateways its requests may come. */
    final int gateways;
    /** Shift and length of its counts' windows; plain: one burst a window, no bucket followed. */
    double phase;
    double windowMs;
    boolean plain;
    /** Units in the bucket as estimated, and when. */
    double level;
    double levelAt;
    /** Spending of others taken for granted since the last answer. */
    double assumed;
    /** Units a second of the others and of this gateway, and this gateway's units since the last answer. */
    double othersRate;
    double ownRate;
    double ownSince;
    double syncedAt = Double.NaN;
    /** Units to go with the next add, that an unanswered call may have added, and in calls under way. */
    double owed;
    double maybe;
    double flying;
    /** The window last answered for, and its total then. */
    long window = Long.MIN_VALUE;
    double seen;
    /** The total seen at a counter that another one, begun with a copy, has replaced; 0 once that answered.
        */
    double before;
    /** The total of the window before the present one, as read once: which one was asked for, and told. */
    long pastAsked = Long.MIN_VALUE;
    long pastWindow = Long.MIN_VALUE;
    double past;
    /** What this gateway itself has added to that window's count, as answered for. */
    double given;
    /** The window in which the counter was replaced: until its end no answer raises the level. */
    long rebuilt = Long.MIN_VALUE;
    /** The ceiling: what counted sends may use together, and this gateway's own part. */
    double counted;
    double own;
    /** The gateway's share of the ceiling as told with the last request; null: by the shared count. */
    GatewayApi.CeilingShare share;
    /** What this gateway may send on unasked. */
    double part;
    int out;
    /** Places held here in the shared count of attempts out, asked for, in the window of that count. */
    int places;
    int asking;
    /** What a call that was turned away has not added to that count. */
    double placesOwed;
    long placeWindow = Long.MIN_VALUE;
    /** Until then all places are taken, as last answered. */
    double fullUntil = Double.NEGATIVE_INFINITY;

    AccountState(long customer, Plan plan, int gateways, double now) {
      this.customer = customer;
      this.plan = plan;
      this.gateways = gateways;
      levelAt = now;
    }

    long windowNow(double now) {
      return (long) Math.floor((now + phase) / windowMs);
    }

    double windowStart(double now) {
      return windowNow(now) * windowMs - phase;
    }

    /** What it owes is another's from here on. */
    Learned.Owed handOver(double now) {
      Learned.Owed over = new Learned.Owed(customer, plan.name(), gateways, windowNow(now), owed);
      owed = 0;
      return over;
    }

    int placesKnown() {
      return Math.max(out, places) + asking;
    }

    /**
     * A total that no customer can come to, however many gateways add to it: so many times what a window can
     * grant, and what may be under way. Guards against answers that are out of step with their calls, and so
     * another name's. Harm: none known; it is read once more.
     */
    double implausible(Settings settings) {
      return IMPLAUSIBLE * (plan.burst() + plan.rate() * windowMs / 1000
          + 10 * settings.gateways() * settings.maxUnits());
    }

    String name(long ofWindow) {
      return Long.toString(customer, 36) + ":" + ofWindow;
    }
  }

  /** One call to the counter: what it adds, the request that waits for it, and whether it is for a place. */
  record Call<A extends AccountState, J>(A account, long window, double amount, J job, boolean place) {
    Call(A account, long window, double amount, J job) {
      this(account, window, amount, job, false);
    }

    String name() {
      return account.name(window) + (place ? "o" : "");
    }
  }

  /** One attempt of a request; itself alone is equal to it, as each is sent once. */
  static final class Attempt<J, B> {
    final J job;
    final int number;
    final B backend;
    final double sentAt;

    Attempt(J job, int number, B backend, double sentAt) {
      this.job = job;
      this.number = number;
      this.backend = backend;
      this.sentAt = sentAt;
    }
  }

  /** One backend as this gateway sees it. */
  static class BackendState {
    final long id;
    String zone;
    Phase phase;
    int cell;
    /** Size as told, and relative to the mean. */
    double told;
    double size;
    /** When it started, as told, and as taken to be. */
    double toldStart;
    double startedMs;
    /** When a failed connection made it look restarted, unless that is settled. */
    double doubtedAt = Double.NEGATIVE_INFINITY;
    /** Failures of its zone and of its cell, shared by their backends. */
    Mean zoneFailing;
    Mean cellFailing;
    double service = Double.NaN;
    double failing;
    int rests;
    boolean trial;
    double restUntil = Double.NEGATIVE_INFINITY;
    double fullUntil = Double.NEGATIVE_INFINITY;
    double answeredAt;
    /** Requests held as last reported, of them from here, and when. */
    double reported = Double.NaN;
    double reportedOwn;
    double reportedAt;
    double coldTokens;
    double coldAt;

    BackendState(long id, double now) {
      this.id = id;
      answeredAt = now;
      coldAt = now;
    }

    /** The failing share of its zone or of its cell, whichever is more. */
    double nearFailing(double now) {
      return Math.max(zoneFailing.fresh(now), cellFailing.fresh(now));
    }

    Learned.Known known(double now) {
      return new Learned.Known(id, service, failing, now - answeredAt, Math.max(0, restUntil - now), rests,
          trial, coldTokens);
    }

    void goOn(Learned.Known told, double now, double agoMs) {
      service = told.slow();
      failing = told.failing();
      answeredAt = now - told.agoMs() - agoMs;
      restUntil = told.restMs() > agoMs ? now + told.restMs() - agoMs : restUntil;
      rests = told.rests();
      trial = told.trial();
      coldTokens = Math.min(coldTokens, told.coldTokens());
    }

    /** Its place in the order of one gateway, which differs from the orders of others. */
    long rank(long gateway) {
      return mix(id + (gateway << 32));
    }

    boolean cold(Rules rules, double now) {
      return startedMs > 0 && now - startedMs < rules.coldMs();
    }

    /** The part of its capacity that the rules promise by now. */
    double warmShare(Rules rules, double now) {
      return Math.min(1, rules.coldFrom() + (1 - rules.coldFrom()) * (now - startedMs) / rules.coldMs());
    }
  }

  /** One request taken and not yet finally answered. */
  static class JobState {
    final Request request;
    final RequestClass type;
    final double takenAt;
    /** Waits for the counter; its call is unanswered; its units are, or may be, in the shared count. */
    boolean waiting;
    boolean called;
    boolean added;
    /** The total is being read a second time. */
    boolean reread;
    /** It holds one of its customer's places. */
    boolean placed;
    /** Units that its call adds. */
    double asked;
    boolean inQuota;
    boolean held;
    boolean streaming;
    boolean mayHaveRun;
    boolean abandoned;
    /** Its last attempt found no connection, or one that was dead or out of step. */
    boolean unreached;
    double keyedUntil = Double.POSITIVE_INFINITY;
    int attempts;

    JobState(Request request, RequestClass type, double now) {
      this.request = request;
      this.type = type;
      this.takenAt = now;
    }

    double aim() {
      return type.aimMs() > 0 ? type.aimMs() : Math.max(1, request.giveUpMs() - takenAt);
    }
  }
}
