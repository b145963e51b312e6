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
final class StewardWorld implements AutoCloseable {

  private static final long ROOM = 100_000;
  /** Its lines, many to each message, would hide a failure's. */
  private static final Logger LIBRARY = Logger.getLogger("io.microraft");

  private record Task(double at, long order, int owner, Runnable run) { }

  final List<StewardId> ids = new ArrayList<>();
  final List<Steward> stewards = new ArrayList<>();
  /** Those whose process is stopped: what falls due waits. */
  final Set<Integer> stopped = new HashSet<>();
  /** Directed links that carry nothing, as from * 10 + to. */
  final Set<Integer> cut = new HashSet<>();
  double lost;
  double mostDelayMs = 5;
  double now;
  private final Random random;
  private long order;
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingDouble(Task::at).thenComparingLong(Task::order));
  private final List<Task> held = new ArrayList<>();

  private List<StewardId> initial = List.of();
  private final Path folder;
  private final int snapshotAfter;
  private final FleetSettings terms;
  private final List<DiskStore> disks = new ArrayList<>();
  /** How often each process was begun. */
  private final List<Integer> lives = new ArrayList<>();

  StewardWorld(Path folder, int n, long seed, int budget, int snapshotAfter) throws IOException {
    LIBRARY.setLevel(Level.OFF);
    random = new Random(seed);
    this.folder = Files.createTempDirectory(folder, "seed" + seed + "-");
    this.snapshotAfter = snapshotAfter;
    Budget doors = new Budget(OutageLimit.of(budget), OutageLimit.UNLIMITED, 0);
    terms = new FleetSettings(doors, doors, 3_000);
    for (int i = 0; i < n; i++) {
      ids.add(new StewardId("s" + i, "disk" + i));
      stewards.add(null);
      disks.add(null);
      lives.add(0);
    }
    initial = List.copyOf(ids);
    for (int i = 0; i < n; i++) {
      begin(i);
    }
  }

  /** One more, which joins those who are there. */
  int join() throws IOException {
    int me = ids.size();
    ids.add(new StewardId("s" + me, "disk" + me));
    stewards.add(null);
    disks.add(null);
    lives.add(0);
    begin(me);
    return me;
  }

  /** Begins a steward's process on what is on its disk. */
  void begin(int me) throws IOException {
    begin(me, ROOM);
  }

  /** The same on a disk with room for so many pages. */
  void begin(int me, long pages) throws IOException {
    int life = lives.get(me) + 1;
    lives.set(me, life);
    disks.set(me, new DiskStore(disk(me), false, pages));
    Random own = new Random(random.nextLong());
    // Clocks that have nothing to do with each other.
    double ahead = own.nextInt(1_000_000);
    stewards.set(me, new Steward(ids.get(me), initial, terms, new StewardEnvironment() {
      @Override
      public double now() {
        return now + ahead;
      }

      @Override
      public void schedule(double delayMs, Runnable task) {
        at(delayMs, me, () -> {
          if (lives.get(me) == life) {
            task.run();
          }
        });
      }

      @Override
      public Random random() {
        return own;
      }
    }, (to, message) -> {
      int other = ids.indexOf(to);
      if (!cut.contains(me * 10 + other) && random.nextDouble() >= lost) {
        at(random.nextDouble() * mostDelayMs, other, () -> {
          if (disks.get(other) != null) {
            stewards.get(other).handle(message);
          }
        });
      }
    }, to -> true, snapshotAfter, disks.get(me)));
    stewards.get(me).start();
  }

  /** Where a steward's disk is, to be broken while it is down. */
  Path disk(int steward) {
    return folder.resolve("s" + steward + ".db");
  }

  /** Kills a steward's process; what it had not flushed is lost. */
  void kill(int steward) throws IOException {
    if (disks.get(steward) != null) {
      lives.set(steward, lives.get(steward) + 1);
      disks.get(steward).close();
      disks.set(steward, null);
      stopped.remove(steward);
      held.removeIf(x -> x.owner == steward);
    }
  }

  /** Begins those that were killed, and has the stopped ones go on. */
  void mend() throws IOException {
    for (int i = 0; i < ids.size(); i++) {
      if (disks.get(i) == null) {
        begin(i);
      }
    }
    Set.copyOf(stopped).forEach(this::goOn);
  }

  @Override
  public void close() throws IOException {
    for (int i = 0; i < ids.size(); i++) {
      kill(i);
    }
  }

  boolean lives(int steward) {
    return disks.get(steward) != null;
  }

  private void at(double delayMs, int owner, Runnable run) {
    tasks.add(new Task(now + delayMs, order++, owner, run));
  }

  void stop(int steward) {
    stopped.add(steward);
  }

  void goOn(int steward) {
    stopped.remove(steward);
    held.stream().filter(x -> x.owner == steward).forEach(x -> at(0, steward, x.run));
    held.removeIf(x -> x.owner == steward);
  }

  /** Both ways between those of a side and all others. */
  void split(Set<Integer> side) {
    for (int i = 0; i < ids.size(); i++) {
      for (int k = 0; k < ids.size(); k++) {
        if (side.contains(i) != side.contains(k)) {
          cut.add(i * 10 + k);
        }
      }
    }
  }

  void run(double ms) {
    until(now + ms, () -> false);
  }

  /** Whether it came to be within the time. */
  boolean until(double atMs, BooleanSupplier done) {
    while (!done.getAsBoolean()) {
      Task next = tasks.peek();
      if (next == null || next.at > atMs) {
        now = atMs;
        return false;
      }
      tasks.poll();
      now = Math.max(now, next.at);
      if (stopped.contains(next.owner)) {
        held.add(next);
      } else {
        next.run.run();
      }
    }
    return true;
  }

  /** The one that leads by its own belief and isn't among those; -1 where there is none. */
  int leader(Set<Integer> not) {
    for (int i = 0; i < stewards.size(); i++) {
      if (!not.contains(i) && !stopped.contains(i) && lives(i) && stewards.get(i).isLeader()) {
        return i;
      }
    }
    return -1;
  }

  CompletableFuture<Outcome> propose(int steward, DoubleFunction<Command> command) {
    return stewards.get(steward).propose(command);
  }

  /** What a command comes to, tried at whoever leads until one agrees. */
  Outcome agreed(Set<Integer> not, DoubleFunction<Command> command) {
    double limit = now + 20_000;
    while (now < limit) {
      int leader = leader(not);
      if (leader >= 0) {
        CompletableFuture<Outcome> answer = propose(leader, command);
        until(now + 1_000, answer::isDone);
        if (answer.isDone() && !answer.isCompletedExceptionally()) {
          return answer.join();
        }
      }
      run(20);
    }
    throw new AssertionError("nothing was agreed on in 20 s");
  }
}
