package willowdoor.fairness;

import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import willowdoor.fairness.FairSettings.Bounds;
import willowdoor.fairness.FairSettings.PlanSettings;

/**
 * Selects the next request by start-time fair queueing in a hierarchy of plan, firm and client (P. Goyal,
 * H. M. Vin and H. Cheng, "Start-time Fair Queueing: A Scheduling Algorithm for Integrated Services Packet
 * Switching Networks", SIGCOMM 1996). For two flows {@code f} and {@code m} with the same parent that both
 * have waiting requests throughout an interval, with {@code W} the cost charged to each in the interval,
 * {@code w} their weights and {@code l} the highest cost of a request of each,
 *
 * <pre>|W_f / w_f - W_m / w_m| &lt;= l_f / w_f + l_m / w_m</pre>
 *
 * <p>however the service rate varies meanwhile. A correction of a request's cost moves the flow's start tag.
 * On overflow, the latest request of the firm with the highest waiting cost for its weight is dropped:
 * longest queue drop (B. Suter et al., "Design Considerations for Supporting TCP with Per-flow Queueing",
 * INFOCOM 1998). A decision takes O(log flows).
 */
final class FairTree {

  /** Key of the flow that all firms of a plan beyond the limit share. */
  private static final Object SHARED_FIRM_KEY = new Object();
  /** Maximum number of idle flows that are inspected to evict one. */
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

  /** Names of the plans of which a firm has been seen. */
  List<String> planNames() {
    return root.children.keySet().stream().map(k -> (String) k).toList();
  }

  /** The firm's own flow, or null. */
  Flow firm(String plan, long firm) {
    Flow planFlow = root.children.get(plan);
    return planFlow == null ? null : planFlow.children.get(firm);
  }

  /** The flow of a client. It is created if the limits allow; otherwise the client gets a shared flow. */
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

  /** Adds a request ahead of the other requests of its client. */
  void addFirst(QueuedRequest request) {
    request.flow.addFirst(request);
    updateBacklog(request, 1);
    updateEligibility(request.flow);
  }

  /** Removes the next request in fair order, and charges its cost. */
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

  /** Removes a waiting request without charging it. */
  void remove(QueuedRequest request) {
    request.flow.unlink(request);
    updateBacklog(request, -1);
    updateEligibility(request.flow);
  }

  /**
   * The request to drop on overflow: the latest request of the client with the highest waiting cost, of the
   * firm with the highest backlog for its weight.
   */
  QueuedRequest victim() {
    Flow fullest = null;
    for (Flow client : firmsByBacklog.first().children.values()) {
      fullest = client.waitingCount > 0 && (fullest == null || client.waitingCost > fullest.waitingCost)
          ? client : fullest;
    }
    return fullest.tail;
  }

  /**
   * Charges a client, its firm and its plan. A negative cost is a refund; it moves no tag before the parent's
   * current virtual time.
   */
  void charge(Flow leaf, double cost) {
    for (Flow flow = leaf; flow.parent != null; flow = flow.parent) {
      double weight = flow.effectiveWeight();
      boolean wasReady = removeFromReady(flow);
      flow.startTag = Math.max(flow.parent.virtualTime, Math.max(flow.parent.virtualTime, flow.startTag)
          + cost / weight);
      if (wasReady) {
        addToReady(flow);
      }
    }
  }

  /** Changes the weight of a flow. */
  void setWeight(Flow flow, double weight) {
    boolean wasReady = removeFromReady(flow);
    flow.weight = weight;
    if (wasReady) {
      addToReady(flow);
    }
  }

  /** Changes the settings of a plan and of its current firms. */
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

  /** Updates whether a flow and its ancestors are eligible for service. */
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

  /**
   * The share of the total service that a flow has, or would have if it had waiting requests, from 0 to 1.
   */
  double shareOf(Flow leaf) {
    double share = 1;
    double joiningWeight = 0;
    for (Flow flow = leaf; flow.parent != null; flow = flow.parent) {
      double ownWeight = flow.weight > 0 ? flow.weight : flow.readyChildrenWeight + joiningWeight;
      double othersWeight =
          Math.max(0, readyWeight(flow.parent) - (flow.isReady ? flow.effectiveWeight() : 0));
      share *= ownWeight / (ownWeight + othersWeight);
      joiningWeight = flow.isReady ? 0 : ownWeight;
    }
    return share;
  }

  /**
   * The weight of all ready children. For the root it is summed anew: there are few plans, and the weight of
   * a plan without its own weight changes with its ready firms.
   */
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
