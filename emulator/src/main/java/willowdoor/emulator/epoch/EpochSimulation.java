package willowdoor.emulator.epoch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import willowdoor.emulator.SimClock;
import willowdoor.epoch.ActivePolicy;
import willowdoor.epoch.PolicyChange;
import willowdoor.epoch.PolicyDocument;
import willowdoor.epoch.EpochAction;
import willowdoor.epoch.EpochEvent;
import willowdoor.epoch.EpochParticipant;
import willowdoor.epoch.EpochState;
import willowdoor.epoch.EpochSettings;
import willowdoor.epoch.EpochView;
import willowdoor.epoch.EpochCoordinator;
import willowdoor.epoch.EpochMember;
import willowdoor.epoch.PastChange;

/**
 * Simulates policy changes in simulated time, with the production code of the record and of the doors.
 * Leaders change and have unrelated clocks, links lose, delay and reorder messages, doors are stopped, cut
 * off, killed and restarted, and operators propose and abort changes. The main invariant is checked by true
 * simulated time: once any door has decided by an epoch alone, no door decides by an older epoch alone.
 */
public final class EpochSimulation {

  /** Bugs that can be injected, to verify that the checks detect each of them. */
  public enum Bug {
    NONE, COUNTS_FROM_RECEIPT, FENCE_TOO_LONG, MARGIN_TOO_LONG, LEADER_IS_TRUSTED, TIME_BETWEEN_LEADERS,
    FORGOTTEN_WHEN_SILENT, KEEPS_WHAT_IS_PREPARED, CLOCK_BEYOND_DRIFT, HOLDS_AT_ONCE, ASLEEP_OVER_IT,
    READY_IS_HELD, NO_IS_UNHEARD, YES_OF_ANOTHER, OLD_ANSWERS_AS_NEW
  }

  /**
   * Result of one schedule.
   *
   * @param breaches violated invariants; empty if all held
   * @param held number of changes that took effect
   * @param aborted number of changes that did not take effect
   * @param decided number of requests decided by a single policy
   * @param both number of requests that both policies had to allow
   * @param refused number of requests refused because the policy in effect was unknown
   */
  public record Result(List<String> breaches, int held, int aborted, long decided, long both,
      long refused) { }

  private static final double DRIFT = 0.02;
  private static final double HEARTBEAT_INTERVAL_MS = 150;
  private static final double MAX_DELAY_MS = 60;
  private static final double MEAN_REQUEST_INTERVAL_MS = 12;
  private static final double FAULTS_UNTIL_MS = 25_000;
  private static final double MAX_RECOVERY_MS = 25_000;
  private static final EpochSettings TERMS = new EpochSettings(3_000, 700, 6_000);

  private final SimClock clock = new SimClock();
  private final Random random;
  private final Bug bug;
  private final boolean checksBothPolicies;
  private final EpochCoordinator epochs;
  private final Map<String, MemberReport> memberReports = new LinkedHashMap<>();
  private final List<SimulatedProcess> processes = new ArrayList<>();
  private final Map<String, Long> storedEpochs = new HashMap<>();
  private final Set<String> cutDoors = new HashSet<>();
  private final Set<Long> rejectedEpochs = new HashSet<>();
  private final List<String> breaches = new ArrayList<>();
  private final int doors;
  /** The highest epoch that has decided a request alone at any door. */
  private long highestDecidedEpoch;
  private double recordMs;
  private double leaderMs = Double.NaN;
  private double leaderRate = 1;
  private double leaderClockOffsetMs;
  private boolean hasLeader;
  private int term;
  private boolean faultsEnded;
  private int processCount;
  private int proposals;
  private long decidedByOne;
  private long decidedByBoth;
  private long refusals;

  private record MemberReport(double heardMs, EpochMember.Report word) { }

  private EpochSimulation(long seed, int doors, Bug bug) {
    random = new Random(seed);
    this.doors = doors;
    this.bug = bug;
    checksBothPolicies = random.nextBoolean();
    epochs = new EpochCoordinator(
        new EpochState(TERMS, 0, PolicyDocument.NONE, PolicyDocument.NONE, null, List.of()));
  }

  /** Plays one schedule, drawn from the seed. */
  public static Result play(long seed, int doors, Bug bug) {
    return new EpochSimulation(seed, doors, bug).run();
  }

