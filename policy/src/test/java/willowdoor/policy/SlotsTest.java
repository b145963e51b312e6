package willowdoor.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import willowdoor.policy.GatewayApi.Action;
import willowdoor.policy.GatewayApi.Add;
import willowdoor.policy.GatewayApi.ClientLeft;
import willowdoor.policy.GatewayApi.Counted;
import willowdoor.policy.GatewayApi.CounterReplaced;
import willowdoor.policy.GatewayApi.Outcome;
import willowdoor.policy.GatewayApi.Refuse;
import willowdoor.policy.GatewayApi.Request;
import willowdoor.policy.GatewayApi.Send;
import willowdoor.policy.GatewayApi.Status;

/** Plans that limit the attempts in flight: slots are counted over all gateways, and none may leak. */
class SlotsTest {

  private static Send requestAndSend(Fixtures f, double total) {
    f.request("safe", "narrow", 1);
    return f.replyTotal(total).lastOf(Send.class);
  }

  @Test
  void aSlotIsRequestedAndReleasedOnceItsAttemptHasEnded() {
    Fixtures f = Fixtures.withCounter();
    f.request("safe", "narrow", 1);
    Add request = f.lastOf(Add.class);
    assertEquals(1, request.amount());
    Send s = f.replyTotal(2).lastOf(Send.class);
    f.outcome(s, 0, Status.OK, true);
    Add release = f.lastOf(Add.class);
    assertEquals(-1, release.amount());
    assertEquals(request.name(), release.name());
    f.runTimers(500);
    assertFalse(f.emitted(Add.class), "released only once");
  }

  @Test
  void slotsHeldByOtherGatewaysCount() {
    Fixtures f = Fixtures.withCounter();
    f.request("safe", "narrow", 1);
    f.replyTotal(3);
    assertTrue(f.emitted(Refuse.class), "there are two slots, and this would be the third attempt");
    assertEquals(-1, f.lastOf(Add.class).amount());
    assertTrue(f.lastOf(Refuse.class).retryAfterMs() > 0, "advised when a slot may be free");
    f.request("safe", "narrow", 1);
    assertTrue(f.emitted(Refuse.class) && !f.emitted(Add.class), "the counter is not asked again at once");
  }

  @Test
  void oneGatewayMayUseAllSlotsOfAFirm() {
    Fixtures f = Fixtures.withCounter();
    requestAndSend(f, 1);
    assertTrue(requestAndSend(f, 2) != null, "an even part of two slots for two gateways would be one");
    f.request("safe", "narrow", 1);
    assertTrue(f.emitted(Refuse.class) && !f.emitted(Add.class), "the gateway knows of its own two attempts");
  }

  @Test
  void withoutAnAnswerAGatewayUsesItsEvenShare() {
    Fixtures f = Fixtures.withCounter();
    f.request("safe", "narrow", 1);
    f.failCall(Status.REJECTED);
    assertTrue(f.emitted(Send.class));
    f.request("safe", "narrow", 1);
    f.failCall(Status.REJECTED);
    assertTrue(f.emitted(Refuse.class), "this gateway's even part is one of two slots");
  }

  @Test
  void aRequestedSlotThatMayHaveBeenCountedIsReleased() {
    Fixtures f = Fixtures.withCounter();
    f.request("safe", "narrow", 1);
    f.failCall(Status.TIMED_OUT);
    f.outcome(f.lastOf(Send.class), 0, Status.OK, true);
    assertEquals(-1, f.lastOf(Add.class).amount());
  }

  @Test
  void anAnswerAfterTheEndOfTheRequestReleasesTheSlot() {
    Fixtures f = Fixtures.withCounter();
    String id = f.request("safe", "narrow", 1);
    f.on(new ClientLeft(id));
    assertFalse(f.emitted(Send.class));
    f.replyTotal(1);
    assertFalse(f.emitted(Send.class));
    assertEquals(-1, f.lastOf(Add.class).amount());
  }

  @Test
  void attemptsInFlightAreCarriedIntoTheNextWindow() {
    Fixtures f = Fixtures.withCounter();
    Send s = requestAndSend(f, 1);
    String first = f.lastAdd().name();
    f.now += 26_000;
    f.request("safe", "narrow", 1);
    Add request = f.lastOf(Add.class);
    assertFalse(request.name().equals(first), "the count of the next window");
    assertEquals(2, request.amount(), "this attempt and the one still in flight");
    f.replyTotal(2);
    f.outcome(s, 0, Status.OK, true);
    assertEquals(request.name(), f.lastOf(Add.class).name());
  }

