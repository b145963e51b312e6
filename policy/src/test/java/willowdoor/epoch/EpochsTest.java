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

class EpochsTest {

  private static final EpochSettings TERMS = new EpochSettings(10_000, 1_000, 30_000);

  private EpochCoordinator epochs =
      new EpochCoordinator(
      new EpochState(TERMS, 0, PolicyDocument.NONE, PolicyDocument.NONE, null, List.of()));
  private final Map<String, EpochMember> members = new LinkedHashMap<>();
  private double now = 5_000;

  private void says(String name, long holds, long prepared, long refused) {
    members.put(name, new EpochMember(name, now + TERMS.fenceMs(),
        new Report(holds, prepared, refused, "too large")));
    settle();
  }

  private void settle() {
    epochs.advance(now, new ArrayList<>(members.values()));
  }

  private long propose(String text, long replaces) {
    return epochs.propose(now, text, PolicyDocument.hash(text), replaces, "ana", "more for all");
  }

  private Stage stage() {
    return epochs.state().change() == null ? null : epochs.state().change().stage();
  }

  private PastChange last() {
    List<PastChange> log = epochs.state().log();
    return log.get(log.size() - 1);
  }

  private static String refused(org.junit.jupiter.api.function.Executable what) {
    return assertThrows(IllegalArgumentException.class, what).getMessage();
  }

  private void both(long holds, long prepared) {
    says("d1/a", holds, prepared, 0);
    says("d2/a", holds, prepared, 0);
  }

  @Test
  void isPreparedDecidedHoldsAndIsKnown() {
    both(0, 0);
    assertEquals(1, propose("a", 0));
    says("d1/a", 0, 1, 0);
    assertEquals(Stage.PREPARING, stage());
    assertEquals("d2/a", epochs.describeBlockers(now, new ArrayList<>(members.values())));
    says("d2/a", 0, 1, 0);
    assertEquals(Stage.DECIDED, stage());
    assertEquals(now + TERMS.marginMs(), epochs.view(now).holdMs());
    now += 999;
    settle();
    assertEquals(0, epochs.view(now).current());
    now += 1;
    settle();
    assertEquals(Stage.HOLDS, stage());
    assertEquals(1, epochs.view(now).current());
    says("d1/a", 1, 0, 0);
    assertEquals("d2/a", epochs.describeBlockers(now, new ArrayList<>(members.values())));
    says("d2/a", 1, 0, 0);
    assertNull(stage());
    assertTrue(last().held());
    assertEquals("", epochs.describeBlockers(now, new ArrayList<>(members.values())));
    assertEquals("a", epochs.document(1).text());
  }

  @Test
  void oneNoAbortsIt() {
    both(0, 0);
    propose("a", 0);
    says("d1/a", 0, 1, 0);
    says("d2/a", 0, 0, 1);
    assertNull(stage());
    assertEquals("d2/a says no: too large", last().why());
    assertEquals(0, epochs.view(now).current());
    assertNull(epochs.document(1));
    assertEquals(2, propose("b", 0), "no epoch is given out twice");
  }

  /** A process that is not heard holds it up until it is fenced; one that is heard meanwhile, on. */
  @Test
  void whoIsNotHeardIsWaitedForUntilItIsFenced() {
    both(0, 0);
    propose("a", 0);
    says("d1/a", 0, 1, 0);
    now += TERMS.fenceMs() - 1;
    says("d1/a", 0, 1, 0);
    assertEquals(Stage.PREPARING, stage());
    says("d2/a", 0, 0, 0);
    now += 1;
    says("d1/a", 0, 1, 0);
    assertEquals(Stage.PREPARING, stage());
    now += TERMS.fenceMs();
    says("d1/a", 0, 1, 0);
    assertEquals(Stage.DECIDED, stage());
    now += TERMS.marginMs();
    says("d1/a", 1, 0, 0);
    assertNull(stage(), "nobody waits for the fenced one to say that it goes by it");
  }

  @Test
  void isAbortedWhereItTakesTooLong() {
    for (int i = 1; i < 12; i++) {
      says("d" + i + "/a", 0, 0, 0);
    }
    propose("a", 0);
    now += TERMS.prepareMs();
    members.replaceAll((name, x) -> new EpochMember(name, now + 1, x.word()));
    settle();
    assertEquals("not prepared within 30000 ms by d1/a, d2/a, d3/a, d4/a, d5/a and 6 others", last().why());
  }

