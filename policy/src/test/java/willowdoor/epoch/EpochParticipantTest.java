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

/** The door's clock is 100 s ahead of the replicated time; heartbeats take 20 ms in each direction. */
class EpochParticipantTest {

  private static final double FENCE_MS = 10_000;
  private static final double MARGIN_MS = 1_000;
  private static final double CLOCK_OFFSET_MS = 100_000;

  private EpochParticipant participant = new EpochParticipant(0, false, 0);
  private long heartbeatNumber;

  private List<EpochAction> answerHeartbeat(double recordMs, long current, long next, Stage stage,
      double holdMs) {
    return answerHeartbeat(++heartbeatNumber, recordMs, current, next, stage, holdMs);
  }

  private List<EpochAction> answerHeartbeat(long answeredNumber, double recordMs, long current, long next,
      Stage stage,
      double holdMs) {
    return participant.handle(CLOCK_OFFSET_MS + recordMs + 20,
        new EpochEvent.HeartbeatAnswered(answeredNumber, CLOCK_OFFSET_MS + recordMs - 20,
        new EpochView(recordMs, current, "h" + current, next, "h" + next, stage, holdMs, FENCE_MS,
        MARGIN_MS)));
  }

  private List<EpochAction> reportReady(double recordMs, long epoch) {
    return participant.handle(CLOCK_OFFSET_MS + recordMs, new EpochEvent.Ready(epoch));
  }

  private List<EpochAction> fireTimer(double recordMs) {
    return participant.handle(CLOCK_OFFSET_MS + recordMs, new EpochEvent.TimerFired());
  }

  private void assertPolicy(double recordMs, long epoch, long also) {
    ActivePolicy policy = participant.policyAt(CLOCK_OFFSET_MS + recordMs);
    assertEquals(List.of(epoch, also), List.of(policy.epoch(), policy.also()), "at " + recordMs);
  }

  private void assertRefuses(double recordMs) {
    assertTrue(participant.policyAt(CLOCK_OFFSET_MS + recordMs).refuses(), "at " + recordMs);
  }

  private static boolean containsAction(List<EpochAction> actions, EpochAction action) {
    return actions.contains(action);
  }

  @Test
  void refusesUntilTheFirstAnswer() {
    assertRefuses(0);
    assertTrue(participant.handle(CLOCK_OFFSET_MS, new EpochEvent.TimerFired()).isEmpty());
    answerHeartbeat(1_000, 0, 0, null, 0);
    assertPolicy(1_020, 0, -1);
  }

  /** The fence counts from the sending of the heartbeat, not from its answer. */
  @Test
  void refusesAfterTheFence() {
    answerHeartbeat(1_000, 0, 0, null, 0);
    assertPolicy(980 + FENCE_MS - 1, 0, -1);
    assertRefuses(980 + FENCE_MS);
    answerHeartbeat(20_000, 0, 0, null, 0);
    assertPolicy(20_020, 0, -1);
  }

  @Test
  void clockDriftBringsTheFenceForward() {
    participant = new EpochParticipant(0.1, false, 0);
    answerHeartbeat(1_000, 0, 0, null, 0);
    assertPolicy(980 + FENCE_MS * 0.9 / 1.1 - 1, 0, -1);
    assertRefuses(980 + FENCE_MS * 0.9 / 1.1 + 1);
    assertThrows(IllegalArgumentException.class, () -> new EpochParticipant(0.5, false, 0));
    assertThrows(IllegalArgumentException.class, () -> new EpochParticipant(Double.NaN, false, 0));
  }

  @Test
  void preparesReportsReadyAndSwitchesAtTheAgreedTime() {
    assertTrue(containsAction(answerHeartbeat(1_000, 0, 1, Stage.PREPARING, 0), new Prepare(1, "h1")));
    assertFalse(containsAction(answerHeartbeat(1_100, 0, 1, Stage.PREPARING, 0), new Prepare(1, "h1")),
        "prepared only once");
    List<EpochAction> yes = reportReady(1_200, 1);
    assertTrue(containsAction(yes, new SendHeartbeatSoon()));
    assertEquals(1, participant.report().prepared());
    assertPolicy(1_200, 0, -1);
    assertTrue(containsAction(answerHeartbeat(1_300, 0, 1, Stage.DECIDED, 2_300),
        new WakeAt(CLOCK_OFFSET_MS + 2_280)));
    assertPolicy(2_279, 0, -1);
    // By the door's clock, the switch time of 2,300 is reached between 2,280 and 2,320.
    assertPolicy(2_280, 0, 1);
    assertPolicy(2_319, 0, 1);
    assertPolicy(2_320, 1, -1);
    assertEquals(0, participant.report().holds());
    assertTrue(containsAction(fireTimer(2_321), new Adopt(1)));
    assertEquals(1, participant.report().holds());
    assertPolicy(2_400, 1, -1);
    answerHeartbeat(2_500, 1, 1, Stage.HOLDS, 2_300);
    assertPolicy(2_520, 1, -1);
    answerHeartbeat(2_600, 1, 0, null, 0);
    assertPolicy(2_620, 1, -1);
  }

