package willowdoor.net;

import java.util.List;
import willowdoor.policy.GatewayApi.RequestClass;

/**
 * Schedule of a graceful shutdown, in milliseconds after the door was told to stop (SIGTERM). SIGKILL comes
 * no sooner than the longest deadline, of which at most {@value #MAX_DEADLINE_MS} ms count, plus {@value
 * #KILL_DELAY_MS} ms, and requests that are unanswered by then are lost; so where deadlines are short,
 * everything must be finished earlier.
 *
 * @param keepConnectionsMs how long clients' connections are kept, as load balancers send on these until they
 *     notice the shutdown
 * @param failUnansweredMs when requests that are still unanswered are answered as failed
 */
record ShutdownTimes(long keepConnectionsMs, long failUnansweredMs) {

  /** New connections keep arriving for up to 0.4 s after SIGTERM. */
  static final long KEEP_ACCEPTING_MS = 550;
  private static final double MAX_DEADLINE_MS = 3_000;
  private static final double KILL_DELAY_MS = 700;
  /** Time between the closing of the connections and SIGKILL, for the last requests. */
  private static final double CONNECTION_END_RESERVE_MS = 1_100;
  /**
   * Time between the last answers and SIGKILL, in which a process that is short of CPU writes these answers.
   */
  private static final double WRITE_RESERVE_MS = 400;

  static ShutdownTimes of(List<RequestClass> classes) {
    double longestMs = classes.stream().mapToDouble(RequestClass::deadlineMs).max().orElse(MAX_DEADLINE_MS);
    double killMs = Math.min(longestMs, MAX_DEADLINE_MS) + KILL_DELAY_MS;
    long failMs = Math.round(Math.max(KEEP_ACCEPTING_MS, killMs - WRITE_RESERVE_MS));
    return new ShutdownTimes(
        Math.round(Math.min(failMs, Math.max(KEEP_ACCEPTING_MS, killMs - CONNECTION_END_RESERVE_MS))),
        failMs);
  }
}
