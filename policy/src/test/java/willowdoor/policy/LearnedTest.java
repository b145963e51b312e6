package willowdoor.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import willowdoor.policy.GatewayApi.Add;
import willowdoor.policy.GatewayApi.Outcome;
import willowdoor.policy.GatewayApi.Send;
import willowdoor.policy.GatewayApi.Status;

/** What a process that takes another's place goes on from. */
class LearnedTest {

  private static final int SLOW = 1;

  private static Fixtures fresh() {
    return new Fixtures(Fixtures.settings(true, 2, false)).backends(4);
  }

  /** Sends so many requests, whose answers take ten times as long from one backend; how many went there. */
  private static int sent(Fixtures f, int requests) {
    int there = 0;
    for (int i = 0; i < requests; i++) {
      f.request("safe", "free", 1);
      Send send = f.only(Send.class);
      boolean slow = send.backend() == SLOW;
      there += slow ? 1 : 0;
      f.pass(10).on(new Outcome(send.request(), 0, send.backend(), Status.OK, slow ? 500 : 50, true, 1,
          null));
    }
    return there;
  }

  private static Fixtures after(Fixtures before, double agoMs) {
    Fixtures f = fresh();
    LearnedState.takeFrom(before.policy, before.now).restoreInto(f.policy, f.now, agoMs);
    return f;
  }

  @Test
  void aSlowBackendIsNotMetAnew() {
    Fixtures before = fresh();
    sent(before, 40);
    assertTrue(sent(fresh(), 20) > 0, "it has to meet it to know");
    assertEquals(0, sent(after(before, 0), 20));
  }

  /** What is a minute old and may be wrong weighs nothing. */
  @Test
  void whatIsOldIsNotHeldAgainstABackend() {
    Fixtures before = fresh();
    sent(before, 400);
    assertTrue(sent(after(before, 60_000), 20) > 0);
  }

  @Test
  void whatOneOwesToACountTheOtherPays() {
    Fixtures before = Fixtures.counted();
    before.request("safe", "rated", 2);
    Send s = before.total(2).only(Send.class);
    before.on(new Outcome(s.request(), 0, s.backend(), Status.OK, 50, true, 4, null));
    Fixtures next = after(before, 0);
    next.request("safe", "rated", 1);
    assertEquals(1 + 2, next.only(Add.class).amount());
    before.request("safe", "rated", 1);
    assertEquals(1, before.only(Add.class).amount(), "not by both");
  }

  @Test
  void whatIsOwedToAWindowThatIsOverIsDropped() {
    Fixtures before = Fixtures.counted();
    before.request("safe", "rated", 2);
    Send s = before.total(2).only(Send.class);
    before.on(new Outcome(s.request(), 0, s.backend(), Status.OK, 50, true, 4, null));
    LearnedState told = LearnedState.takeFrom(before.policy, before.now);
    Fixtures next = new Fixtures(Fixtures.settings(true, 2, false), before.now + 120_000).backends(4);
    told.restoreInto(next.policy, next.now, 120_000);
    next.request("safe", "rated", 1);
    assertEquals(1, next.only(Add.class).amount());
  }

  /** A plan, class or backend that the successor's settings lack is left aside. */
  @Test
  void whatIsNotKnownHereIsLeft() {
    Fixtures f = fresh();
    new LearnedState(50, 1, 2, List.of(new LearnedState.ClassServiceTime("gone", 9, 1, 9, 1, 9)),
        List.of(new LearnedState.LearnedBackend(99, 9, 1, 0, 500, 3, true, 0)),
        List.of(new LearnedState.PendingAdd(42, "gone", 2, 0, 7))).restoreInto(f.policy, f.now, 0);
    f.request("safe", "rated", 1);
    assertEquals(1, f.only(Add.class).amount());
  }

  /** For what is left of its rest since it was told. */
  @Test
  void aBackendThatRestsRestsOn() {
    LearnedState told =
        new LearnedState(50, 1, 3, List.of(),
        List.of(new LearnedState.LearnedBackend(SLOW, 0.1, 0, 0, 5_000, 2, true,
        0)), List.of());
    for (int ago : new int[] {1_000, 5_000}) {
      Fixtures f = fresh();
      told.restoreInto(f.policy, f.now, ago);
      int there = 0;
      for (int i = 0; i < 40; i++) {
        f.request("safe", "free", 1);
        there += f.only(Send.class).backend() == SLOW ? 1 : 0;
        f.pass(10);
      }
      assertEquals(ago == 1_000, there == 0, ago + " ms ago: " + there);
    }
  }
}
