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
 * Changes of policy in simulated time: the real record's side and the real doors' sides, with leaders that
 * change and whose clocks have nothing to do with each other, links that lose, delay and repeat, doors that
 * are stopped, cut off, killed and begun anew, operators who propose and abort. What must hold is looked at
 * from above, by true time: once any door has decided by an epoch, none decides by an older one alone.
 */
public final class EpochWorld {

  /** Mistakes that may be planted, to see that each is found. */
  public enum Bug {
    NONE, COUNTS_FROM_RECEIPT, FENCE_TOO_LONG, MARGIN_TOO_LONG, LEADER_IS_TRUSTED, TIME_BETWEEN_LEADERS,
    FORGOTTEN_WHEN_SILENT, KEEPS_WHAT_IS_PREPARED, CLOCK_BEYOND_DRIFT, HOLDS_AT_ONCE, ASLEEP_OVER_IT,
    READY_IS_HELD, NO_IS_UNHEARD, YES_OF_ANOTHER, OLD_ANSWERS_AS_NEW
  }

  /**
   * What came of one schedule.
   *
   * @param breaches none if all held
   * @param held changes that came to hold
   * @param aborted changes that did not
   * @param decided requests that were decided by one policy alone
   * @param both requests that had to pass under both
   * @param refused requests that were refused as it wasn't known what holds
   */
  public record Result(List<String> breaches, int held, int aborted, long decided, long both,
      long refused) { }

  private static final double DRIFT = 0.02;
  private static final double BEAT_MS = 150;
  private static final double MOST_DELAY_MS = 60;
  private static final double TRAFFIC_MS = 12;
  private static final double FAULTS_UNTIL_MS = 25_000;
  private static final double MOST_MENDING_MS = 25_000;
  private static final EpochSettings TERMS = new EpochSettings(3_000, 700, 6_000);

  private final SimClock clock = new SimClock();
  private final Random random;
  private final Bug bug;
  private final boolean both;
  private final EpochCoordinator epochs;
  private final Map<String, Life> record = new LinkedHashMap<>();
  private final List<Process> processes = new ArrayList<>();
  private final Map<String, Long> files = new HashMap<>();
  private final Set<String> cut = new HashSet<>();
  private final Set<Long> bad = new HashSet<>();
  private final List<String> breaches = new ArrayList<>();
  private final int doors;
  /** The highest epoch that has decided alone anywhere. */
  private long decidedBy;
  private double recordMs;
  private double leaderMs = Double.NaN;
  private double leaderRate = 1;
  private double leaderAhead;
  private boolean led;
  private int term;
  private boolean quiet;
  private int begun;
  private int proposals;
  private long alone;
  private long pairs;
  private long refusals;

  private record Life(double heardMs, EpochMember.Report word) { }

  private EpochWorld(long seed, int doors, Bug bug) {
    random = new Random(seed);
    this.doors = doors;
    this.bug = bug;
    both = random.nextBoolean();
    epochs = new EpochCoordinator(
        new EpochState(TERMS, 0, PolicyDocument.NONE, PolicyDocument.NONE, null, List.of()));
  }

  /** Plays one schedule. */
  public static Result play(long seed, int doors, Bug bug) {
    return new EpochWorld(seed, doors, bug).run();
  }

  private Result run() {
    lead();
    for (int i = 0; i < doors; i++) {
      begin("d" + i);
    }
    clock.after(800, this::propose);
    int faults = 3 + random.nextInt(10);
    for (int i = 0; i < faults; i++) {
      clock.after(500 + random.nextInt((int) FAULTS_UNTIL_MS), this::fault);
    }
    clock.runUntil(FAULTS_UNTIL_MS);
    quiet = true;
    cut.clear();
    processes.forEach(p -> p.stop(false));
    double limit = clock.now() + MOST_MENDING_MS;
    while (clock.now() < limit && !settled()) {
      clock.runUntil(clock.now() + 500);
    }
    if (!settled()) {
      breach("not all has ended: " + epochs.state().change() + ", held up by "
          + epochs.describeBlockers(recordMs, members()));
    }
    List<PastChange> log = epochs.state().log();
    return new Result(List.copyOf(breaches), (int) log.stream().filter(PastChange::held).count(),
        (int) log.stream().filter(x -> !x.held()).count(), alone, pairs, refusals);
  }

  private boolean settled() {
    long current = epochs.state().current().epoch();
    return epochs.state().change() == null && processes.stream().filter(x -> !x.dead).allMatch(x -> {
      ActivePolicy by = x.side.policyAt(x.clock());
      // One that can't have what others agreed on while it was fenced refuses.
      return by.epoch() == current && by.also() < 0 || x.side.report().refused() == current && by.refuses();
    });
  }

