package willowdoor.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import willowdoor.policy.GatewayApi.Action;
import willowdoor.policy.GatewayApi.Add;
import willowdoor.policy.GatewayApi.Counted;
import willowdoor.policy.GatewayApi.CounterReplaced;
import willowdoor.policy.GatewayApi.Outcome;
import willowdoor.policy.GatewayApi.Plan;
import willowdoor.policy.GatewayApi.Request;
import willowdoor.policy.GatewayApi.Send;
import willowdoor.policy.GatewayApi.Status;
import willowdoor.policy.GatewayApi.Woken;

/**
 * A firm sends requests at twenty times its quota while its counter is repeatedly replaced by an empty one.
 * The units sent beyond the quota are checked against the bound that docs/design/counter-loss.md derives.
 */
class CounterReplacedTest {

  private static final Plan PLAN = Fixtures.BROAD;
  private static final double SECONDS = 20;
  /** How late a gateway may notice a replacement: the interval of the watch. */
  private static final double NOTICE_DELAY_MS = 250;
  private static final double MAX_UNITS = 4;

  /** One run: units sent, and counter calls in the busiest second. */
  private record Run(double sent, int busiestSecond) { }

  private static Run flood(int gateways, int replacements, boolean notified, boolean movesBetweenGateways,
      long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Fixtures> fleet = new ArrayList<>();
    for (int i = 0; i < gateways; i++) {
      fleet.add(new Fixtures(Fixtures.settings(true, gateways, false, i)).withBackends(12));
    }
    Map<String, Double> counts = new HashMap<>();
    Map<String, Integer> unitsByRequest = new HashMap<>();
    double[] sent = new double[1];
    int[] calls = new int[(int) SECONDS + 2];
    double start = fleet.get(0).now;
    double perSecond = 20 * PLAN.rate() / 2.5;
    List<Double> replacementTimes = new ArrayList<>();
    for (int i = 0; i < replacements; i++) {
      replacementTimes.add(start + 1000 * SECONDS * random.nextDouble());
    }
    replacementTimes.sort(null);
    Map<Fixtures, Double> notifyAt = new HashMap<>();
    for (int k = 0; k < SECONDS * perSecond; k++) {
      double now = start + 1000 * k / perSecond;
      while (!replacementTimes.isEmpty() && replacementTimes.get(0) <= now) {
        replacementTimes.remove(0);
        counts.clear();
        if (notified) {
          fleet.forEach(f -> notifyAt.put(f, now + NOTICE_DELAY_MS * random.nextDouble()));
        }
      }
      // A firm that moves uses a few gateways for a second, and then others.
      int entryPoint = movesBetweenGateways
          ? (int) ((now - start) / 1000) * 5 % gateways + random.nextInt(Math.min(5, gateways))
          : random.nextInt(gateways);
      Fixtures f = fleet.get(entryPoint % gateways);
      List<Fixtures> due = new ArrayList<>(notifyAt.keySet());
      due.removeIf(g -> notifyAt.get(g) > now);
      for (Fixtures g : due) {
        notifyAt.remove(g);
        runTimers(g, now, counts, unitsByRequest, sent, calls, start);
        g.on(new CounterReplaced());
        perform(g, counts, unitsByRequest, sent, calls, start);
      }
      runTimers(f, now, counts, unitsByRequest, sent, calls, start);
      String id = "r" + k;
      int units = 1 + random.nextInt((int) MAX_UNITS);
      unitsByRequest.put(id, units);
      f.on(new Request(id, "safe", PLAN.name(), 42, gateways, units, now + 4000));
      perform(f, counts, unitsByRequest, sent, calls, start);
    }
    int busiest = 0;
    for (int c : calls) {
      busiest = Math.max(busiest, c);
    }
    return new Run(sent[0], busiest);
  }

  private static void runTimers(Fixtures f, double now, Map<String, Double> counts,
      Map<String, Integer> unitsByRequest, double[] sent, int[] calls, double start) {
    for (double t = f.now + 25; t <= now; t += 25) {
      f.now = t;
      f.on(new Woken("tick"));
      perform(f, counts, unitsByRequest, sent, calls, start);
    }
    f.now = now;
  }

