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
  static final long STALLED_MS = 15_000;

  /** The client's side. */
  interface Taker {
    /** A piece, which the taker releases. */
    void piece(ByteBuf bytes);

    /** All has come. */
    void whole();

    /** The rest will not come. */
    void broken();
  }

  private final Channel backend;
  /** What came before there was a taker: no more than one read gives. */
  private final ArrayDeque<ByteBuf> early = new ArrayDeque<>(2);
  private Taker taker;
  private boolean ended;
  private boolean whole;
  private boolean moved;

  AnswerPipe(Channel backend) {
    this.backend = backend;
    watch();
  }

  private void watch() {
    backend.eventLoop().schedule(() -> {
      if (!ended && !moved) {
        breakOff();
      } else if (!ended) {
        moved = false;
        watch();
      }
    }, STALLED_MS, TimeUnit.MILLISECONDS);
  }

  /** Has the taker get what has come and all that comes. */
  void to(Taker other) {
    taker = other;
    for (ByteBuf piece = early.poll(); piece != null; piece = early.poll()) {
      other.piece(piece);
    }
    if (ended) {
      finish();
    }
  }

  /** The client's side takes more, or no more for now. */
  void readOn(boolean on) {
    if (!ended) {
      moved |= on;
      backend.config().setAutoRead(on);
    }
  }

  /** A piece from the backend, which is handed over with it. */
  void piece(ByteBuf bytes) {
    if (ended) {
      bytes.release();
      return;
    }
    moved = true;
    if (taker == null) {
      early.add(bytes);
    } else {
      taker.piece(bytes);
    }
  }

  /** The backend has given all. */
  void whole() {
    end(true);
  }

  /** The backend gives no more, or the client takes no more. */
  void breakOff() {
    end(false);
    backend.close();
  }

  private void end(boolean all) {
    if (!ended) {
      ended = true;
      whole = all;
      if (!all) {
        early.forEach(ByteBuf::release);
        early.clear();
      }
      if (taker != null) {
        finish();
      }
    }
  }

  private void finish() {
    if (whole) {
      taker.whole();
    } else {
      taker.broken();
    }
  }
}
