package willowdoor.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import willowdoor.memory.MemoryBudget;
import willowdoor.policy.ConnectionActivity;
import willowdoor.policy.GatewayApi.Request;

/** Accepts client connections, and holds the state that all of them share. */
final class ClientServer {

  private static final Logger LOG = Logger.getLogger(ClientServer.class.getName());
  /**
   * So many connections above the limit as the limit divided by this number are still told that they are
   * refused; any further ones are closed at once.
   */
  private static final int EXCESS_DIVISOR = 16;
  /**
   * With more than this share of the allowed client connections open, connections are closed with their
   * answers.
   */
  private static final double CROWDED_SHARE = 0.75;
  private static final int MAX_BODY_BYTES = 64 * 1024;
  /** Pieces of a body that are kept apart; more are merged, as each takes an object and a buffer. */
  private static final int MAX_BODY_PIECES = 16;
  /** Largest read of a client's connection, in bytes. */
  private static final int MAX_READ_BYTES = 16 * 1024;
  /** Low and high water mark, in bytes, of a streamed answer that waits to be taken by its client. */
  private static final WriteBufferWaterMark STREAM_WATER_MARK =
      new WriteBufferWaterMark(16 * 1024, 48 * 1024);
  /**
   * Bytes of answers that the kernel holds unsent for one client. Without a limit, each client that reads
   * late makes the loop fill a send buffer of several megabytes.
   */
  private static final long MAX_UNSENT_BYTES = 64 * 1024;
  /** Interval of the checks for overdue requests and idle connections, in milliseconds. */
  private static final long SWEEP_MS = 200;
  /**
   * Interval of the log lines on the memory budget, in milliseconds, while more is asked for than admitted.
   */
  private static final double MEMORY_REPORT_MS = 10_000;
  /**
   * Delay in milliseconds before a drain closes connections: a load balancer polls /up every 0.1 s and sends
   * new connections for 0.2 s more, and no connection is closed before.
   */
  static final double DRAIN_CLOSE_AFTER_MS = 500;
  /**
   * From then on, a connection that has been without a request for so many milliseconds is closed; few
   * requests cross the close of such a connection.
   */
  private static final double DRAIN_IDLE_MS = 300;
  /**
   * So many milliseconds after that moment, any connection is closed as soon as it has no request: 4 s after
   * the drain command no connection may be held.
   */
  private static final double DRAIN_CLOSE_ALL_MS = 1_100;

  private final EventLoop loop;
  private final Clock clock;
  private final ModuleDriver driver;
  private final BackendPool backends;
  private final RequestReader reader;
  private final MemoryBudget memory;
  private final ConnectionBudget budget;
  /** In the order in which they were opened. */
  private final Set<ClientConnection> connections = new LinkedHashSet<>();
  /** Those that have their last answer and stay half open for a while, in the order of these answers. */
  private final Set<ClientConnection> lingering = new LinkedHashSet<>();
  private long reportedRejections;
  private double nextMemoryReportMs;
  private boolean ready;
  private boolean draining;
  private boolean closeAfterAnswer;
  private boolean stoppedAccepting;
  /** When the closing of idle connections begins, or NaN. */
  private double closeIdleFromMs = Double.NaN;

