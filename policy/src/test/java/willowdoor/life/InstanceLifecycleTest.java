package willowdoor.life;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import willowdoor.life.InstanceLifecycle.ShutdownLimits;
import willowdoor.life.InstanceLifecycle.Phase;
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

/** Single histories of an instance, and all short histories. */
class InstanceLifecycleTest {

  private static final ShutdownLimits LIMITS = new ShutdownLimits(500, 3_000, 200, 400);

  private final InstanceLifecycle lifecycle = new InstanceLifecycle(LIMITS);

  private void assertActions(double atMs, LifecycleEvent event, LifecycleAction... actions) {
    assertEquals(List.of(actions), lifecycle.on(atMs, event), () -> event + " at " + atMs + " in "
        + lifecycle.phase());
  }

  private void becomeReady() {
    assertActions(0, new SocketBound(), new WarmUp());
    assertActions(700, new WarmUpEnded(), new Accept(), new AnnounceReady());
  }

  @Test
  void servesAndShutsDownGracefully() {
    becomeReady();
    assertActions(1_000, new EndSignal(), new BeginDrain(), new WakeAt(1_500));
    assertActions(1_499, new Woken(false));
    assertActions(1_500, new Woken(false), new StopAccepting(), new WakeAt(4_000));
    assertActions(2_000, new AllAnswered(), new Close(InstanceLifecycle.EXIT_ORDERLY));
    assertActions(2_001, new EndSignal());
  }

  @Test
  void failsPendingRequestsAtTheAnswerLimitAndEndsOnceTheAnswersAreRead() {
    becomeReady();
    assertActions(1_000, new EndSignal(), new BeginDrain(), new WakeAt(1_500));
    assertActions(1_500, new Woken(false), new StopAccepting(), new WakeAt(4_000));
    assertActions(3_999, new Woken(false));
    assertActions(4_000, new Woken(false), new FailPendingRequests(), new WakeAt(4_400));
    assertActions(4_100, new AllAnswered(), new Close(InstanceLifecycle.EXIT_ORDERLY));
  }

  @Test
  void endsAtTheLastLimitIfAClientReadsNothing() {
    becomeReady();
    assertActions(1_000, new EndSignal(), new BeginDrain(), new WakeAt(1_500));
    assertActions(1_500, new Woken(false), new StopAccepting(), new WakeAt(4_000));
    assertActions(4_000, new Woken(false), new FailPendingRequests(), new WakeAt(4_400));
    assertActions(4_399, new Woken(false));
    assertActions(4_400, new Woken(false), new Close(InstanceLifecycle.EXIT_UNREAD));
  }

  /** Guards against a stop that cuts off answers which still make progress. */
  @Test
  void staysForAnswersUnderWayAfterTheLastLimitAndEndsOnceTheyHaveEnded() {
    becomeReady();
    assertActions(1_000, new EndSignal(), new BeginDrain(), new WakeAt(1_500));
    assertActions(1_500, new Woken(true), new StopAccepting(), new WakeAt(4_000));
    assertActions(4_000, new Woken(true), new FailPendingRequests(), new WakeAt(4_400));
    assertActions(4_400, new Woken(true), new WakeAt(4_450));
    assertActions(9_000, new EndSignal());
    assertActions(9_000, new Woken(true), new WakeAt(9_050));
    assertActions(9_040, new AllAnswered(), new Close(InstanceLifecycle.EXIT_ORDERLY));
  }

  @Test
  void staysForAnswersUnderWayUntilTheLimitOfTheHold() {
    becomeReady();
    assertActions(1_000, new EndSignal(), new BeginDrain(), new WakeAt(1_500));
    assertActions(1_500, new Woken(true), new StopAccepting(), new WakeAt(4_000));
    assertActions(4_000, new Woken(true), new FailPendingRequests(), new WakeAt(4_400));
    assertActions(4_399 + ShutdownHold.MAX_HOLD_MS, new Woken(true),
        new WakeAt(4_449 + ShutdownHold.MAX_HOLD_MS));
    assertActions(4_400 + ShutdownHold.MAX_HOLD_MS, new Woken(true),
        new Close(InstanceLifecycle.EXIT_UNREAD));
  }

  @Test
  void aSecondSignalWithinTheAcceptWindowShortensTheLimit() {
    becomeReady();
    assertActions(1_000, new EndSignal(), new BeginDrain(), new WakeAt(1_500));
    assertActions(1_100, new EndSignal(), new WakeAt(1_300));
    assertActions(1_200, new EndSignal());
    assertActions(1_300, new Woken(false), new StopAccepting(), new WakeAt(1_300), new FailPendingRequests(),
        new WakeAt(1_700));
  }

