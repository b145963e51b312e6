package willowdoor.daemon.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import willowdoor.steward.link.Answer;
import willowdoor.steward.link.OperatorClient;
import willowdoor.steward.link.FleetStatus;
import willowdoor.testkit.DoorProcess;
import willowdoor.testkit.FaultyLink;
import willowdoor.testkit.StandIns;

/**
 * Runs stewards as separate processes beside the doors of a fleet. Each directed link, from door to steward
 * and from steward to steward, goes through its own relay, so that it can be broken separately.
 */
final class Stewards implements AutoCloseable {

  private static final int PORT = 7101;

  private final FleetRun run;
  private final String terms;
  private final List<DoorProcess> processes = new ArrayList<>();
  /** Links between stewards, indexed by sender and receiver; null from each steward to itself. */
  private final FaultyLink[][] stewardLinks;
  /** Links from doors to stewards, indexed by door and steward. */
  private final FaultyLink[][] doorLinks;
  private IntFunction<String> extraLines = door -> "";
  private boolean started;

  Stewards(FleetRun run, int count, String terms) {
    this.run = run;
    this.terms = terms;
    stewardLinks = new FaultyLink[count][count];
    doorLinks = new FaultyLink[run.doors().size()][count];
    for (int i = 0; i < count; i++) {
      for (int k = 0; k < count; k++) {
        stewardLinks[i][k] = i == k ? null : run.rig().relay(address(k));
      }
      int me = i;
      processes.add(
          new DoorProcess("s" + i, address(i), run.rig().eventHistory(), () -> command(me), Map.of(),
          run.folder().resolve("s" + i + ".log").toFile()));
    }
    for (int d = 0; d < doorLinks.length; d++) {
      for (int k = 0; k < count; k++) {
        doorLinks[d][k] = run.rig().relay(address(k));
      }
    }
    run.addTables(this::agreementTable);
  }

  private InetSocketAddress address(int steward) {
    return run.address(steward, PORT);
  }

  private String agreementTable(int door) {
    return "[agreement]\nenabled = true\nstewards = [" + quotedAddresses(List.of(doorLinks[door])) + "]\n"
        + extraLines.apply(door);
  }

  /** Adds lines to the doors' agreement tables; must be called before the doors start. */
  void addLines(IntFunction<String> lines) {
    extraLines = lines;
  }

  private static String quotedAddresses(List<FaultyLink> relays) {
    return relays.stream().map(r -> '"' + StandIns.text(r.address()) + '"').collect(Collectors.joining(", "));
  }

  private List<String> command(int me) {
    StringBuilder text = new StringBuilder("[steward]\nname = \"s" + me + "\"\nstore = \""
        + run.folder().resolve("s" + me + ".db") + "\"\n");
    for (int k = 0; k < processes.size(); k++) {
      text.append("[[member]]\nname = \"s").append(k).append("\"\naddress = \"")
          .append(StandIns.text(k == me ? address(k) : stewardLinks[me][k].address())).append("\"\n");
    }
    Path file = run.folder().resolve("s" + me + ".toml");
    try {
      Files.writeString(file, text + "[terms]\n" + terms);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    List<String> words = new ArrayList<>(FleetRun.programCommand("steward"));
    words.addAll(List.of("--config", file.toString()));
    if (!started) {
      words.add("--begin");
    }
    return words;
  }

  /** Starts all stewards with new stores and waits until one leads. */
  void start() throws IOException {
    processes.forEach(DoorProcess::start);
    started = true;
    if (!FleetRun.await(() -> status() != null, 30_000)) {
      throw new IOException("no steward leads after 30 s; the first printed: " + log(0));
    }
  }

  /** The status of the fleet, or null if no steward answers within a second. */
  FleetStatus status() {
    try (OperatorClient operator = operator("look")) {
      return operator.status(1_000) instanceof Answer.Stands e ? e.standing() : null;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return null;
    }
  }

  /** The status of the fleet; retries until a steward answers. */
  FleetStatus awaitStatus() {
    FleetStatus standing = status();
    while (standing == null) {
      FleetRun.sleep(50);
      standing = status();
    }
    return standing;
  }

  OperatorClient operator(String by) {
    return new OperatorClient("fleet", by,
        IntStream.range(0, processes.size()).mapToObj(this::address).toList());
  }

  List<DoorProcess> processes() {
    return processes;
  }

  /** The number of the leader by the reported status; -1 if no steward answers. */
  int leader() {
    var standing = status();
    return standing == null ? -1 : Integer.parseInt(standing.leader().substring(1));
  }

  String log(int steward) throws IOException {
    Path log = run.folder().resolve("s" + steward + ".log");
    return Files.exists(log) ? Files.readString(log) : "";
  }

  /** Sets the mode of all links of a steward: to and from the other stewards, and from the doors. */
  void setStewardLinks(int steward, FaultyLink.Mode mode) {
    for (int k = 0; k < processes.size(); k++) {
      if (k != steward) {
        stewardLinks[steward][k].setMode(mode);
        stewardLinks[k][steward].setMode(mode);
      }
    }
    for (FaultyLink[] door : doorLinks) {
      door[steward].setMode(mode);
    }
  }

  /** Sets the mode of one directed link between stewards. */
  void setLink(int from, int to, FaultyLink.Mode mode) {
    stewardLinks[from][to].setMode(mode);
  }

  /** Sets the mode of a door's links to all stewards. */
  void setDoorLinks(int door, FaultyLink.Mode mode) {
    for (FaultyLink link : doorLinks[door]) {
      link.setMode(mode);
    }
  }

  /** Bytes relayed so far, between doors and stewards and between stewards. */
  long[] relayedBytes() {
    long[] sums = new long[2];
    for (FaultyLink[] door : doorLinks) {
      for (FaultyLink link : door) {
        sums[0] += link.bytesForwarded();
      }
    }
    for (FaultyLink[] steward : stewardLinks) {
      for (FaultyLink link : steward) {
        sums[1] += link == null ? 0 : link.bytesForwarded();
      }
    }
    return sums;
  }

  /** Size of a steward's store on disk in bytes, with its write-ahead log. */
  long storedBytes(int steward) throws IOException {
    long sum = 0;
    for (String end : new String[] {"", "-wal"}) {
      Path file = run.folder().resolve("s" + steward + ".db" + end);
      sum += Files.exists(file) ? Files.size(file) : 0;
    }
    return sum;
  }

  /** Restores all stewards' links, and resumes or restarts all steward processes. */
  void restoreAll() {
    for (int i = 0; i < processes.size(); i++) {
      setStewardLinks(i, FaultyLink.Mode.WHOLE);
      processes.get(i).setSuspended(false);
      processes.get(i).start();
    }
  }

  @Override
  public void close() {
    processes.forEach(DoorProcess::close);
  }
}
