package willowdoor.epoch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import willowdoor.epoch.PolicyChange.Stage;
import willowdoor.epoch.EpochAction.SendHeartbeatSoon;
import willowdoor.epoch.EpochAction.Drop;
import willowdoor.epoch.EpochAction.Prepare;
import willowdoor.epoch.EpochAction.Adopt;
import willowdoor.epoch.EpochAction.WakeAt;

/** Its clock is 100 s ahead of the record's time; heartbeats take 20 ms there and 20 ms back. */
class EpochSideTest {

  private static final double FENCE = 10_000;
  private static final double MARGIN = 1_000;
  private static final double AHEAD = 100_000;

  private EpochParticipant side = new EpochParticipant(0, false, 0);
  private long number;

  private List<EpochAction> heard(double recordMs, long current, long next, Stage stage, double holdMs) {
    return heard(++number, recordMs, current, next, stage, holdMs);
  }

  private List<EpochAction> heard(long ofBeat, double recordMs, long current, long next, Stage stage,
      double holdMs) {
    return side.handle(AHEAD + recordMs + 20, new EpochEvent.HeartbeatAnswered(ofBeat, AHEAD + recordMs - 20,
        new EpochView(recordMs, current, "h" + current, next, "h" + next, stage, holdMs, FENCE, MARGIN)));
  }

  private List<EpochAction> ready(double recordMs, long epoch) {
    return side.handle(AHEAD + recordMs, new EpochEvent.Ready(epoch));
  }

  private List<EpochAction> woken(double recordMs) {
    return side.handle(AHEAD + recordMs, new EpochEvent.TimerFired());
  }

  private void by(double recordMs, long epoch, long also) {
    ActivePolicy by = side.policyAt(AHEAD + recordMs);
    assertEquals(List.of(epoch, also), List.of(by.epoch(), by.also()), "at " + recordMs);
  }

  private void refuses(double recordMs) {
    assertTrue(side.policyAt(AHEAD + recordMs).refuses(), "at " + recordMs);
  }

  private static boolean has(List<EpochAction> actions, EpochAction action) {
    return actions.contains(action);
  }

  @Test
  void refusesUntilItIsToldWhatHolds() {
    refuses(0);
    assertTrue(side.handle(AHEAD, new EpochEvent.TimerFired()).isEmpty());
    heard(1_000, 0, 0, null, 0);
    by(1_020, 0, -1);
  }

  /** From the heartbeat's sending on, not from its answer. */
  @Test
  void decidesNothingAfterItsFence() {
    heard(1_000, 0, 0, null, 0);
    by(980 + FENCE - 1, 0, -1);
    refuses(980 + FENCE);
    heard(20_000, 0, 0, null, 0);
    by(20_020, 0, -1);
  }

  @Test
  void aClockThatMayRunWrongMakesItSooner() {
    side = new EpochParticipant(0.1, false, 0);
    heard(1_000, 0, 0, null, 0);
    by(980 + FENCE * 0.9 / 1.1 - 1, 0, -1);
    refuses(980 + FENCE * 0.9 / 1.1 + 1);
    assertThrows(IllegalArgumentException.class, () -> new EpochParticipant(0.5, false, 0));
    assertThrows(IllegalArgumentException.class, () -> new EpochParticipant(Double.NaN, false, 0));
  }

  @Test
  void preparesSaysYesAndGoesOverAtTheMoment() {
    assertTrue(has(heard(1_000, 0, 1, Stage.PREPARING, 0), new Prepare(1, "h1")));
    assertFalse(has(heard(1_100, 0, 1, Stage.PREPARING, 0), new Prepare(1, "h1")), "once");
    List<EpochAction> yes = ready(1_200, 1);
    assertTrue(has(yes, new SendHeartbeatSoon()));
    assertEquals(1, side.report().prepared());
    by(1_200, 0, -1);
    assertTrue(has(heard(1_300, 0, 1, Stage.DECIDED, 2_300), new WakeAt(AHEAD + 2_280)));
    by(2_279, 0, -1);
    // The moment may be from 2,280 to 2,320 of the record's time by this clock.
    by(2_280, 0, 1);
    by(2_319, 0, 1);
    by(2_320, 1, -1);
    assertEquals(0, side.report().holds());
    assertTrue(has(woken(2_321), new Adopt(1)));
    assertEquals(1, side.report().holds());
    by(2_400, 1, -1);
    heard(2_500, 1, 1, Stage.HOLDS, 2_300);
    by(2_520, 1, -1);
    heard(2_600, 1, 0, null, 0);
    by(2_620, 1, -1);
  }

