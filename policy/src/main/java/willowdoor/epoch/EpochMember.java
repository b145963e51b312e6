package willowdoor.epoch;

/**
 * The replicated state of a process of a door that takes part in policy changes.
 *
 * @param name the name of the process, as door/incarnation
 * @param fencedMs the replicated time, in milliseconds, from which the process is certain to refuse all
 *     requests for lack of contact
 * @param word the last report of the process
 */
public record EpochMember(String name, double fencedMs, Report word) {

  /**
   * The report of a process about policies, sent with its heartbeats.
   *
   * @param holds the epoch that the process uses
   * @param prepared the epoch that the process is ready for, or 0
   * @param refused the epoch that the process cannot use, or 0
   * @param why the reason for the refusal, in words
   */
  public record Report(long holds, long prepared, long refused, String why) {

    /** The report of a process that uses, has prepared and has refused no epoch. */
    public static final Report NONE = new Report(0, 0, 0, "");
    /** The maximum length of a reason, in characters; longer reasons are truncated. */
    static final int MAX_WHY_CHARS = 500;

    /** Truncates the reason to its maximum length. */
    public Report {
      why = why.length() <= MAX_WHY_CHARS ? why : why.substring(0, MAX_WHY_CHARS);
    }
  }

  /**
   * Whether the process no longer uses an epoch before the given one: it uses that epoch or a later one, or
   * it is fenced, or it was fenced when the change was decided and cannot use the epoch.
   */
  boolean hasAdopted(long epoch, double nowMs) {
    return word.holds() >= epoch || word.refused() == epoch || nowMs >= fencedMs;
  }

  /** Whether the process does not delay the decision on the epoch: it is ready for the epoch or is fenced. */
  boolean isReadyFor(long epoch, double nowMs) {
    return word.prepared() == epoch || word.holds() >= epoch || nowMs >= fencedMs;
  }
}
