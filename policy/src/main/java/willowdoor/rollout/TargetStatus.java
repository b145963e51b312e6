package willowdoor.rollout;

/**
 * A door as the record has it at one moment.
 *
 * @param version of the process that takes its requests, as far as it is reached; empty where none is
 * @param serving whether it is ready and reached
 * @param unreachableMs how long no process of it has been reached, or has been there; 0 where one is
 * @param startedAttempt the last attempt of a release that a process of it began, 0 for none
 * @param failedAttempt the last attempt that came to nothing, 0 for none
 * @param knownIndex up to which command all processes of it that are reached know the record
 * @param permit how its permit for its step stands
 * @param heldByOthers whether somebody else has it out, or is about to
 * @param waitReason why its permit waits; empty where it doesn't
 */
public record TargetStatus(String door, String zone, String version, boolean serving, double unreachableMs,
    long startedAttempt,
    long failedAttempt, long knownIndex, PermitState permit, boolean heldByOthers, String waitReason) {

  /** How a step's permit stands. */
  public enum PermitState { NONE, WAITING, GRANTED, RETURNING }

  boolean isReachable() {
    return unreachableMs <= 0;
  }
}
