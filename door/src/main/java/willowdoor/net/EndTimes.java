package willowdoor.net;

import java.util.List;
import willowdoor.policy.GatewayApi.RequestClass;

/**
 * When a door that was told to end (SIGTERM) does what, in milliseconds after that. SIGKILL comes no sooner
 * than the longest deadline, of which {@value #MOST_DEADLINE_MS} ms count at most, and {@value #SPARE_MS} ms,
 * and what it finds unanswered is lost; so where deadlines are short, all of it has to be over earlier.
 *
 * @param keepMs clients' connections are kept for so long, as fronts send on these until they have noticed
 * @param answerMs what isn't answered by then is answered as failed
 */
record EndTimes(long keepMs, long answerMs) {

  /** New connections go on coming for up to 0.4 s. */
  static final long ACCEPT_MS = 550;
  private static final double MOST_DEADLINE_MS = 3_000;
  private static final double SPARE_MS = 700;
  /** Between the end of the connections and SIGKILL: for what came last. */
  private static final double LAST_MS = 1_100;
  /** Between the last answers and SIGKILL: for these to be written, by a process that is short of CPU. */
  private static final double WRITE_MS = 400;

  static EndTimes of(List<RequestClass> classes) {
    double longest = classes.stream().mapToDouble(RequestClass::deadlineMs).max().orElse(MOST_DEADLINE_MS);
    double killed = Math.min(longest, MOST_DEADLINE_MS) + SPARE_MS;
    long answer = Math.round(Math.max(ACCEPT_MS, killed - WRITE_MS));
    return new EndTimes(Math.round(Math.min(answer, Math.max(ACCEPT_MS, killed - LAST_MS))), answer);
  }
}
