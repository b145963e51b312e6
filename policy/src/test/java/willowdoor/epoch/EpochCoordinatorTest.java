package willowdoor.epoch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import willowdoor.epoch.PolicyChange.Stage;
import willowdoor.epoch.EpochMember.Report;

class EpochCoordinatorTest {

  private static final EpochSettings SETTINGS = new EpochSettings(10_000, 1_000, 30_000);

  private EpochCoordinator coordinator = new EpochCoordinator(new EpochState(SETTINGS, 0, PolicyDocument.NONE,
      PolicyDocument.NONE, null, List.of()));
  private final Map<String, EpochMember> members = new LinkedHashMap<>();
  private double nowMs = 5_000;

  private void report(String name, long holds, long prepared, long refused) {
    members.put(name, new EpochMember(name, nowMs + SETTINGS.fenceMs(),
        new Report(holds, prepared, refused, "too large")));
    advance();
  }

  private void advance() {
    coordinator.advance(nowMs, new ArrayList<>(members.values()));
  }

  private long propose(String text, long replaces) {
    return coordinator.propose(nowMs, text, PolicyDocument.hash(text), replaces, "ana", "more for all");
  }

  private Stage stage() {
    return coordinator.state().change() == null ? null : coordinator.state().change().stage();
  }

  private PastChange lastPastChange() {
    List<PastChange> log = coordinator.state().log();
    return log.get(log.size() - 1);
  }

  private static String rejectionMessage(org.junit.jupiter.api.function.Executable call) {
    return assertThrows(IllegalArgumentException.class, call).getMessage();
  }

  private void reportFromBoth(long holds, long prepared) {
    report("d1/a", holds, prepared, 0);
    report("d2/a", holds, prepared, 0);
  }

  @Test
  void changeIsPreparedDecidedHeldAndCompleted() {
    reportFromBoth(0, 0);
    assertEquals(1, propose("a", 0));
    report("d1/a", 0, 1, 0);
    assertEquals(Stage.PREPARING, stage());
    assertEquals("d2/a", coordinator.describeBlockers(nowMs, new ArrayList<>(members.values())));
    report("d2/a", 0, 1, 0);
    assertEquals(Stage.DECIDED, stage());
    assertEquals(nowMs + SETTINGS.marginMs(), coordinator.view(nowMs).holdMs());
    nowMs += 999;
    advance();
    assertEquals(0, coordinator.view(nowMs).current());
    nowMs += 1;
    advance();
    assertEquals(Stage.HOLDS, stage());
    assertEquals(1, coordinator.view(nowMs).current());
    report("d1/a", 1, 0, 0);
    assertEquals("d2/a", coordinator.describeBlockers(nowMs, new ArrayList<>(members.values())));
    report("d2/a", 1, 0, 0);
    assertNull(stage());
    assertTrue(lastPastChange().held());
    assertEquals("", coordinator.describeBlockers(nowMs, new ArrayList<>(members.values())));
    assertEquals("a", coordinator.document(1).text());
  }

  @Test
  void oneRefusalAbortsTheChange() {
    reportFromBoth(0, 0);
    propose("a", 0);
    report("d1/a", 0, 1, 0);
    report("d2/a", 0, 0, 1);
    assertNull(stage());
    assertEquals("d2/a refuses the change: too large", lastPastChange().why());
    assertEquals(0, coordinator.view(nowMs).current());
    assertNull(coordinator.document(1));
    assertEquals(2, propose("b", 0), "an epoch is never assigned twice");
  }

  /** A silent process delays the change until it is fenced; a report in between extends the delay. */
  @Test
  void silentMemberIsAwaitedUntilFenced() {
    reportFromBoth(0, 0);
    propose("a", 0);
    report("d1/a", 0, 1, 0);
    nowMs += SETTINGS.fenceMs() - 1;
    report("d1/a", 0, 1, 0);
    assertEquals(Stage.PREPARING, stage());
    report("d2/a", 0, 0, 0);
    nowMs += 1;
    report("d1/a", 0, 1, 0);
    assertEquals(Stage.PREPARING, stage());
    nowMs += SETTINGS.fenceMs();
    report("d1/a", 0, 1, 0);
    assertEquals(Stage.DECIDED, stage());
    nowMs += SETTINGS.marginMs();
    report("d1/a", 1, 0, 0);
    assertNull(stage(), "the change completes without a report of the fenced process");
  }

  @Test
  void changeIsAbortedAfterThePrepareTimeout() {
    for (int i = 1; i < 12; i++) {
      report("d" + i + "/a", 0, 0, 0);
    }
    propose("a", 0);
    nowMs += SETTINGS.prepareMs();
    members.replaceAll((name, x) -> new EpochMember(name, nowMs + 1, x.word()));
    advance();
    assertEquals("not prepared within 30000 ms by d1/a, d2/a, d3/a, d4/a, d5/a and 6 others",
        lastPastChange().why());
  }

