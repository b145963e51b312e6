package willowdoor.fairness;

import java.util.Map;

/** What {@link FairQueue} is told. Times are milliseconds on a clock that only moves forward. */
public sealed interface FairEvent {

  /** How a request that was let through ended. */
  enum Result {
    /** A node answered it. */
    SERVED,
    /** It failed at the nodes, or its time passed there. */
    FAILED,
    /** Refused since its firm's quota or ceiling was spent: nothing of it ran. */
    SPENT,
    /** Refused for any other cause: nothing of it ran. */
    REFUSED,
    /** Its client left. */
    LEFT
  }

  /**
   * A request that wants to go on.
   *
   * @param client whose it is within its firm; 0 where that is not known
   * @param entryPoints doors through which its firm's requests may come
   * @param bytes of its body
   * @param usefulUntilMs when an answer stops to be worth anything: the time wanted, or, where late answers
   *     earn, the deadline
   * @param aimMs how long its class wants to be under way at most
   */
  record Arrived(String id, String className, String plan, long firm, long client, int entryPoints,
      double units, int bytes, double usefulUntilMs, double aimMs) implements FairEvent { }

  /** A waiting request is over without this module: its client left, or its time is up. */
  record Left(String id) implements FairEvent { }

  /** A request that was let through is over; units are what it truly cost, 0 where that is not told. */
  record Ended(String id, Result result, double units) implements FairEvent { }

  /** That part, from 0 to 1, of a firm's use of late came through this door. */
  record FirmShare(long firm, double share) implements FairEvent { }

  /**
   * The policy refuses a request that was let through, and would advise to come back after that time;
   * answered by an Advise.
   *
   * @param quotaSpent the cause is its firm's quota or ceiling
   */
  record Refusing(String id, boolean quotaSpent, double holdOffMs) implements FairEvent { }

  /** Plans have other parts from here on. */
  record PlansChanged(Map<String, FairSettings.PlanSettings> plans) implements FairEvent { }

  /**
   * Nothing may wait here any more: this door ends, or another instance takes over.
   *
   * @param on false when it serves on after all
   */
  record Draining(boolean on) implements FairEvent { }

  /** The time of a WakeAt has come. */
  record Woken() implements FairEvent { }
}
