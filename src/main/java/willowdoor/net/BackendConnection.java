package willowdoor.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import willowdoor.GatewayApi.Status;

/** One connection to a backend: at most one attempt at a time, and what its answer means. */
final class BackendConnection extends SimpleChannelInboundHandler<FullHttpResponse> {

  private final BackendPool pool;
  final BackendPool.Backend backend;
  private Channel channel;
  private Attempt current;
  double idleSince;

  BackendConnection(BackendPool pool, BackendPool.Backend backend) {
    this.pool = pool;
    this.backend = backend;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
  }

  boolean usable() {
    return channel.isActive();
  }

  void close() {
    channel.close();
  }

  /** Writes the attempt's request; nothing below the module ever writes it again. */
  void carry(Attempt attempt, FullHttpRequest request) {
    current = attempt;
    attempt.connection = this;
    channel.writeAndFlush(request).addListener((ChannelFuture f) -> {
      attempt.written = f.isSuccess();
      if (!f.isSuccess()) {
        attempt.end(Status.UNREACHABLE, null);
        channel.close();
      }
    });
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
    Attempt attempt = current;
    boolean whole = answer.decoderResult().isSuccess();
    if (whole && answer.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      return;
    }
    current = null;
    // Junk: an answer that nobody asked for, or one that does not parse.
    if (attempt == null || !whole) {
      ctx.close();
      if (attempt != null) {
        attempt.end(attempt.broken(), null);
      }
      return;
    }
    // An answer ahead of the request's end leaves the connection out of step.
    boolean reusable = attempt.written && !attempt.ended() && HttpUtil.isKeepAlive(answer) && framed(answer);
    if (reusable) {
      pool.release(this);
    } else {
      ctx.close();
    }
    Status status = status(answer);
    attempt.end(status, status == Status.OK ? answer : null);
  }

  /** Without a length the end of the connection is the end of the body, and a cut would look like it. */
  private static boolean framed(FullHttpResponse answer) {
    return HttpUtil.isContentLengthSet(answer) || HttpUtil.isTransferEncodingChunked(answer);
  }

  private static Status status(FullHttpResponse answer) {
    HttpResponseStatus code = answer.status();
    if (code.equals(HttpResponseStatus.OK)) {
      return Status.OK;
    }
    boolean turnedAway = (code.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
        || code.equals(HttpResponseStatus.GATEWAY_TIMEOUT))
        && "1".equals(answer.headers().get(Headers.NOT_STARTED));
    return turnedAway ? Status.REJECTED : Status.ERROR;
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    pool.closed(this);
    if (current != null) {
      current.end(current.broken(), null);
    }
  }

  /** A reset, an answer over the bound or a fault of ours: this connection is of no more use. */
  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }
}
