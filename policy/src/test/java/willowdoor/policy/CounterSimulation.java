package willowdoor.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.DoubleConsumer;
import willowdoor.policy.GatewayApi.Action;
import willowdoor.policy.GatewayApi.Add;
import willowdoor.policy.GatewayApi.Capabilities;
import willowdoor.policy.GatewayApi.BackendEntry;
import willowdoor.policy.GatewayApi.CeilingShare;
import willowdoor.policy.GatewayApi.Counted;
import willowdoor.policy.GatewayApi.CounterReplaced;
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
import willowdoor.policy.GatewayApi.Woken;
import willowdoor.recovery.CeilingRights;
import willowdoor.recovery.CounterWatch;
import willowdoor.recovery.RightsAction;
import willowdoor.recovery.RightsEvent;
import willowdoor.recovery.WatchAction;
import willowdoor.recovery.WatchEvent;

/**
 * Simulates a fleet of doors and its counter in virtual time. Each door runs the real decision modules for
 * quota, counter watch and ceiling rights. The counter is lost, emptied, restored from an old copy, split
 * among the doors, slow, or does not answer, while the traffic of each firm moves between doors. All
 * randomness comes from the seed, so that a run can be repeated exactly. For each firm, the units that were
 * sent are compared with an ideal token bucket and an ideal ceiling.
 */
final class CounterSimulation {

  static final double MAX_UNITS = 4;
  static final double COUNTER_TIMEOUT_MS = 30;
  static final Plan BASIC = new Plan("basic", 4, 16, 0, 1, 0, 1, 6.4, 25.6, 4);
  static final Plan FULL = new Plan("full", 30, 60, 0, 1, 0, 1, 0, 0, 0);
  private static final double START_MS = 1_700_000_000_000.0;

  /** Kinds of faults: of the counter, for a time or from a moment on, and the restart of doors. */
  enum FaultKind { AWAY, AWAY_FOR_SOME, EMPTIED, OLD_COPY, SPLIT, MUTE, SLOW, DOOR_STARTS_ANEW }

  /** A fault; it affects the doors whose number is set as a bit in the mask. */
  record Fault(FaultKind kind, double atMs, double durationMs, long doorBits) {
    @Override
    public String toString() {
      return String.format(Locale.ROOT, "%s at %.0f for %.0f ms, doors %s", kind, atMs, durationMs,
          Long.toBinaryString(doorBits));
    }
  }

  /**
   * Traffic of one firm: units per second as a multiple of the rate of its plan, through a number of
   * consecutive doors.
   */
  record Traffic(Plan plan, int firstDoor, int doorCount, double rateMultiple) { }

  /**
   * One firm and what a run showed of it; excess is the number of units sent beyond the ideal quota or
   * ceiling.
   */
  static final class Firm {
    final long number;
    final Traffic traffic;
    double quotaLevel;
    double ceilingLevel;
    double filledAt = START_MS;
    double worstQuotaExcess;
    double worstCeilingExcess;
    double unitsSent;
    int requests;
    int refusals;
    int requestsWithoutCounter;
    int requestsHalfUnused;
    int refusalsHalfUnused;
    int refusalsWithoutCounter;
    double[] doorWeights;
    double nextMoveAt;

    Firm(long number, Traffic traffic) {
      this.number = number;
      this.traffic = traffic;
      quotaLevel = traffic.plan().burst();
      ceilingLevel = traffic.plan().ceilingBurst();
    }

    void fill(double now) {
      Plan p = traffic.plan();
      quotaLevel = Math.min(p.burst(), quotaLevel + p.rate() * (now - filledAt) / 1000);
      ceilingLevel = Math.min(p.ceilingBurst(), ceilingLevel + p.ceilingRate() * (now - filledAt) / 1000);
      filledAt = now;
    }

    void recordSend(double now, double units) {
      fill(now);
      quotaLevel -= units;
      ceilingLevel -= units;
      unitsSent += units;
      worstQuotaExcess = Math.max(worstQuotaExcess, -quotaLevel);
      if (traffic.plan().ceilingRate() > 0) {
        worstCeilingExcess = Math.max(worstCeilingExcess, -ceilingLevel);
      }
    }

    boolean isHalfUnused(double now, double units) {
      fill(now);
      return quotaLevel >= traffic.plan().burst() / 2 && quotaLevel >= units;
    }
  }

  private record ScheduledTask(double at, long order, Runnable task) { }

  private static final class Counter {
    private final Map<String, double[]> counts = new HashMap<>();

    double add(String name, double amount, double ttl, double now) {
      double[] c = counts.get(name);
      if (c == null || c[1] < now) {
        c = new double[] {0, now + ttl};
        counts.put(name, c);
      }
      c[0] += amount;
      return c[0];
    }

