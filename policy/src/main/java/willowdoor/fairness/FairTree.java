package willowdoor.fairness;

import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import willowdoor.fairness.FairSettings.Bounds;
import willowdoor.fairness.FairSettings.PlanSettings;

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
  private static final Object SHARED_FIRM_KEY = new Object();
  /** Idle flows looked at for one to forget. */
  private static final int MAX_IDLE_INSPECTED = 4;

  private final Bounds bounds;
  private final Flow root = Flow.root();
  private final TreeSet<Flow> firmsByBacklog =
      new TreeSet<>(Comparator.<Flow>comparingDouble(f -> -f.backlogPerWeight)
      .thenComparingLong(f -> f.firm.number));
  private long nextReadyOrder;
  private long nextFirmNumber;
  private int firmCount;
  private int clientFlowCount;

  FairTree(Bounds bounds) {
    this.bounds = bounds;
  }

  int waitingCount() {
    return root.waitingCount;
  }

  int firmCount() {
    return firmCount;
  }

  int clientFlowCount() {
    return clientFlowCount;
  }

  boolean hasEligibleFlow() {
    return !root.readyChildren.isEmpty();
  }

  /** Plans of which a firm was seen. */
  List<String> planNames() {
    return root.children.keySet().stream().map(k -> (String) k).toList();
  }

  /** The firm's flow if it has one. */
  Flow firm(String plan, long firm) {
    Flow planFlow = root.children.get(plan);
    return planFlow == null ? null : planFlow.children.get(firm);
  }

  /** The flow of a client; made if there is a place for it, else one that it shares. */
  Flow clientFlow(String plan, PlanSettings settings, long firm, long client, int entryPoints) {
    Flow planFlow = root.children.get(plan);
    if (planFlow == null) {
      planFlow = root.addChild(plan, settings.weight(), false);
      planFlow.firmWeight = settings.firmWeight();
    }
    Flow firmFlow = planFlow.children.get(firm);
    if (firmFlow == null) {
      firmFlow = newFirm(planFlow, settings, firm, entryPoints);
    }
    Flow clientFlow = firmFlow.children.get(client);
    return clientFlow != null ? clientFlow : newClient(firmFlow, client);
  }

  private Flow newFirm(Flow plan, PlanSettings settings, long firm, int entryPoints) {
    Object key = firm;
    if (firmCount >= bounds.firms()) {
      Flow evicted = null;
      for (Flow planFlow : root.children.values()) {
        evicted = evicted == null ? planFlow.evictIdleChild(MAX_IDLE_INSPECTED) : evicted;
      }
      if (evicted == null) {
        key = SHARED_FIRM_KEY;
        Flow shared = plan.children.get(SHARED_FIRM_KEY);
        if (shared != null) {
          return shared;
        }
      } else {
        firmCount--;
        clientFlowCount -= evicted.children.size();
      }
    }
    Flow firmFlow = plan.addChild(key, settings.firmWeight() / entryPoints, false);
    firmFlow.firm = new Firm(settings, nextFirmNumber++, entryPoints);
    firmCount++;
    return firmFlow;
  }

  private Flow newClient(Flow firm, long client) {
    Object key = client;
    if (firm.children.size() >= bounds.clientsOfFirm() || clientFlowCount >= bounds.flows()) {
      if (firm.evictIdleChild(MAX_IDLE_INSPECTED) != null) {
        clientFlowCount--;
      } else {
        int hash = (int) ((client * 0x9E3779B97F4A7C15L) >>> 33);
        key = "shared " + hash % (clientFlowCount >= bounds.flows() ? 1 : bounds.sharedFlows());
        Flow shared = firm.children.get(key);
        if (shared != null) {
          return shared;
        }
      }
    }
    clientFlowCount++;
    return firm.addChild(key, 1, true);
  }

  void add(QueuedRequest request) {
    request.flow.addLast(request);
    updateBacklog(request, 1);
    updateEligibility(request.flow);
  }

  /** The same, ahead of its client's others. */
  void addFirst(QueuedRequest request) {
    request.flow.addFirst(request);
    updateBacklog(request, 1);
    updateEligibility(request.flow);
  }

  /** The next request by turn; it is charged. */
  QueuedRequest next() {
    Flow flow = root;
    while (flow.readyChildren != null) {
      flow = flow.readyChildren.first();
    }
    QueuedRequest request = flow.head;
    flow.unlink(request);
    updateBacklog(request, -1);
    for (Flow ancestor = flow; ancestor.parent != null; ancestor = ancestor.parent) {
      ancestor.parent.virtualTime = Math.max(ancestor.parent.virtualTime, ancestor.startTag);
    }
    charge(flow, request.cost);
    updateEligibility(flow);
    return request;
  }

  /** It waits no longer, and costs nothing. */
  void remove(QueuedRequest request) {
    request.flow.unlink(request);
    updateBacklog(request, -1);
    updateEligibility(request.flow);
  }

  /** What has to go when too much waits: the latest request of the fullest client of the fullest firm. */
  QueuedRequest victim() {
    Flow fullest = null;
    for (Flow client : firmsByBacklog.first().children.values()) {
      fullest = client.waitingCount > 0 && (fullest == null || client.waitingCost > fullest.waitingCost)
          ? client : fullest;
    }
    return fullest.tail;
  }

  /** Charges a client, its firm and its plan; a negative amount gives back, not beyond the present. */
  void charge(Flow leaf, double cost) {
    for (Flow flow = leaf; flow.parent != null; flow = flow.parent) {
      double weight = flow.effectiveWeight();
      boolean wasReady = removeFromReady(flow);
      flow.startTag = Math
          .max(flow.parent.virtualTime, Math.max(flow.parent.virtualTime, flow.startTag) + cost / weight);
      if (wasReady) {
        addToReady(flow);
      }
    }
  }

  /** Another weight from here on. */
  void setWeight(Flow flow, double weight) {
    boolean wasReady = removeFromReady(flow);
    flow.weight = weight;
    if (wasReady) {
      addToReady(flow);
    }
  }

  /** A plan's parts from here on: of itself, and of the firms that it has. */
  void setPlan(String plan, PlanSettings settings) {
    Flow planFlow = root.children.get(plan);
    if (planFlow != null) {
      planFlow.firmWeight = settings.firmWeight();
      setWeight(planFlow, settings.weight());
      for (Flow firmFlow : planFlow.children.values()) {
        firmFlow.firm.setPlan(settings);
        setWeight(firmFlow, settings.firmWeight() * firmFlow.firm.doorShare());
        updateEligibility(firmFlow);
      }
    }
  }

  /** Takes into account that a flow, or what is above it, may be served now or may not any more. */
  void updateEligibility(Flow from) {
    for (Flow flow = from; flow.parent != null; flow = flow.parent) {
      boolean eligible = flow.isEligible();
      if (flow.isReady && !eligible) {
        removeFromReady(flow);
      } else if (!flow.isReady && eligible) {
        flow.startTag = Math.max(flow.startTag, flow.parent.virtualTime);
        flow.readyOrder = nextReadyOrder++;
        addToReady(flow);
      }
    }
  }

  /** The part of all that is served which a flow would have if it had something waiting, from 0 to 1. */
  double shareOf(Flow leaf) {
    double share = 1;
    double joiningWeight = 0;
    for (Flow flow = leaf; flow.parent != null; flow = flow.parent) {
      double ownWeight = flow.weight > 0 ? flow.weight : flow.readyChildrenWeight + joiningWeight;
      double othersWeight = Math
          .max(0, readyWeight(flow.parent) - (flow.isReady ? flow.effectiveWeight() : 0));
      share *= ownWeight / (ownWeight + othersWeight);
      joiningWeight = flow.isReady ? 0 : ownWeight;
    }
    return share;
  }

  /** Plans are few, and those without a weight change theirs as firms come and go. */
  private double readyWeight(Flow parent) {
    if (parent != root) {
      return parent.readyChildrenWeight;
    }
    double sum = 0;
    for (Flow plan : root.readyChildren) {
      sum += plan.effectiveWeight();
    }
    return sum;
  }

  private void addToReady(Flow flow) {
    flow.isReady = true;
    flow.parent.readyChildren.add(flow);
    flow.parent.readyChildrenWeight += flow.weight;
  }

  private boolean removeFromReady(Flow flow) {
    if (!flow.isReady) {
      return false;
    }
    flow.isReady = false;
    flow.parent.readyChildren.remove(flow);
    flow.parent.readyChildrenWeight = flow.parent.readyChildren.isEmpty() ? 0
        : flow.parent.readyChildrenWeight - flow.weight;
    return true;
  }

  private void updateBacklog(QueuedRequest request, int sign) {
    Flow firm = request.flow.parent;
    if (firm.waitingCount > 0) {
      firmsByBacklog.remove(firm);
    }
    for (Flow flow = request.flow; flow != null; flow = flow.parent) {
      flow.waitingCount += sign;
      flow.waitingCost = flow.waitingCount == 0 ? 0 : flow.waitingCost + sign * request.cost;
      if (flow.parent != null && flow.waitingCount == 0) {
        flow.parent.idleChildren.add(flow);
      } else if (flow.parent != null && sign > 0 && flow.waitingCount == 1) {
        flow.parent.idleChildren.remove(flow);
      }
    }
    if (firm.waitingCount > 0) {
      firm.backlogPerWeight = firm.waitingCost / firm.weight;
      firmsByBacklog.add(firm);
    }
  }
}
