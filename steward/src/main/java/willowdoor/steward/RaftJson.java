package willowdoor.steward;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** Converts messages between stewards, and their stored state, to and from JSON; no Java deserialization. */
final class RaftJson {

  static final String GROUP = "fleet";
  private static final JsonMapper JSON = new JsonMapper();
  private static final RaftModelFactory FACTORY = new DefaultRaftModelFactory();

  private RaftJson() {
  }

  static byte[] encode(RaftMessage message) {
    ObjectNode to = object();
    to.set("from", endpoint(message.getSender()));
    to.put("term", message.getTerm());
    if (message instanceof AppendEntriesRequest m) {
      to.put("is", "Append").put("prevTerm", m.getPreviousLogTerm()).put("prev", m.getPreviousLogIndex())
          .put("commit", m.getCommitIndex());
      ArrayNode entries = to.putArray("entries");
      m.getLogEntries().forEach(x -> entries.add(entry(x)));
      flow(to, m.getQuerySequenceNumber(), m.getFlowControlSequenceNumber());
    } else if (message instanceof AppendEntriesSuccessResponse m) {
      to.put("is", "Appended").put("last", m.getLastLogIndex());
      flow(to, m.getQuerySequenceNumber(), m.getFlowControlSequenceNumber());
    } else if (message instanceof AppendEntriesFailureResponse m) {
      to.put("is", "NotAppended").put("next", m.getExpectedNextIndex());
      flow(to, m.getQuerySequenceNumber(), m.getFlowControlSequenceNumber());
    } else if (message instanceof InstallSnapshotRequest m) {
      install(to, m);
    } else if (message instanceof InstallSnapshotResponse m) {
      to.put("is", "Installed").put("snapshot", m.getSnapshotIndex())
          .put("piece", m.getRequestedSnapshotChunkIndex());
      flow(to, m.getQuerySequenceNumber(), m.getFlowControlSequenceNumber());
    } else {
      vote(to, message);
    }
    return write(to);
  }

  private static void install(ObjectNode to, InstallSnapshotRequest m) {
    to.put("is", "Install").put("leader", m.isSenderLeader()).put("snapshotTerm", m.getSnapshotTerm())
        .put("snapshot", m.getSnapshotIndex()).put("pieces", m.getTotalSnapshotChunkCount());
    if (m.getSnapshotChunk() != null) {
      to.set("piece", chunk(m.getSnapshotChunk()));
    }
    to.set("holders", endpoints(m.getSnapshottedMembers()));
    to.set("view", view(m.getGroupMembersView()));
    flow(to, m.getQuerySequenceNumber(), m.getFlowControlSequenceNumber());
  }

  private static void vote(ObjectNode to, RaftMessage message) {
    if (message instanceof VoteRequest m) {
      to.put("is", "Vote").put("lastTerm", m.getLastLogTerm()).put("last", m.getLastLogIndex())
          .put("sticky", m.isSticky());
    } else if (message instanceof PreVoteRequest m) {
      to.put("is", "PreVote").put("lastTerm", m.getLastLogTerm()).put("last", m.getLastLogIndex());
    } else if (message instanceof VoteResponse m) {
      to.put("is", "Voted").put("granted", m.isGranted());
    } else if (message instanceof PreVoteResponse m) {
      to.put("is", "PreVoted").put("granted", m.isGranted());
    } else if (message instanceof TriggerLeaderElectionRequest m) {
      to.put("is", "Elect").put("lastTerm", m.getLastLogTerm()).put("last", m.getLastLogIndex());
    } else {
      throw new IllegalArgumentException("not a consensus message: " + message);
    }
  }

  private static void flow(ObjectNode to, long query, long flow) {
    to.put("query", query).put("flow", flow);
  }

