package willowdoor.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpContentException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import willowdoor.policy.GatewayApi.Request;

/** One client's connection: a request at a time, each with the one final answer. */
final class ClientConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

  private static final Logger LOG = Logger.getLogger(ClientConnection.class.getName());
  /** How long a connection that is ended over bad input stays half open, so that the answer is read. */
  private static final long LINGER_MS = 300;
  /**
   * From its connecting, or for a later request from its first byte, a client has so long for a request's
   * head, which may take it 2 s, and more by what has come, as a body may come at 64 kB a second. A trickle
   * does not extend it: each held connection is one that another client cannot have.
   */
  private static final double REQUEST_MS = 2_600;
  private static final double LEAST_BYTES_PER_MS = 40;
  /** Between requests a connection may be ended after this, if another wants its place. */
  private static final double EVICT_MS = 2_050;
  /** One with no whole request in so long goes sooner: clients connect in order to ask, and ask at once. */
  private static final double EVICT_SILENT_MS = 300;
  /** Between requests a connection is ended after this in any case: some clients never come back. */
  private static final double IDLE_MS = 10_000;
  /** Requests kept behind the one under way; a client with more gets no further answers. */
  private static final int MOST_BEHIND = 16;

  private final ClientServer server;
  private Channel channel;
  /** One connection too many: its first request is refused, and it ends. */
  private boolean over;
  /** The request that is being worked on, and whether its connection is kept after it. */
  private String current;
  private boolean keepAlive;
  /** Whether its client reads chunks. */
  private boolean chunks;
  /** The answer that passes through, or null. */
  private AnswerPipe passing;
  private boolean ending;
  /** When it was opened or last answered. */
  private double quietSince;
  private boolean asked;
  /** When the request that is being received began, or NaN; and how many bytes have come of it. */
  private double receivingSince = Double.NaN;
  private int receivedBytes;
  /** Nothing more is taken: the requests kept are answered, and then the connection ends. */
  private boolean overrun;
  /** Requests that wait their turn, and whether the first of them is about to have it. */
  private final ArrayDeque<Waiting> waiting = new ArrayDeque<>(1);
  private boolean proceeding;

  /** A request and when its last byte came to this machine: from then on its time counts. */
  private record Waiting(FullHttpRequest message, double arrivedAt) { }

  ClientConnection(ClientServer server) {
    super(false);
    this.server = server;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    quietSince = server.now();
    over = server.opened(this);
  }

  /** Called with the size of what has come, before it is decoded; false when nothing more is wanted. */
  boolean receives(int bytes) {
    if (ending || overrun) {
      return false;
    }
    if (Double.isNaN(receivingSince)) {
      receivingSince = server.now();
    }
    receivedBytes += bytes;
    if (server.receiving(bytes) && receivedBytes > bytes) {
      endWith(HttpResponseStatus.SERVICE_UNAVAILABLE, "too much is being received");
      return false;
    }
    return true;
  }

  /** Called after that has been decoded; begun: part of a further request is among it. */
  void received(boolean begun) {
    if (begun && Double.isNaN(receivingSince)) {
      receivingSince = server.now();
    }
  }

  private void receivedAll() {
    receivingSince = Double.NaN;
    server.receiving(-receivedBytes);
    receivedBytes = 0;
  }

  double quietSince() {
    return quietSince;
  }

  /** Whether no request is on it, and has not been for long enough to end it for another's sake. */
  boolean evictable(double now) {
    if (current != null || ending) {
      return false;
    }
    if (asked && Double.isNaN(receivingSince)) {
      return now - quietSince > EVICT_MS;
    }
    return now - (asked ? receivingSince : quietSince) > EVICT_SILENT_MS;
  }

  /** Guards against clients that never finish a request, say nothing, or never come back. */
  void endIfOverdue(double now) {
    if (current != null || ending) {
      return;
    }
    if (!Double.isNaN(receivingSince)) {
      double wait = REQUEST_MS + receivedBytes / LEAST_BYTES_PER_MS;
      if (now - (asked ? receivingSince : quietSince) > wait) {
        endWith(HttpResponseStatus.REQUEST_TIMEOUT, "request is not whole in time");
      }
    } else if (now - quietSince > (asked ? IDLE_MS : REQUEST_MS)) {
      closeIfIdle();
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest message) {
    receivedAll();
    boolean first = current == null && waiting.isEmpty();
    if (ending || overrun) {
      message.release();
    } else if (!first && (waiting.size() >= MOST_BEHIND || message.decoderResult().isFailure())) {
      // Reading goes on, so that a client that leaves is noticed; the bound is on what is kept.
      overrun = true;
      message.release();
    } else {
      waiting.add(new Waiting(message, server.now() - Transport.waitedMs(channel)));
      proceed();
    }
  }

  /**
   * Has the next request handled behind all that the sockets have to tell by now. Guards against work for
   * clients that are gone: where CPU is short for any cause, connections wait long to be accepted, and the
   * hang-up is there with the request. Serving the dead first would leave no time for the living. Harm: a
   * client that ends its sending before it has its answer gets none, as already when it does so later.
   */
  private void proceed() {
    if (!proceeding && current == null && !waiting.isEmpty()) {
      proceeding = true;
      channel.eventLoop().execute(() -> {
        proceeding = false;
        Waiting next = waiting.poll();
        if (next != null) {
          handle(next.message, next.arrivedAt);
        }
      });
    }
  }

  private void handle(FullHttpRequest message, double arrivedAt) {
    asked = true;
    try {
      keepAlive = HttpUtil.isKeepAlive(message);
      chunks = message.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0;
      if (message.decoderResult().isFailure()) {
        endWith(HttpResponseStatus.BAD_REQUEST, "malformed request");
      } else if (message.uri().equals("/up")) {
        up(message);
      } else if (over || server.full()) {
        keepAlive &= !over;
        refused(0);
      } else {
        take(message, arrivedAt);
      }
    } catch (RuntimeException e) {
      faulty(e);
    } finally {
      message.release();
    }
  }

  /** A fault of ours costs this request, not the connection or the process; its cause goes to the log. */
  private void faulty(RuntimeException cause) {
    LOG.log(Level.SEVERE, "request failed", cause);
    if (current != null) {
      server.driver().clientLeft(current);
      current = null;
      answer(HttpResponseStatus.INTERNAL_SERVER_ERROR);
    } else {
      channel.close();
    }
  }

  private void up(FullHttpRequest message) {
    boolean get = message.method().equals(HttpMethod.GET);
    answer(!get ? HttpResponseStatus.METHOD_NOT_ALLOWED
        : server.ready() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE);
  }

  private void take(FullHttpRequest message, double arrivedAt) {
    Request request;
    try {
      request = server.read(message, arrivedAt);
    } catch (RequestReader.BadRequest e) {
      keepAlive &= e.framed();
      answer(HttpResponseStatus.BAD_REQUEST, e.getMessage());
      return;
    }
    FullHttpRequest onward = onward(message);
    HttpHeaders headers = message.headers();
    current = request.id();
    server.driver().take(request, onward, new ModuleDriver.Client() {
      @Override
      public void served(FullHttpResponse answer, HttpHeaders more, AnswerPipe rest) {
        if (rest == null) {
          current = null;
          ClientConnection.this.served(answer, more);
        } else {
          passOn(answer, more, rest);
        }
      }

      @Override
      public void refused(double holdOffMs) {
        current = null;
        ClientConnection.this.refused(holdOffMs);
      }

      @Override
      public void failed() {
        current = null;
        answer(HttpResponseStatus.BAD_GATEWAY);
      }

      @Override
      public void answered(FullHttpResponse answer) {
        current = null;
        write(answer.retain());
      }

      @Override
      public boolean gone() {
        return Transport.peerGone(channel);
      }

      @Override
      public Gate.Origin origin() {
        return new Gate.Origin(headers, channel.remoteAddress());
      }
    });
    onward.release();
  }

  /** What goes on to a backend: the request line, the body and the headers that are passed on, unchanged. */
  private static FullHttpRequest onward(FullHttpRequest message) {
    HttpHeaders from = message.headers();
    DefaultFullHttpRequest onward = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, message.method(),
        message.uri(), message.content().retain());
    for (CharSequence name : new CharSequence[] {HttpHeaderNames.HOST, Headers.REQUEST_ID,
        Headers.REQUEST_CLASS, Headers.IDEMPOTENCY_KEY, HttpHeaderNames.CONTENT_TYPE}) {
      String value = from.get(name);
      if (value != null) {
        onward.headers().set(name, value);
      }
    }
    if (message.content().isReadable() || message.method().equals(HttpMethod.POST)) {
      onward.headers().set(HttpHeaderNames.CONTENT_LENGTH, message.content().readableBytes());
    }
    return onward;
  }

  private void served(FullHttpResponse from, HttpHeaders more) {
    DefaultFullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK,
        from.content().retain());
    String type = from.headers().get(HttpHeaderNames.CONTENT_TYPE);
    if (type != null) {
      answer.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
    }
    if (more != null) {
      answer.headers().add(more);
    }
    write(answer);
  }

  /** Passes a long answer on as it comes; the connection is taken until its end. */
  private void passOn(FullHttpResponse from, HttpHeaders more, AnswerPipe rest) {
    HttpResponse answer = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    String type = from.headers().get(HttpHeaderNames.CONTENT_TYPE);
    if (type != null) {
      answer.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
    }
    if (more != null) {
      answer.headers().add(more);
    }
    if (HttpUtil.isContentLengthSet(from)) {
      answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, HttpUtil.getContentLength(from));
    } else if (chunks) {
      HttpUtil.setTransferEncodingChunked(answer, true);
    } else {
      keepAlive = false;
    }
    boolean keep = keeps();
    if (!keep) {
      answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    passing = rest;
    channel.write(answer);
    rest.setReceiver(new AnswerPipe.Receiver() {
      @Override
      public void onPiece(ByteBuf bytes) {
        channel.writeAndFlush(new DefaultHttpContent(bytes));
        if (!channel.isWritable()) {
          rest.setReading(false);
        }
      }

      @Override
      public void onComplete() {
        passing = null;
        current = null;
        quietSince = server.now();
        ending |= !keep;
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(keep
            ? ChannelFutureListener.CLOSE_ON_FAILURE : ChannelFutureListener.CLOSE);
        if (ending) {
          dropWaiting();
        }
        proceed();
      }

      @Override
      public void onAborted() {
        passing = null;
        breakOff();
      }
    });
  }

  /** Ends it so that its client can tell that the answer is not whole: by a reset, whatever its framing. */
  private void breakOff() {
    RequestLog.note(current, "connection ends", "reason", "its answer broke off");
    ending = true;
    if (channel.isActive() && channel instanceof SocketChannel socket) {
      socket.config().setSoLinger(0);
    }
    channel.close();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (passing != null) {
      passing.setReading(channel.isWritable());
    }
  }

  private boolean keeps() {
    // In a crowd a kept connection is a place that another client may not find. What was read comes first.
    overrun |= server.leaving() || server.crowded();
    return keepAlive && !(overrun && waiting.isEmpty());
  }

  private void refused(double holdOffMs) {
    FullHttpResponse answer = empty(holdOffMs > 0 ? HttpResponseStatus.TOO_MANY_REQUESTS
        : HttpResponseStatus.SERVICE_UNAVAILABLE);
    if (holdOffMs > 0) {
      answer.headers().set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", holdOffMs / 1000));
    }
    write(answer);
  }

  private void answer(HttpResponseStatus status) {
    write(empty(status));
  }

  private void answer(HttpResponseStatus status, String reason) {
    ByteBuf text = Unpooled.copiedBuffer(reason + "\n", StandardCharsets.US_ASCII);
    write(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, text));
  }

  private static FullHttpResponse empty(HttpResponseStatus status) {
    return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
  }

  private void write(FullHttpResponse answer) {
    answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.content().readableBytes());
    quietSince = server.now();
    boolean keep = keeps();
    if (!keep) {
      RequestLog.note(null, "connection ends", "reason", "with its answer", "status", answer.status().code());
      ending = true;
      answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    channel.writeAndFlush(answer).addListener(keep ? ChannelFutureListener.CLOSE_ON_FAILURE
        : ChannelFutureListener.CLOSE);
    if (ending) {
      dropWaiting();
    }
    proceed();
  }

  /**
   * Answers what cannot be read any further, and lets the client read that before the connection ends. Behind
   * a request that has no answer yet it would be taken for that one's, so the connection ends with that.
   */
  void endWith(HttpResponseStatus status, String reason) {
    if (ending) {
      return;
    }
    if (current != null || proceeding) {
      RequestLog.note(current, "nothing behind it is read", "reason", reason);
      overrun = true;
      return;
    }
    RequestLog.note(current, "connection ends", "reason", reason, "status", status.code());
    ending = true;
    dropWaiting();
    ByteBuf text = Unpooled.copiedBuffer(reason + "\n", StandardCharsets.US_ASCII);
    FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, text);
    answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, text.readableBytes());
    answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    channel.writeAndFlush(answer).addListener(f -> ((SocketChannel) channel).shutdownOutput());
    channel.eventLoop().schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
  }

  /** Ends the connection if no request is on it; one that is answered while draining ends by itself. */
  void closeIfIdle() {
    if (current == null && waiting.isEmpty() && !ending) {
      RequestLog.note(null, "connection ends", "reason", "idle", "open_ms", server.now() - quietSince);
      ending = true;
      channel.close();
    }
  }

  /**
   * Whether nothing has been on it, nor come of a next request, for so long. One that has not asked yet is
   * given the time that clients take to ask, however late this loop accepted it.
   */
  boolean quiet(double now, double forMs) {
    return current == null && waiting.isEmpty() && !ending && Double.isNaN(receivingSince)
        && now - quietSince >= (asked ? forMs : EVICT_SILENT_MS);
  }

  /** Ends the connection if it has been quiet since that moment. */
  void endIfStill(double since) {
    if (Double.isNaN(receivingSince) && quietSince <= since) {
      closeIfIdle();
    }
  }

  private void dropWaiting() {
    waiting.forEach(w -> w.message.release());
    waiting.clear();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    RequestLog.note(current, "connection closed", "by", ending ? "gateway" : "client",
        "behind", waiting.size());
    ending = true;
    receivedAll();
    dropWaiting();
    server.closed(this);
    if (passing != null) {
      passing.abort();
    } else if (current != null) {
      server.driver().clientLeft(current);
      current = null;
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof TooLongHttpContentException) {
      endWith(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body is too large");
      return;
    }
    RequestLog.note(current, "connection failed", "cause", cause);
    if (cause instanceof RuntimeException && !(cause instanceof CodecException)) {
      LOG.log(Level.SEVERE, "request failed", cause);
    }
    ctx.close();
  }
}
