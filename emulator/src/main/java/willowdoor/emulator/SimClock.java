package willowdoor.emulator;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Simulated time in milliseconds: what is due happens in order of its time, and of its entry at one time. */
public final class SimClock {

  private record Due(double atMs, long number, Runnable what) { }

  private final PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingDouble(Due::atMs)
      .thenComparingLong(Due::number));
  private double now;
  private long number;

  public double now() {
    return now;
  }

  /** Has that happen so many milliseconds from now; less than 0 is now. */
  public void after(double ms, Runnable what) {
    due.add(new Due(now + Math.max(0, ms), number++, what));
  }

  /** Runs until that time; what is due later stays. */
  public void runUntil(double ms) {
    while (!due.isEmpty() && due.peek().atMs <= ms) {
      Due next = due.poll();
      now = next.atMs;
      next.what.run();
    }
    now = Math.max(now, ms);
  }
}