  /** The decision may have been made at any time since the last answered heartbeat. */
  @Test
  void readyDoorUsesTheOldPolicyForOneMarginWithoutContact() {
    answerHeartbeat(1_000, 0, 1, Stage.PREPARING, 0);
    reportReady(1_100, 1);
    assertPolicy(980 + MARGIN_MS - 1, 0, -1);
    assertRefuses(980 + MARGIN_MS);
    answerHeartbeat(3_000, 0, 1, Stage.PREPARING, 0);
    assertPolicy(3_020, 0, -1);
  }

  @Test
  void readyDoorMayServeUnderBothPoliciesUntilTheFence() {
    participant = new EpochParticipant(0, true, 0);
    answerHeartbeat(1_000, 0, 1, Stage.PREPARING, 0);
    reportReady(1_100, 1);
    assertPolicy(980 + MARGIN_MS, 0, 1);
    assertPolicy(980 + FENCE_MS - 1, 0, 1);
    assertRefuses(980 + FENCE_MS);
  }

  @Test
  void unreadyDoorUsesTheOldPolicyUntilTheFence() {
    answerHeartbeat(1_000, 0, 1, Stage.PREPARING, 0);
    assertPolicy(980 + FENCE_MS - 1, 0, -1);
    assertRefuses(980 + FENCE_MS);
  }

  @Test
  void abortedDocumentIsDropped() {
    answerHeartbeat(1_000, 0, 1, Stage.PREPARING, 0);
    reportReady(1_100, 1);
    assertTrue(containsAction(answerHeartbeat(1_200, 0, 0, null, 0), new Drop(1)));
    assertEquals(0, participant.report().prepared());
    assertPolicy(1_200 + MARGIN_MS + 1_000, 0, -1);
    assertTrue(containsAction(answerHeartbeat(4_000, 0, 2, Stage.PREPARING, 0), new Prepare(2, "h2")));
  }

  @Test
  void reportsRefusalWithItsReason() {
    answerHeartbeat(1_000, 0, 1, Stage.PREPARING, 0);
    assertTrue(containsAction(participant.handle(CLOCK_OFFSET_MS + 1_100,
        new EpochEvent.PrepareFailed(1, "plans: 10000 of 1000")), new SendHeartbeatSoon()));
    assertEquals(new EpochMember.Report(0, 0, 1, "plans: 10000 of 1000"), participant.report());
    assertTrue(participant.handle(CLOCK_OFFSET_MS + 1_100, new EpochEvent.PrepareFailed(7, "not asked"))
        .size() == 1);
    reportReady(1_200, 7);
    assertEquals(0, participant.report().prepared(), "epoch 7 was not requested");
  }

  /** The door was fenced when the change was decided; it refuses requests until it has the document. */
  @Test
  void unreadyDoorRefusesFromTheSwitchOn() {
    answerHeartbeat(1_000, 0, 1, Stage.DECIDED, 2_000);
    assertPolicy(1_979, 0, -1);
    assertRefuses(1_980);
    reportReady(2_500, 1);
    assertPolicy(2_500, 1, -1);
  }

  @Test
  void returningDoorFetchesTheCurrentPolicyFirst() {
    answerHeartbeat(1_000, 0, 0, null, 0);
    assertTrue(containsAction(answerHeartbeat(50_000, 3, 4, Stage.PREPARING, 0), new Prepare(3, "h3")));
    assertRefuses(50_020);
    List<EpochAction> then = reportReady(50_100, 3);
    assertTrue(containsAction(then, new Adopt(3)) && containsAction(then, new Prepare(4, "h4")),
        then::toString);
    assertPolicy(50_100, 3, -1);
  }

  /** The stored document is used only if the first answer names it as the one in force. */
  @Test
  void keptDocumentIsUsedOnlyIfStillInForce() {
    participant = new EpochParticipant(0, false, 3);
    assertRefuses(0);
    answerHeartbeat(1_000, 3, 0, null, 0);
    assertPolicy(1_020, 3, -1);
    participant = new EpochParticipant(0, false, 2);
    answerHeartbeat(2_000, 3, 0, null, 0);
    assertRefuses(2_020);
  }

  /**
   * Other doors may believe that the old leader's switch time has passed, so neither policy decides alone.
   */
  @Test
  void requiresBothPoliciesWhileTheSwitchTimeIsUnsure() {
    answerHeartbeat(1_000, 0, 1, Stage.PREPARING, 0);
    reportReady(1_100, 1);
    answerHeartbeat(1_200, 0, 1, Stage.UNSURE, 2_200);
    assertPolicy(1_220, 0, 1);
    assertPolicy(2_219, 0, 1);
    assertPolicy(2_220, 1, -1);
  }

  @Test
  void overtakenAnswersAreIgnored() {
    answerHeartbeat(5, 1_000, 0, 1, Stage.DECIDED, 2_000);
    answerHeartbeat(4, 900, 0, 1, Stage.PREPARING, 0);
    assertRefuses(1_980);
    answerHeartbeat(6, 800, 0, 0, null, 0);
    assertRefuses(1_980);
  }

  /** After a suspension, the next decision depends on the current time, not on the earlier result. */
  @Test
  void policyIsRecomputedAfterAProcessStall() {
    answerHeartbeat(1_000, 0, 1, Stage.PREPARING, 0);
    reportReady(1_100, 1);
    answerHeartbeat(1_200, 0, 1, Stage.DECIDED, 2_200);
    assertPolicy(1_300, 0, -1);
    assertPolicy(9_000, 1, -1);
    assertRefuses(1_180 + FENCE_MS);
  }
}
