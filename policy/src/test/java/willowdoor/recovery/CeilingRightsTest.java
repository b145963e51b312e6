package willowdoor.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import willowdoor.recovery.RightsAction.Call;
import willowdoor.recovery.RightsAction.Share;
import willowdoor.recovery.RightsAction.WakeAt;
import willowdoor.recovery.RightsEvent.CallEnded;
import willowdoor.recovery.RightsEvent.Requested;
import willowdoor.recovery.RightsEvent.Activated;
import willowdoor.recovery.RightsEvent.HandedOver;
import willowdoor.recovery.RightsEvent.Woken;

/** Parts of a ceiling that move between doors, and never make more than the whole. */
class CeilingRightsTest {

  private static final double RATE = 8;
  private static final double BURST = 64;
  private static final double MOST = 8;
  private static final long FIRM = 42;
  /** Some era of the firm, well after the doors' births. */
  private static final double ERA = CeilingRights.PERIOD_MS * 50
      - Math.floorMod(FIRM * 0x9E3779B97F4A7C15L, (long) CeilingRights.PERIOD_MS);

  private final Map<String, Double> counter = new HashMap<>();
  private boolean answering = true;
  private int calls;

  private static Requested asked(int doors, int place, double units) {
    return new Requested(FIRM, doors, place, RATE, BURST, MOST, units);
  }

  /** Tells one door of an event and answers its calls; gives its share, if one was told. */
  private Share tell(CeilingRights door, double now, RightsEvent event) {
    Share share = null;
    List<RightsAction> actions = new ArrayList<>(door.on(now, event));
    for (int i = 0; i < actions.size(); i++) {
      if (actions.get(i) instanceof Share s) {
        share = s;
      } else if (actions.get(i) instanceof Call c) {
        calls++;
        assertTrue(CeilingRights.ownsName(c.name()) && c.name().length() <= 64, c.name());
        double total = answering ? counter.merge(c.name(), c.amount(), Double::sum) : Double.NaN;
        assertTrue(!(total >= 1e7), "the counter keeps seven digits: " + total);
        actions.addAll(door.on(now, new CallEnded(c.name(), total)));
      }
    }
    return share;
  }

