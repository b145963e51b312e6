package willowdoor.steward.link;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import willowdoor.agreement.Command;
import willowdoor.agreement.FleetStateMachine;
import willowdoor.agreement.Outcome;
import willowdoor.agreement.Permit;
import willowdoor.agreement.State;
import willowdoor.agreement.Subject.Kind;
import willowdoor.agreement.FleetSettings;
import willowdoor.steward.Codec;
import willowdoor.steward.DiskStore;
import willowdoor.steward.Steward;
import willowdoor.steward.StewardId;
import willowdoor.steward.StewardEnvironment;
import willowdoor.steward.link.Answer.Came;
import willowdoor.steward.link.Answer.Failed;
import willowdoor.steward.link.Answer.Seen;
import willowdoor.steward.link.Answer.Stands;
import willowdoor.steward.link.Answer.Votes;
import willowdoor.steward.link.LinkMessage.Ask;
import willowdoor.steward.link.LinkMessage.Hello;
import willowdoor.steward.link.LinkMessage.Role;

/**
 * Runs a steward: its storage, its links to other stewards, and the address for stewards, doors and
 * operators. All of it runs on one thread of its own, so that a slow disk delays nothing else.
 *
 * <p>Any steward accepts a call; a steward that is not the leader forwards the call to the leader, once.
 * Heartbeats that arrive close together are proposed as one command.
 */
public final class StewardProcess implements AutoCloseable, StewardServer.Handler {

  /**
   * Configuration of a steward.
   *
   * @param group name of the fleet, the same at all of its stewards and doors
   * @param members the initial group with addresses, this steward included
   * @param initialTerms the terms proposed for a record without any
   * @param start what is known about the disk
   */
  public record Settings(String group, StewardId self, InetSocketAddress listen, Path store,
      Map<StewardId, InetSocketAddress> members, FleetSettings initialTerms, Start start) {

    /** Copies the map. */
    public Settings {
      members = Map.copyOf(members);
    }
  }

  /** What is known about a steward's disk at the start. */
  public enum Start {
    /** The disk holds the record. */
    GO_ON,
    /** The disk may be new: this steward creates the record together with the initial group. */
    BEGIN,
    /** The disk may be new: this steward joins a group that has the record, and is added by the group. */
    JOIN
  }

  private static final Logger LOG = Logger.getLogger(StewardProcess.class.getName());
  /** Time for which heartbeats are collected into one batch. */
  private static final long BATCH_DELAY_MS = 20;
  private static final int MAX_BATCH_HEARTBEATS = 100;
  /** Limit of waiting heartbeats; further ones fail. */
  private static final int MAX_PENDING_HEARTBEATS = 2_000;
  private static final long FORWARD_TIMEOUT_MS = 800;
  private static final int SNAPSHOT_AFTER_COMMANDS = 10_000;
  private static final long HEALTH_CHECK_MS = 100;
  private static final long PING_MS = 500;
  private static final long PING_TIMEOUT_MS = 2_000;
  /** Before taking part, a steward asks the others for its acknowledged progress, for this long at most. */
  private static final long RECALL_TIMEOUT_MS = 2_000;
  private static final long RECALL_RETRY_MS = 50;

  private record PendingHeartbeat(Command.Heartbeat heartbeat, Consumer<Answer> callback) { }

  private final Settings settings;
  private final EventLoopGroup group = SingleThreadLoop.create("steward");
  private final EventLoop loop = group.next();
  private final DiskStore store;
  private final Map<StewardId, LinkClient> links = new HashMap<>();
  private final Map<StewardId, InetSocketAddress> addresses = new HashMap<>();
  private final List<PendingHeartbeat> pendingHeartbeats = new ArrayList<>();
  private final CompletableFuture<Integer> ended = new CompletableFuture<>();
  private Steward steward;
  private StewardServer server;
  private final Set<StewardId> unansweredRecalls = new HashSet<>();
  private boolean participating;

