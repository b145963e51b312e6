package willowdoor.net;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Has a loop that was away look for news before it decides anything. While the process stands still, or is
 * short of CPU, news of a drain lies unread with the kernel, and the loop takes what is readable in no order
 * of its own: a request read first would go to a backend that was told to drain long ago.
 *
 * <p>So nothing is decided by what was read more than {@link #AWAY_MS} ago: one whole round of the loop's
 * sockets comes first, and what came up meanwhile waits, some microseconds as a rule. A round that itself
 * took longer is followed by another, {@link #MOST_ROUNDS} at most, so that a starved loop still gets on.
 */
final class NewsFirst {

  /** What is decided rests on news read no longer ago than this and one round. */
  static final double AWAY_MS = 200;
  private static final int MOST_ROUNDS = 3;

  private final EventLoop loop;
  private final Clock clock;
  private final Runnable goOn;
  private double lookedAt = Double.NEGATIVE_INFINITY;
  private boolean looking;

  /**
   * For decisions on this loop.
   *
   * @param goOn run on the loop when what was held may go on
   */
  NewsFirst(EventLoop loop, Clock clock, Runnable goOn) {
    this.loop = loop;
    this.clock = clock;
    this.goOn = goOn;
  }

  /** Whether a decision has to wait now; then {@code goOn} is run soon. */
  boolean holds(double nowMs) {
    if (!looking && nowMs - lookedAt > AWAY_MS) {
      looking = true;
      look(nowMs, MOST_ROUNDS);
    }
    return looking;
  }

  private void look(double fromMs, int rounds) {
    afterARound(loop, () -> {
      double now = clock.now();
      if (now - fromMs > AWAY_MS && rounds > 1) {
        look(now, rounds - 1);
      } else {
        lookedAt = now;
        looking = false;
        goOn.run();
      }
    });
  }

  /**
   * Runs it once every socket that was readable before has been read. A task that is due at once is run after
   * the sockets of this round, and one that it schedules in turn after those of the next whole one.
   */
  static void afterARound(EventLoop loop, Runnable then) {
    loop.schedule(() -> loop.schedule(then, 0, TimeUnit.NANOSECONDS), 0, TimeUnit.NANOSECONDS);
  }
}
