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

/** Releases versions, good and bad, over doors that are processes, breaks what is between, and judges. */
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
  private static final long TIDY_LIMIT_MS = 180_000;
  private static final double WITHIN_MS = 8_000;
  private static final long CUT_MS = 20_000;
  private static final List<String> BAD = List.of(ReleaseRun.MUTE, ReleaseRun.DEAD, ReleaseRun.FAINT,
      ReleaseRun.STERN);

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
  private final Histogram tookMs = new Histogram(3);
  private final Histogram haltedMs = new Histogram(3);
  private final Histogram backMs = new Histogram(3);

  @Override
  public Integer call() throws IOException, InterruptedException {
    out = spec.commandLine().getOut();
    say("%d stewards, %d doors, %.0f requests/s, at most %d doors out, seed %d", stewards, doors, rate,
        budget,
        seed);
    try (ReleaseRun run = new ReleaseRun(stewards, doors, budget, rate, seed)) {
      for (int i = 0; i < count; i++) {
        switch (what) {
          case schedules -> schedule(run, seed + i);
          case good -> good(run, i);
          case bad -> bad(run, BAD.get(i % BAD.size()));
          case broken -> broken(run);
          default -> throw new IllegalStateException(what.name());
        }
        restore(run);
      }
      Verdict verdict = run.run().finish();
      out.print(verdict);
      for (Histogram h : List.of(tookMs, haltedMs, backMs)) {
        if (h.getTotalCount() > 0) {
          say("%s: %d, p50 %d ms, most %d ms", h == tookMs ? "released" : h == haltedMs
              ? "halted after the first start of the version" : "back after it was asked for",
              h.getTotalCount(), h.getValueAtPercentile(50), h.getMaxValue());
        }
      }
      breaches += verdict.violations().size();
      say("breaches %d", breaches);
      return breaches == 0 ? 0 : 1;
    }
  }

  private void say(String form, Object... values) {
    out.println(String.format(Locale.ROOT, form, values));
    out.flush();
  }

  private void breach(String text) {
    breaches++;
    say("BREACH: %s", text);
  }

  private Plan plan(String from, String to) {
    return new Plan(Plan.Kind.DOORS, from, to, List.of(0.01, 0.25, 1.0), bakeMs, 1_500, 60_000, 2_000,
        Comparison.DEFAULT);
  }

  private static long since(long nanos) {
    return (System.nanoTime() - nanos) / 1_000_000;
  }

  private Release begin(ReleaseRun run, Plan plan) throws InterruptedException {
    Outcome outcome = run.start(plan);
    if (!(outcome instanceof Outcome.ReleaseStarted e)) {
      breach("a release of " + plan.to() + " could not begin: " + outcome);
      return null;
    }
    return run.awaitRelease(x -> x.id() == e.release(), RELEASE_LIMIT_MS);
  }

  /** There and back again by turns; a halt is one without a cause. */
  private void good(ReleaseRun run, int number) throws InterruptedException {
    long from = System.nanoTime();
    AtomicBoolean going = new AtomicBoolean(true);
    AtomicInteger most = new AtomicInteger();
    Thread watching = new Thread(() -> {
      while (going.get()) {
        FleetStatus s = run.stewards().look();
        most.accumulateAndGet(s == null ? 0 : s.doorsOut(), Math::max);
        FleetRun.sleep(50);
      }
    }, "watching");
    watching.start();
    begin(run, plan(ReleaseRun.OLD, ReleaseRun.GOOD));
    Release still = run.awaitStill(RELEASE_LIMIT_MS);
    going.set(false);
    watching.join();
    if (still == null) {
      breach("release " + number + " neither ended nor halted: " + run.look());
      return;
    }
    say("good release %d: %s after %d ms, at most %d doors out", number, still.mode() == Mode.ENDED ? "ended"
        : "HALTED WITHOUT A CAUSE (" + still.why() + ")", since(from), most.get());
    tookMs.recordValue(since(from));
    if (most.get() > budget) {
      breach(most + " doors were out");
    }
  }

  private void bad(ReleaseRun run, String version) throws InterruptedException {
    long from = System.nanoTime();
    begin(run, plan(ReleaseRun.OLD, version));
    FleetRun.until(() -> run.launches().doorsStarted(version) > 0, BEGIN_LIMIT_MS);
    long began = System.nanoTime();
    Release still = run.awaitStill(RELEASE_LIMIT_MS);
    if (still == null || still.mode() != Mode.HALTED) {
      breach(version + " was not halted: " + run.look());
      return;
    }
    haltedMs.recordValue(since(began));
    say("%s: halted %d ms after its first start, %d ms after it was asked for; %d doors got it: %s", version,
        since(began), since(from), run.launches().doorsStarted(version), still.why());
  }

  private void broken(ReleaseRun run) throws InterruptedException {
    long from = System.nanoTime();
    begin(run, plan(ReleaseRun.OLD, ReleaseRun.GOOD));
    run.awaitRelease(x -> x.countWithVersion(ReleaseRun.GOOD) >= 2, RELEASE_LIMIT_MS);
    DoorProcess leader = run.stewards().processes().get(Math.max(0, run.stewards().leader()));
    leader.kill();
    run.awaitRelease(x -> x.countWithVersion(ReleaseRun.GOOD) >= 4, RELEASE_LIMIT_MS);
    leader.start();
    for (int i = 1; i < doors; i += 2) {
      run.stewards().door(i, FaultyLink.Mode.SILENT);
    }
    FleetRun.sleep(CUT_MS);
    run.stewards().mend();
    for (int i = 1; i < doors; i += 2) {
      run.stewards().door(i, FaultyLink.Mode.WHOLE);
    }
    Release still = run.awaitStill(RELEASE_LIMIT_MS);
    say("the leader killed, zone b cut off for %d s: %s after %d ms", CUT_MS / 1_000, still == null
        ? "neither ended nor halted" : still.mode() + " (" + still.why() + ")", since(from));
    if (still == null || still.mode() != Mode.ENDED) {
      breach("not all doors have it: " + run.look());
    }
  }

  private void schedule(ReleaseRun run, long number) throws InterruptedException {
    Random random = new Random(number);
    String version = random.nextInt(3) > 0 ? ReleaseRun.GOOD : BAD.get(random.nextInt(BAD.size()));
    AgreedSchedule faults = AgreedSchedule.drawn(number, stewards, doors, WITHIN_MS);
    Steering steering = Steering.values()[random.nextInt(Steering.values().length)];
    long steerAfterMs = 1_000 + random.nextInt(10_000);
    say("schedule %d at %.0f ms: %s, %s after %d ms, %s", number, run.run().rig().ledger().now(), version,
        steering, steerAfterMs, faults.faults());
    Thread causing = new Thread(() -> {
      try {
        faults.cause(run.run(), run.stewards());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }, "causing");
    begin(run, plan(ReleaseRun.OLD, version));
    causing.start();
    Thread.sleep(steerAfterMs);
    run.steer(steering);
    if (steering == Steering.PAUSE) {
      Thread.sleep(2_000);
      run.steer(Steering.RESUME);
    }
    causing.join();
    Release still = run.awaitStill(TIDY_LIMIT_MS);
    say("  %s", still == null ? "neither ended nor halted: " + run.look() : still.course() + " "
        + still.mode()
        + ": " + still.why());
  }

  /** Every door as in the beginning: the way back where it stands, or a release of the old version. */
  private void restore(ReleaseRun run) throws InterruptedException {
    run.run().doors().forEach(DoorProcess::start);
    Release last = run.look();
    if (last == null) {
      last = run.awaitRelease(x -> true, TIDY_LIMIT_MS);
    }
    long from = System.nanoTime();
    boolean back = last != null && last.mode() != Mode.ENDED;
    if (back) {
      run.steer(Steering.BACK);
    } else if (last != null && !last.targetVersion().equals(ReleaseRun.OLD)) {
      begin(run,
          new Plan(Plan.Kind.DOORS, last.targetVersion(), ReleaseRun.OLD, List.of(1.0), 0, 1_500, 60_000,
          2_000, Comparison.DEFAULT));
    }
    Release ended = run.awaitStill(TIDY_LIMIT_MS);
    for (int i = 0; i < 3 && ended != null && ended.mode() != Mode.ENDED; i++) {
      say("  halted on the way back: %s", ended.why());
      run.steer(Steering.BACK);
      ended = run.awaitStill(TIDY_LIMIT_MS);
    }
    if (ended == null || ended.mode() != Mode.ENDED) {
      breach("not back after " + TIDY_LIMIT_MS + " ms: " + run.look());
    } else if (back) {
      backMs.recordValue(since(from));
    }
    if (!FleetRun.until(() -> run.versions().stream().allMatch(ReleaseRun.OLD::equals), TIDY_LIMIT_MS)) {
      breach("these versions are there at the end: " + run.versions());
    }
  }
}
