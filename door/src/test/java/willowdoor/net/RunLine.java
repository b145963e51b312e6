package willowdoor.net;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The options of the JVM in the run line of the deploy file. */
final class RunLine {

  private RunLine() {
  }

  /** The options that do not need what the platform's build leaves behind. */
  static List<String> jvmOptions() throws IOException {
    String file = Files.readString(Path.of("../deploy/balancer.toml"));
    Matcher run = Pattern.compile("(?m)^run = \"exec java (.*) -jar ").matcher(file);
    if (!run.find()) {
      throw new IOException("the deploy file has no run line of the known form");
    }
    return Arrays.stream(run.group(1).split(" "))
        .filter(option -> !option.startsWith("-XX:SharedArchiveFile") && !option.contains("$TMPDIR"))
        .toList();
  }
}
