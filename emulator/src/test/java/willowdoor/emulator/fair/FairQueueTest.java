package willowdoor.emulator.fair;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import willowdoor.emulator.fair.FairQueueSimulation.Load;
import willowdoor.emulator.fair.FairQueueSimulation.RetryBehaviour;
import willowdoor.emulator.fair.FairQueueSimulation.Order;
import willowdoor.emulator.fair.FairQueueSimulation.Tally;
import willowdoor.fairness.FairCounts;
import willowdoor.fairness.FairEvent.Draining;
import willowdoor.fairness.FairEvent.PlansChanged;
import willowdoor.fairness.FairSettings;
import willowdoor.fairness.FairSettings.Bounds;
import willowdoor.fairness.FairSettings.ComeBack;
import willowdoor.fairness.FairSettings.Cost;
import willowdoor.fairness.FairSettings.Limit;
import willowdoor.fairness.FairSettings.PlanSettings;

/** Tests difficult cases of the real fair queue in simulated time, with a fixed seed, hence reproducibly. */
class FairQueueTest {

  /** Five nodes with one worker each, at 5 ms a unit, serve 1,000 units a second. */
  private static final int NODES = 5;
  private static final int WORKERS = 1;
  private static final double MS_PER_UNIT = 5;
  private static final double AIM_MS = 1_000;
  /** Plans with a quota of 100 units a second, without a quota, and with at most 6 requests in flight. */
  static final Map<String,
      PlanSettings> PLANS = Map.of("metered", new PlanSettings(0, 1, 100, 200, 0), "open",
      new PlanSettings(0, 1, 0, 0, 0), "capped", new PlanSettings(0, 1, 0, 0, 6));

  static FairSettings settings(Cost cost, int doors) {
    return new FairSettings(PLANS, PLANS.get("open"), doors, cost, Bounds.defaults(), new Limit(24, 4, 400),
        new ComeBack(0.8, 5_000));
  }

  private static FairQueueSimulation simulation(Order order, Cost cost, int doors) {
    return new FairQueueSimulation(1, settings(cost, doors), order, doors, NODES, WORKERS, MS_PER_UNIT,
        AIM_MS);
  }

  private static Load load(long firm, String plan, double perSecond, int clients) {
    return new Load(firm, plan, perSecond, clients, 1, 1, 1, RetryBehaviour.OBEY);
  }

  private static void assertWithin(double min, double value, double max, String what) {
    assertTrue(value >= min && value <= max, what + ": " + value + " (expected: " + min + " to "
        + max + ")");
  }

  /** Nine firms at 50 units a second each, and one that floods with 3,000. */
  private static List<Load> flood(String plan, int clients) {
    List<Load> loads = new ArrayList<>();
    for (int f = 1; f <= 9; f++) {
      loads.add(load(f, "open", 50, 3));
    }
    loads.add(load(10, plan, 3_000, clients));
    return loads;
  }

  private static double serviceOfOthers(FairQueueSimulation world) {
    double least = 1;
    for (int f = 1; f <= 9; f++) {
      least = Math.min(least, world.tallyOf(f).service());
    }
    return least;
  }

  @Test
  void manyClientsGainTheirFirmNothing() {
    FairQueueSimulation few = simulation(Order.FAIR, Cost.UNITS, 1);
    few.run(flood("open", 3), 10_000);
    FairQueueSimulation many = simulation(Order.FAIR, Cost.UNITS, 1);
    many.run(flood("open", 10_000), 10_000);
    FairQueueSimulation firstCome = simulation(Order.FIRST_COME, Cost.UNITS, 1);
    firstCome.run(flood("open", 3), 10_000);
    assertTrue(serviceOfOthers(many) > 0.97,
        "service of others beside many clients: " + serviceOfOthers(many));
    assertTrue(serviceOfOthers(firstCome) < 0.5, "the load is too small to matter: "
        + serviceOfOthers(firstCome));
    assertWithin(0.9, many.tallyOf(10).unitsServed / few.tallyOf(10).unitsServed, 1.1,
        "served to many clients, relative to few");
    FairCounts c = many.counts(0);
    assertTrue(c.flows() <= 72 + 9 * 3, c + "");
    assertTrue(c.waiting() <= 4_096 && c.firms() == 10, c + "");
  }

