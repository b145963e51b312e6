package willowdoor.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import willowdoor.recovery.WatchAction.Check;
import willowdoor.recovery.WatchAction.Origin;
import willowdoor.recovery.WatchAction.Replaced;
import willowdoor.recovery.WatchAction.WakeAt;
import willowdoor.recovery.WatchEvent.CheckEnded;
import willowdoor.recovery.WatchEvent.Connected;
import willowdoor.recovery.WatchEvent.Woken;

/** A watch of simulated counters that are emptied, restored from copies and slow to answer. */
class CounterWatchTest {

  /** A counter as in the protocol: totals by name, which expire after their time to live. */
  private static final class SimulatedCounter {
    private final Map<String, double[]> totals = new HashMap<>();

    double add(double now, Check c) {
      double[] entry = totals.get(c.name());
      if (entry == null || entry[1] < now) {
        entry = new double[] {0, now + c.ttlMs()};
        totals.put(c.name(), entry);
      }
      entry[0] += c.amount();
      return entry[0];
    }

    SimulatedCounter copy() {
      SimulatedCounter other = new SimulatedCounter();
      totals.forEach((n, entry) -> other.totals.put(n, entry.clone()));
      return other;
    }
  }

  private final CounterWatch watch = new CounterWatch("d1");
  private SimulatedCounter counter = new SimulatedCounter();

  /** Performs all checks among the actions at once; returns the reported replacement, or null. */
  private Replaced answerAll(double now, List<WatchAction> actions) {
    Replaced replaced = null;
    for (WatchAction a : new ArrayList<>(actions)) {
      if (a instanceof Replaced r) {
        replaced = r;
      } else if (a instanceof Check c) {
        Replaced further = answerAll(now, watch.on(now, new CheckEnded(c.number(), counter.add(now, c))));
        replaced = further == null ? replaced : further;
      }
    }
    return replaced;
  }

  private Replaced connect(double now) {
    return answerAll(now, watch.on(now, new Connected(0)));
  }

  private Replaced wake(double now) {
    return answerAll(now, watch.on(now, new Woken()));
  }

  @Test
  void theSameCounterIsNeverReportedAsReplaced() {
    assertEquals(null, connect(0));
    assertTrue(watch.hasConfirmedTotal());
    for (double t = 0; t < 600_000; t += 250) {
      assertEquals(null, wake(t), "at " + t);
    }
    assertEquals(1, watch.incarnation());
  }

  @Test
  void anEmptyCounterIsDetectedByTheFirstCall() {
    connect(0);
    counter = new SimulatedCounter();
    assertEquals(new Replaced(2, Origin.EMPTY, Double.NEGATIVE_INFINITY), connect(100));
    assertEquals(null, wake(400));
    counter = new SimulatedCounter();
    assertEquals(new Replaced(3, Origin.EMPTY, Double.NEGATIVE_INFINITY), wake(700));
  }

  @Test
  void aCopyIsDetectedOnlyIfItLacksTheLastCheck() {
    connect(0);
    SimulatedCounter copy = counter.copy();
    wake(300);
    SimulatedCounter whole = counter.copy();
    counter = copy;
    assertEquals(new Replaced(2, Origin.OLD_COPY, 0), connect(400), "the copy's last check is that at 0");
    connect(500);
    counter = counter.copy();
    assertEquals(null, connect(600));
    assertFalse(whole.totals.isEmpty());
  }

  /** The copy is older than the current name; only the retired name shows that it is a copy, and its age. */
  @Test
  void aCopyOlderThanTheCurrentNameIsDistinguishedFromAnEmptyCounter() {
    for (double t = 0; t <= 24_000; t += 250) {
      wake(t);
    }
    SimulatedCounter copy = counter.copy();
    for (double t = 24_250; t <= 28_000; t += 250) {
      wake(t);
    }
    counter = copy;
    assertEquals(new Replaced(2, Origin.OLD_COPY, 24_000), connect(28_100));
    assertEquals(null, wake(28_500));
    counter = new SimulatedCounter();
    assertEquals(new Replaced(3, Origin.EMPTY, Double.NEGATIVE_INFINITY), connect(28_600));
  }