    Counter copy() {
      Counter copy = new Counter();
      counts.forEach((k, v) -> copy.counts.put(k, v.clone()));
      return copy;
    }
  }

  private final class Door {
    final int number;
    QuotaPolicy policy;
    CounterWatch watch;
    CeilingRights rights;
    int incarnation;
    boolean away;
    boolean mute;
    boolean slow;
    Counter counter;

    Door(int number) {
      this.number = number;
    }

    void start() {
      incarnation++;
      policy = new QuotaPolicy(settings(doors.length, number), random.nextLong());
      watch = new CounterWatch("d" + number + "x" + incarnation);
      rights = dividesCeilings ? new CeilingRights(now) : null;
      perform(policy.start(now));
      List<BackendEntry> entries = new ArrayList<>();
      for (int i = 0; i < 40; i++) {
        entries.add(new BackendEntry(i, "a", i, Phase.SERVING, 1, 0));
      }
      deliver(new Roster(RosterForm.REMEMBERED, entries));
      if (watchesCounter) {
        driveWatch(new WatchEvent.Woken());
      }
      if (rights != null) {
        driveRights(new RightsEvent.Woken());
      }
    }

    void deliver(Event e) {
      perform(policy.on(now, e));
    }

    private void scheduleInIncarnation(double at, Runnable task) {
      int expected = incarnation;
      CounterSimulation.this.schedule(at, () -> {
        if (incarnation == expected) {
          task.run();
        }
      });
    }

    private void perform(List<Action> actions) {
      for (Action a : actions) {
        if (a instanceof Add add) {
          callCounter(add.name(), add.amount(), add.ttlMs(), total -> deliver(new Counted(add.name(),
              total == Double.NEGATIVE_INFINITY ? Status.UNREACHABLE : Double.isNaN(total) ? Status.TIMED_OUT
                  : Status.OK, Math.max(0, total), 2)));
        } else if (a instanceof Send s) {
          double units = unitsByRequest.get(s.request());
          firmByRequest.get(s.request()).recordSend(now, units);
          scheduleInIncarnation(now + 20 + 40 * random.nextDouble(),
              () -> deliver(new Outcome(s.request(), 0, s.backend(), Status.OK, 40, true, units, null)));
        } else if (a instanceof Refuse r) {
          recordRefusal(r.request());
        } else if (a instanceof Fail f) {
          recordRefusal(f.request());
        } else if (a instanceof WakeAt w) {
          scheduleInIncarnation(Math.max(now, w.atMs()), () -> deliver(new Woken(w.label())));
        }
      }
    }

    /**
     * Calls the counter. The callback gets the total, NaN if there was no answer in time, or negative
     * infinity if the counter was unreachable, so that nothing was added.
     */
    private void callCounter(String name, double amount, double ttl, DoubleConsumer onEnd) {
      double sentAt = now;
      boolean[] ended = new boolean[1];
      int expected = incarnation;
      double delayMs = slow ? 5 + 60 * random.nextDouble() : 0.5 + random.nextDouble();
      callCount++;
      CounterSimulation.this.schedule(now + delayMs, () -> {
        if (away) {
          complete(ended, expected, onEnd, Double.NEGATIVE_INFINITY);
          return;
        }
        double total = counter.add(name, amount, ttl, now);
        if (!mute) {
          CounterSimulation.this.schedule(now + 0.5, () -> complete(ended, expected, onEnd, total));
        }
      });
      CounterSimulation.this.schedule(sentAt + COUNTER_TIMEOUT_MS,
          () -> complete(ended, expected, onEnd, Double.NaN));
    }

    private void complete(boolean[] ended, int expected, DoubleConsumer onEnd, double total) {
      if (!ended[0] && expected == incarnation) {
        ended[0] = true;
        onEnd.accept(total);
      }
    }

    void driveWatch(WatchEvent e) {
      if (!watchesCounter) {
        return;
      }
      for (WatchAction a : watch.on(now, e)) {
        if (a instanceof WatchAction.Check c) {
          callCounter(c.name(), c.amount(), c.ttlMs(),
              total -> driveWatch(new WatchEvent.CheckEnded(c.number(),
              total == Double.NEGATIVE_INFINITY ? Double.NaN : total)));
        } else if (a instanceof WatchAction.Replaced r) {
          deliver(new CounterReplaced(r.lostSinceMs()));
        } else if (a instanceof WatchAction.WakeAt w) {
          scheduleInIncarnation(Math.max(now + 0.01, w.atMs()), () -> driveWatch(new WatchEvent.Woken()));
        }
      }
    }

