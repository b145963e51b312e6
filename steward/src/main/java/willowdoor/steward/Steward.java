package willowdoor.steward;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.RaftNodeStatus;
import io.microraft.exception.NotLeaderException;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.VoteResponse;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.transport.Transport;
import java.io.IOException;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.DoubleFunction;
import java.util.function.Predicate;
import java.util.logging.Level;
import java.util.logging.Logger;
import willowdoor.agreement.Command;
import willowdoor.agreement.Command.Configure;
import willowdoor.agreement.FleetStateMachine;
import willowdoor.agreement.Outcome;
import willowdoor.agreement.FleetSettings;

/**
 * A replica of the fleet record ("steward" in settings and commands). MicroRaft provides the consensus, and
 * {@link FleetStateMachine} is the replicated state machine. The class has no thread, clock, connection or
 * random
 * source of its own: all of it comes from the {@link StewardEnvironment}, on whose single thread it runs.
 */
public final class Steward {

  private static final Logger LOG = Logger.getLogger(Steward.class.getName());
  /** Factor by which the library's time runs faster: heartbeats every 0.1 s, leader timeout after 0.5 s. */
  static final double TIME_SCALE = 10;
  private static final int HEARTBEAT_SECS = 1;
  private static final int LEADER_TIMEOUT_SECS = 5;
  /** In the library's time; a candidate repeats the election after this. */
  private static final int ELECTION_TIMEOUT_MS = 1_000;
  /** Limit of uncommitted log entries; the library refuses further ones. */
  private static final int MAX_PENDING_COMMANDS = 1_000;
  /** Limit of log entries in one message; each may have the maximum length of a command. */
  private static final int MAX_COMMANDS_PER_MESSAGE = 8;
  private static final double CONFIGURE_RETRY_MS = 200;

  private final StewardEnvironment environment;
  private final Collection<StewardId> members;
  private final StewardId self;
  private final FleetSettings initialTerms;
  private final BiConsumer<StewardId, byte[]> send;
  private final Predicate<StewardId> reachable;
  private final int snapshotAfter;
  private final DiskStore store;
  private final LeaderWatch leaderWatch = new LeaderWatch();
  private RaftStateMachine stateMachine;
  private RaftNode node;
  /** Set while the node is being recreated: the node has terminated, but this steward has not. */
  private boolean restarting;
  private boolean failed;
  private boolean stopped;

  /**
   * Creates the replica; {@link #start} starts it.
   *
   * @param members the initial group, this steward included; for a steward that joins an existing group, the
   *     others: it takes part once it is added ({@link #changeMembership})
   * @param initialTerms the terms that this steward proposes as leader if the record has none
   * @param send sends a message to another steward; delivery is not guaranteed
   * @param reachable whether sending to that steward may succeed
   * @param snapshotAfter number of committed commands between snapshots
   * @param store this steward's storage; what is stored takes precedence over {@code members}
   * @throws IOException if the storage can't be read
   */
  public Steward(StewardId self, Collection<StewardId> members, FleetSettings initialTerms,
      StewardEnvironment environment, BiConsumer<StewardId, byte[]> send, Predicate<StewardId> reachable,
      int snapshotAfter, DiskStore store)
      throws IOException {
    this.self = self;
    this.members = List.copyOf(members);
    this.initialTerms = initialTerms;
    this.environment = environment;
    this.send = send;
    this.reachable = reachable;
    this.snapshotAfter = snapshotAfter;
    this.store = store;
    createNode();
  }

  private void createNode() throws IOException {
    stateMachine = new RaftStateMachine(environment::now, () -> environment.schedule(0, this::configure));
    ScaledClockExecutor scaledTime = new ScaledClockExecutor(environment, TIME_SCALE);
    RestoredRaftState restored = store.restoredState();
    RaftNode.RaftNodeBuilder builder = RaftNode.newBuilder();
    if (restored == null) {
      builder.setLocalEndpoint(self).setInitialGroupMembers(List.<RaftEndpoint>copyOf(members));
    } else {
      builder.setRestoredState(restored);
    }
    node = builder.setGroupId(RaftJson.GROUP).setStore(store)
        .setConfig(RaftConfig.newBuilder().setLeaderHeartbeatPeriodSecs(HEARTBEAT_SECS)
            .setLeaderHeartbeatTimeoutSecs(LEADER_TIMEOUT_SECS)
            .setLeaderElectionTimeoutMillis(ELECTION_TIMEOUT_MS)
            .setMaxPendingLogEntryCount(MAX_PENDING_COMMANDS)
            .setAppendEntriesRequestBatchSize(MAX_COMMANDS_PER_MESSAGE)
            .setCommitCountToTakeSnapshot(snapshotAfter)
            .build())
        .setExecutor(scaledTime).setClock(scaledTime).setRandom(environment.random())
        .setStateMachine(stateMachine)
        .setTransport(new Transport() {
          @Override
          public void send(RaftEndpoint to, RaftMessage message) {
            send.accept((StewardId) to, RaftJson.encode(message));
          }

          @Override
          public boolean isReachable(RaftEndpoint to) {
            return reachable.test((StewardId) to);
          }
        }).build();
  }

  /** Returns the minimum progress that another steward has acknowledged to this one, or null if unknown. */
  public DiskStore.Progress acknowledgedBy(StewardId who) {
    return store.acknowledged(who);
  }

