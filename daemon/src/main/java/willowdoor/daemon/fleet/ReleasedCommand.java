package willowdoor.daemon.fleet;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import willowdoor.agreement.Command.Steering;
import willowdoor.agreement.Outcome;
import willowdoor.rollout.Comparison;
import willowdoor.rollout.Plan;
import willowdoor.rollout.Release;
import willowdoor.rollout.Release.Mode;
import willowdoor.steward.link.FleetStatus;
import willowdoor.testkit.DoorProcess;
import willowdoor.testkit.InvariantChecker.Verdict;
import willowdoor.testkit.FaultyLink;

/** Releases good and bad versions over doors that run as processes, causes faults, and judges the outcome. */
@Command(name = "released", mixinStandardHelpOptions = true, description = {
    "Runs stewards and doors, each a process, under load, and releases versions of the program over them.",
    "  schedules  versions, faults and operators by seeds; what clients and operators met is judged",
    "  good       good versions, to and fro: how long, how many out, how many halted without a cause",
    "  bad        bad versions of four kinds by turns: doors that got them, time until halted and back",
    "  broken     one good release, with the leader killed and half of the doors cut off for 20 s"})
public final class ReleasedCommand implements Callable<Integer> {

  enum Run { schedules, good, bad, broken }

  private static final long RELEASE_LIMIT_MS = 300_000;
  private static final long BEGIN_LIMIT_MS = 30_000;
  private static final long CLEANUP_LIMIT_MS = 180_000;
  private static final double FAULTS_WITHIN_MS = 8_000;
  private static final long CUT_MS = 20_000;
  private static final List<String> BAD_VERSIONS = List.of(ReleaseRun.SILENT_VERSION,
      ReleaseRun.EXITING_VERSION, ReleaseRun.CRASHING_VERSION,
      ReleaseRun.STRICT_VERSION);

  @Parameters(paramLabel = "RUN", description = "${COMPLETION-CANDIDATES}")
  private Run what;
  @Option(names = "--count", defaultValue = "1", description = "Releases. Default: ${DEFAULT-VALUE}.")
  private int count;
  @Option(names = "--doors", defaultValue = "12", description = "Default: ${DEFAULT-VALUE}.")
  private int doors;
  @Option(names = "--stewards", defaultValue = "3", description = "Default: ${DEFAULT-VALUE}.")
  private int stewards;
  @Option(names = "--budget", defaultValue = "2", description =
      "Doors that may be out at once. Default: ${DEFAULT-VALUE}.")
  private int budget;
  @Option(names = "--rate", defaultValue = "120", description = "Requests/s. Default: ${DEFAULT-VALUE}.")
  private double rate;
  @Option(names = "--bake-ms", defaultValue = "5000", description =
      "After each wave. Default: ${DEFAULT-VALUE}.")
  private double bakeMs;
  @Option(names = "--seed", defaultValue = "1", description =
      "Of the first schedule; the next has the next. Default: ${DEFAULT-VALUE}.")
  private long seed;
  @Spec
  private CommandSpec spec;
  private PrintWriter out;
  private int breaches;
  private final Histogram releaseMs = new Histogram(3);
  private final Histogram haltedMs = new Histogram(3);
  private final Histogram backMs = new Histogram(3);

  @Override
  public Integer call() throws IOException, InterruptedException {
    out = spec.commandLine().getOut();
    print("%d stewards, %d doors, %.0f requests/s, at most %d doors out, seed %d", stewards, doors, rate,
        budget,
        seed);
    try (ReleaseRun run = new ReleaseRun(stewards, doors, budget, rate, seed)) {
      for (int i = 0; i < count; i++) {
        switch (what) {
          case schedules -> schedule(run, seed + i);
          case good -> good(run, i);
          case bad -> bad(run, BAD_VERSIONS.get(i % BAD_VERSIONS.size()));
          case broken -> broken(run);
          default -> throw new IllegalStateException(what.name());
        }
        restore(run);
      }
      Verdict verdict = run.run().finish();
      out.print(verdict);
      for (Histogram h : List.of(releaseMs, haltedMs, backMs)) {
        if (h.getTotalCount() > 0) {
          print("%s: %d, p50 %d ms, most %d ms", h == releaseMs ? "released" : h == haltedMs
              ? "halted after the first start of the version" : "back after it was asked for",
              h.getTotalCount(), h.getValueAtPercentile(50), h.getMaxValue());
        }
      }
      breaches += verdict.violations().size();
      print("breaches %d", breaches);
      return breaches == 0 ? 0 : 1;
    }
  }