  @Test
  void aSecondSignalAfterTheAcceptWindowNeverLengthensTheLimit() {
    becomeReady();
    assertActions(1_000, new EndSignal(), new BeginDrain(), new WakeAt(1_500));
    assertActions(1_500, new Woken(false), new StopAccepting(), new WakeAt(4_000));
    assertActions(3_900, new EndSignal(), new WakeAt(4_000));
    assertActions(4_000, new Woken(false), new FailPendingRequests(), new WakeAt(4_400));
    assertActions(4_001, new EndSignal());
  }

  @Test
  void goesOutOfServiceAndBackAsTheFleetDecides() {
    becomeReady();
    assertActions(1_000, new OutOfService(), new BeginDrain());
    assertActions(1_001, new OutOfService());
    assertEquals(Phase.OUT, lifecycle.phase());
    assertActions(2_000, new BackInService(), new Resume());
    assertActions(2_001, new BackInService());
    assertEquals(Phase.READY, lifecycle.phase());
  }

  @Test
  void whileOutOfServiceItEndsAndIsReplacedAsWhenReady() {
    becomeReady();
    assertActions(1_000, new OutOfService(), new BeginDrain());
    assertActions(5_000, new SuccessorReady(), new LeaveSocketToSuccessor(), new BeginDrain(),
        new WakeAt(5_500));
    assertActions(5_100, new SuccessorLost(), new Accept(), new Resume(), new BeginDrain());
    assertEquals(Phase.OUT, lifecycle.phase());
    assertActions(6_000, new EndSignal(), new BeginDrain(), new WakeAt(6_500));
    assertActions(6_100, new BackInService());
    assertEquals(Phase.DRAINING, lifecycle.phase());
  }

  /** Taken out of service before it was ready: it never takes clients as if it were in service. */
  @Test
  void outOfServiceBeforeItWasReady() {
    assertActions(0, new SocketBound(), new WarmUp());
    assertActions(100, new OutOfService());
    assertActions(700, new WarmUpEnded(), new Accept(), new AnnounceReady(), new BeginDrain());
    assertActions(800, new BackInService(), new Resume());
  }

  @Test
  void anEndSignalBeforeTheSocketIsBoundStillServesTheAcceptQueue() {
    assertActions(0, new EndSignal());
    assertActions(10, new EndSignal());
    assertActions(20, new SocketBound(), new Accept(), new BeginDrain(), new WakeAt(520));
    assertActions(30, new WarmUpEnded());
    assertActions(520, new Woken(false), new StopAccepting(), new WakeAt(3_020));
  }

  @Test
  void anEndSignalDuringWarmUpStillServesTheAcceptQueue() {
    assertActions(0, new SocketBound(), new WarmUp());
    assertActions(100, new EndSignal(), new Accept(), new BeginDrain(), new WakeAt(600));
    assertActions(700, new WarmUpEnded());
    assertEquals(Phase.DRAINING, lifecycle.phase());
  }

  @Test
  void leavesTheSocketToASuccessorAndEnds() {
    becomeReady();
    assertActions(5_000, new SuccessorReady(), new LeaveSocketToSuccessor(), new BeginDrain(),
        new WakeAt(5_500));
    assertActions(5_100, new SuccessorReady());
    assertActions(5_500, new Woken(false), new StopAccepting(), new WakeAt(8_000));
    assertActions(5_600, new SuccessorLost());
    assertActions(5_700, new AllAnswered(), new Close(InstanceLifecycle.EXIT_ORDERLY));
  }

  @Test
  void servesAgainWhenTheSuccessorDiesWithinTheAcceptWindow() {
    becomeReady();
    assertActions(5_000, new SuccessorReady(), new LeaveSocketToSuccessor(), new BeginDrain(),
        new WakeAt(5_500));
    assertActions(5_100, new SuccessorLost(), new Accept(), new Resume());
    assertActions(5_500, new Woken(false));
    assertEquals(Phase.READY, lifecycle.phase());
    assertActions(6_000, new SuccessorReady(), new LeaveSocketToSuccessor(), new BeginDrain(),
        new WakeAt(6_500));
  }

  @Test
  void aSignalDuringAReplacementIsFinalButConnectionsAreTakenIfTheSuccessorDies() {
    becomeReady();
    assertActions(5_000, new SuccessorReady(), new LeaveSocketToSuccessor(), new BeginDrain(),
        new WakeAt(5_500));
    assertActions(5_050, new EndSignal());
    assertActions(5_100, new SuccessorLost(), new Accept());
    assertEquals(Phase.DRAINING, lifecycle.phase());
    assertActions(5_150, new EndSignal(), new WakeAt(5_350));
  }

