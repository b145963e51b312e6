package willowdoor.epoch;

/** What a door's side of policies is told. */
public sealed interface EpochEvent {

  /**
   * A heartbeat was answered.
   *
   * @param number of the heartbeat, counted up
   * @param sentMs by the door's clock when it went
   */
  record HeartbeatAnswered(long number, double sentMs, EpochView view) implements EpochEvent { }

  /** A document that was asked for is here, checked, built and written down: it may hold at any moment. */
  record Ready(long epoch) implements EpochEvent { }

  /** A document that was asked for can't be had here. */
  record PrepareFailed(long epoch, String why) implements EpochEvent { }

  /** Time has passed. */
  record TimerFired() implements EpochEvent { }
}
