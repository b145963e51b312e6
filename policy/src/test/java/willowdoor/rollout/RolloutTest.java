package willowdoor.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import willowdoor.rollout.Release.Course;
import willowdoor.rollout.Release.Mode;
import willowdoor.rollout.TargetStatus.PermitState;
import willowdoor.rollout.Step.State;

class RolloutTest {

  private static final Plan PLAN = new Plan(Plan.Kind.DOORS, "1", "2", List.of(0.01, 0.5, 1.0), 1_000, 500,
      10_000, 0,
      Comparison.DEFAULT);

  private final Map<String, TargetStatus> statuses = new LinkedHashMap<>();
  private final List<PermitAction> actions = new ArrayList<>();
  private Rollout rollout;
  private double nowMs = 1_000;
  private long index;

  private static TargetStatus status(String door, String version) {
    return new TargetStatus(door, "a", version, true, 0, 0, 0, 0, PermitState.NONE, false, "");
  }

  private void put(TargetStatus x) {
    statuses.put(x.door(), x);
  }

  private TargetStatus withPermit(TargetStatus x, PermitState permit) {
    return new TargetStatus(x.door(), x.zone(), x.version(), permit == PermitState.NONE, x.unreachableMs(),
        x.startedAttempt(), x.failedAttempt(),
        x.knownIndex(),
        permit, x.heldByOthers(), permit == PermitState.WAITING ? "others are out" : "");
  }

  private void beginWithDoors(int count) {
    for (int i = 1; i <= count; i++) {
      put(new TargetStatus("d" + i, i % 2 == 1 ? "a" : "b", "1", true, 0, 0, 0, 0, PermitState.NONE, false,
          ""));
    }
    rollout = Rollout.begin(1, "r", "ana", PLAN, nowMs, List.copyOf(statuses.values()), 0);
    advance(0);
  }

  private void advance(double byMs) {
    nowMs += byMs;
    actions.clear();
    actions.addAll(rollout.advance(nowMs, ++index, List.copyOf(statuses.values())));
  }

  private String doorOfPermitRequest() {
    return actions.stream().filter(PermitAction.RequestPermit.class::isInstance).map(x ->
        ((PermitAction.RequestPermit) x).step().door()).findFirst()
        .orElse(null);
  }

  private boolean returnsPermitOf(String door) {
    return actions.stream()
        .anyMatch(x -> x instanceof PermitAction.ReturnPermit e && e.step().door().equals(door));
  }

  private Release state() {
    return rollout.state();
  }

  private State stepState(String door) {
    return state().steps().stream().filter(x ->
        x.door().equals(door)).map(Step::state).findFirst().orElse(null);
  }

  /** The permit is granted, and the door drains. */
  private void grantPermit(String door) {
    put(withPermit(statuses.get(door), PermitState.GRANTED));
    advance(10);
    assertEquals(State.GOING, stepState(door));
  }

  /** The successor serves, and the permit is returned. */
  private void replaceDoor(String door) {
    put(withPermit(status(door, rollout.dueStep(door, true, nowMs).version()), PermitState.GRANTED));
    advance(10);
    assertTrue(returnsPermitOf(door));
    put(withPermit(statuses.get(door), PermitState.RETURNING));
    advance(10);
    assertEquals(State.RETURNING, stepState(door));
    put(withPermit(statuses.get(door), PermitState.NONE));
    advance(10);
    assertNull(stepState(door));
  }

  private void completeStep(String door) {
    assertEquals(door, doorOfPermitRequest());
    grantPermit(door);
    replaceDoor(door);
  }

  @Test
  void runsInWavesOverAllZonesAndComparesAfterEach() {
    beginWithDoors(4);
    completeStep("d1");
    assertEquals(0, state().wave());
    assertNull(doorOfPermitRequest());
    advance(990);
    assertEquals(0, state().wave());
    advance(20);
    assertEquals(1, state().wave());
    advance(0);
    completeStep("d2");
    advance(1_000);
    advance(0);
    completeStep("d3");
    completeStep("d4");
    assertEquals(Mode.GOING, state().mode());
    advance(1_000);
    assertEquals(Mode.ENDED, state().mode());
    assertEquals(4, state().countWithVersion("2"));
    rollout.halt("late");
    rollout.rollBack("late", nowMs);
    assertEquals(Mode.ENDED, state().mode());
  }

