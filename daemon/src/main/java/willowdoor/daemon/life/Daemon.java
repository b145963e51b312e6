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
import willowdoor.net.IdClaims;
import willowdoor.net.RequestFilter;
import willowdoor.net.RequestFilterChain;
import willowdoor.policy.LearnedState;
import willowdoor.steward.link.StewardProcess;
import willowdoor.valkey.ValkeyStore;

/**
 * One instance of the daemon: a front door with a validated configuration, its life cycle, its control socket
 * and its reactions to signals.
 */
public final class Daemon {

  private static final Logger LOG = Logger.getLogger(Daemon.class.getName());

  /** Limit of the warm-up of the authorisation client, which follows the door's own warm-up. */
  private static final long AUTHORISATION_WARM_UP_MS = 3_000;

  private final DaemonConfig config;
  private final Path configFile;
  private final FrontDoor door;
  private final Instance instance;
  private final ControlSocket controlSocket;
  /** Claims of ids at the process before this one, and at its successor; null if no process can take over. */
  private final HandoverClaims claimsAtHolder;
  private final HandoverClaims claimsAtSuccessor;
  private HandoverClient handoverClient;
  private ExtAuthzGate authorisationGate;
  private FairGate fairGate;
  /** Null if the agreement is not configured. */
  private volatile Agreement agreement;
  private EmbeddedSteward embeddedSteward;
  private final String version;

