package willowdoor.memory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

class MemoryBudgetTest {

  private static final long POOL_BYTES = 1 << 20;
  private static final int LARGE_BYTES = 60_000;
  private static final int STEP_BYTES = 500;

  private final MemoryBudget budget = new MemoryBudget(POOL_BYTES);

  private void fill(Holder holder) {
    while (budget.admits(holder, LARGE_BYTES, STEP_BYTES)) {
      budget.add(holder, STEP_BYTES);
    }
  }

  /** Guards against a shut-out of usual clients by those that fill the pool. */
  @Test
  void everyConnectionHasItsFloorWhenThePoolIsFull() {
    fill(Holder.RESPONSES);
    for (Holder holder : Holder.values()) {
      assertTrue(budget.admits(holder, 0, holder.floorBytes()), holder.name());
      assertFalse(budget.admits(holder, 1, holder.floorBytes()), holder.name());
    }
  }

  /** Guards against requests behind others that leave no room for the first ones and for answers. */
  @Test
  void workThatHasAdvancedFindsRoomBesideWorkThatHasBegun() {
    fill(Holder.WAITING);
    assertTrue(budget.admits(Holder.RECEIVING, LARGE_BYTES, 0));
    assertTrue(budget.admits(Holder.ACCEPTED, 0, LARGE_BYTES));
    fill(Holder.ACCEPTED);
    assertTrue(budget.admits(Holder.ANSWERS, LARGE_BYTES, LARGE_BYTES));
    fill(Holder.ANSWERS);
    assertTrue(budget.admits(Holder.RESPONSES, 0, LARGE_BYTES));
  }

  /** The bound of docs/design.md: the pool, and the floors of all connections. */
  @Test
  void theTotalStaysBelowThePoolAndTheFloors() {
    int connections = 100;
    long[] own = new long[connections];
    Random random = new Random(3);
    for (int i = 0; i < 100_000; i++) {
      int connection = random.nextInt(connections);
      Holder holder = Holder.values()[random.nextInt(Holder.values().length)];
      int more = 1 + random.nextInt(LARGE_BYTES);
      if (budget.admits(holder, own[connection], more)) {
        budget.add(holder, more);
        own[connection] += more;
      }
    }
    assertTrue(budget.peakBytes() <= POOL_BYTES + connections * Holder.PIECE_FLOOR_BYTES, budget.toString());
    assertTrue(budget.peakBytes() > POOL_BYTES / 2, budget.toString());
  }

  @Test
  void bytesAreCountedByHolder() {
    budget.add(Holder.RECEIVING, 100);
    budget.add(Holder.WAITING, 30);
    budget.remove(Holder.RECEIVING, 60);
    assertEquals(70, budget.totalBytes());
    assertEquals(130, budget.peakBytes());
    assertEquals(40, budget.heldBytes(Holder.RECEIVING));
    assertEquals(30, budget.heldBytes(Holder.WAITING));
  }

  /** Two processes of one front door have one limit: a share of the pool counts at once. */
  @Test
  void aShareOfThePoolHoldsForWhatComesNext() {
    fill(Holder.ACCEPTED);
    budget.setShare(0.5);
    assertFalse(budget.admits(Holder.RESPONSES, 0, LARGE_BYTES));
    budget.remove(Holder.ACCEPTED, budget.totalBytes());
    assertTrue(budget.admits(Holder.RESPONSES, 0, LARGE_BYTES));
    fill(Holder.RESPONSES);
    assertTrue(budget.totalBytes() <= POOL_BYTES / 2);
  }
}
