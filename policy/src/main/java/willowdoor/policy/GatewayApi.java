package willowdoor.policy;

import java.util.List;

/**
 * What passes between a gateway and its decision module, {@link QuotaPolicy}: the settings at the start, then
 * events in, actions out. Times are milliseconds on a clock that only moves forward. Nothing is decided here.
 */
public final class GatewayApi {

  private GatewayApi() {
  }

  /** May a request run again: freely, within a group of backends that drops its repeats, or never. */
  public enum Repeat { SAFE, KEYED, UNSAFE }

  /** The backends that drop a keyed request's repeats: all, those of one zone, or those of one cell. */
  public enum Group { ALL, ZONE, CELL }

  /**
   * How an attempt or a call ended. UNREACHABLE: it was refused a connection, or none came up within the
   * limit. BROKEN: its connection broke before it was written whole. NOT_SENT: this gateway sent nothing, for
   * causes of its own. SPOILT: the answer cannot be read, or a kept connection turned out to be dead; it may
   * have run, and its backend is not to blame.
   */
  public enum Status {
    OK, ERROR, REJECTED, TIMED_OUT, UNREACHABLE, BROKEN, RESET, SPOILT, CANCELLED, NOT_SENT;

    /** True when this ending shows that the attempt never ran, or the call added nothing. */
    public boolean provesNotRun() {
      return this == REJECTED || this == UNREACHABLE || this == BROKEN || this == NOT_SENT;
    }
  }

  public enum Phase { SERVING, DRAINING, REMOVED }

  /** A roster holds only what changed, all backends, all as seen in an earlier life, or is a failure. */
  public enum RosterForm { CHANGES, COMPLETE, REMEMBERED, FAILED }

  /** One class of requests: worth, time wanted, time allowed, and whether it may run again. */
  public record RequestClass(String name, double value, double lateValue, double aimMs, double deadlineMs,
      Repeat repeat, Group group, double repeatWindowMs, boolean stream) { }

  /** One plan; a rate, open limit or ceiling rate of 0 means that there is none. */
  public record Plan(String name, double rate, double burst, int maxOpenAttempts, double worthFactor,
      double beyondEarns, double beyondCost, double ceilingRate, double ceilingBurst, double ceilingSlack) { }

  /** What a gateway may use and do. */
  public record Capabilities(boolean sharedCounter, double counterTimeoutMs, boolean mayCancel,
      boolean mayDuplicate,
      int maxAttempts, int maxOpenRequests, boolean mayAdviseRetry, double maxRetryAfterMs,
      boolean rosterOnRequest) { }

  /** Figures of the rules. */
  public record Rules(double answerSlackMs, double coldShare, double coldMs, double tipMultiple,
      double tipAfterMs) { }

  public record Settings(int gateways, int selfIndex, String zone, double maxUnits, double crossZonePrice,
      boolean capacitiesReported, List<RequestClass> classes, List<Plan> plans, Capabilities capabilities,
      Rules rules) { }

  /** One backend of a roster; startedMs is 0 when it started long ago. */
  public record BackendEntry(long id, String zone, int cell, Phase phase, double capacity,
      double startedMs) { }

  /** A load report; a value that was not reported is NaN. */
  public record Load(double inFlight, double serviceMs) { }

  /** What a gateway tells its module. */
  public sealed interface Event { }

  public record Roster(RosterForm form, List<BackendEntry> entries) implements Event { }

  /**
   * A request to decide on.
   *
   * @param entryPointIndex this gateway's place among those through which its customer's requests may come,
   * or -1
   * @param ceilingShare what of its customer's ceiling this gateway may use; null where gateways use it
   * together
   * by
   *     the shared count, which has to be one count then at any moment
   */
  public record Request(String id, String className, String planName, long customer, int entryPoints,
      double units, double giveUpMs, int entryPointIndex, CeilingShare ceilingShare) implements Event {

    public Request(String id, String className, String planName, long customer, int entryPoints,
        double units, double giveUpMs) {
      this(id, className, planName, customer, entryPoints, units, giveUpMs, -1, null);
    }

    /** The same with that share. */
    public Request withCeilingShare(CeilingShare share) {
      return new Request(id, className, planName, customer, entryPoints, units, giveUpMs, entryPointIndex,
          share);
    }
  }

  /** A share of a customer's ceiling, from 0 to 1, until a moment, and the share from that moment on. */
  public record CeilingShare(double share, double untilMs, double nextShare) { }

  /**
   * A request that something else has to decide on first. One that would be refused by what is known already
   * is refused now; of any other nothing is said, and nothing is counted.
   */
  public record PreCheck(Request request) implements Event { }

  /** A streamed answer has begun. */
  public record StreamStarted(String request, int attempt) implements Event { }

  /** How an attempt ended; trueUnits is 0 when unknown, load is null when no report came. */
  public record Outcome(String request, int attempt, long backend, Status status, double latencyMs,
      boolean requestOver, double trueUnits, Load load) implements Event { }

  /** The request is over: its client has left. */
  public record ClientLeft(String request) implements Event { }

  /** The end of a call to the counter; total is valid with OK. */
  public record Counted(String name, Status status, double total, double latencyMs) implements Event { }

  /**
   * Another counter answers than before.
   *
   * @param lostSinceMs what was added until then may be in it (it began with a copy), what was added later is
   *     not; negative infinity when it has nothing
   */
  public record CounterReplaced(double lostSinceMs) implements Event {

    /** One that has nothing of what was added until now. */
    public CounterReplaced() {
      this(Double.NEGATIVE_INFINITY);
    }
  }

  public record Woken(String label) implements Event { }

  /** What a module has its gateway do. */
  public sealed interface Action { }

  /** Start an attempt; the n-th Send of a request, from 0, is its attempt n. */
  public record Send(String request, long backend, double timeoutMs) implements Action { }

  /**
   * Final answer: refused, trying again is harmless; holdOffMs of 0 gives no advice.
   *
   * @param quotaExhausted for its customer's sake, whose quota, ceiling or places are used up; else for the
   * fleet's
   */
  public record Refuse(String request, double retryAfterMs, boolean quotaExhausted) implements Action { }

  /** Final answer: failed, nothing promised. */
  public record Fail(String request) implements Action { }

  public record Cancel(String request, int attempt) implements Action { }

  /** Add to a named count; a new name starts at 0 and is forgotten after ttlMs. */
  public record Add(String name, double amount, double ttlMs) implements Action { }

  public record WakeAt(double atMs, String label) implements Action { }

  /** Ask for changes of the roster from now on. */
  public record FollowRoster() implements Action { }
}
