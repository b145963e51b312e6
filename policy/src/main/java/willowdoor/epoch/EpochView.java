package willowdoor.epoch;

/**
 * The replicated state of policies that a door receives in the answer to a heartbeat. The door fetches the
 * documents themselves by their epochs.
 *
 * @param nowMs the replicated time at which the heartbeat was committed, in milliseconds
 * @param current the epoch in force
 * @param hash the hash of the document in force
 * @param next the epoch of the change in progress, or 0
 * @param nextHash the hash of the document of that change; empty if there is none
 * @param stage the stage of the change in progress, or null
 * @param holdMs the replicated time from which the new policy is in force, in milliseconds
 */
public record EpochView(double nowMs, long current, String hash, long next, String nextHash,
    PolicyChange.Stage stage,
    double holdMs, double fenceMs, double marginMs) { }
