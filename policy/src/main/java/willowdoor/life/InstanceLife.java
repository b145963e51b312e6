package willowdoor.life;

import java.util.ArrayList;
import java.util.List;
import willowdoor.life.LifeAction.Accept;
import willowdoor.life.LifeAction.BeFound;
import willowdoor.life.LifeAction.BeginDrain;
import willowdoor.life.LifeAction.Close;
import willowdoor.life.LifeAction.FailAll;
import willowdoor.life.LifeAction.LeaveListening;
import willowdoor.life.LifeAction.Resume;
import willowdoor.life.LifeAction.StopAccepting;
import willowdoor.life.LifeAction.WakeAt;
import willowdoor.life.LifeAction.WarmUp;
import willowdoor.life.LifeEvent.AllAnswered;
import willowdoor.life.LifeEvent.Bound;
import willowdoor.life.LifeEvent.Broken;
import willowdoor.life.LifeEvent.ComeBack;
import willowdoor.life.LifeEvent.EndSignal;
import willowdoor.life.LifeEvent.GoOut;
import willowdoor.life.LifeEvent.SuccessorLost;
import willowdoor.life.LifeEvent.SuccessorReady;
import willowdoor.life.LifeEvent.Warmed;
import willowdoor.life.LifeEvent.Woken;

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
public final class InstanceLife {

  /** Exit code of an end in order. */
  public static final int EXIT_ORDERLY = 0;
  /** Exit code when the instance could not start or go on. */
  public static final int EXIT_BROKEN = 1;
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
  public record Bounds(double acceptMs, double answerMs, double hurriedMs, double lastMs) {

    /** Checks them. */
    public Bounds {
      check("acceptMs", acceptMs, 0);
      check("answerMs", answerMs, acceptMs);
      check("hurriedMs", hurriedMs, 0);
      check("lastMs", lastMs, 1);
    }

    private static void check(String name, double value, double least) {
      if (!(value >= least) || Double.isInfinite(value)) {
        throw new IllegalArgumentException(name + ": " + value + " (expected: >= " + least + ")");
      }
    }
  }

  private final Bounds bounds;
  private Phase phase = Phase.STARTING;
  /** An end signal came before the instance was ready; it is acted on as soon as there is a socket. */
  private boolean endWanted;
  /** It drains for a successor and not for a signal. */
  private boolean replaced;
  /** A successor takes the connections. */
  private boolean left;
  private boolean hurried;
  /** The fleet has it out. */
  private boolean out;
  private double acceptUntil;
  private double answerUntil;
  private double lastUntil;

  public InstanceLife(Bounds bounds) {
    this.bounds = bounds;
  }

  public Phase phase() {
    return phase;
  }

  /** Takes an event at its time, in milliseconds on a clock that only moves forward. */
  public List<LifeAction> on(double nowMs, LifeEvent event) {
    List<LifeAction> actions = new ArrayList<>(4);
    if (phase == Phase.STOPPED) {
      return actions;
    }
    if (event instanceof Broken) {
      stop(EXIT_BROKEN, actions);
    } else if (event instanceof Bound) {
      bound(nowMs, actions);
    } else if (event instanceof Warmed) {
      warmed(actions);
    } else if (event instanceof EndSignal) {
      endSignal(nowMs, actions);
    } else if (event instanceof SuccessorReady) {
      successorReady(nowMs, actions);
    } else if (event instanceof SuccessorLost) {
      successorLost(actions);
    } else if (event instanceof GoOut) {
      out = true;
      goOut(actions);
    } else if (event instanceof ComeBack) {
      comeBack(actions);
    } else if (event instanceof AllAnswered) {
      allAnswered(actions);
    } else if (event instanceof Woken) {
      woken(nowMs, actions);
    }
    return actions;
  }

