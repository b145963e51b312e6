package willowdoor.fairness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.RepetitionInfo;
import org.junit.jupiter.api.Test;
import willowdoor.fairness.FairEvent.Arrived;
import willowdoor.fairness.FairSettings.Bounds;
import willowdoor.fairness.FairSettings.PlanSettings;

/** The order compared with an ideal hierarchical fluid schedule (A. K. Parekh, R. G. Gallager, GPS, 1993). */
class FairTreeTest {

  private static final double MAX_COST = 40;
  private static final Map<String, PlanSettings> PLANS = Map.of(
      "big", new PlanSettings(3, 1, 0, 0, 0), "small",
      new PlanSettings(1, 1, 0, 0, 0), "open", new PlanSettings(0, 2, 0, 0, 0));

  /** A node of the ideal schedule, whose backlog is served as a fluid. */
  private static final class Fluid {
    final double weight;
    final List<Fluid> children = new ArrayList<>();
    double backlog;
    double served;

    Fluid(double weight) {
      this.weight = weight;
    }

    double backlog() {
      return children.isEmpty() ? backlog : children.stream().mapToDouble(Fluid::backlog).sum();
    }

    double effectiveWeight() {
      return weight > 0 ? weight
          : children.stream().filter(c -> c.backlog() > 1e-9).mapToDouble(c -> c.weight).sum();
    }

    /** Adds the rate of each leaf, given the rate of this node. */
    void addLeafRates(double rate, Map<Fluid, Double> leafRates) {
      if (children.isEmpty()) {
        leafRates.put(this, rate);
        return;
      }
      List<Fluid> busy = children.stream().filter(c -> c.backlog() > 1e-9).toList();
      double sum = busy.stream().mapToDouble(Fluid::effectiveWeight).sum();
      busy.forEach(c -> c.addLeafRates(rate * c.effectiveWeight() / sum, leafRates));
    }

    /** Serves for this time at a total rate of 1. */
    static void serve(Fluid root, double time) {
      double left = time;
      while (left > 1e-9 && root.backlog() > 1e-9) {
        Map<Fluid, Double> rates = new HashMap<>();
        root.addLeafRates(1, rates);
        double step = left;
        for (Map.Entry<Fluid, Double> e : rates.entrySet()) {
          step = Math.min(step, e.getKey().backlog / e.getValue());
        }
        for (Map.Entry<Fluid, Double> e : rates.entrySet()) {
          e.getKey().backlog = Math.max(0, e.getKey().backlog - step * e.getValue());
          e.getKey().served += step * e.getValue();
        }
        left -= step;
      }
    }
  }

  /**
   * The largest spread of the difference between two flows' charges divided by their weights, while both have
   * waiting requests.
   */
  private static final class FlowPair {
    final Flow first;
    final Flow second;
    double minDifference;
    double maxDifference;
    boolean bothWaited;
    double spread;

    FlowPair(Flow first, Flow second) {
      this.first = first;
      this.second = second;
    }

    void observe(Map<Flow, Double> served) {
      boolean bothWait = first.waitingCount > 0 && second.waitingCount > 0;
      double difference = served.getOrDefault(first, 0.0) / first.effectiveWeight()
          - served.getOrDefault(second, 0.0) / second.effectiveWeight();
      minDifference = bothWaited && bothWait ? Math.min(minDifference, difference) : difference;
      maxDifference = bothWaited && bothWait ? Math.max(maxDifference, difference) : difference;
      bothWaited = bothWait;
      spread = Math.max(spread, maxDifference - minDifference);
    }
  }

