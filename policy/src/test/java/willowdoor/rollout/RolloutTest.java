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

  private final Map<String, TargetStatus> doors = new LinkedHashMap<>();
  private final List<PermitAction> wishes = new ArrayList<>();
  private Rollout rollout;
  private double now = 1_000;
  private long index;

  private static TargetStatus seen(String door, String version) {
    return new TargetStatus(door, "a", version, true, 0, 0, 0, 0, PermitState.NONE, false, "");
  }

  private void put(TargetStatus x) {
    doors.put(x.door(), x);
  }

  private TargetStatus with(TargetStatus x, PermitState held) {
    return new TargetStatus(x.door(), x.zone(), x.version(), held == PermitState.NONE, x.unreachableMs(),
        x.startedAttempt(), x.failedAttempt(),
        x.knownIndex(),
        held, x.heldByOthers(), held == PermitState.WAITING ? "others are out" : "");
  }

  private void begin(int n) {
    for (int i = 1; i <= n; i++) {
      put(new TargetStatus("d" + i, i % 2 == 1 ? "a" : "b", "1", true, 0, 0, 0, 0, PermitState.NONE, false,
          ""));
    }
    rollout = Rollout.begin(1, "r", "ana", PLAN, now, List.copyOf(doors.values()), 0);
    settle(0);
  }

  private void settle(double later) {
    now += later;
    wishes.clear();
    wishes.addAll(rollout.advance(now, ++index, List.copyOf(doors.values())));
  }

  private String asked() {
    return wishes.stream().filter(PermitAction.RequestPermit.class::isInstance).map(x ->
        ((PermitAction.RequestPermit) x).step().door()).findFirst()
        .orElse(null);
  }

  private boolean givenBack(String door) {
    return wishes.stream()
        .anyMatch(x -> x instanceof PermitAction.ReturnPermit e && e.step().door().equals(door));
  }

  private Release state() {
    return rollout.state();
  }

  private State step(String door) {
    return state().steps().stream().filter(x ->
        x.door().equals(door)).map(Step::state).findFirst().orElse(null);
  }

  /** The permit is had, the door goes. */
  private void granted(String door) {
    put(with(doors.get(door), PermitState.GRANTED));
    settle(10);
    assertEquals(State.GOING, step(door));
  }

  /** Its new process is there, and the permit comes back. */
  private void replaced(String door) {
    put(with(seen(door, rollout.dueStep(door, true, now).version()), PermitState.GRANTED));
    settle(10);
    assertTrue(givenBack(door));
    put(with(doors.get(door), PermitState.RETURNING));
    settle(10);
    assertEquals(State.RETURNING, step(door));
    put(with(doors.get(door), PermitState.NONE));
    settle(10);
    assertNull(step(door));
  }

  private void through(String door) {
    assertEquals(door, asked());
    granted(door);
    replaced(door);
  }

  @Test
  void goesInWavesWithDoorsOfAllZonesAndComparesAfterEach() {
    begin(4);
    through("d1");
    assertEquals(0, state().wave());
    assertNull(asked());
    settle(990);
    assertEquals(0, state().wave());
    settle(20);
    assertEquals(1, state().wave());
    settle(0);
    through("d2");
    settle(1_000);
    settle(0);
    through("d3");
    through("d4");
    assertEquals(Mode.GOING, state().mode());
    settle(1_000);
    assertEquals(Mode.ENDED, state().mode());
    assertEquals(4, state().countWithVersion("2"));
    rollout.halt("late");
    rollout.rollBack("late", now);
    assertEquals(Mode.ENDED, state().mode());
  }

  /** Within the budget several go at a time, but one waits at a time, so that others come to their turns. */
  @Test
  void asksForOneMoreOnlyWhenTheLastIsGranted() {
    begin(8);
    through("d1");
    settle(1_000);
    settle(0);
    assertEquals("d2", asked());
    put(with(doors.get("d2"), PermitState.WAITING));
    settle(10);
    assertNull(asked());
    put(with(doors.get("d2"), PermitState.GRANTED));
    settle(10);
    assertEquals("d3", asked());
  }

  @Test
  void aDoorIsToldOnlyOnceItIsEmptyOrHasHadItsTime() {
    begin(2);
    assertNull(rollout.dueStep("d1", true, now));
    granted("d1");
    assertNull(rollout.dueStep("d1", false, now));
    assertEquals("2", rollout.dueStep("d1", true, now).version());
    assertEquals(1, rollout.dueStep("d1", false, now + 500).attempt());
    assertNull(rollout.dueStep("d2", true, now + 500));
  }

  @Test
  void aHaltTakesBackWhatHasNotBegunAndWaitsForWhatHas() {
    begin(8);
    through("d1");
    settle(1_000);
    settle(0);
    granted("d2");
    assertEquals("d3", asked());
    granted("d3");
    assertEquals("d4", asked());
    put(with(doors.get("d4"), PermitState.WAITING));
    TargetStatus d2 = doors.get("d2");
    put(new TargetStatus("d2", "a", "1", false, 0, 2, 0, index, PermitState.GRANTED, false, ""));
    rollout.halt("halted by rui");
    settle(10);
    assertTrue(givenBack("d4"));
    assertNull(step("d4"));
    assertEquals(State.WITHDRAWN, step("d2"));
    assertNull(rollout.dueStep("d2", true, now));
    // Neither has said yet that it knows.
    settle(10);
    assertEquals(State.WITHDRAWN, step("d3"));
    put(new TargetStatus("d3", "a", "1", false, 0, 0, 0, index, PermitState.GRANTED, false, ""));
    put(new TargetStatus("d2", "a", "1", false, 0, 2, 0, index, PermitState.GRANTED, false, ""));
    settle(10);
    assertTrue(givenBack("d3"));
    assertFalse(givenBack("d2"));
    put(with(d2, PermitState.GRANTED));
    put(new TargetStatus("d2", "a", "2", false, 0, 0, 0, index, PermitState.GRANTED, false, ""));
    settle(10);
    assertTrue(givenBack("d2"));
    put(with(seen("d2", "2"), PermitState.NONE));
    put(with(seen("d3", "1"), PermitState.NONE));
    settle(10);
    assertTrue(state().hasStopped());
    assertEquals("halted by rui", state().why());
  }

  /** One that isn't reached may have begun, so nothing is said of it until it is. */
  @Test
  void aDoorThatIsNotReachedIsUnderWayUntilItIs() {
    begin(4);
    granted("d1");
    put(new TargetStatus("d1", "a", "", false, 4_000, 0, 0, Long.MAX_VALUE, PermitState.GRANTED, false, ""));
    rollout.halt("x");
    settle(10);
    settle(100_000);
    assertFalse(state().hasStopped());
    put(new TargetStatus("d1", "a", "1", false, 0, 0, 0, index, PermitState.GRANTED, false, ""));
    settle(10);
    assertTrue(givenBack("d1"));
  }

  @Test
  void anAttemptThatCameToNothingHalts() {
    begin(4);
    granted("d1");
    put(new TargetStatus("d1", "a", "1", false, 0, 1, 1, index, PermitState.GRANTED, false, ""));
    settle(10);
    assertTrue(givenBack("d1"));
    assertEquals(Mode.HALTED, state().mode());
    assertTrue(state().why().contains("d1 could not be replaced by 2"), state().why());
  }

  @Test
  void aStepAndAWaitThatTakeTooLongHalt() {
    begin(4);
    put(with(doors.get("d1"), PermitState.WAITING));
    settle(9_990);
    assertEquals(Mode.GOING, state().mode());
    settle(10);
    assertTrue(state().why().contains("others are out"), state().why());
    rollout.resume("ana", now);
    settle(10);
    assertNull(asked());
    put(with(doors.get("d1"), PermitState.NONE));
    settle(10);
    settle(10);
    assertEquals("d1", asked());
    granted("d1");
    settle(10_000);
    assertEquals(Mode.HALTED, state().mode());
    assertTrue(state().why().contains("d1 is not back with 2"), state().why());
  }

  @Test
  void goesBackOutOfTheMiddleOfAWaveAndOutOfAHaltOfTheWayBack() {
    begin(4);
    through("d1");
    settle(1_000);
    settle(0);
    granted("d2");
    // It has begun, and ends as the new one.
    put(new TargetStatus("d2", "b", "1", false, 0, 2, 0, 0, PermitState.GRANTED, false, ""));
    rollout.rollBack("ana", now);
    settle(10);
    assertEquals(Course.BACK, state().course());
    assertEquals(State.WITHDRAWN, step("d2"));
    assertEquals("d1", asked());
    put(with(doors.get("d1"), PermitState.WAITING));
    rollout.halt("halted by rui");
    settle(10);
    put(with(doors.get("d1"), PermitState.NONE));
    put(new TargetStatus("d2", "b", "2", false, 0, 0, 0, 0, PermitState.GRANTED, false, ""));
    settle(10);
    put(with(seen("d2", "2"), PermitState.NONE));
    settle(10);
    assertTrue(state().hasStopped());
    rollout.rollBack("ana", now);
    settle(10);
    through("d1");
    through("d2");
    settle(0);
    assertEquals(Mode.ENDED, state().mode());
    assertEquals(4, state().countWithVersion("1"));
  }

  @Test
  void aPauseLetsWhatIsUnderWayEndAndBeginsNothing() {
    begin(4);
    granted("d1");
    rollout.pause("ana");
    settle(10);
    assertEquals(State.GOING, step("d1"));
    replaced("d1");
    settle(5_000);
    assertNull(asked());
    assertTrue(state().hasStopped());
    rollout.resume("ana", now);
    settle(10);
    settle(1_000);
    settle(0);
    assertEquals("d2", asked());
  }

  @Test
  void released() {
    begin(4);
    through("d1");
    put(new TargetStatus("d1", "a", "", false, 1_000, 0, 0, 0, PermitState.NONE, false, ""));
    settle(10);
    assertEquals(Mode.GOING, state().mode());
    put(new TargetStatus("d1", "a", "", false, 1_500, 0, 0, 0, PermitState.NONE, false, ""));
    settle(10);
    assertEquals(Mode.HALTED, state().mode());
    assertEquals("released doors are lost: d1; of the 3 others 0", state().why());
  }

  /** With its zone, by no fault of its version. */
  @Test
  void aReleasedDoorThatIsLostWithOthersDoesNotHalt() {
    begin(4);
    through("d1");
    put(new TargetStatus("d1", "a", "", false, 5_000, 0, 0, 0, PermitState.NONE, false, ""));
    put(new TargetStatus("d3", "a", "", false, 4_900, 0, 0, 0, PermitState.NONE, false, ""));
    settle(10);
    assertEquals(Mode.GOING, state().mode());
  }

  @Test
  void aDoorThatFallsBackByItselfHalts() {
    begin(4);
    through("d1");
    put(seen("d1", "1"));
    settle(10);
    assertEquals(Mode.HALTED, state().mode());
    assertEquals("back on an older version by themselves: d1", state().why());
  }

  /** Down between the versions: it comes back with either, and gets what it is to have. */
  @Test
  void aDoorThatDiedInItsStepIsWaitedForAndThenReplaced() {
    begin(2);
    granted("d1");
    put(new TargetStatus("d1", "a", "", false, 3_000, 0, 0, Long.MAX_VALUE, PermitState.GRANTED, false, ""));
    settle(10);
    assertEquals(State.GOING, step("d1"));
    put(new TargetStatus("d1", "a", "1", false, 0, 0, 0, index, PermitState.GRANTED, false, ""));
    settle(10);
    assertEquals(1, rollout.dueStep("d1", true, now).attempt());
    replaced("d1");
  }

  @Test
  void aDoorThatIsForgottenIsNotWaitedForAndOneThatJoinsComesLast() {
    begin(2);
    through("d1");
    doors.remove("d2");
    put(seen("d9", "1"));
    settle(1_000);
    settle(1_000);
    settle(0);
    through("d9");
    settle(1_000);
    settle(0);
    settle(1_000);
    assertEquals(Mode.ENDED, state().mode());
  }

  @Test
  void aDoorThatIsAwayIsNotCountedAsReleased() {
    begin(2);
    through("d1");
    put(new TargetStatus("d2", "b", "", false, 9_000, 0, 0, 0, PermitState.NONE, false, ""));
    settle(5_000);
    settle(5_000);
    settle(5_000);
    assertEquals(Mode.GOING, state().mode());
    assertEquals(List.of("d2"), rollout.unreachableDoors());
    put(seen("d2", "1"));
    settle(10);
    through("d2");
  }

  @Test
  void doorsThatOthersHaveOutAreLeftToThem() {
    begin(2);
    rollout = Rollout.begin(1, "r", "ana", PLAN, now, List.copyOf(doors.values()), 0);
    put(new TargetStatus("d1", "a", "1", true, 0, 0, 0, 0, PermitState.NONE, true, ""));
    settle(0);
    assertNull(asked());
    put(seen("d1", "1"));
    settle(0);
    assertEquals("d1", asked());
  }

  @Test
  void aSnapshotInTheMiddleGoesOnAsItWould() {
    begin(4);
    granted("d1");
    rollout = new Rollout(rollout.state());
    assertEquals(1, rollout.dueStep("d1", true, now).attempt());
    replaced("d1");
  }

  @Test
  void refusesAThirdVersionAndPlansThatAreNone() {
    put(seen("d1", "3"));
    assertTrue(assertThrows(IllegalArgumentException.class, () -> Rollout.begin(1, "r", "ana", PLAN, now,
        List.copyOf(doors.values()), 0)).getMessage().contains("d1 has version 3"));
    assertThrows(IllegalArgumentException.class, () -> Rollout.begin(1, "r", "ana", PLAN, now, List.of(),
        0));
    for (String bad : new String[] {"", "-x", "../x", "a b", "x".repeat(65)}) {
      assertThrows(IllegalArgumentException.class, () -> plan("1", bad, 1.0));
    }
    assertThrows(IllegalArgumentException.class, () -> plan("1", "1", 1.0));
    assertThrows(IllegalArgumentException.class, () -> plan("1", "2"));
    assertThrows(IllegalArgumentException.class, () -> plan("1", "2", 0.5));
    assertThrows(IllegalArgumentException.class, () -> plan("1", "2", 0.5, 0.4, 1.0));
    assertThrows(IllegalArgumentException.class,
        () -> new Plan(Plan.Kind.DOORS, "1", "2", List.of(1.0), -1, 0,
        1, 0,
        Comparison.DEFAULT));
    assertThrows(IllegalArgumentException.class, () -> new Comparison(2, 1, 0.1, 1));
    assertThrows(IllegalArgumentException.class, () -> new Comparison(1, 2, 0, 1));
  }

  private static Plan plan(String from, String to, Double... waves) {
    return new Plan(Plan.Kind.DOORS, from, to, List.of(waves), 0, 0, 1, 0, Comparison.DEFAULT);
  }
}
