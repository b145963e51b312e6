package willowdoor.net;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A front door in its own process reloads a replaced configuration. */
@Timeout(60)
class SighupTest {

  @TempDir
  private Path folder;
  private final Peers before = new Peers();
  private final Peers after = new Peers();
  private Path file;
  private Process door;

  @AfterEach
  void close() throws Exception {
    if (door != null) {
      door.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
    }
    before.close();
    after.close();
  }

  /** Starts a front door by a shell that runs the prefix first, and waits until it watches discovery. */
  private void start(String shellPrefix) throws Exception {
    file = Files.writeString(folder.resolve("config.json"), before.config());
    List<String> command = new ArrayList<>(List.of("sh", "-c", shellPrefix + "exec \"$@\"", "sh",
        Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:TieredStopAtLevel=1",
        "-cp", System.getProperty("java.class.path"), "willowdoor.Main", "serve"));
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
        .redirectOutput(folder.resolve("log").toFile());
    builder.environment().put("GW_CONFIG", file.toString());
    door = builder.start();
    Peers.next(before.watchRequests);
  }

  private void replace() throws Exception {
    Path fresh = Files.writeString(folder.resolve("fresh.json"), after.config());
    Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE);
  }

  @Test
  void reloadsOnSighup() throws Exception {
    assumeFalse(maskHoldsSighup("SigIgn", "self"),
        "the tests were started by nohup: a door cannot receive the signal");
    start("");
    // A SIGHUP before the handler is installed would end the process.
    assertTrue(maskHoldsSighup("SigCgt", Long.toString(door.pid())));
    replace();
    new ProcessBuilder("kill", "-HUP", Long.toString(door.pid())).start().waitFor();
    Peers.next(after.watchRequests);
    assertTrue(door.isAlive());
  }

  /**
   * A start takes a second or more where CPU is short: the front door checks once more when it is able to
   * reload.
   */
  @Test
  void aReplacementDuringTheStartIsSeen() throws Exception {
    file = Files.writeString(folder.resolve("config.json"), before.config());
    ReloadTrigger trigger = new ReloadTrigger(file);
    assertFalse(trigger.hasChanged());
    replace();
    assertTrue(trigger.hasChanged());
    Files.delete(file);
    assertFalse(trigger.hasChanged());
    replace();
    assertTrue(trigger.hasChanged());
  }

  /** Whether a signal mask of a process, by its name in /proc, holds SIGHUP. */
  private static boolean maskHoldsSighup(String mask, String process) throws IOException {
    String line = Files.readString(Path.of("/proc/" + process + "/status")).lines()
        .filter(l -> l.startsWith(mask)).findFirst().orElseThrow();
    return (Integer.parseInt(line.substring(line.length() - 1), 16) & 1) == 1;
  }

  /**
   * A process started by nohup, or by a child of such a process, gets no SIGHUP, and discovery at the old
   * address no longer reports drains.
   */
  @Test
  void reloadsByPollingWhereSighupIsIgnored() throws Exception {
    start("trap '' HUP; ");
    replace();
    Peers.next(after.watchRequests);
    assertTrue(door.isAlive());
  }
}
