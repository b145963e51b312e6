package willowdoor.rollout;

import java.util.List;

/**
 * The plan of a release.
 *
 * @param of whether doors or backends are released
 * @param from the version before the release, which a rollback returns to
 * @param to the version to be released
 * @param waves the fraction of all doors that have the new version at the end of each wave; increasing, and
 *     the last is 1. Each wave has at least one door more than the one before
 * @param bakeMs how long the released doors are compared with the others after each wave, once
 *     {@code settleMs} has passed
 * @param drainMs after this time a door is replaced even if clients are still connected; none of their
 *     requests is lost, as the successor has the same socket
 * @param stepMs the release halts if a door is not back, or a permit not granted, within this time
 * @param settleMs a door's results count from this time after it became ready, as a new process is slow at
 *     first
 */
public record Plan(Kind of, String from, String to, List<Double> waves, double bakeMs, double drainMs,
    double stepMs,
    double settleMs, Comparison comparison) {

  /** What is released. */
  public enum Kind {
    /** Doors; each starts a process of the other version as its successor. */
    DOORS,
    /** Backends; an operator restarts each one once nothing is sent to it, which discovery then reports. */
    BACKENDS
  }

  private static final int MAX_WAVES = 100;
  private static final int MAX_VERSION_LENGTH = 64;
  private static final double MAX_DURATION_MS = 7 * 24 * 3_600_000.0;

  /** Copies the list, and rejects an invalid plan with a message that says what is expected. */
  public Plan {
    waves = List.copyOf(waves);
    checkVersion(from);
    checkVersion(to);
    if (from.equals(to)) {
      throw new IllegalArgumentException("from and to are both " + from + " (expected: two versions)");
    }
    if (waves.isEmpty() || waves.size() > MAX_WAVES || waves.get(waves.size() - 1) != 1) {
      throw new IllegalArgumentException("waves " + waves + " (expected: increasing fractions of all doors, "
          + MAX_WAVES
          + " at most, the last of them 1)");
    }
    double previous = 0;
    for (double wave : waves) {
      if (!(wave > previous && wave <= 1)) {
        throw new IllegalArgumentException("waves " + waves
            + " (expected: each greater than the one before)");
      }
      previous = wave;
    }
    checkRange("bake_ms", bakeMs, 0);
    checkRange("drain_ms", drainMs, 0);
    checkRange("step_ms", stepMs, 1);
    checkRange("settle_ms", settleMs, 0);
  }

  private static void checkRange(String name, double value, double min) {
    if (!(value >= min && value <= MAX_DURATION_MS)) {
      throw new IllegalArgumentException(name + " " + value + " (expected: from " + min + " to "
          + MAX_DURATION_MS + ")");
    }
  }

  /** Checks a version's name; as it becomes part of a command line, it must not be a path or an option. */
  public static void checkVersion(String name) {
    boolean good = !name.isEmpty() && name.length() <= MAX_VERSION_LENGTH && alphanumeric(name.charAt(0))
        && name.chars().allMatch(c -> alphanumeric((char) c) || "._+-".indexOf(c) >= 0);
    if (!good) {
      throw new IllegalArgumentException("version \"" + name + "\" (expected: 1 to " + MAX_VERSION_LENGTH
          + " letters, digits, '.', '_', '+' and '-', the first a letter or digit)");
    }
  }

  private static boolean alphanumeric(char c) {
    return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9';
  }
}
