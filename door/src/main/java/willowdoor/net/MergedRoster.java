package willowdoor.net;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import willowdoor.membership.Membership;
import willowdoor.membership.MembershipEvent;
import willowdoor.membership.MembershipEvent.AgreedBack;
import willowdoor.membership.MembershipEvent.AgreedOut;
import willowdoor.membership.MembershipEvent.Inherited;
import willowdoor.membership.MembershipEvent.Listed;
import willowdoor.membership.MembershipEvent.PutBack;
import willowdoor.membership.MembershipEvent.TakeOut;
import willowdoor.membership.Out;
import willowdoor.membership.Told;
import willowdoor.policy.GatewayApi.Phase;

/** Takes what sources and operators tell to the one merge, and its roster to the door, with the places. */
final class MergedRoster {

  private final Membership membership = new Membership();
  private final DoubleSupplier clockMs;
  private final Consumer<EndpointUpdate> listener;
  private final Map<Long, InetSocketAddress> addresses = new HashMap<>();
  private long version;
  /** Null where nobody else listens. */
  private Consumer<EndpointUpdate> sourceListener;

  MergedRoster(DoubleSupplier clockMs, Consumer<EndpointUpdate> listener) {
    this.clockMs = clockMs;
    this.listener = listener;
  }

  /** Has it hear what discovery tells, as it is told, too. */
  void setSourceListener(Consumer<EndpointUpdate> newListener) {
    sourceListener = newListener;
  }

  /** What discovery tells. */
  void onUpdate(EndpointUpdate update) {
    if (sourceListener != null) {
      sourceListener.accept(update);
    }
    listener.accept(merge(update));
  }

  /** The same without telling it on: a door's first list. */
  EndpointUpdate merge(EndpointUpdate update) {
    if (update.full()) {
      addresses.clear();
    }
    addresses.putAll(update.addresses());
    update.entries().stream().filter(e -> e.phase() == Phase.REMOVED).forEach(e -> addresses.remove(e.id()));
    version = update.version();
    return toUpdate(membership.on(clockMs.getAsDouble(), new Listed(update.full(), update.entries())));
  }

  /** Takes a backend out; false when there is none of that id. */
  boolean takeOut(String name) {
    return apply(new TakeOut(EndpointUpdate.idOf(name)));
  }

  /** Puts it back; false when there is none of that id. */
  boolean putBack(String name) {
    return apply(new PutBack(EndpointUpdate.idOf(name)));
  }

  /** By what the fleet has agreed on it is out, or no longer. */
  void applyFleetDecision(long id, boolean out) {
    apply(out ? new AgreedOut(id) : new AgreedBack(id));
  }

  /** Takes out what another process of this front door knows to be out. */
  void inherit(List<Out> out) {
    apply(new Inherited(out));
  }

  boolean hasListedBackends() {
    return !addresses.isEmpty();
  }

  List<Out> backendsOut() {
    return membership.out();
  }

  private boolean apply(MembershipEvent event) {
    Told result = membership.on(clockMs.getAsDouble(), event);
    if (!result.entries().isEmpty()) {
      listener.accept(toUpdate(result));
    }
    return result.known();
  }

  private EndpointUpdate toUpdate(Told result) {
    return new EndpointUpdate(version, result.full(), result.entries(), addresses);
  }
}
