package willowdoor.fairness;

import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import willowdoor.fairness.FairSettings.Bounds;
import willowdoor.fairness.FairSettings.PlanPart;

/**
 * Whose turn it is: start-time fair queueing in a hierarchy of plan, firm and client. P. Goyal, H. M. Vin and
 * H. Cheng, "Start-time Fair Queueing: A Scheduling Algorithm for Integrated Services Packet Switching
 * Networks", SIGCOMM 1996. Of two flows {@code f} and {@code m} of one parent that both have something
 * waiting throughout an interval, with {@code W} what each was charged in it, {@code w} their weights and
 * {@code l} the dearest request of each,
 *
 * <pre>|W_f / w_f - W_m / w_m| &lt;= l_f / w_f + l_m / w_m</pre>
 *
 * <p>whatever the nodes' rate does meanwhile. What was charged too little or too much moves the flow's tag.
 * When too much waits, the latest request of the firm with the most cost waiting for its weight goes: longest
 * queue drop (B. Suter et al., "Design Considerations for Supporting TCP with Per-flow Queueing", INFOCOM
 * 1998). A decision costs O(log flows).
 */
final class FairTree {

  /** The firm that stands for all without a place of their own. */
  private static final Object SHARED = new Object();
  /** Idle flows looked at for one to forget. */
  private static final int LOOKS = 4;

  private final Bounds bounds;
  private final Flow root = Flow.root();
  private final TreeSet<Flow> fullest = new TreeSet<>(Comparator.<Flow>comparingDouble(f -> -f.fullness)
      .thenComparingLong(f -> f.firm.number));
  private long order;
  private long firmNumber;
  private int firms;
  private int leaves;

  FairTree(Bounds bounds) {
    this.bounds = bounds;
  }

  int waiting() {
    return root.waiting;
  }

  int firms() {
    return firms;
  }

  int leaves() {
    return leaves;
  }

  boolean someoneMayBeServed() {
    return !root.ready.isEmpty();
  }

  /** Plans of which a firm was seen. */
  List<String> plans() {
    return root.children.keySet().stream().map(k -> (String) k).toList();
  }

  /** The firm's flow if it has one. */
  Flow firm(String plan, long firm) {
    Flow p = root.children.get(plan);
    return p == null ? null : p.children.get(firm);
  }

  /** The flow of a client; made if there is a place for it, else one that it shares. */
  Flow leaf(String plan, PlanPart part, long firm, long client, int entryPoints) {
    Flow p = root.children.get(plan);
    if (p == null) {
      p = root.add(plan, part.weight(), false);
      p.least = part.firmWeight();
    }
    Flow f = p.children.get(firm);
    if (f == null) {
      f = newFirm(p, part, firm, entryPoints);
    }
    Flow own = f.children.get(client);
    return own != null ? own : newClient(f, client);
  }

  private Flow newFirm(Flow plan, PlanPart part, long firm, int entryPoints) {
    Object key = firm;
    if (firms >= bounds.firms()) {
      Flow forgotten = null;
      for (Flow p : root.children.values()) {
        forgotten = forgotten == null ? p.forgetOne(LOOKS) : forgotten;
      }
      if (forgotten == null) {
        key = SHARED;
        Flow shared = plan.children.get(SHARED);
        if (shared != null) {
          return shared;
        }
      } else {
        firms--;
        leaves -= forgotten.children.size();
      }
    }
    Flow made = plan.add(key, part.firmWeight() / entryPoints, false);
    made.firm = new Firm(part, firmNumber++, entryPoints);
    firms++;
    return made;
  }

  private Flow newClient(Flow firm, long client) {
    Object key = client;
    if (firm.children.size() >= bounds.clientsOfFirm() || leaves >= bounds.flows()) {
      if (firm.forgetOne(LOOKS) != null) {
        leaves--;
      } else {
        int hash = (int) ((client * 0x9E3779B97F4A7C15L) >>> 33);
        key = "shared " + hash % (leaves >= bounds.flows() ? 1 : bounds.sharedFlows());
        Flow shared = firm.children.get(key);
        if (shared != null) {
          return shared;
        }
      }
    }
    leaves++;
    return firm.add(key, 1, true);
  }

  void add(Waiting w) {
    w.leaf.push(w);
    count(w, 1);
    refresh(w.leaf);
  }

  /** The same, ahead of its client's others. */
  void addFirst(Waiting w) {
    w.leaf.pushFirst(w);
    count(w, 1);
    refresh(w.leaf);
  }

