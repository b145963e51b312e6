package willowdoor.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import willowdoor.membership.MembershipEvent.FleetPutBack;
import willowdoor.membership.MembershipEvent.FleetTakeOut;
import willowdoor.membership.MembershipEvent.Inherited;
import willowdoor.membership.MembershipEvent.Listed;
import willowdoor.membership.MembershipEvent.PutBack;
import willowdoor.membership.MembershipEvent.TakeOut;
import willowdoor.policy.GatewayApi.BackendEntry;
import willowdoor.policy.GatewayApi.Phase;

/** The merge of lists and removals: single histories, and every order of up to six events. */
class MembershipTest {

  private static final double FIRST_START_MS = 500;
  private final Membership membership = new Membership();

  private static BackendEntry entry(long id, Phase phase, double startedMs) {
    return new BackendEntry(id, "a", 0, phase, 1, startedMs);
  }

  private static Listed fullList(BackendEntry... entries) {
    return new Listed(true, List.of(entries));
  }

  private static Listed changes(BackendEntry... entries) {
    return new Listed(false, List.of(entries));
  }

  @Test
  void aBackendTakenOutIsDrainingWhateverTheListsSay() {
    membership.on(1, fullList(entry(1, Phase.SERVING, 0), entry(2, Phase.SERVING, 0)));
    RosterUpdate update = membership.on(2, new TakeOut(1));
    assertEquals(List.of(entry(1, Phase.DRAINING, 0)), update.entries());
    assertFalse(update.full());
    assertEquals(Phase.DRAINING, membership.on(3, fullList(entry(1, Phase.SERVING, 9))).entries().get(0)
        .phase());
    assertEquals(Phase.REMOVED,
        membership.on(4, changes(entry(1, Phase.REMOVED, 9))).entries().get(0).phase());
    assertEquals(Phase.DRAINING,
        membership.on(5, changes(entry(1, Phase.SERVING, 9))).entries().get(0).phase());
  }

  @Test
  void unknownBackendsAreReportedAsUnknown() {
    assertFalse(membership.on(1, new TakeOut(7)).known());
    assertFalse(membership.on(1, new PutBack(7)).known());
    membership.on(2, fullList(entry(7, Phase.SERVING, 0)));
    assertTrue(membership.on(3, new PutBack(7)).known(), "never taken out, but listed");
    assertTrue(membership.on(4, new TakeOut(7)).known());
    membership.on(5, fullList());
    assertTrue(membership.on(6, new TakeOut(7)).known(), "taken out, but not listed");
    assertTrue(membership.on(7, new PutBack(7)).known());
    assertFalse(membership.on(8, new PutBack(7)).known());
  }

  @Test
  void aBackendPutBackIsColdFromTheCallUntilItsStartIsListed() {
    membership.on(1000, fullList(entry(1, Phase.SERVING, FIRST_START_MS)));
    membership.on(2000, new TakeOut(1));
    membership.on(2100, new TakeOut(1));
    assertEquals(List.of(entry(1, Phase.SERVING, 5000)), membership.on(5000, new PutBack(1)).entries());
    assertEquals(5000, membership.on(5100, fullList(entry(1, Phase.SERVING, FIRST_START_MS))).entries().get(0)
        .startedMs(), "a list that does not have the restart yet");
    assertEquals(3000, membership.on(5200, fullList(entry(1, Phase.SERVING, 3000))).entries().get(0)
        .startedMs());
    assertEquals(3000, membership.on(5300, fullList(entry(1, Phase.SERVING, 3000))).entries().get(0)
        .startedMs());
  }

  @Test
  void aStartListedWhileTheBackendWasOutIsItsStart() {
    membership.on(1000, fullList(entry(1, Phase.SERVING, 0)));
    membership.on(2000, new TakeOut(1));
    membership.on(4000, changes(entry(1, Phase.SERVING, 3500)));
    assertEquals(List.of(entry(1, Phase.SERVING, 3500)), membership.on(5000, new PutBack(1)).entries());
  }

  @Test
  void backendsTakenOutAtAnotherProcessAreInherited() {
    membership.on(1, fullList(entry(1, Phase.SERVING, 0), entry(2, Phase.SERVING, 0)));
    membership.on(2, new TakeOut(2));
    Membership successor = new Membership();
    successor.on(3, fullList(entry(1, Phase.SERVING, 0), entry(2, Phase.SERVING, 0)));
    assertEquals(List.of(entry(2, Phase.DRAINING, 0)), successor.on(4, new Inherited(membership.disabled()))
        .entries());
    assertEquals(List.of(), successor.on(5, new Inherited(membership.disabled())).entries(), "nothing new");
    assertEquals(membership.disabled(), successor.disabled());
    assertTrue(successor.on(6, new Inherited(List.of(new DisabledBackend(9, 1)))).entries().isEmpty(),
        "not listed");
    assertEquals(Phase.DRAINING, successor.on(7, changes(entry(9, Phase.SERVING, 0))).entries().get(0)
        .phase());
  }

