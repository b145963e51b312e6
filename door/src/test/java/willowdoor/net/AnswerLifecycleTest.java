package willowdoor.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import willowdoor.net.Peers.Client;

/**
 * Answers that their backends write slowly, through a gateway in its own process: whatever timer, cancel or
 * shutdown comes meanwhile, an answer that makes progress is passed on whole, and only one that has stalled
 * is given up, in time.
 */
@Timeout(90)
class AnswerLifecycleTest {

  private static final int LONG_BYTES = 200_000;
  private static final int SHORT_BYTES = 10_000;
  /** Less than all timeouts below allow a backend to be silent. */
  private static final int AIM_MS = 600;
  private static final long LATE_MS = 500;
  private static final long STEADY_PAUSE_MS = 100;
  private static final long LUMP_PAUSE_MS = 450;
  private static final long LATE_BODY_MS = 900;
  private static final int STEADY_PIECES = 20;
  private static final int LUMPS = 5;
  private static final String CHUNKED = "Transfer-Encoding: chunked";
  private static final String UNTIL_CLOSE = "Connection: close";
  private static final List<String> FRAMINGS = List.of(CHUNKED, UNTIL_CLOSE, "Content-Length: " + LONG_BYTES);
  private static final long KEEP_WRITING_MS = 5_000;
  private static final long PIECE_PAUSE_MS = 280;
  private static final long MAX_DRIBBLED_MS = 8_000;
  private static final int SLOW_PIECES = 50;
  private static final int SMALL_RECEIVE_BUFFER_BYTES = 8_192;
  private static final int HELD_BYTES = 60_000;
  /** More than the kernel and the gateway hold for a client. */
  private static final int MAX_UNREAD_ANSWERS = 6;

  @TempDir
  private Path folder;
  private final Peers peers = new Peers();
  private final AtomicInteger requests = new AtomicInteger();
  private final byte[] body = new byte[LONG_BYTES];
  private final ExecutorService clients = Executors.newCachedThreadPool();
  private ServingProcess gateway;

  /** What a client got, and when. */
  private record Received(int status, byte[] body, boolean complete, long firstByteMs, long endMs) { }

  @BeforeEach
  void start() throws Exception {
    new Random(7).nextBytes(body);
    String[] backends = new String[4];
    for (int i = 0; i < backends.length; i++) {
      int port = peers.listen(50, peers::serveBackend).getLocalPort();
      backends[i] = Peers.rosterEntry("s-" + i, port, "active");
    }
    gateway = new ServingProcess(folder, peers.config(backends)
        .replace("\"AimMs\":1500", "\"AimMs\":" + AIM_MS));
  }

  @AfterEach
  void close() throws Exception {
    clients.shutdownNow();
    gateway.close();
    peers.close();
  }

