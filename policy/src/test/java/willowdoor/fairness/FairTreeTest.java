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
import willowdoor.fairness.FairSettings.PlanPart;

/** The order against an ideal fluid schedule (GPS: A. K. Parekh and R. G. Gallager, 1993) in a hierarchy. */
class FairTreeTest {

  private static final double DEAREST = 40;
  private static final Map<String, PlanPart> PLANS = Map.of("big", new PlanPart(3, 1, 0, 0, 0), "small",
      new PlanPart(1, 1, 0, 0, 0), "open", new PlanPart(0, 2, 0, 0, 0));

  /** A node of the ideal schedule: what waits in it is a fluid. */
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

    double weighs() {
      return weight > 0 ? weight
          : children.stream().filter(c -> c.backlog() > 1e-9).mapToDouble(c -> c.weight).sum();
    }

    /** The rate of each leaf of this where this has so much. */
    void rates(double rate, Map<Fluid, Double> to) {
      if (children.isEmpty()) {
        to.put(this, rate);
        return;
      }
      List<Fluid> busy = children.stream().filter(c -> c.backlog() > 1e-9).toList();
      double sum = busy.stream().mapToDouble(Fluid::weighs).sum();
      busy.forEach(c -> c.rates(rate * c.weighs() / sum, to));
    }

