package willowdoor.net;

import java.util.List;
import willowdoor.policy.GatewayApi.RequestClass;

/**
 * When a door that was told to end (SIGTERM) does what, in milliseconds after that. SIGKILL comes no sooner
 * than the longest deadline, of which {@value #MAX_DEADLINE_MS} ms count at most, and {@value #KILL_DELAY_MS}
 * ms,
 * and what it finds unanswered is lost; so where deadlines are short, all of it has to be over earlier.
 *
 * @param keepConnectionsMs clients' connections are kept for so long, as fronts send on these until they have
 * noticed
 * @param failUnansweredMs what isn't answered by then is answered as failed
 */
record ShutdownTimes(long keepConnectionsMs, long failUnansweredMs) {

  /** New connections go on coming for up to 0.4 s. */
  static final long KEEP_ACCEPTING_MS = 550;
  private static final double MAX_DEADLINE_MS = 3_000;
  private static final double KILL_DELAY_MS = 700;
  /** Between the end of the connections and SIGKILL: for what came last. */
  private static final double CONNECTION_END_RESERVE_MS = 1_100;
  /** Between the last answers and SIGKILL: for these to be written, by a process that is short of CPU. */
  private static final double WRITE_RESERVE_MS = 400;

  static ShutdownTimes of(List<RequestClass> classes) {
    double longestMs = classes.stream().mapToDouble(RequestClass::deadlineMs).max().orElse(MAX_DEADLINE_MS);
    double killMs = Math.min(longestMs, MAX_DEADLINE_MS) + KILL_DELAY_MS;
    long failMs = Math.round(Math.max(KEEP_ACCEPTING_MS, killMs - WRITE_RESERVE_MS));
    return new ShutdownTimes(Math
        .round(Math.min(failMs, Math.max(KEEP_ACCEPTING_MS, killMs - CONNECTION_END_RESERVE_MS))), failMs);
  }
}
