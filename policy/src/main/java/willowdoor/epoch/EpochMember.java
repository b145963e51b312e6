package willowdoor.epoch;

/**
 * A process of a door as the record has it.
 *
 * @param name as door/incarnation
 * @param fencedMs by the record's time from when on it surely decides nothing, as it was not heard
 * @param word what it said last
 */
public record EpochMember(String name, double fencedMs, Report word) {

  /**
   * What a process says of policies with its heartbeats.
   *
   * @param holds the epoch that it goes by
   * @param prepared the epoch that it is ready for, or 0
   * @param refused the epoch that it can't have, or 0
   * @param why it can't, in words
   */
  public record Report(long holds, long prepared, long refused, String why) {

    /** Nothing yet. */
    public static final Report NONE = new Report(0, 0, 0, "");
    /** Longer reasons are cut. */
    static final int MAX_WHY_CHARS = 500;

    /** Cut to its bound. */
    public Report {
      why = why.length() <= MAX_WHY_CHARS ? why : why.substring(0, MAX_WHY_CHARS);
    }
  }

  /** By that or a later one, or by nothing: it is fenced, or was while that was decided and can't have it. */
  boolean hasAdopted(long epoch, double nowMs) {
    return word.holds() >= epoch || word.refused() == epoch || nowMs >= fencedMs;
  }

  boolean isReadyFor(long epoch, double nowMs) {
    return word.prepared() == epoch || word.holds() >= epoch || nowMs >= fencedMs;
  }
}
