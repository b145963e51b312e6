package willowdoor.net;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.QueryStringEncoder;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Logger;
import java.util.stream.Collectors;
import willowdoor.management.ManagementClient;
import willowdoor.management.ManagementClient.CallOutcome;
import willowdoor.management.ManagementClient.CallResult;
import willowdoor.management.ManagementCommand;
import willowdoor.management.ProcessGreeting;
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
  /** Status of the reply of a version that knows no claims of ids. */
  private static final int KNOWS_NO_CLAIMS = 404;

  private final EventLoop loop;
  private final ManagementClient caller;
  private final InetSocketAddress address;
  /** Identity of the process, as another one may come up at its address; empty until it is known. */
  private String processId = "";
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

  /** Whether the process with that identity is this one, as far as both identities are known. */
  boolean isProcess(String otherId) {
    return processId.isEmpty() || otherId.isEmpty() || processId.equals(otherId);
  }

  /** Sets the identity of the process; empty if it tells none. */
  void setProcessId(String id) {
    processId = id;
  }

  /** Announces this process to the other one. */
  void announce(ProcessGreeting greeting, Consumer<CallResult> endListener) {
    QueryStringEncoder target = new QueryStringEncoder("/twin");
    target.addParam("at", greeting.address());
    target.addParam("serves", Boolean.toString(greeting.serves()));
    target.addParam("process", greeting.processId());
    target.addParam("listen", greeting.listen());
    caller.call(address, processId, HttpMethod.POST, target.toString(), HELLO_LIMIT_MS, end -> {
          if (end.outcome() == CallOutcome.NOBODY) {
            markGone();
          }
          endListener.accept(end);
        });
  }

  /** Claims the ids of requests that are about to begin here and must not run twice. */
  void claim(List<String> ids, IdClaims.Reply callback) {
    QueryStringEncoder target = new QueryStringEncoder("/claim");
    ids.forEach(id -> target.addParam("id", id));
    caller.call(address, processId, HttpMethod.POST, target.toString(), IdClaims.REPLY_LIMIT_MS,
        end -> onClaimEnd(end, callback));
  }

  private void onClaimEnd(CallResult end, IdClaims.Reply callback) {
    if (end.outcome() == CallOutcome.NOBODY) {
      markGone();
      callback.onOtherEnded();
    } else if (end.outcome() == CallOutcome.ANSWER && end.reply().isOk()) {
      callback.onReply(end.reply().text().lines().collect(Collectors.toSet()));
    } else if (end.outcome() == CallOutcome.ANSWER && end.reply().status() == KNOWS_NO_CLAIMS) {
      callback.onReply(Set.of());
    } else {
      callback.onNoReply();
    }
  }

  /**
   * Forwards an order to the other process. The result is this process's own reply, also if the other
   * process has ended, but 503 if the other process does not answer in time.
   */
  void forward(ManagementCommand order, Reply ownReply, Consumer<Reply> replyListener) {
    caller.call(address, processId, HttpMethod.POST, order.target(), ORDER_LIMIT_MS, end -> {
      if (end.outcome() == CallOutcome.NOBODY) {
        markGone();
      }
      replyListener.accept(end.outcome() == CallOutcome.NOTHING
          ? new Reply(503, "the other process of this front door does not answer") : ownReply);
    });
  }

  private void checkAlive() {
    if (!gone && !loop.isShuttingDown()) {
      caller.call(address, processId, HttpMethod.GET, "/ready", CHECK_INTERVAL_MS, end -> {
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
