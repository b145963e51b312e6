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
 * A table of a configuration file. Each lookup of a key checks its value, records a problem instead of
 * failing, and records the effective value under the full name of the key. Keys that were never looked up
 * are reported as unknown.
 */
final class Section {

  /** Greatest edit distance at which an unknown key is taken for a misspelling of a known one. */
  private static final int MAX_TYPO_EDITS = 3;

  private final String path;
  private final TomlTable table;
  private final List<Problem> problems;
  private final Map<String, Object> effective;
  private final Set<String> knownKeys = new TreeSet<>();
  private final int line;

  Section(String path, TomlTable table, int line, List<Problem> problems, Map<String, Object> effective) {
    this.path = path;
    this.table = table;
    this.line = line;
    this.problems = problems;
    this.effective = effective;
  }

  private String fullKey(String key) {
    return path.isEmpty() ? key : path + '.' + key;
  }

  private int line(String key) {
    TomlPosition at = table == null ? null : table.inputPositionOf(List.of(key));
    return at == null ? line : at.line();
  }

  void addProblem(String key, Object found, String expected) {
    problems.add(new Problem(fullKey(key), line(key), found == null ? "missing" : String.valueOf(found),
        expected));
  }

  private Object lookUp(String key) {
    knownKeys.add(key);
    return table == null ? null : table.get(List.of(key));
  }

  private <T> T recordEffective(String key, T value) {
    if (value != null) {
      effective.put(fullKey(key), value);
    }
    return value;
  }

  /** A text; required if the default is null. */
  String text(String key, String defaultValue) {
    Object found = lookUp(key);
    if (found instanceof String s) {
      return recordEffective(key, s);
    }
    if (found != null || defaultValue == null) {
      addProblem(key, found, "a text in quotes");
    }
    return recordEffective(key, defaultValue == null ? "" : defaultValue);
  }

  /** A number from {@code min} to {@code max}; required if the default is NaN. */
  double number(String key, double defaultValue, double min, double max) {
    Object found = lookUp(key);
    if (found == null && !Double.isNaN(defaultValue)) {
      return recordEffective(key, defaultValue);
    }
    double value = found instanceof Number n ? n.doubleValue() : Double.NaN;
    if (value >= min && value <= max) {
      return recordEffective(key, value);
    }
    addProblem(key, found, "a number from " + formatNumber(min) + " to " + formatNumber(max));
    return recordEffective(key, min);
  }

  /** A whole number from {@code min} to {@code max}; required if the default is null. */
  int wholeNumber(String key, Integer defaultValue, int min, int max) {
    Object found = lookUp(key);
    if (found == null && defaultValue != null) {
      return recordEffective(key, defaultValue);
    }
    if (found instanceof Long l && l >= min && l <= max) {
      return recordEffective(key, l.intValue());
    }
    addProblem(key, found, "a whole number from " + min + " to " + max);
    return recordEffective(key, min);
  }

  boolean flag(String key, boolean defaultValue) {
    Object found = lookUp(key);
    if (found != null && !(found instanceof Boolean)) {
      addProblem(key, found, "true or false");
    }
    return recordEffective(key, found instanceof Boolean b ? b : defaultValue);
  }

  /** A list of texts; at least one is required if the default is null. */
  List<String> texts(String key, List<String> defaultValue) {
    Object found = lookUp(key);
    if (found instanceof TomlArray array && array.toList().stream().allMatch(String.class::isInstance)
        && (defaultValue != null || !array.isEmpty())) {
      return recordEffective(key, array.toList().stream().map(String.class::cast).toList());
    }
    if (found != null || defaultValue == null) {
      addProblem(key, found instanceof TomlArray a ? a.toList() : found,
          "a list of texts such as [\"a\", \"b\"]"
          + (defaultValue == null ? ", not empty" : ""));
    }
    return recordEffective(key, defaultValue == null ? List.of() : defaultValue);
  }

  /** A list of numbers greater than 0; empty if the key is missing. */
  List<Double> positiveNumbers(String key) {
    Object found = lookUp(key);
    if (found instanceof TomlArray array && array.toList().stream().allMatch(
        n -> n instanceof Number w && w.doubleValue() > 0)) {
      return recordEffective(key, array.toList().stream().map(n -> ((Number) n).doubleValue()).toList());
    }
    if (found != null) {
      addProblem(key, found instanceof TomlArray a ? a.toList() : found, "a list of numbers over 0");
    }
    return recordEffective(key, List.of());
  }

