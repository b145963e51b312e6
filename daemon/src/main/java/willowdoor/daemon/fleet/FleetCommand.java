package willowdoor.daemon.fleet;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import willowdoor.daemon.agreement.ReleaseCommand;
import willowdoor.testkit.BackendPool;
import willowdoor.testkit.ClientFleet;
import willowdoor.testkit.DoorProcess;
import willowdoor.testkit.FaultInjector;
import willowdoor.testkit.FaultInjector.Fault;
import willowdoor.testkit.InvariantChecker.Verdict;
import willowdoor.testkit.LoadStatistics;
import willowdoor.testkit.LoadStatistics.IntervalStatistics;
import willowdoor.testkit.RunSettings;

/** Runs a fleet of daemons on this machine under load, causes seeded faults, and judges the outcome. */
@Command(name = "fleet", mixinStandardHelpOptions = true,
    description = {"Runs a fleet on loopback under load, kills or rolls it, and judges the rules.",
        "release: has a fleet that agrees replaced by another version."},
    subcommands = ReleaseCommand.class)
public final class FleetCommand implements Callable<Integer> {

  private static final double QUIET_SHARE = 0.25;
  private static final double KILL_SHARE = 0.35;
  private static final double MIN_DOWNTIME_MS = 1_000;
  private static final double MAX_DOWNTIME_MS = 6_000;
  private static final double RECOVERED_SHARE = 0.95;
  private static final long REPLACE_LIMIT_MS = 30_000;

  @Option(names = "--doors", defaultValue = "10", description = "Instances (default: ${DEFAULT-VALUE}).")
  private int doorCount;
  @Option(names = "--seconds", defaultValue = "60", description =
      "Length of the load (default: ${DEFAULT-VALUE}).")
  private int seconds;
  @Option(names = "--rate", defaultValue = "50", description = "Requests a second for each door (default: "
      + "${DEFAULT-VALUE}).")
  private double rate;
  @Option(names = "--kills", defaultValue = "0", description = "Doors killed at random and started again "
      + "(default: ${DEFAULT-VALUE}).")
  private int kills;
  @Option(names = "--within", defaultValue = "0", description =
      "Kill them within so many ms (default: a third of "
      + "the run).")
  private double withinMs;
  @Option(names = "--slow-counter", description = "The counter needs 30 ms a call while doors are killed.")
  private boolean slowCounter;
  @Option(names = "--backend-faults", defaultValue = "0", description = "Faults of backends (default: "
      + "${DEFAULT-VALUE}).")
  private int backendFaults;
  @Option(names = "--fault", paramLabel = "KIND@AT_MS+FOR_MS[/TARGET]", converter = FaultConverter.class,
      description =
          "A fault of your own, such as LOSE_ZONE_B@20000+8000 or STOP_DOOR@15000+5000/3; may be given "
          + "more than once.")
  private List<Fault> faultsGiven = List.of();
  @Option(names = "--roll", description = "Replace all doors one by one without a gap, in the second half.")
  private boolean roll;
  @Option(names = "--seed", defaultValue = "1", description =
      "Of load and faults (default: ${DEFAULT-VALUE}).")
  private long seed;
  @Spec
  private CommandSpec spec;

  /** Parses a fault given on the command line. */
  static final class FaultConverter implements CommandLine.ITypeConverter<Fault> {
    private static final Pattern FORM = Pattern.compile("([A-Z_]+)@(\\d{1,7})\\+(\\d{1,7})(?:/(\\d{1,4}))?");

    @Override
    public Fault convert(String text) {
      Matcher m = FORM.matcher(text);
      if (m.matches()) {
        for (FaultInjector.FaultKind what : FaultInjector.FaultKind.values()) {
          if (what.name().equals(m.group(1))) {
            return new Fault(Double.parseDouble(m.group(2)), what,
                m.group(4) == null ? 0 : Integer.parseInt(m.group(4)), Double.parseDouble(m.group(3)));
          }
        }
      }
      throw new CommandLine.TypeConversionException(text
          + " (expected: KIND@AT_MS+FOR_MS[/TARGET], KIND one of "
          + List.of(FaultInjector.FaultKind.values()) + ")");
    }
  }

  @Override
  public Integer call() throws IOException {
    PrintWriter out = spec.commandLine().getOut();
    double all = rate * doorCount;
    // Backend capacity is about 1.6 times the load: 110 to 200 ms of work (mean 155), four cores each.
    int backends = Math.max(6, (int) Math.ceil(all * 0.155 * 1.6 / 4));
    int firms = Math.max(20, (int) (all / 2));
    BackendPool.BackendSpec make = new BackendPool.BackendSpec(backends, 4, 32, 110, 200);
    out.printf("%d doors, %d backends of 4 cores, %d firms, %.0f requests/s for %d s, seed %d%n", doorCount,
        backends,
        firms, all, seconds, seed);
    out.flush();
    try (FleetRun run = new FleetRun(RunSettings.typical(), make, doorCount, seed)) {
      long began = System.nanoTime();
      run.start(new ClientFleet.Load(all, firms, 0.1, 5, 4));
      out.printf("all doors up after %.1f s%n", (System.nanoTime() - began) / 1e9);
      out.flush();
      return run(run, out);
    }
  }