  @Test
  void manyFirmsWithFewRequestsAreServedEvenBesideAFlood() {
    for (boolean floods : new boolean[] {false, true}) {
      FairQueueSimulation world = simulation(Order.FAIR, Cost.UNITS, 1);
      List<Load> loads = new ArrayList<>(floods ? List.of(load(1, "open", 3_000, 10_000)) : List.of());
      for (int f = 0; f < 10_000; f++) {
        loads.add(load(100 + f, "open", 0.05, 1));
      }
      world.run(loads, 10_000);
      world.runWithoutLoad(5_000);
      double asked = 0;
      double inTime = 0;
      for (int f = 0; f < 10_000; f++) {
        asked += world.tallyOf(100 + f).asked;
        inTime += world.tallyOf(100 + f).inTime;
      }
      assertTrue(asked > 4_000 && inTime > 0.98 * asked, inTime + " of " + asked + ", flood: " + floods);
      assertTrue(world.counts(0).firms() <= 4_097, world.counts(0) + "");
    }
  }

  @Test
  void twoFloodsShareCapacityByWeight() {
    FairSettings settings = new FairSettings(Map.of("heavy", new PlanSettings(0, 3, 0, 0, 0)),
        new PlanSettings(0, 1, 0, 0, 0), 1, Cost.UNITS, Bounds.defaults(), new Limit(24, 4, 400),
        new ComeBack(0.8, 30_000));
    FairQueueSimulation world = new FairQueueSimulation(1, settings, Order.FAIR, 1, NODES, WORKERS,
        MS_PER_UNIT, AIM_MS);
    world.run(List.of(load(1, "heavy", 2_000, 5), load(2, "light", 2_000, 5)), 20_000);
    assertWithin(2.8, world.tallyOf(1).unitsServed / world.tallyOf(2).unitsServed, 3.2,
        "a weight of 3 relative to one of 1");
    // The plan with the higher weight gets the lower one.
    double one = world.tallyOf(1).unitsServed;
    double two = world.tallyOf(2).unitsServed;
    world.tell(0, new PlansChanged(Map.of("heavy", new PlanSettings(0, 0.5, 0, 0, 0))));
    world.run(List.of(load(1, "heavy", 2_000, 5), load(2, "light", 2_000, 5)), 20_000);
    assertWithin(1.8, (world.tallyOf(2).unitsServed - two) / (world.tallyOf(1).unitsServed - one), 2.2,
        "a weight of 1 relative to one of 0.5");
  }

  @Test
  void promisesAreKeptToAFirmThatExceedsItsQuota() {
    FairQueueSimulation world = simulation(Order.FAIR, Cost.UNITS, 1);
    List<Load> loads = flood("metered", 400);
    loads.set(9, load(10, "metered", 2_000, 400));
    world.run(loads, 30_000);
    Tally flooding = world.tallyOf(10);
    assertTrue(flooding.returned > 500, flooding.returned + " retried at the promised time");
    assertTrue(flooding.honoured > 0.99 * flooding.returned, flooding.honoured + " of " + flooding.returned
        + " honoured " + world.counts(0));
    assertTrue(serviceOfOthers(world) > 0.98, "others: " + serviceOfOthers(world));
    assertWithin(85, flooding.unitsServed / 30, 110, "units a second of a quota of 100");
  }

  @Test
  void promisesMissedWhenNodesDieAreCounted() {
    FairQueueSimulation world = simulation(Order.FAIR, Cost.UNITS, 1);
    List<Load> loads = List.of(load(1, "open", 1_500, 50), load(2, "open", 1_500, 50));
    world.clock().after(10_000, () -> world.kill(4));
    world.clock().after(14_000, world::revive);
    world.run(loads, 25_000);
    FairCounts c = world.counts(0);
    assertTrue(c.promised() > 100 && c.missedLate() > 0, c + "");
    assertTrue(c.kept() > 5 * c.missedLate(), c + "");
    assertTrue(c.remembered() <= 2_048, c + "");
  }

