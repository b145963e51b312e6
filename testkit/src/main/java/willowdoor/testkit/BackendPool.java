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
 * All backends of a run, the idempotency keys that they remember together, and their entries in discovery.
 * Kills and restarts reach discovery after a delay.
 */
public final class BackendPool {

  /**
   * Number of remembered keys at which expired ones are removed; a run that reaches it is too large for this
   * environment.
   */
  private static final int MAX_KEYS = 500_000;

  /**
   * Shape of the backends of a pool. The work of a request is drawn between the two bounds, in milliseconds
   * on one core.
   *
   * @param queue requests that may wait at each backend
   */
  public record BackendSpec(int backends, int cores, int queue, double minWorkMs, double maxWorkMs) {

    /** The capacity that {@link InvariantChecker} assumes. */
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

  /** Starts the backends, half of them in each of two zones, all warm, and publishes them. */
  public BackendPool(EventLoopGroup group, EventHistory eventHistory, RunSettings runSettings,
      StandInDiscovery discovery, BackendSpec spec,
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

  /** From now on requests cost exactly the units that they name. */
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

  /** Draws the work of one request, in milliseconds on one core. */
  synchronized double drawWorkMs() {
    return spec.minWorkMs() + random.nextDouble() * (spec.maxWorkMs() - spec.minWorkMs());
  }

  /** Draws the units that a request actually costs, given the units that it names. */
  synchronized int trueUnits(int named) {
    if (exactUnits) {
      return named;
    }
    return Math.max(1, Math.min(RunSettings.MAX_UNITS, named + random.nextInt(3) - 1));
  }

  /**
   * Remembers a key from the moment its effect runs; returns false when the key is remembered already, for a
   * repeat.
   */
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

  /** Publishes that a backend is draining; the backend finishes its work and still answers new requests. */
  public void drain(StandInBackend backend) {
    publish(backend, "leaving", 0);
  }

  /** Publishes that a drained backend serves again, as it did before. */
  public void undrain(StandInBackend backend) {
    publish(backend, "active", 0);
  }

  /** Kills a backend; discovery reports it after the given delay. */
  public void kill(StandInBackend backend, long noticeMs) {
    backend.kill();
    group.next().schedule(() -> {
      if (!backend.isAlive()) {
        discovery.publish(new Listed(backend.name(), backend.address(), backend.zone(), "left", 0));
      }
    }, noticeMs, TimeUnit.MILLISECONDS);
  }

  /** Restarts a backend, cold; discovery reports it after the given delay. */
  public void restart(StandInBackend backend, long noticeMs) {
    long startedMs = System.currentTimeMillis();
    backend.listen(true);
    group.next().schedule(() -> {
      if (backend.isAlive()) {
        publish(backend, "active", startedMs);
      }
    }, noticeMs, TimeUnit.MILLISECONDS);
  }

  /** Kills all backends of a zone at the same time. */
  public void killZone(String zone, long noticeMs) {
    backends.stream().filter(b -> b.zone().equals(zone) && b.isAlive()).forEach(b -> kill(b, noticeMs));
  }

  /** Restarts all backends of a zone that are down, cold. */
  public void restartZone(String zone, long noticeMs) {
    backends.stream().filter(b -> b.zone().equals(zone) && !b.isAlive()).forEach(b -> restart(b, noticeMs));
  }

  /** Addresses of all backends, by name. */
  public Map<String, InetSocketAddress> addresses() {
    Map<String, InetSocketAddress> all = new HashMap<>();
    backends.forEach(b -> all.put(b.name(), b.address()));
    return all;
  }
}
