package willowdoor.emulator.fair;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import org.HdrHistogram.Histogram;
import willowdoor.emulator.SimClock;
import willowdoor.fairness.FairAction;
import willowdoor.fairness.FairAction.Advise;
import willowdoor.fairness.FairAction.Refuse;
import willowdoor.fairness.FairAction.Release;
import willowdoor.fairness.FairAction.WakeAt;
import willowdoor.fairness.FairAction.RefusalReason;
import willowdoor.fairness.FairCounts;
import willowdoor.fairness.FairEvent;
import willowdoor.fairness.FairEvent.Arrived;
import willowdoor.fairness.FairEvent.Ended;
import willowdoor.fairness.FairEvent.Refusing;
import willowdoor.fairness.FairEvent.Result;
import willowdoor.fairness.FairEvent.FirmShare;
import willowdoor.fairness.FairEvent.Woken;
import willowdoor.fairness.FairQueue;
import willowdoor.fairness.FairSettings;

/**
 * Simulates, in simulated time and from one seed, firms and their clients, doors that each have a real
 * {@link FairQueue}, nodes, and a shared quota bucket for each firm that stands in for the policy.
 */
public final class FairQueueSimulation {

  /** How clients follow the advised retry time. */
  public enum RetryBehaviour { OBEY, EARLY, LATE, NEVER, SAME_MOMENT, OTHER_DOOR }

  /** Whether requests wait in the fair queue, or go to the nodes in order of arrival and wait there. */
  public enum Order { FAIR, FIRST_COME }

  /**
   * One firm's load.
   *
   * @param perSecond rate of new requests, as a Poisson process; retries are additional
   * @param clients number of clients; each request is from a random one
   * @param doors number of doors used, from the first on
   * @param units cost of a request
   * @param workFactor ratio of the actual work of a request to the work that its units stand for
   */
  public record Load(long firm, String plan, double perSecond, int clients, int doors, double units,
      double workFactor, RetryBehaviour retryBehaviour) { }

  /** Counts of the outcomes of one firm's requests. */
  public static final class Tally {
    public long asked;
    public long inTime;
    public long tooLate;
    public long refused;
    public long failed;
    public double unitsServed;
    /** Retries made at the promised time; honoured counts those that were admitted within a second. */
    public long returned;
    public long honoured;
    /** Queueing times of admitted requests, in microseconds. */
    public final Histogram waits = new Histogram(60_000_000L, 3);
    /** Times from an arrival to its answer, of answered requests, in microseconds. */
    public final Histogram answered = new Histogram(60_000_000L, 3);

    /** Share of distinct requests that were answered in time; 1 if there were none. */
    public double service() {
      return asked == 0 ? 1 : (double) inTime / asked;
    }
  }

  /** One attempt of a request. */
  private final class Attempt {
    final Load load;
    final String id;
    final long client;
    final Door door;
    final double units;
    final double arrivedMs = clock.now();
    final double usefulUntilMs;
    /** Whether the attempt arrived at the time that its client was promised. */
    final boolean promised;
    final int retries;

    Attempt(Load load, String id, long client, Door door, boolean promised, int retries) {
      this.load = load;
      this.id = id;
      this.client = client;
      this.door = door;
      this.promised = promised;
      this.retries = retries;
      usefulUntilMs = clock.now() + aimMs;
      units = load.units() * (unitsVary ? Math.max(0.1, Math.min(4, -Math.log(1 - random.nextDouble()))) : 1);
    }
  }

  /** A door: its queue, its open attempts and the latest timer that its queue requested. */
  private final class Door {
    final FairQueue queue;
    final Map<String, Attempt> attempts = new HashMap<>();
    /** Units granted to each firm; halved whenever the total of all doors exceeds 1,000. */
    final Map<Long, Double> granted = new HashMap<>();
    double usageReportedMs = Double.NEGATIVE_INFINITY;
    double wakeAtMs = Double.POSITIVE_INFINITY;

    Door(FairSettings settings) {
      queue = new FairQueue(settings);
    }

    /** This door's share of a firm's granted units; an equal share if the counter is unavailable. */
    double usageShare(long firm, int entryPoints) {
      double all = doors.stream().mapToDouble(d -> d.granted.getOrDefault(firm, 0.0)).sum();
      if (all > 1_000) {
        doors.forEach(d -> d.granted.computeIfPresent(firm, (f, units) -> units / 2));
      }
      return counterUnavailable || all <= 0 ? 1.0 / entryPoints : granted.getOrDefault(firm, 0.0) / all;
    }

