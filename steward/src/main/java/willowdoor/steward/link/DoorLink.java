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
  public record Self(String group, String door, String incarnation, String zone, double weight,
      String version, long successorOf) { }

  /** What the record has a door do; called on this link's thread, which must not be held up. */
  public interface Hands {
    /** Send nothing more to the backend, and tell {@link #letGo} once no attempt is out at it. */
    void takeOut(String backend);

    /** The backend may be sent to again. */
    void putBack(String backend);

    /** Have clients go elsewhere. */
    void drain();

    /** Take clients again. */
    void undrain();

    /**
     * Start a process of that version in this one's place; tell {@link #cameToNothing} if it doesn't take it.
     */
    void replace(long attempt, String version);
  }

  private static final Logger LOG = Logger.getLogger(DoorLink.class.getName());
  /** For the answer to anything; the door's own side answers an operator before that. */
  private static final long LIMIT_MS = 600;
  /** A list that the stewards did not take is told again after this. */
  private static final long AGAIN_MS = 500;
  /** For an operator who is answered within the second, and may need two answers for it. */
  private static final long LOOK_LIMIT_MS = 400;

  private final Self self;
  private final Hands hands;
  private final EventLoopGroup group = OneThread.named("agreement");
  private final EventLoop loop = group.next();
  private final DoorParticipant side;
  private final LinkClient link;
  private final Map<String, CompletableFuture<Outcome>> asked = new HashMap<>();
  private final Remembered remembered;
  private final CompletableFuture<Void> told = new CompletableFuture<>();
  /** What is yet to be kept; null where all is. Until then no backend is said to be let go. */
  private Map<String, Long> unsaved;
  private final List<String> unsaid = new ArrayList<>();
  private long generation;
  /** The stewards have taken this process. */
  private boolean known;
  private boolean closed;
  private double wakeAt;
  private long sightVersion;
  /** Null where the stewards have it. */
  private List<Command.Backend> sight;
  /** The last list, told or not. */
  private List<Command.Backend> seen;
  private boolean sightUnderWay;

  /**
   * Begins at once.
   *
   * @param drift the most that a clock runs wrong, as a part of the time that passes
   * @param files where processes of this door keep which backends are out: the beginning of the files' names
   * @param generation of its holding what only one process of the door can hold; 0 while another holds it.
   *     Only a holder goes by what was kept: another process that lives may have agreed to more since
   */
  public DoorLink(Self self, List<InetSocketAddress> stewards, double drift, Path files, long generation,
      Hands hands) {
    this.self = self;
    this.hands = hands;
    remembered = new Remembered(files, self.incarnation());
    this.generation = generation;
    Map<String, Long> before = generation > 0 ? remembered.read() : null;
    if (before != null) {
      told.complete(null);
    }
    side = new DoorParticipant(self.door(), self.incarnation(), drift, before == null ? Map.of() : before,
        self.version(), before == null ? self.successorOf() : 0);
    link = new LinkClient(loop, stewards, new Hello(LinkMessage.OLDEST, LinkMessage.VERSION, self.group(),
        Role.DOOR,
        self.door(), ""));
    link.whenConnected(() -> {
      tellSight();
      on(new DoorEvent.TimerFired());
    });
    loop.execute(() -> {
      link.start();
      if (before != null) {
        before.keySet().forEach(hands::takeOut);
      }
      on(new DoorEvent.TimerFired());
    });
  }

  /** What the instance does from here on. */
  public void does(Activity doing) {
    loop.execute(() -> on(new DoorEvent.ActivityChanged(doing)));
  }

  /** No attempt is out at the backend any more. */
  public void letGo(String backend) {
    loop.execute(() -> {
      if (unsaved == null) {
        on(new DoorEvent.BackendVacated(backend));
      } else {
        unsaid.add(backend);
      }
    });
  }

  /** So the instance has answered since it began. */
  public void counted(Tally tally) {
    loop.execute(() -> on(new DoorEvent.TallyUpdated(tally)));
  }

  /** What was started for an attempt has ended, and this process serves on. */
  public void cameToNothing(long attempt) {
    loop.execute(() -> on(new DoorEvent.SuccessorFailed(attempt)));
  }

  /** This process holds what only one process of the door can hold, by this number. */
  public void holds(long number) {
    loop.execute(() -> {
      generation = number;
      remembered.alone();
      join();
    });
  }

  /**
   * Another process of this door has ended, and may not have said so itself; said until it is answered, and
   * not before the stewards know of this one: a door of which they know no process that lives sends nothing,
   * as far as they are concerned, and this one may send already.
   *
   * @param told run once the stewards know
   */
  public void ended(String incarnation, Runnable told) {
    loop.execute(() -> {
      if (!closed && !known) {
        loop.schedule(() -> ended(incarnation, told), AGAIN_MS, TimeUnit.MILLISECONDS);
      } else if (!closed) {
        link.ask(new Call.Put(new Command.Leave(0, self.door(), incarnation)), false, LIMIT_MS, answer -> {
          if (answer instanceof Came) {
            told.run();
          } else {
            loop.schedule(() -> ended(incarnation, told), AGAIN_MS, TimeUnit.MILLISECONDS);
          }
        });
      }
    });
  }

  /** The list of backends, whole, as this door has heard it. */
  public void sight(long version, List<Command.Backend> backends) {
    loop.execute(() -> {
      sightVersion = version;
      sight = List.copyOf(backends);
      seen = sight;
      on(new DoorEvent.BackendListChanged(Command.BackendListId.of(version, sight)));
      tellSight();
    });
  }

  /** An operator asks here; answered within the second. */
  public CompletableFuture<Outcome> ask(String request, Subject subject, String by, String reason,
      boolean force) {
    CompletableFuture<Outcome> answer = new CompletableFuture<>();
    loop.execute(() -> {
      CompletableFuture<Outcome> before = asked.putIfAbsent(request, answer);
      if (before != null) {
        before.whenComplete((outcome, failure) -> answer.complete(outcome));
      }
      on(new DoorEvent.PermitRequested(request, subject, by, reason, force));
    });
    return answer;
  }

  /** How all stands, by a majority's word; null where nobody says so in time. */
  public CompletableFuture<Standing> look() {
    CompletableFuture<Standing> answer = new CompletableFuture<>();
    loop.execute(() -> link.ask(new Call.Look(), false, LOOK_LIMIT_MS,
        x -> answer.complete(x instanceof Answer.Stands e ? e.standing() : null)));
    return answer;
  }

  /** Gives a permit back; null where nobody says what came of it in time. */
  public CompletableFuture<Outcome> giveBack(Subject subject, long permit, String by) {
    CompletableFuture<Outcome> answer = new CompletableFuture<>();
    loop.execute(() -> link.ask(new Call.Put(new Command.ReturnPermit(0, subject, permit, by)), false,
        LOOK_LIMIT_MS,
        x -> answer.complete(x instanceof Came e ? e.outcome() : null)));
    return answer;
  }

  /**
   * Completed when it is known which backends are out, by the stewards or by what one before this one kept.
   * A door that serves earlier may send to one that an operator was told is out.
   */
  public CompletableFuture<Void> told() {
    return told;
  }

  /** Whether what needs agreement may begin now. */
  public boolean inContact() throws InterruptedException {
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
        link.ask(new Call.Put(new Command.Leave(0, self.door(), self.incarnation())), false, LIMIT_MS,
            said::complete);
      });
      said.get(2 * LIMIT_MS, TimeUnit.MILLISECONDS);
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

  private void on(DoorEvent event) {
    if (!closed) {
      side.handle(now(), event).forEach(this::execute);
    }
  }

  private void execute(DoorAction action) {
    if (action instanceof DoorAction.SendHeartbeat e) {
      link.ask(new Call.Beat(e.heartbeat()), false, LIMIT_MS, answer -> {
        if (answer instanceof Seen seen) {
          on(new DoorEvent.HeartbeatAnswered(e.heartbeat().number(), seen.view()));
        }
      });
    } else if (action instanceof DoorAction.SendJoin) {
      join();
    } else if (action instanceof DoorAction.SendBackendList) {
      sight = seen;
      tellSight();
    } else if (action instanceof DoorAction.SendPermitRequest e) {
      ask(e.request());
    } else if (action instanceof DoorAction.AnswerOperator e) {
      CompletableFuture<Outcome> waiting = asked.remove(e.request());
      if (waiting != null) {
        waiting.complete(e.outcome());
      }
    } else if (action instanceof DoorAction.WakeAt e) {
      wake(e.atMs());
    } else if (action instanceof DoorAction.PersistOutBackends e) {
      unsaved = e.out();
      save();
    } else if (action instanceof DoorAction.AllowServing) {
      told.complete(null);
    } else if (action instanceof DoorAction.TakeOut e) {
      hands.takeOut(e.backend());
    } else if (action instanceof DoorAction.PutBack e) {
      hands.putBack(e.backend());
    } else if (action instanceof DoorAction.Drain) {
      hands.drain();
    } else if (action instanceof DoorAction.Undrain) {
      hands.undrain();
    } else if (action instanceof DoorAction.StartSuccessor e) {
      hands.replace(e.attempt(), e.version());
    }
  }

  private void save() {
    if (unsaved == null || closed) {
      return;
    }
    try {
      remembered.write(unsaved);
      unsaved = null;
      if (generation > 0) {
        remembered.alone();
      }
      List<String> ready = List.copyOf(unsaid);
      unsaid.clear();
      ready.forEach(x -> on(new DoorEvent.BackendVacated(x)));
    } catch (IOException e) {
      LOG.warning("what is out can't be kept, so no backend is said to be let go: " + e.getMessage());
      loop.schedule(this::save, AGAIN_MS, TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Until it is answered: a process that died before this one, and could say no word, holds up what it might
   * still send to until the stewards hear that this one alone is left.
   */
  private void join() {
    long said = generation;
    link.ask(new Call.Put(new Command.Join(0, self.door(), self.incarnation(), self.zone(), self.weight(),
        said, self.version())), false, LIMIT_MS, answer -> {
          if (answer instanceof Came came && came.outcome() instanceof Outcome.Refused no) {
            LOG.warning("the stewards don't take this door: " + no.why());
          } else if (answer instanceof Came) {
            known = true;
          } else if (said == generation && !closed) {
            loop.schedule(() -> {
              if (said == generation && !closed) {
                join();
              }
            }, AGAIN_MS, TimeUnit.MILLISECONDS);
          }
        });
  }

  private void ask(DoorEvent.PermitRequested e) {
    link.ask(new Call
        .Put(new Command.RequestPermit(0, e.request(), e.subject(), e.by(), e.reason(), e.force())), false,
        LIMIT_MS, answer -> {
          // Another answer leaves open what became of it: the door's side says so in its time.
          if (answer instanceof Came came) {
            on(new DoorEvent.PermitAnswered(e.request(), came.outcome()));
          } else if (answer instanceof Failed failed) {
            LOG.info(e.request() + ": " + failed.why());
          }
        });
  }

  private void tellSight() {
    if (sight == null || sightUnderWay || closed) {
      return;
    }
    List<Command.Backend> told = sight;
    sightUnderWay = true;
    link.ask(new Call.Put(new Command.UpdateBackends(0, sightVersion, told)), false, LIMIT_MS, answer -> {
      sightUnderWay = false;
      if (answer instanceof Came && sight == told) {
        sight = null;
      } else {
        loop.schedule(this::tellSight, AGAIN_MS, TimeUnit.MILLISECONDS);
      }
    });
  }

  private void wake(double atMs) {
    wakeAt = atMs;
    loop.schedule(() -> {
      if (wakeAt == atMs) {
        on(new DoorEvent.TimerFired());
      }
    }, (long) Math.ceil(Math.max(0, atMs - now()) * 1_000) + 1, TimeUnit.MICROSECONDS);
  }
}
