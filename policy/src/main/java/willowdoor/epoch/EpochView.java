package willowdoor.epoch;

/**
 * What a door is told of policies in the answer to a heartbeat; documents themselves are asked for by their
 * epochs.
 *
 * @param nowMs the record's time as the heartbeat was agreed on
 * @param current the epoch in force, and its hash
 * @param next the epoch that is under way, 0 for none, and its hash
 * @param stage of the change under way; null for none
 * @param holdMs by the record's time from when on it holds
 */
public record EpochView(double nowMs, long current, String hash, long next, String nextHash,
    PolicyChange.Stage stage,
    double holdMs, double fenceMs, double marginMs) { }
