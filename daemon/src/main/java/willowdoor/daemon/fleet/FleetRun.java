package willowdoor.daemon.fleet;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.IntFunction;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import willowdoor.testkit.BackendPool;
import willowdoor.testkit.ClientFleet;
import willowdoor.testkit.DoorProcess;
import willowdoor.testkit.InvariantChecker.Verdict;
import willowdoor.testkit.LaunchRecorder;
import willowdoor.testkit.TestEnvironment;
import willowdoor.testkit.RunSettings;

/**
 * A fleet of daemons that run as child processes on loopback addresses of their own, against the stand-ins of
 * a {@link TestEnvironment}. Closing it ends all its processes and deletes all its files.
 */
public final class FleetRun implements AutoCloseable {

  /** JVM options of the doors; heaps and stacks are small because many doors share one machine. */
  private static final List<String> JVM_OPTIONS = List.of("-XX:+UseSerialGC", "-Xms32m", "-Xmx64m",
      "-Xss256k",
      "-XX:MaxDirectMemorySize=32m", "-XX:-UsePerfData", "-Xshare:auto",
      "-Dio.netty.leakDetection.level=disabled");
  /** Disables the optimising compiler, which would delay forty instances on a few cores. */
  private static final String NO_OPTIMISING_COMPILER = "-XX:TieredStopAtLevel=1";
  /** System property; true enables the optimising compiler in the doors, as with the launcher. */
  private static final String OPTIMISED_PROPERTY = "willowdoor.fleet.optimised";
  private static final int PORT = 7070;
  /** Each run on a machine uses its own network 127.N.x.x, which it reserves by a file lock. */
  private static final int FIRST_NETWORK = 64;
  private static final int NETWORKS = 128;
  private static final AtomicInteger RUNS = new AtomicInteger();
  private static final long START_LIMIT_MS = 120_000;
  private static final long DRAIN_LIMIT_MS = 8_000;

  private final TestEnvironment rig;
  private final Path folder;
  private final DoorFiles files;
  private final List<DoorProcess> doors = new ArrayList<>();
  private final int networkNumber;
  private FileChannel networkLock;
  private ClientFleet clients;
  /** Null if the doors run without versions. */
  private LaunchRecorder launches;
  private String version;

  public FleetRun(RunSettings terms, BackendPool.BackendSpec backends, int doorCount,
      long seed) throws IOException {
    rig = new TestEnvironment(terms, backends, seed);
    folder = Files.createTempDirectory("willowdoor-fleet");
    files = new DoorFiles(rig, folder, doorCount);
    networkNumber = reserveNetwork();
    for (int i = 0; i < doorCount; i++) {
      int index = i;
      InetSocketAddress address = new InetSocketAddress("127." + networkNumber + '.' + i / 200 + '.' + (1
          + i % 200),
          PORT);
      File log = folder.resolve("d" + i + ".log").toFile();
      doors.add(new DoorProcess("d" + i, address, rig.eventHistory(),
          () -> doorCommand(index, address), Map.of(), log));
    }
  }

  /** Reserves a network, so that the clients of concurrent runs do not call each other's doors. */
  private int reserveNetwork() throws IOException {
    Path folderOfLocks = Files.createDirectories(Path.of(System.getProperty("java.io.tmpdir"),
        "willowdoor-networks"));
    int first = (int) ((ProcessHandle.current().pid() + RUNS.getAndIncrement()) % NETWORKS);
    for (int i = 0; i < NETWORKS; i++) {
      int number = FIRST_NETWORK + (first + i) % NETWORKS;
      FileChannel file = FileChannel.open(folderOfLocks.resolve(Integer.toString(number)),
          StandardOpenOption.CREATE, StandardOpenOption.WRITE);
      try {
        if (file.tryLock() != null) {
          networkLock = file;
          return number;
        }
      } catch (OverlappingFileLockException e) {
        // Another run in this process holds the lock.
      }
      file.close();
    }
    throw new IOException("all " + NETWORKS + " loopback networks for runs are in use");
  }

  private List<String> doorCommand(int door, InetSocketAddress address) {
    List<String> words = command(files.write(door, address), false);
    if (launches != null) {
      words.addAll(0, launches.launchCommand("d" + door, version));
      words.addAll(List.of("--release", version));
    }
    return words;
  }

  /**
   * Makes the doors start with the given version; must be called before they start.
   *
   * @return by the door's number, the command line that starts a successor; it has the placeholder {version},
   *     also in the name of the configuration file ({@link #writeVersionConfigs})
   */
  IntFunction<List<String>> useVersions(LaunchRecorder kept, String first) {
    launches = kept;
    version = first;
    doors.forEach(kept::follow);
    return door -> {
      List<String> words = new ArrayList<>(kept.launchCommand("d" + door, "{version}"));
      words.addAll(command(folder.resolve("d" + door + "-{version}.toml"), true));
      words.addAll(List.of("--release", "{version}"));
      return words;
    };
  }

