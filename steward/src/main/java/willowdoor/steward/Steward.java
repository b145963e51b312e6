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
 * One of those who keep the fleet's record: the consensus is MicroRaft's, the record {@link
 * FleetStateMachine}. It
 * has no thread, clock, link or chance of its own; everything runs on the thread of its surroundings.
 */
public final class Steward {

  private static final Logger LOG = Logger.getLogger(Steward.class.getName());
  /** By this the library's seconds are shorter: heartbeats each 0.1 s, a leader missed after 0.5 s. */
  static final double TIME_SCALE = 10;
  private static final int HEARTBEAT_SECS = 1;
  private static final int LEADER_TIMEOUT_SECS = 5;
  /** Of the library's time; votes are asked for again after this. */
  private static final int ELECTION_TIMEOUT_MS = 1_000;
  /** Commands that wait for a majority; one more is refused by the library. */
  private static final int MAX_PENDING_COMMANDS = 1_000;
  /** Of commands that one message carries: each may be as long as a command may be. */
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
  /** While it is begun anew; then its node has ended, but it hasn't. */
  private boolean restarting;
  private boolean failed;
  private boolean stopped;

  /**
   * Begins with {@link #start}.
   *
   * @param members those who begin the record together, this one among them; for one that joins them later
   *     the others, and it takes part once it was added ({@link #changeMembership})
   * @param initialTerms the terms that it tells a record that has none, where it leads
   * @param send to another, with no answer and no promise that it arrives
   * @param reachable whether it may be worth sending to it
   * @param snapshotAfter so many commands
   * @param store its disk; what is on it goes before the members given here
   * @throws IOException if the disk can't be read
   */
  public Steward(StewardId self, Collection<StewardId> members, FleetSettings initialTerms,
      StewardEnvironment environment,
      BiConsumer<StewardId, byte[]> send, Predicate<StewardId> reachable, int snapshotAfter, DiskStore store)
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

  /** What another steward has promised to this one at the least; null where nothing is known. */
  public DiskStore.Progress acknowledgedBy(StewardId who) {
    return store.acknowledged(who);
  }

  /**
   * What this one's disk lacks of what it has promised by another's word; null where nothing. Guards against
   * a disk that was put back from an older copy, or was lost: the steward would promise otherwise now.
   */
  public String missingFromDisk(DiskStore.Progress promised) throws IOException {
    DiskStore.Progress own = store.ownProgress();
    return promised.isAheadOf(own) ? "entry " + promised.index() + " of term " + promised.term()
        + " was promised, and"
        + " the disk ends with entry " + own.index() + " of term " + own.term() : null;
  }

  /** Takes part from here on. */
  public void start() {
    node.start();
    checkHealth();
  }

  private void checkHealth() {
    if (stopped || hasEnded()) {
      return;
    }
    if (store.failed()) {
      // The library may go on leading with it, and nobody would agree on anything.
      LOG.severe("the disk failed: this steward ends");
      failed = true;
      node.terminate();
      return;
    }
    if (!restarting && leaderWatch.check(leader() != null && !isLeader())) {
      restartNode();
    }
    environment.schedule(LeaderWatch.CHECK_INTERVAL_MS, this::checkHealth);
  }

  /** As a kill and a start would: what was not flushed is lost, what was proposed here has failed. */
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
        LOG.log(Level.SEVERE, "the node can't be begun anew", e);
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

  /** Whether it can't go on: its disk failed, or it was put out of the group. */
  public boolean hasEnded() {
    return failed || !restarting && RaftNodeStatus.isTerminal(node.getStatus());
  }

  /** Takes part no longer. */
  public void stop() {
    stopped = true;
    node.terminate();
  }

  /**
   * Takes what another steward sent.
   *
   * @throws IllegalArgumentException naming what can't be read
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
   * Has a command agreed on; fails where this steward doesn't lead, or no majority agrees before it stops
   * leading. A failure doesn't tell that the command was not, or will not be, agreed on.
   *
   * @param command made with the time of this steward's clock, which counts only if it leads
   */
  public CompletableFuture<Outcome> propose(DoubleFunction<Command> command) {
    if (!isLeader()) {
      return notLeading();
    }
    return node.<Outcome>replicate(Codec.bytes(command.apply(environment.now())))
        .thenApply(x -> x.getResult());
  }

  /** How a steward's part changes. */
  public enum MembershipChange {
    /** It hears what is agreed on and has no vote: to catch up by. */
    LISTEN,
    /** It has a vote. */
    VOTE,
    /** It takes part no longer. */
    LEAVE
  }

  /**
   * Has a steward's part changed, one at a time; fails as {@link #propose} does, and while another change is
   * not over. One whose disk was lost takes part again under another disk's name only.
   *
   * @return those who vote then
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

  /** Those who vote, as far as this one knows. */
  public List<StewardId> votingMembers() {
    return node.getCommittedMembers().getVotingMembers().stream().map(StewardId.class::cast).toList();
  }

  private <T> CompletableFuture<T> notLeading() {
    return CompletableFuture.failedFuture(new NotLeaderException(node.getLocalEndpoint(),
        node.getTerm().getLeaderEndpoint()));
  }

  /** Whether it believes that it leads; what it proposes shows whether it does. */
  public boolean isLeader() {
    return node.getLocalEndpoint().equals(node.getTerm().getLeaderEndpoint());
  }

  /** Whom it takes for the leader; null where it knows none. */
  public StewardId leader() {
    return (StewardId) node.getTerm().getLeaderEndpoint();
  }

  /** What this steward has heard as agreed, which may be behind. For its own thread. */
  public FleetStateMachine record() {
    return stateMachine.record();
  }
}
