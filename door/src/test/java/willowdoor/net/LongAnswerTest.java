package willowdoor.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import willowdoor.net.Peers.Client;
import willowdoor.net.Peers.Message;

/** Responses that are long, slow, in pieces or without a length, passed through a running front door. */
@Timeout(60)
class LongAnswerTest {

  private static final int LONG_BYTES = 3_000_001;
  /** Ten slow readers, each with what is queued for its client and one read of its backend at most. */
  private static final long MAX_HELD_BYTES = 10 * (48 + 16 + 16) * 1024;
  private final Peers peers = new Peers();
  private FrontDoor door;
  private final byte[] body = new byte[LONG_BYTES];

  @BeforeEach
  void start() throws Exception {
    new Random(7).nextBytes(body);
    door = peers.start();
  }

  @AfterEach
  void close() throws Exception {
    peers.close();
  }

  private static void pause(long ms) throws IOException {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  private static void writeHead(OutputStream out, String fields) throws IOException {
    Peers.write(out, "HTTP/1.1 200 OK\r\nX-Units-Charged: 2\r\n" + fields + "\r\n");
  }

  private static void writeChunk(OutputStream out, byte[] from, int at, int length) throws IOException {
    Peers.write(out, Integer.toHexString(length) + ";a=b\r\n");
    out.write(from, at, length);
    Peers.write(out, "\r\n");
  }

  @Test
  void longAnswerPassesThroughAndTheClientConnectionIsKept() throws Exception {
    peers.answer = (request, out) -> {
      writeHead(out, "Content-Length: " + LONG_BYTES + "\r\n");
      out.write(body);
      return true;
    };
    Client client = peers.client();
    Message answer = client.ask(Peers.get("r1", 3000));
    assertArrayEquals(body, answer.body());
    peers.answer = (request, out) -> Peers.write(out, Peers.OK);
    assertEquals("fine", client.ask(Peers.get("r2", 3000)).text(), "next response on the same connection");
  }

  @Test
  void firstBytesArriveWhileTheBackendPauses() throws Exception {
    peers.answer = (request, out) -> {
      writeHead(out, "Content-Length: " + LONG_BYTES + "\r\n");
      out.write(body, 0, 1_000);
      pause(1_500);
      out.write(body, 1_000, LONG_BYTES - 1_000);
      return true;
    };
    Client client = peers.client();
    client.send(Peers.get("r1", 1000));
    InputStream in = client.socket.getInputStream();
    long sentNanos = System.nanoTime();
    StringBuilder head = new StringBuilder();
    while (!head.toString().endsWith("\r\n\r\n")) {
      head.append((char) in.read());
    }
    in.readNBytes(1_000);
    assertTrue(System.nanoTime() - sentNanos < TimeUnit.MILLISECONDS.toNanos(1_200),
        "first bytes arrive before the backend resumes");
    assertEquals(LONG_BYTES - 1_000, in.readNBytes(LONG_BYTES - 1_000).length,
        "rest of the body, after the request's timeout");
  }

  @Test
  void chunkedAnswersWithExtensionsAndTrailersAreComplete() throws Exception {
    peers.answer = (request, out) -> {
      writeHead(out, "Transfer-Encoding: chunked\r\n");
      for (int at = 0; at < 2_000; at += 10) {
        writeChunk(out, body, at, 10);
      }
      Peers.write(out, "0\r\nTrailer: x\r\n\r\n");
      return true;
    };
    Message small = peers.client().ask(Peers.get("r1", 3000));
    assertEquals("2000", small.header("Content-Length"), "a short response is collected and gets a length");
    peers.answer = (request, out) -> {
      writeHead(out, "Transfer-Encoding: chunked\r\n");
      writeChunk(out, body, 0, 50_000);
      writeChunk(out, body, 50_000, LONG_BYTES - 50_000);
      Peers.write(out, "0\r\nTrailer: x\r\n\r\n");
      return true;
    };
    Client client = peers.client();
    Message answer = client.ask(Peers.get("r2", 3000));
    assertEquals("chunked", answer.header("Transfer-Encoding"));
    assertArrayEquals(body, client.readChunks());
  }

  @Test
  void answerDelimitedByConnectionCloseIsRead() throws Exception {
    peers.answer = (request, out) -> {
      writeHead(out, "Connection: close\r\n");
      Peers.write(out, "until the end");
      return false;
    };
    assertEquals("until the end", peers.client().ask(Peers.get("r1", 3000)).text());
  }

  @Test
  void slowAnswerInPiecesIsComplete() throws Exception {
    peers.answer = (request, out) -> {
      writeHead(out, "Content-Length: 20\r\n");
      for (int i = 0; i < 20; i++) {
        Peers.write(out, "x");
        pause(20);
      }
      return true;
    };
    assertEquals("x".repeat(20), peers.client().ask(Peers.get("r1", 3000)).text());
    assertEquals(1, peers.backendRequests.size(), "one attempt only");
  }

  @Test
  void clientDetectsATruncatedAnswer() throws Exception {
    for (String framing : new String[] {"Content-Length: " + LONG_BYTES, "Transfer-Encoding: chunked"}) {
      peers.answer = (request, out) -> {
        writeHead(out, framing + "\r\n");
        if (framing.startsWith("T")) {
          Peers.write(out, "200000\r\n");
        }
        out.write(body, 0, 200_000);
        return false;
      };
      Client client = peers.client();
      client.send(Peers.get(framing.substring(0, 1), 3000));
      assertThrows(IOException.class, () -> {
        Message answer = client.receive();
        if (answer.header("Transfer-Encoding") != null) {
          client.readChunks();
        }
      });
    }
  }

  @Test
  void slowReadersHoldBoundedMemoryAndDelayNobody() throws Exception {
    AtomicLong written = new AtomicLong();
    byte[] piece = new byte[64 * 1024];
    peers.answer = (request, out) -> {
      if (request.firstLine().contains("POST")) {
        return Peers.write(out, Peers.OK);
      }
      writeHead(out, "Content-Length: " + (32 << 20) + "\r\n");
      for (int at = 0; at < 32 << 20; at += piece.length) {
        out.write(piece);
        written.addAndGet(piece.length);
      }
      return true;
    };
    List<Client> slow = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      Client client = peers.client();
      client.send(Peers.get("s" + i, 3000));
      slow.add(client);
      Peers.next(peers.backendRequests);
    }
    long writtenBefore = -1;
    while (written.get() == 0 || writtenBefore != written.get()) {
      writtenBefore = written.get();
      pause(300);
    }
    assertTrue(writtenBefore < 10L * (32 << 20), "backends are held back, bytes written: " + writtenBefore);
    long heldBytes = door.loop().submit(() -> door.memory().peakBytes()).get();
    assertTrue(heldBytes > 0 && heldBytes < MAX_HELD_BYTES, "held for peers: " + heldBytes);
    assertEquals(200, peers.client().ask(Peers.post("quick", "b")).status(), "other clients are served");
    Client first = slow.get(0);
    assertEquals(32 << 20, first.receive().body().length);
    assertNull(peers.client().ask(Peers.post("again", "b")).header("Connection"));
  }

  @Test
  void clientDisconnectEndsItsLongAnswer() throws Exception {
    AtomicLong failedWrites = new AtomicLong();
    peers.answer = (request, out) -> {
      writeHead(out, "Content-Length: " + (32 << 20) + "\r\n");
      try {
        out.write(new byte[32 << 20]);
      } catch (IOException e) {
        failedWrites.incrementAndGet();
        throw e;
      }
      return true;
    };
    Client client = peers.client();
    client.send(Peers.get("r1", 3000));
    client.socket.getInputStream().readNBytes(100_000);
    client.close();
    for (int polls = 0; failedWrites.get() == 0; polls++) {
      assertTrue(polls < 500, "the backend's connection was not closed");
      pause(10);
    }
  }

  @Test
  void longErrorAnswerIsAnError() throws Exception {
    peers.answer = (request, out) -> {
      Peers.write(out, "HTTP/1.1 500 Oops\r\nContent-Length: " + LONG_BYTES + "\r\n\r\n");
      out.write(body);
      return true;
    };
    assertTrue(peers.client().ask(Peers.post("r1", "b")).status() >= 500);
  }
}
