package willowdoor.policy;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;
import willowdoor.policy.GatewayApi.Action;
import willowdoor.policy.GatewayApi.Add;
import willowdoor.policy.GatewayApi.BackendEntry;
import willowdoor.policy.GatewayApi.Cancel;
import willowdoor.policy.GatewayApi.Counted;
import willowdoor.policy.GatewayApi.Fail;
import willowdoor.policy.GatewayApi.Outcome;
import willowdoor.policy.GatewayApi.Phase;
import willowdoor.policy.GatewayApi.Refuse;
import willowdoor.policy.GatewayApi.Request;
import willowdoor.policy.GatewayApi.Roster;
import willowdoor.policy.GatewayApi.RosterForm;
import willowdoor.policy.GatewayApi.Send;
import willowdoor.policy.GatewayApi.Status;
import willowdoor.policy.GatewayApi.Woken;

/**
 * Many gateways at once, with fixed seeds. What a single gateway may do is multiplied by their number, so the
 * tests check sums over the fleet.
 */
class FleetTest {

  private final List<Fixtures> fleet = new ArrayList<>();
  private final SplittableRandom random = new SplittableRandom(11);
  private final Map<String, Integer> unitsByRequest = new HashMap<>();
  private int nextRequest;

  private void createFleet(int gateways, int backends) {
    for (int i = 0; i < gateways; i++) {
      fleet.add(new Fixtures(Fixtures.settings(true, gateways, false, i)).withBackends(backends));
    }
  }

  /**
   * Sends requests to the fleet at the given rate, each to a random gateway, and passes each action to the
   * environment.
   */
  private void run(double seconds, double perSecond, String plan, BiConsumer<Fixtures, Action> environment) {
    double start = fleet.get(0).now;
    int total = (int) (seconds * perSecond);
    for (int k = 0; k < total; k++) {
      double now = start + 1000 * k / perSecond;
      Fixtures f = fleet.get(random.nextInt(fleet.size()));
      runTimers(f, now, environment);
      int units = 1 + random.nextInt(4);
      unitsByRequest.put("f" + nextRequest, units);
      f.on(new Request("f" + nextRequest++, "safe", plan, 42, fleet.size(), units, now + 4000));
      perform(f, environment);
    }
    fleet.forEach(f -> runTimers(f, start + 1000 * seconds, environment));
  }

  private void runTimers(Fixtures f, double now, BiConsumer<Fixtures, Action> environment) {
    for (double t = f.now + 25; t <= now; t += 25) {
      f.now = t;
      f.on(new Woken("tick"));
      perform(f, environment);
    }
    f.now = now;
  }

  private void perform(Fixtures f, BiConsumer<Fixtures, Action> environment) {
    for (Action a : List.copyOf(f.lastActions)) {
      environment.accept(f, a);
    }
  }

  private void answer(Fixtures f, Send s, Status status, BiConsumer<Fixtures, Action> environment) {
    f.on(new Outcome(s.request(), 0, s.backend(), status, 50, status == Status.OK, 0, null));
    perform(f, environment);
  }

  // Guards against hundreds of calls per second because each gateway retries a silent counter at its own
  // interval.
  @Test
  void callsToASilentCounterAreBoundedForTheFleetAndResume() {
    createFleet(300, 12);
    int[] calls = new int[1];
    boolean[] silent = {true};
    BiConsumer<Fixtures, Action> environment = new BiConsumer<>() {
      @Override
      public void accept(Fixtures f, Action a) {
        if (a instanceof Add add) {
          calls[0]++;
          f.on(new Counted(add.name(), silent[0] ? Status.TIMED_OUT : Status.OK, 1, 2));
          perform(f, this);
        } else if (a instanceof Send s) {
          answer(f, s, Status.OK, this);
        }
      }
    };
    run(20, 900, "rated", environment);
    calls[0] = 0;
    run(5, 900, "rated", environment);
    assertTrue(calls[0] > 0 && calls[0] < 5 * 300, calls[0] + " calls in 5 s");
    silent[0] = false;
    run(3, 900, "broad", environment);
    calls[0] = 0;
    run(2, 900, "broad", environment);
    assertTrue(calls[0] > 2 * 200, "calls are back within 3 s: " + calls[0] + " in 2 s");
  }

