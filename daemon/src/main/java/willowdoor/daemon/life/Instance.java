package willowdoor.daemon.life;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import willowdoor.life.InstanceLifecycle;
import willowdoor.life.InstanceLifecycle.Phase;
import willowdoor.life.LifecycleAction;
import willowdoor.life.LifecycleAction.Accept;
import willowdoor.life.LifecycleAction.AnnounceReady;
import willowdoor.life.LifecycleAction.BeginDrain;
import willowdoor.life.LifecycleAction.Close;
import willowdoor.life.LifecycleAction.FailPendingRequests;
import willowdoor.life.LifecycleAction.LeaveSocketToSuccessor;
import willowdoor.life.LifecycleAction.Resume;
import willowdoor.life.LifecycleAction.StopAccepting;
import willowdoor.life.LifecycleAction.WakeAt;
import willowdoor.life.LifecycleAction.WarmUp;
import willowdoor.life.LifecycleEvent;
import willowdoor.life.LifecycleEvent.AllAnswered;
import willowdoor.life.LifecycleEvent.WarmUpEnded;
import willowdoor.life.LifecycleEvent.Woken;
import willowdoor.net.FrontDoor;

/**
 * Drives one door by its {@link InstanceLifecycle}: takes events to it and does what it says, all on the
 * door's
 * loop. It chooses nothing.
 */
final class Instance {

  private static final Logger LOG = Logger.getLogger(Instance.class.getName());
  /** How often it looks whether all that was taken is answered, once connections are no longer taken. */
  private static final long LOOK_MS = 10;

  /** What an instance has done beside its door. */
  interface Surroundings {
    /** Warms the process up; on a thread of its own. */
    void warmUp();

    /** The instance serves. */
    void found();

    /** It has come to another phase; on the door's loop. */
    void changed(Phase phase);

    /** The instance serves again after it had been left for a successor. */
    void resumed();
  }

  private final FrontDoor door;
  private final EventLoop loop;
  private final InstanceLifecycle life;
  private final Surroundings surroundings;
  private final CompletableFuture<Integer> ended = new CompletableFuture<>();
  private double wakeAt;

  Instance(FrontDoor door, InstanceLifecycle life, Surroundings surroundings) {
    this.door = door;
    this.loop = door.loop();
    this.life = life;
    this.surroundings = surroundings;
  }

  /** Completed with the exit code. */
  CompletableFuture<Integer> ended() {
    return ended;
  }

  /** Tells an event, from any thread. */
  void tell(LifecycleEvent event) {
    loop.execute(() -> on(event));
  }

  /** Where it is in its life; on the loop only. */
  Phase phase() {
    return life.phase();
  }

  private void on(LifecycleEvent event) {
    Phase before = life.phase();
    for (LifecycleAction action : life.on(door.now(), event)) {
      execute(action);
    }
    if (life.phase() != before) {
      surroundings.changed(life.phase());
      LOG.log(Level.INFO, "{0} on {1}; {2} requests held",
          new Object[] {life.phase().name().toLowerCase(java.util.Locale.ROOT), event, door.held()});
    }
  }

  private void execute(LifecycleAction action) {
    if (action instanceof WarmUp) {
      Thread warming = new Thread(() -> {
        surroundings.warmUp();
        tell(new WarmUpEnded());
      }, "warm-up");
      warming.setDaemon(true);
      warming.start();
    } else if (action instanceof Accept) {
      door.accept();
    } else if (action instanceof AnnounceReady) {
      door.beFound();
      surroundings.found();
    } else if (action instanceof BeginDrain) {
      door.beginDrain();
    } else if (action instanceof Resume) {
      door.resume();
      surroundings.resumed();
    } else if (action instanceof LeaveSocketToSuccessor) {
      door.leaveListening();
    } else if (action instanceof StopAccepting) {
      door.stopAccepting();
      loop.execute(this::look);
    } else if (action instanceof FailPendingRequests) {
      door.failAll();
    } else if (action instanceof WakeAt a) {
      wake(a.atMs());
    } else if (action instanceof Close a) {
      ended.complete(a.exitCode());
    }
  }

  private void wake(double atMs) {
    wakeAt = atMs;
    loop.schedule(() -> {
      if (wakeAt == atMs) {
        on(new Woken());
      }
    }, (long) Math.ceil(Math.max(0, atMs - door.now()) * 1000) + 1, TimeUnit.MICROSECONDS);
  }

  /** Looks until all that was taken is answered, and no earlier than it can be. */
  private void look() {
    if (door.idle()) {
      on(new AllAnswered());
    } else if (life.phase() != Phase.STOPPED) {
      loop.schedule(this::look, LOOK_MS, TimeUnit.MILLISECONDS);
    }
  }
}
