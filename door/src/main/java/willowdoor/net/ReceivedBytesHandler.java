package willowdoor.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;

/**
 * First handler of a client's connection: tracks when a request begins and what it takes so far, and drops
 * bytes that are not wanted any more.
 */
final class ReceivedBytesHandler extends TurnLimitHandler {

  /** Reads of one connection before the loop turns to the next one. */
  static final int READS_PER_TURN = 4;

  private final ClientConnection connection;
  private final RequestDecoder decoder;
  private int readsInThisTurn;

  ReceivedBytesHandler(ClientConnection connection, RequestDecoder decoder) {
    this.connection = connection;
    this.decoder = decoder;
  }

  @Override
  void onRead(ChannelHandlerContext ctx, ByteBuf bytes) {
    readsInThisTurn++;
    if (connection.wantsInput()) {
      connection.onBytes(bytes.readableBytes());
      ctx.fireChannelRead(bytes);
      connection.onDecoded(decoder);
    } else {
      bytes.release();
    }
  }

  @Override
  void onTurnEnd(int bytes, boolean timeIsOver) {
    connection.onTurnEnd(bytes, timeIsOver || readsInThisTurn >= READS_PER_TURN);
    readsInThisTurn = 0;
  }

  @Override
  void onPaused() {
    connection.onReadingPaused();
  }

  @Override
  void onResumed() {
    connection.onReadingResumed();
  }
}
