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

/** Histories of an instance, and every short history there is. */
class InstanceLifeTest {

  private static final ShutdownLimits BOUNDS = new ShutdownLimits(500, 3_000, 200, 400);

  private final InstanceLifecycle life = new InstanceLifecycle(BOUNDS);

  private void then(double at, LifecycleEvent event, LifecycleAction... actions) {
    assertEquals(List.of(actions), life.on(at, event), () -> event + " at " + at + " in " + life.phase());
  }

  private void ready() {
    then(0, new SocketBound(), new WarmUp());
    then(700, new WarmUpEnded(), new Accept(), new AnnounceReady());
  }

  @Test
  void servesAndEndsInOrder() {
    ready();
    then(1_000, new EndSignal(), new BeginDrain(), new WakeAt(1_500));
    then(1_499, new Woken());
    then(1_500, new Woken(), new StopAccepting(), new WakeAt(4_000));
    then(2_000, new AllAnswered(), new Close(InstanceLifecycle.EXIT_ORDERLY));
    then(2_001, new EndSignal());
  }

  @Test
  void answersAsFailedAtTheBoundAndEndsWhenThatIsRead() {
    ready();
    then(1_000, new EndSignal(), new BeginDrain(), new WakeAt(1_500));
    then(1_500, new Woken(), new StopAccepting(), new WakeAt(4_000));
    then(3_999, new Woken());
    then(4_000, new Woken(), new FailPendingRequests(), new WakeAt(4_400));
    then(4_100, new AllAnswered(), new Close(InstanceLifecycle.EXIT_ORDERLY));
  }

  @Test
  void endsOverAClientThatReadsNothingByTheLastBound() {
    ready();
    then(1_000, new EndSignal(), new BeginDrain(), new WakeAt(1_500));
    then(1_500, new Woken(), new StopAccepting(), new WakeAt(4_000));
    then(4_000, new Woken(), new FailPendingRequests(), new WakeAt(4_400));
    then(4_399, new Woken());
    then(4_400, new Woken(), new Close(InstanceLifecycle.EXIT_UNREAD));
  }

  @Test
  void aSecondSignalShortensTheBoundInTheAcceptWindow() {
    ready();
    then(1_000, new EndSignal(), new BeginDrain(), new WakeAt(1_500));
    then(1_100, new EndSignal(), new WakeAt(1_300));
    then(1_200, new EndSignal());
    then(1_300, new Woken(), new StopAccepting(), new WakeAt(1_300), new FailPendingRequests(),
        new WakeAt(1_700));
  }

  @Test
  void aSecondSignalShortensTheBoundAfterTheAcceptWindowAndNeverLengthensIt() {
    ready();
    then(1_000, new EndSignal(), new BeginDrain(), new WakeAt(1_500));
    then(1_500, new Woken(), new StopAccepting(), new WakeAt(4_000));
    then(3_900, new EndSignal(), new WakeAt(4_000));
    then(4_000, new Woken(), new FailPendingRequests(), new WakeAt(4_400));
    then(4_001, new EndSignal());
  }

  @Test
  void goesOutAndComesBackAsTheFleetAgrees() {
    ready();
    then(1_000, new OutOfService(), new BeginDrain());
    then(1_001, new OutOfService());
    assertEquals(Phase.OUT, life.phase());
    then(2_000, new BackInService(), new Resume());
    then(2_001, new BackInService());
    assertEquals(Phase.READY, life.phase());
  }

  @Test
  void outItEndsAndIsReplacedAsOneThatIsReady() {
    ready();
    then(1_000, new OutOfService(), new BeginDrain());
    then(5_000, new SuccessorReady(), new LeaveSocketToSuccessor(), new BeginDrain(), new WakeAt(5_500));
    then(5_100, new SuccessorLost(), new Accept(), new Resume(), new BeginDrain());
    assertEquals(Phase.OUT, life.phase());
    then(6_000, new EndSignal(), new BeginDrain(), new WakeAt(6_500));
    then(6_100, new BackInService());
    assertEquals(Phase.DRAINING, life.phase());
  }

  /** It learnt so before it was ready: it never takes clients as one that is not out. */
  @Test
  void outBeforeItWasReady() {
    then(0, new SocketBound(), new WarmUp());
    then(100, new OutOfService());
    then(700, new WarmUpEnded(), new Accept(), new AnnounceReady(), new BeginDrain());
    then(800, new BackInService(), new Resume());
  }

  @Test
  void anEndBeforeTheSocketIsHeldStillServesWhatWaitsThere() {
    then(0, new EndSignal());
    then(10, new EndSignal());
    then(20, new SocketBound(), new Accept(), new BeginDrain(), new WakeAt(520));
    then(30, new WarmUpEnded());
    then(520, new Woken(), new StopAccepting(), new WakeAt(3_020));
  }

  @Test
  void anEndWhileWarmingStillServesWhatWaitsInTheQueue() {
    then(0, new SocketBound(), new WarmUp());
    then(100, new EndSignal(), new Accept(), new BeginDrain(), new WakeAt(600));
    then(700, new WarmUpEnded());
    assertEquals(Phase.DRAINING, life.phase());
  }

  @Test
  void leavesToASuccessorAndEnds() {
    ready();
    then(5_000, new SuccessorReady(), new LeaveSocketToSuccessor(), new BeginDrain(), new WakeAt(5_500));
    then(5_100, new SuccessorReady());
    then(5_500, new Woken(), new StopAccepting(), new WakeAt(8_000));
    then(5_600, new SuccessorLost());
    then(5_700, new AllAnswered(), new Close(InstanceLifecycle.EXIT_ORDERLY));
  }

