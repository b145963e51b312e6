package willowdoor.emulator;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Simulated clock, in milliseconds. Scheduled tasks run in order of their due time; tasks due at the same
 * time run in the order in which they were scheduled.
 */
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

  /** Schedules an action after a delay in milliseconds; a negative delay counts as 0. */
  public void after(double delayMs, Runnable action) {
    pending.add(new ScheduledTask(nowMs + Math.max(0, delayMs), nextNumber++, action));
  }

  /** Runs all tasks due up to the given time and advances the clock to it; later tasks stay scheduled. */
  public void runUntil(double untilMs) {
    while (!pending.isEmpty() && pending.peek().atMs <= untilMs) {
      ScheduledTask next = pending.poll();
      nowMs = next.atMs;
      next.action.run();
    }
    nowMs = Math.max(nowMs, untilMs);
  }
}
