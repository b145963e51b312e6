package willowdoor.epoch;

/**
 * A process of a door as the record has it.
 *
 * @param name as door/incarnation
 * @param fencedMs by the record's time from when on it surely decides nothing, as it was not heard
 * @param word what it said last
 */
public record Member(String name, double fencedMs, Word word) {

  /**
   * What a process says of policies with its heartbeats.
   *
   * @param holds the epoch that it goes by
   * @param prepared the epoch that it is ready for, or 0
   * @param refused the epoch that it can't have, or 0
   * @param why it can't, in words
   */
  public record Word(long holds, long prepared, long refused, String why) {

    /** Nothing yet. */
    public static final Word NONE = new Word(0, 0, 0, "");
    /** Longer reasons are cut. */
    static final int LONGEST_WHY = 500;

    /** Cut to its bound. */
    public Word {
      why = why.length() <= LONGEST_WHY ? why : why.substring(0, LONGEST_WHY);
    }
  }

  /** By that or a later one, or by nothing: it is fenced, or was while that was decided and can't have it. */
  boolean goesBy(long epoch, double nowMs) {
    return word.holds() >= epoch || word.refused() == epoch || nowMs >= fencedMs;
  }

  boolean isReadyFor(long epoch, double nowMs) {
    return word.prepared() == epoch || word.holds() >= epoch || nowMs >= fencedMs;
  }
}