    void dispatch(FairEvent event) {
      for (FairAction a : queue.on(clock.now(), event)) {
        if (a instanceof Release r) {
          admit(this, attempts.get(r.id()), r.waitedMs());
        } else if (a instanceof Refuse r) {
          Attempt t = attempts.remove(r.id());
          if (r.reason() == RefusalReason.SPENT && clock.now() - usageReportedMs >= 20) {
            usageReportedMs = clock.now();
            dispatch(new FirmShare(t.load.firm(), usageShare(t.load.firm(), t.load.doors())));
          }
          onRefused(t, r.comeBackMs());
        } else if (a instanceof Advise d) {
          Attempt t = attempts.remove(d.id());
          dispatch(new Ended(t.id, Result.SPENT, 0));
          onRefused(t, d.comeBackMs());
        } else if (a instanceof WakeAt w) {
          wakeAtMs = w.atMs();
          clock.after(w.atMs() - clock.now(), () -> {
            if (wakeAtMs <= clock.now()) {
              wakeAtMs = Double.POSITIVE_INFINITY;
              dispatch(new Woken());
            }
          });
        }
      }
    }
  }

  private final class Bucket {
    double level;
    double updatedMs;

    boolean take(double rate, double burst, double units) {
      if (rate <= 0) {
        return true;
      }
      level = updatedMs == 0 ? burst : Math.min(burst, level + rate * (clock.now() - updatedMs) / 1000);
      updatedMs = Math.max(1e-9, clock.now());
      if (level < units) {
        return false;
      }
      level -= units;
      return true;
    }
  }

  private final SimClock clock = new SimClock();
  private final SplittableRandom random;
  private final FairSettings settings;
  private final Order order;
  private final double aimMs;
  private final double msPerUnit;
  private final List<Door> doors = new ArrayList<>();
  private final NodePool nodes;
  private final Map<Long, Bucket> buckets = new HashMap<>();
  private final Map<Long, Tally> tallies = new HashMap<>();
  private BiConsumer<Long, Double> onReleased = (firm, units) -> { };
  private long nextRequestNumber;
  private double endMs;
  private int runNumber;
  /** Promised retry times that are still pending, by firm, client and door. */
  private final Map<String, ArrayDeque<Double>> promisedTimes = new HashMap<>();
  private boolean counterUnavailable;
  private boolean unitsVary;

  /**
   * Creates a simulation.
   *
   * @param aimMs target time for an answer, from the arrival of an attempt
   * @param msPerUnit mean work of a unit; the work of each request varies by up to 50% at random
   */
  public FairQueueSimulation(long seed, FairSettings settings, Order order, int doorCount, int nodeCount,
      int workers,
      double msPerUnit, double aimMs) {
    random = new SplittableRandom(seed);
    this.settings = settings;
    this.order = order;
    this.msPerUnit = msPerUnit;
    this.aimMs = aimMs;
    nodes = new NodePool(clock, nodeCount, workers);
    for (int i = 0; i < doorCount; i++) {
      doors.add(new Door(settings));
    }
  }

  public SimClock clock() {
    return clock;
  }

  /** Counts of a firm's requests so far. */
  public Tally tallyOf(long firm) {
    return tallies.computeIfAbsent(firm, f -> new Tally());
  }

  /** The counts of a door's queue. */
  public FairCounts counts(int door) {
    return doors.get(door).queue.counts();
  }

  /** Sets the callback for each request that goes to the nodes; it gets the firm and the units. */
  public void onReleased(BiConsumer<Long, Double> to) {
    onReleased = to;
  }

  /** Makes each door use an equal part of each quota, as the policy does when the counter is unavailable. */
  public void setCounterUnavailable(boolean unavailable) {
    counterUnavailable = unavailable;
  }

  /** Makes the units of requests vary: exponentially around the load's, limited to a tenth to four times. */
  public void varyUnits() {
    unitsVary = true;
  }

  void pause(double ms) {
    nodes.pause(ms);
  }

  void slow(double times) {
    nodes.slow(t -> times);
  }

  void kill(int count) {
    nodes.kill(count);
  }

  void revive() {
    nodes.revive();
  }

  void tell(int door, FairEvent event) {
    doors.get(door).dispatch(event);
  }

  /** Runs the simulation under the given loads for the given time. */
  public void run(List<Load> loads, double forMs) {
    endMs = clock.now() + forMs;
    int own = ++runNumber;
    loads.forEach(l -> scheduleArrival(l, own));
    clock.runUntil(endMs);
  }

  /** Runs the simulation without new requests; retries continue. */
  public void runWithoutLoad(double forMs) {
    clock.runUntil(clock.now() + forMs);
  }

  private void scheduleArrival(Load load, int arrivalRun) {
    double wait = -Math.log(1 - random.nextDouble()) * 1000 / load.perSecond();
    clock.after(wait, () -> {
      if (clock.now() < endMs && arrivalRun == runNumber) {
        tallyOf(load.firm()).asked++;
        arrive(load, random.nextInt(load.clients()) + 1, random.nextInt(load.doors()), 0);
        scheduleArrival(load, arrivalRun);
      }
    });
  }

