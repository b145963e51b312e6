package willowdoor.daemon.config;

import java.io.IOException;
import java.nio.file.Path;
import willowdoor.rollout.Comparison;
import willowdoor.rollout.Plan;

/** Reads the plan of a release from TOML; {@code deploy/release.toml} documents every key. */
public final class PlanFile {

  private static final double MAX_DURATION_MS = 7 * 24 * 3_600_000.0;

  private PlanFile() {
  }

  /** Reads and checks a file. */
  public static Plan read(Path file) throws IOException, ConfigException {
    return parse(file, TomlFile.readText(file));
  }

  /** Reads and checks a text; the file is only named in errors. */
  static Plan parse(Path file, String text) throws ConfigException {
    return TomlFile.parse(file, text, (root, effective) -> read(root));
  }

  private static Plan read(Section root) {
    Section c = root.table("compare");
    Comparison usual = Comparison.DEFAULT;
    double tolerated = c.number("tolerated", usual.tolerated(), 0.01, 999);
    double suspected = c.number("suspected", usual.suspected(), 0.01, 999);
    double falseAlarm = c.number("false_alarm", usual.falseAlarm(), 1e-9, 0.5);
    double clump = c.number("clump", usual.clump(), 1, 1_000);
    c.reportUnknownKeys();
    Section r = root.table("release");
    Plan.Kind of = r.choice("of", Plan.Kind.class, Plan.Kind.DOORS);
    boolean named = of == Plan.Kind.DOORS;
    String from = r.text("from", named ? null : "before");
    String to = r.text("to", named ? null : "restarted");
    java.util.List<Double> waves = r.positiveNumbers("waves");
    double bakeMs = r.number("bake_ms", 60_000, 0, MAX_DURATION_MS);
    double drainMs = r.number("drain_ms", 3_000, 0, MAX_DURATION_MS);
    double stepMs = r.number("step_ms", 120_000, 1, MAX_DURATION_MS);
    double settleMs = r.number("settle_ms", 5_000, 0, MAX_DURATION_MS);
    r.reportUnknownKeys();
    root.reportUnknownKeys();
    try {
      return new Plan(of, from, to, waves, bakeMs, drainMs, stepMs, settleMs, new Comparison(tolerated,
          suspected,
          falseAlarm, clump));
    } catch (IllegalArgumentException e) {
      root.addProblem("release", e.getMessage(), "a plan as deploy/release.toml has it");
      return null;
    }
  }
}
