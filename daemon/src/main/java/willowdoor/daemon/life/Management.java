package willowdoor.daemon.life;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.logging.Logger;
import willowdoor.agreement.Outcome;
import willowdoor.agreement.Permit;
import willowdoor.agreement.Permit.Stage;
import willowdoor.agreement.Subject;
import willowdoor.agreement.Subject.Kind;
import willowdoor.management.ManagementServer;
import willowdoor.management.Operations;
import willowdoor.management.ManagementCommand;
import willowdoor.management.ProcessGreeting;
import willowdoor.management.Reply;
import willowdoor.net.FrontDoor;
import willowdoor.net.EndpointUpdate;
import willowdoor.steward.link.DoorLink;
import willowdoor.steward.link.FleetStatus;

/**
 * The operators' management address of a daemon that takes part in the agreement of its fleet. Each order
 * asks for a permit or returns one, and is answered within a second. An order to take out a backend succeeds
 * only once no door sends requests to that backend. After status 503 the operator repeats the call, which
 * continues the same request.
 *
 * <p>Two processes of one door cannot listen on the same address, so the second retries until it is free.
 * Bound: at most {@value #MAX_REQUESTS} requests are remembered. The oldest is dropped first, and a repeated
 * call for it would be a new request.
 */
final class Management implements Operations, AutoCloseable {

  private static final Logger LOG = Logger.getLogger(Management.class.getName());
  private static final int MAX_REQUESTS = 1_000;
  private static final long ANSWER_LIMIT_MS = 900;
  private static final long POLL_INTERVAL_MS = 100;
  private static final long BIND_RETRY_MS = 100;
  private static final int UNAVAILABLE_STATUS = 503;
  private static final int CONFLICT_STATUS = 409;

  private final EventLoop loop;
  private final String door;
  private final DoorLink link;
  private final BooleanSupplier ready;
  private final ManagementServer server = new ManagementServer(this);
  private final Map<Subject, String> requestIds = new LinkedHashMap<>();
  private volatile boolean closed;

  /** Listens on the address as soon as it is free, on a separate thread. */
  Management(FrontDoor frontDoor, InetSocketAddress address, String door, DoorLink link,
      BooleanSupplier ready) {
    loop = frontDoor.loop();
    this.door = door;
    this.link = link;
    this.ready = ready;
    Thread opening = new Thread(() -> open(frontDoor, address), "management");
    opening.setDaemon(true);
    opening.start();
  }

  private void open(FrontDoor frontDoor, InetSocketAddress address) {
    String lastError = "";
    try {
      while (!closed) {
        try {
          frontDoor.manage(server, address);
          return;
        } catch (IOException e) {
          if (!e.getMessage().equals(lastError)) {
            lastError = e.getMessage();
            LOG.info(lastError + "; retrying until the address is free");
          }
          Thread.sleep(BIND_RETRY_MS);
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public boolean ready() {
    return ready.getAsBoolean();
  }

  @Override
  public Reply hello(ProcessGreeting greeting) {
    return new Reply(CONFLICT_STATUS, "a daemon is replaced by --take-over");
  }

  @Override
  public void carryOut(ManagementCommand order, boolean forwarded, Consumer<Reply> onReply) {
    double untilMs = nowMs() + ANSWER_LIMIT_MS;
    Consumer<Reply> onLoop = reply -> loop.execute(() -> onReply.accept(reply));
    if (order instanceof ManagementCommand.Drain) {
      ask(new Subject(Kind.DOOR, door), untilMs, true, onLoop);
    } else if (order instanceof ManagementCommand.Undrain) {
      giveBack(new Subject(Kind.DOOR, door), onLoop);
    } else if (order instanceof ManagementCommand.Disable e) {
      ask(backend(e.member()), untilMs, true, onLoop);
    } else {
      giveBack(backend(((ManagementCommand.Enable) order).member()), onLoop);
    }
  }

  private static double nowMs() {
    return System.nanoTime() / 1e6;
  }

  private static Subject backend(String member) {
    return new Subject(Kind.BACKEND, Long.toHexString(EndpointUpdate.idOf(member)));
  }

  private String operatorName() {
    return "an operator at " + door;
  }

  /** Asks for a permit. To be called on the door's event loop. */
  private void ask(Subject subject, double untilMs, boolean mayRetry, Consumer<Reply> onReply) {
    String request = requestIds.computeIfAbsent(subject, x -> door + "-" + UUID.randomUUID());
    if (requestIds.size() > MAX_REQUESTS) {
      requestIds.remove(requestIds.keySet().iterator().next());
    }
    link.requestPermit(request, subject, operatorName(), "called at " + door, false)
        .thenAccept(outcome -> loop.execute(() -> {
      if (outcome instanceof Outcome.Granted e) {
        awaitOut(subject, e.permit(), untilMs, onReply);
      } else if (outcome instanceof Outcome.Waiting e) {
        onReply.accept(new Reply(UNAVAILABLE_STATUS, "waits as number " + e.place() + ": " + e.why()));
      } else if (outcome instanceof Outcome.Refused e && e.why().endsWith(" is over") && mayRetry) {
        // The permit of an earlier call has been returned since; this call is a new request.
        requestIds.remove(subject);
        ask(subject, untilMs, false, onReply);
      } else {
        onReply.accept(new Reply(CONFLICT_STATUS, outcome instanceof Outcome.Refused e ? e.why()
            : outcome.toString()));
      }
    }));
  }

  private void awaitOut(Subject subject, long permit, double untilMs, Consumer<Reply> onReply) {
    if (subject.kind() == Kind.DOOR) {
      onReply.accept(Reply.ok("goes out by permit " + permit));
      return;
    }
    link.status().thenAccept(standing -> {
      Reply reply = outReply(standing, permit);
      if (reply.isOk() || nowMs() + POLL_INTERVAL_MS >= untilMs) {
        onReply.accept(reply);
      } else {
        loop.schedule(() -> awaitOut(subject, permit, untilMs, onReply), POLL_INTERVAL_MS,
            TimeUnit.MILLISECONDS);
      }
    });
  }

  private static Reply outReply(FleetStatus standing, long permit) {
    List<Permit> permits = standing == null ? List.of() : standing.permits();
    for (int i = 0; i < permits.size(); i++) {
      if (permits.get(i).id() == permit) {
        return permits.get(i).stage() == Stage.OUT ? Reply.ok("out by permit " + permit)
            : new Reply(UNAVAILABLE_STATUS,
            "goes out by permit " + permit + ", held up by " + String.join(", ", standing.held().get(i)));
      }
    }
    return new Reply(UNAVAILABLE_STATUS, "goes out by permit " + permit
        + "; the stewards did not report its progress");
  }

  private void giveBack(Subject subject, Consumer<Reply> onReply) {
    requestIds.remove(subject);
    link.status().thenAccept(standing -> {
      Permit permit = standing == null ? null : standing.permits().stream()
          .filter(x -> x.subject().equals(subject)).findFirst().orElse(null);
      if (standing == null) {
        onReply.accept(new Reply(UNAVAILABLE_STATUS, "no steward says how it stands"));
      } else if (permit == null) {
        onReply.accept(Reply.ok("not out on purpose"));
      } else {
        link.returnPermit(subject, permit.id(), operatorName())
            .thenAccept(outcome -> onReply.accept(outcome == null
            ? new Reply(UNAVAILABLE_STATUS, "no steward reported the outcome; it may still be agreed")
            : outcome instanceof Outcome.Refused e ? new Reply(CONFLICT_STATUS, e.why())
            : Reply.ok("comes back")));
      }
    });
  }

  @Override
  public void close() {
    closed = true;
  }
}
