package willowdoor.daemon.config;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;
import willowdoor.agreement.OutageLimit;
import willowdoor.net.EndpointUpdate;

/**
 * One table of the file. Each look for a key checks its value, notes a problem instead of failing, and notes
 * the effective value under its full name; whatever was never looked for is unknown.
 */
final class Section {

  /** So many edits away a key is likely a slip; more, and another was meant. */
  private static final int LIKELY_EDITS = 3;

  private final String path;
  private final TomlTable table;
  private final List<Problem> problems;
  private final Map<String, Object> effective;
  private final Set<String> known = new TreeSet<>();
  private final int line;

  Section(String path, TomlTable table, int line, List<Problem> problems, Map<String, Object> effective) {
    this.path = path;
    this.table = table;
    this.line = line;
    this.problems = problems;
    this.effective = effective;
  }

  private String full(String key) {
    return path.isEmpty() ? key : path + '.' + key;
  }

  private int line(String key) {
    TomlPosition at = table == null ? null : table.inputPositionOf(List.of(key));
    return at == null ? line : at.line();
  }

  void problem(String key, Object found, String expected) {
    problems.add(new Problem(full(key), line(key), found == null ? "missing" : String.valueOf(found),
        expected));
  }

  private Object look(String key) {
    known.add(key);
    return table == null ? null : table.get(List.of(key));
  }

  private <T> T note(String key, T value) {
    if (value != null) {
      effective.put(full(key), value);
    }
    return value;
  }

  /** A text; without a default it must be there. */
  String text(String key, String absent) {
    Object found = look(key);
    if (found instanceof String s) {
      return note(key, s);
    }
    if (found != null || absent == null) {
      problem(key, found, "a text in quotes");
    }
    return note(key, absent == null ? "" : absent);
  }

  /** A number between both bounds; without a default (NaN) it must be there. */
  double number(String key, double absent, double least, double most) {
    Object found = look(key);
    if (found == null && !Double.isNaN(absent)) {
      return note(key, absent);
    }
    double value = found instanceof Number n ? n.doubleValue() : Double.NaN;
    if (value >= least && value <= most) {
      return note(key, value);
    }
    problem(key, found, "a number from " + plain(least) + " to " + plain(most));
    return note(key, least);
  }

  /** A whole number between both bounds; without a default (null) it must be there. */
  int whole(String key, Integer absent, int least, int most) {
    Object found = look(key);
    if (found == null && absent != null) {
      return note(key, absent);
    }
    if (found instanceof Long l && l >= least && l <= most) {
      return note(key, l.intValue());
    }
    problem(key, found, "a whole number from " + least + " to " + most);
    return note(key, least);
  }

  boolean flag(String key, boolean absent) {
    Object found = look(key);
    if (found != null && !(found instanceof Boolean)) {
      problem(key, found, "true or false");
    }
    return note(key, found instanceof Boolean b ? b : absent);
  }

  /** Texts, without a default one at least. */
  List<String> texts(String key, List<String> absent) {
    Object found = look(key);
    if (found instanceof TomlArray array && array.toList().stream().allMatch(String.class::isInstance)
        && (absent != null || !array.isEmpty())) {
      return note(key, array.toList().stream().map(String.class::cast).toList());
    }
    if (found != null || absent == null) {
      problem(key, found instanceof TomlArray a ? a.toList() : found, "a list of texts such as [\"a\", \"b\"]"
          + (absent == null ? ", not empty" : ""));
    }
    return note(key, absent == null ? List.of() : absent);
  }

  /** Numbers, each more than nought. */
  List<Double> weights(String key) {
    Object found = look(key);
    if (found instanceof TomlArray array && array.toList().stream().allMatch(
        n -> n instanceof Number w && w.doubleValue() > 0)) {
      return note(key, array.toList().stream().map(n -> ((Number) n).doubleValue()).toList());
    }
    if (found != null) {
      problem(key, found instanceof TomlArray a ? a.toList() : found, "a list of numbers over 0");
    }
    return note(key, List.of());
  }

  /** One of an enum's names, in lower case. */
  <E extends Enum<E>> E choice(String key, Class<E> type, E absent) {
    Object found = look(key);
    List<String> names = new ArrayList<>();
    for (E e : type.getEnumConstants()) {
      names.add(e.name().toLowerCase(Locale.ROOT));
      if (found instanceof String s && names.get(names.size() - 1).equals(s)) {
        return note(key, e);
      }
    }
    if (found != null || absent == null) {
      problem(key, found, "one of " + names);
    }
    return note(key, absent == null ? type.getEnumConstants()[0] : absent);
  }

