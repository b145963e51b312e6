package willowdoor.daemon.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import willowdoor.agreement.Command.RequestPermit;
import willowdoor.agreement.Command.Activity;
import willowdoor.agreement.Command.ReturnPermit;
import willowdoor.agreement.Outcome;
import willowdoor.agreement.Outcome.Granted;
import willowdoor.agreement.Outcome.Waiting;
import willowdoor.agreement.Permit.Stage;
import willowdoor.agreement.Subject;
import willowdoor.agreement.Subject.Kind;
import willowdoor.net.EndpointUpdate;
import willowdoor.steward.link.Answer;
import willowdoor.steward.link.OperatorClient;
import willowdoor.steward.link.FleetStatus;
import willowdoor.testkit.BackendPool;
import willowdoor.testkit.ClientFleet;
import willowdoor.testkit.DoorProcess;
import willowdoor.testkit.InvariantChecker;
import willowdoor.testkit.EventHistory;
import willowdoor.testkit.FaultyLink;
import willowdoor.testkit.StandIns;
import willowdoor.testkit.RunSettings;

/** Tests three stewards and three doors, each in its own process, under load and with faults between them. */
@Timeout(120)
class AgreedTest {

  private static final long LIMIT_MS = 20_000;
  private static final int MANAGEMENT_ADDRESS_OFFSET = 20;
  private static final String TERMS = "lease_ms = 1500\ndoors_out = 1\nbackends_out = 1\n";

  private final AtomicInteger requests = new AtomicInteger();
  private FleetRun run;
  private Stewards stewards;
  private OperatorClient operator;

  @BeforeEach
  void open() throws IOException {
    run = new FleetRun(RunSettings.typical(), new BackendPool.BackendSpec(4, 4, 32, 5, 10), 3, 7);
    run.rig().budgets(new InvariantChecker.Budgets(1, 1, x -> x.startsWith("d"), 15_000));
    stewards = new Stewards(run, 3, TERMS);
    stewards.addLines(door -> "management = \"" + StandIns.text(run.address(MANAGEMENT_ADDRESS_OFFSET + door,
        7300)) + "\"\n");
    stewards.start();
    run.start(new ClientFleet.Load(60, 20, 0.1, 5, 1));
    run.clients().start();
    operator = stewards.operator("ana");
    await("all doors and backends known", () -> {
      FleetStatus s = stewards.status();
      return s != null && s.doors() == 3 && s.doorsOut() == 0 && s.backends() == 4 && s.backendsOut() == 0;
    });
  }

  @AfterEach
  void close() throws IOException {
    operator.close();
    stewards.close();
    run.close();
  }

  private void await(String what, BooleanSupplier condition) {
    if (!FleetRun.await(condition, LIMIT_MS)) {
      throw new AssertionError("not within " + LIMIT_MS + " ms: " + what + "; " + stewards.status());
    }
  }

  private static Subject door(int number) {
    return new Subject(Kind.DOOR, "d" + number);
  }

  private static Subject backend(int number) {
    return new Subject(Kind.BACKEND, Long.toHexString(EndpointUpdate.idOf("b" + number)));
  }

  private Outcome ask(Subject subject) throws InterruptedException {
    Answer answer = operator
        .put(new RequestPermit(0, "r" + requests.incrementAndGet(), subject, "ana", "disk", false),
        LIMIT_MS);
    return assertInstanceOf(Answer.Came.class, answer, answer::toString).outcome();
  }

  private void requestGranted(Subject subject, String name) throws InterruptedException {
    Granted granted = assertInstanceOf(Granted.class, ask(subject));
    run.rig().eventHistory()
        .addMachineEntry(EventHistory.Kind.PERMITTED, name, Long.toString(granted.permit()));
  }

  private void returnPermit(Subject subject, String name) throws InterruptedException {
    run.rig().eventHistory().addMachineEntry(EventHistory.Kind.GIVEN_BACK, name, "");
    long permit = stewards.status().permits().stream().filter(x -> x.subject().equals(subject)).findFirst()
        .orElseThrow().id();
    assertInstanceOf(Answer.Came.class, operator.put(new ReturnPermit(0, subject, permit, "ana"), LIMIT_MS));
  }

  private Stage stage(Subject subject) {
    FleetStatus s = stewards.status();
    return s == null ? null : s.permits().stream().filter(x -> x.subject().equals(subject))
        .map(x -> x.stage()).findFirst().orElse(null);
  }

  private void awaitOut(int backend) {
    await("out", () -> stage(backend(backend)) == Stage.OUT);
    run.rig().eventHistory().addMachineEntry(EventHistory.Kind.OUT, "b" + backend, "");
  }

