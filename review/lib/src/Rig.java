import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Stand-ins for the cases of the review: clients, backends, discovery and the counter of the protocol page, and the
 * start of the front door by the run line of the deploy file. Blocking sockets, a thread for each connection, loopback
 * addresses only.
 */
public final class Rig {

  private Rig() {
  }

  // ---- Record ----

  static final long START_NANOS = System.nanoTime();
  private static PrintWriter record;

  /** Milliseconds since this program started. */
  static double ms() {
    return (System.nanoTime() - START_NANOS) / 1e6;
  }

  static synchronized void open(Path file) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(file));
  }

  /** Adds a line to record.txt. */
  static synchronized void note(String format, Object... with) {
    String line = String.format(Locale.ROOT, "%10.1f ms  ", ms()) + String.format(Locale.ROOT, format, with);
    if (record != null) {
      record.println(line);
      record.flush();
    }
  }

  static void sleep(double ms) {
    try {
      Thread.sleep(Math.max(0, (long) ms));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  static Thread thread(String name, Body body) {
    Thread t = new Thread(() -> {
      try {
        body.run();
      } catch (IOException e) {
        // The other side has ended the connection; the caller's record tells what came before.
      } catch (Exception e) {
        note("stand-in %s failed: %s", name, e);
      }
    }, name);
    t.setDaemon(true);
    t.start();
    return t;
  }

  interface Body {
    void run() throws Exception;
  }

  static InetSocketAddress any() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  }

  /** A loopback port that is free now. */
  static int freePort() throws IOException {
    try (ServerSocket s = new ServerSocket()) {
      s.bind(new InetSocketAddress("127.0.0.1", 0));
      return s.getLocalPort();
    }
  }

  // ---- HTTP ----

  /** A head and a body as they were read. */
  static final class Message {
    String first = "";
    final Map<String, String> headers = new HashMap<>();
    byte[] body = new byte[0];

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    int status() {
      return Integer.parseInt(first.split(" ")[1]);
    }
  }

  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        return null;
      }
      if (b != '\r') {
        line.write(b);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  /** Reads a head; null at the end of the connection. */
  static Message readHead(InputStream in) throws IOException {
    Message m = new Message();
    m.first = readLine(in);
    if (m.first == null) {
      return null;
    }
    for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      if (colon > 0) {
        m.headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
      }
    }
    return m;
  }

  /** Reads a message whose body has a length or none; null at the end of the connection. */
  static Message readMessage(InputStream in) throws IOException {
    Message m = readHead(in);
    if (m != null && !m.header("content-length").isEmpty()) {
      int length = Integer.parseInt(m.header("content-length"));
      m.body = in.readNBytes(length);
      if (m.body.length < length) {
        throw new IOException("the connection ended after " + m.body.length + " of " + length + " bytes");
      }
    }
    return m;
  }

  static byte[] answer(int status, String headers, String body) {
    return ("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body)
        .getBytes(StandardCharsets.ISO_8859_1);
  }

  /** The bytes of a request in the form of the protocol page. */
  static byte[] request(String id, String requestClass, String plan, long customer, int timeoutMs, String key,
      boolean post, int units, int spread, int first) {
    String body = post ? "{\"id\":\"" + id + "\"}" : "";
    return ((post ? "POST" : "GET") + " /" + requestClass + " HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: " + id
        + "\r\nRequest-Class: " + requestClass + "\r\nX-Plan: " + plan + "\r\nX-Customer: "
        + String.format("%016x", customer) + "\r\nRequest-Timeout-Ms: " + timeoutMs + "\r\n"
        + (key == null ? "" : "Idempotency-Key: " + key + "\r\n")
        + (post ? "Content-Length: " + body.length() + "\r\n" : "")
        + "X-Quota: units=" + units + ",spread=" + spread + ",first=" + first + "\r\n\r\n" + body)
        .getBytes(StandardCharsets.ISO_8859_1);
  }

  // ---- Servers ----

  interface Handler {
    void handle(Socket socket, InputStream in, OutputStream out) throws Exception;
  }

  /** A TCP server on a free loopback port; each connection has a thread. */
  static class Server implements Closeable {
    final ServerSocket listening = new ServerSocket();
    final List<Socket> open = new ArrayList<>();

    Server(String name, Handler handler) throws IOException {
      listening.bind(new InetSocketAddress("127.0.0.1", 0), 512);
      thread(name, () -> {
        while (true) {
          Socket socket = listening.accept();
          socket.setTcpNoDelay(true);
          synchronized (open) {
            open.add(socket);
          }
          thread(name, () -> {
            try (socket) {
              handler.handle(socket, new BufferedInputStream(socket.getInputStream()), socket.getOutputStream());
            } finally {
              synchronized (open) {
                open.remove(socket);
              }
            }
          });
        }
      });
    }

    int port() {
      return listening.getLocalPort();
    }

    String address() {
      return "127.0.0.1:" + port();
    }

    @Override
    public void close() throws IOException {
      listening.close();
      synchronized (open) {
        for (Socket s : List.copyOf(open)) {
          s.close();
        }
      }
    }
  }

  /** The counter of the protocol page: one number a name, no limit of its own. */
  static Server counter() throws IOException {
    Map<String, Double> totals = new HashMap<>();
    return new Server("counter", (socket, in, out) -> {
      for (String line = readLine(in); line != null; line = readLine(in)) {
        String[] words = line.split(" ");
        String answer = "error";
        if (line.equals("ping")) {
          answer = "pong";
        } else if (words.length == 4 && words[0].equals("incr")) {
          double total;
          synchronized (totals) {
            total = totals.merge(words[1], Double.parseDouble(words[2]), Double::sum);
          }
          answer = String.format(Locale.ROOT, "ok %.3f", total);
        }
        out.write((answer + "\r\n").getBytes(StandardCharsets.US_ASCII));
      }
    });
  }

  /** Discovery's agent: a whole list, and a watch with the whole list first, changes and an empty line every 2 s. */
  static final class Discovery {
    private final Map<String, String> entries = new LinkedHashMap<>();
    private long version = 41;
    private final List<String> changes = new ArrayList<>();
    final Server server;

    Discovery() throws IOException {
      server = new Server("discovery", (socket, in, out) -> {
        Message m = readMessage(in);
        if (m == null) {
          return;
        }
        if (!m.first.contains("stream=1")) {
          out.write(answer(200, "Content-Type: application/json\r\n", list()));
          return;
        }
        out.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
            .getBytes(StandardCharsets.US_ASCII));
        int told;
        String next;
        synchronized (this) {
          told = changes.size();
          next = list();
        }
        while (true) {
          chunk(out, next + "\n");
          synchronized (this) {
            if (told == changes.size()) {
              wait(2_000);
            }
            next = told < changes.size() ? changes.get(told++) : "";
          }
        }
      });
    }

    private static void chunk(OutputStream out, String text) throws IOException {
      out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII));
    }

    private static String entry(String id, String address, String state, String zone, long startedMs) {
      return "{\"id\":\"" + id + "\",\"addr\":\"" + address + "\",\"zone\":\"" + zone
          + "\",\"kind\":\"std-4core\",\"cell\":0,\"state\":\"" + state + "\",\"weight\":1.0,\"started_ms\":"
          + startedMs + "}";
    }

    synchronized String list() {
      return "{\"version\":" + version + ",\"full\":true,\"servers\":[" + String.join(",", entries.values()) + "]}";
    }

    synchronized void put(String id, String address, String state, String zone) {
      entries.put(id, entry(id, address, state, zone, 0));
      version++;
      changes.add("{\"version\":" + version + ",\"full\":false,\"servers\":[" + entries.get(id) + "]}");
      notifyAll();
    }
  }

  // ---- The front door ----

  /** The root of the checkout: the working folder of every program that is started. */
  static Path root() {
    return Path.of("").toAbsolutePath();
  }

  /** A value of the deploy file. */
  static String deployLine(String key) throws IOException {
    Matcher m = Pattern.compile("(?m)^" + key + " = \"((?:[^\"\\\\]|\\\\.)*)\"").matcher(
        Files.readString(root().resolve("deploy/balancer.toml")));
    if (!m.find()) {
      throw new IOException("deploy/balancer.toml has no line " + key);
    }
    return m.group(1).replaceAll("\\\\(.)", "$1");
  }

  /** Processes that this program has started; all of them end with it. */
  static final List<Process> STARTED = new ArrayList<>();

  static {
    Runtime.getRuntime().addShutdownHook(new Thread(() -> STARTED.forEach(Process::destroyForcibly)));
  }

  static Process start(String name, List<String> command, Map<String, String> environment, Path log)
      throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command).directory(root().toFile())
        .redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
        .redirectInput(new File("/dev/null"));
    builder.environment().putAll(environment);
    Process process = builder.start();
    STARTED.add(process);
    note("%s: process %d starts", name, process.pid());
    return process;
  }

  /** Sends a signal to a process that this program started. */
  static void signal(Process process, String signal) throws Exception {
    note("signal %s to process %d", signal, process.pid());
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  /** The settings object: the figures of the first deployment, with one class each of the three effects. */
  static final class DoorSettings {
    String name = "n0";
    int index;
    int doors = 2;
    int sockets = 1024;
    int memoryMb = 192;
    String zone = "building-1";
    String profiles = """
        [{"AimMs":1500.0,"DeadlineMs":4000.0,"Group":"all","LateValue":0.2,"Name":"check-quote","Repeat":"pure",
          "RepeatWindowMs":5000.0,"Stream":false,"Value":1.0},
         {"AimMs":1200.0,"DeadlineMs":4000.0,"Group":"all","LateValue":0.2,"Name":"register-buy","Repeat":"token",
          "RepeatWindowMs":4000.0,"Stream":false,"Value":5.0}]""";
    String zones = "[\"building-1\",\"building-2\"]";
    double dialTimeoutMs = 250;
    double connIdleMs = 30000;

    /** The configuration file's text. The plan is wide, so that no quota decides in a case about something else. */
    String config(int listen, String discovery, String counter, String known, long seed) {
      return String.format(Locale.ROOT, """
          {"name":"%s","listen":"127.0.0.1:%d","discovery":"%s","seed":"%016x",
           "limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},"counter":"%s","known":%s,
           "settings":{"Balancers":%d,
            "Bounds":{"Cancel":true,"ConnIdleMs":%s,"CpuUsPerRequest":0.0,"CpuUsPerS":530751,"DialTimeoutMs":%s,
              "MaxAttempts":6,"MaxOpen":21230,"MaxRetryAfterMs":500.0,"MayDuplicate":false,"MayProbe":false,
              "MayTell":false,"RetryAfter":false,"StreamsPerConn":100},
            "Clients":{"MarksRetry":true},"Dcs":%s,"Discovery":"push","DomainType":"gate",
            "Extra":{"CallPrice":0.02,"CostAfter":true,"CountLimitMs":50.0,"Counter":true,"MaxUnits":8,
              "MeterPeriodMs":0.0,"PeerIntake":0.0},
            "Goal":{"Whole":0.5,"WorstClass":0.1,"WorstTenant":0.15,"WorstWindow":0.25},
            "Kinds":["std-4core"],"Layer":0,"LoadReport":{"Names":[],"Source":"off"},"MyZone":"%s",
            "Prices":{"CrossZone":0.01,"LateFail":0.05,"Waste":0.03},
            "Profiles":%s,"ResolutionMs":2.0,
            "Rules":{"AnswerSlackMs":8.0,"AskWithinMs":10000.0,"ColdFrom":0.21,"ColdMs":18000.0,
              "DrainGraceMs":1000.0,"TipAfterMs":2000.0,"TipMultiple":2.5},
            "SelfIndex":%d,
            "Tariffs":[{"BeyondEarns":0.0,"CeilingBurst":0.0,"CeilingRate":0.0,"HardSlack":0.0,"Name":"full","Open":0,
              "OverrunCost":0.8,"PeakUnits":6000.0,"Refill":3000.0,"WorthFactor":1.6}],
            "Tiers":["invoice-fleet"],"WeightKind":"rough"}}
          """, name, listen, discovery, seed, memoryMb, sockets, counter, known, doors, connIdleMs, dialTimeoutMs,
          zones, zone, profiles, index);
    }
  }

  /** A front door as the platform starts it. */
  static final class Door {
    final Process process;
    final int port;
    final Path folder;

    Door(Path folder, DoorSettings settings, String discovery, String counter, String known, long seed)
        throws Exception {
      this.folder = folder;
      port = freePort();
      Path config = folder.resolve(settings.name + ".json");
      Files.writeString(config, settings.config(port, discovery, counter, known, seed));
      Path tmp = Files.createDirectory(folder.resolve(settings.name + ".tmp"));
      process = start("front door " + settings.name, List.of("/bin/sh", "-c", deployLine("run")),
          Map.of("GW_NAME", settings.name, "GW_LISTEN", "127.0.0.1:" + port, "GW_DISCOVERY", discovery,
              "GW_CONFIG", config.toString(), "TMPDIR", tmp.toString()), folder.resolve(settings.name + ".log"));
    }

    /** Waits for GET /up to say 200. */
    void awaitUp(double limitMs) throws Exception {
      double until = ms() + limitMs;
      while (ms() < until) {
        if (!process.isAlive()) {
          throw new IOException("the front door ended with " + process.exitValue());
        }
        try (Socket s = new Socket("127.0.0.1", port)) {
          s.setSoTimeout(2_000);
          s.getOutputStream().write("GET /up HTTP/1.1\r\nHost: door\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
          Message m = readMessage(new BufferedInputStream(s.getInputStream()));
          if (m != null && m.status() == 200) {
            note("front door is up at port %d", port);
            return;
          }
        } catch (IOException e) {
          // Not listening yet.
        }
        sleep(50);
      }
      throw new IOException("the front door is not up within " + limitMs + " ms");
    }
  }

  /** A client's kept connection. */
  static final class Client implements Closeable {
    final Socket socket = new Socket();
    final InputStream in;
    final OutputStream out;

    Client(int port) throws IOException {
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress("127.0.0.1", port), 2_000);
      socket.setSoTimeout(15_000);
      in = new BufferedInputStream(socket.getInputStream());
      out = socket.getOutputStream();
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  // ---- The end ----

  static Path temporaryFolder() throws IOException {
    Path folder = Files.createTempDirectory("review");
    Runtime.getRuntime().addShutdownHook(new Thread(() -> {
      for (Process p : STARTED) {
        try {
          p.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
      try (Stream<Path> all = Files.walk(folder)) {
        for (Path p : all.sorted(Comparator.reverseOrder()).collect(Collectors.toList())) {
          Files.deleteIfExists(p);
        }
      } catch (IOException e) {
        // A left folder of the machine's temporary files does no harm.
      }
    }));
    return folder;
  }

  /** Ends the program: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
  static void end(int code, String why) {
    note("exit %d: %s", code, why);
    System.out.println("exit " + code + ": " + why);
    System.exit(code);
  }

  interface Case {
    void run(Path folder, boolean trouble) throws Exception;
  }

  static void main(String recordFile, Case body) {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Thread limit = new Thread(() -> {
      sleep(112_000);
      end(2, "not over within 112 s");
    });
    limit.setDaemon(true);
    limit.start();
    try {
      open(Path.of(recordFile));
      note("trouble: %s", trouble ? "on" : "off");
      body.run(temporaryFolder(), trouble);
    } catch (Throwable e) {
      e.printStackTrace();
      end(2, "the case couldn't run: " + e);
    }
  }
}
