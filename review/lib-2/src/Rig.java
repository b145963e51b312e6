import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback: front doors as separate processes, started by the run line of the deploy
 * file, and stand-ins for discovery, the counter, backends and clients. It writes to the record what was
 * sent, answered and run. All sockets are blocking, with a thread for each connection.
 */
final class Rig implements AutoCloseable {

  /** Whether the disruption of the case is applied. */
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
  private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

  private final Path temporary;
  private final PrintWriter record;
  private final long startNanos = System.nanoTime();
  private final AtomicLong ids = new AtomicLong(System.nanoTime());
  private final List<Closeable> open = new CopyOnWriteArrayList<>();
  private final List<Process> processes = new CopyOnWriteArrayList<>();
  final List<Backend> backends = new ArrayList<>();
  final Discovery discovery;
  final Counter counter;

  Rig(Path recordFile) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
    temporary = Files.createTempDirectory("review");
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    discovery = new Discovery();
    counter = new Counter();
  }

  // ---- The case ----

  /** A case: sets up the deployment and tells whether the rule was broken. */
  interface Case {
    boolean breaksRule(Rig rig) throws Exception;
  }

  /** Thrown where the disruption could not be applied, so that the run shows nothing. */
  static final class CouldNotRun extends Exception {
    private static final long serialVersionUID = 1;

    CouldNotRun(String why) {
      super(why);
    }
  }

  /** Runs a case, and exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. */
  static void run(String[] arguments, Case one) {
    int code;
    try (Rig rig = new Rig(Path.of(arguments[0], "record.txt"))) {
      try {
        code = one.breaksRule(rig) ? 1 : 0;
        rig.note("%s", code == 1 ? "the rule was BROKEN" : "the rule held");
      } catch (Exception | Error e) {
        code = 2;
        rig.note("the case could not run: %s", e);
        e.printStackTrace();
      }
    } catch (IOException e) {
      code = 2;
      e.printStackTrace();
    }
    System.exit(code);
  }

  // ---- Record, threads, the end ----

  /** Milliseconds since the start of the case. */
  double now() {
    return (System.nanoTime() - startNanos) / 1e6;
  }

  void note(String format, Object... arguments) {
    String line = String.format(Locale.ROOT, "%9.1f  ", now()) + String.format(Locale.ROOT, format, arguments);
    synchronized (record) {
      record.println(line);
    }
  }

  static void sleep(double ms) {
    try {
      TimeUnit.MICROSECONDS.sleep((long) (Math.max(0, ms) * 1000));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  interface Task {
    void run() throws Exception;
  }

  static Thread background(Task task) {
    Thread thread = new Thread(() -> {
      try {
        task.run();
      } catch (Exception e) {
        // A stand-in whose peer has gone ends silently.
      }
    });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private void endProcesses() {
    for (Process process : processes) {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  @Override
  public void close() throws IOException {
    endProcesses();
    for (Closeable c : open) {
      c.close();
    }
    try (Stream<Path> files = Files.walk(temporary)) {
      files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
    }
    record.close();
  }

  private ServerSocket listen() throws IOException {
    ServerSocket server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(new InetSocketAddress(LOOPBACK, 0), 512);
    open.add(server);
    return server;
  }

  static int freePort() throws IOException {
    try (ServerSocket s = new ServerSocket(0, 1, LOOPBACK)) {
      return s.getLocalPort();
    }
  }

  // ---- Front doors ----

  /** A process of a front door. */
  final class Door {
    final String name;
    final int port;
    final Process process;

    private Door(String name, int port, Process process) {
      this.name = name;
      this.port = port;
      this.process = process;
    }

    /** SIGTERM. */
    void tell() {
      note("%s: SIGTERM", name);
      process.destroy();
    }

    /** SIGKILL. */
    void kill() {
      note("%s: SIGKILL%s", name, process.isAlive() ? "" : " (had ended before)");
      process.destroyForcibly();
    }
  }

  /** Starts a front door by the run line of the deploy file, and waits until it answers /up with 200. */
  Door startDoor(int index, String settings) throws IOException {
    return startDoor(index, settings, 1_024);
  }

  /** Starts a front door that may hold so many descriptors. */
  Door startDoor(int index, String settings, int sockets) throws IOException {
    return start("n" + index, index, freePort(), 0, settings, sockets);
  }

  /** Starts a process of a front door that has a management address, at the clients' port. */
  Door startProcess(int number, int port, String settings) throws IOException {
    return start("n0", number, port, freePort(), settings, 1_024);
  }

  private Door start(String name, int number, int port, int management, String settings, int sockets)
      throws IOException {
    int index = management == 0 ? number : 0;
    Path folder = Files.createDirectories(temporary.resolve(name));
    String config = "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:"
        + discovery.port() + "\"," + (management == 0 ? "" : "\"management\":\"127.0.0.1:" + management + "\",")
        + "\"seed\":\"8c1f30d27a5be96" + number + "\",\"limits\":{\"cores\":1.0,"
        + "\"memory_mb\":192,\"sockets\":" + sockets + "},\"counter\":\"127.0.0.1:" + counter.port() + "\",\"known\":"
        + discovery.list() + ",\"settings\":" + settings.replace("SELF", Integer.toString(index)) + "}";
    Path file = temporary.resolve(name + "-" + number + ".json");
    Files.writeString(file, config);
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/balancer.toml")));
    if (!run.find()) {
      throw new IOException("no run line");
    }
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1).replace("\\\"", "\""));
    builder.environment().put("GW_CONFIG", file.toString());
    builder.environment().put("GW_NAME", name);
    builder.environment().put("GW_LISTEN", "127.0.0.1:" + port);
    builder.environment().put("GW_DISCOVERY", "127.0.0.1:" + discovery.port());
    builder.environment().put("TMPDIR", folder.toString());
    builder.redirectErrorStream(true).redirectOutput(temporary.resolve(name + "-" + number + ".log").toFile());
    Process process = builder.start();
    processes.add(process);
    Door door = new Door(management == 0 ? name : name + ", process " + number, port, process);
    double until = now() + 30_000;
    while (now() < until && process.isAlive()) {
      try (Client c = new Client(management == 0 ? port : management)) {
        c.write("GET " + (management == 0 ? "/up" : "/ready") + " HTTP/1.1\r\nHost: a\r\n\r\n");
        if (c.read(1_000).status == 200) {
          note("%s: ready", door.name);
          return door;
        }
      } catch (IOException e) {
        // Not listening yet.
      }
      sleep(50);
    }
    throw new IOException(name + " is not ready: " + Files.readString(temporary.resolve(name + "-" + number + ".log")));
  }

  /**
   * Settings like those of the invoice gateways: two classes with the effects of the site file, generous
   * quotas, and as many doors and backends as a quiet day has.
   */
  static String settings(int doors) {
    return "{\"Balancers\":" + doors + ",\"SelfIndex\":SELF,\"MyZone\":\"building-1\",\"Dcs\":[\"building-1\","
        + "\"building-2\"],\"Kinds\":[\"std-4core\"],\"Discovery\":\"push\",\"DomainType\":\"gate\","
        + "\"Bounds\":{\"Cancel\":true,\"ConnIdleMs\":30000.0,\"CpuUsPerRequest\":0.0,\"CpuUsPerS\":530751,"
        + "\"DialTimeoutMs\":250.0,\"MaxAttempts\":6,\"MaxOpen\":21230,\"MaxRetryAfterMs\":500.0,"
        + "\"MayDuplicate\":false,\"MayProbe\":false,\"MayTell\":false,\"RetryAfter\":false,"
        + "\"StreamsPerConn\":1},\"Clients\":{\"MarksRetry\":true},\"Extra\":{\"CallPrice\":0.02,"
        + "\"CostAfter\":true,\"CountLimitMs\":50.0,\"Counter\":true,\"MaxUnits\":8,\"MeterPeriodMs\":0.0,"
        + "\"PeerIntake\":0.0},\"LoadReport\":{\"Names\":[],\"Source\":\"off\"},"
        + "\"Prices\":{\"CrossZone\":0.01,\"LateFail\":0.05,\"Waste\":0.03},"
        + "\"Profiles\":[{\"AimMs\":1500.0,\"DeadlineMs\":4000.0,\"Group\":\"all\",\"LateValue\":0.2,"
        + "\"Name\":\"check-quote\",\"Repeat\":\"pure\",\"RepeatWindowMs\":5000.0,\"Stream\":false,\"Value\":1.0},"
        + "{\"AimMs\":1200.0,\"DeadlineMs\":4000.0,\"Group\":\"all\",\"LateValue\":0.2,\"Name\":\"register-buy\","
        + "\"Repeat\":\"token\",\"RepeatWindowMs\":4000.0,\"Stream\":false,\"Value\":5.0}],"
        + "\"Rules\":{\"AnswerSlackMs\":8.0,\"AskWithinMs\":10000.0,\"ColdFrom\":0.21,\"ColdMs\":18000.0,"
        + "\"DrainGraceMs\":1000.0,\"TipAfterMs\":2000.0,\"TipMultiple\":2.5},"
        + "\"Tariffs\":[{\"BeyondEarns\":0.0,\"CeilingBurst\":0.0,\"CeilingRate\":0.0,\"HardSlack\":0.0,"
        + "\"Name\":\"full\",\"Open\":0,\"OverrunCost\":0.8,\"PeakUnits\":6000.0,\"Refill\":3000.0,"
        + "\"WorthFactor\":1.6}],\"Tiers\":[\"invoice-fleet\"],\"WeightKind\":\"rough\"}";
  }

  // ---- Discovery ----

  /** Pushes the list, and an empty line every 2 s. */
  final class Discovery {
    private final ServerSocket server = listen();

    Discovery() throws IOException {
      background(() -> {
        while (true) {
          Socket s = server.accept();
          background(() -> serve(s));
        }
      });
    }

    int port() {
      return server.getLocalPort();
    }

    String list() {
      StringBuilder servers = new StringBuilder();
      for (Backend b : backends) {
        servers.append(servers.isEmpty() ? "" : ",").append("{\"id\":\"").append(b.name)
            .append("\",\"addr\":\"127.0.0.1:").append(b.server.getLocalPort())
            .append("\",\"zone\":\"building-1\",\"kind\":\"std-4core\",\"cell\":0,\"state\":\"active\","
                + "\"weight\":1.0,\"started_ms\":0}");
      }
      return "{\"version\":41,\"full\":true,\"servers\":[" + servers + "]}";
    }

    private void serve(Socket socket) throws IOException {
      try (socket) {
        Message request = Message.read(new BufferedInputStream(socket.getInputStream()));
        OutputStream out = socket.getOutputStream();
        if (!request.startLine.contains("stream=1")) {
          out.write(bytes("HTTP/1.1 200 OK\r\nContent-Length: " + list().length() + "\r\n\r\n" + list()));
          return;
        }
        out.write(bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list() + "\n")));
        while (true) {
          sleep(2_000);
          out.write(bytes(chunk("\n")));
        }
      }
    }
  }

  // ---- The counter ----

  /** Adds, and answers at once. */
  final class Counter {
    private final ServerSocket server = listen();
    private final Map<String, Double> totals = new ConcurrentHashMap<>();

    Counter() throws IOException {
      background(() -> {
        while (true) {
          Socket s = server.accept();
          background(() -> serve(s));
        }
      });
    }

    int port() {
      return server.getLocalPort();
    }

    private void serve(Socket socket) throws IOException {
      try (socket) {
        socket.setTcpNoDelay(true);
        InputStream in = new BufferedInputStream(socket.getInputStream());
        for (String line = Message.line(in); line != null; line = Message.line(in)) {
          String[] words = line.split(" ");
          String answer = words[0].equals("ping") ? "pong"
              : "ok " + totals.merge(words[1], Double.parseDouble(words[2]), Double::sum);
          socket.getOutputStream().write(bytes(answer + "\r\n"));
        }
      }
    }
  }

  // ---- Backends ----

  /** A request at a backend. */
  static final class Exchange {
    final Backend backend;
    final Message request;
    final Socket socket;
    final OutputStream out;
    final String id;

    Exchange(Backend backend, Message request, Socket socket) throws IOException {
      this.backend = backend;
      this.request = request;
      this.socket = socket;
      out = socket.getOutputStream();
      id = request.header("request-id");
    }

    /** The body that a backend makes for this request; it names the request. */
    String body() {
      return "made for " + id;
    }

    void answer(String status, String headers, String body) throws IOException {
      out.write(bytes("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n"
          + body));
    }
  }

  interface Script {
    void handle(Exchange exchange) throws IOException;
  }

  /** A backend that runs each request and then follows its script. */
  final class Backend {
    final String name;
    final ServerSocket server = listen();
    volatile Script script;

    private Backend(String name, Script script) throws IOException {
      this.name = name;
      this.script = script;
      background(() -> {
        while (true) {
          Socket s = server.accept();
          background(() -> serve(s));
        }
      });
    }

    private void serve(Socket socket) throws IOException {
      try (socket) {
        socket.setTcpNoDelay(true);
        InputStream in = new BufferedInputStream(socket.getInputStream());
        for (Message m = Message.read(in); m != null; m = Message.read(in)) {
          Exchange exchange = new Exchange(this, m, socket);
          note("%s: runs %s", name, exchange.id);
          script.handle(exchange);
        }
      }
    }
  }

  Backend backend(Script script) throws IOException {
    Backend made = new Backend("s-" + backends.size(), script);
    backends.add(made);
    return made;
  }

  // ---- Clients ----

  String newId() {
    return String.format("%016x", ids.incrementAndGet());
  }

  /** The head of a request by the protocol page. */
  static String head(String id, String requestClass, int timeoutMs, int bodyBytes) {
    boolean safe = requestClass.equals("check-quote");
    return (safe ? "GET /" : "POST /") + requestClass + " HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: " + id
        + "\r\nRequest-Class: " + requestClass + "\r\nX-Plan: full\r\nX-Customer: 00000000b4d65521\r\n"
        + "Request-Timeout-Ms: " + timeoutMs + "\r\n"
        + (safe ? "" : "Idempotency-Key: k" + id + "\r\nContent-Length: " + bodyBytes + "\r\n")
        + "X-Quota: units=2,spread=2,first=0\r\n\r\n";
  }

  Client client(Door door) throws IOException {
    return new Client(door.port);
  }

  /** What a client has read of an answer. */
  static final class Answer {
    /** 0 if no head came. */
    int status;
    /** Whether all of the answer came. */
    boolean whole;
    /** Whether the connection ended before. */
    boolean ended;
    /** Whether the answer says that the connection ends with it. */
    boolean close;
    int bodyBytes;
    String body = "";

    String kind() {
      return !whole ? (ended ? "broken off after " + bodyBytes + " bytes"
          : "nothing more, connection open, " + bodyBytes + " bytes so far") + (status == 0 ? ", no head" : "")
          : status == 200 ? "served, " + bodyBytes + " bytes"
          : status == 429 || status == 503 ? "refused (" + status + ")" : "failed (" + status + ")";
    }
  }

  /** One connection of a client. */
  static final class Client implements Closeable {
    private final Socket socket = new Socket();
    private final InputStream in;

    Client(int port) throws IOException {
      socket.connect(new InetSocketAddress(LOOPBACK, port), 1_000);
      socket.setTcpNoDelay(true);
      in = new BufferedInputStream(socket.getInputStream());
    }

    void write(String text) throws IOException {
      socket.getOutputStream().write(bytes(text));
    }

    /** Reads one answer, for as long as the limit allows. */
    Answer read(double limitMs) throws IOException {
      Answer answer = new Answer();
      long untilNanos = System.nanoTime() + (long) (limitMs * 1e6);
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      InputStream timed = new InputStream() {
        @Override
        public int read() throws IOException {
          long leftMs = (untilNanos - System.nanoTime()) / 1_000_000;
          if (leftMs <= 0) {
            throw new SocketTimeoutException();
          }
          socket.setSoTimeout((int) leftMs);
          return in.read();
        }
      };
      try {
        String first = Message.line(timed);
        if (first == null) {
          answer.ended = true;
          return answer;
        }
        Map<String, String> headers = Message.headers(timed);
        answer.status = Integer.parseInt(first.split(" ")[1]);
        answer.close = "close".equals(headers.get("connection"));
        if (headers.containsKey("content-length")) {
          copy(timed, body, Integer.parseInt(headers.get("content-length")));
        } else if ("chunked".equals(headers.get("transfer-encoding"))) {
          int size;
          do {
            size = Integer.parseInt(require(Message.line(timed)).trim(), 16);
            copy(timed, body, size);
            require(Message.line(timed));
          } while (size > 0);
        } else {
          throw new IOException("no length");
        }
        answer.whole = true;
      } catch (SocketTimeoutException e) {
        // The limit of the caller; the connection is open.
      } catch (IOException e) {
        answer.ended = true;
      }
      answer.bodyBytes = body.size();
      answer.body = body.size() > 200 ? "" : body.toString(StandardCharsets.US_ASCII);
      return answer;
    }

    private static String require(String line) throws EOFException {
      if (line == null) {
        throw new EOFException();
      }
      return line;
    }

    private static void copy(InputStream in, ByteArrayOutputStream to, int count) throws IOException {
      for (int i = 0; i < count; i++) {
        int b = in.read();
        if (b < 0) {
          throw new EOFException();
        }
        to.write(b);
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  // ---- HTTP ----

  /** A request, as far as a stand-in needs it. */
  record Message(String startLine, Map<String, String> headers, byte[] body) {

    String header(String name) {
      return headers.getOrDefault(name, "");
    }

    /** Reads a request; null at the end of the connection. */
    static Message read(InputStream in) throws IOException {
      String first = line(in);
      if (first == null) {
        return null;
      }
      Map<String, String> headers = headers(in);
      return new Message(first, headers, in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0"))));
    }

    static Map<String, String> headers(InputStream in) throws IOException {
      Map<String, String> headers = new HashMap<>();
      for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
        int colon = line.indexOf(':');
        headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
      }
      return headers;
    }

    static String line(InputStream in) throws IOException {
      StringBuilder text = new StringBuilder();
      for (int b = in.read(); b >= 0; b = in.read()) {
        if (b == '\n') {
          return text.toString();
        }
        if (b != '\r') {
          text.append((char) b);
        }
      }
      return null;
    }
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }
}
