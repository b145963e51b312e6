package willowdoor.fairness;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import willowdoor.fairness.FairAction.Advise;
import willowdoor.fairness.FairAction.Refuse;
import willowdoor.fairness.FairAction.Release;
import willowdoor.fairness.FairAction.WakeAt;
import willowdoor.fairness.FairAction.Why;
import willowdoor.fairness.FairEvent.Arrived;
import willowdoor.fairness.FairEvent.Draining;
import willowdoor.fairness.FairEvent.Ended;
import willowdoor.fairness.FairEvent.Left;
import willowdoor.fairness.FairEvent.PlansChanged;
import willowdoor.fairness.FairEvent.Refusing;
import willowdoor.fairness.FairEvent.Result;
import willowdoor.fairness.FairEvent.Through;
import willowdoor.fairness.FairSettings.Cost;
import willowdoor.fairness.FairSettings.PlanPart;

/**
 * Decides who comes next to a pool of nodes, and how long a request may wait for its turn. Which node,
 * whether to retry and what to refuse otherwise is the policy's, which a request meets when it is let
 * through; until then it takes no units and no place. No I/O, no clock, no thread.
 *
 * <ul>
 * <li>Turns go by {@link FairTree}; how much may be out by {@link OutLimit}. A firm at its own bound of
 *     requests out, or whose quota was seen to be spent, has no turn until there is room, and stands in
 *     nobody's way.
 * <li>What cannot be let through early enough for an answer that is of use is refused as soon as that is
 *     seen, on arrival at best. It is never held back.
 * <li>A refusal tells when to come back if a time can be promised, and that is remembered ({@link
 *     Promises}): a client that does comes
 *     ahead of all turns, charged to its firm. What was promised is less than what drains, so that room is
 *     there; when it is not, since nodes have died or a limit fell, the promise is counted as missed and the
 *     client taken at its next coming, whenever that is.
 * </ul>
 */
public final class FairQueue {

  /** No earlier than this is promised: the answer has its way, and the client a moment to think. */
  private static final double USUAL_MS = 100;
  /** What the pool serves is measured over so long: longer than a pause. */
  private static final double WINDOW_MS = 1_000;
  private static final double RATE_NEWEST = 0.3;
  /** Classes whose times are learned; further ones share one entry. */
  private static final int MOST_CLASSES = 64;

  private final FairSettings settings;
  private Map<String, PlanPart> plans;
  private final FairTree tree;
  private final OutLimit limit;
  private final Promises promises;
  private final Map<String, Waiting> known = new HashMap<>();
  /** Those that came back when told, in order of their coming. */
  private final ArrayDeque<Waiting> express = new ArrayDeque<>();
  private final TreeSet<Waiting> byLatest = new TreeSet<>(Comparator.<Waiting>comparingDouble(w -> w.latestMs)
      .thenComparingLong(w -> w.number));
  /** Firms held back until their quota lets one through. */
  private final TreeSet<Flow> held = new TreeSet<>(Comparator.<Flow>comparingDouble(f -> f.firm.readyAtMs)
      .thenComparingLong(f -> f.firm.number));
  private final Map<String, Takes> takes = new HashMap<>();
  private List<FairAction> out = new ArrayList<>();
  private double now;
  private double wakeAtMs = Double.POSITIVE_INFINITY;
  private boolean draining;
  private long number;
  private long bytes;
  /** Cost that the pool ends in a millisecond; NaN until measured. */
  private double rate = Double.NaN;
  private double windowAtMs = Double.NaN;
  private double windowCost;
  private boolean busy;
  private long arrived;
  private long atOnce;
  private long released;
  private long left;
  private long kept;
  private long missedLate;
  private long missedSpent;
  private long missedFull;
  private final long[] refused = new long[Why.values().length];

  public FairQueue(FairSettings settings) {
    this.settings = settings;
    plans = settings.plans();
    tree = new FairTree(settings.bounds());
    limit = new OutLimit(settings.limit());
    promises = new Promises(settings.bounds(), settings.comeBack());
  }

