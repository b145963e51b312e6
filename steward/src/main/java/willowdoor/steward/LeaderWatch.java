package willowdoor.steward;

/**
 * Detects a node that keeps following a leader that no longer sends anything. MicroRaft clears the leader
 * after five missed heartbeats and starts an election. If a message of that leader arrives during the
 * election, the node keeps the leader's name for good, and no leader is elected if that leader dies later.
 * The remedy is to recreate the node from its disk, as a restart of the process would.
 *
 * <p>The class counts checks instead of time: while a process is suspended, its checks are held back as well
 * as the leader's messages, so its own pause must not count as silence of the leader.
 */
final class LeaderWatch {

  /** Interval between checks. */
  static final double CHECK_INTERVAL_MS = 200;
  /** 10 checks, 2 s, are four times the leader timeout of the library. */
  static final int SILENT_CHECKS = 10;
  /** Upper limit of the backoff: if a restart brings no message either, the limit doubles, up to 64 s. */
  static final int MAX_SILENT_CHECKS = 320;

  private int silentChecks;
  private int limit = SILENT_CHECKS;

  /** Called on a message from a leader of the current or a later term. */
  void leaderHeard() {
    silentChecks = 0;
    limit = SILENT_CHECKS;
  }

  /**
   * Counts one check; to be called every {@link #CHECK_INTERVAL_MS}.
   *
   * @param hasOtherLeader whether the node follows another steward as its leader
   * @return whether to recreate the node
   */
  boolean check(boolean hasOtherLeader) {
    silentChecks = hasOtherLeader ? silentChecks + 1 : 0;
    if (silentChecks < limit) {
      return false;
    }
    silentChecks = 0;
    limit = Math.min(limit * 2, MAX_SILENT_CHECKS);
    return true;
  }
}
