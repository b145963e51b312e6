package willowdoor.daemon.life;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.logging.Logger;
import willowdoor.agreement.Command.Backend;
import willowdoor.agreement.Command.Activity;
import willowdoor.daemon.config.DaemonConfig;
import willowdoor.life.InstanceLifecycle.Phase;
import willowdoor.life.LifecycleEvent.FatalError;
import willowdoor.life.LifecycleEvent.BackInService;
import willowdoor.life.LifecycleEvent.OutOfService;
import willowdoor.net.FrontDoor;
import willowdoor.net.EndpointUpdate;
import willowdoor.policy.GatewayApi.BackendEntry;
import willowdoor.rollout.Tally;
import willowdoor.steward.link.DoorLink;

/**
 * Connects a daemon to the agreement of its fleet: reports the state of this instance and its known backends
 * to the stewards, and makes the door carry out what was agreed. The state of the door is read on the door's
 * event loop; the link to the stewards runs on its own thread.
 */
final class Agreement implements AutoCloseable, DoorLink.DoorControl {

  private static final Logger LOG = Logger.getLogger(Agreement.class.getName());
  /** Interval of the check for changes without an event: finished attempts, backends that are warm by now. */
  private static final long POLL_INTERVAL_MS = 50;
  /** Interval of the check whether other processes of this door have ended. */
  private static final long ENDED_PROCESS_CHECK_MS = 500;
  private static final long WAIT_LOG_INTERVAL_MS = 5_000;

  private final FrontDoor door;
  private final EventLoop loop;
  private final Instance instance;
  private final DaemonConfig config;
  private final DoorLink link;
  /** Backends that are being taken out, until the door has no attempt open at them. */
  private final Map<Long, String> drainingBackends = new HashMap<>();
  private final Map<Long, BackendEntry> roster = new HashMap<>();
  private final Set<Long> coldBackends = new HashSet<>();
  private long rosterVersion;
  private boolean rosterChanged;
  private Phase phase = Phase.STARTING;
  private final FileChannel lockFile;
  private final ProcessLocks processLocks;
  /** Processes whose end has been, or is being, reported; used by the lock's thread only. */
  private final Set<String> reportedEnded = new HashSet<>();
  private Set<String> endedAtLastCheck = Set.of();
  /** Whether this process holds the door's lock, so that the process before it has ended. */
  private volatile boolean holdsDoorLock;
  private final RequestTally requestTally;
  private final SuccessorLauncher successors;
  private Tally reportedTally = Tally.NONE;
  /** Null if no management address is configured. */
  private final Management management;

  /**
   * Starts at once. Must not be called on an event loop.
   *
   * @param incarnation the identifier of this process, unique among the processes of this door
   * @param version the version of the program, as releases name it
   */
  Agreement(FrontDoor door, Instance instance, DaemonConfig config, String incarnation, String version)
      throws IOException, InterruptedException {
    this.door = door;
    this.instance = instance;
    this.config = config;
    loop = door.loop();
    DaemonConfig.Agreement settings = config.agreement();
    requestTally = new RequestTally(config.settings().classes());
    successors = new SuccessorLauncher(loop, instance, settings.successor(), config.takeOver().readyLimitMs(),
        this::reportFailedAttempt);
    lockFile = FileChannel.open(Path.of(settings.lockFile()), StandardOpenOption.CREATE,
        StandardOpenOption.READ, StandardOpenOption.WRITE);
    processLocks = new ProcessLocks(Path.of(settings.lockFile()), incarnation);
    long generation = tryLock();
    link = new DoorLink(new DoorLink.Identity(settings.fleet(), config.instance().name(), incarnation,
        config.instance().zone(), settings.weight(), version, startedForAttempt()),
        settings.stewards(), settings.drift(),
        Path.of(settings.lockFile() + ".out"), generation, this);
    management = settings.management() == null ? null : new Management(door, settings.management(),
        config.instance().name(),
        link, () -> phase == Phase.READY || phase == Phase.OUT);
    Thread lockThread = new Thread(() -> watchProcessLocks(generation), "door-lock");
    lockThread.setDaemon(true);
    lockThread.start();
    loop.submit(() -> {
      door.addRosterListener(this::rosterReceived);
      door.setEndListener(requestTally);
      poll();
    }).sync();
  }