  /** It said yes, and hears nothing: the decision may have come at any moment since it last heard. */
  @Test
  void afterItsYesItGoesByTheOldOneForAMarginOnly() {
    heard(1_000, 0, 1, Stage.PREPARING, 0);
    ready(1_100, 1);
    by(980 + MARGIN - 1, 0, -1);
    refuses(980 + MARGIN);
    heard(3_000, 0, 1, Stage.PREPARING, 0);
    by(3_020, 0, -1);
  }

  @Test
  void orServesWhatPassesUnderBothUntilItsFence() {
    side = new EpochParticipant(0, true, 0);
    heard(1_000, 0, 1, Stage.PREPARING, 0);
    ready(1_100, 1);
    by(980 + MARGIN, 0, 1);
    by(980 + FENCE - 1, 0, 1);
    refuses(980 + FENCE);
  }

  @Test
  void withoutAYesNoDecisionCanComeButByItsFence() {
    heard(1_000, 0, 1, Stage.PREPARING, 0);
    by(980 + FENCE - 1, 0, -1);
    refuses(980 + FENCE);
  }

  @Test
  void whatIsAbortedIsDropped() {
    heard(1_000, 0, 1, Stage.PREPARING, 0);
    ready(1_100, 1);
    assertTrue(has(heard(1_200, 0, 0, null, 0), new Drop(1)));
    assertEquals(0, side.report().prepared());
    by(1_200 + MARGIN + 1_000, 0, -1);
    assertTrue(has(heard(4_000, 0, 2, Stage.PREPARING, 0), new Prepare(2, "h2")));
  }

  @Test
  void saysNoWithItsReason() {
    heard(1_000, 0, 1, Stage.PREPARING, 0);
    assertTrue(
        has(side.handle(AHEAD + 1_100, new EpochEvent.PrepareFailed(1, "plans: 10000 of 1000")),
        new SendHeartbeatSoon()));
    assertEquals(new EpochMember.Report(0, 0, 1, "plans: 10000 of 1000"), side.report());
    assertTrue(side.handle(AHEAD + 1_100, new EpochEvent.PrepareFailed(7, "not asked")).size() == 1);
    ready(1_200, 7);
    assertEquals(0, side.report().prepared(), "nobody asked for that");
  }

  /** It was fenced while others decided: it refuses from the moment on until it has the document. */
  @Test
  void whoIsNotReadyRefusesFromTheMomentOn() {
    heard(1_000, 0, 1, Stage.DECIDED, 2_000);
    by(1_979, 0, -1);
    refuses(1_980);
    ready(2_500, 1);
    by(2_500, 1, -1);
  }

  @Test
  void whoComesBackLaterGetsWhatIsInForce() {
    heard(1_000, 0, 0, null, 0);
    assertTrue(has(heard(50_000, 3, 4, Stage.PREPARING, 0), new Prepare(3, "h3")));
    refuses(50_020);
    List<EpochAction> then = ready(50_100, 3);
    assertTrue(has(then, new Adopt(3)) && has(then, new Prepare(4, "h4")), then::toString);
    by(50_100, 3, -1);
  }

  /** By its file it goes only if the record says that this is still in force. */
  @Test
  void aFileFromBeforeIsGoneByOnlyOnTheRecordsWord() {
    side = new EpochParticipant(0, false, 3);
    refuses(0);
    heard(1_000, 3, 0, null, 0);
    by(1_020, 3, -1);
    side = new EpochParticipant(0, false, 2);
    heard(2_000, 3, 0, null, 0);
    refuses(2_020);
  }

  /** Others may believe the old leader's moment past: it goes by neither alone. */
  @Test
  void whileTheMomentIsUnsureItGoesByBoth() {
    heard(1_000, 0, 1, Stage.PREPARING, 0);
    ready(1_100, 1);
    heard(1_200, 0, 1, Stage.UNSURE, 2_200);
    by(1_220, 0, 1);
    by(2_219, 0, 1);
    by(2_220, 1, -1);
  }

  @Test
  void anAnswerThatAnotherHasOvertakenTellsNothing() {
    heard(5, 1_000, 0, 1, Stage.DECIDED, 2_000);
    heard(4, 900, 0, 1, Stage.PREPARING, 0);
    refuses(1_980);
    heard(6, 800, 0, 0, null, 0);
    refuses(1_980);
  }

  /** A process that was stopped looks at its clock before it decides. */
  @Test
  void whatHeldBeforeAStopIsLookedAtAnew() {
    heard(1_000, 0, 1, Stage.PREPARING, 0);
    ready(1_100, 1);
    heard(1_200, 0, 1, Stage.DECIDED, 2_200);
    by(1_300, 0, -1);
    by(9_000, 1, -1);
    refuses(1_180 + FENCE);
  }
}
