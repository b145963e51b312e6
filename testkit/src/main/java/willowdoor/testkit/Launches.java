package willowdoor.testkit;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import willowdoor.testkit.Ledger.Entry;
import willowdoor.testkit.Ledger.Kind;

/**
 * Doors' processes that others than the rig start: each goes through a script that writes down which door it
 * is, of which version, and its process id, before it becomes the door. What it wrote goes into the ledger at
 * the time of writing, and the rig's handle of the door follows it. Ends with the rig: no process that a door
 * started outlives {@link #close}.
 */
public final class Launches implements AutoCloseable {

  private static final long LOOK_MS = 20;
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

  private final Ledger ledger;
  private final Path folder;
  private final Path script;
  private final Path log;
  private final Map<String, DoorProcess> doors = new HashMap<>();
  private final Map<Long, Entry> live = new HashMap<>();
  private final long offsetNanos;
  private final Thread thread = new Thread(this::watch, "launches");
  private int read;
  private volatile boolean closed;

  /** In a folder that is there. */
  public Launches(Ledger ledger, Path folder) {
    this.ledger = ledger;
    this.folder = folder;
    script = folder.resolve("launch.sh");
    log = folder.resolve("launches");
    java.time.Instant now = java.time.Instant.now();
    offsetNanos = now.getEpochSecond() * 1_000_000_000 + now.getNano() - (long) (ledger.now() * 1e6);
    try {
      Files.writeString(script, SCRIPT);
      Files.writeString(log, "");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    thread.setDaemon(true);
    thread.start();
  }

  /** The words that go before a door's command; a version of {version} is put in by who runs it. */
  public List<String> words(String door, String version) {
    return List.of("sh", script.toString(), folder.toString(), door, version);
  }

  /** Has the handle follow the door's processes. */
  public synchronized void follow(DoorProcess door) {
    doors.put(door.name(), door);
  }

  /** The version that a door's last process has that lives; null where none does. */
  public synchronized String version(String door) {
    look();
    return live.values().stream().filter(x -> x.subject().equals(door))
        .max(java.util.Comparator.comparingDouble(Entry::atMs)).map(Entry::other).orElse(null);
  }

  /** How many doors ever began that version. */
  public synchronized long began(String version) {
    look();
    return ledger.machines().stream().filter(x -> x.kind() == Kind.RUNS && x.other().equals(version))
        .map(Entry::subject).distinct().count();
  }

  private void watch() {
    try {
      while (!closed) {
        look();
        Thread.sleep(LOOK_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void look() {
    try {
      List<String> lines = Files.readAllLines(log);
      for (; read < lines.size(); read++) {
        String[] words = lines.get(read).split(" ");
        long pid = Long.parseLong(words[3]);
        Entry entry = new Entry((Long.parseLong(words[0]) - offsetNanos) / 1e6, Kind.RUNS, words[1], words[2],
            pid, "");
        ledger.machine(entry);
        live.put(pid, entry);
        if (doors.containsKey(words[1])) {
          doors.get(words[1]).follow(pid);
        }
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    live.entrySet().removeIf(e -> {
      boolean gone = !DoorProcess.lives(e.getKey());
      if (gone) {
        Entry x = e.getValue();
        ledger.machine(new Entry(ledger.now(), Kind.RAN, x.subject(), x.other(), x.amount(), ""));
        if (x.other().endsWith("-faint") && live.values().stream().noneMatch(y -> y != x
            && y.subject().equals(x.subject()))) {
          ledger.machine(Kind.KILLED, x.subject(), "");
        }
      }
      return gone;
    });
  }

  @Override
  public synchronized void close() {
    look();
    closed = true;
    thread.interrupt();
    live.keySet().forEach(pid -> ProcessHandle.of(pid).ifPresent(ProcessHandle::destroyForcibly));
  }
}