  // Guards against hundreds of first requests at once because each gateway holds a first token for a cold
  // backend.
  @Test
  void aColdBackendIsNotOverloadedByTheFleet() {
    createFleet(300, 60);
    int[] sentToBackend = new int[1];
    BiConsumer<Fixtures, Action> environment = new BiConsumer<>() {
      @Override
      public void accept(Fixtures f, Action a) {
        if (a instanceof Send s) {
          sentToBackend[0] += s.backend() == 7 ? 1 : 0;
          answer(f, s, Status.OK, this);
        }
      }
    };
    run(10, 600, "free", environment);
    int sentWhenWarm = sentToBackend[0];
    sentToBackend[0] = 0;
    fleet.forEach(f -> f.on(new Roster(RosterForm.CHANGES,
        List.of(new BackendEntry(7, "b", 7, Phase.SERVING, 1, f.now)))));
    run(2, 600, "free", environment);
    double share = 0.2 + 0.8 * 2 / 10;
    assertTrue(sentToBackend[0] <= 1.5 * share * sentWhenWarm / 5,
        sentToBackend[0] + " sent to a cold backend, warm " + sentWhenWarm / 5);
  }

  // Guards against a number of saved retries that is small for one gateway but thousands for the fleet.
  @Test
  void furtherAttemptsAreBoundedForTheFleet() {
    createFleet(300, 60);
    int[] sent = new int[2];
    Map<String, Integer> attempts = new HashMap<>();
    BiConsumer<Fixtures, Action> environment = new BiConsumer<>() {
      @Override
      public void accept(Fixtures f, Action a) {
        if (a instanceof Send s) {
          int number = attempts.merge(s.request(), 1, Integer::sum) - 1;
          sent[number == 0 ? 0 : 1]++;
          f.on(new Outcome(s.request(), number, s.backend(), Status.ERROR, 5, false, 0, null));
          perform(f, this);
        }
      }
    };
    run(10, 600, "free", environment);
    assertTrue(sent[1] < 300 + 0.2 * sent[0], sent[1] + " further attempts for " + sent[0]);
    assertTrue(sent[1] > 0);
  }

  // Guards against uncounted requests that are few at each gateway but add up to far more than the quota.
  @Test
  void withoutACounterTheFleetKeepsToTheQuota() {
    createFleet(100, 12);
    double[] units = new double[1];
    BiConsumer<Fixtures, Action> environment = new BiConsumer<>() {
      @Override
      public void accept(Fixtures f, Action a) {
        if (a instanceof Add add) {
          f.on(new Counted(add.name(), Status.REJECTED, 0, 2));
          perform(f, this);
        } else if (a instanceof Send s) {
          units[0] += unitsByRequest.get(s.request());
          answer(f, s, Status.OK, this);
        }
      }
    };
    run(20, 100, "broad", environment);
    units[0] = 0;
    run(20, 100, "broad", environment);
    assertTrue(units[0] < 20 * Fixtures.BROAD.rate() * 1.3, units[0] + " units in 20 s");
    assertTrue(units[0] > 20 * Fixtures.BROAD.rate() * 0.4, units[0] + " units in 20 s");
  }

  @Test
  void theCeilingHoldsThroughManyGatewaysAndThroughFew() {
    assertTrue(lowestCeilingLevel(200) >= -Fixtures.WIDE.ceilingSlack());
    fleet.clear();
    assertTrue(lowestCeilingLevel(3) >= -Fixtures.WIDE.ceilingSlack());
  }

