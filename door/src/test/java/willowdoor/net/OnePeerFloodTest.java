package willowdoor.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import willowdoor.net.Peers.Client;

/**
 * One client that sends on one connection as fast as it can, beside usual clients, at a gateway in its own
 * process with the memory of the run line: the others are served in time, and the process stays in bounds.
 */
@Timeout(120)
class OnePeerFloodTest {

  private static final String USUAL_CUSTOMER = "00000000b4d65521";
  private static final int BACKENDS = 4;
  private static final int BACKLOG = 512;
  private static final int AT_ONCE = 12;
  private static final long FLOOD_MS = 6_000;
  private static final int TIMEOUT_MS = 3_000;
  private static final int LATE_MS = 550;
  /** A usual client asks once in 20 ms, and is answered within a millisecond or two without a flood. */
  private static final int MIN_SERVED = 100;
  private static final long MAX_ANSWER_MS = 500;

  @TempDir
  private Path folder;
  private final Peers peers = new Peers();
  private ServingProcess gateway;
  private boolean waitsForAnswers = true;
  private long sent;

  @BeforeEach
  void start() throws Exception {
    String[] backends = new String[BACKENDS];
    for (int i = 0; i < BACKENDS; i++) {
      int port = peers.listen(BACKLOG, peers::serveBackend).getLocalPort();
      backends[i] = Peers.rosterEntry("s-" + i, port, "active");
    }
    String config = peers.config(backends)
        .replace("\"seed\"", "\"limits\":{\"cores\":1,\"memory_mb\":192,\"sockets\":1024},\"seed\"")
        .replace("\"Refill\":400,\"PeakUnits\":4000", "\"Refill\":4000,\"PeakUnits\":40000");
    gateway = new ServingProcess(folder, config, RunLine.jvmOptions());
  }

  @AfterEach
  void close() throws Exception {
    gateway.close();
    peers.close();
  }

  /** Makes the text of the request with that number. */
  private interface Requests {
    String text(int number);
  }

  /** Sends requests as fast as their answers come, on one connection at a time. */
  private void flood(long endNanos, Requests requests) {
    Peers.thread(() -> {
      int number = 0;
      while (System.nanoTime() < endNanos) {
        try (Client client = gateway.client()) {
          AtomicInteger answers = readAnswers(client);
          int sentHere = 0;
          while (System.nanoTime() < endNanos) {
            StringBuilder batch = new StringBuilder();
            for (int i = 0; i < AT_ONCE; i++) {
              batch.append(requests.text(number++));
            }
            client.send(batch.toString());
            sentHere += AT_ONCE;
            sent += AT_ONCE;
            while (waitsForAnswers && answers.get() < sentHere - AT_ONCE / 2 && answers.get() >= 0) {
              Thread.onSpinWait();
            }
          }
        } catch (IOException e) {
          // The gateway has ended the connection: the flood goes on on the next one.
        }
      }
    });
  }

  /** Counts the heads of answers that come; negative once the connection has ended. */
  private static AtomicInteger readAnswers(Client client) {
    AtomicInteger answers = new AtomicInteger();
    Peers.thread(() -> {
      try {
        InputStream in = client.socket.getInputStream();
        byte[] into = new byte[16_384];
        byte[] start = {'H', 'T', 'T', 'P', '/'};
        int matched = 0;
        for (int n = in.read(into); n >= 0; n = in.read(into)) {
          for (int i = 0; i < n; i++) {
            matched = into[i] == start[matched] ? matched + 1 : into[i] == start[0] ? 1 : 0;
            if (matched == start.length) {
              answers.incrementAndGet();
              matched = 0;
            }
          }
        }
      } finally {
        answers.set(Integer.MIN_VALUE);
      }
    });
    return answers;
  }