  private void bound(double now, List<LifeAction> actions) {
    if (phase != Phase.STARTING) {
      return;
    }
    phase = Phase.WARMING;
    if (endWanted) {
      drainUnready(now, actions);
    } else {
      actions.add(new WarmUp());
    }
  }

  private void warmed(List<LifeAction> actions) {
    if (phase == Phase.WARMING) {
      phase = Phase.READY;
      actions.add(new Accept());
      actions.add(new BeFound());
      goOut(actions);
    }
  }

  /** Not while it starts or ends: then it is out already, and goes out, or not, when it is ready again. */
  private void goOut(List<LifeAction> actions) {
    if (out && phase == Phase.READY) {
      phase = Phase.OUT;
      actions.add(new BeginDrain());
    }
  }

  private void comeBack(List<LifeAction> actions) {
    out = false;
    if (phase == Phase.OUT) {
      phase = Phase.READY;
      actions.add(new Resume());
    }
  }

  private void endSignal(double now, List<LifeAction> actions) {
    switch (phase) {
      case STARTING -> endWanted = true;
      case WARMING -> drainUnready(now, actions);
      case READY, OUT -> {
        replaced = false;
        drain(now, now + bounds.acceptMs(), actions);
      }
      default -> {
        if (replaced) {
          // The end was the successor's wish until now; a signal makes it final and changes no bound yet.
          replaced = false;
        } else if (!hurried) {
          hurry(now, actions);
        }
      }
    }
  }

  /** It never was ready: what waits in the accept queue is taken and refused. */
  private void drainUnready(double now, List<LifeAction> actions) {
    actions.add(new Accept());
    drain(now, now + bounds.acceptMs(), actions);
  }

  private void drain(double now, double acceptEnds, List<LifeAction> actions) {
    phase = Phase.DRAINING;
    acceptUntil = acceptEnds;
    answerUntil = now + bounds.answerMs();
    actions.add(new BeginDrain());
    actions.add(new WakeAt(acceptUntil));
  }

  private void hurry(double now, List<LifeAction> actions) {
    hurried = true;
    answerUntil = Math.min(answerUntil, now + bounds.hurriedMs());
    if (phase == Phase.DRAINING) {
      acceptUntil = Math.min(acceptUntil, answerUntil);
      actions.add(new WakeAt(acceptUntil));
    } else if (phase == Phase.ANSWERING) {
      actions.add(new WakeAt(answerUntil));
    }
  }

  private void successorReady(double now, List<LifeAction> actions) {
    if (phase == Phase.READY || phase == Phase.OUT) {
      replaced = true;
      left = true;
      actions.add(new LeaveListening());
      drain(now, now + bounds.acceptMs(), actions);
    }
  }

  private void successorLost(List<LifeAction> actions) {
    if (!left || phase != Phase.DRAINING) {
      return;
    }
    left = false;
    actions.add(new Accept());
    if (replaced) {
      replaced = false;
      phase = Phase.READY;
      actions.add(new Resume());
      goOut(actions);
    }
  }

  private void allAnswered(List<LifeAction> actions) {
    if (phase == Phase.ANSWERING || phase == Phase.FAILING) {
      stop(EXIT_ORDERLY, actions);
    }
  }

  private void woken(double now, List<LifeAction> actions) {
    if (phase == Phase.DRAINING && now >= acceptUntil) {
      phase = Phase.ANSWERING;
      actions.add(new StopAccepting());
      actions.add(new WakeAt(answerUntil));
    }
    if (phase == Phase.ANSWERING && now >= answerUntil) {
      phase = Phase.FAILING;
      lastUntil = now + bounds.lastMs();
      actions.add(new FailAll());
      actions.add(new WakeAt(lastUntil));
    } else if (phase == Phase.FAILING && now >= lastUntil) {
      stop(EXIT_UNREAD, actions);
    }
  }

  private void stop(int exitCode, List<LifeAction> actions) {
    phase = Phase.STOPPED;
    actions.add(new Close(exitCode));
  }
}
