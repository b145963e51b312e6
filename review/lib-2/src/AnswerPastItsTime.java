import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Short answers without a length that a backend writes in small pieces: one kind takes 6 s, the other never ends.
 * Their clients wait for 4 s, and have to get a final answer half a second after that at the latest.
 */
final class AnswerPastItsTime {

  private static final int TIMEOUT_MS = 4_000;
  /** Half a second after its time, and 50 ms on sockets. */
  private static final int SLACK_MS = 550;
  private static final int PIECE_MS = 400;
  private static final int SLOW_PIECES = 15;
  private static final int PIECES_WITHOUT_TROUBLE = 5;
  private static final String[] KINDS = {"slow", "plain", "endless", "plain", "slow", "plain", "endless", "plain"};

  public static void main(String[] arguments) {
    Rig.run(arguments, rig -> {
      for (int i = 0; i < 3; i++) {
        rig.backend(x -> answer(rig, x));
      }
      Rig.Door door = rig.startDoor(0, Rig.settings(2));
      rig.startDoor(1, Rig.settings(2));
      return run(rig, door);
    });
  }

  private static void answer(Rig rig, Rig.Exchange x) throws IOException {
    Rig.sleep(150);
    if (x.request.startLine().contains("/plain")) {
      x.answer("200 OK", "", x.body());
      return;
    }
    int pieces = !Rig.TROUBLE ? PIECES_WITHOUT_TROUBLE
        : x.request.startLine().contains("/slow") ? SLOW_PIECES : Integer.MAX_VALUE;
    int bytes = 0;
    try {
      x.out.write(Rig.bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
      for (int i = 0; i < pieces; i++) {
        x.out.write(Rig.bytes(Rig.chunk(x.body() + "\n")));
        bytes += x.body().length() + 1;
        Rig.sleep(PIECE_MS);
      }
      x.out.write(Rig.bytes("0\r\n\r\n"));
      rig.note("%s: the answer to %s is written whole, %d bytes", x.backend.name, x.id, bytes);
    } catch (IOException e) {
      rig.note("%s: the connection of %s is closed; %d bytes of its answer were written", x.backend.name, x.id,
          bytes);
      throw e;
    }
  }

  private static boolean run(Rig rig, Rig.Door door) throws Exception {
    List<Thread> clients = new ArrayList<>();
    List<String> late = new ArrayList<>();
    for (String kind : KINDS) {
      clients.add(Rig.background(() -> {
        try (Rig.Client c = rig.client(door)) {
          String id = rig.newId();
          double sentMs = rig.now();
          c.write(Rig.head(id, "check-quote", TIMEOUT_MS, 0).replace("GET /check-quote", "GET /check-quote/" + kind));
          rig.note("client: sent %s (%s)", id, kind);
          Rig.Answer a = c.read(15_000);
          double tookMs = rig.now() - sentMs;
          rig.note("client: %s (%s): after %.0f ms: status %d, %s", id, kind, tookMs, a.status, a.kind());
          if (!a.whole && !a.ended || tookMs > TIMEOUT_MS + SLACK_MS) {
            synchronized (late) {
              late.add(id);
            }
          }
        }
      }));
      Rig.sleep(200);
    }
    for (Thread t : clients) {
      t.join();
    }
    return !late.isEmpty();
  }
}
