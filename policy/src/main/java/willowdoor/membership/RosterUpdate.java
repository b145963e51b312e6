package willowdoor.membership;

import java.util.List;
import willowdoor.policy.GatewayApi.BackendEntry;

/**
 * What a {@link Membership} says to an event.
 *
 * @param known false when an operator named a backend that there is not; then nothing has changed
 * @param full whether what is not among the entries is gone
 * @param entries the roster for the decisions, or what has changed in it
 */
public record RosterUpdate(boolean known, boolean full, List<BackendEntry> entries) { }
