import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A door is ended in order; a backend goes out by a permit; two of three stewards are away when the door is started
 * again. Does the door send to the backend that status said is out?
 */
public final class OutByAnOldFile {

  private static final int REQUESTS = 1_200;
  private static final int CLIENTS = 8;

  /** The rule on drains allows 1 s, and 50 ms more on sockets; here from the first 200 on /up. */
  private static final double GRACE_MS = 1_050;

  /** The requests that s-0 received after the grace. */
  private final AtomicInteger afterGrace = new AtomicInteger();
  private volatile double graceEndsMs = Double.POSITIVE_INFINITY;
  private final AtomicInteger[] received = {new AtomicInteger(), new AtomicInteger(), new AtomicInteger()};

  public static void main(String[] args) {
    Rig.main(args[0], (folder, trouble) -> new OutByAnOldFile().run(folder, trouble));
  }

  private void run(Path folder, boolean trouble) throws Exception {
    Rig.Discovery discovery = new Rig.Discovery();
    StringBuilder backends = new StringBuilder();
    for (int i = 0; i < received.length; i++) {
      int number = i;
      Rig.Server backend = new Rig.Server("backend", (socket, in, out) -> {
        for (Rig.Message m = Rig.readMessage(in); m != null; m = Rig.readMessage(in)) {
          received[number].incrementAndGet();
          if (number == 0 && Rig.ms() > graceEndsMs) {
            afterGrace.incrementAndGet();
          }
          Rig.note("s-%d received %s", number, m.header("request-id"));
          Rig.sleep(20);
          out.write(Rig.answer(200, "", "for " + m.header("request-id")));
        }
      });
      discovery.put("s-" + i, backend.address(), "active", "a");
      backends.append("[[backend]]\nid = \"s-" + i + "\"\naddress = \"" + backend.address() + "\"\nzone = \"a\"\n");
    }
    Rig.Server counter = Rig.counter();

    List<String> addresses = new ArrayList<>();
    StringBuilder members = new StringBuilder();
    for (String name : List.of("a", "b", "c")) {
      addresses.add("127.0.0.1:" + Rig.freePort());
      members.append("[[member]]\nname = \"" + name + "\"\naddress = \"" + addresses.get(addresses.size() - 1)
          + "\"\ndisk = 1\n");
    }
    String stewardsList = String.join(",", addresses);
    List<Process> stewards = new ArrayList<>();
    for (String name : List.of("a", "b", "c")) {
      Path file = folder.resolve("steward-" + name + ".toml");
      Files.writeString(file, "[steward]\nname = \"" + name + "\"\nfleet = \"fleet\"\nstore = \""
          + folder.resolve("steward-" + name + ".db") + "\"\n" + members
          + "[terms]\nlease_ms = 3000\ndoors_out = 1\nbackends_out = 1\n");
      stewards.add(Rig.start("steward " + name, List.of("bin/willowdoor", "steward", "--config", file.toString(),
          "--begin"), Map.of(), folder.resolve("steward-" + name + ".log")));
    }

    int[] ports = {Rig.freePort(), Rig.freePort()};
    List<Path> files = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      files.add(Files.writeString(folder.resolve("d" + i + ".toml"), "[instance]\nname = \"d" + i + "\"\nlisten = \"127.0.0.1:"
          + ports[i] + "\"\ndoors = 2\nindex = " + i + "\nzone = \"a\"\n[discovery]\naddress = \""
          + discovery.server.address() + "\"\n[counter]\naddress = \"" + counter.address()
          + "\"\n[take_over]\ncontrol_socket = \"" + folder.resolve("d" + i + ".sock") + "\"\n" + backends
          + "[[class]]\nname = \"check-quote\"\naim_ms = 1500\ndeadline_ms = 4000\nrepeat = \"safe\"\n"
          + "[[plan]]\nname = \"full\"\nunits_per_s = 3000\nburst_units = 6000\n"
          + "[agreement]\nenabled = true\nfleet = \"fleet\"\nstewards = [\"" + String.join("\",\"", addresses) + "\"]\n"));
    }
    Process d0 = startDoor(folder, files, 0);
    Process d1 = startDoor(folder, files, 1);
    awaitUp(ports[0], d0);
    awaitUp(ports[1], d1);
    // Longer than a lease: the stewards know both doors, and each door has stored that nothing is out.
    Rig.sleep(3_500);
    if (!command("permits", "status", "--stewards", stewardsList).contains("backends: 3, of them out: 0")) {
      Rig.end(2, "the stewards don't know three backends that serve");
    }

