package willowdoor.emulator.fair;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.DoubleUnaryOperator;
import willowdoor.emulator.SimClock;

/**
 * Simulated nodes, each with a number of workers and its own queue. A request goes to the live node with the
 * fewest requests. Nodes can be paused, slowed down and killed; the requests of a killed node fail.
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

  /** Sets the factor by which work is slowed down, as a function of its start time in milliseconds. */
  void slow(DoubleUnaryOperator factorAtMs) {
    slowness = factorAtMs;
  }

  /** Pauses all nodes; work that would have finished during the pause finishes at its end. */
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

  /** Kills the given number of nodes, from the first on; their requests fail. */
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

  /** Makes all killed nodes available again. */
  void revive() {
    nodes.forEach(n -> n.dead = false);
  }

  /** Runs work; the callback gets true when the work is done, false when its node died or none is alive. */
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