  /** Handles an arrival; a client's first one within a second of a promised time uses up that promise. */
  private void arrive(Load load, long client, int doorIndex, int retries) {
    Door door = doors.get(doorIndex);
    ArrayDeque<Double> times = promisedTimes.getOrDefault(load.firm() + " " + client + " " + doorIndex,
        new ArrayDeque<>());
    while (!times.isEmpty() && times.peek() < clock.now() - 1_000) {
      times.poll();
    }
    boolean inTime = !times.isEmpty() && times.peek() <= clock.now() + 10;
    if (inTime) {
      times.poll();
      tallyOf(load.firm()).returned++;
    }
    Attempt t = new Attempt(load, "r" + nextRequestNumber++, client, door, inTime, retries);
    if (order != Order.FAIR) {
      admit(door, t, 0);
      return;
    }
    door.attempts.put(t.id, t);
    door.dispatch(new Arrived(t.id, "c", load.plan(), load.firm(), client, load.doors(), t.units, 200,
        t.usefulUntilMs, aimMs));
  }

  private void admit(Door door, Attempt t, double waited) {
    FairSettings.PlanSettings plan = settings.plans().getOrDefault(t.load.plan(), settings.otherPlans());
    long bucket = counterUnavailable ? t.load.firm() * 1_000 + doors.indexOf(door) : t.load.firm();
    double part = counterUnavailable ? 1.0 / t.load.doors() : 1;
    boolean room = buckets.computeIfAbsent(bucket, f -> new Bucket())
        .take(plan.rate() * part, plan.burst() * part, t.units);
    if (!room) {
      double holdOff = t.units / plan.rate() * 1000;
      if (order == Order.FAIR) {
        door.dispatch(new FirmShare(t.load.firm(), door.usageShare(t.load.firm(), t.load.doors())));
        door.dispatch(new Refusing(t.id, true, holdOff));
      } else {
        onRefused(t, holdOff);
      }
      return;
    }
    onReleased.accept(t.load.firm(), t.units);
    door.granted.merge(t.load.firm(), t.units, Double::sum);
    Tally tally = tallyOf(t.load.firm());
    tally.waits.recordValue(Math.min(60_000_000L, (long) (waited * 1000)));
    tally.honoured += t.promised && waited <= 1_000 ? 1 : 0;
    double work = t.units * msPerUnit * t.load.workFactor() * (0.5 + random.nextDouble());
    nodes.run(work, ok -> onNodeResult(door, t, ok));
  }

  private void onNodeResult(Door door, Attempt t, boolean ok) {
    Tally tally = tallyOf(t.load.firm());
    boolean inTime = ok && clock.now() <= t.usefulUntilMs;
    tally.inTime += inTime ? 1 : 0;
    tally.tooLate += ok && !inTime ? 1 : 0;
    tally.failed += ok ? 0 : 1;
    tally.unitsServed += ok ? t.units : 0;
    if (ok) {
      tally.answered.recordValue(Math.min(60_000_000L, (long) ((clock.now() - t.arrivedMs) * 1_000)));
    }
    if (order == Order.FAIR && door.attempts.remove(t.id) != null) {
      door.dispatch(new Ended(t.id, ok ? Result.SERVED : Result.FAILED, 0));
    }
  }

  private void onRefused(Attempt t, double comeBackMs) {
    tallyOf(t.load.firm()).refused++;
    if (comeBackMs > 0) {
      promisedTimes.computeIfAbsent(t.load.firm() + " " + t.client + " " + doors.indexOf(t.door), k ->
          new ArrayDeque<>())
          .add(clock.now() + comeBackMs);
    }
    if (comeBackMs <= 0 || t.retries >= 5 || t.load.retryBehaviour() == RetryBehaviour.NEVER) {
      return;
    }
    int doorIndex = doors.indexOf(t.door);
    double jitter = random.nextDouble() * 500;
    switch (t.load.retryBehaviour()) {
      case EARLY -> clock.after(comeBackMs * 0.3, () -> arrive(t.load, t.client, doorIndex, t.retries + 1));
      case LATE -> clock.after(comeBackMs + 3_000, () -> arrive(t.load, t.client, doorIndex, t.retries + 1));
      case SAME_MOMENT -> clock.after(Math.ceil((clock.now() + comeBackMs) / 1_000) * 1_000 - clock.now(),
          () -> arrive(t.load, t.client, doorIndex, t.retries + 1));
      case OTHER_DOOR -> clock.after(comeBackMs + jitter,
          () -> arrive(t.load, t.client, (doorIndex + 1) % doors.size(), t.retries + 1));
      default -> clock.after(comeBackMs + jitter,
          () -> arrive(t.load, t.client, doorIndex, t.retries + 1));
    }
  }
}
