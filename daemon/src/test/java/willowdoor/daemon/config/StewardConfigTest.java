package willowdoor.daemon.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import willowdoor.agreement.OutageLimit;
import willowdoor.steward.StewardId;
import willowdoor.steward.link.StewardProcess;
import willowdoor.steward.link.StewardProcess.Start;

class StewardConfigTest {

  private static final String MEMBER = "[[member]]\nname = \"a\"\naddress = \"127.0.0.1:7101\"\n";
  private static final String STEWARD = "[steward]\nname = \"a\"\nstore = \"a.db\"\n";

  @TempDir
  private Path folder;

  private StewardProcess.Settings read(String text) throws Exception {
    return StewardConfig.read(Files.writeString(folder.resolve("s.toml"), text), Start.BEGIN);
  }

  private String problem(String text) {
    return assertThrows(ConfigException.class, () -> read(text)).getMessage();
  }

  @Test
  void theShippedFileIsValid() throws Exception {
    StewardProcess.Settings s = StewardConfig.read(Path.of("..", "deploy", "steward.toml"), Start.GO_ON);
    assertEquals(3, s.members().size());
    assertEquals(new StewardId("a", "1"), s.self());
    assertEquals(3_000, s.initialTerms().leaseMs());
    assertEquals(OutageLimit.of(1), s.initialTerms().doors().inAll());
  }

  @Test
  void sharesAndNumbersAreRead() throws Exception {
    StewardProcess.Settings s = read(STEWARD + MEMBER
        + "[terms]\ndoors_out = \"10%\"\nbackends_out = 3\nbackends_least_weight = 12.5\nlease_ms = 800\n");
    assertEquals(OutageLimit.ofShare(0.1), s.initialTerms().doors().inAll());
    assertEquals(OutageLimit.of(3), s.initialTerms().backends().inAll());
    assertEquals(12.5, s.initialTerms().backends().leastWeight());
  }

  @Test
  void allProblemsAreReportedTogether() {
    String all = problem("[steward]\nname = \"b\"\nstroe = \"x\"\n" + MEMBER
        + "[terms]\ndoors_out = \"200%\"\nlease_ms = 5\n");
    for (String part : new String[] {"steward.store", "did you mean steward.store?", "one of the name \"b\"",
        "terms.doors_out", "terms.lease_ms"}) {
      assertTrue(all.contains(part), all);
    }
    assertTrue(problem(STEWARD).contains("at least 1 table [[member]]"));
    assertTrue(problem(STEWARD + MEMBER + MEMBER).contains("a name that no other table has"));
    assertTrue(problem("[steward").contains("syntax"));
    assertTrue(assertThrows(IOException.class, () -> StewardConfig.read(folder.resolve("none"), Start.BEGIN))
        .getMessage().contains("there is no file"));
  }
}
