package willowdoor.daemon.config;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import willowdoor.fairgate.FairGate.ClientBy;
import willowdoor.fairness.FairSettings;
import willowdoor.fairness.FairSettings.Bounds;
import willowdoor.fairness.FairSettings.ComeBack;
import willowdoor.fairness.FairSettings.Cost;
import willowdoor.fairness.FairSettings.Limit;
import willowdoor.fairness.FairSettings.PlanSettings;
import willowdoor.policy.GatewayApi.Plan;
import willowdoor.policy.GatewayApi.Settings;

/** Reads the settings of the fair queue: [fair] and [[fair_plan]]. */
final class FairReader {

  private static final int MAX_TABLES = 256;
  private static final double MAX_WEIGHT = 1_000_000;

  private final Section root;
  private final Settings settings;

  FairReader(Section root, Settings settings) {
    this.root = root;
    this.settings = settings;
  }

  /** Reads and checks the tables; returns null if the fair queue is off. */
  DaemonConfig.Fair read() {
    Section f = root.table("fair");
    boolean on = f.flag("enabled", false);
    Cost cost = f.choice("cost", Cost.class, Cost.UNITS);
    Bounds usual = Bounds.defaults();
    Bounds bounds = new Bounds(f.wholeNumber("waiting", usual.waiting(), 1, 1_000_000),
        1_024L * f.wholeNumber("held_kb", (int) (usual.bytes() / 1_024), 1, 1 << 20),
        f.wholeNumber("firms", usual.firms(), 1, 1_000_000),
        f.wholeNumber("flows", usual.flows(), 1, 1_000_000),
        f.wholeNumber("clients_of_firm", usual.clientsOfFirm(), 1, 100_000),
        f.wholeNumber("shared_flows", usual.sharedFlows(), 1, 1_000),
        f.wholeNumber("promises", usual.promises(), 0, 1_000_000),
        f.wholeNumber("promises_of_firm", usual.promisesOfFirm(), 0, 1_000_000));
    double least = f.number("least_out", 4, 1, 100_000);
    double most = f.number("most_out", 1_000, 1, 100_000);
    double first = f.number("first_out", Math.min(Math.max(24, least), most), 1, 100_000);
    if (most < least) {
      f.addProblem("most_out", most, "at least least_out, " + least);
    }
    if (first < least || first > most) {
      f.addProblem("first_out", first, "from least_out, " + least + ", to most_out, " + most);
    }
    double share = f.number("promised_share", 0.8, 0.01, 1);
    double mostMs = f.number("most_come_back_ms", 30_000, 1, 600_000);
    ClientBy clientBy = f.choice("client_by", ClientBy.class, ClientBy.ADDRESS);
    String header = f.text("client_header", "");
    if (clientBy == ClientBy.HEADER && header.isEmpty()) {
      f.addProblem("client_header", null, "a header's name, as client_by is \"header\"");
    }
    f.reportUnknownKeys();
    Map<String, PlanSettings> plans = plans();
    if (!on) {
      return null;
    }
    Limit limit = most < least || first < least || first > most ? new Limit(1, 1, 1)
        : new Limit(first, least, most);
    double reach = settings.capabilities().mayAdviseRetry()
        ? Math.min(mostMs, settings.capabilities().maxRetryAfterMs())
        : mostMs;
    return new DaemonConfig.Fair(new FairSettings(plans, new PlanSettings(0, 1, 0, 0, 0),
        settings.gateways(), cost, bounds, limit, new ComeBack(share, Math.max(1, reach))), clientBy, header);
  }

  /**
   * The quota of each plan comes from its [[plan]] table; a [[fair_plan]] table of the same name adds the
   * weights.
   */
  private Map<String, PlanSettings> plans() {
    Map<String, Section> tables = new HashMap<>();
    Set<String> names = new HashSet<>();
    for (Section s : root.tables("fair_plan", 0, MAX_TABLES)) {
      String name = DaemonConfig.Reader.uniqueText(s, "name", names);
      if (settings.plans().stream().noneMatch(p -> p.name().equals(name))) {
        s.addProblem("name", name, "one of " + settings.plans().stream().map(Plan::name).toList());
      }
      tables.put(name, s);
    }
    Map<String, PlanSettings> parts = new HashMap<>();
    for (Plan p : settings.plans()) {
      Section s = tables.get(p.name());
      double weight = s == null ? 0 : s.number("weight", 0, 0, MAX_WEIGHT);
      double firmWeight = s == null ? 1 : s.number("firm_weight", 1, 0.001, MAX_WEIGHT);
      parts.put(p.name(), new PlanSettings(weight, firmWeight, p.rate(), p.burst(), p.maxOpenAttempts()));
    }
    tables.values().forEach(Section::reportUnknownKeys);
    return parts;
  }
}
