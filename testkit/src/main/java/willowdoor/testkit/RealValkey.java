package willowdoor.testkit;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A Redis or Valkey server of the distribution as a child process on loopback, that keeps nothing on disk.
    */
public final class RealValkey implements AutoCloseable {

  private static final List<String> NAMES = List.of("valkey-server", "redis-server");
  /** What to print where there is none: nothing of it was tested. */
  public static final String MISSING =
      "SKIPPED, NOT PASSED: there is no redis-server or valkey-server on the PATH "
      + "(Debian: apt-get install redis-server)";
  private static final long LIMIT_MS = 20_000;

  private final InetSocketAddress address;
  private final List<String> options;
  private final Path folder;
  private Process process;

  /** Starts one with further options of its command line, on a free port that it keeps. */
  public RealValkey(String... options) throws IOException {
    this.options = List.of(options);
    folder = Files.createTempDirectory("willowdoor-valkey");
    try (ServerSocket free = new ServerSocket(0)) {
      address = new InetSocketAddress("127.0.0.1", free.getLocalPort());
    }
    start();
  }

  public InetSocketAddress address() {
    return address;
  }

  /** The program, or null where there is none. */
  public static String program() {
    for (String name : NAMES) {
      for (String place : System.getenv("PATH").split(":")) {
        if (Files.isExecutable(Path.of(place, name))) {
          return Path.of(place, name).toString();
        }
      }
    }
    return null;
  }

  /** Starts it, empty, and waits until it answers. */
  public void start() throws IOException {
    List<String> words = new ArrayList<>(List.of(program(), "--port", Integer.toString(address.getPort()),
        "--bind", "127.0.0.1", "--save", "", "--appendonly", "no", "--dir", folder.toString(),
        "--repl-diskless-sync-delay", "0"));
    words.addAll(options);
    process = new ProcessBuilder(words).redirectErrorStream(true)
        .redirectOutput(folder.resolve("log").toFile()).start();
    long end = System.nanoTime() + LIMIT_MS * 1_000_000;
    while (true) {
      try {
        String answer = say("PING");
        if (answer.startsWith("+PONG") || answer.startsWith("-NOAUTH")) {
          return;
        }
      } catch (IOException e) {
        if (System.nanoTime() > end || !process.isAlive()) {
          throw new IOException("no server at " + address + ": " + Files.readString(folder.resolve("log")),
              e);
        }
        Thread.onSpinWait();
      }
    }
  }

  /** Kills it outright; what it held is gone. */
  public void kill() throws InterruptedException {
    process.destroyForcibly().waitFor(LIMIT_MS, TimeUnit.MILLISECONDS);
  }

  /** Has it do a command by a connection of its own; gives the first line of the answer. */
  public String say(String command) throws IOException {
    try (Socket s = new Socket(address.getAddress(), address.getPort())) {
      s.setSoTimeout((int) LIMIT_MS);
      s.getOutputStream().write((command + "\r\n").getBytes(StandardCharsets.US_ASCII));
      BufferedReader in = new BufferedReader(new InputStreamReader(s.getInputStream(),
          StandardCharsets.US_ASCII));
      String line = in.readLine();
      return line == null ? "" : line.startsWith("$") && !line.equals("$-1") ? in.readLine() : line;
    }
  }

  @Override
  public void close() throws IOException {
    process.destroyForcibly();
    try (Stream<Path> all = Files.walk(folder)) {
      for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(p);
      }
    }
  }
}
