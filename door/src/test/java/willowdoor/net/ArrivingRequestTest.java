package willowdoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import willowdoor.net.Peers.Client;

/** Requests that arrive in pieces get an answer, whoever would close their connections meanwhile. */
@Timeout(60)
class ArrivingRequestTest {

  private static final int CROWD = 400;
  private static final int HEAD_PART = 100;
  private static final int BODY_BYTES = 2_000;
  private static final long CROWD_AFTER_MS = 400;
  private static final long REST_AFTER_MS = 1_000;
  /** With the time held up, longer than the 2,050 ms after which a connection may be closed for others. */
  private static final long IDLE_MS = 1_880;
  private static final long HELD_UP_MS = 145;
  private static final Set<Integer> SERVED_OR_REFUSED = Set.of(200, 503);
  /** SIGKILL comes no sooner after SIGTERM, with deadlines of 3 s and more. */
  private static final long KILL_MS = 3_700;

  @TempDir
  private Path folder;
  private final Peers peers = new Peers();
  private final List<Socket> crowd = new ArrayList<>();
  private ServingProcess gateway;

  @AfterEach
  void close() throws Exception {
    leave();
    gateway.close();
    peers.close();
  }

  private void start(String config) throws Exception {
    peers.answer = (request, out) -> Peers.write(out, Peers.OK);
    gateway = new ServingProcess(folder, config);
  }

  private void leave() throws IOException {
    for (Socket socket : crowd) {
      socket.close();
    }
    crowd.clear();
  }

  private static void pause(long ms) throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(ms);
  }

  private void crowd(int clients) throws IOException {
    for (int i = 0; i < clients; i++) {
      crowd.add(new Socket(gateway.address.getAddress(), gateway.address.getPort()));
    }
  }

  private Client usedClient(String id) throws IOException {
    Client client = gateway.client();
    assertEquals(200, client.ask(Peers.post(id, "b")).status(), gateway.log());
    return client;
  }

  private int statusFor(Client client, String what) throws IOException {
    try {
      return client.receive().status();
    } catch (IOException e) {
      throw new AssertionError("no answer to " + what + "\n" + gateway.log(), e);
    }
  }

  /** Guards against a request that is cut off as it arrives, to make room for clients that say nothing. */
  @Test
  void aRequestThatIsArrivingIsNotCutOffForACrowd() throws Exception {
    start(peers.smallConfig());
    String request = Peers.post("arriving", "b".repeat(BODY_BYTES));
    for (int part : new int[] {HEAD_PART, request.length() - BODY_BYTES / 2}) {
      Client client = usedClient("first" + part);
      pause(CROWD_AFTER_MS);
      String own = request.replace("arriving", "arriving" + part);
      client.send(own.substring(0, part));
      pause(CROWD_AFTER_MS);
      crowd(CROWD);
      pause(REST_AFTER_MS);
      client.send(own.substring(part));
      assertEquals(200, statusFor(client, part + " bytes first"));
      leave();
      pause(CROWD_AFTER_MS);
    }
  }

  /** Guards against a request that waits in its socket as its connection is closed as idle. */
  @Test
  void aRequestThatWaitsUnreadIsNotCutOffForACrowd() throws Exception {
    start(peers.smallConfig());
    Client client = usedClient("first");
    pause(IDLE_MS);
    crowd(CROWD);
    gateway.signal("STOP");
    crowd(1);
    client.send(Peers.post("unread", "b"));
    pause(HELD_UP_MS);
    gateway.signal("CONT");
    assertTrue(SERVED_OR_REFUSED.contains(statusFor(client, "the unread request")));
  }

  /** Guards against a request that is cut off as it arrives, at a planned restart. */
  @Test
  void aRequestThatIsArrivingAtAStopIsAnswered() throws Exception {
    start(peers.config(Peers.rosterEntry("s-1", peers.backend.getLocalPort(), "active")));
    Client inTime = usedClient("first");
    Client endless = usedClient("second");
    gateway.signal("TERM");
    long toldNanos = System.nanoTime();
    pause(KILL_MS / 2);
    String request = Peers.post("arriving", "b".repeat(BODY_BYTES));
    inTime.send(request.substring(0, HEAD_PART));
    endless.send(request.substring(0, HEAD_PART));
    pause(REST_AFTER_MS);
    inTime.send(request.substring(HEAD_PART));
    assertEquals(200, statusFor(inTime, "a request that has arrived before the end"));
    assertEquals(503, statusFor(endless, "a request that is arriving at the end"));
    long answeredMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - toldNanos);
    assertTrue(answeredMs < KILL_MS, "after " + answeredMs + " ms");
  }
}
