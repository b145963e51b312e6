package willowdoor.steward.link;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import willowdoor.agreement.Command;
import willowdoor.steward.Steward;
import willowdoor.steward.StewardId;
import willowdoor.steward.link.Answer.Failed;
import willowdoor.steward.link.LinkMessage.Hello;
import willowdoor.steward.link.LinkMessage.Role;

/** An operator's client of the stewards: retries a call until a steward answers or the time is up. */
public final class OperatorClient implements AutoCloseable {

  private static final long CALL_TIMEOUT_MS = 1_000;
  private static final long RETRY_MS = 30;

  private final EventLoopGroup group = SingleThreadLoop.create("operator");
  private final EventLoop loop = group.next();
  private final LinkClient link;

  /** Connects to any of these stewards under the operator's name. */
  public OperatorClient(String group, String by, List<InetSocketAddress> stewards) {
    link = new LinkClient(loop, stewards, new Hello(LinkMessage.OLDEST, LinkMessage.VERSION, group,
        Role.OPERATOR, by, ""));
    loop.execute(link::start);
  }

  /** Proposes a command. Repeating a request with the same identifier has no further effect. */
  public Answer put(Command command, long limitMs) throws InterruptedException {
    return call(new Call.Put(command), limitMs);
  }

  /** Changes a steward's membership. */
  public Answer changeMembership(StewardId who, Steward.MembershipChange change, long limitMs)
      throws InterruptedException {
    return call(new Call.Part(who, change), limitMs);
  }

  /** Returns the state of the record, confirmed by a majority. */
  public Answer status(long limitMs) throws InterruptedException {
    return call(new Call.Look(), limitMs);
  }

  private Answer call(Call call, long limitMs) throws InterruptedException {
    CompletableFuture<Answer> answer = new CompletableFuture<>();
    long until = System.nanoTime() + limitMs * 1_000_000;
    loop.execute(() -> attempt(call, until, answer));
    try {
      return answer.get(limitMs + 2 * CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      return new Failed("no answer within " + limitMs + " ms", true);
    }
  }

  private void attempt(Call call, long until, CompletableFuture<Answer> answer) {
    link.call(call, false, CALL_TIMEOUT_MS, result -> {
      if (result instanceof Failed failed && failed.again() && System.nanoTime() < until) {
        loop.schedule(() -> attempt(call, until, answer), RETRY_MS, TimeUnit.MILLISECONDS);
      } else {
        answer.complete(result);
      }
    });
  }

  @Override
  public void close() {
    loop.execute(link::close);
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }
}
