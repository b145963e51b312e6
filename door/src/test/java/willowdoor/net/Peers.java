package willowdoor.net;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import willowdoor.wire.JsonFields;

/** Scripted peers of a front door on the loopback interface: backends, counter, discovery and clients. */
final class Peers implements Closeable {

  static final String OK = "HTTP/1.1 200 OK\r\nX-Units-Charged: 2\r\nContent-Length: 4\r\n\r\nfine";
  static final String NOT_STARTED =
      "HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";

  static final int SMALL_SOCKET_LIMIT = 160;

  /** A message as received: first line with headers, and body. */
  record Message(String head, byte[] body) {
    String firstLine() {
      return head.substring(0, head.indexOf("\r\n"));
    }

    int status() {
      return Integer.parseInt(head.split(" ")[1]);
    }

    String header(String name) {
      String start = name.toLowerCase(Locale.ROOT) + ":";
      return head.lines().filter(l -> l.toLowerCase(Locale.ROOT).startsWith(start))
          .map(l -> l.substring(name.length() + 1).trim()).findFirst().orElse(null);
    }

    String text() {
      return new String(body, StandardCharsets.ISO_8859_1);
    }
  }

  /** What a peer does with a connection. */
  interface Script {
    void run(InputStream in, OutputStream out, Socket socket) throws IOException;
  }

  /** What a backend does with a request; true keeps the connection open. */
  interface Answer {
    boolean respond(Message request, OutputStream out) throws IOException;
  }

  final BlockingQueue<Message> backendRequests = new LinkedBlockingQueue<>();
  final BlockingQueue<String> counterLines = new LinkedBlockingQueue<>();
  final BlockingQueue<String> watchRequests = new LinkedBlockingQueue<>();
  final List<OutputStream> watchOutputs = new CopyOnWriteArrayList<>();
  volatile Answer answer = (request, out) -> write(out, OK);
  volatile UnaryOperator<String> counterScript = this::addToCount;
  private final Map<String, Double> counts = new ConcurrentHashMap<>();
  private final List<Closeable> closeables = new CopyOnWriteArrayList<>();
  final ServerSocket backend = listen(50, this::serveBackend);
  final ServerSocket counter = listen(50, this::serveCounter);
  final ServerSocket discovery = listen(50, this::serveDiscovery);
  private FrontDoor door;

