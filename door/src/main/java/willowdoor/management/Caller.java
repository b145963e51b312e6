package willowdoor.management;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
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
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Makes calls at another process's management address, one to a connection, as an operator would. */
public final class Caller {

  /** What came of a call: an answer; or nobody listens there; or none in time. */
  public enum Came { ANSWER, NOBODY, NOTHING }

  /**
   * The end of a call.
   *
   * @param reply null unless an answer came
   */
  public record End(Came came, Reply reply) { }

  private static final int MOST_ANSWER = 1 << 20;

  private final EventLoop loop;
  private final Class<? extends SocketChannel> type;

  public Caller(EventLoop loop, Class<? extends SocketChannel> type) {
    this.loop = loop;
    this.type = type;
  }

  /** Calls, on the loop; told is called there once, after the limit at the latest. */
  public void call(InetSocketAddress address, HttpMethod method, String target, long limitMs,
      Consumer<End> told) {
    One one = new One(told);
    ChannelFuture connecting = new Bootstrap().group(loop).channel(type)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(MOST_ANSWER), one);
          }
        }).connect(address);
    loop.schedule(() -> one.end(connecting.channel(), new End(Came.NOTHING, null)), limitMs,
        TimeUnit.MILLISECONDS);
    connecting.addListener((ChannelFuture f) -> {
      if (!f.isSuccess()) {
        one.end(f.channel(), new End(Came.NOBODY, null));
        return;
      }
      DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, target);
      request.headers().set(HttpHeaderNames.HOST, address.getAddress().getHostAddress())
          .set(HttpHeaderNames.CONTENT_LENGTH, 0).set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
          .set(ManagementServer.FORWARDED, "1");
      f.channel().writeAndFlush(request);
    });
  }

  /** One call, ended once. */
  private static final class One extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final Consumer<End> told;
    private boolean ended;

    One(Consumer<End> told) {
      this.told = told;
    }

    void end(Channel channel, End end) {
      channel.close();
      if (!ended) {
        ended = true;
        told.accept(end);
      }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
      end(ctx.channel(), new End(Came.ANSWER, new Reply(answer.status().code(),
          answer.content().toString(StandardCharsets.UTF_8))));
    }

    /** A process that dies under a call is nobody. */
    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      end(ctx.channel(), new End(Came.NOBODY, null));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
