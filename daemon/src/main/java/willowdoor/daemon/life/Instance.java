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
 * Connects a front door to its {@link InstanceLifecycle}: passes events to the life cycle and executes the
 * actions
 * that it returns, all on the door's event loop. All decisions are made by {@link InstanceLifecycle}.
 */
final class Instance {

  private static final Logger LOG = Logger.getLogger(Instance.class.getName());
  /** Interval of the check for unanswered requests, once the door no longer accepts connections. */
  private static final long IDLE_CHECK_INTERVAL_MS = 10;

  /** Callbacks of an instance, for the work that is not the door's. */
  interface Listener {
    /** Warms the process up; called on a separate thread. */
    void warmUp();

    /** The instance has started to serve. */
    void onServing();

    /** The phase of the instance has changed; called on the door's event loop. */
    void onPhaseChanged(Phase phase);

    /** The instance serves again, after it had left its connections to a successor that was lost. */
    void onResumed();
  }

  private final FrontDoor door;
  private final EventLoop loop;
  private final InstanceLifecycle lifecycle;
  private final Listener listener;
  private final CompletableFuture<Integer> ended = new CompletableFuture<>();
  private double wakeAtMs;

  Instance(FrontDoor door, InstanceLifecycle lifecycle, Listener listener) {
    this.door = door;
    this.loop = door.loop();
    this.lifecycle = lifecycle;
    this.listener = listener;
  }

  /** A future that completes with the exit code. */
  CompletableFuture<Integer> ended() {
    return ended;
  }

  /** Queues an event for the life cycle; may be called from any thread. */
  void post(LifecycleEvent event) {
    loop.execute(() -> handle(event));
  }

  /** The current phase; to be called on the event loop only. */
  Phase phase() {
    return lifecycle.phase();
  }

  private void handle(LifecycleEvent event) {
    Phase before = lifecycle.phase();
    for (LifecycleAction action : lifecycle.on(door.now(), event)) {
      execute(action);
    }
    if (lifecycle.phase() != before) {
      listener.onPhaseChanged(lifecycle.phase());
      LOG.log(Level.INFO, "{0} on {1}; {2} requests held",
          new Object[] {lifecycle.phase().name().toLowerCase(java.util.Locale.ROOT), event,
          door.heldRequests()});
    }
  }

  private void execute(LifecycleAction action) {
    if (action instanceof WarmUp) {
      Thread warmUpThread = new Thread(() -> {
        listener.warmUp();
        post(new WarmUpEnded());
      }, "warm-up");
      warmUpThread.setDaemon(true);
      warmUpThread.start();
    } else if (action instanceof Accept) {
      door.accept();
    } else if (action instanceof AnnounceReady) {
      door.markReady();
      listener.onServing();
    } else if (action instanceof BeginDrain) {
      door.beginDrain();
    } else if (action instanceof Resume) {
      door.resume();
      listener.onResumed();
    } else if (action instanceof LeaveSocketToSuccessor) {
      door.pauseAccepting();
    } else if (action instanceof StopAccepting) {
      door.stopAccepting();
      loop.execute(this::checkAllAnswered);
    } else if (action instanceof FailPendingRequests) {
      door.failAll();
    } else if (action instanceof WakeAt a) {
      scheduleWake(a.atMs());
    } else if (action instanceof Close a) {
      ended.complete(a.exitCode());
    }
  }

  private void scheduleWake(double atMs) {
    wakeAtMs = atMs;
    loop.schedule(() -> {
      if (wakeAtMs == atMs) {
        reportAllAnswered();
        handle(new Woken(door.hasAnswersUnderWay()));
      }
    }, (long) Math.ceil(Math.max(0, atMs - door.now()) * 1000) + 1, TimeUnit.MICROSECONDS);
  }

  /** Repeats the check until every accepted request is answered or the instance has stopped. */
  private void checkAllAnswered() {
    reportAllAnswered();
    if (lifecycle.phase() != Phase.STOPPED) {
      loop.schedule(this::checkAllAnswered, IDLE_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void reportAllAnswered() {
    if (door.hasNoConnections()) {
      handle(new AllAnswered());
    }
  }
}
