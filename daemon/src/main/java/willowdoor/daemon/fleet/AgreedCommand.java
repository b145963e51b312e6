package willowdoor.daemon.fleet;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import willowdoor.agreement.Subject;
import willowdoor.agreement.Subject.Kind;
import willowdoor.net.EndpointUpdate;
import willowdoor.testkit.BackendPool;
import willowdoor.testkit.ClientFleet;
import willowdoor.testkit.DoorProcess;
import willowdoor.testkit.InvariantChecker;
import willowdoor.testkit.InvariantChecker.Verdict;
import willowdoor.testkit.EventHistory;
import willowdoor.testkit.RunSettings;

/** Runs stewards and doors under load, causes faults between them, and judges the outcome. */
@Command(name = "agreed", mixinStandardHelpOptions = true, description = {
    "Runs stewards and doors, each a process, under load, with operators who take doors and backends out.",
    "  schedules  links and processes break by seeds; what operators and requests met is judged",
    "  leader     how long nothing is agreed on after the leader was killed",
    "  cost       side by side: without agreement and with it",
    "  record     how the record grows by releases, without processes"})
public final class AgreedCommand implements Callable<Integer> {

  enum Run { schedules, leader, cost, record }

  private static final double FAULTS_WITHIN_MS = 5_000;
  private static final long CLEANUP_LIMIT_MS = 30_000;
  private static final int BUDGET = 2;
  private static final long COST_WARM_UP_MS = 15_000;
  private static final long COST_MS = 30_000;
  /** Longer than any lease through the elections of one schedule, and than the delay of any answer. */
  private static final double LAPSE_LIMIT_MS = 15_000;

  @Parameters(paramLabel = "RUN", description = "${COMPLETION-CANDIDATES}")
  private Run what;
  @Option(names = "--count", defaultValue = "10", description =
      "Schedules, or kills. Default: ${DEFAULT-VALUE}.")
  private int count;
  @Option(names = "--doors", defaultValue = "12", description = "Default: ${DEFAULT-VALUE}.")
  private int doors;
  @Option(names = "--stewards", defaultValue = "3", description = "Default: ${DEFAULT-VALUE}.")
  private int stewards;
  @Option(names = "--rate", defaultValue = "200", description = "Requests/s. Default: ${DEFAULT-VALUE}.")
  private double rate;
  @Option(names = "--seed", defaultValue = "1", description =
      "Of the first schedule; the next has the next. Default: ${DEFAULT-VALUE}.")
  private long seed;
  @Spec
  private CommandSpec spec;
  private PrintWriter out;

  @Override
  public Integer call() throws IOException, InterruptedException {
    out = spec.commandLine().getOut();
    out.printf("%d stewards, %d doors, %.0f requests/s, at most %d doors and %d backends out, from seed %d%n",
        stewards, doors, rate, BUDGET, BUDGET, seed);
    out.flush();
    if (what == Run.record) {
      new RecordGrowth(out, doors).play(count);
      return 0;
    }
    if (what == Run.cost) {
      for (boolean on : new boolean[] {false, true, false, true}) {
        cost(on);
      }
      return 0;
    }
    try (FleetRun run =
        new FleetRun(RunSettings.typical(), new BackendPool.BackendSpec(8, 4, 32, 5, 10), doors, seed);
        Stewards stewardProcesses = new Stewards(run, stewards, "lease_ms = 1500\ndoors_out = " + BUDGET
            + "\nbackends_out = " + BUDGET + "\n")) {
      run.rig().budgets(new InvariantChecker.Budgets(BUDGET, BUDGET, x -> x.startsWith("d"), LAPSE_LIMIT_MS));
      stewardProcesses.start();
      run.start(new ClientFleet.Load(rate, 40, 0.1, 5, 1));
      run.clients().start();
      return what == Run.schedules ? schedules(run, stewardProcesses) : leader(stewardProcesses);
    }
  }

  private void cost(boolean on) throws IOException, InterruptedException {
    try (FleetRun run =
        new FleetRun(RunSettings.typical(), new BackendPool.BackendSpec(8, 4, 32, 5, 10), doors, seed);
        Stewards stewardProcesses = on ? new Stewards(run, stewards, "") : null) {
      if (on) {
        stewardProcesses.start();
      }
      run.start(new ClientFleet.Load(rate, 40, 0.1, 5, 1));
      run.clients().start();
      Thread.sleep(COST_WARM_UP_MS);
      double from = run.rig().eventHistory().now();
      double doorCpu = cpu(run.doors());
      double stewardCpu = on ? cpu(stewardProcesses.processes()) : 0;
      long[] passed = on ? stewardProcesses.relayedBytes() : new long[2];
      long index = on ? stewardProcesses.awaitStatus().index() : 0;
      Thread.sleep(COST_MS);
      double seconds = (run.rig().eventHistory().now() - from) / 1_000;
      doorCpu = cpu(run.doors()) - doorCpu;
      Histogram took = new Histogram(3);
      double begun = from;
      run.rig().eventHistory().requestHistories().forEach((id, history) -> {
        double asked = history.get(0).atMs();
        history.stream()
            .filter(e -> e.kind() == EventHistory.Kind.ANSWERED && e.amount() == 200 && asked > begun)
            .forEach(e -> took.recordValue((long) ((e.atMs() - asked) * 1_000)));
      });
      out.printf(Locale.ROOT, "agreement %s: %.0f answers/s, p50 %.2f ms, p99 %.2f ms; doors %.2f ms of CPU"
          + " an answer, %.1f%% of a core a door%n", on ? "on " : "off", took.getTotalCount() / seconds,
          took.getValueAtPercentile(50) / 1e3, took.getValueAtPercentile(99) / 1e3,
          doorCpu * 1_000 / took.getTotalCount(), doorCpu / seconds / doors * 100);
      if (on) {
        long[] after = stewardProcesses.relayedBytes();
        out.printf(Locale.ROOT, "  stewards: %.1f%% of a core together, %.0f commands/s; %.0f bytes/s a door,"
            + " %.0f between stewards; %d KiB on the first one's disk%n",
            (cpu(stewardProcesses.processes()) - stewardCpu) / seconds * 100,
            (stewardProcesses.awaitStatus().index() - index) / seconds,
                (after[0] - passed[0]) / seconds / doors,
            (after[1] - passed[1]) / seconds, stewardProcesses.storedBytes(0) / 1_024);
      }
      out.flush();
    }
  }

