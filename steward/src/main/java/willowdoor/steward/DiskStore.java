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
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A steward's storage: its votes, log and latest snapshots, in one SQLite file that is synced before
 * MicroRaft answers any message. The file stays locked while open, so that two processes can't share it.
 */
public final class DiskStore implements RaftStore, AutoCloseable {

  private static final DefaultRaftModelFactory FACTORY = new DefaultRaftModelFactory();

  /**
   * The progress that a steward has acknowledged, by a vote or by accepted log entries.
   *
   * @param index of its last log entry, as far as known for that term
   */
  public record Progress(int term, long index) {

    /**
     * Returns whether {@code other} can't be a later state of the same disk: within a term no acknowledged
     * entry is dropped.
     */
    boolean isAheadOf(Progress other) {
      return term > other.term || term == other.term && index > other.index;
    }
  }

  private static final String ACKNOWLEDGED = "heard:";
  /** 1 GiB: the log is truncated every 10,000 commands, each of at most 1 MiB and typically 1 KiB. */
  private static final long MAX_PAGES = 262_144;

  private final Connection connection;
  /** Progress that other stewards acknowledged to this one; written with the next flush. */
  private final Map<StewardId, Progress> acknowledged = new HashMap<>();
  private final Set<StewardId> unsaved = new HashSet<>();
  private boolean failed;

  /** Opens the file, or creates it. */
  public DiskStore(Path path) throws IOException {
    this(path, true, MAX_PAGES);
  }

  /**
   * Opens the file, or creates it.
   *
   * @param synced false if only the process may crash, not the machine: written data survives that without a
   *     sync
   * @param maxPages limit of the file, in pages of 4 KiB; beyond it the disk counts as full and the steward
   *     stops
   */
  public DiskStore(Path path, boolean synced, long maxPages) throws IOException {
    try {
      connection = DriverManager.getConnection("jdbc:sqlite:" + path);
      try (Statement s = connection.createStatement()) {
        s.execute("PRAGMA locking_mode = EXCLUSIVE");
        s.execute("PRAGMA journal_mode = WAL");
        s.execute("PRAGMA synchronous = " + (synced ? "FULL" : "OFF"));
        s.execute("PRAGMA max_page_count = " + maxPages);
        s.execute("CREATE TABLE IF NOT EXISTS known (name TEXT PRIMARY KEY, value BLOB NOT NULL)");
        s.execute("CREATE TABLE IF NOT EXISTS log (idx INTEGER PRIMARY KEY, value BLOB NOT NULL)");
        s.execute("CREATE TABLE IF NOT EXISTS piece (idx INTEGER, piece INTEGER, pieces INTEGER NOT NULL,"
            + " value BLOB NOT NULL, PRIMARY KEY (idx, piece))");
      }
      connection.setAutoCommit(false);
      readAcknowledged();
    } catch (SQLException e) {
      throw new IOException("the store " + path + " cannot be opened: " + e.getMessage(), e);
    }
  }

  private void readAcknowledged() throws IOException {
    for (byte[] value : values("SELECT value FROM known WHERE name LIKE ?", ACKNOWLEDGED + "%")) {
      JsonNode one = RaftJson.read(value);
      acknowledged.put(RaftJson.endpoint(one.get("who")), new Progress((int) RaftJson.number(one, "term"),
          RaftJson.number(one, "index")));
    }
  }

  /** Records progress that another steward has acknowledged to this one. */
  void acknowledged(StewardId who, int term, long index) {
    Progress now = new Progress(term, index);
    Progress before = acknowledged.get(who);
    if (before == null || now.isAheadOf(before)) {
      acknowledged.put(who, now);
      unsaved.add(who);
    }
  }

  /** Returns the minimum progress that another steward has acknowledged, or null if unknown. */
  Progress acknowledged(StewardId who) {
    return acknowledged.get(who);
  }

  /** Returns the term and last log index on this disk. */
  Progress ownProgress() throws IOException {
    JsonNode term = readValue("term");
    SnapshotEntry snapshot = readSnapshot();
    long index = snapshot == null ? 0 : snapshot.getIndex();
    for (LogEntry entry : readLog(index)) {
      index = Math.max(index, entry.getIndex());
    }
    return new Progress(term == null ? 0 : (int) RaftJson.number(term, "term"), index);
  }

  /** Returns the stored state, or null if the file is new. */
  public RestoredRaftState restoredState() throws IOException {
    JsonNode self = readValue("self");
    JsonNode members = readValue("members");
    if (self == null || members == null) {
      return null;
    }
    JsonNode term = readValue("term");
    RaftTermPersistentState voted = FACTORY.createRaftTermPersistentStateBuilder()
        .setTerm(term == null ? 0 : (int) RaftJson.number(term, "term"))
        .setVotedFor(term == null || !term.has("votedFor") ? null : RaftJson.endpoint(term.get("votedFor")))
        .build();
    SnapshotEntry snapshot = readSnapshot();
    return new RestoredRaftState(FACTORY.createRaftEndpointPersistentStateBuilder()
        .setLocalEndpoint(RaftJson.endpoint(self)).setVoting(self.get("voting").asBoolean()).build(),
        RaftJson.view(members), voted, snapshot, readLog(snapshot == null ? 0 : snapshot.getIndex()));
  }

