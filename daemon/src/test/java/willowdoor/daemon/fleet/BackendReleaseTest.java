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

/** Three stewards and three doors, each a process, and eight backends that are restarted a few at a time. */
@Timeout(180)
class BackendReleaseTest {

  private static final int BACKENDS = 8;
  private static final int MAY_BE_OUT = 2;
  private static final long LIMIT_MS = 90_000;

  private ReleaseRun fleet;
  private BackendRestarts restarts;

  @BeforeEach
  void open() throws IOException {
    fleet = new ReleaseRun(RunSettings.typical().withColdMs(1_500), 3, 3, MAY_BE_OUT, 60, 11);
    restarts = new BackendRestarts(fleet);
  }

  @AfterEach
  void close() throws Exception {
    restarts.close();
    fleet.close();
  }

  private void begin(String version) throws InterruptedException {
    begin(version, 1_000);
  }

  private void begin(String version, double bakeMs) throws InterruptedException {
    assertInstanceOf(Outcome.ReleaseStarted.class, fleet.start(new Plan(Plan.Kind.BACKENDS, "b1", version,
        List.of(0.1, 1.0), bakeMs, 0, 30_000, 0, Comparison.DEFAULT)));
  }

  private Release still() {
    Release r = fleet.awaitStill(LIMIT_MS);
    assertNotNull(r, () -> "neither ended nor halted: " + fleet.look());
    return r;
  }

  private Release having(String version, int n) {
    Release r = fleet.awaitRelease(x -> x.countWithVersion(version) >= n, LIMIT_MS);
    assertNotNull(r, () -> "not " + n + " have " + version + ": " + fleet.look());
    return r;
  }

  private Set<String> startedWith() {
    return new TreeSet<>(restarts.versions().values());
  }

  private void kept() {
    InvariantChecker.Verdict verdict = fleet.run().finish();
    assertTrue(verdict.passed(), verdict::toString);
    assertTrue(verdict.served() > 0, verdict::toString);
    assertEquals(0, verdict.failed(), verdict::toString);
    assertTrue(restarts.most() <= MAY_BE_OUT, () -> restarts.most() + " were out");
  }

  /** No door sends to one that is out, a cold one gets its part from all doors together, and none is lost. */
  @Test
  void allAreRestartedWithinTheBudgetThoughTheLeaderIsKilled() throws Exception {
    begin("b2");
    having("b2", 2);
    DoorProcess leader = fleet.stewards().processes().get(fleet.stewards().leader());
    leader.kill();
    having("b2", 4);
    leader.start();
    assertEquals(Mode.ENDED, still().mode(), () -> fleet.look().toString());
    assertEquals(BACKENDS, restarts.versions().size());
    assertEquals(Set.of("b2"), startedWith());
    kept();
  }

  @Test
  void isHaltedWhileOneIsAwayAndGoesBack() throws Exception {
    begin("b2");
    having("b2", 1);
    assertNotNull(fleet.awaitRelease(x -> !x.steps().isEmpty(), LIMIT_MS));
    assertInstanceOf(Outcome.Done.class, fleet.steer(Steering.HALT));
    Release halted = still();
    long with = halted.countWithVersion("b2");
    assertEquals(Mode.HALTED, halted.mode());
    FleetRun.sleep(2_000);
    assertEquals(with, restarts.versions().size(), "none begins after the word that it is halted");
    assertInstanceOf(Outcome.Done.class, fleet.steer(Steering.BACK));
    assertEquals(Mode.ENDED, still().mode(), () -> fleet.look().toString());
    assertEquals(with, restarts.versions().size());
    assertEquals(Set.of("b1"), startedWith());
    kept();
  }

  /** It starts, is warm, is taken back, and dies; no other gets that version. */
  @Test
  void aVersionThatDiesOnceItServesIsHalted() throws Exception {
    begin(BackendRestarts.FAINT, 10_000);
    Release halted = still();
    assertEquals(Mode.HALTED, halted.mode(), halted::toString);
    assertTrue(halted.why().startsWith("released doors are lost"), halted::toString);
    assertEquals(1, restarts.versions().size());
    assertInstanceOf(Outcome.Done.class, fleet.steer(Steering.BACK));
    StandInBackend dead = fleet.run().rig().backendPool().all().stream().filter(x -> !x.isAlive()).findFirst()
        .orElseThrow();
    // Somebody starts it once more as it was; the way back has it restarted with the old one.
    fleet.run().rig().backendPool().restart(dead, 100);
    assertEquals(Mode.ENDED, still().mode(), () -> fleet.look().toString());
    assertEquals(Set.of("b1"), startedWith());
    assertTrue(FleetRun.until(() -> fleet.stewards().awaitLook().backendsOut() == 0, LIMIT_MS));
    InvariantChecker.Verdict verdict = fleet.run().finish();
    assertTrue(verdict.passed(), verdict::toString);
  }
}