  @ParameterizedTest
  @EnumSource(RetryBehaviour.class)
  void otherFirmsKeepTheirShareWhateverTheRetryBehaviour(RetryBehaviour manners) {
    int doors = manners == RetryBehaviour.OTHER_DOOR ? 2 : 1;
    FairQueueSimulation world = simulation(Order.FAIR, Cost.UNITS, doors);
    List<Load> loads = flood("metered", 50);
    loads.set(9, new Load(10, "metered", 1_000, 20_000, doors, 1, 1, manners));
    world.run(loads, 15_000);
    assertTrue(serviceOfOthers(world) > 0.98, manners + ": " + serviceOfOthers(world));
    FairCounts c = world.counts(0);
    assertTrue(c.promised() > 0 && c.promised() >= c.kept() + c.unclaimed(), c + "");
    assertTrue(manners == RetryBehaviour.OBEY || manners == RetryBehaviour.SAME_MOMENT
        ? c.unclaimed() < c.kept() : c.unclaimed() > 0, c + "");
  }

  @Test
  void expensiveRequestsGetTheirShareBesideAFloodOfCheapOnes() {
    FairQueueSimulation world = simulation(Order.FAIR, Cost.UNITS, 1);
    world.run(List.of(load(1, "open", 3_000, 5), new Load(2, "open", 6, 1, 1, 16, 1, RetryBehaviour.OBEY),
        new Load(3, "open", 0.5, 1, 1, 40, 1, RetryBehaviour.OBEY)), 20_000);
    assertTrue(world.tallyOf(2).service() > 0.9, "16 units: " + world.tallyOf(2).service());
    assertTrue(world.tallyOf(3).asked > 5 && world.tallyOf(3).service() > 0.5, "40 units: "
        + world.tallyOf(3).service());
  }

  @Test
  void aLargeRequestOfAFirmWithASmallQuotaIsServed() {
    FairQueueSimulation world = simulation(Order.FAIR, Cost.UNITS, 1);
    List<Load> loads = flood("open", 5);
    // Two requests a second of 40 units each, by a quota of 100 units a second with a burst of 200.
    loads.add(new Load(11, "metered", 2, 1, 1, 40, 1, RetryBehaviour.OBEY));
    world.run(loads, 30_000);
    Tally large = world.tallyOf(11);
    assertTrue(large.unitsServed > 30 * 30, large.unitsServed + " units, " + large.refused + " refused");
  }

  @Test
  void pausesOfAllNodesChangeTheLimitOnlySlightly() {
    FairQueueSimulation world = simulation(Order.FAIR, Cost.UNITS, 1);
    List<Load> loads = new ArrayList<>();
    for (int f = 1; f <= 10; f++) {
      loads.add(load(f, "open", 85, 3));
    }
    world.run(loads, 10_000);
    double before = world.counts(0).limit();
    double least = before;
    double most = before;
    for (int i = 0; i < 10; i++) {
      world.pause(500);
      for (int j = 0; j < 10; j++) {
        world.run(loads, 300);
        least = Math.min(least, world.counts(0).limit());
        most = Math.max(most, world.counts(0).limit());
      }
    }
    assertTrue(least > 0.6 * before && most < 2 * before, least + " to " + most + " from " + before);
  }

