package willowdoor.benchlink;

import static willowdoor.wire.JsonFields.child;
import static willowdoor.wire.JsonFields.children;
import static willowdoor.wire.JsonFields.flag;
import static willowdoor.wire.JsonFields.number;
import static willowdoor.wire.JsonFields.text;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import willowdoor.policy.GatewayApi.Action;
import willowdoor.policy.GatewayApi.Add;
import willowdoor.policy.GatewayApi.BackendEntry;
import willowdoor.policy.GatewayApi.Cancel;
import willowdoor.policy.GatewayApi.ClientLeft;
import willowdoor.policy.GatewayApi.Counted;
import willowdoor.policy.GatewayApi.Event;
import willowdoor.policy.GatewayApi.Fail;
import willowdoor.policy.GatewayApi.FollowRoster;
import willowdoor.policy.GatewayApi.Load;
import willowdoor.policy.GatewayApi.Outcome;
import willowdoor.policy.GatewayApi.Phase;
import willowdoor.policy.GatewayApi.Refuse;
import willowdoor.policy.GatewayApi.Request;
import willowdoor.policy.GatewayApi.Roster;
import willowdoor.policy.GatewayApi.RosterForm;
import willowdoor.policy.GatewayApi.Send;
import willowdoor.policy.GatewayApi.Status;
import willowdoor.policy.GatewayApi.StreamStarted;
import willowdoor.policy.GatewayApi.WakeAt;
import willowdoor.policy.GatewayApi.Woken;
import willowdoor.policy.QuotaPolicy;
import willowdoor.wire.JsonFields;
import willowdoor.wire.WireSettings;

/**
 * Translates messages of the bench into events of {@link GatewayApi}, and actions back into messages; decides
 * nothing.
 */
public final class BenchLink {

  private static final Map<String, Status> STATUSES = Map.of("OK", Status.OK, "INTERNAL", Status.ERROR,
      "RESOURCE_EXHAUSTED", Status.REJECTED, "DEADLINE_EXCEEDED", Status.TIMED_OUT,
      "UNAVAILABLE", Status.UNREACHABLE, "ABORTED", Status.RESET, "CANCELLED", Status.CANCELLED,
      "TOO_LATE", Status.NOT_SENT);

  private final JsonParser in;
  private final JsonGenerator out;
  private final Map<Integer, QuotaPolicy> policies = new HashMap<>();
  private final Map<Integer, List<BackendEntry>> backendLists = new HashMap<>();

  public BenchLink(InputStream input, OutputStream output) throws IOException {
    JsonFactory factory = new JsonFactory();
    in = factory.createParser(input);
    out = factory.createGenerator(new BufferedOutputStream(output, 1 << 16));
    out.setRootValueSeparator(null);
    out.disable(JsonGenerator.Feature.FLUSH_PASSED_TO_STREAM);
  }

  /** Answers batches until the input ends. */
  public void run() throws IOException {
    double now = 0;
    long number = 0;
    boolean faulty = false;
    while (in.nextToken() != null) {
      Map<String, Object> message = JsonFields.object(in);
      String name = text(message, "m");
      switch (name) {
        case "Mark" -> {
          now = number(message, "ClockMs");
          number = (long) number(message, "n");
        }
        case "List" -> backendLists.put((int) number(message, "Bank"), entries(message));
        case "Go" -> {
          acknowledge(number);
          faulty = false;
        }
        default -> {
          if (message.containsKey("DoorId") && !faulty) {
            faulty = !deliver((int) number(message, "DoorId"), name, message, now);
          }
        }
      }
    }
  }

  private boolean deliver(int door, String name, Map<String, Object> message, double now) throws IOException {
    try {
      for (Action action : actions(door, name, message, now)) {
        write(door, action);
      }
      return true;
    } catch (RuntimeException e) {
      begin("Fault", door);
      out.writeStringField("Line", String.valueOf(e.getMessage() == null ? e : e.getMessage()));
      end();
      return false;
    }
  }

  private List<Action> actions(int door, String name, Map<String, Object> message, double now) {
    if (name.equals("Attach")) {
      long seed = (long) number(message, "RandomSeed");
      QuotaPolicy policy = new QuotaPolicy(WireSettings.read(child(message, "Setup")), seed);
      policies.put(door, policy);
      return policy.start(now);
    }
    if (name.equals("Halt")) {
      policies.remove(door);
      return List.of();
    }
    QuotaPolicy policy = policies.get(door);
    Event event = event(name, message);
    return policy == null || event == null ? List.of() : policy.on(now, event);
  }

