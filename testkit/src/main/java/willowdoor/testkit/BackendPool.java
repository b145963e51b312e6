package willowdoor.testkit;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import willowdoor.testkit.StandInDiscovery.Listed;

/**
 * All backends of a run, what they remember together (the keys whose repeats they drop), and their place in
 * discovery's list. A change reaches the list late, as the roll sees it.
 */
public final class BackendPool {

  /**
   * Keys remembered at the most; the oldest go first, and a run that comes so far is too large for the rig.
   */
  private static final int MAX_KEYS = 500_000;

  /** How the backends of a park are made: work a request between the two, in milliseconds on one core. */
  public record BackendSpec(int backends, int cores, int queue, double minWorkMs, double maxWorkMs) {

    /** The shape that the judge goes by. */
    public InvariantChecker.BackendCapacity capacity() {
      return new InvariantChecker.BackendCapacity(cores, (minWorkMs + maxWorkMs) / 2);
    }
  }

  private final EventLoopGroup group;
  private final EventHistory eventHistory;
  private final RunSettings runSettings;
  private final StandInDiscovery discovery;
  private final BackendSpec spec;
  private final Random random;
  private final Map<String, Double> keys = new HashMap<>();
  private final List<StandInBackend> backends = new ArrayList<>();
  private boolean exactUnits;

  /** Starts the backends, half of them in each of two zones, all warm, and lists them. */
  public BackendPool(EventLoopGroup group, EventHistory eventHistory, RunSettings runSettings,
      StandInDiscovery discovery,
      BackendSpec spec,
      long seed) {
    this.group = group;
    this.eventHistory = eventHistory;
    this.runSettings = runSettings;
    this.discovery = discovery;
    this.spec = spec;
    this.random = new Random(seed);
    for (int i = 0; i < spec.backends(); i++) {
      StandInBackend b = new StandInBackend("b" + i, i % 2 == 0 ? "a" : "b", group.next(), this);
      backends.add(b);
      b.listen(false);
      publish(b, "active", 0);
    }
  }

  /** From here on requests cost what they name. */
  public synchronized void chargeNamedUnits() {
    exactUnits = true;
  }

  EventHistory eventHistory() {
    return eventHistory;
  }

  RunSettings runSettings() {
    return runSettings;
  }

  BackendSpec spec() {
    return spec;
  }

  EventLoopGroup group() {
    return group;
  }

  public List<StandInBackend> all() {
    return List.copyOf(backends);
  }

  public StandInBackend backend(int number) {
    return backends.get(number);
  }

  /** Work of one request, in milliseconds on one core. */
  synchronized double drawWorkMs() {
    return spec.minWorkMs() + random.nextDouble() * (spec.maxWorkMs() - spec.minWorkMs());
  }

  /** The true units of a request that names so many. */
  synchronized int trueUnits(int named) {
    if (exactUnits) {
      return named;
    }
    return Math.max(1, Math.min(RunSettings.MAX_UNITS, named + random.nextInt(3) - 1));
  }

  /** Remembers a key from the moment its effect runs; false when it is remembered already: a repeat. */
  synchronized boolean rememberIfNew(String key) {
    double nowMs = eventHistory.now();
    if (keys.size() >= MAX_KEYS) {
      keys.values().removeIf(at -> nowMs - at > runSettings.keyWindowMs());
    }
    Double lastMs = keys.get(key);
    if (lastMs != null && nowMs - lastMs <= runSettings.keyWindowMs()) {
      return false;
    }
    keys.put(key, nowMs);
    return true;
  }

  private void publish(StandInBackend backend, String state, long startedMs) {
    discovery.publish(new Listed(backend.name(), backend.address(), backend.zone(), state, startedMs));
  }

  /** Tells the list that it drains; it finishes what it has, and goes on answering what still comes. */
  public void drain(StandInBackend backend) {
    publish(backend, "leaving", 0);
  }

  /** Tells the list that it serves again, as it did before. */
  public void undrain(StandInBackend backend) {
    publish(backend, "active", 0);
  }

  /** Kills its process; the list says so the given time later. */
  public void kill(StandInBackend backend, long noticeMs) {
    backend.kill();
    group.next().schedule(() -> {
      if (!backend.isAlive()) {
        discovery.publish(new Listed(backend.name(), backend.address(), backend.zone(), "left", 0));
      }
    }, noticeMs, TimeUnit.MILLISECONDS);
  }

  /** Starts it again, cold; the list says so the given time later. */
  public void restart(StandInBackend backend, long noticeMs) {
    long startedMs = System.currentTimeMillis();
    backend.listen(true);
    group.next().schedule(() -> {
      if (backend.isAlive()) {
        publish(backend, "active", startedMs);
      }
    }, noticeMs, TimeUnit.MILLISECONDS);
  }

  /** Kills all backends of a zone at once. */
  public void killZone(String zone, long noticeMs) {
    backends.stream().filter(b -> b.zone().equals(zone) && b.isAlive()).forEach(b -> kill(b, noticeMs));
  }

  /** Brings a zone's backends back, cold. */
  public void restartZone(String zone, long noticeMs) {
    backends.stream().filter(b -> b.zone().equals(zone) && !b.isAlive()).forEach(b -> restart(b, noticeMs));
  }

  /** Where all backends listen, by name. */
  public Map<String, InetSocketAddress> addresses() {
    Map<String, InetSocketAddress> all = new HashMap<>();
    backends.forEach(b -> all.put(b.name(), b.address()));
    return all;
  }
}
