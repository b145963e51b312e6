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
 * A steward's disk: its votes, its log and its last snapshots, in one SQLite file that is synced before the
 * library answers anybody. The file is locked as long as it is open, so no two processes share it.
 */
public final class DiskStore implements RaftStore, AutoCloseable {

  private static final DefaultRaftModelFactory MAKE = new DefaultRaftModelFactory();

  /**
   * How far a steward has come, by what it promised: a vote or entries.
   *
   * @param index of its last entry, as far as known of that term
   */
  public record Progress(int term, long index) {

    /** Whether this can't be the same disk at a later time: within a term no promised entry is dropped. */
    boolean beyond(Progress other) {
      return term > other.term || term == other.term && index > other.index;
    }
  }

  private static final String HEARD = "heard:";
  /** 1 GiB: the log is cut each 10,000 commands, which may have 1 MiB but have some 1 KiB. */
  private static final long MOST_PAGES = 262_144;

  private final Connection file;
  /** What others have promised to this one; kept with what is flushed next. */
  private final Map<StewardId, Progress> heard = new HashMap<>();
  private final Set<StewardId> unkept = new HashSet<>();
  private boolean failed;

  /** Opens the file, or makes it. */
  public DiskStore(Path path) throws IOException {
    this(path, true, MOST_PAGES);
  }

  /**
   * The same.
   *
   * @param synced false where only a process may end, not its machine: nothing that was written is lost then
   * @param mostPages of 4 KiB; one more is a full disk, and the steward ends
   */
  public DiskStore(Path path, boolean synced, long mostPages) throws IOException {
    try {
      file = DriverManager.getConnection("jdbc:sqlite:" + path);
      try (Statement s = file.createStatement()) {
        s.execute("PRAGMA locking_mode = EXCLUSIVE");
        s.execute("PRAGMA journal_mode = WAL");
        s.execute("PRAGMA synchronous = " + (synced ? "FULL" : "OFF"));
        s.execute("PRAGMA max_page_count = " + mostPages);
        s.execute("CREATE TABLE IF NOT EXISTS known (name TEXT PRIMARY KEY, value BLOB NOT NULL)");
        s.execute("CREATE TABLE IF NOT EXISTS log (idx INTEGER PRIMARY KEY, value BLOB NOT NULL)");
        s.execute("CREATE TABLE IF NOT EXISTS piece (idx INTEGER, piece INTEGER, pieces INTEGER NOT NULL,"
            + " value BLOB NOT NULL, PRIMARY KEY (idx, piece))");
      }
      file.setAutoCommit(false);
      readHeard();
    } catch (SQLException e) {
      throw new IOException("the store " + path + " cannot be opened: " + e.getMessage(), e);
    }
  }

  private void readHeard() throws IOException {
    for (byte[] value : values("SELECT value FROM known WHERE name LIKE ?", HEARD + "%")) {
      JsonNode one = Wire.read(value);
      heard.put(Wire.endpoint(one.get("who")), new Progress((int) Wire.number(one, "term"),
          Wire.number(one, "index")));
    }
  }

  /** Another steward has promised so much, to this one. */
  void heard(StewardId who, int term, long index) {
    Progress now = new Progress(term, index);
    Progress before = heard.get(who);
    if (before == null || now.beyond(before)) {
      heard.put(who, now);
      unkept.add(who);
    }
  }

  /** What another has promised at the least; null where nothing is known. */
  Progress heard(StewardId who) {
    return heard.get(who);
  }

  /** How far this disk has come. */
  Progress own() throws IOException {
    JsonNode term = known("term");
    SnapshotEntry snapshot = snapshot();
    long index = snapshot == null ? 0 : snapshot.getIndex();
    for (LogEntry entry : log(index)) {
      index = Math.max(index, entry.getIndex());
    }
    return new Progress(term == null ? 0 : (int) Wire.number(term, "term"), index);
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

  private IOException failed(SQLException e) {
    failed = true;
    return new IOException("the store failed: " + e.getMessage(), e);
  }

  /** Whether anything could not be kept or read: what is promised from then on might not be kept. */
  boolean failed() {
    return failed;
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
    for (StewardId who : unkept) {
      Progress p = heard.get(who);
      var value = Wire.object().put("term", (long) p.term()).put("index", p.index());
      value.set("who", Wire.endpoint(who));
      change("INSERT OR REPLACE INTO known VALUES (?, ?)", HEARD + who.getId(), Wire.write(value));
    }
    unkept.clear();
    try {
      file.commit();
    } catch (SQLException e) {
      throw failed(e);
    }
  }

  /** What was not flushed is lost, as by a kill. */
  void forget() throws IOException {
    try {
      file.rollback();
    } catch (SQLException e) {
      // A full disk has had it undone already.
      if (!failed) {
        throw failed(e);
      }
    }
  }

  /** What was not flushed is lost, as by a kill. */
  @Override
  public void close() throws IOException {
    forget();
    try {
      file.close();
    } catch (SQLException e) {
      throw failed(e);
    }
  }
}
