package willowdoor.net;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Logger;
import willowdoor.management.Caller;
import willowdoor.management.Caller.Came;
import willowdoor.management.Caller.End;
import willowdoor.management.Order;
import willowdoor.management.Reply;

/**
 * The other process of this front door, while a new one replaces an old one. Both hold each other's
 * management address, so that an operator's call to either holds in both, and both notice when the other is
 * gone. All on the loop.
 */
final class PeerProcess {

  private static final Logger LOG = Logger.getLogger(PeerProcess.class.getName());
  private static final long CHECK_INTERVAL_MS = 500;
  /** An operator waits 1 s for a yes, which is one for both processes. */
  private static final long ORDER_LIMIT_MS = 750;
  private static final long HELLO_LIMIT_MS = 1_500;

  private final EventLoop loop;
  private final Caller caller;
  private final InetSocketAddress address;
  private final Consumer<PeerProcess> goneListener;
  /** It takes clients at the same address as this process. */
  private boolean serving;
  private boolean gone;

  PeerProcess(EventLoop loop, Caller caller, InetSocketAddress address, Consumer<PeerProcess> goneListener) {
    this.loop = loop;
    this.caller = caller;
    this.address = address;
    this.goneListener = goneListener;
    loop.schedule(this::checkAlive, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  InetSocketAddress address() {
    return address;
  }

  boolean isServing() {
    return serving;
  }

  void markServing() {
    serving = true;
  }

  /**
   * Tells the other process of this one.
   *
   * @param ownAddress where this one is managed
   * @param takesClients whether it takes clients
   */
  void announce(InetSocketAddress ownAddress, boolean takesClients, Consumer<End> endListener) {
    caller.call(address, HttpMethod.POST, "/twin?at=" + ownAddress.getAddress().getHostAddress() + ":"
        + ownAddress.getPort() + "&serves=" + takesClients, HELLO_LIMIT_MS, end -> {
          if (end.came() == Came.NOBODY) {
            markGone();
          }
          endListener.accept(end);
        });
  }

  /** Has an order hold there too; what was yes here stays so if the other process is no more. */
  void forward(Order order, Reply ownReply, Consumer<Reply> replyListener) {
    caller.call(address, HttpMethod.POST, order.target(), ORDER_LIMIT_MS, end -> {
      if (end.came() == Came.NOBODY) {
        markGone();
      }
      replyListener.accept(end.came() == Came.NOTHING
          ? new Reply(503, "the other process of this front door does not answer") : ownReply);
    });
  }

  private void checkAlive() {
    if (!gone && !loop.isShuttingDown()) {
      caller.call(address, HttpMethod.GET, "/ready", CHECK_INTERVAL_MS, end -> {
        if (end.came() == Came.NOBODY) {
          markGone();
        } else {
          loop.schedule(this::checkAlive, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
      });
    }
  }

  private void markGone() {
    if (!gone) {
      gone = true;
      LOG.info("the other process of this front door is gone: " + address);
      goneListener.accept(this);
    }
  }
}
