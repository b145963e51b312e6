package willowdoor.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import willowdoor.policy.AnswerLifecycle.State;

/** Histories of answers: what counts as progress, and when an answer counts as stalled. */
class AnswerLifecycleStatesTest {

  private static final double DEADLINE_MS = 3_000;
  private static final int PIECE_BYTES = 10_000;
  private final AnswerLifecycle answer = new AnswerLifecycle(DEADLINE_MS, true);

  @Test
  void anAnswerThatGivesOnAndOnNeverStalls() {
    answer.onHead(0, -1, true);
    assertEquals(State.HEAD, answer.state(900));
    for (double now = 900; now < 20_000; now += 900) {
      answer.onBody(now, PIECE_BYTES);
      assertEquals(State.PROGRESS, answer.state(now + 899));
      assertTrue(answer.isUnderWay(now + 899));
    }
  }

  @Test
  void aSilentAnswerStallsAndIsNotPassedOnThen() {
    answer.onHead(0, -1, true);
    answer.onBody(10, PIECE_BYTES);
    assertTrue(answer.mayBePassedOn(900));
    assertEquals(State.STALLED, answer.state(answer.givenUpAtMs()));
    assertFalse(answer.mayBePassedOn(answer.givenUpAtMs()));
    assertFalse(answer.isUnderWay(answer.givenUpAtMs()));
  }

  @Test
  void anAnswerIsPassedOnAtItsTimeOnlyIfItMayBeLong() {
    answer.onHead(0, PIECE_BYTES, true);
    answer.onBody(10, 1);
    assertFalse(answer.mayBePassedOn(20), "its last byte is due in time");
    AnswerLifecycle error = new AnswerLifecycle(DEADLINE_MS, true);
    error.onHead(0, -1, false);
    assertFalse(error.mayBePassedOn(20), "an error is no answer for the client");
  }

  @Test
  void anAnswerIsPassedOnAfterASecondIfItGivesOn() {
    answer.onHead(0, -1, true);
    answer.onBody(10, PIECE_BYTES);
    assertFalse(answer.isDueToPassOn(1_005), "it may have stalled");
    answer.onBody(1_006, PIECE_BYTES);
    assertTrue(answer.isDueToPassOn(1_007));
  }

  @Test
  void aPassedOnAnswerIsGivenUpInTimeUntilItIsKnownToBeLong() {
    AnswerLifecycle early = new AnswerLifecycle(600, true);
    early.onHead(10, -1, true);
    early.onBody(20, PIECE_BYTES);
    early.onPassedOn();
    assertTrue(early.givenUpAtMs() <= 600 + 500, "the client hears of its end in time");
    early.onBody(1_000, AnswerLifecycle.MAX_SHORT_BYTES);
    assertTrue(early.givenUpAtMs() > 10_000, "a long answer may pause for seconds");
  }

  /** Guards against a long answer that is cut off in a pause, although its client still waits. */
  @Test
  void noSilenceBeforeItsClientsTimeEndsAnAnswerThatIsPassedOn() {
    answer.onHead(0, -1, true);
    answer.onBody(10, PIECE_BYTES);
    answer.onPassedOn();
    assertEquals(State.PASSED_ON, answer.state(DEADLINE_MS + 449));
    answer.onBody(DEADLINE_MS + 449, AnswerLifecycle.MAX_SHORT_BYTES);
    assertEquals(State.PASSED_ON, answer.state(DEADLINE_MS + 10_000));
  }

  /** Guards against a sound answer that is cut off in its first pause, with no other to take its place. */
  @Test
  void aSilentAnswerThatNoOtherMayReplaceIsPassedOn() {
    AnswerLifecycle last = new AnswerLifecycle(DEADLINE_MS, false);
    last.onHead(0, -1, true);
    assertEquals(State.HEAD, last.state(2_500));
    last.onBody(2_500, 1);
    AnswerLifecycle early = new AnswerLifecycle(DEADLINE_MS, false);
    early.onHead(0, -1, true);
    early.onBody(10, 1);
    assertFalse(early.isDueToPassOn(1_009));
    assertEquals(1_010, early.nextCheckMs(1_005));
    assertTrue(early.isDueToPassOn(1_010));
    assertEquals(State.PROGRESS, early.state(2_000));
  }

  @Test
  void aSilentAnswerThatIsProbablyLongIsPassedOn() {
    answer.onHead(0, -1, true);
    answer.onBody(10, 3 * PIECE_BYTES);
    assertFalse(answer.isDueToPassOn(1_009));
    assertTrue(answer.isDueToPassOn(1_010));
  }

