import java.util.ArrayList;
import java.util.List;

/**
 * A planned restart while a client writes the head of a request in two pieces, 1 s apart, on a connection that it has
 * used before: the request has to get an answer.
 */
final class RestartAndSlowWriter {

  private static final int TIMEOUT_MS = 3_000;
  private static final int BODY = 2_000;
  /** A client may take 2 s for a head. */
  private static final double HEAD_MS = 1_000;
  private static final int FIRST_PIECE = 100;

  public static void main(String[] arguments) {
    Rig.run(arguments, rig -> {
      for (int i = 0; i < 3; i++) {
        rig.backend(x -> {
          Rig.sleep(120);
          x.answer("200 OK", "", x.body());
        });
      }
      Rig.Door door = rig.startDoor(0, Rig.settings(2));
      rig.startDoor(1, Rig.settings(2));
      return run(rig, door);
    });
  }

  private static boolean run(Rig rig, Rig.Door door) throws Exception {
    List<Rig.Client> clients = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      Rig.Client c = rig.client(door);
      String id = rig.newId();
      c.write(Rig.head(id, "register-buy", TIMEOUT_MS, BODY) + "b".repeat(BODY));
      rig.note("client %d: %s on a new connection: %s", i, id, c.read(5_000).kind());
      clients.add(c);
    }
    double told = rig.now();
    if (Rig.TROUBLE) {
      door.tell();
    }
    List<Thread> threads = new ArrayList<>();
    List<String> lost = new ArrayList<>();
    for (int i = 0; i < clients.size(); i++) {
      Rig.Client c = clients.get(i);
      int number = i;
      threads.add(Rig.background(() -> {
        Rig.sleep(told + 1_700 + 200 * number - rig.now());
        String id = rig.newId();
        String whole = Rig.head(id, "register-buy", TIMEOUT_MS, BODY) + "b".repeat(BODY);
        rig.note("client %d: begins %s, %.0f ms after SIGTERM", number, id, rig.now() - told);
        String end = "";
        try {
          c.write(whole.substring(0, FIRST_PIECE));
          Rig.sleep(HEAD_MS);
          c.write(whole.substring(FIRST_PIECE));
          rig.note("client %d: wrote the last byte of %s, %.0f ms after SIGTERM", number, id, rig.now() - told);
        } catch (java.io.IOException e) {
          end = "; the write failed";
        }
        Rig.Answer a = c.read(TIMEOUT_MS);
        rig.note("client %d: %s: %s%s", number, id, a.kind(), end);
        if (!a.whole) {
          synchronized (lost) {
            lost.add(id);
          }
        }
        c.close();
      }));
    }
    Rig.sleep(told + 3_700 - rig.now());
    if (Rig.TROUBLE) {
      door.kill();
    }
    for (Thread t : threads) {
      t.join();
    }
    return !lost.isEmpty();
  }
}
