package willowdoor.daemon.config;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;

/** Thrown for an invalid configuration; contains all problems of the file. */
public final class ConfigException extends Exception {

  private static final long serialVersionUID = 1;

  private final transient List<Problem> problems;

  public ConfigException(Path file, List<Problem> problems) {
    super(file + " has " + problems.size() + (problems.size() == 1 ? " error" : " errors") + "\n"
        + problems.stream().map(p -> "  " + p).collect(Collectors.joining("\n")));
    this.problems = List.copyOf(problems);
  }

  /** The problems in the order of their lines. */
  public List<Problem> problems() {
    return problems;
  }
}
