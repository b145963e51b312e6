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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/**
 * One of 25 answers of the backends comes a second time, 6 ms after the first and only where nothing else has reached
 * the backend on that connection; the network takes 0.7 ms each way. Does a client get another request's answer?
 */
public final class LateSecondAnswer {

  private static final int BACKENDS = 9;
  private static final int CLIENTS = 30;
  private static final int SECOND_ONE_IN = 25;
  private static final double SECOND_AFTER_MS = 6;
  private static final double ONE_WAY_MS = 0.7;
  private static final double LENGTH_MS = 30_000;

  private final AtomicInteger second = new AtomicInteger();
  private final AtomicInteger withheld = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger otherwise = new AtomicInteger();
  private final AtomicInteger foreign = new AtomicInteger();
  private final AtomicInteger foreignBuys = new AtomicInteger();

  public static void main(String[] args) {
    Rig.main(args[0], (folder, trouble) -> new LateSecondAnswer().run(folder, trouble));
  }

  private void run(Path folder, boolean trouble) throws Exception {
    Rig.Discovery discovery = new Rig.Discovery();
    for (int i = 0; i < BACKENDS; i++) {
      int number = i;
      Rig.Server backend = new Rig.Server("backend", (socket, in, out) -> serve(number, socket, in, out, trouble));
      Rig.Server network = new Rig.Server("network", (socket, in, out) -> relay(socket, in, out, backend.port()));
      discovery.put("s-" + i, network.address(), "active", i % 2 == 0 ? "building-1" : "building-2");
    }
    Rig.Server counter = Rig.counter();
    Rig.Door door = new Rig.Door(folder, new Rig.DoorSettings(), discovery.server.address(), counter.address(),
        discovery.list(), 11);
    door.awaitUp(30_000);
    double end = Rig.ms() + LENGTH_MS;
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      int number = i;
      clients.add(Rig.thread("client", () -> client(door, number, end)));
    }
    for (Thread t : clients) {
      t.join();
    }
    Rig.note("served %d, other answers %d; second answers sent %d, not sent as a request had come %d; answers of"
        + " another request: %d, of these to register-buy %d", served.get(), otherwise.get(), second.get(),
        withheld.get(), foreign.get(), foreignBuys.get());
    if (served.get() < 1_000 || trouble && second.get() < 20) {
      Rig.end(2, "too little traffic: served " + served.get() + ", second answers " + second.get());
    }
    Rig.end(foreign.get() > 0 ? 1 : 0, foreign.get() + " of " + served.get()
        + " served requests got the answer of another request, after " + second.get() + " second answers");
  }

  /** One request at a time, in their order; the body of an answer names the request that it was made for. */
  private void serve(int number, Socket socket, InputStream in, OutputStream out, boolean trouble) throws Exception {
    Random random = new Random(number * 1_000L + socket.getPort());
    AtomicInteger read = new AtomicInteger();
    for (Rig.Message m = Rig.readMessage(in); m != null; m = Rig.readMessage(in)) {
      int mine = read.incrementAndGet();
      String id = m.header("request-id");
      Rig.sleep(110 + random.nextInt(90));
      byte[] answer = Rig.answer(200, "", "for " + id);
      out.write(answer);
      if (trouble && random.nextInt(SECOND_ONE_IN) == 0) {
        Rig.thread("second", () -> {
          LockSupport.parkNanos((long) (SECOND_AFTER_MS * 1e6));
          if (read.get() == mine && socket.getInputStream().available() == 0) {
            second.incrementAndGet();
            out.write(answer);
            Rig.note("s-%d: the answer for %s a second time", number, id);
          } else {
            withheld.incrementAndGet();
          }
        });
      }
    }
  }

  /** The network between door and backend: the same bytes in the same order, later. */
  private static void relay(Socket door, InputStream in, OutputStream out, int port) throws Exception {
    try (Socket backend = new Socket("127.0.0.1", port)) {
      backend.setTcpNoDelay(true);
      CountDownLatch end = new CountDownLatch(1);
      oneWay(in, backend.getOutputStream(), end);
      oneWay(backend.getInputStream(), out, end);
      end.await();
    }
  }

  private record Piece(double dueMs, byte[] bytes) { }

  private static void oneWay(InputStream in, OutputStream out, CountDownLatch end) {
    LinkedBlockingQueue<Piece> onTheWay = new LinkedBlockingQueue<>();
    AtomicBoolean open = new AtomicBoolean(true);
    Rig.thread("network-in", () -> {
      byte[] into = new byte[65_536];
      try {
        for (int n = in.read(into); n >= 0 && open.get(); n = in.read(into)) {
          onTheWay.add(new Piece(Rig.ms() + ONE_WAY_MS, Arrays.copyOf(into, n)));
        }
      } finally {
        onTheWay.add(new Piece(Rig.ms() + ONE_WAY_MS, null));
      }
    });
    Rig.thread("network-out", () -> {
      try {
        for (Piece p = onTheWay.take(); p.bytes() != null; p = onTheWay.take()) {
          LockSupport.parkNanos((long) (Math.max(0, p.dueMs() - Rig.ms()) * 1e6));
          out.write(p.bytes());
        }
      } finally {
        open.set(false);
        end.countDown();
      }
    });
  }

  private void client(Rig.Door door, int number, double end) throws Exception {
    Random random = new Random(100 + number);
    Rig.Client client = null;
    for (int k = 0; Rig.ms() < end; k++) {
      String id = "c" + number + "-" + k;
      boolean buy = random.nextInt(100) < 35;
      try {
        client = client == null ? new Rig.Client(door.port) : client;
        client.out.write(Rig.request(id, buy ? "register-buy" : "check-quote", "full", 5 + number, 4_000,
            buy ? "key-" + id : null, buy, 1, 2, 0));
        Rig.Message m = Rig.readMessage(client.in);
        if (m == null) {
          throw new IOException("the connection ended");
        }
        String body = new String(m.body, StandardCharsets.ISO_8859_1);
        (m.status() == 200 ? served : otherwise).incrementAndGet();
        if (m.status() == 200 && !body.equals("for " + id)) {
          foreign.incrementAndGet();
          foreignBuys.addAndGet(buy ? 1 : 0);
          Rig.note("%s (%s) was answered with 200 and the answer \"%s\"", id, buy ? "register-buy" : "check-quote", body);
        }
        if (m.header("connection").equalsIgnoreCase("close")) {
          client.close();
          client = null;
        }
      } catch (IOException e) {
        if (client != null) {
          client.close();
        }
        client = null;
      }
      Rig.sleep(20 + random.nextInt(80));
    }
  }
}