  private boolean says(int door, Activity what) {
    FleetStatus s = stewards.status();
    return s != null && s.lives().stream().anyMatch(x -> x.door().equals("d" + door) && x.doing() == what);
  }

  private void assertRulesKept() {
    InvariantChecker.Verdict verdict = run.finish();
    assertTrue(verdict.passed(), verdict::toString);
    assertTrue(verdict.served() > 0, verdict::toString);
  }

  @Test
  void doorsGoOutOneAtATimeAndBackendsAreOutWhenNobodySendsThereAnyMore() throws Exception {
    requestGranted(door(0), "d0");
    await("d0 sends clients away", () -> says(0, Activity.EMPTY) && !run.clients().isUp(0));
    assertInstanceOf(Waiting.class, ask(door(1)));
    requestGranted(backend(2), "b2");
    awaitOut(2);
    assertInstanceOf(Waiting.class, ask(backend(3)));
    FleetRun.sleep(500);
    returnPermit(door(0), "d0");
    await("d0 back, then d1 out", () -> run.clients().isUp(0) && says(1, Activity.EMPTY));
    returnPermit(backend(2), "b2");
    await("b3 in its place", () -> stage(backend(3)) == Stage.OUT && stage(backend(2)) == null);
    assertRulesKept();
  }

  /** A killed door counts as out, so no other may go out until the killed one is back. */
  @Test
  void aKilledDoorCountsAgainstTheBudget() throws Exception {
    run.doors().get(2).kill();
    await("d2 counts as out", () -> stewards.status() != null && stewards.status().doorsOut() == 1);
    assertInstanceOf(Waiting.class, ask(door(0)));
    run.doors().get(2).start();
    await("d0 out", () -> says(0, Activity.EMPTY));
    assertRulesKept();
  }

  /** A granted permit survives the death of the leader, and of all stewards at once. */
  @Test
  void permitsSurviveAKilledLeaderAndThenAllStewards() throws Exception {
    requestGranted(door(0), "d0");
    stewards.processes().get(stewards.leader()).kill();
    assertInstanceOf(Waiting.class, ask(door(1)));
    stewards.processes().forEach(DoorProcess::kill);
    assertInstanceOf(Answer.Failed.class, operator.status(500));
    stewards.restoreAll();
    await("back", () -> stewards.status() != null);
    assertNotEquals(null, stage(door(0)));
    returnPermit(door(0), "d0");
    await("d1", () -> says(1, Activity.EMPTY));
    assertRulesKept();
  }

  /** A door is cut off from the stewards only: the backend is not reported out until that door knows. */
  @Test
  void aBackendIsNotOutWhileADoorThatWasCutOffMaySendThere() throws Exception {
    stewards.setDoorLinks(1, FaultyLink.Mode.SILENT);
    requestGranted(backend(0), "b0");
    await("held up by d1 alone", () -> {
      FleetStatus s = stewards.status();
      return s != null && s.held().get(0).size() == 1 && s.held().get(0).get(0).startsWith("d1/");
    });
    FleetRun.sleep(2_500);
    assertEquals(Stage.GRANTED, stage(backend(0)));
    stewards.setDoorLinks(1, FaultyLink.Mode.WHOLE);
    awaitOut(0);
    FleetRun.sleep(500);
    assertRulesKept();
  }

  /** The leader is stopped for longer than a lease; when resumed, it must not grant on its outdated state. */
  @Test
  void aStoppedLeaderGrantsNothingAfterItResumes() throws Exception {
    int old = stewards.leader();
    stewards.processes().get(old).setSuspended(true);
    requestGranted(door(0), "d0");
    FleetRun.sleep(2_000);
    stewards.processes().get(old).setSuspended(false);
    assertInstanceOf(Waiting.class, ask(door(1)));
    assertNotEquals(old, stewards.leader());
    assertRulesKept();
  }

  /** A door restarted while it reaches no steward relies on the state that the previous process stored. */
  @Test
  void aDoorThatIsStartedWithoutContactSendsToNoneThatIsOut() throws Exception {
    // A backend of the door's own zone, to which it would send first.
    requestGranted(backend(1), "b1");
    awaitOut(1);
    stewards.setDoorLinks(1, FaultyLink.Mode.CUT);
    run.doors().get(1).kill();
    await("d1 is missed", () -> !run.clients().isUp(1));
    run.doors().get(1).start();
    await("d1 serves", () -> run.clients().isUp(1));
    FleetRun.sleep(1_500);
    stewards.setDoorLinks(1, FaultyLink.Mode.WHOLE);
    FleetRun.sleep(500);
    returnPermit(backend(1), "b1");
    await("back", () -> stage(backend(1)) == null);
    assertRulesKept();
  }

