package willowdoor.management;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/** What an operator can have a front door do. All orders may be repeated: each names a state, not a step. */
public sealed interface ManagementCommand {

  /** The target of the call that orders it. */
  default String target() {
    if (this instanceof Disable o) {
      return "/backends/disable?member=" + URLEncoder.encode(o.member(), StandardCharsets.UTF_8);
    } else if (this instanceof Enable o) {
      return "/backends/enable?member=" + URLEncoder.encode(o.member(), StandardCharsets.UTF_8);
    }
    return this instanceof Drain ? "/drain" : "/undrain";
  }

  /** Take a backend out until it is put back; whatever is told of it meanwhile. */
  record Disable(String member) implements ManagementCommand { }

  /** Put a backend back that was taken out, however often it was. */
  record Enable(String member) implements ManagementCommand { }

  /** Send clients away: say so at {@code /up}, and end their connections. */
  record Drain() implements ManagementCommand { }

  /** Take clients again. */
  record Undrain() implements ManagementCommand { }
}
