package willowdoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import willowdoor.policy.GatewayApi.Group;
import willowdoor.policy.GatewayApi.Repeat;
import willowdoor.policy.GatewayApi.RequestClass;

class ShutdownTimesTest {

  private static ShutdownTimes of(double... deadlines) {
    return ShutdownTimes.of(java.util.Arrays.stream(deadlines)
        .mapToObj(x -> new RequestClass("c" + x, 1, 0, x / 2, x, Repeat.SAFE, Group.ALL, 0, false)).toList());
  }

  @Test
  void theLongestDeadlineCountsUpToTheMaximum() {
    assertEquals(new ShutdownTimes(2_600, 3_300), of(4_000, 500));
    assertEquals(new ShutdownTimes(2_600, 3_300), of(3_000));
    assertEquals(new ShutdownTimes(2_600, 3_300), ShutdownTimes.of(List.of()));
  }

  /**
   * With a deadline of 1.42 s SIGKILL comes at 2.12 s; requests on a connection that was still kept then were
   * lost.
   */
  @Test
  void shortDeadlinesEndBeforeSigkill() {
    assertEquals(new ShutdownTimes(1_020, 1_720), of(1_420));
    for (double deadline : new double[] {50, 200, 500, 900, 1_960, 2_800}) {
      ShutdownTimes end = of(deadline);
      assertTrue(end.keepConnectionsMs() >= ShutdownTimes.KEEP_ACCEPTING_MS
          && end.failUnansweredMs() >= end.keepConnectionsMs()
          && end.failUnansweredMs() < deadline + 700, end::toString);
    }
  }
}
