package willowdoor.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import willowdoor.policy.CounterSimulation.Fault;
import willowdoor.policy.CounterSimulation.Firm;
import willowdoor.policy.CounterSimulation.Traffic;
import willowdoor.policy.CounterSimulation.FaultKind;
import willowdoor.policy.GatewayApi.Plan;

/**
 * Runs random schedules of counter faults, each against a fleet of six doors with twelve firms for half a
 * minute. The units sent are checked against the formulas of docs/design/counter-loss.md. A schedule that
 * exceeds them is reduced to the fewest faults that still do, and printed with its seed. The property {@code
 * counter.schedules} sets the number of schedules.
 */
class CounterScheduleTest {

  private static final int SCHEDULE_COUNT = Integer.getInteger("counter.schedules", 600);
  private static final int DOORS = 6;
  /** Longer than an era of the ceiling shares, so that the doors do not count as new incarnations. */
  private static final double WARM_UP_MS = 25_000;
  private static final double RUN_MS = 30_000;
  /**
   * Long enough that the two sides of a split, each of which grants the quota, together exceed a ceiling of
   * 1.6 times the quota.
   */
  private static final double LONG_SPLIT_MS = 60_000;
  /** How late doors may notice a change: the time of failing calls, or the interval of the watch. */
  private static final double NOTICE_DELAY_MS = 500;

  /** A schedule: the seed of all its randomness, and its faults. */
  private record Schedule(long seed, List<Fault> faults) { }

