package willowdoor.daemon.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import willowdoor.extauthz.ExtAuthzSettings;
import willowdoor.fairgate.FairGate;
import willowdoor.fairness.FairSettings;
import willowdoor.life.InstanceLifecycle;
import willowdoor.net.ResourceLimits;
import willowdoor.net.Config;
import willowdoor.net.EndpointUpdate;
import willowdoor.policy.GatewayApi.Capabilities;
import willowdoor.policy.GatewayApi.BackendEntry;
import willowdoor.policy.GatewayApi.Group;
import willowdoor.policy.GatewayApi.Phase;
import willowdoor.policy.GatewayApi.Plan;
import willowdoor.policy.GatewayApi.Repeat;
import willowdoor.policy.GatewayApi.RequestClass;
import willowdoor.policy.GatewayApi.Rules;
import willowdoor.policy.GatewayApi.Settings;
import willowdoor.valkey.ValkeySettings;

/**
 * The daemon's configuration, read from TOML. {@code deploy/willowdoor.toml} documents every key. All errors
 * of a file are reported together ({@link ConfigException}).
 *
 * @param authorisation the settings of external authorisation, or null if no member is configured
 * @param fair the settings of the fair queue, or null if it is off
 * @param agreement the settings of the agreement with the fleet's stewards, or null if it is off
 * @param effective every key with its effective value, including defaults
 */
