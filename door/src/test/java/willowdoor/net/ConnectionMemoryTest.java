package willowdoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import willowdoor.memory.Holder;
import willowdoor.memory.MemoryBudget;

/** What one connection may hold while others fill the pool. */
class ConnectionMemoryTest {

  private static final int POOL_BYTES = 1 << 20;
  private static final int SMALL_BYTES = 4_000;

  private final MemoryBudget budget = new MemoryBudget(POOL_BYTES);
  private final ConnectionMemory connection = new ConnectionMemory(budget);

  /** Guards against answers that add up on each of many connections whose clients read nothing. */
  @Test
  void whileThePoolIsFullOneAnswerWaitsForItsClient() {
    budget.add(Holder.ANSWERS, POOL_BYTES);
    assertTrue(connection.admitsMoreAnswer());
    long held = connection.addAnswer(1);
    assertFalse(connection.admitsMoreAnswer());
    connection.removeAnswer(held);
    assertTrue(connection.admitsMoreAnswer());
  }

  /** Guards against floors that add up over the places in which one connection holds bytes. */
  @Test
  void theFloorIsForAllThatAConnectionHolds() {
    budget.add(Holder.ANSWERS, POOL_BYTES);
    assertTrue(connection.addWaiting(false, SMALL_BYTES));
    connection.removeWaiting(SMALL_BYTES);
    connection.setCurrent(SMALL_BYTES);
    assertTrue(connection.setReceiving(SMALL_BYTES));
    connection.setReceiving(0);
    assertTrue(connection.addWaiting(true, SMALL_BYTES));
    assertFalse(connection.addWaiting(true, SMALL_BYTES));
    assertFalse(connection.setReceiving(SMALL_BYTES));
  }

  @Test
  void nothingStaysCounted() {
    connection.setReceiving(SMALL_BYTES);
    connection.setReceiving(0);
    connection.addWaiting(false, SMALL_BYTES);
    connection.removeWaiting(SMALL_BYTES);
    connection.removeAnswer(connection.addAnswer(SMALL_BYTES));
    assertEquals(0, budget.totalBytes());
  }
}
