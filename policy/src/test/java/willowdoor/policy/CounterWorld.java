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
 * A fleet in simulated time: the real decision modules of each door (quota, watch, rights), counters that are
 * lost, emptied, put back from a copy, split among the doors, slow or mute, and firms whose traffic moves
 * from
 * door to door. All chance comes from the seed, so that a run is repeated exactly. Holds what was sent on to
 * an ideal bucket and an ideal ceiling of each firm.
 */
final class CounterWorld {

  static final double MOST_UNITS = 4;
  static final double LIMIT_MS = 30;
  static final Plan BASIC = new Plan("basic", 4, 16, 0, 1, 0, 1, 6.4, 25.6, 4);
  static final Plan FULL = new Plan("full", 30, 60, 0, 1, 0, 1, 0, 0, 0);
  private static final double BEGIN = 1_700_000_000_000.0;

  /** What becomes of the counter: from a moment, for a time. */
  enum What { AWAY, AWAY_FOR_SOME, EMPTIED, OLD_COPY, SPLIT, MUTE, SLOW, DOOR_STARTS_ANEW }

  /** One trouble; side tells which doors it meets (those whose number has the bit). */
  record Fault(What what, double atMs, double forMs, long side) {
    @Override
    public String toString() {
      return String.format(Locale.ROOT, "%s at %.0f for %.0f ms, doors %s", what, atMs, forMs,
          Long.toBinaryString(side));
    }
  }

  /** One firm's traffic: units a second as a multiple of its plan's rate, over so many doors from first on.
      */
  record Traffic(Plan plan, int first, int spread, double times) { }

  /** What a run showed of one firm. */
  static final class Firm {
    final long number;
    final Traffic traffic;
    double level;
    double store;
    double at = BEGIN;
    double worstQuota;
    double worstCeiling;
    double sent;
    int asked;
    int refused;
    int askedBlind;
    int askedHalf;
    int refusedHalf;
    int refusedBlind;
    double[] weights;
    double movesAt;

    Firm(long number, Traffic traffic) {
      this.number = number;
      this.traffic = traffic;
      level = traffic.plan().burst();
      store = traffic.plan().ceilingBurst();
    }

    void fill(double now) {
      Plan p = traffic.plan();
      level = Math.min(p.burst(), level + p.rate() * (now - at) / 1000);
      store = Math.min(p.ceilingBurst(), store + p.ceilingRate() * (now - at) / 1000);
      at = now;
    }

    void sent(double now, double units) {
      fill(now);
      level -= units;
      store -= units;
      sent += units;
      worstQuota = Math.max(worstQuota, -level);
      if (traffic.plan().ceilingRate() > 0) {
        worstCeiling = Math.max(worstCeiling, -store);
      }
    }

    boolean halfUnused(double now, double units) {
      fill(now);
      return level >= traffic.plan().burst() / 2 && level >= units;
    }
  }

  private record Ev(double at, long order, Runnable what) { }

  private static final class Counter {
    private final Map<String, double[]> names = new HashMap<>();

    double add(String name, double amount, double ttl, double now) {
      double[] c = names.get(name);
      if (c == null || c[1] < now) {
        c = new double[] {0, now + ttl};
        names.put(name, c);
      }
      c[0] += amount;
      return c[0];
    }

    Counter copy() {
      Counter copy = new Counter();
      names.forEach((k, v) -> copy.names.put(k, v.clone()));
      return copy;
    }
  }

  private final class Door {
    final int number;
    QuotaPolicy policy;
    CounterWatch watch;
    CeilingRights rights;
    int life;
    boolean away;
    boolean mute;
    boolean slow;
    Counter counter;

    Door(int number) {
      this.number = number;
    }

