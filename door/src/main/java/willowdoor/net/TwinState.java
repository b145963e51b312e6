package willowdoor.net;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import willowdoor.membership.Out;

/**
 * What a process tells the one that is to replace it, as lines of text: a version, one fact a line, and an
 * end that shows it whole. Bounded by {@link #MOST_LINES}; anything else is an IOException that names the
 * line.
 *
 * @param sentAway operators have sent the clients away
 * @param out the backends that operators have taken out
 */
record TwinState(boolean sentAway, List<Out> out) {

  private static final String FIRST = "front-door-state 1";
  private static final String LAST = "end";
  static final int MOST_LINES = 20_000;

  String text() {
    StringBuilder text = new StringBuilder(FIRST).append('\n');
    text.append("sent-away ").append(sentAway).append('\n');
    for (Out o : out) {
      text.append("out ").append(Long.toHexString(o.id())).append(' ')
          .append(String.format(Locale.ROOT, "%.0f", o.sinceMs())).append('\n');
    }
    return text.append(LAST).toString();
  }

  static TwinState read(String text) throws IOException {
    List<String> lines = text.lines().limit(MOST_LINES + 1L).toList();
    if (lines.size() > MOST_LINES) {
      throw new IOException("state of more than " + MOST_LINES + " lines");
    }
    if (lines.size() < 2 || !lines.get(0).equals(FIRST)) {
      throw new IOException("state: expected '" + FIRST + "' first");
    }
    if (!lines.get(lines.size() - 1).equals(LAST)) {
      throw new IOException("state: it is not whole, as no '" + LAST + "' is last");
    }
    boolean sentAway = false;
    List<Out> out = new ArrayList<>();
    for (int i = 1; i < lines.size() - 1; i++) {
      String[] words = lines.get(i).split(" ");
      try {
        switch (words[0]) {
          case "sent-away" -> sentAway = Boolean.parseBoolean(words[1]);
          case "out" -> out.add(new Out(Long.parseLong(words[1], 16), Double.parseDouble(words[2])));
          default -> {
            // A newer process may tell more.
          }
        }
      } catch (NumberFormatException | ArrayIndexOutOfBoundsException e) {
        throw new IOException("state, line " + (i + 1) + ": '" + lines.get(i) + "' is not understood", e);
      }
    }
    return new TwinState(sentAway, out);
  }
}
