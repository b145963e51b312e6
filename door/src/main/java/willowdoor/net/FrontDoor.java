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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Logger;
import willowdoor.management.ManagementServer;
import willowdoor.management.Operations;
import willowdoor.management.Order;
import willowdoor.management.Reply;
import willowdoor.policy.GatewayApi.Request;
import willowdoor.policy.QuotaPolicy;
import willowdoor.recovery.CounterWatch;

/**
 * One real front door: its wiring, and the steps of its life. The platform's {@link #serve} takes them in one
 * fixed order; whoever embeds a door takes them as its own life asks, each step on {@link #loop()}, where
 * nothing of a door may block.
 */
public final class FrontDoor {

  private static final Logger LOG = Logger.getLogger(FrontDoor.class.getName());
  /** After SIGTERM new connections go on coming for up to 0.4 s. */
  private static final long ACCEPT_MS = 550;
  /** SIGKILL comes no sooner than 3.7 s after SIGTERM where deadlines are long: all is answered by then. */
  private static final long ANSWER_MS = 3_300;
  /** Connections are kept for so long: a front sends on these, and on no other, till it has noticed. */
  private static final long KEEP_MS = 2_600;
  private static final long POLL_MS = 10;

  private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, Transport.BEST.ioHandler());
  final EventLoop loop = group.next();
  private final Clock clock = new Clock();
  private final CountDownLatch drained = new CountDownLatch(1);
  private ModuleDriver driver;
  private ClientServer clients;
  private CounterStore counter;
  /** Null where ceilings are not divided. */
  private CeilingShares ceilings;
  private DiscoveryClient discovery;
  private MergedRoster roster;
  private Channel listening;
  /** Null where operators do not call. */
  private ManagementServer management;
  /** Operators have sent the clients away. */
  private boolean sentAway;
  private boolean found;
  private boolean ending;

  private FrontDoor() {
  }

  /** Reads the configuration that the environment names, and serves until the process is told to end. */
  public static void serve() throws IOException, InterruptedException {
    String file = System.getenv("GW_CONFIG");
    if (file == null) {
      throw new IOException("GW_CONFIG is not set");
    }
    Path path = Path.of(file);
    Config config = Config.read(path);
    FrontDoor door = start(config, wired -> {
      Signals.handle("HUP", () -> wired.reload(path));
      warmUp(config);
    });
    Runtime.getRuntime().addShutdownHook(new Thread(door::drain, "drain"));
  }

  private interface Preparation {
    void of(FrontDoor wired) throws IOException;
  }

  static FrontDoor start(Config config) throws IOException, InterruptedException {
    return start(config, wired -> { });
  }

  /** Starts it; what is to be ready before the first client is done between its wiring and its listening. */
  private static FrontDoor start(Config config, Preparation beforeListening)
      throws IOException, InterruptedException {
    FrontDoor door = wired(config);
    try {
      if (config.management() != null) {
        door.manage(config.management());
      }
      beforeListening.of(door);
      door.bind(config.listen());
    } catch (IOException | RuntimeException e) {
      door.stop();
      throw e;
    }
    door.loop.execute(() -> {
      door.accept();
      door.beFound();
    });
    return door;
  }

  /** A door with its peers' connections under way, that has no listening socket yet. */
  public static FrontDoor wired(Config config) throws InterruptedException {
    return wired(config, null);
  }

  /** The same with shared counts elsewhere than at the platform's counter, or with null there. */
  public static FrontDoor wired(Config config, CounterStore.Maker counts) throws InterruptedException {
    FrontDoor door = new FrontDoor();
    try {
      door.loop.submit(() -> door.wire(config, counts)).sync();
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
    new WarmUp(config).run(WarmUp.LIMIT_MS);
  }

  private void wire(Config config, CounterStore.Maker counts) {
    Places places = new Places(config.limits().places());
    BackendPool backends = new BackendPool(loop, clock, Dialer.sockets(loop, config.connectLimitMs()),
        config.idleLimitMs(), places);
    QuotaPolicy policy = new QuotaPolicy(config.settings(), config.seed());
    driver = new ModuleDriver(loop, clock, policy, backends);
    clients = new ClientServer(loop, clock, driver, backends, new RequestReader(config.settings()),
        config.limits(), places);
    counter = counts == null ? linesOf(config)
        : counts.make(loop, clock::now, Long.toHexString(config.seed()), config, driver);
    if (config.watchCounter()) {
      ceilings = new CeilingShares(loop, clock, counter, config.settings());
      driver.divide(ceilings);
    }
    counter.start();
    roster = new MergedRoster(clock::now, driver::onRoster);
    driver.start(counter, roster.merge(config.known()));
    discovery = new DiscoveryClient(loop, clock, config.discovery(), config.known().version(), roster::heard);
    discovery.start();
  }

  private CounterClient linesOf(Config config) {
    CounterClient lines = new CounterClient(loop, clock, Dialer.sockets(loop, CounterClient.CONNECT_LIMIT_MS),
        config.counter(), config.settings().allowed().countLimitMs(), driver::counted);
    if (config.watchCounter()) {
      lines.watch(new CounterWatch(Long.toHexString(config.seed())), driver::replaced);
    }
    return lines;
  }

  /** Has requests pass a gate, or with null none; on the loop, at best before the door listens. */
  public void guard(Gate gate) {
    driver.guard(gate);
  }

  /** The part, from 0 to 1, of a customer's use that comes through this door; on the loop. */
  public double through(Request request) {
    return driver.through(request);
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
    return Transport.BEST.socket();
  }

  public SocketAddress address() {
    return listening.localAddress();
  }

  /** Milliseconds on the door's clock. */
  public double now() {
    return clock.now();
  }

  /** Listens, and leaves what comes in the accept queue until {@link #accept}; not for the loop's thread. */
  public void bind(InetSocketAddress address) throws IOException, InterruptedException {
    try {
      listening = clients.listen(group, address).sync().channel();
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
      listening = clients.adopt(group, descriptor).sync().channel();
    } catch (InterruptedException e) {
      throw e;
    } catch (Exception e) {
      throw new IOException("cannot listen on descriptor " + descriptor + ": " + e.getMessage(), e);
    }
  }

  /** The descriptor of the listening socket, to be handed to a successor; -1 where the transport has none. */
  public int descriptor() {
    return Transport.descriptor(listening);
  }

  /** Takes connections from here on. */
  public void accept() {
    if (ceilings != null) {
      ceilings.begin();
    }
    listening.config().setAutoRead(true);
  }

  /** Answers {@code GET /up} with 200 from here on, as soon as a backend is known. */
  public void beFound() {
    found = true;
    clients.serve();
  }

  /** Has operators call at this address from here on; not for the loop's thread. */
  public void manage(InetSocketAddress address) throws IOException, InterruptedException {
    management = new ManagementServer(new Managed());
    management.listen(group, Transport.BEST.serverSocket(), address);
  }

  /** Where operators call. */
  SocketAddress managementAddress() {
    return management.address();
  }

  /** What operators may do with this door. */
  private final class Managed implements Operations {
    @Override
    public boolean ready() {
      return found && !ending && driver.knowsBackends();
    }

    @Override
    public void carryOut(Order order, boolean forwarded, Consumer<Reply> told) {
      told.accept(carryOut(order));
    }

    private Reply carryOut(Order order) {
      if (order instanceof Order.Drain) {
        sendAway();
        return Reply.yes("draining");
      }
      if (order instanceof Order.Undrain) {
        takeBack();
        return Reply.yes("serving");
      }
      if (order instanceof Order.Disable o) {
        return roster.takeOut(o.member()) ? Reply.yes("out: " + o.member()) : unknown(o.member());
      }
      Order.Enable o = (Order.Enable) order;
      return roster.putBack(o.member()) ? Reply.yes("back: " + o.member()) : unknown(o.member());
    }

    private Reply unknown(String member) {
      return new Reply(404, "no backend " + member + " is listed");
    }
  }

  /** Operators send the clients away: as before an end, but nothing ends but the clients' connections. */
  private void sendAway() {
    if (!sentAway) {
      sentAway = true;
      if (!ending) {
        beginDrain();
        clients.empty(true);
      }
    }
  }

  /** They may come back; one that is ending goes on doing so. */
  private void takeBack() {
    if (sentAway) {
      sentAway = false;
      if (!ending) {
        clients.empty(false);
        resume();
      }
    }
  }

  /**
   * Leaves new connections, and this door's parts of ceilings, to whoever else holds the listening socket;
   * {@link #accept} takes them back.
   */
  public void leaveListening() {
    if (ceilings != null) {
      ceilings.handOver();
    }
    listening.config().setAutoRead(false);
  }

  /** Answers {@code GET /up} with 503, and ends each connection with its next answer. */
  public void beginDrain() {
    driver.draining(true);
    clients.drain(true);
    clients.leave(true);
  }

  /** Serves on as before {@link #beginDrain}. */
  public void resume() {
    driver.draining(false);
    clients.drain(false);
    clients.leave(false);
  }

  /** Closes this process's hold of the listening socket, and ends connections that no request is on. */
  public void stopAccepting() {
    clients.stopAccepting(listening);
  }

  /** Answers all that is out as failed. */
  public void failAll() {
    driver.failAll();
  }

  /** True when no client's connection is open. */
  public boolean idle() {
    return clients.idle();
  }

  /** Requests without their final answer, or with an attempt out. */
  public int held() {
    return driver.held();
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
      ending = true;
      clients.drain(true);
    });
    loop.schedule(() -> clients.stopListening(listening), ACCEPT_MS, TimeUnit.MILLISECONDS);
    loop.schedule(() -> {
      beginDrain();
      stopAccepting();
    }, KEEP_MS, TimeUnit.MILLISECONDS);
    loop.scheduleWithFixedDelay(() -> {
      if (clients.idle()) {
        drained.countDown();
      }
    }, ACCEPT_MS + POLL_MS, POLL_MS, TimeUnit.MILLISECONDS);
    try {
      if (!drained.await(ANSWER_MS, TimeUnit.MILLISECONDS)) {
        loop.submit(driver::failAll).sync();
        drained.await(ACCEPT_MS / 2, TimeUnit.MILLISECONDS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    stop();
  }

  /** Ends the loop, and with it every socket. */
  public void stop() {
    if (counter != null) {
      counter.close();
    }
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }
}
