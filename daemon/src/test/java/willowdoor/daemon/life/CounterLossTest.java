package willowdoor.daemon.life;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import willowdoor.testkit.EventHistory.Kind;
import willowdoor.testkit.RequestKind;
import willowdoor.testkit.StandInCounter;

/** Loss of, and faults in, the shared counter of a daemon, over real sockets. */
@Timeout(60)
class CounterLossTest {

  private static final String FIRM = Long.toString(0x42, 36);
  private static final int REQUESTS = 8;
  private static final int TRIALS = 12;

  private DaemonFixture fixture;
  private Daemon daemon;
  private DaemonFixture.Caller caller;
  private int number;
  private int served;

  /** Starts one of forty configured doors, so that the window is counted only by its total. */
  @BeforeEach
  void open() throws Exception {
    fixture = new DaemonFixture(2, 5);
    fixture.rig.backendPool().chargeNamedUnits();
    daemon = fixture.createDaemon(new InetSocketAddress("127.0.0.1", 0), "[end]\naccept_ms = 150\n",
        text -> text.replace("doors = 1\n", "doors = 40\n")).start(false);
    DaemonFixture.awaitUp(daemon.address());
    caller = fixture.new Caller(daemon.address(), "d0");
  }

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  private int ask() throws Exception {
    String id = "r" + number++;
    caller.sendRaw(caller.requestText(id, RequestKind.BUY, 2_000).replace("spread=1", "spread=40"));
    fixture.rig.eventHistory().addRequestEntry(Kind.ASKED, id, "d0", 0, "");
    return caller.receiveStatus(id);
  }

  /**
   * Sends some requests and replaces the counter. Returns whether all of their adds were restored at the new
   * counter without further requests.
   */
  private boolean isRestoredAt(Runnable replace) throws Exception {
    for (int i = 0; i < REQUESTS; i++) {
      assertEquals(200, ask());
    }
    double before = fixture.rig.counter().total(FIRM);
    fixture.rig.counter().stop();
    replace.run();
    double limit = fixture.rig.eventHistory().now() + 700;
    while (fixture.rig.eventHistory().now() < limit) {
      if (before >= REQUESTS && fixture.rig.counter().total(FIRM) >= REQUESTS) {
        return true;
      }
      Thread.onSpinWait();
    }
    return false;
  }

  /**
   * Repeats the trial until one succeeds. A window lasts 2 s, and a trial that crosses the edge of a window
   * has nothing to restore.
   */
  private void assertRestoredInSomeTrial(Runnable replace) throws Exception {
    for (int i = 0; i < TRIALS; i++) {
      if (isRestoredAt(replace)) {
        assertTrue(fixture.verdict().passed(), () -> fixture.verdict().toString());
        return;
      }
    }
    throw new AssertionError("nothing was restored in " + TRIALS + " trials");
  }

  @Test
  void addsOfTheDoorAreRestoredAtAnEmptyCounter() throws Exception {
    assertRestoredInSomeTrial(() -> fixture.rig.counter().restartEmpty());
  }

  /** The copy was made before the trial, so it lacks the adds of the trial and the checks since then. */
  @Test
  void addsThatAnOldCopyLacksAreRestored() throws Exception {
    fixture.rig.counter().keepCopy();
    assertRestoredInSomeTrial(() -> fixture.rig.counter().restartWithCopy());
  }

  private interface FaultSwitch {
    void of(StandInCounter counter, boolean on);
  }

  /**
   * Checks that every served unit is counted, and no request twice. A lower count would give quota away. The
   * count may include refused requests, because their units were added as well.
   */
  private void assertServedUnitsCountOnce(FaultSwitch mood) throws Exception {
    DaemonFixture.await("counter used", () -> isServed() && fixture.rig.counter().added(FIRM) > 0);
    mood.of(fixture.rig.counter(), true);
    for (int i = 0; i < 3 * REQUESTS; i++) {
      served += ask() == 200 ? 1 : 0;
    }
    mood.of(fixture.rig.counter(), false);
    double before = fixture.rig.counter().added(FIRM);
    DaemonFixture.await("counter used again", () -> isServed() && fixture.rig.counter().added(FIRM) > before);
    DaemonFixture.await("all served units counted", () -> isServed()
        && fixture.rig.counter().added(FIRM) >= served - 1e-6);
    double added = fixture.rig.counter().added(FIRM);
    assertTrue(added <= number + 1e-6, () -> added + " added, " + number + " asked, " + served + " served");
    assertTrue(fixture.verdict().passed(), () -> fixture.verdict().toString());
  }

  private boolean isServed() {
    try {
      boolean ok = ask() == 200;
      served += ok ? 1 : 0;
      return ok;
    } catch (Exception e) {
      throw new AssertionError(e);
    }
  }

  @Test
  void addsWhoseAnswersAreLostCountOnce() throws Exception {
    assertServedUnitsCountOnce(StandInCounter::loseAnswers);
  }

  @Test
  void addsWhoseConnectionsAreResetCountOnce() throws Exception {
    assertServedUnitsCountOnce(StandInCounter::reset);
  }

  /**
   * A surplus answer shifts the order of answers: each later answer on that connection would be taken for the
   * answer to another call.
   */
  @Test
  void addsThatAreAnsweredTwiceCountOnce() throws Exception {
    assertServedUnitsCountOnce(StandInCounter::answerTwice);
  }

  @Test
  void addsThatAreAnsweredAfterTheTimeoutCountOnce() throws Exception {
    assertServedUnitsCountOnce((counter, on) -> counter.delay(on ? 90 : 1));
  }

  /** The counter handles 20 calls per second, one after another, so that calls queue up. */
  @Test
  void queuedAddsCountOnce() throws Exception {
    assertServedUnitsCountOnce((counter, on) -> counter.limitRate(on ? 20 : Double.POSITIVE_INFINITY));
  }

  @Test
  void anUnreachableCounterGetsNoAddTwice() throws Exception {
    for (int i = 0; i < REQUESTS; i++) {
      assertEquals(200, ask());
    }
    double added = fixture.rig.counter().added(FIRM);
    fixture.rig.counter().stop();
    fixture.rig.counter().restart();
    DaemonFixture.await("counter used again", () -> {
      try {
        return ask() == 200 && fixture.rig.counter().added(FIRM) > added;
      } catch (Exception e) {
        throw new AssertionError(e);
      }
    });
    assertTrue(fixture.rig.counter().added(FIRM) <= number + 1e-6, () -> fixture.rig.counter().added(FIRM)
        + " of "
        + number);
  }
}
