package willowdoor.policy;

import java.util.List;

/**
 * Interface between a gateway and its decision module, {@link QuotaPolicy}: the settings at the start, then
 * events from the gateway and actions for it. All times are milliseconds on a clock that only moves forward.
 * Nothing is decided here.
 */
public final class GatewayApi {

  private GatewayApi() {
  }

  /**
   * Whether a request may run again. SAFE: any number of times. KEYED: only within a group of backends that
   * recognises and drops its repeats. UNSAFE: never.
   */
  public enum Repeat { SAFE, KEYED, UNSAFE }

  /**
   * The group of backends that drops the repeats of a keyed request: all backends, those of one zone, or
   * those of one cell.
   */
  public enum Group { ALL, ZONE, CELL }

  /**
   * How an attempt, or a call to the counter, ended. UNREACHABLE: the connection was refused, or was not
   * established within the limit. BROKEN: the connection broke before the request was written completely.
   * NOT_SENT: this gateway sent nothing, for reasons of its own. SPOILT: the answer cannot be read, or a kept
   * connection turned out to be dead; the request may have run, and the backend is not at fault.
   */
  public enum Status {
    OK, ERROR, REJECTED, TIMED_OUT, UNREACHABLE, BROKEN, RESET, SPOILT, CANCELLED, NOT_SENT;

    /** Whether this status proves that the attempt did not run, or that the call added nothing. */
    public boolean provesNotRun() {
      return this == REJECTED || this == UNREACHABLE || this == BROKEN || this == NOT_SENT;
    }
  }

  /** Phase of a backend in the roster; a draining backend gets no new requests. */
  public enum Phase { SERVING, DRAINING, REMOVED }

  /**
   * What a roster holds. CHANGES: only the backends that have changed. COMPLETE: all backends. REMEMBERED:
   * all backends as known to an earlier run of the gateway. FAILED: nothing, as the roster could not be
   * obtained.
   */
  public enum RosterForm { CHANGES, COMPLETE, REMEMBERED, FAILED }

  /**
   * A class of requests.
   *
   * @param value what an answer in time is worth
   * @param lateValue what a late answer is worth
   * @param aimMs target time for the answer; 0 for none
   * @param deadlineMs time that is allowed for the answer
   * @param repeat whether a request may run again
   * @param group which backends drop repeats of a keyed request
   * @param repeatWindowMs time for which they drop repeats
   * @param stream whether the answer is streamed
   */
  public record RequestClass(String name, double value, double lateValue, double aimMs, double deadlineMs,
      Repeat repeat, Group group, double repeatWindowMs, boolean stream) { }

  /**
   * A plan of customers. A rate, limit of open attempts or ceiling rate of 0 means that there is none.
   *
   * @param rate units per second that the quota refills by
   * @param burst units that the quota holds at most
   * @param maxOpenAttempts attempts in flight at once, over all gateways
   * @param worthFactor factor of the worth of this plan's requests
   * @param beyondEarns what a request beyond the quota earns
   * @param beyondCost what a request beyond the quota costs
   * @param ceilingRate units per second that the hard ceiling refills by
   * @param ceilingBurst units that the ceiling holds at most
   * @param ceilingSlack units by which the ceiling may be exceeded
   */
  public record Plan(String name, double rate, double burst, int maxOpenAttempts, double worthFactor,
      double beyondEarns, double beyondCost, double ceilingRate, double ceilingBurst, double ceilingSlack) { }

  /**
   * What a gateway may use and do.
   *
   * @param sharedCounter whether there is a shared counter
   * @param counterTimeoutMs timeout of a call to the counter
   * @param mayCancel whether attempts may be cancelled
   * @param mayDuplicate whether two attempts of a request may run at once
   * @param maxAttempts limit of attempts for each request
   * @param maxOpenRequests limit of open requests
   * @param mayAdviseRetry whether a refusal may advise when to try again
   * @param maxRetryAfterMs longest time that is advised
   * @param rosterOnRequest whether changes of the roster have to be requested
   */
  public record Capabilities(boolean sharedCounter, double counterTimeoutMs, boolean mayCancel,
      boolean mayDuplicate, int maxAttempts, int maxOpenRequests, boolean mayAdviseRetry,
      double maxRetryAfterMs, boolean rosterOnRequest) { }

  /**
   * Numbers of the rules that a gateway has to keep.
   *
   * @param coldShare share of its capacity that a backend may get when it has just started, from 0 to 1
   * @param coldMs time from its start until a backend may get its full share
   */
  public record Rules(double answerSlackMs, double coldShare, double coldMs, double tipMultiple,
      double tipAfterMs) { }

  /**
   * Settings of a gateway.
   *
   * @param gateways number of gateways of the fleet
   * @param selfIndex index of this gateway, from 0
   * @param maxUnits the most units that a request can have
   * @param crossZonePrice cost of a backend in another zone, as a share of the target time
   * @param capacitiesReported whether the roster reports the capacities of backends
   */
  public record Settings(int gateways, int selfIndex, String zone, double maxUnits, double crossZonePrice,
      boolean capacitiesReported, List<RequestClass> classes, List<Plan> plans, Capabilities capabilities,
      Rules rules) { }