  @Test
  void slotsLostByTheCounterAreRestored() {
    Fixtures f = Fixtures.withCounter();
    requestAndSend(f, 1);
    f.request("safe", "narrow", 1);
    f.replyTotal(1);
    assertEquals(1, f.lastOf(Add.class).amount(), "its own first slot is restored");
    Fixtures notified = Fixtures.withCounter();
    requestAndSend(notified, 1);
    notified.on(new CounterReplaced());
    assertEquals(1, notified.lastOf(Add.class).amount());
  }

  /**
   * Four gateways share a counter that, at random, rejects calls or loses its answers; one firm floods all
   * gateways.
   */
  @Test
  void fleetsStayWithinTheSlotsAndLeakNone() {
    for (long seed = 1; seed <= 20; seed++) {
      Fleet fleet = new Fleet(seed);
      fleet.run(400, true);
      assertTrue(fleet.maxInFlight <= 2 + 4,
          "seed " + seed + ": " + fleet.maxInFlight + " in flight at once; "
          + "allowed are two by the counter and an even part of one at each gateway");
      fleet.run(400, false);
      fleet.maxInFlight = 0;
      fleet.served = 0;
      fleet.run(400, false);
      assertTrue(fleet.maxInFlight <= 2,
          "seed " + seed + ": " + fleet.maxInFlight + " in flight at once with a working counter");
      assertTrue(fleet.served > 100, "seed " + seed + ": slots leaked, only " + fleet.served + " served");
    }
  }

  private static final class Fleet {
    final SplittableRandom random;
    final List<Fixtures> doors;
    final Map<String, Double> counts = new HashMap<>();
    final Map<Integer, Map<String, Long>> inFlight = new HashMap<>();
    int maxInFlight;
    int served;
    private int nextRequest;

    Fleet(long seed) {
      random = new SplittableRandom(seed);
      doors = List.of(door(0), door(1), door(2), door(3));
    }

    private static Fixtures door(int self) {
      return new Fixtures(Fixtures.settings(true, 4, false, self)).withBackends(4);
    }

    /** Runs steps of 25 ms; an attempt ends in a step with a chance of one in six. */
    void run(int steps, boolean counterFails) {
      for (int i = 0; i < steps; i++) {
        for (int d = 0; d < doors.size(); d++) {
          Fixtures f = doors.get(d);
          f.runTimers(25);
          perform(d, f.lastActions, counterFails);
          endSomeAttempts(d, f, counterFails);
          f.on(new Request("q" + nextRequest++, "safe", "narrow", 42, 4, 1, f.now + 4000));
          perform(d, f.lastActions, counterFails);
        }
        maxInFlight = Math.max(maxInFlight, inFlight.values().stream().mapToInt(Map::size).sum());
      }
    }

    private void endSomeAttempts(int d, Fixtures f, boolean counterFails) {
      for (Map.Entry<String, Long> e : List.copyOf(inFlight.getOrDefault(d, Map.of()).entrySet())) {
        if (random.nextInt(6) == 0) {
          inFlight.get(d).remove(e.getKey());
          served++;
          f.on(new Outcome(e.getKey(), 0, e.getValue(), Status.OK, 100, true, 0, null));
          perform(d, f.lastActions, counterFails);
        }
      }
    }

    private void perform(int d, List<Action> actions, boolean counterFails) {
      for (Action a : actions) {
        if (a instanceof Send s) {
          inFlight.computeIfAbsent(d, x -> new HashMap<>()).put(s.request(), s.backend());
        } else if (a instanceof Add add) {
          Fixtures f = doors.get(d);
          int draw = counterFails ? random.nextInt(10) : 9;
          double total = counts.getOrDefault(add.name(), 0.0) + (draw == 0 ? 0 : add.amount());
          counts.put(add.name(), total);
          f.on(new Counted(add.name(), draw == 0 ? Status.REJECTED : draw == 1 ? Status.TIMED_OUT : Status.OK,
              total, 1));
          perform(d, f.lastActions, counterFails);
        }
      }
    }
  }
}
