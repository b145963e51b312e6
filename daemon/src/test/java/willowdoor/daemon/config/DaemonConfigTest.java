package willowdoor.daemon.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import willowdoor.policy.GatewayApi.Repeat;

class DaemonConfigTest {

  private static final Path FILE = Path.of("willowdoor.toml");
  private static final Path SHIPPED = Path.of("..", "deploy", "willowdoor.toml");
  private static final String ADDRESS =
      "an address and port such as \"127.0.0.1:7070\" or \"[::1]:7070\"; no name";
  private static final String GOOD = """
      [instance]
      name = "n1"
      listen = "127.0.0.1:7070"
      [discovery]
      address = "127.0.0.1:8500"
      [counter]
      address = "[::1]:6400"
      [[class]]
      name = "buy"
      aim_ms = 1200
      deadline_ms = 4000
      repeat = "keyed"
      repeat_window_ms = 4000
      [[plan]]
      name = "basic"
      units_per_s = 4.5
      burst_units = 20
      """;

  private static List<String> errors(String text) {
    return assertThrows(ConfigException.class, () -> DaemonConfig.parse(FILE, text)).problems().stream()
        .map(Problem::toString).toList();
  }

  @Test
  void readsAFileAndFillsInDefaults() throws Exception {
    DaemonConfig c = DaemonConfig.parse(FILE, GOOD);
    assertEquals("n1", c.instance().name());
    assertEquals(7070, c.instance().listen().getPort());
    assertEquals(6400, c.counter().address().getPort());
    assertEquals(50, c.counter().callLimitMs());
    assertEquals(Repeat.KEYED, c.settings().classes().get(0).repeat());
    assertEquals(4.5, c.settings().plans().get(0).rate());
    assertEquals(3_300, c.end().answerMs());
    assertEquals(1_024, c.effective().get("limits.descriptors"));
  }

  @Test
  void theValkeyStoreHasItsOwnKeys(@TempDir Path folder) throws Exception {
    assertEquals(null, DaemonConfig.parse(FILE, GOOD).counter().valkey());
    String address = "address = \"[::1]:6400\"\n";
    Path password = Files.writeString(folder.resolve("password"), "secret\n");
    DaemonConfig c = DaemonConfig.parse(FILE, GOOD.replace(address, address
        + "store = \"valkey\"\nuser = \"door\"\nprefix = \"p1\"\npassword_file = \"" + password + "\"\n"));
    assertEquals("secret", c.counter().valkey().password());
    assertEquals("door", c.counter().valkey().user());
    assertEquals("p1", c.counter().valkey().prefix());
    assertTrue(c.effective().values().stream().noneMatch(v -> v.toString().contains("secret")));
    assertEquals(List.of("line 8: counter.prefix: unknown key "
        + "(expected: one of [address, call_limit_ms, store])"),
        errors(GOOD.replace(address, address + "prefix = \"p1\"\n")));
    assertEquals(List.of("line 8: counter.store: redis (expected: one of [lines, valkey])"),
        errors(GOOD.replace(address, address + "store = \"redis\"\n")));
    assertEquals(List.of("line 9: counter.password_file: \"/no/such/file\" "
        + "(expected: a file that can be read)"),
        errors(GOOD.replace(address, address + "store = \"valkey\"\npassword_file = \"/no/such/file\"\n")));
    assertEquals(1, errors(GOOD.replace(address, address + "store = \"valkey\"\nprefix = \"a b\"\n")).size());
    assertEquals(1, errors(GOOD.replace(address, address + "store = \"valkey\"\nuser = \"door\"\n")).size());
  }

  @Test
  void reportsAllErrorsInTheOrderOfTheirLines() {
    assertEquals(List.of(
        "line 2: instance.name: 7 (expected: a text in quotes)",
        "line 3: instance.listen: localhost:7070 (expected: " + ADDRESS + ")",
        "line 4: instance.indx: unknown key (expected: did you mean instance.index?)",
        "line 5: discovery.address: missing (expected: " + ADDRESS + ")",
        "line 10: class[1].aim_ms: -5 (expected: a number from 1 to 3600000)",
        "line 12: class[1].repeat: twice (expected: one of [safe, keyed, unsafe])"),
        errors(GOOD.replace("\"n1\"", "7").replace("127.0.0.1:7070\"", "localhost:7070\"\nindx = 2")
            .replace("address = \"127.0.0.1:8500\"\n", "").replace("1200", "-5").replace("\"keyed\"",
                "\"twice\"")));
  }

  @Test
  void unknownKeysAndTablesNameTheNearestKnownOne() {
    assertEquals(List.of("line 18: plans: unknown key (expected: did you mean plan?)"),
        errors(GOOD + "[[plans]]\nname = \"x\"\n"));
    assertEquals(List.of("line 19: limits.memory: unknown key (expected: did you mean limits.memory_mb?)"),
        errors(GOOD + "[limits]\nmemory = 64\n"));
    assertEquals(List.of("line 19: limits.cores: unknown key (expected: one of [descriptors, memory_mb])"),
        errors(GOOD + "[limits]\ncores = 64\n"));
  }

