package willowdoor.testkit;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * What happened in a run, as the stand-ins and the client fleet observed it: the events of each request in
 * order, and what happened to doors and backends. Doors write nothing here, so that no check depends on what
 * a door reports of itself. All times are milliseconds of one monotonic clock that starts when the history is
 * created.
 *
 * <p>Bound: {@value #MAX_ENTRIES} entries. A run that exceeds the bound is not checked ({@link
 * #overflowed()}), because a result from an incomplete history would be invalid.
 */
public final class EventHistory {

  /** Maximum number of entries, of all requests, doors and backends together. */
  public static final int MAX_ENTRIES = 6_000_000;

  /** Kinds of events. The first group is about a request, the second about a door or a backend. */
  public enum Kind {
    /** The client wrote the request's last byte to a door. */
    ASKED,
    /** The client received a complete answer; the amount is its status. */
    ANSWERED,
    /** The connection closed without an answer; the note is "kept" when it had carried an answer before. */
    CUT,
    /** The client could not connect, or the request was not written completely. */
    NOT_TAKEN,
    /** The client disconnected before it had an answer. */
    LEFT,
    /** The client's timeout expired. */
    GAVE_UP,
    /** The answer is not one that a backend made for this request. */
    FORGED,
    /** The first byte of an attempt reached a backend. */
    FIRST_BYTE,
    /** The last byte of an attempt reached a backend; the amount is the units that the request names. */
    LAST_BYTE,
    /** The effect of the request ran at a backend; the amount is the units actually used. */
    EFFECT,
    /** A backend dropped a repeat of an idempotency key that it remembers. */
    REPEAT_DROPPED,
    /** A backend wrote its complete answer; the amount is the status. */
    REPLIED,
    /** A backend rejected the attempt without starting it. */
    TURNED_AWAY,
    /** The connection of an attempt closed before the answer was written. */
    ATTEMPT_ENDED,
    /** A complete check of the request reached an authoriser. */
    CHECKED,
    /** An authoriser was about to write an allow. */
    ALLOWED,
    /** An authoriser was about to write a denial. */
    DENIED,

    /** A door or a stand-in was started. */
    STARTED,
    /** A process was killed, or a stand-in was taken down. */
    KILLED,
    /** A process was stopped with SIGSTOP. */
    STOPPED,
    /** A stopped process continues (SIGCONT). */
    CONTINUED,
    /** A door was asked to shut down gracefully (SIGTERM). */
    ENDING,
    /** A door's process exited by itself; the amount is its exit code. */
    EXITED,
    /** A door was told that a backend is draining or gone: subject is the door, other the backend. */
    TOLD_DRAIN,
    /** A door was told that a backend is serving again: subject is the door, other the backend. */
    TOLD_SERVING,
    /** An operator received a permit to take a member out: subject is a door or backend, other the permit. */
    PERMITTED,
    /**
     * An operator was told that a backend gets no more requests: subject is the backend, other the permit.
     */
    OUT,
    /** An operator is about to return a member to service: subject is a door or backend, other the permit. */
    GIVEN_BACK,
    /** A process of a door started: subject is the door, other the version, the amount its process id. */
    RUNS,
    /** A process of a door ended; same fields as {@link #RUNS}. */
    RAN,
    /**
     * An operator was told that a release is halted with nothing in progress: other is the version it was
     * installing.
     */
    HALTED,
    /** An operator is about to continue or roll back a release: other is the version that doors will get. */
    LET_ON,
    /** An operator was told that every door runs the released version: other is the version. */
    RELEASED
  }

  /**
   * One entry. For a request, subject is its id and other is the door, backend or authoriser where the event
   * happened.
   */
  public record Entry(double atMs, Kind kind, String subject, String other, double amount, String note) {

    @Override
    public String toString() {
      return String.format("%10.1f ms  %-14s %s%s%s%s", atMs, kind, subject, other.isEmpty() ? "" : " at "
          + other,
          amount == 0 ? "" : String.format(" (%.0f)", amount), note.isEmpty() ? "" : " " + note);
    }
  }

  /**
   * A request as the client fleet sends it; registered before its first byte is written. The times are
   * milliseconds.
   */
  public record ClientRequest(String id, String firm, String plan, RequestKind kind, String key, int units,
      double timeoutMs, int tryNumber, double dueMs) { }

  private final long startNanos = System.nanoTime();
  private final Map<String, List<Entry>> byRequest = new ConcurrentHashMap<>();
  private final Map<String, ClientRequest> clientRequests = new ConcurrentHashMap<>();
  private final List<Entry> machineEntries = Collections.synchronizedList(new ArrayList<>());
  private final AtomicInteger entryCount = new AtomicInteger();

  /** Milliseconds since the history was created. */
  public double now() {
    return (System.nanoTime() - startNanos) / 1e6;
  }

  /** Registers a request before it is sent. */
  public void registerRequest(ClientRequest request) {
    clientRequests.put(request.id(), request);
  }

  /** Adds an entry to a request's history, at the current time. */
  public void addRequestEntry(Kind kind, String id, String at, double amount, String note) {
    add(new Entry(now(), kind, id, at, amount, note));
  }

  /** Adds an entry about a door or backend, at the current time. */
  public void addMachineEntry(Kind kind, String name, String other) {
    addMachineEntry(new Entry(now(), kind, name, other, 0, ""));
  }

  /** Adds an entry about a door or backend. */
  public void addMachineEntry(Entry entry) {
    if (entryCount.incrementAndGet() <= MAX_ENTRIES) {
      machineEntries.add(entry);
    }
  }

  /** Adds an entry to its request's history; tests use it to record events that never happened. */
  public void add(Entry entry) {
    if (entryCount.incrementAndGet() <= MAX_ENTRIES) {
      List<Entry> history = byRequest.computeIfAbsent(entry.subject(), id -> new ArrayList<>(8));
      synchronized (history) {
        history.add(entry);
      }
    }
  }

  /** Returns true when entries were dropped because the bound was reached. */
  public boolean overflowed() {
    return entryCount.get() > MAX_ENTRIES;
  }

  /** Returns the registered request, or null for an id that no client sent. */
  public ClientRequest clientRequest(String id) {
    return clientRequests.get(id);
  }

  /** A request's history in order of time. */
  public List<Entry> requestHistory(String id) {
    List<Entry> history = byRequest.getOrDefault(id, List.of());
    List<Entry> copy;
    synchronized (history) {
      copy = new ArrayList<>(history);
    }
    copy.sort((a, b) -> Double.compare(a.atMs(), b.atMs()));
    return copy;
  }

  /** All request histories, by request id; to be called after the run has ended. */
  public Map<String, List<Entry>> requestHistories() {
    Map<String, List<Entry>> all = new LinkedHashMap<>();
    for (String id : byRequest.keySet()) {
      all.put(id, requestHistory(id));
    }
    return all;
  }

  /** Entries about doors and backends, in order of time. */
  public List<Entry> machineEntries() {
    synchronized (machineEntries) {
      List<Entry> copy = new ArrayList<>(machineEntries);
      copy.sort((a, b) -> Double.compare(a.atMs(), b.atMs()));
      return copy;
    }
  }
}
