package willowdoor.daemon.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import willowdoor.testkit.DoorProcess;
import willowdoor.testkit.FaultyLink.Mode;

/** A schedule of faults of stewards, doors and their links, drawn from a seed. */
record AgreedSchedule(long seed, List<AgreedSchedule.Fault> faults) {

  /** Kinds of fault; "leader" is the steward that leads when the fault begins. */
  enum FaultKind { KILL_STEWARD, KILL_LEADER, STOP_STEWARD, STOP_LEADER, LINKS_OF_STEWARD, LINKS_OF_LEADER,
    ONE_WAY, LINKS_OF_DOOR, KILL_DOOR, STOP_DOOR, ALL_STEWARDS }

  /** One fault; at its end the affected link or process is restored. */
  record Fault(double atMs, FaultKind kind, int target, int other, Mode mode, double durationMs) {

    @Override
    public String toString() {
      return String.format(Locale.ROOT, "%5.0f ms %s %d%s for %.0f ms", atMs, kind, target,
          kind == FaultKind.ONE_WAY ? " to " + other + " " + mode
              : kind.name().startsWith("LINKS") ? " " + mode : "", durationMs);
    }
  }

  private static final Mode[] LINK_MODES = {Mode.CUT, Mode.SILENT, Mode.DEAF, Mode.MUTE, Mode.LATE,
      Mode.TRICKLE};

  /** Draws two to five faults that begin within the given time. */
  static AgreedSchedule draw(long seed, int stewards, int doors, double withinMs) {
    Random random = new Random(seed);
    List<Fault> all = new ArrayList<>();
    int n = 2 + random.nextInt(4);
    for (int i = 0; i < n; i++) {
      FaultKind what = FaultKind.values()[random.nextInt(FaultKind.values().length)];
      boolean door = what == FaultKind.LINKS_OF_DOOR || what == FaultKind.KILL_DOOR
          || what == FaultKind.STOP_DOOR;
      int target = random.nextInt(door ? doors : stewards);
      all.add(new Fault(random.nextDouble() * withinMs, what, target,
          (target + 1 + random.nextInt(stewards - 1)) % stewards,
              LINK_MODES[random.nextInt(LINK_MODES.length)],
          300 + random.nextInt(4_000)));
    }
    all.sort(Comparator.comparingDouble(Fault::atMs));
    return new AgreedSchedule(seed, List.copyOf(all));
  }

  /** Causes all faults, timed from now, and returns when the last has ended and everything is restored. */
  void cause(FleetRun run, Stewards stewards) throws InterruptedException {
    ScheduledExecutorService timer = Executors.newScheduledThreadPool(4, r -> {
      Thread thread = new Thread(r, "faults");
      thread.setDaemon(true);
      return thread;
    });
    for (Fault fault : faults) {
      timer.schedule(() -> {
        Runnable end = startFault(fault, run, stewards);
        timer.schedule(end, (long) fault.durationMs(), TimeUnit.MILLISECONDS);
      }, (long) fault.atMs(), TimeUnit.MILLISECONDS);
    }
    double lasts = faults.stream().mapToDouble(f -> f.atMs() + f.durationMs()).max().orElse(0);
    Thread.sleep((long) lasts + 2_000);
    timer.shutdown();
    timer.awaitTermination(30, TimeUnit.SECONDS);
    stewards.restoreAll();
    for (int i = 0; i < run.doors().size(); i++) {
      run.doors().get(i).setSuspended(false);
      run.doors().get(i).start();
    }
  }

  /** Begins a fault and returns the action that ends it. */
  private static Runnable startFault(Fault f, FleetRun run, Stewards stewards) {
    boolean leads = f.kind() == FaultKind.KILL_LEADER || f.kind() == FaultKind.STOP_LEADER
        || f.kind() == FaultKind.LINKS_OF_LEADER;
    int target = leads ? Math.max(0, stewards.leader()) : f.target();
    return switch (f.kind()) {
      case KILL_STEWARD, KILL_LEADER -> killed(stewards.processes().get(target));
      case KILL_DOOR -> killed(run.doors().get(target));
      case STOP_STEWARD, STOP_LEADER -> stopped(stewards.processes().get(target));
      case STOP_DOOR -> stopped(run.doors().get(target));
      case ALL_STEWARDS -> {
        stewards.processes().forEach(DoorProcess::kill);
        yield () -> stewards.processes().forEach(DoorProcess::start);
      }
      case LINKS_OF_STEWARD, LINKS_OF_LEADER -> {
        stewards.setStewardLinks(target, f.mode());
        yield () -> stewards.setStewardLinks(target, Mode.WHOLE);
      }
      case ONE_WAY -> {
        stewards.setLink(target, f.other(), f.mode());
        yield () -> stewards.setLink(target, f.other(), Mode.WHOLE);
      }
      case LINKS_OF_DOOR -> {
        stewards.setDoorLinks(target, f.mode());
        yield () -> stewards.setDoorLinks(target, Mode.WHOLE);
      }
    };
  }

  private static Runnable killed(DoorProcess process) {
    process.kill();
    return process::start;
  }

  private static Runnable stopped(DoorProcess process) {
    process.setSuspended(true);
    return () -> process.setSuspended(false);
  }
}
