package willowdoor.daemon.fleet;

import io.netty.handler.codec.http2.Http2Settings;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import willowdoor.testkit.BackendPool;
import willowdoor.testkit.ClientFleet;
import willowdoor.testkit.FaultInjector;
import willowdoor.testkit.FaultInjector.FaultKind;
import willowdoor.testkit.InvariantChecker;
import willowdoor.testkit.InvariantChecker.Verdict;
import willowdoor.testkit.EventHistory.ClientRequest;
import willowdoor.testkit.EventHistory.Entry;
import willowdoor.testkit.EventHistory.Kind;
import willowdoor.testkit.StandIns;
import willowdoor.testkit.StandInAuthoriser;
import willowdoor.testkit.RunSettings;

/** Runs daemons whose requests need authorisation, and judges or measures the outcome. */
@Command(name = "authorised", mixinStandardHelpOptions = true, description = {
    "Runs one door whose requests need an authoriser's allow.",
    "  faults   three authorisers break by a seeded schedule; all requests are judged",
    "  cost     side by side: without authorisers, with fast ones, with one of three dead",
    "  members  two members; the authoriser of one stalls half way"})
public final class AuthorisedCommand implements Callable<Integer> {

  enum Run { faults, cost, members }

  private static final List<FaultKind> KINDS = List
      .of(FaultKind.STALLS_AUTHORISER, FaultKind.DENIES_AUTHORISER,
      FaultKind.RESETS_AUTHORISER, FaultKind.SPOILS_AUTHORISER, FaultKind.LATE_AUTHORISER,
      FaultKind.GOES_AWAY_AUTHORISER,
      FaultKind.KILL_AUTHORISER);
  private static final String ALL_CLASSES = "classes = [\"check-quote\", \"register-buy\", \"move-title\"]\n";
  private static final long SETTLE_LIMIT_MS = 60_000;
  private static final double WARM_UP_MS = 5_000;
  private static final long MAX_LATENCY_US = 60_000_000;

  @Parameters(paramLabel = "RUN", description = "${COMPLETION-CANDIDATES}")
  private Run what;
  @Option(names = "--seconds", defaultValue = "66", description = "Length of the load (default: "
      + "${DEFAULT-VALUE}).")
  private int seconds;
  @Option(names = "--rate", defaultValue = "0", description =
      "Requests a second (default: 800 for faults, 300 otherwise).")
  private double rate;
  @Option(names = "--faults", defaultValue = "24", description = "Faults of authorisers (default: "
      + "${DEFAULT-VALUE}).")
  private int faults;
  @Option(names = "--log", description = "Keep the door's decisions here.")
  private Path log;
  @Option(names = "--seed", defaultValue = "1",
      description = "Of load and faults (default: ${DEFAULT-VALUE}).")
  private long seed;
  @Spec
  private CommandSpec spec;
  private PrintWriter out;

  @Override
  public Integer call() throws IOException {
    out = spec.commandLine().getOut();
    rate = rate > 0 ? rate : what == Run.faults ? 800 : 300;
    return switch (what) {
      case faults -> faults();
      case cost -> cost();
      case members -> members();
    };
  }

