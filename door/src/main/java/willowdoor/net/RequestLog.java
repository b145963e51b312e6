package willowdoor.net;

import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Logs one line for each change of a request's state, with the request's id: acceptance, start and end of
 * each attempt, refusal, end, and why a client's connection was closed. Off unless the logger {@value #NAME}
 * is at level FINE ({@code deploy/request-log.properties}).
 */
final class RequestLog {

  static final String NAME = "willowdoor.requests";
  private static final Logger LOG = Logger.getLogger(NAME);

  private RequestLog() {
  }

  static boolean isEnabled() {
    return LOG.isLoggable(Level.FINE);
  }

  /**
   * Writes a line.
   *
   * @param id the request's id, or null for a connection without a request
   * @param change what happened
   * @param details alternating names and values
   */
  static void note(String id, String change, Object... details) {
    if (!isEnabled()) {
      return;
    }
    StringBuilder line = new StringBuilder(96).append("request=").append(id).append(' ').append(change);
    for (int i = 0; i + 1 < details.length; i += 2) {
      line.append(' ').append(details[i]).append('=').append(details[i + 1]);
    }
    LOG.fine(line.toString());
  }
}
