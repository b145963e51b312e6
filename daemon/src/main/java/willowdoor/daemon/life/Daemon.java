package willowdoor.daemon.life;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.logging.Logger;
import willowdoor.daemon.config.ConfigException;
import willowdoor.daemon.config.DaemonConfig;
import willowdoor.daemon.config.StewardConfig;
import willowdoor.extauthz.ExtAuthzGate;
import willowdoor.fairgate.FairGate;
import willowdoor.fairness.FairCounts;
import willowdoor.life.InstanceLifecycle;
import willowdoor.life.InstanceLifecycle.Phase;
import willowdoor.life.LifecycleEvent.SocketBound;
import willowdoor.life.LifecycleEvent.FatalError;
import willowdoor.life.LifecycleEvent.EndSignal;
import willowdoor.net.Config;
import willowdoor.net.FrontDoor;
import willowdoor.net.RequestFilter;
import willowdoor.net.RequestFilterChain;
import willowdoor.policy.LearnedState;
import willowdoor.steward.link.StewardProcess;
import willowdoor.valkey.ValkeyStore;

/**
 * One instance of the daemon: a door by a checked configuration, its life, its control socket and what
 * signals mean to it.
 */
public final class Daemon {

  private static final Logger LOG = Logger.getLogger(Daemon.class.getName());

  /** Longest warm-up of what asks authorisers, beside the door's own. */
  private static final long AUTHORISATION_WARM_UP_MS = 3_000;

  private final DaemonConfig config;
  private final Path configFile;
  private final FrontDoor door;
  private final Instance instance;
  private final ControlSocket controlSocket;
  private HandoverClient handoverClient;
  private ExtAuthzGate authorisationGate;
  private FairGate fairGate;
  /** Null where the fleet agrees on nothing. */
  private volatile Agreement agreement;
  private EmbeddedSteward embeddedSteward;
  private final String version;

  private Daemon(DaemonConfig config, Path configFile, String version) throws InterruptedException {
    this.config = config;
    this.configFile = configFile;
    this.version = version;
    Config doorConfig = config.doorConfig(new SecureRandom().nextLong());
    // Without such a store none of its classes is loaded.
    door = FrontDoor.create(doorConfig, config.counter().valkey() == null ? null
        : ValkeyStore.maker(config.counter().valkey()));
    instance = new Instance(door, new InstanceLifecycle(config.end()), new Instance.Listener() {
      @Override
      public void warmUp() {
        FrontDoor.warmUp(doorConfig);
        if (agreement != null) {
          agreement.awaitOutStatus();
        }
        if (config.authorisation() != null) {
          LOG.info("warmed up by " + ExtAuthzGate.warmUp(AUTHORISATION_WARM_UP_MS) + " made-up checks");
        }
      }

      @Override
      public void onServing() {
        Thread opening = new Thread(Daemon.this::openControl, "control-socket");
        opening.setDaemon(true);
        opening.start();
      }

      @Override
      public void onPhaseChanged(Phase phase) {
        if (agreement != null) {
          agreement.phaseChanged(phase);
        }
      }

      @Override
      public void onResumed() {
        if (controlSocket != null) {
          controlSocket.reopen();
        }
      }
    });
    String path = config.takeOver().controlSocket();
    controlSocket = path.isEmpty() ? null : new ControlSocket(door, instance, Path.of(path), config.takeOver()
        .readyLimitMs());
  }

  /**
   * An instance that holds nothing yet but its connections to discovery and counter. Signals may be told to
   * it from here on; one that comes now ends it as soon as it has its socket.
   *
   * @param file where a reload reads the configuration again
   * @param version of the program, as releases name it
   */
  public static Daemon create(DaemonConfig config, Path file, String version) throws InterruptedException {
    return new Daemon(config, file, version);
  }

  /**
   * Has it listen, warm up and serve.
   *
   * @param mayTakeOver take the listening socket over from an instance that runs, if there is one
   * @throws IOException in plain words, when it can't have its address
   */
  public Daemon start(boolean mayTakeOver) throws IOException, InterruptedException {
    try {
      openGates();
      listen(mayTakeOver);
      startAgreement();
    } catch (IOException | RuntimeException e) {
      close();
      throw e;
    }
    instance.post(new SocketBound());
    return this;
  }

  /** Without members that have authorisers, no class of that is loaded; nor of queues where none is on. */
  private void openGates() throws IOException, InterruptedException {
    if (config.authorisation() != null) {
      authorisationGate = ExtAuthzGate
          .open(config.authorisation(), config.instance().name(), door.group(), door::now,
          new SecureRandom().nextLong());
      ExtAuthzGate opened = authorisationGate;
      door.loop().submit(() -> door.setFilter(opened)).sync();
    }
    if (config.fair() != null) {
      fairGate = new FairGate(door.loop(), door::now, config.settings(), config.fair().settings(),
          door::trafficShare, config.fair().clientBy(), config.fair().header());
      RequestFilter chain = authorisationGate == null ? fairGate
          : new RequestFilterChain(authorisationGate, fairGate);
      door.loop().submit(() -> door.setFilter(chain)).sync();
    }
  }

