package willowdoor.net;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A backend with faults that a seed draws for each request; it records what came and what became of it. */
final class SoakBackend implements Closeable {

  /** What a backend does with one request. */
  enum Mood {
    QUICK, SLOW, NO_LENGTH, COPY, REJECT, RESET, HANG, STALL, LONG_STEADY, LONG_LUMPS, LONG_LATE_BODY,
    LONG_TINY_CHUNKS
  }

  /**
   * How an attempt ended: answered, in one case with the end of the connection; given up by the gateway; or
   * broken off by the backend itself.
   */
  enum End { ANSWERED, ANSWERED_AND_CLOSED, GIVEN_UP, BROKEN_OFF }

  /**
   * One request that came whole, at nanoseconds of the machine's clock.
   *
   * @param readLate whether it may have waited here, as its connection was accepted late
   */
  record Run(String id, Mood mood, boolean readLate, long arrivedNanos, long endNanos, End end) { }

  static final int LONG_BYTES = 160_000;
  private static final long MAX_REQUESTS = 1_000_000;
  /** So short that the kernel drops a SYN now and then, and the connection opens a second later. */
  private static final int BACKLOG = 1;
  private static final double LATE_ACCEPT_SHARE = 0.1;
  private static final int MAX_LATE_ACCEPT_MS = 400;
  /** Connections accepted so shortly after a pause may have waited for its end. */
  private static final long LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
  private static final int PIECES = 16;
  private static final long PIECE_PAUSE_MS = 70;
  private static final int LUMPS = 4;
  private static final long LUMP_PAUSE_MS = 400;
  private static final long LATE_BODY_MS = 800;
  private static final long STALL_MS = 8_000;
  private static final Mood[] FAULTS = {Mood.REJECT, Mood.RESET, Mood.HANG, Mood.STALL};
  private static final double FAULT_SHARE = 0.2;
  private static final double SLOW_SHARE = 0.2;
  private static final double NO_LENGTH_SHARE = 0.1;
  private static final double COPY_SHARE = 0.03;
  /** A second copy comes so long after its answer, less than a connection rests at first. */
  private static final int MAX_COPY_MS = 10;
  private static final Mood[] LONG_MOODS =
      {Mood.LONG_STEADY, Mood.LONG_LUMPS, Mood.LONG_LATE_BODY, Mood.LONG_TINY_CHUNKS};
  private static final int TINY_CHUNKS_AT_ONCE = LONG_BYTES / 16;
  /** A backend that reads slowly takes a piece of a request at a time, with a pause behind it. */
  private static final double SLOW_READ_SHARE = 0.5;
  private static final int READ_PIECE_BYTES = 2_048;
  private static final int READ_PAUSE_MS = 40;
  private static final int SMALL_RECEIVE_BUFFER_BYTES = 4_096;

