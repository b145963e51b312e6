package willowdoor.life;

import java.util.ArrayList;
import java.util.List;
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
import willowdoor.life.LifecycleEvent.AllAnswered;
import willowdoor.life.LifecycleEvent.SocketBound;
import willowdoor.life.LifecycleEvent.FatalError;
import willowdoor.life.LifecycleEvent.BackInService;
import willowdoor.life.LifecycleEvent.EndSignal;
import willowdoor.life.LifecycleEvent.OutOfService;
import willowdoor.life.LifecycleEvent.SuccessorLost;
import willowdoor.life.LifecycleEvent.SuccessorReady;
import willowdoor.life.LifecycleEvent.WarmUpEnded;
import willowdoor.life.LifecycleEvent.Woken;

/**
 * The life of one instance, from its start to its exit code: events and the time in, actions out. Like the
 * decision module it does no I/O, reads no clock and starts no thread.
 *
 * <pre>
 *   STARTING --Bound--> WARMING --Warmed--> READY --EndSignal / SuccessorReady--> DRAINING
 *                                             ^                                     |  accept window over,
 *                                             +------- SuccessorLost (replaced) ----+  or a successor accepts
 *                                                                                   v
 *                 READY <--ComeBack-- OUT <--GoOut-- READY; OUT ends and is replaced as READY is
 *
 *                        STOPPED <--AllAnswered / last bound-- FAILING <--bound-- ANSWERING
 * </pre>
 *
 * <p>It guards against three losses. Connections that wait in the accept queue belong to this instance, so an
 * end that comes while it is warming still opens the door for its accept window, and what came is served.
 * What was taken is answered: as it would have been until the bound, as failed at the bound, and only a last
 * bound, for clients that read nothing, ends the process over an answer that is not out. And an instance that
 * was replaced serves again if its successor dies within its accept window; after that it has let go of the
 * socket. A second signal moves the bound to the hurried one, counted from itself.
 */
public final class InstanceLifecycle {

  /** Exit code of an end in order. */
  public static final int EXIT_ORDERLY = 0;
  /** Exit code when the instance could not start or go on. */
  public static final int EXIT_FAILURE = 1;
  /** Exit code of an end whose last bound passed while clients had not read their answers. */
  public static final int EXIT_UNREAD = 3;

  /** Where an instance is in its life; OUT is READY with its clients sent away, as the fleet agreed on. */
  public enum Phase { STARTING, WARMING, READY, OUT, DRAINING, ANSWERING, FAILING, STOPPED }

  /**
   * The bounds of an end, in milliseconds.
   *
   * @param acceptMs for so long after the signal connections are still taken, at least 0
   * @param answerMs what is not answered so long after the signal is answered as failed, at least acceptMs
   * @param hurriedMs the same, counted from a second signal
   * @param lastMs for so long after that the answers may take to be read, at least 1
   */
  public record ShutdownLimits(double acceptMs, double answerMs, double hurriedMs, double lastMs) {

    /** Checks them. */
    public ShutdownLimits {
      check("acceptMs", acceptMs, 0);
      check("answerMs", answerMs, acceptMs);
      check("hurriedMs", hurriedMs, 0);
      check("lastMs", lastMs, 1);
    }

    private static void check(String name, double value, double min) {
      if (!(value >= min) || Double.isInfinite(value)) {
        throw new IllegalArgumentException(name + ": " + value + " (expected: >= " + min + ")");
      }
    }
  }

  private final ShutdownLimits limits;
  private Phase phase = Phase.STARTING;
  /** An end signal came before the instance was ready; it is acted on as soon as there is a socket. */
  private boolean endRequested;
  /** It drains for a successor and not for a signal. */
  private boolean drainingForSuccessor;
  /** A successor takes the connections. */
  private boolean successorAccepts;
  private boolean limitShortened;
  /** The fleet has it out. */
  private boolean outOfService;
  private double acceptUntil;
  private double answerUntil;
  private double lastUntil;

  public InstanceLifecycle(ShutdownLimits limits) {
    this.limits = limits;
  }

  public Phase phase() {
    return phase;
  }

  /** Takes an event at its time, in milliseconds on a clock that only moves forward. */
  public List<LifecycleAction> on(double nowMs, LifecycleEvent event) {
    List<LifecycleAction> actions = new ArrayList<>(4);
    if (phase == Phase.STOPPED) {
      return actions;
    }
    if (event instanceof FatalError) {
      stop(EXIT_FAILURE, actions);
    } else if (event instanceof SocketBound) {
      onSocketBound(nowMs, actions);
    } else if (event instanceof WarmUpEnded) {
      onWarmUpEnded(actions);
    } else if (event instanceof EndSignal) {
      onEndSignal(nowMs, actions);
    } else if (event instanceof SuccessorReady) {
      onSuccessorReady(nowMs, actions);
    } else if (event instanceof SuccessorLost) {
      onSuccessorLost(actions);
    } else if (event instanceof OutOfService) {
      outOfService = true;
      drainIfOutOfService(actions);
    } else if (event instanceof BackInService) {
      onBackInService(actions);
    } else if (event instanceof AllAnswered) {
      onAllAnswered(actions);
    } else if (event instanceof Woken) {
      onWoken(nowMs, actions);
    }
    return actions;
  }

