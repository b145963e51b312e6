package willowdoor.daemon.life;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

@Timeout(60)
class ProcessLocksTest {

  /** Holds a lock as a daemon does, says so, and waits to be killed. */
  static final class Holder {
    private Holder() {
    }

    public static void main(String[] args) throws Exception {
      try (ProcessLocks locks = new ProcessLocks(Path.of(args[0]), args[1])) {
        System.out.println("holds " + locks.ended());
        System.in.read();
      }
    }
  }

  @TempDir
  private Path folder;

  private Process holder(String incarnation) throws IOException {
    Process process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
        "-cp", System.getProperty("java.class.path"), Holder.class.getName(),
        folder.resolve("door.lock").toString(), incarnation).start();
    assertTrue(process.inputReader().readLine().startsWith("holds"));
    return process;
  }

  /** Killed, in order or in this very process: an end shows, and a life does not. */
  @Test
  void showsWhichProcessesHaveEnded() throws Exception {
    Process one = holder("one");
    Process two = holder("two");
    try (ProcessLocks own = new ProcessLocks(folder.resolve("door.lock"), "own");
        ProcessLocks other = new ProcessLocks(folder.resolve("door.lock"), "beside")) {
      assertEquals(List.of(), own.ended());
      assertEquals(List.of(), other.ended());
      one.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
      assertEquals(List.of("one"), own.ended());
      assertEquals(List.of("one"), own.ended(), "until it is told of");
      own.forget("one");
      assertEquals(List.of(), own.ended());
    } finally {
      two.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
      one.destroyForcibly();
    }
    try (ProcessLocks next = new ProcessLocks(folder.resolve("door.lock"), "next")) {
      assertEquals(List.of("beside", "own", "two"), next.ended().stream().sorted().toList());
      assertTrue(Files.exists(folder.resolve("door.lock.process.next")));
    }
  }
}
