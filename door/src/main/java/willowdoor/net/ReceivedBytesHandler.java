package willowdoor.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;

/**
 * First handler of a connection: tracks when a request begins and what it takes so far, and drops bytes
 * that are not wanted any more.
 */
final class ReceivedBytesHandler extends ChannelInboundHandlerAdapter {

  /** Reads of one connection before the loop turns to the next one. */
  static final int READS_PER_TURN = 4;
  /**
   * Time that the input of one connection may take before the loop turns to the next one, beyond the read
   * during which it is over; input in tiny pieces takes many times that of the same bytes in one.
   */
  private static final long MAX_TURN_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long PAUSE_MS = 1;

  private final ClientConnection connection;
  private final RequestDecoder decoder;
  private int readsInThisTurn;
  private int bytesInThisTurn;
  private long nanosInThisTurn;

  ReceivedBytesHandler(ClientConnection connection, RequestDecoder decoder) {
    this.connection = connection;
    this.decoder = decoder;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object bytes) {
    readsInThisTurn++;
    bytesInThisTurn += ((ByteBuf) bytes).readableBytes();
    if (!connection.wantsInput()) {
      ReferenceCountUtil.release(bytes);
      return;
    }
    long startNanos = System.nanoTime();
    connection.onBytes(((ByteBuf) bytes).readableBytes());
    ctx.fireChannelRead(bytes);
    connection.onDecoded(decoder);
    nanosInThisTurn += System.nanoTime() - startNanos;
    if (nanosInThisTurn > MAX_TURN_NANOS) {
      pause(ctx.channel());
    }
  }

  /** Reads no more in this turn. */
  private void pause(Channel channel) {
    if (channel.config().isAutoRead()) {
      channel.config().setAutoRead(false);
      channel.eventLoop().schedule(() -> {
        connection.onReadingResumed();
        channel.config().setAutoRead(true);
      }, PAUSE_MS, TimeUnit.MILLISECONDS);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    ctx.fireChannelReadComplete();
    connection.onTurnEnd(bytesInThisTurn,
        readsInThisTurn >= READS_PER_TURN || nanosInThisTurn > MAX_TURN_NANOS);
    readsInThisTurn = 0;
    bytesInThisTurn = 0;
    nanosInThisTurn = 0;
  }
}
