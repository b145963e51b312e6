package willowdoor.epoch;

/** The events that an {@link EpochParticipant} handles. */
public sealed interface EpochEvent {

  /**
   * A heartbeat was answered.
   *
   * @param number the number of the heartbeat, assigned in ascending order
   * @param sentMs when the heartbeat was sent, in milliseconds of the door's monotonic clock
   */
  record HeartbeatAnswered(long number, double sentMs, EpochView view) implements EpochEvent { }

  /**
   * A requested document was fetched, checked, built and stored: the policy may come into force at any time.
   */
  record Ready(long epoch) implements EpochEvent { }

  /** A requested document cannot be used by this door. */
  record PrepareFailed(long epoch, String why) implements EpochEvent { }

  /** Time has passed. */
  record TimerFired() implements EpochEvent { }
}
