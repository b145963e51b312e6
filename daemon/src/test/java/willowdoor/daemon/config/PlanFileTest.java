package willowdoor.daemon.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import willowdoor.rollout.Comparison;
import willowdoor.rollout.Plan;

class PlanFileTest {

  private static String problem(String text) {
    return assertThrows(ConfigException.class, () -> PlanFile.parse(Path.of("p.toml"), text)).getMessage();
  }

  @Test
  void theShippedFileIsValid() throws Exception {
    Plan plan = PlanFile.read(Path.of("..", "deploy", "release.toml"));
    assertEquals(new Plan(Plan.Kind.DOORS, "1.4", "1.5", List.of(0.02, 0.25, 1.0), 60_000, 3_000, 120_000,
        5_000, Comparison.DEFAULT),
        plan);
    assertEquals(plan, PlanFile.parse(Path.of("p.toml"),
        "[release]\nfrom = \"1.4\"\nto = \"1.5\"\nwaves = [0.02, 0.25, 1]\n"));
  }

  @Test
  void problemsAreNamed() {
    String all = problem("[release]\nfrom = \"1.4\"\nto = \"../1.5\"\nwavs = [1]\nbake_ms = -1\n");
    for (String part : new String[] {"release.wavs", "release.bake_ms", "version \"../1.5\""}) {
      assertTrue(all.contains(part), all);
    }
    assertTrue(problem("[release]\nfrom = \"1\"\nto = \"2\"\nwaves = [0.5, 0.1, 1]\n")
        .contains("each greater than the one before"));
    assertTrue(problem("[release]\nfrom = \"1\"\nto = \"2\"\nwaves = [1]\n[compare]\ntolerated = 3\n")
        .contains("0 < tolerated < suspected"));
  }
}