  private void print(String form, Object... values) {
    out.println(String.format(Locale.ROOT, form, values));
    out.flush();
  }

  private void reportBreach(String text) {
    breaches++;
    print("BREACH: %s", text);
  }

  private Plan plan(String from, String to) {
    return new Plan(Plan.Kind.DOORS, from, to, List.of(0.01, 0.25, 1.0), bakeMs, 1_500, 60_000, 2_000,
        Comparison.DEFAULT);
  }

  private static long elapsedMs(long nanos) {
    return (System.nanoTime() - nanos) / 1_000_000;
  }

  private Release begin(ReleaseRun run, Plan plan) throws InterruptedException {
    Outcome outcome = run.start(plan);
    if (!(outcome instanceof Outcome.ReleaseStarted e)) {
      reportBreach("a release of " + plan.to() + " could not begin: " + outcome);
      return null;
    }
    return run.awaitRelease(x -> x.id() == e.release(), RELEASE_LIMIT_MS);
  }

  /** Releases the good version; any halt is a false alarm. */
  private void good(ReleaseRun run, int number) throws InterruptedException {
    long from = System.nanoTime();
    AtomicBoolean running = new AtomicBoolean(true);
    AtomicInteger maxDoorsOut = new AtomicInteger();
    Thread watching = new Thread(() -> {
      while (running.get()) {
        FleetStatus s = run.stewards().status();
        maxDoorsOut.accumulateAndGet(s == null ? 0 : s.doorsOut(), Math::max);
        FleetRun.sleep(50);
      }
    }, "watching");
    watching.start();
    begin(run, plan(ReleaseRun.OLD_VERSION, ReleaseRun.GOOD_VERSION));
    Release settled = run.awaitSettled(RELEASE_LIMIT_MS);
    running.set(false);
    watching.join();
    if (settled == null) {
      reportBreach("release " + number + " neither ended nor halted: " + run.lastRelease());
      return;
    }
    print("good release %d: %s after %d ms, at most %d doors out", number, settled.mode() == Mode.ENDED
        ? "ended"
        : "HALTED WITHOUT A CAUSE (" + settled.why() + ")", elapsedMs(from), maxDoorsOut.get());
    releaseMs.recordValue(elapsedMs(from));
    if (maxDoorsOut.get() > budget) {
      reportBreach(maxDoorsOut + " doors were out at once");
    }
  }

  private void bad(ReleaseRun run, String version) throws InterruptedException {
    long from = System.nanoTime();
    begin(run, plan(ReleaseRun.OLD_VERSION, version));
    FleetRun.await(() -> run.launches().doorsStarted(version) > 0, BEGIN_LIMIT_MS);
    long began = System.nanoTime();
    Release settled = run.awaitSettled(RELEASE_LIMIT_MS);
    if (settled == null || settled.mode() != Mode.HALTED) {
      reportBreach(version + " was not halted: " + run.lastRelease());
      return;
    }
    haltedMs.recordValue(elapsedMs(began));
    print("%s: halted %d ms after its first start, %d ms after it was asked for; %d doors got it: %s",
        version,
        elapsedMs(began), elapsedMs(from), run.launches().doorsStarted(version), settled.why());
  }

