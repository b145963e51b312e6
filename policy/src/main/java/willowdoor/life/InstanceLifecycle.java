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
import willowdoor.policy.ShutdownHold;

/**
 * The state machine of one instance, from its start to its exit code: events and the time in, actions out.
 * Like the decision module it does no I/O, reads no clock and starts no thread.
 *
 * <pre>
 *   STARTING --SocketBound--> WARMING --WarmUpEnded--> READY
 *   READY, OUT --EndSignal / SuccessorReady--> DRAINING --accept window over--> ANSWERING
 *   DRAINING --SuccessorLost, if draining for that successor--> READY
 *   READY --OutOfService--> OUT --BackInService--> READY
 *   ANSWERING --answer limit--> FAILING
 *   ANSWERING, FAILING --AllAnswered--> STOPPED
 *   FAILING --last limit, no answer under way--> STOPPED
 *   any phase --FatalError--> STOPPED
 * </pre>
 *
 * <p>An end signal while the instance starts or warms up leads to DRAINING as soon as there is a socket.
 *
 * <p>The state machine guards against three kinds of loss. Connections in the accept queue belong to this
 * instance, so if it is told to end while it warms up, it still accepts connections for its accept window and
 * serves them. Every accepted request is answered: normally until the answer limit, as failed at that limit;
 * from the last limit on the process stays for answers under way only, as {@link ShutdownHold} tells. And an
 * instance that was replaced serves again if its successor dies within the accept window; after that it has
 * closed the socket. A second end signal shortens the answer limit, counted from that signal.
 */
public final class InstanceLifecycle {

  /** Exit code of a graceful shutdown. */
  public static final int EXIT_ORDERLY = 0;
  /** Exit code if the instance could not start or continue. */
  public static final int EXIT_FAILURE = 1;
  /** Exit code if connections were left open when the process could stay no longer. */
  public static final int EXIT_UNREAD = 3;

  /** Interval of the checks for answers under way, in milliseconds. */
  private static final double HOLD_CHECK_MS = 50;

  /** Phase of an instance; OUT is READY but out of service by the fleet's decision, sending clients away. */
  public enum Phase { STARTING, WARMING, READY, OUT, DRAINING, ANSWERING, FAILING, STOPPED }

  /**
   * Time limits of a graceful shutdown, in milliseconds.
   *
   * @param acceptMs how long connections are still accepted after the end signal; at least 0
   * @param answerMs time after the end signal at which pending requests are answered as failed; at least
   *     acceptMs
   * @param hurriedMs the same, counted from a second signal; at least 0
   * @param lastMs how long after pending requests were answered as failed the process stays in any case;
   *     after that it stays for answers under way; at least 1
   */
  public record ShutdownLimits(double acceptMs, double answerMs, double hurriedMs, double lastMs) {

    /** Rejects limits out of range. */
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
  /** An end signal came before there was a socket; it takes effect when the socket is bound. */
  private boolean endRequested;
  /** Draining for a successor and not for a signal. */
  private boolean drainingForSuccessor;
  /** A successor accepts the connections. */
  private boolean successorAccepts;
  private boolean limitShortened;
  /** The fleet has taken this instance out of service. */
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

  /** Handles an event and returns the actions to perform, in order; {@code nowMs} never goes back. */
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
    } else if (event instanceof Woken woken) {
      onWoken(nowMs, woken, actions);
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

  /** Only when READY: while starting or ending the instance takes no clients; applied once READY again. */
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
          // So far draining for the successor only; the signal makes the end final and changes no limit yet.
          drainingForSuccessor = false;
        } else if (!limitShortened) {
          shortenLimit(now, actions);
        }
      }
    }
  }

  /** Drains an instance that was never ready: connections in the accept queue are accepted. */
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

  private void onWoken(double now, Woken woken, List<LifecycleAction> actions) {
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
      if (ShutdownHold.holds(now - lastUntil, woken.answersUnderWay())) {
        actions.add(new WakeAt(now + HOLD_CHECK_MS));
      } else {
        stop(EXIT_UNREAD, actions);
      }
    }
  }

  private void stop(int exitCode, List<LifecycleAction> actions) {
    phase = Phase.STOPPED;
    actions.add(new Close(exitCode));
  }
}