  /** The next request by turn; it is charged. */
  Waiting next() {
    Flow f = root;
    while (f.ready != null) {
      f = f.ready.first();
    }
    Waiting w = f.head;
    f.unlink(w);
    count(w, -1);
    for (Flow c = f; c.parent != null; c = c.parent) {
      c.parent.virtual = Math.max(c.parent.virtual, c.tag);
    }
    charge(f, w.cost);
    refresh(f);
    return w;
  }

  /** It waits no longer, and costs nothing. */
  void remove(Waiting w) {
    w.leaf.unlink(w);
    count(w, -1);
    refresh(w.leaf);
  }

  /** What has to go when too much waits: the latest request of the fullest client of the fullest firm. */
  Waiting victim() {
    Flow most = null;
    for (Flow c : fullest.first().children.values()) {
      most = c.waiting > 0 && (most == null || c.waitingCost > most.waitingCost) ? c : most;
    }
    return most.tail;
  }

  /** Charges a client, its firm and its plan; a negative amount gives back, not beyond the present. */
  void charge(Flow leaf, double cost) {
    for (Flow c = leaf; c.parent != null; c = c.parent) {
      double weight = c.weighs();
      boolean was = leave(c);
      c.tag = Math.max(c.parent.virtual, Math.max(c.parent.virtual, c.tag) + cost / weight);
      if (was) {
        enter(c);
      }
    }
  }

  /** Another weight from here on. */
  void weigh(Flow flow, double weight) {
    boolean was = leave(flow);
    flow.weight = weight;
    if (was) {
      enter(flow);
    }
  }

  /** A plan's parts from here on: of itself, and of the firms that it has. */
  void change(String plan, PlanPart part) {
    Flow p = root.children.get(plan);
    if (p != null) {
      p.least = part.firmWeight();
      weigh(p, part.weight());
      for (Flow f : p.children.values()) {
        f.firm.change(part);
        weigh(f, part.firmWeight() * f.firm.through());
        refresh(f);
      }
    }
  }

  /** Takes into account that a flow, or what is above it, may be served now or may not any more. */
  void refresh(Flow from) {
    for (Flow c = from; c.parent != null; c = c.parent) {
      boolean may = c.mayBeServed();
      if (c.isReady && !may) {
        leave(c);
      } else if (!c.isReady && may) {
        c.tag = Math.max(c.tag, c.parent.virtual);
        c.order = order++;
        enter(c);
      }
    }
  }

  /** The part of all that is served which a flow would have if it had something waiting, from 0 to 1. */
  double part(Flow leaf) {
    double part = 1;
    double joining = 0;
    for (Flow c = leaf; c.parent != null; c = c.parent) {
      double own = c.weight > 0 ? c.weight : c.readyWeight + joining;
      double others = Math.max(0, readyWeight(c.parent) - (c.isReady ? c.weighs() : 0));
      part *= own / (own + others);
      joining = c.isReady ? 0 : own;
    }
    return part;
  }

  /** Plans are few, and those without a weight change theirs as firms come and go. */
  private double readyWeight(Flow parent) {
    if (parent != root) {
      return parent.readyWeight;
    }
    double sum = 0;
    for (Flow plan : root.ready) {
      sum += plan.weighs();
    }
    return sum;
  }

  private void enter(Flow c) {
    c.isReady = true;
    c.parent.ready.add(c);
    c.parent.readyWeight += c.weight;
  }

  private boolean leave(Flow c) {
    if (!c.isReady) {
      return false;
    }
    c.isReady = false;
    c.parent.ready.remove(c);
    c.parent.readyWeight = c.parent.ready.isEmpty() ? 0 : c.parent.readyWeight - c.weight;
    return true;
  }

  private void count(Waiting w, int sign) {
    Flow firm = w.leaf.parent;
    if (firm.waiting > 0) {
      fullest.remove(firm);
    }
    for (Flow c = w.leaf; c != null; c = c.parent) {
      c.waiting += sign;
      c.waitingCost = c.waiting == 0 ? 0 : c.waitingCost + sign * w.cost;
      if (c.parent != null && c.waiting == 0) {
        c.parent.idle.add(c);
      } else if (c.parent != null && sign > 0 && c.waiting == 1) {
        c.parent.idle.remove(c);
      }
    }
    if (firm.waiting > 0) {
      firm.fullness = firm.waitingCost / firm.weight;
      fullest.add(firm);
    }
  }
}
