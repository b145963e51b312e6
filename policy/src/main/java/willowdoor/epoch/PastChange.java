package willowdoor.epoch;

/**
 * A completed or aborted policy change.
 *
 * @param by who proposed the change
 * @param reason why the change was proposed
 * @param held whether the policy came into force; otherwise the change was aborted
 * @param why the reason for the abort; empty if the policy came into force
 * @param atMs the replicated time at which the change ended, in milliseconds
 */
public record PastChange(long epoch, String hash, String by, String reason, boolean held, String why,
    double atMs) { }
