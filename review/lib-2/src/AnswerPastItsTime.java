import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Answers that never end, from one backend: their requests have to get their final answer all the same. */
final class EndlessAnswer {

  private static final int TIMEOUT_MS = 4_000;
  /** Half a second after its time, and 50 ms on sockets. */
  private static final int SLACK_MS = 550;

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
    if (!x.request.startLine().contains("/rows")) {
      x.answer("200 OK", "", x.body());
      return;
    }
    int bytes = 0;
    try {
      x.out.write(Rig.bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
      for (int i = 0; i < (Rig.TROUBLE ? 1_000 : 5); i++) {
        x.out.write(Rig.bytes(Rig.chunk(x.body() + "\n")));
        bytes += x.body().length() + 1;
        Rig.sleep(300);
      }
      x.out.write(Rig.bytes("0\r\n\r\n"));
      rig.note("%s: answer to %s written whole, %d bytes", x.backend.name, x.id, bytes);
    } catch (IOException e) {
      rig.note("%s: the connection of %s is closed; %d bytes of its answer were written", x.backend.name, x.id,
          bytes);
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
          double sent = rig.now();
          c.write(isLong ? head.replace("GET /check-quote", "GET /check-quote/rows") : head);
          rig.note("client: sent %s%s", id, isLong ? " (rows)" : "");
          Rig.Answer a = c.read(20_000);
          double tookMs = rig.now() - sent;
          rig.note("client: %s: after %.0f ms: status %d, %s", id, tookMs, a.status, a.kind());
          if (!a.whole && !a.ended || tookMs > TIMEOUT_MS + SLACK_MS) {
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
