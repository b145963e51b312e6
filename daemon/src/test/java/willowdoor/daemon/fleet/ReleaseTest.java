package willowdoor.daemon.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Collections;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import willowdoor.agreement.Command.Steering;
import willowdoor.agreement.Outcome;
import willowdoor.rollout.Release;
import willowdoor.rollout.Release.Mode;
import willowdoor.testkit.DoorProcess;
import willowdoor.testkit.InvariantChecker;
import willowdoor.testkit.FaultyLink;

/** Tests releases of another version over four doors under load, with three stewards, each a process. */
@Timeout(180)
class ReleaseTest {

  private static final int DOORS = 4;
  private static final long LIMIT_MS = 90_000;

  private ReleaseRun fleet;

  @BeforeEach
  void open() throws IOException {
    fleet = new ReleaseRun(3, DOORS, 1, 60, 7);
  }

  @AfterEach
  void close() throws IOException {
    fleet.close();
  }

  private Release awaitSettled() {
    Release r = fleet.awaitSettled(LIMIT_MS);
    assertNotNull(r, () -> "neither ended nor halted: " + fleet.lastRelease());
    return r;
  }

  private void assertAllHaveVersion(String version) {
    assertEquals(Collections.nCopies(DOORS, version), fleet.versions());
  }

  private InvariantChecker.Verdict assertRulesKept() {
    InvariantChecker.Verdict verdict = fleet.run().finish();
    assertTrue(verdict.passed(), verdict::toString);
    assertTrue(verdict.served() > 0, verdict::toString);
    return verdict;
  }

  private void rollBack() throws InterruptedException {
    assertInstanceOf(Outcome.Done.class, fleet.steer(Steering.BACK));
    assertEquals(Mode.ENDED, awaitSettled().mode(), () -> fleet.lastRelease().toString());
    assertAllHaveVersion(ReleaseRun.OLD_VERSION);
  }

  /** The leader is killed during the release; the release does not depend on the process that began it. */
  @Test
  void allDoorsAreReplacedWithoutALostRequestAlthoughTheLeaderIsKilled() throws Exception {
    assertInstanceOf(Outcome.ReleaseStarted.class, fleet.start(ReleaseRun.plan(ReleaseRun.GOOD_VERSION)));
    assertInstanceOf(Outcome.Refused.class, fleet.start(ReleaseRun.plan(ReleaseRun.SILENT_VERSION)));
    assertNotNull(fleet.awaitRelease(x -> x.countWithVersion(ReleaseRun.GOOD_VERSION) >= 1, LIMIT_MS));
    DoorProcess leader = fleet.stewards().processes().get(fleet.stewards().leader());
    leader.kill();
    Release ended = awaitSettled();
    assertEquals(Mode.ENDED, ended.mode(), ended::toString);
    assertAllHaveVersion(ReleaseRun.GOOD_VERSION);
    leader.start();
    InvariantChecker.Verdict verdict = assertRulesKept();
    assertEquals(0, verdict.failed(), verdict::toString);
  }

  /** An operator halts the release during a step, rolls it back, halts the rollback, and rolls back again. */
  @Test
  void isHaltedAndRolledBack() throws Exception {
    fleet.start(ReleaseRun.plan(ReleaseRun.GOOD_VERSION));
    assertNotNull(fleet
        .awaitRelease(x -> x.countWithVersion(ReleaseRun.GOOD_VERSION) >= 1 && !x.steps().isEmpty(),
        LIMIT_MS));
    assertInstanceOf(Outcome.Done.class, fleet.steer(Steering.HALT));
    assertEquals(Mode.HALTED, awaitSettled().mode());
    FleetRun.sleep(2_000);
    assertInstanceOf(Outcome.Done.class, fleet.steer(Steering.BACK));
    assertNotNull(fleet.awaitRelease(x -> !x.steps().isEmpty(), LIMIT_MS));
    assertInstanceOf(Outcome.Done.class, fleet.steer(Steering.HALT));
    assertEquals(Mode.HALTED, awaitSettled().mode());
    rollBack();
    assertEquals(0, assertRulesKept().failed());
  }

  @Test
  void aVersionThatNeverBecomesReadyReachesOneDoorWhichKeepsServing() throws Exception {
    assertHaltedAfterOneDoor(ReleaseRun.SILENT_VERSION);
  }

  @Test
  void aVersionThatExitsAtOnceReachesOneDoorWhichKeepsServing() throws Exception {
    assertHaltedAfterOneDoor(ReleaseRun.EXITING_VERSION);
  }

  private void assertHaltedAfterOneDoor(String version) throws InterruptedException {
    fleet.start(ReleaseRun.plan(version));
    Release halted = awaitSettled();
    assertEquals(Mode.HALTED, halted.mode(), halted::toString);
    assertTrue(halted.why().contains("could not be replaced"), halted::toString);
    assertEquals(1, fleet.launches().doorsStarted(version));
    rollBack();
    assertEquals(0, assertRulesKept().failed());
  }

  @Test
  void aVersionThatBecomesReadyAndCrashesIsHalted() throws Exception {
    fleet.start(ReleaseRun.plan(ReleaseRun.CRASHING_VERSION, 10_000));
    Release halted = awaitSettled();
    assertEquals(Mode.HALTED, halted.mode(), halted::toString);
    assertEquals(1, fleet.launches().doorsStarted(ReleaseRun.CRASHING_VERSION));
    fleet.run().doors().forEach(DoorProcess::start);
    rollBack();
    assertRulesKept();
  }

  /** The door is cut off while its successor starts; the successor must not serve, and no request is lost. */
  @Test
  void aDoorThatIsCutOffDuringItsStepKeepsServing() throws Exception {
    fleet.start(ReleaseRun.plan(ReleaseRun.GOOD_VERSION));
    assertNotNull(fleet.awaitRelease(x -> x.steps().stream().anyMatch(s -> s.state()
        == willowdoor.rollout.Step.State.GOING), LIMIT_MS));
    assertTrue(FleetRun.await(() -> fleet.launches().doorsStarted(ReleaseRun.GOOD_VERSION) == 1, LIMIT_MS));
    int door = Integer.parseInt(fleet.lastRelease().steps().get(0).door().substring(1));
    fleet.stewards().setDoorLinks(door, FaultyLink.Mode.SILENT);
    assertInstanceOf(Outcome.Done.class, fleet.steer(Steering.HALT));
    FleetRun.sleep(3_000);
    fleet.stewards().setDoorLinks(door, FaultyLink.Mode.WHOLE);
    assertEquals(Mode.HALTED, awaitSettled().mode());
    rollBack();
    assertEquals(0, assertRulesKept().failed());
  }
}
