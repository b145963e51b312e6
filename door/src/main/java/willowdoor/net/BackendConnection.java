package willowdoor.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
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
import willowdoor.memory.Holder;
import willowdoor.policy.AnswerLifecycle;
import willowdoor.policy.AttemptStart;
import willowdoor.policy.GatewayApi.Status;

/**
 * One connection to a backend. It serves at most one attempt at a time and derives the outcome from the
 * response.
 */
final class BackendConnection extends SimpleChannelInboundHandler<HttpObject> {

  /** A response that announces a longer body is treated as malformed. */
  private static final long MAX_CONTENT_LENGTH_BYTES = 1L << 30;
  /** Informational (1xx) responses that are accepted before the final response. */
  private static final int MAX_INFORMATIONAL = 16;
  /** Smaller pieces of a response are passed through together: each costs a chunk and a write. */
  private static final int MIN_PIECE_BYTES = 4_096;
  private static final double MIN_CHECK_MS = 1;
  /** The next check may become due earlier while one is scheduled. */
  private static final double MAX_CHECK_MS = 250;

  private final BackendPool pool;
  private final TurnLimitHandler input;
  private final ResponseDecoder decoder;
  final BackendPool.Backend backend;
  /** The address that this connection was opened to; its backend may have moved since. */
  final InetSocketAddress address;
  /** Start of the backend that this connection was opened to. */
  final double startedMs;
  private Channel channel;
  private Attempt currentAttempt;
  double idleSinceMs;
  /** A response was completed on this connection, and this side has not closed it. */
  private boolean hasAnswered;
  /** The response being read: its head, its body so far, and whether it is complete. */
  private HttpResponse head;
  private ByteBuf body;
  /** What the response takes in the memory budget while it is held. */
  private long heldBytes;
  private boolean complete;
  private int informationalCount;
  /** More than the one response has been read. */
  private boolean excessRead;
  /** Tells whether the response makes progress; null until an attempt is written. */
  private AnswerLifecycle lifecycle;
  /** The next check on an incomplete response, or null. */
  private Future<?> progressTimer;
  /** Receives the rest of a response that is passed through; null while the response is held. */
  private AnswerPipe pipe;
  /** Small pieces of a response that is passed through, from one turn of the loop, or null. */
  private ByteBuf gathered;
  /** The connection failed: a response whose end is the end of the connection is incomplete. */
  private boolean wasReset;

  BackendConnection(BackendPool pool, BackendPool.Backend backend, TurnLimitHandler input,
      ResponseDecoder decoder) {
    this.pool = pool;
    this.backend = backend;
    this.address = backend.address;
    this.startedMs = backend.startedMs();
    this.input = input;
    this.decoder = decoder;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
  }

  boolean isActive() {
    return channel.isActive();
  }

  /** What the kernel holds of this connection that was not read; input that comes now was not asked for. */
  Transport.Unread unread() {
    return Transport.unread(channel);
  }

  void close() {
    hasAnswered = false;
    channel.close();
  }

  /**
   * Closes the connection of an attempt that is given up, without ending the attempt.
   *
   * @param reset whether what the kernel holds unsent or undelivered is dropped
   */
  void abandonAttempt(boolean reset) {
    currentAttempt = null;
    clearAnswer();
    if (reset) {
      Transport.setReset(channel);
    }
    close();
  }

  /**
   * Writes the attempt's request if the attempt may still start; no layer below the policy ever writes it
   * again. Every attempt passes this check, however long and for whatever reason it waited before.
   */
  void start(Attempt attempt) {
    double now = pool.now();
    AttemptStart decision =
        attempt.startDecision(now, !backend.isAsDecided(attempt.conditions.backendStartedMs(), this));
    if (decision != AttemptStart.ALLOWED) {
      RequestLog.note(attempt.requestId(), "attempt withheld", "reason", decision);
      close();
      attempt.onWithheld(decision);
      return;
    }
    FullHttpRequest request = BackendPool.requestFor(attempt, now);
    currentAttempt = attempt;
    lifecycle = new AnswerLifecycle(attempt.deadlineMs, attempt.conditions.replaceable());
    attempt.connection = this;
    attempt.onBegin();
    RequestLog.note(attempt.requestId(), "attempt written", "timeout_ms",
        request.headers().get(Headers.TIMEOUT_MS), "from", channel.localAddress(), "quiet_ms",
        hasAnswered ? now - idleSinceMs : 0);
    channel.writeAndFlush(request).addListener((ChannelFuture f) -> {
      attempt.written = f.isSuccess();
      if (!f.isSuccess() && currentAttempt == attempt) {
        attempt.end(Status.BROKEN, null);
        channel.close();
      }
    });
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
    if (pipe != null) {
      forward(part);
    } else if (currentAttempt == null) {
      if (hasAnswered) {
        pool.onUnsolicited(this);
      }
      close();
    } else if (complete) {
      excessRead = true;
    } else if (part.decoderResult().isFailure() || part instanceof HttpResponse && head != null) {
      endAsSpoilt();
    } else {
      if (part instanceof HttpResponse r) {
        onHead(r);
      }
      if (currentAttempt != null && part instanceof HttpContent content) {
        onContent(content);
      }
    }
  }

