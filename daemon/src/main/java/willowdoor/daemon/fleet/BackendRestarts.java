package willowdoor.daemon.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import willowdoor.agreement.Permit;
import willowdoor.agreement.Permit.Stage;
import willowdoor.agreement.Subject.Kind;
import willowdoor.net.EndpointUpdate;
import willowdoor.steward.link.FleetStatus;
import willowdoor.testkit.BackendPool;
import willowdoor.testkit.EventHistory;
import willowdoor.testkit.StandInBackend;

/**
 * Restarts backends in a release of backends: a backend that the release has taken out, and that no door uses
 * any more, is stopped and started with the version named by its permit. The ledger records the events.
 */
final class BackendRestarts implements AutoCloseable {

  /** A version whose processes crash once they are warm and back in service. */
  static final String CRASHING_VERSION = "b2-faint";
  private static final long POLL_INTERVAL_MS = 50;
  /** Delay after which discovery lists a change. */
  private static final long DISCOVERY_DELAY_MS = 100;
  private static final long DOWNTIME_MS = 300;

  private final ReleaseRun fleet;
  private final Map<String, StandInBackend> backends = new HashMap<>();
  private final Map<String, String> versions = new TreeMap<>();
  private final Map<String, Long> restartedUnder = new HashMap<>();
  private final Set<Long> handledPermits = new HashSet<>();
  private final Thread thread = new Thread(this::run, "restarts");
  private volatile boolean running = true;
  private volatile int maxBackendsOut;

  /** Starts a thread that polls the status of the fleet. */
  BackendRestarts(ReleaseRun fleet) {
    this.fleet = fleet;
    fleet.run().rig().backendPool().all()
        .forEach(b -> backends.put(Long.toHexString(EndpointUpdate.idOf(b.name())), b));
    thread.setDaemon(true);
    thread.start();
  }

  /** The versions with which backends were restarted, by backend name; others are absent. */
  synchronized Map<String, String> versions() {
    return new TreeMap<>(versions);
  }

  /** The highest number of backends that the record showed out at once. */
  int maxBackendsOut() {
    return maxBackendsOut;
  }

  private void run() {
    while (running) {
      FleetStatus s = fleet.stewards().status();
      if (s != null) {
        maxBackendsOut = Math.max(maxBackendsOut, s.backendsOut());
        s.permits().stream().filter(x -> x.subject().kind() == Kind.BACKEND).forEach(this::restartIfOut);
      }
      killCrashingBackends();
      FleetRun.sleep(POLL_INTERVAL_MS);
    }
  }

  private void restartIfOut(Permit permit) {
    StandInBackend backend = backends.get(permit.subject().name());
    if (permit.stage() != Stage.OUT || !handledPermits.add(permit.id())) {
      return;
    }
    EventHistory ledger = fleet.run().rig().eventHistory();
    ledger.addMachineEntry(EventHistory.Kind.PERMITTED, backend.name(), Long.toString(permit.id()));
    ledger.addMachineEntry(EventHistory.Kind.OUT, backend.name(), Long.toString(permit.id()));
    BackendPool park = fleet.run().rig().backendPool();
    park.kill(backend, DISCOVERY_DELAY_MS);
    FleetRun.sleep(DOWNTIME_MS);
    ledger.addMachineEntry(EventHistory.Kind.GIVEN_BACK, backend.name(), Long.toString(permit.id()));
    park.restart(backend, DISCOVERY_DELAY_MS);
    synchronized (this) {
      versions.put(backend.name(), permit.reason());
      restartedUnder.put(permit.subject().name(), permit.id());
    }
  }

  /** Kills backends of the crashing version once their permit has ended. */
  private void killCrashingBackends() {
    FleetStatus s = fleet.stewards().status();
    if (s == null) {
      return;
    }
    synchronized (this) {
      restartedUnder.entrySet().removeIf(e -> {
        StandInBackend backend = backends.get(e.getKey());
        boolean over = s.permits().stream().noneMatch(x -> x.id() == e.getValue());
        if (over && CRASHING_VERSION.equals(versions.get(backend.name()))) {
          fleet.run().rig().backendPool().kill(backend, DISCOVERY_DELAY_MS);
        }
        return over;
      });
    }
  }

  @Override
  public void close() {
    running = false;
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
