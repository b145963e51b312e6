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
final class Agreement implements AutoCloseable, DoorLink.Hands {

  private static final Logger LOG = Logger.getLogger(Agreement.class.getName());
  /** How often it looks at what is told by no event: attempts that end, backends that are warm by now. */
  private static final long LOOK_MS = 50;
  /** Between two looks whether another process of this door has ended. */
  private static final long VOUCH_MS = 500;
  private static final long SAY_SO_MS = 5_000;

  private final FrontDoor door;
  private final EventLoop loop;
  private final Instance instance;
  private final DaemonConfig config;
  private final DoorLink link;
  /** Backends that go out, until no attempt is out at them. */
  private final Map<Long, String> leaving = new HashMap<>();
  private final Map<Long, BackendEntry> listed = new HashMap<>();
  private final Set<Long> cold = new HashSet<>();
  private long version;
  private boolean dirty;
  private Phase phase = Phase.STARTING;
  private final FileChannel lockFile;
  private final ProcessLocks locks;
  /** Processes whose end has been, or is being, told; of the lock's thread. */
  private final Set<String> vouched = new HashSet<>();
  private Set<String> endedBefore = Set.of();
  /** Whether this process holds the door's lock. */
  private volatile boolean alone;
  private final Figures figures;
  private final Successors successors;
  private Tally told = Tally.NONE;
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
    DaemonConfig.Agreement a = config.agreement();
    figures = new Figures(config.settings().classes());
    successors = new Successors(loop, instance, a.successor(), config.takeOver().readyLimitMs(),
        this::cameToNothing);
    lockFile = FileChannel.open(Path.of(a.lockFile()), StandardOpenOption.CREATE, StandardOpenOption.READ,
        StandardOpenOption.WRITE);
    locks = new ProcessLocks(Path.of(a.lockFile()), incarnation);
    long generation = tried();
    link = new DoorLink(new DoorLink.Self(a.fleet(), config.instance().name(), incarnation,
        config.instance().zone(), a.weight(), version, attempt()), a.stewards(), a.drift(),
        Path.of(a.lockFile() + ".out"), generation, this);
    management = a.management() == null ? null : new Management(door, a.management(),
        config.instance().name(),
        link, () -> phase == Phase.READY || phase == Phase.OUT);
    Thread waiting = new Thread(() -> hold(generation), "door-lock");
    waiting.setDaemon(true);
    waiting.start();
    loop.submit(() -> {
      door.listed(this::heard);
      door.tellEnds(figures);
      heard(config.backends().known());
      look();
    }).sync();
  }

  private void cameToNothing(long attempt) {
    link.cameToNothing(attempt);
  }

  /** Which attempt of a release this process was started for; 0 for none. */
  private static long attempt() {
    String told = System.getenv(Successors.ATTEMPT);
    try {
      return told == null ? 0 : Long.parseLong(told);
    } catch (NumberFormatException e) {
      LOG.warning(Successors.ATTEMPT + " is \"" + told + "\" (expected: a number)");
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
  void awaitTold() {
    long from = System.nanoTime();
    while (true) {
      try {
        link.told().get(SAY_SO_MS, TimeUnit.MILLISECONDS);
        return;
      } catch (TimeoutException e) {
        long waited = (System.nanoTime() - from) / 1_000_000;
        if (attempt() > 0 && alone && waited > config.takeOver().readyLimitMs()) {
          instance.tell(
              new FatalError("nobody says that attempt " + attempt() + " stands, for which this process"
              + " was started, and the process that started it is gone: the door is to be started anew"));
          return;
        }
        LOG.warning("not ready: no steward of " + config.agreement().stewards() + " has told yet which"
            + " backends are out" + (attempt() > 0 ? ", or that attempt " + attempt() + " stands" : "")
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
  private void hold(long before) {
    try {
      long generation = before;
      while (generation == 0 && lockFile.isOpen()) {
        Thread.sleep(LOOK_MS);
        generation = tried();
      }
      alone = generation > 0;
      if (generation > 0 && before == 0) {
        link.holds(generation);
      }
      while (lockFile.isOpen()) {
        vouch();
        Thread.sleep(VOUCH_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Of those that had ended at the look before as well: what they had written is there by now. */
  private void vouch() {
    try {
      List<String> now = locks.ended();
      for (String ended : now) {
        if (endedBefore.contains(ended) && vouched.add(ended)) {
          link.ended(ended, () -> forget(ended));
        }
      }
      endedBefore = Set.copyOf(now);
      vouched.retainAll(now);
    } catch (IOException e) {
      LOG.warning("which processes of this door have ended can't be seen: " + e);
    }
  }

  private void forget(String ended) {
    try {
      locks.forget(ended);
    } catch (IOException e) {
      LOG.warning("the file of process " + ended + ", which has ended, stays: " + e);
    }
  }

  /** What the instance has come to; on the door's loop. */
  void changed(Phase other) {
    phase = other;
    link.does(doing());
  }

  private Activity doing() {
    return switch (phase) {
      case STARTING, WARMING -> Activity.STARTING;
      case READY -> Activity.READY;
      case OUT -> door.idle() && door.held() == 0 ? Activity.EMPTY : Activity.DRAINING;
      case DRAINING, ANSWERING, FAILING -> Activity.DRAINING;
      case STOPPED -> Activity.ENDED;
    };
  }

  private void look() {
    if (phase == Phase.STOPPED) {
      return;
    }
    if (phase == Phase.OUT) {
      link.does(doing());
    }
    leaving.entrySet().removeIf(e -> {
      boolean gone = !door.sendsTo(e.getKey());
      if (gone) {
        link.letGo(e.getValue());
      }
      return gone;
    });
    Tally now = figures.tally();
    if (!now.equals(told)) {
      told = now;
      link.counted(now);
    }
    if (dirty || cold.stream().anyMatch(id -> !isCold(listed.get(id)))) {
      tell();
    }
    loop.schedule(this::look, LOOK_MS, TimeUnit.MILLISECONDS);
  }

  /** The lock is held by one process of this door at a time, until that has ended; 0 while by another. */
  private long tried() {
    try {
      if (lockFile.tryLock() == null) {
        return 0;
      }
      ByteBuffer number = ByteBuffer.allocate(Long.BYTES);
      long next = 1 + (lockFile.read(number, 0) == Long.BYTES ? number.getLong(0) : 0);
      lockFile.write(ByteBuffer.allocate(Long.BYTES).putLong(0, next), 0);
      lockFile.force(false);
      return next;
    } catch (IOException | OverlappingFileLockException e) {
      LOG.warning("the lock file " + config.agreement().lockFile() + ": " + e);
      return 0;
    }
  }

  private void heard(EndpointUpdate news) {
    if (news.full()) {
      listed.clear();
    }
    for (BackendEntry e : news.entries()) {
      if (e.phase() == willowdoor.policy.GatewayApi.Phase.REMOVED) {
        listed.remove(e.id());
      } else {
        listed.put(e.id(), e);
      }
    }
    version = news.version();
    dirty = true;
  }

  private void tell() {
    dirty = false;
    cold.clear();
    List<Backend> all = new ArrayList<>(listed.size());
    for (BackendEntry e : listed.values()) {
      boolean resting = isCold(e);
      if (resting) {
        cold.add(e.id());
      }
      all.add(new Backend(Long.toHexString(e.id()), e.zone(), e.size(),
          !resting && e.phase() == willowdoor.policy.GatewayApi.Phase.SERVING, e.startedMs()));
    }
    link.sight(version, all);
  }

  private boolean isCold(BackendEntry e) {
    return e != null && e.startedMs() > 0 && door.now() - e.startedMs() < config.settings().rules().coldMs();
  }

  @Override
  public void takeOut(String backend) {
    onDoor(backend, id -> {
      LOG.info("backend " + backend + " goes out, as agreed");
      door.agreed(id, true);
      leaving.put(id, backend);
    });
  }

  @Override
  public void putBack(String backend) {
    onDoor(backend, id -> {
      LOG.info("backend " + backend + " is back, as agreed");
      leaving.remove(id);
      door.agreed(id, false);
    });
  }

  private void onDoor(String backend, java.util.function.LongConsumer then) {
    loop.execute(() -> {
      try {
        then.accept(Long.parseLong(backend, 16));
      } catch (NumberFormatException e) {
        LOG.warning("\"" + backend + "\" is no backend that a door can know");
      }
    });
  }

  @Override
  public void drain() {
    instance.tell(new OutOfService());
  }

  @Override
  public void undrain() {
    instance.tell(new BackInService());
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
      locks.close();
      lockFile.close();
    } catch (IOException e) {
      LOG.warning("the lock file: " + e.getMessage());
    }
  }
}