  @Test
  void aSuccessorThatDiesBeforeItIsReadyChangesNothing() {
    becomeReady();
    assertActions(5_000, new SuccessorLost());
    assertEquals(Phase.READY, lifecycle.phase());
  }

  @Test
  void aFatalErrorEndsTheInstanceAtOnce() {
    assertActions(0, new FatalError("address in use"), new Close(InstanceLifecycle.EXIT_FAILURE));
    assertActions(1, new SocketBound());
  }

  @Test
  void unexpectedEventsAreIgnored() {
    assertActions(0, new WarmUpEnded());
    assertActions(0, new AllAnswered());
    assertActions(0, new Woken(false));
    becomeReady();
    assertActions(800, new SocketBound());
    assertActions(800, new WarmUpEnded());
    assertActions(800, new AllAnswered());
    assertActions(800, new Woken(false));
  }

  @Test
  void invalidLimitsAreRejected() {
    assertThrows(IllegalArgumentException.class, () -> new ShutdownLimits(-1, 100, 0, 1));
    assertThrows(IllegalArgumentException.class, () -> new ShutdownLimits(200, 100, 0, 1));
    assertThrows(IllegalArgumentException.class, () -> new ShutdownLimits(0, Double.NaN, 0, 1));
    assertThrows(IllegalArgumentException.class, () -> new ShutdownLimits(0, Double.POSITIVE_INFINITY, 0, 1));
    assertThrows(IllegalArgumentException.class, () -> new ShutdownLimits(0, 1, 0, 0));
  }

  /** All histories of six events, 0 or 300 ms apart, of seven kinds: 7.5 million histories. */
  @Test
  void inEveryShortHistoryTheSocketIsServedUntilItsEndAndTheEndComesOnce() {
    List<LifecycleEvent> events = List.of(new SocketBound(), new WarmUpEnded(), new EndSignal(),
        new SuccessorReady(),
        new SuccessorLost(), new AllAnswered(), new Woken(false));
    int[] history = new int[6];
    int choices = events.size() * 2;
    long histories = 1;
    for (int i = 0; i < history.length; i++) {
      histories *= choices;
    }
    for (long number = 0; number < histories; number++) {
      long remaining = number;
      for (int i = 0; i < history.length; i++) {
        history[i] = (int) (remaining % choices);
        remaining /= choices;
      }
      play(history, events);
    }
  }

  private static void play(int[] history, List<LifecycleEvent> events) {
    InstanceLifecycle lifecycle = new InstanceLifecycle(LIMITS);
    double now = 0;
    boolean accepting = false;
    boolean socketClosed = false;
    boolean leftToSuccessor = false;
    boolean draining = false;
    int closes = 0;
    for (int step : history) {
      now += step % 2 == 0 ? 0 : 300;
      LifecycleEvent event = events.get(step / 2);
      for (LifecycleAction a : lifecycle.on(now, event)) {
        assertEquals(0, closes, () -> "action after the end: " + describe(history, events));
        if (a instanceof Accept) {
          assertTrue(!socketClosed, () -> "accepts on a closed socket: " + describe(history, events));
          accepting = true;
          leftToSuccessor = false;
        } else if (a instanceof LeaveSocketToSuccessor) {
          assertTrue(accepting, () -> describe(history, events));
          leftToSuccessor = true;
        } else if (a instanceof StopAccepting) {
          assertTrue(draining && !socketClosed, () -> describe(history, events));
          socketClosed = true;
        } else if (a instanceof BeginDrain) {
          assertTrue(!draining, () -> describe(history, events));
          draining = true;
        } else if (a instanceof Resume) {
          assertTrue(draining && accepting, () -> describe(history, events));
          draining = false;
        } else if (a instanceof FailPendingRequests) {
          assertTrue(socketClosed, () -> describe(history, events));
        } else if (a instanceof Close) {
          assertTrue(socketClosed, () -> "ends with its socket open: " + describe(history, events));
          closes++;
        }
      }
      boolean serving = accepting && !socketClosed && !leftToSuccessor;
      assertTrue(lifecycle.phase() != Phase.READY || serving && !draining, () -> describe(history, events));
    }
  }

  private static String describe(int[] history, List<LifecycleEvent> events) {
    List<String> steps = new ArrayList<>();
    for (int step : history) {
      steps.add((step % 2 == 0 ? "" : "300 ms, ") + events.get(step / 2));
    }
    return steps.toString();
  }
}
