package willowdoor.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import willowdoor.policy.GatewayApi.Status;

/** One connection to a backend: at most one attempt at a time, and what its answer means. */
final class BackendConnection extends SimpleChannelInboundHandler<HttpObject> {

  private static final int MOST_BODY = 64 * 1024;
  /** Answers 1xx that may come ahead of the real one. */
  private static final int MOST_AHEAD = 16;
  /** An answer is small and written at once: one that has begun and is not whole by then does not fit. */
  private static final long WHOLE_MS = 250;

  private final BackendPool pool;
  private final ResponseDecoder decoder;
  final BackendPool.Backend backend;
  /** Where it leads; its backend may move. */
  final InetSocketAddress place;
  private Channel channel;
  private Attempt current;
  double idleSince;
  /** It has carried an answer before. */
  private boolean kept;
  /** The answer being read, its body so far, and whether its end has come. */
  private HttpResponse head;
  private ByteBuf body;
  private boolean whole;
  private int ahead;
  /** More has come than the one answer. */
  private boolean overfull;
  /** Ends an answer that stops half way. */
  private Future<?> stop;

  BackendConnection(BackendPool pool, BackendPool.Backend backend, ResponseDecoder decoder) {
    this.pool = pool;
    this.backend = backend;
    this.place = backend.place;
    this.decoder = decoder;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
  }

  boolean usable() {
    return channel.isActive();
  }

  void close() {
    kept = false;
    channel.close();
  }

  /** Writes the attempt's request; nothing below the module ever writes it again. */
  void carry(Attempt attempt, FullHttpRequest request) {
    current = attempt;
    attempt.connection = this;
    channel.writeAndFlush(request).addListener((ChannelFuture f) -> {
      attempt.written = f.isSuccess();
      if (!f.isSuccess()) {
        attempt.end(Status.BROKEN, null);
        channel.close();
      }
    });
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
    if (current == null) {
      // An answer that nobody asked for.
      ctx.close();
    } else if (whole) {
      overfull = true;
    } else if (part.decoderResult().isFailure() || part instanceof HttpResponse && head != null) {
      spoilt();
    } else {
      if (part instanceof HttpResponse r) {
        begin(r);
      }
      if (current != null && part instanceof HttpContent content) {
        add(content);
      }
    }
  }

  private void begin(HttpResponse answer) {
    boolean framed = HttpUtil.isContentLengthSet(answer) || HttpUtil.isTransferEncodingChunked(answer);
    boolean informational = answer.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    long length = HttpUtil.getContentLength(answer, 0L);
    if (informational ? ++ahead > MOST_AHEAD : !framed || length > MOST_BODY) {
      // Without a length the end of the connection is the end of the body, and a cut would look like it.
      spoilt();
    } else {
      head = answer;
      body = channel.alloc().buffer((int) length);
    }
  }

  private void add(HttpContent content) {
    if (body.readableBytes() + content.content().readableBytes() > MOST_BODY) {
      spoilt();
      return;
    }
    body.writeBytes(content.content());
    if (content instanceof LastHttpContent) {
      if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
        forget();
      } else {
        whole = true;
      }
    }
  }

  /**
   * Hands the answer on once the read is finished: only then it shows whether more than the answer has come.
   * Guards against a second copy, or noise, that would be taken for the next attempt's answer.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (current != null && whole) {
      answered();
    } else if (current != null && stop == null && (head != null || decoder.holdsMore())) {
      stop = ctx.executor().schedule(this::spoilt, WHOLE_MS, TimeUnit.MILLISECONDS);
    } else if (current == null && decoder.holdsMore()) {
      ctx.close();
    }
  }

  private void answered() {
    Attempt attempt = current;
    DefaultFullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, head.status(),
        body.retain(), head.headers(), EmptyHttpHeaders.INSTANCE);
    boolean inStep = attempt.written;
    boolean reusable = inStep && !attempt.ended() && !overfull && !decoder.holdsMore()
        && HttpUtil.isKeepAlive(head) && channel.isActive();
    current = null;
    forget();
    if (reusable) {
      pool.release(this);
    } else {
      channel.close();
    }
    // An answer ahead of the request's end is none to this request.
    Status status = inStep ? status(answer) : Status.BROKEN;
    kept = true;
    attempt.end(status, status == Status.OK ? answer : null);
    answer.release();
  }

  /** What came cannot be the answer: the request may have run, and the connection is of no more use. */
  private void spoilt() {
    Attempt attempt = current;
    current = null;
    forget();
    channel.close();
    if (attempt != null) {
      attempt.end(attempt.written ? Status.SPOILT : Status.BROKEN, null);
    }
  }

  private void forget() {
    head = null;
    whole = false;
    if (body != null) {
      body.release();
      body = null;
    }
    if (stop != null) {
      stop.cancel(false);
      stop = null;
    }
    if (current == null) {
      ahead = 0;
    }
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
    Attempt attempt = current;
    boolean stale = kept && head == null && ahead == 0;
    current = null;
    forget();
    pool.closed(this);
    if (attempt != null) {
      attempt.end(attempt.broken(stale), null);
    }
  }

  /** A reset, an answer over the bound or a fault of ours: this connection is of no more use. */
  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }
}
