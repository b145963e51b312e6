package willowdoor.agreement;

/**
 * Something out of the ordinary that was done, for those who ask later.
 *
 * @param atMs in the record's time
 */
public record Note(double atMs, String by, String what) { }
