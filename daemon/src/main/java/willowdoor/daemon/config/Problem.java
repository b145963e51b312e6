package willowdoor.daemon.config;

/**
 * A problem in a configuration file: the key, the line (0 if there is none), the value found and the value
 * expected.
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
