package willowdoor.steward;

import com.fasterxml.jackson.databind.JsonNode;
import io.microraft.RaftEndpoint;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;

/**
 * A steward's disk: its votes, its log and its last snapshots, in one SQLite file that is synced before the
 * library answers anybody. The file is locked as long as it is open, so no two processes share it.
 */
public final class DiskStore implements RaftStore, AutoCloseable {

  private static final DefaultRaftModelFactory MAKE = new DefaultRaftModelFactory();

  private final Connection file;

  /** Opens the file, or makes it. */
  public DiskStore(Path path) throws IOException {
    this(path, true);
  }

  /**
   * The same.
   *
   * @param synced false where only a process may end, not its machine: nothing that was written is lost then
   */
  public DiskStore(Path path, boolean synced) throws IOException {
    try {
      file = DriverManager.getConnection("jdbc:sqlite:" + path);
      try (Statement s = file.createStatement()) {
        s.execute("PRAGMA locking_mode = EXCLUSIVE");
        s.execute("PRAGMA journal_mode = WAL");
        s.execute("PRAGMA synchronous = " + (synced ? "FULL" : "OFF"));
        s.execute("CREATE TABLE IF NOT EXISTS known (name TEXT PRIMARY KEY, value BLOB NOT NULL)");
        s.execute("CREATE TABLE IF NOT EXISTS log (idx INTEGER PRIMARY KEY, value BLOB NOT NULL)");
        s.execute("CREATE TABLE IF NOT EXISTS piece (idx INTEGER, piece INTEGER, pieces INTEGER NOT NULL,"
            + " value BLOB NOT NULL, PRIMARY KEY (idx, piece))");
      }
      file.setAutoCommit(false);
    } catch (SQLException e) {
      throw new IOException("the store " + path + " cannot be opened: " + e.getMessage(), e);
    }
  }

  /** What was kept; null where it is new. */
  public RestoredRaftState restored() throws IOException {
    JsonNode self = known("self");
    JsonNode members = known("members");
    if (self == null || members == null) {
      return null;
    }
    JsonNode term = known("term");
    RaftTermPersistentState voted = MAKE.createRaftTermPersistentStateBuilder()
        .setTerm(term == null ? 0 : (int) Wire.number(term, "term"))
        .setVotedFor(term == null || !term.has("votedFor") ? null : Wire.endpoint(term.get("votedFor")))
        .build();
    SnapshotEntry snapshot = snapshot();
    return new RestoredRaftState(MAKE.createRaftEndpointPersistentStateBuilder()
        .setLocalEndpoint(Wire.endpoint(self)).setVoting(self.get("voting").asBoolean()).build(),
        Wire.view(members), voted, snapshot, log(snapshot == null ? 0 : snapshot.getIndex()));
  }

  private JsonNode known(String name) throws IOException {
    List<byte[]> values = values("SELECT value FROM known WHERE name = ?", name);
    return values.isEmpty() ? null : Wire.read(values.get(0));
  }

  /** The last one of which every piece is there. */
  private SnapshotEntry snapshot() throws IOException {
    List<SnapshotChunk> pieces = new ArrayList<>();
    for (byte[] value : values("SELECT value FROM piece WHERE idx = (SELECT max(idx) FROM (SELECT idx FROM"
        + " piece GROUP BY idx HAVING count(*) = max(pieces))) ORDER BY piece")) {
      pieces.add(Wire.chunk(Wire.read(value)));
    }
    if (pieces.isEmpty()) {
      return null;
    }
    SnapshotChunk first = pieces.get(0);
    return MAKE.createSnapshotEntryBuilder().setIndex(first.getIndex()).setTerm(first.getTerm())
        .setSnapshotChunks(pieces).setGroupMembersView(first.getGroupMembersView()).build();
  }

  private List<LogEntry> log(long after) throws IOException {
    List<LogEntry> entries = new ArrayList<>();
    for (byte[] value : values("SELECT value FROM log WHERE idx > ? ORDER BY idx", after)) {
      entries.add(Wire.entry(Wire.read(value)));
    }
    return entries;
  }

  private List<byte[]> values(String query, Object... with) throws IOException {
    try (PreparedStatement s = prepared(query, with); ResultSet rows = s.executeQuery()) {
      List<byte[]> values = new ArrayList<>();
      while (rows.next()) {
        values.add(rows.getBytes(1));
      }
      return values;
    } catch (SQLException e) {
      throw failed(e);
    }
  }

  private PreparedStatement prepared(String query, Object... with) throws SQLException {
    PreparedStatement s = file.prepareStatement(query);
    for (int i = 0; i < with.length; i++) {
      s.setObject(i + 1, with[i]);
    }
    return s;
  }

  private void change(String query, Object... with) throws IOException {
    try (PreparedStatement s = prepared(query, with)) {
      s.executeUpdate();
    } catch (SQLException e) {
      throw failed(e);
    }
  }

  private static IOException failed(SQLException e) {
    return new IOException("the store failed: " + e.getMessage(), e);
  }

  private void keep(String name, JsonNode value) throws IOException {
    change("INSERT OR REPLACE INTO known VALUES (?, ?)", name, Wire.write(value));
    flush();
  }

  @Override
  public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState self) throws IOException {
    keep("self", Wire.endpoint(self.getLocalEndpoint()).put("voting", self.isVoting()));
  }

  @Override
  public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
    keep("members", Wire.view(members));
  }

  @Override
  public void persistAndFlushTerm(RaftTermPersistentState term) throws IOException {
    RaftEndpoint votedFor = term.getVotedFor();
    var value = Wire.object().put("term", (long) term.getTerm());
    if (votedFor != null) {
      value.set("votedFor", Wire.endpoint(votedFor));
    }
    keep("term", value);
  }

  @Override
  public void persistLogEntries(List<LogEntry> entries) throws IOException {
    for (LogEntry entry : entries) {
      change("INSERT OR REPLACE INTO log VALUES (?, ?)", entry.getIndex(), Wire.write(Wire.entry(entry)));
    }
  }

  @Override
  public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
    change("INSERT OR REPLACE INTO piece VALUES (?, ?, ?, ?)", chunk.getIndex(),
        chunk.getSnapshotChunkIndex(), chunk.getSnapshotChunkCount(), Wire.write(Wire.chunk(chunk)));
  }

  @Override
  public void truncateLogEntriesFrom(long index) throws IOException {
    change("DELETE FROM log WHERE idx >= ?", index);
  }

  @Override
  public void truncateLogEntriesUntil(long index) throws IOException {
    change("DELETE FROM log WHERE idx <= ?", index);
  }

  @Override
  public void deleteSnapshotChunks(long index, int pieces) throws IOException {
    change("DELETE FROM piece WHERE idx = ?", index);
  }

  @Override
  public void flush() throws IOException {
    try {
      file.commit();
    } catch (SQLException e) {
      throw failed(e);
    }
  }

  /** What was not flushed is lost, as by a kill. */
  @Override
  public void close() throws IOException {
    try {
      file.rollback();
      file.close();
    } catch (SQLException e) {
      throw failed(e);
    }
  }
}