  /** Takes one event and gives what to do, in order. */
  public List<FairAction> on(double nowMs, FairEvent event) {
    now = nowMs;
    out = new ArrayList<>(2);
    if (event instanceof Arrived e) {
      onArrived(e);
    } else if (event instanceof Ended e) {
      onEnded(e);
    } else if (event instanceof Left e) {
      onLeft(e.id());
    } else if (event instanceof Refusing e) {
      onRefusing(e);
    } else if (event instanceof Through e) {
      onThrough(e);
    } else if (event instanceof PlansChanged e) {
      plans = Map.copyOf(e.plans());
      plans.forEach(tree::change);
    } else if (event instanceof Draining e) {
      draining = e.on();
      List.copyOf(draining ? byLatest : List.<Waiting>of()).forEach(w -> putOut(w, Why.DRAINING));
    } else {
      wakeAtMs = Double.POSITIVE_INFINITY;
      promises.expire(now);
    }
    giveUp();
    pump();
    arm();
    return out;
  }

  public FairCounts counts() {
    return new FairCounts(arrived, atOnce, released, refused[Why.LATE.ordinal()],
        refused[Why.SPENT.ordinal()],
        refused[Why.FULL.ordinal()], refused[Why.DRAINING.ordinal()], left, promises.promised(), kept,
        missedLate, missedSpent, missedFull, promises.unclaimed(), byLatest.size(), bytes, limit.out(),
        limit.limit(), tree.firms(), tree.leaves(), promises.remembered());
  }

  // ---- Coming ----

  private void onArrived(Arrived e) {
    arrived++;
    PlanPart part = plans.getOrDefault(e.plan(), settings.others());
    int doors = Math.max(1, Math.min(e.entryPoints(), settings.doors()));
    Flow leaf = tree.leaf(plans.containsKey(e.plan()) ? e.plan() : "", part, e.firm(), e.client(), doors);
    Firm firm = leaf.parent.firm;
    double cost = e.units() * (settings.cost() == Cost.WORK ? firm.factor : 1);
    Waiting w = new Waiting(e, leaf, number++, now,
        Math.max(now, e.usefulUntilMs() - expectedMs(e)), cost,
        promises.claim(firm, e.client(), now));
    if (w.promised) {
      if (makeRoom(w)) {
        enter(w);
        w.expressed = true;
        express.add(w);
      }
      return;
    }
    double paced = firm.paceRate(now) > 0 ? firm.unpromisedIn(now, leaf.parent.waitingCost + e.units()) : 0;
    double wait = Math.max(paced, turnIn(e, leaf, cost));
    if (wait > 0 && (draining || now + wait > w.latestMs)) {
      refuse(w, draining ? Why.DRAINING : paced >= wait ? Why.SPENT : Why.LATE);
    } else if (makeRoom(w)) {
      enter(w);
      tree.add(w);
      hold(leaf.parent);
    }
  }

  private void enter(Waiting w) {
    known.put(w.request.id(), w);
    byLatest.add(w);
    bytes += w.request.bytes();
  }

  /** What a request is expected to take at the nodes, in milliseconds; 0 while nothing is known. */
  private double expectedMs(Arrived e) {
    Takes of = takes.get(e.className());
    return of == null ? 0 : of.expected(e.units());
  }

  /** How long until such a request has its turn, by what drains now. */
  private double turnIn(Arrived e, Flow leaf, double cost) {
    Firm firm = leaf.parent.firm;
    double own = 0;
    if (firm.blocked() && !firm.held()) {
      double drains = firm.drains(Math.max(1, expectedMs(e)));
      own = (leaf.parent.waiting + 1) / drains;
    }
    boolean free = limit.hasRoom() && express.isEmpty() && !tree.someoneMayBeServed();
    double turn = free || Double.isNaN(rate) ? 0 : (leaf.waitingCost + cost) / (rate * tree.part(leaf));
    return Math.max(own, turn);
  }

