package willowdoor.agreement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import willowdoor.agreement.Command.Heartbeat;
import willowdoor.agreement.Command.Report;
import willowdoor.agreement.Command.Activity;
import willowdoor.agreement.DoorAction.Drain;
import willowdoor.agreement.DoorAction.PutBack;
import willowdoor.agreement.DoorAction.PersistOutBackends;
import willowdoor.agreement.DoorAction.StartSuccessor;
import willowdoor.agreement.DoorAction.SendPermitRequest;
import willowdoor.agreement.DoorAction.SendHeartbeat;
import willowdoor.agreement.DoorAction.SendJoin;
import willowdoor.agreement.DoorAction.TakeOut;
import willowdoor.agreement.DoorAction.AnswerOperator;
import willowdoor.agreement.DoorAction.Undrain;
import willowdoor.agreement.DoorAction.AllowServing;
import willowdoor.agreement.DoorAction.WakeAt;
import willowdoor.agreement.DoorEvent.HeartbeatAnswered;
import willowdoor.agreement.DoorEvent.PermitRequested;
import willowdoor.agreement.DoorEvent.ActivityChanged;
import willowdoor.agreement.DoorEvent.SuccessorFailed;
import willowdoor.agreement.DoorEvent.TallyUpdated;
import willowdoor.agreement.DoorEvent.BackendVacated;
import willowdoor.agreement.DoorEvent.PermitAnswered;
import willowdoor.agreement.DoorEvent.TimerFired;
import willowdoor.agreement.Outcome.Granted;
import willowdoor.agreement.Outcome.Refused;
import willowdoor.agreement.Permit.Stage;
import willowdoor.agreement.Subject.Kind;
import willowdoor.rollout.Tally;

class DoorSideTest {

  private final DoorParticipant side = new DoorParticipant("d1", "x", 0, Map.of(), "1.0", 0);
  private final Subject own = new Subject(Kind.DOOR, "d1");
  private final Subject backend = new Subject(Kind.BACKEND, "b1");
  private double now = 1_000;
  private long index;

  /** What it does but for the next time to wake. */
  private List<DoorAction> on(DoorEvent event) {
    return side.handle(now, event).stream().filter(x -> !(x instanceof WakeAt || x instanceof AllowServing
        || x instanceof PersistOutBackends)).toList();
  }

  private Heartbeat beat() {
    now += 500;
    return beatOf(on(new TimerFired()));
  }

  private static Heartbeat beatOf(List<DoorAction> actions) {
    return actions.stream().filter(SendHeartbeat.class::isInstance).map(x -> ((SendHeartbeat) x).heartbeat())
        .findFirst()
        .orElseThrow();
  }

  private List<DoorAction> told(Permit... permits) {
    return on(
        new HeartbeatAnswered(beat().number(), new DoorView(++index, List.of(permits), true, 3_000, 0, "")));
  }

  private static Permit permit(long id, Subject subject, Stage stage) {
    return new Permit(id, "r" + id, subject, "ana", "any", false, stage, 1, Set.of());
  }

  private PermitRequested asked(String request) {
    return new PermitRequested(request, own, "ana", "any", false);
  }

  private String refused(List<DoorAction> actions) {
    return actions.stream().filter(AnswerOperator.class::isInstance)
        .map(x -> ((Refused) ((AnswerOperator) x).outcome()).why())
        .findFirst().orElse("nothing was refused");
  }

  @Test
  void saysWhatItDoesAtOnceAndInItsPace() {
    assertEquals(Activity.STARTING, beat().doing());
    assertEquals(List.of(), on(new TimerFired()));
    assertEquals(new WakeAt(now + 200), side.handle(now, new TimerFired()).get(0));
    assertEquals(Activity.READY, beatOf(on(new ActivityChanged(Activity.READY))).doing());
    assertEquals(List.of(), on(new ActivityChanged(Activity.READY)));
    assertEquals(3, beat().number());
    told();
    assertEquals(new WakeAt(now + 500), side.handle(now, new TimerFired()).get(0));
  }

