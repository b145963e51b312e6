import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bad clients that send hundreds of requests at once, and the same again as soon as they are turned away. Are the
 * requests of the usual clients answered before their time runs out, or half a second after at the latest?
 */
public final class ManyRequestsAtOnce {

  private static final int BACKENDS = 9;
  private static final int USUAL = 20;
  private static final int TIMEOUT_MS = 3_000;
  /** What the pages allow after the client's time: half a second, and 50 ms on sockets. */
  private static final int LATE_MS = 550;
  private static final int BAD = 300;
  private static final int REQUESTS_AT_ONCE = 200;
  private static final int REQUESTS_OF_A_WRITE = 10;
  private static final int BODY_BYTES = 60_000;
  private static final double CALM_MS = 3_000;
  private static final double BAD_MS = 12_000;
  private static final double AFTER_MS = 6_000;

  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private final AtomicInteger failed = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private final AtomicInteger closed = new AtomicInteger();
  private final AtomicInteger begunWhileBad = new AtomicInteger();

  public static void main(String[] args) {
    Rig.main(args[0], (folder, trouble) -> new ManyRequestsAtOnce().run(folder, trouble));
  }

  private void run(java.nio.file.Path folder, boolean trouble) throws Exception {
    Rig.Discovery discovery = new Rig.Discovery();
    for (int i = 0; i < BACKENDS; i++) {
      Random work = new Random(i);
      Rig.Server backend = new Rig.Server("backend", (socket, in, out) -> {
        for (Rig.Message m = Rig.readMessage(in); m != null; m = Rig.readMessage(in)) {
          Rig.sleep(110 + work.nextInt(90));
          out.write(Rig.answer(200, "", "for " + m.header("request-id")));
        }
      });
      discovery.put("s-" + i, backend.address(), "active", i % 2 == 0 ? "building-1" : "building-2");
    }
    Rig.Server counter = Rig.counter();
    Rig.Door door = new Rig.Door(folder, new Rig.DoorSettings(), discovery.server.address(), counter.address(),
        discovery.list(), 11);
    door.awaitUp(30_000);

    double end = Rig.ms() + CALM_MS + BAD_MS + AFTER_MS;
    List<Thread> usual = new ArrayList<>();
    for (int i = 0; i < USUAL; i++) {
      int number = i;
      usual.add(Rig.thread("usual", () -> usualClient(door, number, end)));
    }
    Rig.sleep(CALM_MS);
    double badEnd = Rig.ms() + BAD_MS;
    if (trouble) {
      Rig.note("%d bad clients send %d requests of %d bytes each at once", BAD, REQUESTS_AT_ONCE, BODY_BYTES);
      for (int i = 0; i < BAD; i++) {
        int number = i;
        Rig.thread("bad", () -> badClient(door, number, badEnd));
      }
    }
    while (Rig.ms() < end) {
      int before = served.get() + refused.get() + failed.get();
      Rig.sleep(1_000);
      Rig.note("answers to usual clients in the last second: %d", served.get() + refused.get() + failed.get() - before);
    }
    for (Thread t : usual) {
      t.join();
    }
    Rig.note("usual clients: served %d, refused %d, failed %d, lost %d; connections closed with no answer: %d (not"
        + " counted); requests of bad clients written: %d; the front door runs: %s", served.get(), refused.get(),
        failed.get(), lost.get(), closed.get(), begunWhileBad.get(), door.process.isAlive());
    if (!door.process.isAlive()) {
      Rig.end(1, "the front door has ended with " + door.process.exitValue());
    }
    if (served.get() < 100) {
      Rig.end(2, "only " + served.get() + " requests were served");
    }
    Rig.end(lost.get() > 0 ? 1 : 0, lost.get() + " requests of usual clients had no answer " + LATE_MS
        + " ms after their time");
  }

  /**
   * One request at a time on a kept connection. Only a request on a connection that has brought an answer before counts
   * as taken here, and only silence as lost: a connection that ends is not counted.
   */
  private void usualClient(Rig.Door door, int number, double end) throws Exception {
    Random random = new Random(100 + number);
    Rig.Client client = null;
    boolean proven = false;
    for (int k = 0; Rig.ms() < end - TIMEOUT_MS - LATE_MS; k++) {
      String id = "u" + number + "-" + k;
      double sent = Rig.ms();
      try {
        if (client == null) {
          client = new Rig.Client(door.port);
          proven = false;
        }
        client.socket.setSoTimeout(TIMEOUT_MS + LATE_MS);
        boolean buy = random.nextInt(100) < 35;
        client.out.write(Rig.request(id, buy ? "register-buy" : "check-quote", "full", 5 + number, TIMEOUT_MS,
            buy ? "key-" + id : null, buy, 1, 2, 0));
        Rig.Message m = Rig.readMessage(client.in);
        if (m == null) {
          throw new IOException("the connection ended");
        }
        proven = true;
        (m.status() == 200 ? served : m.status() == 429 || m.status() == 503 ? refused : failed).incrementAndGet();
        if (m.header("connection").equalsIgnoreCase("close")) {
          client.close();
          client = null;
        }
      } catch (SocketTimeoutException e) {
        if (proven) {
          lost.incrementAndGet();
        }
        Rig.note("%s: no answer %.0f ms after it was sent, time %d ms%s", id, Rig.ms() - sent, TIMEOUT_MS,
            proven ? "" : " (a new connection: not counted)");
        client.close();
        client = null;
      } catch (IOException e) {
        closed.incrementAndGet();
        Rig.note("%s: %s after %.0f ms", id, e, Rig.ms() - sent);
        if (client != null) {
          client.close();
        }
        client = null;
        Rig.sleep(100);
      }
      Rig.sleep(80 + random.nextInt(120));
    }
  }

  /** Sends its requests at full speed, reads what it is sent, and does the same again once its connection ends. */
  private void badClient(Rig.Door door, int number, double end) {
    byte[] body = "x".repeat(BODY_BYTES).getBytes(StandardCharsets.US_ASCII);
    for (int round = 0; Rig.ms() < end; round++) {
      try (Socket socket = new Socket("127.0.0.1", door.port)) {
        Thread reader = Rig.thread("bad-reader", () -> {
          byte[] into = new byte[65_536];
          while (socket.getInputStream().read(into) >= 0) {
            // What comes is of no interest.
          }
        });
        OutputStream out = socket.getOutputStream();
        for (int k = 0; k < REQUESTS_AT_ONCE; k += REQUESTS_OF_A_WRITE) {
          ByteArrayOutputStream some = new ByteArrayOutputStream(REQUESTS_OF_A_WRITE * (BODY_BYTES + 400));
          for (int n = k; n < k + REQUESTS_OF_A_WRITE; n++) {
            String id = "b" + number + "-" + round + "-" + n;
            some.writeBytes(("POST /register-buy HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: " + id
                + "\r\nRequest-Class: register-buy\r\nX-Plan: full\r\nX-Customer: "
                + String.format("%016x", 1000 + number) + "\r\nRequest-Timeout-Ms: 4000\r\nIdempotency-Key: key-" + id
                + "\r\nContent-Length: " + BODY_BYTES + "\r\nX-Quota: units=1,spread=2,first=0\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
            some.writeBytes(body);
          }
          out.write(some.toByteArray());
          begunWhileBad.addAndGet(REQUESTS_OF_A_WRITE);
        }
        reader.join(6_000);
      } catch (IOException e) {
        Rig.sleep(20);
      } catch (InterruptedException e) {
        return;
      }
    }
  }
}