  private Result run() {
    electLeader();
    for (int i = 0; i < doors; i++) {
      startProcess("d" + i);
    }
    clock.after(800, this::propose);
    int faults = 3 + random.nextInt(10);
    for (int i = 0; i < faults; i++) {
      clock.after(500 + random.nextInt((int) FAULTS_UNTIL_MS), this::injectFault);
    }
    clock.runUntil(FAULTS_UNTIL_MS);
    faultsEnded = true;
    cutDoors.clear();
    processes.forEach(p -> p.setStopped(false));
    double limit = clock.now() + MAX_RECOVERY_MS;
    while (clock.now() < limit && !isSettled()) {
      clock.runUntil(clock.now() + 500);
    }
    if (!isSettled()) {
      addBreach("not everything has settled: " + epochs.state().change() + ", blocked by "
          + epochs.describeBlockers(recordMs, members()));
    }
    List<PastChange> log = epochs.state().log();
    return new Result(List.copyOf(breaches), (int) log.stream().filter(PastChange::held).count(),
        (int) log.stream().filter(x -> !x.held()).count(), decidedByOne, decidedByBoth, refusals);
  }

  private boolean isSettled() {
    long current = epochs.state().current().epoch();
    return epochs.state().change() == null && processes.stream().filter(x -> !x.dead).allMatch(x -> {
      ActivePolicy by = x.side.policyAt(x.clock());
      // A door that cannot load an epoch agreed on while it was fenced refuses requests.
      return by.epoch() == current && by.also() < 0 || x.side.report().refused() == current && by.refuses();
    });
  }

  private void addBreach(String what) {
    if (breaches.size() < 5) {
      breaches.add(Math.round(clock.now()) + " ms: " + what);
    }
  }

  private double randomClockRate() {
    return 1 + DRIFT * (2 * random.nextDouble() - 1);
  }

  private double leaderClock() {
    return leaderClockOffsetMs + leaderRate * clock.now();
  }

  private void electLeader() {
    double before = clock.now();
    term++;
    hasLeader = true;
    leaderRate = randomClockRate();
    leaderClockOffsetMs = random.nextInt(1_000_000);
    if (bug == Bug.TIME_BETWEEN_LEADERS && term > 1) {
      recordMs += 1_500;
    }
    leaderMs = leaderClock();
    if (bug != Bug.LEADER_IS_TRUSTED && term > 1) {
      epochs.onLeaderElected(recordMs);
    }
    settle();
    if (before < FAULTS_UNTIL_MS) {
      clock.after(2_000 + random.nextInt(12_000), this::loseLeader);
    }
  }

  private void loseLeader() {
    if (hasLeader) {
      hasLeader = false;
      clock.after(100 + random.nextInt(1_500), this::electLeader);
    }
  }

  /** Advances the record's time by the time that has passed on the leader's clock. */
  private void advanceRecordTime() {
    recordMs += Math.max(0, leaderClock() - leaderMs);
    leaderMs = Math.max(leaderMs, leaderClock());
  }

  private List<EpochMember> members() {
    return memberReports.entrySet().stream().map(e -> new EpochMember(e.getKey(), e.getValue().heardMs()
        + (bug == Bug.FORGOTTEN_WHEN_SILENT ? 500 : TERMS.fenceMs()),
        bug == Bug.NO_IS_UNHEARD ? withoutRefusal(e.getValue().word()) : e.getValue().word())).toList();
  }

  private static EpochMember.Report withoutRefusal(EpochMember.Report word) {
    return word.refused() == 0 ? word : new EpochMember.Report(word.holds(), word.refused(), 0, "");
  }

  private void settle() {
    PolicyChange before = epochs.state().change();
    epochs.advance(recordMs, members());
    PolicyChange now = epochs.state().change();
    if (before != null && now != null && before.stage() != now.stage()
        && now.stage() == PolicyChange.Stage.DECIDED
        && memberReports.values().stream().anyMatch(x -> x.word().refused() == now.document().epoch())) {
      addBreach("epoch " + now.document().epoch() + " is decided although a member refused it");
    }
  }

  private void propose() {
    if (hasLeader && !faultsEnded) {
      advanceRecordTime();
      String text = "document " + ++proposals;
      try {
        long epoch = epochs
            .propose(recordMs, text, PolicyDocument.hash(text), epochs.state().current().epoch(),
            "ana",
            "test");
        if (random.nextInt(5) == 0) {
          rejectedEpochs.add(epoch);
        }
        if (random.nextInt(4) == 0) {
          clock.after(random.nextInt(1_500), () -> abort(epoch));
        }
      } catch (IllegalArgumentException e) {
        // Another change is in progress.
        proposals--;
      }
    }
    if (!faultsEnded) {
      clock.after(300 + random.nextInt(3_000), this::propose);
    }
  }

