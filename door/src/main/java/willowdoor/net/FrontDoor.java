package willowdoor.net;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import willowdoor.policy.QuotaPolicy;

/** One real front door: its wiring, its start and its planned end. */
public final class FrontDoor {

  private static final Logger LOG = Logger.getLogger(FrontDoor.class.getName());
  /** After SIGTERM new connections go on coming for up to 0.4 s. */
  private static final long ACCEPT_MS = 550;
  /** SIGKILL comes no sooner than 3.7 s after SIGTERM where deadlines are long: all is answered by then. */
  private static final long ANSWER_MS = 3_300;
  private static final long POLL_MS = 10;

  private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, Transport.BEST.ioHandler());
  final EventLoop loop = group.next();
  private final Clock clock = new Clock();
  private final CountDownLatch drained = new CountDownLatch(1);
  private ModuleDriver driver;
  private ClientServer clients;
  private CounterClient counter;
  private DiscoveryClient discovery;
  private Channel listening;

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
      ReloadSignal.handle(() -> wired.reload(path));
      new WarmUp(config).run(WarmUp.LIMIT_MS);
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
    FrontDoor door = new FrontDoor();
    try {
      door.loop.submit(() -> door.wire(config)).sync();
      beforeListening.of(door);
      door.listening = door.clients.listen(door.group, config.listen()).sync().channel();
    } catch (RuntimeException e) {
      door.group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
      throw e;
    } catch (Exception e) {
      door.group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
      throw new IOException("cannot listen on " + config.listen() + ": " + e.getMessage(), e);
    }
    door.loop.execute(door.clients::serve);
    return door;
  }

  SocketAddress address() {
    return listening.localAddress();
  }

  private void wire(Config config) {
    Places places = new Places(config.limits().places());
    BackendPool backends = new BackendPool(loop, clock, Dialer.sockets(loop, config.connectLimitMs()),
        config.idleLimitMs(), places);
    QuotaPolicy policy = new QuotaPolicy(config.settings(), config.seed());
    driver = new ModuleDriver(loop, clock, policy, backends);
    clients = new ClientServer(loop, clock, driver, backends, new RequestReader(config.settings()),
        config.limits(), places);
    counter = new CounterClient(loop, clock, Dialer.sockets(loop, CounterClient.CONNECT_LIMIT_MS),
        config.counter(), config.settings().allowed().countLimitMs(), driver::onCounted);
    counter.start();
    driver.start(counter, config.known());
    discovery = new DiscoveryClient(loop, clock, config.discovery(), config.known().version(),
        driver::onRoster);
    discovery.start();
  }

  /**
   * Takes the addresses of discovery and of the counter from the replaced file; nothing else of it changes
   * while the process lives. Guards against a file that cannot be read: the old addresses stay.
   */
  void reload(Path file) {
    loop.execute(() -> {
      try {
        Config.Peers peers = Config.readPeers(file);
        counter.moveTo(peers.counter());
        discovery.moveTo(peers.discovery());
      } catch (IOException | RuntimeException e) {
        LOG.warning("the new configuration is not taken: " + e.getMessage());
      }
    });
  }

  /** The planned end: accept a little longer, answer all that was taken, then let the process go. */
  void drain() {
    loop.execute(clients::beginDrain);
    loop.schedule(clients::stopAccepting, ACCEPT_MS, TimeUnit.MILLISECONDS);
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

  void stop() {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }
}
