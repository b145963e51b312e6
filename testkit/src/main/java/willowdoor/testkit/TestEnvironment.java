package willowdoor.testkit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.handler.ssl.SslContext;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The environment of doors under test, on loopback and in this process: backends, discovery, counter, and the
 * event history that all of them write. It has separate event loops for backends, for counter and discovery,
 * for clients and, when there are any, for authorisers. The caller creates the doors.
 */
public final class TestEnvironment implements AutoCloseable {

  private final EventLoopGroup backendLoop = loop();
  private final EventLoopGroup peerLoop = loop();
  private final EventLoopGroup clientLoop = loop();
  private final EventHistory eventHistory = new EventHistory();
  private final RunSettings runSettings;
  private final BackendPool.BackendSpec backendSpec;
  private final StandInDiscovery discovery;
  private final StandInCounter counter;
  private final BackendPool backendPool;
  private final long seed;
  private final List<StandInAuthoriser> authorisers = new ArrayList<>();
  private EventLoopGroup authoriserLoop;
  private InvariantChecker.Authorisation authorisation;
  private InvariantChecker.Budgets budgets;
  private ClientFleet fleet;
  private int relays;

  public TestEnvironment(RunSettings runSettings, BackendPool.BackendSpec backendSpec, long seed) {
    this.runSettings = runSettings;
    this.backendSpec = backendSpec;
    this.seed = seed;
    discovery = new StandInDiscovery(peerLoop, eventHistory);
    counter = new StandInCounter(peerLoop, eventHistory);
    backendPool = new BackendPool(backendLoop, eventHistory, runSettings, discovery, backendSpec, seed);
  }

  private static EventLoopGroup loop() {
    return new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  }

  public EventHistory eventHistory() {
    return eventHistory;
  }

  public RunSettings runSettings() {
    return runSettings;
  }

  public StandInDiscovery discovery() {
    return discovery;
  }

  public StandInCounter counter() {
    return counter;
  }

  public BackendPool backendPool() {
    return backendPool;
  }

  public long seed() {
    return seed;
  }

  /** Starts an authoriser that announces these HTTP/2 settings to its clients; {@code tls} may be null. */
  public StandInAuthoriser authoriser(String name, Http2Settings settings, SslContext tls) {
    if (authoriserLoop == null) {
      authoriserLoop = loop();
    }
    StandInAuthoriser made = new StandInAuthoriser(name, authoriserLoop.next(), eventHistory, settings, tls);
    authorisers.add(made);
    return made;
  }

  /** All authorisers, in the order of their creation. */
  public List<StandInAuthoriser> authorisers() {
    return List.copyOf(authorisers);
  }

  /** Also checks requests against this rule on authorisation. */
  public void authorise(InvariantChecker.Authorisation needed) {
    authorisation = needed;
  }

  /** Also checks operators' permits and releases against these budgets. */
  public void budgets(InvariantChecker.Budgets kept) {
    budgets = kept;
  }

  /** Starts a proxy to the target that injects network faults on request. */
  public FaultyLink relay(java.net.InetSocketAddress target) {
    return new FaultyLink(peerLoop, target, seed + ++relays);
  }

  /** Creates the client fleet of these doors; the fleet sends nothing before it is started. */
  public ClientFleet fleet(List<? extends Door> doors, ClientFleet.Load load) {
    fleet = new ClientFleet(clientLoop.next(), eventHistory, runSettings, doors, load, seed);
    return fleet;
  }

  /** Checks the event history against the invariants; to be called when all tries have ended. */
  public InvariantChecker.Verdict verdict() {
    return new InvariantChecker(eventHistory, runSettings, backendSpec.capacity(), authorisation)
        .withBudgets(budgets).verdict();
  }

  @Override
  public void close() {
    if (fleet != null) {
      fleet.close();
    }
    for (EventLoopGroup group : List.of(clientLoop, backendLoop, peerLoop)) {
      group.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS);
    }
    if (authoriserLoop != null) {
      authoriserLoop.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS);
    }
  }
}