  private void reportFailedAttempt(long attempt) {
    link.replacementFailed(attempt);
  }

  /** The attempt of a release for which this process was started; 0 for none. */
  private static long startedForAttempt() {
    String variable = System.getenv(SuccessorLauncher.ATTEMPT_VARIABLE);
    try {
      return variable == null ? 0 : Long.parseLong(variable);
    } catch (NumberFormatException e) {
      LOG.warning(SuccessorLauncher.ATTEMPT_VARIABLE + " is \"" + variable + "\" (expected: a number)");
      return 0;
    }
  }

  /**
   * Waits until this process knows which backends are out. Must not be called on an event loop. A door that
   * has stored this state in its file uses the file. A door without it must not serve yet: it could send
   * requests to a backend of which an operator was told that it is out, while nobody misses a door that has
   * not served before.
   *
   * <p>A process that was started for an attempt ends itself after the time limit for successors if the
   * process that started it has died: an attempt that was halted in the meantime is never confirmed, and no
   * process would be left to start the door again with its previous version.
   */
  void awaitOutStatus() {
    long startNanos = System.nanoTime();
    while (true) {
      try {
        link.takenOutKnown().get(WAIT_LOG_INTERVAL_MS, TimeUnit.MILLISECONDS);
        return;
      } catch (TimeoutException e) {
        long waitedMs = (System.nanoTime() - startNanos) / 1_000_000;
        if (startedForAttempt() > 0 && holdsDoorLock && waitedMs > config.takeOver().readyLimitMs()) {
          instance.post(new FatalError("no steward confirms attempt " + startedForAttempt()
              + ", for which this process was started, and the process that started it is gone;"
              + " the door must be started again"));
          return;
        }
        LOG.warning("not ready: no steward of " + config.agreement().stewards()
            + " has reported yet which backends are out"
            + (startedForAttempt() > 0 ? ", or that attempt " + startedForAttempt() + " is confirmed" : "")
            + ", and no earlier process of this door has stored it");
      } catch (ExecutionException e) {
        throw new IllegalStateException(e);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  /**
   * Waits for the door's lock, which is free once the process that holds it has ended, and then reports other
   * processes that end. Runs on its own thread, because file access blocks.
   */
  private void watchProcessLocks(long initialGeneration) {
    try {
      long generation = initialGeneration;
      while (generation == 0 && lockFile.isOpen()) {
        Thread.sleep(POLL_INTERVAL_MS);
        generation = tryLock();
      }
      holdsDoorLock = generation > 0;
      if (generation > 0 && initialGeneration == 0) {
        link.lockAcquired(generation);
      }
      while (lockFile.isOpen()) {
        reportEndedProcesses();
        Thread.sleep(ENDED_PROCESS_CHECK_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Reports processes that had already ended at the previous check, so that everything that they had written
   * has arrived by now.
   */
  private void reportEndedProcesses() {
    try {
      List<String> endedNow = processLocks.ended();
      for (String incarnation : endedNow) {
        if (endedAtLastCheck.contains(incarnation) && reportedEnded.add(incarnation)) {
          link.reportEnded(incarnation, () -> forgetProcess(incarnation));
        }
      }
      endedAtLastCheck = Set.copyOf(endedNow);
      reportedEnded.retainAll(endedNow);
    } catch (IOException e) {
      LOG.warning("cannot determine which processes of this door have ended: " + e);
    }
  }

  private void forgetProcess(String incarnation) {
    try {
      processLocks.forget(incarnation);
    } catch (IOException e) {
      LOG.warning("cannot remove the file of process " + incarnation + ", which has ended: " + e);
    }
  }

  /** The phase of the instance has changed; called on the door's event loop. */
  void phaseChanged(Phase newPhase) {
    phase = newPhase;
    link.reportState(doing());
  }

  private Activity doing() {
    return switch (phase) {
      case STARTING, WARMING -> Activity.STARTING;
      case READY -> Activity.READY;
      case OUT -> door.hasNoConnections() && door.heldRequests() == 0 ? Activity.EMPTY : Activity.DRAINING;
      case DRAINING, ANSWERING, FAILING -> Activity.DRAINING;
      case STOPPED -> Activity.ENDED;
    };
  }

  private void poll() {
    if (phase == Phase.STOPPED) {
      return;
    }
    if (phase == Phase.OUT) {
      link.reportState(doing());
    }
    drainingBackends.entrySet().removeIf(e -> {
      boolean drained = !door.hasAttemptTo(e.getKey());
      if (drained) {
        link.backendReleased(e.getValue());
      }
      return drained;
    });
    Tally tally = requestTally.tally();
    if (!tally.equals(reportedTally)) {
      reportedTally = tally;
      link.reportTally(tally);
    }
    if (rosterChanged || coldBackends.stream().anyMatch(id -> !isCold(roster.get(id)))) {
      reportRoster();
    }
    loop.schedule(this::poll, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Tries to take the door's lock, which one process of this door holds at a time until it ends.
   *
   * @return the generation of the lock, greater by 1 for each holder; 0 while another process holds the lock,
   *     and after an error
   */
  private long tryLock() {
    try {
      if (lockFile.tryLock() == null) {
        return 0;
      }
      ByteBuffer stored = ByteBuffer.allocate(Long.BYTES);
      long generation = 1 + (lockFile.read(stored, 0) == Long.BYTES ? stored.getLong(0) : 0);
      lockFile.write(ByteBuffer.allocate(Long.BYTES).putLong(0, generation), 0);
      lockFile.force(false);
      return generation;
    } catch (IOException | OverlappingFileLockException e) {
      LOG.warning("the lock file " + config.agreement().lockFile() + ": " + e);
      return 0;
    }
  }

  private void rosterReceived(EndpointUpdate news) {
    if (news.full()) {
      roster.clear();
    }
    for (BackendEntry e : news.entries()) {
      if (e.phase() == willowdoor.policy.GatewayApi.Phase.REMOVED) {
        roster.remove(e.id());
      } else {
        roster.put(e.id(), e);
      }
    }
    rosterVersion = news.version();
    rosterChanged = true;
  }

  private void reportRoster() {
    rosterChanged = false;
    coldBackends.clear();
    List<Backend> backends = new ArrayList<>(roster.size());
    for (BackendEntry e : roster.values()) {
      boolean isCold = isCold(e);
      if (isCold) {
        coldBackends.add(e.id());
      }
      backends.add(new Backend(Long.toHexString(e.id()), e.zone(), e.capacity(),
          !isCold && e.phase() == willowdoor.policy.GatewayApi.Phase.SERVING, e.startedMs()));
    }
    link.reportBackends(rosterVersion, backends);
  }

  private boolean isCold(BackendEntry e) {
    return e != null && e.startedMs() > 0 && door.now() - e.startedMs() < config.settings().rules().coldMs();
  }

  @Override
  public void takeOut(String backend) {
    onDoorLoop(backend, id -> {
      LOG.info("backend " + backend + " is taken out, as agreed");
      door.setAgreedOut(id, true);
      drainingBackends.put(id, backend);
    });
  }

  @Override
  public void putBack(String backend) {
    onDoorLoop(backend, id -> {
      LOG.info("backend " + backend + " is put back, as agreed");
      drainingBackends.remove(id);
      door.setAgreedOut(id, false);
    });
  }

  private void onDoorLoop(String backend, java.util.function.LongConsumer action) {
    loop.execute(() -> {
      try {
        action.accept(Long.parseLong(backend, 16));
      } catch (NumberFormatException e) {
        LOG.warning("\"" + backend + "\" is not a valid backend number");
      }
    });
  }

  @Override
  public void drain() {
    instance.post(new OutOfService());
  }

  @Override
  public void undrain() {
    instance.post(new BackInService());
  }

  @Override
  public void replace(long attempt, String version) {
    LOG.info("attempt " + attempt + " of a release: version " + version
        + " is to replace this instance");
    successors.start(attempt, version);
  }

  /** Tells the stewards that this process ends. Must not be called on the door's event loop. */
  @Override
  public void close() {
    if (management != null) {
      management.close();
    }
    link.close();
    try {
      processLocks.close();
      lockFile.close();
    } catch (IOException e) {
      LOG.warning("the lock file: " + e.getMessage());
    }
  }
}