  /**
   * Decodes a message.
   *
   * @throws IllegalArgumentException naming a missing field or unknown kind
   */
  static RaftMessage decode(byte[] bytes) {
    JsonNode of = read(bytes);
    RaftEndpoint from = endpoint(at(of, "from"));
    int term = at(of, "term").asInt();
    String is = at(of, "is").asText();
    switch (is) {
      case "Append":
        List<LogEntry> entries = new ArrayList<>();
        at(of, "entries").forEach(x -> entries.add(entry(x)));
        return FACTORY.createAppendEntriesRequestBuilder().setGroupId(GROUP).setSender(from).setTerm(term)
            .setPreviousLogTerm(at(of, "prevTerm").asInt()).setPreviousLogIndex(number(of, "prev"))
            .setCommitIndex(number(of, "commit")).setLogEntries(entries)
            .setQuerySequenceNumber(number(of, "query")).setFlowControlSequenceNumber(number(of, "flow"))
            .build();
      case "Appended":
        return FACTORY.createAppendEntriesSuccessResponseBuilder().setGroupId(GROUP).setSender(from)
            .setTerm(term).setLastLogIndex(number(of, "last")).setQuerySequenceNumber(number(of, "query"))
            .setFlowControlSequenceNumber(number(of, "flow")).build();
      case "NotAppended":
        return FACTORY.createAppendEntriesFailureResponseBuilder().setGroupId(GROUP).setSender(from)
            .setTerm(term).setExpectedNextIndex(number(of, "next"))
            .setQuerySequenceNumber(number(of, "query")).setFlowControlSequenceNumber(number(of, "flow"))
            .build();
      case "Install":
        return FACTORY.createInstallSnapshotRequestBuilder().setGroupId(GROUP).setSender(from).setTerm(term)
            .setSenderLeader(at(of, "leader").asBoolean()).setSnapshotTerm(at(of, "snapshotTerm").asInt())
            .setSnapshotIndex(number(of, "snapshot")).setTotalSnapshotChunkCount(at(of, "pieces").asInt())
            .setSnapshotChunk(of.has("piece") ? chunk(of.get("piece")) : null)
            .setSnapshottedMembers(endpoints(at(of, "holders"))).setGroupMembersView(view(at(of, "view")))
            .setQuerySequenceNumber(number(of, "query")).setFlowControlSequenceNumber(number(of, "flow"))
            .build();
      case "Installed":
        return FACTORY.createInstallSnapshotResponseBuilder().setGroupId(GROUP).setSender(from).setTerm(term)
            .setSnapshotIndex(number(of, "snapshot"))
            .setRequestedSnapshotChunkIndex(at(of, "piece").asInt())
            .setQuerySequenceNumber(number(of, "query")).setFlowControlSequenceNumber(number(of, "flow"))
            .build();
      default:
        return vote(of, is, from, term);
    }
  }

  private static RaftMessage vote(JsonNode of, String is, RaftEndpoint from, int term) {
    switch (is) {
      case "Vote":
        return FACTORY.createVoteRequestBuilder().setGroupId(GROUP).setSender(from).setTerm(term)
            .setLastLogTerm(at(of, "lastTerm").asInt()).setLastLogIndex(number(of, "last"))
            .setSticky(at(of, "sticky").asBoolean()).build();
      case "PreVote":
        return FACTORY.createPreVoteRequestBuilder().setGroupId(GROUP).setSender(from).setTerm(term)
            .setLastLogTerm(at(of, "lastTerm").asInt()).setLastLogIndex(number(of, "last")).build();
      case "Voted":
        return FACTORY.createVoteResponseBuilder().setGroupId(GROUP).setSender(from).setTerm(term)
            .setGranted(at(of, "granted").asBoolean()).build();
      case "PreVoted":
        return FACTORY.createPreVoteResponseBuilder().setGroupId(GROUP).setSender(from).setTerm(term)
            .setGranted(at(of, "granted").asBoolean()).build();
      case "Elect":
        return FACTORY.createTriggerLeaderElectionRequestBuilder().setGroupId(GROUP).setSender(from)
            .setTerm(term).setLastLogTerm(at(of, "lastTerm").asInt()).setLastLogIndex(number(of, "last"))
            .build();
      default:
        throw new IllegalArgumentException("unknown kind of consensus message \"" + is + "\" (expected: "
            + "Append, Appended, NotAppended, Install, Installed, Vote, Voted, PreVote, PreVoted or Elect)");
    }
  }

  static ObjectNode entry(LogEntry entry) {
    ObjectNode to = object().put("index", entry.getIndex()).put("term", entry.getTerm());
    if (entry.getOperation() instanceof UpdateRaftGroupMembersOp op) {
      ObjectNode members = to.putObject("members").put("mode", op.getMode().name());
      members.set("all", endpoints(op.getMembers()));
      members.set("voting", endpoints(op.getVotingMembers()));
      members.set("endpoint", endpoint(op.getEndpoint()));
      return to;
    }
    return to.put("op", (byte[]) entry.getOperation());
  }

