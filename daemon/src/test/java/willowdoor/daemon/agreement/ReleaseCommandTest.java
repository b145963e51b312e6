package willowdoor.daemon.agreement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;
import willowdoor.agreement.Budget;
import willowdoor.agreement.Command.Activity;
import willowdoor.agreement.OutageLimit;
import willowdoor.agreement.FleetSettings;
import willowdoor.daemon.fleet.FleetCommand;
import willowdoor.steward.StewardId;
import willowdoor.steward.link.DoorLink;
import willowdoor.steward.link.StewardProcess;

/** Output and exit codes of the command {@code release}. */
@Timeout(60)
class ReleaseCommandTest {

  @TempDir
  private Path folder;
  private StewardProcess steward;
  private DoorLink door;
  private String printed;

  @BeforeEach
  void start() throws Exception {
    StewardId self = new StewardId("a", "1");
    InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
    Budget one = new Budget(OutageLimit.of(1), OutageLimit.UNLIMITED, 0);
    steward = new StewardProcess(new StewardProcess.Settings("fleet", self, any, folder.resolve("a.db"),
        Map.of(self, any), new FleetSettings(one, one, 1_500), StewardProcess.Start.BEGIN));
    door = new DoorLink(new DoorLink.Identity("fleet", "d1", "x", "a", 1, "1", 0), List.of(steward.address()),
        0.01,
        folder.resolve("d1"), 1, new NoOpHands());
    door.reportState(Activity.READY);
    while (permits("status") != 0 || !printed.contains("doors: 1, of them out: 0")) {
      Thread.sleep(20);
    }
  }

  @AfterEach
  void close() throws Exception {
    door.close();
    steward.close();
  }

  private static final class NoOpHands implements DoorLink.DoorControl {
    @Override
    public void takeOut(String backend) { }

    @Override
    public void putBack(String backend) { }

    @Override
    public void drain() { }

    @Override
    public void undrain() { }

    @Override
    public void replace(long attempt, String version) { }
  }

  private int permits(String... words) {
    return run(new CommandLine(PermitsCommand.class), List.of(words));
  }

  private int release(String... words) {
    List<String> all = new ArrayList<>(List.of("release"));
    all.addAll(List.of(words));
    return run(new CommandLine(new FleetCommand()), all);
  }

  private int run(CommandLine line, List<String> words) {
    List<String> all = new ArrayList<>(words);
    all.addAll(List.of("--stewards", "127.0.0.1:" + steward.address().getPort()));
    StringWriter text = new StringWriter();
    int code = line.setOut(new PrintWriter(text, true)).setErr(new PrintWriter(text, true))
        .execute(all.toArray(String[]::new));
    printed = text.toString();
    return code;
  }

  private String plan(String from, String to) throws Exception {
    return Files.writeString(folder.resolve("plan.toml"), "[release]\nfrom = \"" + from + "\"\nto = \"" + to
        + "\"\nwaves = [1]\n").toString();
  }

  @Test
  void onlyOneReleaseRunsAtATime() throws Exception {
    assertEquals(0, release("status"));
    assertEquals("no release yet", printed.strip());
    assertEquals(3, release("halt"));
    assertEquals("no: no release is under way", printed.strip());
    assertEquals(2, release("start", "--plan", plan("1", "1")));
    assertTrue(printed.contains("expected: two versions"), printed);
    assertEquals(2, release("start", "--plan", folder.resolve("none.toml").toString()));
    assertEquals(3, release("start", "--plan", plan("0", "2")));
    assertEquals("no: door d1 has version 1 (expected: 0 or 2, as never more than two serve)",
        printed.strip());
    assertEquals(0, release("start", "--plan", plan("1", "2"), "--request", "r"));
    assertEquals("yes, release 1", printed.strip());
    assertEquals(0, release("start", "--plan", plan("1", "2"), "--request", "r"));
    assertEquals(3, release("start", "--plan", plan("1", "3")));
    assertTrue(printed.startsWith("no: release 1 of 2, begun by"), printed);
    assertEquals(0, release("status"));
    assertTrue(printed.contains("1 to 2, forward, going") && printed.contains("d1 to 2: going, attempt 1"),
        printed);
    assertEquals(4, release("pause", "--wait-ms", "300"), printed);
    assertTrue(printed.contains("under way: d1"), printed);
    assertEquals(0, release("resume"));
    assertEquals(0, release("halt", "--wait-ms", "10000"), printed);
    assertEquals(0, release("back"));
    assertEquals(0, release("status", "--json"));
    assertEquals("BACK", new ObjectMapper().readTree(printed).get(0).get("course").asText());
  }
}
