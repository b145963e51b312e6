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
  private final DoubleSupplier now;
  private final Consumer<RosterNews> listener;
  private final Map<Long, InetSocketAddress> places = new HashMap<>();
  private long version;
  /** Null where nobody else listens. */
  private Consumer<RosterNews> also;

  MergedRoster(DoubleSupplier now, Consumer<RosterNews> listener) {
    this.now = now;
    this.listener = listener;
  }

  /** Has it hear what discovery tells, as it is told, too. */
  void also(Consumer<RosterNews> other) {
    also = other;
  }

  /** What discovery tells. */
  void heard(RosterNews news) {
    if (also != null) {
      also.accept(news);
    }
    listener.accept(merge(news));
  }

  /** The same without telling it on: a door's first list. */
  RosterNews merge(RosterNews news) {
    if (news.full()) {
      places.clear();
    }
    places.putAll(news.places());
    news.entries().stream().filter(e -> e.phase() == Phase.REMOVED).forEach(e -> places.remove(e.id()));
    version = news.version();
    return told(membership.on(now.getAsDouble(), new Listed(news.full(), news.entries())));
  }

  /** Takes a backend out; false when there is none of that id. */
  boolean takeOut(String id) {
    return said(new TakeOut(RosterNews.number(id)));
  }

  /** Puts it back; false when there is none of that id. */
  boolean putBack(String id) {
    return said(new PutBack(RosterNews.number(id)));
  }

  /** By what the fleet has agreed on it is out, or no longer. */
  void agreed(long id, boolean out) {
    said(out ? new AgreedOut(id) : new AgreedBack(id));
  }

  /** Takes out what another process of this front door knows to be out. */
  void inherit(List<Out> out) {
    said(new Inherited(out));
  }

  boolean listsAny() {
    return !places.isEmpty();
  }

  List<Out> out() {
    return membership.out();
  }

  private boolean said(MembershipEvent event) {
    Told told = membership.on(now.getAsDouble(), event);
    if (!told.entries().isEmpty()) {
      listener.accept(told(told));
    }
    return told.known();
  }

  private RosterNews told(Told told) {
    return new RosterNews(version, told.full(), told.entries(), places);
  }
}
