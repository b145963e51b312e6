package willowdoor.emulator.agreement;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleFunction;
import java.util.logging.Level;
import java.util.logging.Logger;
import willowdoor.agreement.Budget;
import willowdoor.agreement.Command;
import willowdoor.agreement.OutageLimit;
import willowdoor.agreement.Outcome;
import willowdoor.agreement.FleetSettings;
import willowdoor.steward.DiskStore;
import willowdoor.steward.Steward;
import willowdoor.steward.StewardId;
import willowdoor.steward.StewardEnvironment;

/** The real library in simulated time: links that lose and delay, processes that stand still. */
final class StewardSimulation implements AutoCloseable {

  private static final long DISK_PAGES = 100_000;
  /** Its lines, many to each message, would hide a failure's. */
  private static final Logger RAFT_LOGGER = Logger.getLogger("io.microraft");

  private record Task(double atMs, long order, int owner, Runnable action) { }

  final List<StewardId> ids = new ArrayList<>();
  final List<Steward> stewards = new ArrayList<>();
  /** Those whose process is stopped: what falls due waits. */
  final Set<Integer> stopped = new HashSet<>();
  /** Directed links that carry nothing, as from * 10 + to. */
  final Set<Integer> cutLinks = new HashSet<>();
  double lossProbability;
  double maxDelayMs = 5;
  double nowMs;
  private final Random random;
  private long order;
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingDouble(Task::atMs).thenComparingLong(Task::order));
  private final List<Task> deferredTasks = new ArrayList<>();

  private List<StewardId> initial = List.of();
  private final Path folder;
  private final int snapshotAfter;
  private final FleetSettings terms;
  private final List<DiskStore> disks = new ArrayList<>();
  /** How often each process was begun. */
  private final List<Integer> launches = new ArrayList<>();

  StewardSimulation(Path folder, int n, long seed, int budget, int snapshotAfter) throws IOException {
    RAFT_LOGGER.setLevel(Level.OFF);
    random = new Random(seed);
    this.folder = Files.createTempDirectory(folder, "seed" + seed + "-");
    this.snapshotAfter = snapshotAfter;
    Budget doors = new Budget(OutageLimit.of(budget), OutageLimit.UNLIMITED, 0);
    terms = new FleetSettings(doors, doors, 3_000);
    for (int i = 0; i < n; i++) {
      ids.add(new StewardId("s" + i, "disk" + i));
      stewards.add(null);
      disks.add(null);
      launches.add(0);
    }
    initial = List.copyOf(ids);
    for (int i = 0; i < n; i++) {
      start(i);
    }
  }

  /** One more, which joins those who are there. */
  int join() throws IOException {
    int steward = ids.size();
    ids.add(new StewardId("s" + steward, "disk" + steward));
    stewards.add(null);
    disks.add(null);
    launches.add(0);
    start(steward);
    return steward;
  }

  /** Begins a steward's process on what is on its disk. */
  void start(int steward) throws IOException {
    start(steward, DISK_PAGES);
  }

  /** The same on a disk with room for so many pages. */
  void start(int steward, long pages) throws IOException {
    int launch = launches.get(steward) + 1;
    launches.set(steward, launch);
    disks.set(steward, new DiskStore(disk(steward), false, pages));
    Random stewardRandom = new Random(random.nextLong());
    // Clocks that have nothing to do with each other.
    double clockOffsetMs = stewardRandom.nextInt(1_000_000);
    stewards.set(steward, new Steward(ids.get(steward), initial, terms, new StewardEnvironment() {
      @Override
      public double now() {
        return nowMs + clockOffsetMs;
      }

      @Override
      public void schedule(double delayMs, Runnable task) {
        scheduleEvent(delayMs, steward, () -> {
          if (launches.get(steward) == launch) {
            task.run();
          }
        });
      }

      @Override
      public Random random() {
        return stewardRandom;
      }
    }, (to, message) -> {
      int other = ids.indexOf(to);
      if (!cutLinks.contains(steward * 10 + other) && random.nextDouble() >= lossProbability) {
        scheduleEvent(random.nextDouble() * maxDelayMs, other, () -> {
          if (disks.get(other) != null) {
            stewards.get(other).handle(message);
          }
        });
      }
    }, to -> true, snapshotAfter, disks.get(steward)));
    stewards.get(steward).start();
  }

  /** Where a steward's disk is, to be broken while it is down. */
  Path disk(int steward) {
    return folder.resolve("s" + steward + ".db");
  }

  /** Kills a steward's process; what it had not flushed is lost. */
  void kill(int steward) throws IOException {
    if (disks.get(steward) != null) {
      launches.set(steward, launches.get(steward) + 1);
      disks.get(steward).close();
      disks.set(steward, null);
      stopped.remove(steward);
      deferredTasks.removeIf(x -> x.owner == steward);
    }
  }

  /** Begins those that were killed, and has the stopped ones go on. */
  void restartStopped() throws IOException {
    for (int i = 0; i < ids.size(); i++) {
      if (disks.get(i) == null) {
        start(i);
      }
    }
    Set.copyOf(stopped).forEach(this::resume);
  }

  @Override
  public void close() throws IOException {
    for (int i = 0; i < ids.size(); i++) {
      kill(i);
    }
  }

  boolean isRunning(int steward) {
    return disks.get(steward) != null;
  }

  private void scheduleEvent(double delayMs, int owner, Runnable run) {
    tasks.add(new Task(nowMs + delayMs, order++, owner, run));
  }

  void stop(int steward) {
    stopped.add(steward);
  }

  void resume(int steward) {
    stopped.remove(steward);
    deferredTasks.stream().filter(x -> x.owner == steward).forEach(x -> scheduleEvent(0, steward, x.action));
    deferredTasks.removeIf(x -> x.owner == steward);
  }

  /** Both ways between those of a side and all others. */
  void partition(Set<Integer> side) {
    for (int i = 0; i < ids.size(); i++) {
      for (int k = 0; k < ids.size(); k++) {
        if (side.contains(i) != side.contains(k)) {
          cutLinks.add(i * 10 + k);
        }
      }
    }
  }

  void run(double ms) {
    runUntil(nowMs + ms, () -> false);
  }

  /** Whether it came to be within the time. */
  boolean runUntil(double limitMs, BooleanSupplier condition) {
    while (!condition.getAsBoolean()) {
      Task next = tasks.peek();
      if (next == null || next.atMs > limitMs) {
        nowMs = limitMs;
        return false;
      }
      tasks.poll();
      nowMs = Math.max(nowMs, next.atMs);
      if (stopped.contains(next.owner)) {
        deferredTasks.add(next);
      } else {
        next.action.run();
      }
    }
    return true;
  }

  /** The one that leads by its own belief and isn't among those; -1 where there is none. */
  int leader(Set<Integer> excluded) {
    for (int i = 0; i < stewards.size(); i++) {
      if (!excluded.contains(i) && !stopped.contains(i) && isRunning(i) && stewards.get(i).isLeader()) {
        return i;
      }
    }
    return -1;
  }

  CompletableFuture<Outcome> propose(int steward, DoubleFunction<Command> command) {
    return stewards.get(steward).propose(command);
  }

  /** What a command comes to, tried at whoever leads until one agrees. */
  Outcome proposeUntilAgreed(Set<Integer> excluded, DoubleFunction<Command> command) {
    double limit = nowMs + 20_000;
    while (nowMs < limit) {
      int leader = leader(excluded);
      if (leader >= 0) {
        CompletableFuture<Outcome> answer = propose(leader, command);
        runUntil(nowMs + 1_000, answer::isDone);
        if (answer.isDone() && !answer.isCompletedExceptionally()) {
          return answer.join();
        }
      }
      run(20);
    }
    throw new AssertionError("nothing was agreed on in 20 s");
  }
}
