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
 * Server of the operators' management address. Handles one call per connection, on the front door's own loop,
 * so that a confirmed command holds for whatever the loop does afterwards. Guards against callers that never
 * finish their call: connections and bytes are bounded, and the oldest unfinished caller is closed in favour
 * of a new one.
 */
public final class ManagementServer {

  private static final Logger LOG = Logger.getLogger(ManagementServer.class.getName());
  /**
   * Maximum number of connections with an unfinished call; a front door's descriptor budget accounts for
   * them.
   */
  public static final int MAX_CONNECTIONS = 16;
  /** A caller that has not finished its call after so many milliseconds is disconnected. */
  private static final long CALL_TIMEOUT_MS = 5_000;
  private static final int MAX_LINE_BYTES = 1_024;
  private static final int MAX_HEADER_BYTES = 4_096;
  private static final int MAX_BODY_BYTES = 1_024;
  /** Header that marks a call forwarded by the other process of this front door. */
  static final String FORWARDED_HEADER = "Door-Forwarded";
  /** Header with the identity of the process that a call is meant for. */
  static final String PROCESS_HEADER = "Door-Process";
  /** Status of a call that is meant for another process. */
  static final int ANOTHER_PROCESS = 410;

  private final Operations operations;
  /** Callers with an unfinished call, oldest first. */
  private final ArrayDeque<Channel> incompleteCallers = new ArrayDeque<>();
  private Channel serverChannel;

  public ManagementServer(Operations operations) {
    this.operations = operations;
  }

  /** Listens; not to be called on the loop's thread. */
  public void listen(EventLoopGroup loop, Class<? extends ServerSocketChannel> channelType,
      InetSocketAddress address) throws IOException, InterruptedException {
    try {
      serverChannel = new ServerBootstrap().group(loop).channel(channelType)
          .option(ChannelOption.SO_BACKLOG, 4 * MAX_CONNECTIONS)
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
    return serverChannel.localAddress();
  }

  /** Stops listening; may be called on any thread. */
  public void close() {
    if (serverChannel != null) {
      serverChannel.close();
    }
  }

  private void open(Channel channel) {
    if (incompleteCallers.size() >= MAX_CONNECTIONS) {
      incompleteCallers.poll().close();
    }
    incompleteCallers.add(channel);
    channel.pipeline().addLast(new HttpRequestDecoder(new HttpDecoderConfig()
        .setMaxInitialLineLength(MAX_LINE_BYTES).setMaxHeaderSize(MAX_HEADER_BYTES)),
        new HttpResponseEncoder(),
        new HttpObjectAggregator(MAX_BODY_BYTES, true), new CallHandler());
    channel.eventLoop().schedule(() -> {
      if (incompleteCallers.remove(channel)) {
        channel.close();
      }
    }, CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  /** Handles one caller and its one call. */
  private final class CallHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private boolean callReceived;

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest message) {
      if (callReceived) {
        return;
      }
      callReceived = true;
      incompleteCallers.remove(ctx.channel());
      String expectedProcess = message.headers().get(PROCESS_HEADER, operations.processId());
      Call call = Call.read(message);
      if (!expectedProcess.equals(operations.processId())) {
        answer(ctx, new Reply(ANOTHER_PROCESS, "this is another process"));
      } else if (call instanceof Call.Ready) {
        answer(ctx, operations.ready() ? Reply.ok("ready") : new Reply(503, "not ready"));
      } else if (call instanceof Call.Hello hello) {
        answer(ctx, operations.hello(hello.greeting()));
      } else if (call instanceof Call.Claim claim) {
        // Behind the requests that this turn of the loop has read: they came before.
        ctx.executor().execute(() -> answer(ctx, operations.claim(claim.ids())));
      } else if (call instanceof Call.Invalid invalid) {
        answer(ctx, invalid.reply());
      } else if (call instanceof Call.Execute execute) {
        operations.carryOut(execute.command(), message.headers().contains(FORWARDED_HEADER), reply -> {
          LOG.log(Level.INFO, "management: {0}: {1} {2}",
              new Object[] {execute.command(), reply.status(), reply.text()});
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
      incompleteCallers.remove(ctx.channel());
    }

    /** A broken connection ends only its own call. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      LOG.log(Level.FINE, "management connection failed", cause);
      ctx.close();
    }
  }
}
