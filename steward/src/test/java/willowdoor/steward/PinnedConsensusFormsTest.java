package willowdoor.steward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import willowdoor.agreement.Command;

/**
 * Pins the consensus messages and the database file, as an earlier build wrote them: a replica of that build
 * must understand this one, and its file must open.
 */
class PinnedConsensusFormsTest {

  @TempDir
  private Path folder;

  @Test
  void messagesAndLogEntriesAreWrittenAsBefore() throws IOException {
    int checked = 0;
    for (String line : resource("consensus.txt").lines().toList()) {
      String kind = line.substring(0, line.indexOf(' '));
      String form = line.substring(kind.length() + 1);
      assertEquals(form, new String(rewritten(kind, form.getBytes(StandardCharsets.UTF_8)),
          StandardCharsets.UTF_8));
      checked++;
    }
    assertEquals(15, checked);
  }

  private static byte[] rewritten(String kind, byte[] form) {
    if (kind.equals("message")) {
      return RaftJson.encode(RaftJson.decode(form));
    }
    JsonNode node = RaftJson.read(form);
    return RaftJson.write(switch (kind) {
      case "entry" -> RaftJson.entry(RaftJson.entry(node));
      case "chunk" -> RaftJson.chunk(RaftJson.chunk(node));
      case "view" -> RaftJson.view(RaftJson.view(node));
      case "endpoint" -> RaftJson.endpoint(RaftJson.endpoint(node));
      default -> throw new IllegalArgumentException(kind);
    });
  }

  @Test
  void aDatabaseFileOfAnEarlierBuildOpens() throws IOException {
    Path file = folder.resolve("steward.db");
    try (InputStream in = getClass().getResourceAsStream("/pinned/steward.db")) {
      Files.copy(in, file);
    }
    try (DiskStore store = new DiskStore(file)) {
      RestoredRaftState state = store.restoredState();
      assertNotNull(state);
      StewardId self = (StewardId) state.getLocalEndpointPersistentState().getLocalEndpoint();
      assertEquals(new StewardId("a", "s1"), self);
      assertEquals(new StewardId("b", "s2"), state.getTermPersistentState().getVotedFor());
      assertEquals(2, state.getTermPersistentState().getTerm());
      assertEquals(4, state.getSnapshotEntry().getIndex());
      assertEquals(2, state.getLogEntries().size());
      byte[] operation = (byte[]) state.getLogEntries().get(0).getOperation();
      assertEquals(new Command.Tick(7.5), Codec.readCommand(operation));
      assertEquals(new DiskStore.Progress(2, 9), store.acknowledged(new StewardId("c", "s3")));
      assertEquals(new DiskStore.Progress(2, 6), store.ownProgress());
    }
  }

  private static String resource(String name) throws IOException {
    try (InputStream in = PinnedConsensusFormsTest.class.getResourceAsStream("/pinned/" + name)) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
  }
}
