package willowdoor.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import willowdoor.testkit.EventHistory.ClientRequest;
import willowdoor.testkit.EventHistory.Entry;
import willowdoor.testkit.EventHistory.Kind;
import willowdoor.testkit.QuotaAudit.HalfBurstTries;
import willowdoor.testkit.QuotaAudit.FirmUse;

/**
 * Compares recorded histories with ideal buckets: plan basic has 5 units/s and a burst of 20, its ceiling 10
 * units/s and a burst of 40.
 */
class QuotaAuditTest {

  private final EventHistory eventHistory = new EventHistory();
  private int number;

  private void recordTry(String firm, String door, double atMs, int units, boolean served) {
    String id = "r" + number++;
    eventHistory.registerRequest(new ClientRequest(id, firm, "basic", RequestKind.QUOTE, null, units, 2_000,
        0, atMs));
    eventHistory.add(new Entry(atMs, Kind.ASKED, id, door, 0, ""));
    if (served) {
      eventHistory.add(new Entry(atMs + 1, Kind.LAST_BYTE, id, "b0", units, "1"));
      eventHistory.add(new Entry(atMs + 9, Kind.LAST_BYTE, id, "b1", units, "2"));
    }
    eventHistory.add(new Entry(atMs + 10, Kind.ANSWERED, id, door, served ? 200 : 429, ""));
  }

  private QuotaAudit audit() {
    return new QuotaAudit(eventHistory, RunSettings.typical());
  }

  @Test
  void overdraftIsTheMaximumAndOnlyFirstAttemptsCount() {
    for (int i = 0; i < 6; i++) {
      recordTry("f", "d0", 1_000, 8, true);
    }
    recordTry("f", "d0", 3_000, 8, true);
    FirmUse use = audit().firmUses().get(0);
    assertEquals(28, use.maxOverQuota(), 0.1, "48 units sent against a burst of 20");
    assertEquals(8, use.maxOverCeiling(), 0.1, "48 units sent against a ceiling burst of 40");
    assertEquals(56, use.sent());
    assertEquals(56, use.asked());
  }

  @Test
  void triesWithHalfBurstFindHalfTheBurstUnusedAndRoomForThem() {
    recordTry("f", "d0", 1_000, 8, true);
    recordTry("f", "d1", 1_100, 4, false);
    recordTry("f", "d1", 1_200, 4, true);
    recordTry("f", "d0", 1_300, 4, false);
    recordTry("f", "d0", 5_000, 4, false);
    recordTry("g", "d0", 1_100, 4, false);
    assertEquals(new HalfBurstTries(4, 2), audit().triesWithHalfBurst(0, 1e9, "f"::equals, d -> true),
        "with 12 of 20 units used, the fourth try of f finds less than half of the burst");
    assertEquals(new HalfBurstTries(1, 1),
        audit().triesWithHalfBurst(1_050, 1_150, "f"::equals, "d1"::equals));
    assertEquals(1, audit().triesWithHalfBurst(0, 1e9, "g"::equals, d -> true).share());
    assertEquals(0, new HalfBurstTries(0, 0).share());
  }
}
