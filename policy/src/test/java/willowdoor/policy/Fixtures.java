package willowdoor.policy;

import java.util.ArrayList;
import java.util.List;
import willowdoor.policy.GatewayApi.Action;
import willowdoor.policy.GatewayApi.Add;
import willowdoor.policy.GatewayApi.Capabilities;
import willowdoor.policy.GatewayApi.BackendEntry;
import willowdoor.policy.GatewayApi.Counted;
import willowdoor.policy.GatewayApi.Event;
import willowdoor.policy.GatewayApi.Group;
import willowdoor.policy.GatewayApi.Load;
import willowdoor.policy.GatewayApi.Outcome;
import willowdoor.policy.GatewayApi.Phase;
import willowdoor.policy.GatewayApi.Plan;
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
import willowdoor.policy.GatewayApi.Woken;

/** A gateway under test: its policy, a clock, and all actions of the policy. */
final class Fixtures {

  static final Plan RATED = new Plan("rated", 2, 10, 0, 1, 0, 1, 0, 0, 0);
  static final Plan CEILED = new Plan("ceiled", 2, 10, 0, 1, 0, 1, 4, 20, 2);
  static final Plan WIDE = new Plan("wide", 40, 100, 0, 1, 0, 1, 80, 200, 20);
  static final Plan BROAD = new Plan("broad", 40, 100, 0, 1, 0, 1, 0, 0, 0);
  static final Plan SLOW = new Plan("slow", 2, 36, 0, 1, 0, 1, 4, 72, 7.2);
  static final Plan FREE = new Plan("free", 0, 0, 0, 1, 0, 1, 0, 0, 0);
  static final Plan NARROW = new Plan("narrow", 0, 0, 2, 1, 0, 1, 0, 0, 0);

  final QuotaPolicy policy;
  final List<Action> allActions = new ArrayList<>();
  List<Action> lastActions = List.of();
  double now;
  private int nextRequest;

  Fixtures(Settings settings) {
    this(settings, 1_000_000);
  }

  Fixtures(Settings settings, double startMs) {
    now = startMs;
    policy = new QuotaPolicy(settings, 7 + settings.selfIndex());
    collect(policy.start(now));
  }

  static Settings settings(boolean counter, int gateways, boolean rosterOnRequest) {
    return settings(counter, gateways, rosterOnRequest, 0);
  }

  static Settings settings(boolean counter, int gateways, boolean rosterOnRequest, int self) {
    List<RequestClass> classes = List.of(
        new RequestClass("safe", 1, 0, 1000, 4000, Repeat.SAFE, Group.ALL, 0, false),
        new RequestClass("unsafe", 1, 0, 1000, 4000, Repeat.UNSAFE, Group.ALL, 0, false),
        new RequestClass("cell", 1, 0, 1000, 4000, Repeat.KEYED, Group.CELL, 3000, false),
        new RequestClass("zone", 1, 0, 1000, 4000, Repeat.KEYED, Group.ZONE, 3000, false),
        new RequestClass("stream", 1, 0, 1000, 4000, Repeat.SAFE, Group.ALL, 0, true));
    return new Settings(gateways, self, "a", 4, 0, false, classes,
        List.of(RATED, CEILED, SLOW, FREE, NARROW, WIDE, BROAD),
        new Capabilities(counter, 30, true, false, 4, 1000, true, 2000, rosterOnRequest),
        new Rules(8, 0.2, 10_000, 3, 2000));
  }

  static Fixtures withCounter() {
    return new Fixtures(settings(true, 2, false)).withBackends(4);
  }

  Fixtures withBackends(int n) {
    List<BackendEntry> entries = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      entries.add(new BackendEntry(i, i % 2 == 0 ? "a" : "b", i, Phase.SERVING, 1, 0));
    }
    return on(new Roster(RosterForm.REMEMBERED, entries));
  }

  Fixtures on(Event event) {
    collect(policy.on(now, event));
    return this;
  }

  private void collect(List<Action> actions) {
    lastActions = actions;
    allActions.addAll(actions);
  }

  Fixtures advance(double ms) {
    now += ms;
    return this;
  }

  /** Advances the time, with the timer of the policy running. */
  Fixtures runTimers(double ms) {
    List<Action> collected = new ArrayList<>();
    for (double end = now + ms; now < end;) {
      now = Math.min(end, now + 25);
      on(new Woken("tick"));
      collected.addAll(lastActions);
    }
    collected.removeIf(a -> a instanceof WakeAt);
    lastActions = collected;
    return this;
  }

  String request(String className, String plan, double units) {
    String id = "r" + nextRequest++;
    on(new Request(id, className, plan, 42, 2, units, now + 4000));
    return id;
  }

  Fixtures replyTotal(double total) {
    return on(new Counted(lastAdd().name(), Status.OK, total, 2));
  }

  Fixtures failCall(Status status) {
    return on(new Counted(lastAdd().name(), status, 0, 30));
  }

  Fixtures outcome(Send send, int attempt, Status status, boolean over) {
    return on(new Outcome(send.request(), attempt, send.backend(), status, 50, over, 0, null));
  }

  Fixtures reportLoad(Send send, int attempt, double inFlight) {
    return on(new Outcome(send.request(), attempt, send.backend(), Status.OK, 50, true, 0,
        new Load(inFlight, 50)));
  }

  Add lastAdd() {
    return lastOfType(allActions, Add.class);
  }

  <T extends Action> T lastOf(Class<T> type) {
    return lastOfType(lastActions, type);
  }

  <T extends Action> boolean emitted(Class<T> type) {
    return lastActions.stream().anyMatch(type::isInstance);
  }

  private static <T extends Action> T lastOfType(List<Action> actions, Class<T> type) {
    for (int i = actions.size() - 1; i >= 0; i--) {
      if (type.isInstance(actions.get(i))) {
        return type.cast(actions.get(i));
      }
    }
    throw new AssertionError("no " + type.getSimpleName() + " in " + actions);
  }
}
