package willowdoor.net;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.util.concurrent.Future;
import willowdoor.policy.AttemptConditions;
import willowdoor.policy.AttemptStart;
import willowdoor.policy.GatewayApi.Status;

/** One attempt of a request at one backend, from the policy's send action to its single outcome. */
abstract class Attempt {

  /**
   * Length of a body up to which a backend's receive buffer is taken to have room for the request. Of a
   * longer one, the kernel may hold a part for as long as the backend does not read.
   */
  private static final int PROMPT_BODY_BYTES = 16 * 1024;

  final FullHttpRequest message;
  /** Deadline on the door's clock; never later than the moment at which the client gives up. */
  final double deadlineMs;
  final AttemptConditions conditions;
  long backendId;
  /** Null until the request is about to be written. */
  BackendConnection connection;
  /** True once the request's last byte was handed to the kernel; from then on the backend may have run it. */
  boolean written;
  /** True once something of the response was read: the backend has the request. */
  boolean answerBegun;
  /** Fires when the time is over in which the attempt has to begin, to be complete, or to be answered. */
  Future<?> timer;
  /** The rest of a response that is passed through, or null. */
  AnswerPipe restOfAnswer;
  private boolean ended;

  Attempt(FullHttpRequest message, double deadlineMs, AttemptConditions conditions) {
    this.message = message;
    this.deadlineMs = deadlineMs;
    this.conditions = conditions;
  }

  final String requestId() {
    return message.headers().get(Headers.REQUEST_ID);
  }

  final boolean ended() {
    return ended;
  }

  /**
   * Whether the backend may lack a part of the request, which it would still get if the connection were left
   * open or closed in the usual way.
   */
  final boolean mayLackBytes() {
    return !written || !answerBegun && message.content().readableBytes() > PROMPT_BODY_BYTES;
  }

  /** The time at which the attempt ends unless it has got on by then. */
  final double limitMs() {
    if (connection == null) {
      return Math.min(deadlineMs, conditions.beginByMs());
    }
    return mayLackBytes() ? Math.min(deadlineMs, conditions.completeByMs()) : deadlineMs;
  }

  /**
   * The status of this attempt when its connection breaks. Only the write shows whether the request may
   * have run.
   *
   * @param stale the connection was reused, and nothing of this attempt's response was read
   */
  final Status statusOnDisconnect(boolean stale) {
    if (!written) {
      return Status.BROKEN;
    }
    return stale ? Status.SPOILT : Status.RESET;
  }

  /**
   * The status of this attempt when its time is up; one that was not written shows nothing about its
   * backend.
   */
  final Status statusOnTimeout() {
    return written ? Status.TIMED_OUT : Status.NOT_SENT;
  }

  /** Ends the attempt. Later calls are ignored, so that the policy receives exactly one outcome. */
  final void end(Status status, FullHttpResponse answer) {
    if (ended) {
      return;
    }
    ended = true;
    if (timer != null) {
      timer.cancel(false);
    }
    onEnd(status, answer);
  }

  /** Called when {@link #limitMs} has passed: passes on what still comes, and otherwise ends the attempt. */
  final void onTimeUp() {
    if (!passOnAnswer()) {
      abandon(statusOnTimeout());
    }
  }

  /** Passes on an answer that has begun and makes progress, if it may be long; returns whether it did. */
  final boolean passOnAnswer() {
    return !ended && connection != null && connection.passOnIfUnderWay();
  }

  /** Cancels the attempt, unless its answer has begun and makes progress. */
  final void cancel() {
    if (connection == null || !connection.isAnswerUnderWay()) {
      abandon(Status.CANCELLED);
    }
  }

  /**
   * Ends the attempt without its response. Its connection is closed first, as the response may still arrive
   * on it and the next attempt begins with the end of this one. It is reset if the backend may lack a part of
   * the request, which the backend then never gets.
   */
  final void abandon(Status status) {
    if (ended) {
      return;
    }
    if (connection != null) {
      connection.abandonAttempt(mayLackBytes());
    }
    end(status, null);
  }

  /**
   * Whether the attempt may start, by all that is known at this moment; called just before its first byte
   * is sent.
   *
   * @param backendReplaced whether the backend is another one than the attempt was decided for
   */
  AttemptStart startDecision(double nowMs, boolean backendReplaced) {
    return AttemptStart.of(new AttemptStart.Circumstances(ended, false, false, false, false,
        backendReplaced, conditions.beginByMs() - nowMs, deadlineMs - nowMs));
  }

  /** Whether the client's connection may hold input that is unread, behind which the client may have left. */
  boolean awaitsClientInput() {
    return false;
  }

  /** Called immediately before the first byte is written. */
  void onBegin() {
    // The driver notes the request's id.
  }

  /** Called when a part of the answer was read, and the answer is not complete. */
  void onAnswerBegun() {
    answerBegun = true;
  }

  /** Called instead of the write when the attempt is not allowed to start, with the reason. */
  void onWithheld(AttemptStart reason) {
    end(Status.NOT_SENT, null);
  }

  /** Called once at the end. The answer is null unless the status is OK, and stays owned by the caller. */
  abstract void onEnd(Status status, FullHttpResponse answer);
}