  ClientServer(EventLoop loop, Clock clock, ModuleDriver driver, BackendPool backends, RequestReader reader,
      MemoryBudget memory, ConnectionBudget budget) {
    this.loop = loop;
    this.clock = clock;
    this.driver = driver;
    this.backends = backends;
    this.reader = reader;
    this.memory = memory;
    this.budget = budget;
    loop.scheduleWithFixedDelay(this::closeOverdue, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Listens without accepting yet: connections wait in the accept queue.
   *
   * @param shared whether another process of this front door may listen at the same address
   */
  ChannelFuture listen(EventLoopGroup group, InetSocketAddress address, boolean shared) {
    ServerBootstrap bootstrap = bootstrap(group);
    if (shared) {
      bootstrap.option(Transport.REUSE_PORT, true);
    }
    return bootstrap.channel(Transport.PREFERRED.serverSocket())
        .option(ChannelOption.SO_BACKLOG, 512)
        .option(ChannelOption.SO_REUSEADDR, true)
        .bind(address);
  }

  /** Like {@link #listen}, on a socket that is already listening. */
  ChannelFuture adopt(EventLoopGroup group, int descriptor) {
    return bootstrap(group).channelFactory(() -> Transport.adoptServerSocket(descriptor)).register();
  }

  private ServerBootstrap bootstrap(EventLoopGroup group) {
    return new ServerBootstrap().group(group)
        .handler(new AcceptHandler())
        .option(ChannelOption.AUTO_READ, false)
        .childOption(ChannelOption.AUTO_READ, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, STREAM_WATER_MARK)
        .childOption(ChannelOption.RECVBUF_ALLOCATOR,
            Transport.reads(MAX_READ_BYTES, ReceivedBytesHandler.READS_PER_TURN))
        .childHandler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            ClientServer.this.adopt(channel);
          }
        });
  }

  /** Sets up a channel as a client's connection. */
  void adopt(Channel channel) {
    Transport.limitUnsent(channel, MAX_UNSENT_BYTES);
    ClientConnection connection = new ClientConnection(this);
    RequestDecoder decoder = new RequestDecoder();
    channel.pipeline().addLast(new ReceivedBytesHandler(connection, decoder), decoder,
        new HttpResponseEncoder(), new BodyPieceCopier(), new BodyAggregator(connection), connection);
  }

  /**
   * Collects the body of a message. A body above the limit is answered with 413, and the connection is
   * closed.
   */
  private static final class BodyAggregator extends HttpObjectAggregator {
    private final ClientConnection connection;

    BodyAggregator(ClientConnection connection) {
      super(MAX_BODY_BYTES);
      setMaxCumulationBufferComponents(MAX_BODY_PIECES);
      this.connection = connection;
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
      connection.closeWith(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body is too large");
    }
  }

  void markReady() {
    ready = true;
  }

  ModuleDriver driver() {
    return driver;
  }

  Request read(FullHttpRequest message, double arrivedMs) throws RequestReader.BadRequest {
    Request request = reader.read(message, arrivedMs);
    if (driver.holds(request.id())) {
      throw new RequestReader.BadRequest("Request-Id is in use");
    }
    if (driver.hasBegun(request.id()) && !message.method().equals(HttpMethod.GET)) {
      throw new RequestReader.BadRequest("Request-Id was used before");
    }
    return request;
  }

  boolean isReady() {
    return ready && !draining && backends.hasBackends();
  }

  /** Whether each answer closes its connection. */
  boolean closesAfterAnswer() {
    return closeAfterAnswer;
  }

  double now() {
    return clock.now();
  }

  /** The budget of all that peers make the process hold. */
  MemoryBudget memory() {
    return memory;
  }

  boolean isCrowded() {
    return budget.clients() > CROWDED_SHARE * budget.maxClients();
  }

  /**
   * Registers a new connection. At the limit it takes the place of one that only lingers. Returns true if it
   * exceeds the limit; far above the limit the connection is closed at once, as file descriptors run out.
   */
  boolean register(ClientConnection connection) {
    connections.add(connection);
    budget.addClients(1);
    int max = budget.maxClients();
    if (budget.clients() > max && !closeLongestLingering()) {
      evictIdle();
    }
    if (budget.clients() > max + max / EXCESS_DIVISOR) {
      connection.closeUnread();
    }
    return budget.clients() > max;
  }

  void unregister(ClientConnection connection) {
    lingering.remove(connection);
    if (connections.remove(connection)) {
      budget.addClients(-1);
    }
  }

  /** Called when a connection has its last answer, and stays half open so that its client can read it. */
  void onLingering(ClientConnection connection) {
    lingering.add(connection);
  }

  private boolean closeLongestLingering() {
    Iterator<ClientConnection> longest = lingering.iterator();
    if (!longest.hasNext()) {
      return false;
    }
    ClientConnection connection = longest.next();
    unregister(connection);
    connection.endLingering();
    return true;
  }

  /** Closes the first connection that may be evicted, if there is one, to make room for another client. */
  private void evictIdle() {
    double now = clock.now();
    connections.stream()
        .filter(c -> !c.isClosing() && c.activity(now).mayBeEvicted())
        .sorted(Comparator.comparing(c -> c.activity(now), ConnectionActivity.EVICTION_ORDER))
        .filter(c -> !c.hasUnreadInput(now))
        .findFirst()
        .ifPresent(ClientConnection::closeIfIdle);
  }

  private void closeOverdue() {
    double now = clock.now();
    reportMemory(now);
    List.copyOf(connections).forEach(c -> c.closeIfOverdue(now));
    if (now >= closeIdleFromMs) {
      double idleMs = now - closeIdleFromMs > DRAIN_CLOSE_ALL_MS ? 0 : DRAIN_IDLE_MS;
      List<ClientConnection> idle = connections.stream()
          .filter(c -> !c.isClosing() && c.activity(now).isIdleFor(idleMs)).toList();
      // Closed after one more poll of the sockets: a loop that runs late has not read what arrived meanwhile.
      loop.schedule(() -> idle.forEach(c -> c.closeIfIdleSince(now)), 1, TimeUnit.MILLISECONDS);
    }
  }

  private void reportMemory(double now) {
    RequestLog.note(null, "memory", "held", memory);
    if (memory.rejections() > reportedRejections && now >= nextMemoryReportMs) {
      LOG.log(Level.WARNING, "memory for what peers send is at its bound: {0}", memory);
      reportedRejections = memory.rejections();
      nextMemoryReportMs = now + MEMORY_REPORT_MS;
    }
  }

  /**
   * Begins to close connections without a request, or stops doing so; new connections are still accepted.
   * Guards against requests that cross the close of their connection: only connections that have been idle
   * are closed here. All others close with their next answer, which tells the client; see {@link
   * #setCloseAfterAnswer}.
   *
   * @param afterMs the delay in milliseconds, or NaN to stop
   */
  void closeIdleConnections(double afterMs) {
    closeIdleFromMs = clock.now() + afterMs;
  }

  /** While set, {@code GET /up} is answered with 503; connections are accepted and kept as before. */
  void setDraining(boolean enabled) {
    draining = enabled;
  }

  /** While set, every answer closes its connection; new connections are still accepted. */
  void setCloseAfterAnswer(boolean enabled) {
    closeAfterAnswer = enabled;
  }

  /** Stops accepting connections. */
  void stopListening(Channel listening) {
    listening.close();
  }

  /**
   * Like {@link #stopListening}, after a delay in which connections are still accepted. Guards connections
   * that came to this socket and not to that of the other process: closing the socket would reset them. The
   * loop polls its sockets before it runs its timers.
   */
  void stopListeningAfterAccepting(Channel listening, long delayMs) {
    listening.eventLoop().schedule(() -> listening.close(), delayMs, TimeUnit.MILLISECONDS);
  }

  /**
   * Stops accepting connections, and closes those that are idle. A request that is arriving is still
   * answered, which closes its connection.
   */
  void stopAccepting(Channel listening) {
    stoppedAccepting = true;
    listening.close();
    List.copyOf(connections).forEach(ClientConnection::closeIfIdle);
  }

  /** Refuses the requests that are arriving, as the process ends. */
  void refuseArriving() {
    List.copyOf(connections).forEach(ClientConnection::refuseArriving);
  }

  /** Whether idle connections are closed at once. */
  boolean hasStoppedAccepting() {
    return stoppedAccepting;
  }

  /** Whether an answer is being passed on, or a client has not taken all of one. */
  boolean hasAnswersUnderWay() {
    return connections.stream().anyMatch(ClientConnection::hasAnswerUnderWay);
  }

  boolean hasNoConnections() {
    return connections.isEmpty();
  }
}
