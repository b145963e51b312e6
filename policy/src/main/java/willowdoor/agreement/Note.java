package willowdoor.agreement;

/**
 * An audit entry about an exceptional action, such as a forced permit or a forgotten process.
 *
 * @param atMs when the action was agreed on, in milliseconds of the replicated time
 * @param by who asked for the action
 * @param what the action, in words
 */
public record Note(double atMs, String by, String what) { }
