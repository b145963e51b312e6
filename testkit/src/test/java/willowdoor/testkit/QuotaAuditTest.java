package willowdoor.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import willowdoor.testkit.EventHistory.ClientRequest;
import willowdoor.testkit.EventHistory.Entry;
import willowdoor.testkit.EventHistory.Kind;
import willowdoor.testkit.QuotaAudit.HalfBurstTries;
import willowdoor.testkit.QuotaAudit.FirmUse;

/** Ideal buckets beside planted histories: basic has 5 units/s and a burst of 20, its ceiling 10 and 40. */
class QuotaAuditTest {

  private final EventHistory ledger = new EventHistory();
  private int number;

  private void tried(String firm, String door, double atMs, int units, boolean served) {
    String id = "r" + number++;
    ledger.registerRequest(
        new ClientRequest(id, firm, "basic", RequestKind.QUOTE, null, units, 2_000, 0, atMs));
    ledger.add(new Entry(atMs, Kind.ASKED, id, door, 0, ""));
    if (served) {
      ledger.add(new Entry(atMs + 1, Kind.LAST_BYTE, id, "b0", units, "1"));
      ledger.add(new Entry(atMs + 9, Kind.LAST_BYTE, id, "b1", units, "2"));
    }
    ledger.add(new Entry(atMs + 10, Kind.ANSWERED, id, door, served ? 200 : 429, ""));
  }

  private QuotaAudit quotas() {
    return new QuotaAudit(ledger, RunSettings.typical());
  }

  @Test
  void overdraftIsTheMaximumAndOnlyFirstAttemptsCount() {
    for (int i = 0; i < 6; i++) {
      tried("f", "d0", 1_000, 8, true);
    }
    tried("f", "d0", 3_000, 8, true);
    FirmUse use = quotas().uses().get(0);
    assertEquals(28, use.maxOverQuota(), 0.1, "48 of 20");
    assertEquals(8, use.maxOverCeiling(), 0.1, "48 of 40");
    assertEquals(56, use.sent());
    assertEquals(56, use.asked());
  }

  @Test
  void triesWithHalfBurstFindHalfTheBurstUnusedAndRoomForThem() {
    tried("f", "d0", 1_000, 8, true);
    tried("f", "d1", 1_100, 4, false);
    tried("f", "d1", 1_200, 4, true);
    tried("f", "d0", 1_300, 4, false);
    tried("f", "d0", 5_000, 4, false);
    tried("g", "d0", 1_100, 4, false);
    assertEquals(new HalfBurstTries(4, 2), quotas().triesWithHalfBurst(0, 1e9, "f"::equals, d -> true),
        "after 12 of 20 units the fourth found less than half");
    assertEquals(new HalfBurstTries(1, 1),
        quotas().triesWithHalfBurst(1_050, 1_150, "f"::equals, "d1"::equals));
    assertEquals(1, quotas().triesWithHalfBurst(0, 1e9, "g"::equals, d -> true).share());
    assertEquals(0, new HalfBurstTries(0, 0).share());
  }
}
