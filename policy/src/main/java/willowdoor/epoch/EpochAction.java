package willowdoor.epoch;

/** The actions that an {@link EpochParticipant} requests from its door. */
public sealed interface EpochAction {

  /**
   * Fetch the document, check it against the door's limits, build what the policy needs, and report whether
   * that succeeded.
   */
  record Prepare(long epoch, String hash) implements EpochAction { }

  /** The door uses this policy from now on; what was kept of other policies may be discarded. */
  record Adopt(long epoch) implements EpochAction { }

  /** Discard a prepared document that will not come into force. */
  record Drop(long epoch) implements EpochAction { }

  /** The report for heartbeats has changed: send the next heartbeat without delay. */
  record SendHeartbeatSoon() implements EpochAction { }

  /**
   * Pass in an {@link EpochEvent.TimerFired} event at this time of the door's monotonic clock, in
   * milliseconds.
   */
  record WakeAt(double atMs) implements EpochAction { }
}
