package willowdoor.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import willowdoor.membership.MembershipEvent.FleetPutBack;
import willowdoor.membership.MembershipEvent.FleetTakeOut;
import willowdoor.membership.MembershipEvent.Inherited;
import willowdoor.membership.MembershipEvent.Listed;
import willowdoor.membership.MembershipEvent.PutBack;
import willowdoor.membership.MembershipEvent.TakeOut;
import willowdoor.policy.GatewayApi.BackendEntry;
import willowdoor.policy.GatewayApi.Phase;

/**
 * The one merge of what discovery tells of the backends and what operators say of them: events and the time
 * in, the roster out that all decisions hear. It does no I/O, reads no clock and starts no thread.
 *
 * <p>A backend that is out counts as draining whatever the lists say, by its id alone: over full lists, over
 * lists that drop it and name it again, over changes of its address. It is told as gone where it is gone.
 * Back in, it counts as cold, since it is put back after work on it: a start that was told since it went out
 * is its start; until one is told, the moment of the call is taken for it. Guards against one that is
 * pushed over because its restart is told seconds after it is back. Harm: one that was not restarted is
 * spared for the time that a cold one takes.
 */
public final class Membership {

  /** More backends than any list may name are not remembered as out; the answer to one more is no. */
  static final int MAX_OUT = 10_000;

  /** As listed last, by id. */
  private final Map<Long, BackendEntry> listed = new HashMap<>();
  /** When each was taken out that is out. */
  private final Map<Long, Double> outByOperator = new LinkedHashMap<>();
  /** The same by what the fleet has agreed on, beside what operators say here: any of both has it out. */
  private final Map<Long, Double> outByFleet = new LinkedHashMap<>();
  /** Taken for the start of those put back, until the lists tell one that came after they went out. */
  private final Map<Long, Returned> returned = new HashMap<>();

  /** A backend that was put back. */
  private record Returned(double outSinceMs, double atMs) { }

  /** Takes an event at its time, in Unix milliseconds as the lists' starts are. */
  public RosterUpdate on(double nowMs, MembershipEvent event) {
    if (event instanceof Listed e) {
      return onListed(e);
    } else if (event instanceof TakeOut e) {
      return onTakeOut(nowMs, e.id());
    } else if (event instanceof PutBack e) {
      return onPutBack(nowMs, e.id());
    } else if (event instanceof FleetTakeOut e) {
      return onFleetTakeOut(nowMs, e.id());
    } else if (event instanceof FleetPutBack e) {
      return putBackFrom(outByFleet, outByOperator, nowMs, e.id());
    } else {
      return onInherited((Inherited) event);
    }
  }

  /** What is out, in the order of its going; for another process of the same front door. */
  public List<DisabledBackend> disabled() {
    List<DisabledBackend> all = new ArrayList<>(outByOperator.size());
    outByOperator.forEach((id, since) -> all.add(new DisabledBackend(id, since)));
    return all;
  }

  private RosterUpdate onListed(Listed event) {
    if (event.full()) {
      listed.clear();
    }
    List<BackendEntry> merged = new ArrayList<>(event.entries().size());
    for (BackendEntry e : event.entries()) {
      if (e.phase() == Phase.REMOVED) {
        listed.remove(e.id());
      } else {
        listed.put(e.id(), e);
      }
      merged.add(merged(e));
    }
    if (event.full()) {
      returned.keySet().retainAll(listed.keySet());
    }
    return new RosterUpdate(true, event.full(), merged);
  }

  private RosterUpdate onTakeOut(double now, long id) {
    if (!outByOperator.containsKey(id) && (!listed.containsKey(id) || outByOperator.size() >= MAX_OUT)) {
      return new RosterUpdate(false, false, List.of());
    }
    outByOperator.putIfAbsent(id, now);
    returned.remove(id);
    return updateOf(List.of(id));
  }

  private RosterUpdate onPutBack(double now, long id) {
    return putBackFrom(outByOperator, outByFleet, now, id);
  }

  private RosterUpdate onFleetTakeOut(double now, long id) {
    if (outByFleet.size() >= MAX_OUT && !outByFleet.containsKey(id)) {
      return new RosterUpdate(false, false, List.of());
    }
    outByFleet.putIfAbsent(id, now);
    returned.remove(id);
    return updateOf(List.of(id));
  }

  private RosterUpdate putBackFrom(Map<Long, Double> source, Map<Long, Double> other, double now, long id) {
    Double outSince = source.remove(id);
    if (outSince == null) {
      return new RosterUpdate(listed.containsKey(id), false, List.of());
    }
    if (listed.containsKey(id) && !other.containsKey(id)) {
      returned.put(id, new Returned(outSince, now));
    }
    return updateOf(List.of(id));
  }

  private RosterUpdate onInherited(Inherited event) {
    List<Long> ids = new ArrayList<>();
    for (DisabledBackend o : event.disabled()) {
      if (outByOperator.size() < MAX_OUT && outByOperator.putIfAbsent(o.id(), o.sinceMs()) == null) {
        ids.add(o.id());
      }
    }
    return updateOf(ids);
  }

  private RosterUpdate updateOf(List<Long> ids) {
    return new RosterUpdate(true, false,
        ids.stream().map(listed::get).filter(e -> e != null).map(this::merged)
        .toList());
  }

  private BackendEntry merged(BackendEntry e) {
    if (e.phase() == Phase.REMOVED) {
      returned.remove(e.id());
      return e;
    }
    if (outByOperator.containsKey(e.id()) || outByFleet.containsKey(e.id())) {
      return copyWith(e, Phase.DRAINING, e.startedMs());
    }
    Returned b = returned.get(e.id());
    if (b == null) {
      return e;
    }
    if (e.startedMs() > b.outSinceMs()) {
      returned.remove(e.id());
      return e;
    }
    return copyWith(e, e.phase(), b.atMs());
  }

  private static BackendEntry copyWith(BackendEntry e, Phase phase, double startedMs) {
    return new BackendEntry(e.id(), e.zone(), e.cell(), phase, e.size(), startedMs);
  }
}
