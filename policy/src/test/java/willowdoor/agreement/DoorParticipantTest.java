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

class DoorParticipantTest {

  private final DoorParticipant participant = new DoorParticipant("d1", "x", 0, Map.of(), "1.0", 0);
  private final Subject ownDoor = new Subject(Kind.DOOR, "d1");
  private final Subject backend = new Subject(Kind.BACKEND, "b1");
  private double nowMs = 1_000;
  private long index;

  /** The actions, except those for waking up, serving and storing the backends that are out. */
  private List<DoorAction> handle(DoorEvent event) {
    return participant.handle(nowMs, event).stream()
        .filter(x -> !(x instanceof WakeAt || x instanceof AllowServing
        || x instanceof PersistOutBackends)).toList();
  }

  private Heartbeat nextHeartbeat() {
    nowMs += 500;
    return heartbeatIn(handle(new TimerFired()));
  }

  private static Heartbeat heartbeatIn(List<DoorAction> actions) {
    return actions.stream().filter(SendHeartbeat.class::isInstance).map(x -> ((SendHeartbeat) x).heartbeat())
        .findFirst()
        .orElseThrow();
  }

  private List<DoorAction> answerWithPermits(Permit... permits) {
    return handle(new HeartbeatAnswered(nextHeartbeat().number(),
        new DoorView(++index, List.of(permits), true, 3_000, 0, "")));
  }

  private static Permit permit(long id, Subject subject, Stage stage) {
    return new Permit(id, "r" + id, subject, "ana", "any", false, stage, 1, Set.of());
  }

  private PermitRequested permitRequest(String request) {
    return new PermitRequested(request, ownDoor, "ana", "any", false);
  }

  private String refusalReason(List<DoorAction> actions) {
    return actions.stream().filter(AnswerOperator.class::isInstance)
        .map(x -> ((Refused) ((AnswerOperator) x).outcome()).why())
        .findFirst().orElse("no request was refused");
  }

  @Test
  void reportsActivityChangesAtOnceAndPeriodically() {
    assertEquals(Activity.STARTING, nextHeartbeat().doing());
    assertEquals(List.of(), handle(new TimerFired()));
    assertEquals(new WakeAt(nowMs + 200), participant.handle(nowMs, new TimerFired()).get(0));
    assertEquals(Activity.READY, heartbeatIn(handle(new ActivityChanged(Activity.READY))).doing());
    assertEquals(List.of(), handle(new ActivityChanged(Activity.READY)));
    assertEquals(3, nextHeartbeat().number());
    answerWithPermits();
    assertEquals(new WakeAt(nowMs + 500), participant.handle(nowMs, new TimerFired()).get(0));
  }

  @Test
  void takesABackendOutAndReportsOnceNoAttemptIsLeft() {
    assertEquals(List.of(new TakeOut("b1")), answerWithPermits(permit(7, backend, Stage.GRANTED)));
    assertEquals(Set.of(), nextHeartbeat().left());
    assertEquals(List.of(), answerWithPermits(permit(7, backend, Stage.GRANTED)));
    assertEquals(Set.of(7L), heartbeatIn(handle(new BackendVacated("b1"))).left());
    assertEquals(List.of(), handle(new BackendVacated("b1")));
    assertEquals(List.of(), handle(new BackendVacated("b2")));
    assertEquals(List.of(), answerWithPermits(permit(7, backend, Stage.OUT)));
    assertEquals(List.of(new PutBack("b1")), answerWithPermits(permit(7, backend, Stage.RETURNING)));
    assertEquals(Set.of(), nextHeartbeat().left());
    answerWithPermits(permit(9, backend, Stage.GRANTED));
    assertEquals(Set.of(9L), heartbeatIn(handle(new BackendVacated("b1"))).left());
  }

  /** The backend came back and went out again while the door had no contact. */
  @Test
  void vacatedBackendStaysVacatedUnderANewPermit() {
    answerWithPermits(permit(7, backend, Stage.GRANTED));
    handle(new BackendVacated("b1"));
    nowMs += 60_000;
    assertEquals(List.of(), answerWithPermits(permit(8, backend, Stage.GRANTED)));
    assertEquals(Set.of(8L), nextHeartbeat().left());
  }

