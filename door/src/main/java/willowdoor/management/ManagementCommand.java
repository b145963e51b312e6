package willowdoor.management;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/** A command of an operator to a front door. All commands may be repeated: each names a state, not a step. */
public sealed interface ManagementCommand {

  /** The request target of the call that carries this command. */
  default String target() {
    if (this instanceof Disable o) {
      return "/backends/disable?member=" + URLEncoder.encode(o.member(), StandardCharsets.UTF_8);
    } else if (this instanceof Enable o) {
      return "/backends/enable?member=" + URLEncoder.encode(o.member(), StandardCharsets.UTF_8);
    }
    return this instanceof Drain ? "/drain" : "/undrain";
  }

  /** Disables a backend until it is enabled again, whatever discovery reports of it meanwhile. */
  record Disable(String member) implements ManagementCommand { }

  /** Enables a disabled backend, however often it was disabled. */
  record Enable(String member) implements ManagementCommand { }

  /** Drains the clients: {@code /up} is answered with 503, and their connections are closed. */
  record Drain() implements ManagementCommand { }

  /** Admits clients again. */
  record Undrain() implements ManagementCommand { }
}
