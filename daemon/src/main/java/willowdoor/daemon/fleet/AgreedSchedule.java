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

/** Faults between stewards and doors by a seed: which link or process breaks, how, when and for how long. */
record AgreedSchedule(long seed, List<AgreedSchedule.Fault> faults) {

  /** What breaks; a leader is whoever leads at that moment. */
  enum What { KILL_STEWARD, KILL_LEADER, STOP_STEWARD, STOP_LEADER, LINKS_OF_STEWARD, LINKS_OF_LEADER,
    ONE_WAY, LINKS_OF_DOOR, KILL_DOOR, STOP_DOOR, ALL_STEWARDS }

  /** One fault; afterwards what it broke is whole again. */
  record Fault(double atMs, What what, int target, int other, Mode mode, double lastsMs) {

    @Override
    public String toString() {
      return String.format(Locale.ROOT, "%5.0f ms %s %d%s for %.0f ms", atMs, what, target,
          what == What.ONE_WAY ? " to " + other + " " + mode
              : what.name().startsWith("LINKS") ? " " + mode : "", lastsMs);
    }
  }

  private static final Mode[] LINKS = {Mode.CUT, Mode.SILENT, Mode.DEAF, Mode.MUTE, Mode.LATE, Mode.TRICKLE};

  /** Two to five faults within so long. */
  static AgreedSchedule drawn(long seed, int stewards, int doors, double withinMs) {
    Random random = new Random(seed);
    List<Fault> all = new ArrayList<>();
    int n = 2 + random.nextInt(4);
    for (int i = 0; i < n; i++) {
      What what = What.values()[random.nextInt(What.values().length)];
      boolean door = what == What.LINKS_OF_DOOR || what == What.KILL_DOOR || what == What.STOP_DOOR;
      int target = random.nextInt(door ? doors : stewards);
      all.add(new Fault(random.nextDouble() * withinMs, what, target,
          (target + 1 + random.nextInt(stewards - 1)) % stewards, LINKS[random.nextInt(LINKS.length)],
          300 + random.nextInt(4_000)));
    }
    all.sort(Comparator.comparingDouble(Fault::atMs));
    return new AgreedSchedule(seed, List.copyOf(all));
  }

  /** Causes all of them from now on, and returns when the last is over and what they broke is whole. */
  void cause(FleetRun run, Stewards stewards) throws InterruptedException {
    ScheduledExecutorService timer = Executors.newScheduledThreadPool(4, r -> {
      Thread thread = new Thread(r, "faults");
      thread.setDaemon(true);
      return thread;
    });
    for (Fault fault : faults) {
      timer.schedule(() -> {
        Runnable end = begin(fault, run, stewards);
        timer.schedule(end, (long) fault.lastsMs(), TimeUnit.MILLISECONDS);
      }, (long) fault.atMs(), TimeUnit.MILLISECONDS);
    }
    double lasts = faults.stream().mapToDouble(f -> f.atMs() + f.lastsMs()).max().orElse(0);
    Thread.sleep((long) lasts + 2_000);
    timer.shutdown();
    timer.awaitTermination(30, TimeUnit.SECONDS);
    stewards.mend();
    for (int i = 0; i < run.doors().size(); i++) {
      run.doors().get(i).setSuspended(false);
      run.doors().get(i).start();
    }
  }

  /** What ends it. */
  private static Runnable begin(Fault f, FleetRun run, Stewards stewards) {
    boolean leads = f.what() == What.KILL_LEADER || f.what() == What.STOP_LEADER
        || f.what() == What.LINKS_OF_LEADER;
    int target = leads ? Math.max(0, stewards.leader()) : f.target();
    return switch (f.what()) {
      case KILL_STEWARD, KILL_LEADER -> killed(stewards.processes().get(target));
      case KILL_DOOR -> killed(run.doors().get(target));
      case STOP_STEWARD, STOP_LEADER -> stopped(stewards.processes().get(target));
      case STOP_DOOR -> stopped(run.doors().get(target));
      case ALL_STEWARDS -> {
        stewards.processes().forEach(DoorProcess::kill);
        yield () -> stewards.processes().forEach(DoorProcess::start);
      }
      case LINKS_OF_STEWARD, LINKS_OF_LEADER -> {
        stewards.steward(target, f.mode());
        yield () -> stewards.steward(target, Mode.WHOLE);
      }
      case ONE_WAY -> {
        stewards.between(target, f.other(), f.mode());
        yield () -> stewards.between(target, f.other(), Mode.WHOLE);
      }
      case LINKS_OF_DOOR -> {
        stewards.door(target, f.mode());
        yield () -> stewards.door(target, Mode.WHOLE);
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
