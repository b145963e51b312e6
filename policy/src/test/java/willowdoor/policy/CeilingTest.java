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
  private int units;

  @Test
  void holdsWithFailingCallsRestartsAndEmptiedCounts() {
    for (int seed = 0; seed < 40; seed++) {
      play(seed);
      assertTrue(lowest >= -Fixtures.CEILED.ceilingSlack(), "seed " + seed + ": store at " + lowest);
      assertTrue(sent > 50, "seed " + seed + ": only " + sent + " sent");
    }
  }

  private void play(int seed) {
    SplittableRandom random = new SplittableRandom(seed);
    counts.clear();
    lowest = store = Fixtures.CEILED.ceilingBurst();
    storeAt = 1_000_000;
    sent = 0;
    Fixtures[] gateways = new Fixtures[2];
    double trouble = random.nextDouble();
    for (int step = 0; step < 3000; step++) {
      double now = 1_000_000 + step * 25.0;
      int i = random.nextInt(2);
      if (gateways[i] == null || random.nextDouble() < 0.001) {
        gateways[i] = new Fixtures(Fixtures.settings(true, 2, false), now);
        gateways[i].backends(4);
      }
      if (random.nextDouble() < 0.002) {
        counts.clear();
      }
      gateways[i].now = now;
      units = 1 + random.nextInt(4);
      gateways[i].on(new Request("s" + step, "safe", "ceiled", 42, 2, units, now + 4000));
      answer(gateways[i], gateways[i].last, random, step % 400 < 200 ? trouble : 0);
    }
  }

  private void answer(Fixtures gateway, List<Action> actions, SplittableRandom random, double trouble) {
    for (Action action : actions) {
      if (action instanceof Add a) {
        boolean fails = random.nextDouble() < trouble;
        boolean adds = !fails || random.nextBoolean();
        double total = adds ? counts.merge(a.name(), a.amount(), Double::sum) : 0;
        Status status = fails ? Status.TIMED_OUT : Status.OK;
        gateway.on(new Counted(a.name(), status, total, 2));
        answer(gateway, gateway.last, random, trouble);
      } else if (action instanceof Send s) {
        take(gateway.now, gateway, s);
      }
    }
  }

  private void take(double now, Fixtures gateway, Send s) {
    double filled = store + Fixtures.CEILED.ceilingRate() * (now - storeAt) / 1000;
    store = Math.min(Fixtures.CEILED.ceilingBurst(), filled);
    storeAt = now;
    store -= units;
    lowest = Math.min(lowest, store);
    sent++;
    gateway.on(new Outcome(s.request(), 0, s.backend(), Status.OK, 50, true, 1, null));
  }

  private static int sendsAtOnce(Fixtures f, CeilingShare share, int tries) {
    int sends = 0;
    for (int k = 0; k < tries; k++) {
      f.on(new Request("t" + f.now + "-" + k, "safe", "ceiled", 42, 2, 1, f.now + 4000).with(share));
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
