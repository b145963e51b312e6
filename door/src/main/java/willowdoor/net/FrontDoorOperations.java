package willowdoor.net;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.function.Consumer;
import java.util.logging.Logger;
import willowdoor.management.ManagementClient;
import willowdoor.management.ManagementClient.CallOutcome;
import willowdoor.management.ManagementClient.CallResult;
import willowdoor.management.ManagementServer;
import willowdoor.management.Operations;
import willowdoor.management.ManagementCommand;
import willowdoor.management.ProcessGreeting;
import willowdoor.management.Reply;
import willowdoor.membership.DisabledBackend;
import willowdoor.memory.MemoryBudget;

/**
 * What operators can do with a front door: disable and enable backends, drain clients and admit them again,
 * and replace a process with a second one. While two processes run, they act as one front door: a command to
 * either takes effect in both, each has a share of the connections, and the second takes over what operators
 * told the first before it reports itself ready.
 */
final class FrontDoorOperations implements Operations {

  private static final Logger LOG = Logger.getLogger(FrontDoorOperations.class.getName());
  /**
   * Shares of the connection budget while two processes run. Both serve the same clients, so the shares may
   * sum to more than 1: the first process serves alone until the second does, and then releases its clients
   * within 1 s.
   */
  private static final double FIRST_PROCESS_SHARE = 0.7;
  private static final double SECOND_PROCESS_SHARE = 0.8;
  private static final double LEAVING_PROCESS_SHARE = 0.3;
  /** Share of the memory pool that each process has while two run: the limit holds for both together. */
  private static final double MEMORY_SHARE_OF_TWO = 0.5;

  /** Status of the reply to a process of another front door. */
  private static final int ANOTHER_FRONT_DOOR = 421;

  private final FrontDoor door;
  private final EventLoop loop;
  private final MergedRoster roster;
  private final ClientServer clients;
  private final ConnectionBudget budget;
  private final MemoryBudget memory;
  private final ProcessFile processFile;
  private final ManagementClient managementClient;
  private final ManagementServer server = new ManagementServer(this);
  /** Writes the process file while the loop runs; after the shutdown of this process it writes nothing. */
  private final FileWriter processFileWriter = new FileWriter("process-file");
  /** The other process of this front door, or null. */
  private PeerProcess otherProcess;
  /** Whether operators have drained the clients. */
  private boolean drainedByOperator;
  private boolean discoverable;
  /** Whether this process was started beside one that served. */
  private volatile boolean startedSecond;
  private boolean shuttingDown;
  private final String processId = UUID.randomUUID().toString();

  FrontDoorOperations(FrontDoor door, MergedRoster roster, ClientServer clients, ConnectionBudget budget,
      MemoryBudget memory, ProcessFile processFile) {
    this.door = door;
    this.loop = door.loop();
    this.roster = roster;
    this.clients = clients;
    this.budget = budget;
    this.memory = memory;
    this.processFile = processFile;
    managementClient = new ManagementClient(loop, Transport.PREFERRED.socket());
  }

  /**
   * Opens the management address, and restores the state of another process of this front door, if one runs;
   * not to be called on the loop's thread.
   */
  void open(EventLoopGroup group, InetSocketAddress address) throws IOException, InterruptedException {
    server.listen(group, Transport.PREFERRED.serverSocket(), address);
    InetSocketAddress other = processFile.read();
    if (other == null || other.equals(address())) {
      return;
    }
    CompletableFuture<CallResult> hello = new CompletableFuture<>();
    loop.execute(() -> {
      startedSecond = true;
      setOtherProcess(other);
      otherProcess.announce(greeting(false), hello::complete);
    });
    try {
      restoreFrom(hello.get());
    } catch (ExecutionException e) {
      throw new IllegalStateException(e);
    }
  }

  /** The filter that claims ids at the other process, while there is one. */
  RequestFilter idClaims() {
    return new IdClaims(loop, new ClaimPeer());
  }

  InetSocketAddress address() {
    return (InetSocketAddress) server.address();
  }

  /**
   * Closes the management address, and writes no process file afterwards; may be called on any thread but the
   * loop's.
   */
  void close() {
    server.close();
    processFileWriter.close();
  }

  private ProcessGreeting greeting(boolean serves) {
    InetSocketAddress own = address();
    return new ProcessGreeting(own.getAddress().getHostAddress() + ":" + own.getPort(), serves, processId,
        door.listenAddress());
  }

  private void restoreFrom(CallResult hello) throws IOException, InterruptedException {
    if (hello.outcome() != CallOutcome.ANSWER) {
      LOG.info("no other process of this front door answers");
    } else if (hello.reply().status() == 409) {
      throw new IOException("two processes of this front door run already");
    } else if (hello.reply().status() == ANOTHER_FRONT_DOOR) {
      LOG.warning("the process file names a process of another front door");
      loop.submit(() -> onOtherLost(otherProcess)).sync();
    } else {
      try {
        FrontDoorState state = FrontDoorState.parse(hello.reply().text());
        loop.submit(() -> restore(state)).sync();
      } catch (IOException e) {
        LOG.warning("the other process's state is left aside: " + e.getMessage());
      }
    }
  }

  private void restore(FrontDoorState state) {
    LOG.info("goes on from the other process: " + state.backendsOut().size()
        + " backends out, clients sent away: " + state.clientsSentAway());
    otherProcess.setProcessId(state.processId());
    door.noteBegunElsewhere(state.begunIds());
    roster.inherit(state.backendsOut());
    if (state.clientsSentAway()) {
      drain();
    }
  }

  /** Whether this process starts beside one that serves; may be called on any thread. */
  boolean isStartedSecond() {
    return startedSecond;
  }

