package willowdoor.daemon.life;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import willowdoor.daemon.config.DaemonConfig;
import willowdoor.daemon.fleet.DoorFiles;
import willowdoor.daemon.fleet.FleetRun;
import willowdoor.testkit.BackendPool;
import willowdoor.testkit.InvariantChecker;
import willowdoor.testkit.EventHistory.ClientRequest;
import willowdoor.testkit.EventHistory.Entry;
import willowdoor.testkit.EventHistory.Kind;
import willowdoor.testkit.RequestKind;
import willowdoor.testkit.TestEnvironment;
import willowdoor.testkit.RunSettings;

/** A test rig with daemons inside this process, and clients whose every step the test controls. */
final class DaemonFixture implements AutoCloseable {

  static final long TIMEOUT_MS = 20_000;

  final TestEnvironment rig;
  final Path folder;
  final DoorFiles files;
  private final List<Daemon> daemons = new ArrayList<>();
  private final List<Caller> callers = new ArrayList<>();

  DaemonFixture(int backends, double workMs) throws IOException {
    rig = new TestEnvironment(RunSettings.typical(),
        new BackendPool.BackendSpec(backends, 4, 32, workMs, workMs + 1), 11);
    folder = Files.createTempDirectory("willowdoor-test");
    files = new DoorFiles(rig, folder, 1);
  }

  /** Creates a daemon on the address with the settings of the rig; {@code end} is appended to its file. */
  Daemon createDaemon(InetSocketAddress listen, String end) throws Exception {
    return createDaemon(listen, end, text -> text);
  }

  /** As above, but the text of the file is changed first. */
  Daemon createDaemon(InetSocketAddress listen, String end, UnaryOperator<String> change) throws Exception {
    Path file = files.write(0, listen);
    Files.writeString(file, change.apply(Files.readString(file)) + end);
    Daemon daemon = Daemon.create(DaemonConfig.read(file), file, "unnamed");
    daemons.add(daemon);
    return daemon;
  }

  Daemon startDaemon() throws Exception {
    Daemon daemon = createDaemon(new InetSocketAddress("127.0.0.1", 0), "[end]\naccept_ms = 150\n")
        .start(false);
    awaitUp(daemon.address());
    return daemon;
  }

  static void awaitUp(InetSocketAddress address) {
    await("door up at " + address, () -> isUp(address));
  }

