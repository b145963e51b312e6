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

/**
 * Runs stewards with the real consensus library in simulated time, over links that lose and delay messages,
 * and with processes that are stopped and killed.
 */
final class StewardSimulation implements AutoCloseable {

  private static final long DISK_PAGES = 100_000;
  /** Switched off: the library logs many lines for each message, which would hide the output of a failure. */
  private static final Logger RAFT_LOGGER = Logger.getLogger("io.microraft");

  private record Task(double atMs, long order, int owner, Runnable action) { }

  final List<StewardId> ids = new ArrayList<>();
  final List<Steward> stewards = new ArrayList<>();
  /** Stewards whose process is stopped; their tasks that fall due are deferred. */
  final Set<Integer> stopped = new HashSet<>();
  /** Directed links that drop all messages, encoded as from * 10 + to. */
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
  /** Per steward, a counter that each start and kill of its process increments. */
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

  /** Starts one more steward, which is not yet a member, and returns its number. */
  int join() throws IOException {
    int steward = ids.size();
    ids.add(new StewardId("s" + steward, "disk" + steward));
    stewards.add(null);
    disks.add(null);
    launches.add(0);
    start(steward);
    return steward;
  }

  /** Starts a steward's process with the store on its disk. */
  void start(int steward) throws IOException {
    start(steward, DISK_PAGES);
  }

  /** Starts a steward whose store is limited to the given number of pages. */
  void start(int steward, long pages) throws IOException {
    int launch = launches.get(steward) + 1;
    launches.set(steward, launch);
    disks.set(steward, new DiskStore(disk(steward), false, pages));
    Random stewardRandom = new Random(random.nextLong());
    // The clocks of the stewards have unrelated offsets.
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

  /** The file of a steward's store, for tests that damage it while the steward is down. */
  Path disk(int steward) {
    return folder.resolve("s" + steward + ".db");
  }

  /** Kills a steward's process and drops its deferred tasks; data that it had not flushed is lost. */
  void kill(int steward) throws IOException {
    if (disks.get(steward) != null) {
      launches.set(steward, launches.get(steward) + 1);
      disks.get(steward).close();
      disks.set(steward, null);
      stopped.remove(steward);
      deferredTasks.removeIf(x -> x.owner == steward);
    }
  }

  /** Restarts all killed stewards and resumes all stopped ones. */
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

  /** Cuts the links in both directions between the stewards of one side and all others. */
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

  /** Runs until the condition holds; returns false if it does not hold by the given time. */
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

  /** The first running, not excluded steward that considers itself the leader; -1 if none does. */
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

  /** Proposes a command to the current leader, retrying for up to 20 s, and returns its outcome. */
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
    throw new AssertionError("no agreement within 20 s");
  }
}
