package willowdoor.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import willowdoor.policy.GatewayApi.Action;
import willowdoor.policy.GatewayApi.Add;
import willowdoor.policy.GatewayApi.Capabilities;
import willowdoor.policy.GatewayApi.BackendEntry;
import willowdoor.policy.GatewayApi.Counted;
import willowdoor.policy.GatewayApi.Event;
import willowdoor.policy.GatewayApi.Fail;
import willowdoor.policy.GatewayApi.Group;
import willowdoor.policy.GatewayApi.Outcome;
import willowdoor.policy.GatewayApi.Phase;
import willowdoor.policy.GatewayApi.Plan;
import willowdoor.policy.GatewayApi.Refuse;
import willowdoor.policy.GatewayApi.Repeat;
import willowdoor.policy.GatewayApi.Request;
import willowdoor.policy.GatewayApi.RequestClass;
import willowdoor.policy.GatewayApi.Roster;
import willowdoor.policy.GatewayApi.RosterForm;
import willowdoor.policy.GatewayApi.Rules;
import willowdoor.policy.GatewayApi.Send;
import willowdoor.policy.GatewayApi.Settings;
import willowdoor.policy.GatewayApi.Status;
import willowdoor.policy.GatewayApi.WakeAt;

/** The event loop shown in the README, with a counter and a backend that answer at once. */
class EmbedExampleTest {

  private final Map<String, Double> counter = new HashMap<>();
  private int served;
  private int refused;

  @Test
  void servesWithinTheQuotaAndRefusesTheRest() {
    RequestClass read = new RequestClass("read", 1, 0, 500, 2000, Repeat.SAFE, Group.ALL, 0, false);
    Plan basic = new Plan("basic", 2, 10, 0, 1, 0, 1, 0, 0, 0);
    Capabilities allowed = new Capabilities(true, 30, true, false, 3, 1000, false, 0, false);
    Settings settings = new Settings(1, 0, "a", 4, 0, false, List.of(read), List.of(basic), allowed,
        new Rules(8, 0.2, 10_000, 3, 2000));
    QuotaPolicy policy = new QuotaPolicy(settings, 1);

    ArrayDeque<Event> events = new ArrayDeque<>();
    double now = 5_000;
    policy.start(now);
    events.add(new Roster(RosterForm.COMPLETE, List.of(new BackendEntry(7, "a", 0, Phase.SERVING, 1, 0))));
    for (int i = 0; i < 20; i++) {
      events.add(new Request("r" + i, "read", "basic", 42, 1, 1, now + 2000));
    }
    while (!events.isEmpty()) {
      for (Action action : policy.on(now, events.poll())) {
        perform(action, events);
      }
    }
    assertEquals(10, served);
    assertEquals(10, refused);
  }

  private void perform(Action action, ArrayDeque<Event> events) {
    if (action instanceof Add a) {
      double total = counter.merge(a.name(), a.amount(), Double::sum);
      events.addFirst(new Counted(a.name(), Status.OK, total, 1));
    } else if (action instanceof Send s) {
      served++;
      events.addFirst(new Outcome(s.request(), 0, s.backend(), Status.OK, 20, true, 1, null));
    } else if (action instanceof Refuse || action instanceof Fail) {
      refused++;
    } else if (action instanceof WakeAt w) {
      assertEquals("tick", w.label(), "a real gateway sets a timer here and sends Woken when it is due");
    }
  }
}
