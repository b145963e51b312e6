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
final class Twin {

  private static final Logger LOG = Logger.getLogger(Twin.class.getName());
  private static final long LOOK_MS = 500;
  /** An operator waits 1 s for a yes, which is one for both processes. */
  private static final long ORDER_LIMIT_MS = 750;
  private static final long HELLO_LIMIT_MS = 1_500;

  private final EventLoop loop;
  private final Caller caller;
  private final InetSocketAddress address;
  private final Consumer<Twin> gone;
  /** It takes clients at the same address as this process. */
  private boolean serving;
  private boolean lost;

  Twin(EventLoop loop, Caller caller, InetSocketAddress address, Consumer<Twin> gone) {
    this.loop = loop;
    this.caller = caller;
    this.address = address;
    this.gone = gone;
    loop.schedule(this::look, LOOK_MS, TimeUnit.MILLISECONDS);
  }

  InetSocketAddress address() {
    return address;
  }

  boolean serving() {
    return serving;
  }

  void serves() {
    serving = true;
  }

  /**
   * Tells the other process of this one.
   *
   * @param own where this one is managed
   * @param serves whether it takes clients
   */
  void hello(InetSocketAddress own, boolean serves, Consumer<End> told) {
    caller.call(address, HttpMethod.POST, "/twin?at=" + own.getAddress().getHostAddress() + ":"
        + own.getPort() + "&serves=" + serves, HELLO_LIMIT_MS, end -> {
          if (end.came() == Came.NOBODY) {
            lose();
          }
          told.accept(end);
        });
  }

  /** Has an order hold there too; what was yes here stays so if the other process is no more. */
  void carryOut(Order order, Reply here, Consumer<Reply> told) {
    caller.call(address, HttpMethod.POST, order.target(), ORDER_LIMIT_MS, end -> {
      if (end.came() == Came.NOBODY) {
        lose();
      }
      told.accept(end.came() == Came.NOTHING
          ? new Reply(503, "the other process of this front door does not answer") : here);
    });
  }

  private void look() {
    if (!lost && !loop.isShuttingDown()) {
      caller.call(address, HttpMethod.GET, "/ready", LOOK_MS, end -> {
        if (end.came() == Came.NOBODY) {
          lose();
        } else {
          loop.schedule(this::look, LOOK_MS, TimeUnit.MILLISECONDS);
        }
      });
    }
  }

  private void lose() {
    if (!lost) {
      lost = true;
      LOG.info("the other process of this front door is gone: " + address);
      gone.accept(this);
    }
  }
}
