package willowdoor.daemon.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import willowdoor.testkit.BackendPool;
import willowdoor.testkit.ClientFleet;
import willowdoor.testkit.FaultInjector;
import willowdoor.testkit.FaultInjector.Fault;
import willowdoor.testkit.FaultInjector.FaultKind;
import willowdoor.testkit.InvariantChecker.Verdict;
import willowdoor.testkit.QuotaAudit;
import willowdoor.testkit.LoadStatistics.IntervalStatistics;
import willowdoor.testkit.RunSettings;

/** Tests a small fleet of real processes; longer runs are commands under bench/. */
@Timeout(120)
class FleetTest {

  private static final int DOORS = 6;
  private static final long SEED = 20261201;
  private static final double RATE = 240;

  private static FleetRun fleet() throws Exception {
    FleetRun run =
        new FleetRun(RunSettings.typical(), new BackendPool.BackendSpec(12, 4, 32, 100, 160), DOORS, SEED);
    try {
      run.start(new ClientFleet.Load(RATE, 120, 0.1, 5, 4));
      run.clients().start();
      return run;
    } catch (Exception e) {
      run.close();
      throw e;
    }
  }

  private static void awaitSent(FleetRun run, long tries) {
    assertTrue(FleetRun.await(() -> run.clients().sentTries() >= tries, 60_000),
        () -> run.clients().sentTries()
        + " sent");
  }

  /** Restarted doors have lost their state, and a backend that restarted in the meantime is cold. */
  @Test
  void halfOfTheFleetIsKilledInASecondWhileTheCounterIsSlowAndAllStartAgainAtOnce() throws Exception {
    try (FleetRun run = fleet(); FaultInjector faults = new FaultInjector(run.rig(), run.doors())) {
      awaitSent(run, 500);
      List<Fault> schedule = new ArrayList<>();
      for (Fault f : FaultInjector.kills(SEED, DOORS, DOORS / 2, 0, 1_000, 0, 0)) {
        schedule.add(new Fault(f.atMs(), f.what(), f.target(), 2_500 - f.atMs()));
      }
      schedule.add(new Fault(0, FaultKind.SLOW_COUNTER, 0, 5_000));
      schedule.add(new Fault(100, FaultKind.KILL_BACKEND, 2, 1_500));
      schedule.add(new Fault(100, FaultKind.KILL_BACKEND, 5, 1_500));
      faults.inject(schedule);
      assertTrue(FleetRun.await(() -> faults.startedFaults() == schedule.size(), 30_000));
      assertTrue(FleetRun.await(() -> run.clients().doorsUp() <= DOORS / 2, 30_000));
      assertTrue(FleetRun.await(() -> run.clients().doorsUp() == DOORS, 60_000));
      awaitSent(run, run.clients().sentTries() + 500);
      Verdict verdict = run.finish();
      assertTrue(verdict.passed(), () -> "seed " + SEED + ": " + verdict);
      assertTrue(verdict.served() > 1_000, verdict::toString);
    }
  }

  /** The counter is split in two; firms' sets have doors on both sides, and some firms flood. */
  @Test
  void aSplitOfTheCounterAndItsEndBreakNoCeiling() throws Exception {
    try (FleetRun run = fleet()) {
      awaitSent(run, 500);
      double before = run.rig().eventHistory().now();
      run.rig().counter().splitInTwo(door -> door % 3 == 0, true);
      awaitSent(run, run.clients().sentTries() + 900);
      run.rig().counter().endSplit(true);
      double took = run.rig().eventHistory().now() - before;
      awaitSent(run, run.clients().sentTries() + 300);
      Verdict verdict = run.finish();
      assertTrue(verdict.passed(), () -> "seed " + SEED + ": " + verdict);
      for (QuotaAudit.FirmUse u
          : new QuotaAudit(run.rig().eventHistory(), run.rig().runSettings()).firmUses()) {
        double bound = CounterCommand.bound(CounterCommand.Case.split_second_wins, u.plan(), 4, took);
        assertTrue(u.maxOverQuota() <= bound, () -> "seed " + SEED + ": " + u + ", bound " + bound);
      }
    }
  }

  @Test
  void aRollReplacesEveryDoorUnderLoadAndCostsNoRequest() throws Exception {
    try (FleetRun run = fleet()) {
      awaitSent(run, 400);
      for (int i = 0; i < DOORS; i++) {
        assertTrue(run.replace(i, 30_000), "d" + i + " printed: " + run.log(i));
      }
      awaitSent(run, run.clients().sentTries() + 300);
      Verdict verdict = run.finish();
      assertTrue(verdict.passed(), () -> "seed " + SEED + ": " + verdict);
      IntervalStatistics all = run.clients().statistics().interval(0, 1e6);
      assertEquals(0, all.failed() + all.unanswered() + all.notTaken(), all::toString);
      assertEquals(0, verdict.excused(), verdict::toString);
    }
  }
}
