import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/**
 * A planned restart while a long answer passes: SIGTERM, and SIGKILL well after the earliest time that the page names.
 * Does the client get the whole answer that the backend gives without a pause?
 */
public final class LongAnswerAtTheEnd {

  private static final int ANSWER_BYTES = 8 << 20;
  private static final int PIECE_BYTES = 64 << 10;
  /** About 1 MB a second, so 8 s in all. */
  private static final double PIECE_EVERY_MS = 62;
  private static final double TERM_AFTER_MS = 1_000;
  /** No sooner than 3.7 s after SIGTERM, says the page; this platform waits longer. */
  private static final double KILL_AFTER_MS = 15_000;

  public static void main(String[] args) {
    Rig.main(args[0], LongAnswerAtTheEnd::run);
  }

  private static void run(Path folder, boolean trouble) throws Exception {
    Rig.Discovery discovery = new Rig.Discovery();
    Rig.Server backend = new Rig.Server("backend", (socket, in, out) -> {
      for (Rig.Message m = Rig.readMessage(in); m != null; m = Rig.readMessage(in)) {
        Rig.note("backend received %s and begins an answer of %d bytes", m.header("request-id"), ANSWER_BYTES);
        out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + ANSWER_BYTES + "\r\n\r\n").getBytes(
            StandardCharsets.US_ASCII));
        byte[] piece = new byte[PIECE_BYTES];
        for (int i = 0; i < ANSWER_BYTES / PIECE_BYTES; i++) {
          try {
            out.write(piece);
          } catch (IOException e) {
            Rig.note("backend: the connection ended after %d bytes: %s", i * PIECE_BYTES, e.getMessage());
            throw e;
          }
          Rig.sleep(PIECE_EVERY_MS);
        }
        Rig.note("backend has given its whole answer");
      }
    });
    discovery.put("s-1", backend.address(), "active", "building-1");
    Rig.Server counter = Rig.counter();
    Rig.Door door = new Rig.Door(folder, new Rig.DoorSettings(), discovery.server.address(), counter.address(),
        discovery.list(), 11);
    door.awaitUp(30_000);
    Rig.sleep(300);

    Rig.Client client = new Rig.Client(door.port);
    client.out.write(Rig.request("r1", "check-quote", "full", 5, 3_000, null, false, 1, 2, 0));
    Rig.Message head = Rig.readHead(client.in);
    Rig.note("client: %s, Content-Length %s", head.first, head.header("content-length"));
    if (head.status() != 200) {
      Rig.end(2, "the request was not served: " + head.first);
    }
    if (trouble) {
      Rig.thread("platform", () -> {
        Rig.sleep(TERM_AFTER_MS);
        Rig.signal(door.process, "TERM");
        double from = Rig.ms();
        if (door.process.waitFor((long) KILL_AFTER_MS, java.util.concurrent.TimeUnit.MILLISECONDS)) {
          Rig.note("the front door ended by itself, with %d, %.0f ms after SIGTERM", door.process.exitValue(),
              Rig.ms() - from);
        } else {
          Rig.signal(door.process, "KILL");
        }
      });
    }
    int got = 0;
    String end = "whole";
    byte[] into = new byte[PIECE_BYTES];
    try {
      while (got < ANSWER_BYTES && end.equals("whole")) {
        int n = client.in.read(into);
        end = n < 0 ? "the connection ended" : end;
        got += Math.max(0, n);
      }
    } catch (IOException e) {
      end = e.getMessage();
    }
    Rig.note("client got %d of %d bytes: %s", got, ANSWER_BYTES, end);
    Rig.sleep(500);
    boolean byItself = !door.process.isAlive();
    Rig.end(got == ANSWER_BYTES ? 0 : byItself ? 1 : 2, got + " of " + ANSWER_BYTES + " bytes: " + end);
  }
}
