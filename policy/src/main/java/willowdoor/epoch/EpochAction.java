package willowdoor.epoch;

/** What a door's side of policies has its door do. */
public sealed interface EpochAction {

  /**
   * Get the document, hold it against the door's bounds, build what it needs, and say whether it is ready.
   */
  record Prepare(long epoch, String hash) implements EpochAction { }

  /** The door goes by this from here on; what was kept of others may go. */
  record Adopt(long epoch) implements EpochAction { }

  /** A document that was prepared will not hold. */
  record Drop(long epoch) implements EpochAction { }

  /** Something else was said of policies: the next heartbeat shouldn't wait. */
  record SendHeartbeatSoon() implements EpochAction { }

  /** Wake it then, by the door's clock. */
  record WakeAt(double atMs) implements EpochAction { }
}