  /** Several steps run within the budget, but only one waits for a permit, so that others get a turn. */
  @Test
  void requestsAnotherPermitOnlyAfterTheLastWasGranted() {
    beginWithDoors(8);
    completeStep("d1");
    advance(1_000);
    advance(0);
    assertEquals("d2", doorOfPermitRequest());
    put(withPermit(statuses.get("d2"), PermitState.WAITING));
    advance(10);
    assertNull(doorOfPermitRequest());
    put(withPermit(statuses.get("d2"), PermitState.GRANTED));
    advance(10);
    assertEquals("d3", doorOfPermitRequest());
  }

  @Test
  void aDoorIsReplacedOnlyWhenItIsEmptyOrItsDrainTimeIsOver() {
    beginWithDoors(2);
    assertNull(rollout.dueStep("d1", true, nowMs));
    grantPermit("d1");
    assertNull(rollout.dueStep("d1", false, nowMs));
    assertEquals("2", rollout.dueStep("d1", true, nowMs).version());
    assertEquals(1, rollout.dueStep("d1", false, nowMs + 500).attempt());
    assertNull(rollout.dueStep("d2", true, nowMs + 500));
  }

  @Test
  void aHaltWithdrawsStepsNotBegunAndWaitsForTheOthers() {
    beginWithDoors(8);
    completeStep("d1");
    advance(1_000);
    advance(0);
    grantPermit("d2");
    assertEquals("d3", doorOfPermitRequest());
    grantPermit("d3");
    assertEquals("d4", doorOfPermitRequest());
    put(withPermit(statuses.get("d4"), PermitState.WAITING));
    TargetStatus d2 = statuses.get("d2");
    put(new TargetStatus("d2", "a", "1", false, 0, 2, 0, index, PermitState.GRANTED, false, ""));
    rollout.halt("halted by rui");
    advance(10);
    assertTrue(returnsPermitOf("d4"));
    assertNull(stepState("d4"));
    assertEquals(State.WITHDRAWN, stepState("d2"));
    assertNull(rollout.dueStep("d2", true, nowMs));
    // Neither door has reported that it knows of the halt.
    advance(10);
    assertEquals(State.WITHDRAWN, stepState("d3"));
    put(new TargetStatus("d3", "a", "1", false, 0, 0, 0, index, PermitState.GRANTED, false, ""));
    put(new TargetStatus("d2", "a", "1", false, 0, 2, 0, index, PermitState.GRANTED, false, ""));
    advance(10);
    assertTrue(returnsPermitOf("d3"));
    assertFalse(returnsPermitOf("d2"));
    put(withPermit(d2, PermitState.GRANTED));
    put(new TargetStatus("d2", "a", "2", false, 0, 0, 0, index, PermitState.GRANTED, false, ""));
    advance(10);
    assertTrue(returnsPermitOf("d2"));
    put(withPermit(status("d2", "2"), PermitState.NONE));
    put(withPermit(status("d3", "1"), PermitState.NONE));
    advance(10);
    assertTrue(state().hasStopped());
    assertEquals("halted by rui", state().why());
  }

  /** A door that can't be reached may have begun, so its step is open until the door reports. */
  @Test
  void theStepOfAnUnreachableDoorStaysOpenUntilTheDoorIsReachable() {
    beginWithDoors(4);
    grantPermit("d1");
    put(new TargetStatus("d1", "a", "", false, 4_000, 0, 0, Long.MAX_VALUE, PermitState.GRANTED, false, ""));
    rollout.halt("x");
    advance(10);
    advance(100_000);
    assertFalse(state().hasStopped());
    put(new TargetStatus("d1", "a", "1", false, 0, 0, 0, index, PermitState.GRANTED, false, ""));
    advance(10);
    assertTrue(returnsPermitOf("d1"));
  }

  @Test
  void aFailedAttemptHalts() {
    beginWithDoors(4);
    grantPermit("d1");
    put(new TargetStatus("d1", "a", "1", false, 0, 1, 1, index, PermitState.GRANTED, false, ""));
    advance(10);
    assertTrue(returnsPermitOf("d1"));
    assertEquals(Mode.HALTED, state().mode());
    assertTrue(state().why().contains("d1 could not be replaced by 2"), state().why());
  }

