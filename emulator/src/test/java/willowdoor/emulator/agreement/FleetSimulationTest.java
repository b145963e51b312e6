package willowdoor.emulator.agreement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import willowdoor.emulator.agreement.FleetSimulation.Bug;
import willowdoor.emulator.agreement.FleetSimulation.Explored;
import willowdoor.emulator.agreement.FleetSimulation.Result;
import willowdoor.emulator.agreement.FleetSimulation.Script;

class FleetSimulationTest {

  private static final long SEEDS = Long.getLong("willowdoor.seeds", 200);

  private static int doors(long seed) {
    return Integer.getInteger("willowdoor.doors", 3 + (int) (seed % 10));
  }

  @Test
  void invariantsHoldUnderRandomFaults() {
    int granted = 0;
    int told = 0;
    int served = 0;
    int halts = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      Result result = FleetSimulation.play(seed, doors(seed), Bug.NONE);
      assertEquals(List.of(), result.breaches(), "seed " + seed);
      granted += result.granted();
      told += result.backendsTakenOut();
      served += result.served();
      halts += result.halts();
    }
    assertTrue(granted > SEEDS && told > SEEDS / 2 && served > SEEDS && halts > 0 && halts < SEEDS, granted
        + " permits, " + told + " backends out, " + served + " doors released, " + halts + " halted");
    System.out.println(SEEDS + " schedules: " + granted + " permits, " + told + " backends out, " + served
        + " doors released, " + halts + " halted in the end");
  }

  /** One fault for each schedule in CI; the system property willowdoor.faults sets more. */
  @ParameterizedTest
  @EnumSource
  void invariantsHoldInEverySmallSchedule(Script script) {
    Explored all = FleetSimulation.explore(script, 3, Integer.getInteger("willowdoor.faults", 1), Bug.NONE);
    System.out.println(script + ": " + all);
    assertEquals(List.of(), all.breaches());
    assertTrue(all.schedules() > 100, all::toString);
  }

  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
  void eachInjectedBugIsDetected(Bug bug) {
    for (long seed = 1; seed <= 3 * SEEDS; seed++) {
      if (!FleetSimulation.play(seed, doors(seed), bug).breaches().isEmpty()) {
        return;
      }
    }
    throw new AssertionError(bug + " is not detected in " + 3 * SEEDS + " seeds");
  }
}
