package willowdoor.emulator.epoch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import willowdoor.emulator.epoch.EpochSimulation.Bug;
import willowdoor.emulator.epoch.EpochSimulation.Result;

class EpochSimulationTest {

  private static final long SEEDS = Long.getLong("willowdoor.seeds", 200);

  private static int doors(long seed) {
    return Integer.getInteger("willowdoor.doors", 2 + (int) (seed % 8));
  }

  @Test
  void aChangeTakesEffectEverywhereOrNowhereUnderRandomFaults() {
    long held = 0;
    long aborted = 0;
    long alone = 0;
    long both = 0;
    long refused = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      Result r = EpochSimulation.play(seed, doors(seed), Bug.NONE);
      assertEquals(List.of(), r.breaches(), "seed " + seed);
      held += r.held();
      aborted += r.aborted();
      alone += r.decided();
      both += r.both();
      refused += r.refused();
    }
    System.out.println(SEEDS + " schedules: " + held + " changes held, " + aborted
        + " aborted; decided by one "
        + alone + ", by both " + both + ", refused " + refused);
    assertTrue(held > SEEDS && aborted > SEEDS / 4 && both > 0 && refused > 0 && refused < alone / 2,
        held + " held, " + aborted + " aborted, " + alone + ", " + both + ", " + refused);
  }

  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
  void eachInjectedBugIsDetected(Bug bug) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      if (!EpochSimulation.play(seed, doors(seed), bug).breaches().isEmpty()) {
        return;
      }
    }
    throw new AssertionError(bug + " is not detected in " + SEEDS + " seeds");
  }
}