  /**
   * Writes this process's address to the process file, for the next process; not to be called on the loop's
   * thread.
   */
  void writeProcessFile() {
    processFile.write(address());
  }

  /** Tells the other process, if there is one, that this process takes clients, and then runs the action. */
  void announceServing(Runnable then) {
    Runnable serving = () -> {
      discoverable = true;
      then.run();
    };
    if (otherProcess == null) {
      serving.run();
    } else {
      otherProcess.announce(greeting(true), end -> serving.run());
    }
  }

  /** Called when the process is told to stop. Returns true if another process takes its clients. */
  boolean beginShutdown() {
    shuttingDown = true;
    boolean otherServes = otherProcess != null && otherProcess.isServing();
    if (otherServes) {
      budget.setShare(LEAVING_PROCESS_SHARE);
    }
    return otherServes;
  }

  boolean hasOtherProcess() {
    return otherProcess != null;
  }

  /** Position of the other process's listening socket, in the order in which the two began to listen. */
  int otherListenerIndex() {
    return startedSecond ? 0 : 1;
  }

  private void setOtherProcess(InetSocketAddress other) {
    otherProcess = new PeerProcess(loop, managementClient, other, this::onOtherLost);
    budget.setShare(startedSecond ? SECOND_PROCESS_SHARE : FIRST_PROCESS_SHARE);
    memory.setShare(MEMORY_SHARE_OF_TWO);
  }

  private void onOtherLost(PeerProcess lost) {
    if (lost == otherProcess) {
      otherProcess = null;
      startedSecond = false;
      door.onAlone();
      budget.setShare(1);
      memory.setShare(1);
      if (discoverable && !shuttingDown) {
        processFileWriter.execute(this::writeProcessFile);
      }
    }
  }

  @Override
  public boolean ready() {
    return discoverable && !shuttingDown && door.knowsBackends();
  }

  @Override
  public Reply hello(ProcessGreeting greeting) {
    InetSocketAddress other = EndpointUpdate.parseAddress(greeting.address());
    if (other == null || other.getPort() == 0 || other.equals(address())) {
      return new Reply(400, "expected the address of another process, found '" + greeting.address() + "'");
    }
    if (otherProcess != null && !otherProcess.address().equals(other)) {
      return new Reply(409, "two processes of this front door run already");
    }
    if (!greeting.listen().isEmpty() && !greeting.listen().equals(door.listenAddress())) {
      return new Reply(ANOTHER_FRONT_DOOR, "this front door listens on " + door.listenAddress());
    }
    if (otherProcess != null && !otherProcess.isProcess(greeting.processId())) {
      onOtherLost(otherProcess);
    }
    if (otherProcess == null) {
      setOtherProcess(other);
    }
    otherProcess.setProcessId(greeting.processId());
    if (greeting.serves()) {
      otherProcess.markServing();
    }
    return Reply.ok(
        new FrontDoorState(drainedByOperator, roster.backendsOut(), processId, door.begunIds()).format());
  }

  @Override
  public String processId() {
    return processId;
  }

  @Override
  public Reply claim(List<String> ids) {
    return Reply.ok(String.join("\n", door.rejectedClaims(ids, !startedSecond)));
  }

  /** The other process as the one where ids are claimed. */
  private final class ClaimPeer implements IdClaims.Peer {
    @Override
    public boolean exists() {
      return otherProcess != null;
    }

    @Override
    public boolean takesClients() {
      return otherProcess != null && (startedSecond || otherProcess.isServing());
    }

    @Override
    public boolean isFirst() {
      return !startedSecond;
    }

    @Override
    public void claim(List<String> ids, IdClaims.Reply callback) {
      if (otherProcess == null) {
        callback.onOtherEnded();
      } else {
        otherProcess.claim(ids, callback);
      }
    }
  }

  @Override
  public void carryOut(ManagementCommand command, boolean forwarded, Consumer<Reply> callback) {
    Reply localReply = carryOut(command, forwarded);
    if (otherProcess == null || forwarded || !localReply.isOk()) {
      callback.accept(localReply);
    } else {
      otherProcess.forward(command, localReply, callback);
    }
  }

  private Reply carryOut(ManagementCommand command, boolean forwarded) {
    if (command instanceof ManagementCommand.Drain) {
      drain();
      return Reply.ok("draining");
    }
    if (command instanceof ManagementCommand.Undrain) {
      undrain();
      return Reply.ok("serving");
    }
    if (command instanceof ManagementCommand.Disable o) {
      if (forwarded) {
        // The other process knows the backend; the list of this process may be older.
        roster.inherit(List.of(new DisabledBackend(EndpointUpdate.idOf(o.member()), door.now())));
        return Reply.ok("out: " + o.member());
      }
      return roster.takeOut(o.member()) ? Reply.ok("out: " + o.member()) : unknownBackend(o.member());
    }
    ManagementCommand.Enable o = (ManagementCommand.Enable) command;
    return roster.putBack(o.member()) ? Reply.ok("back: " + o.member()) : unknownBackend(o.member());
  }

  private static Reply unknownBackend(String member) {
    return new Reply(404, "no backend " + member + " is listed");
  }

  /** Drains clients as before a shutdown, but closes nothing except the clients' connections. */
  private void drain() {
    if (!drainedByOperator) {
      drainedByOperator = true;
      if (!shuttingDown) {
        door.beginDrain();
        clients.closeIdleConnections(ClientServer.DRAIN_CLOSE_AFTER_MS);
      }
    }
  }

  /** Admits clients again; a process that is shutting down continues to do so. */
  private void undrain() {
    if (drainedByOperator) {
      drainedByOperator = false;
      if (!shuttingDown) {
        clients.closeIdleConnections(Double.NaN);
        door.resume();
      }
    }
  }
}