  private static List<CeilingRights> doors(int n) {
    List<CeilingRights> doors = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      doors.add(new CeilingRights(0));
    }
    return doors;
  }

  /** Three quarters of the traffic through the first door, for so long, and one request a second elsewhere.
      */
  private double[] skewed(List<CeilingRights> doors, double from, double forMs) {
    double[] shares = new double[doors.size()];
    for (double t = from; t < from + forMs; t += 250) {
      shares[0] = tell(doors.get(0), t, asked(doors.size(), 0, 2)).share();
      int other = 1 + (int) (t / 1000) % (doors.size() - 1);
      shares[other] = tell(doors.get(other), t, asked(doors.size(), other, t % 1000 < 250 ? 1 : 0)).share();
      for (CeilingRights d : doors) {
        tell(d, t, new Woken());
      }
    }
    return shares;
  }

  private static double sum(double[] parts) {
    double sum = 0;
    for (double p : parts) {
      sum += p;
    }
    return sum;
  }

  @ParameterizedTest
  @ValueSource(ints = {2, 3, 4})
  void theDoorThatIsAskedForMostIsGivenWhatOthersDontNeed(int n) {
    List<CeilingRights> doors = doors(n);
    assertEquals((double) (CeilingRights.QUANTA / n) / CeilingRights.QUANTA,
        tell(doors.get(0), ERA + 10, asked(n, 0, 1)).share());
    double[] shares = skewed(doors, ERA + 20, 10_000);
    assertTrue(shares[0] >= 1.3 / n, "share " + shares[0]);
    assertTrue(sum(shares) <= 1, "sum " + sum(shares));
    for (int i = 1; i < n; i++) {
      assertTrue(shares[i] >= 0.5 / n - 1.0 / CeilingRights.QUANTA, "share of " + i + ": " + shares[i]);
    }
  }

  @Test
  void giftsEndBeforeTheEraDoesAndTheGiverHasThemBackAfterIt() {
    List<CeilingRights> doors = doors(4);
    double end = ERA + CeilingRights.PERIOD_MS;
    skewed(doors, ERA, 12_000);
    Share had = tell(doors.get(0), ERA + 12_000, asked(4, 0, 1));
    assertTrue(had.share() > 0.25 && had.shareAfter() == 0.25, had::toString);
    assertEquals(end - CeilingRights.CLOCK_SKEW_GUARD_MS, had.untilMs());
    assertEquals(0.25, tell(doors.get(0), had.untilMs(), asked(4, 0, 1)).share());
    Share gave = tell(doors.get(1), end - 1, asked(4, 1, 1));
    assertTrue(gave.share() < 0.25 && gave.untilMs() == Double.POSITIVE_INFINITY, gave::toString);
    assertEquals(0.25, tell(doors.get(1), end, asked(4, 1, 1)).share());
  }

  /** Both lives of a door have one part between them at the most, whatever the old one had given. */
  @Test
  void aLifeThatHandsOverKeepsNothingAndTheNextKeepsToTheFloor() {
    List<CeilingRights> doors = doors(2);
    CeilingRights next = new CeilingRights(ERA - 2_000);
    skewed(doors, ERA, 12_000);
    double now = ERA + 12_000;
    double given = tell(doors.get(1), now, asked(2, 1, 1)).share();
    assertTrue(given < 0.5, "gave nothing: " + given);
    tell(doors.get(1), now, new HandedOver());
    tell(next, now, new Activated());
    int before = calls;
    assertEquals(0, tell(doors.get(1), now + 10, asked(2, 1, 8)).share());
    tell(doors.get(1), now + 1_500, new Woken());
    assertEquals(before, calls, "a life that is over goes on calling");
    double floor = tell(next, now + 10, asked(2, 1, 8)).share();
    assertTrue(floor > 0 && floor <= given, floor + " after " + given);
    assertTrue(floor + tell(doors.get(0), now + 10, asked(2, 0, 1)).share() <= 1);
    // The successor died: the old life can't know what that one has spent.
    tell(doors.get(1), now + 2_000, new Activated());
    assertEquals(floor, tell(doors.get(1), now + 2_000, asked(2, 1, 1)).share());
    assertEquals(0.5, tell(doors.get(1), ERA + 2 * CeilingRights.PERIOD_MS, asked(2, 1, 1)).share());
  }

  @Test
  void aDoorBornInTheEraKeepsToTheFloorAndGivesNothing() {
    CeilingRights born = new CeilingRights(ERA + 5_000);
    List<CeilingRights> doors = List.of(new CeilingRights(0), born);
    double[] shares = skewed(doors, ERA + 5_000, 10_000);
    assertEquals(0.25, shares[1], "the life before may have given the rest away");
    assertEquals(0.5, shares[0], "nothing is given by one that can't know what is left");
    assertEquals(0.5, tell(born, ERA + CeilingRights.PERIOD_MS + 1, asked(2, 1, 1)).share());
  }

  /** Its clock may have been set anew with it. */
  @Test
  void soDoesOneThatWasBornRightBeforeTheEra() {
    CeilingRights born = new CeilingRights(ERA - CeilingRights.CLOCK_SKEW_GUARD_MS / 2);
    assertEquals(0.25, tell(born, ERA + 10, asked(2, 1, 1)).share());
  }

  /** Its life before may have told some of the firm's demand: nothing is added that runs into other digits.
      */
  @Test
  void aDoorBornInTheEraAddsNothingToTheDemand() {
    CeilingRights born = new CeilingRights(ERA + 5_000);
    for (int i = 0; i < 40; i++) {
      tell(born, ERA + 5_000 + 250 * i, asked(2, 1, 8));
    }
    assertTrue(counter.values().stream().allMatch(v -> v == 0), counter::toString);
    assertTrue(calls > 0);
  }

  @Test
  void aGiftWhoseCallIsLostIsLostAndIsNotGivenTwice() {
    List<CeilingRights> doors = doors(2);
    CeilingRights giver = doors.get(1);
    for (int i = 0; i < 12; i++) {
      tell(doors.get(0), ERA + 500 * i, asked(2, 0, 8));
    }
    tell(giver, ERA + 6_000, asked(2, 1, 1));
    double left = tell(giver, ERA + 6_000, asked(2, 1, 1)).share();
    assertTrue(left < 0.5, "it gave: " + left);
    counter.clear();
    double[] shares = {0, 0};
    for (int i = 0; i < 12; i++) {
      shares[0] = tell(doors.get(0), ERA + 6_500 + 500 * i, asked(2, 0, 8)).share();
      shares[1] = tell(giver, ERA + 6_500 + 500 * i, new Woken()) == null
          ? tell(giver, ERA + 6_500 + 500 * i, asked(2, 1, 0)).share() : 0;
    }
    assertTrue(sum(shares) <= 1, "sum " + sum(shares));
  }

  /** A counter that comes back with less, or answers with what no door has added. */
  @Test
  void totalsThatNoDoorCanHaveMadeChangeNothing() {
    CeilingRights door = new CeilingRights(0);
    tell(door, ERA + 1, asked(2, 0, 1));
    long era = 50;
    String gifts = Long.toString(FIRM, 36) + "^0:" + era;
    for (double total : new double[] {-1, 0.5, 2_500, 1e9, Double.POSITIVE_INFINITY, 17 * 50, 7}) {
      tell(door, ERA + 2, new CallEnded(gifts, total));
      assertEquals(0.5, tell(door, ERA + 3, asked(2, 0, 1)).share(), "after a total of " + total);
    }
    tell(door, ERA + 2, new CallEnded(gifts, 16 * 50));
    assertEquals(0.75, tell(door, ERA + 3, asked(2, 0, 1)).share());
    tell(door, ERA + 2, new CallEnded(gifts, 3 * 50));
    assertEquals(0.75, tell(door, ERA + 3, asked(2, 0, 1)).share(), "what was given stays given");
    tell(door, ERA + 2, new CallEnded(Long.toString(FIRM, 36) + "^0:49", 5 * 50));
    tell(door, ERA + 2, new CallEnded(Long.toString(99, 36) + "^0:50", 5 * 50));
    tell(door, ERA + 2, new CallEnded(Long.toString(FIRM, 36) + "^1:50", 5 * 50));
    assertEquals(0.75, tell(door, ERA + 3, asked(2, 0, 1)).share(), "others' names say nothing");
  }

  @Test
  void outsideItsFirmsSetADoorHasNoShareAndAloneItHasAll() {
    CeilingRights door = new CeilingRights(0);
    assertEquals(0, tell(door, ERA, asked(3, -1, 1)).share());
    assertEquals(0, tell(door, ERA, asked(3, 3, 1)).share());
    assertEquals(1, tell(door, ERA, asked(1, 0, 1)).share());
    assertEquals(0.2, tell(door, ERA, asked(5, 4, 1)).share(), "larger sets keep even parts");
    assertEquals(0, calls);
  }

  @Test
  void whileTheCounterIsAwayItIsAskedOnceASecondAndSharesAreEven() {
    List<CeilingRights> doors = doors(2);
    answering = false;
    double[] shares = skewed(doors, ERA, 10_000);
    assertEquals(1, sum(shares));
    assertEquals(0.5, shares[0]);
    assertTrue(calls <= 2 * 11, calls + " calls");
  }

  @Test
  void callsAndFirmsAreBounded() {
    CeilingRights door = new CeilingRights(0);
    int most = CeilingRights.MAX_FIRMS + 1_000;
    for (int i = 0; i < most; i++) {
      Share s = tell(door, ERA, new Requested(i, 2, 0, RATE, BURST, MOST, 1));
      assertEquals(0.5, s.share());
    }
    assertEquals(CeilingRights.MAX_CALLS_PER_S, calls, "at one moment");
    calls = 0;
    for (double t = ERA; t <= ERA + 1_000; t += 250) {
      tell(door, t, new Woken());
    }
    assertTrue(calls <= CeilingRights.MAX_CALLS_PER_S + 1, calls + " in a second");
    // After an era without a word the eldest makes room.
    assertEquals(0.5,
        tell(door, ERA + 2 * CeilingRights.PERIOD_MS, new Requested(most, 2, 0, RATE, BURST, MOST, 1))
        .share());
  }

  /** In the same era the new parts are not known to be free of what was given of the old. */
  @Test
  void aFirmWhoseSetChangesHasTheFloorUntilTheEraEnds() {
    CeilingRights door = new CeilingRights(0);
    assertEquals(0.25, tell(door, ERA, asked(4, 0, 1)).share());
    assertEquals(0.25, tell(door, ERA + 1, asked(2, 0, 1)).share());
    assertEquals(0.5, tell(door, ERA + CeilingRights.PERIOD_MS, asked(2, 0, 1)).share());
  }

  @Test
  void itAsksToBeWoken() {
    assertTrue(new CeilingRights(0).on(100, new Woken()).contains(new WakeAt(350)));
    assertFalse(CeilingRights.ownsName("16:4"));
    assertFalse(CeilingRights.ownsName("~d1:4"));
  }

  /**
   * Any order of asking, lost calls, lost answers, emptied and split counters, new lives and clocks that
   * differ by less than the guard: at no moment do the parts of all doors make more than the whole.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void thePartsNeverMakeMoreThanTheWhole(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    int n = 2 + random.nextInt(3);
    CeilingRights[] doors = new CeilingRights[n];
    Share[] told = new Share[n];
    double[] skew = new double[n];
    for (int i = 0; i < n; i++) {
      doors[i] = new CeilingRights(0);
      skew[i] = random.nextDouble() * (CeilingRights.CLOCK_SKEW_GUARD_MS - 1) / 2;
    }
    List<Map<String, Double>> counters = new ArrayList<>(List.of(new HashMap<>(), new HashMap<>()));
    boolean split = false;
    int busy = 0;
    double most = 0;
    double largest = 0;
    for (double now = ERA; now < ERA + 400_000; now += random.nextDouble() * 100) {
      int kind = random.nextInt(2_000);
      if (kind < 2) {
        split = !split;
        counters.set(1, new HashMap<>(counters.get(0)));
      } else if (kind < 4) {
        counters.get(random.nextInt(2)).clear();
      } else if (kind < 6) {
        int i = random.nextInt(n);
        doors[i] = new CeilingRights(now + skew[i]);
        told[i] = null;
      } else if (kind < 20) {
        busy = random.nextInt(n);
      }
      int i = random.nextInt(3) > 0 ? busy : random.nextInt(n);
      Map<String, Double> at = counters.get(split ? i % 2 : 0);
      double mine = now + skew[i];
      RightsEvent event = random.nextInt(10) == 0 ? new Woken()
          : new Requested(FIRM, n, i, RATE, BURST, MOST, 1 + random.nextInt(8));
      List<RightsAction> actions = new ArrayList<>(doors[i].on(mine, event));
      for (int k = 0; k < actions.size(); k++) {
        if (actions.get(k) instanceof Share s) {
          told[i] = s;
        } else if (actions.get(k) instanceof Call c) {
          int fate = random.nextInt(20);
          double total = fate == 0 ? Double.NaN : at.merge(c.name(), c.amount(), Double::sum);
          actions.addAll(doors[i].on(mine, new CallEnded(c.name(), fate == 1 ? Double.NaN : total)));
        }
      }
      // What a door would be told now, had it just been asked: without a request it uses nothing.
      double sum = 0;
      for (int j = 0; j < n; j++) {
        Share s = share(doors[j], now + skew[j], n, j);
        sum += s.share();
        largest = Math.max(largest, s.share() * n);
      }
      most = Math.max(most, sum);
      assertTrue(sum <= 1 + 1e-9, "seed " + seed + ": " + sum + " at " + (now - ERA));
    }
    assertTrue(most > 0.9 && largest > 1.1, "seed " + seed + " showed nothing: " + most + ", " + largest);
  }

  private static Share share(CeilingRights door, double now, int n, int place) {
    return door.on(now, new Requested(FIRM, n, place, RATE, BURST, MOST, 0)).stream()
        .filter(Share.class::isInstance).map(Share.class::cast).findFirst().orElseThrow();
  }
}
