package willowdoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import willowdoor.net.Peers.Client;
import willowdoor.policy.AnswerLifecycle;

/**
 * Peers that would make a gateway hold more than its memory, in its own process with the memory of the run
 * line. The clients with requests of usual size are served meanwhile.
 */
@Timeout(90)
class MemoryBoundTest {

  private static final String USUAL_CUSTOMER = "00000000b4d65521";
  private static final int BACKENDS = 9;
  private static final int BACKLOG = 512;
  private static final int CLIENTS = 100;
  private static final int REQUESTS_AT_ONCE = 40;
  private static final int BODY_BYTES = 60_000;
  private static final int HEADERS = 3_000;
  private static final int RESPONSE_HEADERS = 1_500;
  private static final long DISRUPTION_MS = 4_000;
  /** The time of the usual clients' requests, and what is allowed beyond it. */
  private static final int TIMEOUT_MS = 3_000;
  private static final int LATE_MS = 550;
  private static final int MIN_SERVED = 20;
  private static final int MANY_REQUESTS = 600;
  private static final int STALL_CHECK_MS = 1_000;
  private static final int LONG_BYTES = 16 << 20;
  private static final int SLOW_READERS = 410;
  private static final int SMALL_RECEIVE_BUFFER_BYTES = 8_192;
  private static final int ANSWER_LIMIT_MS = 30_000;
  private static final int SLOW_PIECE_BYTES = 100;
  private static final long MEMORY_LIMIT_BYTES = 192L << 20;