  static LogEntry entry(JsonNode of) {
    Object operation;
    if (of.has("members")) {
      JsonNode members = of.get("members");
      operation = FACTORY.createUpdateRaftGroupMembersOpBuilder().setMembers(endpoints(at(members, "all")))
          .setVotingMembers(endpoints(at(members, "voting")))
          .setEndpoint(endpoint(at(members, "endpoint")))
          .setMode(MembershipChangeMode.valueOf(at(members, "mode").asText())).build();
    } else {
      operation = binary(of, "op");
    }
    return FACTORY.createLogEntryBuilder().setIndex(number(of, "index")).setTerm(at(of, "term").asInt())
        .setOperation(operation).build();
  }

  static ObjectNode chunk(SnapshotChunk chunk) {
    ObjectNode to = object().put("index", chunk.getIndex()).put("term", chunk.getTerm())
        .put("piece", chunk.getSnapshotChunkIndex()).put("pieces", chunk.getSnapshotChunkCount())
        .put("op", (byte[]) chunk.getOperation());
    to.set("view", view(chunk.getGroupMembersView()));
    return to;
  }

  static SnapshotChunk chunk(JsonNode of) {
    return FACTORY.createSnapshotChunkBuilder().setIndex(number(of, "index")).setTerm(at(of, "term").asInt())
        .setSnapshotChunkIndex(at(of, "piece").asInt()).setSnapshotChunkCount(at(of, "pieces").asInt())
        .setOperation(binary(of, "op")).setGroupMembersView(view(at(of, "view"))).build();
  }

  static ObjectNode view(RaftGroupMembersView view) {
    ObjectNode to = object().put("index", view.getLogIndex());
    to.set("all", endpoints(view.getMembers()));
    to.set("voting", endpoints(view.getVotingMembers()));
    return to;
  }

  static RaftGroupMembersView view(JsonNode of) {
    return FACTORY.createRaftGroupMembersViewBuilder().setLogIndex(number(of, "index"))
        .setMembers(endpoints(at(of, "all"))).setVotingMembers(endpoints(at(of, "voting"))).build();
  }

  private static ArrayNode endpoints(Collection<RaftEndpoint> all) {
    ArrayNode to = JsonNodeFactory.instance.arrayNode();
    all.forEach(x -> to.add(endpoint(x)));
    return to;
  }

  private static List<RaftEndpoint> endpoints(JsonNode of) {
    List<RaftEndpoint> all = new ArrayList<>();
    of.forEach(x -> all.add(endpoint(x)));
    return all;
  }

  static ObjectNode endpoint(RaftEndpoint endpoint) {
    StewardId id = (StewardId) endpoint;
    return object().put("name", id.name()).put("store", id.store());
  }

  static StewardId endpoint(JsonNode of) {
    return new StewardId(at(of, "name").asText(), at(of, "store").asText());
  }

  static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  private static JsonNode at(JsonNode of, String field) {
    JsonNode value = of.get(field);
    if (value == null) {
      throw new IllegalArgumentException("a consensus message lacks the field \"" + field + "\": "
          + of.toString().substring(0, Math.min(80, of.toString().length())));
    }
    return value;
  }

  static long number(JsonNode of, String field) {
    return at(of, field).asLong();
  }

  private static byte[] binary(JsonNode of, String field) {
    try {
      return at(of, field).binaryValue();
    } catch (IOException e) {
      throw new IllegalArgumentException("\"" + field + "\" is not valid base64", e);
    }
  }

  static byte[] write(JsonNode node) {
    try {
      return JSON.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot write " + node, e);
    }
  }

  static JsonNode read(byte[] bytes) {
    try {
      JsonNode node = JSON.readTree(bytes);
      if (node == null || !node.isObject()) {
        throw new IllegalArgumentException("not a JSON object, in " + bytes.length + " bytes");
      }
      return node;
    } catch (IOException e) {
      throw new IllegalArgumentException("not a JSON object, in " + bytes.length + " bytes: "
          + e.getMessage(), e);
    }
  }
}