    void start() {
      life++;
      policy = new QuotaPolicy(settings(doors.length, number), random.nextLong());
      watch = new CounterWatch("d" + number + "x" + life);
      rights = divided ? new CeilingRights(now) : null;
      take(policy.start(now));
      List<BackendEntry> entries = new ArrayList<>();
      for (int i = 0; i < 40; i++) {
        entries.add(new BackendEntry(i, "a", i, Phase.SERVING, 1, 0));
      }
      tell(new Roster(RosterForm.REMEMBERED, entries));
      if (watched) {
        watch(new WatchEvent.Woken());
      }
      if (rights != null) {
        rights(new RightsEvent.Woken());
      }
    }

    void tell(Event e) {
      take(policy.on(now, e));
    }

    private void later(double at, Runnable what) {
      int mine = life;
      CounterWorld.this.at(at, () -> {
        if (life == mine) {
          what.run();
        }
      });
    }

    private void take(List<Action> actions) {
      for (Action a : actions) {
        if (a instanceof Add add) {
          call(add.name(), add.amount(), add.ttlMs(), total -> tell(new Counted(add.name(),
              total == Double.NEGATIVE_INFINITY ? Status.UNREACHABLE : Double.isNaN(total) ? Status.TIMED_OUT
                  : Status.OK, Math.max(0, total), 2)));
        } else if (a instanceof Send s) {
          double units = out.get(s.request());
          firmOf.get(s.request()).sent(now, units);
          later(now + 20 + 40 * random.nextDouble(), () -> tell(new Outcome(s.request(), 0, s.backend(),
              Status.OK, 40, true, units, null)));
        } else if (a instanceof Refuse r) {
          refused(r.request());
        } else if (a instanceof Fail f) {
          refused(f.request());
        } else if (a instanceof WakeAt w) {
          later(Math.max(now, w.atMs()), () -> tell(new Woken(w.label())));
        }
      }
    }

    /** NaN: no answer in time; negative infinity: none could be reached, so nothing was added. */
    private void call(String name, double amount, double ttl, DoubleConsumer end) {
      double sentAt = now;
      boolean[] ended = new boolean[1];
      int mine = life;
      double there = slow ? 5 + 60 * random.nextDouble() : 0.5 + random.nextDouble();
      calls++;
      CounterWorld.this.at(now + there, () -> {
        if (away) {
          end(ended, mine, end, Double.NEGATIVE_INFINITY);
          return;
        }
        double total = counter.add(name, amount, ttl, now);
        if (!mute) {
          CounterWorld.this.at(now + 0.5, () -> end(ended, mine, end, total));
        }
      });
      CounterWorld.this.at(sentAt + LIMIT_MS, () -> end(ended, mine, end, Double.NaN));
    }

    private void end(boolean[] ended, int mine, DoubleConsumer end, double total) {
      if (!ended[0] && mine == life) {
        ended[0] = true;
        end.accept(total);
      }
    }

    void watch(WatchEvent e) {
      if (!watched) {
        return;
      }
      for (WatchAction a : watch.on(now, e)) {
        if (a instanceof WatchAction.Check c) {
          call(c.name(), c.amount(), c.ttlMs(), total -> watch(new WatchEvent.CheckEnded(c.number(),
              total == Double.NEGATIVE_INFINITY ? Double.NaN : total)));
        } else if (a instanceof WatchAction.Replaced r) {
          tell(new CounterReplaced(r.lostSinceMs()));
        } else if (a instanceof WatchAction.WakeAt w) {
          later(Math.max(now + 0.01, w.atMs()), () -> watch(new WatchEvent.Woken()));
        }
      }
    }

    CeilingShare rights(RightsEvent e) {
      CeilingShare share = null;
      for (RightsAction a : rights.on(now, e)) {
        if (a instanceof RightsAction.Share s) {
          share = new CeilingShare(s.share(), s.untilMs(), s.shareAfter());
        } else if (a instanceof RightsAction.Call c) {
          call(c.name(), c.amount(), c.ttlMs(), total -> rights(new RightsEvent.CallEnded(c.name(),
              total == Double.NEGATIVE_INFINITY ? Double.NaN : total)));
        } else if (a instanceof RightsAction.WakeAt w) {
          later(w.atMs(), () -> rights(new RightsEvent.Woken()));
        }
      }
      return share;
    }
  }

