package willowdoor.net;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.util.concurrent.Future;
import willowdoor.policy.AttemptStart;
import willowdoor.policy.GatewayApi.Status;

/** One attempt of a request at one backend, from the module's send to its one outcome. */
abstract class Attempt {

  final FullHttpRequest message;
  /** When its time is up, on the gateway's clock: never after the moment at which its client gives up. */
  final double deadlineMs;
  /** Where it was sent. */
  long backendId;
  /** Null while the attempt has no connection yet. */
  BackendConnection connection;
  /** True once the request's last byte went to the kernel: from then on the backend may have run it. */
  boolean written;
  /** Fires when the attempt's time is up. */
  Future<?> timer;
  /** What of a long answer is still to come, or null. */
  AnswerPipe restOfAnswer;
  private boolean ended;

  Attempt(FullHttpRequest message, double deadlineMs) {
    this.message = message;
    this.deadlineMs = deadlineMs;
  }

  /** The id of its request. */
  final String requestId() {
    return message.headers().get(Headers.REQUEST_ID);
  }

  final boolean ended() {
    return ended;
  }

  /**
   * How a broken connection ends this attempt: whether it may have run is told by the write alone. Stale: the
   * connection had been kept, and nothing came of this attempt's answer.
   */
  final Status statusOnDisconnect(boolean stale) {
    if (!written) {
      return Status.BROKEN;
    }
    return stale ? Status.SPOILT : Status.RESET;
  }

  /** How running out of time ends this attempt; one without a connection tells nothing of its backend. */
  final Status statusOnTimeout() {
    return written ? Status.TIMED_OUT : Status.NOT_SENT;
  }

  /** Ends the attempt; later endings are ignored, so that the module gets exactly one outcome. */
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

  /** Stops waiting. The connection is given up with it, as an answer may still come on it. */
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

  /** Whether it may begin, by all that is known at this moment; asked just before its first byte leaves. */
  AttemptStart startDecision(double nowMs) {
    return AttemptStart.of(ended, false, false, deadlineMs - nowMs);
  }

  /** It was not allowed to begin, for that reason. */
  void onWithheld(AttemptStart reason) {
    end(Status.NOT_SENT, null);
  }

  /** The answer is only lent, and null unless the status is OK. */
  abstract void onEnd(Status status, FullHttpResponse answer);
}