  private HttpResponse<String> call(int door, String target) throws Exception {
    return HttpClient.newHttpClient().send(HttpRequest.newBuilder(URI.create("http://"
        + StandIns.text(run.address(MANAGEMENT_ADDRESS_OFFSET + door, 7300))
            + target)).timeout(Duration.ofSeconds(2))
        .POST(HttpRequest.BodyPublishers.noBody()).build(), HttpResponse.BodyHandlers.ofString());
  }

  private void says(int status, String part, HttpResponse<String> answer) {
    assertTrue(answer.statusCode() == status && answer.body().contains(part), answer.statusCode() + " "
        + answer.body());
  }

  /** All doors act on the same record; a backend is confirmed out only once no door sends to it. */
  @Test
  void operatorsMayCallAnyDoor() throws Exception {
    says(200, "goes out by permit", call(0, "/drain"));
    says(200, "goes out by permit", call(0, "/drain"));
    says(503, "waits as number 1", call(1, "/drain"));
    await("d0 out", () -> says(0, Activity.EMPTY));
    says(200, "comes back", call(0, "/undrain"));
    await("d1 in its turn", () -> says(1, Activity.EMPTY));
    says(200, "goes out by permit", call(1, "/drain"));
    says(200, "comes back", call(1, "/undrain"));
    HttpResponse<String> out = call(0, "/backends/disable?member=b2");
    for (int i = 0; i < 20 && out.statusCode() == 503; i++) {
      out = call(0, "/backends/disable?member=b2");
    }
    says(200, "out by permit", out);
    run.rig().eventHistory().addMachineEntry(EventHistory.Kind.OUT, "b2", "");
    says(409, "asked for by an operator at d0", call(2, "/backends/disable?member=b2"));
    says(409, "is known", call(0, "/backends/disable?member=zz"));
    FleetRun.sleep(500);
    run.rig().eventHistory().addMachineEntry(EventHistory.Kind.GIVEN_BACK, "b2", "");
    says(200, "comes back", call(2, "/backends/enable?member=b2"));
    says(200, "not out on purpose", call(2, "/backends/enable?member=b1"));
    stewards.setDoorLinks(0, FaultyLink.Mode.SILENT);
    FleetRun.sleep(2_000);
    says(409, "nothing can be agreed on", call(0, "/drain"));
    says(503, "no steward says how it stands", call(0, "/undrain"));
    stewards.setDoorLinks(0, FaultyLink.Mode.WHOLE);
    await("all back", () -> stewards.status() != null && stewards.status().permits().isEmpty());
    assertRulesKept();
  }

  /** A steward with an older store could vote twice and lose entries that it helped to commit, so it ends. */
  @Test
  void aStewardWhoseDiskIsAnOlderCopyTakesNoPart() throws Exception {
    int one = (stewards.leader() + 1) % 3;
    DoorProcess process = stewards.processes().get(one);
    process.kill();
    Path copy = Files.createDirectory(run.folder().resolve("copy"));
    copy(run.folder(), copy, "s" + one + ".db");
    process.start();
    requestGranted(door(0), "d0");
    // By then the steward has caught up, because each heartbeat is a log entry.
    FleetRun.sleep(3_000);
    process.kill();
    copy(copy, run.folder(), "s" + one + ".db");
    process.start();
    await("it ends", () -> !process.isAlive());
    assertTrue(stewards.log(one).contains("It is an older copy, or new"), stewards.log(one));
    assertInstanceOf(Waiting.class, ask(door(1)));
    assertRulesKept();
  }

  private static void copy(Path from, Path to, String name) throws IOException {
    for (String end : new String[] {"", "-wal", "-shm"}) {
      Files.deleteIfExists(to.resolve(name + end));
      if (Files.exists(from.resolve(name + end))) {
        Files.copy(from.resolve(name + end), to.resolve(name + end));
      }
    }
  }

  /** Replies arrive up to a second late, and then one byte at a time. */
  @Test
  void permitsAreGrantedOverSlowLinks() throws Exception {
    for (FaultyLink.Mode mode : new FaultyLink.Mode[] {FaultyLink.Mode.LATE, FaultyLink.Mode.TRICKLE}) {
      for (int i = 0; i < 3; i++) {
        stewards.setDoorLinks(i, mode);
      }
      requestGranted(backend(1), "b1");
      FleetRun.sleep(1_500);
      stewards.restoreAll();
      awaitOut(1);
      returnPermit(backend(1), "b1");
      await("back", () -> stage(backend(1)) == null);
    }
    assertRulesKept();
  }
}
