package willowdoor.net;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.util.concurrent.Future;
import willowdoor.policy.AttemptStart;
import willowdoor.policy.GatewayApi.Status;

/** One attempt of a request at one backend, from the policy's send action to its single outcome. */
abstract class Attempt {

  final FullHttpRequest message;
  /** Deadline on the door's clock; never later than the moment at which the client gives up. */
  final double deadlineMs;
  long backendId;
  /** Null until the request is about to be written. */
  BackendConnection connection;
  /** True once the request's last byte was handed to the kernel; from then on the backend may have run it. */
  boolean written;
  /** Fires at the deadline. */
  Future<?> timer;
  /** The rest of a response that is passed through, or null. */
  AnswerPipe restOfAnswer;
  private boolean ended;

  Attempt(FullHttpRequest message, double deadlineMs) {
    this.message = message;
    this.deadlineMs = deadlineMs;
  }

  final String requestId() {
    return message.headers().get(Headers.REQUEST_ID);
  }

  final boolean ended() {
    return ended;
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

  /**
   * Ends the attempt without its response. Its connection is closed, as the response may still arrive on
   * it.
   */
  final void abandon(Status status) {
    if (ended) {
      return;
    }
    BackendConnection usedConnection = connection;
    end(status, null);
    if (usedConnection != null) {
      usedConnection.close();
    }
  }

  /**
   * Whether the attempt may start, by all that is known at this moment; called just before its first byte
   * is sent.
   */
  AttemptStart startDecision(double nowMs) {
    return AttemptStart.of(ended, false, false, deadlineMs - nowMs);
  }

  /** Called instead of the write when the attempt is not allowed to start, with the reason. */
  void onWithheld(AttemptStart reason) {
    end(Status.NOT_SENT, null);
  }

  /** Called once at the end. The answer is null unless the status is OK, and stays owned by the caller. */
  abstract void onEnd(Status status, FullHttpResponse answer);
}
