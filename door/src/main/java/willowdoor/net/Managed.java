package willowdoor.net;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.function.Consumer;
import java.util.logging.Logger;
import willowdoor.management.Caller;
import willowdoor.management.Caller.Came;
import willowdoor.management.Caller.End;
import willowdoor.management.ManagementServer;
import willowdoor.management.Operations;
import willowdoor.management.Order;
import willowdoor.management.Reply;
import willowdoor.membership.DisabledBackend;

/**
 * As its operators have a front door: backends out and back, clients sent away and taken back, and a second
 * process that replaces the first. While two run they are one front door: an order to either holds in both,
 * each has a part of the places, and what the first was told goes over to the second before it says yes.
 */
final class Managed implements Operations {

  private static final Logger LOG = Logger.getLogger(Managed.class.getName());
  /**
   * Parts of the places while two processes run. Clients are the same few for both, so that the parts may sum
   * to more than one: the first serves alone until the second does, and then lets its clients go in 1 s.
   */
  private static final double FIRST_PART = 0.7;
  private static final double SECOND_PART = 0.8;
  private static final double LEAVING_PART = 0.3;

  private final FrontDoor door;
  private final EventLoop loop;
  private final MergedRoster roster;
  private final ClientServer clients;
  private final Places places;
  private final ProcessFile file;
  private final Caller caller;
  private final ManagementServer server = new ManagementServer(this);
  /** The other process, or null. */
  private PeerProcess twin;
  /** Operators have sent the clients away. */
  private boolean sentAway;
  private boolean found;
  /** This process was started beside one that served. */
  private volatile boolean second;
  private boolean ending;

  Managed(FrontDoor door, MergedRoster roster, ClientServer clients, Places places, ProcessFile file) {
    this.door = door;
    this.loop = door.loop();
    this.roster = roster;
    this.clients = clients;
    this.places = places;
    this.file = file;
    caller = new Caller(loop, Transport.BEST.socket());
  }

  /**
   * Has operators call at this address, and goes on from what another process of this front door says, if one
   * runs; not for the loop's thread.
   */
  void open(EventLoopGroup group, InetSocketAddress at) throws IOException, InterruptedException {
    server.listen(group, Transport.BEST.serverSocket(), at);
    InetSocketAddress other = file.read();
    if (other == null || other.equals(address())) {
      return;
    }
    CompletableFuture<End> hello = new CompletableFuture<>();
    loop.execute(() -> {
      second = true;
      meet(other);
      twin.announce(address(), false, hello::complete);
    });
    try {
      goOnFrom(hello.get());
    } catch (ExecutionException e) {
      throw new IllegalStateException(e);
    }
  }

  InetSocketAddress address() {
    return (InetSocketAddress) server.address();
  }

  private void goOnFrom(End hello) throws IOException, InterruptedException {
    if (hello.came() != Came.ANSWER) {
      LOG.info("no other process of this front door answers");
    } else if (hello.reply().status() == 409) {
      throw new IOException("two processes of this front door run already");
    } else {
      try {
        FrontDoorState state = FrontDoorState.parse(hello.reply().text());
        loop.submit(() -> inherit(state)).sync();
      } catch (IOException e) {
        LOG.warning("the other process's state is left aside: " + e.getMessage());
      }
    }
  }

  private void inherit(FrontDoorState state) {
    LOG.info("goes on from the other process: " + state.backendsOut().size()
        + " backends out, clients sent away: "
        + state.clientsSentAway());
    roster.inherit(state.backendsOut());
    if (state.clientsSentAway()) {
      sendAway();
    }
  }

  /** Whether it starts beside a process that serves; for any thread. */
  boolean second() {
    return second;
  }

  /** Names this process to the next one; not for the loop's thread. */
  void nameItself() {
    file.write(address());
  }

  /** Tells the other process, if there is one, that this one takes clients; then it may be found. */
  void serves(Runnable then) {
    Runnable serving = () -> {
      found = true;
      then.run();
    };
    if (twin == null) {
      serving.run();
    } else {
      twin.announce(address(), true, end -> serving.run());
    }
  }

  /** The process has been told to end; true if another one takes its clients. */
  boolean ends() {
    ending = true;
    boolean left = twin != null && twin.isServing();
    if (left) {
      places.part(LEAVING_PART);
    }
    return left;
  }

  private void meet(InetSocketAddress other) {
    twin = new PeerProcess(loop, caller, other, this::lost);
    places.part(second ? SECOND_PART : FIRST_PART);
  }

  private void lost(PeerProcess gone) {
    if (gone == twin) {
      twin = null;
      second = false;
      places.part(1);
      if (found && !ending) {
        Thread naming = new Thread(this::nameItself, "process-file");
        naming.setDaemon(true);
        naming.start();
      }
    }
  }

  @Override
  public boolean ready() {
    return found && !ending && door.knowsBackends();
  }

  @Override
  public Reply hello(String at, boolean serves) {
    InetSocketAddress other = EndpointUpdate.parseAddress(at);
    if (other == null || other.getPort() == 0 || other.equals(address())) {
      return new Reply(400, "expected the address of another process, found '" + at + "'");
    }
    if (twin != null && !twin.address().equals(other)) {
      return new Reply(409, "two processes of this front door run already");
    }
    if (twin == null) {
      meet(other);
    }
    if (serves) {
      twin.markServing();
    }
    return Reply.yes(new FrontDoorState(sentAway, roster.backendsOut()).format());
  }

  @Override
  public void carryOut(Order order, boolean forwarded, Consumer<Reply> told) {
    Reply here = carryOut(order, forwarded);
    if (twin == null || forwarded || !here.isYes()) {
      told.accept(here);
    } else {
      twin.forward(order, here, told);
    }
  }

  private Reply carryOut(Order order, boolean forwarded) {
    if (order instanceof Order.Drain) {
      sendAway();
      return Reply.yes("draining");
    }
    if (order instanceof Order.Undrain) {
      takeBack();
      return Reply.yes("serving");
    }
    if (order instanceof Order.Disable o) {
      if (forwarded) {
        // It is known to the other process; the list here may be older.
        roster.inherit(List.of(new DisabledBackend(EndpointUpdate.idOf(o.member()), door.now())));
        return Reply.yes("out: " + o.member());
      }
      return roster.takeOut(o.member()) ? Reply.yes("out: " + o.member()) : unknown(o.member());
    }
    Order.Enable o = (Order.Enable) order;
    return roster.putBack(o.member()) ? Reply.yes("back: " + o.member()) : unknown(o.member());
  }

  private static Reply unknown(String member) {
    return new Reply(404, "no backend " + member + " is listed");
  }

  /** As before an end, but nothing ends but the clients' connections. */
  private void sendAway() {
    if (!sentAway) {
      sentAway = true;
      if (!ending) {
        door.beginDrain();
        clients.empty(ClientServer.EMPTY_AFTER_MS);
      }
    }
  }

  /** They may come back; a process that is ending goes on doing so. */
  private void takeBack() {
    if (sentAway) {
      sentAway = false;
      if (!ending) {
        clients.empty(Double.NaN);
        door.resume();
      }
    }
  }
}
