package willowdoor.emulator;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Simulated time in milliseconds: what is due happens in order of its time, and of its entry at one time. */
public final class SimClock {

  private record ScheduledTask(double atMs, long number, Runnable action) { }

  private final PriorityQueue<ScheduledTask> pending =
      new PriorityQueue<>(Comparator.comparingDouble(ScheduledTask::atMs)
      .thenComparingLong(ScheduledTask::number));
  private double nowMs;
  private long nextNumber;

  public double now() {
    return nowMs;
  }

  /** Has that happen so many milliseconds from now; less than 0 is now. */
  public void after(double delayMs, Runnable action) {
    pending.add(new ScheduledTask(nowMs + Math.max(0, delayMs), nextNumber++, action));
  }

  /** Runs until that time; what is due later stays. */
  public void runUntil(double untilMs) {
    while (!pending.isEmpty() && pending.peek().atMs <= untilMs) {
      ScheduledTask next = pending.poll();
      nowMs = next.atMs;
      next.action.run();
    }
    nowMs = Math.max(nowMs, untilMs);
  }
}
