package willowdoor.daemon.fleet;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import willowdoor.testkit.BackendPool;
import willowdoor.testkit.ClientFleet;
import willowdoor.testkit.InvariantChecker.Verdict;
import willowdoor.testkit.EventHistory.ClientRequest;
import willowdoor.testkit.LoadStatistics;
import willowdoor.testkit.RunSettings;
import willowdoor.testkit.RunSettings.PlanTerms;

/** Measures real doors without a flood by one firm, with it, and with both it and the fair queue. */
@Command(name = "fair", mixinStandardHelpOptions = true, description = {
    "One firm floods real doors on loopback; others ask within their quotas.",
    "Three runs: without the flood, with it, with it and the fair queue."})
public final class FairCommand implements Callable<Integer> {

  private static final double WARM_UP_MS = 10_000;
  private static final String QUEUE_TABLE = "[fair]%nenabled = true%nclient_by = \"header\"%n"
      + "client_header = \"X-Client\"%n";

  /** Whether the flooding firm's plan has a quota. */
  enum Kind { metered, open }

  @Option(names = "--kind", defaultValue = "metered", description =
      "The flooding firm's plan: ${COMPLETION-CANDIDATES}. Default: ${DEFAULT-VALUE}.")
  private Kind kind;

  @Option(names = "--times", defaultValue = "20", description =
      "Size of the flood, in quotas. Default: ${DEFAULT-VALUE}.")
  private double times;

  @Option(names = "--clients", defaultValue = "10000", description =
      "The flooding firm's clients. Default: ${DEFAULT-VALUE}.")
  private int clients;

  @Option(names = "--doors", defaultValue = "3", description = "Default: ${DEFAULT-VALUE}.")
  private int doors;

  @Option(names = "--rate", defaultValue = "200", description =
      "Requests/s of the other firms together. Default: ${DEFAULT-VALUE}.")
  private double rate;

  @Option(names = "--seconds", defaultValue = "30", description = "Measured. Default: ${DEFAULT-VALUE}.")
  private int seconds;

  @Option(names = "--seed", defaultValue = "1", description = "Default: ${DEFAULT-VALUE}.")
  private long seed;

  @Option(names = "--only-queue", description = "Just the run with the queue.")
  private boolean only;

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() throws IOException {
    PrintWriter out = spec.commandLine().getOut();
    double quota = 40;
    double flood = times * quota / 1.7;
    out.printf(Locale.ROOT,
        "%d doors, 40 firms with %.0f requests/s, the first floods with %.0f requests/s of "
        + "%d clients (%s, %.0f times its quota); %d s; seed %d%n", doors, rate, flood, clients, kind, times,
        seconds, seed);
    boolean kept = only || runOnce(out, "no flood", 0, false);
    kept = (only || runOnce(out, "flood", flood, false)) && kept;
    kept = runOnce(out, "flood, queue", flood, true) && kept;
    return kept ? 0 : 1;
  }

  private boolean runOnce(PrintWriter out, String name, double flood, boolean queue) throws IOException {
    double quota = 40;
    double ofFirst = kind == Kind.metered ? quota : 0;
    PlanTerms first = new PlanTerms("first", ofFirst, 2 * ofFirst, 0, 0, 0);
    RunSettings terms = RunSettings.typical()
        .withPlansAndKeyWindow(List.of(first, new PlanTerms("full", quota, 2 * quota, 0, 0, 0)), 4_000);
    try (FleetRun run = new FleetRun(terms, new BackendPool.BackendSpec(6, 2, 64, 10, 30), doors, seed)) {
      if (queue) {
        run.addTables(String.format(QUEUE_TABLE));
      }
      run.start(new ClientFleet.Load(rate, 40, 0, 1, doors));
      run.clients().start();
      if (flood > 0) {
        run.clients().flood(flood, clients);
      }
      FleetRun.sleep((long) WARM_UP_MS);
      double from = run.rig().eventHistory().now();
      FleetRun.sleep(seconds * 1_000L);
      double to = run.rig().eventHistory().now();
      double resident = 0;
      for (int i = 0; i < doors; i++) {
        resident = Math.max(resident, run.doors().get(i).residentMb());
      }
      Verdict verdict = run.finish();
      String flooding = run.clients().firms().get(0);
      LoadStatistics.FirmUsage f = run.clients().statistics().firms().get(flooding);
      long asked = countAsked(run, from, to, flooding, false);
      Histogram served = AuthorisedCommand.answerTimes(run, from, to, a -> !a.firm().equals(flooding));
      out.printf(Locale.ROOT, "%-13s others: %6d tries, served %.4f, p50 %.0f ms, p99 %.0f ms; the first: "
          + "%.1f units/s served, %d refused, %d came back when told, %s honoured; most resident %.0f MB; "
          + "rules broken %d%n", name, asked, (double) served.getTotalCount() / asked,
          served.getValueAtPercentile(50) / 1e3, served.getValueAtPercentile(99) / 1e3,
          f.servedUnits() * 1_000.0 / (to - from + WARM_UP_MS), f.refused(), f.promptedRetries(),
          f.promptedRetries() == 0 ? "-" : String.format(Locale.ROOT, "%.4f",
              (double) f.acceptedRetries() / f.promptedRetries()), resident,
          verdict.violations().size());
      for (int i = 0; i < doors; i++) {
        run.log(i).lines().filter(l -> l.contains("fair queue: ")).reduce((a, b) -> b)
            .ifPresent(l -> out.println("  " + l.substring(l.indexOf("fair queue: "))));
      }
      if (!verdict.passed()) {
        out.println(verdict);
      }
      out.flush();
      return verdict.passed();
    }
  }

  private static long countAsked(FleetRun run, double from, double to, String firm, boolean of) {
    long[] n = new long[1];
    run.rig().eventHistory().requestHistories().forEach((id, history) -> {
      ClientRequest asked = run.rig().eventHistory().clientRequest(id);
      n[0] += asked != null && asked.dueMs() >= from && asked.dueMs() < to && asked.firm().equals(firm) == of
          ? 1 : 0;
    });
    return n[0];
  }
}
