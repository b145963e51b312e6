package willowdoor.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * First handler of a listening socket. Where the system fails to accept a connection, the next try comes
 * soon; Netty's own handler accepts none for a second, and then also if accepting was stopped meanwhile.
 */
final class AcceptHandler extends ChannelInboundHandlerAdapter {

  private static final Logger LOG = Logger.getLogger(AcceptHandler.class.getName());
  private static final long RETRY_MS = 20;

  private boolean accepting;

  /** Begins or stops to accept connections of a listening socket. */
  static void setAccepting(Channel listening, boolean accepting) {
    if (!listening.eventLoop().inEventLoop()) {
      listening.eventLoop().execute(() -> setAccepting(listening, accepting));
      return;
    }
    listening.pipeline().get(AcceptHandler.class).accepting = accepting;
    listening.config().setAutoRead(accepting);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (!(cause instanceof IOException)) {
      ctx.fireExceptionCaught(cause);
      return;
    }
    LOG.log(Level.FINE, "no connection could be accepted", cause);
    ctx.channel().config().setAutoRead(false);
    ctx.executor().schedule(() -> ctx.channel().config().setAutoRead(accepting), RETRY_MS,
        TimeUnit.MILLISECONDS);
  }
}
