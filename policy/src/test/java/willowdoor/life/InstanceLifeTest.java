package willowdoor.life;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import willowdoor.life.InstanceLife.Bounds;
import willowdoor.life.InstanceLife.Phase;
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

/** Histories of an instance, and every short history there is. */
class InstanceLifeTest {

  private static final Bounds BOUNDS = new Bounds(500, 3_000, 200, 400);

  private final InstanceLife life = new InstanceLife(BOUNDS);

  private void then(double at, LifeEvent event, LifeAction... actions) {
    assertEquals(List.of(actions), life.on(at, event), () -> event + " at " + at + " in " + life.phase());
  }

  private void ready() {
    then(0, new Bound(), new WarmUp());
    then(700, new Warmed(), new Accept(), new BeFound());
  }

  @Test
  void servesAndEndsInOrder() {
    ready();
    then(1_000, new EndSignal(), new BeginDrain(), new WakeAt(1_500));
    then(1_499, new Woken());
    then(1_500, new Woken(), new StopAccepting(), new WakeAt(4_000));
    then(2_000, new AllAnswered(), new Close(InstanceLife.EXIT_ORDERLY));
    then(2_001, new EndSignal());
  }

  @Test
  void answersAsFailedAtTheBoundAndEndsWhenThatIsRead() {
    ready();
    then(1_000, new EndSignal(), new BeginDrain(), new WakeAt(1_500));
    then(1_500, new Woken(), new StopAccepting(), new WakeAt(4_000));
    then(3_999, new Woken());
    then(4_000, new Woken(), new FailAll(), new WakeAt(4_400));
    then(4_100, new AllAnswered(), new Close(InstanceLife.EXIT_ORDERLY));
  }

  @Test
  void endsOverAClientThatReadsNothingByTheLastBound() {
    ready();
    then(1_000, new EndSignal(), new BeginDrain(), new WakeAt(1_500));
    then(1_500, new Woken(), new StopAccepting(), new WakeAt(4_000));
    then(4_000, new Woken(), new FailAll(), new WakeAt(4_400));
    then(4_399, new Woken());
    then(4_400, new Woken(), new Close(InstanceLife.EXIT_UNREAD));
  }

  @Test
  void aSecondSignalShortensTheBoundInTheAcceptWindow() {
    ready();
    then(1_000, new EndSignal(), new BeginDrain(), new WakeAt(1_500));
    then(1_100, new EndSignal(), new WakeAt(1_300));
    then(1_200, new EndSignal());
    then(1_300, new Woken(), new StopAccepting(), new WakeAt(1_300), new FailAll(), new WakeAt(1_700));
  }

  @Test
  void aSecondSignalShortensTheBoundAfterTheAcceptWindowAndNeverLengthensIt() {
    ready();
    then(1_000, new EndSignal(), new BeginDrain(), new WakeAt(1_500));
    then(1_500, new Woken(), new StopAccepting(), new WakeAt(4_000));
    then(3_900, new EndSignal(), new WakeAt(4_000));
    then(4_000, new Woken(), new FailAll(), new WakeAt(4_400));
    then(4_001, new EndSignal());
  }

  @Test
  void goesOutAndComesBackAsTheFleetAgrees() {
    ready();
    then(1_000, new GoOut(), new BeginDrain());
    then(1_001, new GoOut());
    assertEquals(Phase.OUT, life.phase());
    then(2_000, new ComeBack(), new Resume());
    then(2_001, new ComeBack());
    assertEquals(Phase.READY, life.phase());
  }

  @Test
  void outItEndsAndIsReplacedAsOneThatIsReady() {
    ready();
    then(1_000, new GoOut(), new BeginDrain());
    then(5_000, new SuccessorReady(), new LeaveListening(), new BeginDrain(), new WakeAt(5_500));
    then(5_100, new SuccessorLost(), new Accept(), new Resume(), new BeginDrain());
    assertEquals(Phase.OUT, life.phase());
    then(6_000, new EndSignal(), new BeginDrain(), new WakeAt(6_500));
    then(6_100, new ComeBack());
    assertEquals(Phase.DRAINING, life.phase());
  }

  /** It learnt so before it was ready: it never takes clients as one that is not out. */
  @Test
  void outBeforeItWasReady() {
    then(0, new Bound(), new WarmUp());
    then(100, new GoOut());
    then(700, new Warmed(), new Accept(), new BeFound(), new BeginDrain());
    then(800, new ComeBack(), new Resume());
  }

