package willowdoor.extauthz;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Logger;
import willowdoor.extauthz.ExtAuthzSettings.Log;

/**
 * Writes one line of JSON for each checked request, with its history at the gate. The event loop only queues
 * entries, without a lock; another thread writes them. The queue is bounded: further entries are dropped, and
 * the next written line tells how many. The file is opened for each batch, so that it may be rotated.
 */
final class DecisionLog {

  private static final Logger LOG = Logger.getLogger(DecisionLog.class.getName());
  private static final JsonFactory JSON = new JsonFactory();

  /** One call to an authoriser. */
  record Call(String authoriser, boolean probe, double limitMs, double tookMs, String result, boolean reached,
      String note) { }

  /**
   * One request.
   *
   * @param atMs arrival at the gate, Unix time in milliseconds
   * @param decision the gate's decision and its reason, or "none" if the request ended undecided
   * @param end how the request ended, as named by {@code willowdoor.net.RequestFilter.RequestEnd}
   */
  record Entry(double atMs, String door, String id, String member, String firm, String plan, String className,
      List<Call> calls, String decision, double decidedMs, String end, double endedMs, String metadata) { }

  private final Log settings;
  private final ConcurrentLinkedQueue<Entry> queue = new ConcurrentLinkedQueue<>();
  private final AtomicInteger waiting = new AtomicInteger();
  private final AtomicLong dropped = new AtomicLong();
  private boolean failing;

  DecisionLog(Log settings) {
    this.settings = settings;
  }

  /** Queues an entry, or drops and counts it if the queue is full. Must run on the event loop. */
  void add(Entry entry) {
    if (waiting.get() >= settings.records()) {
      dropped.incrementAndGet();
    } else {
      waiting.incrementAndGet();
      queue.add(entry);
    }
  }

  /** Writes the queued entries; for one thread that may block. */
  synchronized void write() {
    if (queue.isEmpty()) {
      return;
    }
    int taken = 0;
    try (Writer out = Files.newBufferedWriter(settings.file(), StandardOpenOption.CREATE,
        StandardOpenOption.APPEND)) {
      for (Entry e = queue.poll(); e != null; e = queue.poll()) {
        taken++;
        out.write(line(e, dropped.getAndSet(0)));
      }
      failing = false;
    } catch (IOException e) {
      // The polled entries are lost, and the other queued ones are dropped to make room for new ones.
      for (; taken < waiting.get() && queue.poll() != null; taken++) {
        dropped.incrementAndGet();
      }
      if (!failing) {
        LOG.warning("decisions are not logged: cannot write " + settings.file() + ": " + e.getMessage());
      }
      failing = true;
    } finally {
      waiting.addAndGet(-taken);
    }
  }

  static String line(Entry e, long droppedBefore) {
    StringWriter text = new StringWriter(256);
    try (JsonGenerator json = JSON.createGenerator(text)) {
      json.writeStartObject();
      json.writeNumberField("at_ms", Math.rint(e.atMs()));
      json.writeStringField("door", e.door());
      json.writeStringField("id", e.id());
      json.writeStringField("member", e.member());
      json.writeStringField("firm", e.firm());
      json.writeStringField("plan", e.plan());
      json.writeStringField("class", e.className());
      json.writeArrayFieldStart("calls");
      for (Call c : e.calls()) {
        json.writeStartObject();
        json.writeStringField("to", c.authoriser());
        json.writeBooleanField("probe", c.probe());
        json.writeNumberField("limit_ms", rounded(c.limitMs()));
        json.writeNumberField("took_ms", rounded(c.tookMs()));
        json.writeStringField("result", c.result());
        json.writeBooleanField("reached", c.reached());
        if (!c.note().isEmpty()) {
          json.writeStringField("note", c.note());
        }
        json.writeEndObject();
      }
      json.writeEndArray();
      json.writeStringField("decision", e.decision());
      json.writeNumberField("decided_ms", rounded(e.decidedMs()));
      json.writeStringField("end", e.end());
      json.writeNumberField("ended_ms", rounded(e.endedMs()));
      if (e.metadata() != null) {
        json.writeStringField("metadata", e.metadata());
      }
      if (droppedBefore > 0) {
        json.writeNumberField("dropped_before", droppedBefore);
      }
      json.writeEndObject();
    } catch (IOException impossible) {
      throw new UncheckedIOException(impossible);
    }
    return text.append('\n').toString();
  }

  private static double rounded(double ms) {
    return Math.rint(ms * 100) / 100;
  }
}
