package willowdoor.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

class EvidenceTest {

  private static final int ROUNDS = 120;

  /**
   * One of ten doors is released; released doors and others refuse the given shares of their requests, both
   * of which rise and fall together.
   */
  private static int roundsUntilAlarm(long seed, double released, double others, Comparison comparison) {
    Random random = new Random(seed);
    Evidence evidence = Evidence.empty(0);
    for (int round = 1; round <= ROUNDS; round++) {
      double surge = 1 + Math.sin(round / 7.0);
      evidence = evidence.with(true, tally(random, 20, released * surge))
          .with(false, tally(random, 180, others * surge)).withRoundClosed(round * 1_000.0, comparison);
      if (evidence.describeRegression(comparison) != null) {
        return round;
      }
    }
    return Integer.MAX_VALUE;
  }

  private static Tally tally(Random random, int asked, double refusedShare) {
    int refused = 0;
    for (int i = 0; i < asked; i++) {
      refused += random.nextDouble() < refusedShare ? 1 : 0;
    }
    return new Tally(asked, refused, 0, 0);
  }

  /** The rate is exactly at the tolerated ratio, where false alarms are most likely. */
  @Test
  void falseAlarmsStayBelowTheStatedProbability() {
    Comparison comparison = new Comparison(1.25, 2.5, 0.05, 1);
    int alarms = 0;
    for (int seed = 1; seed <= 1_000; seed++) {
      alarms += roundsUntilAlarm(seed, 0.04 * 1.25, 0.04, comparison) <= ROUNDS ? 1 : 0;
    }
    // The bound is about 17 of 1,000, a third of 0.05, as only one of the three kinds is simulated.
    assertTrue(alarms <= 30 && alarms > 0, alarms + " of 1,000");
  }

  @Test
  void tenPercentMoreRefusalsAreDetectedWithinAMinute() {
    int found = 0;
    for (int seed = 1; seed <= 200; seed++) {
      found += roundsUntilAlarm(seed, 0.14, 0.04, Comparison.DEFAULT) <= 60 ? 1 : 0;
    }
    assertTrue(found >= 198, found + " of 200");
  }

  @Test
  void describesWhatIsWorse() {
    Evidence evidence = Evidence.empty(0);
    assertNull(evidence.describeRegression(Comparison.DEFAULT));
    for (int round = 1; round <= 20; round++) {
      evidence = evidence.with(true, new Tally(10, 0, 4, 0)).with(false, new Tally(90, 1, 0, 2))
          .withRoundClosed(round * 1_000.0, Comparison.DEFAULT);
    }
    assertEquals("released doors do worse: failed 80 of 200, the others 0 of 1800",
        evidence.describeRegression(Comparison.DEFAULT));
  }

  /** A round adds no evidence before it ends, or if only one side received requests. */
  @Test
  void roundsWithoutAComparisonAddNoEvidence() {
    Evidence evidence = Evidence.empty(0).with(true, new Tally(100, 100, 0, 0));
    assertEquals(evidence, evidence.withRoundClosed(999, Comparison.DEFAULT));
    assertNull(evidence.withRoundClosed(1_000, Comparison.DEFAULT).describeRegression(Comparison.DEFAULT));
  }

  /** A restarted process counts from zero again. */
  @Test
  void lowerCountsBelongToAnotherProcess() {
    assertEquals(Tally.NONE, new Tally(3, 0, 0, 0).since(new Tally(9, 0, 0, 0)));
    assertEquals(new Tally(6, 1, 0, 2), new Tally(9, 1, 0, 3).since(new Tally(3, 0, 0, 1)));
  }
}