    /** Serves for so long at a rate of 1. */
    static void serve(Fluid root, double time) {
      double left = time;
      while (left > 1e-9 && root.backlog() > 1e-9) {
        Map<Fluid, Double> rates = new HashMap<>();
        root.rates(1, rates);
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

  /** The largest spread of the difference of two flows' charges for their weights while both wait. */
  private static final class Pair {
    final Flow f;
    final Flow m;
    double least;
    double most;
    boolean both;
    double spread;

    Pair(Flow f, Flow m) {
      this.f = f;
      this.m = m;
    }

    void see(Map<Flow, Double> served) {
      boolean now = f.waiting > 0 && m.waiting > 0;
      double d = served.getOrDefault(f, 0.0) / f.weighs() - served.getOrDefault(m, 0.0) / m.weighs();
      least = both && now ? Math.min(least, d) : d;
      most = both && now ? Math.max(most, d) : d;
      both = now;
      spread = Math.max(spread, most - least);
    }
  }

  @RepeatedTest(12)
  void noFlowIsFurtherFromItsPartThanTheBound(RepetitionInfo of) {
    long seed = of.getCurrentRepetition();
    SplittableRandom random = new SplittableRandom(seed);
    FairTree tree = new FairTree(Bounds.usual());
    Fluid root = new Fluid(1);
    Map<Flow, Fluid> ideal = new HashMap<>();
    List<Flow> leaves = new ArrayList<>();
    long firm = 0;
    for (Map.Entry<String, PlanPart> p : PLANS.entrySet()) {
      Fluid plan = new Fluid(p.getValue().weight());
      root.children.add(plan);
      for (int f = 0; f < 3; f++) {
        Fluid ofFirm = new Fluid(p.getValue().firmWeight());
        plan.children.add(ofFirm);
        firm++;
        for (int c = 1; c <= 2; c++) {
          Flow leaf = tree.leaf(p.getKey(), p.getValue(), firm, c, 1);
          Fluid fluid = new Fluid(1);
          ofFirm.children.add(fluid);
          ideal.put(leaf, fluid);
          leaves.add(leaf);
        }
      }
    }
    List<Pair> pairs = new ArrayList<>();
    for (Flow a : leaves) {
      for (Flow b : leaves) {
        if (a != b && a.parent == b.parent) {
          pairs.add(new Pair(a, b));
        } else if (a.parent != b.parent && a.parent.parent == b.parent.parent) {
          pairs.add(new Pair(a.parent, b.parent));
        }
      }
    }
    Map<Flow, Double> served = new HashMap<>();
    double lag = 0;
    for (int step = 0; step < 6_000; step++) {
      // Bursts of a random flow, at some 110% of what is served.
      Flow to = leaves.get(random.nextInt(leaves.size()));
      int burst = random.nextInt(100) < 4 ? 1 + random.nextInt(50) : 0;
      for (int i = 0; i < burst; i++) {
        double cost = 1 + random.nextDouble() * (DEAREST - 1);
        tree.add(new Waiting(new Arrived("", "", "", 0, 0, 1, cost, 0, 0, 0), to, step * 100L + i, 0, 0, cost,
            false));
        ideal.get(to).backlog += cost;
      }
      pairs.forEach(p -> p.see(served));
      if (tree.waiting() > 0) {
        Waiting next = tree.next();
        for (Flow c = next.leaf; c != null; c = c.parent) {
          served.merge(c, next.cost, Double::sum);
        }
        Fluid.serve(root, next.cost);
      }
      pairs.forEach(p -> p.see(served));
      for (Flow leaf : leaves) {
        lag = Math.max(lag, ideal.get(leaf).served - served.getOrDefault(leaf, 0.0));
      }
    }
    for (Pair p : pairs) {
      double bound = DEAREST / p.f.weighs() + DEAREST / p.m.weighs();
      assertTrue(p.spread <= bound, "seed " + seed + ": " + p.spread + " apart, bound " + bound);
    }
    assertTrue(pairs.stream().anyMatch(p -> p.spread > DEAREST / 4), "seed " + seed
        + ": nothing was compared");
    // Each level may put the dearest request of each sibling first, and the flow's own.
    double behind = DEAREST * (3 + 3 + 2);
    assertTrue(lag <= behind, "seed " + seed + ": " + lag + " behind the fluid, bound " + behind);
  }

  private static Waiting waiting(Flow leaf, long number, double cost) {
    return new Waiting(new Arrived("r" + number, "", "", 0, 0, 1, cost, 0, 0, 0), leaf, number, 0, 0, cost,
        false);
  }

  @Test
  void whatLeavesCostsNothingAndWhatTookMoreIsPaidLater() {
    FairTree tree = new FairTree(Bounds.usual());
    PlanPart part = new PlanPart(0, 1, 0, 0, 0);
    Flow one = tree.leaf("p", part, 1, 1, 1);
    Flow other = tree.leaf("p", part, 2, 1, 1);
    for (int i = 0; i < 60; i++) {
      tree.add(waiting(one, i, 1));
      tree.add(waiting(other, 100 + i, 1));
    }
    Waiting gone = one.tail;
    tree.remove(gone);
    assertEquals(59, one.waiting);
    // The first one takes eleven times what it was charged: ten turns go to the other.
    Waiting first = tree.next();
    tree.charge(first.leaf, 10);
    int others = 0;
    for (int i = 0; i < 11; i++) {
      others += tree.next().leaf == other ? 1 : 0;
    }
    assertEquals(11, others);
    assertEquals(one, tree.next().leaf);
  }

  @Test
  void placesAreBoundedAndWhoHasNoneSharesOne() {
    FairTree tree = new FairTree(new Bounds(10_000, 1, 100, 1_000, 8, 2, 1, 1));
    PlanPart part = new PlanPart(0, 1, 0, 0, 0);
    for (int i = 0; i < 10_000; i++) {
      tree.add(waiting(tree.leaf("p", part, i % 500, i, 1), i, 1));
    }
    assertEquals(101, tree.firms());
    assertTrue(tree.leaves() <= 1_000 + 101, tree.leaves() + " flows");
    int seen = 0;
    while (tree.waiting() > 0) {
      tree.next();
      seen++;
    }
    assertEquals(10_000, seen);
    // All is idle and passed: a new firm takes the place of an old one.
    Flow fresh = tree.leaf("p", part, 9_999, 1, 1);
    assertEquals(9_999L, fresh.parent.key);
  }
}
