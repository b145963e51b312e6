package willowdoor.daemon.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import willowdoor.agreement.Budget;
import willowdoor.agreement.OutageLimit;
import willowdoor.agreement.FleetSettings;
import willowdoor.steward.StewardId;
import willowdoor.steward.link.StewardProcess;

/** Reads the configuration of a steward from TOML; {@code deploy/steward.toml} documents every key. */
public final class StewardConfig {

  private static final int MAX_STEWARDS = 7;
  private static final double MAX_LEASE_MS = 600_000;

  private StewardConfig() {
  }

  /**
   * Reads and checks a file.
   *
   * @param start whether the record on the steward's disk exists or is new
   */
  public static StewardProcess.Settings read(Path file, StewardProcess.Start start)
      throws IOException, ConfigException {
    return TomlFile.parse(file, TomlFile.readText(file), (root, effective) -> read(root, start));
  }

  private static StewardProcess.Settings read(Section root, StewardProcess.Start start) {
    Section s = root.table("steward");
    String name = s.text("name", null);
    String fleet = s.text("fleet", "fleet");
    String store = s.text("store", null);
    s.reportUnknownKeys();
    Map<StewardId, InetSocketAddress> members = new LinkedHashMap<>();
    StewardId self = null;
    Set<String> names = new HashSet<>();
    for (Section m : root.tables("member", 1, MAX_STEWARDS)) {
      String other = DaemonConfig.Reader.uniqueText(m, "name", names);
      StewardId id = new StewardId(other, Integer.toString(m.wholeNumber("disk", 1, 1, 1_000_000)));
      InetSocketAddress address = m.address("address");
      m.reportUnknownKeys();
      members.put(id, address == null ? new InetSocketAddress(0) : address);
      self = other.equals(name) ? id : self;
    }
    if (self == null) {
      root.addProblem("member", names, "one of the name \"" + name + "\", as steward.name is");
    }
    FleetSettings terms = terms(root.table("terms"));
    root.reportUnknownKeys();
    return self == null ? null : new StewardProcess.Settings(fleet, self, members.get(self), Path.of(store),
        members, terms, start);
  }

  private static FleetSettings terms(Section t) {
    FleetSettings terms = new FleetSettings(budget(t, "doors"), budget(t, "backends"),
        t.number("lease_ms", 3_000, 200, MAX_LEASE_MS));
    t.reportUnknownKeys();
    return terms;
  }

  private static Budget budget(Section t, String kind) {
    return new Budget(t.countOrShare(kind + "_out", OutageLimit.of(1)),
        t.countOrShare(kind + "_out_in_zone", OutageLimit.UNLIMITED),
        t.number(kind + "_least_weight", 0, 0, 1e9));
  }
}
