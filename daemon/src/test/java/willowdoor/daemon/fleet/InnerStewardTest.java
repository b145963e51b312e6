package willowdoor.daemon.fleet;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import willowdoor.agreement.Command.RequestPermit;
import willowdoor.agreement.Command.ReturnPermit;
import willowdoor.agreement.Outcome.Granted;
import willowdoor.agreement.Permit.Stage;
import willowdoor.agreement.Subject;
import willowdoor.agreement.Subject.Kind;
import willowdoor.net.EndpointUpdate;
import willowdoor.steward.link.Answer;
import willowdoor.steward.link.OperatorClient;
import willowdoor.steward.link.FleetStatus;
import willowdoor.testkit.BackendPool;
import willowdoor.testkit.ClientFleet;
import willowdoor.testkit.InvariantChecker;
import willowdoor.testkit.StandIns;
import willowdoor.testkit.RunSettings;

/** Tests the smallest fleet: one daemon with a steward inside its process. */
@Timeout(120)
class InnerStewardTest {

  private static final long LIMIT_MS = 20_000;

  private static void await(OperatorClient operator, String what, Predicate<FleetStatus> condition) {
    assertTrue(FleetRun.await(() -> {
      try {
        return operator.status(1_000) instanceof Answer.Stands s && condition.test(s.standing());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return false;
      }
    }, LIMIT_MS), what);
  }

  /** The process is replaced, then killed: the record survives, and nothing is sent to the backend out. */
  @Test
  void outlivesItsDaemonsProcess() throws Exception {
    try (FleetRun run =
        new FleetRun(RunSettings.typical(), new BackendPool.BackendSpec(3, 4, 32, 5, 10), 1, 7)) {
      String address = StandIns.text(run.address(0, 7_101));
      Path file = Files.writeString(run.folder().resolve("steward.toml"), "[steward]\nname = \"a\"\nstore = "
          + '"' + run.folder().resolve("a.db") + "\"\n[[member]]\nname = \"a\"\naddress = \"" + address
          + "\"\n[terms]\nlease_ms = 1500\n");
      run.addTables("[agreement]\nenabled = true\nstewards = [\"" + address + "\"]\nsteward = \"" + file
          + "\"\n");
      run.rig().budgets(new InvariantChecker.Budgets(1, 1, x -> x.startsWith("d"), 15_000));
      run.start(new ClientFleet.Load(40, 10, 0.1, 5, 1));
      run.clients().start();
      Subject b0 = new Subject(Kind.BACKEND, Long.toHexString(EndpointUpdate.idOf("b0")));
      try (OperatorClient ana = new OperatorClient("fleet", "ana", List.of(run.address(0, 7_101)))) {
        await(ana, "all known", s -> s.backends() == 3 && s.doorsOut() == 0);
        Answer answer = ana.put(new RequestPermit(0, "r1", b0, "ana", "disk", false), LIMIT_MS);
        Granted granted = assertInstanceOf(Granted.class,
            assertInstanceOf(Answer.Came.class, answer).outcome());
        await(ana, "out", s -> s.permits().get(0).stage() == Stage.OUT);
        run.rig().eventHistory().addMachineEntry(willowdoor.testkit.EventHistory.Kind.OUT, "b0", "");
        assertTrue(run.replace(0, LIMIT_MS), () -> "replaced");
        await(ana, "out after the upgrade",
            s -> s.permits().get(0).stage() == Stage.OUT && s.doorsOut() == 0);
        run.doors().get(0).kill();
        run.doors().get(0).start();
        await(ana, "out after the kill", s -> s.permits().get(0).stage() == Stage.OUT && s.doorsOut() == 0);
        run.rig().eventHistory().addMachineEntry(willowdoor.testkit.EventHistory.Kind.GIVEN_BACK, "b0", "");
        ana.put(new ReturnPermit(0, b0, granted.permit(), "ana"), LIMIT_MS);
        await(ana, "back", s -> s.permits().isEmpty());
      }
      InvariantChecker.Verdict verdict = run.finish();
      assertTrue(verdict.passed(), verdict::toString);
    }
  }
}
