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
  private static final double REQUEST_TIMEOUT_MS = 2_600;
  private static final double MIN_BYTES_PER_MS = 40;
  /** Between requests a connection may be ended after this, if another wants its place. */
  private static final double EVICT_IDLE_MS = 2_050;
  /** One with no whole request in so long goes sooner: clients connect in order to ask, and ask at once. */
  private static final double EVICT_SILENT_MS = 300;
  /** Between requests a connection is ended after this in any case: some clients never come back. */
  private static final double IDLE_TIMEOUT_MS = 10_000;
  /** Requests kept behind the one under way; a client with more gets no further answers. */
  private static final int MAX_PENDING = 16;

  private final ClientServer server;
  private Channel channel;
  /** One connection too many: its first request is refused, and it ends. */
  private boolean overLimit;
  /** The request that is being worked on, and whether its connection is kept after it. */
  private String currentRequestId;
  private boolean keepAlive;
  /** Whether its client reads chunks. */
  private boolean acceptsChunked;
  /** The answer that passes through, or null. */
  private AnswerPipe streamedAnswer;
  private boolean closing;
  /** When it was opened or last answered. */
  private double idleSinceMs;
  private boolean requestSeen;
  /** When the request that is being received began, or NaN; and how many bytes have come of it. */
  private double receivingSinceMs = Double.NaN;
  private int receivedBytes;
  /** Nothing more is taken: the requests kept are answered, and then the connection ends. */
  private boolean closeAfterPending;
  /** Requests that wait their turn, and whether the first of them is about to have it. */
  private final ArrayDeque<PendingRequest> pending = new ArrayDeque<>(1);
  private boolean nextScheduled;

  /** A request and when its last byte came to this machine: from then on its time counts. */
  private record PendingRequest(FullHttpRequest message, double arrivedMs) { }

  ClientConnection(ClientServer server) {
    super(false);
    this.server = server;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    idleSinceMs = server.now();
    overLimit = server.register(this);
  }

  /** Called with the size of what has come, before it is decoded; false when nothing more is wanted. */
  boolean acceptsBytes(int bytes) {
    if (closing || closeAfterPending) {
      return false;
    }
    if (Double.isNaN(receivingSinceMs)) {
      receivingSinceMs = server.now();
    }
    receivedBytes += bytes;
    if (server.addReceivingBytes(bytes) && receivedBytes > bytes) {
      closeWith(HttpResponseStatus.SERVICE_UNAVAILABLE, "too much is being received");
      return false;
    }
    return true;
  }

  /** Called after that has been decoded; begun: part of a further request is among it. */
  void onDecoded(boolean nextRequestBegun) {
    if (nextRequestBegun && Double.isNaN(receivingSinceMs)) {
      receivingSinceMs = server.now();
    }
  }

  private void onRequestComplete() {
    receivingSinceMs = Double.NaN;
    server.addReceivingBytes(-receivedBytes);
    receivedBytes = 0;
  }

  double idleSinceMs() {
    return idleSinceMs;
  }

  /** Whether no request is on it, and has not been for long enough to end it for another's sake. */
  boolean isEvictable(double nowMs) {
    if (currentRequestId != null || closing) {
      return false;
    }
    if (requestSeen && Double.isNaN(receivingSinceMs)) {
      return nowMs - idleSinceMs > EVICT_IDLE_MS;
    }
    return nowMs - (requestSeen ? receivingSinceMs : idleSinceMs) > EVICT_SILENT_MS;
  }

  /** Guards against clients that never finish a request, say nothing, or never come back. */
  void closeIfOverdue(double nowMs) {
    if (currentRequestId != null || closing) {
      return;
    }
    if (!Double.isNaN(receivingSinceMs)) {
      double limitMs = REQUEST_TIMEOUT_MS + receivedBytes / MIN_BYTES_PER_MS;
      if (nowMs - (requestSeen ? receivingSinceMs : idleSinceMs) > limitMs) {
        closeWith(HttpResponseStatus.REQUEST_TIMEOUT, "request is not whole in time");
      }
    } else if (nowMs - idleSinceMs > (requestSeen ? IDLE_TIMEOUT_MS : REQUEST_TIMEOUT_MS)) {
      closeIfIdle();
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest message) {
    onRequestComplete();
    boolean first = currentRequestId == null && pending.isEmpty();
    if (closing || closeAfterPending) {
      message.release();
    } else if (!first && (pending.size() >= MAX_PENDING || message.decoderResult().isFailure())) {
      // Reading goes on, so that a client that leaves is noticed; the bound is on what is kept.
      closeAfterPending = true;
      message.release();
    } else {
      pending.add(new PendingRequest(message, server.now() - Transport.kernelWaitMs(channel)));
      scheduleNext();
    }
  }

  /**
   * Has the next request handled behind all that the sockets have to tell by now. Guards against work for
   * clients that are gone: where CPU is short for any cause, connections wait long to be accepted, and the
   * hang-up is there with the request. Serving the dead first would leave no time for the living. Harm: a
   * client that ends its sending before it has its answer gets none, as already when it does so later.
   */
  private void scheduleNext() {
    if (!nextScheduled && currentRequestId == null && !pending.isEmpty()) {
      nextScheduled = true;
      channel.eventLoop().execute(() -> {
        nextScheduled = false;
        PendingRequest next = pending.poll();
        if (next != null) {
          handle(next.message, next.arrivedMs);
        }
      });
    }
  }

  private void handle(FullHttpRequest message, double arrivedMs) {
    requestSeen = true;
    try {
      keepAlive = HttpUtil.isKeepAlive(message);
      acceptsChunked = message.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0;
      if (message.decoderResult().isFailure()) {
        closeWith(HttpResponseStatus.BAD_REQUEST, "malformed request");
      } else if (message.uri().equals("/up")) {
        answerUp(message);
      } else if (overLimit || server.isFull()) {
        keepAlive &= !overLimit;
        refused(0);
      } else {
        accept(message, arrivedMs);
      }
    } catch (RuntimeException e) {
      handleFault(e);
    } finally {
      message.release();
    }
  }

  /** A fault of ours costs this request, not the connection or the process; its cause goes to the log. */
  private void handleFault(RuntimeException cause) {
    LOG.log(Level.SEVERE, "request failed", cause);
    if (currentRequestId != null) {
      server.driver().clientLeft(currentRequestId);
      currentRequestId = null;
      answer(HttpResponseStatus.INTERNAL_SERVER_ERROR);
    } else {
      channel.close();
    }
  }

  private void answerUp(FullHttpRequest message) {
    boolean isGet = message.method().equals(HttpMethod.GET);
    answer(!isGet ? HttpResponseStatus.METHOD_NOT_ALLOWED
        : server.isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE);
  }

  private void accept(FullHttpRequest message, double arrivedMs) {
    Request request;
    try {
      request = server.read(message, arrivedMs);
    } catch (RequestReader.BadRequest e) {
      keepAlive &= e.isFramingReliable();
      answer(HttpResponseStatus.BAD_REQUEST, e.getMessage());
      return;
    }
    FullHttpRequest backendRequest = backendRequest(message);
    HttpHeaders headers = message.headers();
    currentRequestId = request.id();
    server.driver().accept(request, backendRequest, new ModuleDriver.Client() {
      @Override
      public void served(FullHttpResponse answer, HttpHeaders more, AnswerPipe rest) {
        if (rest == null) {
          currentRequestId = null;
          ClientConnection.this.served(answer, more);
        } else {
          streamAnswer(answer, more, rest);
        }
      }

      @Override
      public void refused(double holdOffMs) {
        currentRequestId = null;
        ClientConnection.this.refused(holdOffMs);
      }

      @Override
      public void failed() {
        currentRequestId = null;
        answer(HttpResponseStatus.BAD_GATEWAY);
      }

      @Override
      public void answered(FullHttpResponse answer) {
        currentRequestId = null;
        write(answer.retain());
      }

      @Override
      public boolean isGone() {
        return Transport.isPeerGone(channel);
      }

      @Override
      public RequestFilter.Origin origin() {
        return new RequestFilter.Origin(headers, channel.remoteAddress());
      }
    });
    backendRequest.release();
  }

  /** What goes on to a backend: the request line, the body and the headers that are passed on, unchanged. */
  private static FullHttpRequest backendRequest(FullHttpRequest message) {
    HttpHeaders headers = message.headers();
    DefaultFullHttpRequest backendRequest = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, message.method(),
        message.uri(), message.content().retain());
    for (CharSequence name : new CharSequence[] {HttpHeaderNames.HOST, Headers.REQUEST_ID,
        Headers.REQUEST_CLASS, Headers.IDEMPOTENCY_KEY, HttpHeaderNames.CONTENT_TYPE}) {
      String value = headers.get(name);
      if (value != null) {
        backendRequest.headers().set(name, value);
      }
    }
    if (message.content().isReadable() || message.method().equals(HttpMethod.POST)) {
      backendRequest.headers().set(HttpHeaderNames.CONTENT_LENGTH, message.content().readableBytes());
    }
    return backendRequest;
  }

  private void served(FullHttpResponse backendAnswer, HttpHeaders extraHeaders) {
    DefaultFullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK,
        backendAnswer.content().retain());
    String type = backendAnswer.headers().get(HttpHeaderNames.CONTENT_TYPE);
    if (type != null) {
      answer.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
    }
    if (extraHeaders != null) {
      answer.headers().add(extraHeaders);
    }
    write(answer);
  }

  /** Passes a long answer on as it comes; the connection is taken until its end. */
  private void streamAnswer(FullHttpResponse backendAnswer, HttpHeaders extraHeaders, AnswerPipe rest) {
    HttpResponse answer = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    String type = backendAnswer.headers().get(HttpHeaderNames.CONTENT_TYPE);
    if (type != null) {
      answer.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
    }
    if (extraHeaders != null) {
      answer.headers().add(extraHeaders);
    }
    if (HttpUtil.isContentLengthSet(backendAnswer)) {
      answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, HttpUtil.getContentLength(backendAnswer));
    } else if (acceptsChunked) {
      HttpUtil.setTransferEncodingChunked(answer, true);
    } else {
      keepAlive = false;
    }
    boolean keep = decideKeepAlive();
    if (!keep) {
      answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    streamedAnswer = rest;
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
        streamedAnswer = null;
        currentRequestId = null;
        idleSinceMs = server.now();
        closing |= !keep;
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(keep
            ? ChannelFutureListener.CLOSE_ON_FAILURE : ChannelFutureListener.CLOSE);
        if (closing) {
          releasePending();
        }
        scheduleNext();
      }

      @Override
      public void onAborted() {
        streamedAnswer = null;
        reset();
      }
    });
  }

  /** Ends it so that its client can tell that the answer is not whole: by a reset, whatever its framing. */
  private void reset() {
    RequestLog.note(currentRequestId, "connection ends", "reason", "its answer broke off");
    closing = true;
    if (channel.isActive() && channel instanceof SocketChannel socket) {
      socket.config().setSoLinger(0);
    }
    channel.close();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (streamedAnswer != null) {
      streamedAnswer.setReading(channel.isWritable());
    }
  }

  private boolean decideKeepAlive() {
    // In a crowd a kept connection is a place that another client may not find. What was read comes first.
    closeAfterPending |= server.closesAfterAnswer() || server.isCrowded();
    return keepAlive && !(closeAfterPending && pending.isEmpty());
  }

  private void refused(double holdOffMs) {
    FullHttpResponse answer = emptyAnswer(holdOffMs > 0 ? HttpResponseStatus.TOO_MANY_REQUESTS
        : HttpResponseStatus.SERVICE_UNAVAILABLE);
    if (holdOffMs > 0) {
      answer.headers().set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", holdOffMs / 1000));
    }
    write(answer);
  }

  private void answer(HttpResponseStatus status) {
    write(emptyAnswer(status));
  }

  private void answer(HttpResponseStatus status, String reason) {
    ByteBuf text = Unpooled.copiedBuffer(reason + "\n", StandardCharsets.US_ASCII);
    write(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, text));
  }

  private static FullHttpResponse emptyAnswer(HttpResponseStatus status) {
    return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
  }

  private void write(FullHttpResponse answer) {
    answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.content().readableBytes());
    idleSinceMs = server.now();
    boolean keep = decideKeepAlive();
    if (!keep) {
      RequestLog.note(null, "connection ends", "reason", "with its answer", "status", answer.status().code());
      closing = true;
      answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    channel.writeAndFlush(answer).addListener(keep ? ChannelFutureListener.CLOSE_ON_FAILURE
        : ChannelFutureListener.CLOSE);
    if (closing) {
      releasePending();
    }
    scheduleNext();
  }

  /**
   * Answers what cannot be read any further, and lets the client read that before the connection ends. Behind
   * a request that has no answer yet it would be taken for that one's, so the connection ends with that.
   */
  void closeWith(HttpResponseStatus status, String reason) {
    if (closing) {
      return;
    }
    if (currentRequestId != null || nextScheduled) {
      RequestLog.note(currentRequestId, "nothing behind it is read", "reason", reason);
      closeAfterPending = true;
      return;
    }
    RequestLog.note(currentRequestId, "connection ends", "reason", reason, "status", status.code());
    closing = true;
    releasePending();
    ByteBuf text = Unpooled.copiedBuffer(reason + "\n", StandardCharsets.US_ASCII);
    FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, text);
    answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, text.readableBytes());
    answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    channel.writeAndFlush(answer).addListener(f -> ((SocketChannel) channel).shutdownOutput());
    channel.eventLoop().schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
  }

  /** Ends the connection if no request is on it; one that is answered while draining ends by itself. */
  void closeIfIdle() {
    if (currentRequestId == null && pending.isEmpty() && !closing) {
      RequestLog.note(null, "connection ends", "reason", "idle", "open_ms", server.now() - idleSinceMs);
      closing = true;
      channel.close();
    }
  }

  /**
   * Whether nothing has been on it, nor come of a next request, for so long. One that has not asked yet is
   * given the time that clients take to ask, however late this loop accepted it.
   */
  boolean isIdle(double nowMs, double forMs) {
    return currentRequestId == null && pending.isEmpty() && !closing && Double.isNaN(receivingSinceMs)
        && nowMs - idleSinceMs >= (requestSeen ? forMs : EVICT_SILENT_MS);
  }

  /** Ends the connection if it has been quiet since that moment. */
  void closeIfIdleSince(double sinceMs) {
    if (Double.isNaN(receivingSinceMs) && idleSinceMs <= sinceMs) {
      closeIfIdle();
    }
  }

  private void releasePending() {
    pending.forEach(w -> w.message.release());
    pending.clear();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    RequestLog.note(currentRequestId, "connection closed", "by", closing ? "gateway" : "client",
        "behind", pending.size());
    closing = true;
    onRequestComplete();
    releasePending();
    server.unregister(this);
    if (streamedAnswer != null) {
      streamedAnswer.abort();
    } else if (currentRequestId != null) {
      server.driver().clientLeft(currentRequestId);
      currentRequestId = null;
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof TooLongHttpContentException) {
      closeWith(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body is too large");
      return;
    }
    RequestLog.note(currentRequestId, "connection failed", "cause", cause);
    if (cause instanceof RuntimeException && !(cause instanceof CodecException)) {
      LOG.log(Level.SEVERE, "request failed", cause);
    }
    ctx.close();
  }
}