  private JsonNode readValue(String name) throws IOException {
    List<byte[]> values = values("SELECT value FROM known WHERE name = ?", name);
    return values.isEmpty() ? null : RaftJson.read(values.get(0));
  }

  /** Returns the latest snapshot that has all of its chunks, or null. */
  private SnapshotEntry readSnapshot() throws IOException {
    List<SnapshotChunk> pieces = new ArrayList<>();
    for (byte[] value : values("SELECT value FROM piece WHERE idx = (SELECT max(idx) FROM (SELECT idx FROM"
        + " piece GROUP BY idx HAVING count(*) = max(pieces))) ORDER BY piece")) {
      pieces.add(RaftJson.chunk(RaftJson.read(value)));
    }
    if (pieces.isEmpty()) {
      return null;
    }
    SnapshotChunk first = pieces.get(0);
    return FACTORY.createSnapshotEntryBuilder().setIndex(first.getIndex()).setTerm(first.getTerm())
        .setSnapshotChunks(pieces).setGroupMembersView(first.getGroupMembersView()).build();
  }

  private List<LogEntry> readLog(long after) throws IOException {
    List<LogEntry> entries = new ArrayList<>();
    for (byte[] value : values("SELECT value FROM log WHERE idx > ? ORDER BY idx", after)) {
      entries.add(RaftJson.entry(RaftJson.read(value)));
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
    PreparedStatement s = connection.prepareStatement(query);
    for (int i = 0; i < with.length; i++) {
      s.setObject(i + 1, with[i]);
    }
    return s;
  }

  private void update(String query, Object... with) throws IOException {
    try (PreparedStatement s = prepared(query, with)) {
      s.executeUpdate();
    } catch (SQLException e) {
      throw failed(e);
    }
  }

  private IOException failed(SQLException e) {
    failed = true;
    return new IOException("the store failed: " + e.getMessage(), e);
  }

  /** Returns whether a read or write has failed; the file may not store later votes and acknowledgements. */
  boolean failed() {
    return failed;
  }

  private void saveValue(String name, JsonNode value) throws IOException {
    update("INSERT OR REPLACE INTO known VALUES (?, ?)", name, RaftJson.write(value));
    flush();
  }

  @Override
  public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState self) throws IOException {
    saveValue("self", RaftJson.endpoint(self.getLocalEndpoint()).put("voting", self.isVoting()));
  }

  @Override
  public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
    saveValue("members", RaftJson.view(members));
  }

  @Override
  public void persistAndFlushTerm(RaftTermPersistentState term) throws IOException {
    RaftEndpoint votedFor = term.getVotedFor();
    var value = RaftJson.object().put("term", (long) term.getTerm());
    if (votedFor != null) {
      value.set("votedFor", RaftJson.endpoint(votedFor));
    }
    saveValue("term", value);
  }

  @Override
  public void persistLogEntries(List<LogEntry> entries) throws IOException {
    for (LogEntry entry : entries) {
      update("INSERT OR REPLACE INTO log VALUES (?, ?)", entry.getIndex(),
          RaftJson.write(RaftJson.entry(entry)));
    }
  }

  @Override
  public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
    update("INSERT OR REPLACE INTO piece VALUES (?, ?, ?, ?)", chunk.getIndex(),
        chunk.getSnapshotChunkIndex(), chunk.getSnapshotChunkCount(), RaftJson.write(RaftJson.chunk(chunk)));
  }

  @Override
  public void truncateLogEntriesFrom(long index) throws IOException {
    update("DELETE FROM log WHERE idx >= ?", index);
  }

  @Override
  public void truncateLogEntriesUntil(long index) throws IOException {
    update("DELETE FROM log WHERE idx <= ?", index);
  }

  @Override
  public void deleteSnapshotChunks(long index, int pieces) throws IOException {
    update("DELETE FROM piece WHERE idx = ?", index);
  }

  @Override
  public void flush() throws IOException {
    for (StewardId who : unsaved) {
      Progress p = acknowledged.get(who);
      var value = RaftJson.object().put("term", (long) p.term()).put("index", p.index());
      value.set("who", RaftJson.endpoint(who));
      update("INSERT OR REPLACE INTO known VALUES (?, ?)", ACKNOWLEDGED + who.getId(), RaftJson.write(value));
    }
    unsaved.clear();
    try {
      connection.commit();
    } catch (SQLException e) {
      throw failed(e);
    }
  }

  /** Discards unflushed writes, as a crash would. */
  void rollback() throws IOException {
    try {
      connection.rollback();
    } catch (SQLException e) {
      // After a failed write (full disk), SQLite has rolled back already.
      if (!failed) {
        throw failed(e);
      }
    }
  }

  /** Closes the file; unflushed writes are lost, as after a crash. */
  @Override
  public void close() throws IOException {
    rollback();
    try {
      connection.close();
    } catch (SQLException e) {
      throw failed(e);
    }
  }
}
