package willowdoor.net;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.logging.Logger;
import willowdoor.management.ManagementServer;
import willowdoor.membership.DisabledBackend;
import willowdoor.policy.GatewayApi.Request;
import willowdoor.policy.LearnedState;
import willowdoor.policy.QuotaPolicy;
import willowdoor.recovery.CounterWatch;

/**
 * One real front door: its wiring, and the steps of its life. The platform's {@link #serve} takes them in one
 * fixed order; whoever embeds a door takes them as its own life asks, each step on {@link #loop()}, where
 * nothing of a door may block.
 */
public final class FrontDoor {

  private static final Logger LOG = Logger.getLogger(FrontDoor.class.getName());
  private static final long KEEP_ACCEPTING_MS = ShutdownTimes.KEEP_ACCEPTING_MS;
  private static final long POLL_MS = 10;

  private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, Transport.PREFERRED.ioHandler());
  final EventLoop loop = group.next();
  private final Clock clock = new Clock();
  private final CountDownLatch drained = new CountDownLatch(1);
  private ShutdownTimes shutdownTimes;
  private ModuleDriver driver;
  private ClientServer clients;
  private CounterStore counter;
  /** Null where ceilings are not divided. */
  private CeilingShares ceilingShares;
  private DiscoveryClient discovery;
  private MergedRoster roster;
  private Channel serverChannel;
  private ConnectionBudget budget;
  /** Null where operators do not call. */
  private FrontDoorOperations operations;

  private FrontDoor() {
  }

  /** Reads the configuration that the environment names, and serves until the process is told to end. */
  public static void serve() throws IOException, InterruptedException {
    String file = System.getenv("GW_CONFIG");
    if (file == null) {
      throw new IOException("GW_CONFIG is not set");
    }
    Path path = Path.of(file);
    ReloadTrigger reloadTrigger = new ReloadTrigger(path);
    AtomicReference<FrontDoor> serving = new AtomicReference<>();
    // First of all: a signal that nothing handles would end the JVM, and a start takes long without CPU.
    reloadTrigger.onReload(() -> {
      if (serving.get() != null) {
        serving.get().reload(path);
      }
    });
    Config config = Config.read(path);
    FrontDoor door = start(config, System.getenv("TMPDIR"), created -> {
      serving.set(created);
      if (reloadTrigger.hasChanged()) {
        created.reload(path);
      }
      if (created.operations != null && created.operations.isStartedSecond()) {
        new WarmUp(config).run(WarmUp.TIME_LIMIT_SECOND_PROCESS_MS, WarmUp.MAX_REQUESTS_SECOND_PROCESS);
      } else {
        warmUp(config);
      }
    });
    Runtime.getRuntime().addShutdownHook(new Thread(door::drain, "drain"));
  }

  private interface Preparation {
    void prepare(FrontDoor door) throws IOException;
  }

  static FrontDoor start(Config config) throws IOException, InterruptedException {
    return start(config, null);
  }

  /** The same for one that shares a folder with other processes of its front door, or with null none. */
  static FrontDoor start(Config config, String folder) throws IOException, InterruptedException {
    return start(config, folder, created -> { });
  }

  /** Starts it; what is to be ready before the first client is done between its wiring and its listening. */
  private static FrontDoor start(Config config, String folder, Preparation beforeListening)
      throws IOException, InterruptedException {
    FrontDoor door = create(config);
    try {
      if (config.management() != null) {
        door.manage(config.management(), folder);
      }
      beforeListening.prepare(door);
      door.bind(config.listen(), config.management() != null);
      if (config.management() != null) {
        door.operations.writeProcessFile();
      }
    } catch (IOException | RuntimeException e) {
      door.stop();
      throw e;
    }
    door.loop.execute(() -> {
      door.accept();
      if (door.operations == null) {
        door.markReady();
      } else {
        door.operations.announceServing(door::markReady);
      }
    });
    return door;
  }

  /** A door with its peers' connections under way, that has no listening socket yet. */
  public static FrontDoor create(Config config) throws InterruptedException {
    return create(config, null);
  }

  /** The same with shared counts elsewhere than at the platform's counter, or with null there. */
  public static FrontDoor create(Config config, CounterStore.Maker counterMaker) throws InterruptedException {
    FrontDoor door = new FrontDoor();
    try {
      door.loop.submit(() -> door.wire(config, counterMaker)).sync();
      return door;
    } catch (RuntimeException e) {
      door.stop();
      throw e;
    }
  }

  /**
   * Warms this process up for such a configuration, 0.7 s at most; for a thread that may wait, not the loop.
   */
  public static void warmUp(Config config) {
    new WarmUp(config).run(WarmUp.TIME_LIMIT_MS);
  }

  private void wire(Config config, CounterStore.Maker counterMaker) {
    budget = new ConnectionBudget(config.limits().connections());
    BackendPool backends = new BackendPool(loop, clock, Dialer.sockets(loop, config.connectTimeoutMs()),
        config.idleTimeoutMs(), budget);
    QuotaPolicy policy = new QuotaPolicy(config.settings(), config.seed());
    driver = new ModuleDriver(loop, clock, policy, backends);
    clients = new ClientServer(loop, clock, driver, backends, new RequestReader(config.settings()),
        config.limits(), budget);
    counter = counterMaker == null ? createCounterClient(config)
        : counterMaker.make(loop, clock::now, Long.toHexString(config.seed()), config, driver);
    if (config.watchCounter()) {
      ceilingShares = new CeilingShares(loop, clock, counter, config.settings());
      driver.setCeilingShares(ceilingShares);
    }
    counter.start();
    roster = new MergedRoster(clock::now, driver::onRoster);
    driver.start(counter, roster.merge(config.rememberedBackends()));
    shutdownTimes = ShutdownTimes.of(config.settings().classes());
    discovery =
        new DiscoveryClient(loop, clock, config.discovery(), config.rememberedBackends().version(),
        roster::onUpdate);
    discovery.start();
  }

  private CounterClient createCounterClient(Config config) {
    CounterClient client =
        new CounterClient(loop, clock, Dialer.sockets(loop, CounterClient.CONNECT_LIMIT_MS),
        config.counter(), config.settings().capabilities().counterTimeoutMs(), driver::counted);
    if (config.watchCounter()) {
      client.setWatch(new CounterWatch(Long.toHexString(config.seed())), driver::replaced);
    }
    return client;
  }

  /** Has requests pass a gate, or with null none; on the loop, at best before the door listens. */
  public void setFilter(RequestFilter filter) {
    driver.setFilter(filter);
  }

  /** Has each request's end told to that one; on the loop. */
  public void setEndListener(RequestEndListener listener) {
    driver.setEndListener(listener);
  }

  /** The part, from 0 to 1, of a customer's use that comes through this door; on the loop. */
  public double trafficShare(Request request) {
    return driver.trafficShare(request);
  }

  /** The one thread that all of the door is on. */
  public EventLoop loop() {
    return loop;
  }

  /** The loop as a group, for what shares the door's thread. */
  public EventLoopGroup group() {
    return group;
  }

  /** The kind of sockets that this loop drives. */
  public static Class<? extends SocketChannel> socketType() {
    return Transport.PREFERRED.socket();
  }

  public SocketAddress address() {
    return serverChannel.localAddress();
  }

  /** Milliseconds on the door's clock. */
  public double now() {
    return clock.now();
  }

  /** Listens, and leaves what comes in the accept queue until {@link #accept}; not for the loop's thread. */
  public void bind(InetSocketAddress address) throws IOException, InterruptedException {
    bind(address, false);
  }

  private void bind(InetSocketAddress address, boolean shared) throws IOException, InterruptedException {
    try {
      serverChannel = clients.listen(group, address, shared).sync().channel();
    } catch (InterruptedException e) {
      throw e;
    } catch (Exception e) {
      throw new IOException("cannot listen on " + address + ": " + e.getMessage(), e);
    }
  }

  /**
   * Takes a listening socket that another process has handed over, as {@link #bind} would have made one.
   *
   * @param descriptor the socket's descriptor in this process, which this door owns from here on
   */
  public void adopt(int descriptor) throws IOException, InterruptedException {
    try {
      serverChannel = clients.adopt(group, descriptor).sync().channel();
    } catch (InterruptedException e) {
      throw e;
    } catch (Exception e) {
      throw new IOException("cannot listen on descriptor " + descriptor + ": " + e.getMessage(), e);
    }
  }

  /** The descriptor of the listening socket, to be handed to a successor; -1 where the transport has none. */
  public int descriptor() {
    return Transport.descriptor(serverChannel);
  }

  /** Takes connections from here on. */
  public void accept() {
    if (ceilingShares != null) {
      ceilingShares.begin();
    }
    serverChannel.config().setAutoRead(true);
  }

  /** Answers {@code GET /up} with 200 from here on, as soon as a backend is known. */
  public void markReady() {
    clients.markReady();
  }

  /**
   * Has operators call at this address from here on, and goes on from what another process of this front door
   * says; not for the loop's thread.
   *
   * @param folder where processes of this front door find each other, or null
   */
  void manage(InetSocketAddress address, String folder) throws IOException, InterruptedException {
    operations = new FrontDoorOperations(this, roster, clients, budget, new ProcessFile(folder));
    operations.open(group, address);
  }

  /** Where operators call. */
  /** Has that server's operators call at this address, answered on the loop; not for the loop's thread. */
  public void manage(ManagementServer server, InetSocketAddress at) throws IOException, InterruptedException {
    server.listen(group, Transport.PREFERRED.serverSocket(), at);
  }

  SocketAddress managementAddress() {
    return operations.address();
  }

  /** The backends that operators have taken out; on the loop. */
  List<DisabledBackend> disabledBackends() {
    return roster.backendsOut();
  }

  /** Whether any backend is listed, in use or not. */
  boolean knowsBackends() {
    return roster.hasListedBackends();
  }

  /** Has it hear the lists of backends as discovery tells them; on the loop, both. */
  public void addRosterListener(Consumer<EndpointUpdate> listener) {
    roster.setSourceListener(listener);
  }

  /** By what the fleet has agreed on a backend is out, or no longer; on the loop. */
  public void setAgreedOut(long backend, boolean out) {
    roster.applyFleetDecision(backend, out);
  }

  /** Whether an attempt is out at the backend; on the loop, and it looks at all that is held. */
  public boolean hasAttemptTo(long backend) {
    return driver.hasAttemptTo(backend);
  }

  /**
   * Leaves new connections, and this door's parts of ceilings, to whoever else holds the listening socket;
   * {@link #accept} takes them back.
   */
  public void pauseAccepting() {
    if (ceilingShares != null) {
      ceilingShares.handOver();
    }
    serverChannel.config().setAutoRead(false);
  }

  /** What this process has learned, for the one that takes its place; on the loop, and once. */
  public LearnedState learnedState() {
    return driver.learnedState();
  }

  /** Goes on from what the process before this one had learned so long ago; on the loop. */
  public void restoreLearned(LearnedState learned, double ageMs) {
    driver.restoreLearned(learned, ageMs);
  }

  /** Answers {@code GET /up} with 503, and ends each connection with its next answer. */
  public void beginDrain() {
    driver.setDraining(true);
    clients.setDraining(true);
    clients.setCloseAfterAnswer(true);
  }

  /** Serves on as before {@link #beginDrain}. */
  public void resume() {
    driver.setDraining(false);
    clients.setDraining(false);
    clients.setCloseAfterAnswer(false);
  }

  /** Closes this process's hold of the listening socket, and ends connections that no request is on. */
  public void stopAccepting() {
    clients.stopAccepting(serverChannel);
  }

  /** Answers all that is out as failed. */
  public void failAll() {
    driver.failAll();
  }

  /** True when no client's connection is open. */
  public boolean hasNoConnections() {
    return clients.hasNoConnections();
  }

  /** Requests without their final answer, or with an attempt out. */
  public int heldRequests() {
    return driver.heldRequests();
  }

  /**
   * Moves to other addresses of discovery and counter: new links first, the old ones finish what they owe.
   */
  public void moveTo(InetSocketAddress otherDiscovery, InetSocketAddress otherCounter) {
    counter.moveTo(otherCounter);
    discovery.moveTo(otherDiscovery);
  }

  /**
   * Takes the addresses of discovery and of the counter from the replaced file; nothing else of it changes
   * while the process lives. Guards against a file that cannot be read: the old addresses stay.
   */
  void reload(Path file) {
    loop.execute(() -> {
      try {
        Config.Peers peers = Config.readPeers(file);
        moveTo(peers.discovery(), peers.counter());
      } catch (IOException | RuntimeException e) {
        LOG.warning("the new configuration is not taken: " + e.getMessage());
      }
    });
  }

  /** The planned end: accept a little longer, answer all that was taken, then let the process go. */
  void drain() {
    loop.execute(() -> {
      if (operations != null && operations.beginShutdown()) {
        shutDownBesideOther();
      } else {
        shutDownAlone();
      }
    });
    loop.scheduleWithFixedDelay(() -> {
      if (clients.hasNoConnections()) {
        drained.countDown();
      }
    }, KEEP_ACCEPTING_MS + POLL_MS, POLL_MS, TimeUnit.MILLISECONDS);
    try {
      if (!drained.await(shutdownTimes.failUnansweredMs(), TimeUnit.MILLISECONDS)) {
        loop.submit(driver::failAll).sync();
        drained.await(KEEP_ACCEPTING_MS / 2, TimeUnit.MILLISECONDS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    stop();
  }

  private void shutDownAlone() {
    clients.setDraining(true);
    loop.schedule(() -> clients.stopListening(serverChannel), KEEP_ACCEPTING_MS, TimeUnit.MILLISECONDS);
    loop.schedule(() -> {
      beginDrain();
      stopAccepting();
    }, shutdownTimes.keepConnectionsMs(), TimeUnit.MILLISECONDS);
  }

  /** Another process listens at the same address: clients come there from their next connection on. */
  private void shutDownBesideOther() {
    driver.setDraining(true);
    clients.setCloseAfterAnswer(true);
    clients.stopListeningAfterAccepting(serverChannel);
    clients.closeIdleConnections(0);
  }

  /** Ends the loop, and with it every socket. */
  public void stop() {
    if (counter != null) {
      counter.close();
    }
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }
}
