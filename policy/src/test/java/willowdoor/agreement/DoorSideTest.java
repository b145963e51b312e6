package willowdoor.agreement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import willowdoor.agreement.Command.Beat;
import willowdoor.agreement.Command.Report;
import willowdoor.agreement.Command.Doing;
import willowdoor.agreement.DoorAction.Drain;
import willowdoor.agreement.DoorAction.PutBack;
import willowdoor.agreement.DoorAction.Remember;
import willowdoor.agreement.DoorAction.Replace;
import willowdoor.agreement.DoorAction.SendAsk;
import willowdoor.agreement.DoorAction.SendBeat;
import willowdoor.agreement.DoorAction.SendJoin;
import willowdoor.agreement.DoorAction.TakeOut;
import willowdoor.agreement.DoorAction.Tell;
import willowdoor.agreement.DoorAction.Undrain;
import willowdoor.agreement.DoorAction.Told;
import willowdoor.agreement.DoorAction.WakeAt;
import willowdoor.agreement.DoorEvent.Answered;
import willowdoor.agreement.DoorEvent.Asked;
import willowdoor.agreement.DoorEvent.Does;
import willowdoor.agreement.DoorEvent.CameToNothing;
import willowdoor.agreement.DoorEvent.Counted;
import willowdoor.agreement.DoorEvent.LetGo;
import willowdoor.agreement.DoorEvent.Said;
import willowdoor.agreement.DoorEvent.Woken;
import willowdoor.agreement.Outcome.Granted;
import willowdoor.agreement.Outcome.Refused;
import willowdoor.agreement.Permit.Stage;
import willowdoor.agreement.Subject.Kind;
import willowdoor.rollout.Tally;

class DoorSideTest {

  private final DoorSide side = new DoorSide("d1", "x", 0, Map.of(), "1.0", 0);
  private final Subject own = new Subject(Kind.DOOR, "d1");
  private final Subject backend = new Subject(Kind.BACKEND, "b1");
  private double now = 1_000;
  private long index;

  /** What it does but for the next time to wake. */
  private List<DoorAction> on(DoorEvent event) {
    return side.on(now, event).stream().filter(x -> !(x instanceof WakeAt || x instanceof Told
        || x instanceof Remember)).toList();
  }

  private Beat beat() {
    now += 500;
    return beatOf(on(new Woken()));
  }

  private static Beat beatOf(List<DoorAction> actions) {
    return actions.stream().filter(SendBeat.class::isInstance).map(x -> ((SendBeat) x).beat()).findFirst()
        .orElseThrow();
  }

  private List<DoorAction> told(Permit... permits) {
    return on(new Answered(beat().number(), new View(++index, List.of(permits), true, 3_000, 0, "")));
  }

  private static Permit permit(long id, Subject subject, Stage stage) {
    return new Permit(id, "r" + id, subject, "ana", "any", false, stage, 1, Set.of());
  }

  private Asked asked(String request) {
    return new Asked(request, own, "ana", "any", false);
  }

  private String refused(List<DoorAction> actions) {
    return actions.stream().filter(Tell.class::isInstance).map(x -> ((Refused) ((Tell) x).outcome()).why())
        .findFirst().orElse("nothing was refused");
  }

  @Test
  void saysWhatItDoesAtOnceAndInItsPace() {
    assertEquals(Doing.STARTING, beat().doing());
    assertEquals(List.of(), on(new Woken()));
    assertEquals(new WakeAt(now + 200), side.on(now, new Woken()).get(0));
    assertEquals(Doing.READY, beatOf(on(new Does(Doing.READY))).doing());
    assertEquals(List.of(), on(new Does(Doing.READY)));
    assertEquals(3, beat().number());
    told();
    assertEquals(new WakeAt(now + 500), side.on(now, new Woken()).get(0));
  }