  /** Without agreement none of its classes is loaded. */
  private void startAgreement() throws IOException, InterruptedException {
    if (config.agreement() != null) {
      if (!config.agreement().steward().isEmpty()) {
        embeddedSteward = new EmbeddedSteward(readStewardSettings(Path.of(config.agreement().steward())));
      }
      agreement = new Agreement(door, instance, config, ProcessHandle.current().pid() + "-"
          + Long.toHexString(new SecureRandom().nextLong()), version);
    }
  }

  /**
   * A lone steward may begin on an empty disk, as there is nobody to whom it could have promised anything.
   * One of several has to be begun by {@code willowdoor steward --begin}.
   */
  private static StewardProcess.Settings readStewardSettings(Path file) throws IOException {
    try {
      StewardProcess.Settings read = StewardConfig.read(file, StewardProcess.Start.GO_ON);
      return read.members().size() > 1 ? read : StewardConfig.read(file, StewardProcess.Start.BEGIN);
    } catch (ConfigException e) {
      throw new IOException("agreement.steward: " + e.getMessage(), e);
    }
  }

  /** Waits for the end, and tells the fleet of it; the exit code. */
  public int awaitEnd() {
    int code = ended().join();
    if (agreement != null) {
      agreement.close();
    }
    if (embeddedSteward != null) {
      embeddedSteward.close();
    }
    return code;
  }

  /** What waits and has waited for its turn; null where nothing does. */
  public FairCounts fairness() throws InterruptedException {
    if (fairGate == null) {
      return null;
    }
    return door.loop().submit(fairGate::counts).sync().getNow();
  }

  private void listen(boolean mayTakeOver) throws IOException, InterruptedException {
    InetSocketAddress address = config.instance().listen();
    if (mayTakeOver) {
      if (controlSocket == null || !ControlSocket.isAvailable()) {
        throw new IOException(
            "cannot take over: take_over.control_socket is not set, or this machine has no epoll");
      }
      handoverClient = HandoverClient
          .connect(door.group(), Path.of(config.takeOver().controlSocket()), formatAddress(address),
          () -> instance.post(new FatalError("the running instance took its word back")),
          this::inheritLearnedState);
    }
    if (handoverClient != null) {
      door.adopt(handoverClient.descriptor());
      LOG.info("holds the listening socket of " + formatAddress(address) + " too; warming up");
      return;
    }
    try {
      door.bind(address);
    } catch (IOException e) {
      if (!String.valueOf(e.getMessage()).contains("in use")) {
        throw e;
      }
      throw new IOException(formatAddress(address) + " is held by " + ListenerLookup.describe(address)
          + (mayTakeOver ? ", which hands nothing over" : "; --take-over replaces a running instance"), e);
    }
  }

  private void inheritLearnedState(LearnedState learned) {
    door.loop().execute(() -> {
      door.restoreLearned(learned, 0);
      LOG.info("goes on from what the instance before it had learned: " + learned.backends().size()
          + " backends, " + learned.serviceTimes().size() + " classes, " + learned.pendingAdds().size()
          + " counts owed to");
    });
  }

  /** What this instance would tell its successor now; then it owes nothing to shared counts. */
  LearnedState learned() {
    return door.loop().submit(door::learnedState).syncUninterruptibly().getNow();
  }

  /** The control socket's file is this instance's from when it serves: a successor asks whoever serves. */
  private void openControl() {
    if (controlSocket != null) {
      try {
        controlSocket.open();
      } catch (IOException e) {
        LOG.warning("no successor can take over: " + e.getMessage());
      }
    }
    if (handoverClient != null) {
      handoverClient.announceReady();
    }
  }

  static String formatAddress(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ':' + address.getPort();
  }

  /** Where it listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) door.address();
  }

  /** A signal to end: the first drains, a second one shortens the bound. */
  public void requestEnd() {
    instance.post(new EndSignal());
  }

  /** Completed with the exit code when the instance has ended. */
  public CompletableFuture<Integer> ended() {
    return instance.ended();
  }

  /** Ends the loop, with all that is left. */
  public void close() {
    if (authorisationGate != null) {
      authorisationGate.close();
    }
    if (embeddedSteward != null) {
      embeddedSteward.close();
    }
    door.stop();
  }

  /**
   * Reads the file again and takes what may change while serving. A bad file changes nothing, and neither
   * does one in which a key has changed that needs a restart, but for the keys that need none.
   *
   * @return what was done, in words; also logged
   */
  public String reload() {
    String result;
    try {
      DaemonConfig fresh = DaemonConfig.read(configFile);
      Set<String> changed = config.changedKeys(fresh);
      Set<String> needsRestart = new TreeSet<>(changed);
      needsRestart.removeAll(DaemonConfig.RELOADABLE);
      door.loop().execute(() -> door.moveTo(fresh.discovery(), fresh.counter().address()));
      result = "reloaded " + configFile
          + (needsRestart.isEmpty() ? "" : "; these keys need a restart: " + needsRestart);
    } catch (IOException | ConfigException e) {
      result = "nothing is reloaded: " + e.getMessage();
    }
    LOG.info(result);
    return result;
  }
}