    Rig.signal(d1, "TERM");
    d1.waitFor();
    Rig.note("door d1 ended with %d", d1.exitValue());
    if (!command("permits", "ask", "backend", "s-0", "--stewards", stewardsList, "--reason", "disk").startsWith("0 ")) {
      Rig.end(2, "no permit for s-0");
    }
    boolean out = false;
    for (int i = 0; i < 10 && !out; i++) {
      out = command("permits", "status", "--stewards", stewardsList).matches("(?s).*permit \\d+: backend \\w+ out,.*");
    }
    if (!out) {
      Rig.end(2, "s-0 did not go out");
    }
    int before = received[0].get();
    Rig.note("status says that s-0 is out; it has received %d requests so far", before);

    if (trouble) {
      for (Process steward : stewards.subList(1, 3)) {
        Rig.signal(steward, "TERM");
        steward.waitFor();
      }
      Rig.note("stewards b and c have ended: fewer than a majority run");
    }
    d1 = startDoor(folder, files, 1);
    double until = Rig.ms() + 12_000;
    while (Rig.ms() < until && !isUp(ports[1])) {
      Rig.sleep(50);
    }
    if (!isUp(ports[1])) {
      // A door that waits for the stewards' word sends nothing.
      Rig.note("door d1 is not ready 12 s after its start");
      Rig.end(trouble ? 0 : 2, "door d1 is not ready");
    }
    graceEndsMs = Rig.ms() + GRACE_MS;
    Rig.note("door d1 is up again");
    AtomicInteger served = new AtomicInteger();
    List<Thread> clients = new ArrayList<>();
    for (int c = 0; c < CLIENTS; c++) {
      int number = c;
      clients.add(Rig.thread("client", () -> {
        try (Rig.Client client = new Rig.Client(ports[1])) {
          for (int n = 0; n < REQUESTS / CLIENTS; n++) {
            client.out.write(Rig.request("q" + number + "-" + n, "check-quote", "full", 5 + number, 3_000, null, false,
                1, 2, 1));
            served.addAndGet(Rig.readMessage(client.in).status() == 200 ? 1 : 0);
            Rig.sleep(20);
          }
        }
      }));
    }
    for (Thread t : clients) {
      t.join();
    }
    int sent = received[0].get() - before;
    Rig.note("%d of %d requests served by d1; received since s-0 is out: s-0 %d, s-1 %d, s-2 %d in all", served.get(),
        REQUESTS, sent, received[1].get(), received[2].get());
    Rig.note("after the grace of %.0f ms: s-0 received %d", GRACE_MS, afterGrace.get());
    Rig.note("log of d1:\n%s", Files.readString(folder.resolve("d1.log")));
    Rig.end(afterGrace.get() > 0 ? 1 : served.get() < REQUESTS / 2 ? 2 : 0, afterGrace.get() + " requests were sent to a"
        + " backend that is out, later than the grace (" + sent + " in all)");
  }

  private static Process startDoor(Path folder, List<Path> files, int number) throws IOException {
    return Rig.start("door d" + number, List.of("bin/willowdoor", "daemon", "--config", files.get(number).toString()),
        Map.of(), folder.resolve("d" + number + ".log"));
  }

  /** Runs a command of operators; returns its exit code and what it printed. */
  private static String command(String... words) throws Exception {
    List<String> all = new ArrayList<>(List.of("bin/willowdoor"));
    all.addAll(List.of(words));
    Process process = new ProcessBuilder(all).directory(Rig.root().toFile()).redirectErrorStream(true).start();
    Rig.STARTED.add(process);
    String printed = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    String result = process.waitFor() + " " + printed.trim();
    Rig.note("%s: %s", String.join(" ", words), result);
    return result;
  }

  private static boolean isUp(int port) {
    try (Socket s = new Socket("127.0.0.1", port)) {
      s.setSoTimeout(2_000);
      s.getOutputStream().write("GET /up HTTP/1.1\r\nHost: door\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      Rig.Message m = Rig.readMessage(new BufferedInputStream(s.getInputStream()));
      return m != null && m.status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  private static void awaitUp(int port, Process door) throws IOException {
    double until = Rig.ms() + 30_000;
    while (!isUp(port)) {
      if (!door.isAlive() || Rig.ms() > until) {
        throw new IOException("a door did not become ready");
      }
      Rig.sleep(50);
    }
  }
}
