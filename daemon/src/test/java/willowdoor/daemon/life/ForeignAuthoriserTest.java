package willowdoor.daemon.life;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import willowdoor.testkit.RequestKind;

/** Checks against a third-party authoriser; run by {@code bench/authorisation foreign}. */
@Timeout(60)
@EnabledIfSystemProperty(named = "foreign.port", matches = "\\d+")
class ForeignAuthoriserTest {

  @Test
  void itsAllowsAndDenialsAreUnderstood() throws Exception {
    int port = Integer.getInteger("foreign.port");
    try (AuthorisedFixture at = new AuthorisedFixture(2, 20, false)) {
      at.daemons.rig.authorise(null);
      Daemon daemon = at.startDaemon("[[authoriser]]\nname = \"foreign\"\naddress = \"127.0.0.1:" + port
          + "\"\n[[member]]\nname = \"all\"\nauthorisers = [\"foreign\"]\n", "");
      DaemonFixture.Caller caller = at.caller(daemon);
      for (int i = 0; i < 50; i++) {
        caller.send("foreign-" + i, RequestKind.BUY, 2_000);
        boolean denied = i % 10 == 7;
        assertEquals(denied ? 402 : 200, caller.receiveStatus(), "request " + i);
        assertEquals(denied, !at.reachedBackend("foreign-" + i));
        if (denied) {
          assertEquals("not this one", caller.body());
        }
      }
      assertEquals("node", at.daemons.rig.backendPool().all().stream().filter(b -> b.lastHeaders() != null)
          .findFirst()
          .orElseThrow().lastHeaders().get("X-Approved-By"));
    }
  }
}