  @Test
  void servesOnWhenTheSuccessorDiesRightAfterItWasReady() {
    ready();
    then(5_000, new SuccessorReady(), new LeaveSocketToSuccessor(), new BeginDrain(), new WakeAt(5_500));
    then(5_100, new SuccessorLost(), new Accept(), new Resume());
    then(5_500, new Woken());
    assertEquals(Phase.READY, life.phase());
    then(6_000, new SuccessorReady(), new LeaveSocketToSuccessor(), new BeginDrain(), new WakeAt(6_500));
  }

  @Test
  void aSignalDuringAReplacementIsFinalButConnectionsAreTakenIfTheSuccessorDies() {
    ready();
    then(5_000, new SuccessorReady(), new LeaveSocketToSuccessor(), new BeginDrain(), new WakeAt(5_500));
    then(5_050, new EndSignal());
    then(5_100, new SuccessorLost(), new Accept());
    assertEquals(Phase.DRAINING, life.phase());
    then(5_150, new EndSignal(), new WakeAt(5_350));
  }

  @Test
  void aSuccessorThatDiesBeforeItIsReadyChangesNothing() {
    ready();
    then(5_000, new SuccessorLost());
    assertEquals(Phase.READY, life.phase());
  }

  @Test
  void whatIsBrokenEndsAtOnceInAnyPhase() {
    then(0, new FatalError("address in use"), new Close(InstanceLifecycle.EXIT_FAILURE));
    then(1, new SocketBound());
  }

  @Test
  void eventsOutOfPlaceAreNothing() {
    then(0, new WarmUpEnded());
    then(0, new AllAnswered());
    then(0, new Woken());
    ready();
    then(800, new SocketBound());
    then(800, new WarmUpEnded());
    then(800, new AllAnswered());
    then(800, new Woken());
  }

  @Test
  void boundsThatCannotBeAreRefused() {
    assertThrows(IllegalArgumentException.class, () -> new ShutdownLimits(-1, 100, 0, 1));
    assertThrows(IllegalArgumentException.class, () -> new ShutdownLimits(200, 100, 0, 1));
    assertThrows(IllegalArgumentException.class, () -> new ShutdownLimits(0, Double.NaN, 0, 1));
    assertThrows(IllegalArgumentException.class, () -> new ShutdownLimits(0, Double.POSITIVE_INFINITY, 0, 1));
    assertThrows(IllegalArgumentException.class, () -> new ShutdownLimits(0, 1, 0, 0));
  }

  /** Every history of six events, 0 or 300 ms apart: seven kinds of events, 7.5 million histories. */
  @Test
  void inEveryShortHistoryTheSocketIsServedUntilItIsEndedAndTheEndComesOnce() {
    List<LifecycleEvent> events = List
        .of(new SocketBound(), new WarmUpEnded(), new EndSignal(), new SuccessorReady(),
        new SuccessorLost(), new AllAnswered(), new Woken());
    int[] history = new int[6];
    int all = events.size() * 2;
    long histories = 1;
    for (int i = 0; i < history.length; i++) {
      histories *= all;
    }
    for (long h = 0; h < histories; h++) {
      long rest = h;
      for (int i = 0; i < history.length; i++) {
        history[i] = (int) (rest % all);
        rest /= all;
      }
      play(history, events);
    }
  }

  private static void play(int[] history, List<LifecycleEvent> events) {
    InstanceLifecycle life = new InstanceLifecycle(BOUNDS);
    double now = 0;
    boolean accepting = false;
    boolean socketEnded = false;
    boolean left = false;
    boolean draining = false;
    int closes = 0;
    for (int step : history) {
      now += step % 2 == 0 ? 0 : 300;
      LifecycleEvent event = events.get(step / 2);
      for (LifecycleAction a : life.on(now, event)) {
        assertEquals(0, closes, () -> "after its end: " + told(history, events));
        if (a instanceof Accept) {
          assertTrue(!socketEnded, () -> "accepts on an ended socket: " + told(history, events));
          accepting = true;
          left = false;
        } else if (a instanceof LeaveSocketToSuccessor) {
          assertTrue(accepting, () -> told(history, events));
          left = true;
        } else if (a instanceof StopAccepting) {
          assertTrue(draining && !socketEnded, () -> told(history, events));
          socketEnded = true;
        } else if (a instanceof BeginDrain) {
          assertTrue(!draining, () -> told(history, events));
          draining = true;
        } else if (a instanceof Resume) {
          assertTrue(draining && accepting, () -> told(history, events));
          draining = false;
        } else if (a instanceof FailPendingRequests) {
          assertTrue(socketEnded, () -> told(history, events));
        } else if (a instanceof Close) {
          assertTrue(socketEnded, () -> "ends with its socket open: " + told(history, events));
          closes++;
        }
      }
      boolean serving = accepting && !socketEnded && !left;
      assertTrue(life.phase() != Phase.READY || serving && !draining, () -> told(history, events));
    }
  }

  private static String told(int[] history, List<LifecycleEvent> events) {
    List<String> steps = new ArrayList<>();
    for (int step : history) {
      steps.add((step % 2 == 0 ? "" : "300 ms, ") + events.get(step / 2));
    }
    return steps.toString();
  }
}
