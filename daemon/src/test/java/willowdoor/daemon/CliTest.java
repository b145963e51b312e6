package willowdoor.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

class CliTest {

  private final StringWriter out = new StringWriter();
  private final StringWriter err = new StringWriter();

  private int run(String... words) {
    return Cli.commandLine().setOut(new PrintWriter(out)).setErr(new PrintWriter(err)).execute(words);
  }

  @Test
  void printsVersionCommandsAndExitCodes() {
    assertEquals(0, run("--version"));
    assertTrue(out.toString().startsWith("willowdoor "));
    assertEquals(0, run("--help"));
    for (String command : new String[] {"daemon", "check-config", "demo", "fleet", "serve", "benchlink"}) {
      assertTrue(out.toString().contains(command), out::toString);
    }
    assertTrue(out.toString().contains("Exit codes"));
  }

  @Test
  void anInvalidCommandLineIsAUsageError() {
    assertEquals(CommandLine.ExitCode.USAGE, run("daemon"));
    assertTrue(err.toString().contains("--config"));
    assertEquals(CommandLine.ExitCode.USAGE, run("deamon", "--config", "x"));
    assertTrue(err.toString().contains("daemon"), err::toString);
    assertEquals(CommandLine.ExitCode.USAGE, run());
  }

  @Test
  void anUnknownFaultIsNamedWithTheExpectedValues() {
    assertEquals(CommandLine.ExitCode.USAGE, run("fleet", "--fault", "LOSE_ALL@1+1"));
    assertTrue(err.toString().contains("LOSE_ALL@1+1 (expected: KIND@AT_MS+FOR_MS"), err::toString);
    assertEquals(CommandLine.ExitCode.USAGE, run("fleet", "--fault", "KILL_DOOR"));
  }

  @Test
  void checksAFileAndChangesNothing(@TempDir Path folder) throws Exception {
    assertEquals(0, run("check-config", Path.of("..", "deploy", "willowdoor.toml").toString()));
    assertTrue(out.toString().contains("is good"));
    Path bad = folder.resolve("bad.toml");
    Files.writeString(bad, "[instance]\nname = 3\n[limits]\nmemory_mb = 1\n");
    assertEquals(Cli.EXIT_USAGE, run("check-config", bad.toString()));
    assertTrue(err.toString().contains("line 2: instance.name: 3"), err::toString);
    assertTrue(err.toString().contains("line 4: limits.memory_mb: 1"), err::toString);
    assertEquals(Cli.EXIT_USAGE, run("check-config", folder.resolve("none").toString()));
  }
}
