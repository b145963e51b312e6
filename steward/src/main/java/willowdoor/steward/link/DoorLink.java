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
 * Drives one door's {@link DoorParticipant} over a link to the stewards, on a thread of its own: nothing of
 * it is on
 * the thread of requests. It decides nothing.
 */
public final class DoorLink implements AutoCloseable {

  /**
   * Which process of which door this is.
   *
   * @param version of the program, as releases name it
   * @param successorOf the attempt of a release that this process was started for, or 0
   */
  public record Identity(String group, String door, String incarnation, String zone, double weight,
      String version, long successorOf) { }

  /** What the record has a door do; called on this link's thread, which must not be held up. */
  public interface DoorControl {
    /** Send nothing more to the backend, and tell {@link #backendReleased} once no attempt is out at it. */
    void takeOut(String backend);

    /** The backend may be sent to again. */
    void putBack(String backend);

    /** Have clients go elsewhere. */
    void drain();

    /** Take clients again. */
    void undrain();

    /**
     * Start a process of that version in this one's place; tell {@link #replacementFailed} if it doesn't take
     * it.
     */
    void replace(long attempt, String version);
  }

  private static final Logger LOG = Logger.getLogger(DoorLink.class.getName());
  /** For the answer to anything; the door's own side answers an operator before that. */
  private static final long CALL_TIMEOUT_MS = 600;
  /** A list that the stewards did not take is told again after this. */
  private static final long RETRY_MS = 500;
  /** For an operator who is answered within the second, and may need two answers for it. */
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
  /** What is yet to be kept; null where all is. Until then no backend is said to be let go. */
  private Map<String, Long> unsavedTakenOut;
  private final List<String> unreportedReleases = new ArrayList<>();
  private long generation;
  /** The stewards have taken this process. */
  private boolean registered;
  private boolean closed;
  private double wakeAt;
  private long backendsVersion;
  /** Null where the stewards have it. */
  private List<Command.Backend> unsentBackends;
  /** The last list, told or not. */
  private List<Command.Backend> lastBackends;
  private boolean sendingBackends;

  /**
   * Begins at once.
   *
   * @param drift the most that a clock runs wrong, as a part of the time that passes
   * @param files where processes of this door keep which backends are out: the beginning of the files' names
   * @param generation of its holding what only one process of the door can hold; 0 while another holds it.
   *     Only a holder goes by what was kept: another process that lives may have agreed to more since
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

  /** What the instance does from here on. */
  public void reportState(Activity doing) {
    loop.execute(() -> handle(new DoorEvent.ActivityChanged(doing)));
  }

  /** No attempt is out at the backend any more. */
  public void backendReleased(String backend) {
    loop.execute(() -> {
      if (unsavedTakenOut == null) {
        handle(new DoorEvent.BackendVacated(backend));
      } else {
        unreportedReleases.add(backend);
      }
    });
  }

  /** So the instance has answered since it began. */
  public void reportTally(Tally tally) {
    loop.execute(() -> handle(new DoorEvent.TallyUpdated(tally)));
  }

  /** What was started for an attempt has ended, and this process serves on. */
  public void replacementFailed(long attempt) {
    loop.execute(() -> handle(new DoorEvent.SuccessorFailed(attempt)));
  }

  /** This process holds what only one process of the door can hold, by this number. */
  public void lockAcquired(long newGeneration) {
    loop.execute(() -> {
      generation = newGeneration;
      takenOutFiles.deleteOthers();
      join();
    });
  }

