import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A long answer without a length, whose backend pauses for 2.5 s after 40 KiB: it has to come whole. */
final class SlowLongAnswer {

  private static final int PIECE = 8 * 1024;
  private static final int PIECES = 24;
  private static final int PAUSE_AFTER = 5;
  private static final int TIMEOUT_MS = 4_000;

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
    if (!x.request.startLine().contains("/long")) {
      x.answer("200 OK", "", x.body());
      return;
    }
    int sent = 0;
    try {
      x.out.write(Rig.bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
      for (int i = 0; i < PIECES; i++) {
        x.out.write(Rig.bytes(Rig.chunk("r".repeat(PIECE))));
        sent += PIECE;
        Rig.sleep(i < PAUSE_AFTER - 1 ? 280 : i == PAUSE_AFTER - 1 && Rig.TROUBLE ? 2_500 : 20);
      }
      x.out.write(Rig.bytes("0\r\n\r\n"));
      rig.note("%s: answer to %s written whole, %d bytes", x.backend.name, x.id, sent);
    } catch (IOException e) {
      rig.note("%s: the gateway closed the connection of %s; %d of %d bytes were written", x.backend.name, x.id,
          sent, PIECE * PIECES);
      throw e;
    }
  }

  private static boolean run(Rig rig, Rig.Door door) throws Exception {
    List<Thread> clients = new ArrayList<>();
    List<String> lost = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      boolean isLong = i % 2 == 0;
      clients.add(Rig.background(() -> {
        try (Rig.Client c = rig.client(door)) {
          String id = rig.newId();
          String head = Rig.head(id, "check-quote", TIMEOUT_MS, 0);
          c.write(isLong ? head.replace("GET /check-quote", "GET /check-quote/long") : head);
          rig.note("client: sent %s%s", id, isLong ? " (long answer)" : "");
          Rig.Answer a = c.read(20_000);
          rig.note("client: %s: status %d, %s", id, a.status, a.kind());
          if (!a.whole) {
            synchronized (lost) {
              lost.add(id);
            }
          }
        }
      }));
      Rig.sleep(200);
    }
    for (Thread t : clients) {
      t.join();
    }
    return !lost.isEmpty();
  }
}
