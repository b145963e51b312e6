package willowdoor.net;

import java.util.Locale;
import java.util.StringJoiner;
import willowdoor.policy.GatewayApi.BackendEntry;
import willowdoor.policy.GatewayApi.Phase;

/**
 * One terse line for each piece of news of the backends, each step of the watch and each send, on standard
 * error; for finding out why a drained backend was sent to. Off unless the system property
 * {@code willowdoor.newslog} is true, and then of no cost but the look at a constant.
 */
final class NewsLog {

  static final boolean ON = Boolean.getBoolean("willowdoor.newslog");

  private NewsLog() {
  }

  /** A step in the life of this process or of its watch. */
  static void step(Clock clock, String what) {
    line(clock, what);
  }

  /** What was read, and how long it had been with the kernel. */
  static void read(Clock clock, String from, RosterNews news, double waitedMs) {
    StringJoiner entries = new StringJoiner(" ");
    for (BackendEntry e : news.entries()) {
      entries.add(Long.toHexString(e.id())
          + (e.phase() == Phase.SERVING ? "+" : e.phase() == Phase.DRAINING ? "~" : "-"));
    }
    line(clock, String.format(Locale.ROOT, "news %d%s from %s waited %.0f: %s", news.version(),
        news.full() ? " full" : "", from, waitedMs, entries));
  }

  static void sent(Clock clock, long backend) {
    line(clock, "send " + Long.toHexString(backend));
  }

  private static void line(Clock clock, String what) {
    System.err.printf(Locale.ROOT, "NL %.1f %s%n", clock.now(), what);
  }
}
