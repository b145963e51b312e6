package willowdoor.extauthz;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class GateWarmUpTest {

  @Test
  @Timeout(30)
  void warmUpRequestsCompleteWithinLimit() {
    int first = GateWarmUp.run(10_000);
    long began = System.nanoTime();
    GateWarmUp.run(100);
    double tookMs = (System.nanoTime() - began) / 1e6;
    assertTrue(first >= 4_000, "made-up requests: " + first);
    assertTrue(tookMs < 5_000, "took " + tookMs + " ms with a limit of 100");
  }
}
