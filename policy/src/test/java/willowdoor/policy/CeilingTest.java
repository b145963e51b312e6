package willowdoor.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import willowdoor.policy.GatewayApi.Action;
import willowdoor.policy.GatewayApi.Add;
import willowdoor.policy.GatewayApi.CeilingShare;
import willowdoor.policy.GatewayApi.Counted;
import willowdoor.policy.GatewayApi.Outcome;
import willowdoor.policy.GatewayApi.Refuse;
import willowdoor.policy.GatewayApi.Request;
import willowdoor.policy.GatewayApi.Send;
import willowdoor.policy.GatewayApi.Status;

/** Several gateways against one count that fails in every way: the ceiling's store must hold. */
class CeilingTest {

  private final Map<String, Double> counts = new HashMap<>();
  private double store;
  private double storeAt;
  private double lowest;
  private int sent;
  private double awayUntil;
  private int units;

  @Test
  void holdsWithFailingCallsRestartsAndEmptiedCounts() {
    for (int seed = 0; seed < 40; seed++) {
      play(seed, 2, Fixtures.CEILED);
      assertTrue(lowest >= -Fixtures.CEILED.ceilingSlack(), "seed " + seed + ": store at " + lowest);
      assertTrue(sent > 50, "seed " + seed + ": only " + sent + " sent");
    }
  }

  /** A slow plan, its requests through a few gateways or fourteen, each of which meets it but rarely. */
  @Test
  void holdsWhereOneBurstAWindowIsCounted() {
    for (int seed = 0; seed < 60; seed++) {
      int size = List.of(14, 2, 3).get(seed % 3);
      play(seed, size, Fixtures.SLOW);
      String run = "seed " + seed + " at " + size;
      assertTrue(lowest >= -Fixtures.SLOW.ceilingSlack(), run + ": store at " + lowest);
      assertTrue(sent > 25, run + ": only " + sent + " sent");
    }
  }

  /**
   * Each gateway's even part of the ceiling is less than a request. What the shared count answers for goes on
   * as long as there is quota, and what a ceiling refused does not use up the quota.
   */
  @Test
  void aFirmOfManyGatewaysGetsItsQuotaThroughThemAll() {
    Fixtures[] doors = new Fixtures[14];
    double total = 0;
    int sends = 0;
    for (int i = 0; i < 28; i++) {
      int d = i % 14;
      doors[d] = doors[d] == null ? new Fixtures(Fixtures.settings(true, 14, false)).backends(4) : doors[d];
      doors[d].pass(50 * (i + 1) - (doors[d].now - 1_000_000));
      doors[d].on(new Request("q" + i, "safe", "slow", 42, 14, 1, doors[d].now + 4000));
      if (doors[d].did(Add.class)) {
        total += doors[d].lastAdd().amount();
        doors[d].total(total);
      }
      sends += doors[d].did(Send.class) ? 1 : 0;
    }
    assertEquals(28, sends, "of a burst of " + Fixtures.SLOW.burst());
  }

  @Test
  void theWindowBeforeIsReadAndWhatTheCeilingRefusesIsTakenOffTheCount() {
    Fixtures f = new Fixtures(Fixtures.settings(true, 14, false)).backends(4);
    String before = "";
    String window = "";
    for (int k = 0; k < 40 && (before.isEmpty() || window.equals(before)); k++) {
      before = window;
      f.pass(1_000).on(new Request("a" + k, "safe", "slow", 42, 14, 1, f.now + 4000));
      window = f.lastAdd().name();
      if (window.equals(before) || before.isEmpty()) {
        f.on(new Counted(window, Status.OK, 1, 2));
      }
    }
    // A window has just begun, and the one before tells a burst: little of the ceiling is left at once.
    assertEquals(List.of(before, window), f.last.stream().filter(Add.class::isInstance)
        .map(a -> ((Add) a).name()).toList(), "the window before is read beside the add");
    f.on(new Counted(before, Status.OK, Fixtures.SLOW.burst(), 2));
    f.on(new Counted(window, Status.OK, 1, 2));
    assertTrue(f.did(Send.class));
    f.on(new Request("b", "safe", "slow", 42, 14, 4, f.now + 4000));
    f.total(32);
    assertTrue(f.did(Refuse.class), "within its quota of 36, beyond the ceiling");
    f.pass(100).on(new Request("c", "safe", "slow", 42, 14, 1, f.now + 4000));
    assertEquals(1 - 4, f.only(Add.class).amount(), "the refused 4 go back with the next add");
  }

