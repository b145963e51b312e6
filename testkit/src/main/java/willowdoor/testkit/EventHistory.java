package willowdoor.testkit;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The truth of a run, as the stand-ins saw it: what each request met, in order, and what happened to doors
 * and backends. Doors write nothing here, so that nothing rests on what a door says of itself. All times are
 * milliseconds of one monotonic clock that starts with the ledger.
 *
 * <p>Bound: {@value #MAX_ENTRIES} entries. A run that outgrows it is not judged ({@link #overflowed()}), as a
 * verdict on a part of the truth would be none.
 */
public final class EventHistory {

  /** Entries held at the most, of all requests and machines together. */
  public static final int MAX_ENTRIES = 6_000_000;

  /** What happened. The first group is of a request, the second of a door or a backend. */
  public enum Kind {
    /** The client wrote the request's last byte to a door. */
    ASKED,
    /** The client had a whole answer; the amount is its status. */
    ANSWERED,
    /** The connection ended with no answer; note "kept" when it had carried an answer before. */
    CUT,
    /** The client could not connect, or its request was not written whole. */
    NOT_TAKEN,
    /** The client hung up before it had an answer. */
    LEFT,
    /** The client's time ran out. */
    GAVE_UP,
    /** The answer is not one that a backend made for this request. */
    FORGED,
    /** An attempt's first byte came to a backend. */
    FIRST_BYTE,
    /** An attempt's last byte came to a backend; the amount is the units that the request names. */
    LAST_BYTE,
    /** The effect ran at a backend; the amount is the true units. */
    EFFECT,
    /** A backend dropped a repeat of a key that it remembers. */
    REPEAT_DROPPED,
    /** A backend wrote its whole answer; the amount is the status. */
    REPLIED,
    /** A backend turned the attempt away unseen. */
    TURNED_AWAY,
    /** An attempt's connection ended before the answer was written. */
    ATTEMPT_ENDED,
    /** A check of it came whole to an authoriser. */
    CHECKED,
    /** An authoriser was about to write that it allows it. */
    ALLOWED,
    /** An authoriser was about to write that it denies it. */
    DENIED,

    /** A door or backend is told to live from here on. */
    STARTED,
    /** A process was killed outright, or a machine vanished. */
    KILLED,
    /** A process was stopped (SIGSTOP). */
    STOPPED,
    /** A stopped process goes on. */
    CONTINUED,
    /** A door was asked to end in order (SIGTERM). */
    ENDING,
    /** A door's process ended by itself; the amount is its exit code. */
    EXITED,
    /** A door was told that a backend drains or is gone: subject is the door, other the backend. */
    TOLD_DRAIN,
    /** A door was told that a backend serves again: subject is the door, other the backend. */
    TOLD_SERVING,
    /** An operator was told that it may go out: subject is a door or backend, other the permit. */
    PERMITTED,
    /** An operator was told that nothing is sent to it any more: subject is a backend, other the permit. */
    OUT,
    /** An operator is about to have it come back: subject is a door or backend, other the permit. */
    GIVEN_BACK,
    /** A process of a door begins: subject is the door, other the version, the amount its process id. */
    RUNS,
    /** That process is no more; the same. */
    RAN,
    /**
     * An operator was told that a release is halted and nothing under way: other is what doors were to get.
     */
    HALTED,
    /** An operator is about to have a release go on or back: other is the version that doors are to get. */
    LET_ON,
    /** An operator was told that every door has it: other is the version. */
    RELEASED
  }

  /** One entry. For a request's, subject is its id and other is the door or backend it was at. */
  public record Entry(double atMs, Kind kind, String subject, String other, double amount, String note) {

    @Override
    public String toString() {
      return String.format("%10.1f ms  %-14s %s%s%s%s", atMs, kind, subject, other.isEmpty() ? "" : " at "
          + other,
          amount == 0 ? "" : String.format(" (%.0f)", amount), note.isEmpty() ? "" : " " + note);
    }
  }

  /** What the client fleet meant to ask; told before the first byte is written. */
  public record ClientRequest(String id, String firm, String plan, RequestKind kind, String key, int units,
      double timeoutMs, int tryNumber, double dueMs) { }

  private final long startNanos = System.nanoTime();
  private final Map<String, List<Entry>> byRequest = new ConcurrentHashMap<>();
  private final Map<String, ClientRequest> clientRequests = new ConcurrentHashMap<>();
  private final List<Entry> machineEntries = Collections.synchronizedList(new ArrayList<>());
  private final AtomicInteger entryCount = new AtomicInteger();

  /** Milliseconds since the ledger was opened. */
  public double now() {
    return (System.nanoTime() - startNanos) / 1e6;
  }

  /** Opens a request's history. */
  public void registerRequest(ClientRequest request) {
    clientRequests.put(request.id(), request);
  }

  /** Adds to a request's history, at this moment. */
  public void addRequestEntry(Kind kind, String id, String at, double amount, String note) {
    add(new Entry(now(), kind, id, at, amount, note));
  }

  /** Adds to the machines' history, at this moment. */
  public void addMachineEntry(Kind kind, String name, String other) {
    addMachineEntry(new Entry(now(), kind, name, other, 0, ""));
  }

  /** Adds to the machines' history. */
  public void addMachineEntry(Entry entry) {
    if (entryCount.incrementAndGet() <= MAX_ENTRIES) {
      machineEntries.add(entry);
    }
  }

  /** Adds an entry to its request's history; a test may plant what never was. */
  public void add(Entry entry) {
    if (entryCount.incrementAndGet() <= MAX_ENTRIES) {
      List<Entry> history = byRequest.computeIfAbsent(entry.subject(), id -> new ArrayList<>(8));
      synchronized (history) {
        history.add(entry);
      }
    }
  }

  /** True when entries were dropped for want of room. */
  public boolean overflowed() {
    return entryCount.get() > MAX_ENTRIES;
  }

  /** What was meant with a request, or null for an id that no client sent. */
  public ClientRequest clientRequest(String id) {
    return clientRequests.get(id);
  }

  /** A request's history in the order of time. */
  public List<Entry> requestHistory(String id) {
    List<Entry> history = byRequest.getOrDefault(id, List.of());
    List<Entry> copy;
    synchronized (history) {
      copy = new ArrayList<>(history);
    }
    copy.sort((a, b) -> Double.compare(a.atMs(), b.atMs()));
    return copy;
  }

  /** All histories, by request id; taken when the run is over. */
  public Map<String, List<Entry>> requestHistories() {
    Map<String, List<Entry>> all = new LinkedHashMap<>();
    for (String id : byRequest.keySet()) {
      all.put(id, requestHistory(id));
    }
    return all;
  }

  /** What happened to doors and backends, in the order of time. */
  public List<Entry> machineEntries() {
    synchronized (machineEntries) {
      List<Entry> copy = new ArrayList<>(machineEntries);
      copy.sort((a, b) -> Double.compare(a.atMs(), b.atMs()));
      return copy;
    }
  }
}
