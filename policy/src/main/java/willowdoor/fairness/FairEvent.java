package willowdoor.fairness;

import java.util.Map;

/** An input of {@link FairQueue}. Times are in milliseconds on a monotonic clock. */
public sealed interface FairEvent {

  /** Outcome of a released request. */
  enum Result {
    /** A backend answered the request. */
    SERVED,
    /** The request failed or timed out at the backends. */
    FAILED,
    /** Refused because the firm's quota or ceiling was spent: nothing of it ran. */
    SPENT,
    /** Refused for another cause: nothing of it ran. */
    REFUSED,
    /** The client left. */
    LEFT
  }

  /**
   * A request has arrived.
   *
   * @param client the client within the firm; 0 if unknown
   * @param entryPoints number of doors through which the firm's requests may come
   * @param bytes size of the body
   * @param usefulUntilMs the time from which an answer is worth nothing: the target time, or the deadline
   *     where late answers still have a value
   * @param aimMs target response time of the request's class, in milliseconds
   */
  record Arrived(String id, String className, String plan, long firm, long client, int entryPoints,
      double units, int bytes, double usefulUntilMs, double aimMs) implements FairEvent { }

  /** A waiting request ended outside the queue: its client left, or its deadline passed. */
  record Left(String id) implements FairEvent { }

  /** A released request has ended; units are its actual cost, 0 if unknown. */
  record Ended(String id, Result result, double units) implements FairEvent { }

  /** The share, from 0 to 1, of a firm's recent use that came through this door. */
  record FirmShare(long firm, double share) implements FairEvent { }

  /**
   * The policy refuses a released request and would itself advise to come back after the hold-off time.
   * Answered by an {@link FairAction.Advise}.
   *
   * @param quotaSpent whether the cause is the firm's quota or ceiling
   * @param holdOffMs the policy's own advice, in milliseconds
   */
  record Refusing(String id, boolean quotaSpent, double holdOffMs) implements FairEvent { }

  /** The settings of the plans have changed. */
  record PlansChanged(Map<String, FairSettings.PlanSettings> plans) implements FairEvent { }

  /**
   * No request may wait here any more: this door ends, or another instance takes over.
   *
   * @param on false if the door continues to serve after all
   */
  record Draining(boolean on) implements FairEvent { }

  /** The time of the last {@link FairAction.WakeAt} has come. */
  record Woken() implements FairEvent { }
}