  /** A numeric address and port; names are not looked up. */
  InetSocketAddress address(String key) {
    Object found = look(key);
    InetSocketAddress address = found instanceof String s ? EndpointUpdate.parseAddress(s) : null;
    if (address == null) {
      problem(key, found, "an address and port such as \"127.0.0.1:7070\" or \"[::1]:7070\"; no name");
    }
    return note(key, address);
  }

  /** Numeric addresses and ports; none where the key is missing. */
  List<InetSocketAddress> addresses(String key) {
    List<String> texts = texts(key, List.of());
    List<InetSocketAddress> all = texts.stream().map(EndpointUpdate::parseAddress).toList();
    if (all.contains(null)) {
      problem(key, texts, "addresses and ports such as [\"127.0.0.1:7101\"]; no names");
      return List.of();
    }
    return all;
  }

  /** How many: a whole number, or a share such as "10%". */
  OutageLimit most(String key, OutageLimit absent) {
    Object found = look(key);
    if (found instanceof Long l && l >= 0 && l <= 1_000_000) {
      return note(key, OutageLimit.of(l.intValue()));
    }
    if (found instanceof String s && s.matches("[0-9]{1,3}%") && Integer.parseInt(s.substring(0, s.length()
        - 1)) <= 100) {
      return note(key, OutageLimit.ofShare(Integer.parseInt(s.substring(0, s.length() - 1)) / 100.0));
    }
    if (found != null || absent == null) {
      problem(key, found, "a whole number from 0, or a share from \"0%\" to \"100%\"");
    }
    return note(key, absent == null ? OutageLimit.of(0) : absent);
  }

  /** A table in this one; one that is missing gives its defaults. */
  Section table(String key) {
    Object found = look(key);
    if (found != null && !(found instanceof TomlTable)) {
      problem(key, found, "a table [" + full(key) + "]");
    }
    return new Section(full(key), found instanceof TomlTable t ? t : null, line(key), problems, effective);
  }

  /** The tables of an array of tables, at most so many. */
  List<Section> tables(String key, int least, int most) {
    Object found = look(key);
    List<Section> sections = new ArrayList<>();
    if (found instanceof TomlArray array && holdsTables(array)) {
      for (int i = 0; i < Math.min(array.size(), most); i++) {
        sections.add(new Section(full(key) + '[' + (i + 1) + ']', array.getTable(i),
            array.inputPositionOf(i).line(), problems, effective));
      }
      if (array.size() > most) {
        problem(key, array.size() + " tables", "at most " + most);
      }
    } else if (found != null && !(found instanceof TomlArray array && array.isEmpty())) {
      problem(key, found, "tables [[" + full(key) + "]]");
    }
    if (sections.size() < least) {
      problem(key, found == null ? null : sections.size() + " tables", "at least " + least + " table [["
          + full(key) + "]]");
    }
    return sections;
  }

  private static boolean holdsTables(TomlArray array) {
    return !array.isEmpty() && array.toList().stream().allMatch(TomlTable.class::isInstance);
  }

  /** Notes every key of this table that was never looked for. */
  void end() {
    if (table == null) {
      return;
    }
    for (String key : table.keySet()) {
      if (!known.contains(key)) {
        String nearest = known.stream().min((a, b) -> Integer.compare(edits(a, key), edits(b, key)))
            .orElse("");
        problems.add(new Problem(full(key), line(key), "unknown key", edits(nearest, key) <= LIKELY_EDITS
            ? "did you mean " + full(nearest) + "?" : "one of " + known));
      }
    }
  }

  /** Levenshtein's distance, by rows (Wagner and Fischer, 1974). */
  static int edits(String a, String b) {
    int[] row = new int[b.length() + 1];
    for (int j = 0; j <= b.length(); j++) {
      row[j] = j;
    }
    for (int i = 1; i <= a.length(); i++) {
      int diagonal = row[0];
      row[0] = i;
      for (int j = 1; j <= b.length(); j++) {
        int above = row[j];
        int change = a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1;
        row[j] = Math.min(diagonal + change, 1 + Math.min(above, row[j - 1]));
        diagonal = above;
      }
    }
    return row[b.length()];
  }

  private static String plain(double value) {
    return value == Math.rint(value) && Math.abs(value) < 1e15 ? Long.toString((long) value)
        : Double.toString(value);
  }

  static Map<String, Object> newEffective() {
    return new LinkedHashMap<>();
  }
}