  private Event event(String name, Map<String, Object> message) {
    return switch (name) {
      case "Discovery" -> new Roster(switch (text(message, "Form")) {
        case "changes" -> RosterForm.CHANGES;
        case "all" -> RosterForm.COMPLETE;
        case "remembered" -> RosterForm.REMEMBERED;
        default -> RosterForm.FAILED;
      }, backendLists.getOrDefault((int) number(message, "Bank"), List.of()));
      case "Req" -> new Request(text(message, "Tid"), text(message, "Kind"), text(message, "Package"),
          (long) number(message, "Customer"), (int) number(message, "EntryPoints"),
          number(message, "CostUnits"), number(message, "GiveUpAtMs"));
      case "Accepted" -> new StreamStarted(text(message, "Tid"), (int) number(message, "SendNo"));
      case "Result" -> new Outcome(text(message, "Tid"), (int) number(message, "SendNo"),
          (long) number(message, "Backend"),
          STATUSES.getOrDefault(text(message, "StateCode"), Status.ERROR), number(message, "LatencyMs"),
          flag(message, "Last"), number(message, "FinalUnits"), load(child(message, "Load")));
      case "Gone" -> new ClientLeft(text(message, "Tid"));
      case "Reckoned" -> new Counted(text(message, "Book"),
          STATUSES.getOrDefault(text(message, "StateCode"), Status.ERROR), number(message, "Value"),
          number(message, "LatencyMs"));
      case "Elapsed" -> new Woken(text(message, "Label"));
      default -> null;
    };
  }

  private static Load load(Map<String, Object> values) {
    if (values.isEmpty()) {
      return null;
    }
    return new Load(number(values, "concurrent", Double.NaN) + number(values, "depth", 0),
        number(values, "mean_ms", Double.NaN));
  }

  private static List<BackendEntry> entries(Map<String, Object> message) {
    List<BackendEntry> entries = new ArrayList<>();
    for (Map<String, Object> e : children(message, "Items")) {
      entries.add(new BackendEntry((long) number(e, "Backend"), text(e, "RegionPart"),
          (int) number(e, "Stripe"),
          switch (text(e, "Lifecycle")) {
            case "DRAINING" -> Phase.DRAINING;
            case "DELETED" -> Phase.REMOVED;
            default -> Phase.SERVING;
          }, number(e, "CapacityHint", 1), number(e, "LaunchedMs")));
    }
    return entries;
  }

  private void write(int door, Action action) throws IOException {
    if (action instanceof Send a) {
      begin("Relay", door);
      out.writeStringField("Tid", a.request());
      out.writeNumberField("Backend", a.backend());
      out.writeNumberField("TimeoutMs", a.timeoutMs());
    } else if (action instanceof Refuse a) {
      begin("Deny", door);
      out.writeStringField("Tid", a.request());
      if (a.retryAfterMs() > 0) {
        out.writeNumberField("HoldOffMs", a.retryAfterMs());
      }
    } else if (action instanceof Fail a) {
      begin("Lose", door);
      out.writeStringField("Tid", a.request());
    } else if (action instanceof Cancel a) {
      begin("UndoSend", door);
      out.writeStringField("Tid", a.request());
      out.writeNumberField("SendNo", a.attempt());
    } else if (action instanceof Add a) {
      begin("PostAmount", door);
      out.writeStringField("Book", a.name());
      out.writeNumberField("Qty", a.amount());
      out.writeNumberField("TtlMs", a.ttlMs());
    } else if (action instanceof WakeAt a) {
      begin("After", door);
      out.writeNumberField("InstantMs", a.atMs());
      out.writeStringField("Label", a.label());
    } else if (action instanceof FollowRoster) {
      begin("Track", door);
      out.writeBooleanField("Active", true);
    }
    end();
  }

  private void begin(String name, int door) throws IOException {
    out.writeStartObject();
    out.writeStringField("m", name);
    out.writeNumberField("DoorId", door);
  }

  private void end() throws IOException {
    out.writeEndObject();
    out.writeRaw('\n');
  }

  private void acknowledge(long number) throws IOException {
    out.writeStartObject();
    out.writeStringField("m", "Ack");
    out.writeNumberField("n", number);
    end();
    out.enable(JsonGenerator.Feature.FLUSH_PASSED_TO_STREAM);
    out.flush();
    out.disable(JsonGenerator.Feature.FLUSH_PASSED_TO_STREAM);
  }
}
