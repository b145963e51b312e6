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
 * Who restarts backends in a release of them: what a release has taken out, and every door has let go, is
 * ended and started with the version that its permit names. What is told goes into the ledger.
 */
final class BackendRestarts implements AutoCloseable {

  /** A version whose processes die once they are warm and taken back. */
  static final String CRASHING_VERSION = "b2-faint";
  private static final long POLL_INTERVAL_MS = 50;
  /** Discovery says so late what it sees. */
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

  /** Begins to look. */
  BackendRestarts(ReleaseRun fleet) {
    this.fleet = fleet;
    fleet.run().rig().backendPool().all()
        .forEach(b -> backends.put(Long.toHexString(EndpointUpdate.idOf(b.name())), b));
    thread.setDaemon(true);
    thread.start();
  }

  /** The versions that backends were started with, by their names; those that never were are not in it. */
  synchronized Map<String, String> versions() {
    return new TreeMap<>(versions);
  }

  /** How many backends were seen out at once at the most, by the record. */
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

  /** A faint version's process dies when its step is over. */
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
