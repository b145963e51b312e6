package willowdoor.daemon.life;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import willowdoor.net.Ends;
import willowdoor.net.Gate.End;
import willowdoor.policy.GatewayApi.Request;
import willowdoor.policy.GatewayApi.RequestClass;
import willowdoor.rollout.Tally;

/** Counts how requests end, for the comparison of a release's doors with others. On the door's loop. */
final class Figures implements Ends {

  private final Map<String, Double> aims = new HashMap<>();
  private long asked;
  private long refused;
  private long failed;
  private long late;

  Figures(List<RequestClass> classes) {
    classes.forEach(x -> aims.put(x.name(), x.aimMs()));
  }

  @Override
  public void ended(Request request, End how, double tookMs) {
    switch (how) {
      case LEFT -> {
        return;
      }
      case REFUSED -> refused++;
      case FAILED -> failed++;
      case SERVED, ANSWERED_HERE -> late += tookMs > aims.getOrDefault(request.className(),
          Double.POSITIVE_INFINITY) ? 1 : 0;
      default -> throw new IllegalStateException(how.name());
    }
    asked++;
  }

  Tally tally() {
    return new Tally(asked, refused, failed, late);
  }
}
