package willowdoor.daemon.agreement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetSocketAddress;
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
import willowdoor.agreement.OutageLimit;
import willowdoor.agreement.FleetSettings;
import willowdoor.steward.StewardId;
import willowdoor.steward.link.StewardProcess;

/** Output and exit codes of the command {@code permits}. */
@Timeout(60)
class PermitsCommandTest {

  @TempDir
  private Path folder;
  private StewardProcess steward;
  private String printed;

  @BeforeEach
  void start() throws Exception {
    StewardId self = new StewardId("a", "1");
    InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
    Budget one = new Budget(OutageLimit.of(1), OutageLimit.UNLIMITED, 0);
    steward = new StewardProcess(new StewardProcess.Settings("fleet", self, any, folder.resolve("a.db"),
        Map.of(self, any), new FleetSettings(one, one, 1_500), StewardProcess.Start.BEGIN));
  }

  @AfterEach
  void close() throws Exception {
    steward.close();
  }

  private int permits(String... words) {
    List<String> all = new ArrayList<>(List.of(words));
    if (!all.contains("--stewards")) {
      all.addAll(List.of("--stewards", "127.0.0.1:" + steward.address().getPort()));
    }
    StringWriter text = new StringWriter();
    CommandLine line = new CommandLine(PermitsCommand.class).setOut(new PrintWriter(text, true))
        .setErr(new PrintWriter(text, true));
    int code = line.execute(all.toArray(String[]::new));
    printed = text.toString();
    return code;
  }

  @Test
  void printsYesNoOrWhyTheOutcomeIsUnknown() throws Exception {
    assertEquals(3, permits("ask", "door", "d1", "--reason", "disk"), () -> printed);
    assertEquals("no: no door d1 is known", printed.strip());
    assertEquals(3, permits("return", "backend", "b1"), () -> printed);
    assertEquals(3, permits("forget", "d1"), () -> printed);
    assertEquals("no: no door or process is called d1", printed.strip());
    assertEquals(1, permits("status", "--fleet", "other", "--limit-ms", "300"));
    assertTrue(printed.contains("a steward of \"fleet\", not of \"other\""), printed);
    assertEquals(0, permits("status"));
    assertTrue(printed.startsWith("steward a leads"), printed);
    assertEquals(0, permits("status", "--json"));
    assertEquals("a", new ObjectMapper().readTree(printed).get("leader").asText());
    assertEquals(0, permits("steward", "b", "LISTEN"), () -> printed);
    assertTrue(printed.contains("name=a") && !printed.contains("name=b"), printed);
  }

  @Test
  void invalidCommandLinesAreReported() {
    assertEquals(2, permits("ask", "zone", "a", "--reason", "disk"));
    assertTrue(printed.contains("\"zone\" (expected: door or backend)"), printed);
    assertEquals(2, permits("status", "--stewards", "localhost:1"));
    assertTrue(printed.contains("expected: numeric addresses with ports"), printed);
    assertEquals(2, permits("ask", "door", "d1"));
  }
}
