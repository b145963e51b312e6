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
 * Merges the backends that discovery lists with what operators and the fleet have taken out of service:
 * events and the time in, the roster that all decisions use out. Does no I/O, reads no clock and starts no
 * thread.
 *
 * <p>A backend that is out of service counts as draining, by its id alone, whatever the lists say: through
 * full lists, through lists that drop it and name it again, and through changes of its address. If it is
 * removed, it is reported as removed.
 *
 * <p>A backend that is put back counts as cold, as it is usually put back after maintenance. If a start later
 * than its going out is listed, that is its start time; until then, the time when it was put back is used.
 * This keeps a freshly restarted backend from being overloaded because discovery reports the restart only
 * seconds after the backend is back. The cost: a backend that was not restarted gets less load for as long as
 * a cold one would.
 */
public final class Membership {

  /** Limit of each of the two maps, as many as a list may name; taking out one more backend is rejected. */
  static final int MAX_OUT = 10_000;

  /** The latest listed entry of each backend, by id. */
  private final Map<Long, BackendEntry> listed = new HashMap<>();
  /** When each backend was taken out by an operator of this door, by id, in the order of the removals. */
  private final Map<Long, Double> outByOperator = new LinkedHashMap<>();
  /** The same for those that the fleet has taken out; a backend is out of service if either map has it. */
  private final Map<Long, Double> outByFleet = new LinkedHashMap<>();
  /** Backends that were put back and whose start since they went out is not listed yet, by id. */
  private final Map<Long, Returned> returned = new HashMap<>();

  /** When a backend was taken out and when it was put back. */
  private record Returned(double outSinceMs, double atMs) { }

  /** Handles an event; the time is in Unix milliseconds, like the start times in the lists. */
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

  /** Backends taken out by operators, in the order of removal; for another process of the same door. */
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
    return new RosterUpdate(true, false, ids.stream().map(listed::get).filter(e -> e != null)
        .map(this::merged)
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
    return new BackendEntry(e.id(), e.zone(), e.cell(), phase, e.capacity(), startedMs);
  }
}