  @Test
  void anOperatorAbortsItUntilItIsDecided() {
    both(0, 0);
    propose("a", 0);
    epochs.abort(now, 1, "rui");
    assertEquals("aborted by rui", last().why());
    assertEquals("epoch 1 is not under way: aborted by rui", refused(() -> epochs.abort(now, 1, "rui")));
    propose("b", 0);
    both(0, 2);
    assertTrue(refused(() -> epochs.abort(now, 2, "rui")).startsWith("epoch 2 is decided"));
    assertTrue(refused(() -> epochs.abort(now, 9, "rui")).equals("epoch 9 is not under way"));
    now += TERMS.marginMs();
    both(2, 0);
    assertEquals("epoch 2 is not under way: it came to hold", refused(() -> epochs.abort(now, 2, "rui")));
  }

  @Test
  void whatCannotBeProposedIsRefusedInWords() {
    both(0, 0);
    assertTrue(refused(() -> propose("a", 7)).startsWith("it replaces epoch 7, and epoch 0"));
    assertTrue(refused(() -> epochs.propose(now, "a", "wrong", 0, "ana", "")).contains("not whole"));
    assertTrue(refused(() -> propose("ä".repeat(PolicyDocument.MAX_BYTES / 2 + 1), 0))
        .contains("1000002 bytes"));
    propose("a", 0);
    assertEquals("epoch 1 by ana is under way: preparing", refused(() -> propose("b", 0)));
    assertThrows(IllegalStateException.class, () -> epochs.updateSettings(TERMS));
    assertThrows(IllegalArgumentException.class, () -> new EpochSettings(10, 20, 30));
    assertThrows(IllegalArgumentException.class, () -> new EpochSettings(10, 0, 30));
    assertThrows(IllegalArgumentException.class, () -> new EpochSettings(10, 5, 9));
  }

  /** The moment was by the clock of a leader who is gone. */
  @Test
  void anotherLeaderMakesTheMomentUnsureAndLater() {
    both(0, 0);
    propose("a", 0);
    epochs.onLeaderElected(now);
    assertEquals(Stage.PREPARING, stage());
    both(0, 1);
    now += 600;
    epochs.onLeaderElected(now);
    assertEquals(Stage.UNSURE, stage());
    now += 600;
    settle();
    assertEquals(Stage.UNSURE, stage());
    epochs.onLeaderElected(now);
    now += TERMS.marginMs();
    settle();
    assertEquals(Stage.HOLDS, stage());
    epochs.onLeaderElected(now);
    assertEquals(Stage.HOLDS, stage());
  }

  @Test
  void oneFromASnapshotGoesOnAsTheFirst() {
    both(0, 0);
    propose("a", 0);
    both(0, 1);
    epochs = new EpochCoordinator(epochs.state());
    assertEquals(Stage.DECIDED, stage());
    now += TERMS.marginMs();
    both(1, 0);
    epochs = new EpochCoordinator(epochs.state());
    assertEquals(1, epochs.view(now).current());
    assertTrue(last().held());
  }

  @Test
  void keepsTheLastChangesOnlyAndTheDocumentBefore() {
    for (int i = 1; i <= EpochCoordinator.MAX_PAST_CHANGES + 5; i++) {
      both(i - 1, 0);
      assertEquals(i, propose("text " + i, i - 1));
      both(i - 1, i);
      now += TERMS.marginMs();
      both(i, 0);
    }
    assertEquals(EpochCoordinator.MAX_PAST_CHANGES, epochs.state().log().size());
    int last = EpochCoordinator.MAX_PAST_CHANGES + 5;
    assertEquals("text " + last, epochs.document(last).text());
    assertEquals("text " + (last - 1), epochs.document(last - 1).text());
    assertNull(epochs.document(last - 2));
  }

  @Test
  void aReasonIsCutToItsBound() {
    assertEquals(Report.MAX_WHY_CHARS, new Report(0, 0, 1, "x".repeat(10_000)).why().length());
  }
}
