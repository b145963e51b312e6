package willowdoor.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * The rest of a long answer, which passes through as it comes: what a backend gives is handed to the client's
 * side at once, and the backend's side is read on only while the client's side takes more. So a slow reader
 * holds what the two sockets hold and a few pieces, and nothing else. It knows bytes and who may read on; it
 * holds no rule. All on the loop.
 */
final class AnswerPipe {

  /** One in which nothing has moved for so long is given up: peers may take seconds, not longer. */
  static final long STALL_LIMIT_MS = 15_000;

  /** The client's side. */
  interface Receiver {
    /** A piece, which the taker releases. */
    void onPiece(ByteBuf bytes);

    /** All has come. */
    void onComplete();

    /** The rest will not come. */
    void onAborted();
  }

  private final Channel backend;
  /** What came before there was a taker: no more than one read gives. */
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

  /** Has the taker get what has come and all that comes. */
  void setReceiver(Receiver newReceiver) {
    receiver = newReceiver;
    for (ByteBuf piece = buffered.poll(); piece != null; piece = buffered.poll()) {
      newReceiver.onPiece(piece);
    }
    if (ended) {
      notifyReceiver();
    }
  }

  /** The client's side takes more, or no more for now. */
  void setReading(boolean reading) {
    if (!ended) {
      progressed |= reading;
      backend.config().setAutoRead(reading);
    }
  }

  /** A piece from the backend, which is handed over with it. */
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

  /** The backend has given all. */
  void complete() {
    end(true);
  }

  /** The backend gives no more, or the client takes no more. */
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