  private Daemon(DaemonConfig config, Path configFile, String version) throws InterruptedException {
    this.config = config;
    this.configFile = configFile;
    this.version = version;
    Config doorConfig = config.doorConfig(new SecureRandom().nextLong());
    // The classes of the Valkey store are loaded only if it is configured.
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
          LOG.info("warmed up with " + ExtAuthzGate.warmUp(AUTHORISATION_WARM_UP_MS)
              + " synthetic authorisation checks");
        }
      }

      @Override
      public void onServing() {
        // The socket's file belongs to this instance only once it serves: a successor asks that one.
        if (controlSocket != null) {
          controlSocket.open(Daemon.this::announceReady);
        }
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
    claimsAtHolder = path.isEmpty() ? null : new HandoverClaims(door, false);
    claimsAtSuccessor = path.isEmpty() ? null : new HandoverClaims(door, true);
    controlSocket = path.isEmpty() ? null : new ControlSocket(door, instance, Path.of(path), config.takeOver()
        .readyLimitMs(), claimsAtSuccessor);
  }

  /**
   * Creates an instance that has no listening socket yet, only its connections to discovery and the counter.
   * It accepts signals from now on; a signal that arrives before the socket is bound ends the instance as
   * soon as it has its socket.
   *
   * @param file the configuration file, which a reload reads again
   * @param version the version of the program, as releases name it
   */
  public static Daemon create(DaemonConfig config, Path file, String version) throws InterruptedException {
    return new Daemon(config, file, version);
  }

  /**
   * Starts the instance: it listens, warms up and then serves.
   *
   * @param mayTakeOver whether to take the listening socket over from a running instance, if there is one
   * @throws IOException if the instance cannot listen on its address; the message is meant for the operator
   */
  public Daemon start(boolean mayTakeOver) throws IOException, InterruptedException {
    try {
      openFilters();
      listen(mayTakeOver);
      startAgreement();
    } catch (IOException | RuntimeException e) {
      close();
      throw e;
    }
    instance.post(new SocketBound());
    return this;
  }

  /**
   * Opens the configured filters, which requests pass in this order: external authorisation, the fair queue,
   * the claims of ids. The classes of the first two are loaded only if the configuration enables them.
   */
  private void openFilters() throws IOException, InterruptedException {
    RequestFilter filters = null;
    if (config.authorisation() != null) {
      authorisationGate = ExtAuthzGate.open(config.authorisation(), config.instance().name(), door.group(),
          door::now,
          new SecureRandom().nextLong());
      filters = authorisationGate;
    }
    if (config.fair() != null) {
      fairGate = new FairGate(door.loop(), door::now, config.settings(), config.fair().settings(),
          door::trafficShare, config.fair().clientBy(), config.fair().header());
      filters = append(filters, fairGate);
    }
    if (claimsAtHolder != null) {
      filters = append(filters, new IdClaims(door.loop(), claimsAtHolder));
      filters = append(filters, new IdClaims(door.loop(), claimsAtSuccessor));
    }
    RequestFilter opened = filters;
    door.loop().submit(() -> door.setFilter(opened)).sync();
  }

  private static RequestFilter append(RequestFilter before, RequestFilter last) {
    return before == null ? last : new RequestFilterChain(before, last);
  }

  /** Starts the agreement if it is configured; its classes are loaded only then. */
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
   * Reads the configuration of the embedded steward. A single steward may start on an empty disk, because
   * there is no other steward to which it could have made a promise before. A steward of a larger group must
   * be started for the first time by {@code willowdoor steward --begin}.
   */
  private static StewardProcess.Settings readStewardSettings(Path file) throws IOException {
    try {
      StewardProcess.Settings read = StewardConfig.read(file, StewardProcess.Start.GO_ON);
      return read.members().size() > 1 ? read : StewardConfig.read(file, StewardProcess.Start.BEGIN);
    } catch (ConfigException e) {
      throw new IOException("agreement.steward: " + e.getMessage(), e);
    }
  }

  /** Waits for the end of the instance, reports it to the fleet, and returns the exit code. */
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

  /** Counts of the fair queue; null if the fair queue is off. */
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
      handoverClient = HandoverClient.connect(door.group(), Path.of(config.takeOver().controlSocket()),
          formatAddress(address), claimsAtHolder,
          () -> instance
          .post(new FatalError("the running instance refused after it had handed over its socket")),
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
      LOG.info("adopted the learned state of the previous instance: " + learned.backends().size()
          + " backends, " + learned.serviceTimes().size() + " request classes, "
          + learned.pendingAdds().size()
          + " counts still to be added to shared counts");
    });
  }

  /**
   * The state that this instance would send to its successor now. The amounts still to be added to shared
   * counts pass to the caller with it.
   */
  LearnedState learned() {
    return door.loop().submit(door::learnedState).syncUninterruptibly().getNow();
  }

  /** Tells the process before this one, if there is one, that this one serves. */
  private void announceReady() {
    if (handoverClient != null) {
      handoverClient.announceReady();
    }
  }

  static String formatAddress(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ':' + address.getPort();
  }

  /** The address on which the instance listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) door.address();
  }

  /** Handles a signal to end: the first starts the drain, the second shortens its deadline. */
  public void requestEnd() {
    instance.post(new EndSignal());
  }

  /** A future that completes with the exit code when the instance has ended. */
  public CompletableFuture<Integer> ended() {
    return instance.ended();
  }

  /** Stops the event loop, and closes everything that is still open. */
  public void close() {
    if (authorisationGate != null) {
      authorisationGate.close();
    }
    if (embeddedSteward != null) {
      embeddedSteward.close();
    }
    if (controlSocket != null) {
      controlSocket.close();
    }
    door.stop();
  }

  /**
   * Reads the configuration file again, and applies the keys that may change without a restart
   * ({@link DaemonConfig#RELOADABLE}). Changes of other keys are reported and not applied. An invalid file
   * changes nothing.
   *
   * @return a message about the result, which is also logged
   */
  public String reload() {
    String result;
    try {
      DaemonConfig fresh = DaemonConfig.read(configFile);
      Set<String> changed = config.changedKeys(fresh);
      Set<String> needsRestart = new TreeSet<>(changed);
      needsRestart.removeAll(DaemonConfig.RELOADABLE);
      door.loop().execute(() -> door.moveTo(fresh.discovery(), fresh.counter().address()));
      result = "reloaded " + configFile + (needsRestart.isEmpty() ? "" : "; these keys need a restart: "
          + needsRestart);
    } catch (IOException | ConfigException e) {
      result = "nothing is reloaded: " + e.getMessage();
    }
    LOG.info(result);
    return result;
  }
}
