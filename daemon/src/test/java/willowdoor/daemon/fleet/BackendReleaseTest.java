package willowdoor.daemon.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import willowdoor.agreement.Command.Steering;
import willowdoor.agreement.Outcome;
import willowdoor.rollout.Comparison;
import willowdoor.rollout.Plan;
import willowdoor.rollout.Release;
import willowdoor.rollout.Release.Mode;
import willowdoor.testkit.DoorProcess;
import willowdoor.testkit.InvariantChecker;
import willowdoor.testkit.StandInBackend;
import willowdoor.testkit.RunSettings;

/** Tests the release of eight backends, restarted at most two at a time, with real stewards and doors. */
@Timeout(180)
class BackendReleaseTest {

  private static final int BACKENDS = 8;
  private static final int BUDGET = 2;
  private static final long LIMIT_MS = 90_000;

  private ReleaseRun fleet;
  private BackendRestarts restarts;

  @BeforeEach
  void open() throws IOException {
    fleet = new ReleaseRun(RunSettings.typical().withColdMs(1_500), 3, 3, BUDGET, 60, 11);
    restarts = new BackendRestarts(fleet);
  }

  @AfterEach
  void close() throws Exception {
    restarts.close();
    fleet.close();
  }

  private void startRelease(String version) throws InterruptedException {
    startRelease(version, 1_000);
  }

  private void startRelease(String version, double bakeMs) throws InterruptedException {
    assertInstanceOf(Outcome.ReleaseStarted.class, fleet.start(new Plan(Plan.Kind.BACKENDS, "b1", version,
        List.of(0.1, 1.0), bakeMs, 0, 30_000, 0, Comparison.DEFAULT)));
  }

  private Release awaitSettled() {
    Release r = fleet.awaitSettled(LIMIT_MS);
    assertNotNull(r, () -> "neither ended nor halted: " + fleet.lastRelease());
    return r;
  }

  private Release awaitHaving(String version, int n) {
    Release r = fleet.awaitRelease(x -> x.countWithVersion(version) >= n, LIMIT_MS);
    assertNotNull(r, () -> "not " + n + " have " + version + ": " + fleet.lastRelease());
    return r;
  }

  private Set<String> startedWith() {
    return new TreeSet<>(restarts.versions().values());
  }

  private void assertRulesKept() {
    InvariantChecker.Verdict verdict = fleet.run().finish();
    assertTrue(verdict.passed(), verdict::toString);
    assertTrue(verdict.served() > 0, verdict::toString);
    assertEquals(0, verdict.failed(), verdict::toString);
    assertTrue(restarts.maxBackendsOut() <= BUDGET, () -> restarts.maxBackendsOut() + " were out");
  }

  /** No door sends to a backend that is out, slow start holds over all doors, and no request is lost. */
  @Test
  void allAreRestartedWithinTheBudgetAlthoughTheLeaderIsKilled() throws Exception {
    startRelease("b2");
    awaitHaving("b2", 2);
    DoorProcess leader = fleet.stewards().processes().get(fleet.stewards().leader());
    leader.kill();
    awaitHaving("b2", 4);
    leader.start();
    assertEquals(Mode.ENDED, awaitSettled().mode(), () -> fleet.lastRelease().toString());
    assertEquals(BACKENDS, restarts.versions().size());
    assertEquals(Set.of("b2"), startedWith());
    assertRulesKept();
  }

  @Test
  void isHaltedDuringARestartAndRolledBack() throws Exception {
    startRelease("b2");
    awaitHaving("b2", 1);
    assertNotNull(fleet.awaitRelease(x -> !x.steps().isEmpty(), LIMIT_MS));
    assertInstanceOf(Outcome.Done.class, fleet.steer(Steering.HALT));
    Release halted = awaitSettled();
    long with = halted.countWithVersion("b2");
    assertEquals(Mode.HALTED, halted.mode());
    FleetRun.sleep(2_000);
    assertEquals(with, restarts.versions().size(), "no restart begins after the release is reported halted");
    assertInstanceOf(Outcome.Done.class, fleet.steer(Steering.BACK));
    assertEquals(Mode.ENDED, awaitSettled().mode(), () -> fleet.lastRelease().toString());
    assertEquals(with, restarts.versions().size());
    assertEquals(Set.of("b1"), startedWith());
    assertRulesKept();
  }

  /** The version starts, warms up, returns to service and crashes; no other backend gets it. */
  @Test
  void aVersionThatCrashesOnceItServesIsHalted() throws Exception {
    startRelease(BackendRestarts.CRASHING_VERSION, 10_000);
    Release halted = awaitSettled();
    assertEquals(Mode.HALTED, halted.mode(), halted::toString);
    assertTrue(halted.why().startsWith("released doors are lost"), halted::toString);
    assertEquals(1, restarts.versions().size());
    assertInstanceOf(Outcome.Done.class, fleet.steer(Steering.BACK));
    StandInBackend dead = fleet.run().rig().backendPool().all().stream().filter(x -> !x.isAlive()).findFirst()
        .orElseThrow();
    // The crashed backend is started again as it was; the rollback then restarts it with the old version.
    fleet.run().rig().backendPool().restart(dead, 100);
    assertEquals(Mode.ENDED, awaitSettled().mode(), () -> fleet.lastRelease().toString());
    assertEquals(Set.of("b1"), startedWith());
    assertTrue(FleetRun.await(() -> fleet.stewards().awaitStatus().backendsOut() == 0, LIMIT_MS));
    InvariantChecker.Verdict verdict = fleet.run().finish();
    assertTrue(verdict.passed(), verdict::toString);
  }
}