  private static List<StandInAuthoriser> authorisers(FleetRun run, int count) {
    List<StandInAuthoriser> made = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      made.add(run.rig().authoriser("a" + i, new Http2Settings(), null));
    }
    return made;
  }

  private static String tables(List<StandInAuthoriser> authorisers, String log) {
    StringBuilder text = new StringBuilder("[authorisation]\nlog = \"" + log + "\"\n");
    for (StandInAuthoriser a : authorisers) {
      text.append(String.format(Locale.ROOT, "[[authoriser]]%nname = \"%s\"%naddress = \"%s\"%n"
          + "most_calls = 200%n", a.name(), StandIns.text(a.address())));
    }
    return text.toString();
  }

  private static String member(String name, String firms, List<StandInAuthoriser> asked, String more) {
    return "[[member]]\nname = \"" + name + "\"\nfirms = [" + firms + "]\nauthorisers = ["
        + asked.stream().map(a -> '"' + a.name() + '"').collect(Collectors.joining(", ")) + "]\n" + more;
  }

  private FleetRun fleet(double all, double leastMs, double mostMs) throws IOException {
    int backends = Math.max(6, (int) Math.ceil(all * mostMs / 1_000 * 1.6 / 4));
    return new FleetRun(RunSettings.typical(), new BackendPool.BackendSpec(backends, 4, 64, leastMs, mostMs),
        1, seed);
  }

  private static void waitUntil(FleetRun run, double atMs) {
    while (run.rig().eventHistory().now() < atMs) {
      FleetRun.sleep(10);
    }
  }

  private int faults() throws IOException {
    out.printf("one door, three authorisers asked about every request by weight, checks not idempotent, %.0f "
        + "requests/s for %d s, %d faults, seed %d%n", rate, seconds, faults, seed);
    out.flush();
    try (FleetRun run = fleet(rate, 20, 60)) {
      List<StandInAuthoriser> asked = authorisers(run, 3);
      run.rig().authorise(new InvariantChecker.Authorisation(a -> true, false));
      run.addTables(tables(asked, log == null ? "" : log.toAbsolutePath().toString()) + member("all", "",
          asked,
          ALL_CLASSES + "choose = \"weight\"\nlimit_ms = 300\n"));
      run.start(new ClientFleet.Load(rate, (int) (rate / 2), 0.1, 5, 1));
      run.clients().start();
      double from = run.rig().eventHistory().now();
      List<FaultInjector.Fault> drawn = FaultInjector
          .draw(seed + 1, faults, KINDS, 3, WARM_UP_MS, seconds * 850.0, 300,
          4_000);
      try (FaultInjector cause = new FaultInjector(run.rig(), run.doors())) {
        cause.inject(drawn);
        waitUntil(run, from + seconds * 1_000.0);
      }
      double resident = run.doors().get(0).residentMb();
      run.clients().stop();
      FleetRun.await(() -> run.clients().outstanding() == 0, 10_000);
      int differing = settleUnits(run, asked);
      Verdict verdict = run.finish();
      drawn.forEach(f -> out.printf(Locale.ROOT, "  %6.0f ms  %-20s a%d for %.0f ms%n", f.atMs(), f.what(),
          f.target(), f.lastsMs()));
      out.printf("tries %d, checks %s, counter calls %d, resident %.1f MB%n", run.clients().sentTries(),
          asked.stream().map(a -> a.name() + " " + a.checks()).toList(), run.rig().counter().calls(),
              resident);
      out.print(verdict);
      printUnanswered(run);
      out.flush();
      return verdict.passed() && differing == 0 ? 0 : 1;
    }
  }

  /** Prints the number of denied requests and the histories of requests without an answer. */
  private void printUnanswered(FleetRun run) {
    long denied = run.rig().eventHistory().requestHistories().values().stream()
        .filter(h -> h.stream().anyMatch(
        e -> e.kind() == Kind.DENIED) && h.stream().anyMatch(e -> e.kind() == Kind.ANSWERED
        && e.amount() == 403)).count();
    out.printf("denied %d%n", denied);
    Map<String, Integer> ends = new TreeMap<>();
    run.rig().eventHistory().requestHistories().forEach((id, history) -> {
      if (history.stream().noneMatch(e -> e.kind() == Kind.ANSWERED)) {
        ends.merge(history.stream().map(e -> String.format("%s %s near %.0f s", e.kind(), e.note(),
            e.atMs() / 1_000))
            .collect(Collectors.joining(", ")), 1, Integer::sum);
      }
    });
    ends.forEach((end, count) -> out.printf("without an answer: %5d  %s%n", count, end));
  }

  /** Settles every firm's actual units and compares the units at the counter with the work done. */
  private int settleUnits(FleetRun run, List<StandInAuthoriser> asked) {
    asked.forEach(a -> {
      a.restart();
      a.setDelay(0);
    });
    run.rig().backendPool().chargeNamedUnits();
    for (int round = 0; round < 2; round++) {
      run.clients().askOnceEach();
      FleetRun.sleep(50);
      FleetRun.await(() -> run.clients().unservedFirms() == 0, SETTLE_LIMIT_MS);
    }
    Map<String, Double> done = new TreeMap<>();
    run.rig().eventHistory().requestHistories().forEach((id, history) -> history.stream()
        .filter(e -> e.kind() == Kind.EFFECT)
        .forEach(e ->
        done.merge(run.rig().eventHistory().clientRequest(id).firm(), e.amount(), Double::sum)));
    int differing = 0;
    double units = 0;
    double counted = 0;
    for (String firm : run.clients().firms()) {
      double told = run.rig().counter().added(Long.toString(Long.parseLong(firm, 16), 36));
      double ran = done.getOrDefault(firm, 0.0);
      units += ran;
      counted += told;
      if (Math.abs(told - ran) > 1e-3) {
        differing++;
        out.printf(Locale.ROOT, "  firm %s: counted %.3f units, done %.3f%n", firm, told, ran);
      }
    }
    out.printf(Locale.ROOT, "firms %d: counted %.1f units, done %.1f; %d firms differ%n",
        run.clients().firms().size(), counted, units, differing);
    return differing;
  }

  /** One of the runs measured side by side. */
  private record Side(String name, FleetRun run, double[] cpuAndTries) { }

  private int cost() throws IOException {
    out.printf("three doors beside each other, %.0f requests/s each for %d s, all classes asked "
        + "about, seed %d%n",
        rate, seconds, seed);
    out.flush();
    List<Side> sides = new ArrayList<>();
    try {
      for (String name : List.of("off", "on", "one of three dead")) {
        FleetRun run = fleet(rate, 2, 3);
        sides.add(new Side(name, run, new double[2]));
        if (!name.equals("off")) {
          List<StandInAuthoriser> asked = authorisers(run, 3);
          run.rig().authorise(new InvariantChecker.Authorisation(a -> true, false));
          run.addTables(tables(asked, "") + member("all", "", asked, ALL_CLASSES + "choose = \"weight\"\n"));
        }
        run.start(new ClientFleet.Load(rate, (int) rate, 0, 1, 1));
        if (name.startsWith("one")) {
          run.rig().authorisers().get(2).kill();
        }
      }
      List<Double> began = new ArrayList<>();
      for (Side s : sides) {
        s.run().clients().start();
        began.add(s.run().rig().eventHistory().now());
      }
      double measuredFromMs = Math.max(WARM_UP_MS, seconds * 1_000.0 / 3);
      waitUntil(sides.get(0).run(), began.get(0) + measuredFromMs);
      sides.forEach(s -> {
        s.cpuAndTries()[0] = s.run().doors().get(0).cpuSeconds();
        s.cpuAndTries()[1] = s.run().clients().sentTries();
      });
      waitUntil(sides.get(0).run(), began.get(0) + seconds * 1_000.0);
      int broken = 0;
      for (Side s : sides) {
        out.print(s.run().log(0).lines().filter(l -> l.contains("made-up")).map(l -> String
            .format("%s: %s%n", s.name(), l)).collect(Collectors.joining()));
      }
      out.printf("%-18s %8s %10s %10s %14s %10s %8s%n", "", "tries", "p50 ms", "p99 ms", "CPU us a try",
          "resident", "served");
      for (int i = 0; i < sides.size(); i++) {
        Side s = sides.get(i);
        double cpu = s.run().doors().get(0).cpuSeconds() - s.cpuAndTries()[0];
        double tries = s.run().clients().sentTries() - s.cpuAndTries()[1];
        double resident = s.run().doors().get(0).residentMb();
        Verdict verdict = s.run().finish();
        Histogram h = answerTimes(s.run(), began.get(i) + measuredFromMs, Double.MAX_VALUE, a -> true);
        out.printf(Locale.ROOT, "%-18s %8.0f %10.2f %10.2f %14.0f %7.1f MB %8d%n", s.name(), tries,
            h.getValueAtPercentile(50) / 1e3, h.getValueAtPercentile(99) / 1e3, 1e6 * cpu / tries, resident,
            verdict.served());
        if (!verdict.passed()) {
          out.print(verdict);
          broken++;
        }
      }
      out.flush();
      return broken == 0 ? 0 : 1;
    } finally {
      for (Side s : sides) {
        s.run().close();
      }
    }
  }

  /** Times from when a request was due to its answer with status 200, in microseconds. */
  static Histogram answerTimes(FleetRun run, double fromMs, double toMs, Predicate<ClientRequest> which) {
    Histogram h = new Histogram(MAX_LATENCY_US, 3);
    run.rig().eventHistory().requestHistories().forEach((id, history) -> {
      ClientRequest asked = run.rig().eventHistory().clientRequest(id);
      if (asked != null && asked.dueMs() >= fromMs && asked.dueMs() < toMs && which.test(asked)) {
        for (Entry e : history) {
          if (e.kind() == Kind.ANSWERED && e.amount() == 200) {
            h.recordValue(Math.min(MAX_LATENCY_US, Math.max(0, (long) ((e.atMs() - asked.dueMs()) * 1_000))));
          }
        }
      }
    });
    return h;
  }

  private int members() throws IOException {
    out.printf("one door, two members with an authoriser each, %.0f requests/s for %d s; the first's stalls "
        + "from half way on; seed %d%n", rate, seconds, seed);
    out.flush();
    try (FleetRun run = fleet(rate, 20, 40)) {
      List<StandInAuthoriser> asked = authorisers(run, 2);
      int firms = (int) rate;
      long border = 0x1000L + firms / 2;
      run.rig().authorise(new InvariantChecker.Authorisation(a -> true, false));
      run.addTables(tables(asked, "") + member("first", String.format("\"0-%x\"", border - 1),
          asked.subList(0, 1),
          ALL_CLASSES + "limit_ms = 1500\n")
          + member("second", String.format("\"%x-ffffffff\"", border), asked.subList(1, 2), ALL_CLASSES
          + "limit_ms = 1500\n"));
      run.start(new ClientFleet.Load(rate, firms, 0, 1, 1));
      run.clients().start();
      double from = run.rig().eventHistory().now();
      double half = from + seconds * 500.0;
      waitUntil(run, half);
      asked.get(0).setBehaviour(StandInAuthoriser.Behaviour.STALLS);
      waitUntil(run, from + seconds * 1_000.0);
      Verdict verdict = run.finish();
      for (boolean first : new boolean[] {true, false}) {
        Predicate<ClientRequest> of = a -> Long.parseLong(a.firm(), 16) < border == first;
        for (boolean before : new boolean[] {true, false}) {
          Histogram h = answerTimes(run, before ? from + WARM_UP_MS : half, before ? half - 2_000
              : Double.MAX_VALUE,
              of);
          out.printf(Locale.ROOT, "%-7s %-28s served %6d  p50 %7.2f ms  p99 %7.2f ms%n", first ? "first"
              : "second", before ? "before" : "while the first's stalls", h.getTotalCount(),
              h.getValueAtPercentile(50) / 1e3, h.getValueAtPercentile(99) / 1e3);
        }
      }
      out.print(verdict);
      out.flush();
      return verdict.passed() ? 0 : 1;
    }
  }
}
