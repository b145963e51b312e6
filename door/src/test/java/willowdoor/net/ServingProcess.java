package willowdoor.net;

import java.io.Closeable;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** A gateway in its own process, as the platform runs it, which takes signals. */
final class ServingProcess implements Closeable {

  private static final long START_LIMIT_MS = 20_000;
  private static final long POLL_MS = 20;
  private static final int FIRST_PORT = 20_000;
  private static final int PORTS = 12_000;
  private static final int MAX_PORT_TRIES = 100;
  private static final List<String> DEFAULT_OPTIONS = List.of("-XX:TieredStopAtLevel=1",
      "-Djava.util.logging.config.file=../deploy/request-log.properties");

  final InetSocketAddress address;
  private final Path folder;
  private final Process process;

  /** Starts a gateway with a listening port that is chosen here, and waits until it serves. */
  ServingProcess(Path folder, String config) throws Exception {
    this(folder, config, DEFAULT_OPTIONS);
  }

  /** Does the same with the given options of the JVM. */
  ServingProcess(Path folder, String config, List<String> jvmOptions) throws Exception {
    this(folder, config, List.of(), jvmOptions, freeAddress());
    awaitUp();
  }

  /** Starts a gateway that the system gives only so many descriptors, whatever its configuration says. */
  static ServingProcess withDescriptors(Path folder, String config, int descriptors) throws Exception {
    List<String> limited = List.of("sh", "-c", "ulimit -n " + descriptors + " && exec \"$@\"", "sh");
    ServingProcess process = new ServingProcess(folder, config, limited, DEFAULT_OPTIONS, freeAddress());
    process.awaitUp();
    return process;
  }

  private ServingProcess(Path folder, String config, List<String> launcher, List<String> jvmOptions,
      InetSocketAddress address) throws IOException {
    this.folder = folder;
    this.address = address;
    Path file = write("config.json", config);
    List<String> command = new ArrayList<>(launcher);
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(jvmOptions);
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), "willowdoor.Main", "serve"));
    ProcessBuilder builder = new ProcessBuilder(command)
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("log").toFile()));
    builder.environment().put("GW_CONFIG", file.toString());
    builder.environment().put("TMPDIR", folder.toString());
    process = builder.start();
  }

  /** Starts a second process of the same front door with that configuration; does not wait for it. */
  ServingProcess startSecond(String config) throws IOException {
    return new ServingProcess(folder, config, List.of(), DEFAULT_OPTIONS, address);
  }

  /**
   * A free address at a port below those that the system gives away. Guards against another gateway that gets
   * the port before this one listens: processes of one front door may share an address, and the clients
   * of the one would reach the other.
   */
  static InetSocketAddress freeAddress() throws IOException {
    for (int tries = 0; tries < MAX_PORT_TRIES; tries++) {
      int port = FIRST_PORT + ThreadLocalRandom.current().nextInt(PORTS);
      try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return (InetSocketAddress) free.getLocalSocketAddress();
      } catch (BindException e) {
        // In use; another one is tried.
      }
    }
    throw new IOException("no free port");
  }

  private Path write(String name, String config) throws IOException {
    return Files.writeString(folder.resolve(name),
        config.replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"127.0.0.1:" + address.getPort() + '"'));
  }

  private void awaitUp() throws Exception {
    long limit = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_LIMIT_MS);
    while (!up()) {
      if (System.nanoTime() > limit || !process.isAlive()) {
        throw new AssertionError("the gateway does not serve: " + log());
      }
      TimeUnit.MILLISECONDS.sleep(POLL_MS);
    }
  }

  /** Waits until this process is ready by its management address. */
  void awaitReady(InetSocketAddress management) throws Exception {
    long limit = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_LIMIT_MS);
    while (!isReady(management)) {
      if (System.nanoTime() > limit || !process.isAlive()) {
        throw new AssertionError("the process is not ready: " + log());
      }
      TimeUnit.MILLISECONDS.sleep(POLL_MS);
    }
  }

  private static boolean isReady(InetSocketAddress management) {
    try (Peers.Client operator = new Peers.Client(management)) {
      return operator.ask("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n").status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  private boolean up() {
    try (Peers.Client client = client()) {
      return client.ask("GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  Peers.Client client() throws IOException {
    return new Peers.Client(address);
  }

  /** The most memory that the process has had in RAM so far, in bytes. */
  long peakMemoryBytes() throws IOException {
    Path status = Path.of("/proc", Long.toString(process.pid()), "status");
    return Files.readAllLines(status).stream().filter(l -> l.startsWith("VmHWM:"))
        .mapToLong(l -> Long.parseLong(l.replaceAll("\\D", "")) * 1024).findFirst().orElseThrow();
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Replaces the configuration file, as an operator does before SIGHUP. */
  void replace(String config) throws IOException {
    Files.move(write("fresh.json", config), folder.resolve("config.json"), StandardCopyOption.ATOMIC_MOVE);
  }

  /** Sends the process a signal, by its name without SIG. */
  void signal(String name) throws Exception {
    List<String> kill = List.of("kill", "-" + name, Long.toString(process.pid()));
    if (new ProcessBuilder(kill).start().waitFor() != 0) {
      throw new AssertionError("the signal could not be sent: " + log());
    }
    if (name.equals("STOP")) {
      awaitStopped();
    }
  }

  /** Waits until each thread of the process is stopped, which is some time after the signal was sent. */
  private void awaitStopped() throws Exception {
    long limit = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_LIMIT_MS);
    while (!isStopped()) {
      if (System.nanoTime() > limit) {
        throw new AssertionError("the process is not stopped: " + log());
      }
      TimeUnit.MILLISECONDS.sleep(1);
    }
  }

  private boolean isStopped() throws IOException {
    try (Stream<Path> threads = Files.list(Path.of("/proc", Long.toString(process.pid()), "task"))) {
      for (Path thread : threads.toList()) {
        if (!Files.readString(thread.resolve("status")).contains("State:\tT")) {
          return false;
        }
      }
      return true;
    }
  }

  /** What the process has printed, without the requests of its own warm-up. */
  String log() throws IOException {
    return Files.readAllLines(folder.resolve("log")).stream().filter(l -> !l.contains(" request=w"))
        .collect(Collectors.joining("\n"));
  }

  @Override
  public void close() {
    process.destroyForcibly().onExit().join();
  }

  /** Closes a client's connection with a reset. */
  static void reset(Socket socket) throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }
}
