package willowdoor.daemon.fleet;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import willowdoor.testkit.BackendPool;
import willowdoor.testkit.ClientFleet;
import willowdoor.testkit.InvariantChecker.Rule;
import willowdoor.testkit.InvariantChecker.Verdict;
import willowdoor.testkit.QuotaAudit;
import willowdoor.testkit.QuotaAudit.HalfBurstTries;
import willowdoor.testkit.QuotaAudit.FirmUse;
import willowdoor.testkit.StandInCounter;
import willowdoor.testkit.StandInValkey;
import willowdoor.testkit.StandIns;
import willowdoor.testkit.RunSettings;
import willowdoor.testkit.RunSettings.PlanTerms;

/** Runs fleets whose counter is lost, replaced, split or slowed, and compares overshoot with its bounds. */
@Command(name = "counter", mixinStandardHelpOptions = true, description = {
    "Runs fleets on loopback whose counter fails, and holds what was sent on to stated bounds.",
    "  cases     one fleet for each kind of failure: overshoot beside its bound, ceilings, refusals",
    "  recovery  the counter is replaced by an empty one: when each door calls again, and how much",
    "  store     two doors beside each other: counts at a counter of lines, and at a stand-in of Valkey"})
public final class CounterCommand implements Callable<Integer> {

  enum Run { cases, recovery, store }

  /** Kinds of counter failure; the duration of the failure is part of the bound. */
  enum Case {
    none(0), away(7_000), hangs(7_000), half_cut_off(7_000), empty(0), briefly(500),
        twice_in_a_window(400),
    old_copy(0), split_first_wins(10_000), split_second_wins(10_000), split_empty(10_000), flaps(6_000),
        late(7_000),
    loses_answers(5_000), answers_twice(5_000), a_tenth_of_the_rate(7_000), resets(5_000), door_anew(3_000),
    store_killed(3_000), store_promoted(1_000), store_split(10_000);

    private final double durationMs;

    Case(double durationMs) {
      this.durationMs = durationMs;
    }

    /** Whether the counts are in a stand-in of Valkey, which is the part that fails. */
    boolean ofStore() {
      return this == store_killed || this == store_promoted || this == store_split;
    }
  }

  private static final double QUIET_MS = 8_000;
  private static final double RECOVERY_MS = 7_000;
  private static final double DETECTION_MS = 500;
  /** The store reconnects within 1.5 s, and needs one call to learn which counts the server has. */
  private static final double STORE_DETECTION_MS = 2_000;
  /** The promoted replica lacks the writes of the last second. */
  private static final long REPLICA_LAG_MS = 1_000;
  private static final double FLAP_MS = 300;
  private static final double LATE_MS = 70;
  /** A firm that asks for less than this share of its quota over the run counts as staying below it. */
  private static final double LOW_USE_SHARE = 0.8;

  @Parameters(paramLabel = "RUN", description = "${COMPLETION-CANDIDATES}")
  private Run what;
  @Option(names = "--doors", defaultValue = "6", description = "Instances (default: ${DEFAULT-VALUE}).")
  private int doorCount;
  @Option(names = "--rate", defaultValue = "240", description =
      "Requests a second (default: ${DEFAULT-VALUE}).")
  private double rate;
  @Option(names = "--case", description = "Only these cases: ${COMPLETION-CANDIDATES}.")
  private List<Case> only;
  @Option(names = "--seed", defaultValue = "1", description = "Of the load (default: ${DEFAULT-VALUE}).")
  private long seed;
  @Spec
  private CommandSpec spec;
  private PrintWriter out;

  @Override
  public Integer call() throws IOException {
    out = spec.commandLine().getOut();
    return switch (what) {
      case cases -> cases();
      case recovery -> recovery();
      case store -> store();
    };
  }

