package willowdoor.steward;

/**
 * Tells when a steward's node stands still behind a leader that says nothing. The library misses a leader
 * after five heartbeats, forgets its name, and asks for votes. It stays with the name, for good, where a word
 * of that leader comes in the middle of asking for votes; nobody is chosen if that leader dies later. Against
 * that the node is begun anew from its disk, which is what a kill and a start would do.
 *
 * <p>Looks are counted, not time: a process that was stopped has had its leader's words held back as well as
 * its looks, and must not take its own silence for the leader's.
 */
final class LeaderWatch {

  /** Between two looks. */
  static final double CHECK_INTERVAL_MS = 200;
  /** So many looks, 2 s, are four times what the library takes to miss a leader. */
  static final int SILENT_CHECKS = 10;
  /** Where beginning anew brought no word either: each time twice as many looks, up to some 64 s. */
  static final int MAX_SILENT_CHECKS = 320;

  private int silentChecks;
  private int limit = SILENT_CHECKS;

  /** A word of a leader of this term or a later one has come. */
  void leaderHeard() {
    silentChecks = 0;
    limit = SILENT_CHECKS;
  }

  /**
   * To be called each {@link #CHECK_INTERVAL_MS}.
   *
   * @param hasOtherLeader whether the node names another as its leader
   * @return whether to begin the node anew
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
