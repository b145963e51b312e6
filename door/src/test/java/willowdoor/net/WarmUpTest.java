package willowdoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The made-up requests before service. */
@Timeout(30)
class WarmUpTest {

  private final Peers peers = new Peers();

  @AfterEach
  void close() throws Exception {
    peers.close();
  }

  /** They go the whole way, or they would warm nothing; and nobody outside sees anything of them. */
  @Test
  void servesMadeUpRequestsWithoutTouchingASocket() throws Exception {
    String config = peers.config(Peers.rosterEntry("s-1", peers.backend.getLocalPort(), "active"));
    int served = new WarmUp(Peers.parse(config)).run(20_000);
    assertTrue(served > WarmUp.MAX_REQUESTS / 2, served + " served");
    assertTrue(peers.backendRequests.isEmpty() && peers.counterLines.isEmpty()
        && peers.watchRequests.isEmpty());
    peers.start(config);
    assertEquals(200, peers.client().ask(Peers.get("real", 3000)).status());
    assertEquals("real", Peers.next(peers.backendRequests).header("Request-Id"));
  }
}
