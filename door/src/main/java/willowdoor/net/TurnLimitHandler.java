package willowdoor.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;

/**
 * First handler of a connection: bounds the time that its input takes in one turn of the event loop, as input
 * in tiny pieces takes many times that of the same bytes in one. Beyond the bound reading pauses, so that the
 * other connections have their turns.
 */
class TurnLimitHandler extends ChannelInboundHandlerAdapter {

  /**
   * Time that the input of one connection may take before the loop turns to the next one, beyond the read
   * during which it is over.
   */
  private static final long MAX_TURN_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long PAUSE_MS = 1;

  private boolean readingWanted = true;
  private boolean paused;
  private long nanosInThisTurn;

  @Override
  public final void channelRead(ChannelHandlerContext ctx, Object bytes) {
    long startNanos = System.nanoTime();
    onRead(ctx, (ByteBuf) bytes);
    nanosInThisTurn += System.nanoTime() - startNanos;
    if (nanosInThisTurn > MAX_TURN_NANOS) {
      pause(ctx.channel());
    }
  }

  @Override
  public final void channelReadComplete(ChannelHandlerContext ctx) {
    ctx.fireChannelReadComplete();
    boolean timeIsOver = nanosInThisTurn > MAX_TURN_NANOS;
    nanosInThisTurn = 0;
    onTurnEnd(timeIsOver);
  }

  /** Passes the bytes of one read on. */
  void onRead(ChannelHandlerContext ctx, ByteBuf bytes) {
    ctx.fireChannelRead(bytes);
  }

  /**
   * Called when the loop turns to the next connection.
   *
   * @param timeIsOver whether the turn has ended by the time that it took
   */
  void onTurnEnd(boolean timeIsOver) {
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
    channel.config().setAutoRead(false);
    channel.eventLoop().schedule(() -> {
      paused = false;
      onResumed();
      channel.config().setAutoRead(readingWanted);
    }, PAUSE_MS, TimeUnit.MILLISECONDS);
  }
}
