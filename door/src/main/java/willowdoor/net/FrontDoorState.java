package willowdoor.net;

import java.io.IOException;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import willowdoor.membership.DisabledBackend;

/**
 * The state that a process hands over to its replacement, as lines of text: a version, one fact per line, and
 * an end line that shows that the text is complete. The number of lines is at most {@link #MAX_LINES}; any
 * other text is rejected by an IOException that names the fault.
 *
 * @param clientsSentAway whether operators have sent the clients away
 * @param backendsOut the backends that operators have taken out of use
 * @param processId identity of the process that tells the state; empty from a version that tells none
 * @param begunIds ids of requests that have begun there and must not run twice, at most {@link #MAX_IDS}
 */
record FrontDoorState(boolean clientsSentAway, List<DisabledBackend> backendsOut, String processId,
    List<String> begunIds) {

  private static final String HEADER = "front-door-state 1";
  private static final String END_MARK = "end";
  static final int MAX_LINES = 20_000;
  /** Of more ids, the newest are told. */
  static final int MAX_IDS = 5_000;

  String format() {
    StringBuilder text = new StringBuilder(HEADER).append('\n');
    text.append("sent-away ").append(clientsSentAway).append('\n');
    for (DisabledBackend backend : backendsOut) {
      text.append("out ").append(Long.toHexString(backend.id())).append(' ')
          .append(String.format(Locale.ROOT, "%.0f", backend.sinceMs())).append('\n');
    }
    if (!processId.isEmpty()) {
      text.append("process ").append(processId).append('\n');
    }
    for (String id : begunIds.subList(Math.max(0, begunIds.size() - MAX_IDS), begunIds.size())) {
      text.append("begun ").append(URLEncoder.encode(id, StandardCharsets.UTF_8)).append('\n');
    }
    return text.append(END_MARK).toString();
  }

  static FrontDoorState parse(String text) throws IOException {
    List<String> lines = text.lines().limit(MAX_LINES + 1L).toList();
    if (lines.size() > MAX_LINES) {
      throw new IOException("state of more than " + MAX_LINES + " lines");
    }
    if (lines.size() < 2 || !lines.get(0).equals(HEADER)) {
      throw new IOException("state: expected a first line '" + HEADER + "'");
    }
    if (!lines.get(lines.size() - 1).equals(END_MARK)) {
      throw new IOException("state: incomplete, as the last line is not '" + END_MARK + "'");
    }
    boolean clientsSentAway = false;
    List<DisabledBackend> backendsOut = new ArrayList<>();
    String processId = "";
    List<String> begunIds = new ArrayList<>();
    for (int i = 1; i < lines.size() - 1; i++) {
      String[] words = lines.get(i).split(" ");
      try {
        switch (words[0]) {
          case "sent-away" -> clientsSentAway = Boolean.parseBoolean(words[1]);
          case "out" ->
              backendsOut.add(
                  new DisabledBackend(Long.parseLong(words[1], 16), Double.parseDouble(words[2])));
          case "process" -> processId = words[1];
          case "begun" -> begunIds.add(URLDecoder.decode(words[1], StandardCharsets.UTF_8));
          default -> {
            // Lines of other kinds, which a newer version may write, are skipped.
          }
        }
      } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException e) {
        throw new IOException("state, line " + (i + 1) + ": '" + lines.get(i) + "' cannot be parsed", e);
      }
    }
    return new FrontDoorState(clientsSentAway, backendsOut, processId, begunIds);
  }
}
