package willowdoor.management;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Calls the management address of another process, with one call per connection, as an operator would. */
public final class ManagementClient {

  /**
   * Outcome of a call: an answer arrived; the system tells that no process listens there; or no answer
   * arrived, which tells nothing about the process.
   */
  public enum CallOutcome { ANSWER, NOBODY, NOTHING }

  /**
   * Result of a call.
   *
   * @param reply null unless an answer arrived
   */
  public record CallResult(CallOutcome outcome, Reply reply) { }

  private static final int MAX_ANSWER_BYTES = 1 << 20;

  private final EventLoop loop;
  private final Class<? extends SocketChannel> channelType;

  public ManagementClient(EventLoop loop, Class<? extends SocketChannel> channelType) {
    this.loop = loop;
    this.channelType = channelType;
  }

  /**
   * Makes a call; on the loop. The callback runs there once, after the limit at the latest.
   *
   * @param processId identity of the process that is meant, or empty for any: another process at the address
   *     counts as {@link CallOutcome#NOBODY}
   * @param limitMs the time limit in milliseconds
   */
  public void call(InetSocketAddress address, String processId, HttpMethod method, String target,
      long limitMs, Consumer<CallResult> callback) {
    PendingCall pendingCall = new PendingCall(address, callback);
    ChannelFuture connecting = connect(address,
        () -> List.of(new HttpClientCodec(), new HttpObjectAggregator(MAX_ANSWER_BYTES), pendingCall));
    loop.schedule(() -> pendingCall.finish(connecting.channel(), new CallResult(CallOutcome.NOTHING, null)),
        limitMs, TimeUnit.MILLISECONDS);
    ConnectAttempt.onDone(loop, connecting, () -> {
      if (!connecting.isSuccess()) {
        pendingCall.finish(connecting.channel(), withoutAnswer(connecting));
        return;
      }
      DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, target);
      request.headers().set(HttpHeaderNames.HOST, address.getAddress().getHostAddress())
          .set(HttpHeaderNames.CONTENT_LENGTH, 0).set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
          .set(ManagementServer.FORWARDED_HEADER, "1");
      if (!processId.isEmpty()) {
        request.headers().set(ManagementServer.PROCESS_HEADER, processId);
      }
      connecting.channel().writeAndFlush(request);
    });
  }

  private ChannelFuture connect(InetSocketAddress address, Supplier<List<ChannelHandler>> handlers) {
    return new Bootstrap().group(loop).channel(channelType)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            handlers.get().forEach(handler -> channel.pipeline().addLast(handler));
          }
        }).connect(address);
  }

  /** The result of a call of which no more is known than how its last attempt to connect has ended. */
  private static CallResult withoutAnswer(ChannelFuture connected) {
    boolean isRefused = ConnectAttempt.isRefused(connected);
    return new CallResult(isRefused ? CallOutcome.NOBODY : CallOutcome.NOTHING, null);
  }

  /** One call, finished once. */
  private final class PendingCall extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final InetSocketAddress address;
    private final Consumer<CallResult> callback;
    private boolean ended;

    PendingCall(InetSocketAddress address, Consumer<CallResult> callback) {
      this.address = address;
      this.callback = callback;
    }

    void finish(Channel channel, CallResult result) {
      ConnectAttempt.close(channel);
      if (!ended) {
        ended = true;
        callback.accept(result);
      }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
      boolean otherProcess = answer.status().code() == ManagementServer.ANOTHER_PROCESS;
      finish(ctx.channel(), otherProcess ? new CallResult(CallOutcome.NOBODY, null)
          : new CallResult(CallOutcome.ANSWER,
              new Reply(answer.status().code(), answer.content().toString(StandardCharsets.UTF_8))));
    }

    /**
     * A process that dies during a call counts as {@link CallOutcome#NOBODY}. But a process may also close a
     * call and go on, so it is asked once more whether one listens there.
     */
    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (!ended && !loop.isShuttingDown()) {
        ChannelFuture connecting = connect(address, List::of);
        ConnectAttempt.onDone(loop, connecting,
            () -> finish(connecting.channel(), withoutAnswer(connecting)));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
