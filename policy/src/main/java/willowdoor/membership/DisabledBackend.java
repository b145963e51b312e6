package willowdoor.membership;

/**
 * A backend that an operator has taken out.
 *
 * @param sinceMs when; a start that is told later than that is one of its maintenance
 */
public record DisabledBackend(long id, double sinceMs) { }
