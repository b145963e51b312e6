package willowdoor.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import willowdoor.policy.GatewayApi.Request;

/** Accepts clients, and tells their connections what all of them share. */
final class ClientServer {

  /** Of the connections, this part is over the bound: those are still told so, any more end at once. */
  private static final int EXCESS_DIVISOR = 16;
  /** With so much of the places taken, connections end with their answers. */
  private static final double CROWDED_SHARE = 0.75;
  private static final int MAX_BODY_BYTES = 64 * 1024;
  /** Of an answer that passes through, so much waits to be taken by its client. */
  private static final WriteBufferWaterMark STREAM_WATER_MARK =
      new WriteBufferWaterMark(16 * 1024, 48 * 1024);
  /** How often connections are looked at for overdue requests. */
  private static final long SWEEP_MS = 200;
  /** A front looks at /up every 0.1 s and sends new connections for 0.2 s more: none ends before. */
  static final double DRAIN_CLOSE_AFTER_MS = 500;
  /** One without a request for so long is ended then; few requests cross the end of such a one. */
  private static final double DRAIN_IDLE_MS = 300;
  /** So long after that any is ended as soon as no request is on it: 4 s after the call none may be held. */
  private static final double DRAIN_CLOSE_ALL_MS = 1_100;

  private final EventLoop loop;
  private final Clock clock;
  private final ModuleDriver driver;
  private final BackendPool backends;
  private final RequestReader reader;
  private final ResourceLimits limits;
  private final ConnectionBudget budget;
  /** In the order of their opening. */
  private final Set<ClientConnection> connections = new LinkedHashSet<>();
  private int receivingBytes;
  private boolean ready;
  private boolean draining;
  private boolean closeAfterAnswer;
  /** Clients' idle connections end from then on, or NaN. */
  private double closeIdleFromMs = Double.NaN;

