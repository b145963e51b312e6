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

    void next() {
      while (!dead && !paused && running.size() < workers && !queue.isEmpty()) {
        start(queue.poll());
      }
    }

    void start(Job job) {
      running.add(job);
      int life = job.life;
      clock.after(job.leftMs * slowness.applyAsDouble(clock.now()), () -> finish(job, life));
    }

    void finish(Job job, int life) {
      if (job.life != life || !running.contains(job)) {
        return;
      }
      if (paused) {
        job.due = true;
        return;
      }
      running.remove(job);
      job.done.accept(true);
      next();
    }
  }

  private static final class Job {
    final double leftMs;
    final Consumer<Boolean> done;
    int life;
    boolean due;

    Job(double leftMs, Consumer<Boolean> done) {
      this.leftMs = leftMs;
      this.done = done;
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
  void slow(DoubleUnaryOperator by) {
    slowness = by;
  }

  /** All nodes stand still for so long; what would have ended meanwhile ends right after. */
  void pause(double forMs) {
    paused = true;
    clock.after(forMs, () -> {
      paused = false;
      for (Node n : nodes) {
        for (Job j : List.copyOf(n.running)) {
          if (j.due) {
            j.due = false;
            n.finish(j, j.life);
          }
        }
        n.next();
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
        j.life++;
        j.done.accept(false);
      });
    }
  }

  /** They are back. */
  void revive() {
    nodes.forEach(n -> n.dead = false);
  }

  /** Runs work; told true when it is done, false when its node died. */
  void run(double workMs, Consumer<Boolean> done) {
    Node least = null;
    for (Node n : nodes) {
      if (!n.dead && (least == null
          || n.queue.size() + n.running.size() < least.queue.size() + least.running.size())) {
        least = n;
      }
    }
    if (least == null) {
      clock.after(1, () -> done.accept(false));
      return;
    }
    least.queue.add(new Job(workMs, done));
    least.next();
  }
}
