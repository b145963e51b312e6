package willowdoor.daemon.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import willowdoor.agreement.Command.StartRelease;
import willowdoor.agreement.Command.SteerRelease;
import willowdoor.agreement.Command.Steering;
import willowdoor.agreement.Outcome;
import willowdoor.rollout.Comparison;
import willowdoor.rollout.Plan;
import willowdoor.rollout.Release;
import willowdoor.rollout.Release.Mode;
import willowdoor.steward.link.Answer;
import willowdoor.steward.link.OperatorClient;
import willowdoor.steward.link.FleetStatus;
import willowdoor.testkit.BackendPool;
import willowdoor.testkit.ClientFleet;
import willowdoor.testkit.InvariantChecker;
import willowdoor.testkit.LaunchRecorder;
import willowdoor.testkit.EventHistory;
import willowdoor.testkit.RunSettings;

/**
 * Runs stewards and doors as separate processes, with good and bad versions of the program and an operator
 * who releases them. The ledger records answers to the operator when they arrive, and the operator's requests
 * before they are sent.
 */
final class ReleaseRun implements AutoCloseable {

  /** The initial version of the doors. */
  static final String OLD_VERSION = "1.0";
  /** The same program under another version name. */
  static final String GOOD_VERSION = "2.0";
  /** Never reports that it is ready. */
  static final String SILENT_VERSION = "2.0-mute";
  /** Exits immediately. */
  static final String EXITING_VERSION = "2.0-dead";
  /** Crashes some seconds after its start, once it has taken over. */
  static final String CRASHING_VERSION = "2.0-faint";
  /** Serves, but refuses more requests because its plans have smaller quotas. */
  static final String STRICT_VERSION = "2.0-stern";

  private static final List<String> VERSIONS = List.of(OLD_VERSION, GOOD_VERSION, SILENT_VERSION,
      EXITING_VERSION, CRASHING_VERSION, STRICT_VERSION);
  private static final double STRICT_QUOTA_SHARE = 0.4;
  /** A successor that is not ready within this time is killed. */
  private static final int READY_LIMIT_MS = 10_000;
  private static final double LAPSE_LIMIT_MS = 15_000;
  private static final long CALL_TIMEOUT_MS = 5_000;

  private final FleetRun run;
  private final Stewards stewards;
  private final LaunchRecorder launches;
  private final OperatorClient operator;
  private int requests;

  /**
   * Starts all processes and the load, and waits until the stewards know every door.
   *
   * @param budget number of doors, and of backends, that may be out at once
   */
  ReleaseRun(int stewardCount, int doors, int budget, double rate, long seed) throws IOException {
    this(RunSettings.typical(), stewardCount, doors, budget, rate, seed);
  }

  /** As above, with the given terms. */
  ReleaseRun(RunSettings terms, int stewardCount, int doors, int budget, double rate, long seed)
      throws IOException {
    run = new FleetRun(terms, new BackendPool.BackendSpec(8, 4, 32, 5, 10), doors, seed);
    run.rig().budgets(new InvariantChecker.Budgets(budget, budget, x -> x.startsWith("d"), LAPSE_LIMIT_MS));
    stewards = new Stewards(run, stewardCount, "lease_ms = 1500\ndoors_out = " + budget + "\nbackends_out = "
        + budget
        + "\n");
    launches = new LaunchRecorder(run.rig().eventHistory(), run.folder());
    IntFunction<List<String>> successor = run.useVersions(launches, OLD_VERSION);
    stewards.addLines(door -> "successor = [" + successor.apply(door).stream().map(x -> '"' + x + '"')
        .collect(Collectors.joining(", ")) + "]\n");
    for (String version : VERSIONS) {
      run.writeVersionConfigs(version, text -> configOf(version, text));
    }
    stewards.start();
    run.start(new ClientFleet.Load(rate, 40, 0.1, 5, 1));
    run.clients().start();
    operator = stewards.operator("ana");
    if (!FleetRun.await(() -> allDoorsKnown(doors), 30_000)) {
      throw new IOException("the stewards do not know all doors after 30 s: " + stewards.status());
    }
  }

