package willowdoor.daemon.config;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;

/** A configuration that can't be used, with all that is wrong with it at once. */
public final class ConfigException extends Exception {

  private static final long serialVersionUID = 1;

  private final transient List<Problem> problems;

  public ConfigException(Path file, List<Problem> problems) {
    super(file + " has " + problems.size() + (problems.size() == 1 ? " error" : " errors") + "\n"
        + problems.stream().map(p -> "  " + p).collect(Collectors.joining("\n")));
    this.problems = List.copyOf(problems);
  }

  /** In the order of their lines. */
  public List<Problem> problems() {
    return problems;
  }
}
