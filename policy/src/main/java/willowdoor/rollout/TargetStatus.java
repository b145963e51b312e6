package willowdoor.rollout;

/**
 * The status of a door or backend, at one moment, in the stewards' replicated state.
 *
 * @param version version of the process that takes its requests; empty if no such process is reachable, or
 *     if processes of two versions may be serving
 * @param serving whether it is ready and reachable
 * @param unreachableMs for how long none of its processes has been reachable; 0 if one is
 * @param startedAttempt number of the last release attempt that one of its processes began; 0 if none
 * @param failedAttempt number of the last attempt that failed; 0 if none
 * @param knownIndex log index up to which all its reachable processes know the replicated state
 * @param permit state of the permit for its step
 * @param heldByOthers whether anyone else has taken it out of service, or is about to
 * @param waitReason why its permit is waiting; empty if it is not
 */
public record TargetStatus(String door, String zone, String version, boolean serving,
    double unreachableMs, long startedAttempt, long failedAttempt, long knownIndex, PermitState permit,
    boolean heldByOthers, String waitReason) {

  /** State of a step's permit. */
  public enum PermitState { NONE, WAITING, GRANTED, RETURNING }

  boolean isReachable() {
    return unreachableMs <= 0;
  }
}
