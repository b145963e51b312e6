package willowdoor.epoch;

/**
 * A change that is over, as the log of changes has it.
 *
 * @param held whether it came to hold; otherwise it was aborted
 * @param why it was aborted, in words; empty where it came to hold
 */
public record PastChange(long epoch, String hash, String by, String reason, boolean held, String why,
    double atMs) { }
