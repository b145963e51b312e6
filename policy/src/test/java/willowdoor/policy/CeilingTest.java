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

/** Several gateways share a count that fails in every way; the ceiling must hold. */
class CeilingTest {

  private final Map<String, Double> counts = new HashMap<>();
  private double ceilingLevel;
  private double ceilingLevelAt;
  private double lowestLevel;
  private int sent;
  private double counterAwayUntil;
  private int requestUnits;

  @Test
  void holdsWithFailingCallsRestartsAndEmptiedCounts() {
    for (int seed = 0; seed < 40; seed++) {
      run(seed, 2, Fixtures.CEILED);
      assertTrue(lowestLevel >= -Fixtures.CEILED.ceilingSlack(),
          "seed " + seed + ": lowest level of the ceiling " + lowestLevel);
      assertTrue(sent > 50, "seed " + seed + ": only " + sent + " sent");
    }
  }

  /**
   * A plan with a low rate, whose requests come through a few gateways or through fourteen, each of which
   * rarely sees the customer.
   */
  @Test
  void holdsWhereEachWindowAllowsOneBurst() {
    for (int seed = 0; seed < 60; seed++) {
      int size = List.of(14, 2, 3).get(seed % 3);
      run(seed, size, Fixtures.SLOW);
      String run = "seed " + seed + " at " + size;
      assertTrue(lowestLevel >= -Fixtures.SLOW.ceilingSlack(),
          run + ": lowest level of the ceiling " + lowestLevel);
      assertTrue(sent > 25, run + ": only " + sent + " sent");
    }
  }

  /**
   * Each gateway's even part of the ceiling is smaller than a request. Requests that the shared count
   * confirms are sent as long as there is quota, and requests that the ceiling refuses do not use up the
   * quota.
   */
  @Test
  void aFirmServedByManyGatewaysGetsItsWholeQuota() {
    Fixtures[] doors = new Fixtures[14];
    double total = 0;
    int sends = 0;
    for (int i = 0; i < 28; i++) {
      int d = i % 14;
      doors[d] = doors[d] == null ? new Fixtures(Fixtures.settings(true, 14, false)).withBackends(4)
          : doors[d];
      doors[d].advance(50 * (i + 1) - (doors[d].now - 1_000_000));
      doors[d].on(new Request("q" + i, "safe", "slow", 42, 14, 1, doors[d].now + 4000));
      if (doors[d].emitted(Add.class)) {
        total += doors[d].lastAdd().amount();
        doors[d].replyTotal(total);
      }
      sends += doors[d].emitted(Send.class) ? 1 : 0;
    }
    assertEquals(28, sends, "of a burst of " + Fixtures.SLOW.burst());
  }

  @Test
  void thePreviousWindowIsReadAndUnitsRefusedByTheCeilingAreReturned() {
    Fixtures f = new Fixtures(Fixtures.settings(true, 14, false)).withBackends(4);
    String before = "";
    String window = "";
    for (int k = 0; k < 40 && (before.isEmpty() || window.equals(before)); k++) {
      before = window;
      f.advance(1_000).on(new Request("a" + k, "safe", "slow", 42, 14, 1, f.now + 4000));
      window = f.lastAdd().name();
      if (window.equals(before) || before.isEmpty()) {
        f.on(new Counted(window, Status.OK, 1, 2));
      }
    }
    // A window has just begun, and the previous one holds a whole burst: little of the ceiling is left now.
    assertEquals(List.of(before, window), f.lastActions.stream().filter(Add.class::isInstance)
        .map(a -> ((Add) a).name()).toList(), "the previous window is read together with the add");
    f.on(new Counted(before, Status.OK, Fixtures.SLOW.burst(), 2));
    f.on(new Counted(window, Status.OK, 1, 2));
    assertTrue(f.emitted(Send.class));
    f.on(new Request("b", "safe", "slow", 42, 14, 4, f.now + 4000));
    f.replyTotal(32);
    assertTrue(f.emitted(Refuse.class), "within its quota of 36, beyond the ceiling");
    f.advance(100).on(new Request("c", "safe", "slow", 42, 14, 1, f.now + 4000));
    assertEquals(1 - 4, f.lastOf(Add.class).amount(), "the refused 4 units are returned with the next add");
  }

