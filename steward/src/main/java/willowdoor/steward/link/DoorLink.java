package willowdoor.steward.link;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import willowdoor.agreement.Command;
import willowdoor.agreement.Command.Activity;
import willowdoor.agreement.DoorAction;
import willowdoor.agreement.DoorEvent;
import willowdoor.agreement.DoorParticipant;
import willowdoor.agreement.Outcome;
import willowdoor.agreement.Subject;
import willowdoor.rollout.Tally;
import willowdoor.steward.link.Answer.Came;
import willowdoor.steward.link.Answer.Failed;
import willowdoor.steward.link.Answer.Seen;
import willowdoor.steward.link.LinkMessage.Hello;
import willowdoor.steward.link.LinkMessage.Role;

/**
 * Connects one door's {@link DoorParticipant} with the stewards, on a thread of its own, apart from the
 * threads that
 * serve requests. All decisions are made by the {@link DoorParticipant}.
 */
public final class DoorLink implements AutoCloseable {

  /**
   * Identifies a process of a door.
   *
   * @param version program version, as named in releases
   * @param successorOf the attempt of a release that started this process, or 0
   */
  public record Identity(String group, String door, String incarnation, String zone, double weight,
      String version, long successorOf) { }

  /**
   * Actions that the fleet record demands of the door; called on this link's thread, which must not block.
   */
  public interface DoorControl {
    /**
     * Sends no more attempts to the backend, and calls {@link #backendReleased} once none is in flight there.
     */
    void takeOut(String backend);

    /** Allows attempts to the backend again. */
    void putBack(String backend);

    /** Drains the door: clients are told to use other doors. */
    void drain();

    /** Ends draining: the door accepts clients again. */
    void undrain();

    /**
     * Starts a process of the given version as this process's successor; calls {@link #replacementFailed} if
     * the successor doesn't take over.
     */
    void replace(long attempt, String version);
  }

  private static final Logger LOG = Logger.getLogger(DoorLink.class.getName());
  /** Timeout of calls; {@link DoorParticipant} answers an operator within its own limit. */
  private static final long CALL_TIMEOUT_MS = 600;
  /** Delay before retrying a call that the stewards did not take. */
  private static final long RETRY_MS = 500;
  /** Timeout for operators' calls: an operator is answered within one second, which may take two calls. */
  private static final long OPERATOR_TIMEOUT_MS = 400;

  private final Identity self;
  private final DoorControl control;
  private final EventLoopGroup group = SingleThreadLoop.create("agreement");
  private final EventLoop loop = group.next();
  private final DoorParticipant side;
  private final LinkClient link;
  private final Map<String, CompletableFuture<Outcome>> pendingRequests = new HashMap<>();
  private final TakenOutFiles takenOutFiles;
  private final CompletableFuture<Void> takenOutKnown = new CompletableFuture<>();
  /**
   * The set of backends out that is not stored yet; null if all is stored. Until then no backend is reported
   * as released.
   */
  private Map<String, Long> unsavedTakenOut;
  private final List<String> unreportedReleases = new ArrayList<>();
  private long generation;
  /** Whether the stewards have registered this process. */
  private boolean registered;
  private boolean closed;
  /** Whether this process is at its end, and whether it may report that. */
  private boolean ending;
  private boolean endReportable;
  private double wakeAt;
  private long backendsVersion;
  /** The list of backends that the stewards have not received yet; null if there is none. */
  private List<Command.Backend> unsentBackends;
  /** The latest list of backends, whether sent or not. */
  private List<Command.Backend> lastBackends;
  private boolean sendingBackends;