public record DaemonConfig(Instance instance, InetSocketAddress discovery, Counter counter, Limits limits,
    InstanceLifecycle.ShutdownLimits end, TakeOver takeOver, Backends backends, Settings settings,
    ExtAuthzSettings authorisation, Fair fair, Agreement agreement, Map<String, Object> effective) {

  /** The identity of this instance in its fleet; the zone may be empty. */
  public record Instance(String name, InetSocketAddress listen, int doors, int index, String zone) { }

  /** The protocol of the shared counter: the platform's line protocol, or that of Valkey and Redis. */
  enum Store { LINES, VALKEY }

  /**
   * The address of the shared counter, and the timeout of a call.
   *
   * @param valkey the settings for a Valkey or Redis server, or null for the line protocol
   */
  public record Counter(InetSocketAddress address, double callLimitMs, ValkeySettings valkey) { }

  /** The settings of the fair queue, and how the clients of a firm are distinguished. */
  public record Fair(FairSettings settings, FairGate.ClientBy clientBy, String header) { }

  /**
   * The settings of the agreement on drains and releases.
   *
   * @param fleet the name of the fleet, as its stewards know it
   * @param drift the greatest rate error of a clock, as a fraction of the elapsed time
   * @param weight the share of this door in the traffic, relative to the weights of the other doors
   * @param lockFile a file that is locked by one process of this door at a time
   * @param steward the configuration file of a steward inside this daemon, or empty for none
   * @param successor the words of the command that starts another version as the successor of this process;
   *     empty if releases may not replace this door
   * @param management the address for operators' calls, or null for none
   */
  public record Agreement(String fleet, List<InetSocketAddress> stewards, double drift, double weight,
      String lockFile, String steward, List<String> successor, InetSocketAddress management) { }

  /** The resource limits of the process: file descriptors, and memory in MB. */
  public record Limits(int descriptors, int memoryMb) { }

  /** The handover of the listening socket; an empty path means that it is never handed over. */
  public record TakeOver(String controlSocket, int readyLimitMs) { }

  /** The connection limits of backends, and the backends to use before discovery has listed any. */
  public record Backends(double connectLimitMs, double idleLimitMs, EndpointUpdate configured) { }

  /** The keys that a reload applies; a change of any other key needs a restart. */
  public static final Set<String> RELOADABLE = Set.of("discovery.address", "counter.address");

  private static final int MAX_TABLES = 256;
  private static final int MAX_BACKENDS = 10_000;
  private static final double MAX_DURATION_MS = 3_600_000;
  private static final double MAX_UNITS = 1e9;
  /**
   * Limit of the control socket's path. The kernel limits the path of a unix socket, and the temporary name
   * of a new socket adds a suffix.
   */
  private static final int MAX_SOCKET_PATH_LENGTH = 100;

  /** Reads and checks a file. */
  public static DaemonConfig read(Path file) throws IOException, ConfigException {
    return parse(file, TomlFile.readText(file));
  }

  /** Reads and checks a text; the file is only named in errors. */
  public static DaemonConfig parse(Path file, String text) throws ConfigException {
    return TomlFile.parse(file, text, (root, effective) -> new Reader(root, effective).read());
  }

  /** The keys whose values differ, including keys that exist in only one of the configurations. */
  public Set<String> changedKeys(DaemonConfig other) {
    Set<String> keys = new TreeSet<>(effective.keySet());
    keys.addAll(other.effective.keySet());
    keys.removeIf(k -> java.util.Objects.equals(effective.get(k), other.effective.get(k)));
    return keys;
  }

  /** The configuration of the front door, with a seed for its random choices. */
  public Config doorConfig(long seed) {
    return new Config(instance.listen(), discovery, counter.address(), seed, settings,
        ResourceLimits.of(limits.descriptors() - authoriserConnections(), limits.memoryMb()),
            backends.connectLimitMs(),
            backends.idleLimitMs(),
        backends.configured(), true, null);
  }

  /** Two connections to each authoriser: a second one replaces the first when the TLS files change. */
  private int authoriserConnections() {
    return authorisation == null ? 0 : 2 * authorisation.links().size();
  }

  /** Reads the tables of one file. */
  static final class Reader {
    private final Map<String, Object> effective;
    private final Section root;

    Reader(Section root, Map<String, Object> effective) {
      this.root = root;
      this.effective = effective;
    }

    DaemonConfig read() {
      Section i = root.table("instance");
      int doors = i.wholeNumber("doors", 1, 1, 10_000);
      Instance instance = new Instance(i.text("name", null), i.address("listen"), doors,
          i.wholeNumber("index", 0, 0, doors - 1), i.text("zone", ""));
      i.reportUnknownKeys();
      Section d = root.table("discovery");
      InetSocketAddress discovery = d.address("address");
      d.reportUnknownKeys();
      Section c = root.table("counter");
      Counter counter = new Counter(c.address("address"), c.number("call_limit_ms", 50, 1, 10_000),
          valkey(c));
      c.reportUnknownKeys();
      Section l = root.table("limits");
      Limits limits = new Limits(l.wholeNumber("descriptors", 1_024, 128, 1_000_000),
          l.wholeNumber("memory_mb", 192, 32, 1_000_000));
      l.reportUnknownKeys();
      Section e = root.table("end");
      double accept = e.number("accept_ms", 550, 0, MAX_DURATION_MS);
      InstanceLifecycle.ShutdownLimits end = new InstanceLifecycle
          .ShutdownLimits(accept, Math.max(accept, answerMs(e, accept)),
          e.number("hurried_ms", 500, 0, MAX_DURATION_MS), e.number("last_ms", 400, 1, MAX_DURATION_MS));
      e.reportUnknownKeys();
      Section t = root.table("take_over");
      TakeOver takeOver = new TakeOver(socketPath(t), t.wholeNumber("ready_limit_ms", 15_000, 100, 600_000));
      t.reportUnknownKeys();
      Section b = root.table("backends");
      Backends backends = new Backends(b.number("connect_limit_ms", 250, 1, 60_000),
          b.number("idle_limit_ms", 15_000, 10, MAX_DURATION_MS), configuredBackends());
      Settings settings = settings(instance, counter, b);
      b.reportUnknownKeys();
      ExtAuthzSettings authorisation = new AuthorisationReader(root, settings).read();
      Fair fair = new FairReader(root, settings).read();
      Agreement agreement = agreement(takeOver);
      root.reportUnknownKeys();
      return new DaemonConfig(instance, discovery, counter, limits, end, takeOver, backends, settings,
          authorisation, fair, agreement, Map.copyOf(effective));
    }

    /** Returns null if the agreement is off. */
    private Agreement agreement(TakeOver takeOver) {
      Section a = root.table("agreement");
      boolean on = a.flag("enabled", false);
      String fleet = a.text("fleet", "fleet");
      List<InetSocketAddress> stewards = a.addresses("stewards");
      if (on && stewards.isEmpty()) {
        a.addProblem("stewards", null, "the addresses of the stewards, as agreement.enabled is true");
      }
      double drift = a.number("drift", 0.01, 0, 0.5);
      double weight = a.number("weight", 1, 0.001, 1_000_000);
      String lock = a.text("lock_file", takeOver.controlSocket().isEmpty() ? ""
          : takeOver.controlSocket() + ".lock");
      if (on && lock.isEmpty()) {
        a.addProblem("lock_file", null, "a file that one process of this door holds at a time");
      }
      String steward = a.text("steward", "");
      List<String> successor = a.texts("successor", List.of());
      InetSocketAddress management = a.text("management", "").isEmpty() ? null : a.address("management");
      if (on && !successor.isEmpty() && takeOver.controlSocket().isEmpty()) {
        a.addProblem("successor", successor, "take_over.control_socket too, over which the socket is handed");
      }
      a.reportUnknownKeys();
      return on ? new Agreement(fleet, stewards, drift, weight, lock, steward, successor, management) : null;
    }

    private static double answerMs(Section e, double accept) {
      double answer = e.number("answer_ms", Math.max(3_300, accept), 0, MAX_DURATION_MS);
      if (answer < accept) {
        e.addProblem("answer_ms", answer, "at least end.accept_ms, " + accept);
      }
      return answer;
    }

    private static String socketPath(Section t) {
      String path = t.text("control_socket", "");
      if (path.length() > MAX_SOCKET_PATH_LENGTH) {
        t.addProblem("control_socket", path.length() + " characters", "at most " + MAX_SOCKET_PATH_LENGTH);
      }
      return path;
    }

    private EndpointUpdate configuredBackends() {
      List<BackendEntry> entries = new ArrayList<>();
      Map<Long, InetSocketAddress> places = new HashMap<>();
      Set<String> ids = new HashSet<>();
      for (Section s : root.tables("backend", 0, MAX_BACKENDS)) {
        String id = uniqueText(s, "id", ids);
        InetSocketAddress address = s.address("address");
        String zone = s.text("zone", "");
        if (address != null) {
          long number = EndpointUpdate.idOf(id);
          places.put(number, address);
          entries.add(new BackendEntry(number, zone, s.wholeNumber("cell", 0, 0, 1_000_000), Phase.SERVING,
              s.number("weight", 1, 0.001, 1_000), 0));
        }
        s.reportUnknownKeys();
      }
      return new EndpointUpdate(0, true, entries, places);
    }

    static String uniqueText(Section s, String key, Set<String> used) {
      String value = s.text(key, null);
      if (!value.isEmpty() && !used.add(value)) {
        s.addProblem(key, '"' + value + '"', "a name that no other table has");
      }
      return value;
    }

    /**
     * Reads the keys of a Valkey store. With the line protocol these keys are reported as unknown, so that no
     * unused key looks as if it had an effect.
     */
    private static ValkeySettings valkey(Section c) {
      if (c.choice("store", Store.class, Store.LINES) == Store.LINES) {
        return null;
      }
      String prefix = c.text("prefix", "willowdoor");
      String user = c.text("user", "");
      String file = c.text("password_file", "");
      try {
        String password = file.isEmpty() ? "" : Files.readString(Path.of(file)).strip();
        return new ValkeySettings(user, password, prefix);
      } catch (IOException | InvalidPathException e) {
        c.addProblem("password_file", '"' + file + '"', "a file that can be read");
      } catch (IllegalArgumentException e) {
        c.addProblem(e.getMessage().startsWith("prefix") ? "prefix" : "password_file", e.getMessage(),
            "what stands in brackets");
      }
      return null;
    }

    private Settings settings(Instance instance, Counter counter, Section b) {
      Section u = root.table("units");
      double mostUnits = u.number("most", 8, 1, MAX_UNITS);
      u.reportUnknownKeys();
      Section a = root.table("answers");
      boolean advise = a.flag("retry_after", true);
      double mostAdvice = a.number("most_retry_after_ms", 2_000, 0, MAX_DURATION_MS);
      double slack = a.number("slack_ms", 8, 0, 1_000);
      a.reportUnknownKeys();
      Capabilities allowed = new Capabilities(true, counter.callLimitMs(), true, false,
          b.wholeNumber("attempts", 6, 1, 20),
          b.wholeNumber("open_attempts", 20_000, 1, 1_000_000), advise, mostAdvice, false);
      Rules rules = new Rules(slack, b.number("cold_share", 0.21, 0.01, 1), b.number("cold_ms", 18_000, 0,
          MAX_DURATION_MS),
          b.number("tip_multiple", 2.5, 1, 1_000), b.number("tip_after_ms", 2_000, 1, MAX_DURATION_MS));
      return new Settings(instance.doors(), instance.index(), instance.zone(), mostUnits,
          b.number("cross_zone_price", 0.01, 0, 1), false, classes(), plans(), allowed, rules);
    }

    private List<RequestClass> classes() {
      List<RequestClass> classes = new ArrayList<>();
      Set<String> names = new HashSet<>();
      for (Section s : root.tables("class", 1, MAX_TABLES)) {
        Repeat repeat = s.choice("repeat", Repeat.class, Repeat.UNSAFE);
        classes.add(new RequestClass(uniqueText(s, "name", names), s.number("worth", 1, 0, 1e6),
            s.number("late_worth", 0, 0, 1e6), s.number("aim_ms", Double.NaN, 1, MAX_DURATION_MS),
            s.number("deadline_ms", Double.NaN, 1, MAX_DURATION_MS), repeat, s.choice("group", Group.class,
                Group.ALL),
            s.number("repeat_window_ms", repeat == Repeat.KEYED ? Double.NaN : 0, 0,
                MAX_DURATION_MS), false));
        s.reportUnknownKeys();
      }
      return classes;
    }

    private List<Plan> plans() {
      List<Plan> plans = new ArrayList<>();
      Set<String> names = new HashSet<>();
      for (Section s : root.tables("plan", 1, MAX_TABLES)) {
        double ceiling = s.number("ceiling_units_per_s", 0, 0, MAX_UNITS);
        plans.add(new Plan(uniqueText(s, "name", names), s.number("units_per_s", Double.NaN, 0, MAX_UNITS),
            s.number("burst_units", Double.NaN, 0, MAX_UNITS),
            s.wholeNumber("open_requests", 0, 0, 1_000_000),
            s.number("worth_factor", 1, 0, 1e6), s.number("beyond_earns", 0, 0, 1), s.number("beyond_cost", 1,
                0, 1),
            ceiling, s.number("ceiling_burst_units", ceiling > 0 ? Double.NaN : 0, 0, MAX_UNITS),
            s.number("ceiling_slack_units", 0, 0, MAX_UNITS)));
        s.reportUnknownKeys();
      }
      return plans;
    }
  }
}