  private void breach(String what) {
    if (breaches.size() < 5) {
      breaches.add(Math.round(clock.now()) + " ms: " + what);
    }
  }

  private double drifting() {
    return 1 + DRIFT * (2 * random.nextDouble() - 1);
  }

  private double leaderClock() {
    return leaderAhead + leaderRate * clock.now();
  }

  private void lead() {
    double before = clock.now();
    term++;
    led = true;
    leaderRate = drifting();
    leaderAhead = random.nextInt(1_000_000);
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
    if (led) {
      led = false;
      clock.after(100 + random.nextInt(1_500), this::lead);
    }
  }

  /** The leader's time passes in the record with each entry. */
  private void pass() {
    recordMs += Math.max(0, leaderClock() - leaderMs);
    leaderMs = Math.max(leaderMs, leaderClock());
  }

  private List<EpochMember> members() {
    return record.entrySet().stream().map(e -> new EpochMember(e.getKey(), e.getValue().heardMs()
        + (bug == Bug.FORGOTTEN_WHEN_SILENT ? 500 : TERMS.fenceMs()),
        bug == Bug.NO_IS_UNHEARD ? ready(e.getValue().word()) : e.getValue().word())).toList();
  }

  private static EpochMember.Report ready(EpochMember.Report word) {
    return word.refused() == 0 ? word : new EpochMember.Report(word.holds(), word.refused(), 0, "");
  }

  private void settle() {
    PolicyChange before = epochs.state().change();
    epochs.advance(recordMs, members());
    PolicyChange now = epochs.state().change();
    if (before != null && now != null && before.stage() != now.stage()
        && now.stage() == PolicyChange.Stage.DECIDED
        && record.values().stream().anyMatch(x -> x.word().refused() == now.document().epoch())) {
      breach("epoch " + now.document().epoch() + " is decided, and somebody has said no to it");
    }
  }

  private void propose() {
    if (led && !quiet) {
      pass();
      String text = "document " + ++proposals;
      try {
        long epoch = epochs
            .propose(recordMs, text, PolicyDocument.hash(text), epochs.state().current().epoch(),
            "ana",
            "test");
        if (random.nextInt(5) == 0) {
          bad.add(epoch);
        }
        if (random.nextInt(4) == 0) {
          clock.after(random.nextInt(1_500), () -> abort(epoch));
        }
      } catch (IllegalArgumentException e) {
        // Another is under way.
        proposals--;
      }
    }
    if (!quiet) {
      clock.after(300 + random.nextInt(3_000), this::propose);
    }
  }

  private void abort(long epoch) {
    if (led) {
      pass();
      try {
        epochs.abort(recordMs, epoch, "rui");
      } catch (IllegalArgumentException e) {
        // It is decided already.
        settle();
      }
    }
  }

  private void fault() {
    Process p = processes.get(random.nextInt(processes.size()));
    double lasts = 100 + random.nextInt(7_000);
    switch (random.nextInt(5)) {
      case 0 -> {
        p.stop(true);
        clock.after(lasts, () -> p.stop(false));
      }
      case 1 -> {
        if (!p.dead) {
          p.dead = true;
          clock.after(lasts, () -> begin(p.door));
        }
      }
      case 2 -> {
        // A second process of the door, which takes the place of the first.
        if (!p.dead && processes.stream().noneMatch(x -> x != p && x.door.equals(p.door) && !x.dead)) {
          begin(p.door);
          clock.after(1_500, () -> p.on(p::leave));
        }
      }
      default -> {
        cut.add(p.door);
        clock.after(lasts, () -> cut.remove(p.door));
      }
    }
  }

  private void begin(String door) {
    Process p = new Process(door, door + "/i" + ++begun);
    processes.add(p);
    p.beat();
    p.traffic();
  }

  private boolean lost(String door) {
    return cut.contains(door) || !quiet && random.nextDouble() < 0.03;
  }

  private double delay() {
    return !quiet && random.nextDouble() < 0.05 ? random.nextInt(4_000) : random.nextDouble() * MOST_DELAY_MS;
  }

  /** One process of a door. */
  private final class Process {
    private final String door;
    private final String name;
    private final double rate = bug == Bug.CLOCK_BEYOND_DRIFT ? 0.6 : drifting();
    private final double ahead = random.nextInt(1_000_000);
    private final EpochParticipant side;
    private final List<Runnable> held = new ArrayList<>();
    private long beats;
    private boolean dead;
    private boolean stopped;
    private double wakeAt = Double.POSITIVE_INFINITY;
    private ActivePolicy asleep;