  /**
   * Opens the storage and starts the steward.
   *
   * @throws IOException if the storage or the address can't be opened; the message is fit for operators
   */
  public StewardProcess(Settings settings) throws IOException, InterruptedException {
    this.settings = settings;
    if (settings.start() == Start.GO_ON && !Files.exists(settings.store())) {
      group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
      throw new IOException("there is no record at " + settings.store() + " (expected: the record that this"
          + " steward stored; --begin creates a new one, for a steward that never took part. If the disk"
          + " was lost, increase its disk number, --join with that, and have the others add it)");
    }
    store = new DiskStore(settings.store());
    try {
      start();
    } catch (IOException | RuntimeException e) {
      close();
      throw e;
    }
  }

  private void start() throws IOException, InterruptedException {
    settings.members().forEach(this::addLink);
    Set<StewardId> first = new HashSet<>(settings.members().keySet());
    if (settings.start() == Start.JOIN) {
      first.remove(settings.self());
    }
    steward = new Steward(settings.self(), first, settings.initialTerms(), new StewardEnvironment() {
      private final Random random = new Random();

      @Override
      public double now() {
        return System.nanoTime() / 1e6;
      }

      @Override
      public void schedule(double delayMs, Runnable task) {
        if (!loop.isShuttingDown()) {
          loop.schedule(task, (long) (delayMs * 1_000), TimeUnit.MICROSECONDS);
        }
      }

      @Override
      public Random random() {
        return random;
      }
    }, (to, message) -> {
      LinkClient link = links.get(to);
      if (link != null) {
        link.sendToSteward(message);
      }
    }, to -> links.containsKey(to) && links.get(to).isUsable(), SNAPSHOT_AFTER_COMMANDS, store);
    server = new StewardServer(loop, settings.listen(), settings.group(), settings.self().name(), this);
    loop.submit(() -> {
      links.values().forEach(LinkClient::start);
      unansweredRecalls.addAll(links.keySet());
      List.copyOf(unansweredRecalls).forEach(this::recall);
      loop.schedule(this::participate, unansweredRecalls.isEmpty() ? 0 : RECALL_TIMEOUT_MS,
          TimeUnit.MILLISECONDS);
    }).sync();
    loop.scheduleWithFixedDelay(this::checkHealth, HEALTH_CHECK_MS, HEALTH_CHECK_MS, TimeUnit.MILLISECONDS);
    loop.scheduleWithFixedDelay(this::ping, PING_MS, PING_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Asks another steward for this steward's acknowledged progress; retried until answered, or until this
   * steward takes part without the answer.
   */
  private void recall(StewardId other) {
    links.get(other).call(new Call.Recall(settings.self()), false, PING_TIMEOUT_MS, answer -> {
      if (participating || ended.isDone()) {
        return;
      }
      if (!(answer instanceof Answer.Recalled e)) {
        loop.schedule(() -> recall(other), RECALL_RETRY_MS, TimeUnit.MILLISECONDS);
        return;
      }
      unansweredRecalls.remove(other);
      String lacks = missingFromDisk(new DiskStore.Progress(e.term(), e.index()));
      if (lacks != null) {
        LOG.severe("steward " + settings.self().name() + " can't take part: by steward "
            + other.name() + ", " + lacks + ". It is an older copy, or new; if it is all there is, count its"
            + " disk number up, --join with that, and have the others add it");
        ended.complete(1);
      } else if (unansweredRecalls.isEmpty()) {
        participate();
      }
    });
  }

  private String missingFromDisk(DiskStore.Progress promised) {
    try {
      return steward.missingFromDisk(promised);
    } catch (IOException e) {
      return e.getMessage();
    }
  }

  private void participate() {
    if (participating || ended.isDone()) {
      return;
    }
    participating = true;
    if (!unansweredRecalls.isEmpty()) {
      LOG.warning("takes part although " + unansweredRecalls + " did not confirm that its disk is"
          + " up to date");
    }
    steward.start();
  }

  private LinkClient addLink(StewardId other, InetSocketAddress address) {
    if (other.equals(settings.self())) {
      return null;
    }
    LinkClient link = new LinkClient(loop, List.of(address), new Hello(LinkMessage.OLDEST,
        LinkMessage.VERSION,
        settings.group(), Role.STEWARD, settings.self().name(), settings.self().store()));
    LinkClient before = links.put(other, link);
    if (before != null) {
      before.close();
    }
    addresses.put(other, address);
    return link;
  }

  /**
   * Adds stewards, and changed addresses of known stewards, from a reloaded configuration. The voting members
   * are not changed by that, but by {@link Call.Part}.
   */
  public void reload(Map<StewardId, InetSocketAddress> members) {
    loop.execute(() -> members.forEach((other, address) -> {
      if (!address.equals(addresses.get(other))) {
        LinkClient link = addLink(other, address);
        if (link != null) {
          link.start();
        }
      }
    }));
  }

  /**
   * Pings the other stewards. Answers to consensus messages arrive over another link, so writing to a peer
   * that vanished silently would go on for minutes; a link that doesn't answer the ping in time is
   * reconnected.
   */
  private void ping() {
    links.values().stream().filter(LinkClient::isUsable)
        .forEach(x -> x.call(new Call.Ping(), false, PING_TIMEOUT_MS, answer -> { }));
  }

  private void checkHealth() {
    if (steward.hasEnded() && !ended.isDone()) {
      LOG.severe("steward " + settings.self().name() + " can't continue: its disk failed, or the others"
          + " have removed it");
      ended.complete(1);
    }
  }

  /** Returns the listening address. */
  public InetSocketAddress address() {
    return server.address();
  }

  /** Completes with the exit code when the steward can't continue, or was told to stop. */
  public CompletableFuture<Integer> ended() {
    return ended;
  }

  /** Stops the steward in order. */
  public void end() {
    ended.complete(0);
  }

  @Override
  public void close() throws IOException {
    try {
      loop.submit(() -> {
        if (steward != null) {
          steward.stop();
        }
        links.values().forEach(LinkClient::close);
      }).sync();
      group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    store.close();
  }

  @Override
  public String refusalReason(Hello hello) {
    if (hello.role() != Role.STEWARD) {
      return hello.name().isEmpty() ? "no name was told" : null;
    }
    StewardId other = new StewardId(hello.name(), hello.disk());
    return links.containsKey(other) ? null : "no steward " + hello.name() + " with disk " + hello.disk()
        + " is one of us (expected: one of " + names() + ")";
  }

  private List<String> names() {
    return links.keySet().stream().map(x -> x.name() + " with disk " + x.store()).sorted().toList();
  }

  @Override
  public void onStewardMessage(byte[] message) {
    if (!participating) {
      return;
    }
    try {
      steward.handle(message);
    } catch (IllegalArgumentException e) {
      LOG.log(Level.WARNING, "ignoring an unreadable message: {0}", e.getMessage());
    }
  }

  @Override
  public void onCall(Hello by, Ask ask, Consumer<Answer> answer) {
    String why = denialReason(by, ask);
    if (ask.call() instanceof Call.Ping) {
      answer.accept(new Came(new Outcome.Done()));
    } else if (ask.call() instanceof Call.Recall e) {
      DiskStore.Progress heard = steward.acknowledgedBy(e.who());
      answer.accept(heard == null ? new Answer.Recalled(0, 0) : new Answer.Recalled(heard.term(),
          heard.index()));
    } else if (why != null) {
      answer.accept(new Failed(why, false));
    } else if (steward.isLeader()) {
      handleAsLeader(ask.call(), answer);
    } else {
      forward(ask, answer);
    }
  }

  /**
   * Returns why a call is not allowed, or null. A door may act only for itself, an operator for no door, and
   * nobody may send the commands that only leaders create.
   */
  private static String denialReason(Hello by, Ask ask) {
    if (by.role() == Role.STEWARD) {
      return ask.passedOn() ? null : "a steward only passes on";
    }
    if (ask.passedOn()) {
      return "only stewards pass on";
    }
    boolean door = by.role() == Role.DOOR;
    if (ask.call() instanceof Call.Beat e) {
      return door && e.beat().door().equals(by.name()) ? null : by.name() + " is not door " + e.beat().door();
    }
    if (ask.call() instanceof Call.Part) {
      return door ? "a steward's part is not for " + by.name() + " to change" : null;
    }
    if (!(ask.call() instanceof Call.Put put)) {
      return null;
    }
    Command c = put.command();
    boolean allowed = c instanceof Command.Join e ? door && e.door().equals(by.name())
        : c instanceof Command.Leave e ? door && e.door().equals(by.name())
        : c instanceof Command.UpdateBackends ? door
        : c instanceof Command.Forget || c instanceof Command.Configure || c instanceof Command.StartRelease
            || c instanceof Command.SteerRelease ? !door
        : c instanceof Command.RequestPermit || c instanceof Command.ReturnPermit;
    return allowed ? null : "a " + Codec.outerName(c.getClass()) + " is not for " + by.name() + " to ask for";
  }

  private void forward(Ask ask, Consumer<Answer> answer) {
    LinkClient link = steward.leader() == null ? null : links.get(steward.leader());
    if (link == null || ask.passedOn()) {
      answer.accept(new Failed("steward " + settings.self().name() + (steward.leader() == null
          ? " knows no leader" : " doesn't lead"), true));
    } else {
      link.call(ask.call(), true, FORWARD_TIMEOUT_MS, answer);
    }
  }

  private void handleAsLeader(Call call, Consumer<Answer> answer) {
    if (call instanceof Call.Beat e) {
      enqueueHeartbeat(new PendingHeartbeat(e.beat(), answer));
    } else if (call instanceof Call.Put e) {
      propose(e.command()::withLeaderTime, outcome -> answer.accept(new Came(outcome)), answer);
    } else if (call instanceof Call.Part e) {
      whenAgreed(steward.changeMembership(e.who(), e.change()),
          voting -> answer.accept(new Votes(voting)), answer);
    } else {
      propose(Command.Tick::new, outcome -> answer.accept(new Stands(status())), answer);
    }
  }

  private void propose(java.util.function.DoubleFunction<Command> command, Consumer<Outcome> then,
      Consumer<Answer> failed) {
    CompletableFuture<Outcome> agreed;
    try {
      agreed = steward.propose(command);
    } catch (IllegalArgumentException e) {
      failed.accept(new Failed(e.getMessage(), false));
      return;
    }
    whenAgreed(agreed, then, failed);
  }

  private <T> void whenAgreed(CompletableFuture<T> agreed, Consumer<T> then, Consumer<Answer> failed) {
    agreed.whenComplete((outcome, failure) -> {
      if (failure == null) {
        then.accept(outcome);
      } else {
        failed.accept(new Failed("steward " + settings.self().name() + " could not have it agreed on: "
            + failure, true));
      }
    });
  }

  private void enqueueHeartbeat(PendingHeartbeat beat) {
    if (pendingHeartbeats.size() >= MAX_PENDING_HEARTBEATS) {
      beat.callback().accept(new Failed(MAX_PENDING_HEARTBEATS + " heartbeats wait already", true));
      return;
    }
    pendingHeartbeats.add(beat);
    if (pendingHeartbeats.size() == 1) {
      loop.schedule(this::proposeHeartbeats, BATCH_DELAY_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void proposeHeartbeats() {
    for (int from = 0; from < pendingHeartbeats.size(); from += MAX_BATCH_HEARTBEATS) {
      List<PendingHeartbeat> some = List.copyOf(pendingHeartbeats.subList(from,
          Math.min(pendingHeartbeats.size(), from + MAX_BATCH_HEARTBEATS)));
      List<Command.Heartbeat> beats = some.stream().map(PendingHeartbeat::heartbeat).toList();
      propose(at -> new Command.Heartbeats(at, beats), outcome -> {
        double leaseMs = outcome instanceof Outcome.HeartbeatsRecorded e ? e.leaseMs() : 0;
        for (PendingHeartbeat g : some) {
          g.callback().accept(new Seen(steward.record().view(g.heartbeat().door(),
              g.heartbeat().incarnation(),
              leaseMs)));
        }
      }, failed -> some.forEach(g -> g.callback().accept(failed)));
    }
    pendingHeartbeats.clear();
  }

  private FleetStatus status() {
    FleetStateMachine record = steward.record();
    State state = record.state();
    Set<String> doors = new HashSet<>();
    state.lives().forEach(x -> doors.add(x.door()));
    Map<Permit, List<String>> held = new LinkedHashMap<>();
    state.permits()
        .forEach(x -> held.put(x, x.subject().kind() == Kind.BACKEND ? record.blockingProcesses(x.subject())
        : List.of()));
    return new FleetStatus(settings.self().name(), state.index(), state.terms(), doors.size(),
        record.out(Kind.DOOR), state.backends().size(), record.out(Kind.BACKEND), state.lives(),
        state.permits(), List.copyOf(held.values()), state.notes(), state.releases());
  }
}