  /** A lost answer must not block the watch: the counter is reported as empty. */
  @Test
  void withoutAnAnswerForTheRetiredNameTheCounterCountsAsEmpty() {
    connect(0);
    for (double t = 250; t <= 28_000; t += 250) {
      wake(t);
    }
    counter = new SimulatedCounter();
    Check first = (Check) watch.on(28_100, new Connected(0)).get(0);
    List<WatchAction> retiredChecks = watch.on(28_101,
        new CheckEnded(first.number(), counter.add(28_101, first)));
    assertEquals(1, retiredChecks.size());
    assertEquals(List.of(), watch.on(28_102, new Connected(1)), "no other check meanwhile");
    List<WatchAction> actions = watch.on(28_200, new CheckEnded(((Check) retiredChecks.get(0)).number(),
        Double.NaN));
    assertEquals(new Replaced(2, Origin.EMPTY, Double.NEGATIVE_INFINITY), actions.get(0));
    assertEquals(null, answerAll(28_200, actions.subList(1, actions.size())));
  }

  @Test
  void aReplacementDuringAChangeOfNamesIsDetected() {
    connect(0);
    wake(25_000);
    List<WatchAction> actions = watch.on(25_300, new Woken());
    Check oldCheck = (Check) actions.get(0);
    Check newCheck = (Check) actions.get(1);
    assertFalse(oldCheck.name().equals(newCheck.name()));
    watch.on(25_301, new CheckEnded(oldCheck.number(), counter.add(25_301, oldCheck)));
    counter = new SimulatedCounter();
    watch.on(25_302, new CheckEnded(newCheck.number(), counter.add(25_302, newCheck)));
    assertEquals(Origin.EMPTY, wake(25_600).origin());
  }

  @Test
  void withoutAnswersForTooLongTheCounterIsReportedAsReplaced() {
    connect(0);
    assertEquals(new Replaced(2, Origin.UNTOLD, Double.NEGATIVE_INFINITY), connect(50_000));
    assertEquals(null, connect(50_100));
  }

  @Test
  void lostAnswersHideNoReplacementAndLateAnswersAreIgnored() {
    connect(0);
    for (int i = 1; i <= 40; i++) {
      for (WatchAction a : watch.on(i * 300, new Woken())) {
        if (a instanceof Check c) {
          counter.add(i * 300, c);
          watch.on(i * 300, new CheckEnded(c.number(), Double.NaN));
        }
      }
    }
    assertEquals(null, connect(13_000));
    Check late = (Check) watch.on(13_300, new Woken()).get(0);
    double total = counter.add(13_300, late);
    counter = new SimulatedCounter();
    assertEquals(Origin.EMPTY, connect(13_400).origin());
    assertEquals(List.of(), watch.on(13_500, new CheckEnded(late.number(), total)));
    assertEquals(2, watch.incarnation());
  }

  @Test
  void pendingChecksAreLimited() {
    connect(0);
    int sent = 0;
    for (int i = 0; i < 200; i++) {
      sent += (int) watch.on(i, new Connected(i)).stream().filter(Check.class::isInstance).count();
    }
    assertEquals(CounterWatch.MAX_PENDING_CHECKS, sent);
  }

  @Test
  void requestsTheNextWakeUpAndKeepsTheCheckInterval() {
    assertTrue(watch.on(0, new Woken()).contains(new WakeAt(CounterWatch.CHECK_INTERVAL_MS)));
    assertTrue(watch.on(100, new Woken()).stream().noneMatch(Check.class::isInstance));
  }

  @Test
  void invalidDoorNamesAreRejected() {
    assertThrows(IllegalArgumentException.class, () -> new CounterWatch("a b"));
    assertThrows(IllegalArgumentException.class, () -> new CounterWatch(""));
  }