  /**
   * A later process keeps the stored backends out and reports for itself that no attempt is in flight there.
   */
  @Test
  void persistedBackendsAreOutFromTheStart() {
    DoorParticipant successor = new DoorParticipant("d1", "y", 0, Map.of("b1", 7L, "b2", 8L), "1.0", 0);
    successor.handle(nowMs, new BackendVacated("b1"));
    successor.handle(nowMs, new BackendVacated("b2"));
    Heartbeat heartbeat = heartbeatIn(successor.handle(nowMs + 500, new TimerFired()));
    assertEquals(Set.of(7L, 8L), heartbeat.left());
    List<DoorAction> actions = successor.handle(nowMs + 501,
        new HeartbeatAnswered(heartbeat.number(), new DoorView(9,
        List.of(permit(7, backend, Stage.OUT)), true, 3_000, 0, "")));
    assertEquals(List.of(new PersistOutBackends(Map.of("b1", 7L)), new PutBack("b2"), new AllowServing()),
        actions.subList(0, 3));
  }

  /** They are also stored again only when they change. */
  @Test
  void outBackendsArePersistedBeforeTheyAreTakenOut() {
    Heartbeat sent = nextHeartbeat();
    assertEquals(List.of(new PersistOutBackends(Map.of("b1", 7L)), new TakeOut("b1"), new AllowServing()),
        participant.handle(nowMs,
        new HeartbeatAnswered(sent.number(),
        new DoorView(1, List.of(permit(7, backend, Stage.GRANTED)), true, 3_000, 0,
            "")))
        .subList(0, 3));
    sent = nextHeartbeat();
    assertTrue(participant.handle(nowMs,
        new HeartbeatAnswered(sent.number(), new DoorView(2, List.of(permit(7, backend, Stage.OUT)),
        true, 3_000, 0, ""))).stream().allMatch(WakeAt.class::isInstance));
  }

  @Test
  void drainsWhileItsPermitIsGranted() {
    assertEquals(List.of(), answerWithPermits(permit(1, new Subject(Kind.DOOR, "d2"), Stage.GRANTED)));
    assertEquals(List.of(), answerWithPermits(permit(2, ownDoor, Stage.WAITING)));
    assertEquals(List.of(new Drain()), answerWithPermits(permit(2, ownDoor, Stage.GRANTED)));
    assertEquals(List.of(), answerWithPermits(permit(2, ownDoor, Stage.OUT)));
    assertEquals(index, nextHeartbeat().seen());
    assertEquals(List.of(new Undrain()), answerWithPermits(permit(2, ownDoor, Stage.RETURNING)));
  }

  /** The process was suspended between sending and reading, and by its own clock the lease has expired. */
  @Test
  void answerReadAfterTheLeaseExpiredIsNotActedOn() {
    Heartbeat sent = nextHeartbeat();
    nowMs += 3_000;
    List<DoorAction> actions =
        handle(new HeartbeatAnswered(sent.number(), new DoorView(5, List.of(permit(2, ownDoor,
        Stage.GRANTED), permit(7, backend, Stage.GRANTED)), true, 3_000, 0, "")));
    assertTrue(actions.stream().allMatch(SendHeartbeat.class::isInstance), actions.toString());
    assertFalse(participant.hasLease(nowMs));
  }

  @Test
  void overtakenRepeatedAndForgottenAnswersAreIgnored() {
    Heartbeat first = nextHeartbeat();
    Heartbeat second = nextHeartbeat();
    assertEquals(List.of(new Drain()),
        handle(new HeartbeatAnswered(second.number(),
        new DoorView(5, List.of(permit(2, ownDoor, Stage.GRANTED)), true, 3_000, 0,
            ""))));
    assertEquals(List.of(),
        handle(new HeartbeatAnswered(first.number(), new DoorView(4, List.of(), true, 3_000, 0, ""))));
    assertEquals(List.of(),
        handle(new HeartbeatAnswered(first.number(), new DoorView(6, List.of(), true, 3_000, 0, ""))));
    Heartbeat old = nextHeartbeat();
    for (int i = 0; i < 16; i++) {
      nextHeartbeat();
    }
    assertEquals(List.of(),
        handle(new HeartbeatAnswered(old.number(), new DoorView(9, List.of(), true, 3_000, 0, ""))));
  }

  @Test
  void joinsAgainWhenUnknownToTheReplicas() {
    assertEquals(List.of(new SendJoin()),
        handle(new HeartbeatAnswered(nextHeartbeat().number(),
        new DoorView(9, List.of(), false, 3_000, 0, ""))));
    assertFalse(participant.hasLease(nowMs));
  }

