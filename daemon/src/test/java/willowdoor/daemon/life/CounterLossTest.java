package willowdoor.daemon.life;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import willowdoor.testkit.Ledger.Kind;
import willowdoor.testkit.RequestKind;
import willowdoor.testkit.StandInCounter;

/** A daemon whose counter is lost, over real sockets. */
@Timeout(60)
class CounterLossTest {

  private static final String FIRM = Long.toString(0x42, 36);
  private static final int ASKED = 8;
  private static final int TRIALS = 12;

  private World world;
  private Daemon daemon;
  private World.Caller caller;
  private int number;
  private int served;

  /** One of forty doors, so that a window is counted by its total alone. */
  @BeforeEach
  void open() throws Exception {
    world = new World(2, 5);
    world.rig.park().exact();
    daemon = world.daemon(new InetSocketAddress("127.0.0.1", 0), "[end]\naccept_ms = 150\n",
        text -> text.replace("doors = 1\n", "doors = 40\n")).start(false);
    World.awaitUp(daemon.address());
    caller = world.new Caller(daemon.address(), "d0");
  }

  @AfterEach
  void close() throws Exception {
    world.close();
  }

  private int ask() throws Exception {
    String id = "r" + number++;
    caller.raw(caller.message(id, RequestKind.BUY, 2_000).replace("spread=1", "spread=40"));
    world.rig.ledger().request(Kind.ASKED, id, "d0", 0, "");
    return caller.receive(id);
  }

  /** Asks some, has the counter replaced, and tells whether all came to stand at the new one unasked. */
  private boolean putBack(Runnable replace) throws Exception {
    for (int i = 0; i < ASKED; i++) {
      assertEquals(200, ask());
    }
    double before = world.rig.counter().total(FIRM);
    world.rig.counter().lose();
    replace.run();
    double limit = world.rig.ledger().now() + 700;
    while (world.rig.ledger().now() < limit) {
      if (before >= ASKED && world.rig.counter().total(FIRM) >= ASKED) {
        return true;
      }
      Thread.onSpinWait();
    }
    return false;
  }

  /** A window is 2 s long: a trial that its edge meets has nothing to put back, so there are some. */
  private void putBackInAnyTrial(Runnable replace) throws Exception {
    for (int i = 0; i < TRIALS; i++) {
      if (putBack(replace)) {
        assertTrue(world.verdict().kept(), () -> world.verdict().toString());
        return;
      }
    }
    throw new AssertionError("nothing was put back in " + TRIALS + " trials");
  }

  @Test
  void whatTheDoorHadAddedIsPutBackAtAnEmptyCounter() throws Exception {
    putBackInAnyTrial(() -> world.rig.counter().comeBackEmpty());
  }

  /** The copy is of before the trial, so it lacks what the trial added, and the checks since. */
  @Test
  void whatAnOldCopyLacksIsPutBack() throws Exception {
    world.rig.counter().keepCopy();
    putBackInAnyTrial(() -> world.rig.counter().comeBackWithCopy());
  }

  private interface Mood {
    void of(StandInCounter counter, boolean on);
  }

  /** What is served counts once: less would be a gift, and what was refused may be in it, as it was added. */
  private void countsAllThatWasServed(Mood mood) throws Exception {
    World.await("counter used", () -> asked200() && world.rig.counter().added(FIRM) > 0);
    mood.of(world.rig.counter(), true);
    for (int i = 0; i < 3 * ASKED; i++) {
      served += ask() == 200 ? 1 : 0;
    }
    mood.of(world.rig.counter(), false);
    double before = world.rig.counter().added(FIRM);
    World.await("counter used again", () -> asked200() && world.rig.counter().added(FIRM) > before);
    World.await("all of it counted", () -> asked200() && world.rig.counter().added(FIRM) >= served - 1e-6);
    double added = world.rig.counter().added(FIRM);
    assertTrue(added <= number + 1e-6, () -> added + " added, " + number + " asked, " + served + " served");
    assertTrue(world.verdict().kept(), () -> world.verdict().toString());
  }

  private boolean asked200() {
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
    countsAllThatWasServed(StandInCounter::loseAnswers);
  }

  @Test
  void soDoAddsWhoseConnectionsAreReset() throws Exception {
    countsAllThatWasServed(StandInCounter::reset);
  }

  /** An answer too many is out of step: all that follows on its connection would be another call's. */
  @Test
  void soDoAddsThatAreAnsweredTwice() throws Exception {
    countsAllThatWasServed(StandInCounter::answerTwice);
  }

  @Test
  void soDoAddsThatAreAnsweredBeyondTheLimit() throws Exception {
    countsAllThatWasServed((counter, on) -> counter.delay(on ? 90 : 1));
  }

  /** Two calls a second, and a queue before them. */
  @Test
  void soDoAddsThatWaitForTheirTurn() throws Exception {
    countsAllThatWasServed((counter, on) -> counter.rate(on ? 20 : Double.POSITIVE_INFINITY));
  }

  @Test
  void theSameCounterThatWasOnlyUnreachableGetsNothingTwice() throws Exception {
    for (int i = 0; i < ASKED; i++) {
      assertEquals(200, ask());
    }
    double added = world.rig.counter().added(FIRM);
    world.rig.counter().lose();
    world.rig.counter().comeBack();
    World.await("counter used again", () -> {
      try {
        return ask() == 200 && world.rig.counter().added(FIRM) > added;
      } catch (Exception e) {
        throw new AssertionError(e);
      }
    });
    assertTrue(world.rig.counter().added(FIRM) <= number + 1e-6, () -> world.rig.counter().added(FIRM)
        + " of "
        + number);
  }
}
