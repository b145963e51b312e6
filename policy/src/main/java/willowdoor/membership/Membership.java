package willowdoor.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import willowdoor.membership.MembershipEvent.AgreedBack;
import willowdoor.membership.MembershipEvent.AgreedOut;
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
  static final int MOST_OUT = 10_000;

  /** As listed last, by id. */
  private final Map<Long, BackendEntry> listed = new HashMap<>();
  /** When each was taken out that is out. */
  private final Map<Long, Double> out = new LinkedHashMap<>();
  /** The same by what the fleet has agreed on, beside what operators say here: any of both has it out. */
  private final Map<Long, Double> agreed = new LinkedHashMap<>();
  /** Taken for the start of those put back, until the lists tell one that came after they went out. */
  private final Map<Long, Back> back = new HashMap<>();

  /** A backend that was put back. */
  private record Back(double outSinceMs, double atMs) { }

  /** Takes an event at its time, in Unix milliseconds as the lists' starts are. */
  public Told on(double nowMs, MembershipEvent event) {
    if (event instanceof Listed e) {
      return listed(e);
    } else if (event instanceof TakeOut e) {
      return takeOut(nowMs, e.id());
    } else if (event instanceof PutBack e) {
      return putBack(nowMs, e.id());
    } else if (event instanceof AgreedOut e) {
      return agreedOut(nowMs, e.id());
    } else if (event instanceof AgreedBack e) {
      return backFrom(agreed, out, nowMs, e.id());
    } else {
      return inherited((Inherited) event);
    }
  }

  /** What is out, in the order of its going; for another process of the same front door. */
  public List<Out> out() {
    List<Out> all = new ArrayList<>(out.size());
    out.forEach((id, since) -> all.add(new Out(id, since)));
    return all;
  }

  private Told listed(Listed news) {
    if (news.full()) {
      listed.clear();
    }
    List<BackendEntry> told = new ArrayList<>(news.entries().size());
    for (BackendEntry e : news.entries()) {
      if (e.phase() == Phase.REMOVED) {
        listed.remove(e.id());
      } else {
        listed.put(e.id(), e);
      }
      told.add(merged(e));
    }
    if (news.full()) {
      back.keySet().retainAll(listed.keySet());
    }
    return new Told(true, news.full(), told);
  }

  private Told takeOut(double now, long id) {
    if (!out.containsKey(id) && (!listed.containsKey(id) || out.size() >= MOST_OUT)) {
      return new Told(false, false, List.of());
    }
    out.putIfAbsent(id, now);
    back.remove(id);
    return changed(List.of(id));
  }

  private Told putBack(double now, long id) {
    return backFrom(out, agreed, now, id);
  }

  private Told agreedOut(double now, long id) {
    if (agreed.size() >= MOST_OUT && !agreed.containsKey(id)) {
      return new Told(false, false, List.of());
    }
    agreed.putIfAbsent(id, now);
    back.remove(id);
    return changed(List.of(id));
  }

  private Told backFrom(Map<Long, Double> one, Map<Long, Double> other, double now, long id) {
    Double since = one.remove(id);
    if (since == null) {
      return new Told(listed.containsKey(id), false, List.of());
    }
    if (listed.containsKey(id) && !other.containsKey(id)) {
      back.put(id, new Back(since, now));
    }
    return changed(List.of(id));
  }

  private Told inherited(Inherited news) {
    List<Long> ids = new ArrayList<>();
    for (Out o : news.out()) {
      if (out.size() < MOST_OUT && out.putIfAbsent(o.id(), o.sinceMs()) == null) {
        ids.add(o.id());
      }
    }
    return changed(ids);
  }

  private Told changed(List<Long> ids) {
    return new Told(true, false, ids.stream().map(listed::get).filter(e -> e != null).map(this::merged)
        .toList());
  }

  private BackendEntry merged(BackendEntry e) {
    if (e.phase() == Phase.REMOVED) {
      back.remove(e.id());
      return e;
    }
    if (out.containsKey(e.id()) || agreed.containsKey(e.id())) {
      return with(e, Phase.DRAINING, e.startedMs());
    }
    Back b = back.get(e.id());
    if (b == null) {
      return e;
    }
    if (e.startedMs() > b.outSinceMs()) {
      back.remove(e.id());
      return e;
    }
    return with(e, e.phase(), b.atMs());
  }

  private static BackendEntry with(BackendEntry e, Phase phase, double startedMs) {
    return new BackendEntry(e.id(), e.zone(), e.cell(), phase, e.size(), startedMs);
  }
}