  /** A server and its replica; every third door uses a separate address. */
  private record Servers(StandInValkey first, StandInValkey second, InetSocketAddress addressOfSomeDoors)
      implements AutoCloseable {

    static Servers make() throws IOException {
      StandInValkey first = new StandInValkey();
      return new Servers(first, StandInValkey.replicaOf(first),
          first.listenAt(StandIns.anyAddress()));
    }

    String lines(int door) {
      return "store = \"valkey\"\naddress = \""
          + StandIns.text(door % 3 == 0 ? addressOfSomeDoors : first.address()) + '"';
    }

    void cause(Case c) throws IOException {
      switch (c) {
        case store_killed -> {
          first.kill();
          FleetRun.sleep((long) c.durationMs);
          first.start();
          first.listenAt(addressOfSomeDoors);
        }
        case store_promoted -> {
          second.runCommand("REPLICAOF NO ONE");
          FleetRun.sleep(REPLICA_LAG_MS);
          first.kill();
          FleetRun.sleep((long) c.durationMs);
          second.listenAt(first.address());
          second.listenAt(addressOfSomeDoors);
        }
        default -> {
          first.stopListening(addressOfSomeDoors);
          second.runCommand("REPLICAOF NO ONE");
          second.listenAt(addressOfSomeDoors);
          FleetRun.sleep((long) c.durationMs);
          second.stopListening(addressOfSomeDoors);
          first.listenAt(addressOfSomeDoors);
        }
      }
    }

    @Override
    public void close() throws IOException {
      first.close();
      second.close();
    }
  }

  private FleetRun fleet(int mostSpread) throws IOException {
    return fleet(mostSpread, null);
  }

  private FleetRun fleet(int mostSpread, Servers servers) throws IOException {
    FleetRun run =
        new FleetRun(RunSettings.typical(), new BackendPool.BackendSpec(12, 4, 64, 5, 15), doorCount, seed);
    run.rig().backendPool().chargeNamedUnits();
    if (servers != null) {
      run.setCounterLines(servers::lines);
    }
    run.start(new ClientFleet.Load(rate, (int) (rate / 4), 0.15, 20, mostSpread, true));
    return run;
  }

  private int cases() throws IOException {
    out.printf(Locale.ROOT,
        "%d doors, %.0f requests/s, %d firms in sets of 2 to 4 doors, most of a "
        + "firm's requests through one or two of them, 15%% of firms at 20 times the others' load; %.0f s "
        + "before and %.0f s after each "
        + "failure; seed %d%n", doorCount, rate, (int) (rate / 4), QUIET_MS / 1000, RECOVERY_MS / 1000, seed);
    out.printf("| %-20s | %-20s | %-20s | %-8s | %-24s | %-24s | %s |%n", "case", "basic: over, of bound",
        "full: over, of bound", "ceilings", "half unused, meanwhile", "half unused, else", "rules broken");
    out.flush();
    int bad = 0;
    for (Case c : only == null ? List.of(Case.values()) : only) {
      bad += play(c) ? 0 : 1;
    }
    return bad == 0 ? 0 : 1;
  }

  private boolean play(Case c) throws IOException {
    try (Servers servers = c.ofStore() ? Servers.make() : null; FleetRun run = fleet(4, servers)) {
      run.clients().start();
      FleetRun.sleep((long) QUIET_MS);
      double from = run.rig().eventHistory().now();
      if (servers != null) {
        servers.cause(c);
      } else {
        cause(c, run);
      }
      double to = run.rig().eventHistory().now();
      FleetRun.sleep((long) RECOVERY_MS);
      Verdict verdict = run.finish();
      QuotaAudit quotas = new QuotaAudit(run.rig().eventHistory(), run.rig().runSettings());
      List<FirmUse> uses = quotas.firmUses();
      double seconds = (QUIET_MS + RECOVERY_MS + to - from) / 1000;
      Set<String> below = uses.stream().filter(u -> u.asked() < LOW_USE_SHARE * u.plan().rate() * seconds)
          .map(FirmUse::firm).collect(Collectors.toSet());
      HalfBurstTries meanwhile = quotas.triesWithHalfBurst(from, to, below::contains, d -> true);
      HalfBurstTries before = quotas.triesWithHalfBurst(0, from, below::contains, d -> true);
      HalfBurstTries after = quotas.triesWithHalfBurst(to, Double.MAX_VALUE, below::contains, d -> true);
      HalfBurstTries other =
          new HalfBurstTries(before.asked() + after.asked(), before.refused() + after.refused());
      boolean kept = verdict.passed();
      StringBuilder row = new StringBuilder(String.format("| %-20s |", c));
      for (PlanTerms plan : run.rig().runSettings().plans()) {
        double worst = uses.stream().filter(u ->
            u.plan().equals(plan)).mapToDouble(FirmUse::maxOverQuota).max().orElse(0);
        double bound = bound(c, plan, Math.min(4, doorCount), to - from);
        kept &= worst <= bound;
        row.append(String.format(Locale.ROOT, " %8.1f of %8.1f |", worst, bound));
      }
      out.printf("%s %8d | %-24s | %-24s | %d |%n", row, verdict.count(Rule.CEILING_KEPT), text(meanwhile),
          text(other), verdict.violations().size());
      if (!verdict.passed()) {
        out.print(verdict);
      }
      out.flush();
      return kept;
    }
  }