  ClientServer(EventLoop loop, Clock clock, ModuleDriver driver, BackendPool backends, RequestReader reader,
      ResourceLimits limits, ConnectionBudget budget) {
    this.loop = loop;
    this.clock = clock;
    this.driver = driver;
    this.backends = backends;
    this.reader = reader;
    this.limits = limits;
    this.budget = budget;
    loop.scheduleWithFixedDelay(this::closeOverdue, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Listens and takes nothing yet: connections wait in the accept queue.
   *
   * @param shared another process of this front door may listen at the same address
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

  /** The same on a socket that listens already. */
  ChannelFuture adopt(EventLoopGroup group, int descriptor) {
    return bootstrap(group).channelFactory(() -> Transport.adoptServerSocket(descriptor)).register();
  }

  private ServerBootstrap bootstrap(EventLoopGroup group) {
    return new ServerBootstrap().group(group)
        .option(ChannelOption.AUTO_READ, false)
        .childOption(ChannelOption.AUTO_READ, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, STREAM_WATER_MARK)
        .childHandler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            ClientServer.this.adopt(channel);
          }
        });
  }

  /** Makes a channel a client's connection. */
  void adopt(Channel channel) {
    ClientConnection connection = new ClientConnection(this);
    RequestDecoder decoder = new RequestDecoder();
    channel.pipeline()
        .addLast(new ReceivedBytesHandler(connection, decoder), decoder, new HttpResponseEncoder(),
        new BodyAggregator(connection), connection);
  }

  /** Sees a client's bytes first: when a request begins, how much of it has come, whether it is wanted. */
  private static final class ReceivedBytesHandler extends ChannelInboundHandlerAdapter {
    private final ClientConnection connection;
    private final RequestDecoder decoder;

    ReceivedBytesHandler(ClientConnection connection, RequestDecoder decoder) {
      this.connection = connection;
      this.decoder = decoder;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) {
      if (connection.acceptsBytes(((ByteBuf) bytes).readableBytes())) {
        ctx.fireChannelRead(bytes);
        connection.onDecoded(decoder.hasUndecodedBytes());
      } else {
        ReferenceCountUtil.release(bytes);
      }
    }
  }

  /** Collects a message's body; one over the bound is answered 413, and the connection ends. */
  private static final class BodyAggregator extends HttpObjectAggregator {
    private final ClientConnection connection;

    BodyAggregator(ClientConnection connection) {
      super(MAX_BODY_BYTES);
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
    return request;
  }

  boolean isReady() {
    return ready && !draining && backends.hasBackends();
  }

  /** Whether each answer ends its connection. */
  boolean closesAfterAnswer() {
    return closeAfterAnswer;
  }

  double now() {
    return clock.now();
  }

  /** Counts bytes of requests that are being received, or gives them back; true when they are too many. */
  boolean addReceivingBytes(int bytes) {
    receivingBytes += bytes;
    return receivingBytes > limits.maxBodyBytes();
  }

  /**
   * Whether requests are refused: with so much in bodies held, so that the process stays within its memory,
   * and after its last call.
   */
  boolean isFull() {
    return driver.isClosed() || driver.heldBodyBytes() >= limits.maxBodyBytes();
  }

  boolean isCrowded() {
    return budget.clients() > CROWDED_SHARE * budget.maxClients();
  }

  /** True when the connection is one too many; far beyond that it ends at once, as descriptors run out. */
  boolean register(ClientConnection connection) {
    connections.add(connection);
    budget.addClients(1);
    int max = budget.maxClients();
    if (budget.clients() > max) {
      evictLongestIdle();
    }
    if (budget.clients() > max + max / EXCESS_DIVISOR) {
      connection.closeIfIdle();
    }
    return budget.clients() > max;
  }

  void unregister(ClientConnection connection) {
    if (connections.remove(connection)) {
      budget.addClients(-1);
    }
  }

  /** Ends the connection that has been idle longest, if one may be ended: others want its place. */
  private void evictLongestIdle() {
    double now = clock.now();
    ClientConnection oldest = null;
    for (ClientConnection c : connections) {
      if (c.isEvictable(now) && (oldest == null || c.idleSinceMs() < oldest.idleSinceMs())) {
        oldest = c;
      }
    }
    if (oldest != null) {
      oldest.closeIfIdle();
    }
  }

  private void closeOverdue() {
    double now = clock.now();
    List.copyOf(connections).forEach(c -> c.closeIfOverdue(now));
    if (now >= closeIdleFromMs) {
      double idleMs = now - closeIdleFromMs > DRAIN_CLOSE_ALL_MS ? 0 : DRAIN_IDLE_MS;
      List<ClientConnection> idle = connections.stream().filter(c -> c.isIdle(now, idleMs)).toList();
      // They end after one more look at the sockets: a late loop has not read what came meanwhile.
      loop.schedule(() -> idle.forEach(c -> c.closeIfIdleSince(now)), 1, TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Ends clients' connections from here on, each with its next answer or when it has been quiet, or keeps
   * them again; new ones are still taken. Guards against requests that cross the end of their connection: it
   * is the quiet ones that end, and all others by their answer, which tells the client.
   *
   * @param afterMs in so long, or NaN for not at all
   */
  void closeIdleConnections(double afterMs) {
    closeIdleFromMs = clock.now() + afterMs;
  }

  /** From here on it is not to be found, or is again; connections are taken and kept as before. */
  void setDraining(boolean enabled) {
    draining = enabled;
  }

  /** From here on every answer ends its connection, or none does; new connections are still taken. */
  void setCloseAfterAnswer(boolean enabled) {
    closeAfterAnswer = enabled;
  }

  /** Takes no more connections. */
  void stopListening(Channel listening) {
    listening.close();
  }

  /**
   * The same once what waits to be accepted is in. Guards connections that came to this socket and not to the
   * other process's: an end of the socket resets them. The loop looks at its sockets before its timers.
   */
  void stopListeningAfterAccepting(Channel listening) {
    listening.eventLoop().schedule(() -> listening.close(), 1, TimeUnit.MILLISECONDS);
  }

  /** Takes no more connections, and ends those that no request is on. */
  void stopAccepting(Channel listening) {
    listening.close();
    List.copyOf(connections).forEach(ClientConnection::closeIfIdle);
  }

  boolean hasNoConnections() {
    return connections.isEmpty();
  }
}
