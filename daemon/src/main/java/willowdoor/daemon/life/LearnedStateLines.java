package willowdoor.daemon.life;

import java.io.IOException;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import willowdoor.policy.LearnedState;
import willowdoor.policy.LearnedState.LearnedBackend;
import willowdoor.policy.LearnedState.PendingAdd;
import willowdoor.policy.LearnedState.ClassServiceTime;

/**
 * Encodes and decodes the learned state of a process as lines of a handover: a prefix, a kind, and figures.
 * The last line contains the number of lines before it. The state is used only if it was received
 * completely, because the holder may die while it sends. Bounds: those of {@link LearnedState}, and the
 * length of
 * names is limited to {@value #MAX_NAME_LENGTH} characters so that a line fits into the limit of the
 * handover protocol.
 */
final class LearnedStateLines {

  static final String LINE_PREFIX = "learned";
  private static final int MAX_LINES = LearnedState.MAX_BACKENDS + LearnedState.MAX_CLASSES
      + LearnedState.MAX_PENDING_ADDS + 2;
  private static final int MAX_NAME_LENGTH = 300;
  private static final double MAX_FIGURE = 1e15;

  private double[] overall;
  private final List<ClassServiceTime> taken = new ArrayList<>();
  private final List<LearnedBackend> backends = new ArrayList<>();
  private final List<PendingAdd> owed = new ArrayList<>();
  private int lineCount;

  /** Encodes the state as lines, without line terminators. */
  static List<String> encode(LearnedState learned) {
    List<String> lines = new ArrayList<>();
    lines.add(formatLine("all", learned.serviceMs(), learned.slowness(), learned.knee()));
    learned.serviceTimes().stream().limit(LearnedState.MAX_CLASSES)
        .filter(x -> encodeName(x.className()).length() <= MAX_NAME_LENGTH)
        .forEach(x -> lines.add(formatLine("class", encodeName(x.className()), x.answers(), x.meanUnits(),
        x.meanMs(),
            x.meanSquaredUnits(), x.meanUnitsTimesMs())));
    learned.backends().forEach(x -> lines.add(formatLine("backend", Long.toHexString(x.id()), x.slowness(),
        x.failureRate(),
        x.lastAnswerAgoMs(), x.backoffMs(), x.backoffCount(), x.needsTrial(), x.coldTokens())));
    learned.pendingAdds().stream().filter(x -> encodeName(x.plan()).length() <= MAX_NAME_LENGTH)
        .forEach(x -> lines.add(formatLine("owed", x.customer(), encodeName(x.plan()), x.entryPoints(),
        x.window(),
            x.units())));
    lines.add(formatLine("end", lines.size()));
    return lines;
  }

  private static String formatLine(Object... words) {
    StringBuilder line = new StringBuilder(LINE_PREFIX);
    for (Object word : words) {
      line.append(' ').append(word);
    }
    return line.toString();
  }

  private static String encodeName(String name) {
    return URLEncoder.encode(name, StandardCharsets.UTF_8);
  }

  /**
   * Reads the next line.
   *
   * @return the state after its last line; null before
   * @throws IOException if the line is malformed, if lines are missing, or if there are too many lines
   */
  LearnedState read(String line) throws IOException {
    String[] words = line.split(" ");
    if (++lineCount > MAX_LINES) {
      throw new IOException("more than " + MAX_LINES + " lines of learned state");
    }
    try {
      switch (words[1]) {
        case "all" -> overall = new double[] {parseFigure(words[2]), parseFigure(words[3]),
            parseFigure(words[4])};
        case "class" -> taken.add(new ClassServiceTime(URLDecoder.decode(words[2], StandardCharsets.UTF_8),
            parseFigure(words[3]), parseFigure(words[4]), parseFigure(words[5]), parseFigure(words[6]),
            parseFigure(words[7])));
        case "backend" -> backends.add(new LearnedBackend(Long.parseUnsignedLong(words[2], 16),
            words[3].equals("NaN") ? Double.NaN : parseFigure(words[3]), parseFigure(words[4]),
            parseFigure(words[5]),
            parseFigure(words[6]), Integer.parseInt(words[7]), Boolean.parseBoolean(words[8]),
            Double.parseDouble(words[9])));
        case "owed" -> owed.add(new PendingAdd(Long.parseLong(words[2]),
            URLDecoder.decode(words[3], StandardCharsets.UTF_8), Integer.parseInt(words[4]),
            Long.parseLong(words[5]), Double.parseDouble(words[6])));
        case "end" -> {
          if (overall == null || Integer.parseInt(words[2]) != lineCount - 1) {
            throw new IOException("the learned state is not whole: " + (lineCount - 1) + " of " + words[2]
                + " lines were received");
          }
          return new LearnedState(overall[0], overall[1], overall[2], taken, backends, owed);
        }
        default -> {
          // A newer process may send further kinds of lines.
        }
      }
    } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
      throw new IOException("line " + lineCount + " of the learned state is malformed: '" + line + "'", e);
    }
    return null;
  }

  /** Parses a figure from 0 to {@link #MAX_FIGURE}. */
  private static double parseFigure(String word) {
    double value = Double.parseDouble(word);
    if (!(value >= 0 && value <= MAX_FIGURE)) {
      throw new NumberFormatException("expected a figure from 0 to " + MAX_FIGURE + ", found " + word);
    }
    return value;
  }
}