  private static String text(HalfBurstTries h) {
    return String.format(Locale.ROOT, "%d of %d (%.2f%%)", h.refused(), h.asked(), 100 * h.share());
  }

  /** The overshoot bounds of docs/design/counter-loss.md, in units, for a firm in a set of n doors. */
  static double bound(Case c, PlanTerms plan, int n, double tookMs) {
    double b = plan.burst();
    double m = RunSettings.MAX_UNITS;
    double told = c.ofStore() ? STORE_DETECTION_MS : DETECTION_MS;
    double gives = plan.rate() * ((c.durationMs > 0 ? tookMs : 0) + told) / 1000;
    double away = n * (b + gives) + n * m;
    return b + n * m + switch (c) {
      case none -> 0;
      case empty -> n * m;
      case old_copy -> n * (b + m);
      case split_first_wins, split_second_wins, split_empty, store_split -> b + gives + n * m;
      case store_promoted -> away + n * (b + m);
      case door_anew -> b;
      case briefly, twice_in_a_window -> away + 2 * n * m;
      default -> away;
    };
  }

  private static void cause(Case c, FleetRun run) {
    StandInCounter counter = run.rig().counter();
    switch (c) {
      case none -> FleetRun.sleep(1_000);
      case away, briefly -> {
        counter.stop();
        FleetRun.sleep((long) c.durationMs);
        if (c == Case.away) {
          counter.restart();
        } else {
          counter.restartEmpty();
        }
      }
      case hangs -> {
        counter.hang(true);
        FleetRun.sleep((long) c.durationMs);
        counter.hang(false);
      }
      case half_cut_off -> {
        counter.cutOff(d -> d % 2 == 0);
        FleetRun.sleep((long) c.durationMs);
        counter.reconnect();
      }
      case empty -> {
        counter.stop();
        counter.restartEmpty();
      }
      case twice_in_a_window -> {
        for (int i = 0; i < 2; i++) {
          counter.stop();
          counter.restartEmpty();
          FleetRun.sleep((long) c.durationMs);
        }
      }
      case old_copy -> {
        counter.keepCopy();
        FleetRun.sleep(5_000);
        counter.stop();
        counter.restartWithCopy();
      }
      case split_first_wins, split_second_wins, split_empty -> {
        counter.splitInTwo(d -> d % 3 == 0, c != Case.split_empty);
        FleetRun.sleep((long) c.durationMs);
        counter.endSplit(c == Case.split_second_wins);
      }
      case flaps -> {
        for (int i = 0; i < c.durationMs / FLAP_MS / 2; i++) {
          counter.stop();
          FleetRun.sleep((long) FLAP_MS);
          counter.restart();
          FleetRun.sleep((long) FLAP_MS);
        }
      }
      case late -> {
        counter.delay(LATE_MS);
        FleetRun.sleep((long) c.durationMs);
        counter.delay(1);
      }
      case loses_answers -> {
        counter.loseAnswers(true);
        FleetRun.sleep((long) c.durationMs);
        counter.loseAnswers(false);
      }
      case answers_twice -> {
        counter.answerTwice(true);
        FleetRun.sleep((long) c.durationMs);
        counter.answerTwice(false);
      }
      case a_tenth_of_the_rate -> {
        long calls = counter.calls();
        FleetRun.sleep(1_000);
        counter.limitRate(Math.max(1, (counter.calls() - calls) / 10.0));
        FleetRun.sleep((long) c.durationMs);
        counter.limitRate(Double.POSITIVE_INFINITY);
      }
      case resets -> {
        counter.reset(true);
        FleetRun.sleep((long) c.durationMs);
        counter.reset(false);
      }
      case door_anew -> {
        counter.stop();
        run.doors().get(0).kill();
        run.doors().get(0).start();
        FleetRun.await(() -> run.clients().isUp(0), 30_000);
        FleetRun.sleep((long) c.durationMs);
        counter.restart();
      }
      default -> throw new IllegalArgumentException("case: " + c + " (expected: one of the counter's)");
    }
  }

