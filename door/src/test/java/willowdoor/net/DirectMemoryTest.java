package willowdoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against an event loop that stalls where direct memory runs out, whatever holds it: the JVM waits
 * half a second for each buffer that it cannot give.
 */
@Timeout(60)
class DirectMemoryTest {

  private static final long STALL_LIMIT_MS = 100;
  private static final int FAILURES = 5;
  private static final int BUFFER_BYTES = 60_000;

  @TempDir
  private Path folder;

  @Test
  void anAllocationBeyondTheLimitFailsAtOnce() throws Exception {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(RunLine.jvmOptions());
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), Probe.class.getName()));
    Path log = folder.resolve("log");
    Process process = new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile())
        .start();
    assertEquals(0, process.waitFor(), Files.readString(log));
  }

  /** Takes all direct memory in a process of its own; exits with 1 if an allocation that fails takes long. */
  public static final class Probe {

    private Probe() {
    }

    public static void main(String[] args) {
      List<ByteBuf> held = new ArrayList<>();
      long longestNanos = 0;
      for (int failures = 0; failures < FAILURES;) {
        long fromNanos = System.nanoTime();
        try {
          held.add(ByteBufAllocator.DEFAULT.directBuffer(BUFFER_BYTES));
        } catch (OutOfMemoryError e) {
          failures++;
          longestNanos = Math.max(longestNanos, System.nanoTime() - fromNanos);
        }
      }
      long longestMs = TimeUnit.NANOSECONDS.toMillis(longestNanos);
      System.out.println(held.size() + " buffers; the longest failing allocation took " + longestMs + " ms");
      System.exit(longestMs > STALL_LIMIT_MS ? 1 : 0);
    }
  }
}