  @Test
  void takesABackendOutAndSaysSoOnceNoAttemptIsThere() {
    assertEquals(List.of(new TakeOut("b1")), told(permit(7, backend, Stage.GRANTED)));
    assertEquals(Set.of(), beat().left());
    assertEquals(List.of(), told(permit(7, backend, Stage.GRANTED)));
    assertEquals(Set.of(7L), beatOf(on(new BackendVacated("b1"))).left());
    assertEquals(List.of(), on(new BackendVacated("b1")));
    assertEquals(List.of(), on(new BackendVacated("b2")));
    assertEquals(List.of(), told(permit(7, backend, Stage.OUT)));
    assertEquals(List.of(new PutBack("b1")), told(permit(7, backend, Stage.RETURNING)));
    assertEquals(Set.of(), beat().left());
    told(permit(9, backend, Stage.GRANTED));
    assertEquals(Set.of(9L), beatOf(on(new BackendVacated("b1"))).left());
  }

  /** It slept through a return and the next going out. */
  @Test
  void outUnderAnotherPermitItIsStillLeft() {
    told(permit(7, backend, Stage.GRANTED));
    on(new BackendVacated("b1"));
    now += 60_000;
    assertEquals(List.of(), told(permit(8, backend, Stage.GRANTED)));
    assertEquals(Set.of(8L), beat().left());
  }

  /** A process that follows another keeps out what that one let go, and says so for itself. */
  @Test
  void whatWasRememberedIsOutFromTheStart() {
    DoorParticipant next = new DoorParticipant("d1", "y", 0, Map.of("b1", 7L, "b2", 8L), "1.0", 0);
    next.handle(now, new BackendVacated("b1"));
    next.handle(now, new BackendVacated("b2"));
    Heartbeat beat = beatOf(next.handle(now + 500, new TimerFired()));
    assertEquals(Set.of(7L, 8L), beat.left());
    List<DoorAction> actions = next.handle(now + 501, new HeartbeatAnswered(beat.number(), new DoorView(9,
        List.of(permit(7, backend, Stage.OUT)), true, 3_000, 0, "")));
    assertEquals(List.of(new PersistOutBackends(Map.of("b1", 7L)), new PutBack("b2"), new AllowServing()),
        actions.subList(0, 3));
  }