  private static void pause(long ms) throws IOException {
    try {
      TimeUnit.MILLISECONDS.sleep(ms);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  private static void writeHead(OutputStream out, String framing) throws IOException {
    Peers.write(out, "HTTP/1.1 200 OK\r\nX-Units-Charged: 2\r\n" + framing + "\r\n\r\n");
  }

  private void writePiece(OutputStream out, String framing, int from, int to) throws IOException {
    if (framing.equals(CHUNKED)) {
      ByteArrayOutputStream chunk = new ByteArrayOutputStream();
      Peers.write(chunk, Integer.toHexString(to - from) + "\r\n");
      chunk.write(body, from, to - from);
      Peers.write(chunk, "\r\n");
      out.write(chunk.toByteArray());
    } else {
      out.write(body, from, to - from);
    }
    out.flush();
  }

  /** Writes a whole answer in so many pieces, with pauses before and between them. */
  private Peers.Answer answerOf(String framing, long beforeBodyMs, int pieces, long pauseMs) {
    return (request, out) -> {
      writeHead(out, framing);
      pause(beforeBodyMs);
      for (int i = 0; i < pieces; i++) {
        writePiece(out, framing, LONG_BYTES / pieces * i, LONG_BYTES / pieces * (i + 1));
        pause(pauseMs);
      }
      if (framing.equals(CHUNKED)) {
        Peers.write(out, "0\r\n\r\n");
      }
      return !framing.equals(UNTIL_CLOSE);
    };
  }

  /** Sends a request and reads its answer to the end, whatever its framing. */
  private Received ask(String request) throws IOException {
    try (Client client = gateway.client()) {
      long sentNanos = System.nanoTime();
      client.send(request);
      return receive(client.socket, sentNanos);
    }
  }

  private static Received receive(Socket socket, long sentNanos) throws IOException {
    InputStream in = socket.getInputStream();
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    long firstByteMs = -1;
    int status = 0;
    while (true) {
      Peers.Message head = null;
      byte[] into = new byte[16_384];
      int n;
      try {
        n = in.read(into);
      } catch (IOException e) {
        n = -1;
      }
      if (n > 0 && firstByteMs < 0) {
        firstByteMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
      }
      if (n > 0) {
        all.write(into, 0, n);
      }
      String text = all.toString(StandardCharsets.ISO_8859_1);
      int end = text.indexOf("\r\n\r\n");
      if (end >= 0) {
        head = new Peers.Message(text.substring(0, end + 2), new byte[0]);
        status = head.status();
      }
      byte[] bytes = head == null ? null : completeBody(head, all.toByteArray(), end + 4);
      if (bytes != null || n < 0) {
        return new Received(status, bytes == null ? new byte[0] : bytes, bytes != null, firstByteMs,
            TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos));
      }
    }
  }

  /** The body if it is complete, or null. */
  private static byte[] completeBody(Peers.Message head, byte[] all, int from) {
    String length = head.header("Content-Length");
    if (length != null) {
      int end = from + Integer.parseInt(length);
      return all.length >= end ? Arrays.copyOfRange(all, from, end) : null;
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    String text = new String(all, StandardCharsets.ISO_8859_1);
    for (int at = from; true;) {
      int lineEnd = text.indexOf("\r\n", at);
      int size = lineEnd < 0 ? -1 : Integer.parseInt(text.substring(at, lineEnd), 16);
      if (size < 0 || text.length() < lineEnd + 2 + size + 2) {
        return null;
      }
      if (size == 0) {
        return body.toByteArray();
      }
      body.write(all, lineEnd + 2, size);
      at = lineEnd + 2 + size + 2;
    }
  }

  private static String post(String id, int timeoutMs) {
    return Peers.post(id, "b").replace("Request-Timeout-Ms: 3000", "Request-Timeout-Ms: " + timeoutMs);
  }

  /** Asks by a safe and by a keyed request; both get the whole answer, and its first bytes in time. */
  private void passesWhole(String kind, String framing, int timeoutMs, Peers.Answer answer) throws Exception {
    peers.answer = answer;
    String id = "r" + requests.incrementAndGet();
    Future<Received> safe = clients.submit(() -> ask(Peers.get(id + "-safe", timeoutMs)));
    Future<Received> keyed = clients.submit(() -> ask(post(id + "-keyed", timeoutMs)));
    for (Received received : List.of(safe.get(), keyed.get())) {
      String what = kind + ", " + framing + ", first byte after " + received.firstByteMs + " ms\n";
      assertEquals(200, received.status, what + gateway.log());
      assertTrue(received.complete, what + gateway.log());
      assertArrayEquals(body, received.body, what);
      assertTrue(received.firstByteMs <= timeoutMs, what);
    }
  }

  /** Guards against a long answer that is cut off at the client's time while its backend still writes. */
  @Test
  void longAnswersThatComeSteadilyAreNotCutOffAtTheirTime() throws Exception {
    for (String framing : FRAMINGS) {
      passesWhole("steady", framing, 600, answerOf(framing, 0, STEADY_PIECES, STEADY_PAUSE_MS));
    }
  }

  /** Guards against a long answer that is cancelled as silent between two pieces, or cut at its time. */
  @Test
  void longAnswersInLumpsAreNotCutOff() throws Exception {
    for (String framing : FRAMINGS) {
      passesWhole("lumps", framing, 850, answerOf(framing, 0, LUMPS, LUMP_PAUSE_MS));
    }
  }

  /** Guards against a long answer whose body begins late, and which is taken for stalled by then. */
  @Test
  void longAnswersWithALateBodyAreNotCutOff() throws Exception {
    for (String framing : FRAMINGS) {
      passesWhole("late body", framing, 1_950, answerOf(framing, LATE_BODY_MS, LUMPS, STEADY_PAUSE_MS));
    }
  }

  /** Writes some of a long answer, pauses once, and writes the rest. */
  private Peers.Answer pauses(String framing, int bytesBefore, int piecesBefore, long pauseMs) {
    return (request, out) -> {
      writeHead(out, framing);
      for (int i = 0; i < piecesBefore; i++) {
        writePiece(out, framing, bytesBefore / piecesBefore * i, bytesBefore / piecesBefore * (i + 1));
        pause(i == piecesBefore - 1 ? pauseMs : PIECE_PAUSE_MS);
      }
      writePiece(out, framing, bytesBefore, LONG_BYTES);
      if (framing.equals(CHUNKED)) {
        Peers.write(out, "0\r\n\r\n");
      }
      return !framing.equals(UNTIL_CLOSE);
    };
  }

  /** Guards against a long answer that is cut off as its backend pauses before it is known to be long. */
  @Test
  void longAnswersWithAPauseInTheirFirstPartAreNotCutOff() throws Exception {
    for (String framing : List.of(CHUNKED, UNTIL_CLOSE)) {
      passesWhole("pause after 40 kB", framing, 4_000, pauses(framing, 40_000, 5, 2_500));
      passesWhole("pause after 60 kB", framing, 4_000, pauses(framing, 60_000, 5, 2_500));
    }
  }

  /** Guards against the same where the first part comes at once, before anything is passed on. */
  @Test
  void longAnswersWithAnEarlyPauseAreNotCutOff() throws Exception {
    for (String framing : List.of(CHUNKED, UNTIL_CLOSE)) {
      passesWhole("30 kB at once", framing, 4_000, pauses(framing, 30_000, 1, 1_600));
      passesWhole("8 kB in two", framing, 4_000, pauses(framing, 8_000, 2, 2_800));
      passesWhole("8 kB at once", framing, 4_000, pauses(framing, 8_000, 1, 2_000));
      passesWhole("head alone", framing, 3_000, answerOf(framing, 1_700, LUMPS, STEADY_PAUSE_MS));
    }
  }

  /** Answers that stop in the middle, again and again, and never end. */
  private Peers.Answer stalls(String framing, int bytes) {
    return (request, out) -> {
      writeHead(out, framing);
      if (bytes > 0) {
        writePiece(out, framing, 0, bytes);
      }
      pause(KEEP_WRITING_MS);
      return false;
    };
  }

  /** Guards against answers that are kept for as long as a stalled backend likes. */
  @Test
  void stalledAnswersAreGivenUpInTime() throws Exception {
    for (int timeoutMs : new int[] {600, 900, 2_000}) {
      for (String framing : List.of(CHUNKED, UNTIL_CLOSE, "Content-Length: " + 2 * SHORT_BYTES)) {
        peers.answer = stalls(framing, SHORT_BYTES);
        Received received = ask(Peers.get("s" + timeoutMs + framing.charAt(0), timeoutMs));
        String what = framing + ", " + timeoutMs + " ms: ended after " + received.endMs;
        assertTrue(received.endMs <= timeoutMs + LATE_MS, what + "\n" + gateway.log());
        assertTrue(!received.complete || received.status != 200, what);
      }
    }
  }

  /** Writes pieces of a byte until the gateway closes the connection. */
  private Peers.Answer dribbles(String framing, long pauseMs) {
    return (request, out) -> {
      writeHead(out, framing);
      for (int i = 0; i < MAX_DRIBBLED_MS / pauseMs; i++) {
        writePiece(out, framing, i, i + 1);
        pause(pauseMs);
      }
      return false;
    };
  }

  /** Guards against answers that never end, each piece of which gives them more time. */
  @Test
  void answersThatNeverEndAreGivenUpInTime() throws Exception {
    for (int timeoutMs : new int[] {900, 2_000}) {
      for (String framing : List.of(CHUNKED, UNTIL_CLOSE)) {
        for (long pauseMs : new long[] {60, 400, 900}) {
          peers.answer = dribbles(framing, pauseMs);
          Received received = ask(Peers.get("d" + timeoutMs + framing.charAt(0) + pauseMs, timeoutMs));
          String what = framing + ", " + timeoutMs + " ms: ended after " + received.endMs;
          assertTrue(received.endMs <= timeoutMs + LATE_MS, what + "\n" + gateway.log());
          assertTrue(!received.complete || received.status != 200, what);
        }
      }
    }
  }

  /** Guards against a retry that is spared where there is time for one: the other answer is whole. */
  @Test
  void aStalledAnswerIsRetriedWhileThereIsTime() throws Exception {
    AtomicInteger attempts = new AtomicInteger();
    Peers.Answer stalled = stalls(CHUNKED, SHORT_BYTES);
    peers.answer = (request, out) -> attempts.getAndIncrement() == 0 ? stalled.respond(request, out)
        : Peers.write(out, Peers.OK);
    Received received = ask(Peers.get("r", 3_000));
    assertEquals(200, received.status, gateway.log());
    assertTrue(received.complete, gateway.log());
  }

  /** Guards against a planned restart that cuts off an answer which still comes. */
  @Test
  void aStopWaitsForAnAnswerThatStillComes() throws Exception {
    peers.answer = answerOf("Content-Length: " + LONG_BYTES, 0, SLOW_PIECES, STEADY_PAUSE_MS);
    Future<Received> answer = clients.submit(() -> ask(Peers.get("r", 3_000)));
    pause(500);
    gateway.signal("TERM");
    Received received = answer.get();
    assertTrue(received.complete, "cut off after " + received.endMs + " ms\n" + gateway.log());
    awaitEnd();
  }

  /** Guards against the same for an answer that is whole here, of which its client has not taken all yet. */
  @Test
  void aStopWaitsForAClientThatStillReads() throws Exception {
    peers.answer = answerOf("Content-Length: " + LONG_BYTES, 0, 1, 0);
    List<Future<Received>> answers = new ArrayList<>();
    long sentNanos = System.nanoTime();
    for (int i = 0; i < 4; i++) {
      Socket socket = new Socket();
      socket.setReceiveBufferSize(SMALL_RECEIVE_BUFFER_BYTES);
      socket.connect(gateway.address);
      Peers.write(socket.getOutputStream(), Peers.get("r" + i, 3_000));
      answers.add(clients.submit(readLate(socket, sentNanos)));
    }
    pause(500);
    gateway.signal("TERM");
    for (Future<Received> answer : answers) {
      Received received = answer.get();
      assertTrue(received.complete, "cut off after " + received.endMs + " ms\n" + gateway.log());
    }
    awaitEnd();
  }

  private static Callable<Received> readLate(Socket socket, long sentNanos) {
    return () -> {
      pause(KEEP_WRITING_MS);
      Received received = receive(socket, sentNanos);
      socket.close();
      return received;
    };
  }

  /** Guards against an end of the connection after unsound input that cuts off the answers before it. */
  @Test
  void unsoundInputCutsOffNoAnswerBeforeIt() throws Exception {
    String answer = "HTTP/1.1 200 OK\r\nX-Units-Charged: 1\r\nContent-Length: " + HELD_BYTES + "\r\n\r\n"
        + "x".repeat(HELD_BYTES);
    peers.answer = (request, out) -> Peers.write(out, answer);
    for (int requests = 1; requests <= MAX_UNREAD_ANSWERS; requests++) {
      Socket socket = new Socket();
      socket.setReceiveBufferSize(SMALL_RECEIVE_BUFFER_BYTES);
      socket.connect(gateway.address);
      try (Client client = new Client(socket)) {
        for (int i = 0; i < requests; i++) {
          client.send(Peers.get("r" + requests + "-" + i, 3_000));
          pause(STEADY_PAUSE_MS);
        }
        client.send(Peers.post("large", "").replace("Content-Length: 0", "Content-Length: 70000"));
        pause(2 * LATE_MS);
        for (int i = 0; i < requests; i++) {
          assertEquals(HELD_BYTES, client.receive().body().length, gateway.log());
        }
      }
    }
  }

  private void awaitEnd() throws IOException {
    for (int polls = 0; gateway.isAlive(); polls++) {
      assertTrue(polls < 100, "the process stays after the last answer\n" + gateway.log());
      pause(20);
    }
  }
}
