package willowdoor.daemon.life;

import java.io.IOException;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import willowdoor.policy.Learned;
import willowdoor.policy.Learned.Known;
import willowdoor.policy.Learned.Owed;
import willowdoor.policy.Learned.Taken;

/**
 * What a successor is told of what was learned, as lines of a handover: a word, a kind, and figures; the last
 * line says how many there were. Nothing of it counts unless it is whole: a holder may die in the middle.
 * Bounds: those of {@link Learned}, and a line is no longer than a handover's.
 */
final class LearnedLines {

  static final String WORD = "learned";
  private static final int MOST_LINES = Learned.MOST_BACKENDS + Learned.MOST_CLASSES + Learned.MOST_OWED + 2;
  private static final int LONGEST_NAME = 300;
  private static final double LARGEST = 1e15;

  private double[] all;
  private final List<Taken> taken = new ArrayList<>();
  private final List<Known> backends = new ArrayList<>();
  private final List<Owed> owed = new ArrayList<>();
  private int lines;

  /** As lines without their ends. */
  static List<String> of(Learned told) {
    List<String> all = new ArrayList<>();
    all.add(line("all", told.serviceMs(), told.slow(), told.knee()));
    told.taken().stream().limit(Learned.MOST_CLASSES)
        .filter(x -> name(x.className()).length() <= LONGEST_NAME)
        .forEach(x -> all.add(line("class", name(x.className()), x.count(), x.units(), x.tookMs(),
            x.units2(), x.unitsTook())));
    told.backends().forEach(x -> all.add(line("backend", Long.toHexString(x.id()), x.slow(), x.failing(),
        x.agoMs(), x.restMs(), x.rests(), x.trial(), x.coldTokens())));
    told.owed().stream().filter(x -> name(x.plan()).length() <= LONGEST_NAME)
        .forEach(x -> all.add(line("owed", x.customer(), name(x.plan()), x.gateways(), x.window(),
            x.units())));
    all.add(line("end", all.size()));
    return all;
  }

  private static String line(Object... words) {
    StringBuilder line = new StringBuilder(WORD);
    for (Object word : words) {
      line.append(' ').append(word);
    }
    return line.toString();
  }

  private static String name(String of) {
    return URLEncoder.encode(of, StandardCharsets.UTF_8);
  }

  /**
   * Takes the next line.
   *
   * @return all of it once it is whole; null before
   * @throws IOException naming a line that can't be, or that there are too many
   */
  Learned next(String line) throws IOException {
    String[] words = line.split(" ");
    if (++lines > MOST_LINES) {
      throw new IOException("more than " + MOST_LINES + " lines of what was learned");
    }
    try {
      switch (words[1]) {
        case "all" -> all = new double[] {figure(words[2]), figure(words[3]), figure(words[4])};
        case "class" -> taken.add(new Taken(URLDecoder.decode(words[2], StandardCharsets.UTF_8),
            figure(words[3]), figure(words[4]), figure(words[5]), figure(words[6]), figure(words[7])));
        case "backend" -> backends.add(new Known(Long.parseUnsignedLong(words[2], 16),
            words[3].equals("NaN") ? Double.NaN : figure(words[3]), figure(words[4]), figure(words[5]),
            figure(words[6]), Integer.parseInt(words[7]), Boolean.parseBoolean(words[8]),
            Double.parseDouble(words[9])));
        case "owed" -> owed.add(new Owed(Long.parseLong(words[2]),
            URLDecoder.decode(words[3], StandardCharsets.UTF_8), Integer.parseInt(words[4]),
            Long.parseLong(words[5]), Double.parseDouble(words[6])));
        case "end" -> {
          if (all == null || Integer.parseInt(words[2]) != lines - 1) {
            throw new IOException("what was learned is not whole: " + (lines - 1) + " of " + words[2]
                + " lines came");
          }
          return new Learned(all[0], all[1], all[2], taken, backends, owed);
        }
        default -> {
          // A newer process may tell more.
        }
      }
    } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
      throw new IOException("line " + lines + " of what was learned is not understood: '" + line + "'", e);
    }
    return null;
  }

  /** None of these figures is below 0 or without bound. */
  private static double figure(String word) {
    double value = Double.parseDouble(word);
    if (!(value >= 0 && value <= LARGEST)) {
      throw new NumberFormatException("expected a figure from 0 to " + LARGEST + ", found " + word);
    }
    return value;
  }
}
