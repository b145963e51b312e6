package willowdoor.management;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.NoRouteToHostException;
import java.util.List;

/**
 * Follows the opening of a connection on its event loop. Where the system gives no socket for a moment, Netty
 * returns a channel that belongs to no loop and never closes, and reports it on a thread of its own; whoever
 * waits for the end of that channel waits for good.
 */
public final class ConnectAttempt {

  /** How Netty tells what the system refused: ENOMEM, ENFILE, EMFILE, EADDRNOTAVAIL, ENOBUFS. */
  private static final List<String> LOCAL_ERRORS =
      List.of("error(-12)", "error(-23)", "error(-24)", "error(-99)", "error(-105)");

  private ConnectAttempt() {
  }

  /** Runs the action on the loop once it is known whether the connection is open. */
  public static void onDone(EventLoop loop, ChannelFuture connecting, Runnable action) {
    connecting.addListener(f -> {
      if (loop.inEventLoop()) {
        action.run();
      } else {
        loop.execute(action);
      }
    });
  }

  /** Runs the action on the loop once the connection is closed, or was never open. */
  public static void onClosed(EventLoop loop, ChannelFuture connecting, Runnable action) {
    onDone(loop, connecting, () -> {
      if (connecting.isSuccess()) {
        connecting.channel().closeFuture().addListener(f -> action.run());
      } else {
        action.run();
      }
    });
  }

  /** Closes the connection, if there is a socket for it. */
  public static void close(Channel channel) {
    if (hasSocket(channel)) {
      channel.close();
    }
  }

  private static boolean hasSocket(Channel channel) {
    return channel.isOpen() || channel.closeFuture().isDone();
  }

  /** Whether the connection was refused, as nobody listens at the address. */
  public static boolean isRefused(ChannelFuture done) {
    return !done.isSuccess() && String.valueOf(done.cause().getMessage()).contains("Connection refused");
  }

  /** Whether this machine, and not the peer, is why the connection could not be opened. */
  public static boolean isLocalFailure(ChannelFuture failed) {
    String text = String.valueOf(failed.cause().getMessage());
    return !hasSocket(failed.channel()) || failed.cause() instanceof NoRouteToHostException
        || LOCAL_ERRORS.stream().anyMatch(text::contains);
  }
}
