package willowdoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Pins what two processes of one front door tell each other, as an earlier build wrote it. */
class PinnedProcessFormsTest {

  @TempDir
  private Path folder;

  @Test
  void theStateIsReadAndWrittenAsBefore() throws IOException {
    String text;
    try (InputStream in = getClass().getResourceAsStream("/pinned/state.txt")) {
      text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
    assertEquals(text, FrontDoorState.parse(text).format());
  }

  @Test
  void theProcessFileIsReadAndWrittenAsBefore() throws IOException {
    Path file = folder.resolve("front-door.process");
    Files.writeString(file, "front-door-process 1 127.0.0.1:8123 end\n");
    ProcessFile twin = new ProcessFile(folder.toString());
    InetSocketAddress address = twin.read();
    assertEquals(8123, address.getPort());
    twin.write(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 8124));
    assertEquals("front-door-process 1 127.0.0.1:8124 end\n", Files.readString(file));
  }
}