  @Test
  void operatorIsAnsweredWithinASecond() {
    assertTrue(refusalReason(handle(permitRequest("r1"))).contains("the whole of this process's life"));
    answerWithPermits();
    assertEquals(List.of(new SendPermitRequest(permitRequest("r1"))), handle(permitRequest("r1")));
    assertEquals(List.of(), handle(permitRequest("r1")));
    assertEquals(List.of(new AnswerOperator("r1", new Granted(4))),
        handle(new PermitAnswered("r1", new Granted(4))));
    assertEquals(List.of(), handle(new PermitAnswered("r1", new Granted(4))));
    handle(permitRequest("r2"));
    nowMs += 900;
    assertTrue(refusalReason(handle(new TimerFired()))
        .startsWith("no answer from the stewards within 900 ms"));
    for (int i = 0; i < DoorParticipant.MAX_PENDING_REQUESTS; i++) {
      handle(permitRequest("m" + i));
    }
    assertTrue(refusalReason(handle(permitRequest("more"))).startsWith("64 requests wait"));
    nowMs += 5_000;
    handle(new TimerFired());
    assertTrue(refusalReason(handle(permitRequest("r3"))).contains("have not been heard for 5900 ms"));
  }

  private DoorView viewWithAttempt(long attempt, String version) {
    return new DoorView(++index, List.of(permit(2, ownDoor, Stage.OUT)), true, 3_000, attempt, version);
  }

  /** The start is reported at once, because an attempt that has begun cannot be withdrawn. */
  @Test
  void startsOneSuccessorPerAttemptAndReportsItsFailure() {
    answerWithPermits(permit(2, ownDoor, Stage.OUT));
    assertEquals(0, nextHeartbeat().report().trying());
    List<DoorAction> actions =
        handle(new HeartbeatAnswered(nextHeartbeat().number(), viewWithAttempt(5, "2.0")));
    assertEquals(new StartSuccessor(5, "2.0"), actions.get(0));
    assertEquals(new Report(5, 0, Tally.NONE), heartbeatIn(actions).report());
    assertEquals(List.of(),
        handle(new HeartbeatAnswered(nextHeartbeat().number(), viewWithAttempt(5, "2.0"))));
    handle(new TallyUpdated(new Tally(9, 1, 0, 0)));
    assertEquals(List.of(), handle(new SuccessorFailed(4)));
    assertEquals(new Report(5, 5, new Tally(9, 1, 0, 0)),
        heartbeatIn(handle(new SuccessorFailed(5))).report());
    assertEquals(List.of(),
        handle(new HeartbeatAnswered(nextHeartbeat().number(), viewWithAttempt(5, "2.0"))));
    assertEquals(new StartSuccessor(6, "3.0"),
        handle(new HeartbeatAnswered(nextHeartbeat().number(), viewWithAttempt(6, "3.0"))).get(0));
    assertEquals(List.of(),
        handle(new HeartbeatAnswered(nextHeartbeat().number(), viewWithAttempt(7, "1.0"))));
  }

  /** The process was suspended, and the attempt may have been withdrawn since. */
  @Test
  void startsNoSuccessorOnAnAnswerReadTooLate() {
    Heartbeat sent = nextHeartbeat();
    nowMs += 3_000;
    assertTrue(handle(new HeartbeatAnswered(sent.number(), viewWithAttempt(5, "2.0"))).stream()
        .allMatch(SendHeartbeat.class::isInstance));
  }

  /** Neither no attempt nor another attempt lets the successor serve. */
  @Test
  void successorServesOnlyWhileItsAttemptIsCurrent() {
    DoorParticipant successor = new DoorParticipant("d1", "y", 0, Map.of(), "2.0", 5);
    assertFalse(allowsServing(successor, viewWithAttempt(0, "")));
    assertFalse(allowsServing(successor, viewWithAttempt(4, "2.0")));
    assertTrue(allowsServing(successor, viewWithAttempt(5, "2.0")));
    assertFalse(allowsServing(successor, viewWithAttempt(5, "2.0")));
  }

  private boolean allowsServing(DoorParticipant successor, DoorView view) {
    nowMs += 500;
    Heartbeat heartbeat = heartbeatIn(successor.handle(nowMs, new TimerFired()));
    List<DoorAction> actions = successor.handle(nowMs, new HeartbeatAnswered(heartbeat.number(), view));
    assertTrue(actions.stream().noneMatch(StartSuccessor.class::isInstance));
    return actions.contains(new AllowServing());
  }
}