  @Test
  void anEndBeforeTheSocketIsHeldStillServesWhatWaitsThere() {
    then(0, new EndSignal());
    then(10, new EndSignal());
    then(20, new Bound(), new Accept(), new BeginDrain(), new WakeAt(520));
    then(30, new Warmed());
    then(520, new Woken(), new StopAccepting(), new WakeAt(3_020));
  }

  @Test
  void anEndWhileWarmingStillServesWhatWaitsInTheQueue() {
    then(0, new Bound(), new WarmUp());
    then(100, new EndSignal(), new Accept(), new BeginDrain(), new WakeAt(600));
    then(700, new Warmed());
    assertEquals(Phase.DRAINING, life.phase());
  }

  @Test
  void leavesToASuccessorAndEnds() {
    ready();
    then(5_000, new SuccessorReady(), new LeaveListening(), new BeginDrain(), new WakeAt(5_500));
    then(5_100, new SuccessorReady());
    then(5_500, new Woken(), new StopAccepting(), new WakeAt(8_000));
    then(5_600, new SuccessorLost());
    then(5_700, new AllAnswered(), new Close(InstanceLife.EXIT_ORDERLY));
  }

  @Test
  void servesOnWhenTheSuccessorDiesRightAfterItWasReady() {
    ready();
    then(5_000, new SuccessorReady(), new LeaveListening(), new BeginDrain(), new WakeAt(5_500));
    then(5_100, new SuccessorLost(), new Accept(), new Resume());
    then(5_500, new Woken());
    assertEquals(Phase.READY, life.phase());
    then(6_000, new SuccessorReady(), new LeaveListening(), new BeginDrain(), new WakeAt(6_500));
  }

  @Test
  void aSignalDuringAReplacementIsFinalButConnectionsAreTakenIfTheSuccessorDies() {
    ready();
    then(5_000, new SuccessorReady(), new LeaveListening(), new BeginDrain(), new WakeAt(5_500));
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
    then(0, new Broken("address in use"), new Close(InstanceLife.EXIT_BROKEN));
    then(1, new Bound());
  }

  @Test
  void eventsOutOfPlaceAreNothing() {
    then(0, new Warmed());
    then(0, new AllAnswered());
    then(0, new Woken());
    ready();
    then(800, new Bound());
    then(800, new Warmed());
    then(800, new AllAnswered());
    then(800, new Woken());
  }

  @Test
  void boundsThatCannotBeAreRefused() {
    assertThrows(IllegalArgumentException.class, () -> new Bounds(-1, 100, 0, 1));
    assertThrows(IllegalArgumentException.class, () -> new Bounds(200, 100, 0, 1));
    assertThrows(IllegalArgumentException.class, () -> new Bounds(0, Double.NaN, 0, 1));
    assertThrows(IllegalArgumentException.class, () -> new Bounds(0, Double.POSITIVE_INFINITY, 0, 1));
    assertThrows(IllegalArgumentException.class, () -> new Bounds(0, 1, 0, 0));
  }

  /** Every history of six events, 0 or 300 ms apart: seven kinds of events, 7.5 million histories. */
  @Test
  void inEveryShortHistoryTheSocketIsServedUntilItIsEndedAndTheEndComesOnce() {
    List<LifeEvent> events = List.of(new Bound(), new Warmed(), new EndSignal(), new SuccessorReady(),
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

  private static void play(int[] history, List<LifeEvent> events) {
    InstanceLife life = new InstanceLife(BOUNDS);
    double now = 0;
    boolean accepting = false;
    boolean socketEnded = false;
    boolean left = false;
    boolean draining = false;
    int closes = 0;
    for (int step : history) {
      now += step % 2 == 0 ? 0 : 300;
      LifeEvent event = events.get(step / 2);
      for (LifeAction a : life.on(now, event)) {
        assertEquals(0, closes, () -> "after its end: " + told(history, events));
        if (a instanceof Accept) {
          assertTrue(!socketEnded, () -> "accepts on an ended socket: " + told(history, events));
          accepting = true;
          left = false;
        } else if (a instanceof LeaveListening) {
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
        } else if (a instanceof FailAll) {
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

  private static String told(int[] history, List<LifeEvent> events) {
    List<String> steps = new ArrayList<>();
    for (int step : history) {
      steps.add((step % 2 == 0 ? "" : "300 ms, ") + events.get(step / 2));
    }
    return steps.toString();
  }
}
