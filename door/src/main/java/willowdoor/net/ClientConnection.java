package willowdoor.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpContentException;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import willowdoor.policy.AnswerLifecycle;
import willowdoor.policy.ConnectionActivity;
import willowdoor.policy.GatewayApi.Request;

/** Connection of one client. Handles one request at a time and sends exactly one final answer to each. */
final class ClientConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

  private static final Logger LOG = Logger.getLogger(ClientConnection.class.getName());
  /**
   * How long, in milliseconds, a connection that is closed after invalid input stays half-open, so that the
   * client can read the answer.
   */
  private static final long LINGER_MS = 300;
  /**
   * Milliseconds after which a connection between requests is closed in any case: some clients never come
   * back.
   */
  private static final double IDLE_TIMEOUT_MS = 10_000;
  /**
   * Maximum number of pipelined requests kept behind the one in progress. Of a client that sends more, those
   * kept are answered, and then the connection is closed.
   */
  private static final int MAX_PENDING = 16;
  /**
   * How long, in milliseconds, requests wait for unread input behind them, as some clients write without end;
   * then they are refused.
   */
  private static final double MAX_UNREAD_WAIT_MS = 100;
  /** Precision with which the kernel tells the time of an arrival, in milliseconds, with a margin. */
  private static final double ARRIVAL_PRECISION_MS = 10;
  /** The handlers that hold a request until it has arrived completely. */
  private static final List<Class<? extends ChannelHandler>> REQUEST_PARTS =
      List.of(RequestDecoder.class, BodyPieceCopier.class, HttpObjectAggregator.class);

  private final ClientServer server;
  private Channel channel;
  /** The connection exceeds the limit: its first request is refused, and the connection is closed. */
  private boolean overLimit;
  /**
   * Id of the request in progress, or null; {@link #keepAlive} tells whether the connection is kept after
   * that request.
   */
  private String currentRequestId;
  private boolean keepAlive;
  /** Whether the client understands chunked transfer encoding. */
  private boolean acceptsChunked;
  /** The answer that is being streamed, or null. */
  private AnswerPipe streamedAnswer;
  private boolean closing;
  /** When the connection was opened or last answered, in milliseconds on the door's clock. */
  private double idleSinceMs;
  private boolean requestSeen;
  private final IncomingRequest incoming = new IncomingRequest();
  private final ConnectionMemory memory;
  /** No more requests are taken: those pending are answered, and then the connection is closed. */
  private boolean closeAfterPending;
  /** Pipelined requests; {@link #nextScheduled} tells whether the first of them is about to be handled. */
  private final ArrayDeque<PendingRequest> pending = new ArrayDeque<>(1);
  private boolean nextScheduled;
  /** Since when requests wait for unread input behind them, or NaN. */
  private double awaitsInputSinceMs = Double.NaN;
  private final UnreadInput unreadInput = new UnreadInput();

  /**
   * A request, when its last byte arrived at this machine, from which on its timeout counts, and what it
   * takes in the memory budget.
   */
  private record PendingRequest(FullHttpRequest message, double arrivedMs, int heldBytes) { }

  ClientConnection(ClientServer server) {
    super(false);
    this.server = server;
    memory = new ConnectionMemory(server.memory());
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    idleSinceMs = server.now();
    overLimit = server.register(this);
  }

  /** Whether further input is decoded; if not, it is read and dropped. */
  boolean wantsInput() {
    return !closing && !closeAfterPending;
  }

  /** Called with the number of bytes received, before they are decoded. */
  void onBytes(int bytes) {
    incoming.onBytes(server.now(), bytes);
  }

  /** Called after the received bytes have been decoded. */
  void onDecoded(RequestDecoder decoder) {
    if (decoder.hasUndecodedBytes()) {
      incoming.onBegun(server.now());
    }
    if (!memory.setReceiving(incoming.isReceiving() ? incoming.bytes() + decoder.overheadBytes() : 0)) {
      closeWith(HttpResponseStatus.SERVICE_UNAVAILABLE, "too much is being received");
    }
    if (!wantsInput()) {
      discardIncompleteRequest();
    }
  }

  /**
   * Called when the loop turns to the next connection.
   *
   * @param bytes what was read of this one
   * @param cutShort whether this connection may hold more, as the reads of one turn are limited
   */
  void onTurnEnd(int bytes, boolean cutShort) {
    unreadInput.onTurnEnd(server.now(), bytes, cutShort);
  }

  /** Called when the connection is not read for a while. */
  void onReadingPaused() {
    unreadInput.onReadingPaused();
  }

  /** Called when the connection is read again after a pause. */
  void onReadingResumed() {
    unreadInput.onReadingResumed(server.now());
  }

  /** Frees what has arrived of a request that is not read any further. */
  private void discardIncompleteRequest() {
    for (Class<? extends ChannelHandler> part : REQUEST_PARTS) {
      if (channel.pipeline().get(part) != null) {
        channel.pipeline().remove(part);
      }
    }
    onRequestComplete();
  }

  private void onRequestComplete() {
    incoming.reset();
    memory.setReceiving(0);
  }

  /** What the connection is used for at that moment. */
  ConnectionActivity activity(double nowMs) {
    return new ConnectionActivity(currentRequestId != null || !pending.isEmpty(), incoming.isReceiving(),
        hasAnswerUnderWay(), requestSeen, nowMs - idleSinceMs);
  }

  /**
   * Whether the kernel has input of this connection that was not read yet: a request may have arrived that
   * is not known here. Input that came with what was read last is not told apart, but has been read since.
   */
  boolean hasUnreadInput(double nowMs) {
    double readSinceMs = nowMs - Math.max(idleSinceMs, incoming.lastByteMs());
    return Transport.sinceArrivalMs(channel) + ARRIVAL_PRECISION_MS < readSinceMs;
  }

  /** Since when a request is expected: from the connect on, and later from its first byte on. */
  private double requestedSinceMs() {
    return requestSeen ? incoming.sinceMs() : idleSinceMs;
  }

  /**
   * Closes the connection of a client that does not complete a request, sends nothing, does not come back in
   * time, or does not read its answer.
   */
  void closeIfOverdue(double nowMs) {
    if (currentRequestId != null) {
      return;
    }
    if (memory.hasUnwrittenAnswer()) {
      if (nowMs - idleSinceMs > AnswerLifecycle.MAX_SILENCE_MS) {
        reset("its answer is not read");
      }
    } else if (closing) {
      return;
    } else if (incoming.isReceiving()) {
      if (incoming.isOverdue(nowMs, requestedSinceMs())) {
        closeWith(HttpResponseStatus.REQUEST_TIMEOUT, "request is not whole in time");
      }
    } else if (nowMs - idleSinceMs > (requestSeen ? IDLE_TIMEOUT_MS : IncomingRequest.LIMIT_MS)) {
      closeIfIdle();
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest message) {
    onRequestComplete();
    boolean first = currentRequestId == null && pending.isEmpty() && takesAnswers();
    int heldBytes = MessageSize.of(message);
    if (!wantsInput()) {
      message.release();
    } else if (!first && (pending.size() >= MAX_PENDING || message.decoderResult().isFailure())) {
      readNoFurther(message);
    } else if (memory.addWaiting(!first, heldBytes)) {
      pending.add(new PendingRequest(message, server.now() - Transport.kernelWaitMs(channel), heldBytes));
      scheduleNext();
    } else if (first) {
      refuseUnhandled(message, "memory");
    } else {
      readNoFurther(message);
    }
  }

  /**
   * Drops a request, and all that follows it, behind those that are answered first. Bytes are still read, so
   * that a disconnect of the client is noticed.
   */
  private void readNoFurther(FullHttpRequest message) {
    closeAfterPending = true;
    message.release();
    if (currentRequestId == null && pending.isEmpty()) {
      closing = true;
      channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }
  }

  /** Refuses a request of which nothing has run, and releases it. */
  private void refuseUnhandled(FullHttpRequest message, String reason) {
    RequestLog.note(message.headers().get(Headers.REQUEST_ID), "refused", "reason", reason);
    requestSeen = true;
    keepAlive = HttpUtil.isKeepAlive(message) && !message.decoderResult().isFailure() && !overLimit;
    message.release();
    refused(0);
  }

  /**
   * Schedules the next request to be handled after the event loop has read everything that the sockets hold
   * by now. Guards against work for clients that have disconnected: where CPU is short, connections wait long
   * to be accepted, and the disconnect is there together with the request. Handling the requests of such
   * clients first would leave no time for the clients that still wait. Drawback: a client that half-closes
   * its connection before it has its answer gets none, as is already the case when it does so later.
   */
  private void scheduleNext() {
    if (!nextScheduled && currentRequestId == null && !pending.isEmpty() && takesAnswers()) {
      nextScheduled = true;
      channel.eventLoop().execute(this::handleNext);
    }
  }

  private void handleNext() {
    boolean unread = mayHoldUnreadInput(pending.size() > 1);
    double now = server.now();
    if (!unread) {
      awaitsInputSinceMs = Double.NaN;
    } else if (Double.isNaN(awaitsInputSinceMs)) {
      awaitsInputSinceMs = now;
    }
    if (unread && now - awaitsInputSinceMs < MAX_UNREAD_WAIT_MS) {
      channel.eventLoop().schedule(this::handleNext, UnreadInput.CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
      return;
    }
    nextScheduled = false;
    PendingRequest next = pending.poll();
    if (next == null) {
      return;
    }
    memory.removeWaiting(next.heldBytes);
    if (unread) {
      refuseUnhandled(next.message, "unread input");
    } else {
      handle(next);
    }
  }

  /**
   * Whether the connection may hold input that was not read yet, and with it its end.
   *
   * @param requestsBehind whether a complete request has arrived behind the one that this is asked for
   */
  private boolean mayHoldUnreadInput(boolean requestsBehind) {
    boolean inputBehind = requestsBehind || !wantsInput() || incoming.isReceiving();
    return unreadInput.mayExist(server.now(), inputBehind, () -> Transport.sinceArrivalMs(channel));
  }

  private void handle(PendingRequest next) {
    FullHttpRequest message = next.message;
    requestSeen = true;
    try {
      keepAlive = HttpUtil.isKeepAlive(message);
      acceptsChunked = message.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0;
      if (message.decoderResult().isFailure()) {
        closeWith(HttpResponseStatus.BAD_REQUEST, "malformed request");
      } else if (message.uri().equals("/up")) {
        answerUp(message);
      } else if (overLimit || server.driver().isClosed()) {
        keepAlive &= !overLimit;
        refused(0);
      } else {
        accept(next);
      }
    } catch (RuntimeException e) {
      handleFault(e);
    } finally {
      message.release();
    }
  }

  /**
   * Handles a fault of the gateway itself: logs the cause and answers the request in progress with 500.
   * Without a request in progress, the connection is closed. The process goes on in both cases.
   */
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

  private void accept(PendingRequest next) {
    FullHttpRequest message = next.message;
    Request request;
    try {
      request = server.read(message, next.arrivedMs);
    } catch (RequestReader.BadRequest e) {
      keepAlive &= e.isFramingReliable();
      answer(HttpResponseStatus.BAD_REQUEST, e.getMessage());
      return;
    }
    FullHttpRequest backendRequest = ClientMessages.backendRequest(message);
    HttpHeaders headers = message.headers();
    currentRequestId = request.id();
    memory.setCurrent(next.heldBytes);
    server.driver().accept(request, backendRequest, new ModuleDriver.Client() {
      @Override
      public void served(FullHttpResponse answer, HttpHeaders more, AnswerPipe rest) {
        if (rest == null) {
          currentRequestId = null;
          write(ClientMessages.served(answer, more));
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
      public boolean mayHoldUnreadInput() {
        return ClientConnection.this.mayHoldUnreadInput(!pending.isEmpty());
      }

      @Override
      public RequestFilter.Origin origin() {
        return new RequestFilter.Origin(headers, channel.remoteAddress());
      }
    }, next.heldBytes);
    backendRequest.release();
  }

  /** Streams a long answer to the client as it arrives; the connection is occupied until the answer ends. */
  private void streamAnswer(FullHttpResponse backendAnswer, HttpHeaders extraHeaders, AnswerPipe rest) {
    HttpResponse answer = ClientMessages.servedHead(backendAnswer, extraHeaders);
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
        writeCounted(new DefaultHttpContent(bytes), bytes.readableBytes());
        readStreamedAnswer();
      }

      @Override
      public void onComplete() {
        streamedAnswer = null;
        currentRequestId = null;
        memory.setCurrent(0);
        idleSinceMs = server.now();
        boolean isLast = closeAfterPending || server.hasStoppedAccepting();
        closing |= !keep || isLast && pending.isEmpty();
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(closing
            ? ChannelFutureListener.CLOSE : ChannelFutureListener.CLOSE_ON_FAILURE);
        if (closing) {
          releasePending();
        }
        scheduleNext();
      }

      @Override
      public void onAborted() {
        streamedAnswer = null;
        reset("its answer broke off");
      }
    });
  }

  /**
   * Closes the connection with a reset, so that the client can tell, whatever the framing, that the answer is
   * incomplete.
   */
  private void reset(String reason) {
    RequestLog.note(currentRequestId, "connection ends", "reason", reason);
    closing = true;
    Transport.setReset(channel);
    channel.close();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    readStreamedAnswer();
    scheduleNext();
  }

  /** Reads the streamed answer on, or holds its backend back while this client takes no more. */
  private void readStreamedAnswer() {
    if (streamedAnswer != null) {
      streamedAnswer.setReading(takesAnswers());
    }
  }

  /** Whether this client takes what it is sent, as far as memory is short. */
  private boolean takesAnswers() {
    return channel.isWritable() && memory.admitsMoreAnswer();
  }

  private boolean decideKeepAlive() {
    // When connections are scarce, one that is kept open is one that another client may not get. Requests
    // that were already read are answered first.
    closeAfterPending |= server.closesAfterAnswer() || server.isCrowded();
    return keepAlive && !(closeAfterPending && pending.isEmpty());
  }

  private void refused(double holdOffMs) {
    write(ClientMessages.refusal(holdOffMs));
  }

  private void answer(HttpResponseStatus status) {
    write(ClientMessages.empty(status));
  }

  private void answer(HttpResponseStatus status, String reason) {
    write(ClientMessages.text(status, reason));
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
    memory.setCurrent(0);
    writeCounted(answer, answer.content().readableBytes())
        .addListener(keep ? ChannelFutureListener.CLOSE_ON_FAILURE : ChannelFutureListener.CLOSE);
    if (closing) {
      releasePending();
    }
    scheduleNext();
  }

  /** Writes an answer, or a piece of one, and counts its bytes as held until the socket has taken them. */
  private ChannelFuture writeCounted(Object answer, int bytes) {
    long held = memory.addAnswer(bytes);
    return channel.writeAndFlush(answer).addListener(f -> onWritten(held));
  }

  private void onWritten(long held) {
    memory.removeAnswer(held);
    if (streamedAnswer != null) {
      streamedAnswer.onClientProgress();
    }
    readStreamedAnswer();
    if (currentRequestId == null) {
      idleSinceMs = server.now();
      scheduleNext();
      if (server.hasStoppedAccepting()) {
        closeIfIdle();
      }
    }
  }

  /**
   * Answers input that cannot be read any further, and lets the client read the answer before the connection
   * is closed. While an earlier request has no answer yet, the client would take this answer for that of the
   * earlier request; then nothing is written, and the connection is closed after the pending answers.
   */
  void closeWith(HttpResponseStatus status, String reason) {
    if (closing) {
      return;
    }
    if (currentRequestId != null || !pending.isEmpty()) {
      RequestLog.note(currentRequestId, "nothing behind it is read", "reason", reason);
      closeAfterPending = true;
      return;
    }
    RequestLog.note(currentRequestId, "connection ends", "reason", reason, "status", status.code());
    closing = true;
    releasePending();
    FullHttpResponse answer = ClientMessages.text(status, reason);
    int bytes = answer.content().readableBytes();
    answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes);
    answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    writeCounted(answer, bytes).addListener(f -> linger());
  }

  /** Closes the connection soon, once its client has been sent all answers. */
  private void linger() {
    if (channel.isActive()) {
      ((SocketChannel) channel).shutdownOutput();
      server.onLingering(this);
      channel.eventLoop().schedule(this::endLingering, LINGER_MS, TimeUnit.MILLISECONDS);
    }
  }

  /** Closes the connection before its client has had {@link #LINGER_MS} to read the last answer. */
  void endLingering() {
    channel.close();
  }

  /** Whether an answer is being passed on, or the socket has not taken all of one. */
  boolean hasAnswerUnderWay() {
    return streamedAnswer != null || memory.hasUnwrittenAnswer();
  }

  /** Closes the connection if it is idle; one that is answered during a drain closes with its answer. */
  void closeIfIdle() {
    double now = server.now();
    if (!closing && activity(now).isIdle() && !hasUnreadInput(now)) {
      close("idle");
    }
  }

  /** Closes the connection if it has been idle since that moment. */
  void closeIfIdleSince(double sinceMs) {
    if (idleSinceMs <= sinceMs) {
      closeIfIdle();
    }
  }

  /** Closes a new connection of which nothing was read, as there is no room for it. */
  void closeUnread() {
    close("no room");
  }

  private void close(String reason) {
    RequestLog.note(null, "connection ends", "reason", reason, "open_ms", server.now() - idleSinceMs);
    closing = true;
    channel.close();
  }

  /** Refuses the request that is arriving, if there is one: the process ends before it could be served. */
  void refuseArriving() {
    if (currentRequestId == null && pending.isEmpty() && incoming.isReceiving()) {
      closeWith(HttpResponseStatus.SERVICE_UNAVAILABLE, "the process ends");
    }
  }

  boolean isClosing() {
    return closing;
  }

  private void releasePending() {
    for (PendingRequest request : pending) {
      memory.removeWaiting(request.heldBytes);
      request.message.release();
    }
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