  private int recovery() throws IOException {
    try (FleetRun run = fleet(doorCount)) {
      StandInCounter counter = run.rig().counter();
      run.clients().start();
      FleetRun.sleep((long) QUIET_MS);
      long quiet = counter.calls();
      FleetRun.sleep(2_000);
      double usual = (counter.calls() - quiet) / 2.0;
      counter.stop();
      FleetRun.sleep(2_000);
      counter.restartEmpty();
      double back = run.rig().eventHistory().now();
      long busiest = 0;
      long[] tenths = new long[51];
      tenths[0] = counter.calls();
      for (int i = 1; i < tenths.length; i++) {
        while (run.rig().eventHistory().now() < back + 100 * i) {
          FleetRun.sleep(1);
        }
        tenths[i] = counter.calls();
        busiest = Math.max(busiest, tenths[i] - tenths[Math.max(0, i - 10)]);
      }
      FleetRun.await(() -> counter.firstCalls().size() == doorCount, 10_000);
      List<Double> calledAgain = counter.firstCalls().values().stream().map(t -> t - back).sorted().toList();
      Verdict verdict = run.finish();
      out.printf(Locale.ROOT,
          "%d doors, %.0f requests/s, sets of up to %d doors, seed %d: %.0f calls/s before; "
          + "after 2 s away and back empty, doors call again after %.0f ms (median), %.0f ms (last of %d); "
          + "busiest second of "
          + "the first five %d calls; rules broken %d%n", doorCount, rate, doorCount, seed, usual,
          calledAgain.get(calledAgain.size() / 2), calledAgain.get(calledAgain.size() - 1),
              calledAgain.size(), busiest,
          verdict.violations().size());
      if (!verdict.passed()) {
        out.print(verdict);
      }
      out.flush();
      return verdict.passed() ? 0 : 1;
    }
  }

  private static final double STORE_WARM_UP_MS = 10_000;
  private static final double STORE_MEASURED_MS = 20_000;

  private int store() throws IOException {
    out.printf(Locale.ROOT,
        "two doors beside each other, %.0f requests/s each, %.0f s measured after %.0f s; seed %d%n",
        rate, STORE_MEASURED_MS / 1000, STORE_WARM_UP_MS / 1000, seed);
    out.flush();
    int broken = 0;
    try (StandInValkey server = new StandInValkey();
        FleetRun lines =
            new FleetRun(RunSettings.typical(), new BackendPool.BackendSpec(12, 4, 64, 2, 3), 1, seed);
        FleetRun valkey =
            new FleetRun(RunSettings.typical(), new BackendPool.BackendSpec(12, 4, 64, 2, 3), 1, seed)) {
      valkey.setCounterLines("store = \"valkey\"\naddress = \"" + StandIns.text(server.address()) + '"');
      List<FleetRun> sides = List.of(lines, valkey);
      double[] from = new double[2];
      double[] cpu = new double[2];
      double[] tries = new double[2];
      for (FleetRun side : sides) {
        side.start(new ClientFleet.Load(rate, (int) rate, 0, 1, 1));
      }
      for (FleetRun side : sides) {
        side.clients().start();
      }
      FleetRun.sleep((long) STORE_WARM_UP_MS);
      for (int i = 0; i < 2; i++) {
        from[i] = sides.get(i).rig().eventHistory().now();
        cpu[i] = sides.get(i).doors().get(0).cpuSeconds();
        tries[i] = sides.get(i).clients().sentTries();
      }
      FleetRun.sleep((long) STORE_MEASURED_MS);
      for (int i = 0; i < 2; i++) {
        FleetRun side = sides.get(i);
        double took = side.doors().get(0).cpuSeconds() - cpu[i];
        double sent = side.clients().sentTries() - tries[i];
        double resident = side.doors().get(0).residentMb();
        Verdict verdict = side.finish();
        Histogram h = AuthorisedCommand.answerTimes(side, from[i], Double.MAX_VALUE, a -> true);
        out.printf(Locale.ROOT,
            "%-7s tries %6.0f  p50 %6.2f ms  p99 %6.2f ms  CPU %4.0f us a try  resident %5.1f MB  "
            + "rules broken %d%n", i == 0 ? "lines" : "valkey", sent, h.getValueAtPercentile(50) / 1e3,
            h.getValueAtPercentile(99) / 1e3, 1e6 * took / sent, resident, verdict.violations().size());
        broken += verdict.passed() ? 0 : 1;
      }
      out.flush();
    }
    return broken == 0 ? 0 : 1;
  }
}
