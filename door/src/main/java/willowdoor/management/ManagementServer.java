package willowdoor.management;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The operators' address: one call to a connection, answered on the front door's own loop, so that a yes is
 * true for whatever the loop does after it. Guards against callers that never finish their call: connections
 * and bytes are bounded, and the one that has been silent longest gives way to a new one.
 */
public final class ManagementServer {

  private static final Logger LOG = Logger.getLogger(ManagementServer.class.getName());
  /** Connections held at once; a front door's descriptors are counted with these. */
  public static final int MOST_CONNECTIONS = 16;
  /** A caller that has not finished its call by then is cut off. */
  private static final long SILENT_MS = 5_000;
  private static final int MOST_LINE = 1_024;
  private static final int MOST_HEADERS = 4_096;
  private static final int MOST_BODY = 1_024;
  /** Marks a call that the other process of this front door hands on. */
  static final String FORWARDED = "Door-Forwarded";

  private final Operations operations;
  /** Callers without a whole call, the oldest first. */
  private final ArrayDeque<Channel> asking = new ArrayDeque<>();
  private Channel listening;

  public ManagementServer(Operations operations) {
    this.operations = operations;
  }

  /** Listens; not for the loop's thread. */
  public void listen(EventLoopGroup loop, Class<? extends ServerSocketChannel> type,
      InetSocketAddress address) throws IOException, InterruptedException {
    try {
      listening = new ServerBootstrap().group(loop).channel(type)
          .option(ChannelOption.SO_BACKLOG, 4 * MOST_CONNECTIONS)
          .option(ChannelOption.SO_REUSEADDR, true)
          .childOption(ChannelOption.TCP_NODELAY, true)
          .childHandler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
              open(channel);
            }
          }).bind(address).sync().channel();
    } catch (InterruptedException e) {
      throw e;
    } catch (Exception e) {
      throw new IOException("cannot listen for management on " + address + ": " + e.getMessage(), e);
    }
  }

  public SocketAddress address() {
    return listening.localAddress();
  }

  private void open(Channel channel) {
    if (asking.size() >= MOST_CONNECTIONS) {
      asking.poll().close();
    }
    asking.add(channel);
    channel.pipeline().addLast(new HttpRequestDecoder(new HttpDecoderConfig()
        .setMaxInitialLineLength(MOST_LINE).setMaxHeaderSize(MOST_HEADERS)), new HttpResponseEncoder(),
        new HttpObjectAggregator(MOST_BODY, true), new Asked());
    channel.eventLoop().schedule(() -> {
      if (asking.remove(channel)) {
        channel.close();
      }
    }, SILENT_MS, TimeUnit.MILLISECONDS);
  }

  /** One caller, and its one call. */
  private final class Asked extends SimpleChannelInboundHandler<FullHttpRequest> {
    private boolean called;

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest message) {
      if (called) {
        return;
      }
      called = true;
      asking.remove(ctx.channel());
      Call call = Call.read(message);
      if (call instanceof Call.Ready) {
        answer(ctx, operations.ready() ? Reply.yes("ready") : new Reply(503, "not ready"));
      } else if (call instanceof Call.Hello hello) {
        answer(ctx, operations.hello(hello.at(), hello.serves()));
      } else if (call instanceof Call.Bad bad) {
        answer(ctx, bad.reply());
      } else if (call instanceof Call.Ordered ordered) {
        operations.carryOut(ordered.order(), message.headers().contains(FORWARDED), reply -> {
          LOG.log(Level.INFO, "management: {0}: {1} {2}",
              new Object[] {ordered.order(), reply.status(), reply.text()});
          answer(ctx, reply);
        });
      }
    }

    private void answer(ChannelHandlerContext ctx, Reply reply) {
      ByteBuf text = Unpooled.copiedBuffer(reply.text() + "\n", StandardCharsets.UTF_8);
      DefaultFullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
          HttpResponseStatus.valueOf(reply.status()), text);
      answer.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
          .set(HttpHeaderNames.CONTENT_LENGTH, text.readableBytes())
          .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      ctx.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      asking.remove(ctx.channel());
    }

    /** A caller whose connection breaks is gone; no other hears of it. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      LOG.log(Level.FINE, "management caller", cause);
      ctx.close();
    }
  }
}