  private static List<Traffic> traffic(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Traffic> all = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      double times = i % 4 == 0 ? 20 : i % 4 == 1 ? 1.2 : 0.3 + 0.4 * random.nextDouble();
      all.add(new Traffic(i % 2 == 0 ? CounterSimulation.BASIC : CounterSimulation.FULL,
          random.nextInt(DOORS), 2 + random.nextInt(3), times));
    }
    return all;
  }

  private static Schedule randomSchedule(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Fault> all = new ArrayList<>();
    int n = 1 + random.nextInt(5);
    for (int i = 0; i < n; i++) {
      FaultKind kind = FaultKind.values()[random.nextInt(FaultKind.values().length)];
      double maxExtraMs = kind == FaultKind.SPLIT ? 28_000 : 9_800;
      all.add(new Fault(kind, 28_000 * random.nextDouble(), 200 + maxExtraMs * random.nextDouble(),
          random.nextLong(1 << DOORS)));
    }
    return new Schedule(seed, all);
  }

  private static CounterSimulation run(Schedule s, boolean dividesCeilings) {
    return run(s, dividesCeilings, traffic(s.seed()), RUN_MS);
  }

  private static CounterSimulation run(Schedule s, boolean dividesCeilings, List<Traffic> traffic,
      double durationMs) {
    return new CounterSimulation(DOORS, traffic, true, dividesCeilings, s.seed())
        .run(WARM_UP_MS, durationMs, s.faults());
  }

  /**
   * The excess that the rule of the ceiling allows: the slack, and the refill during the scatter of arrival
   * times.
   */
  private static double allowedCeilingExcess(Firm f) {
    return f.traffic.plan().ceilingSlack() + 0.15 * f.traffic.plan().ceilingRate();
  }

  /** Units beyond the quota that the design note allows for these faults, for a firm that uses n doors. */
  static double quotaBound(Firm f, List<Fault> faults) {
    double n = f.traffic.doorCount();
    double b = f.traffic.plan().burst();
    double m = CounterSimulation.MAX_UNITS;
    double bound = b + n * m;
    for (Fault x : faults) {
      double refillUnits = f.traffic.plan().rate() * (x.durationMs() + NOTICE_DELAY_MS) / 1000;
      bound += switch (x.kind()) {
        case AWAY, AWAY_FOR_SOME, MUTE, SLOW -> n * (b + refillUnits) + n * m;
        case SPLIT -> b + refillUnits + n * m;
        case EMPTIED -> n * m;
        case OLD_COPY -> n * (b + m);
        case DOOR_STARTS_ANEW -> b * Math.min(n, Long.bitCount(x.doorBits()));
      };
    }
    return bound;
  }

  private static boolean breaksCeiling(CounterSimulation w) {
    return w.firms.stream().anyMatch(f -> f.worstCeilingExcess > allowedCeilingExcess(f));
  }

  private static boolean breaksBound(Schedule s) {
    CounterSimulation w = run(s, true);
    return breaksCeiling(w) || w.firms.stream().anyMatch(f -> f.worstQuotaExcess > quotaBound(f, s.faults()));
  }

  /** Reduces a schedule to the fewest and shortest faults that still break the bound. */
  private static Schedule shrink(Schedule s, Predicate<Schedule> broken) {
    for (int i = 0; i < s.faults().size(); i++) {
      List<Fault> smaller = new ArrayList<>(s.faults());
      smaller.remove(i);
      if (broken.test(new Schedule(s.seed(), smaller))) {
        return shrink(new Schedule(s.seed(), smaller), broken);
      }
    }
    for (int i = 0; i < s.faults().size(); i++) {
      Fault f = s.faults().get(i);
      List<Fault> smaller = new ArrayList<>(s.faults());
      smaller.set(i, new Fault(f.kind(), f.atMs(), f.durationMs() / 2, f.doorBits()));
      if (f.durationMs() > 200 && broken.test(new Schedule(s.seed(), smaller))) {
        return shrink(new Schedule(s.seed(), smaller), broken);
      }
    }
    return s;
  }

  @Test
  void noScheduleBreaksTheCeilingOrTheQuotaBound() {
    double[] worst = new double[2];
    List<Schedule> broken = LongStream.rangeClosed(1, SCHEDULE_COUNT).parallel().mapToObj(seed -> {
      Schedule s = randomSchedule(seed);
      CounterSimulation w = run(s, true);
      synchronized (worst) {
        for (Firm f : w.firms) {
          worst[0] = Math.max(worst[0], f.worstCeilingExcess - allowedCeilingExcess(f));
          worst[1] = Math.max(worst[1], f.worstQuotaExcess / quotaBound(f, s.faults()));
        }
      }
      boolean bad = breaksCeiling(w)
          || w.firms.stream().anyMatch(f -> f.worstQuotaExcess > quotaBound(f, s.faults()));
      return bad ? s : null;
    }).filter(s -> s != null).toList();
    System.out.println(String.format(Locale.ROOT,
        "%d schedules: worst excess of the ceiling beyond its slack %.1f units; "
        + "worst excess of the quota as a share of its bound %.2f", SCHEDULE_COUNT, worst[0], worst[1]));
    assertTrue(broken.isEmpty(),
        () -> broken.size() + " of " + SCHEDULE_COUNT + " exceed a bound; the first, reduced: "
        + shrink(broken.get(0), CounterScheduleTest::breaksBound));
  }

  /** Shows that the test above can fail, and why ceilings are divided. */
  @Test
  void aLongSplitBreaksCeilingsThatAreNotDivided() {
    Schedule[] splits = LongStream.rangeClosed(1, 40).mapToObj(seed -> new Schedule(seed,
        List.of(new Fault(FaultKind.SPLIT, 1_000, LONG_SPLIT_MS, 0b010101)))).toArray(Schedule[]::new);
    // Floods through sets of four doors, two on each side of the split.
    List<Traffic> floods = List.of(new Traffic(CounterSimulation.BASIC, 0, 4, 20), new
        Traffic(CounterSimulation.BASIC, 2, 4, 20));
    long divided = Stream.of(splits).parallel().filter(s -> breaksCeiling(run(s, true, floods,
        LONG_SPLIT_MS))).count();
    long counted = Stream.of(splits).parallel().filter(s -> breaksCeiling(run(s, false, floods,
        LONG_SPLIT_MS))).count();
    System.out.println("ceilings broken in a split of a minute: " + divided + " of 40 runs divided, " +
        counted
        + " counted together");
    assertTrue(divided == 0 && counted > 0, divided + " and " + counted);
  }

  /**
   * Faults at the edge of a window, within the time of a call around it, and again in the window that begins
   * there.
   */
  @ParameterizedTest
  @EnumSource(value = FaultKind.class, names = {"AWAY", "EMPTIED", "OLD_COPY", "SPLIT"})
  void aLossAtTheEdgeOfAWindowStaysWithinTheBound(FaultKind kind) {
    for (Plan plan : List.of(CounterSimulation.BASIC, CounterSimulation.FULL)) {
      for (long seed = 1; seed <= 10; seed++) {
        List<Traffic> flood = List.of(new Traffic(plan, 0, 3, 20));
        double edge = new CounterSimulation(DOORS, flood, true, true, seed)
            .nextWindowEdgeMs(WARM_UP_MS, 2_000);
        for (double offsetMs : new double[] {-2, 0, 1}) {
          List<Fault> faults =
              List.of(new Fault(kind, edge + offsetMs, 1_000, 0b010), new Fault(kind, edge + offsetMs
              + 4_000, 1_000, 0b010));
          CounterSimulation w = run(new Schedule(seed, faults), true, flood, edge + 8_000);
          Firm f = w.firms.get(0);
          String message = "seed " + seed + ", " + faults + ": " + f.worstQuotaExcess
              + " beyond the quota, bound "
              + quotaBound(f, faults) + ", " + f.unitsSent + " sent";
          assertTrue(f.worstQuotaExcess <= quotaBound(f, faults) && !breaksCeiling(w), message);
          assertTrue(f.unitsSent >= 0.5 * f.traffic.plan().rate() * edge / 1000, message);
        }
      }
    }
  }

  /**
   * One line of the table, over 20 runs: excess of the quota, and refusals of firms below their quota while
   * their door could not reach the counter.
   */
  private static String tableRow(FaultKind kind, double[] worstRefusedShare) {
    int[][] withoutCounter = new int[2][2];
    int[][] halfUnused = new int[2][2];
    double[] worst = new double[2];
    double[] bound = new double[2];
    List<Fault> faults = kind == null ? List.of() : List.of(new Fault(kind, 3_000, 7_000, 0b000111),
        new Fault(kind, 18_000, 4_000, 0b101010));
    for (long seed = 1; seed <= 20; seed++) {
      for (Firm f : run(new Schedule(seed, faults), true).firms) {
        int p = f.traffic.plan() == CounterSimulation.BASIC ? 0 : 1;
        worst[p] = Math.max(worst[p], f.worstQuotaExcess);
        bound[p] = Math.max(bound[p], quotaBound(f, faults));
        boolean belowQuota = f.traffic.rateMultiple() < 1;
        withoutCounter[p][0] += belowQuota ? f.requestsWithoutCounter : 0;
        withoutCounter[p][1] += belowQuota ? f.refusalsWithoutCounter : 0;
        halfUnused[p][0] += belowQuota ? f.requestsHalfUnused : 0;
        halfUnused[p][1] += belowQuota ? f.refusalsHalfUnused : 0;
      }
    }
    worstRefusedShare[0] = Math.max(worstRefusedShare[0], refusedShare(withoutCounter[1]));
    return String.format(Locale.ROOT,
        "| %s | %.0f of %.0f | %.0f of %.0f | %.2f%% | %.2f%% | %.2f%% | %.2f%% |",
        kind == null ? "none" : kind, worst[0], bound[0], worst[1], bound[1],
        100 * refusedShare(withoutCounter[0]), 100 * refusedShare(withoutCounter[1]),
        100 * refusedShare(halfUnused[0]), 100 * refusedShare(halfUnused[1]));
  }

  private static double refusedShare(int[] askedAndRefused) {
    return askedAndRefused[1] / (double) Math.max(1, askedAndRefused[0]);
  }

  /**
   * Under a ceiling, a door that needs more than its even part cannot get more while the counter is absent.
   * So the limit holds for the plan without a ceiling only.
   */
  @Test
  void doorsWithoutCounterRefuseUnderOnePercentOfFirmsWithHalfTheirQuotaUnused() {
    double[] worstRefusedShare = new double[1];
    StringBuilder table = new
        StringBuilder("worst excess of the quota and its bound, basic and full; refused with half "
        + "the quota unused: without the counter, basic and full; at any time, basic and full\n");
    table.append(tableRow(null, worstRefusedShare)).append('\n');
    for (FaultKind kind : FaultKind.values()) {
      table.append(tableRow(kind, worstRefusedShare)).append('\n');
    }
    System.out.println(table);
    assertTrue(worstRefusedShare[0] > 0 && worstRefusedShare[0] < 0.01, table::toString);
  }
}