  @Test
  void backendsTakenOutAreLimited() {
    List<BackendEntry> entries = new ArrayList<>();
    List<DisabledBackend> disabled = new ArrayList<>();
    for (long id = 0; id <= Membership.MAX_OUT; id++) {
      entries.add(entry(id, Phase.SERVING, 0));
      disabled.add(new DisabledBackend(id, 1));
    }
    membership.on(1, new Listed(true, entries));
    membership.on(2, new Inherited(disabled));
    assertEquals(Membership.MAX_OUT, membership.disabled().size());
    assertFalse(membership.on(3, new TakeOut(Membership.MAX_OUT)).known());
    assertTrue(membership.on(4, new TakeOut(0)).known());
  }

  /** Taken out by an operator here and by the fleet: in service again when both have put it back. */
  @Test
  void aBackendTakenOutTwiceIsBackAfterBothPutBacks() {
    membership.on(1, fullList(entry(1, Phase.SERVING, 0)));
    membership.on(2_000, new TakeOut(1));
    assertEquals(Phase.DRAINING, membership.on(2_100, new FleetTakeOut(1)).entries().get(0).phase());
    assertEquals(Phase.DRAINING, membership.on(3_000, new PutBack(1)).entries().get(0).phase());
    assertEquals(List.of(), membership.disabled(),
        "another process learns of the fleet's decision by itself");
    assertEquals(List.of(entry(1, Phase.SERVING, 4_000)), membership.on(4_000, new FleetPutBack(1))
        .entries());
    assertEquals(List.of(), membership.on(5_000, new FleetPutBack(1)).entries());
  }

  /** The fleet may know a backend from another door's list. */
  @Test
  void aBackendTakenOutByTheFleetIsOutOnceItIsListed() {
    membership.on(1, new FleetTakeOut(7));
    assertEquals(Phase.DRAINING, membership.on(2, fullList(entry(7, Phase.SERVING, 0))).entries().get(0)
        .phase());
    for (int i = 0; i < Membership.MAX_OUT; i++) {
      membership.on(3, new FleetTakeOut(i));
    }
    assertFalse(membership.on(4, new FleetTakeOut(Membership.MAX_OUT)).known());
    assertTrue(membership.on(4, new FleetTakeOut(7)).known());
  }

  /** Every order, with repeats, of up to six events of one backend, checked against the rules. */
  @Test
  void everyOrderOfUpToSixEventsKeepsTheRules() {
    List<MembershipEvent> events = List.of(new TakeOut(1), new PutBack(1),
        fullList(entry(1, Phase.SERVING, FIRST_START_MS)), fullList(), changes(entry(1, Phase.REMOVED, 0)),
        changes(entry(1, Phase.SERVING, 5)));
    int orders = 0;
    for (int length = 1; length <= 6; length++) {
      int orderCount = (int) Math.pow(events.size(), length);
      for (int order = 0; order < orderCount; order++, orders++) {
        play(events, order, length);
      }
    }
    assertEquals(55_986, orders);
  }

  private static void play(List<MembershipEvent> events, int order, int length) {
    Membership membership = new Membership();
    Map<Long, BackendEntry> roster = new HashMap<>();
    boolean out = false;
    boolean listed = false;
    double startedMs = 0;
    String history = "";
    int remaining = order;
    for (int i = 0; i < length; i++, remaining /= events.size()) {
      MembershipEvent event = events.get(remaining % events.size());
      history += event + "; ";
      RosterUpdate update = membership.on(1000 + i, event);
      boolean known = true;
      if (event instanceof TakeOut) {
        known = out || listed;
        out |= listed;
      } else if (event instanceof PutBack) {
        known = out || listed;
        out = false;
      } else if (event instanceof Listed e) {
        listed = e.full() ? !e.entries().isEmpty() : e.entries().get(0).phase() != Phase.REMOVED;
        startedMs = listed ? e.entries().get(0).startedMs() : startedMs;
      }
      assertEquals(known, update.known(), history);
      if (update.full()) {
        roster.clear();
      }
      update.entries().forEach(e -> roster.put(e.id(), e));
      BackendEntry rosterEntry = roster.get(1L);
      boolean present = rosterEntry != null && rosterEntry.phase() != Phase.REMOVED;
      assertEquals(listed, present, history);
      if (present) {
        assertEquals(out ? Phase.DRAINING : Phase.SERVING, rosterEntry.phase(), history);
        assertTrue(rosterEntry.startedMs() >= startedMs, history);
      }
      assertEquals(out ? 1 : 0, membership.disabled().size(), history);
    }
  }
}
