package willowdoor.net;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import willowdoor.membership.Out;

/**
 * What a process tells the one that is to replace it, as lines of text: a version, one fact a line, and an
 * end that shows it whole. Bounded by {@link #MAX_LINES}; anything else is an IOException that names the
 * line.
 *
 * @param clientsSentAway operators have sent the clients away
 * @param backendsOut the backends that operators have taken out
 */
record FrontDoorState(boolean clientsSentAway, List<Out> backendsOut) {

  private static final String HEADER = "front-door-state 1";
  private static final String END_MARK = "end";
  static final int MAX_LINES = 20_000;

  String format() {
    StringBuilder text = new StringBuilder(HEADER).append('\n');
    text.append("sent-away ").append(clientsSentAway).append('\n');
    for (Out backend : backendsOut) {
      text.append("out ").append(Long.toHexString(backend.id())).append(' ')
          .append(String.format(Locale.ROOT, "%.0f", backend.sinceMs())).append('\n');
    }
    return text.append(END_MARK).toString();
  }

  static FrontDoorState parse(String text) throws IOException {
    List<String> lines = text.lines().limit(MAX_LINES + 1L).toList();
    if (lines.size() > MAX_LINES) {
      throw new IOException("state of more than " + MAX_LINES + " lines");
    }
    if (lines.size() < 2 || !lines.get(0).equals(HEADER)) {
      throw new IOException("state: expected '" + HEADER + "' first");
    }
    if (!lines.get(lines.size() - 1).equals(END_MARK)) {
      throw new IOException("state: it is not whole, as no '" + END_MARK + "' is last");
    }
    boolean clientsSentAway = false;
    List<Out> backendsOut = new ArrayList<>();
    for (int i = 1; i < lines.size() - 1; i++) {
      String[] words = lines.get(i).split(" ");
      try {
        switch (words[0]) {
          case "sent-away" -> clientsSentAway = Boolean.parseBoolean(words[1]);
          case "out" -> backendsOut.add(new Out(Long.parseLong(words[1], 16), Double.parseDouble(words[2])));
          default -> {
            // A newer process may tell more.
          }
        }
      } catch (NumberFormatException | ArrayIndexOutOfBoundsException e) {
        throw new IOException("state, line " + (i + 1) + ": '" + lines.get(i) + "' is not understood", e);
      }
    }
    return new FrontDoorState(clientsSentAway, backendsOut);
  }
}