  static boolean write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
    return true;
  }

  /** Listens on a free port and runs the script for each connection, in a thread per connection. */
  ServerSocket listen(int backlog, Script script) {
    try {
      ServerSocket server = new ServerSocket(0, backlog, InetAddress.getLoopbackAddress());
      closeables.add(server);
      thread(() -> {
        while (true) {
          Socket socket = server.accept();
          closeables.add(socket);
          thread(() -> script.run(new BufferedInputStream(socket.getInputStream()), socket.getOutputStream(),
              socket));
        }
      });
      return server;
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  interface Work {
    void run() throws IOException;
  }

  /** Runs the work in a new daemon thread; it ends when one side closes the socket. */
  static void thread(Work work) {
    Thread thread = new Thread(() -> {
      try {
        work.run();
      } catch (IOException e) {
        // The other side or the end of the test closed the socket.
      }
    });
    thread.setDaemon(true);
    thread.start();
  }

  void serveBackend(InputStream in, OutputStream out, Socket socket) throws IOException {
    while (true) {
      Message request = read(in);
      backendRequests.add(request);
      if (!answer.respond(request, out)) {
        socket.close();
        return;
      }
    }
  }

  private void serveCounter(InputStream in, OutputStream out, Socket socket) throws IOException {
    while (true) {
      String line = line(in);
      if (line.equals("ping")) {
        write(out, "pong\r\n");
        continue;
      }
      counterLines.add(line);
      String reply = counterScript.apply(line);
      if (reply != null) {
        write(out, reply + "\r\n");
      }
    }
  }

  String addToCount(String line) {
    String[] parts = line.split(" ");
    return "ok " + counts.merge(parts[1], Double.valueOf(parts[2]), Double::sum);
  }

  /** Clears all counts, like a counter that was restarted. */
  void forgetCounts() {
    counts.clear();
  }

  private void serveDiscovery(InputStream in, OutputStream out, Socket socket) throws IOException {
    Message request = read(in);
    write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    watchOutputs.add(out);
    watchRequests.add(request.firstLine());
  }

  /** Sends bytes of a roster as one chunk on the newest watch. */
  void sendToNewestWatch(String bytes) throws IOException {
    write(watchOutputs.get(watchOutputs.size() - 1), chunk(bytes));
  }

  private static String chunk(String bytes) {
    return Integer.toHexString(bytes.length()) + "\r\n" + bytes + "\r\n";
  }

  /** Sends bytes of a roster on each watch that is open; returns whether there is one. */
  boolean sendToWatches(String bytes) {
    boolean sent = false;
    for (OutputStream watch : watchOutputs) {
      try {
        write(watch, chunk(bytes));
        sent = true;
      } catch (IOException e) {
        // Its gateway has ended, or opens another one.
        watchOutputs.remove(watch);
      }
    }
    return sent;
  }

  static String rosterEntry(String id, int port, String state) {
    return "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + port + "\",\"zone\":\"a\",\"kind\":\"k\","
        + "\"cell\":0,\"state\":\"" + state + "\",\"weight\":1.0,\"started_ms\":0}";
  }

  static String rosterJson(int version, boolean full, String... entries) {
    return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":["
        + String.join(",", entries) + "]}";
  }

  /** A configuration with the given entries in its list of known backends. */
  String config(String... entries) {
    return """
        {"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:%d","counter":"127.0.0.1:%d",
         "seed":"8c1f30d27a5be964","known":%s,
         "settings":{"Balancers":2,"SelfIndex":0,"MyZone":"a","Discovery":"push",
          "Bounds":{"MaxAttempts":6,"Cancel":true,"MaxOpen":1000,"DialTimeoutMs":250,"ConnIdleMs":30000},
          "Extra":{"Counter":true,"CountLimitMs":50,"MaxUnits":8,"CostAfter":true},
          "Rules":{"AnswerSlackMs":8,"ColdFrom":0.2,"ColdMs":9000,"TipMultiple":3,"TipAfterMs":2000},
          "Profiles":[
           {"Name":"quote","Repeat":"pure","AimMs":1500,"DeadlineMs":4000,"Value":1,"Group":"all"},
           {"Name":"buy","Repeat":"token","AimMs":1500,"DeadlineMs":4000,"Value":5,"Group":"all",
            "RepeatWindowMs":4000}],
          "Tariffs":[{"Name":"basic","Refill":400,"PeakUnits":4000,"WorthFactor":1,"OverrunCost":1}]}}
        """.formatted(discovery.getLocalPort(), counter.getLocalPort(), rosterJson(7, true, entries));
  }

  /** A configuration with this test's one backend and limits that allow few connections. */
  String smallConfig() {
    return config(rosterEntry("s-1", backend.getLocalPort(), "active"))
        .replace("\"seed\"",
            "\"limits\":{\"cores\":1,\"memory_mb\":128,\"sockets\":" + SMALL_SOCKET_LIMIT + "},\"seed\"");
  }

  /** Starts a front door with this test's one backend. */
  FrontDoor start() throws Exception {
    return start(config(rosterEntry("s-1", backend.getLocalPort(), "active")));
  }

  FrontDoor start(String config) throws Exception {
    door = FrontDoor.start(parse(config));
    return door;
  }

  static Config parse(String json) throws IOException {
    try (JsonParser in = new JsonFactory().createParser(json)) {
      in.nextToken();
      return Config.of(JsonFields.object(in));
    }
  }

  Client client() throws IOException {
    Client client = new Client((InetSocketAddress) door.address());
    closeables.add(client);
    return client;
  }

  static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
    T element = queue.poll(10, TimeUnit.SECONDS);
    if (element == null) {
      throw new AssertionError("nothing received within 10 s");
    }
    return element;
  }

  static String get(String id, int timeoutMs) {
    return "GET /quote/17?a=%20b&c HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: " + id
        + "\r\nRequest-Class: quote\r\nX-Plan: basic\r\nX-Customer: 00000000b4d65521\r\nRequest-Timeout-Ms: "
        + timeoutMs + "\r\nX-Quota: units=2,spread=2,first=1\r\n\r\n";
  }

  static String post(String id, String body) {
    return "POST /buy/9 HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: " + id
        + "\r\nRequest-Class: buy\r\nX-Plan: basic\r\nX-Customer: 00000000b4d65521"
        + "\r\nRequest-Timeout-Ms: 3000\r\nIdempotency-Key: key-" + id
        + "\r\nContent-Length: " + body.length()
        + "\r\nX-Quota: units=2,spread=2,first=1\r\n\r\n" + body;
  }

  static Message read(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    for (String l = line(in); !l.isEmpty(); l = line(in)) {
      head.append(l).append("\r\n");
    }
    Message withoutBody = new Message(head.toString(), new byte[0]);
    String length = withoutBody.header("Content-Length");
    byte[] body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
    if (length != null && body.length < Integer.parseInt(length)) {
      throw new EOFException("body is truncated");
    }
    return new Message(withoutBody.head(), body);
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        throw new EOFException();
      }
      if (b != '\r') {
        bytes.write(b);
      }
    }
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }

  /** A client with one connection. */
  static final class Client implements Closeable {
    final Socket socket;
    private final InputStream in;

    Client(InetSocketAddress address) throws IOException {
      this(new Socket(address.getAddress(), address.getPort()));
    }

    Client(Socket connected) throws IOException {
      socket = connected;
      socket.setSoTimeout(10_000);
      in = new BufferedInputStream(socket.getInputStream());
    }

    void send(String text) throws IOException {
      write(socket.getOutputStream(), text);
    }

    Message receive() throws IOException {
      return read(in);
    }

    Message ask(String text) throws IOException {
      send(text);
      return receive();
    }

    /** Reads a chunked response body after the response's head. */
    byte[] readChunks() throws IOException {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      for (int length = -1; length != 0;) {
        length = Integer.parseInt(line(in), 16);
        byte[] piece = in.readNBytes(length);
        if (piece.length < length) {
          throw new EOFException("chunk is truncated");
        }
        all.write(piece);
        line(in);
      }
      return all.toByteArray();
    }

    /** Waits for the next byte; true if the connection ends instead. */
    boolean isClosedByPeer() throws IOException {
      try {
        return in.read() < 0;
      } catch (SocketException e) {
        return true;
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  @Override
  public void close() throws IOException {
    if (door != null) {
      door.stop();
    }
    for (Closeable c : closeables) {
      c.close();
    }
  }
}
