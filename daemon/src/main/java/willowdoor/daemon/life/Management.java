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
import willowdoor.management.Order;
import willowdoor.management.Reply;
import willowdoor.net.FrontDoor;
import willowdoor.net.EndpointUpdate;
import willowdoor.steward.link.DoorLink;
import willowdoor.steward.link.Standing;

/**
 * What operators call at a daemon that agrees with its fleet: each order asks for a permit or gives one back,
 * and is answered within the second. Yes is said of a backend only once nobody sends there; who is told 503
 * asks again by the same call, and it is the same request.
 *
 * <p>Guards against two processes of one door, of which one can have the address: the second tries until it
 * is free. Bound: {@value #MOST_REQUESTS} requests are remembered; the oldest goes first, and would be a new
 * one.
 */
final class Management implements Operations, AutoCloseable {

  private static final Logger LOG = Logger.getLogger(Management.class.getName());
  private static final int MOST_REQUESTS = 1_000;
  private static final long ANSWER_MS = 900;
  private static final long LOOK_MS = 100;
  private static final long AGAIN_MS = 100;
  private static final int NOT_YET = 503;
  private static final int NO = 409;

  private final EventLoop loop;
  private final String door;
  private final DoorLink link;
  private final BooleanSupplier ready;
  private final ManagementServer server = new ManagementServer(this);
  private final Map<Subject, String> requests = new LinkedHashMap<>();
  private volatile boolean closed;

  /** Listens as soon as the address is free. */
  Management(FrontDoor front, InetSocketAddress at, String door, DoorLink link, BooleanSupplier ready) {
    loop = front.loop();
    this.door = door;
    this.link = link;
    this.ready = ready;
    Thread opening = new Thread(() -> open(front, at), "management");
    opening.setDaemon(true);
    opening.start();
  }

  private void open(FrontDoor front, InetSocketAddress at) {
    String said = "";
    try {
      while (!closed) {
        try {
          front.manage(server, at);
          return;
        } catch (IOException e) {
          if (!e.getMessage().equals(said)) {
            said = e.getMessage();
            LOG.info(said + "; tried again until it is free");
          }
          Thread.sleep(AGAIN_MS);
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
  public Reply hello(String at, boolean serves) {
    return new Reply(NO, "a daemon is replaced by --take-over");
  }

  @Override
  public void carryOut(Order order, boolean forwarded, Consumer<Reply> told) {
    double until = now() + ANSWER_MS;
    Consumer<Reply> onLoop = reply -> loop.execute(() -> told.accept(reply));
    if (order instanceof Order.Drain) {
      ask(new Subject(Kind.DOOR, door), until, true, onLoop);
    } else if (order instanceof Order.Undrain) {
      giveBack(new Subject(Kind.DOOR, door), onLoop);
    } else if (order instanceof Order.Disable e) {
      ask(backend(e.member()), until, true, onLoop);
    } else {
      giveBack(backend(((Order.Enable) order).member()), onLoop);
    }
  }

  private static double now() {
    return System.nanoTime() / 1e6;
  }

  private static Subject backend(String member) {
    return new Subject(Kind.BACKEND, Long.toHexString(EndpointUpdate.idOf(member)));
  }

  private String by() {
    return "an operator at " + door;
  }

  /** On the door's loop. */
  private void ask(Subject subject, double until, boolean again, Consumer<Reply> told) {
    String request = requests.computeIfAbsent(subject, x -> door + "-" + UUID.randomUUID());
    if (requests.size() > MOST_REQUESTS) {
      requests.remove(requests.keySet().iterator().next());
    }
    link.ask(request, subject, by(), "called at " + door, false).thenAccept(outcome -> loop.execute(() -> {
      if (outcome instanceof Outcome.Granted e) {
        granted(subject, e.permit(), until, told);
      } else if (outcome instanceof Outcome.Waiting e) {
        told.accept(new Reply(NOT_YET, "waits as number " + e.place() + ": " + e.why()));
      } else if (outcome instanceof Outcome.Refused e && e.why().endsWith(" is over") && again) {
        // What was asked for by an earlier call has come back since.
        requests.remove(subject);
        ask(subject, until, false, told);
      } else {
        told.accept(new Reply(NO, outcome instanceof Outcome.Refused e ? e.why() : outcome.toString()));
      }
    }));
  }

  private void granted(Subject subject, long permit, double until, Consumer<Reply> told) {
    if (subject.kind() == Kind.DOOR) {
      told.accept(Reply.yes("goes out by permit " + permit));
      return;
    }
    link.look().thenAccept(standing -> {
      Reply reply = out(standing, permit);
      if (reply.isYes() || now() + LOOK_MS >= until) {
        told.accept(reply);
      } else {
        loop.schedule(() -> granted(subject, permit, until, told), LOOK_MS, TimeUnit.MILLISECONDS);
      }
    });
  }

  private static Reply out(Standing standing, long permit) {
    List<Permit> permits = standing == null ? List.of() : standing.permits();
    for (int i = 0; i < permits.size(); i++) {
      if (permits.get(i).id() == permit) {
        return permits.get(i).stage() == Stage.OUT ? Reply.yes("out by permit " + permit) : new Reply(NOT_YET,
            "goes out by permit " + permit + ", held up by " + String.join(", ", standing.held().get(i)));
      }
    }
    return new Reply(NOT_YET, "goes out by permit " + permit
        + "; the stewards don't say how far it has come");
  }

  private void giveBack(Subject subject, Consumer<Reply> told) {
    requests.remove(subject);
    link.look().thenAccept(standing -> {
      Permit permit = standing == null ? null : standing.permits().stream()
          .filter(x -> x.subject().equals(subject)).findFirst().orElse(null);
      if (standing == null) {
        told.accept(new Reply(NOT_YET, "no steward says how it stands"));
      } else if (permit == null) {
        told.accept(Reply.yes("not out on purpose"));
      } else {
        link.giveBack(subject, permit.id(), by()).thenAccept(outcome -> told.accept(outcome == null
            ? new Reply(NOT_YET, "no steward says what came of it; it may be agreed on yet")
            : outcome instanceof Outcome.Refused e ? new Reply(NO, e.why()) : Reply.yes("comes back")));
      }
    });
  }

  @Override
  public void close() {
    closed = true;
  }
}
