package willowdoor.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import willowdoor.policy.GatewayApi.Request;
import willowdoor.policy.GatewayApi.Send;
import willowdoor.policy.GatewayApi.Status;

/** The accounts that a policy follows stay within their bound, whoever asks under whatever name. */
class AccountBoundTest {

  private static final int USUAL_CUSTOMER = 1;
  private final Fixtures gateway = Fixtures.withCounter();

  private void serve(String id, long customer) {
    gateway.on(new Request(id, "safe", "broad", customer, 2, 1, gateway.now + 4_000));
    gateway.replyTotal(1);
    Send send = gateway.lastOf(Send.class);
    gateway.outcome(send, 0, Status.OK, true);
  }

  /** Guards against accounts for ever new names, all kept for as long as the counter keeps a count. */
  @Test
  void everNewNamesStayWithinTheBoundAndDropNoUsualCustomer() {
    for (int i = 0; i < 2 * QuotaPolicy.MAX_ACCOUNTS; i++) {
      gateway.advance(0.5);
      serve("new" + i, 10 + i);
      if (i % 1_000 == 0) {
        serve("usual" + i, USUAL_CUSTOMER);
      }
    }
    assertEquals(QuotaPolicy.MAX_ACCOUNTS, gateway.policy.accounts.size());
    assertTrue(gateway.policy.accounts.containsKey((long) USUAL_CUSTOMER));
  }
}