  /** Writes the doors' configuration files for a version: the initial ones with the given change. */
  void writeVersionConfigs(String name, UnaryOperator<String> change) throws IOException {
    for (int i = 0; i < doors.size(); i++) {
      Files.writeString(folder.resolve("d" + i + "-" + name + ".toml"),
          change.apply(files.text(i, doors.get(i).address())));
    }
  }

  /** The command that runs a daemon with the given configuration and the class path of this process. */
  public static List<String> command(Path config, boolean takeOver) {
    List<String> words = programCommand("daemon");
    words.addAll(List.of("--config", config.toString()));
    if (takeOver) {
      words.add("--take-over");
    }
    return words;
  }

  /** The command that runs a subcommand of this program with the class path of this process. */
  static List<String> programCommand(String subcommand) {
    List<String> words = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java")
        .toString()));
    words.addAll(JVM_OPTIONS);
    if (!Boolean.getBoolean(OPTIMISED_PROPERTY)) {
      words.add(NO_OPTIMISING_COMPILER);
    }
    words.addAll(List.of("-cp", System.getProperty("java.class.path"), "willowdoor.daemon.Cli", subcommand));
    return words;
  }

  public TestEnvironment rig() {
    return rig;
  }

  public List<DoorProcess> doors() {
    return doors;
  }

  public ClientFleet clients() {
    return clients;
  }

  /** Adds tables to the doors' configurations; must be called before they start. */
  public void addTables(String tables) {
    addTables(door -> tables);
  }

  /** As above, with a value for each door by its number. */
  public void addTables(IntFunction<String> tables) {
    files.addTables(tables);
  }

  /** An address in this run's network for an additional process. */
  InetSocketAddress address(int number, int port) {
    return new InetSocketAddress("127." + networkNumber + ".250." + (1 + number), port);
  }

  /** The folder of this run's files, which is deleted when the run is closed. */
  Path folder() {
    return folder;
  }

  /** Makes the doors use another counter than the rig's; must be called before they start. */
  public void setCounterLines(String lines) {
    setCounterLines(door -> lines);
  }

  /** As above, with a value for each door by its number. */
  public void setCounterLines(IntFunction<String> lines) {
    files.setCounterLines(lines);
  }

  /** The output of one door's process so far. */
  public String log(int door) throws IOException {
    Path log = folder.resolve("d" + door + ".log");
    return Files.exists(log) ? Files.readString(log) : "";
  }

  /** Starts all doors and waits until each accepts requests. */
  public void start(ClientFleet.Load load) throws IOException {
    doors.forEach(DoorProcess::start);
    clients = rig.fleet(doors, load);
    if (!await(() -> clients.doorsUp() == doors.size(), START_LIMIT_MS)) {
      for (int i = 0; i < doors.size(); i++) {
        if (!clients.isUp(i)) {
          throw new IOException("door d" + i + " does not accept requests after " + START_LIMIT_MS
              + " ms; it printed: " + log(i));
        }
      }
    }
  }

  /** Stops the load, waits until the requests in flight have ended, and returns the verdict. */
  public Verdict finish() {
    clients.stop();
    await(() -> clients.outstanding() == 0, DRAIN_LIMIT_MS);
    sleep(200);
    return rig.verdict();
  }

  /**
   * Replaces a door's process by a new one that takes over its listening socket, and waits until the old one
   * has ended. Returns true if the old one exited with status 0 and the new one accepts requests.
   */
  public boolean replace(int number, long limitMs) {
    DoorProcess door = doors.get(number);
    Process old = door.process();
    door.replace(command(files.write(number, door.address()), true));
    return DoorProcess.join(old, limitMs) && old.exitValue() == 0
        && await(() -> door.isAlive() && clients.isUp(number), limitMs);
  }

  /** Waits for a condition, polling every 20 ms; returns false if the limit passes first. */
  public static boolean await(BooleanSupplier condition, long limitMs) {
    long end = System.nanoTime() + limitMs * 1_000_000;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        return false;
      }
      sleep(20);
    }
    return true;
  }

  /** Sleeps for the given time. */
  static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() throws IOException {
    rig.close();
    doors.forEach(DoorProcess::close);
    if (launches != null) {
      launches.close();
    }
    networkLock.close();
    try (Stream<Path> all = Files.walk(folder)) {
      for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(p);
      }
    }
  }
}