  /**
   * A backend in a roster.
   *
   * @param capacity capacity, relative to other backends
   * @param startedMs time of its start; 0 if it started long ago
   */
  public record BackendEntry(long id, String zone, int cell, Phase phase, double capacity,
      double startedMs) { }

  /**
   * A load report of a backend: requests in flight there, and its service time. A value that was not reported
   * is NaN.
   */
  public record Load(double inFlight, double serviceMs) { }

  /** An event that a gateway reports to its decision module. */
  public sealed interface Event { }

  /** News of the backends; the form tells what the entries are. */
  public record Roster(RosterForm form, List<BackendEntry> entries) implements Event { }

  /**
   * A request to decide on.
   *
   * @param entryPoints number of gateways through which requests of this customer may come
   * @param units estimated units of the request
   * @param giveUpMs time at which the client gives up
   * @param entryPointIndex index of this gateway among these entry points, or -1
   * @param ceilingShare the share of the customer's ceiling that this gateway may use; null where the
   *     gateways use the ceiling together by the shared count, which then has to be a single count at any
   *     time
   */
  public record Request(String id, String className, String planName, long customer, int entryPoints,
      double units, double giveUpMs, int entryPointIndex, CeilingShare ceilingShare) implements Event {

    public Request(String id, String className, String planName, long customer, int entryPoints,
        double units, double giveUpMs) {
      this(id, className, planName, customer, entryPoints, units, giveUpMs, -1, null);
    }

    /** Returns this request with the given share of the ceiling. */
    public Request withCeilingShare(CeilingShare share) {
      return new Request(id, className, planName, customer, entryPoints, units, giveUpMs, entryPointIndex,
          share);
    }
  }

  /**
   * A share of a customer's ceiling, from 0 to 1.
   *
   * @param share the share until the given time
   * @param nextShare the share from that time on
   */
  public record CeilingShare(double share, double untilMs, double nextShare) { }

  /**
   * A request that another check has to decide on first, such as an external authoriser. If it would be
   * refused by what is known already, it is refused now. For any other request there is no action, and
   * nothing is counted.
   */
  public record PreCheck(Request request) implements Event { }

  /** An answer has begun and is not complete: its backend is slow, and not silent. */
  public record AnswerProgress(String request, int attempt) implements Event { }

  /** A streamed answer has started. */
  public record StreamStarted(String request, int attempt) implements Event { }

  /**
   * An attempt has ended.
   *
   * @param requestOver whether the request has ended as well
   * @param trueUnits the true units of the request; 0 if they are not known
   * @param load the load report that came with the answer; null if there was none
   */
  public record Outcome(String request, int attempt, long backend, Status status, double latencyMs,
      boolean requestOver, double trueUnits, Load load) implements Event { }

  /** The client of a request has left, which ends the request. */
  public record ClientLeft(String request) implements Event { }

  /** A call to the counter has ended; the total is valid only with status OK. */
  public record Counted(String name, Status status, double total, double latencyMs) implements Event { }

  /**
   * The counter was replaced by another one.
   *
   * @param lostSinceMs the new counter began with a copy that may hold what was added until this time; it
   *     holds nothing that was added later. Negative infinity if it began empty.
   */
  public record CounterReplaced(double lostSinceMs) implements Event {

    /** A replacement by a counter that began empty. */
    public CounterReplaced() {
      this(Double.NEGATIVE_INFINITY);
    }
  }

  /** A timer set by {@link WakeAt} is due. */
  public record Woken(String label) implements Event { }

  /** An action that a gateway has to take for its decision module. */
  public sealed interface Action { }

  /**
   * Starts an attempt. The attempts of a request are numbered from 0, in the order of these actions.
   *
   * @param conditions what has to hold when the attempt is written
   */
  public record Send(String request, long backend, double timeoutMs, AttemptConditions conditions)
      implements Action { }

  /**
   * Gives the final answer: the request is refused, and trying again is harmless.
   *
   * @param retryAfterMs time after which the client is advised to try again; 0 for no advice
   * @param quotaExhausted whether the customer's quota, ceiling or slots are used up; otherwise the reason is
   *     the state of the fleet
   */
  public record Refuse(String request, double retryAfterMs, boolean quotaExhausted) implements Action { }

  /** Gives the final answer: the request has failed, and trying again may not be harmless. */
  public record Fail(String request) implements Action { }

  /** Cancels an attempt. */
  public record Cancel(String request, int attempt) implements Action { }

  /** Adds to a count of the counter; a new name starts at 0 and is forgotten after ttlMs. */
  public record Add(String name, double amount, double ttlMs) implements Action { }

  /** Sets a timer; {@link Woken} with the same label reports it. */
  public record WakeAt(double atMs, String label) implements Action { }

  /** Requests that changes of the roster are reported from now on. */
  public record FollowRoster() implements Action { }
}