  private double lowestCeilingLevel(int gateways) {
    createFleet(gateways, 12);
    Map<String, Double> counts = new HashMap<>();
    double[] ceiling = {Fixtures.WIDE.ceilingBurst(), fleet.get(0).now, Double.MAX_VALUE, 0};
    BiConsumer<Fixtures, Action> environment = new BiConsumer<>() {
      @Override
      public void accept(Fixtures f, Action a) {
        if (a instanceof Add add) {
          boolean fails = random.nextDouble() < 0.2;
          double total = counts.merge(add.name(), add.amount(), Double::sum);
          f.on(new Counted(add.name(), fails ? Status.TIMED_OUT : Status.OK, total, 2));
          perform(f, this);
        } else if (a instanceof Send s) {
          double full = ceiling[0] + Fixtures.WIDE.ceilingRate() * (f.now - ceiling[1]) / 1000;
          ceiling[0] = Math.min(Fixtures.WIDE.ceilingBurst(), full) - unitsByRequest.get(s.request());
          ceiling[1] = f.now;
          ceiling[2] = Math.min(ceiling[2], ceiling[0]);
          ceiling[3]++;
          answer(f, s, Status.OK, this);
        }
      }
    };
    run(30, 200, "wide", environment);
    assertTrue(ceiling[3] > 30, "only " + ceiling[3] + " sent through " + gateways);
    return ceiling[2];
  }

  // Guards against work and connections that grow with the fleet: of a thousand backends, a gateway uses few.
  @Test
  void aGatewayUsesASubsetOfManyBackendsAndAllOfFew() {
    assertTrue(countUsedBackends(300, 1000) <= 40, "of a thousand: " + countUsedBackends(300, 1000));
    assertEquals(10, countUsedBackends(3, 10));
  }

  private int countUsedBackends(int gateways, int backends) {
    Fixtures f = new Fixtures(Fixtures.settings(true, gateways, false)).withBackends(backends);
    Set<Long> used = new HashSet<>();
    for (int i = 0; i < 400; i++) {
      f.runTimers(25).request("safe", "free", 1);
      if (f.emitted(Send.class)) {
        used.add(f.lastOf(Send.class).backend());
        f.outcome(f.lastOf(Send.class), 0, Status.OK, true);
      }
    }
    return used.size();
  }

  // Guards against attributing this gateway's own stall to the backends, and against acting before all
  // pending events are read.
  @Test
  void aStalledGatewayReadsPendingAnswersFirst() {
    Fixtures f = new Fixtures(Fixtures.settings(true, 300, false)).withBackends(12);
    for (int round = 0; round < 10; round++) {
      f.runTimers(25).request("safe", "free", 1);
      Send s = f.lastOf(Send.class);
      f.runTimers(25);
      f.advance(2000).on(new Woken("tick"));
      assertFalse(f.emitted(Cancel.class), "its answer may not have been read yet");
      f.on(new Outcome(s.request(), 0, s.backend(), Status.OK, 2020, true, 0, null));
      f.advance(1).on(new Woken("tick"));
    }
    f.request("safe", "free", 1);
    assertTrue(f.emitted(Send.class));
  }

  // Guards against mistaking lost answers for an overloaded fleet. A few slow backends look the same and
  // remain unnoticed.
  @Test
  void lostAnswersAreNotTakenForOverload() {
    Fixtures f = new Fixtures(Fixtures.settings(true, 300, false)).withBackends(12);
    for (int i = 0; i < 30; i++) {
      f.runTimers(100).request("unsafe", "free", 1);
      Send lost = f.lastOf(Send.class);
      f.runTimers(100).request("safe", "free", 1);
      f.outcome(f.lastOf(Send.class), 0, Status.OK, true);
      f.on(new Outcome(lost.request(), 0, lost.backend(), Status.TIMED_OUT, 3900, false, 0, null));
    }
    f.runTimers(50).request("safe", "free", 1);
    assertTrue(f.emitted(Send.class));
  }

  // Guards against exceptions with invalid settings and events; each request still gets one final answer.
  @Test
  void invalidInputIsStillAnsweredOnce() {
    for (int gateways : new int[] {0, 1, 400}) {
      for (int entryPoints : new int[] {-1, 0, 1, 1000}) {
        Fixtures f = new Fixtures(Fixtures.settings(true, gateways, false)).withBackends(1000);
        int[] answers = new int[1];
        assertDoesNotThrow(() -> {
          f.on(new Request("x", "safe", "rated", 5, entryPoints, 1, f.now + 4000));
          for (int i = 0; i < 500; i++) {
            answers[0] += f.emitted(Refuse.class) || f.emitted(Fail.class) ? 1 : 0;
            if (f.emitted(Send.class)) {
              f.on(new Outcome("x", 0, f.lastOf(Send.class).backend(), Status.OK, 1e9, true, 0, null));
              answers[0]++;
            }
            f.runTimers(10);
          }
          f.on(new Counted("never asked", Status.OK, 3, 1));
          f.on(new Outcome("never sent", 3, 1, Status.OK, 1, true, 0, null));
        });
        assertEquals(1, answers[0], gateways + " gateways, " + entryPoints + " entry points");
      }
    }
  }

