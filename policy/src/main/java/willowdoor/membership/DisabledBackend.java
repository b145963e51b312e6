package willowdoor.membership;

/**
 * A backend that an operator has taken out of service.
 *
 * @param sinceMs when it was taken out, in Unix ms; a later start belongs to its maintenance
 */
public record DisabledBackend(long id, double sinceMs) { }