  @Test
  void inconsistentValuesAreErrors() {
    assertTrue(errors(GOOD + "[end]\naccept_ms = 900\nanswer_ms = 800\n").get(0)
        .contains("end.answer_ms: 800.0 (expected: at least end.accept_ms, 900.0)"));
    assertTrue(errors(GOOD.replace("repeat_window_ms = 4000\n", "")).get(0)
        .contains("repeat_window_ms: missing"));
    assertTrue(errors(GOOD + "ceiling_units_per_s = 9\n").get(0).contains("ceiling_burst_units: missing"));
    assertTrue(errors(GOOD + "[[plan]]\nname = \"basic\"\nunits_per_s = 1\nburst_units = 1\n").get(0)
        .contains("\"basic\" (expected: a name that no other table has)"));
    assertTrue(errors(GOOD.replace("listen =", "doors = 3\nindex = 3\nlisten =")).get(0)
        .contains("instance.index: 3 (expected: a whole number from 0 to 2)"));
    assertTrue(errors(GOOD + "[take_over]\ncontrol_socket = \"/" + "x".repeat(120) + "\"\n").get(0)
        .contains("121 characters (expected: at most 100)"));
  }

  @Test
  void missingClassesPlansAndTablesAreReported() {
    assertEquals(6, errors("").size(), () -> errors("").toString());
    assertTrue(errors("class = 3\nplan = [1, 2]\n" + GOOD.substring(0, GOOD.indexOf("[[class]]"))).get(0)
        .contains("class: 3 (expected: tables [[class]])"));
  }

  @Test
  void syntaxErrorsAreReportedWithTheirLines() {
    List<String> errors = errors(GOOD + "limits = [1,\n[x\n");
    assertTrue(errors.get(0).startsWith("line 18: syntax") || errors.get(0).startsWith("line 19: syntax"),
        errors::toString);
  }

  @Test
  void changedKeysAreNamed() throws Exception {
    DaemonConfig a = DaemonConfig.parse(FILE, GOOD);
    DaemonConfig b = DaemonConfig.parse(FILE, GOOD.replace("8500", "8501") + "[limits]\nmemory_mb = 64\n");
    assertEquals(Set.of("discovery.address", "limits.memory_mb"), a.changedKeys(b));
  }

  /**
   * The shipped file, which documents the settings, is valid and contains every key that the daemon knows.
   */
  @Test
  void theShippedFileIsValidAndNamesEveryKey() throws Exception {
    DaemonConfig shipped = DaemonConfig.read(SHIPPED);
    String text = Files.readString(SHIPPED);
    Set<String> keys = shipped.effective().keySet().stream().map(k -> k.substring(k.lastIndexOf('.') + 1))
        .collect(Collectors.toSet());
    for (String key : keys) {
      assertTrue(text.lines().anyMatch(l -> l.startsWith(key + " = ")), "not in " + SHIPPED + ": " + key);
    }
  }

  @Test
  void unreadableFilesAreReported(@TempDir Path folder) throws Exception {
    Path none = folder.resolve("none.toml");
    assertEquals("there is no file " + none,
        assertThrows(IOException.class, () -> DaemonConfig.read(none)).getMessage());
    Path binary = folder.resolve("binary.toml");
    Files.write(binary, new byte[] {(byte) 0xff, (byte) 0xfe, 0});
    assertTrue(assertThrows(IOException.class, () -> DaemonConfig.read(binary)).getMessage()
        .contains("UTF-8"));
    Path large = folder.resolve("large.toml");
    Files.write(large, new byte[2 << 20]);
    assertTrue(assertThrows(IOException.class, () -> DaemonConfig.read(large)).getMessage()
        .contains("at most"));
  }

  /** Any text is either read or refused with problems; no other exception occurs. */
  @Test
  void aCorruptedFileIsReadOrRefused() {
    long seed = 42;
    Random random = new Random(seed);
    for (int i = 0; i < 3_000; i++) {
      StringBuilder text = new StringBuilder(GOOD);
      for (int k = random.nextInt(4); k >= 0; k--) {
        int at = random.nextInt(text.length());
        switch (random.nextInt(3)) {
          case 0 -> text.deleteCharAt(at);
          case 1 -> text.insert(at, "[]=\"'#\n{}0.x".charAt(random.nextInt(12)));
          default -> text.setCharAt(at, (char) (32 + random.nextInt(95)));
        }
      }
      try {
        DaemonConfig.parse(FILE, text.toString());
      } catch (ConfigException e) {
        assertTrue(!e.problems().isEmpty());
      } catch (RuntimeException e) {
        throw new AssertionError("seed " + seed + ", file " + i + ":\n" + text, e);
      }
    }
  }
}