  private static double cpu(List<DoorProcess> processes) {
    return processes.stream().mapToDouble(DoorProcess::cpuSeconds).sum();
  }

  private Map<Subject, String> subjects() {
    Map<Subject, String> all = new LinkedHashMap<>();
    IntStream.range(0, doors).forEach(i -> all.put(new Subject(Kind.DOOR, "d" + i), "d" + i));
    IntStream.range(0, 8).forEach(i -> all.put(new Subject(Kind.BACKEND,
        Long.toHexString(EndpointUpdate.idOf("b" + i))), "b" + i));
    return all;
  }

  private int schedules(FleetRun run, Stewards stewardProcesses) throws InterruptedException, IOException {
    Map<Subject, String> subjects = subjects();
    AgreedOperator.Counts counts = new AgreedOperator.Counts();
    int unreturnedCount = 0;
    AgreedOperator.returnAllPermits(stewardProcesses, run.rig().eventHistory(), subjects, CLEANUP_LIMIT_MS);
    for (int i = 0; i < count; i++) {
      AgreedSchedule schedule = AgreedSchedule.draw(seed + i, stewards, doors, FAULTS_WITHIN_MS);
      out.printf("schedule %d at %.0f ms: %s%n", schedule.seed(), run.rig().eventHistory().now(),
          schedule.faults());
      out.flush();
      AtomicBoolean running = new AtomicBoolean(true);
      List<Thread> operators = new ArrayList<>();
      for (String name : List.of("ana", "rui")) {
        operators.add(new Thread(new AgreedOperator(stewardProcesses, run.rig().eventHistory(), name + "-"
            + schedule.seed(),
            subjects, schedule.seed() * 31 + name.hashCode(), running, counts), name));
      }
      operators.forEach(Thread::start);
      schedule.cause(run, stewardProcesses);
      running.set(false);
      for (Thread operator : operators) {
        operator.join();
      }
      if (!AgreedOperator.returnAllPermits(stewardProcesses, run.rig().eventHistory(), subjects,
          CLEANUP_LIMIT_MS)) {
        unreturnedCount++;
        out.println("BREACH: permits are not returned " + CLEANUP_LIMIT_MS + " ms after the faults ended: "
            + stewardProcesses.status());
        for (int k = 0; k < stewards; k++) {
          out.printf("steward %d %s, and printed last:%n", k, stewardProcesses.processes().get(k).isAlive()
              ? "lives"
              : "is dead");
          stewardProcesses.log(k).lines().skip(Math.max(0,
              stewardProcesses.log(k).lines().count() - 12)).forEach(out::println);
        }
        out.flush();
      }
    }
    Verdict verdict = run.finish();
    out.printf("granted %d, given up while waiting %d, backends told out %d, calls unanswered %d, commands"
        + " that died %d%n", counts.granted().get(), counts.gaveUpWaiting().get(), counts.backendsOut().get(),
        counts.unanswered().get(), counts.abandoned().get());
    out.print(verdict);
    int breaches = verdict.violations().size() + unreturnedCount;
    out.println("breaches " + breaches);
    out.flush();
    return breaches == 0 ? 0 : 1;
  }

  private int leader(Stewards stewardProcesses) throws InterruptedException {
    Histogram leaderlessMs = new Histogram(3);
    for (int i = 0; i < count; i++) {
      int leads = Integer.parseInt(stewardProcesses.awaitStatus().leader().substring(1));
      stewardProcesses.processes().get(leads).kill();
      long from = System.nanoTime();
      while (stewardProcesses.status() == null) {
        Thread.onSpinWait();
      }
      leaderlessMs.recordValue((System.nanoTime() - from) / 1_000_000);
      stewardProcesses.processes().get(leads).start();
      Thread.sleep(3_000);
    }
    out.printf("no word for p50 %d ms, p99 %d ms, most %d ms after %d kills of the leader%n",
        leaderlessMs.getValueAtPercentile(50), leaderlessMs.getValueAtPercentile(99),
            leaderlessMs.getMaxValue(), count);
    out.flush();
    return 0;
  }
}
