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
  static final class DecayingMean {
    private final double minWeight;
    private final double decayMs;
    private double updatedAt;
    double value;

    DecayingMean(double minWeight, double decayMs, double now) {
      this.minWeight = minWeight;
      this.decayMs = decayMs;
      this.updatedAt = now;
    }

    void add(double sample, double now) {
      value += Math.max(minWeight, 1 - Math.exp((updatedAt - now) / decayMs)) * (sample - value);
      updatedAt = now;
    }

    double updatedAt() {
      return updatedAt;
    }

    /** The mean, less as it ages without samples. */
    double decayed(double now) {
      return value * Math.exp((updatedAt - now) / decayMs);
    }
  }

  /**
   * What requests of a class take by their units, in milliseconds: least squares over their latest answers,
   * older ones forgotten. It serves where units tell the work, where they are a guess of it, and where they
   * tell nothing of it: the line lies between one through nought and a level one.
   */
  static final class ServiceTimeModel {
    /** The last hundred answers count: some seconds of any class. */
    private static final double MIN_WEIGHT = 0.01;
    /** Answers that the first one counts for. */
    private static final double FIRST_ANSWER_EXTRA = 3;
    private final double defaultMs;
    private double answers;
    private double meanUnits;
    private double meanMs;
    private double meanSquaredUnits;
    private double meanUnitsTimesMs;

    ServiceTimeModel(double defaultMs) {
      this.defaultMs = defaultMs;
    }

    void learn(double units, double ms) {
      if (answers == 0) {
        meanUnits = units;
        meanMs = ms;
        meanSquaredUnits = units * units;
        meanUnitsTimesMs = units * ms;
      }
      answers++;
      double weight = Math.max(MIN_WEIGHT, 1 / (answers + FIRST_ANSWER_EXTRA));
      meanUnits += weight * (units - meanUnits);
      meanMs += weight * (ms - meanMs);
      meanSquaredUnits += weight * (units * units - meanSquaredUnits);
      meanUnitsTimesMs += weight * (units * ms - meanUnitsTimesMs);
    }

    LearnedState.ClassServiceTime snapshot(String className) {
      return new LearnedState
          .ClassServiceTime(className, answers, meanUnits, meanMs, meanSquaredUnits, meanUnitsTimesMs);
    }

    void restore(LearnedState.ClassServiceTime saved) {
      answers = saved.answers();
      meanUnits = saved.meanUnits();
      meanMs = saved.meanMs();
      meanSquaredUnits = saved.meanSquaredUnits();
      meanUnitsTimesMs = saved.meanUnitsTimesMs();
    }

    double expectedMs(double units) {
      if (answers == 0) {
        return defaultMs;
      }
      double variance = meanSquaredUnits - meanUnits * meanUnits;
      double slope = variance < 1e-6 || meanUnits <= 0 ? 0
          : Math.max(0, Math.min(meanMs / meanUnits, (meanUnitsTimesMs - meanUnits * meanMs) / variance));
      return Math.max(1, meanMs + slope * (units - meanUnits));
    }
  }

  /** One customer as this gateway sees it. */
  static class AccountState {
    private static final double IMPLAUSIBLE_FACTOR = 10;
    final long customer;
    final Plan plan;
    /** Through how many gateways its requests may come. */
    final int entryPoints;
    /** Shift and length of its counts' windows; plain: one burst a window, no bucket followed. */
    double windowOffsetMs;
    double windowMs;
    boolean countsPerWindow;
    /** Units in the bucket as estimated, and when. */
    double level;
    double levelUpdatedAt;
    /** Spending of others taken for granted since the last answer. */
    double assumedOthersUnits;
    /** Units a second of the others and of this gateway, and this gateway's units since the last answer. */
    double othersRate;
    double ownRate;
    double ownUnitsSinceSync;
    double syncedAt = Double.NaN;
    /** Units to go with the next add, that an unanswered call may have added, and in calls under way. */
    double pendingUnits;
    double uncertainUnits;
    double inFlightUnits;
    /** The window last answered for, and its total then. */
    long totalWindow = Long.MIN_VALUE;
    double lastTotal;
    /** The total seen at a counter that another one, begun with a copy, has replaced; 0 once that answered.
        */
    double totalBeforeReplacement;
    /** The total of the window before the present one, as read once: which one was asked for, and told. */
    long requestedPreviousWindow = Long.MIN_VALUE;
    long previousTotalWindow = Long.MIN_VALUE;
    double previousTotal;
    /** What this gateway itself has added to that window's count, as answered for. */
    double confirmedAdds;
    /** The window in which the counter was replaced: until its end no answer raises the level. */
    long replacementWindow = Long.MIN_VALUE;
    /** The ceiling: what counted sends may use together, and this gateway's own part. */
    double sharedCeilingUnits;
    double localCeilingUnits;
    /** The gateway's share of the ceiling as told with the last request; null: by the shared count. */
    GatewayApi.CeilingShare ceilingShare;
    /** What this gateway may send on unasked. */
    double localQuotaUnits;
    int attemptsInFlight;
    /** Places held here in the shared count of attempts out, asked for, in the window of that count. */
    int slots;
    int slotRequests;
    /** What a call that was turned away has not added to that count. */
    double pendingSlots;
    long slotWindow = Long.MIN_VALUE;
    /** Until then all places are taken, as last answered. */
    double slotsFullUntil = Double.NEGATIVE_INFINITY;

    AccountState(long customer, Plan plan, int entryPoints, double now) {
      this.customer = customer;
      this.plan = plan;
      this.entryPoints = entryPoints;
      levelUpdatedAt = now;
    }

    long currentWindow(double now) {
      return (long) Math.floor((now + windowOffsetMs) / windowMs);
    }

    double windowStart(double now) {
      return currentWindow(now) * windowMs - windowOffsetMs;
    }

    /** What it owes is another's from here on. */
    LearnedState.PendingAdd takePendingAdd(double now) {
      LearnedState.PendingAdd pending = new LearnedState
          .PendingAdd(customer, plan.name(), entryPoints, currentWindow(now), pendingUnits);
      pendingUnits = 0;
      return pending;
    }

    int slotsInUse() {
      return Math.max(attemptsInFlight, slots) + slotRequests;
    }

    /**
     * A total that no customer can come to, however many gateways add to it: so many times what a window can
     * grant, and what may be under way. Guards against answers that are out of step with their calls, and so
     * another name's. Harm: none known; it is read once more.
     */
    double implausibleTotal(Settings settings) {
      return IMPLAUSIBLE_FACTOR * (plan.burst() + plan.rate() * windowMs / 1000
          + 10 * settings.gateways() * settings.maxUnits());
    }

    String counterName(long window) {
      return Long.toString(customer, 36) + ":" + window;
    }
  }

  /** One call to the counter: what it adds, the request that waits for it, and whether it is for a place. */
  record CounterCall<A extends AccountState,
      J>(A account, long window, double amount, J job, boolean forSlot) {
    CounterCall(A account, long window, double amount, J job) {
      this(account, window, amount, job, false);
    }

    String counterName() {
      return account.counterName(window) + (forSlot ? "o" : "");
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
    double reportedCapacity;
    double relativeCapacity;
    /** When it started, as told, and as taken to be. */
    double reportedStartMs;
    double assumedStartMs;
    /** When a failed connection made it look restarted, unless that is settled. */
    double suspectedRestartAt = Double.NEGATIVE_INFINITY;
    /** Failures of its zone and of its cell, shared by their backends. */
    DecayingMean zoneFailureRate;
    DecayingMean cellFailureRate;
    double measuredSlowness = Double.NaN;
    double failureRate;
    int backoffCount;
    boolean needsTrial;
    double backoffUntil = Double.NEGATIVE_INFINITY;
    double overloadedUntil = Double.NEGATIVE_INFINITY;
    double lastAnswerAt;
    /** Requests held as last reported, of them from here, and when. */
    double reportedLoad = Double.NaN;
    double ownLoadAtReport;
    double loadReportedAt;
    double coldTokens;
    double coldTokensAt;

    BackendState(long id, double now) {
      this.id = id;
      lastAnswerAt = now;
      coldTokensAt = now;
    }

    /** The failing share of its zone or of its cell, whichever is more. */
    double groupFailureRate(double now) {
      return Math.max(zoneFailureRate.decayed(now), cellFailureRate.decayed(now));
    }

    LearnedState.LearnedBackend snapshot(double now) {
      return new LearnedState
          .LearnedBackend(id, measuredSlowness, failureRate, now - lastAnswerAt,
          Math.max(0, backoffUntil - now), backoffCount,
          needsTrial, coldTokens);
    }

    void restore(LearnedState.LearnedBackend saved, double now, double transferMs) {
      measuredSlowness = saved.slowness();
      failureRate = saved.failureRate();
      lastAnswerAt = now - saved.lastAnswerAgoMs() - transferMs;
      backoffUntil = saved.backoffMs() > transferMs ? now + saved.backoffMs() - transferMs : backoffUntil;
      backoffCount = saved.backoffCount();
      needsTrial = saved.needsTrial();
      coldTokens = Math.min(coldTokens, saved.coldTokens());
    }

    /** Its place in the order of one gateway, which differs from the orders of others. */
    long rank(long gateway) {
      return mix(id + (gateway << 32));
    }

    boolean isCold(Rules rules, double now) {
      return assumedStartMs > 0 && now - assumedStartMs < rules.coldMs();
    }

    /** The part of its capacity that the rules promise by now. */
    double warmUpShare(Rules rules, double now) {
      return Math.min(1,
          rules.coldShare() + (1 - rules.coldShare()) * (now - assumedStartMs) / rules.coldMs());
    }
  }

  /** One request taken and not yet finally answered. */
  static class JobState {
    final Request request;
    final RequestClass requestClass;
    final double receivedAt;
    /** Waits for the counter; its call is unanswered; its units are, or may be, in the shared count. */
    boolean waitingForCounter;
    boolean callPending;
    boolean mayBeCounted;
    /** The total is being read a second time. */
    boolean totalReread;
    /** It holds one of its customer's places. */
    boolean holdsSlot;
    /** Units that its call adds. */
    double unitsInCall;
    boolean charged;
    boolean waitingForBackend;
    boolean streaming;
    boolean mayHaveRun;
    boolean cancelledAsSilent;
    /** Its last attempt found no connection, or one that was dead or out of step. */
    boolean retryExempt;
    double repeatsDroppedUntil = Double.POSITIVE_INFINITY;
    int attemptCount;

    JobState(Request request, RequestClass requestClass, double now) {
      this.request = request;
      this.requestClass = requestClass;
      this.receivedAt = now;
    }

    double aimMs() {
      return requestClass.aimMs() > 0 ? requestClass.aimMs() : Math.max(1, request.giveUpMs() - receivedAt);
    }
  }
}
