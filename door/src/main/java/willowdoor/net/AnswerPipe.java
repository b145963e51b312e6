package willowdoor.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import willowdoor.policy.AnswerLifecycle;

/**
 * Passes the rest of a long response through as it arrives. Bytes from the backend are forwarded to the
 * client's side at once, and the backend is read only while the client's side accepts more. A slow client
 * therefore holds no more memory than the buffers of the two sockets and a few pieces. The pipe transfers
 * bytes and applies backpressure; it makes no policy decision. All methods are called on the event loop.
 */
final class AnswerPipe {

  private static final double MIN_CHECK_MS = 1;
  /** The limit may become nearer while a check is scheduled. */
  private static final double MAX_CHECK_MS = 250;

  /** The client's side. */
  interface Receiver {
    /** Takes a piece; the receiver releases it. */
    void onPiece(ByteBuf bytes);

    /** Called when the response is complete. */
    void onComplete();

    /** Called when the rest of the response will not arrive. */
    void onAborted();
  }

  private final Channel backend;
  private final TurnLimitHandler backendInput;
  private final AnswerLifecycle lifecycle;
  private final DoubleSupplier clockMs;
  /** Pieces that arrived before the receiver was set: no more than one read returns. */
  private final ArrayDeque<ByteBuf> buffered = new ArrayDeque<>(2);
  private Receiver receiver;
  private boolean ended;
  private boolean completed;

  /**
   * Creates a pipe for an answer that is passed on from now on.
   *
   * @param backendInput handler of the backend's connection that resumes and pauses reading
   * @param lifecycle tells when the answer is given up
   */
  AnswerPipe(Channel backend, TurnLimitHandler backendInput, AnswerLifecycle lifecycle,
      DoubleSupplier clockMs) {
    this.backend = backend;
    this.backendInput = backendInput;
    this.lifecycle = lifecycle;
    this.clockMs = clockMs;
    lifecycle.onPassedOn();
    scheduleCheck();
  }

  private void scheduleCheck() {
    double waitMs = Math.max(MIN_CHECK_MS, lifecycle.givenUpAtMs() - clockMs.getAsDouble());
    backend.eventLoop().schedule(() -> {
      if (!ended && lifecycle.isGivenUp(clockMs.getAsDouble())) {
        RequestLog.note(null, "answer given up", "reason", lifecycle.state(clockMs.getAsDouble()));
        abort();
      } else if (!ended) {
        scheduleCheck();
      }
    }, (long) Math.min(MAX_CHECK_MS, waitMs), TimeUnit.MILLISECONDS);
  }

  /** Sets the receiver, which gets the pieces that have arrived and all that follow. */
  void setReceiver(Receiver newReceiver) {
    receiver = newReceiver;
    for (ByteBuf piece = buffered.poll(); piece != null; piece = buffered.poll()) {
      newReceiver.onPiece(piece);
    }
    if (ended) {
      notifyReceiver();
    }
  }

  /** Resumes or pauses reading from the backend, as the client's side accepts more or not. */
  void setReading(boolean reading) {
    if (!ended) {
      lifecycle.setHeldBack(clockMs.getAsDouble(), !reading);
      backendInput.setReading(backend, reading);
    }
  }

  /** Called when the client has taken a piece. */
  void onClientProgress() {
    lifecycle.onClientProgress(clockMs.getAsDouble());
  }

  /** Forwards a piece from the backend and takes ownership of its buffer. */
  void forward(ByteBuf bytes) {
    if (ended) {
      bytes.release();
      return;
    }
    if (receiver == null) {
      buffered.add(bytes);
    } else {
      receiver.onPiece(bytes);
    }
  }

  /** Called when the backend has sent the complete response. */
  void complete() {
    lifecycle.onWhole();
    end(true);
  }

  /**
   * Ends the transfer early, because the backend sends or the client accepts no more; closes the backend's
   * connection.
   */
  void abort() {
    end(false);
    backend.close();
  }

  private void end(boolean complete) {
    if (!ended) {
      ended = true;
      completed = complete;
      if (!complete) {
        buffered.forEach(ByteBuf::release);
        buffered.clear();
      }
      if (receiver != null) {
        notifyReceiver();
      }
    }
  }

  private void notifyReceiver() {
    if (completed) {
      receiver.onComplete();
    } else {
      receiver.onAborted();
    }
  }
}
