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

/** Plans that bound attempts out at once: places counted over all gateways, and what can leak one. */
class PlacesTest {

  private static Send sent(Fixtures f, double total) {
    f.request("safe", "narrow", 1);
    return f.total(total).only(Send.class);
  }

  @Test
  void aPlaceIsAskedForAndGivenBackOnceItsAttemptHasEnded() {
    Fixtures f = Fixtures.counted();
    f.request("safe", "narrow", 1);
    Add ask = f.only(Add.class);
    assertEquals(1, ask.amount());
    Send s = f.total(2).only(Send.class);
    f.outcome(s, 0, Status.OK, true);
    Add back = f.only(Add.class);
    assertEquals(-1, back.amount());
    assertEquals(ask.name(), back.name());
    f.run(500);
    assertFalse(f.did(Add.class), "once");
  }

  @Test
  void whatOthersHoldOutCountsToo() {
    Fixtures f = Fixtures.counted();
    f.request("safe", "narrow", 1);
    f.total(3);
    assertTrue(f.did(Refuse.class), "two places, and this would be the third attempt");
    assertEquals(-1, f.only(Add.class).amount());
    assertTrue(f.only(Refuse.class).retryAfterMs() > 0, "told when a place may be free");
    f.request("safe", "narrow", 1);
    assertTrue(f.did(Refuse.class) && !f.did(Add.class), "not asked again at once");
  }

  @Test
  void aBusyGatewayMayUseEveryPlaceOfItsFirm() {
    Fixtures f = Fixtures.counted();
    sent(f, 1);
    assertTrue(sent(f, 2) != null, "an even part of two places among two gateways would be one");
    f.request("safe", "narrow", 1);
    assertTrue(f.did(Refuse.class) && !f.did(Add.class), "its own two are known");
  }

  @Test
  void withoutAnAnswerThereIsTheEvenPart() {
    Fixtures f = Fixtures.counted();
    f.request("safe", "narrow", 1);
    f.callFails(Status.REJECTED);
    assertTrue(f.did(Send.class));
    f.request("safe", "narrow", 1);
    f.callFails(Status.REJECTED);
    assertTrue(f.did(Refuse.class), "one of two places is this gateway's");
  }

  @Test
  void anAskThatMayHaveBeenAddedIsGivenBack() {
    Fixtures f = Fixtures.counted();
    f.request("safe", "narrow", 1);
    f.callFails(Status.TIMED_OUT);
    f.outcome(f.only(Send.class), 0, Status.OK, true);
    assertEquals(-1, f.only(Add.class).amount());
  }

  @Test
  void anAnswerThatComesWhenTheRequestIsOverGivesItsPlaceBack() {
    Fixtures f = Fixtures.counted();
    String id = f.request("safe", "narrow", 1);
    f.on(new ClientLeft(id));
    assertFalse(f.did(Send.class));
    f.total(1);
    assertFalse(f.did(Send.class));
    assertEquals(-1, f.only(Add.class).amount());
  }

  @Test
  void whatIsOutIsCarriedIntoTheNextWindowAndEndsThere() {
    Fixtures f = Fixtures.counted();
    Send s = sent(f, 1);
    String first = f.lastAdd().name();
    f.now += 26_000;
    f.request("safe", "narrow", 1);
    Add ask = f.only(Add.class);
    assertFalse(ask.name().equals(first), "a window on");
    assertEquals(2, ask.amount(), "this one and the one still out");
    f.total(2);
    f.outcome(s, 0, Status.OK, true);
    assertEquals(ask.name(), f.only(Add.class).name());
  }

  @Test
  void aCounterThatLostThePlacesIsToldOfThem() {
    Fixtures f = Fixtures.counted();
    sent(f, 1);
    f.request("safe", "narrow", 1);
    f.total(1);
    assertEquals(1, f.only(Add.class).amount(), "its own first place is put back");
    Fixtures told = Fixtures.counted();
    sent(told, 1);
    told.on(new CounterReplaced());
    assertEquals(1, told.only(Add.class).amount());
  }

  /** Four gateways, one counter that loses, delays and turns away by a seed; one firm floods them all. */
  @Test
  void fleetsKeepToThePlacesAndLeakNone() {
    for (long seed = 1; seed <= 20; seed++) {
      Fleet fleet = new Fleet(seed);
      fleet.play(400, true);
      assertTrue(fleet.worst <= 2 + 4, "seed " + seed + ": " + fleet.worst + " out at once, "
          + "two by the counter and an even part of one at each gateway");
      fleet.play(400, false);
      fleet.worst = 0;
      fleet.served = 0;
      fleet.play(400, false);
      assertTrue(fleet.worst <= 2, "seed " + seed + ": " + fleet.worst + " out with a sound counter");
      assertTrue(fleet.served > 100, "seed " + seed + ": places leaked, only " + fleet.served + " served");
    }
  }

  private static final class Fleet {
    final SplittableRandom random;
    final List<Fixtures> doors;
    final Map<String, Double> counts = new HashMap<>();
    final Map<Integer, Map<String, Long>> out = new HashMap<>();
    int worst;
    int served;
    private int next;

    Fleet(long seed) {
      random = new SplittableRandom(seed);
      doors = List.of(door(0), door(1), door(2), door(3));
    }

    private static Fixtures door(int self) {
      return new Fixtures(Fixtures.settings(true, 4, false, self)).backends(4);
    }

    /** Steps of 25 ms; an attempt ends in one of six steps. */
    void play(int steps, boolean troubled) {
      for (int i = 0; i < steps; i++) {
        for (int d = 0; d < doors.size(); d++) {
          Fixtures f = doors.get(d);
          f.run(25);
          follow(d, f.last, troubled);
          endSome(d, f, troubled);
          f.on(new Request("q" + next++, "safe", "narrow", 42, 4, 1, f.now + 4000));
          follow(d, f.last, troubled);
        }
        worst = Math.max(worst, out.values().stream().mapToInt(Map::size).sum());
      }
    }

    private void endSome(int d, Fixtures f, boolean troubled) {
      for (Map.Entry<String, Long> e : List.copyOf(out.getOrDefault(d, Map.of()).entrySet())) {
        if (random.nextInt(6) == 0) {
          out.get(d).remove(e.getKey());
          served++;
          f.on(new Outcome(e.getKey(), 0, e.getValue(), Status.OK, 100, true, 0, null));
          follow(d, f.last, troubled);
        }
      }
    }

    private void follow(int d, List<Action> actions, boolean troubled) {
      for (Action a : actions) {
        if (a instanceof Send s) {
          out.computeIfAbsent(d, x -> new HashMap<>()).put(s.request(), s.backend());
        } else if (a instanceof Add add) {
          Fixtures f = doors.get(d);
          int luck = troubled ? random.nextInt(10) : 9;
          double total = counts.getOrDefault(add.name(), 0.0) + (luck == 0 ? 0 : add.amount());
          counts.put(add.name(), total);
          f.on(new Counted(add.name(), luck == 0 ? Status.REJECTED : luck == 1 ? Status.TIMED_OUT : Status.OK,
              total, 1));
          follow(d, f.last, troubled);
        }
      }
    }
  }
}