  private int run(FleetRun run, PrintWriter out) {
    double from = run.rig().eventHistory().now();
    double lengthMs = seconds * 1_000.0;
    double quietEnd = from + lengthMs * QUIET_SHARE;
    double span = withinMs > 0 ? withinMs : lengthMs * KILL_SHARE;
    double givenEnd = from + faultsGiven.stream().mapToDouble(f -> f.atMs() + f.lastsMs()).max().orElse(0);
    double faultsEnd = Math.max(givenEnd, quietEnd + span + (kills > 0 ? MAX_DOWNTIME_MS : 0));
    run.clients().start();
    int rolled = 0;
    double[] cpu;
    long sent;
    try (FaultInjector faults = new FaultInjector(run.rig(), run.doors())) {
      if (kills > 0) {
        faults.inject(FaultInjector
            .kills(seed, doorCount, kills, lengthMs * QUIET_SHARE, span, MIN_DOWNTIME_MS,
            MAX_DOWNTIME_MS));
      }
      if (slowCounter) {
        faults.inject(List.of(new Fault(lengthMs * QUIET_SHARE, FaultInjector.FaultKind.SLOW_COUNTER, 0, span
            + MAX_DOWNTIME_MS)));
      }
      if (backendFaults > 0) {
        faults.inject(FaultInjector
            .draw(seed + 1, backendFaults, List.of(FaultInjector.FaultKind.KILL_BACKEND,
            FaultInjector.FaultKind.DRAIN_BACKEND, FaultInjector.FaultKind.ERRORS_BACKEND,
            FaultInjector.FaultKind.RESETS_BACKEND,
            FaultInjector.FaultKind.SPOILS_BACKEND, FaultInjector.FaultKind.SLOW_BACKEND),
            run.rig().backendPool().all().size(),
            lengthMs * QUIET_SHARE, lengthMs * (QUIET_SHARE + KILL_SHARE), 3_000, 8_000));
      }
      faults.inject(faultsGiven);
      if (roll) {
        FleetRun.sleep((long) (lengthMs * QUIET_SHARE));
        for (int i = 0; i < doorCount; i++) {
          if (run.replace(i, REPLACE_LIMIT_MS)) {
            rolled++;
          } else {
            out.printf("door d%d was not replaced in order%n", i);
          }
        }
        faultsEnd = run.rig().eventHistory().now();
      }
      // CPU is measured after the first part, in which JIT compilation costs more than serving.
      waitUntil(run, quietEnd);
      cpu = cpuSeconds(run);
      sent = run.clients().sentTries();
      waitUntil(run, from + lengthMs);
    }
    double to = run.rig().eventHistory().now();
    double used = cpuSecondsSince(run, cpu);
    long sentBy = run.clients().sentTries();
    double resident = run.doors().stream().mapToDouble(DoorProcess::residentMb).average().orElse(0);
    Verdict verdict = run.finish();
    report(run, out, from, quietEnd, faultsEnd, to);
    if (roll) {
      out.printf("replaced without a gap: %d of %d doors%n", rolled, doorCount);
    }
    // The CPU time of ended processes is not known, so it is printed only for runs without kills or rolls.
    if (kills == 0 && !roll) {
      out.printf("CPU %.0f us a try over all doors after the first quarter; ", 1e6 * used / Math.max(1,
          sentBy - sent));
    }
    out.printf("resident %.1f MB a door; counter calls %d, tries %d, not begun for want of room %d%n",
        resident,
        run.rig().counter().calls(), run.clients().sentTries(), run.clients().skippedTries());
    out.print(verdict);
    out.flush();
    return verdict.passed() && (!roll || rolled == doorCount) ? 0 : 1;
  }

  private static void waitUntil(FleetRun run, double atMs) {
    while (run.rig().eventHistory().now() < atMs) {
      FleetRun.sleep(20);
    }
  }

  private void report(FleetRun run, PrintWriter out, double from, double quietEnd, double faultsEnd,
      double to) {
    LoadStatistics tally = run.clients().statistics();
    // Requests count in the second of their first try; margins of 1 s keep retries out of the next phase.
    IntervalStatistics before = tally.interval(from + 1_000, quietEnd - 1_000);
    print(out, "before", before);
    if (kills > 0 || roll || backendFaults > 0 || !faultsGiven.isEmpty()) {
      print(out, "during", tally.interval(quietEnd, Math.min(to, faultsEnd)));
      print(out, "after", tally.interval(Math.min(to, faultsEnd) + 1_000, to));
    }
    if (kills > 0) {
      double worst = 1;
      double recovered = quietEnd;
      for (double s = quietEnd; s + 1_000 <= to; s += 1_000) {
        double share = tally.interval(s, s + 1_000).servedShare();
        worst = Math.min(worst, share);
        if (share < RECOVERED_SHARE * before.servedShare()) {
          recovered = s + 1_000;
        }
      }
      out.printf(Locale.ROOT,
          "worst second served %.3f; within %.0f%% of before again %.0f s after the first kill%n",
          worst, 100 * RECOVERED_SHARE, (recovered - quietEnd) / 1_000);
    }
  }

  private static void print(PrintWriter out, String name, IntervalStatistics s) {
    out.printf(Locale.ROOT,
        "%-7s requests %6d  tries %6d  served %.4f  refused %d  failed %d  unanswered %d  not taken %d  "
        + "p50 %.0f ms  p99 %.0f ms%n", name, s.offered(), s.tries(), s.servedShare(), s.refused(),
            s.failed(),
            s.unanswered(),
        s.notTaken(), s.p50Ms(), s.p99Ms());
  }

  private static double[] cpuSeconds(FleetRun run) {
    return run.doors().stream().mapToDouble(DoorProcess::cpuSeconds).toArray();
  }

  private static double cpuSecondsSince(FleetRun run, double[] before) {
    double used = 0;
    for (int i = 0; i < before.length; i++) {
      used += Math.max(0, run.doors().get(i).cpuSeconds() - before[i]);
    }
    return used;
  }
}