  /** Kept before the backend is let go, and no more often than it changes. */
  @Test
  void whatIsOutIsRememberedFirst() {
    Heartbeat sent = beat();
    assertEquals(List.of(new PersistOutBackends(Map.of("b1", 7L)), new TakeOut("b1"), new AllowServing()),
        side.handle(now,
        new HeartbeatAnswered(sent.number(),
        new DoorView(1, List.of(permit(7, backend, Stage.GRANTED)), true, 3_000, 0,
            "")))
        .subList(0, 3));
    sent = beat();
    assertTrue(side
        .handle(now,
        new HeartbeatAnswered(sent.number(), new DoorView(2, List.of(permit(7, backend, Stage.OUT)),
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
    Heartbeat sent = beat();
    now += 3_000;
    List<DoorAction> actions = on(new HeartbeatAnswered(sent.number(), new DoorView(5, List.of(permit(2, own,
        Stage.GRANTED), permit(7, backend, Stage.GRANTED)), true, 3_000, 0, "")));
    assertTrue(actions.stream().allMatch(SendHeartbeat.class::isInstance), actions.toString());
    assertFalse(side.hasLease(now));
  }

  @Test
  void overtakenAnswersAndUnaskedOnesTellNothing() {
    Heartbeat first = beat();
    Heartbeat second = beat();
    assertEquals(List.of(new Drain()),
        on(new HeartbeatAnswered(second.number(),
        new DoorView(5, List.of(permit(2, own, Stage.GRANTED)), true, 3_000, 0,
            ""))));
    assertEquals(List.of(),
        on(new HeartbeatAnswered(first.number(), new DoorView(4, List.of(), true, 3_000, 0, ""))));
    assertEquals(List.of(),
        on(new HeartbeatAnswered(first.number(), new DoorView(6, List.of(), true, 3_000, 0, ""))));
    Heartbeat old = beat();
    for (int i = 0; i < 16; i++) {
      beat();
    }
    assertEquals(List.of(),
        on(new HeartbeatAnswered(old.number(), new DoorView(9, List.of(), true, 3_000, 0, ""))));
  }

  @Test
  void joinsAgainWhereItIsNotKnown() {
    assertEquals(List.of(new SendJoin()),
        on(new HeartbeatAnswered(beat().number(), new DoorView(9, List.of(), false, 3_000, 0, ""))));
    assertFalse(side.hasLease(now));
  }

  @Test
  void anOperatorIsAnsweredWithinTheSecond() {
    assertTrue(refused(on(asked("r1"))).contains("the whole of this process's life"));
    told();
    assertEquals(List.of(new SendPermitRequest(asked("r1"))), on(asked("r1")));
    assertEquals(List.of(), on(asked("r1")));
    assertEquals(List.of(new AnswerOperator("r1", new Granted(4))),
        on(new PermitAnswered("r1", new Granted(4))));
    assertEquals(List.of(), on(new PermitAnswered("r1", new Granted(4))));
    on(asked("r2"));
    now += 900;
    assertTrue(refused(on(new TimerFired())).startsWith("no answer from the stewards within 900 ms"));
    for (int i = 0; i < DoorParticipant.MAX_PENDING_REQUESTS; i++) {
      on(asked("m" + i));
    }
    assertTrue(refused(on(asked("more"))).startsWith("64 requests wait"));
    now += 5_000;
    on(new TimerFired());
    assertTrue(refused(on(asked("r3"))).contains("have not been heard for 5900 ms"));
  }

  private DoorView due(long attempt, String version) {
    return new DoorView(++index, List.of(permit(2, own, Stage.OUT)), true, 3_000, attempt, version);
  }

  /** Once for each attempt, and said at once, as what has begun can't be taken back. */
  @Test
  void startsASuccessorAndSaysWhatBecameOfIt() {
    told(permit(2, own, Stage.OUT));
    assertEquals(0, beat().report().trying());
    List<DoorAction> actions = on(new HeartbeatAnswered(beat().number(), due(5, "2.0")));
    assertEquals(new StartSuccessor(5, "2.0"), actions.get(0));
    assertEquals(new Report(5, 0, Tally.NONE), beatOf(actions).report());
    assertEquals(List.of(), on(new HeartbeatAnswered(beat().number(), due(5, "2.0"))));
    on(new TallyUpdated(new Tally(9, 1, 0, 0)));
    assertEquals(List.of(), on(new SuccessorFailed(4)));
    assertEquals(new Report(5, 5, new Tally(9, 1, 0, 0)), beatOf(on(new SuccessorFailed(5))).report());
    assertEquals(List.of(), on(new HeartbeatAnswered(beat().number(), due(5, "2.0"))));
    assertEquals(new StartSuccessor(6, "3.0"),
        on(new HeartbeatAnswered(beat().number(), due(6, "3.0"))).get(0));
    assertEquals(List.of(), on(new HeartbeatAnswered(beat().number(), due(7, "1.0"))));
  }

  /** Stopped in between: the attempt may have been taken back since. */
  @Test
  void startsNoneOnAWordThatItReadTooLate() {
    Heartbeat sent = beat();
    now += 3_000;
    assertTrue(on(new HeartbeatAnswered(sent.number(), due(5, "2.0"))).stream()
        .allMatch(SendHeartbeat.class::isInstance));
  }

  /** A successor is told that it may serve by its own attempt only, while that stands. */
  @Test
  void aSuccessorServesOnlyWhileItsAttemptStands() {
    DoorParticipant next = new DoorParticipant("d1", "y", 0, Map.of(), "2.0", 5);
    assertFalse(tells(next, due(0, "")));
    assertFalse(tells(next, due(4, "2.0")));
    assertTrue(tells(next, due(5, "2.0")));
    assertFalse(tells(next, due(5, "2.0")));
  }

  private boolean tells(DoorParticipant next, DoorView view) {
    now += 500;
    Heartbeat beat = beatOf(next.handle(now, new TimerFired()));
    List<DoorAction> actions = next.handle(now, new HeartbeatAnswered(beat.number(), view));
    assertTrue(actions.stream().noneMatch(StartSuccessor.class::isInstance));
    return actions.contains(new AllowServing());
  }
}
