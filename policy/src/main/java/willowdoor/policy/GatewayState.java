package willowdoor.policy;

import willowdoor.policy.GatewayApi.Phase;
import willowdoor.policy.GatewayApi.Plan;
import willowdoor.policy.GatewayApi.Request;
import willowdoor.policy.GatewayApi.RequestClass;
import willowdoor.policy.GatewayApi.Rules;
import willowdoor.policy.GatewayApi.Settings;

/** State that {@link QuotaPolicy} keeps. Decisions are made in the policy only. */
final class GatewayState {

  private GatewayState() {
  }

  /** The finaliser of SplitMix64: a hash that spreads numbers evenly and is the same in every process. */
  static long mix(long number) {
    long z = (number ^ (number >>> 30)) * 0xBF58476D1CE4E5B9L;
    z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
    return z ^ (z >>> 31);
  }

  /**
   * A mean that forgets old samples: by their number where samples are frequent, by time where they are rare.
   */
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

    /** The mean, which falls towards 0 with the time since the last sample. */
    double decayed(double now) {
      return value * Math.exp((updatedAt - now) / decayMs);
    }
  }

  /**
   * Model of the service time of a class of requests, in milliseconds, as a linear function of their units:
   * least squares over the latest answers, with older ones forgotten. It fits where the units give the work
   * exactly, where they estimate it, and where they say nothing about it: the line lies between one through
   * the origin and a horizontal one.
   */
  static final class ServiceTimeModel {
    /**
     * Weight of the newest answer, at least: about the last hundred answers count, some seconds of any class.
     */
    private static final double MIN_WEIGHT = 0.01;
    /** Number of further answers that the first answer counts for. */
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
      return new LearnedState.ClassServiceTime(className, answers, meanUnits, meanMs, meanSquaredUnits,
          meanUnitsTimesMs);
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

  /** State of one customer, as this gateway sees it. */
  static class AccountState {
    /** Multiple of the units that a window can grant from which on a total cannot be right. */
    private static final double IMPLAUSIBLE_FACTOR = 10;
    final long customer;
    final Plan plan;
    /** Number of gateways through which requests of this customer may come. */
    final int entryPoints;
    /** Offset of the windows of its counts, in milliseconds; it spreads the window edges of customers. */
    double windowOffsetMs;
    double windowMs;
    /** Whether each window allows one burst, counted by its total alone, so that no bucket is followed. */
    boolean countsPerWindow;
    /** Estimated units in the bucket. */
    double level;
    /** Time of that estimate. */
    double levelUpdatedAt;
    /** Units that other gateways are assumed to have used since the last answer. */
    double assumedOthersUnits;
    /** Units per second that other gateways use. */
    double othersRate;
    /** Units per second that this gateway uses. */
    double ownRate;
    /** Units that this gateway has used since the last answer. */
    double ownUnitsSinceSync;
    /** Time of the last answer; NaN before the first. */
    double syncedAt = Double.NaN;
    /** Units that the next call adds; below 0 they are taken off the count. */
    double pendingUnits;
    /** Units that unanswered calls may have added. */
    double uncertainUnits;
    /** Units in calls that have not ended. */
    double inFlightUnits;
    /** The window of the last answer. */
    long totalWindow = Long.MIN_VALUE;
    /** The total in the last answer. */
    double lastTotal;
    /**
     * The last total of a counter that was replaced by one that began with a copy; 0 once the new counter has
     * answered.
     */
    double totalBeforeReplacement;
    /** The window before the current one, whose total was last requested; each is requested once. */
    long requestedPreviousWindow = Long.MIN_VALUE;
    /** The window before the current one, whose total is known. */
    long previousTotalWindow = Long.MIN_VALUE;
    /** The total of that window. */
    double previousTotal;
    /** Units that this gateway has added to the window of the last answer, as confirmed by answers. */
    double confirmedAdds;
    /** The window in which the counter was replaced: until its end no answer raises the level. */
    long replacementWindow = Long.MIN_VALUE;
    /** Units left in the part of the ceiling that requests confirmed by the counter use together. */
    double sharedCeilingUnits;
    /** Units left in this gateway's own part of the ceiling. */
    double localCeilingUnits;
    /** Its share of the ceiling, as given with the last request; null if the ceiling is counted together. */
    GatewayApi.CeilingShare ceilingShare;
    /** Units of this gateway's even part of the quota, which it may use without an answer of the counter. */
    double localQuotaUnits;
    int attemptsInFlight;
    /** Slots that this gateway holds in the shared count of attempts in flight. */
    int slots;
    /** Slots that this gateway has requested. */
    int slotRequests;
    /** Amount of calls about slots that the counter provably has not added. */
    double pendingSlots;
    /** Window of the count of slots. */
    long slotWindow = Long.MIN_VALUE;
    /** Time until which all slots are taken, by the last answer. */
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

    /** Takes the pending units out of this account; adding them is the successor's task from then on. */
    LearnedState.PendingAdd takePendingAdd(double now) {
      LearnedState.PendingAdd pending =
          new LearnedState.PendingAdd(customer, plan.name(), entryPoints, currentWindow(now), pendingUnits);
      pendingUnits = 0;
      return pending;
    }

    int slotsInUse() {
      return Math.max(attemptsInFlight, slots) + slotRequests;
    }

    /**
     * A total that no customer can reach, however many gateways add to it: a multiple of what a window can
     * grant and of what may be in flight. It detects answers that are out of step with their calls, so that
     * they belong to another count; the total is then read again. Drawback: none known.
     */
    double implausibleTotal(Settings settings) {
      return IMPLAUSIBLE_FACTOR * (plan.burst() + plan.rate() * windowMs / 1000
          + 10 * settings.gateways() * settings.maxUnits());
    }

    String counterName(long window) {
      return Long.toString(customer, 36) + ":" + window;
    }
  }

  /**
   * A call to the counter: the amount it adds, the request that waits for it, and whether it is about a slot.
   */
  record CounterCall<A extends AccountState, J>(A account, long window, double amount, J job,
      boolean forSlot) {
    CounterCall(A account, long window, double amount, J job) {
      this(account, window, amount, job, false);
    }

    String counterName() {
      return account.counterName(window) + (forSlot ? "o" : "");
    }
  }

  /** An attempt of a request. It is equal only to itself. */
  static final class Attempt<J, B> {
    final J job;
    final int number;
    final B backend;
    final double sentAt;
    /** Whether a part of its answer has come. */
    boolean answerBegun;

    Attempt(J job, int number, B backend, double sentAt) {
      this.job = job;
      this.number = number;
      this.backend = backend;
      this.sentAt = sentAt;
    }
  }

  /** State of one backend, as this gateway sees it. */
  static class BackendState {
    final long id;
    String zone;
    Phase phase;
    int cell;
    /** Capacity as reported by the roster. */
    double reportedCapacity;
    /** Capacity relative to the mean of all serving backends. */
    double relativeCapacity;
    /** Start time as reported by the roster. */
    double reportedStartMs;
    /** The same on the clock of this process. */
    double startMs;
    /** Start time as assumed by this gateway: later if the backend seems to have restarted. */
    double assumedStartMs;
    /** Time of a failed connection that made the backend seem restarted, until that is refuted. */
    double suspectedRestartAt = Double.NEGATIVE_INFINITY;
    /** Failure rate of its zone, shared by the backends there. */
    DecayingMean zoneFailureRate;
    /** Failure rate of its cell, shared by the backends there. */
    DecayingMean cellFailureRate;
    /** Latency as a multiple of the expected one; NaN before the first answer. */
    double measuredSlowness = Double.NaN;
    double failureRate;
    /** Backoffs since the backend last worked well. */
    int backoffCount;
    /** Whether the next attempt here is a trial after a backoff. */
    boolean needsTrial;
    double backoffUntil = Double.NEGATIVE_INFINITY;
    /** Time until which the backend gets nothing, as it rejected a request. */
    double overloadedUntil = Double.NEGATIVE_INFINITY;
    double lastAnswerAt;
    /** Requests at the backend by its last load report; NaN before the first. */
    double reportedLoad = Double.NaN;
    /** Requests of this gateway there at the time of that report. */
    double ownLoadAtReport;
    double loadReportedAt;
    /** Attempts that may be sent here while the backend is cold. */
    double coldTokens;
    double coldTokensAt;

    BackendState(long id, double now) {
      this.id = id;
      lastAnswerAt = now;
      coldTokensAt = now;
    }

    /** The failure rate of its zone or of its cell, whichever is higher. */
    double groupFailureRate(double now) {
      return Math.max(zoneFailureRate.decayed(now), cellFailureRate.decayed(now));
    }

    LearnedState.LearnedBackend snapshot(double now) {
      return new LearnedState.LearnedBackend(id, measuredSlowness, failureRate, now - lastAnswerAt,
          Math.max(0, backoffUntil - now), backoffCount, needsTrial, coldTokens);
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

    /** Position of this backend in the order of one gateway, which differs between gateways. */
    long rank(long gateway) {
      return mix(id + (gateway << 32));
    }

    boolean isCold(Rules rules, double now) {
      return assumedStartMs > 0 && now - assumedStartMs < rules.coldMs();
    }

    /** The share of its capacity that the backend may get by now, from 0 to 1. */
    double warmUpShare(Rules rules, double now) {
      return Math.min(1,
          rules.coldShare() + (1 - rules.coldShare()) * (now - assumedStartMs) / rules.coldMs());
    }
  }

  /** A request that was received and has no final answer yet. */
  static class JobState {
    final Request request;
    final RequestClass requestClass;
    final double receivedAt;
    /** Whether the request waits for the counter. */
    boolean waitingForCounter;
    /** Whether its call for units has not ended. */
    boolean callPending;
    /** Whether its units are, or may be, in the shared count. */
    boolean mayBeCounted;
    /** Whether the total is being read, or was read, a second time. */
    boolean totalReread;
    /** Whether it holds one of its customer's slots. */
    boolean holdsSlot;
    /** Units that its call adds; 0 if the call only reads the total. */
    double unitsInCall;
    /** Whether its units were taken from the quota. */
    boolean charged;
    /** Whether it waits for a usable backend. */
    boolean waitingForBackend;
    boolean streaming;
    boolean mayHaveRun;
    /** Whether one of its attempts was cancelled because the backend was silent. */
    boolean cancelledAsSilent;
    /** Whether its last attempt ended in a way that is no sign of overload, so that a retry is free. */
    boolean retryExempt;
    /** Time until which backends drop repeats of a keyed request that may have run. */
    double repeatsDroppedUntil = Double.POSITIVE_INFINITY;
    /** An answer to an earlier attempt was spoilt, or has stalled. */
    boolean answerWasSpoilt;
    int attemptCount;

    JobState(Request request, RequestClass requestClass, double now) {
      this.request = request;
      this.requestClass = requestClass;
      this.receivedAt = now;
    }

    /** Target time in milliseconds; without one, the time until the client gives up. */
    double aimMs() {
      return requestClass.aimMs() > 0 ? requestClass.aimMs() : Math.max(1, request.giveUpMs() - receivedAt);
    }
  }
}
