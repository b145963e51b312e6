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

/** Transfers of rights between doors; the doors' shares never add up to more than the ceiling. */
class CeilingRightsTest {

  private static final double RATE = 8;
  private static final double BURST = 64;
  private static final double MAX_UNITS = 8;
  private static final long FIRM = 42;
  /** Start of one of the firm's periods, well after the doors started. */
  private static final double PERIOD_START_MS = CeilingRights.PERIOD_MS * 50
      - Math.floorMod(FIRM * 0x9E3779B97F4A7C15L, (long) CeilingRights.PERIOD_MS);

  private final Map<String, Double> counter = new HashMap<>();
  private boolean counterAnswers = true;
  private int calls;

  private static Requested requested(int doors, int place, double units) {
    return new Requested(FIRM, doors, place, RATE, BURST, MAX_UNITS, units);
  }

  /** Passes an event to a door and answers its calls; returns the share among its actions, or null. */
  private Share deliver(CeilingRights door, double now, RightsEvent event) {
    Share share = null;
    List<RightsAction> actions = new ArrayList<>(door.on(now, event));
    for (int i = 0; i < actions.size(); i++) {
      if (actions.get(i) instanceof Share s) {
        share = s;
      } else if (actions.get(i) instanceof Call c) {
        calls++;
        assertTrue(CeilingRights.ownsName(c.name()) && c.name().length() <= 64, c.name());
        double total = counterAnswers ? counter.merge(c.name(), c.amount(), Double::sum) : Double.NaN;
        assertTrue(!(total >= 1e7), "the counter is exact up to seven digits only: " + total);
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

  /** Asks for 8 units a second at the first door and 1 a second at the others; returns the last shares. */
  private double[] runSkewedLoad(List<CeilingRights> doors, double fromMs, double forMs) {
    double[] shares = new double[doors.size()];
    for (double t = fromMs; t < fromMs + forMs; t += 250) {
      shares[0] = deliver(doors.get(0), t, requested(doors.size(), 0, 2)).share();
      int other = 1 + (int) (t / 1000) % (doors.size() - 1);
      shares[other] = deliver(doors.get(other), t, requested(doors.size(), other, t % 1000 < 250 ? 1 : 0))
          .share();
      for (CeilingRights d : doors) {
        deliver(d, t, new Woken());
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
  void unusedRightsMoveToTheDoorWithTheMostDemand(int n) {
    List<CeilingRights> doors = doors(n);
    assertEquals((double) (CeilingRights.QUANTA / n) / CeilingRights.QUANTA,
        deliver(doors.get(0), PERIOD_START_MS + 10, requested(n, 0, 1)).share());
    double[] shares = runSkewedLoad(doors, PERIOD_START_MS + 20, 10_000);
    assertTrue(shares[0] >= 1.3 / n, "share " + shares[0]);
    assertTrue(sum(shares) <= 1, "sum " + sum(shares));
    for (int i = 1; i < n; i++) {
      assertTrue(shares[i] >= 0.5 / n - 1.0 / CeilingRights.QUANTA, "share of " + i + ": " + shares[i]);
    }
  }

  @Test
  void transfersEndBeforeThePeriodAndReturnToTheSenderAfterIt() {
    List<CeilingRights> doors = doors(4);
    double end = PERIOD_START_MS + CeilingRights.PERIOD_MS;
    runSkewedLoad(doors, PERIOD_START_MS, 12_000);
    Share receiverShare = deliver(doors.get(0), PERIOD_START_MS + 12_000, requested(4, 0, 1));
    assertTrue(receiverShare.share() > 0.25 && receiverShare.shareAfter() == 0.25, receiverShare::toString);
    assertEquals(end - CeilingRights.CLOCK_SKEW_GUARD_MS, receiverShare.untilMs());
    assertEquals(0.25, deliver(doors.get(0), receiverShare.untilMs(), requested(4, 0, 1)).share());
    Share senderShare = deliver(doors.get(1), end - 1, requested(4, 1, 1));
    assertTrue(senderShare.share() < 0.25 && senderShare.untilMs() == Double.POSITIVE_INFINITY,
        senderShare::toString);
    assertEquals(0.25, deliver(doors.get(1), end, requested(4, 1, 1)).share());
  }

  /** Both processes of a door together never have more than the door's part, whatever was transferred. */
  @Test
  void afterAHandoverTheOldProcessHasNoShareAndTheNewOneHasTheFloor() {
    List<CeilingRights> doors = doors(2);
    CeilingRights next = new CeilingRights(PERIOD_START_MS - 2_000);
    runSkewedLoad(doors, PERIOD_START_MS, 12_000);
    double now = PERIOD_START_MS + 12_000;
    double shareAfterTransfer = deliver(doors.get(1), now, requested(2, 1, 1)).share();
    assertTrue(shareAfterTransfer < 0.5, "nothing was transferred: " + shareAfterTransfer);
    deliver(doors.get(1), now, new HandedOver());
    deliver(next, now, new Activated());
    int callsBefore = calls;
    assertEquals(0, deliver(doors.get(1), now + 10, requested(2, 1, 8)).share());
    deliver(doors.get(1), now + 1_500, new Woken());
    assertEquals(callsBefore, calls, "a process that handed over still calls");
    double floor = deliver(next, now + 10, requested(2, 1, 8)).share();
    assertTrue(floor > 0 && floor <= shareAfterTransfer, floor + " after " + shareAfterTransfer);
    assertTrue(floor + deliver(doors.get(0), now + 10, requested(2, 0, 1)).share() <= 1);
    // The successor died: the old process can't know what the successor has spent.
    deliver(doors.get(1), now + 2_000, new Activated());
    assertEquals(floor, deliver(doors.get(1), now + 2_000, requested(2, 1, 1)).share());
    assertEquals(0.5, deliver(doors.get(1), PERIOD_START_MS + 2 * CeilingRights.PERIOD_MS, requested(2, 1, 1))
        .share());
  }

  @Test
  void aDoorStartedWithinThePeriodHasTheFloorAndTransfersNothing() {
    CeilingRights newDoor = new CeilingRights(PERIOD_START_MS + 5_000);
    List<CeilingRights> doors = List.of(new CeilingRights(0), newDoor);
    double[] shares = runSkewedLoad(doors, PERIOD_START_MS + 5_000, 10_000);
    assertEquals(0.25, shares[1], "the previous process may have transferred the rest");
    assertEquals(0.5, shares[0], "a process that can't know its rights transfers nothing");
    assertEquals(0.5, deliver(newDoor, PERIOD_START_MS + CeilingRights.PERIOD_MS + 1, requested(2, 1, 1))
        .share());
  }

  /** The clock may have been reset with the restart, so the start may lie within the period. */
  @Test
  void aDoorStartedJustBeforeThePeriodHasTheFloor() {
    CeilingRights newDoor = new CeilingRights(PERIOD_START_MS - CeilingRights.CLOCK_SKEW_GUARD_MS / 2);
    assertEquals(0.25, deliver(newDoor, PERIOD_START_MS + 10, requested(2, 1, 1)).share());
  }

  /** The previous process may have reported demand, and adding more could overflow into the next digit. */
  @Test
  void aDoorStartedWithinThePeriodReportsNoDemand() {
    CeilingRights newDoor = new CeilingRights(PERIOD_START_MS + 5_000);
    for (int i = 0; i < 40; i++) {
      deliver(newDoor, PERIOD_START_MS + 5_000 + 250 * i, requested(2, 1, 8));
    }
    assertTrue(counter.values().stream().allMatch(v -> v == 0), counter::toString);
    assertTrue(calls > 0);
  }

  @Test
  void aTransferThatIsLostIsNotRepeated() {
    List<CeilingRights> doors = doors(2);
    CeilingRights sender = doors.get(1);
    for (int i = 0; i < 12; i++) {
      deliver(doors.get(0), PERIOD_START_MS + 500 * i, requested(2, 0, 8));
    }
    deliver(sender, PERIOD_START_MS + 6_000, requested(2, 1, 1));
    double shareAfterTransfer = deliver(sender, PERIOD_START_MS + 6_000, requested(2, 1, 1)).share();
    assertTrue(shareAfterTransfer < 0.5, "share after the transfer: " + shareAfterTransfer);
    counter.clear();
    double[] shares = {0, 0};
    for (int i = 0; i < 12; i++) {
      shares[0] = deliver(doors.get(0), PERIOD_START_MS + 6_500 + 500 * i, requested(2, 0, 8)).share();
      shares[1] = deliver(sender, PERIOD_START_MS + 6_500 + 500 * i, new Woken()) == null
          ? deliver(sender, PERIOD_START_MS + 6_500 + 500 * i, requested(2, 1, 0)).share() : 0;
    }
    assertTrue(sum(shares) <= 1, "sum " + sum(shares));
  }

  /** The counter returns with lower totals, or answers with totals that no door can have caused. */
  @Test
  void impossibleAndForeignTotalsAreIgnored() {
    CeilingRights door = new CeilingRights(0);
    deliver(door, PERIOD_START_MS + 1, requested(2, 0, 1));
    long period = 50;
    String transferName = Long.toString(FIRM, 36) + "^0:" + period;
    for (double total : new double[] {-1, 0.5, 2_500, 1e9, Double.POSITIVE_INFINITY, 17 * 50, 7}) {
      deliver(door, PERIOD_START_MS + 2, new CallEnded(transferName, total));
      assertEquals(0.5, deliver(door, PERIOD_START_MS + 3, requested(2, 0, 1)).share(), "after a total of "
          + total);
    }
    deliver(door, PERIOD_START_MS + 2, new CallEnded(transferName, 16 * 50));
    assertEquals(0.75, deliver(door, PERIOD_START_MS + 3, requested(2, 0, 1)).share());
    deliver(door, PERIOD_START_MS + 2, new CallEnded(transferName, 3 * 50));
    assertEquals(0.75, deliver(door, PERIOD_START_MS + 3, requested(2, 0, 1)).share(),
        "received rights stay");
    deliver(door, PERIOD_START_MS + 2, new CallEnded(Long.toString(FIRM, 36) + "^0:49", 5 * 50));
    deliver(door, PERIOD_START_MS + 2, new CallEnded(Long.toString(99, 36) + "^0:50", 5 * 50));
    deliver(door, PERIOD_START_MS + 2, new CallEnded(Long.toString(FIRM, 36) + "^1:50", 5 * 50));
    assertEquals(0.75, deliver(door, PERIOD_START_MS + 3, requested(2, 0, 1)).share(),
        "other names are ignored");
  }

  @Test
  void aDoorOutsideTheSetHasNoShareAndASingleDoorHasAll() {
    CeilingRights door = new CeilingRights(0);
    assertEquals(0, deliver(door, PERIOD_START_MS, requested(3, -1, 1)).share());
    assertEquals(0, deliver(door, PERIOD_START_MS, requested(3, 3, 1)).share());
    assertEquals(1, deliver(door, PERIOD_START_MS, requested(1, 0, 1)).share());
    assertEquals(0.2, deliver(door, PERIOD_START_MS, requested(5, 4, 1)).share(),
        "larger sets keep even shares");
    assertEquals(0, calls);
  }

  @Test
  void anUnavailableCounterIsCalledOnceASecondAndSharesStayEven() {
    List<CeilingRights> doors = doors(2);
    counterAnswers = false;
    double[] shares = runSkewedLoad(doors, PERIOD_START_MS, 10_000);
    assertEquals(1, sum(shares));
    assertEquals(0.5, shares[0]);
    assertTrue(calls <= 2 * 11, calls + " calls");
  }

  @Test
  void callsAndFirmsAreLimited() {
    CeilingRights door = new CeilingRights(0);
    int firmCount = CeilingRights.MAX_FIRMS + 1_000;
    for (int i = 0; i < firmCount; i++) {
      Share s = deliver(door, PERIOD_START_MS, new Requested(i, 2, 0, RATE, BURST, MAX_UNITS, 1));
      assertEquals(0.5, s.share());
    }
    assertEquals(CeilingRights.MAX_CALLS_PER_S, calls, "at one moment");
    calls = 0;
    for (double t = PERIOD_START_MS; t <= PERIOD_START_MS + 1_000; t += 250) {
      deliver(door, t, new Woken());
    }
    assertTrue(calls <= CeilingRights.MAX_CALLS_PER_S + 1, calls + " in a second");
    // A firm without requests for a period is evicted to make room.
    assertEquals(0.5, deliver(door, PERIOD_START_MS + 2 * CeilingRights.PERIOD_MS,
        new Requested(firmCount, 2, 0, RATE, BURST, MAX_UNITS, 1))
        .share());
  }

  /** Until the period ends, transfers made from the old share may still be in use. */
  @Test
  void aFirmWhoseDoorsChangeHasTheFloorUntilThePeriodEnds() {
    CeilingRights door = new CeilingRights(0);
    assertEquals(0.25, deliver(door, PERIOD_START_MS, requested(4, 0, 1)).share());
    assertEquals(0.25, deliver(door, PERIOD_START_MS + 1, requested(2, 0, 1)).share());
    assertEquals(0.5, deliver(door, PERIOD_START_MS + CeilingRights.PERIOD_MS, requested(2, 0, 1)).share());
  }

  @Test
  void requestsTheNextWakeUp() {
    assertTrue(new CeilingRights(0).on(100, new Woken()).contains(new WakeAt(350)));
    assertFalse(CeilingRights.ownsName("16:4"));
    assertFalse(CeilingRights.ownsName("~d1:4"));
  }

  /**
   * Random requests, lost calls, lost answers, emptied and split counters, restarted doors, and clocks that
   * differ by less than the guard time: at no time do the shares of all doors exceed the ceiling.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void sharesNeverAddUpToMoreThanTheCeiling(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    int n = 2 + random.nextInt(3);
    CeilingRights[] doors = new CeilingRights[n];
    Share[] shares = new Share[n];
    double[] clockOffsetMs = new double[n];
    for (int i = 0; i < n; i++) {
      doors[i] = new CeilingRights(0);
      clockOffsetMs[i] = random.nextDouble() * (CeilingRights.CLOCK_SKEW_GUARD_MS - 1) / 2;
    }
    List<Map<String, Double>> counters = new ArrayList<>(List.of(new HashMap<>(), new HashMap<>()));
    boolean split = false;
    int busyDoor = 0;
    double largestSum = 0;
    double largestRatio = 0;
    for (double now = PERIOD_START_MS; now < PERIOD_START_MS + 400_000; now += random.nextDouble() * 100) {
      int kind = random.nextInt(2_000);
      if (kind < 2) {
        split = !split;
        counters.set(1, new HashMap<>(counters.get(0)));
      } else if (kind < 4) {
        counters.get(random.nextInt(2)).clear();
      } else if (kind < 6) {
        int i = random.nextInt(n);
        doors[i] = new CeilingRights(now + clockOffsetMs[i]);
        shares[i] = null;
      } else if (kind < 20) {
        busyDoor = random.nextInt(n);
      }
      int i = random.nextInt(3) > 0 ? busyDoor : random.nextInt(n);
      Map<String, Double> counter = counters.get(split ? i % 2 : 0);
      double doorNow = now + clockOffsetMs[i];
      RightsEvent event = random.nextInt(10) == 0 ? new Woken()
          : new Requested(FIRM, n, i, RATE, BURST, MAX_UNITS, 1 + random.nextInt(8));
      List<RightsAction> actions = new ArrayList<>(doors[i].on(doorNow, event));
      for (int k = 0; k < actions.size(); k++) {
        if (actions.get(k) instanceof Share s) {
          shares[i] = s;
        } else if (actions.get(k) instanceof Call c) {
          int fate = random.nextInt(20);
          double total = fate == 0 ? Double.NaN : counter.merge(c.name(), c.amount(), Double::sum);
          actions.addAll(doors[i].on(doorNow, new CallEnded(c.name(), fate == 1 ? Double.NaN : total)));
        }
      }
      // The share of each door if a request arrived now; without a request a door uses nothing.
      double sum = 0;
      for (int j = 0; j < n; j++) {
        Share s = currentShare(doors[j], now + clockOffsetMs[j], n, j);
        sum += s.share();
        largestRatio = Math.max(largestRatio, s.share() * n);
      }
      largestSum = Math.max(largestSum, sum);
      assertTrue(sum <= 1 + 1e-9, "seed " + seed + ": " + sum + " at " + (now - PERIOD_START_MS));
    }
    assertTrue(largestSum > 0.9 && largestRatio > 1.1, "seed " + seed + " moved too little: " + largestSum
        + ", " + largestRatio);
  }

  private static Share currentShare(CeilingRights door, double now, int n, int place) {
    return door.on(now, new Requested(FIRM, n, place, RATE, BURST, MAX_UNITS, 0)).stream()
        .filter(Share.class::isInstance).map(Share.class::cast).findFirst().orElseThrow();
  }
}