  private void play(int seed, int size, GatewayApi.Plan plan) {
    SplittableRandom random = new SplittableRandom(seed);
    counts.clear();
    lowest = store = plan.ceilingBurst();
    storeAt = 1_000_000;
    sent = 0;
    awayUntil = 0;
    Fixtures[] gateways = new Fixtures[size];
    double trouble = random.nextDouble();
    for (int step = 0; step < 3000; step++) {
      double now = 1_000_000 + step * 25.0;
      int i = random.nextInt(size);
      if (gateways[i] == null || random.nextDouble() < 0.001) {
        gateways[i] = new Fixtures(Fixtures.settings(true, size, false), now);
        gateways[i].backends(4);
      }
      if (random.nextDouble() < 0.002) {
        counts.clear();
        awayUntil = plan == Fixtures.SLOW ? now + 5_000 : now;
      }
      gateways[i].now = now;
      units = 1 + random.nextInt(4);
      gateways[i].on(new Request("s" + step, "safe", plan.name(), 42, size, units, now + 4000));
      answer(plan, gateways[i], gateways[i].last, random, step % 400 < 200 ? trouble : 0);
    }
  }

  private void answer(GatewayApi.Plan plan, Fixtures gateway, List<Action> actions, SplittableRandom random,
      double trouble) {
    for (Action action : actions) {
      if (action instanceof Add a) {
        boolean away = gateway.now < awayUntil;
        boolean fails = away || random.nextDouble() < trouble;
        boolean adds = !away && (!fails || random.nextBoolean());
        double total = adds ? counts.merge(a.name(), a.amount(), Double::sum) : 0;
        Status status = fails ? Status.TIMED_OUT : Status.OK;
        gateway.on(new Counted(a.name(), status, total, 2));
        answer(plan, gateway, gateway.last, random, trouble);
      } else if (action instanceof Send s) {
        take(plan, gateway, s);
      }
    }
  }

  private void take(GatewayApi.Plan plan, Fixtures gateway, Send s) {
    double filled = store + plan.ceilingRate() * (gateway.now - storeAt) / 1000;
    store = Math.min(plan.ceilingBurst(), filled);
    storeAt = gateway.now;
    store -= units;
    lowest = Math.min(lowest, store);
    sent++;
    gateway.on(new Outcome(s.request(), 0, s.backend(), Status.OK, 50, true, 1, null));
  }

  private static int sendsAtOnce(Fixtures f, CeilingShare share, int tries) {
    int sends = 0;
    for (int k = 0; k < tries; k++) {
      f.on(new Request("t" + f.now + "-" + k, "safe", "ceiled", 42, 2, 1, f.now + 4000)
          .withCeilingShare(share));
      if (f.did(Add.class)) {
        f.total(1);
      }
      sends += f.did(Send.class) ? 1 : 0;
    }
    return sends;
  }

  /** Burst 20 and half of the slack: that is what shares are of. Totals leave the quota open throughout. */
  @Test
  void aToldShareIsAllThatAGatewayUsesAndItHoldsUntilItsMoment() {
    double all = Fixtures.CEILED.ceilingBurst() + Fixtures.CEILED.ceilingSlack() / 2;
    Fixtures whole = new Fixtures(Fixtures.settings(true, 2, false)).backends(4).pass(60_000);
    Fixtures quarter = new Fixtures(Fixtures.settings(true, 2, false)).backends(4).pass(60_000);
    Fixtures none = new Fixtures(Fixtures.settings(true, 2, false)).backends(4).pass(60_000);
    CeilingShare forGood = new CeilingShare(0.25, Double.POSITIVE_INFINITY, 0.25);
    assertEquals((int) all, sendsAtOnce(whole, new CeilingShare(1, Double.POSITIVE_INFINITY, 1), 40));
    assertEquals((int) (0.25 * all), sendsAtOnce(quarter, forGood, 40));
    assertEquals(0, sendsAtOnce(none, new CeilingShare(0, Double.POSITIVE_INFINITY, 0), 40));
    // A second gives a quarter of the ceiling's rate.
    assertEquals((int) (0.25 * Fixtures.CEILED.ceilingRate()), sendsAtOnce(quarter.pass(1_000), forGood, 40));
  }

  @Test
  void aShareThatGrowsFillsFromThenOnAndOneThatHasEndedFillsByWhatFollowsIt() {
    double rate = Fixtures.CEILED.ceilingRate();
    Fixtures f = new Fixtures(Fixtures.settings(true, 2, false)).backends(4).pass(60_000);
    CeilingShare small = new CeilingShare(0.25, Double.POSITIVE_INFINITY, 0.25);
    sendsAtOnce(f, small, 40);
    CeilingShare grown = new CeilingShare(0.75, f.now + 4_000, 0);
    assertEquals((int) (0.25 * rate), sendsAtOnce(f.pass(1_000), grown, 40),
        "the second before was of the old");
    assertEquals((int) (0.75 * rate), sendsAtOnce(f.pass(1_000), grown, 40));
    f.pass(3_000);
    assertEquals(0, sendsAtOnce(f, new CeilingShare(0, Double.POSITIVE_INFINITY, 0), 40),
        "after its moment nothing has filled");
  }
}
