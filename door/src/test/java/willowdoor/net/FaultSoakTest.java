package willowdoor.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import willowdoor.net.Peers.Client;

/**
 * Seeded soak of a gateway in its own process: backends with drawn faults, clients that stay, leave, come
 * again with the id of a request that they left, or want long answers, short windows, drains, hold-ups, in
 * half of the seeds the replacement by a second process, and a stop with clients on open connections until
 * the earliest kill. {@code -Dsoak.seeds=50 -Dsoak.first=100} plays other and more seeds.
 */
class FaultSoakTest {

  private static final int BACKENDS = 5;
  private static final int STAYING_CLIENTS = 6;
  private static final int CROWD = 40;
  private static final long RUN_MS = 7_000;
  private static final long KILL_DELAY_MS = 700;
  /** What is allowed beyond a time: half a second for the final answer, 50 ms on sockets. */
  private static final long LATE_MS = 550;
  private static final long LEAVING_MS = 150;
  private static final long WINDOW_SLACK_MS = 50;
  private static final long MAX_HOLD_UP_MS = 120;
  private static final int SETTLE_MS = 300;
  private static final int MIN_SERVED = 50;
  /** A backend may see the end of a connection so much later than the next request on another one. */
  private static final long AT_ONCE_SLACK_MS = 5;
  /** The first process of an upgrade ends so long after the longest deadline at the latest. */
  private static final long MAX_END_MS = 6_000;
  private static final long END_POLL_MS = 50;
  private static final long MAX_WITHOUT_WATCH_MS = 1_000;
  /** Separates the draws of upgrades from those of all else. */
  private static final long UPGRADE_DRAWS = 0x5eed;

  private static final int LARGE_BYTES = 60_000;
  private static final int MAX_AT_ONCE = 300;
  /** New connections keep coming for so long after SIGTERM. */
  private static final long NEW_CONNECTIONS_MS = 400;

  @TempDir
  private Path folder;
  private final Peers peers = new Peers();
  private final ConcurrentLinkedQueue<String> broken = new ConcurrentLinkedQueue<>();
  private final Map<String, Long> leftNanos = new ConcurrentHashMap<>();
  /** Class of each request that was sent, by id. */
  private final Map<String, String> classes = new ConcurrentHashMap<>();
  private final AtomicInteger answers = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private volatile boolean stopping;
  private volatile long termNanos = Long.MAX_VALUE;
  private volatile long killedNanos = Long.MAX_VALUE;
  private volatile boolean killed;
  /** The process that serves, or the newer one of two. */
  private volatile ServingProcess gateway;
  private int deadlineMs;