  private void abort(long epoch) {
    if (hasLeader) {
      advanceRecordTime();
      try {
        epochs.abort(recordMs, epoch, "rui");
      } catch (IllegalArgumentException e) {
        // The change has already been decided.
        settle();
      }
    }
  }

  private void injectFault() {
    SimulatedProcess p = processes.get(random.nextInt(processes.size()));
    double durationMs = 100 + random.nextInt(7_000);
    switch (random.nextInt(5)) {
      case 0 -> {
        p.setStopped(true);
        clock.after(durationMs, () -> p.setStopped(false));
      }
      case 1 -> {
        if (!p.dead) {
          p.dead = true;
          clock.after(durationMs, () -> startProcess(p.door));
        }
      }
      case 2 -> {
        // A second process of the door replaces the first one.
        if (!p.dead && processes.stream().noneMatch(x -> x != p && x.door.equals(p.door) && !x.dead)) {
          startProcess(p.door);
          clock.after(1_500, () -> p.runWhenResumed(p::leave));
        }
      }
      default -> {
        cutDoors.add(p.door);
        clock.after(durationMs, () -> cutDoors.remove(p.door));
      }
    }
  }

  private void startProcess(String door) {
    SimulatedProcess p = new SimulatedProcess(door, door + "/i" + ++processCount);
    processes.add(p);
    p.sendHeartbeat();
    p.decideRequest();
  }

  private boolean isLost(String door) {
    return cutDoors.contains(door) || !faultsEnded && random.nextDouble() < 0.03;
  }

  private double randomDelayMs() {
    return !faultsEnded && random.nextDouble() < 0.05 ? random.nextInt(4_000)
        : random.nextDouble() * MAX_DELAY_MS;
  }

  /** One process of a door. */
  private final class SimulatedProcess {
    private final String door;
    private final String name;
    private final double rate = bug == Bug.CLOCK_BEYOND_DRIFT ? 0.6 : randomClockRate();
    private final double clockOffsetMs = random.nextInt(1_000_000);
    private final EpochParticipant side;
    private final List<Runnable> deferredTasks = new ArrayList<>();
    private long heartbeats;
    private boolean dead;
    private boolean stopped;
    private double wakeAtMs = Double.POSITIVE_INFINITY;
    private ActivePolicy decisionWhenStopped;

    SimulatedProcess(String door, String name) {
      this.door = door;
      this.name = name;
      side = new EpochParticipant(DRIFT, checksBothPolicies, storedEpochs.getOrDefault(door, 0L));
    }

    double clock() {
      return clockOffsetMs + rate * clock.now();
    }

    void runWhenResumed(Runnable what) {
      if (stopped) {
        deferredTasks.add(what);
      } else if (!dead) {
        what.run();
      }
    }

    void setStopped(boolean stop) {
      if (stop && !dead) {
        decisionWhenStopped = side.policyAt(clock());
      }
      stopped = stop && !dead;
      if (!stop) {
        List<Runnable> all = List.copyOf(deferredTasks);
        deferredTasks.clear();
        if (!dead && bug == Bug.ASLEEP_OVER_IT && decisionWhenStopped != null) {
          onDecision(decisionWhenStopped);
        }
        decisionWhenStopped = null;
        all.forEach(this::runWhenResumed);
      }
    }

    void leave() {
      dead = true;
      memberReports.remove(name);
    }

    void sendHeartbeat() {
      long number = ++heartbeats;
      double sentMs = clock();
      EpochMember.Report word = bug == Bug.YES_OF_ANOTHER && epochs.state().change() != null
          ? new EpochMember.Report(side.report().holds(), epochs.state().change().document().epoch(), 0, "")
          : side.report();
      if (!isLost(door)) {
        clock.after(randomDelayMs(), () -> acceptHeartbeat(number, sentMs, word));
      }
      clock.after(HEARTBEAT_INTERVAL_MS / rate, () -> runWhenResumed(this::sendHeartbeat));
    }