  /**
   * Puts out the latest of the fullest firm until there is room; false when the newcomer itself had to go.
   */
  private boolean makeRoom(Waiting w) {
    while (byLatest.size() >= settings.bounds().waiting() || bytes > 0
        && bytes + w.request.bytes() > settings.bounds().bytes()) {
      if (tree.waiting() == 0 || !w.promised && fuller(w)) {
        refuse(w, Why.FULL);
        return false;
      }
      putOut(tree.victim(), Why.FULL);
    }
    return true;
  }

  /** Whether the newcomer's firm has, with it, more waiting for its weight than any other. */
  private boolean fuller(Waiting w) {
    Flow own = w.leaf.parent;
    return (own.waitingCost + w.cost) / own.weight > tree.victim().leaf.parent.fullness;
  }

  // ---- Going on ----

  private void pump() {
    while (limit.hasRoom()) {
      Waiting w = express.poll();
      if (w != null && w.firm().atMost()) {
        // Its firm has all out that it may: it is the first of its firm when one of those ends.
        w.expressed = false;
        tree.addFirst(w);
        hold(w.leaf.parent);
        continue;
      } else if (w != null) {
        tree.charge(w.leaf, w.cost);
      } else if (tree.someoneMayBeServed()) {
        w = tree.next();
      } else {
        busy = false;
        return;
      }
      release(w);
    }
  }

  private void release(Waiting w) {
    byLatest.remove(w);
    bytes -= w.request.bytes();
    w.releasedMs = now;
    released++;
    atOnce += now == w.arrivedMs ? 1 : 0;
    limit.released(now);
    w.firm().released(now, w.request.units());
    hold(w.leaf.parent);
    out.add(new Release(w.request.id(), now - w.arrivedMs));
  }

  /** Lets a firm have its turns, or holds it back, as its quota and its bound say now. */
  private void hold(Flow firm) {
    held.remove(firm);
    double units = firm.waiting == 0 ? 0 : firm.ready.first().head.request.units();
    firm.firm.hold(now, units);
    if (firm.firm.held()) {
      held.add(firm);
    }
    tree.refresh(firm);
  }

  private void onEnded(Ended e) {
    Waiting w = known.get(e.id());
    if (w == null || Double.isNaN(w.releasedMs)) {
      onLeft(e.id());
      return;
    }
    known.remove(e.id());
    Firm firm = w.firm();
    firm.out--;
    boolean ran = e.result() == Result.SERVED || e.result() == Result.FAILED;
    if (ran) {
      limit.ended(now, w.releasedMs, w.request.aimMs(), e.result() == Result.FAILED);
      settle(w, e.units());
      firm.settle(now, e.units() > 0 ? e.units() - w.request.units() : 0);
    } else {
      limit.left();
      tree.charge(w.leaf, e.result() == Result.LEFT ? 0 : -w.cost);
    }
    if (w.promised) {
      keep(w, e.result());
    }
    hold(w.leaf.parent);
  }

  private void keep(Waiting w, Result how) {
    if (how == Result.SPENT || how == Result.REFUSED) {
      missedSpent += how == Result.SPENT ? 1 : 0;
      missedFull += how == Result.REFUSED ? 1 : 0;
      promises.owe(w.firm(), w.request.client(), now);
    } else if (w.releasedMs - w.arrivedMs > Promises.WINDOW_MS) {
      missedLate++;
    } else {
      kept++;
    }
  }

  /** Charges what it took beyond what it was charged, and learns what its class and its firm take. */
  private void settle(Waiting w, double told) {
    double units = w.request.units();
    double actual = told > 0 ? told : units;
    double took = now - w.releasedMs;
    String name = w.request.className();
    Takes of = takes.computeIfAbsent(takes.size() < MOST_CLASSES ? name : "", n -> new Takes());
    if (settings.cost() == Cost.WORK) {
      w.firm().took(of.ratio(units, took));
      actual = units * w.firm().factor;
    }
    of.saw(units, took);
    tree.charge(w.leaf, actual - w.cost);
    measure(actual);
  }