  @Test
  void takesABackendOutAndSaysSoOnceNoAttemptIsThere() {
    assertEquals(List.of(new TakeOut("b1")), told(permit(7, backend, Stage.GRANTED)));
    assertEquals(Set.of(), beat().left());
    assertEquals(List.of(), told(permit(7, backend, Stage.GRANTED)));
    assertEquals(Set.of(7L), beatOf(on(new LetGo("b1"))).left());
    assertEquals(List.of(), on(new LetGo("b1")));
    assertEquals(List.of(), on(new LetGo("b2")));
    assertEquals(List.of(), told(permit(7, backend, Stage.OUT)));
    assertEquals(List.of(new PutBack("b1")), told(permit(7, backend, Stage.RETURNING)));
    assertEquals(Set.of(), beat().left());
    told(permit(9, backend, Stage.GRANTED));
    assertEquals(Set.of(9L), beatOf(on(new LetGo("b1"))).left());
  }

  /** It slept through a return and the next going out. */
  @Test
  void outUnderAnotherPermitItIsStillLeft() {
    told(permit(7, backend, Stage.GRANTED));
    on(new LetGo("b1"));
    now += 60_000;
    assertEquals(List.of(), told(permit(8, backend, Stage.GRANTED)));
    assertEquals(Set.of(8L), beat().left());
  }

  /** A process that follows another keeps out what that one let go, and says so for itself. */
  @Test
  void whatWasRememberedIsOutFromTheStart() {
    DoorSide next = new DoorSide("d1", "y", 0, Map.of("b1", 7L, "b2", 8L), "1.0", 0);
    next.on(now, new LetGo("b1"));
    next.on(now, new LetGo("b2"));
    Beat beat = beatOf(next.on(now + 500, new Woken()));
    assertEquals(Set.of(7L, 8L), beat.left());
    List<DoorAction> actions = next.on(now + 501, new Answered(beat.number(), new View(9,
        List.of(permit(7, backend, Stage.OUT)), true, 3_000, 0, "")));
    assertEquals(List.of(new Remember(Map.of("b1", 7L)), new PutBack("b2"), new Told()),
        actions.subList(0, 3));
  }

  /** Kept before the backend is let go, and no more often than it changes. */
  @Test
  void whatIsOutIsRememberedFirst() {
    Beat sent = beat();
    assertEquals(List.of(new Remember(Map.of("b1", 7L)), new TakeOut("b1"), new Told()), side.on(now,
        new Answered(sent.number(), new View(1, List.of(permit(7, backend, Stage.GRANTED)), true, 3_000, 0,
            "")))
        .subList(0, 3));
    sent = beat();
    assertTrue(side.on(now, new Answered(sent.number(), new View(2, List.of(permit(7, backend, Stage.OUT)),
        true, 3_000, 0, ""))).stream().allMatch(WakeAt.class::isInstance));
  }

  @Test
  void drainsByItsPermitAndComesBack() {
    assertEquals(List.of(), told(permit(1, new Subject(Kind.DOOR, "d2"), Stage.GRANTED)));
    assertEquals(List.of(), told(permit(2, own, Stage.WAITING)));
    assertEquals(List.of(new Drain()), told(permit(2, own, Stage.GRANTED)));
    assertEquals(List.of(), told(permit(2, own, Stage.OUT)));
    assertEquals(index, beat().seen());
    assertEquals(List.of(new Undrain()), told(permit(2, own, Stage.RETURNING)));
  }

  /** The process was stopped between sending and reading: by its own clock the lease is over. */
  @Test
  void whatIsReadAfterTheLeaseBeginsNothing() {
    Beat sent = beat();
    now += 3_000;
    List<DoorAction> actions = on(new Answered(sent.number(), new View(5, List.of(permit(2, own,
        Stage.GRANTED), permit(7, backend, Stage.GRANTED)), true, 3_000, 0, "")));
    assertTrue(actions.stream().allMatch(SendBeat.class::isInstance), actions.toString());
    assertFalse(side.inContact(now));
  }

  @Test
  void overtakenAnswersAndUnaskedOnesTellNothing() {
    Beat first = beat();
    Beat second = beat();
    assertEquals(List.of(new Drain()),
        on(new Answered(second.number(), new View(5, List.of(permit(2, own, Stage.GRANTED)), true, 3_000, 0,
            ""))));
    assertEquals(List.of(), on(new Answered(first.number(), new View(4, List.of(), true, 3_000, 0, ""))));
    assertEquals(List.of(), on(new Answered(first.number(), new View(6, List.of(), true, 3_000, 0, ""))));
    Beat old = beat();
    for (int i = 0; i < 16; i++) {
      beat();
    }
    assertEquals(List.of(), on(new Answered(old.number(), new View(9, List.of(), true, 3_000, 0, ""))));
  }

