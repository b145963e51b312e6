package willowdoor.membership;

import java.util.List;
import willowdoor.policy.GatewayApi.BackendEntry;

/**
 * The result of an event in {@link Membership}.
 *
 * @param known false if the event names an unknown backend, or one more than can be out of service; then
 *     nothing has changed
 * @param full whether {@code entries} is the whole roster, so that backends not named are gone
 * @param entries the roster for the decisions, or what has changed in it
 */
public record RosterUpdate(boolean known, boolean full, List<BackendEntry> entries) { }
