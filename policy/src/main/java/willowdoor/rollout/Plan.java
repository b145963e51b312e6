package willowdoor.rollout;

import java.util.List;

/**
 * What a release is to do.
 *
 * @param of what is released
 * @param from the version that doors have, and go back to
 * @param to the version that they get
 * @param waves how many doors have it at each wave's end, as growing parts of all; at least one more door
 * than     before, and the last part is 1
 * @param bakeMs after each wave and its doors' settling, in which these are compared with the others
 * @param drainMs a door whose clients don't leave is replaced after this all the same; none of their requests
 *     is lost by it, as its successor has the same socket
 * @param stepMs a door that isn't back after this, or a permit that isn't had, halts the release
 * @param settleMs a door's figures count so long after it is ready, as a new process is slow at first
 */
public record Plan(Kind of, String from, String to, List<Double> waves, double bakeMs, double drainMs,
    double stepMs,
    double settleMs, Comparison comparison) {

  /** What is released. */
  public enum Kind {
    /** Doors, each of which starts another version in its place. */
    DOORS,
    /** Backends, each of which somebody restarts once nothing is sent to it; discovery tells that it was. */
    BACKENDS
  }

  private static final int MAX_WAVES = 100;
  private static final int MAX_VERSION_LENGTH = 64;
  private static final double MAX_DURATION_MS = 7 * 24 * 3_600_000.0;

  /** Keeps a copy, and refuses what is no plan, in words. */
  public Plan {
    waves = List.copyOf(waves);
    checkVersion(from);
    checkVersion(to);
    if (from.equals(to)) {
      throw new IllegalArgumentException("from and to are both " + from + " (expected: two versions)");
    }
    if (waves.isEmpty() || waves.size() > MAX_WAVES || waves.get(waves.size() - 1) != 1) {
      throw new IllegalArgumentException("waves " + waves + " (expected: growing parts of all doors, "
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
          + MAX_DURATION_MS
          + ")");
    }
  }

  /** A version's name goes into a command, so it can be no path and no option. */
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