  private void run(int seed, int size, GatewayApi.Plan plan) {
    SplittableRandom random = new SplittableRandom(seed);
    counts.clear();
    lowestLevel = ceilingLevel = plan.ceilingBurst();
    ceilingLevelAt = 1_000_000;
    sent = 0;
    counterAwayUntil = 0;
    Fixtures[] gateways = new Fixtures[size];
    double failureProbability = random.nextDouble();
    for (int step = 0; step < 3000; step++) {
      double now = 1_000_000 + step * 25.0;
      int i = random.nextInt(size);
      if (gateways[i] == null || random.nextDouble() < 0.001) {
        gateways[i] = new Fixtures(Fixtures.settings(true, size, false), now);
        gateways[i].withBackends(4);
      }
      if (random.nextDouble() < 0.002) {
        counts.clear();
        counterAwayUntil = plan == Fixtures.SLOW ? now + 5_000 : now;
      }
      gateways[i].now = now;
      requestUnits = 1 + random.nextInt(4);
      gateways[i].on(new Request("s" + step, "safe", plan.name(), 42, size, requestUnits, now + 4000));
      perform(plan, gateways[i], gateways[i].lastActions, random, step % 400 < 200 ? failureProbability : 0);
    }
  }

  private void perform(GatewayApi.Plan plan, Fixtures gateway, List<Action> actions, SplittableRandom random,
      double failureProbability) {
    for (Action action : actions) {
      if (action instanceof Add a) {
        boolean counterAway = gateway.now < counterAwayUntil;
        boolean callFails = counterAway || random.nextDouble() < failureProbability;
        boolean isAdded = !counterAway && (!callFails || random.nextBoolean());
        double total = isAdded ? counts.merge(a.name(), a.amount(), Double::sum) : 0;
        Status status = callFails ? Status.TIMED_OUT : Status.OK;
        gateway.on(new Counted(a.name(), status, total, 2));
        perform(plan, gateway, gateway.lastActions, random, failureProbability);
      } else if (action instanceof Send s) {
        recordSend(plan, gateway, s);
      }
    }
  }

  private void recordSend(GatewayApi.Plan plan, Fixtures gateway, Send send) {
    double filled = ceilingLevel + plan.ceilingRate() * (gateway.now - ceilingLevelAt) / 1000;
    ceilingLevel = Math.min(plan.ceilingBurst(), filled);
    ceilingLevelAt = gateway.now;
    ceilingLevel -= requestUnits;
    lowestLevel = Math.min(lowestLevel, ceilingLevel);
    sent++;
    gateway.on(new Outcome(send.request(), 0, send.backend(), Status.OK, 50, true, 1, null));
  }

  private static int countSends(Fixtures f, CeilingShare share, int tries) {
    int sends = 0;
    for (int k = 0; k < tries; k++) {
      f.on(new Request("t" + f.now + "-" + k, "safe", "ceiled", 42, 2, 1,
          f.now + 4000).withCeilingShare(share));
      if (f.emitted(Add.class)) {
        f.replyTotal(1);
      }
      sends += f.emitted(Send.class) ? 1 : 0;
    }
    return sends;
  }

  /**
   * Shares divide the burst of 20 units and half of the slack. The totals leave the quota open throughout.
   */
  @Test
  void aGatewayUsesOnlyItsShareOfTheCeiling() {
    double all = Fixtures.CEILED.ceilingBurst() + Fixtures.CEILED.ceilingSlack() / 2;
    Fixtures whole = new Fixtures(Fixtures.settings(true, 2, false)).withBackends(4).advance(60_000);
    Fixtures quarter = new Fixtures(Fixtures.settings(true, 2, false)).withBackends(4).advance(60_000);
    Fixtures none = new Fixtures(Fixtures.settings(true, 2, false)).withBackends(4).advance(60_000);
    CeilingShare forGood = new CeilingShare(0.25, Double.POSITIVE_INFINITY, 0.25);
    assertEquals((int) all, countSends(whole, new CeilingShare(1, Double.POSITIVE_INFINITY, 1), 40));
    assertEquals((int) (0.25 * all), countSends(quarter, forGood, 40));
    assertEquals(0, countSends(none, new CeilingShare(0, Double.POSITIVE_INFINITY, 0), 40));
    // One second refills a quarter of the ceiling's rate.
    assertEquals((int) (0.25 * Fixtures.CEILED.ceilingRate()),
        countSends(quarter.advance(1_000), forGood, 40));
  }

  @Test
  void aGrownShareRefillsFromThenOnAndAnEndedShareByTheNextShare() {
    double rate = Fixtures.CEILED.ceilingRate();
    Fixtures f = new Fixtures(Fixtures.settings(true, 2, false)).withBackends(4).advance(60_000);
    CeilingShare small = new CeilingShare(0.25, Double.POSITIVE_INFINITY, 0.25);
    countSends(f, small, 40);
    CeilingShare grown = new CeilingShare(0.75, f.now + 4_000, 0);
    assertEquals((int) (0.25 * rate), countSends(f.advance(1_000), grown, 40),
        "the last second was refilled by the old share");
    assertEquals((int) (0.75 * rate), countSends(f.advance(1_000), grown, 40));
    f.advance(3_000);
    assertEquals(0, countSends(f, new CeilingShare(0, Double.POSITIVE_INFINITY, 0), 40),
        "nothing was refilled after the share had ended");
  }
}