  /**
   * Describes what is missing on this disk of the progress that another steward reports as acknowledged by
   * this one; null if nothing is. Guards against a disk that was lost or restored from an older copy: the
   * steward could break its earlier votes and acknowledgements.
   */
  public String missingFromDisk(DiskStore.Progress promised) throws IOException {
    DiskStore.Progress own = store.ownProgress();
    return promised.isAheadOf(own) ? "entry " + promised.index() + " of term " + promised.term()
        + " was"
        + " acknowledged, but the disk ends with entry " + own.index() + " of term " + own.term() : null;
  }

  /** Starts taking part in the consensus. */
  public void start() {
    node.start();
    checkHealth();
  }

  private void checkHealth() {
    if (stopped || hasEnded()) {
      return;
    }
    if (store.failed()) {
      // The library may keep leading despite the failed disk, and nothing would be committed.
      LOG.severe("the disk failed: this steward stops");
      failed = true;
      node.terminate();
      return;
    }
    if (!restarting && leaderWatch.check(leader() != null && !isLeader())) {
      restartNode();
    }
    environment.schedule(LeaderWatch.CHECK_INTERVAL_MS, this::checkHealth);
  }

  /**
   * Recreates the node from the storage, as after a crash: unflushed writes are lost, and pending proposals
   * fail.
   */
  private void restartNode() {
    LOG.warning("nothing was heard of the leader " + leader().name() + ", and no vote was begun: the node is"
        + " begun anew from its disk");
    restarting = true;
    node.terminate().whenComplete((done, failure) -> environment.schedule(0, () -> {
      if (stopped) {
        return;
      }
      try {
        store.rollback();
        createNode();
        node.start();
      } catch (IOException e) {
        LOG.log(Level.SEVERE, "the node can't be restarted", e);
        failed = true;
      }
      restarting = false;
    }));
  }

  private void configure() {
    if (isLeader() && record().state().terms().equals(FleetSettings.UNCONFIGURED)) {
      propose(at -> new Configure(at, initialTerms)).whenComplete((done, failure) -> {
        if (failure != null) {
          environment.schedule(CONFIGURE_RETRY_MS, this::configure);
        }
      });
    }
  }

  /** Returns whether this steward can't continue: its storage failed, or it was removed from the group. */
  public boolean hasEnded() {
    return failed || !restarting && RaftNodeStatus.isTerminal(node.getStatus());
  }

  /** Stops taking part in the consensus. */
  public void stop() {
    stopped = true;
    node.terminate();
  }

  /**
   * Handles a message of another steward.
   *
   * @throws IllegalArgumentException if the message can't be read; the message of the exception names the
   *     cause
   */
  public void handle(byte[] message) {
    RaftMessage read = RaftJson.decode(message);
    if (read instanceof AppendEntriesSuccessResponse e) {
      store.acknowledged((StewardId) e.getSender(), e.getTerm(), e.getLastLogIndex());
    } else if (read instanceof VoteResponse e && e.isGranted()) {
      store.acknowledged((StewardId) e.getSender(), e.getTerm(), 0);
    }
    if ((read instanceof AppendEntriesRequest || read instanceof InstallSnapshotRequest)
        && read.getTerm() >= node.getTerm().getTerm()) {
      leaderWatch.leaderHeard();
    }
    if (!RaftNodeStatus.isTerminal(node.getStatus())) {
      node.handle(read);
    }
  }

  /**
   * Proposes a command. The future fails if this steward is not the leader, or loses leadership before a
   * majority has accepted the command. After a failure the command may still be committed, now or later.
   *
   * @param command creates the command from this steward's clock, whose time counts only if this steward
   *     leads
   */
  public CompletableFuture<Outcome> propose(DoubleFunction<Command> command) {
    if (!isLeader()) {
      return notLeading();
    }
    return node.<Outcome>replicate(Codec.bytes(command.apply(environment.now())))
        .thenApply(x -> x.getResult());
  }

  /** A change of a steward's membership. */
  public enum MembershipChange {
    /** Receives the log without a vote, to catch up. */
    LISTEN,
    /** Is a voting member. */
    VOTE,
    /** Is no member any longer. */
    LEAVE
  }

  /**
   * Changes a steward's membership, one change at a time. Fails like {@link #propose}, and while another
   * change is in progress. A steward whose disk was lost can take part again only under a new disk name.
   *
   * @return the voting members after the change
   */
  public CompletableFuture<List<StewardId>> changeMembership(StewardId who, MembershipChange change) {
    if (!isLeader()) {
      return notLeading();
    }
    MembershipChangeMode mode = switch (change) {
      case LISTEN -> MembershipChangeMode.ADD_LEARNER;
      case VOTE -> MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER;
      case LEAVE -> MembershipChangeMode.REMOVE_MEMBER;
    };
    return node.changeMembership(who, mode, node.getCommittedMembers().getLogIndex())
        .thenApply(x -> votingMembers());
  }

  /** Returns the voting members, as far as this steward knows. */
  public List<StewardId> votingMembers() {
    return node.getCommittedMembers().getVotingMembers().stream().map(StewardId.class::cast).toList();
  }

  private <T> CompletableFuture<T> notLeading() {
    return CompletableFuture.failedFuture(new NotLeaderException(node.getLocalEndpoint(),
        node.getTerm().getLeaderEndpoint()));
  }

  /** Returns whether this steward believes that it is the leader; only a committed proposal proves it. */
  public boolean isLeader() {
    return node.getLocalEndpoint().equals(node.getTerm().getLeaderEndpoint());
  }

  /** Returns the leader as known to this steward, or null if none is known. */
  public StewardId leader() {
    return (StewardId) node.getTerm().getLeaderEndpoint();
  }

  /** Returns this replica's committed state, which may lag behind. Only for this steward's own thread. */
  public FleetStateMachine record() {
    return stateMachine.record();
  }
}
