package willowdoor.daemon.config;

/**
 * One thing wrong with a configuration file: the key, the line (0 where there is none), the value found and
 * what was expected.
 */
public record Problem(String key, int line, String found, String expected) implements Comparable<Problem> {

  @Override
  public int compareTo(Problem other) {
    return Integer.compare(line, other.line);
  }

  @Override
  public String toString() {
    return (line > 0 ? "line " + line + ": " : "") + key + ": " + found + " (expected: " + expected + ")";
  }
}