  /**
   * Random connections, lost and late answers, empty counters and copies of any age. Connections keep the
   * order of calls and are lost with their counter.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
  void noFalseAlarmsAndNoMissedReplacementsInRandomHistories(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    double now = 0;
    List<Check> inFlight = new ArrayList<>();
    SimulatedCounter copy = counter.copy();
    boolean copyLacksChecks = false;
    boolean replaced = false;
    int reported = 0;
    List<WatchAction> actions = watch.on(now, new Connected(0));
    for (int step = 0; step < 30_000; step++) {
      for (WatchAction a : actions) {
        if (a instanceof Check c) {
          inFlight.add(c);
        } else if (a instanceof Replaced r) {
          assertTrue(replaced || r.origin() == Origin.UNTOLD, "false alarm, seed " + seed + " step " + step);
          replaced = false;
          reported++;
        }
      }
      actions = List.of();
      now += random.nextDouble() * 60;
      int kind = random.nextInt(1_000);
      if (kind < 3) {
        // Another counter, empty or with the copy; calls in flight are lost with their connections.
        boolean empty = random.nextBoolean();
        copyLacksChecks = empty || copyLacksChecks;
        counter = empty ? new SimulatedCounter() : copy.copy();
        List<Check> lost = new ArrayList<>(inFlight);
        inFlight.clear();
        for (Check c : lost) {
          for (WatchAction a : watch.on(now, new CheckEnded(c.number(), Double.NaN))) {
            // The lost call may have been the check of the retired name at the previous counter.
            assertTrue(replaced || !(a instanceof Replaced), "false alarm, seed " + seed + " step " + step);
            replaced &= !(a instanceof Replaced);
            reported += a instanceof Replaced ? 1 : 0;
          }
        }
        boolean noticeable = watch.hasConfirmedTotal() && copyLacksChecks;
        replaced |= copyLacksChecks;
        List<WatchAction> first = watch.on(now, new Connected(1));
        boolean detected = first.stream().anyMatch(Replaced.class::isInstance);
        for (WatchAction a : first) {
          if (a instanceof Check c) {
            List<WatchAction> further = watch.on(now, new CheckEnded(c.number(), counter.add(now, c)));
            if (!detected && further.size() == 1 && further.get(0) instanceof Check older) {
              further = watch.on(now, new CheckEnded(older.number(), counter.add(now, older)));
            }
            detected |= further.stream().anyMatch(Replaced.class::isInstance);
            further.stream().filter(Check.class::isInstance).forEach(x -> inFlight.add((Check) x));
          }
        }
        assertTrue(detected || !noticeable, "replacement missed, seed " + seed + " step " + step);
        assertTrue(!detected || replaced, "false alarm, seed " + seed + " step " + step);
        reported += detected ? 1 : 0;
        replaced &= !detected;
        copyLacksChecks = false;
        copy = counter.copy();
      } else if (kind < 6) {
        copy = counter.copy();
        copyLacksChecks = false;
      } else if (kind < 10) {
        actions = watch.on(now, new Connected(random.nextInt(12)));
      } else if (kind < 400 && !inFlight.isEmpty()) {
        Check c = inFlight.remove(0);
        double total = counter.add(now, c);
        // Only answered checks count as confirmed; a copy may lack others without being detected.
        boolean answered = random.nextInt(10) > 0;
        copyLacksChecks |= answered;
        actions = watch.on(now, new CheckEnded(c.number(), answered ? total : Double.NaN));
      } else {
        actions = watch.on(now, new Woken());
      }
    }
    assertTrue(reported > 5, "replacements reported: " + reported);
  }

  /** First additions over many connections must not hide an emptied counter from all later checks. */
  @Test
  void aCounterEmptiedWhileManyConnectionsAreEstablishedIsDetected() {
    for (int emptiedAfter = 1; emptiedAfter <= 12; emptiedAfter++) {
      for (boolean lost : new boolean[] {false, true}) {
        CounterWatch door = new CounterWatch("d2");
        List<Check> checks = new ArrayList<>();
        for (int link = 0; link < 12; link++) {
          door.on(1, new Connected(link)).forEach(a -> checks.add((Check) a));
        }
        SimulatedCounter simulated = new SimulatedCounter();
        boolean confirmed = false;
        for (int i = 0; i < checks.size(); i++) {
          simulated = i == emptiedAfter ? new SimulatedCounter() : simulated;
          double total = simulated.add(2, checks.get(i));
          confirmed |= !lost && i < emptiedAfter;
          door.on(2, new CheckEnded(checks.get(i).number(), lost ? Double.NaN : total));
        }
        simulated = checks.size() <= emptiedAfter ? new SimulatedCounter() : simulated;
        boolean detected = false;
        for (double now = 300; now < 2_000; now += 250) {
          for (WatchAction a : door.on(now, new Woken())) {
            detected |= a instanceof Replaced;
            if (a instanceof Check c) {
              detected |= door.on(now, new CheckEnded(c.number(), simulated.add(now, c))).stream()
                  .anyMatch(x -> x instanceof Replaced);
            }
          }
        }
        assertEquals(confirmed, detected, "emptied after " + emptiedAfter + ", answers lost: " + lost);
      }
    }
  }
}