  private boolean allDoorsKnown(int doors) {
    FleetStatus s = stewards.status();
    return s != null && s.doors() == doors && s.doorsOut() == 0 && s.backendsOut() == 0;
  }

  private static String configOf(String version, String text) {
    String limited = text.replace("[take_over]", "[take_over]\nready_limit_ms = " + READY_LIMIT_MS);
    return !version.equals(STRICT_VERSION) ? limited : limited.lines().map(line ->
        line.startsWith("units_per_s = ")
        ? "units_per_s = "
            + STRICT_QUOTA_SHARE * Double.parseDouble(line.substring("units_per_s = ".length()))
            : line)
        .collect(Collectors.joining("\n", "", "\n"));
  }

  /** A release plan of three waves with short times. */
  static Plan plan(String to) {
    return plan(to, 2_000);
  }

  static Plan plan(String to, double bakeMs) {
    return new Plan(Plan.Kind.DOORS, OLD_VERSION, to, List.of(0.01, 0.4, 1.0), bakeMs, 1_500, 30_000, 1_500,
        new Comparison(1.25, 2.5,
        0.01, 2));
  }

  FleetRun run() {
    return run;
  }

  Stewards stewards() {
    return stewards;
  }

  LaunchRecorder launches() {
    return launches;
  }

  /** Requests a release; returns null if no steward answered. */
  Outcome start(Plan plan) throws InterruptedException {
    recordEvent(EventHistory.Kind.LET_ON, plan, plan.to());
    return outcome(operator.put(new StartRelease(0, "start-" + ++requests, plan, "ana"), CALL_TIMEOUT_MS));
  }

  /** Steers the last release; returns null if no steward answered. */
  Outcome steer(Steering what) throws InterruptedException {
    Release last = awaitRelease(x -> true, CALL_TIMEOUT_MS);
    if (last != null && (what == Steering.BACK || what == Steering.RESUME)) {
      recordEvent(EventHistory.Kind.LET_ON, last.plan(), what == Steering.BACK ? last.plan().from()
          : last.targetVersion());
    }
    return last == null ? null : outcome(operator.put(new SteerRelease(0, "steer-" + ++requests, last.id(),
        what,
        "ana"), CALL_TIMEOUT_MS));
  }

  private static Outcome outcome(Answer answer) {
    return answer instanceof Answer.Came e ? e.outcome() : null;
  }

  /** The current state of the last release; null if there is none or no steward answers. */
  Release lastRelease() {
    FleetStatus s = stewards.status();
    return s == null || s.releases().isEmpty() ? null : s.releases().get(s.releases().size() - 1);
  }

  /** Waits until the last release satisfies the condition; returns null if the limit passes first. */
  Release awaitRelease(Predicate<Release> condition, long limitMs) {
    Release[] found = {null};
    FleetRun.await(() -> {
      Release now = lastRelease();
      found[0] = now != null && condition.test(now) ? now : null;
      return found[0] != null;
    }, limitMs);
    return found[0];
  }

  /** Waits until the last release has ended, or is halted with no step in progress; null on timeout. */
  Release awaitSettled(long limitMs) {
    Release settled = awaitRelease(x -> x.mode() == Mode.ENDED || x.mode() == Mode.HALTED && x.hasStopped(),
        limitMs);
    if (settled != null) {
      recordEvent(settled.mode() == Mode.ENDED ? EventHistory.Kind.RELEASED : EventHistory.Kind.HALTED,
          settled.plan(),
          settled.targetVersion());
    }
    return settled;
  }

  /** Records an event of a release of doors; the ledger does not track versions of backends. */
  private void recordEvent(EventHistory.Kind kind, Plan plan, String version) {
    if (plan.of() == Plan.Kind.DOORS) {
      run.rig().eventHistory().addMachineEntry(kind, "", version);
    }
  }

  /** The versions of the doors' processes, by door number. */
  List<String> versions() {
    List<String> all = new ArrayList<>();
    run.doors().forEach(x -> all.add(launches.runningVersion(x.name())));
    return all;
  }

  @Override
  public void close() throws IOException {
    operator.close();
    stewards.close();
    run.close();
  }
}