  static boolean isUp(InetSocketAddress address) {
    try (Socket s = new Socket(address.getAddress(), address.getPort())) {
      s.setSoTimeout(2_000);
      s.getOutputStream().write("GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes(
          StandardCharsets.US_ASCII));
      return line(s.getInputStream()).contains(" 200 ");
    } catch (IOException e) {
      return false;
    }
  }

  static void await(String what, BooleanSupplier condition) {
    if (!FleetRun.await(condition, TIMEOUT_MS)) {
      throw new AssertionError("not within " + TIMEOUT_MS + " ms: " + what);
    }
  }

  boolean recorded(String id, Kind kind) {
    return rig.eventHistory().requestHistory(id).stream().anyMatch(e -> e.kind() == kind);
  }

  void awaitRecorded(String id, Kind kind) {
    await(id + " " + kind, () -> recorded(id, kind));
  }

  InvariantChecker.Verdict verdict() {
    return rig.verdict();
  }

  /** A client's connection; its requests are recorded in the ledger, as those of a fleet's clients are. */
  final class Caller implements AutoCloseable {
    final Socket socket;
    final String door;
    private final InputStream in;
    private final Map<String, String> headers = new HashMap<>();
    private String body;
    private boolean kept;
    private String currentRequest;

    Caller(InetSocketAddress address, String door) throws IOException {
      this.door = door;
      socket = new Socket(address.getAddress(), address.getPort());
      socket.setSoTimeout((int) TIMEOUT_MS);
      in = new BufferedInputStream(socket.getInputStream());
      callers.add(this);
    }

    String requestText(String id, RequestKind kind, int timeoutMs) {
      return requestText(id, kind, timeoutMs, "0000000000000042");
    }

    String requestText(String id, RequestKind kind, int timeoutMs, String firm) {
      boolean post = kind.method().equals("POST");
      rig.eventHistory().registerRequest(
          new ClientRequest(id, firm, "full", kind, kind.keyed() ? "key-" + id : null, 1,
          timeoutMs, 0, rig.eventHistory().now()));
      return kind.method() + " /" + kind.className() + "/1 HTTP/1.1\r\nHost: b\r\nRequest-Id: " + id
          + "\r\nRequest-Class: " + kind.className() + "\r\nX-Plan: full\r\nX-Customer: " + firm
          + "\r\nRequest-Timeout-Ms: " + timeoutMs + "\r\nX-Quota: units=1,spread=1,first=0\r\n"
          + (kind.keyed() ? "Idempotency-Key: key-" + id + "\r\n" : "")
          + (post ? "Content-Length: 4\r\n" : "") + "\r\n" + (post ? "body" : "");
    }

    void send(String id, RequestKind kind, int timeoutMs) throws IOException {
      send(id, kind, timeoutMs, "0000000000000042");
    }

    void send(String id, RequestKind kind, int timeoutMs, String firm) throws IOException {
      currentRequest = id;
      sendRaw(requestText(id, kind, timeoutMs, firm));
      rig.eventHistory().addRequestEntry(Kind.ASKED, id, door, 0, kept ? "kept" : "");
    }

    void sendRaw(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().flush();
    }

    /** The headers of the last answer, with names in lower case. */
    Map<String, String> headers() {
      return headers;
    }

    String body() {
      return body;
    }

    /** Receives the answer to a request that was sent as raw text; returns its status. */
    int receiveStatus(String id) throws IOException {
      currentRequest = id;
      return receiveStatus();
    }

    /** Receives an answer; returns its status, or -1 if the connection ended without an answer. */
    int receiveStatus() throws IOException {
      headers.clear();
      int length = 0;
      int status = -1;
      try {
        String first = line(in);
        status = first.isEmpty() ? -1 : Integer.parseInt(first.split(" ")[1]);
        for (String l = line(in); !l.isEmpty(); l = line(in)) {
          headers.merge(l.substring(0, l.indexOf(':')).toLowerCase(Locale.ROOT),
              l.substring(l.indexOf(':') + 1).trim(), (a, b) -> a + "," + b);
          if (l.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
            length = Integer.parseInt(l.substring(15).trim());
          }
        }
      } catch (java.net.SocketException e) {
        status = -1;
      }
      if (status < 0) {
        rig.eventHistory().addRequestEntry(Kind.CUT, currentRequest, door, 0, kept ? "kept" : "");
        return -1;
      }
      body = new String(in.readNBytes(length), StandardCharsets.US_ASCII);
      rig.eventHistory().addRequestEntry(Kind.ANSWERED, currentRequest, door, status, "");
      if (status == 200 && !body.startsWith("made for " + currentRequest + " by")) {
        rig.eventHistory().addRequestEntry(Kind.FORGED, currentRequest, door, 0, "");
      }
      kept = true;
      return status;
    }

    boolean isClosed() throws IOException {
      try {
        return in.read() < 0;
      } catch (java.net.SocketException e) {
        return true;
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int b = in.read(); b >= 0 && b != '\n'; b = in.read()) {
      if (b != '\r') {
        bytes.write(b);
      }
    }
    return bytes.toString(StandardCharsets.US_ASCII);
  }

  List<Entry> history(String id) {
    return rig.eventHistory().requestHistory(id);
  }

  @Override
  public void close() throws IOException {
    for (Caller c : callers) {
      c.close();
    }
    daemons.forEach(Daemon::close);
    rig.close();
    try (Stream<Path> all = Files.walk(folder)) {
      for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(p);
      }
    }
  }
}