  @Test
  void stepsAndPermitWaitsThatTakeTooLongHalt() {
    beginWithDoors(4);
    put(withPermit(statuses.get("d1"), PermitState.WAITING));
    advance(9_990);
    assertEquals(Mode.GOING, state().mode());
    advance(10);
    assertTrue(state().why().contains("others are out"), state().why());
    rollout.resume("ana", nowMs);
    advance(10);
    assertNull(doorOfPermitRequest());
    put(withPermit(statuses.get("d1"), PermitState.NONE));
    advance(10);
    advance(10);
    assertEquals("d1", doorOfPermitRequest());
    grantPermit("d1");
    advance(10_000);
    assertEquals(Mode.HALTED, state().mode());
    assertTrue(state().why().contains("d1 is not back with 2"), state().why());
  }

  @Test
  void rollsBackInTheMiddleOfAWaveAndAfterAHaltOfTheRollback() {
    beginWithDoors(4);
    completeStep("d1");
    advance(1_000);
    advance(0);
    grantPermit("d2");
    // d2 has begun its attempt, and completes it with the new version.
    put(new TargetStatus("d2", "b", "1", false, 0, 2, 0, 0, PermitState.GRANTED, false, ""));
    rollout.rollBack("ana", nowMs);
    advance(10);
    assertEquals(Course.BACK, state().course());
    assertEquals(State.WITHDRAWN, stepState("d2"));
    assertEquals("d1", doorOfPermitRequest());
    put(withPermit(statuses.get("d1"), PermitState.WAITING));
    rollout.halt("halted by rui");
    advance(10);
    put(withPermit(statuses.get("d1"), PermitState.NONE));
    put(new TargetStatus("d2", "b", "2", false, 0, 0, 0, 0, PermitState.GRANTED, false, ""));
    advance(10);
    put(withPermit(status("d2", "2"), PermitState.NONE));
    advance(10);
    assertTrue(state().hasStopped());
    rollout.rollBack("ana", nowMs);
    advance(10);
    completeStep("d1");
    completeStep("d2");
    advance(0);
    assertEquals(Mode.ENDED, state().mode());
    assertEquals(4, state().countWithVersion("1"));
  }

  @Test
  void aPauseLetsGrantedStepsEndAndBeginsNone() {
    beginWithDoors(4);
    grantPermit("d1");
    rollout.pause("ana");
    advance(10);
    assertEquals(State.GOING, stepState("d1"));
    replaceDoor("d1");
    advance(5_000);
    assertNull(doorOfPermitRequest());
    assertTrue(state().hasStopped());
    rollout.resume("ana", nowMs);
    advance(10);
    advance(1_000);
    advance(0);
    assertEquals("d2", doorOfPermitRequest());
  }

  @Test
  void aLostReleasedDoorHalts() {
    beginWithDoors(4);
    completeStep("d1");
    put(new TargetStatus("d1", "a", "", false, 1_000, 0, 0, 0, PermitState.NONE, false, ""));
    advance(10);
    assertEquals(Mode.GOING, state().mode());
    put(new TargetStatus("d1", "a", "", false, 1_500, 0, 0, 0, PermitState.NONE, false, ""));
    advance(10);
    assertEquals(Mode.HALTED, state().mode());
    assertEquals("released doors are lost: d1; of the 3 others 0", state().why());
  }

  /** The whole zone is lost, so the version is not the cause. */
  @Test
  void aReleasedDoorThatIsLostWithOthersDoesNotHalt() {
    beginWithDoors(4);
    completeStep("d1");
    put(new TargetStatus("d1", "a", "", false, 5_000, 0, 0, 0, PermitState.NONE, false, ""));
    put(new TargetStatus("d3", "a", "", false, 4_900, 0, 0, 0, PermitState.NONE, false, ""));
    advance(10);
    assertEquals(Mode.GOING, state().mode());
  }

  @Test
  void aDoorThatRevertsByItselfHalts() {
    beginWithDoors(4);
    completeStep("d1");
    put(status("d1", "1"));
    advance(10);
    assertEquals(Mode.HALTED, state().mode());
    assertEquals("back on an older version by themselves: d1", state().why());
  }

