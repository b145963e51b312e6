import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Idle clients connect by hundreds, while usual clients write the heads of requests in two pieces, 1 s apart, on
 * connections that they have used before: these requests have to get an answer.
 */
final class IdleCrowd {

  private static final int TIMEOUT_MS = 3_000;
  private static final int BODY = 2_000;
  /** A client may take 2 s for a head. */
  private static final double HEAD_MS = 1_000;
  private static final int FIRST_PIECE = 100;
  private static final int USUAL = 3;
  private static final int IDLE = 400;

  public static void main(String[] arguments) {
    Rig.run(arguments, rig -> {
      for (int i = 0; i < 3; i++) {
        rig.backend(x -> {
          Rig.sleep(120);
          x.answer("200 OK", "", x.body());
        });
      }
      Rig.Door door = rig.startDoor(0, Rig.settings(2), 256);
      return run(rig, door);
    });
  }

  private static boolean run(Rig rig, Rig.Door door) throws Exception {
    List<Rig.Client> clients = new ArrayList<>();
    for (int i = 0; i < USUAL; i++) {
      Rig.Client c = rig.client(door);
      String id = rig.newId();
      c.write(Rig.head(id, "register-buy", TIMEOUT_MS, BODY) + "b".repeat(BODY));
      rig.note("client %d: %s on a new connection: %s", i, id, c.read(5_000).kind());
      clients.add(c);
    }
    Rig.sleep(500);
    List<Thread> threads = new ArrayList<>();
    List<String> lost = new ArrayList<>();
    for (int i = 0; i < USUAL; i++) {
      Rig.Client c = clients.get(i);
      int number = i;
      threads.add(Rig.background(() -> {
        String id = rig.newId();
        String whole = Rig.head(id, "register-buy", TIMEOUT_MS, BODY) + "b".repeat(BODY);
        rig.note("client %d: begins %s", number, id);
        String end = "";
        try {
          c.write(whole.substring(0, FIRST_PIECE));
          Rig.sleep(HEAD_MS);
          c.write(whole.substring(FIRST_PIECE));
          rig.note("client %d: wrote the last byte of %s", number, id);
        } catch (IOException e) {
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
    Rig.sleep(400);
    List<Rig.Client> idle = new ArrayList<>();
    if (Rig.TROUBLE) {
      rig.note("%d idle clients connect", IDLE);
      for (int i = 0; i < IDLE; i++) {
        try {
          idle.add(rig.client(door));
        } catch (IOException e) {
          rig.note("an idle client could not connect");
        }
      }
      rig.note("%d idle clients have connected", idle.size());
      if (idle.size() < IDLE / 2) {
        throw new Rig.CouldNotRun("too few idle clients");
      }
    }
    for (Thread t : threads) {
      t.join();
    }
    for (Rig.Client c : idle) {
      c.close();
    }
    return !lost.isEmpty();
  }
}
