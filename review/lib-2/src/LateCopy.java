import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** Second copies of answers that come some milliseconds late, after ten quiet seconds at the usual load. */
final class LateCopy {

  private static final int DOORS = 4;
  private static final double LATE_MS = 15;
  private static final int COPIED_PERCENT = 20;
  private static volatile boolean copies;
  private static final AtomicInteger COPIES = new AtomicInteger();

  public static void main(String[] arguments) {
    Rig.run(arguments, rig -> {
      Random random = new Random(7);
      for (int i = 0; i < 9; i++) {
        rig.backend(x -> {
          Rig.sleep(110 + random.nextInt(90));
          x.answer("200 OK", "", x.body());
          if (copies && random.nextInt(100) < COPIED_PERCENT) {
            rig.note("%s: second copy of the answer to %s, %.0f ms late", x.backend.name, x.id, LATE_MS);
            COPIES.incrementAndGet();
            Rig.background(() -> {
              Rig.sleep(LATE_MS);
              x.answer("200 OK", "", x.body());
            });
          }
        });
      }
      List<Rig.Door> doors = new ArrayList<>();
      for (int i = 0; i < DOORS; i++) {
        doors.add(rig.startDoor(i, Rig.settings(DOORS)));
      }
      return run(rig, doors);
    });
  }

  private static boolean run(Rig rig, List<Rig.Door> doors) throws Exception {
    AtomicInteger foreign = new AtomicInteger();
    AtomicInteger served = new AtomicInteger();
    double until = rig.now() + 30_000;
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < 31 * DOORS; i++) {
      Rig.Door door = doors.get(i % DOORS);
      Random random = new Random(i);
      clients.add(Rig.background(() -> {
        try (Rig.Client c = rig.client(door)) {
          while (rig.now() < until) {
            String id = rig.newId();
            c.write(Rig.head(id, "check-quote", 4_000, 0));
            Rig.Answer a = c.read(6_000);
            if (a.status == 200 && !a.body.equals("made for " + id)) {
              rig.note("client at %s: %s was served '%s'", door.name, id, a.body);
              foreign.incrementAndGet();
            }
            served.incrementAndGet();
            Rig.sleep(random.nextInt(120));
          }
        }
      }));
    }
    Rig.sleep(12_000);
    copies = Rig.TROUBLE;
    for (Thread t : clients) {
      t.join();
    }
    rig.note("%d answers, %d second copies, %d answers to another request", served.get(), COPIES.get(), foreign.get());
    return foreign.get() > 0;
  }
}