  /** A door that dies between the versions returns with either, and then gets the target version. */
  @Test
  void aDoorThatDiedDuringItsStepIsReplacedWhenItReturns() {
    beginWithDoors(2);
    grantPermit("d1");
    put(new TargetStatus("d1", "a", "", false, 3_000, 0, 0, Long.MAX_VALUE, PermitState.GRANTED, false, ""));
    advance(10);
    assertEquals(State.GOING, stepState("d1"));
    put(new TargetStatus("d1", "a", "1", false, 0, 0, 0, index, PermitState.GRANTED, false, ""));
    advance(10);
    assertEquals(1, rollout.dueStep("d1", true, nowMs).attempt());
    replaceDoor("d1");
  }

  @Test
  void forgottenDoorsAreSkippedAndJoiningDoorsComeLast() {
    beginWithDoors(2);
    completeStep("d1");
    statuses.remove("d2");
    put(status("d9", "1"));
    advance(1_000);
    advance(1_000);
    advance(0);
    completeStep("d9");
    advance(1_000);
    advance(0);
    advance(1_000);
    assertEquals(Mode.ENDED, state().mode());
  }

  @Test
  void anUnreachableDoorDoesNotCountAsReleased() {
    beginWithDoors(2);
    completeStep("d1");
    put(new TargetStatus("d2", "b", "", false, 9_000, 0, 0, 0, PermitState.NONE, false, ""));
    advance(5_000);
    advance(5_000);
    advance(5_000);
    assertEquals(Mode.GOING, state().mode());
    assertEquals(List.of("d2"), rollout.unreachableDoors());
    put(status("d2", "1"));
    advance(10);
    completeStep("d2");
  }

  @Test
  void doorsTakenOutByOthersAreNotReleased() {
    beginWithDoors(2);
    rollout = Rollout.begin(1, "r", "ana", PLAN, nowMs, List.copyOf(statuses.values()), 0);
    put(new TargetStatus("d1", "a", "1", true, 0, 0, 0, 0, PermitState.NONE, true, ""));
    advance(0);
    assertNull(doorOfPermitRequest());
    put(status("d1", "1"));
    advance(0);
    assertEquals("d1", doorOfPermitRequest());
  }

  @Test
  void aReleaseContinuesFromItsState() {
    beginWithDoors(4);
    grantPermit("d1");
    rollout = new Rollout(rollout.state());
    assertEquals(1, rollout.dueStep("d1", true, nowMs).attempt());
    replaceDoor("d1");
  }

  @Test
  void rejectsAThirdVersionAndInvalidPlans() {
    put(status("d1", "3"));
    assertTrue(assertThrows(IllegalArgumentException.class, () -> Rollout.begin(1, "r", "ana", PLAN, nowMs,
        List.copyOf(statuses.values()), 0)).getMessage().contains("d1 has version 3"));
    assertThrows(IllegalArgumentException.class, () -> Rollout.begin(1, "r", "ana", PLAN, nowMs, List.of(),
        0));
    for (String bad : new String[] {"", "-x", "../x", "a b", "x".repeat(65)}) {
      assertThrows(IllegalArgumentException.class, () -> plan("1", bad, 1.0));
    }
    assertThrows(IllegalArgumentException.class, () -> plan("1", "1", 1.0));
    assertThrows(IllegalArgumentException.class, () -> plan("1", "2"));
    assertThrows(IllegalArgumentException.class, () -> plan("1", "2", 0.5));
    assertThrows(IllegalArgumentException.class, () -> plan("1", "2", 0.5, 0.4, 1.0));
    assertThrows(IllegalArgumentException.class, () -> new Plan(Plan.Kind.DOORS, "1", "2", List.of(1.0), -1,
        0,
        1, 0,
        Comparison.DEFAULT));
    assertThrows(IllegalArgumentException.class, () -> new Comparison(2, 1, 0.1, 1));
    assertThrows(IllegalArgumentException.class, () -> new Comparison(1, 2, 0, 1));
  }

  private static Plan plan(String from, String to, Double... waves) {
    return new Plan(Plan.Kind.DOORS, from, to, List.of(waves), 0, 0, 1, 0, Comparison.DEFAULT);
  }
}
