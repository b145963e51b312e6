package willowdoor.testkit;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import willowdoor.testkit.EventHistory.Entry;
import willowdoor.testkit.EventHistory.Kind;

/**
 * Records processes of doors that are started by others than the test environment. Each is started through a
 * script that logs the door, its version and its process id before it replaces itself with the door's
 * command. The log is copied into the event history with the logged times, and the {@link DoorProcess} of the
 * door tracks the new process. No process started by a door outlives {@link #close}.
 */
public final class LaunchRecorder implements AutoCloseable {

  private static final long POLL_INTERVAL_MS = 20;
  private static final String SCRIPT = """
      #!/bin/sh
      # FOLDER DOOR VERSION COMMAND...
      log=$1/launches; door=$2; version=$3; shift 3
      echo "$(date +%s%N) $door $version $$" >> "$log"
      case $version in
        *-mute) exec sleep 600 ;;
        *-dead) exit 7 ;;
        *-faint) (sleep 6; kill -9 $$) & ;;
      esac
      exec "$@"
      """;

  private final EventHistory eventHistory;
  private final Path folder;
  private final Path script;
  private final Path log;
  private final Map<String, DoorProcess> doors = new HashMap<>();
  private final Map<Long, Entry> running = new HashMap<>();
  private final long offsetNanos;
  private final Thread poller = new Thread(this::pollUntilClosed, "launches");
  private int linesRead;
  private volatile boolean closed;

  /** Writes the script and its log into an existing folder. */
  public LaunchRecorder(EventHistory eventHistory, Path folder) {
    this.eventHistory = eventHistory;
    this.folder = folder;
    script = folder.resolve("launch.sh");
    log = folder.resolve("launches");
    java.time.Instant now = java.time.Instant.now();
    offsetNanos = now.getEpochSecond() * 1_000_000_000 + now.getNano() - (long) (eventHistory.now() * 1e6);
    try {
      Files.writeString(script, SCRIPT);
      Files.writeString(log, "");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    poller.setDaemon(true);
    poller.start();
  }

  /**
   * Prefix of a door's command line that runs it through the script; {@code {version}} is replaced by the
   * program that runs the command.
   */
  public List<String> launchCommand(String door, String version) {
    return List.of("sh", script.toString(), folder.toString(), door, version);
  }

  /** Lets the door's handle track the door's processes. */
  public synchronized void follow(DoorProcess door) {
    doors.put(door.name(), door);
  }

  /** Version of a door's newest running process; null when none is running. */
  public synchronized String runningVersion(String door) {
    poll();
    return running.values().stream().filter(x -> x.subject().equals(door))
        .max(java.util.Comparator.comparingDouble(Entry::atMs)).map(Entry::other).orElse(null);
  }

  /** Number of doors that ever started that version. */
  public synchronized long doorsStarted(String version) {
    poll();
    return eventHistory.machineEntries().stream()
        .filter(x -> x.kind() == Kind.RUNS && x.other().equals(version))
        .map(Entry::subject).distinct().count();
  }

  private void pollUntilClosed() {
    try {
      while (!closed) {
        poll();
        Thread.sleep(POLL_INTERVAL_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void poll() {
    try {
      List<String> lines = Files.readAllLines(log);
      for (; linesRead < lines.size(); linesRead++) {
        String[] fields = lines.get(linesRead).split(" ");
        long pid = Long.parseLong(fields[3]);
        Entry entry = new Entry((Long.parseLong(fields[0]) - offsetNanos) / 1e6, Kind.RUNS, fields[1],
            fields[2],
            pid, "");
        eventHistory.addMachineEntry(entry);
        running.put(pid, entry);
        if (doors.containsKey(fields[1])) {
          doors.get(fields[1]).followSuccessor(pid);
        }
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    running.entrySet().removeIf(e -> {
      boolean gone = !DoorProcess.isRunning(e.getKey());
      if (gone) {
        Entry x = e.getValue();
        eventHistory.addMachineEntry(new Entry(eventHistory.now(), Kind.RAN, x.subject(), x.other(),
            x.amount(), ""));
        if (x.other().endsWith("-faint") && running.values().stream().noneMatch(y -> y != x
            && y.subject().equals(x.subject()))) {
          eventHistory.addMachineEntry(Kind.KILLED, x.subject(), "");
        }
      }
      return gone;
    });
  }

  @Override
  public synchronized void close() {
    poll();
    closed = true;
    poller.interrupt();
    running.keySet().forEach(pid -> ProcessHandle.of(pid).ifPresent(ProcessHandle::destroyForcibly));
  }
}