  final List<Firm> firms = new ArrayList<>();
  private final boolean watched;
  private final boolean divided;
  private final SplittableRandom random;
  private final PriorityQueue<Ev> events = new PriorityQueue<>(Comparator.comparingDouble(Ev::at)
      .thenComparingLong(Ev::order));
  private final Door[] doors;
  private final Map<String, Double> out = new HashMap<>();
  private final Map<String, Firm> firmOf = new HashMap<>();
  private final Map<String, Boolean> half = new HashMap<>();
  private final Map<String, Boolean> blind = new HashMap<>();
  private final ArrayDeque<Counter> copies = new ArrayDeque<>();
  private Counter main = new Counter();
  private double now = BEGIN;
  private long order;
  private int next;
  long calls;

  /**
   * A fleet that has just started, each door of it more than an era ago.
   *
   * @param watched doors notice that a counter was replaced
   * @param divided ceilings are divided among the doors, not counted together
   */
  CounterWorld(int doorCount, List<Traffic> traffic, boolean watched, boolean divided, long seed) {
    this.watched = watched;
    this.divided = divided;
    random = new SplittableRandom(seed);
    doors = new Door[doorCount];
    for (int i = 0; i < doorCount; i++) {
      doors[i] = new Door(i);
      doors[i].counter = main;
    }
    for (Door d : doors) {
      d.start();
    }
    for (Traffic t : traffic) {
      firms.add(new Firm(1_000 + 7L * firms.size() + seed % 1_000, t));
    }
  }

  static Settings settings(int doorCount, int self) {
    return new Settings(doorCount, self, "a", MOST_UNITS, 0, false,
        List.of(new RequestClass("safe", 1, 0, 1000, 4000, Repeat.SAFE, Group.ALL, 0, false)),
        List.of(BASIC, FULL), new Capabilities(true, LIMIT_MS, true, false, 4, 100_000, true, 2000, false),
        new Rules(8, 0.2, 10_000, 3, 2000));
  }

  private void at(double when, Runnable what) {
    events.add(new Ev(when, order++, what));
  }

  private void refused(String id) {
    Firm f = firmOf.get(id);
    f.refused++;
    f.refusedHalf += half.get(id) ? 1 : 0;
    Boolean entitled = blind.get(id);
    f.refusedBlind += entitled != null && entitled ? 1 : 0;
  }

  /** How long after the first request the first firm's window ends next, counted from a moment. */
  double edgeAfter(double warmMs, double afterMs) {
    double windowMs = 25_000;
    double phase = Math.floorMod(firms.get(0).number * 0x9E3779B97F4A7C15L, (long) windowMs);
    double at = BEGIN + warmMs + afterMs;
    return afterMs + windowMs - (at + phase) % windowMs;
  }

  /** Plays so long, with those troubles counted from the first request on; earlier nothing is asked. */
  CounterWorld play(double warmMs, double forMs, List<Fault> faults) {
    double from = BEGIN + warmMs;
    for (Firm f : firms) {
      f.at = from;
      arrive(f, from, from + forMs);
    }
    for (double t = from; t < from + forMs; t += 1_000) {
      at(t, () -> {
        copies.add(main.copy());
        if (copies.size() > 6) {
          copies.poll();
        }
      });
    }
    for (Fault fault : faults) {
      begin(fault, from);
    }
    while (!events.isEmpty() && events.peek().at() <= from + forMs + 3_000) {
      Ev e = events.poll();
      now = Math.max(now, e.at());
      e.what().run();
    }
    return this;
  }