    Process(String door, String name) {
      this.door = door;
      this.name = name;
      side = new EpochParticipant(DRIFT, both, files.getOrDefault(door, 0L));
    }

    double clock() {
      return ahead + rate * clock.now();
    }

    void on(Runnable what) {
      if (stopped) {
        held.add(what);
      } else if (!dead) {
        what.run();
      }
    }

    void stop(boolean on) {
      if (on && !dead) {
        asleep = side.policyAt(clock());
      }
      stopped = on && !dead;
      if (!on) {
        List<Runnable> all = List.copyOf(held);
        held.clear();
        if (!dead && bug == Bug.ASLEEP_OVER_IT && asleep != null) {
          decided(asleep);
        }
        asleep = null;
        all.forEach(this::on);
      }
    }

    void leave() {
      dead = true;
      record.remove(name);
    }

    void beat() {
      long number = ++beats;
      double sent = clock();
      EpochMember.Report said = bug == Bug.YES_OF_ANOTHER && epochs.state().change() != null
          ? new EpochMember.Report(side.report().holds(), epochs.state().change().document().epoch(), 0, "")
          : side.report();
      if (!lost(door)) {
        clock.after(delay(), () -> agree(number, sent, said));
      }
      clock.after(BEAT_MS / rate, () -> on(this::beat));
    }

    private void agree(long number, double sent, EpochMember.Report said) {
      if (!led || dead && !record.containsKey(name)) {
        return;
      }
      int asked = term;
      clock.after(random.nextDouble() * 10, () -> {
        if (led && term == asked && (!dead || record.containsKey(name))) {
          pass();
          record.put(name, new Life(recordMs, said));
          settle();
          EpochView view = shown(epochs.view(recordMs));
          if (!lost(door)) {
            clock.after(delay(), () -> on(() -> answered(number, sent, view)));
          }
        }
      });
    }

    private EpochView shown(EpochView v) {
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

    private void answered(long number, double sent, EpochView view) {
      boolean late = bug == Bug.OLD_ANSWERS_AS_NEW;
      tell(new EpochEvent
          .HeartbeatAnswered(late ? beats : number, bug == Bug.COUNTS_FROM_RECEIPT || late ? clock()
          : sent, view));
    }

    private void tell(EpochEvent event) {
      for (EpochAction action : side.handle(clock(), event)) {
        if (action instanceof EpochAction.Prepare e) {
          clock.after(30 + random.nextInt(600), () -> on(() -> prepared(e.epoch())));
        } else if (action instanceof EpochAction.Adopt e) {
          files.put(door, e.epoch());
        } else if (action instanceof EpochAction.WakeAt e && e.atMs() != wakeAt) {
          wakeAt = e.atMs();
          clock.after(Math.max(0, (e.atMs() - clock()) / rate) + 0.01, () -> on(() -> {
            if (wakeAt == e.atMs()) {
              wakeAt = Double.POSITIVE_INFINITY;
              tell(new EpochEvent.TimerFired());
            }
          }));
        }
      }
    }

    private void prepared(long epoch) {
      if (bad.contains(epoch) && door.equals("d0")) {
        tell(new EpochEvent.PrepareFailed(epoch, "too large"));
      } else {
        if (bug == Bug.KEEPS_WHAT_IS_PREPARED) {
          files.put(door, epoch);
        }
        tell(new EpochEvent.Ready(epoch));
      }
    }

    void traffic() {
      ActivePolicy by = side.policyAt(clock());
      if (bug == Bug.READY_IS_HELD && side.report().prepared() > 0) {
        by = new ActivePolicy(side.report().prepared(), ActivePolicy.NONE, 0);
      }
      decided(by);
      clock.after(random.nextDouble() * 2 * TRAFFIC_MS, () -> on(this::traffic));
    }

    private void decided(ActivePolicy by) {
      if (by.refuses()) {
        refusals++;
      } else if (Math.max(by.epoch(), by.also()) < decidedBy) {
        breach(name + " decides by " + by + ", and epoch " + decidedBy + " has decided before");
      } else if (by.also() >= 0) {
        pairs++;
      } else {
        alone++;
        decidedBy = by.epoch();
        if (epochs.state().log().stream().anyMatch(x -> x.epoch() == by.epoch() && !x.held())) {
          breach(name + " decides by epoch " + by.epoch() + ", which was aborted");
        }
        if (epochs.state().change() != null && epochs.state().change().document().epoch() == by.epoch()
            && epochs.state().change().stage() == PolicyChange.Stage.PREPARING) {
          breach(name + " decides by epoch " + by.epoch() + ", which is not decided on");
        }
      }
    }
  }
}
