package willowdoor.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import java.util.concurrent.TimeUnit;

/**
 * First handler of a connection: bounds the time that its input takes in one turn of the event loop, as input
 * in tiny pieces takes many times that of the same bytes in one. Beyond the bound reading pauses, so that the
 * other connections have their turns.
 */
class TurnLimitHandler extends ChannelDuplexHandler {

  /**
   * Time that the input of one connection may take before the loop turns to the next one, beyond the read
   * during which it is over.
   */
  private static final long MAX_TURN_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
  /** Less input than this has taken its time for another reason, such as a process that was held up. */
  private static final int MIN_COSTLY_BYTES = 4 * 1024;
  /** Reading pauses for this multiple of the time taken, so that one peer has a fifth of the loop at most. */
  private static final int PAUSE_FACTOR = 4;
  private static final long MAX_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

  private boolean readingWanted = true;
  private boolean paused;
  private int bytesInThisTurn;
  private long nanosInThisTurn;

  @Override
  public final void channelRead(ChannelHandlerContext ctx, Object message) {
    ByteBuf bytes = (ByteBuf) message;
    bytesInThisTurn += bytes.readableBytes();
    long startNanos = System.nanoTime();
    onRead(ctx, bytes);
    nanosInThisTurn += System.nanoTime() - startNanos;
    if (isTimeOver()) {
      pause(ctx.channel());
    }
  }

  private boolean isTimeOver() {
    return nanosInThisTurn > MAX_TURN_NANOS && bytesInThisTurn >= MIN_COSTLY_BYTES;
  }

  @Override
  public final void channelReadComplete(ChannelHandlerContext ctx) {
    ctx.fireChannelReadComplete();
    onTurnEnd(bytesInThisTurn, isTimeOver());
    bytesInThisTurn = 0;
    nanosInThisTurn = 0;
  }

  /** Drops the wish of a handler to read on during a pause: reading resumes by itself. */
  @Override
  public final void read(ChannelHandlerContext ctx) {
    if (!paused) {
      ctx.read();
    }
  }

  /** Passes the bytes of one read on. */
  void onRead(ChannelHandlerContext ctx, ByteBuf bytes) {
    ctx.fireChannelRead(bytes);
  }

  /**
   * Called when the loop turns to the next connection.
   *
   * @param bytes what was read in this turn
   * @param timeIsOver whether the turn has ended by the time that it took
   */
  void onTurnEnd(int bytes, boolean timeIsOver) {
    // Nothing is to be done.
  }

  /** Called when reading pauses. */
  void onPaused() {
    // Nothing is to be done.
  }

  /** Called before the connection is read again after a pause. */
  void onResumed() {
    // Nothing is to be done.
  }

  /** Sets whether the connection is read; a pause that lasts is not cut short. */
  final void setReading(Channel channel, boolean reading) {
    readingWanted = reading;
    if (!paused) {
      channel.config().setAutoRead(reading);
    }
  }

  private void pause(Channel channel) {
    if (paused) {
      return;
    }
    paused = true;
    onPaused();
    channel.config().setAutoRead(false);
    channel.eventLoop().schedule(() -> {
      paused = false;
      onResumed();
      channel.config().setAutoRead(readingWanted);
    }, Math.min(PAUSE_FACTOR * nanosInThisTurn, MAX_PAUSE_NANOS), TimeUnit.NANOSECONDS);
  }
}