  private void measure(double cost) {
    if (Double.isNaN(windowAtMs)) {
      windowAtMs = now;
      busy = true;
    }
    windowCost += cost;
    double span = now - windowAtMs;
    if (span >= WINDOW_MS) {
      double seen = windowCost / span;
      rate = Double.isNaN(rate) ? seen : busy ? rate + RATE_NEWEST * (seen - rate) : Math.max(rate, seen);
      windowAtMs = now;
      windowCost = 0;
      busy = true;
    }
  }

  // ---- Going ----

  private void giveUp() {
    while (!byLatest.isEmpty() && byLatest.first().latestMs < now) {
      Waiting w = byLatest.first();
      putOut(w, w.firm().held() && !w.promised ? Why.SPENT : Why.LATE);
    }
  }

  /** Refuses one that waits. */
  private void putOut(Waiting w, Why why) {
    forget(w);
    refuse(w, why);
  }

  private void forget(Waiting w) {
    known.remove(w.request.id());
    byLatest.remove(w);
    bytes -= w.request.bytes();
    if (w.expressed) {
      express.remove(w);
    } else {
      tree.remove(w);
      hold(w.leaf.parent);
    }
  }

  private void onLeft(String id) {
    Waiting w = known.get(id);
    if (w != null && Double.isNaN(w.releasedMs)) {
      forget(w);
      left++;
    }
  }

  private void refuse(Waiting w, Why why) {
    refused[why.ordinal()]++;
    if (w.promised) {
      missedLate += why == Why.LATE ? 1 : 0;
      missedFull += why == Why.LATE ? 0 : 1;
    }
    if (why == Why.DRAINING) {
      out.add(new Refuse(w.request.id(), why, 0));
      return;
    }
    double told = promise(w, 0);
    if (w.promised) {
      promises.owe(w.firm(), w.request.client(), now);
    }
    out.add(new Refuse(w.request.id(), why, Double.isNaN(told) ? 0 : told - now));
  }

  private void onRefusing(Refusing e) {
    Waiting w = known.get(e.id());
    if (w == null) {
      out.add(new Advise(e.id(), 0));
      return;
    }
    if (e.spent()) {
      w.firm().spent(now);
      hold(w.leaf.parent);
    }
    double told = promise(w, e.holdOffMs());
    out.add(new Advise(e.id(), Double.isNaN(told) ? 0 : told - now));
  }

  /** The time from which on the client is let through, or NaN where none can be promised. */
  private double promise(Waiting w, double leastMs) {
    if (Double.isNaN(rate)) {
      return Double.NaN;
    }
    Firm firm = w.firm();
    double units = w.request.units();
    double takes = w.cost / (rate * tree.part(w.leaf.parent));
    double pace = firm.paceRate(now);
    takes = pace > 0 ? Math.max(takes, units / pace) : takes;
    double drains = firm.drains(Math.max(1, expectedMs(w.request)));
    takes = drains > 0 ? Math.max(takes, 1 / drains) : takes;
    double earliest = now + Math.max(Math.max(leastMs, USUAL_MS), firm.untilPaced(now, pace > 0 ? units : 0));
    return promises.promise(firm, w.request.client(), now, earliest, takes, w.cost / rate);
  }

  // ---- Beside ----

  private void onThrough(Through e) {
    for (String plan : tree.plans()) {
      Flow firm = tree.firm(plan, e.firm());
      if (firm != null) {
        firm.firm.through(now, e.part());
        tree.weigh(firm, plans.getOrDefault(plan, settings.others()).firmWeight() * firm.firm.through());
        hold(firm);
      }
    }
  }

  private void arm() {
    while (!held.isEmpty() && held.first().firm.readyAtMs <= now) {
      hold(held.first());
      pump();
    }
    double at = byLatest.isEmpty() ? Double.POSITIVE_INFINITY : byLatest.first().latestMs + 1;
    at = held.isEmpty() ? at : Math.min(at, held.first().firm.readyAtMs);
    if (at < wakeAtMs) {
      wakeAtMs = at;
      out.add(new WakeAt(at));
    }
  }
}
