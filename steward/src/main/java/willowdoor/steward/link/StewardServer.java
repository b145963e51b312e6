package willowdoor.steward.link;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import willowdoor.steward.link.LinkMessage.Ask;
import willowdoor.steward.link.LinkMessage.Hello;
import willowdoor.steward.link.LinkMessage.Refused;
import willowdoor.steward.link.LinkMessage.Reply;
import willowdoor.steward.link.LinkMessage.Role;
import willowdoor.steward.link.LinkMessage.Welcome;

/**
 * The server side of links. Refuses, with a reason, connections that don't speak the link protocol or belong
 * to another fleet or version. Bounds: {@value #MAX_CONNECTIONS} connections; a hello within {@value
 * #HELLO_TIMEOUT_MS} ms; a client that doesn't read its answers is disconnected.
 */
final class StewardServer {

  static final int MAX_CONNECTIONS = 2_000;
  static final int HELLO_TIMEOUT_MS = 2_000;
  /** Doors send several heartbeats per lease; a connection without data for this long is closed. */
  private static final int IDLE_TIMEOUT_S = 30;
  private static final Logger LOG = Logger.getLogger(StewardServer.class.getName());

  /** Handles what the connections receive. */
  interface Handler {
    /** Returns why the connection is refused, or null if it is accepted. */
    String refusalReason(Hello hello);

    /** Handles a consensus message from another steward. */
    void onStewardMessage(byte[] message);

    /** Handles a call; the answer is given exactly once, on the event loop. */
    void onCall(Hello by, Ask ask, java.util.function.Consumer<Answer> answer);
  }

  private final String name;
  private final String group;
  private final Handler handler;
  private final Channel serverChannel;
  private int connections;
  /** The current connection of each steward, by name; a new connection replaces the old one. */
  private final Map<String, Channel> stewardChannels = new HashMap<>();

  StewardServer(EventLoop loop, InetSocketAddress listen, String group, String name, Handler handler)
      throws IOException, InterruptedException {
    this.group = group;
    this.name = name;
    this.handler = handler;
    try {
      serverChannel = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
          .option(ChannelOption.SO_REUSEADDR, true).childOption(ChannelOption.TCP_NODELAY, true)
          .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, LinkClient.WRITE_BUFFER_LIMITS)
          .childHandler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel ch) {
              FrameCodec.addTo(ch.pipeline());
              ch.pipeline().addLast(new ConnectionHandler());
            }
          }).bind(listen).sync().channel();
    } catch (InterruptedException e) {
      throw e;
    } catch (Exception e) {
      throw new IOException("cannot listen on " + listen + ": " + e.getMessage(), e);
    }
  }

  InetSocketAddress address() {
    return (InetSocketAddress) serverChannel.localAddress();
  }

  private final class ConnectionHandler extends SimpleChannelInboundHandler<Object> {
    private Hello hello;

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      ctx.channel().closeFuture().addListener(ended -> connections--);
      if (++connections > MAX_CONNECTIONS) {
        refuse(ctx, MAX_CONNECTIONS + " links are open already");
        return;
      }
      ctx.executor().schedule(() -> {
        if (hello == null) {
          refuse(ctx, "no hello within " + HELLO_TIMEOUT_MS + " ms");
        }
      }, HELLO_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Object message) {
      if (hello == null) {
        hello(ctx, message);
      } else if (message instanceof byte[] bytes && hello.role() == Role.STEWARD) {
        handler.onStewardMessage(bytes);
      } else if (message instanceof Ask e) {
        handler.onCall(hello, e, answer -> reply(ctx, new Reply(e.id(), answer)));
      } else {
        refuse(ctx, "not understood: " + (message instanceof byte[] ? "a message between stewards"
            : message));
      }
    }

    private void hello(ChannelHandlerContext ctx, Object message) {
      if (!(message instanceof Hello e)) {
        refuse(ctx, "the first message is " + message.getClass().getSimpleName() + " (expected: Hello)");
        return;
      }
      int version = Math.min(e.most(), LinkMessage.VERSION);
      String why = version < e.least() || version < LinkMessage.OLDEST ? "link versions " + e.least()
          + " to " + e.most()
          + " (expected: one from " + LinkMessage.OLDEST + " to " + LinkMessage.VERSION + ")"
          : !e.group().equals(group) ? "this is a steward of \"" + group + "\", not of \"" + e.group() + '"'
          : handler.refusalReason(e);
      if (why != null) {
        refuse(ctx, why);
        return;
      }
      hello = e;
      FrameCodec.setMaxLength(ctx.pipeline(),
          e.role() == Role.STEWARD ? FrameCodec.MAX_STEWARD_BYTES : FrameCodec.MAX_CALL_BYTES);
      if (e.role() == Role.STEWARD) {
        Channel before = stewardChannels.put(e.name(), ctx.channel());
        if (before != null) {
          before.close();
        }
      } else {
        ctx.pipeline().addFirst(new IdleStateHandler(IDLE_TIMEOUT_S, 0, 0));
      }
      ctx.writeAndFlush(new Welcome(version, name));
    }

    private void reply(ChannelHandlerContext ctx, Reply reply) {
      if (ctx.channel().isWritable()) {
        ctx.writeAndFlush(reply);
      } else {
        ctx.close();
      }
    }

    private void refuse(ChannelHandlerContext ctx, String why) {
      LOG.log(Level.INFO, "closing the link from {0}: {1}",
          new Object[] {ctx.channel().remoteAddress(), why});
      ctx.writeAndFlush(new Refused(why)).addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
      if (event instanceof IdleStateEvent) {
        ctx.close();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (hello != null) {
        stewardChannels.remove(hello.name(), ctx.channel());
      }
    }

    /** Handles invalid input, which is refused, and a broken connection, which is closed. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (cause instanceof IOException && !(cause instanceof com.fasterxml.jackson.core.JacksonException)) {
        ctx.close();
      } else {
        refuse(ctx, "not understood: " + cause.getMessage());
      }
    }
  }
}