  /**
   * Another process of this door has ended, and may not have said so itself; said until it is answered, and
   * not before the stewards know of this one: a door of which they know no process that lives sends nothing,
   * as far as they are concerned, and this one may send already.
   *
   * @param onAcknowledged run once the stewards know
   */
  public void reportEnded(String incarnation, Runnable onAcknowledged) {
    loop.execute(() -> {
      if (!closed && !registered) {
        loop.schedule(() -> reportEnded(incarnation, onAcknowledged), RETRY_MS, TimeUnit.MILLISECONDS);
      } else if (!closed) {
        link.call(new Call.Put(new Command.Leave(0, self.door(), incarnation)), false, CALL_TIMEOUT_MS,
            answer -> {
          if (answer instanceof Came) {
            onAcknowledged.run();
          } else {
            loop.schedule(() -> reportEnded(incarnation, onAcknowledged), RETRY_MS, TimeUnit.MILLISECONDS);
          }
        });
      }
    });
  }

  /** The list of backends, whole, as this door has heard it. */
  public void reportBackends(long version, List<Command.Backend> backends) {
    loop.execute(() -> {
      backendsVersion = version;
      unsentBackends = List.copyOf(backends);
      lastBackends = unsentBackends;
      handle(new DoorEvent.BackendListChanged(Command.BackendListId.of(version, unsentBackends)));
      sendBackends();
    });
  }

  /** An operator asks here; answered within the second. */
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

  /** How all stands, by a majority's word; null where nobody says so in time. */
  public CompletableFuture<FleetStatus> status() {
    CompletableFuture<FleetStatus> answer = new CompletableFuture<>();
    loop.execute(() -> link.call(new Call.Look(), false, OPERATOR_TIMEOUT_MS,
        x -> answer.complete(x instanceof Answer.Stands e ? e.standing() : null)));
    return answer;
  }

  /** Gives a permit back; null where nobody says what came of it in time. */
  public CompletableFuture<Outcome> returnPermit(Subject subject, long permit, String by) {
    CompletableFuture<Outcome> answer = new CompletableFuture<>();
    loop.execute(() -> link.call(new Call.Put(new Command.ReturnPermit(0, subject, permit, by)), false,
        OPERATOR_TIMEOUT_MS,
        x -> answer.complete(x instanceof Came e ? e.outcome() : null)));
    return answer;
  }

  /**
   * Completed when it is known which backends are out, by the stewards or by what one before this one kept.
   * A door that serves earlier may send to one that an operator was told is out.
   */
  public CompletableFuture<Void> takenOutKnown() {
    return takenOutKnown;
  }

  /** Whether what needs agreement may begin now. */
  public boolean isInContact() throws InterruptedException {
    return loop.submit(() -> side.hasLease(now())).sync().getNow();
  }

  /**
   * Says that this process has ended, if that can be said within the time, and is there no more. A process
   * that can't say so stays known, and holds up what waits for its word, until another follows it.
   */
  @Override
  public void close() {
    try {
      CompletableFuture<Answer> said = new CompletableFuture<>();
      loop.execute(() -> {
        closed = true;
        link.call(new Call.Put(new Command.Leave(0, self.door(), self.incarnation())), false, CALL_TIMEOUT_MS,
            said::complete);
      });
      said.get(2 * CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
      LOG.warning("the stewards were not told of the end: " + e);
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
    if (unsavedTakenOut == null || closed) {
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
      LOG.warning("what is out can't be kept, so no backend is said to be let go: " + e.getMessage());
      loop.schedule(this::save, RETRY_MS, TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Until it is answered: a process that died before this one, and could say no word, holds up what it might
   * still send to until the stewards hear that this one alone is left.
   */
  private void join() {
    long sentGeneration = generation;
    link.call(new Call.Put(new Command.Join(0, self.door(), self.incarnation(), self.zone(), self.weight(),
        sentGeneration, self.version())), false, CALL_TIMEOUT_MS, answer -> {
          if (answer instanceof Came came && came.outcome() instanceof Outcome.Refused no) {
            LOG.warning("the stewards don't take this door: " + no.why());
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
        .Put(new Command.RequestPermit(0, e.request(), e.subject(), e.by(), e.reason(), e.force())), false,
        CALL_TIMEOUT_MS, answer -> {
          // Another answer leaves open what became of it: the door's side says so in its time.
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