  private void othersAreServedBeside(Requests requests) throws Exception {
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FLOOD_MS);
    flood(endNanos, requests);
    othersAreServed(endNanos);
  }

  /** Asks one request after the other on a kept connection. */
  private void othersAreServed(long endNanos) throws Exception {
    int served = 0;
    long longestMs = 0;
    try (Client client = gateway.client()) {
      client.socket.setSoTimeout(TIMEOUT_MS + LATE_MS);
      for (int i = 0; System.nanoTime() < endNanos; i++) {
        long sentNanos = System.nanoTime();
        Peers.Message answer = client.ask(Peers.post("usual" + i, "small"));
        served += answer.status() == 200 ? 1 : 0;
        longestMs = Math.max(longestMs, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos));
        TimeUnit.MILLISECONDS.sleep(20);
      }
    } catch (IOException e) {
      throw new AssertionError(sent + " sent, " + served + " served; the gateway's log: " + gateway.log(), e);
    }
    String seen = sent + " sent, " + served + " served, the longest in " + longestMs + " ms\n";
    System.out.println(seen);
    assertTrue(gateway.isAlive(), seen + gateway.log());
    assertTrue(served >= MIN_SERVED, seen + gateway.log());
    assertTrue(longestMs <= MAX_ANSWER_MS, seen + gateway.log());
  }

  private static String customer(int number) {
    return String.format("%016x", 9_000 + number);
  }

  /** Guards against state for ever new names in no bound, and against one client that takes all turns. */
  @Test
  void smallRequestsUnderEverNewNames() throws Exception {
    othersAreServedBeside(number ->
        Peers.get("bad" + number, TIMEOUT_MS).replace(USUAL_CUSTOMER, customer(number)));
  }

  /** Guards against unsound requests, each answered at once, that take all turns of the loop. */
  @Test
  void unsoundRequests() throws Exception {
    othersAreServedBeside(number -> Peers.get("bad" + number, TIMEOUT_MS).replace("units=2", "units=x"));
  }

  /** Guards against a client that sends on and on and leaves its answers unread. */
  @Test
  void requestsWithoutWaitingForAnswers() throws Exception {
    waitsForAnswers = false;
    othersAreServedBeside(number ->
        Peers.get("bad" + number, TIMEOUT_MS).replace(USUAL_CUSTOMER, customer(number)));
  }

  /** Guards against input that never becomes a request, such as blank lines ahead of one. */
  @Test
  void blankLinesAheadOfARequest() throws Exception {
    waitsForAnswers = false;
    String lines = "\r\n".repeat(1_000);
    othersAreServedBeside(number -> lines);
  }

  /** Guards against bodies in the smallest pieces, each of which costs as much as a large one. */
  @Test
  void bodiesInTinyChunks() throws Exception {
    waitsForAnswers = false;
    String chunks = "1\r\nx\r\n".repeat(2_000) + "0\r\n\r\n";
    othersAreServedBeside(number -> Peers.post("bad" + number, "").replace("Content-Length: 0",
        "Transfer-Encoding: chunked") + chunks);
  }

  /** Guards against a long answer in the smallest pieces, each of which is decoded and written by itself. */
  @Test
  void aLongAnswerInTinyChunks() throws Exception {
    byte[] chunks = "1\r\nx\r\n".repeat(10_000).getBytes(StandardCharsets.ISO_8859_1);
    peers.answer = (request, out) -> {
      if (request.firstLine().startsWith("POST")) {
        return Peers.write(out, Peers.OK);
      }
      Peers.write(out, "HTTP/1.1 200 OK\r\nX-Units-Charged: 2\r\nTransfer-Encoding: chunked\r\n\r\n");
      while (true) {
        out.write(chunks);
      }
    };
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FLOOD_MS);
    try (Client reader = gateway.client()) {
      reader.send(Peers.get("long", TIMEOUT_MS));
      readAnswers(reader);
      othersAreServed(endNanos);
    }
  }

  /** Guards against questions for the readiness that take all turns of the loop. */
  @Test
  void questionsForReadiness() throws Exception {
    othersAreServedBeside(number -> "GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
  }
}