  /**
   * Starts connecting at once.
   *
   * @param drift maximum clock drift, as a fraction of elapsed time
   * @param files path prefix of the files in which the processes of this door store which backends are out
   * @param generation number of this process's exclusive hold on the door, or 0 while another process has it.
   *     Only the holder uses the stored files: another running process may have agreed to more since
   */
  public DoorLink(Identity self, List<InetSocketAddress> stewards, double drift, Path files, long generation,
      DoorControl control) {
    this.self = self;
    this.control = control;
    takenOutFiles = new TakenOutFiles(files, self.incarnation());
    this.generation = generation;
    Map<String, Long> before = generation > 0 ? takenOutFiles.read() : null;
    if (before != null) {
      takenOutKnown.complete(null);
    }
    side = new DoorParticipant(self.door(), self.incarnation(), drift, before == null ? Map.of() : before,
        self.version(), before == null ? self.successorOf() : 0);
    link = new LinkClient(loop, stewards, new Hello(LinkMessage.OLDEST, LinkMessage.VERSION, self.group(),
        Role.DOOR,
        self.door(), ""));
    link.whenConnected(() -> {
      sendBackends();
      handle(new DoorEvent.TimerFired());
    });
    loop.execute(() -> {
      link.start();
      if (before != null) {
        before.keySet().forEach(control::takeOut);
      }
      handle(new DoorEvent.TimerFired());
    });
  }

  /** Reports the state of this process; the last one is its end. */
  public void reportState(Activity doing) {
    loop.execute(() -> {
      if (doing != Activity.ENDED || prepareEnd()) {
        handle(new DoorEvent.ActivityChanged(doing));
      }
    });
  }

  /**
   * Deletes the stored files, as the stewards wait for this process no longer once its end is reported.
   * Returns whether the end may be reported: without contact it would not arrive, and the files would be gone
   * for nothing.
   */
  private boolean prepareEnd() {
    if (!ending) {
      ending = true;
      try {
        endReportable = side.hasLease(now());
        if (endReportable) {
          takenOutFiles.deleteOwnAndEarlier();
        }
      } catch (IOException e) {
        endReportable = false;
        LOG.warning("the end of this process is not reported, as its file can't be deleted: " + e);
      }
    }
    return endReportable;
  }

  /** Reports that no attempt to the backend is in flight any more. */
  public void backendReleased(String backend) {
    loop.execute(() -> {
      if (unsavedTakenOut == null) {
        handle(new DoorEvent.BackendVacated(backend));
      } else {
        unreportedReleases.add(backend);
      }
    });
  }

  /** Reports the counts of this process's answers since it started. */
  public void reportTally(Tally tally) {
    loop.execute(() -> handle(new DoorEvent.TallyUpdated(tally)));
  }

  /** Reports that the successor started for this attempt has ended, and that this process keeps serving. */
  public void replacementFailed(long attempt) {
    loop.execute(() -> handle(new DoorEvent.SuccessorFailed(attempt)));
  }

  /** Reports that this process now has the exclusive hold on the door, under the given generation number. */
  public void lockAcquired(long newGeneration) {
    loop.execute(() -> {
      generation = newGeneration;
      takenOutFiles.deleteOthers();
      join();
    });
  }

  /**
   * Reports that another process of this door has ended, in case that process could not report its end
   * itself; retried until answered. The report waits until the stewards know this process: a door without a
   * known live process counts as sending nothing, but this process may be sending already.
   *
   * @param onAcknowledged run once the stewards have the report
   */
  public void reportEnded(String incarnation, Runnable onAcknowledged) {
    loop.execute(() -> {
      if (!closed && !registered) {
        loop.schedule(() -> reportEnded(incarnation, onAcknowledged), RETRY_MS, TimeUnit.MILLISECONDS);
      } else if (!closed) {
        link.call(new Call.Put(new Command.Leave(0, self.door(), incarnation)), false,
            CALL_TIMEOUT_MS, answer -> {
          if (answer instanceof Came) {
            onAcknowledged.run();
          } else {
            loop.schedule(() -> reportEnded(incarnation, onAcknowledged), RETRY_MS, TimeUnit.MILLISECONDS);
          }
        });
      }
    });
  }

