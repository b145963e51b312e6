package willowdoor.daemon.fleet;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;
import willowdoor.testkit.BackendPool;
import willowdoor.testkit.ClientFleet;
import willowdoor.testkit.FaultInjector;
import willowdoor.testkit.FaultInjector.Fault;
import willowdoor.testkit.InvariantChecker.Rule;
import willowdoor.testkit.InvariantChecker.Verdict;
import willowdoor.testkit.LoadStatistics;
import willowdoor.testkit.LoadStatistics.IntervalStatistics;
import willowdoor.testkit.RunSettings;

/** Demonstrates the product on this machine, with stand-ins for everything that it depends on. */
@Command(name = "demo", mixinStandardHelpOptions = true,
    description =
        "Two doors, six backends, a counter and discovery in a box; one door and one backend are killed.")
public final class DemoCommand implements Callable<Integer> {

  private static final int SECONDS = 15;
  private static final int DOORS = 2;
  private static final double RATE = 80;
  private static final int FIRMS = 16;
  private static final long SEED = 7;
  private static final double KILL_AT_MS = SECONDS * 500.0;
  private static final double AWAY_MS = 3_000;

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() throws IOException {
    PrintWriter out = spec.commandLine().getOut();
    out.printf("starting %d doors, 6 backends, counter and discovery on loopback ...%n", DOORS);
    out.flush();
    try (FleetRun run =
        new FleetRun(RunSettings.typical(), new BackendPool.BackendSpec(6, 4, 32, 110, 200), DOORS, SEED)) {
      run.start(new ClientFleet.Load(RATE, FIRMS, 0.15, 6, DOORS));
      double from = run.rig().eventHistory().now();
      run.clients().start();
      try (FaultInjector faults = new FaultInjector(run.rig(), run.doors())) {
        faults.inject(List.of(new Fault(KILL_AT_MS, FaultInjector.FaultKind.KILL_DOOR, 1, AWAY_MS),
            new Fault(KILL_AT_MS, FaultInjector.FaultKind.KILL_BACKEND, 0, AWAY_MS)));
        for (int s = 1; s <= SECONDS; s++) {
          while (run.rig().eventHistory().now() < from + s * 1_000) {
            FleetRun.sleep(20);
          }
          IntervalStatistics last = run.clients().statistics()
              .interval(from + (s - 1) * 1_000, from + s * 1_000);
          out.printf("%2d s  doors up %d of %d  offered %3d  served %3d  refused %3d  failed %d%s%n", s,
              run.clients().doorsUp(), DOORS, last.offered(), last.served(), last.refused(), last.failed(),
              s == (int) Math.ceil(KILL_AT_MS / 1_000) ? "   <- door d1 and backend b0 killed" : "");
          out.flush();
        }
      }
      Verdict verdict = run.finish();
      report(run, out, verdict, from);
      return verdict.passed() ? 0 : 1;
    }
  }

  private static void report(FleetRun run, PrintWriter out, Verdict verdict, double from) {
    IntervalStatistics all = run.clients().statistics().interval(from, from + 1e6);
    out.println();
    out.printf("offered            %6d   requests, in %d tries%n", all.offered(), all.tries());
    out.printf("served             %6d%n", all.served());
    out.printf("refused            %6d   beyond a quota, or none could take it: asking again is harmless%n",
        all.refused());
    out.printf("failed             %6d%n", all.failed());
    out.printf("lost with a door   %6d   held by the door when it was killed, or sent to it dead%n",
        all.unanswered() + all.notTaken());
    out.printf("unanswered         %6d   by a live door%n", verdict.count(Rule.ANSWERED_ONCE));
    out.printf("effects run twice  %6d%n", verdict.count(Rule.EFFECT_ONCE));
    out.printf("p50 / p99          %6.0f / %.0f ms%n%n", all.p50Ms(), all.p99Ms());
    out.printf("%-18s %-6s %10s %10s %8s %8s%n", "firm", "plan", "offered", "served", "quota", "use");
    out.printf("%-18s %-6s %10s %10s %8s %8s%n", "", "", "units", "units", "units", "");
    run.clients().statistics().firms().forEach((name, f) -> line(run, out, name, f));
    out.println();
    out.print(verdict);
    out.flush();
  }

  private static void line(FleetRun run, PrintWriter out, String name, LoadStatistics.FirmUsage f) {
    RunSettings.PlanTerms plan = run.rig().runSettings().plan(f.plan());
    double quota = plan.burst() + plan.rate() * SECONDS;
    out.printf(Locale.ROOT, "%-18s %-6s %10d %10d %8.0f %7.0f%%%n", name, f.plan(), f.offeredUnits(),
        f.servedUnits(),
        quota, 100 * f.servedUnits() / quota);
  }
}