  private void arrive(Firm f, double from, double until) {
    Traffic t = f.traffic;
    double meanUnits = (1 + MOST_UNITS) / 2;
    double gap = -Math.log(1 - random.nextDouble()) * 1000 * meanUnits / (t.times() * t.plan().rate());
    double when = from + gap;
    if (when > until) {
      return;
    }
    at(when, () -> {
      ask(f);
      arrive(f, when, until);
    });
  }

  private void ask(Firm f) {
    Traffic t = f.traffic;
    if (f.weights == null || now >= f.movesAt) {
      f.weights = new double[t.spread()];
      double sum = 0;
      for (int i = 0; i < t.spread(); i++) {
        f.weights[i] = Math.pow(random.nextDouble(), 3) + 0.001;
        sum += f.weights[i];
      }
      for (int i = 0; i < t.spread(); i++) {
        f.weights[i] /= sum;
      }
      f.movesAt = now + 9_000 + 14_000 * random.nextDouble();
    }
    double draw = random.nextDouble();
    int place = 0;
    while (place < t.spread() - 1 && draw >= f.weights[place]) {
      draw -= f.weights[place++];
    }
    Door d = doors[(t.first() + place) % doors.length];
    double units = 1 + random.nextInt((int) MOST_UNITS);
    String id = "r" + next++;
    out.put(id, units);
    firmOf.put(id, f);
    f.asked++;
    boolean entitled = f.halfUnused(now, units);
    half.put(id, entitled);
    f.askedHalf += entitled ? 1 : 0;
    if (d.away || d.mute) {
      blind.put(id, entitled);
      f.askedBlind += entitled ? 1 : 0;
    }
    Request r = new Request(id, "safe", t.plan().name(), f.number, t.spread(), units, now + 4000, place,
        null);
    if (divided && t.plan().ceilingRate() > 0) {
      r = r.withCeilingShare(d
          .rights(new RightsEvent.Requested(f.number, t.spread(), place, t.plan().ceilingRate(),
          t.plan().ceilingBurst(), MOST_UNITS, units)));
    }
    d.tell(r);
  }

  private void begin(Fault fault, double from) {
    at(from + fault.atMs(), () -> set(fault, true));
    if (fault.forMs() > 0) {
      at(from + fault.atMs() + fault.forMs(), () -> set(fault, false));
    }
  }

  private List<Door> met(Fault f) {
    List<Door> met = new ArrayList<>();
    for (Door d : doors) {
      if ((f.side() >> (d.number % 62) & 1) == 1) {
        met.add(d);
      }
    }
    return met;
  }

  private void set(Fault f, boolean on) {
    switch (f.what()) {
      case AWAY -> all(d -> {
        d.away = on;
        connected(d, !on);
      });
      case AWAY_FOR_SOME -> met(f).forEach(d -> {
        d.away = on;
        connected(d, !on);
      });
      case EMPTIED -> replace(new Counter());
      case OLD_COPY -> replace(copies.isEmpty() ? new Counter() : copies.peek().copy());
      case SPLIT -> {
        if (on) {
          Counter other = f.forMs() % 2 < 1 ? main.copy() : new Counter();
          met(f).forEach(d -> {
            d.counter = other;
            connected(d, true);
          });
        } else {
          // Whichever side wins: by the seed.
          replace(random.nextBoolean() || met(f).isEmpty() ? main : met(f).get(0).counter);
        }
      }
      case MUTE -> all(d -> d.mute = on);
      case SLOW -> all(d -> d.slow = on);
      case DOOR_STARTS_ANEW -> met(f).forEach(Door::start);
    }
  }

  private void replace(Counter by) {
    main = by;
    all(d -> {
      d.counter = by;
      connected(d, true);
    });
  }

  private static void connected(Door d, boolean up) {
    if (up) {
      d.watch(new WatchEvent.Connected(0));
    }
  }

  private void all(java.util.function.Consumer<Door> what) {
    for (Door d : doors) {
      what.accept(d);
    }
  }
}