  /** Reports the full list of backends, as this door received it. */
  public void reportBackends(long version, List<Command.Backend> backends) {
    loop.execute(() -> {
      backendsVersion = version;
      unsentBackends = List.copyOf(backends);
      lastBackends = unsentBackends;
      handle(new DoorEvent.BackendListChanged(Command.BackendListId.of(version, unsentBackends)));
      sendBackends();
    });
  }

  /** Requests a permit for an operator; answered within one second. */
  public CompletableFuture<Outcome> requestPermit(String request, Subject subject, String by, String reason,
      boolean force) {
    CompletableFuture<Outcome> answer = new CompletableFuture<>();
    loop.execute(() -> {
      CompletableFuture<Outcome> before = pendingRequests.putIfAbsent(request, answer);
      if (before != null) {
        before.whenComplete((outcome, failure) -> answer.complete(outcome));
      }
      handle(new DoorEvent.PermitRequested(request, subject, by, reason, force));
    });
    return answer;
  }

  /** Returns the state of the record, confirmed by a majority; null if there is no answer in time. */
  public CompletableFuture<FleetStatus> status() {
    CompletableFuture<FleetStatus> answer = new CompletableFuture<>();
    loop.execute(() -> link.call(new Call.Look(), false, OPERATOR_TIMEOUT_MS,
        x -> answer.complete(x instanceof Answer.Stands e ? e.standing() : null)));
    return answer;
  }

  /** Returns a permit; the result is null if there is no answer in time. */
  public CompletableFuture<Outcome> returnPermit(Subject subject, long permit, String by) {
    CompletableFuture<Outcome> answer = new CompletableFuture<>();
    loop.execute(() -> link.call(new Call.Put(new Command.ReturnPermit(0, subject, permit, by)), false,
        OPERATOR_TIMEOUT_MS,
        x -> answer.complete(x instanceof Came e ? e.outcome() : null)));
    return answer;
  }

  /**
   * Completes when this door knows which backends are out, from the stewards or from the stored files of an
   * earlier process. A door that serves sooner may send to a backend that an operator was told is out.
   */
  public CompletableFuture<Void> takenOutKnown() {
    return takenOutKnown;
  }

  /** Returns whether actions that need agreement may start now. */
  public boolean isInContact() throws InterruptedException {
    return loop.submit(() -> side.hasLease(now())).sync().getNow();
  }

