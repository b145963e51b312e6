package willowdoor.extauthz;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import willowdoor.extauthz.ExtAuthzSettings.Log;

class DecisionLogTest {

  @TempDir
  private Path folder;

  private static DecisionLog.Entry entry(String id) {
    return new DecisionLog.Entry(1_000, "d0", id, "acme", "0042", "full", "buy", List.of(new DecisionLog.Call(
        "one", false, 300, 1.23456, "FAILED", true, "UNAVAILABLE \"gone\"\n")), "REFUSED FAILED", 1.5,
            "REFUSED",
        2, null);
  }

  @Test
  void writesOneLinePerRequest() {
    assertEquals("{\"at_ms\":1000.0,\"door\":\"d0\",\"id\":\"a\",\"member\":\"acme\",\"firm\":\"0042\","
        + "\"plan\":\"full\",\"class\":\"buy\",\"calls\":[{\"to\":\"one\",\"probe\":false,\"limit_ms\":300.0,"
        + "\"took_ms\":1.23,"
        + "\"result\":\"FAILED\",\"reached\":true,\"note\":\"UNAVAILABLE \\\"gone\\\"\\n\"}],"
        + "\"decision\":\"REFUSED FAILED\",\"decided_ms\":1.5,\"end\":\"REFUSED\",\"ended_ms\":2.0,"
        + "\"dropped_before\":3}\n", DecisionLog.line(entry("a"), 3));
  }

  @Test
  void dropsAndCountsEntriesOverTheBound() throws Exception {
    Path file = folder.resolve("log");
    DecisionLog log = new DecisionLog(new Log(file, 2));
    for (int i = 0; i < 5; i++) {
      log.add(entry("r" + i));
    }
    log.write();
    List<String> lines = Files.readAllLines(file);
    assertEquals(2, lines.size());
    assertTrue(lines.get(0).contains("\"dropped_before\":3"), lines.get(0));
    Files.move(file, folder.resolve("moved"));
    log.add(entry("later"));
    log.write();
    assertEquals(1, Files.readAllLines(file).size());
  }

  @Test
  void failedWritesDropEntries() throws Exception {
    Path missing = folder.resolve("no/such/folder/log");
    DecisionLog log = new DecisionLog(new Log(missing, 2));
    for (int i = 0; i < 5; i++) {
      log.add(entry("r" + i));
      log.write();
    }
    Files.createDirectories(missing.getParent());
    log.add(entry("last"));
    log.write();
    assertTrue(Files.readString(missing).contains("\"dropped_before\":5"), Files.readString(missing));
  }
}