    CeilingShare driveRights(RightsEvent e) {
      CeilingShare share = null;
      for (RightsAction a : rights.on(now, e)) {
        if (a instanceof RightsAction.Share s) {
          share = new CeilingShare(s.share(), s.untilMs(), s.shareAfter());
        } else if (a instanceof RightsAction.Call c) {
          callCounter(c.name(), c.amount(), c.ttlMs(),
              total -> driveRights(new RightsEvent.CallEnded(c.name(),
              total == Double.NEGATIVE_INFINITY ? Double.NaN : total)));
        } else if (a instanceof RightsAction.WakeAt w) {
          scheduleInIncarnation(w.atMs(), () -> driveRights(new RightsEvent.Woken()));
        }
      }
      return share;
    }
  }

  final List<Firm> firms = new ArrayList<>();
  private final boolean watchesCounter;
  private final boolean dividesCeilings;
  private final SplittableRandom random;
  private final PriorityQueue<ScheduledTask> events =
      new PriorityQueue<>(Comparator.comparingDouble(ScheduledTask::at)
      .thenComparingLong(ScheduledTask::order));
  private final Door[] doors;
  private final Map<String, Double> unitsByRequest = new HashMap<>();
  private final Map<String, Firm> firmByRequest = new HashMap<>();
  private final Map<String, Boolean> halfUnusedByRequest = new HashMap<>();
  private final Map<String, Boolean> halfUnusedWithoutCounter = new HashMap<>();
  private final ArrayDeque<Counter> copies = new ArrayDeque<>();
  private Counter currentCounter = new Counter();
  private double now = START_MS;
  private long nextOrder;
  private int nextRequest;
  long callCount;

  /**
   * A fleet that has just started; the requests begin later, by a whole era of the ceiling shares or more.
   *
   * @param watchesCounter whether doors notice that a counter was replaced
   * @param dividesCeilings whether ceilings are divided among the doors instead of being counted together
   */
  CounterSimulation(int doorCount, List<Traffic> traffic, boolean watchesCounter, boolean dividesCeilings,
      long seed) {
    this.watchesCounter = watchesCounter;
    this.dividesCeilings = dividesCeilings;
    random = new SplittableRandom(seed);
    doors = new Door[doorCount];
    for (int i = 0; i < doorCount; i++) {
      doors[i] = new Door(i);
      doors[i].counter = currentCounter;
    }
    for (Door d : doors) {
      d.start();
    }
    for (Traffic t : traffic) {
      firms.add(new Firm(1_000 + 7L * firms.size() + seed % 1_000, t));
    }
  }

  static Settings settings(int doorCount, int self) {
    return new Settings(doorCount, self, "a", MAX_UNITS, 0, false,
        List.of(new RequestClass("safe", 1, 0, 1000, 4000, Repeat.SAFE, Group.ALL, 0, false)),
        List.of(BASIC, FULL),
        new Capabilities(true, COUNTER_TIMEOUT_MS, true, false, 4, 100_000, true, 2000, false),
        new Rules(8, 0.2, 10_000, 3, 2000));
  }

  private void schedule(double when, Runnable task) {
    events.add(new ScheduledTask(when, nextOrder++, task));
  }

  private void recordRefusal(String id) {
    Firm f = firmByRequest.get(id);
    f.refusals++;
    f.refusalsHalfUnused += halfUnusedByRequest.get(id) ? 1 : 0;
    Boolean halfUnused = halfUnusedWithoutCounter.get(id);
    f.refusalsWithoutCounter += halfUnused != null && halfUnused ? 1 : 0;
  }

  /**
   * Returns when the first window of the first firm ends that does not end before afterMs, in milliseconds
   * after the first request.
   */
  double nextWindowEdgeMs(double warmUpMs, double afterMs) {
    double windowMs = 25_000;
    double phase = Math.floorMod(firms.get(0).number * 0x9E3779B97F4A7C15L, (long) windowMs);
    double at = START_MS + warmUpMs + afterMs;
    return afterMs + windowMs - (at + phase) % windowMs;
  }

  /**
   * Runs the simulation for the given time from the first request on. The times of the faults count from
   * there too; during the warm-up nothing is requested.
   */
  CounterSimulation run(double warmUpMs, double durationMs, List<Fault> faults) {
    double from = START_MS + warmUpMs;
    for (Firm f : firms) {
      f.filledAt = from;
      scheduleArrivals(f, from, from + durationMs);
    }
    for (double t = from; t < from + durationMs; t += 1_000) {
      schedule(t, () -> {
        copies.add(currentCounter.copy());
        if (copies.size() > 6) {
          copies.poll();
        }
      });
    }
    for (Fault fault : faults) {
      scheduleFault(fault, from);
    }
    while (!events.isEmpty() && events.peek().at() <= from + durationMs + 3_000) {
      ScheduledTask e = events.poll();
      now = Math.max(now, e.at());
      e.task().run();
    }
    return this;
  }

