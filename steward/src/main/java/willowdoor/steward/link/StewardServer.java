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
 * The side of links that takes them. Guards against what is no link, or one of another fleet or version: it
 * is told so and ended. Bounds: {@value #MOST_LINKS} connections; a hello within {@value #HELLO_LIMIT_MS} ms;
 * who doesn't read the answers is ended.
 */
final class StewardServer {

  static final int MOST_LINKS = 2_000;
  static final int HELLO_LIMIT_MS = 2_000;
  /** Doors beat several times in each lease; one that says nothing for so long is gone. */
  private static final int SILENT_S = 30;
  private static final Logger LOG = Logger.getLogger(StewardServer.class.getName());

  /** Who works on what comes. */
  interface Host {
    /** Why this one may not, or null. */
    String refuses(Hello hello);

    /** What another steward sent. */
    void passed(byte[] message);

    /** A call; its answer is given once, on the loop. */
    void asked(Hello by, Ask ask, java.util.function.Consumer<Answer> answer);
  }

  private final String name;
  private final String group;
  private final Host host;
  private final Channel listening;
  private int links;
  /** By steward: a new connection of it is the one it uses. */
  private final Map<String, Channel> stewards = new HashMap<>();

  StewardServer(EventLoop loop, InetSocketAddress listen, String group, String name, Host host)
      throws IOException, InterruptedException {
    this.group = group;
    this.name = name;
    this.host = host;
    try {
      listening = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
          .option(ChannelOption.SO_REUSEADDR, true).childOption(ChannelOption.TCP_NODELAY, true)
          .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, LinkClient.MOST_WAITING)
          .childHandler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel ch) {
              Frames.add(ch.pipeline());
              ch.pipeline().addLast(new Link());
            }
          }).bind(listen).sync().channel();
    } catch (InterruptedException e) {
      throw e;
    } catch (Exception e) {
      throw new IOException("cannot listen on " + listen + ": " + e.getMessage(), e);
    }
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listening.localAddress();
  }

  private final class Link extends SimpleChannelInboundHandler<Object> {
    private Hello hello;

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      ctx.channel().closeFuture().addListener(ended -> links--);
      if (++links > MOST_LINKS) {
        refuse(ctx, MOST_LINKS + " links are open already");
        return;
      }
      ctx.executor().schedule(() -> {
        if (hello == null) {
          refuse(ctx, "no hello within " + HELLO_LIMIT_MS + " ms");
        }
      }, HELLO_LIMIT_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Object message) {
      if (hello == null) {
        hello(ctx, message);
      } else if (message instanceof byte[] bytes && hello.role() == Role.STEWARD) {
        host.passed(bytes);
      } else if (message instanceof Ask e) {
        host.asked(hello, e, answer -> reply(ctx, new Reply(e.id(), answer)));
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
          : host.refuses(e);
      if (why != null) {
        refuse(ctx, why);
        return;
      }
      hello = e;
      Frames.allow(ctx.pipeline(), e.role() == Role.STEWARD ? Frames.MOST_STEWARDS : Frames.MOST_CALL);
      if (e.role() == Role.STEWARD) {
        Channel before = stewards.put(e.name(), ctx.channel());
        if (before != null) {
          before.close();
        }
      } else {
        ctx.pipeline().addFirst(new IdleStateHandler(SILENT_S, 0, 0));
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
      LOG.log(Level.INFO, "a link from {0} ended: {1}", new Object[] {ctx.channel().remoteAddress(), why});
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
        stewards.remove(hello.name(), ctx.channel());
      }
    }

    /** Junk, or a connection that broke. */
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