  @Test
  void slownessOfAllNodesDoesNotCollapseTheLimit() {
    FairQueueSimulation world = new FairQueueSimulation(1, settings(Cost.UNITS, 1), Order.FAIR, 1, 40, 4, 20,
        AIM_MS);
    world.run(List.of(load(1, "open", 600, 3), load(2, "open", 600, 3)), 10_000);
    double before = world.counts(0).limit();
    // Each request takes more than a second although no node has a queue.
    world.slow(60);
    world.run(List.of(load(1, "open", 600, 3), load(2, "open", 600, 3)), 20_000);
    double slow = world.counts(0).limit();
    world.slow(1);
    world.run(List.of(load(1, "open", 600, 3), load(2, "open", 600, 3)), 10_000);
    assertTrue(slow >= 0.5 * before, slow + " from " + before);
    assertTrue(world.counts(0).limit() >= 0.9 * before, world.counts(0).limit() + " from " + before);
  }

  @Test
  void aFirmIsChargedForRequestsThatTakeTenTimesTheirUnits() {
    double[] others = new double[2];
    double[] heavy = new double[2];
    for (Cost cost : Cost.values()) {
      FairQueueSimulation world = simulation(Order.FAIR, cost, 1);
      world.varyUnits();
      world.run(List.of(load(1, "open", 1_500, 3), load(2, "open", 1_500, 3),
          new Load(3, "open", 1_500, 3, 1, 1, 10, RetryBehaviour.OBEY)), 20_000);
      others[cost.ordinal()] = world.tallyOf(1).unitsServed;
      heavy[cost.ordinal()] = world.tallyOf(3).unitsServed * 10;
    }
    // If cost is in units alone, the firm gets ten times the node time of each other firm.
    assertTrue(heavy[0] > 5 * others[0], heavy[0] + " beside " + others[0]);
    assertTrue(heavy[1] < 2 * others[1], heavy[1] + " beside " + others[1]);
  }

  @Test
  void aLimitOnOpenRequestsHoldsOverAllDoorsOfASet() {
    FairQueueSimulation world = simulation(Order.FAIR, Cost.UNITS, 3);
    int[] most = {0};
    world.run(List.of(new Load(1, "capped", 2_000, 20, 3, 1, 1, RetryBehaviour.OBEY)), 2_000);
    for (int i = 0; i < 200; i++) {
      world.runWithoutLoad(1);
      world.run(List.of(new Load(1, "capped", 2_000, 20, 3, 1, 1, RetryBehaviour.OBEY)), 5);
      most[0] = Math.max(most[0], world.counts(0).out() + world.counts(1).out() + world.counts(2).out());
    }
    assertEquals(6, most[0]);
  }

  @Test
  void otherFirmsAreServedWhileTheCounterIsUnavailable() {
    FairQueueSimulation world = simulation(Order.FAIR, Cost.UNITS, 3);
    List<Load> loads = new ArrayList<>();
    for (int f = 1; f <= 9; f++) {
      loads.add(new Load(f, "open", 50, 3, 3, 1, 1, RetryBehaviour.OBEY));
    }
    loads.add(new Load(10, "metered", 2_000, 100, 3, 1, 1, RetryBehaviour.OBEY));
    world.clock().after(5_000, () -> world.setCounterUnavailable(true));
    world.run(loads, 15_000);
    assertTrue(serviceOfOthers(world) > 0.98, "others: " + serviceOfOthers(world));
    Tally flooding = world.tallyOf(10);
    assertWithin(60, flooding.unitsServed / 15, 130, "units a second of a quota of 100");
    assertTrue(flooding.honoured > 0.95 * flooding.returned, flooding.honoured + " of " + flooding.returned);
  }

  @Test
  void aDrainingDoorQueuesNothing() {
    FairQueueSimulation world = simulation(Order.FAIR, Cost.UNITS, 1);
    world.run(flood("open", 5), 3_000);
    assertTrue(world.counts(0).waiting() > 0);
    world.tell(0, new Draining(true));
    assertEquals(0, world.counts(0).waiting());
    assertEquals(0, world.counts(0).waitingBytes());
    world.run(flood("open", 5), 1_000);
    assertEquals(0, world.counts(0).waiting());
    world.tell(0, new Draining(false));
    world.run(flood("open", 5), 1_000);
    assertTrue(world.counts(0).waiting() > 0, "requests wait again after draining is cancelled");
  }
}