  private void scheduleArrivals(Firm f, double from, double until) {
    Traffic t = f.traffic;
    double meanUnits = (1 + MAX_UNITS) / 2;
    double gap = -Math.log(1 - random.nextDouble()) * 1000 * meanUnits / (t.rateMultiple() * t.plan().rate());
    double when = from + gap;
    if (when > until) {
      return;
    }
    schedule(when, () -> {
      sendRequest(f);
      scheduleArrivals(f, when, until);
    });
  }

  private void sendRequest(Firm f) {
    Traffic t = f.traffic;
    if (f.doorWeights == null || now >= f.nextMoveAt) {
      f.doorWeights = new double[t.doorCount()];
      double sum = 0;
      for (int i = 0; i < t.doorCount(); i++) {
        f.doorWeights[i] = Math.pow(random.nextDouble(), 3) + 0.001;
        sum += f.doorWeights[i];
      }
      for (int i = 0; i < t.doorCount(); i++) {
        f.doorWeights[i] /= sum;
      }
      f.nextMoveAt = now + 9_000 + 14_000 * random.nextDouble();
    }
    double draw = random.nextDouble();
    int entryPoint = 0;
    while (entryPoint < t.doorCount() - 1 && draw >= f.doorWeights[entryPoint]) {
      draw -= f.doorWeights[entryPoint++];
    }
    Door d = doors[(t.firstDoor() + entryPoint) % doors.length];
    double units = 1 + random.nextInt((int) MAX_UNITS);
    String id = "r" + nextRequest++;
    unitsByRequest.put(id, units);
    firmByRequest.put(id, f);
    f.requests++;
    boolean halfUnused = f.isHalfUnused(now, units);
    halfUnusedByRequest.put(id, halfUnused);
    f.requestsHalfUnused += halfUnused ? 1 : 0;
    if (d.away || d.mute) {
      halfUnusedWithoutCounter.put(id, halfUnused);
      f.requestsWithoutCounter += halfUnused ? 1 : 0;
    }
    Request r = new Request(id, "safe", t.plan().name(), f.number, t.doorCount(), units, now + 4000,
        entryPoint, null);
    if (dividesCeilings && t.plan().ceilingRate() > 0) {
      r = r.withCeilingShare(d.driveRights(new RightsEvent.Requested(f.number, t.doorCount(), entryPoint,
          t.plan().ceilingRate(), t.plan().ceilingBurst(), MAX_UNITS, units)));
    }
    d.deliver(r);
  }

  private void scheduleFault(Fault fault, double from) {
    schedule(from + fault.atMs(), () -> applyFault(fault, true));
    if (fault.durationMs() > 0) {
      schedule(from + fault.atMs() + fault.durationMs(), () -> applyFault(fault, false));
    }
  }

  private List<Door> affectedDoors(Fault f) {
    List<Door> affected = new ArrayList<>();
    for (Door d : doors) {
      if ((f.doorBits() >> (d.number % 62) & 1) == 1) {
        affected.add(d);
      }
    }
    return affected;
  }

  private void applyFault(Fault f, boolean on) {
    switch (f.kind()) {
      case AWAY -> forEachDoor(d -> {
        d.away = on;
        notifyConnected(d, !on);
      });
      case AWAY_FOR_SOME -> affectedDoors(f).forEach(d -> {
        d.away = on;
        notifyConnected(d, !on);
      });
      case EMPTIED -> replaceCounter(new Counter());
      case OLD_COPY -> replaceCounter(copies.isEmpty() ? new Counter() : copies.peek().copy());
      case SPLIT -> {
        if (on) {
          Counter other = f.durationMs() % 2 < 1 ? currentCounter.copy() : new Counter();
          affectedDoors(f).forEach(d -> {
            d.counter = other;
            notifyConnected(d, true);
          });
        } else {
          // The seed decides whose counter remains.
          replaceCounter(random.nextBoolean() || affectedDoors(f).isEmpty() ? currentCounter
              : affectedDoors(f).get(0).counter);
        }
      }
      case MUTE -> forEachDoor(d -> d.mute = on);
      case SLOW -> forEachDoor(d -> d.slow = on);
      case DOOR_STARTS_ANEW -> affectedDoors(f).forEach(Door::start);
    }
  }

  private void replaceCounter(Counter replacement) {
    currentCounter = replacement;
    forEachDoor(d -> {
      d.counter = replacement;
      notifyConnected(d, true);
    });
  }

  private static void notifyConnected(Door d, boolean up) {
    if (up) {
      d.driveWatch(new WatchEvent.Connected(0));
    }
  }

  private void forEachDoor(java.util.function.Consumer<Door> task) {
    for (Door d : doors) {
      task.accept(d);
    }
  }
}