  @TempDir
  private Path folder;
  private final Peers peers = new Peers();
  private final List<Socket> opened = new ArrayList<>();
  private ServingProcess gateway;

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
    for (Socket socket : opened) {
      socket.close();
    }
    gateway.close();
    peers.close();
  }

  private Socket open() throws IOException {
    Socket socket = new Socket(gateway.address.getAddress(), gateway.address.getPort());
    opened.add(socket);
    return socket;
  }

  /** Sends the bytes again and again on new connections, reads what comes, until the disruption is over. */
  private void sendUntil(long endNanos, Socket first, String[] requests) {
    Peers.thread(() -> {
      Socket socket = first;
      while (System.nanoTime() < endNanos) {
        Socket current = socket;
        Peers.thread(() -> {
          InputStream in = current.getInputStream();
          byte[] into = new byte[8_192];
          while (in.read(into) >= 0) {
            // Only the usual clients' answers are of interest.
          }
        });
        try {
          for (String request : requests) {
            Peers.write(current.getOutputStream(), request);
          }
          TimeUnit.MILLISECONDS.sleep(DISRUPTION_MS / 4);
        } catch (IOException | InterruptedException e) {
          // The gateway has ended the connection.
        }
        current.close();
        socket = new Socket(gateway.address.getAddress(), gateway.address.getPort());
      }
      socket.close();
    });
  }

  /** Asks one request after the other on a kept connection; returns how many were served. */
  private int usualRequestsServed(long endNanos) throws Exception {
    int served = 0;
    Client client = gateway.client();
    client.socket.setSoTimeout(TIMEOUT_MS + LATE_MS);
    for (int i = 0; System.nanoTime() < endNanos; i++) {
      Peers.Message answer = client.ask(Peers.post("usual" + i, "small"));
      served += answer.status() == 200 ? 1 : 0;
      if ("close".equals(answer.header("Connection"))) {
        client.close();
        client = gateway.client();
        client.socket.setSoTimeout(TIMEOUT_MS + LATE_MS);
      }
      TimeUnit.MILLISECONDS.sleep(20);
    }
    client.close();
    return served;
  }

  private void slowBackend() {
    peers.answer = (request, out) -> {
      pause(request.head().contains("usual") ? 1 : 1_000);
      return Peers.write(out, Peers.OK);
    };
  }

  private static void pause(long ms) throws IOException {
    try {
      TimeUnit.MILLISECONDS.sleep(ms);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  private static String customer(int client) {
    return String.format("%016x", 9_000 + client);
  }

  private static String[] requests(int client, String template) {
    String[] requests = new String[REQUESTS_AT_ONCE];
    for (int i = 0; i < requests.length; i++) {
      String id = "bad" + client + "-" + i;
      requests[i] = template.replace("r1", id).replace(USUAL_CUSTOMER, customer(client));
    }
    return requests;
  }

  private void usualClientsAreServedBeside(String template) throws Exception {
    slowBackend();
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DISRUPTION_MS);
    for (int i = 0; i < CLIENTS; i++) {
      sendUntil(endNanos, open(), requests(i, template));
    }
    try {
      int served = usualRequestsServed(endNanos);
      assertTrue(served >= MIN_SERVED, "served: " + served);
    } catch (IOException e) {
      throw new AssertionError("a usual client got no answer; the gateway's log: " + gateway.log(), e);
    }
    assertTrue(gateway.isAlive(), gateway.log());
  }

  /**
   * Guards against bodies in no bound: those of requests behind another one on their connection filled the
   * direct memory, from which on each read stalled the event loop and no client got an answer.
   */
  @Test
  void manyRequestsWithBodiesAtOnce() throws Exception {
    usualClientsAreServedBeside(Peers.post("r1", "x".repeat(BODY_BYTES)));
  }

  /** Guards against heads in no bound: one of many short headers takes tens of times its bytes of heap. */
  @Test
  void manyRequestsWithManyHeadersAtOnce() throws Exception {
    usualClientsAreServedBeside(Peers.get("r1", TIMEOUT_MS).replace("\r\n\r\n",
        "\r\n" + "a:b\r\n".repeat(HEADERS) + "\r\n"));
  }

  /** Guards against bodies in no bound that are received and never complete. */
  @Test
  void manyIncompleteBodies() throws Exception {
    String request = Peers.post("r1", "x".repeat(BODY_BYTES));
    usualClientsAreServedBeside(request.substring(0, request.length() - 1));
  }

  /** Reads an answer and drops its body; false if it is a refusal. */
  private static boolean readsCompleteAnswer(Socket socket) throws IOException {
    InputStream in = new BufferedInputStream(socket.getInputStream());
    StringBuilder head = new StringBuilder();
    while (!head.toString().endsWith("\r\n\r\n")) {
      int next = in.read();
      if (next < 0) {
        throw new EOFException();
      }
      head.append((char) next);
    }
    Peers.Message answer = new Peers.Message(head.toString(), new byte[0]);
    in.skipNBytes(Long.parseLong(answer.header("Content-Length")));
    return answer.status() == 200;
  }

  /** Guards against an unbounded sum of long answers to clients that read late: some were cut off. */
  @Test
  void manySlowReadersOfLongAnswers() throws Exception {
    byte[] body = new byte[LONG_BYTES];
    peers.answer = (request, out) -> {
      if (request.firstLine().startsWith("POST")) {
        return Peers.write(out, Peers.OK);
      }
      Peers.write(out, "HTTP/1.1 200 OK\r\nX-Units-Charged: 1\r\nContent-Length: " + LONG_BYTES + "\r\n\r\n");
      out.write(body);
      return true;
    };
    List<Socket> readers = new ArrayList<>();
    for (int i = 0; i < SLOW_READERS; i++) {
      Socket reader = new Socket();
      opened.add(reader);
      reader.setReceiveBufferSize(SMALL_RECEIVE_BUFFER_BYTES);
      reader.setSoTimeout(ANSWER_LIMIT_MS);
      reader.connect(gateway.address);
      readers.add(reader);
      Peers.write(reader.getOutputStream(), Peers.get("slow" + i, TIMEOUT_MS)
          .replace(USUAL_CUSTOMER, customer(i)));
    }
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DISRUPTION_MS);
    int served = usualRequestsServed(endNanos);
    assertTrue(served >= MIN_SERVED, "served: " + served);
    AtomicInteger complete = new AtomicInteger();
    AtomicInteger refused = new AtomicInteger();
    AtomicInteger cutOff = new AtomicInteger();
    List<Thread> threads = new ArrayList<>();
    for (Socket reader : readers) {
      Thread thread = new Thread(() -> {
        try {
          (readsCompleteAnswer(reader) ? complete : refused).incrementAndGet();
        } catch (IOException e) {
          cutOff.incrementAndGet();
        }
      });
      thread.start();
      threads.add(thread);
    }
    for (Thread thread : threads) {
      thread.join();
    }
    assertEquals(0, cutOff.get(), "cut off or unanswered; complete: " + complete + ", refused: " + refused);
    assertTrue(complete.get() >= SLOW_READERS / 2, "complete: " + complete + ", refused: " + refused);
  }

  /** Guards against answers lost where responses that are held until they are complete find no room. */
  @Test
  void manyHeldResponsesAreAllComplete() throws Exception {
    String half = "x".repeat(BODY_BYTES / 2);
    peers.answer = (request, out) -> {
      Peers.write(out, "HTTP/1.1 200 OK\r\nX-Units-Charged: 1\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n"
          + half);
      pause(500);
      return Peers.write(out, half);
    };
    List<Client> clients = new ArrayList<>();
    for (int i = 0; i < SLOW_READERS; i++) {
      Client client = gateway.client();
      opened.add(client.socket);
      clients.add(client);
      client.send(Peers.get("held" + i, TIMEOUT_MS).replace(USUAL_CUSTOMER, customer(i)));
    }
    int complete = 0;
    for (Client client : clients) {
      Peers.Message answer = client.receive();
      boolean served = answer.status() == 200;
      complete += served ? 1 : 0;
      assertEquals(served ? BODY_BYTES : 0, answer.body().length, "status " + answer.status());
    }
    assertTrue(complete >= SLOW_READERS / 2, "complete: " + complete);
  }

  /**
   * Guards against a process that passes its memory limit, and is killed for it: hundreds of clients at once
   * that write slowly, stop half way through a large request, send heads of very many short fields, or read
   * long answers slowly.
   */
  @Test
  void hundredsOfSlowClientsAtOnceStayWithinTheMemoryLimit() throws Exception {
    byte[] body = new byte[LONG_BYTES];
    peers.answer = (request, out) -> {
      if (request.firstLine().startsWith("POST")) {
        return Peers.write(out, Peers.OK);
      }
      Peers.write(out, "HTTP/1.1 200 OK\r\nX-Units-Charged: 1\r\nContent-Length: " + LONG_BYTES
          + "\r\n\r\n");
      out.write(body);
      return true;
    };
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DISRUPTION_MS);
    String large = Peers.post("r1", "x".repeat(BODY_BYTES));
    String manyFields = Peers.get("r1", TIMEOUT_MS).replace("\r\n\r\n",
        "\r\n" + "a:b\r\n".repeat(HEADERS) + "\r\n");
    for (int i = 0; i < CLIENTS; i++) {
      writeSlowly(endNanos, open(), large);
      sendUntil(endNanos, open(), new String[] {large.substring(0, large.length() / 2)});
      sendUntil(endNanos, open(), requests(i, manyFields));
      Peers.write(open().getOutputStream(), Peers.get("reads" + i, TIMEOUT_MS)
          .replace(USUAL_CUSTOMER, customer(CLIENTS + i)));
    }
    int served = usualRequestsServed(endNanos);
    assertTrue(gateway.isAlive(), gateway.log());
    long peakBytes = gateway.peakMemoryBytes();
    assertTrue(peakBytes <= MEMORY_LIMIT_BYTES, "peak: " + peakBytes);
    assertTrue(served >= MIN_SERVED, "served: " + served);
  }

  /** Writes a request in pieces of a few bytes until the disruption is over. */
  private static void writeSlowly(long endNanos, Socket socket, String request) {
    Peers.thread(() -> {
      for (int at = 0; System.nanoTime() < endNanos; at += SLOW_PIECE_BYTES) {
        Peers.write(socket.getOutputStream(), request.substring(at, at + SLOW_PIECE_BYTES));
        pause(10);
      }
    });
  }

  /** Guards against heads of responses in no bound: the heap of the process ran out. */
  @Test
  void manyResponsesWithManyHeaders() throws Exception {
    String head = "HTTP/1.1 200 OK\r\nX-Units-Charged: 1\r\nContent-Length: 4\r\n"
        + "a:b\r\n".repeat(RESPONSE_HEADERS) + "\r\n";
    peers.answer = (request, out) -> {
      if (request.firstLine().startsWith("POST")) {
        return Peers.write(out, Peers.OK);
      }
      Peers.write(out, head + "f");
      for (char c : "ine".toCharArray()) {
        pause(500);
        Peers.write(out, String.valueOf(c));
      }
      return true;
    };
    List<Client> clients = new ArrayList<>();
    for (int i = 0; i < SLOW_READERS; i++) {
      Client client = gateway.client();
      opened.add(client.socket);
      clients.add(client);
      client.send(Peers.get("held" + i, TIMEOUT_MS).replace(USUAL_CUSTOMER, customer(i)));
    }
    for (Client client : clients) {
      assertTrue(client.receive().status() >= 200, "a final answer");
    }
    assertEquals(200, gateway.client().ask(Peers.post("usual", "small")).status());
    assertTrue(gateway.isAlive(), gateway.log());
  }

  /** Guards against answers in no bound on one connection, whose client sends on and reads nothing. */
  @Test
  void aClientThatReadsNoAnswersIsHeldBack() throws Exception {
    Client client = gateway.client();
    int sent = sendUntilHeldBack(client);
    assertTrue(sent < MANY_REQUESTS, "all of " + sent + " requests were sent on");
    for (int i = 0; i < sent; i++) {
      assertEquals(BODY_BYTES, client.receive().body().length);
    }
  }

  /** Guards against memory that a client holds for good by reading none of its answers. */
  @Test
  void aClientThatNeverReadsItsAnswersIsClosed() throws Exception {
    Client client = gateway.client();
    int sent = sendUntilHeldBack(client);
    TimeUnit.MILLISECONDS.sleep((long) AnswerLifecycle.MAX_SILENCE_MS + STALL_CHECK_MS);
    assertThrows(IOException.class, () -> {
      for (int i = 0; i < sent; i++) {
        client.receive();
      }
    });
  }

  /** Sends requests without reading the answers, until one does not reach a backend any more. */
  private int sendUntilHeldBack(Client client) throws Exception {
    String answer = "HTTP/1.1 200 OK\r\nX-Units-Charged: 1\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n"
        + "x".repeat(BODY_BYTES);
    peers.answer = (request, out) -> Peers.write(out, answer);
    int sent = 0;
    boolean reachesBackend = true;
    while (sent < MANY_REQUESTS && reachesBackend) {
      client.send(Peers.get("r" + sent, TIMEOUT_MS));
      sent++;
      reachesBackend = peers.backendRequests.poll(1, TimeUnit.SECONDS) != null;
    }
    return sent;
  }
}
