package willowdoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import willowdoor.policy.GatewayApi.Group;
import willowdoor.policy.GatewayApi.Repeat;
import willowdoor.policy.GatewayApi.RequestClass;

class EndTimesTest {

  private static EndTimes of(double... deadlines) {
    return EndTimes.of(java.util.Arrays.stream(deadlines)
        .mapToObj(x -> new RequestClass("c" + x, 1, 0, x / 2, x, Repeat.SAFE, Group.ALL, 0, false)).toList());
  }

  @Test
  void whereDeadlinesAreLongItIsTheLongestThatCounts() {
    assertEquals(new EndTimes(2_600, 3_300), of(4_000, 500));
    assertEquals(new EndTimes(2_600, 3_300), of(3_000));
    assertEquals(new EndTimes(2_600, 3_300), EndTimes.of(List.of()));
  }

  /** SIGKILL comes at 2.12 s there, and what it found on a connection that was still kept was lost. */
  @Test
  void whereDeadlinesAreShortAllIsOverBeforeSigkill() {
    assertEquals(new EndTimes(1_020, 1_720), of(1_420));
    for (double deadline : new double[] {50, 200, 500, 900, 1_960, 2_800}) {
      EndTimes end = of(deadline);
      assertTrue(end.keepMs() >= EndTimes.ACCEPT_MS && end.answerMs() >= end.keepMs()
          && end.answerMs() < deadline + 700, end::toString);
    }
  }
}
