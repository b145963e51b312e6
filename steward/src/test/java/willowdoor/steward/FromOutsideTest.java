package willowdoor.steward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import willowdoor.agreement.Command;

/** Invalid messages and storage files. The emulator's tests cover the consensus itself. */
class FromOutsideTest {

  @TempDir
  private Path folder;

  /** A second process on the same disk could vote twice in a term. */
  @Test
  void diskIsOpenInOneProcessOnly() throws Exception {
    Path path = folder.resolve("one.db");
    try (DiskStore store = new DiskStore(path)) {
      assertEquals(null, store.restoredState());
      assertTrue(assertThrows(IOException.class, () -> new DiskStore(path)).getMessage()
          .startsWith("the store " + path + " cannot be opened"));
    }
    Files.write(path, new byte[5_000]);
    assertThrows(IOException.class, () -> new DiskStore(path));
  }

  @Test
  void unreadableInputIsReported() {
    for (String bytes : new String[] {"{", "{\"is\":\"Nothing\"}", "{\"is\":\"Tick\",\"atMs\":1,\"more\":2}",
        "{\"is\":\"Tick\"}"}) {
      String message = assertThrows(IllegalArgumentException.class,
          () -> Codec.readCommand(bytes.getBytes(StandardCharsets.UTF_8))).getMessage();
      assertTrue(message.startsWith("no command is in these " + bytes.length() + " bytes"), message);
    }
    for (String bytes : new String[] {"", "7", "{", "{\"from\":{\"name\":\"a\"}}",
        "{\"is\":\"Gossip\",\"term\":1,\"from\":{\"name\":\"a\",\"store\":\"b\"}}"}) {
      assertThrows(IllegalArgumentException.class,
          () -> RaftJson.decode(bytes.getBytes(StandardCharsets.UTF_8)), bytes);
    }
    String endless = "x".repeat(Codec.MAX_COMMAND_BYTES);
    assertTrue(assertThrows(IllegalArgumentException.class,
        () -> Codec.bytes(new Command.Forget(1, "f", endless, "a"))).getMessage().contains("a Forget of"));
  }
}
