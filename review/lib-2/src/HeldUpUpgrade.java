import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Upgrades of a front door that is held up for 0.14 s, both of its processes together, while a bad client sends the ids of
 * usual clients' open requests: a request that is unsafe to repeat has to run once.
 */
final class HeldUpUpgrade {

  private static final int UPGRADES = 7;
  private static final int PAIRS = 60;
  private static final double PAIR_INTERVAL_MS = 1.5;
  /** The bad client's request comes so long after the usual one, which is open then. */
  private static final double COPY_AFTER_MS = 2;
  private static final long HELD_UP_MS = 130;
  /** A hold-up that took longer is past what the pages allow, and its upgrade does not count. */
  private static final double MAX_HELD_UP_MS = 150;
  private static final int TIMEOUT_MS = 3_000;
  private static final Map<String, AtomicInteger> RUNS = new ConcurrentHashMap<>();
  private static int counted;

  public static void main(String[] arguments) {
    Rig.run(arguments, rig -> {
      for (int i = 0; i < 9; i++) {
        rig.backend(x -> {
          RUNS.computeIfAbsent(x.id, id -> new AtomicInteger()).incrementAndGet();
          Rig.sleep(120);
          x.answer("200 OK", "", x.body());
        });
      }
      String settings = Rig.settings(2).replace("\"register-buy\",\"Repeat\":\"token\"",
          "\"register-buy\",\"Repeat\":\"side_effect\"");
      int port = Rig.freePort();
      Rig.Door old = rig.startProcess(0, port, settings);
      for (int i = 1; i <= UPGRADES && twice().isEmpty(); i++) {
        old = upgrade(rig, old, i, settings);
      }
      twice().forEach(id -> rig.note("%s has run %d times", id, RUNS.get(id).get()));
      rig.note("%d requests have run", RUNS.size());
      if (counted == 0) {
        throw new Rig.CouldNotRun("each hold-up took too long");
      }
      return !twice().isEmpty();
    });
  }

  private static List<String> twice() {
    return RUNS.entrySet().stream().filter(e -> e.getValue().get() > 1).map(Map.Entry::getKey).toList();
  }

  private static String request(String id) {
    return Rig.head(id, "register-buy", TIMEOUT_MS, 4).replaceFirst("Idempotency-Key: .*\r\n", "") + "body";
  }

  private static Rig.Door upgrade(Rig rig, Rig.Door old, int number, String settings) throws Exception {
    Rig.Door[] next = new Rig.Door[1];
    List<Rig.Client> atOld = new ArrayList<>();
    for (int i = 0; i < PAIRS; i++) {
      atOld.add(rig.client(old));
    }
    Thread starting = Rig.background(() -> next[0] = rig.startProcess(number, old.port, settings));
    while (starting.isAlive()) {
      for (Rig.Client c : atOld) {
        c.write(Rig.head(rig.newId(), "check-quote", TIMEOUT_MS, 0));
      }
      for (Rig.Client c : atOld) {
        c.read(TIMEOUT_MS);
      }
    }
    if (next[0] == null) {
      throw new Rig.CouldNotRun("the second process is not ready");
    }
    old.tell();
    double toldMs = rig.now();
    Rig.sleep(60);
    List<Rig.Client> atNew = new ArrayList<>();
    for (int i = 0; i < PAIRS; i++) {
      atNew.add(rig.client(old));
    }
    CountDownLatch sent = new CountDownLatch(2 * PAIRS);
    List<Thread> clients = new ArrayList<>();
    double beginMs = rig.now() + 30;
    for (int i = 0; i < PAIRS; i++) {
      String id = rig.newId();
      double atMs = beginMs + i * PAIR_INTERVAL_MS;
      for (Rig.Client c : List.of(atOld.get(i), atNew.get(i))) {
        boolean usual = c == atOld.get(i);
        clients.add(Rig.background(() -> {
          Rig.sleep(atMs + (usual ? 0 : COPY_AFTER_MS) - rig.now());
          try (c) {
            c.write(request(id));
            sent.countDown();
            Rig.Answer a = c.read(TIMEOUT_MS + 500);
            rig.note("%s client: %s: %s", usual ? "usual" : "bad", id, a.kind());
          } catch (IOException e) {
            rig.note("%s client: %s: the connection was closed before", usual ? "usual" : "bad", id);
          }
        }));
      }
    }
    double heldUpMs = 0;
    if (Rig.TROUBLE) {
      Rig.sleep(beginMs + PAIRS * PAIR_INTERVAL_MS / 2 - rig.now());
      double stoppedMs = rig.now();
      signal("STOP", old, next[0]);
      Rig.sleep(HELD_UP_MS);
      signal("CONT", old, next[0]);
      heldUpMs = rig.now() - stoppedMs;
      rig.note("both processes were held up for %.0f ms", heldUpMs);
    }
    sent.await(5, TimeUnit.SECONDS);
    for (Thread t : clients) {
      t.join();
    }
    Rig.sleep(toldMs + 3_700 - rig.now());
    old.kill();
    if (heldUpMs > MAX_HELD_UP_MS) {
      rig.note("this upgrade does not count");
      RUNS.clear();
    } else {
      counted++;
    }
    return next[0];
  }

  private static void signal(String name, Rig.Door one, Rig.Door other) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, Long.toString(one.process.pid()), Long.toString(other.process.pid()))
        .start().waitFor();
  }
}