  /** The name of an enum constant in lower case; required if the default is null. */
  <E extends Enum<E>> E choice(String key, Class<E> type, E defaultValue) {
    Object found = lookUp(key);
    List<String> names = new ArrayList<>();
    for (E e : type.getEnumConstants()) {
      names.add(e.name().toLowerCase(Locale.ROOT));
      if (found instanceof String s && names.get(names.size() - 1).equals(s)) {
        return recordEffective(key, e);
      }
    }
    if (found != null || defaultValue == null) {
      addProblem(key, found, "one of " + names);
    }
    return recordEffective(key, defaultValue == null ? type.getEnumConstants()[0] : defaultValue);
  }

  /** A numeric address and port, required; host names are not resolved. */
  InetSocketAddress address(String key) {
    Object found = lookUp(key);
    InetSocketAddress address = found instanceof String s ? EndpointUpdate.parseAddress(s) : null;
    if (address == null) {
      addProblem(key, found, "an address and port such as \"127.0.0.1:7070\" or \"[::1]:7070\"; no name");
    }
    return recordEffective(key, address);
  }

  /** A list of numeric addresses and ports; empty if the key is missing. */
  List<InetSocketAddress> addresses(String key) {
    List<String> texts = texts(key, List.of());
    List<InetSocketAddress> all = texts.stream().map(EndpointUpdate::parseAddress).toList();
    if (all.contains(null)) {
      addProblem(key, texts, "addresses and ports such as [\"127.0.0.1:7101\"]; no names");
      return List.of();
    }
    return all;
  }

  /** A count, or a share such as "10%"; required if the default is null. */
  OutageLimit countOrShare(String key, OutageLimit defaultValue) {
    Object found = lookUp(key);
    if (found instanceof Long l && l >= 0 && l <= 1_000_000) {
      return recordEffective(key, OutageLimit.of(l.intValue()));
    }
    if (found instanceof String s && s.matches("[0-9]{1,3}%") && Integer.parseInt(s.substring(0, s.length()
        - 1)) <= 100) {
      return recordEffective(key,
          OutageLimit.ofShare(Integer.parseInt(s.substring(0, s.length() - 1)) / 100.0));
    }
    if (found != null || defaultValue == null) {
      addProblem(key, found, "a whole number from 0, or a share from \"0%\" to \"100%\"");
    }
    return recordEffective(key, defaultValue == null ? OutageLimit.of(0) : defaultValue);
  }

  /** A table within this one; a missing table behaves as an empty one. */
  Section table(String key) {
    Object found = lookUp(key);
    if (found != null && !(found instanceof TomlTable)) {
      addProblem(key, found, "a table [" + fullKey(key) + "]");
    }
    return new Section(fullKey(key), found instanceof TomlTable t ? t : null, line(key), problems, effective);
  }

  /** The tables of an array of tables; their number must be from {@code min} to {@code max}. */
  List<Section> tables(String key, int min, int max) {
    Object found = lookUp(key);
    List<Section> sections = new ArrayList<>();
    if (found instanceof TomlArray array && holdsTables(array)) {
      for (int i = 0; i < Math.min(array.size(), max); i++) {
        sections.add(new Section(fullKey(key) + '[' + (i + 1) + ']', array.getTable(i),
            array.inputPositionOf(i).line(), problems, effective));
      }
      if (array.size() > max) {
        addProblem(key, array.size() + " tables", "at most " + max);
      }
    } else if (found != null && !(found instanceof TomlArray array && array.isEmpty())) {
      addProblem(key, found, "tables [[" + fullKey(key) + "]]");
    }
    if (sections.size() < min) {
      addProblem(key, found == null ? null : sections.size() + " tables", "at least " + min + " table [["
          + fullKey(key) + "]]");
    }
    return sections;
  }

  private static boolean holdsTables(TomlArray array) {
    return !array.isEmpty() && array.toList().stream().allMatch(TomlTable.class::isInstance);
  }

  /** Records a problem for every key of this table that was never looked up. */
  void reportUnknownKeys() {
    if (table == null) {
      return;
    }
    for (String key : table.keySet()) {
      if (!knownKeys.contains(key)) {
        String nearest = knownKeys.stream().min(
            (a, b) -> Integer.compare(editDistance(a, key), editDistance(b, key)))
            .orElse("");
        problems.add(new Problem(fullKey(key), line(key), "unknown key",
            editDistance(nearest, key) <= MAX_TYPO_EDITS
            ? "did you mean " + fullKey(nearest) + "?" : "one of " + knownKeys));
      }
    }
  }

  /** Levenshtein distance, computed row by row (Wagner and Fischer, 1974). */
  static int editDistance(String a, String b) {
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

  private static String formatNumber(double value) {
    return value == Math.rint(value) && Math.abs(value) < 1e15 ? Long.toString((long) value)
        : Double.toString(value);
  }

  static Map<String, Object> newEffective() {
    return new LinkedHashMap<>();
  }
}