  private static void perform(Fixtures f, Map<String, Double> counts, Map<String, Integer> unitsByRequest,
      double[] sent, int[] calls, double start) {
    for (Action a : List.copyOf(f.lastActions)) {
      if (a instanceof Add add) {
        calls[(int) Math.max(0, Math.min(calls.length - 1, (f.now - start) / 1000))]++;
        f.on(new Counted(add.name(), Status.OK, counts.merge(add.name(), add.amount(), Double::sum), 2));
        perform(f, counts, unitsByRequest, sent, calls, start);
      } else if (a instanceof Send s) {
        int units = unitsByRequest.get(s.request());
        sent[0] += units;
        f.on(new Outcome(s.request(), 0, s.backend(), Status.OK, 50, true, units, null));
        perform(f, counts, unitsByRequest, sent, calls, start);
      }
    }
  }

  /** Units that the quota grants in the time, with the additional burst that window edges may allow. */
  private static double quota() {
    return 2 * PLAN.burst() + PLAN.rate() * SECONDS;
  }

  /**
   * The bound of the design note: units that may be sent before the gateways notice, for each replacement.
   */
  private static double bound(int gateways, int replacements) {
    return replacements * (PLAN.burst() + gateways * MAX_UNITS);
  }

  @ParameterizedTest
  @CsvSource({"4, false", "12, false", "40, false", "40, true", "100, true"})
  void aFloodStaysWithinTheBoundWhileCountersAreReplaced(int gateways, boolean movesBetweenGateways) {
    StringBuilder table = new StringBuilder();
    for (long seed = 1; seed <= 6; seed++) {
      Run withoutLoss = flood(gateways, 0, true, movesBetweenGateways, seed);
      Run notNotified = flood(gateways, 6, false, movesBetweenGateways, seed);
      Run notified = flood(gateways, 6, true, movesBetweenGateways, seed);
      table.append(String.format(Locale.ROOT,
          "%n%d gateways%s, seed %d: quota %.0f, sent without a loss %.0f; six "
          + "losses: unnoticed %.0f, noticed %.0f, bound %.0f; busiest second %d calls, without a loss %d",
              gateways,
          movesBetweenGateways ? ", moving" : "", seed, quota(), withoutLoss.sent(), notNotified.sent(),
          notified.sent(), quota() + bound(gateways, 6), notified.busiestSecond(),
          withoutLoss.busiestSecond()));
      if (movesBetweenGateways) {
        assertTrue(notified.sent() - withoutLoss.sent() <= 0.5 * (notNotified.sent() - withoutLoss.sent()),
            table::toString);
      }
      assertTrue(notified.sent() <= quota() + bound(gateways, 6), table::toString);
      assertTrue(notified.sent() >= 0.8 * withoutLoss.sent(),
          () -> "the losses cost the firm more than a fifth of its units" + table);
    }
    System.out.println(table);
  }

  @Test
  void countsAreRestoredOnce() {
    Run withoutLoss = flood(40, 0, true, false, 3);
    Run withLosses = flood(40, 12, true, false, 3);
    assertTrue(withLosses.sent() <= withoutLoss.sent() + bound(40, 12),
        withLosses + " beside " + withoutLoss);
  }

  /**
   * A total that is out of step belongs to another count: the count of the firm is read again, and nothing is
   * learned from the wrong total.
   */
  @Test
  void anImplausibleTotalIsReadAgain() {
    Fixtures f = new Fixtures(Fixtures.settings(true, 40, false)).withBackends(4);
    f.on(new Request("r1", "safe", PLAN.name(), 42, 40, 2, f.now + 4000));
    f.replyTotal(1_000_007);
    Add reread = f.lastOf(Add.class);
    assertEquals(0, reread.amount());
    f.replyTotal(2);
    assertTrue(f.emitted(Send.class));
    f.on(new Request("r2", "safe", PLAN.name(), 42, 40, 2, f.now + 4000));
    f.replyTotal(4);
    assertTrue(f.emitted(Send.class), "the total of another count does not limit the firm");
  }
}