  /** Guards against an answer that is given up in a longer pause of a backend that has paused before. */
  @Test
  void aSilentAnswerWhoseBackendHasPausedBeforeIsPassedOn() {
    answer.onHead(0, -1, true);
    answer.onBody(10, 1);
    answer.onBody(100, 1);
    assertEquals(State.STALLED, answer.state(1_100), "pieces of one burst");
    answer.onBody(400, 1);
    assertEquals(State.PROGRESS, answer.state(2_000));
    assertTrue(answer.isDueToPassOn(1_400));
  }

  /** A head alone may be a long answer that comes late, or one that has stalled. */
  @Test
  void aHeadAloneIsWaitedForWhileAnotherAttemptHasTime() {
    answer.onHead(100, -1, true);
    assertEquals(State.HEAD, answer.state(DEADLINE_MS - 1_001));
    assertEquals(State.STALLED, answer.state(DEADLINE_MS - 1_000));
    AnswerLifecycle hurried = new AnswerLifecycle(1_800, true);
    hurried.onHead(100, -1, true);
    assertEquals(State.STALLED, hurried.state(1_600));
  }

  /** Guards against a short answer that its backend never ends, and whose client hears of no end. */
  @Test
  void aPassedOnAnswerThatIsStillShortAtItsClientsTimeIsLate() {
    answer.onHead(0, -1, true);
    answer.onBody(10, 1);
    answer.onPassedOn();
    for (double now = 100; now < DEADLINE_MS + 400; now += 100) {
      answer.onBody(now, 1);
      assertEquals(State.PASSED_ON, answer.state(now + 50));
    }
    answer.onBody(DEADLINE_MS + 449, 1);
    assertEquals(State.LATE, answer.state(DEADLINE_MS + 450));
  }

  /** Guards against a long answer that begins late and is cut off before it can be known to be long. */
  @Test
  void anAnswerThatBeganLateGoesOnAtThePaceOfALongOne() {
    double headMs = DEADLINE_MS - 100;
    answer.onHead(headMs, -1, true);
    answer.onPassedOn();
    assertEquals(State.PASSED_ON, answer.state(headMs + 999), "its body may come late");
    double bodyMs = headMs + 900;
    for (int i = 0; i < 6; i++) {
      answer.onBody(bodyMs + 100 * i, PIECE_BYTES);
      assertEquals(State.PASSED_ON, answer.state(bodyMs + 100 * i + 240));
    }
    assertEquals(State.LATE, answer.state(bodyMs + 6 * PIECE_BYTES / 40.0));
    AnswerLifecycle headAlone = new AnswerLifecycle(DEADLINE_MS, true);
    headAlone.onHead(headMs, -1, true);
    headAlone.onPassedOn();
    assertEquals(State.LATE, headAlone.state(headMs + 1_000));
  }

  @Test
  void aBodyOfKnownLengthThatIsShortIsDueToo() {
    answer.onHead(0, PIECE_BYTES, true);
    answer.onPassedOn();
    answer.onBody(DEADLINE_MS + 400, 1);
    assertEquals(State.LATE, answer.state(DEADLINE_MS + 450));
  }

  /** Guards against an answer that ends by a time in which it was not read, as its client took nothing. */
  @Test
  void theTimeInWhichTheClientTookNothingIsAdded() {
    answer.onHead(0, -1, true);
    answer.onPassedOn();
    answer.setHeldBack(2_000, true);
    answer.setHeldBack(8_000, false);
    answer.onBody(9_000, 1);
    assertEquals(State.PASSED_ON, answer.state(DEADLINE_MS + 6_000));
    assertEquals(State.LATE, answer.state(DEADLINE_MS + 6_450));
  }

  @Test
  void aClientThatTakesNothingDoesNotMakeItsBackendSilent() {
    answer.onHead(0, -1, true);
    answer.onPassedOn();
    answer.setHeldBack(100, true);
    assertEquals(State.PASSED_ON, answer.state(10_000));
    answer.onClientProgress(10_000);
    assertEquals(State.PASSED_ON, answer.state(20_000));
    assertEquals(State.STALLED, answer.state(26_000));
  }

  @Test
  void aWholeAnswerStallsNoMore() {
    answer.onHead(0, 5, true);
    answer.onWhole();
    assertEquals(State.WHOLE, answer.state(1e9));
    assertFalse(answer.isUnderWay(1));
  }
}
