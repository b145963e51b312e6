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
 * A fleet of daemons as child processes on loopback addresses of their own, in the rig's world. Every process
 * and file of it goes with it.
 */
public final class FleetRun implements AutoCloseable {

  /** Options of the doors' JVMs: small, as many share a machine here. */
  private static final List<String> JVM_OPTIONS = List
      .of("-XX:+UseSerialGC", "-Xms32m", "-Xmx64m", "-Xss256k",
      "-XX:MaxDirectMemorySize=32m", "-XX:-UsePerfData", "-Xshare:auto",
      "-Dio.netty.leakDetection.level=disabled");
  /** Without the optimising compiler, which forty instances on a few cores would wait for. */
  private static final String NO_OPTIMISING_COMPILER = "-XX:TieredStopAtLevel=1";
  /** Set to true, this property of the run allows its doors the optimising compiler, as the launcher does. */
  private static final String OPTIMISED_PROPERTY = "willowdoor.fleet.optimised";
  private static final int PORT = 7070;
  /** Each run has a network of its own, on this machine: 127.N.x.x, by a file that it locks. */
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
  /** Null where doors have no versions. */
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
      InetSocketAddress address =
          new InetSocketAddress("127." + networkNumber + '.' + i / 200 + '.' + (1 + i % 200),
          PORT);
      File log = folder.resolve("d" + i + ".log").toFile();
      doors.add(new DoorProcess("d" + i, address, rig.eventHistory(),
          () -> doorCommand(index, address), Map.of(), log));
    }
  }

  /** Guards against two runs at a time on the same addresses, whose clients would ask each other's doors. */
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
        // Another run of this process has it.
      }
      file.close();
    }
    throw new IOException("all " + NETWORKS + " networks of runs are in use");
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
   * Has the doors begin with that version, and be told apart by it; before they start.
   *
   * @return the words of the command that starts a version in a door's place, by the door's number: the
   *     version stands as {version}, also in its configuration's name ({@link #version})
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

  /** Writes the configurations of a version, which differ from the doors' first ones by that. */
  void writeVersionConfigs(String name, UnaryOperator<String> change) throws IOException {
    for (int i = 0; i < doors.size(); i++) {
      Files.writeString(folder.resolve("d" + i + "-" + name + ".toml"),
          change.apply(files.text(i, doors.get(i).address())));
    }
  }

  /** The command that runs a daemon by that file, from the classes of this process. */
  public static List<String> command(Path config, boolean takeOver) {
    List<String> words = programCommand("daemon");
    words.addAll(List.of("--config", config.toString()));
    if (takeOver) {
      words.add("--take-over");
    }
    return words;
  }

  /** The command that runs this program's subcommand, from the classes of this process. */
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

  /** Further tables of the doors' configurations; to be told before they start. */
  public void addTables(String tables) {
    addTables(door -> tables);
  }

  /** The same by the door's number. */
  public void addTables(IntFunction<String> tables) {
    files.addTables(tables);
  }

  /** An address that is this run's own, for a further process of it. */
  InetSocketAddress address(int number, int port) {
    return new InetSocketAddress("127." + networkNumber + ".250." + (1 + number), port);
  }

  /** Where files of this run are, until it ends. */
  Path folder() {
    return folder;
  }

  /** Has the doors' shared counts elsewhere than at the rig's counter; to be told before they start. */
  public void setCounterLines(String lines) {
    setCounterLines(door -> lines);
  }

  /** The same by the door's number. */
  public void setCounterLines(IntFunction<String> lines) {
    files.setCounterLines(lines);
  }

  /** What one door has printed. */
  public String log(int door) throws IOException {
    Path log = folder.resolve("d" + door + ".log");
    return Files.exists(log) ? Files.readString(log) : "";
  }

  /** Starts all doors and waits until each takes requests. */
  public void start(ClientFleet.Load load) throws IOException {
    doors.forEach(DoorProcess::start);
    clients = rig.fleet(doors, load);
    if (!await(() -> clients.doorsUp() == doors.size(), START_LIMIT_MS)) {
      for (int i = 0; i < doors.size(); i++) {
        if (!clients.isUp(i)) {
          throw new IOException("door d" + i + " is not up after " + START_LIMIT_MS + " ms; it printed: "
              + log(i));
        }
      }
    }
  }

  /** Asks nothing new, waits until all that is out has ended, and judges. */
  public Verdict finish() {
    clients.stop();
    await(() -> clients.outstanding() == 0, DRAIN_LIMIT_MS);
    sleep(200);
    return rig.verdict();
  }

  /**
   * Replaces a door's process by a new one that takes its listening socket over, and waits until the old one
   * has ended; true when it ended in order and the new one takes requests.
   */
  public boolean replace(int number, long limitMs) {
    DoorProcess door = doors.get(number);
    Process old = door.process();
    door.replace(command(files.write(number, door.address()), true));
    return DoorProcess.join(old, limitMs) && old.exitValue() == 0
        && await(() -> door.isAlive() && clients.isUp(number), limitMs);
  }

  /** Waits for a condition, looking every 20 ms; false when the limit passed first. */
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

  /** Lets a stretch of the run go by. */
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
