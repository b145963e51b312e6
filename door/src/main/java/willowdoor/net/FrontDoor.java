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
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import willowdoor.management.ManagementServer;
import willowdoor.membership.DisabledBackend;
import willowdoor.memory.MemoryBudget;
import willowdoor.policy.GatewayApi.Request;
import willowdoor.policy.LearnedState;
import willowdoor.policy.QuotaPolicy;
import willowdoor.policy.ShutdownHold;
import willowdoor.recovery.CounterWatch;

/**
 * One front door process: its wiring and the steps of its life cycle. {@link #serve}, as the platform uses
 * it, takes the steps in one fixed order; an embedding program takes them as its own life cycle requires,
 * each on {@link #loop()} unless its description says otherwise. Nothing of a door may block the loop.
 */
public final class FrontDoor {

  private static final Logger LOG = Logger.getLogger(FrontDoor.class.getName());
  private static final long KEEP_ACCEPTING_MS = ShutdownTimes.KEEP_ACCEPTING_MS;
  private static final long POLL_MS = 10;
  /** How long connections that began before a process left its clients to another one may still come. */
  private static final long MAX_HANDSHAKE_MS = 200;

  private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, Transport.PREFERRED.ioHandler());
  final EventLoop loop = group.next();
  private final Clock clock = new Clock();
  private final CountDownLatch drained = new CountDownLatch(1);
  private ShutdownTimes shutdownTimes;
  private ModuleDriver driver;
  private ClientServer clients;
  private CounterStore counter;
  /** Null if ceilings are not divided among the doors. */
  private CeilingShares ceilingShares;
  private DiscoveryClient discovery;
  private MergedRoster roster;
  private Channel serverChannel;
  private InetSocketAddress configuredListen;
  private ConnectionBudget budget;
  private MemoryBudget memory;
  /** Null if no management address is configured. */
  private FrontDoorOperations operations;

  private FrontDoor() {
  }

  /**
   * Reads the configuration file that {@code GW_CONFIG} names, and serves until the process is told to stop.
   */
  public static void serve() throws IOException, InterruptedException {
    String file = System.getenv("GW_CONFIG");
    if (file == null) {
      throw new IOException("GW_CONFIG is not set");
    }
    Path path = Path.of(file);
    ReloadTrigger reloadTrigger = new ReloadTrigger(path);
    AtomicReference<FrontDoor> serving = new AtomicReference<>();
    // Before anything else: an unhandled SIGHUP would end the JVM, and a start takes long where CPU is short.
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

  /**
   * Like {@link #start(Config)}, for a process that shares a folder with other processes of its front door;
   * null for none.
   */
  static FrontDoor start(Config config, String folder) throws IOException, InterruptedException {
    return start(config, folder, created -> { });
  }

  /** Starts a door; the preparation runs after the wiring and before the door listens. */
  private static FrontDoor start(Config config, String folder, Preparation beforeListening)
      throws IOException, InterruptedException {
    FrontDoor door = create(config);
    try {
      if (config.management() != null) {
        door.manage(config.management(), config.listen(), folder);
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

  /** Creates a door that begins to connect to its peers and has no listening socket yet. */
  public static FrontDoor create(Config config) throws InterruptedException {
    return create(config, null);
  }

  /**
   * Like {@link #create(Config)}, with the shared counts in another store than the platform's counter; null
   * for that counter.
   */
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
   * Warms up this process for such a configuration, for at most 0.7 s. Blocks: not to be called on the loop.
   */
  public static void warmUp(Config config) {
    new WarmUp(config).run(WarmUp.TIME_LIMIT_MS);
  }

  private void wire(Config config, CounterStore.Maker counterMaker) {
    budget = new ConnectionBudget(config.limits().connections());
    memory = new MemoryBudget(config.limits().memoryPoolBytes());
    BackendPool backends = new BackendPool(loop, clock, Dialer.sockets(loop, config.connectTimeoutMs()),
        config.idleTimeoutMs(), budget, memory);
    QuotaPolicy policy = new QuotaPolicy(config.settings(), config.seed());
    driver = new ModuleDriver(loop, clock, policy, backends, memory);
    clients = new ClientServer(loop, clock, driver, backends, new RequestReader(config.settings()),
        memory, budget);
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
    discovery = new DiscoveryClient(loop, clock, config.discovery(), config.rememberedBackends().version(),
        roster::onUpdate);
    discovery.start();
  }

  private CounterClient createCounterClient(Config config) {
    CounterClient client = new CounterClient(loop, clock,
        Dialer.sockets(loop, CounterClient.CONNECT_LIMIT_MS), config.counter(),
        config.settings().capabilities().counterTimeoutMs(), driver::counted);
    if (config.watchCounter()) {
      client.setWatch(new CounterWatch(Long.toHexString(config.seed())), driver::replaced);
    }
    return client;
  }

  /**
   * Sets the filter that requests pass; null for none. Called on the loop, preferably before the door
   * listens.
   */
  public void setFilter(RequestFilter filter) {
    driver.setFilter(filter);
  }

  /** Sets the listener that is told of the end of each request; called on the loop. */
  public void setEndListener(RequestEndListener listener) {
    driver.setEndListener(listener);
  }

  /** The share, from 0 to 1, of a customer's traffic that comes through this door; called on the loop. */
  public double trafficShare(Request request) {
    return driver.trafficShare(request);
  }

  /** The one event loop thread that the whole door runs on. */
  public EventLoop loop() {
    return loop;
  }

  /** The loop as a group, for components that share the door's thread. */
  public EventLoopGroup group() {
    return group;
  }

  /** The type of the socket channels that this loop drives. */
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

  /**
   * Listens, and leaves connections in the accept queue until {@link #accept}; not to be called on the loop's
   * thread.
   */
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
   * Takes over a listening socket from another process, as {@link #bind} would have opened one; not to be
   * called on the loop's thread.
   *
   * @param descriptor the socket's file descriptor in this process, which this door owns from now on
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

  /**
   * The file descriptor of the listening socket, to be handed to a successor; -1 if the transport has none.
   */
  public int descriptor() {
    return Transport.descriptor(serverChannel);
  }

  /** Accepts connections from now on. */
  public void accept() {
    if (ceilingShares != null) {
      ceilingShares.begin();
    }
    AcceptHandler.setAccepting(serverChannel, true);
  }

  /** Answers {@code GET /up} with 200 from now on, as soon as a backend is known. */
  public void markReady() {
    clients.markReady();
  }

  /**
   * Opens the management address for operators, and restores the state of another process of this front door,
   * if one runs. Not to be called on the loop's thread.
   *
   * @param listen the address at which clients are to be taken
   * @param folder where processes of this front door find each other, or null
   */
  void manage(InetSocketAddress address, InetSocketAddress listen, String folder)
      throws IOException, InterruptedException {
    configuredListen = listen;
    operations = new FrontDoorOperations(this, roster, clients, budget, memory, new ProcessFile(folder));
    loop.submit(() -> setFilter(operations.idClaims())).sync();
    operations.open(group, address);
  }

  /**
   * Opens the address of the given management server, which answers on the loop; not to be called on the
   * loop's thread.
   */
  public void manage(ManagementServer server, InetSocketAddress at) throws IOException, InterruptedException {
    server.listen(group, Transport.PREFERRED.serverSocket(), at);
  }

  /** The address at which this front door listens: the bound one, or before that the configured one. */
  String listenAddress() {
    InetSocketAddress at = serverChannel == null ? configuredListen
        : (InetSocketAddress) serverChannel.localAddress();
    return at.getAddress().getHostAddress() + ":" + at.getPort();
  }

  /** The ids of requests that have begun here, or may begin, and must not run twice; called on the loop. */
  public List<String> begunIds() {
    return driver.begunIds();
  }

  /** Notes ids of requests that have begun at the other process of this front door. */
  void noteBegunElsewhere(List<String> ids) {
    driver.noteBegunElsewhere(ids);
  }

  /**
   * Decides on ids that the other process of this front door claims for its requests, and returns those that
   * must not begin there; called on the loop.
   *
   * @param isFirst whether this process is the first of the two
   */
  public List<String> rejectedClaims(List<String> ids, boolean isFirst) {
    return driver.rejectedClaims(ids, isFirst);
  }

  /** The other process of this front door has ended; called on the loop. */
  public void onOtherProcessEnded() {
    driver.onOtherProcessEnded();
  }

  /** Called when this process is the only one of its front door again. */
  void onAlone() {
    onOtherProcessEnded();
    if (serverChannel != null) {
      ReusePortGroup.distribute(serverChannel);
    }
  }

  MemoryBudget memory() {
    return memory;
  }

  SocketAddress managementAddress() {
    return operations.address();
  }

  /** The backends that operators have disabled; called on the loop. */
  List<DisabledBackend> disabledBackends() {
    return roster.backendsOut();
  }

  /** Whether any backend is listed, in use or not. */
  boolean knowsBackends() {
    return roster.hasListedBackends();
  }

  /**
   * Registers a listener for the backend lists that discovery sends. It is called at once with the whole list
   * as it stands, however late it is registered; both this call and the listener's run on the loop.
   */
  public void addRosterListener(Consumer<EndpointUpdate> listener) {
    roster.setSourceListener(listener);
  }

  /** Marks a backend as out, or no longer out, as the fleet has agreed; called on the loop. */
  public void setAgreedOut(long backend, boolean out) {
    roster.applyFleetDecision(backend, out);
  }

  /** Whether an attempt is in flight at the backend; called on the loop. Scans all requests held. */
  public boolean hasAttemptTo(long backend) {
    return driver.hasAttemptTo(backend);
  }

  /**
   * Leaves new connections, and this door's shares of ceilings, to the other process that holds the listening
   * socket; {@link #accept} reverses this.
   */
  public void pauseAccepting() {
    if (ceilingShares != null) {
      ceilingShares.handOver();
    }
    AcceptHandler.setAccepting(serverChannel, false);
  }

  /** What this process has learned, for the process that replaces it; called on the loop, and only once. */
  public LearnedState learnedState() {
    return driver.learnedState();
  }

  /**
   * Restores what the previous process had learned; called on the loop.
   *
   * @param ageMs milliseconds since the previous process exported it
   */
  public void restoreLearned(LearnedState learned, double ageMs) {
    driver.restoreLearned(learned, ageMs);
  }

  /** Answers {@code GET /up} with 503, and closes each connection with its next answer. */
  public void beginDrain() {
    driver.setDraining(true);
    clients.setDraining(true);
    clients.setCloseAfterAnswer(true);
  }

  /** Serves again as before {@link #beginDrain}. */
  public void resume() {
    driver.setDraining(false);
    clients.setDraining(false);
    clients.setCloseAfterAnswer(false);
  }

  /** Closes this process's descriptor of the listening socket, and the connections that are idle. */
  public void stopAccepting() {
    clients.stopAccepting(serverChannel);
  }

  /** Fails all unanswered requests, and refuses new ones, also those that are arriving. */
  public void failAll() {
    driver.failAll();
    clients.refuseArriving();
  }

  /** Whether no client connection is open. */
  public boolean hasNoConnections() {
    return clients.hasNoConnections();
  }

  /** Whether an answer is being passed on, or a client has not taken all of one; called on the loop. */
  public boolean hasAnswersUnderWay() {
    return clients.hasAnswersUnderWay();
  }

  /** Number of requests without a final answer, or with an attempt in flight. */
  public int heldRequests() {
    return driver.heldRequests();
  }

  /**
   * Switches to other addresses of discovery and the counter: new connections are opened first, and the old
   * ones complete their outstanding calls.
   */
  public void moveTo(InetSocketAddress otherDiscovery, InetSocketAddress otherCounter) {
    counter.moveTo(otherCounter);
    discovery.moveTo(otherDiscovery);
  }

  /**
   * Takes the addresses of discovery and the counter from the replaced configuration file; no other setting
   * changes while the process runs. If the file cannot be read, the old addresses stay in use.
   */
  void reload(Path file) {
    loop.execute(() -> {
      try {
        Config.Peers peers = Config.readPeers(file);
        moveTo(peers.discovery(), peers.counter());
      } catch (IOException | RuntimeException e) {
        LOG.warning("new configuration rejected, the old addresses stay in use: " + e.getMessage());
      }
    });
  }

  /**
   * Graceful shutdown: accepts a little longer, answers all accepted requests, then lets the process exit
   * once no answer is under way any more.
   */
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
        loop.submit(this::failAll).sync();
        drained.await(KEEP_ACCEPTING_MS / 2, TimeUnit.MILLISECONDS);
        awaitAnswersUnderWay();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException e) {
      LOG.log(Level.SEVERE, "the end of the answers is not waited for", e);
    }
    stop();
  }

  /** Waits for the answers that are passed on or taken by their clients; each ends by its own limits. */
  private void awaitAnswersUnderWay() throws InterruptedException, ExecutionException {
    double sinceMs = clock.now();
    while (ShutdownHold.holds(clock.now() - sinceMs, loop.submit(clients::hasAnswersUnderWay).get())
        && !drained.await(POLL_MS, TimeUnit.MILLISECONDS)) {
      LOG.log(Level.FINE, "answers are under way");
    }
  }

  private void shutDownAlone() {
    clients.setDraining(true);
    loop.schedule(this::leaveNewConnections, KEEP_ACCEPTING_MS - MAX_HANDSHAKE_MS, TimeUnit.MILLISECONDS);
    loop.schedule(() -> clients.stopListening(serverChannel), KEEP_ACCEPTING_MS, TimeUnit.MILLISECONDS);
    loop.schedule(() -> {
      beginDrain();
      stopAccepting();
    }, shutdownTimes.keepConnectionsMs(), TimeUnit.MILLISECONDS);
  }

  /**
   * Directs new connections to the other process of this front door, if there is one: the one that replaces
   * this process, or the one that it was to replace. Returns whether they are directed.
   */
  private boolean leaveNewConnections() {
    return operations != null && operations.hasOtherProcess()
        && ReusePortGroup.directTo(serverChannel, operations.otherListenerIndex());
  }

  /**
   * Shutdown while another process listens at the same address: clients reach that process from their next
   * connection on.
   */
  private void shutDownBesideOther() {
    driver.setDraining(true);
    clients.setCloseAfterAnswer(true);
    long acceptMs = leaveNewConnections() ? MAX_HANDSHAKE_MS : POLL_MS;
    clients.stopListeningAfterAccepting(serverChannel, acceptMs);
    clients.closeIdleConnections(0);
  }

  /**
   * Closes the listening sockets and stops the event loop. The loop alone would not close them for certain:
   * it ends without waiting.
   */
  public void stop() {
    if (counter != null) {
      counter.close();
    }
    if (operations != null) {
      operations.close();
    }
    if (serverChannel != null) {
      serverChannel.close();
    }
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }
}
