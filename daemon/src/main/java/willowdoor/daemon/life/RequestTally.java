package willowdoor.daemon.life;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import willowdoor.net.RequestEndListener;
import willowdoor.net.RequestFilter.RequestEnd;
import willowdoor.policy.GatewayApi.Request;
import willowdoor.policy.GatewayApi.RequestClass;
import willowdoor.rollout.Tally;

/**
 * Counts the outcomes of requests, for the comparison of the released doors with the others. Used on the
 * door's event loop only.
 */
final class RequestTally implements RequestEndListener {

  private final Map<String, Double> latencyTargetsMs = new HashMap<>();
  private long asked;
  private long refused;
  private long failed;
  private long late;

  RequestTally(List<RequestClass> classes) {
    classes.forEach(x -> latencyTargetsMs.put(x.name(), x.aimMs()));
  }

  @Override
  public void onRequestEnd(Request request, RequestEnd how, double tookMs) {
    switch (how) {
      case LEFT -> {
        return;
      }
      case REFUSED -> refused++;
      case FAILED -> failed++;
      case SERVED, ANSWERED_HERE -> late += tookMs > latencyTargetsMs.getOrDefault(request.className(),
          Double.POSITIVE_INFINITY) ? 1 : 0;
      default -> throw new IllegalStateException(how.name());
    }
    asked++;
  }

  Tally tally() {
    return new Tally(asked, refused, failed, late);
  }
}