  // Protects a restarted backend that the roster does not report yet: a refused connection is taken for a
  // cold start.
  @Test
  void aBackendThatRefusedAConnectionIsTreatedAsCold() {
    Fixtures f = new Fixtures(Fixtures.settings(true, 300, false)).withBackends(1);
    f.request("safe", "free", 1);
    f.outcome(f.lastOf(Send.class), 0, Status.UNREACHABLE, false);
    f.runTimers(9_000);
    int sent = 0;
    for (int i = 0; i < 40; i++) {
      f.runTimers(25).request("safe", "free", 1);
      if (f.emitted(Send.class)) {
        sent++;
        f.outcome(f.lastOf(Send.class), 0, Status.OK, true);
      }
    }
    assertTrue(sent < 20, sent + " of 40 sent at once");
  }

  // Guards against treating the whole fleet as cold because of a few connections that failed for another
  // reason.
  @Test
  void aBackendThatAnswersAnEarlierAttemptHasNotRestarted() {
    Fixtures f = new Fixtures(Fixtures.settings(true, 2, false)).withBackends(1);
    f.request("safe", "free", 1);
    Send before = f.lastOf(Send.class);
    f.advance(10).request("safe", "free", 1);
    Send failed = f.lastOf(Send.class);
    f.advance(10).outcome(failed, 0, Status.UNREACHABLE, true);
    f.advance(10).outcome(before, 0, Status.OK, true);
    for (int i = 0; i < 40; i++) {
      f.runTimers(25).request("safe", "free", 1);
      assertTrue(f.emitted(Send.class), "not sent at once: " + i);
      f.outcome(f.lastOf(Send.class), 0, Status.OK, true);
    }
  }

  // Guards against trying each dead backend of a failed zone: failures in a zone count for all of its
  // backends.
  @Test
  void aFailedZoneIsAvoidedAfterAFewFailures() {
    Fixtures f = new Fixtures(Fixtures.settings(true, 300, false)).withBackends(200);
    int toHealthyZone = 0;
    int all = 0;
    for (int i = 0; i < 60; i++) {
      f.runTimers(25).request("unsafe", "free", 1);
      Send s = f.lastOf(Send.class);
      boolean inFailedZone = s.backend() % 2 == 1;
      toHealthyZone += i >= 20 && !inFailedZone ? 1 : 0;
      all += i >= 20 ? 1 : 0;
      f.outcome(s, 0, inFailedZone ? Status.RESET : Status.OK, !inFailedZone);
    }
    assertTrue(toHealthyZone > 0.85 * all, toHealthyZone + " of " + all + " sent to the healthy zone");
  }

  // Guards against granting the quota again when a gateway restarts, or when the customer uses another
  // gateway.
  @Test
  void aRestartedGatewayLearnsTheUsageFromTheCount() {
    Fixtures f = Fixtures.withCounter();
    f.request("safe", "rated", 4);
    f.replyTotal(4);
    assertTrue(f.emitted(Send.class));
    Fixtures restarted = new Fixtures(Fixtures.settings(true, 2, false), f.now + 100).withBackends(4);
    restarted.request("safe", "rated", 4);
    restarted.replyTotal(200);
    assertTrue(restarted.emitted(Refuse.class));
  }

  @Test
  void withoutBackendsEachRequestIsAnsweredOnceInTime() {
    Fixtures f = new Fixtures(Fixtures.settings(true, 300, false)).withBackends(0);
    f.request("safe", "free", 1);
    assertFalse(f.emitted(Send.class));
    f.runTimers(3900);
    assertEquals(1, f.allActions.stream().filter(a -> a instanceof Refuse || a instanceof Fail).count());
  }
}
