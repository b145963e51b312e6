package willowdoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import willowdoor.net.Peers.Client;

/** Pipelined requests behind one in progress: each that was read completely gets its own answer. */
@Timeout(30)
class PipelinedTest {

  private static final long READ_MS = 200;
  private static final int ENOUGH_PERMITS = 100;
  private static final int TOO_LARGE_BYTES = 70_000;

  private final Peers peers = new Peers();
  /** Permits for the answers of the backend: one is taken for each answer. */
  private final Semaphore answers = new Semaphore(0);
  private FrontDoor gateway;
  private Client client;

  /** Sends a first request that waits at the backend. */
  @BeforeEach
  void firstRequestIsUnderWay() throws Exception {
    gateway = peers.start();
    peers.answer = (request, out) -> {
      try {
        return answers.tryAcquire(10, TimeUnit.SECONDS) && Peers.write(out, Peers.OK);
      } catch (InterruptedException e) {
        return false;
      }
    };
    client = peers.client();
    client.send(Peers.get("first", 3_500));
    Peers.next(peers.backendRequests);
  }

  @AfterEach
  void close() throws Exception {
    answers.release(ENOUGH_PERMITS);
    peers.close();
  }

  private void sendBehind(String bytes) throws Exception {
    client.send(bytes);
    TimeUnit.MILLISECONDS.sleep(READ_MS);
  }

  /**
   * Guards against an error for the next request that the client takes for the answer to the previous one.
   */
  @Test
  void anErrorBehindARequestIsNotItsAnswer() throws Exception {
    sendBehind(Peers.post("large", "").replace("Content-Length: 0", "Content-Length: " + TOO_LARGE_BYTES)
        + "x".repeat(TOO_LARGE_BYTES));
    answers.release(ENOUGH_PERMITS);
    assertEquals(200, client.receive().status());
    assertTrue(client.isClosedByPeer());
  }

  /** Guards against requests that were read completely and are dropped when their connection is closed. */
  @Test
  void requestsReadBeforeADrainAreAnswered() throws Exception {
    sendBehind(Peers.get("second", 3_500) + Peers.get("third", 3_500));
    gateway.loop().submit(gateway::beginDrain).sync();
    answers.release(ENOUGH_PERMITS);
    assertNull(client.receive().header("Connection"));
    assertNull(client.receive().header("Connection"));
    assertEquals("close", client.receive().header("Connection"));
    assertTrue(client.isClosedByPeer());
  }

  /** Guards against a client that holds up the shutdown of a gateway by sending more and more requests. */
  @Test
  void aDrainingGatewayTakesNoFurtherRequests() throws Exception {
    sendBehind(Peers.get("second", 3_500));
    gateway.loop().submit(gateway::beginDrain).sync();
    answers.release();
    assertNull(client.receive().header("Connection"));
    sendBehind(Peers.get("third", 3_500));
    answers.release();
    assertEquals("close", client.receive().header("Connection"));
    assertTrue(client.isClosedByPeer());
  }

  /** Guards against attempts that begin when the process is about to exit and nobody would answer them. */
  @Test
  void noAttemptBeginsAfterFailAll() throws Exception {
    sendBehind(Peers.get("second", 3_500));
    Client incomplete = peers.client();
    String request = Peers.get("late", 3_500);
    incomplete.send(request.substring(0, 20));
    gateway.loop().submit(gateway::failAll).sync();
    assertEquals(502, client.receive().status());
    assertEquals(503, client.receive().status());
    incomplete.send(request.substring(20));
    assertEquals(503, incomplete.receive().status());
    assertTrue(peers.backendRequests.isEmpty());
  }
}
