package willowdoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The warm-up with made-up requests before the first client. */
@Timeout(30)
class WarmUpTest {

  private final Peers peers = new Peers();

  @AfterEach
  void close() throws Exception {
    peers.close();
  }

  /**
   * The made-up requests pass through all of the code, or they would warm up nothing, and no peer sees any of
   * them.
   */
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
