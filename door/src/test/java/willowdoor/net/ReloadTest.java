package willowdoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import willowdoor.net.Peers.Client;

/** A replaced configuration moves discovery and the counter to other addresses under load. */
@Timeout(30)
class ReloadTest {

  @TempDir
  private Path folder;
  private final Peers before = new Peers();
  private final Peers after = new Peers();
  private Path file;
  private FrontDoor door;

  @BeforeEach
  void start() throws Exception {
    file = folder.resolve("config.json");
    door = before.start();
    Peers.next(before.watchRequests);
  }

  @AfterEach
  void close() throws Exception {
    before.close();
    after.close();
  }

  private void reload(String config) throws Exception {
    Files.writeString(file, config);
    door.reload(file);
  }

  @Test
  void movesToTheNewAddressesWithoutLosingRequests() throws Exception {
    Client client = before.client();
    assertEquals(200, client.ask(Peers.get("r1", 3000)).status());
    Peers.next(before.counterLines);
    reload(after.config());
    assertTrue(Peers.next(after.watchRequests).contains("index=7 "));
    after.sendToNewestWatch(Peers.rosterJson(8, false) + "\n");
    int n = 0;
    while (after.counterLines.poll(20, TimeUnit.MILLISECONDS) == null) {
      assertEquals(200, client.ask(Peers.get("m" + n++, 3000)).status());
    }
    before.counterLines.clear();
    assertEquals(200, client.ask(Peers.get("r2", 3000)).status());
    Peers.next(after.counterLines);
    assertTrue(before.counterLines.isEmpty());
    assertTrue(before.watchRequests.isEmpty());
  }

  @Test
  void aBrokenFileLeavesTheOldAddressesInUse() throws Exception {
    reload("{\"discovery\":");
    reload(after.config().replace("\"discovery\":\"127.0.0.1", "\"discovery\":\"nowhere"));
    Files.delete(file);
    door.reload(file);
    Client client = before.client();
    assertEquals(200, client.ask(Peers.get("r1", 3000)).status());
    Peers.next(before.counterLines);
    before.sendToNewestWatch(Peers.rosterJson(8, true) + "\n");
    for (int n = 0; client.ask(Peers.get("r" + n, 500)).status() == 200; n++) {
      Thread.onSpinWait();
    }
    assertTrue(after.watchRequests.isEmpty());
  }
}