  @Test
  void joinsAgainWhereItIsNotKnown() {
    assertEquals(List.of(new SendJoin()),
        on(new Answered(beat().number(), new View(9, List.of(), false, 3_000, 0, ""))));
    assertFalse(side.inContact(now));
  }

  @Test
  void anOperatorIsAnsweredWithinTheSecond() {
    assertTrue(refused(on(asked("r1"))).contains("the whole of this process's life"));
    told();
    assertEquals(List.of(new SendAsk(asked("r1"))), on(asked("r1")));
    assertEquals(List.of(), on(asked("r1")));
    assertEquals(List.of(new Tell("r1", new Granted(4))), on(new Said("r1", new Granted(4))));
    assertEquals(List.of(), on(new Said("r1", new Granted(4))));
    on(asked("r2"));
    now += 900;
    assertTrue(refused(on(new Woken())).startsWith("no answer from the stewards within 900 ms"));
    for (int i = 0; i < DoorSide.MOST_ASKED; i++) {
      on(asked("m" + i));
    }
    assertTrue(refused(on(asked("more"))).startsWith("64 requests wait"));
    now += 5_000;
    on(new Woken());
    assertTrue(refused(on(asked("r3"))).contains("have not been heard for 5900 ms"));
  }

  private View due(long attempt, String version) {
    return new View(++index, List.of(permit(2, own, Stage.OUT)), true, 3_000, attempt, version);
  }

  /** Once for each attempt, and said at once, as what has begun can't be taken back. */
  @Test
  void startsASuccessorAndSaysWhatBecameOfIt() {
    told(permit(2, own, Stage.OUT));
    assertEquals(0, beat().report().trying());
    List<DoorAction> actions = on(new Answered(beat().number(), due(5, "2.0")));
    assertEquals(new Replace(5, "2.0"), actions.get(0));
    assertEquals(new Report(5, 0, Tally.NONE), beatOf(actions).report());
    assertEquals(List.of(), on(new Answered(beat().number(), due(5, "2.0"))));
    on(new Counted(new Tally(9, 1, 0, 0)));
    assertEquals(List.of(), on(new CameToNothing(4)));
    assertEquals(new Report(5, 5, new Tally(9, 1, 0, 0)), beatOf(on(new CameToNothing(5))).report());
    assertEquals(List.of(), on(new Answered(beat().number(), due(5, "2.0"))));
    assertEquals(new Replace(6, "3.0"), on(new Answered(beat().number(), due(6, "3.0"))).get(0));
    assertEquals(List.of(), on(new Answered(beat().number(), due(7, "1.0"))));
  }

  /** Stopped in between: the attempt may have been taken back since. */
  @Test
  void startsNoneOnAWordThatItReadTooLate() {
    Beat sent = beat();
    now += 3_000;
    assertTrue(on(new Answered(sent.number(), due(5, "2.0"))).stream().allMatch(SendBeat.class::isInstance));
  }

  /** A successor is told that it may serve by its own attempt only, while that stands. */
  @Test
  void aSuccessorServesOnlyWhileItsAttemptStands() {
    DoorSide next = new DoorSide("d1", "y", 0, Map.of(), "2.0", 5);
    assertFalse(tells(next, due(0, "")));
    assertFalse(tells(next, due(4, "2.0")));
    assertTrue(tells(next, due(5, "2.0")));
    assertFalse(tells(next, due(5, "2.0")));
  }

  private boolean tells(DoorSide next, View view) {
    now += 500;
    Beat beat = beatOf(next.on(now, new Woken()));
    List<DoorAction> actions = next.on(now, new Answered(beat.number(), view));
    assertTrue(actions.stream().noneMatch(Replace.class::isInstance));
    return actions.contains(new Told());
  }
}