  private void broken(ReleaseRun run) throws InterruptedException {
    long from = System.nanoTime();
    begin(run, plan(ReleaseRun.OLD_VERSION, ReleaseRun.GOOD_VERSION));
    run.awaitRelease(x -> x.countWithVersion(ReleaseRun.GOOD_VERSION) >= 2, RELEASE_LIMIT_MS);
    DoorProcess leader = run.stewards().processes().get(Math.max(0, run.stewards().leader()));
    leader.kill();
    run.awaitRelease(x -> x.countWithVersion(ReleaseRun.GOOD_VERSION) >= 4, RELEASE_LIMIT_MS);
    leader.start();
    for (int i = 1; i < doors; i += 2) {
      run.stewards().setDoorLinks(i, FaultyLink.Mode.SILENT);
    }
    FleetRun.sleep(CUT_MS);
    run.stewards().restoreAll();
    for (int i = 1; i < doors; i += 2) {
      run.stewards().setDoorLinks(i, FaultyLink.Mode.WHOLE);
    }
    Release settled = run.awaitSettled(RELEASE_LIMIT_MS);
    print("the leader killed, zone b cut off for %d s: %s after %d ms", CUT_MS / 1_000, settled == null
        ? "neither ended nor halted" : settled.mode() + " (" + settled.why() + ")", elapsedMs(from));
    if (settled == null || settled.mode() != Mode.ENDED) {
      reportBreach("not all doors have it: " + run.lastRelease());
    }
  }

  private void schedule(ReleaseRun run, long number) throws InterruptedException {
    Random random = new Random(number);
    String version = random.nextInt(3) > 0 ? ReleaseRun.GOOD_VERSION
        : BAD_VERSIONS.get(random.nextInt(BAD_VERSIONS.size()));
    AgreedSchedule faults = AgreedSchedule.draw(number, stewards, doors, FAULTS_WITHIN_MS);
    Steering steering = Steering.values()[random.nextInt(Steering.values().length)];
    long steerAfterMs = 1_000 + random.nextInt(10_000);
    print("schedule %d at %.0f ms: %s, %s after %d ms, %s", number, run.run().rig().eventHistory().now(),
        version,
        steering, steerAfterMs, faults.faults());
    Thread causing = new Thread(() -> {
      try {
        faults.cause(run.run(), run.stewards());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }, "causing");
    begin(run, plan(ReleaseRun.OLD_VERSION, version));
    causing.start();
    Thread.sleep(steerAfterMs);
    run.steer(steering);
    if (steering == Steering.PAUSE) {
      Thread.sleep(2_000);
      run.steer(Steering.RESUME);
    }
    causing.join();
    Release settled = run.awaitSettled(CLEANUP_LIMIT_MS);
    print("  %s", settled == null ? "neither ended nor halted: " + run.lastRelease() : settled.course() + " "
        + settled.mode()
        + ": " + settled.why());
  }

  /** Brings every door back to the old version, by rolling back the release or by a new one. */
  private void restore(ReleaseRun run) throws InterruptedException {
    run.run().doors().forEach(DoorProcess::start);
    Release last = run.lastRelease();
    if (last == null) {
      last = run.awaitRelease(x -> true, CLEANUP_LIMIT_MS);
    }
    long from = System.nanoTime();
    boolean back = last != null && last.mode() != Mode.ENDED;
    if (back) {
      run.steer(Steering.BACK);
    } else if (last != null && !last.targetVersion().equals(ReleaseRun.OLD_VERSION)) {
      begin(run,
          new Plan(Plan.Kind.DOORS, last.targetVersion(), ReleaseRun.OLD_VERSION, List.of(1.0), 0, 1_500,
          60_000,
          2_000, Comparison.DEFAULT));
    }
    Release ended = run.awaitSettled(CLEANUP_LIMIT_MS);
    for (int i = 0; i < 3 && ended != null && ended.mode() != Mode.ENDED; i++) {
      print("  halted on the way back: %s", ended.why());
      run.steer(Steering.BACK);
      ended = run.awaitSettled(CLEANUP_LIMIT_MS);
    }
    if (ended == null || ended.mode() != Mode.ENDED) {
      reportBreach("not back at the old version after " + CLEANUP_LIMIT_MS + " ms: " + run.lastRelease());
    } else if (back) {
      backMs.recordValue(elapsedMs(from));
    }
    if (!FleetRun.await(() -> run.versions().stream().allMatch(ReleaseRun.OLD_VERSION::equals),
        CLEANUP_LIMIT_MS)) {
      reportBreach("unexpected versions at the end: " + run.versions());
    }
  }
}
