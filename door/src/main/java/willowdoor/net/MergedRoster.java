package willowdoor.net;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import willowdoor.membership.Membership;
import willowdoor.membership.MembershipEvent;
import willowdoor.membership.MembershipEvent.FleetPutBack;
import willowdoor.membership.MembershipEvent.FleetTakeOut;
import willowdoor.membership.MembershipEvent.Inherited;
import willowdoor.membership.MembershipEvent.Listed;
import willowdoor.membership.MembershipEvent.PutBack;
import willowdoor.membership.MembershipEvent.TakeOut;
import willowdoor.membership.DisabledBackend;
import willowdoor.membership.RosterUpdate;
import willowdoor.policy.GatewayApi.BackendEntry;
import willowdoor.policy.GatewayApi.Phase;

/**
 * Reports discovery's lists, operators' orders and the fleet's decisions to {@link Membership}, and passes
 * the merged roster on to the door, with the backends' addresses.
 */
final class MergedRoster {

  private final Membership membership = new Membership();
  private final DoubleSupplier clockMs;
  private final Consumer<EndpointUpdate> listener;
  private final Map<Long, InetSocketAddress> addresses = new HashMap<>();
  /** What discovery lists, or before its first list what the configuration names; not merged. */
  private final Map<Long, BackendEntry> listed = new HashMap<>();
  private long version;
  /** Receives discovery's updates before they are merged; null if there is none. */
  private Consumer<EndpointUpdate> sourceListener;

  MergedRoster(DoubleSupplier clockMs, Consumer<EndpointUpdate> listener) {
    this.clockMs = clockMs;
    this.listener = listener;
  }

  /**
   * Sets a further listener, which receives the whole list as it stands now, and then discovery's updates
   * before they are merged.
   */
  void setSourceListener(Consumer<EndpointUpdate> newListener) {
    sourceListener = newListener;
    List<BackendEntry> entries = List.copyOf(listed.values());
    newListener.accept(new EndpointUpdate(version, true, entries, Map.copyOf(addresses)));
  }

  /** Handles an update from discovery. */
  void onUpdate(EndpointUpdate update) {
    if (sourceListener != null) {
      sourceListener.accept(update);
    }
    listener.accept(merge(update));
  }

  /** Merges an update without notifying a listener; for a door's first list. */
  EndpointUpdate merge(EndpointUpdate update) {
    if (update.full()) {
      addresses.clear();
      listed.clear();
    }
    addresses.putAll(update.addresses());
    update.entries().forEach(e -> listed.put(e.id(), e));
    update.entries().stream().filter(e -> e.phase() == Phase.REMOVED).forEach(e -> {
      addresses.remove(e.id());
      listed.remove(e.id());
    });
    version = update.version();
    return toUpdate(membership.on(clockMs.getAsDouble(), new Listed(update.full(), update.entries())));
  }

  /** Takes a backend out of use on an operator's order; false if it is not listed or too many are out. */
  boolean takeOut(String name) {
    return apply(new TakeOut(EndpointUpdate.idOf(name)));
  }

  /** Puts a backend back into use on an operator's order; false if it is not known. */
  boolean putBack(String name) {
    return apply(new PutBack(EndpointUpdate.idOf(name)));
  }

  /** Applies the fleet's decision that a backend is out of use, or no longer is. */
  void applyFleetDecision(long id, boolean out) {
    apply(out ? new FleetTakeOut(id) : new FleetPutBack(id));
  }

  /** Takes out of use the backends that another process of this front door holds out of use. */
  void inherit(List<DisabledBackend> out) {
    apply(new Inherited(out));
  }

  boolean hasListedBackends() {
    return !addresses.isEmpty();
  }

  List<DisabledBackend> backendsOut() {
    return membership.disabled();
  }

  private boolean apply(MembershipEvent event) {
    RosterUpdate result = membership.on(clockMs.getAsDouble(), event);
    if (!result.entries().isEmpty()) {
      listener.accept(toUpdate(result));
    }
    return result.known();
  }

  private EndpointUpdate toUpdate(RosterUpdate result) {
    return new EndpointUpdate(version, result.full(), result.entries(), addresses);
  }
}