  /**
   * Reports the end of this process, if that succeeds in time, and closes the link. A process that can't
   * report its end stays registered, and delays whatever waits for its confirmation, until a successor
   * replaces it.
   */
  @Override
  public void close() {
    try {
      CompletableFuture<Answer> said = new CompletableFuture<>();
      loop.execute(() -> {
        closed = true;
        if (!prepareEnd()) {
          said.complete(null);
          return;
        }
        link.call(new Call.Put(new Command.Leave(0, self.door(), self.incarnation())), false, CALL_TIMEOUT_MS,
            said::complete);
      });
      said.get(2 * CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
      LOG.warning("could not report the end of this process to the stewards: " + e);
    }
    loop.execute(link::close);
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  private static double now() {
    return System.nanoTime() / 1e6;
  }

  private void handle(DoorEvent event) {
    if (!closed) {
      side.handle(now(), event).forEach(this::execute);
    }
  }

  private void execute(DoorAction action) {
    if (action instanceof DoorAction.SendHeartbeat e) {
      link.call(new Call.Beat(e.heartbeat()), false, CALL_TIMEOUT_MS, answer -> {
        if (answer instanceof Seen seen) {
          handle(new DoorEvent.HeartbeatAnswered(e.heartbeat().number(), seen.view()));
        }
      });
    } else if (action instanceof DoorAction.SendJoin) {
      join();
    } else if (action instanceof DoorAction.SendBackendList) {
      unsentBackends = lastBackends;
      sendBackends();
    } else if (action instanceof DoorAction.SendPermitRequest e) {
      requestPermit(e.request());
    } else if (action instanceof DoorAction.AnswerOperator e) {
      CompletableFuture<Outcome> waiting = pendingRequests.remove(e.request());
      if (waiting != null) {
        waiting.complete(e.outcome());
      }
    } else if (action instanceof DoorAction.WakeAt e) {
      scheduleWakeUp(e.atMs());
    } else if (action instanceof DoorAction.PersistOutBackends e) {
      unsavedTakenOut = e.out();
      save();
    } else if (action instanceof DoorAction.AllowServing) {
      takenOutKnown.complete(null);
    } else if (action instanceof DoorAction.TakeOut e) {
      control.takeOut(e.backend());
    } else if (action instanceof DoorAction.PutBack e) {
      control.putBack(e.backend());
    } else if (action instanceof DoorAction.Drain) {
      control.drain();
    } else if (action instanceof DoorAction.Undrain) {
      control.undrain();
    } else if (action instanceof DoorAction.StartSuccessor e) {
      control.replace(e.attempt(), e.version());
    }
  }

  private void save() {
    if (unsavedTakenOut == null || ending) {
      return;
    }
    try {
      takenOutFiles.write(unsavedTakenOut);
      unsavedTakenOut = null;
      if (generation > 0) {
        takenOutFiles.deleteOthers();
      }
      List<String> ready = List.copyOf(unreportedReleases);
      unreportedReleases.clear();
      ready.forEach(x -> handle(new DoorEvent.BackendVacated(x)));
    } catch (IOException e) {
      LOG.warning("can't store which backends are out, so none is reported as released: " + e.getMessage());
      loop.schedule(this::save, RETRY_MS, TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Registers this process; retried until answered. A process that died without reporting its end delays
   * taking out the backends that it might still send to, until the stewards hear that only this process is
   * left.
   */
  private void join() {
    long sentGeneration = generation;
    link.call(new Call.Put(new Command.Join(0, self.door(), self.incarnation(), self.zone(), self.weight(),
        sentGeneration, self.version())), false, CALL_TIMEOUT_MS, answer -> {
          if (answer instanceof Came came && came.outcome() instanceof Outcome.Refused no) {
            LOG.warning("the stewards refused this door: " + no.why());
          } else if (answer instanceof Came) {
            registered = true;
          } else if (sentGeneration == generation && !closed) {
            loop.schedule(() -> {
              if (sentGeneration == generation && !closed) {
                join();
              }
            }, RETRY_MS, TimeUnit.MILLISECONDS);
          }
        });
  }

  private void requestPermit(DoorEvent.PermitRequested e) {
    link.call(new Call
        .Put(new Command.RequestPermit(0, e.request(), e.subject(), e.by(), e.reason(), e.force())),
        false,
        CALL_TIMEOUT_MS, answer -> {
          // Any other answer leaves the outcome unknown; the door side reports that after its own limit.
          if (answer instanceof Came came) {
            handle(new DoorEvent.PermitAnswered(e.request(), came.outcome()));
          } else if (answer instanceof Failed failed) {
            LOG.info(e.request() + ": " + failed.why());
          }
        });
  }

  private void sendBackends() {
    if (unsentBackends == null || sendingBackends || closed) {
      return;
    }
    List<Command.Backend> sent = unsentBackends;
    sendingBackends = true;
    link.call(new Call.Put(new Command.UpdateBackends(0, backendsVersion, sent)), false, CALL_TIMEOUT_MS,
        answer -> {
      sendingBackends = false;
      if (answer instanceof Came && unsentBackends == sent) {
        unsentBackends = null;
      } else {
        loop.schedule(this::sendBackends, RETRY_MS, TimeUnit.MILLISECONDS);
      }
    });
  }

  private void scheduleWakeUp(double atMs) {
    wakeAt = atMs;
    loop.schedule(() -> {
      if (wakeAt == atMs) {
        handle(new DoorEvent.TimerFired());
      }
    }, (long) Math.ceil(Math.max(0, atMs - now()) * 1_000) + 1, TimeUnit.MICROSECONDS);
  }
}
