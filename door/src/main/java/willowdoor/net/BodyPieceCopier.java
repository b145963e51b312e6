package willowdoor.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;

/**
 * Copies the pieces of a body out of the receive buffers. Guards against bodies that hold more memory than
 * their own bytes: a piece of a few bytes would keep its whole receive buffer.
 */
final class BodyPieceCopier extends ChannelInboundHandlerAdapter {

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (!(message instanceof HttpContent piece) || !piece.content().isReadable()) {
      ctx.fireChannelRead(message);
      return;
    }
    HttpContent copy;
    try {
      ByteBuf bytes = ctx.alloc().buffer(piece.content().readableBytes()).writeBytes(piece.content());
      copy = piece.replace(bytes);
    } finally {
      piece.release();
    }
    ctx.fireChannelRead(copy);
  }
}