  private void onHead(HttpResponse response) {
    // Without a length or chunks the body ends with the connection, if the response announces its close.
    boolean hasKnownEnd = HttpUtil.isContentLengthSet(response)
        || HttpUtil.isTransferEncodingChunked(response) || !HttpUtil.isKeepAlive(response);
    boolean isInformational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    long length = HttpUtil.getContentLength(response, 0L);
    if (isInformational ? ++informationalCount > MAX_INFORMATIONAL
        : !hasKnownEnd || length > MAX_CONTENT_LENGTH_BYTES) {
      endAsSpoilt();
    } else {
      head = response;
      boolean passable = !isInformational && statusOf(response) == Status.OK;
      lifecycle.onHead(pool.now(), HttpUtil.isContentLengthSet(response) ? length : -1, passable);
      boolean held = length <= AnswerLifecycle.MAX_SHORT_BYTES && reserve(length);
      body = channel.alloc().buffer(held ? (int) length : 0);
      if (!held) {
        passThrough();
      }
    }
  }

  private void onContent(HttpContent content) {
    int bodyBytes = body.readableBytes() + content.content().readableBytes();
    if (bodyBytes > AnswerLifecycle.MAX_SHORT_BYTES || !reserve(bodyBytes)) {
      passThrough();
      if (pipe != null) {
        forward(content);
      }
      return;
    }
    if (content.content().isReadable()) {
      lifecycle.onBody(pool.now(), content.content().readableBytes());
    }
    body.writeBytes(content.content());
    if (content instanceof LastHttpContent) {
      if (wasReset) {
        endAsSpoilt();
      } else if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
        clearAnswer();
        lifecycle.onInformational(pool.now());
      } else {
        complete = true;
        lifecycle.onWhole();
      }
    }
  }

  /**
   * Reserves memory for a response with a body of so many bytes, if that is admitted. A known length is
   * reserved at once, so that no response waits half read for memory that others hold.
   */
  private boolean reserve(long bodyBytes) {
    long more = bodyBytes - heldBytes;
    if (more <= 0) {
      return true;
    }
    if (!pool.memory().admits(Holder.RESPONSES, heldBytes, more)) {
      return false;
    }
    heldBytes += more;
    pool.memory().add(Holder.RESPONSES, more);
    return true;
  }

  /**
   * Passes the response to the client as it arrives from here on, because it is too long to be held or too
   * slow. This ends the attempt. No retry may follow, as bytes that were passed on cannot be taken back.
   */
  private void passThrough() {
    Status status = statusOf(head);
    if (status != Status.OK || !currentAttempt.written || currentAttempt.ended()) {
      endAsSpoilt(status == Status.OK || !currentAttempt.written ? null : status);
      return;
    }
    Attempt attempt = currentAttempt;
    HttpResponse response = head;
    ByteBuf readSoFar = body;
    body = null;
    currentAttempt = null;
    clearAnswer();
    pipe = new AnswerPipe(channel, input, lifecycle, pool::now);
    pipe.forward(readSoFar);
    attempt.restOfAnswer = pipe;
    attempt.end(Status.OK, new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, response.status(),
        Unpooled.EMPTY_BUFFER, response.headers(), EmptyHttpHeaders.INSTANCE));
  }

  private void forward(HttpObject part) {
    AnswerPipe target = pipe;
    if (part.decoderResult().isFailure() || !(part instanceof HttpContent content)) {
      target.abort();
    } else {
      if (content.content().isReadable()) {
        lifecycle.onBody(pool.now(), content.content().readableBytes());
        forward(content.content());
      }
      if (content instanceof LastHttpContent && !wasReset) {
        forwardGathered();
        // A connection that has carried a passed-through response is not reused; closing frees its place.
        target.complete();
        channel.close();
      }
    }
  }

  /** Passes a piece through, together with those behind it in this turn if it is small. */
  private void forward(ByteBuf piece) {
    if (gathered == null && piece.readableBytes() >= MIN_PIECE_BYTES) {
      pipe.forward(piece.retain());
      return;
    }
    if (gathered == null) {
      gathered = channel.alloc().buffer(MIN_PIECE_BYTES);
    }
    gathered.writeBytes(piece);
    if (gathered.readableBytes() >= MIN_PIECE_BYTES) {
      forwardGathered();
    }
  }

  private void forwardGathered() {
    if (gathered != null) {
      ByteBuf piece = gathered;
      gathered = null;
      pipe.forward(piece);
    }
  }

  /**
   * Ends the attempt only after the whole read, when it is known whether more than the response has arrived.
   * Otherwise a second copy, or noise, would be taken for the response to the next attempt.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (pipe != null) {
      forwardGathered();
      return;
    }
    if (currentAttempt != null && complete) {
      onComplete();
    } else if (currentAttempt != null && progressTimer == null
        && (head != null || decoder.hasUnconsumedBytes())) {
      if (head == null) {
        lifecycle.onFirstBytes(pool.now());
      }
      currentAttempt.onAnswerBegun();
      scheduleCheck();
    } else if (currentAttempt == null && decoder.hasUnconsumedBytes()) {
      if (hasAnswered) {
        pool.onUnsolicited(this);
      }
      close();
    }
  }

  private void scheduleCheck() {
    double now = pool.now();
    double waitMs = Math.min(MAX_CHECK_MS, Math.max(MIN_CHECK_MS, lifecycle.nextCheckMs(now) - now));
    progressTimer = channel.eventLoop().schedule(this::checkProgress, (long) Math.ceil(waitMs),
        TimeUnit.MILLISECONDS);
  }

  /** Gives a held response up if it has stalled, and passes it on if it is due. */
  private void checkProgress() {
    progressTimer = null;
    if (currentAttempt == null || pipe != null) {
      return;
    }
    double now = pool.now();
    if (lifecycle.isGivenUp(now)) {
      RequestLog.note(currentAttempt.requestId(), "answer given up", "reason", "stalled");
      endAsSpoilt();
    } else if (lifecycle.isDueToPassOn(now)) {
      passThrough();
    } else {
      scheduleCheck();
    }
  }

  /** Whether a response is being read, and makes progress. */
  boolean isAnswerUnderWay() {
    return lifecycle != null && lifecycle.isUnderWay(pool.now());
  }

  /**
   * Passes a held response on, which ends its attempt, if the response makes progress and may be long. Called
   * when the time for the request is up.
   */
  boolean passOnIfUnderWay() {
    if (currentAttempt == null || pipe != null || head == null || !lifecycle.mayBePassedOn(pool.now())) {
      return false;
    }
    RequestLog.note(currentAttempt.requestId(), "answer passed on", "reason", "its time is up");
    passThrough();
    return true;
  }

  private void onComplete() {
    Attempt attempt = currentAttempt;
    DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, head.status(),
        body.retain(), head.headers(), EmptyHttpHeaders.INSTANCE);
    boolean requestWritten = attempt.written;
    boolean reusable = requestWritten && !attempt.ended() && !excessRead && !decoder.hasUnconsumedBytes()
        && HttpUtil.isKeepAlive(head) && channel.isActive();
    currentAttempt = null;
    clearAnswer();
    idleSinceMs = pool.now();
    if (reusable) {
      // So that whatever the backend holds back behind its response comes before the next request is written.
      Transport.acknowledge(channel);
      pool.release(this);
    } else {
      channel.close();
    }
    if (excessRead || decoder.hasUnconsumedBytes()) {
      pool.onUnsolicited(this);
    }
    // A response that is complete before the request was written cannot be a response to this request.
    Status status = requestWritten ? statusOf(response) : Status.BROKEN;
    hasAnswered = true;
    attempt.end(status, status == Status.OK ? response : null);
    response.release();
  }

  /**
   * Ends the attempt and closes the connection after malformed input; the request may have run if it was
   * written.
   */
  private void endAsSpoilt() {
    endAsSpoilt(null);
  }

  /** Does the same with the status that the response's head has shown, if there is one. */
  private void endAsSpoilt(Status knownStatus) {
    Attempt attempt = currentAttempt;
    currentAttempt = null;
    clearAnswer();
    channel.close();
    if (attempt != null) {
      attempt.end(knownStatus != null ? knownStatus : attempt.written ? Status.SPOILT : Status.BROKEN, null);
    }
  }

  private void clearAnswer() {
    head = null;
    complete = false;
    pool.memory().remove(Holder.RESPONSES, heldBytes);
    heldBytes = 0;
    if (body != null) {
      body.release();
      body = null;
    }
    if (progressTimer != null) {
      progressTimer.cancel(false);
      progressTimer = null;
    }
    if (currentAttempt == null) {
      informationalCount = 0;
    }
  }

  private static Status statusOf(HttpResponse response) {
    HttpResponseStatus code = response.status();
    if (code.equals(HttpResponseStatus.OK)) {
      return Status.OK;
    }
    boolean rejected = (code.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
        || code.equals(HttpResponseStatus.GATEWAY_TIMEOUT))
        && "1".equals(response.headers().get(Headers.NOT_STARTED));
    return rejected ? Status.REJECTED : Status.ERROR;
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    Attempt attempt = currentAttempt;
    boolean stale = hasAnswered && head == null && informationalCount == 0;
    currentAttempt = null;
    clearAnswer();
    pool.onClosed(this);
    if (pipe != null) {
      forwardGathered();
      pipe.abort();
    }
    if (attempt != null) {
      attempt.end(attempt.statusOnDisconnect(stale), null);
    }
  }

  /** Closes the connection after a reset or an internal error. */
  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    wasReset = true;
    ctx.close();
  }
}