  static IntStream seeds() {
    int first = Integer.getInteger("soak.first", 1);
    return IntStream.range(first, first + Integer.getInteger("soak.seeds", 5));
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void rulesHoldUnderDrawnFaults(int seed) throws Exception {
    Random random = new Random(new SplittableRandom(seed).nextLong());
    deadlineMs = 1_200 + random.nextInt(2_000);
    int windowMs = 500 + random.nextInt(1_000);
    List<SoakBackend> backends = new ArrayList<>();
    for (int i = 0; i < BACKENDS; i++) {
      backends.add(new SoakBackend(seed * 100L + i));
    }
    String config = config(backends, windowMs, random);
    ServingProcess first = new ServingProcess(folder, managed(config, ServingProcess.freeAddress()));
    gateway = first;
    Random upgradeDraws = new Random(new SplittableRandom(seed ^ UPGRADE_DRAWS).nextLong());
    try {
      Peers.next(peers.watchRequests);
      Thread upgrade = upgradeDraws.nextBoolean() ? startUpgrade(config, upgradeDraws) : null;
      run(random, backends, upgrade);
    } finally {
      first.close();
      gateway.close();
      peers.close();
      for (SoakBackend backend : backends) {
        backend.close();
      }
    }
    List<SoakBackend.Run> runs = backends.stream().flatMap(b -> b.runs.stream()).toList();
    check(runs, windowMs);
    String seen = "seed " + seed + ": " + answers + " answers, " + served + " served, " + runs.size()
        + " runs";
    System.out.println(seen);
    assertTrue(broken.isEmpty(), () -> seen + "; broken: " + broken + "\n" + log());
    assertTrue(served.get() >= MIN_SERVED, () -> seen + "\n" + log());
  }

  private String log() {
    try {
      return gateway.log();
    } catch (IOException e) {
      return e.toString();
    }
  }

  private String config(List<SoakBackend> backends, int windowMs, Random random) {
    String unsafe = "{\"Name\":\"move\",\"Repeat\":\"once\",\"AimMs\":%1$d,\"DeadlineMs\":%2$d,\"Value\":5,"
        + "\"Group\":\"all\"},";
    int aimMs = deadlineMs / (2 + random.nextInt(2));
    return peers.config(entries(backends, -1))
        .replace("\"AimMs\":1500,\"DeadlineMs\":4000", "\"AimMs\":" + aimMs + ",\"DeadlineMs\":" + deadlineMs)
        .replace("\"DialTimeoutMs\":250", "\"DialTimeoutMs\":" + (random.nextBoolean() ? 250 : 1_500))
        .replace("\"RepeatWindowMs\":4000", "\"RepeatWindowMs\":" + windowMs)
        .replace("\"Profiles\":[", "\"Profiles\":[" + String.format(unsafe, aimMs, deadlineMs))
        .replace("\"seed\"", "\"limits\":{\"cores\":1,\"memory_mb\":192,\"sockets\":512},\"seed\"")
        .replace("\"Refill\":400,\"PeakUnits\":4000", "\"Refill\":4000,\"PeakUnits\":40000");
  }

  private static String managed(String config, InetSocketAddress management) {
    return config.replace("\"seed\"",
        "\"management\":\"127.0.0.1:" + management.getPort() + "\",\"seed\"");
  }

  /** Replaces the process by a second one after a drawn time; the first one ends by itself. */
  private Thread startUpgrade(String config, Random random) {
    ServingProcess first = gateway;
    Thread upgrade = new Thread(() -> {
      try {
        pause(500 + random.nextInt(2_500));
        InetSocketAddress management = ServingProcess.freeAddress();
        gateway = first.startSecond(managed(config, management));
        gateway.awaitReady(management);
        pause(random.nextInt(400));
        first.signal("TERM");
        long limitNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(deadlineMs + MAX_END_MS);
        while (first.isAlive()) {
          if (System.nanoTime() > limitNanos) {
            broken.add("the first process does not end");
            return;
          }
          pause(END_POLL_MS);
        }
      } catch (Exception e) {
        broken.add("no upgrade: " + e);
      }
    });
    upgrade.setDaemon(true);
    upgrade.start();
    return upgrade;
  }

  private static String[] entries(List<SoakBackend> backends, int draining) {
    return IntStream.range(0, backends.size())
        .mapToObj(i -> Peers.rosterEntry("s-" + i, backends.get(i).port(),
            i == draining ? "leaving" : "active"))
        .toArray(String[]::new);
  }

  /** Runs the clients and the faults; waits for the upgrade, unless it is null, before the stop. */
  private void run(Random random, List<SoakBackend> backends, Thread upgrade) throws Exception {
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < STAYING_CLIENTS; i++) {
      clients.add(client("stays" + i, random.nextLong(), this::stay));
    }
    clients.add(client("leaves", random.nextLong(), this::leaveEarly));
    clients.add(client("again", random.nextLong(), this::leaveAndComeAgain));
    clients.add(client("long", random.nextLong(), this::wantLong));
    clients.add(client("large", random.nextLong(), this::sendLarge));
    clients.add(client("burst", random.nextLong(), this::sendManyAndGo));
    boolean crowd = random.nextBoolean();
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RUN_MS);
    for (int version = 8; System.nanoTime() < endNanos; version++) {
      pause(random.nextInt(900));
      sendList(Peers.rosterJson(version, true, entries(backends, random.nextInt(BACKENDS + 2))) + "\n");
      if (random.nextInt(3) == 0) {
        ServingProcess heldUp = gateway;
        heldUp.signal("STOP");
        pause(random.nextInt((int) MAX_HOLD_UP_MS));
        heldUp.signal("CONT");
      }
    }
    if (crowd) {
      for (int i = 0; i < CROWD; i++) {
        clients.add(client("crowd" + i, random.nextLong(), this::stay));
      }
    }
    if (upgrade != null) {
      upgrade.join();
    }
    pause(random.nextInt(300));
    stopping = true;
    termNanos = System.nanoTime();
    gateway.signal("TERM");
    if (random.nextBoolean()) {
      gateway.signal("HUP");
      gateway.signal("TERM");
    }
    pause(Math.min(deadlineMs, 3_000) + KILL_DELAY_MS);
    killed = true;
    killedNanos = System.nanoTime();
    gateway.close();
    for (Thread client : clients) {
      client.join();
    }
    pause(SETTLE_MS);
  }

  /** Sends the list to each process; one that has no watch just then opens one soon. */
  private void sendList(String list) throws IOException {
    long limitNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_WITHOUT_WATCH_MS);
    while (!peers.sendToWatches(list)) {
      if (System.nanoTime() > limitNanos) {
        broken.add("no process watches the list");
        return;
      }
      pause(1);
    }
  }

  /** What a client does over and over; the number is new each time. */
  private interface Behaviour {
    void act(String name, int number, Random random) throws IOException;
  }

  private Thread client(String name, long seed, Behaviour behaviour) {
    Thread thread = new Thread(() -> {
      Random random = new Random(seed);
      for (int number = 0; opensConnections(); number++) {
        try {
          behaviour.act(name, number, random);
          pause(random.nextInt(60));
        } catch (IOException e) {
          // No connection any more: the gateway has stopped accepting.
          if (!stopping) {
            broken.add(name + ": no connection: " + e);
          }
          return;
        }
      }
    });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private boolean opensConnections() {
    return !stopping || millisSince(termNanos) < NEW_CONNECTIONS_MS;
  }

  private String request(String id, Random random, int timeoutMs) {
    String className = List.of("quote", "buy", "move").get(random.nextInt(3));
    classes.put(id, className);
    if (className.equals("quote")) {
      return Peers.get(id, timeoutMs);
    }
    String keyed = Peers.post(id, "b")
        .replace("Request-Timeout-Ms: 3000", "Request-Timeout-Ms: " + timeoutMs);
    return className.equals("buy") ? keyed : unsafe(keyed);
  }

  private static String unsafe(String keyed) {
    return keyed.replace("/buy/", "/move/").replace("Request-Class: buy", "Request-Class: move")
        .replaceAll("Idempotency-Key: [^\r]*\r\n", "");
  }

  private int timeoutMs(Random random) {
    return deadlineMs / 2 + random.nextInt(deadlineMs / 2);
  }

  /** Sends some requests on one connection, and reads each answer. */
  private void stay(String name, int number, Random random) throws IOException {
    try (Client client = gateway.client()) {
      boolean open = true;
      for (int i = 0; open && !killed && i < 10; i++) {
        String id = name + "-" + number + "-" + i;
        int timeoutMs = timeoutMs(random);
        client.socket.setSoTimeout(timeoutMs + 2 * (int) LATE_MS);
        long sentNanos = System.nanoTime();
        Peers.Message answer;
        try {
          answer = client.ask(request(id, random, timeoutMs));
        } catch (IOException e) {
          // On a kept connection, the request may have crossed its end.
          if (!killed && i == 0) {
            broken.add(id + ": no answer in " + millisSince(sentNanos) + " of " + timeoutMs + " ms: " + e);
          }
          return;
        }
        answers.incrementAndGet();
        long afterMs = millisSince(sentNanos);
        if (afterMs > timeoutMs + LATE_MS) {
          broken.add(id + ": answered after " + afterMs + " of " + timeoutMs + " ms");
        }
        if (answer.status() == 200 && answer.header("Content-Length") != null) {
          served.incrementAndGet();
          if (!answer.text().equals(id)) {
            broken.add(id + ": served with " + answer.text());
          }
        }
        // A streamed answer has no length: the stalling one ends with its connection.
        open = answer.header("Content-Length") != null && !"close".equals(answer.header("Connection"));
      }
    }
  }

  private void leaveEarly(String name, int number, Random random) throws IOException {
    String id = name + number;
    try (Client client = gateway.client()) {
      client.send(request(id, random, timeoutMs(random)));
      pause(random.nextInt(150));
    }
    leftNanos.put(id, System.nanoTime());
  }

  /** Sends a request that must not run twice, leaves, and sends it again on another connection. */
  private void leaveAndComeAgain(String name, int number, Random random) throws IOException {
    String id = name + number;
    classes.put(id, "move");
    String request = unsafe(Peers.post(id, "b"));
    for (int time = 0; time < 2; time++) {
      try (Client client = gateway.client()) {
        client.send(request);
        pause(random.nextInt(40));
      }
    }
  }

  /** Sends a large request, which some backends read slowly; its final answer comes in time all the same. */
  private void sendLarge(String name, int number, Random random) throws IOException {
    String id = name + number;
    int timeoutMs = timeoutMs(random);
    classes.put(id, "buy");
    String request = Peers.post(id, "x".repeat(LARGE_BYTES))
        .replace("Request-Timeout-Ms: 3000", "Request-Timeout-Ms: " + timeoutMs);
    try (Client client = gateway.client()) {
      long sentNanos = System.nanoTime();
      int status;
      try {
        status = client.ask(request).status();
      } catch (IOException e) {
        if (!stopping) {
          broken.add(id + ": no answer in " + millisSince(sentNanos) + " of " + timeoutMs + " ms: " + e);
        }
        return;
      }
      answers.incrementAndGet();
      if (millisSince(sentNanos) > timeoutMs + LATE_MS) {
        broken.add(id + ": " + status + " after " + millisSince(sentNanos) + " of " + timeoutMs + " ms");
      }
    }
  }

  /** Sends many requests at once and closes the connection, with answers unread and requests behind them. */
  private void sendManyAndGo(String name, int number, Random random) throws IOException {
    List<String> ids = new ArrayList<>();
    StringBuilder requests = new StringBuilder();
    int many = 2 + random.nextInt(MAX_AT_ONCE);
    for (int i = 0; i < many; i++) {
      String id = name + number + "-" + i;
      ids.add(id);
      requests.append(request(id, random, deadlineMs));
    }
    try (Client client = gateway.client()) {
      client.send(requests.toString());
      pause(random.nextInt(30));
    }
    long goneNanos = System.nanoTime();
    ids.forEach(id -> leftNanos.put(id, goneNanos));
  }

  private void wantLong(String name, int number, Random random) throws IOException {
    String id = name + number;
    int timeoutMs = Math.max(1_000, timeoutMs(random));
    try (Client client = gateway.client()) {
      long sentNanos = System.nanoTime();
      client.send(Peers.get(id, Math.min(deadlineMs, timeoutMs)));
      Peers.Message answer = client.receive();
      if (answer.status() == 200) {
        int bytes = answer.header("Transfer-Encoding") == null ? answer.body().length
            : client.readChunks().length;
        if (bytes != SoakBackend.LONG_BYTES) {
          broken.add(id + ": " + bytes + " bytes of a long answer");
        }
      }
      answers.incrementAndGet();
      pause(millisSince(sentNanos) / 10);
    } catch (IOException e) {
      if (!stopping) {
        broken.add(id + ": long answer cut off: " + e);
      }
    }
  }

  private void check(List<SoakBackend.Run> runs, int windowMs) {
    Collection<List<SoakBackend.Run>> byId = runs.stream()
        .collect(Collectors.groupingBy(SoakBackend.Run::id)).values();
    for (List<SoakBackend.Run> ofOne : byId) {
      List<SoakBackend.Run> inOrder = new ArrayList<>(ofOne);
      inOrder.sort(Comparator.comparingLong(SoakBackend.Run::arrivedNanos));
      checkRepeats(inOrder, windowMs);
      Long left = leftNanos.get(inOrder.get(0).id());
      SoakBackend.Run last = inOrder.get(inOrder.size() - 1);
      if (left != null && !last.readLate() && millis(last.arrivedNanos() - left) > LEAVING_MS) {
        broken.add(last.id() + ": began " + millis(last.arrivedNanos() - left) + " ms after its client left");
      }
      for (SoakBackend.Run run : inOrder) {
        if (run.mood().name().startsWith("LONG") && run.end() == SoakBackend.End.GIVEN_UP
            && run.endNanos() < killedNanos) {
          broken.add(run.id() + ": cut off while its backend wrote: " + run.mood());
        }
      }
    }
  }

  private void checkRepeats(List<SoakBackend.Run> inOrder, int windowMs) {
    List<SoakBackend.Run> mayHaveRun = inOrder.stream()
        .filter(r -> r.mood() != SoakBackend.Mood.REJECT).toList();
    for (int i = 1; i < mayHaveRun.size(); i++) {
      SoakBackend.Run first = mayHaveRun.get(0);
      SoakBackend.Run repeat = mayHaveRun.get(i);
      long afterMs = millis(repeat.arrivedNanos() - first.arrivedNanos());
      String className = classes.getOrDefault(first.id(), "quote");
      if (className.equals("move") || className.equals("buy") && !repeat.readLate()
          && afterMs > windowMs + WINDOW_SLACK_MS) {
        broken.add(first.id() + ": " + className + " ran again after " + afterMs + " ms");
      }
      SoakBackend.Run previous = mayHaveRun.get(i - 1);
      if (previous.mood() == SoakBackend.Mood.HANG
          && millis(previous.endNanos() - repeat.arrivedNanos()) > AT_ONCE_SLACK_MS) {
        broken.add(first.id() + ": two attempts at once");
      }
    }
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }

  private static long millisSince(long nanos) {
    return millis(System.nanoTime() - nanos);
  }

  private static void pause(long ms) throws IOException {
    try {
      TimeUnit.MILLISECONDS.sleep(ms);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }
}
