package willowdoor.daemon.fleet;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import willowdoor.testkit.BackendPool;
import willowdoor.testkit.ClientFleet;
import willowdoor.testkit.FaultInjector;
import willowdoor.testkit.FaultInjector.Fault;
import willowdoor.testkit.FaultInjector.FaultKind;
import willowdoor.testkit.InvariantChecker.Verdict;
import willowdoor.testkit.EventHistory;
import willowdoor.testkit.EventHistory.ClientRequest;
import willowdoor.testkit.EventHistory.Entry;
import willowdoor.testkit.RunSettings;
import willowdoor.testkit.RunSettings.PlanTerms;

/**
 * Checks the five rules in invented deployments that differ in their settings, each with real daemons and the
 * same faults. The product has no knowledge of these deployments.
 */
@Timeout(120)
class DeploymentShapesTest {

  private static final PlanTerms RATED = new PlanTerms("small", 4, 16, 0, 0, 0);
  private static final PlanTerms LARGE = new PlanTerms("large", 30, 60, 0, 0, 0);
  private static final PlanTerms CAPPED = new PlanTerms("capped", 0, 0, 0, 0, 0, 3);
  private static final PlanTerms BOTH = new PlanTerms("both", 8, 24, 0, 0, 0, 3);
  private static final PlanTerms CEILED = new PlanTerms("ceiled", 5, 20, 10, 40, 8);
  private static final PlanTerms ALL = new PlanTerms("all", 5, 20, 10, 40, 8, 4);
  private static final PlanTerms FREE = new PlanTerms("free", 0, 0, 0, 0, 0);

  /** One deployment. */
  private enum Shape {
    ONE_DOOR(1, false, 4_000, RATED, LARGE),
    RATE_AND_CEILING_SETTLED(2, true, 4_000, CEILED, LARGE),
    CAP_AND_RATE_AS_NAMED(3, false, 6_000, CAPPED, RATED),
    CAP_WITH_RATE(4, true, 1_000, BOTH, FREE),
    CEILING_WITH_CAP(3, false, 2_000, ALL, CAPPED),
    NO_QUOTA_AT_ALL(2, true, 6_000, FREE, FREE);

    private final int doors;
    private final boolean settled;
    private final double keyWindowMs;
    private final List<PlanTerms> plans;

    Shape(int doors, boolean settled, double keyWindowMs, PlanTerms first, PlanTerms second) {
      this.doors = doors;
      this.settled = settled;
      this.keyWindowMs = keyWindowMs;
      this.plans = first == second ? List.of(first) : List.of(first, second);
    }
  }

  private static final long SEED = 20261202;

  @ParameterizedTest
  @EnumSource(Shape.class)
  void theFiveRulesAreKept(Shape shape) throws Exception {
    RunSettings terms = RunSettings.typical().withPlansAndKeyWindow(shape.plans, shape.keyWindowMs);
    try (FleetRun run =
        new FleetRun(terms, new BackendPool.BackendSpec(6, 2, 24, 60, 140), shape.doors, SEED);
        FaultInjector faults = new FaultInjector(run.rig(), run.doors())) {
      if (!shape.settled) {
        run.rig().backendPool().chargeNamedUnits();
      }
      run.start(new ClientFleet.Load(70, 24, 0.2, 6, 4));
      run.clients().start();
      assertTrue(FleetRun.await(() -> run.clients().sentTries() >= 150, 30_000));
      List<Fault> schedule = List.of(new Fault(0, FaultKind.DRAIN_BACKEND, 0, 2_500),
          new Fault(100, FaultKind.STALLS_BACKEND, 1, 1_500),
          new Fault(300, FaultKind.KILL_BACKEND, 2, 1_000),
          new Fault(600, FaultKind.LOSE_COUNTER, 0, 1_200),
          new Fault(2_000, FaultKind.ERRORS_BACKEND, 3, 800),
          new Fault(2_400, FaultKind.SLOW_COUNTER, 0, 800));
      faults.inject(schedule);
      assertTrue(FleetRun.await(() -> faults.startedFaults() == schedule.size(), 30_000));
      long then = run.clients().sentTries();
      assertTrue(FleetRun.await(() -> run.clients().sentTries() >= then + 150, 30_000));
      Verdict verdict = run.finish();
      assertTrue(verdict.passed(), () -> shape + ", seed " + SEED + ": " + verdict);
      assertTrue(verdict.served() > 100, () -> shape + ": " + verdict);
      for (PlanTerms plan : shape.plans) {
        double beyond = beyondCap(run.rig().eventHistory(), plan);
        assertTrue(beyond < 0.1, () -> shape + ": " + plan.name() + ": " + beyond + " sent beyond the cap");
      }
    }
  }

  /** The share of a plan's requests whose first attempt exceeded the firm's cap on open requests. */
  private static double beyondCap(EventHistory ledger, PlanTerms plan) {
    Map<String, Set<String>> out = new HashMap<>();
    Set<String> sent = new HashSet<>();
    int beyond = 0;
    List<Entry> entries = ledger.requestHistories().values().stream().flatMap(List::stream)
        .sorted(Comparator.comparingDouble(Entry::atMs)).toList();
    for (Entry e : entries) {
      ClientRequest asked = ledger.clientRequest(e.subject());
      if (asked == null || !asked.plan().equals(plan.name())) {
        continue;
      }
      Set<String> firm = out.computeIfAbsent(asked.firm(), f -> new HashSet<>());
      switch (e.kind()) {
        case LAST_BYTE -> {
          beyond += sent.add(e.subject()) && firm.size() >= plan.openLimit() ? 1 : 0;
          firm.add(e.note());
        }
        case REPLIED, TURNED_AWAY, ATTEMPT_ENDED -> firm.remove(e.note());
        default -> { }
      }
    }
    return plan.openLimit() == 0 ? 0 : beyond / (double) Math.max(1, sent.size());
  }
}
