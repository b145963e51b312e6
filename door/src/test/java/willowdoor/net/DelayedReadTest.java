package willowdoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import io.netty.channel.epoll.Epoll;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import willowdoor.net.Peers.Client;
import willowdoor.net.Peers.Message;

/** Requests that arrive while the event loop is blocked, as in a front door that is short of CPU. */
@Timeout(30)
class DelayedReadTest {

  private final Peers peers = new Peers();
  private final CountDownLatch loopBlocked = new CountDownLatch(1);
  private final CountDownLatch releaseLoop = new CountDownLatch(1);

  @BeforeEach
  void blockLoop() throws Exception {
    FrontDoor door = peers.start();
    assertEquals(200, peers.client().ask(Peers.get("first", 3000)).status());
    Peers.next(peers.backendRequests);
    door.loop.execute(() -> {
      loopBlocked.countDown();
      try {
        releaseLoop.await(10, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    });
    loopBlocked.await();
  }

  @AfterEach
  void close() throws Exception {
    peers.close();
  }

  @Test
  void noWorkIsDoneForClientsThatHaveGone() throws Exception {
    for (int i = 0; i < 20; i++) {
      Client gone = peers.client();
      gone.send(Peers.get("gone" + i, 3000));
      gone.close();
    }
    Client stays = peers.client();
    stays.send(Peers.get("stays", 3000));
    releaseLoop.countDown();
    assertEquals(200, stays.receive().status());
    assertEquals("stays", Peers.next(peers.backendRequests).header("Request-Id"));
  }

  /** A backend gets the time that is left, not the time that the request had when it arrived. */
  @Test
  void timeCountsFromTheArrivalOfTheRequest() throws Exception {
    assumeTrue(Epoll.isAvailable(), "only epoll reports when bytes arrived");
    Client client = peers.client();
    client.send(Peers.get("old", 3000));
    TimeUnit.MILLISECONDS.sleep(500);
    releaseLoop.countDown();
    assertEquals(200, client.receive().status());
    Message sent = Peers.next(peers.backendRequests);
    int left = Integer.parseInt(sent.header("Request-Timeout-Ms"));
    assertTrue(left < 2_600, left + " ms sent, after 500 of 3000 ms had passed");
  }

  @Test
  void aRequestThatIsReadTooLateIsNotSent() throws Exception {
    assumeTrue(Epoll.isAvailable(), "only epoll reports when bytes arrived");
    Client client = peers.client();
    client.send(Peers.get("over", 300));
    TimeUnit.MILLISECONDS.sleep(400);
    releaseLoop.countDown();
    assertEquals(503, client.receive().status());
    assertTrue(peers.backendRequests.isEmpty());
  }
}
