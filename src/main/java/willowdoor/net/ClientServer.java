package willowdoor.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import willowdoor.GatewayApi.Request;

/** Accepts clients, and tells their connections what all of them share. */
final class ClientServer {

  static final int MOST_CONNECTIONS = 420;
  /** Connections over the bound that are still told so. */
  private static final int SPARE_CONNECTIONS = 60;
  /** A client silent for so long, between requests or inside one, loses its connection. */
  private static final int IDLE_S = 120;
  private static final int MOST_HELD = 400;
  private static final int MOST_HELD_BYTES = 8 << 20;
  private static final int MOST_LINE = 8_192;
  private static final int MOST_HEADERS = 16_384;
  private static final int MOST_BODY = 64 * 1024;

  private final Clock clock;
  private final ModuleDriver driver;
  private final BackendPool backends;
  private final RequestReader reader;
  private final Set<ClientConnection> connections = new HashSet<>();
  private Channel listening;
  private boolean ready;
  private boolean draining;

  ClientServer(Clock clock, ModuleDriver driver, BackendPool backends, RequestReader reader) {
    this.clock = clock;
    this.driver = driver;
    this.backends = backends;
    this.reader = reader;
  }

  ChannelFuture listen(EventLoopGroup group, InetSocketAddress address) {
    ChannelFuture bound = new ServerBootstrap().group(group).channel(Transport.BEST.serverSocket())
        .option(ChannelOption.SO_BACKLOG, 512)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            ClientConnection connection = new ClientConnection(ClientServer.this);
            channel.pipeline().addLast(new ReadTimeoutHandler(IDLE_S),
                new HttpServerCodec(MOST_LINE, MOST_HEADERS, MOST_BODY), new BoundedBody(connection),
                connection);
          }
        }).bind(address);
    listening = bound.channel();
    return bound;
  }

  /** Collects a message's body; one over the bound is answered 413, and the connection ends. */
  private static final class BoundedBody extends HttpObjectAggregator {
    private final ClientConnection connection;

    BoundedBody(ClientConnection connection) {
      super(MOST_BODY);
      this.connection = connection;
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
      connection.endWith(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body is too large");
    }
  }

  void serve() {
    ready = true;
  }

  ModuleDriver driver() {
    return driver;
  }

  Request read(FullHttpRequest message) throws RequestReader.BadRequest {
    Request request = reader.read(message, clock.now());
    if (driver.holds(request.id())) {
      throw new RequestReader.BadRequest("Request-Id is in use");
    }
    return request;
  }

  boolean ready() {
    return ready && !draining && backends.knowsAny();
  }

  boolean draining() {
    return draining;
  }

  /** Over these bounds requests are refused, so that the process stays within its memory. */
  boolean full() {
    return driver.held() >= MOST_HELD || driver.heldBytes() >= MOST_HELD_BYTES;
  }

  /** True when the connection is one too many; far beyond that it ends at once, as descriptors run out. */
  boolean opened(ClientConnection connection) {
    connections.add(connection);
    if (connections.size() > MOST_CONNECTIONS + SPARE_CONNECTIONS) {
      connection.closeIfIdle();
    }
    return connections.size() > MOST_CONNECTIONS;
  }

  void closed(ClientConnection connection) {
    connections.remove(connection);
  }

  /** From here on every answer ends its connection; new connections are still taken. */
  void beginDrain() {
    draining = true;
  }

  /** Takes no more connections, and ends those that no request is on. */
  void stopAccepting() {
    listening.close();
    List.copyOf(connections).forEach(ClientConnection::closeIfIdle);
  }

  boolean idle() {
    return connections.isEmpty();
  }
}