    private void acceptHeartbeat(long number, double sentMs, EpochMember.Report word) {
      if (!hasLeader || dead && !memberReports.containsKey(name)) {
        return;
      }
      int termAtReceipt = term;
      clock.after(random.nextDouble() * 10, () -> {
        if (hasLeader && term == termAtReceipt && (!dead || memberReports.containsKey(name))) {
          advanceRecordTime();
          memberReports.put(name, new MemberReport(recordMs, word));
          settle();
          EpochView view = viewWithPlantedBug(epochs.view(recordMs));
          if (!isLost(door)) {
            clock.after(randomDelayMs(), () -> runWhenResumed(() -> onAnswer(number, sentMs, view)));
          }
        }
      });
    }

    private EpochView viewWithPlantedBug(EpochView v) {
      return switch (bug) {
        case FENCE_TOO_LONG -> new EpochView(v.nowMs(), v.current(), v.hash(), v.next(), v.nextHash(),
            v.stage(),
            v.holdMs(), 5 * v.fenceMs(), v.marginMs());
        case MARGIN_TOO_LONG -> new EpochView(v.nowMs(), v.current(), v.hash(), v.next(), v.nextHash(),
            v.stage(), v.holdMs(), v.fenceMs(), v.fenceMs());
        case HOLDS_AT_ONCE -> new EpochView(v.nowMs(), v.current(), v.hash(), v.next(), v.nextHash(),
            v.stage(),
            v.nowMs() - 200, v.fenceMs(), v.marginMs());
        default -> v;
      };
    }

    private void onAnswer(long number, double sentMs, EpochView view) {
      boolean late = bug == Bug.OLD_ANSWERS_AS_NEW;
      dispatch(new EpochEvent
          .HeartbeatAnswered(late ? heartbeats : number, bug == Bug.COUNTS_FROM_RECEIPT || late
          ? clock()
          : sentMs, view));
    }

    private void dispatch(EpochEvent event) {
      for (EpochAction action : side.handle(clock(), event)) {
        if (action instanceof EpochAction.Prepare e) {
          clock.after(30 + random.nextInt(600), () -> runWhenResumed(() -> onPrepared(e.epoch())));
        } else if (action instanceof EpochAction.Adopt e) {
          storedEpochs.put(door, e.epoch());
        } else if (action instanceof EpochAction.WakeAt e && e.atMs() != wakeAtMs) {
          wakeAtMs = e.atMs();
          clock.after(Math.max(0, (e.atMs() - clock()) / rate) + 0.01, () -> runWhenResumed(() -> {
            if (wakeAtMs == e.atMs()) {
              wakeAtMs = Double.POSITIVE_INFINITY;
              dispatch(new EpochEvent.TimerFired());
            }
          }));
        }
      }
    }

    private void onPrepared(long epoch) {
      if (rejectedEpochs.contains(epoch) && door.equals("d0")) {
        dispatch(new EpochEvent.PrepareFailed(epoch, "too large"));
      } else {
        if (bug == Bug.KEEPS_WHAT_IS_PREPARED) {
          storedEpochs.put(door, epoch);
        }
        dispatch(new EpochEvent.Ready(epoch));
      }
    }

    void decideRequest() {
      ActivePolicy by = side.policyAt(clock());
      if (bug == Bug.READY_IS_HELD && side.report().prepared() > 0) {
        by = new ActivePolicy(side.report().prepared(), ActivePolicy.NONE, 0);
      }
      onDecision(by);
      clock.after(random.nextDouble() * 2 * MEAN_REQUEST_INTERVAL_MS, () ->
          runWhenResumed(this::decideRequest));
    }

    private void onDecision(ActivePolicy by) {
      if (by.refuses()) {
        refusals++;
      } else if (Math.max(by.epoch(), by.also()) < highestDecidedEpoch) {
        addBreach(name + " decides by " + by + " after epoch " + highestDecidedEpoch + " decided a request");
      } else if (by.also() >= 0) {
        decidedByBoth++;
      } else {
        decidedByOne++;
        highestDecidedEpoch = by.epoch();
        if (epochs.state().log().stream().anyMatch(x -> x.epoch() == by.epoch() && !x.held())) {
          addBreach(name + " decides by epoch " + by.epoch() + ", which was aborted");
        }
        if (epochs.state().change() != null && epochs.state().change().document().epoch() == by.epoch()
            && epochs.state().change().stage() == PolicyChange.Stage.PREPARING) {
          addBreach(name + " decides by epoch " + by.epoch() + ", which is not yet decided");
        }
      }
    }
  }
}