  private void onSocketBound(double now, List<LifecycleAction> actions) {
    if (phase != Phase.STARTING) {
      return;
    }
    phase = Phase.WARMING;
    if (endRequested) {
      drainBeforeReady(now, actions);
    } else {
      actions.add(new WarmUp());
    }
  }

  private void onWarmUpEnded(List<LifecycleAction> actions) {
    if (phase == Phase.WARMING) {
      phase = Phase.READY;
      actions.add(new Accept());
      actions.add(new AnnounceReady());
      drainIfOutOfService(actions);
    }
  }

  /** Not while it starts or ends: then it is out already, and goes out, or not, when it is ready again. */
  private void drainIfOutOfService(List<LifecycleAction> actions) {
    if (outOfService && phase == Phase.READY) {
      phase = Phase.OUT;
      actions.add(new BeginDrain());
    }
  }

  private void onBackInService(List<LifecycleAction> actions) {
    outOfService = false;
    if (phase == Phase.OUT) {
      phase = Phase.READY;
      actions.add(new Resume());
    }
  }

  private void onEndSignal(double now, List<LifecycleAction> actions) {
    switch (phase) {
      case STARTING -> endRequested = true;
      case WARMING -> drainBeforeReady(now, actions);
      case READY, OUT -> {
        drainingForSuccessor = false;
        drain(now, now + limits.acceptMs(), actions);
      }
      default -> {
        if (drainingForSuccessor) {
          // The end was the successor's wish until now; a signal makes it final and changes no bound yet.
          drainingForSuccessor = false;
        } else if (!limitShortened) {
          shortenLimit(now, actions);
        }
      }
    }
  }

  /** It never was ready: what waits in the accept queue is taken and refused. */
  private void drainBeforeReady(double now, List<LifecycleAction> actions) {
    actions.add(new Accept());
    drain(now, now + limits.acceptMs(), actions);
  }

  private void drain(double now, double acceptEnds, List<LifecycleAction> actions) {
    phase = Phase.DRAINING;
    acceptUntil = acceptEnds;
    answerUntil = now + limits.answerMs();
    actions.add(new BeginDrain());
    actions.add(new WakeAt(acceptUntil));
  }

  private void shortenLimit(double now, List<LifecycleAction> actions) {
    limitShortened = true;
    answerUntil = Math.min(answerUntil, now + limits.hurriedMs());
    if (phase == Phase.DRAINING) {
      acceptUntil = Math.min(acceptUntil, answerUntil);
      actions.add(new WakeAt(acceptUntil));
    } else if (phase == Phase.ANSWERING) {
      actions.add(new WakeAt(answerUntil));
    }
  }

  private void onSuccessorReady(double now, List<LifecycleAction> actions) {
    if (phase == Phase.READY || phase == Phase.OUT) {
      drainingForSuccessor = true;
      successorAccepts = true;
      actions.add(new LeaveSocketToSuccessor());
      drain(now, now + limits.acceptMs(), actions);
    }
  }

  private void onSuccessorLost(List<LifecycleAction> actions) {
    if (!successorAccepts || phase != Phase.DRAINING) {
      return;
    }
    successorAccepts = false;
    actions.add(new Accept());
    if (drainingForSuccessor) {
      drainingForSuccessor = false;
      phase = Phase.READY;
      actions.add(new Resume());
      drainIfOutOfService(actions);
    }
  }

  private void onAllAnswered(List<LifecycleAction> actions) {
    if (phase == Phase.ANSWERING || phase == Phase.FAILING) {
      stop(EXIT_ORDERLY, actions);
    }
  }

  private void onWoken(double now, List<LifecycleAction> actions) {
    if (phase == Phase.DRAINING && now >= acceptUntil) {
      phase = Phase.ANSWERING;
      actions.add(new StopAccepting());
      actions.add(new WakeAt(answerUntil));
    }
    if (phase == Phase.ANSWERING && now >= answerUntil) {
      phase = Phase.FAILING;
      lastUntil = now + limits.lastMs();
      actions.add(new FailPendingRequests());
      actions.add(new WakeAt(lastUntil));
    } else if (phase == Phase.FAILING && now >= lastUntil) {
      stop(EXIT_UNREAD, actions);
    }
  }

  private void stop(int exitCode, List<LifecycleAction> actions) {
    phase = Phase.STOPPED;
    actions.add(new Close(exitCode));
  }
}
