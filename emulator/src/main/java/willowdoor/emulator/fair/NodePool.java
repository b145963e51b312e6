package willowdoor.emulator.fair;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.DoubleUnaryOperator;
import willowdoor.emulator.SimClock;

/**
 * Nodes with a number of workers each and one queue before them. A request goes to the node with the fewest.
 * Nodes pause, slow down and die on demand; what a dead node had is lost.
 */
final class NodePool {

  private final class Node {
    final ArrayDeque<Job> queue = new ArrayDeque<>();
    final List<Job> running = new ArrayList<>();
    boolean dead;

    void startNext() {
      while (!dead && !paused && running.size() < workers && !queue.isEmpty()) {
        start(queue.poll());
      }
    }

    void start(Job job) {
      running.add(job);
      int generation = job.generation;
      clock.after(job.workMs * slowness.applyAsDouble(clock.now()), () -> finish(job, generation));
    }

    void finish(Job job, int generation) {
      if (job.generation != generation || !running.contains(job)) {
        return;
      }
      if (paused) {
        job.finishedWhilePaused = true;
        return;
      }
      running.remove(job);
      job.onDone.accept(true);
      startNext();
    }
  }

  private static final class Job {
    final double workMs;
    final Consumer<Boolean> onDone;
    int generation;
    boolean finishedWhilePaused;

    Job(double workMs, Consumer<Boolean> onDone) {
      this.workMs = workMs;
      this.onDone = onDone;
    }
  }

  private final SimClock clock;
  private final int workers;
  private final List<Node> nodes = new ArrayList<>();
  private DoubleUnaryOperator slowness = t -> 1;
  private boolean paused;

  NodePool(SimClock clock, int count, int workers) {
    this.clock = clock;
    this.workers = workers;
    for (int i = 0; i < count; i++) {
      nodes.add(new Node());
    }
  }

  /** Work takes so many times as long from its start on, by the time of the start. */
  void slow(DoubleUnaryOperator factorAtMs) {
    slowness = factorAtMs;
  }

  /** All nodes stand still for so long; what would have ended meanwhile ends right after. */
  void pause(double durationMs) {
    paused = true;
    clock.after(durationMs, () -> {
      paused = false;
      for (Node n : nodes) {
        for (Job j : List.copyOf(n.running)) {
          if (j.finishedWhilePaused) {
            j.finishedWhilePaused = false;
            n.finish(j, j.generation);
          }
        }
        n.startNext();
      }
    });
  }

  /** The first nodes die, so many of them; what they had has failed. */
  void kill(int count) {
    for (Node n : nodes.subList(0, count)) {
      n.dead = true;
      List<Job> lost = new ArrayList<>(n.running);
      lost.addAll(n.queue);
      n.running.clear();
      n.queue.clear();
      lost.forEach(j -> {
        j.generation++;
        j.onDone.accept(false);
      });
    }
  }

  /** They are back. */
  void revive() {
    nodes.forEach(n -> n.dead = false);
  }

  /** Runs work; told true when it is done, false when its node died. */
  void run(double workMs, Consumer<Boolean> onDone) {
    Node leastLoaded = null;
    for (Node n : nodes) {
      if (!n.dead && (leastLoaded == null
          || n.queue.size() + n.running.size() < leastLoaded.queue.size() + leastLoaded.running.size())) {
        leastLoaded = n;
      }
    }
    if (leastLoaded == null) {
      clock.after(1, () -> onDone.accept(false));
      return;
    }
    leastLoaded.queue.add(new Job(workMs, onDone));
    leastLoaded.startNext();
  }
}
