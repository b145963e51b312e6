package willowdoor.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * Passes the rest of a long response through as it arrives. Bytes from the backend are forwarded to the
 * client's side at once, and the backend is read only while the client's side accepts more. A slow client
 * therefore holds no more memory than the buffers of the two sockets and a few pieces. The pipe transfers
 * bytes and applies backpressure; it makes no policy decision. All methods are called on the event loop.
 */
final class AnswerPipe {

  /**
   * Interval of the stall checks. A pipe without progress between two checks is aborted; pauses of seconds
   * are allowed.
   */
  static final long STALL_LIMIT_MS = 15_000;

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
  /** Pieces that arrived before the receiver was set: no more than one read returns. */
  private final ArrayDeque<ByteBuf> buffered = new ArrayDeque<>(2);
  private Receiver receiver;
  private boolean ended;
  private boolean completed;
  private boolean progressed;

  AnswerPipe(Channel backend) {
    this.backend = backend;
    scheduleStallCheck();
  }

  private void scheduleStallCheck() {
    backend.eventLoop().schedule(() -> {
      if (!ended && !progressed) {
        abort();
      } else if (!ended) {
        progressed = false;
        scheduleStallCheck();
      }
    }, STALL_LIMIT_MS, TimeUnit.MILLISECONDS);
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
      progressed |= reading;
      backend.config().setAutoRead(reading);
    }
  }

  /** Forwards a piece from the backend and takes ownership of its buffer. */
  void forward(ByteBuf bytes) {
    if (ended) {
      bytes.release();
      return;
    }
    progressed = true;
    if (receiver == null) {
      buffered.add(bytes);
    } else {
      receiver.onPiece(bytes);
    }
  }

  /** Called when the backend has sent the complete response. */
  void complete() {
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
