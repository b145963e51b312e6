package willowdoor.net;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Logger;
import willowdoor.management.ManagementClient;
import willowdoor.management.ManagementClient.CallOutcome;
import willowdoor.management.ManagementClient.CallResult;
import willowdoor.management.ManagementCommand;
import willowdoor.management.Reply;

/**
 * The other process of this front door while a new process replaces an old one. Each holds the other's
 * management address, so that an operator's order to either process applies to both, and each notices when
 * the other has ended. All methods are called on the event loop.
 */
final class PeerProcess {

  private static final Logger LOG = Logger.getLogger(PeerProcess.class.getName());
  private static final long CHECK_INTERVAL_MS = 500;
  /** Limit of a forwarded order. An operator waits 1 s for a confirmation, which covers both processes. */
  private static final long ORDER_LIMIT_MS = 750;
  private static final long HELLO_LIMIT_MS = 1_500;

  private final EventLoop loop;
  private final ManagementClient caller;
  private final InetSocketAddress address;
  private final Consumer<PeerProcess> goneListener;
  /** The other process takes clients at the same address as this one. */
  private boolean serving;
  private boolean gone;

  PeerProcess(EventLoop loop, ManagementClient caller, InetSocketAddress address,
      Consumer<PeerProcess> goneListener) {
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
   * Announces this process to the other one.
   *
   * @param ownAddress management address of this process
   * @param takesClients whether this process takes clients
   */
  void announce(InetSocketAddress ownAddress, boolean takesClients, Consumer<CallResult> endListener) {
    caller.call(address, HttpMethod.POST, "/twin?at=" + ownAddress.getAddress().getHostAddress() + ":"
        + ownAddress.getPort() + "&serves=" + takesClients, HELLO_LIMIT_MS, end -> {
          if (end.outcome() == CallOutcome.NOBODY) {
            markGone();
          }
          endListener.accept(end);
        });
  }

  /**
   * Forwards an order to the other process. The result is this process's own reply, also if the other
   * process has ended, but 503 if the other process does not answer in time.
   */
  void forward(ManagementCommand order, Reply ownReply, Consumer<Reply> replyListener) {
    caller.call(address, HttpMethod.POST, order.target(), ORDER_LIMIT_MS, end -> {
      if (end.outcome() == CallOutcome.NOBODY) {
        markGone();
      }
      replyListener.accept(end.outcome() == CallOutcome.NOTHING
          ? new Reply(503, "the other process of this front door does not answer") : ownReply);
    });
  }

  private void checkAlive() {
    if (!gone && !loop.isShuttingDown()) {
      caller.call(address, HttpMethod.GET, "/ready", CHECK_INTERVAL_MS, end -> {
        if (end.outcome() == CallOutcome.NOBODY) {
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
      LOG.info("the other process of this front door has ended: " + address);
      goneListener.accept(this);
    }
  }
}
