package willowdoor.daemon.fleet;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import willowdoor.agreement.Budget;
import willowdoor.agreement.Command;
import willowdoor.agreement.Command.Heartbeat;
import willowdoor.agreement.Command.Heartbeats;
import willowdoor.agreement.Command.Activity;
import willowdoor.agreement.Command.Join;
import willowdoor.agreement.Command.LeaderElected;
import willowdoor.agreement.Command.Leave;
import willowdoor.agreement.Command.Report;
import willowdoor.agreement.Command.StartRelease;
import willowdoor.agreement.Command.Tick;
import willowdoor.agreement.FleetStateMachine;
import willowdoor.agreement.OutageLimit;
import willowdoor.agreement.Permit;
import willowdoor.agreement.FleetSettings;
import willowdoor.agreement.DoorView;
import willowdoor.rollout.Comparison;
import willowdoor.rollout.Plan;
import willowdoor.rollout.Release;
import willowdoor.rollout.Tally;
import willowdoor.steward.Codec;

/**
 * Measures how the fleet record grows over repeated releases, without processes: the commands of doors are
 * applied to a record directly, and the snapshot's size is printed after each power of ten of releases.
 */
final class RecordGrowth {

  private static final double LEASE_MS = 3_000;
  private static final double HEARTBEAT_INTERVAL_MS = 1_000;

  private final PrintWriter out;
  private final FleetStateMachine record;
  private final int doors;
  private final List<String> incarnations = new ArrayList<>();
  private final long[] heartbeatNumbers;
  private double nowMs = 1_000;
  private long commands;
  private long logBytes;
  private int processCount;

  /** Creates a fleet of the given number of doors, of which a tenth, at least one, may be out at once. */
  RecordGrowth(PrintWriter out, int doors) {
    this.out = out;
    this.doors = doors;
    heartbeatNumbers = new long[doors];
    Budget budget = new Budget(OutageLimit.of(Math.max(1, doors / 10)), OutageLimit.UNLIMITED, 0);
    record = new FleetStateMachine(new FleetSettings(budget, budget, LEASE_MS));
    apply(new LeaderElected(nowMs));
    for (int i = 0; i < doors; i++) {
      incarnations.add(startProcess(i, "1"));
      sendHeartbeat(i, Activity.READY, Report.NONE);
    }
  }

  private String startProcess(int door, String version) {
    String incarnation = "p" + ++processCount;
    apply(new Join(nowMs, "d" + door, incarnation, door % 2 == 0 ? "a" : "b", 1, processCount, version));
    return incarnation;
  }

  private void apply(Command command) {
    commands++;
    logBytes += Codec.bytes(command).length;
    record.apply(command);
  }

  private void sendHeartbeat(int door, Activity what, Report report) {
    apply(new Heartbeats(nowMs, List.of(new Heartbeat("d" + door, incarnations.get(door), what,
        ++heartbeatNumbers[door],
        record.state().index(), Set.of(), report))));
  }

  /** Plays the given number of releases and prints the size of the record at intervals. */
  void play(int releases) {
    long next = 1;
    for (int i = 1; i <= releases; i++) {
      long commandsBefore = commands;
      long bytesBefore = logBytes;
      String from = i % 2 == 1 ? "1" : "2";
      String to = i % 2 == 1 ? "2" : "1";
      apply(new StartRelease(nowMs, "r" + i, new Plan(Plan.Kind.DOORS, from, to, List.of(0.02, 0.25, 1.0),
          1_000, 500,
          60_000, 1_000, Comparison.DEFAULT), "ana"));
      while (lastRelease().mode() == Release.Mode.GOING) {
        playRound(to);
      }
      if (lastRelease().mode() != Release.Mode.ENDED) {
        throw new IllegalStateException(lastRelease().toString());
      }
      if (i == next || i == releases) {
        next *= 10;
        long encodeStartNanos = System.nanoTime();
        int size = Codec.bytes(record.state()).length;
        out.println(String.format(Locale.ROOT, "%d doors, %d releases: a snapshot has %d bytes and takes"
            + " %.1f ms; the last release was %d commands of %d bytes together", doors, i, size,
            (System.nanoTime() - encodeStartNanos) / 1e6, commands - commandsBefore, logBytes - bytesBefore));
        out.flush();
      }
    }
  }

  private Release lastRelease() {
    List<Release> all = record.state().releases();
    return all.get(all.size() - 1);
  }

  /** Plays one heartbeat interval: each door's heartbeat and the actions that its step requires. */
  private void playRound(String to) {
    for (int i = 0; i < doors; i++) {
      DoorView view = record.view("d" + i, incarnations.get(i), LEASE_MS);
      if (view.attempt() > 0 && view.version().equals(to)) {
        sendHeartbeat(i, Activity.EMPTY, new Report(view.attempt(), 0, Tally.NONE));
        String old = incarnations.set(i, startProcess(i, to));
        heartbeatNumbers[i] = 0;
        sendHeartbeat(i, Activity.EMPTY, Report.NONE);
        apply(new Leave(nowMs, "d" + i, old));
      }
      boolean goes = view.attempt() == 0 && view.permits().stream()
          .anyMatch(x -> x.stage() == Permit.Stage.GRANTED || x.stage() == Permit.Stage.OUT);
      sendHeartbeat(i, goes ? Activity.EMPTY : Activity.READY, Report.NONE);
    }
    nowMs += HEARTBEAT_INTERVAL_MS;
    apply(new Tick(nowMs));
  }
}
