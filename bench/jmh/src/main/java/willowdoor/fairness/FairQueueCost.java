package willowdoor.fairness;

import java.util.ArrayDeque;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import willowdoor.fairness.FairEvent.Arrived;
import willowdoor.fairness.FairEvent.Ended;
import willowdoor.fairness.FairEvent.Result;
import willowdoor.fairness.FairSettings.Bounds;
import willowdoor.fairness.FairSettings.ComeBack;
import willowdoor.fairness.FairSettings.Cost;
import willowdoor.fairness.FairSettings.Limit;
import willowdoor.fairness.FairSettings.PlanSettings;

/**
 * Cost of one arrival and one completion with a given number of waiting requests: the fair queue compared
 * with a first-come queue.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class FairQueueCost {

  @Param({"10", "1000", "100000"})
  private int waiting;

  /** Maximum number of firms among the waiting requests. */
  @Param({"10", "4000"})
  private int firms;

  private FairQueue queue;
  private String[] ids;
  private final ArrayDeque<String> out = new ArrayDeque<>();
  private final ArrayDeque<String> plain = new ArrayDeque<>();
  private int next;
  private double now;

  @Setup
  public void fill() {
    queue = new FairQueue(new FairSettings(Map.of(), new PlanSettings(0, 1, 0, 0, 0), 1, Cost.UNITS,
        new Bounds(200_000, 1 << 30, 4_096, 16_384, 64, 8, 16_384, 1_024), new Limit(16, 16, 16),
        new ComeBack(0.8, 1_000)));
    ids = new String[waiting + 1_000];
    for (int i = 0; i < ids.length; i++) {
      ids[i] = "request-" + i;
    }
    for (int i = 0; i < waiting + 16; i++) {
      come();
      plain.add(ids[i % ids.length]);
    }
  }

  private void come() {
    String id = ids[next % ids.length];
    tell(new Arrived(id, "c", "p", next % firms, next % 4, 1, 1, 0, 1e15, 1e15));
    next++;
  }

  private void tell(FairEvent event) {
    now += 0.01;
    for (FairAction a : queue.on(now, event)) {
      if (a instanceof FairAction.Release r) {
        out.add(r.id());
      }
    }
  }

  @Benchmark
  public int fair() {
    come();
    tell(new Ended(out.poll(), Result.REFUSED, 0));
    return next;
  }

  @Benchmark
  public String firstCome() {
    plain.add(ids[next++ % ids.length]);
    return plain.poll();
  }
}
