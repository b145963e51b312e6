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

  /** A process that holds a lock as a daemon does, prints that it does, and waits to be killed. */
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

  /**
   * The end of a holder is detected whether its process was killed or it released its lock in order, even
   * within the same process. A living holder is never reported.
   */
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
      assertEquals(List.of("one"), own.ended(), "until it is forgotten");
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
