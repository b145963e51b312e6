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

/** A watch before counters of a model that are lost, copied and slow. */
class CounterWatchTest {

  /** A counter as the protocol has it: totals by name, forgotten when their life has passed. */
  private static final class Model {
    private final Map<String, double[]> names = new HashMap<>();

    double add(double now, Check c) {
      double[] held = names.get(c.name());
      if (held == null || held[1] < now) {
        held = new double[] {0, now + c.ttlMs()};
        names.put(c.name(), held);
      }
      held[0] += c.amount();
      return held[0];
    }

    Model copy() {
      Model other = new Model();
      names.forEach((n, held) -> other.names.put(n, held.clone()));
      return other;
    }
  }

  private final CounterWatch watch = new CounterWatch("d1");
  private Model counter = new Model();

  /** Does all checks among the actions at once; gives the replacement told, or null. */
  private Replaced answerAll(double now, List<WatchAction> actions) {
    Replaced told = null;
    for (WatchAction a : new ArrayList<>(actions)) {
      if (a instanceof Replaced r) {
        told = r;
      } else if (a instanceof Check c) {
        Replaced further = answerAll(now, watch.on(now, new CheckEnded(c.number(), counter.add(now, c))));
        told = further == null ? told : further;
      }
    }
    return told;
  }

  private Replaced connect(double now) {
    return answerAll(now, watch.on(now, new Connected(0)));
  }

  private Replaced wake(double now) {
    return answerAll(now, watch.on(now, new Woken()));
  }

  @Test
  void theSameCounterIsNeverTakenForAnotherForMinutes() {
    assertEquals(null, connect(0));
    assertTrue(watch.hasConfirmedTotal());
    for (double t = 0; t < 600_000; t += 250) {
      assertEquals(null, wake(t), "at " + t);
    }
    assertEquals(1, watch.incarnation());
  }

  @Test
  void anEmptyOneIsToldByTheFirstCall() {
    connect(0);
    counter = new Model();
    assertEquals(new Replaced(2, Origin.EMPTY, Double.NEGATIVE_INFINITY), connect(100));
    assertEquals(null, wake(400));
    counter = new Model();
    assertEquals(new Replaced(3, Origin.EMPTY, Double.NEGATIVE_INFINITY), wake(700));
  }

  @Test
  void soIsACopyThatLacksTheLastCheckAndNoneThatLacksNothing() {
    connect(0);
    Model copy = counter.copy();
    wake(300);
    Model whole = counter.copy();
    counter = copy;
    assertEquals(new Replaced(2, Origin.OLD_COPY, 0), connect(400), "the check at 0 is the last that it has");
    connect(500);
    counter = counter.copy();
    assertEquals(null, connect(600));
    assertFalse(whole.names.isEmpty());
  }

  /** The copy is older than the current name, so only the name before tells that it is one, and how old. */
  @Test
  void aCopyFromBeforeTheCurrentNameIsToldFromAnEmptyOne() {
    for (double t = 0; t <= 24_000; t += 250) {
      wake(t);
    }
    Model copy = counter.copy();
    for (double t = 24_250; t <= 28_000; t += 250) {
      wake(t);
    }
    counter = copy;
    assertEquals(new Replaced(2, Origin.OLD_COPY, 24_000), connect(28_100));
    assertEquals(null, wake(28_500));
    counter = new Model();
    assertEquals(new Replaced(3, Origin.EMPTY, Double.NEGATIVE_INFINITY), connect(28_600));
  }

  /** An answer that never comes must not keep it waiting: it is told as an empty one. */
  @Test
  void whereTheOlderNameIsNotAnsweredForItIsTakenForEmpty() {
    connect(0);
    for (double t = 250; t <= 28_000; t += 250) {
      wake(t);
    }
    counter = new Model();
    Check first = (Check) watch.on(28_100, new Connected(0)).get(0);
    List<WatchAction> asks = watch.on(28_101, new CheckEnded(first.number(), counter.add(28_101, first)));
    assertEquals(1, asks.size());
    assertEquals(List.of(), watch.on(28_102, new Connected(1)), "nothing else meanwhile");
    List<WatchAction> told = watch.on(28_200, new CheckEnded(((Check) asks.get(0)).number(), Double.NaN));
    assertEquals(new Replaced(2, Origin.EMPTY, Double.NEGATIVE_INFINITY), told.get(0));
    assertEquals(null, answerAll(28_200, told.subList(1, told.size())));
  }

  @Test
  void aReplacementBetweenTheTwoNamesOfAChangeIsTold() {
    connect(0);
    wake(25_000);
    List<WatchAction> actions = watch.on(25_300, new Woken());
    Check old = (Check) actions.get(0);
    Check fresh = (Check) actions.get(1);
    assertFalse(old.name().equals(fresh.name()));
    watch.on(25_301, new CheckEnded(old.number(), counter.add(25_301, old)));
    counter = new Model();
    watch.on(25_302, new CheckEnded(fresh.number(), counter.add(25_302, fresh)));
    assertEquals(Origin.EMPTY, wake(25_600).origin());
  }

  @Test
  void withoutAnyAnswerForTooLongItIsTakenForAnother() {
    connect(0);
    assertEquals(new Replaced(2, Origin.UNTOLD, Double.NEGATIVE_INFINITY), connect(50_000));
    assertEquals(null, connect(50_100));
  }

  @Test
  void lostAnswersHideNothingAndLateOnesTellNothing() {
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
    counter = new Model();
    assertEquals(Origin.EMPTY, connect(13_400).origin());
    assertEquals(List.of(), watch.on(13_500, new CheckEnded(late.number(), total)));
    assertEquals(2, watch.incarnation());
  }

