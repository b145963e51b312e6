package willowdoor.emulator.fair;

import java.io.PrintWriter;
import java.util.Locale;
import java.util.Map;
import willowdoor.fairness.FairAction;
import willowdoor.fairness.FairCounts;
import willowdoor.fairness.FairEvent.Arrived;
import willowdoor.fairness.FairEvent.Ended;
import willowdoor.fairness.FairEvent.Result;
import willowdoor.fairness.FairQueue;
import willowdoor.fairness.FairSettings;
import willowdoor.fairness.FairSettings.Bounds;
import willowdoor.fairness.FairSettings.ComeBack;
import willowdoor.fairness.FairSettings.Cost;
import willowdoor.fairness.FairSettings.Limit;
import willowdoor.fairness.FairSettings.PlanSettings;

/** Measures the heap of a fair queue filled to its bounds with firms, clients, requests and promises. */
public final class FairSize {

  private static final int ROUNDS = 5;
  private static final int REQUESTS_PER_ROUND = 100_000;

  private FairSize() {
  }

  /** Offers a queue with the default bounds far more than they allow and prints its size after each round. */
  public static void run(PrintWriter out) {
    Bounds bounds = Bounds.defaults();
    FairQueue queue = new FairQueue(new FairSettings(Map.of(), new PlanSettings(0, 1, 0, 0, 0), 1, Cost.UNITS,
        bounds,
        new Limit(100, 100, 100), new ComeBack(0.8, 60_000)));
    long emptyBytes = usedHeapBytes();
    double now = 0;
    long number = 0;
    for (int round = 0; round < ROUNDS; round++) {
      for (int i = 0; i < REQUESTS_PER_ROUND; i++) {
        now += 0.1;
        number++;
        long firm = number % (round == 0 ? 3_000 : 20_000);
        for (FairAction a : queue.on(now, new Arrived("request-" + number, "c", "p", firm, number % 31, 1,
            1, 100,
            now + 1e9, 1e9))) {
          if (a instanceof FairAction.Release r && number % 100 != 0) {
            queue.on(now, new Ended(r.id(), Result.SERVED, 0));
          }
        }
      }
      long sizeBytes = usedHeapBytes() - emptyBytes;
      FairCounts c = queue.counts();
      out.printf(Locale.ROOT, "after %7d requests: %5.2f MB; waiting %d, firms %d, flows %d, promises %d%n",
          number,
          sizeBytes / 1e6, c.waiting(), c.firms(), c.flows(), c.remembered());
      out.flush();
    }
  }

  private static long usedHeapBytes() {
    long minBytes = Long.MAX_VALUE;
    for (int i = 0; i < 4; i++) {
      System.gc();
      minBytes = Math.min(minBytes, Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory());
    }
    return minBytes;
  }
}