  @RepeatedTest(12)
  void flowsStayWithinTheFairnessBound(RepetitionInfo of) {
    long seed = of.getCurrentRepetition();
    SplittableRandom random = new SplittableRandom(seed);
    FairTree tree = new FairTree(Bounds.defaults());
    Fluid root = new Fluid(1);
    Map<Flow, Fluid> ideal = new HashMap<>();
    List<Flow> leaves = new ArrayList<>();
    long firm = 0;
    for (Map.Entry<String, PlanSettings> p : PLANS.entrySet()) {
      Fluid plan = new Fluid(p.getValue().weight());
      root.children.add(plan);
      for (int f = 0; f < 3; f++) {
        Fluid ofFirm = new Fluid(p.getValue().firmWeight());
        plan.children.add(ofFirm);
        firm++;
        for (int c = 1; c <= 2; c++) {
          Flow leaf = tree.clientFlow(p.getKey(), p.getValue(), firm, c, 1);
          Fluid fluid = new Fluid(1);
          ofFirm.children.add(fluid);
          ideal.put(leaf, fluid);
          leaves.add(leaf);
        }
      }
    }
    List<FlowPair> pairs = new ArrayList<>();
    for (Flow a : leaves) {
      for (Flow b : leaves) {
        if (a != b && a.parent == b.parent) {
          pairs.add(new FlowPair(a, b));
        } else if (a.parent != b.parent && a.parent.parent == b.parent.parent) {
          pairs.add(new FlowPair(a.parent, b.parent));
        }
      }
    }
    Map<Flow, Double> served = new HashMap<>();
    double lag = 0;
    for (int step = 0; step < 6_000; step++) {
      // Bursts of a random flow, at about 110% of the service rate.
      Flow to = leaves.get(random.nextInt(leaves.size()));
      int burst = random.nextInt(100) < 4 ? 1 + random.nextInt(50) : 0;
      for (int i = 0; i < burst; i++) {
        double cost = 1 + random.nextDouble() * (MAX_COST - 1);
        tree.add(new QueuedRequest(new Arrived("", "", "", 0, 0, 1, cost, 0, 0, 0), to, step * 100L + i, 0, 0,
            cost,
            false));
        ideal.get(to).backlog += cost;
      }
      pairs.forEach(p -> p.observe(served));
      if (tree.waitingCount() > 0) {
        QueuedRequest next = tree.next();
        for (Flow c = next.flow; c != null; c = c.parent) {
          served.merge(c, next.cost, Double::sum);
        }
        Fluid.serve(root, next.cost);
      }
      pairs.forEach(p -> p.observe(served));
      for (Flow leaf : leaves) {
        lag = Math.max(lag, ideal.get(leaf).served - served.getOrDefault(leaf, 0.0));
      }
    }
    for (FlowPair p : pairs) {
      double bound = MAX_COST / p.first.effectiveWeight() + MAX_COST / p.second.effectiveWeight();
      assertTrue(p.spread <= bound, "seed " + seed + ": " + p.spread
          + " spread of normalised service, bound " + bound);
    }
    assertTrue(pairs.stream().anyMatch(p -> p.spread > MAX_COST / 4), "seed " + seed
        + ": nothing was compared");
    // On each level, one request of maximum cost of each sibling and of the flow itself may go first.
    double maxLag = MAX_COST * (3 + 3 + 2);
    assertTrue(lag <= maxLag, "seed " + seed + ": " + lag + " behind the fluid, bound " + maxLag);
  }

  private static QueuedRequest waiting(Flow leaf, long number, double cost) {
    return new QueuedRequest(new Arrived("r" + number, "", "", 0, 0, 1, cost, 0, 0, 0), leaf, number, 0, 0,
        cost,
        false);
  }

  @Test
  void removedRequestsCostNothingAndExtraCostIsChargedLater() {
    FairTree tree = new FairTree(Bounds.defaults());
    PlanSettings part = new PlanSettings(0, 1, 0, 0, 0);
    Flow one = tree.clientFlow("p", part, 1, 1, 1);
    Flow other = tree.clientFlow("p", part, 2, 1, 1);
    for (int i = 0; i < 60; i++) {
      tree.add(waiting(one, i, 1));
      tree.add(waiting(other, 100 + i, 1));
    }
    QueuedRequest gone = one.tail;
    tree.remove(gone);
    assertEquals(59, one.waitingCount);
    // The first request costs eleven times its charge: the next eleven turns go to the other flow.
    QueuedRequest first = tree.next();
    tree.charge(first.flow, 10);
    int others = 0;
    for (int i = 0; i < 11; i++) {
      others += tree.next().flow == other ? 1 : 0;
    }
    assertEquals(11, others);
    assertEquals(one, tree.next().flow);
  }

  @Test
  void flowsAreBoundedAndFurtherClientsShareFlows() {
    FairTree tree = new FairTree(new Bounds(10_000, 1, 100, 1_000, 8, 2, 1, 1));
    PlanSettings part = new PlanSettings(0, 1, 0, 0, 0);
    for (int i = 0; i < 10_000; i++) {
      tree.add(waiting(tree.clientFlow("p", part, i % 500, i, 1), i, 1));
    }
    assertEquals(101, tree.firmCount());
    assertTrue(tree.clientFlowCount() <= 1_000 + 101, tree.clientFlowCount() + " flows");
    int seen = 0;
    while (tree.waitingCount() > 0) {
      tree.next();
      seen++;
    }
    assertEquals(10_000, seen);
    // All flows are idle and their tags have passed: a new firm replaces an old one.
    Flow fresh = tree.clientFlow("p", part, 9_999, 1, 1);
    assertEquals(9_999L, fresh.parent.key);
  }
}
