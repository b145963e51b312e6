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
 * A daemon's part in what the fleet agrees on: tells the stewards what this instance does and which backends
 * it hears of, and has the door do what was agreed on. What it says of the door it reads on the door's loop;
 * the link has a thread of its own.
 */
final class Agreement implements AutoCloseable, DoorLink.DoorControl {

  private static final Logger LOG = Logger.getLogger(Agreement.class.getName());
  /** How often it looks at what is told by no event: attempts that end, backends that are warm by now. */
  private static final long POLL_INTERVAL_MS = 50;
  /** Between two looks whether another process of this door has ended. */
  private static final long ENDED_PROCESS_CHECK_MS = 500;
  private static final long WAIT_LOG_INTERVAL_MS = 5_000;

  private final FrontDoor door;
  private final EventLoop loop;
  private final Instance instance;
  private final DaemonConfig config;
  private final DoorLink link;
  /** Backends that go out, until no attempt is out at them. */
  private final Map<Long, String> drainingBackends = new HashMap<>();
  private final Map<Long, BackendEntry> roster = new HashMap<>();
  private final Set<Long> coldBackends = new HashSet<>();
  private long rosterVersion;
  private boolean rosterChanged;
  private Phase phase = Phase.STARTING;
  private final FileChannel lockFile;
  private final ProcessLocks processLocks;
  /** Processes whose end has been, or is being, told; of the lock's thread. */
  private final Set<String> reportedEnded = new HashSet<>();
  private Set<String> endedAtLastCheck = Set.of();
  /** Whether this process holds the door's lock. */
  private volatile boolean holdsDoorLock;
  private final RequestTally requestTally;
  private final SuccessorLauncher successors;
  private Tally reportedTally = Tally.NONE;
  /** Null where operators don't call here. */
  private final Management management;

  /**
   * Begins at once; on no loop.
   *
   * @param incarnation which process this is, unlike any other of this door
   * @param version of the program, as releases name it
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
    lockFile = FileChannel
        .open(Path.of(settings.lockFile()), StandardOpenOption.CREATE, StandardOpenOption.READ,
        StandardOpenOption.WRITE);
    processLocks = new ProcessLocks(Path.of(settings.lockFile()), incarnation);
    long generation = tryLock();
    link = new DoorLink(new DoorLink.Identity(settings.fleet(), config.instance().name(), incarnation,
        config.instance().zone(), settings.weight(), version, startedForAttempt()), settings.stewards(),
        settings.drift(),
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
      rosterReceived(config.backends().configured());
      poll();
    }).sync();
  }

  private void reportFailedAttempt(long attempt) {
    link.replacementFailed(attempt);
  }

  /** Which attempt of a release this process was started for; 0 for none. */
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
   * Waits until it is known which backends are out; not for a loop. A door that has a file of it goes on by
   * that. One that was never told has sent nothing yet that anybody would
   * miss, and would send to what an operator was told is out.
   *
   * <p>A process that was started for an attempt, whose starter has died, ends after the limit for
   * successors: an attempt that was halted meanwhile is never said to stand, and nobody would be left who
   * starts the door anew with the version that it had.
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
          instance.post(
              new FatalError("nobody says that attempt " + startedForAttempt()
              + " stands, for which this process"
              + " was started, and the process that started it is gone: the door is to be started anew"));
          return;
        }
        LOG.warning("not ready: no steward of " + config.agreement().stewards() + " has told yet which"
            + " backends are out"
            + (startedForAttempt() > 0 ? ", or that attempt " + startedForAttempt() + " stands" : "")
            + ", and no process of this door before this one has kept it");
      } catch (ExecutionException e) {
        throw new IllegalStateException(e);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  /**
   * Tries until the process that holds the lock has ended, and then vouches for others that end; on a thread
   * of its own, as it is file work.
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

  /** Of those that had ended at the look before as well: what they had written is there by now. */
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
      LOG.warning("which processes of this door have ended can't be seen: " + e);
    }
  }

  private void forgetProcess(String incarnation) {
    try {
      processLocks.forget(incarnation);
    } catch (IOException e) {
      LOG.warning("the file of process " + incarnation + ", which has ended, stays: " + e);
    }
  }

  /** What the instance has come to; on the door's loop. */
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

  /** The lock is held by one process of this door at a time, until that has ended; 0 while by another. */
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
      LOG.info("backend " + backend + " goes out, as agreed");
      door.setAgreedOut(id, true);
      drainingBackends.put(id, backend);
    });
  }

  @Override
  public void putBack(String backend) {
    onDoorLoop(backend, id -> {
      LOG.info("backend " + backend + " is back, as agreed");
      drainingBackends.remove(id);
      door.setAgreedOut(id, false);
    });
  }

  private void onDoorLoop(String backend, java.util.function.LongConsumer action) {
    loop.execute(() -> {
      try {
        action.accept(Long.parseLong(backend, 16));
      } catch (NumberFormatException e) {
        LOG.warning("\"" + backend + "\" is no backend that a door can know");
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
    LOG.info("attempt " + attempt + " of a release: version " + version + " is to take this one's place");
    successors.start(attempt, version);
  }

  /** Says that this process has ended; not for the door's loop. */
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
