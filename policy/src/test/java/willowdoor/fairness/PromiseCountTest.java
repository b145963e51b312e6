package willowdoor.fairness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;
import willowdoor.fairness.FairAction.Advise;
import willowdoor.fairness.FairEvent.Arrived;
import willowdoor.fairness.FairEvent.Ended;
import willowdoor.fairness.FairEvent.Refusing;
import willowdoor.fairness.FairEvent.Result;
import willowdoor.fairness.FairSettings.Bounds;
import willowdoor.fairness.FairSettings.ComeBack;
import willowdoor.fairness.FairSettings.Cost;
import willowdoor.fairness.FairSettings.Limit;
import willowdoor.fairness.FairSettings.PlanSettings;

class PromiseCountTest {

  private final FairQueue queue = new FairQueue(new FairSettings(Map.of(), new PlanSettings(0, 1, 0, 0, 0), 1,
      Cost.UNITS, Bounds.defaults(), new Limit(8, 4, 8), new ComeBack(0.8, 5_000)));

  private void arrive(double nowMs, String id) {
    queue.on(nowMs, new Arrived(id, "c", "p", 1, 7, 1, 1, 10, nowMs + 1_000, 1_000));
  }

  /**
   * A promise does not count as kept if the policy refuses the request after its release, whatever the cause.
   */
  @Test
  void promiseRefusedByThePolicyIsNotKept() {
    for (int i = 0; i < 30; i++) {
      arrive(i * 50, "r" + i);
      queue.on(i * 50 + 10, new Ended("r" + i, Result.SERVED, 0));
    }
    arrive(2_000, "first");
    double comeBackMs = queue.on(2_000, new Refusing("first", false, 0)).stream()
        .filter(Advise.class::isInstance).mapToDouble(a -> ((Advise) a).comeBackMs()).sum();
    assertTrue(comeBackMs > 0, "no come-back time was promised");
    queue.on(2_000, new Ended("first", Result.REFUSED, 0));
    arrive(2_000 + comeBackMs, "again");
    queue.on(2_000 + comeBackMs, new Refusing("again", false, 0));
    queue.on(2_000 + comeBackMs, new Ended("again", Result.REFUSED, 0));
    assertEquals(0, queue.counts().kept(), queue.counts().summary());
    assertEquals(1, queue.counts().missedFull(), queue.counts().summary());
    // The client is admitted on its next arrival, and served this time.
    arrive(2_010 + comeBackMs, "third");
    queue.on(2_020 + comeBackMs, new Ended("third", Result.SERVED, 0));
    assertEquals(1, queue.counts().kept(), queue.counts().summary());
  }
}