  @Test
  void operatorCanAbortUntilTheDecision() {
    reportFromBoth(0, 0);
    propose("a", 0);
    coordinator.abort(nowMs, 1, "rui");
    assertEquals("aborted by rui", lastPastChange().why());
    assertEquals("epoch 1 is not under way: aborted by rui",
        rejectionMessage(() -> coordinator.abort(nowMs, 1, "rui")));
    propose("b", 0);
    reportFromBoth(0, 2);
    assertTrue(rejectionMessage(() -> coordinator.abort(nowMs, 2, "rui")).startsWith("epoch 2 is decided"));
    assertTrue(rejectionMessage(() -> coordinator.abort(nowMs, 9, "rui")).equals("epoch 9 is not under way"));
    nowMs += SETTINGS.marginMs();
    reportFromBoth(2, 0);
    assertEquals("epoch 2 is not under way: it came into force",
        rejectionMessage(() -> coordinator.abort(nowMs, 2, "rui")));
  }

  @Test
  void invalidProposalsAreRejected() {
    reportFromBoth(0, 0);
    assertTrue(rejectionMessage(() -> propose("a", 7))
        .startsWith("the document replaces epoch 7, but epoch 0"));
    assertTrue(rejectionMessage(() -> coordinator.propose(nowMs, "a", "wrong", 0, "ana", ""))
        .contains("the document is corrupted"));
    assertTrue(rejectionMessage(() -> propose("ä".repeat(PolicyDocument.MAX_BYTES / 2 + 1), 0))
        .contains("1000002 bytes"));
    propose("a", 0);
    assertEquals("epoch 1 by ana is under way: preparing", rejectionMessage(() -> propose("b", 0)));
    assertThrows(IllegalStateException.class, () -> coordinator.updateSettings(SETTINGS));
    assertThrows(IllegalArgumentException.class, () -> new EpochSettings(10, 20, 30));
    assertThrows(IllegalArgumentException.class, () -> new EpochSettings(10, 0, 30));
    assertThrows(IllegalArgumentException.class, () -> new EpochSettings(10, 5, 9));
  }

  /** The switch time was defined by the clock of a leader that is gone. */
  @Test
  void newLeaderMakesTheSwitchTimeUnsureAndLater() {
    reportFromBoth(0, 0);
    propose("a", 0);
    coordinator.onLeaderElected(nowMs);
    assertEquals(Stage.PREPARING, stage());
    reportFromBoth(0, 1);
    nowMs += 600;
    coordinator.onLeaderElected(nowMs);
    assertEquals(Stage.UNSURE, stage());
    nowMs += 600;
    advance();
    assertEquals(Stage.UNSURE, stage());
    coordinator.onLeaderElected(nowMs);
    nowMs += SETTINGS.marginMs();
    advance();
    assertEquals(Stage.HOLDS, stage());
    coordinator.onLeaderElected(nowMs);
    assertEquals(Stage.HOLDS, stage());
  }

  @Test
  void coordinatorFromASnapshotContinuesTheChange() {
    reportFromBoth(0, 0);
    propose("a", 0);
    reportFromBoth(0, 1);
    coordinator = new EpochCoordinator(coordinator.state());
    assertEquals(Stage.DECIDED, stage());
    nowMs += SETTINGS.marginMs();
    reportFromBoth(1, 0);
    coordinator = new EpochCoordinator(coordinator.state());
    assertEquals(1, coordinator.view(nowMs).current());
    assertTrue(lastPastChange().held());
  }

  @Test
  void onlyRecentChangesAndThePreviousDocumentAreKept() {
    for (int i = 1; i <= EpochCoordinator.MAX_PAST_CHANGES + 5; i++) {
      reportFromBoth(i - 1, 0);
      assertEquals(i, propose("text " + i, i - 1));
      reportFromBoth(i - 1, i);
      nowMs += SETTINGS.marginMs();
      reportFromBoth(i, 0);
    }
    assertEquals(EpochCoordinator.MAX_PAST_CHANGES, coordinator.state().log().size());
    int last = EpochCoordinator.MAX_PAST_CHANGES + 5;
    assertEquals("text " + last, coordinator.document(last).text());
    assertEquals("text " + (last - 1), coordinator.document(last - 1).text());
    assertNull(coordinator.document(last - 2));
  }

  @Test
  void longReasonIsTruncated() {
    assertEquals(Report.MAX_WHY_CHARS, new Report(0, 0, 1, "x".repeat(10_000)).why().length());
  }
}