  @Test
  void noMoreChecksAreOutThanTheBound() {
    connect(0);
    int sent = 0;
    for (int i = 0; i < 200; i++) {
      sent += (int) watch.on(i, new Connected(i)).stream().filter(Check.class::isInstance).count();
    }
    assertEquals(CounterWatch.MAX_PENDING_CHECKS, sent);
  }

  @Test
  void itAsksToBeWokenAndChecksNoMoreOftenThanItSays() {
    assertTrue(watch.on(0, new Woken()).contains(new WakeAt(CounterWatch.CHECK_INTERVAL_MS)));
    assertTrue(watch.on(100, new Woken()).stream().noneMatch(Check.class::isInstance));
  }

  @Test
  void badNamesOfDoorsAreNamed() {
    assertThrows(IllegalArgumentException.class, () -> new CounterWatch("a b"));
    assertThrows(IllegalArgumentException.class, () -> new CounterWatch(""));
  }

  /**
   * Random connections, lost and late answers, empty counters and copies of any age, over links that each
   * keep
   * their order and end with their counter.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
  void noFalseAlarmAndNoReplacementMissedByACheckSentAfterIt(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    double now = 0;
    List<Check> wire = new ArrayList<>();
    Model copy = counter.copy();
    boolean lacks = false;
    boolean replaced = false;
    int told = 0;
    List<WatchAction> actions = watch.on(now, new Connected(0));
    for (int step = 0; step < 30_000; step++) {
      for (WatchAction a : actions) {
        if (a instanceof Check c) {
          wire.add(c);
        } else if (a instanceof Replaced r) {
          assertTrue(replaced || r.origin() == Origin.UNTOLD, "false alarm, seed " + seed + " step " + step);
          replaced = false;
          told++;
        }
      }
      actions = List.of();
      now += random.nextDouble() * 60;
      int kind = random.nextInt(1_000);
      if (kind < 3) {
        // Another counter, empty or with the copy; what is on the wire is lost with its connections.
        boolean empty = random.nextBoolean();
        lacks = empty || lacks;
        counter = empty ? new Model() : copy.copy();
        List<Check> lost = new ArrayList<>(wire);
        wire.clear();
        for (Check c : lost) {
          for (WatchAction a : watch.on(now, new CheckEnded(c.number(), Double.NaN))) {
            // It was asking for an older name at the counter before.
            assertTrue(replaced || !(a instanceof Replaced), "false alarm, seed " + seed + " step " + step);
            replaced &= !(a instanceof Replaced);
            told += a instanceof Replaced ? 1 : 0;
          }
        }
        boolean noticeable = watch.hasConfirmedTotal() && lacks;
        replaced |= lacks;
        List<WatchAction> first = watch.on(now, new Connected(1));
        boolean seen = first.stream().anyMatch(Replaced.class::isInstance);
        for (WatchAction a : first) {
          if (a instanceof Check c) {
            List<WatchAction> then = watch.on(now, new CheckEnded(c.number(), counter.add(now, c)));
            if (!seen && then.size() == 1 && then.get(0) instanceof Check older) {
              then = watch.on(now, new CheckEnded(older.number(), counter.add(now, older)));
            }
            seen |= then.stream().anyMatch(Replaced.class::isInstance);
            then.stream().filter(Check.class::isInstance).forEach(x -> wire.add((Check) x));
          }
        }
        assertTrue(seen || !noticeable, "missed, seed " + seed + " step " + step);
        assertTrue(!seen || replaced, "false alarm, seed " + seed + " step " + step);
        told += seen ? 1 : 0;
        replaced &= !seen;
        lacks = false;
        copy = counter.copy();
      } else if (kind < 6) {
        copy = counter.copy();
        lacks = false;
      } else if (kind < 10) {
        actions = watch.on(now, new Connected(random.nextInt(12)));
      } else if (kind < 400 && !wire.isEmpty()) {
        Check c = wire.remove(0);
        double total = counter.add(now, c);
        // Only what the door has been told counts as confirmed: a copy may lack the rest unnoticed.
        boolean heard = random.nextInt(10) > 0;
        lacks |= heard;
        actions = watch.on(now, new CheckEnded(c.number(), heard ? total : Double.NaN));
      } else {
        actions = watch.on(now, new Woken());
      }
    }
    assertTrue(told > 5, "replacements told: " + told);
  }

  /** Guards against first adds of many connections that hide an emptied counter from all later checks. */
  @Test
  void aCounterEmptiedWhileManyConnectionsComeUpIsNoticed() {
    for (int emptiedAfter = 1; emptiedAfter <= 12; emptiedAfter++) {
      for (boolean lost : new boolean[] {false, true}) {
        CounterWatch door = new CounterWatch("d2");
        List<Check> asked = new ArrayList<>();
        for (int link = 0; link < 12; link++) {
          door.on(1, new Connected(link)).forEach(a -> asked.add((Check) a));
        }
        Model at = new Model();
        boolean confirmed = false;
        for (int i = 0; i < asked.size(); i++) {
          at = i == emptiedAfter ? new Model() : at;
          double total = at.add(2, asked.get(i));
          confirmed |= !lost && i < emptiedAfter;
          door.on(2, new CheckEnded(asked.get(i).number(), lost ? Double.NaN : total));
        }
        at = asked.size() <= emptiedAfter ? new Model() : at;
        boolean told = false;
        for (double now = 300; now < 2_000; now += 250) {
          for (WatchAction a : door.on(now, new Woken())) {
            told |= a instanceof Replaced;
            if (a instanceof Check c) {
              told |= door.on(now, new CheckEnded(c.number(), at.add(now, c))).stream()
                  .anyMatch(x -> x instanceof Replaced);
            }
          }
        }
        assertEquals(confirmed, told, "emptied after " + emptiedAfter + ", answers lost: " + lost);
      }
    }
  }
}