  final ConcurrentLinkedQueue<Run> runs = new ConcurrentLinkedQueue<>();
  private final long seed;
  private final AtomicInteger requests = new AtomicInteger();
  private final ServerSocket server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());

  SoakBackend(long seed) throws IOException {
    this.seed = seed;
    server.setReceiveBufferSize(SMALL_RECEIVE_BUFFER_BYTES);
    Peers.thread(this::accept);
  }

  int port() {
    return server.getLocalPort();
  }

  private void accept() throws IOException {
    Random random = new Random(seed);
    long pausedNanos = System.nanoTime();
    while (true) {
      if (random.nextDouble() < LATE_ACCEPT_SHARE) {
        pause(random.nextInt(MAX_LATE_ACCEPT_MS));
        pausedNanos = System.nanoTime();
      }
      Socket socket = server.accept();
      boolean late = System.nanoTime() - pausedNanos < LATE_NANOS;
      boolean readsSlowly = random.nextDouble() < SLOW_READ_SHARE;
      InputStream in = new BufferedInputStream(readsSlowly ? new SlowInput(socket.getInputStream())
          : socket.getInputStream());
      Peers.thread(() -> serve(in, socket.getOutputStream(), socket, late, readsSlowly));
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }

  /** Input that is taken in pieces, with a pause behind each that is full. */
  private static final class SlowInput extends FilterInputStream {
    SlowInput(InputStream in) {
      super(in);
    }

    @Override
    public int read(byte[] into, int from, int length) throws IOException {
      int read = super.read(into, from, Math.min(length, READ_PIECE_BYTES));
      pause(read == READ_PIECE_BYTES ? READ_PAUSE_MS : 0);
      return read;
    }
  }

  private void serve(InputStream in, OutputStream out, Socket socket, boolean acceptedLate,
      boolean readsSlowly) throws IOException {
    boolean open = true;
    boolean late = acceptedLate;
    while (open) {
      Peers.Message request = Peers.read(in);
      long arrivedNanos = System.nanoTime();
      // Neighbouring seeds of Random begin alike.
      long mixed = new SplittableRandom(seed * MAX_REQUESTS + requests.incrementAndGet()).nextLong();
      Random random = new Random(mixed);
      String id = request.header("Request-Id");
      Mood mood = id.startsWith("long") ? LONG_MOODS[random.nextInt(LONG_MOODS.length)] : shortMood(random);
      End end = End.GIVEN_UP;
      try {
        end = act(mood, id, random, in, out, socket);
      } finally {
        boolean readLate = late || readsSlowly && request.body().length >= READ_PIECE_BYTES;
        runs.add(new Run(id, mood, readLate, arrivedNanos, System.nanoTime(), end));
        late = false;
      }
      open = end == End.ANSWERED;
    }
    socket.close();
  }

  private static Mood shortMood(Random random) {
    if (random.nextDouble() < FAULT_SHARE) {
      return FAULTS[random.nextInt(FAULTS.length)];
    }
    double kind = random.nextDouble();
    if (kind < SLOW_SHARE) {
      return Mood.SLOW;
    }
    return kind < SLOW_SHARE + NO_LENGTH_SHARE ? Mood.NO_LENGTH
        : kind < SLOW_SHARE + NO_LENGTH_SHARE + COPY_SHARE ? Mood.COPY : Mood.QUICK;
  }

  private static End act(Mood mood, String id, Random random, InputStream in, OutputStream out, Socket socket)
      throws IOException {
    switch (mood) {
      case QUICK, SLOW -> {
        pause(mood == Mood.QUICK ? random.nextInt(30) : 100 + random.nextInt(250));
        Peers.write(out, "HTTP/1.1 200 OK\r\nX-Units-Charged: 2\r\nContent-Length: " + id.length()
            + "\r\n\r\n" + id);
        return End.ANSWERED;
      }
      case NO_LENGTH -> {
        Peers.write(out, "HTTP/1.1 200 OK\r\nX-Units-Charged: 2\r\nConnection: close\r\n\r\n" + id);
        return End.ANSWERED_AND_CLOSED;
      }
      case COPY -> {
        String answer = "HTTP/1.1 200 OK\r\nX-Units-Charged: 2\r\nContent-Length: " + id.length()
            + "\r\n\r\n" + id;
        Peers.write(out, answer);
        long answeredNanos = System.nanoTime();
        pause(random.nextInt(MAX_COPY_MS));
        // A backend that is held up itself would send its copy later than a connection rests.
        if (System.nanoTime() - answeredNanos < 2 * TimeUnit.MILLISECONDS.toNanos(MAX_COPY_MS)) {
          Peers.write(out, answer);
        }
        return End.ANSWERED;
      }
      case REJECT -> {
        Peers.write(out, Peers.NOT_STARTED);
        return End.ANSWERED;
      }
      case RESET -> {
        ServingProcess.reset(socket);
        return End.BROKEN_OFF;
      }
      case HANG -> {
        return in.read() < 0 ? End.GIVEN_UP : End.BROKEN_OFF;
      }
      case STALL -> {
        Peers.write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nno");
        socket.setSoTimeout((int) STALL_MS);
        return in.read() < 0 ? End.GIVEN_UP : End.BROKEN_OFF;
      }
      default -> {
        boolean chunked = mood == Mood.LONG_TINY_CHUNKS || random.nextBoolean();
        boolean untilEnd = !chunked && random.nextBoolean();
        writeLong(mood, chunked, untilEnd, out);
        return untilEnd ? End.ANSWERED_AND_CLOSED : End.ANSWERED;
      }
    }
  }

  private static void writeLong(Mood mood, boolean chunked, boolean untilEnd, OutputStream out)
      throws IOException {
    Peers.write(out, "HTTP/1.1 200 OK\r\n" + (chunked ? "Transfer-Encoding: chunked"
        : untilEnd ? "Connection: close" : "Content-Length: " + LONG_BYTES) + "\r\n\r\n");
    pause(mood == Mood.LONG_LATE_BODY ? LATE_BODY_MS : 0);
    if (mood == Mood.LONG_TINY_CHUNKS) {
      String tiny = "1\r\nx\r\n".repeat(TINY_CHUNKS_AT_ONCE);
      for (int i = 0; i < LONG_BYTES / TINY_CHUNKS_AT_ONCE; i++) {
        Peers.write(out, tiny);
      }
      Peers.write(out, "0\r\n\r\n");
      return;
    }
    int pieces = mood == Mood.LONG_LUMPS ? LUMPS : PIECES;
    String piece = "x".repeat(LONG_BYTES / pieces);
    for (int i = 0; i < pieces; i++) {
      Peers.write(out, chunked ? Integer.toHexString(piece.length()) + "\r\n" + piece + "\r\n" : piece);
      pause(mood == Mood.LONG_LUMPS ? LUMP_PAUSE_MS : PIECE_PAUSE_MS);
    }
    if (chunked) {
      Peers.write(out, "0\r\n\r\n");
    }
  }

  private static void pause(long ms) throws IOException {
    try {
      TimeUnit.MILLISECONDS.sleep(ms);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }
}
