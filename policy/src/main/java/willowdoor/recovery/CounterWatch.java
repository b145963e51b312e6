package willowdoor.recovery;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import willowdoor.recovery.WatchAction.Check;
import willowdoor.recovery.WatchAction.Origin;
import willowdoor.recovery.WatchAction.Replaced;
import willowdoor.recovery.WatchAction.WakeAt;
import willowdoor.recovery.WatchEvent.CheckEnded;
import willowdoor.recovery.WatchEvent.Connected;
import willowdoor.recovery.WatchEvent.Woken;

/**
 * Tells one counter from another, by one call and for every name at once, within a protocol that can only add
 * to names. No I/O, no clock, no thread.
 *
 * <p>Each door adds to a sentinel name that no other door uses, and only ever more than nothing. A counter
 * that has confirmed a total can never again answer a later call with less than that total and the call's
 * amount. If it does, it is not the counter that confirmed it: it began anew, or with a copy that lacks that
 * add. This holds however answers are lost, late or out of order, as only a lower bound is used; adds whose
 * answers were lost can raise a total, and then hide a replacement from that call, but never make one up.
 *
 * <p>So that they can't hide an empty counter either, a name begins with an add of {@value #FIRST_AMOUNT}:
 * without
 * it, what a door adds in any count of calls stays below. One such add is out at a time, and its name is
 * given up with a lost answer: with several, those that come after the counter was emptied would raise its
 * total to what was confirmed, and hide it for good. What a copy has of a name tells how old it is: each
 * check adds one, and the times of the checks are kept. A copy from before the name was begun looks empty by
 * it, so the name used before is asked for then, and only its answer tells an empty counter from a copy.
 *
 * <p>Names live for {@value #NAME_TTL_MS} ms at the most, as the protocol has it. Well before, a new name is
 * begun, and the old one is checked on until an answer to a check that was sent after the new one's first
 * answer: if the old one still holds then, the new one was begun at the same counter. A door that could ask
 * nobody for so long that no name is left to go by takes the counter for another one.
 *
 * <p>A check goes out first on each new connection, and in any case every {@value #CHECK_INTERVAL_MS} ms, for
 * counters
 * that change behind a connection that stays. What it can't tell: a copy that lacks no check of this door, so
 * one younger than the last check; and that two counters serve different doors (a split), as each door sees
 * one.
 */
public final class CounterWatch {

  /** How often at least the counter is asked who it is. */
  static final double CHECK_INTERVAL_MS = 250;
  /** For so long the protocol keeps a name at the most. */
  static final double NAME_TTL_MS = 60_000;
  /** A name is used for so long; the rest is for calls that come late. */
  static final double NAME_ROTATION_MS = 25_000;
  /** A name older than this is not asked: its life could end before the answer is made. */
  static final double MAX_NAME_AGE_MS = 42_000;
  /** The name before is asked for what a copy has until then: well before it is forgotten. */
  static final double MAX_RETIRED_NAME_AGE_MS = 55_000;
  /** The first add to a name. */
  static final double FIRST_AMOUNT = 1e6;
  /** Checks out at the most; beyond it none is begun, as the counter answers none. */
  static final int MAX_PENDING_CHECKS = 64;

  /** One sentinel name, and the largest total that was confirmed; 0 before the first answer. */
  private static final class SentinelName {
    private final String text;
    private final double startedAt;
    private double confirmedTotal;
    /**
     * When each check of it was sent: the n-th made its total {@link #FIRST_AMOUNT} and n - 1, if none was
     * lost.
     */
    private final List<Double> sentAt = new ArrayList<>();

    SentinelName(String text, double startedAt) {
      this.text = text;
      this.startedAt = startedAt;
    }
  }

  /**
   * A check that is out.
   *
   * @param minTotal the least total that the counter which confirmed the name can answer
   * @param confirmsSameCounter it was sent after the first answer for the current name, so that its own
   * answer tells that
   *     both names are at one counter
   */
  private record PendingCheck(SentinelName name, double minTotal, boolean confirmsSameCounter) { }

  private final String door;
  private final Map<Long, PendingCheck> pending = new LinkedHashMap<>();
  private List<WatchAction> actions = new ArrayList<>();
  private double now;
  private long nextNumber;
  private int nextNameIndex;
  private int incarnation = 1;
  private SentinelName current;
  /** The name before, until it has vouched for the current one. */
  private SentinelName previous;
  /** The name used before the current one, kept longer: whether a counter that lacks the current one has
      it. */
  private SentinelName retired;
  /** The check that asks for the retired name, or -1; until it ends nothing else is taken. */
  private long retiredCheckNumber = -1;
  private double lastCheckAt = Double.NEGATIVE_INFINITY;

  /**
   * A watch for one door.
   *
   * @param door distinguishes its names from those of all other doors and of its own earlier lives; letters
   * and
   *     digits, 32 at the most
   */
  public CounterWatch(String door) {
    if (!door.matches("[A-Za-z0-9]{1,32}")) {
      throw new IllegalArgumentException("door: \"" + door + "\" (expected: 1 to 32 letters and digits)");
    }
    this.door = door;
  }

  /** How many counters were seen, from 1. */
  public int incarnation() {
    return incarnation;
  }

  /** Whether a counter has confirmed any total, so that a replacement would be noticed. */
  public boolean hasConfirmedTotal() {
    return current != null && current.confirmedTotal > 0 || previous != null && previous.confirmedTotal > 0;
  }

  /** Takes one event and gives what to do, in order. */
  public List<WatchAction> on(double nowMs, WatchEvent event) {
    now = nowMs;
    actions = new ArrayList<>(2);
    if (event instanceof Connected e) {
      check(e.link());
    } else if (event instanceof CheckEnded e) {
      onCheckEnded(e);
    } else if (event instanceof Woken) {
      if (now - lastCheckAt >= CHECK_INTERVAL_MS) {
        check(-1);
      }
      actions.add(new WakeAt(Math.max(now, lastCheckAt) + CHECK_INTERVAL_MS));
    }
    return actions;
  }

  private void check(int link) {
    lastCheckAt = now;
    if (retiredCheckNumber >= 0) {
      return;
    }
    boolean hadConfirmedTotal = hasConfirmedTotal();
    if (current == null || now - current.startedAt > NAME_ROTATION_MS) {
      previous = current != null && current.confirmedTotal > 0 ? current : previous;
      retired = current != null && current.confirmedTotal > 0 ? current : retired;
      current = new SentinelName("~" + door + ":" + nextNameIndex++, now);
    }
    if (previous != null && now - previous.startedAt > MAX_NAME_AGE_MS) {
      // It may be forgotten before an answer comes: it can vouch for nothing any more.
      previous = null;
    }
    if (hadConfirmedTotal && !hasConfirmedTotal()) {
      incarnation++;
      retired = null;
      pending.clear();
      actions.add(new Replaced(incarnation, Origin.UNTOLD, Double.NEGATIVE_INFINITY));
    }
    if (previous != null) {
      send(link, previous);
    }
    if (current.confirmedTotal > 0 || !hasPendingCheck(current)) {
      send(link, current);
    }
  }

  private boolean hasPendingCheck(SentinelName name) {
    return pending.values().stream().anyMatch(o -> o.name == name);
  }

  private void send(int link, SentinelName name) {
    if (pending.size() >= MAX_PENDING_CHECKS) {
      return;
    }
    double amount = name.confirmedTotal >= FIRST_AMOUNT ? 1 : FIRST_AMOUNT;
    name.sentAt.add(now);
    long number = nextNumber++;
    boolean confirmsSameCounter = name == previous && current != null && current.confirmedTotal > 0;
    pending.put(number, new PendingCheck(name, name.confirmedTotal + amount, confirmsSameCounter));
    actions.add(new Check(number, link, name.text, amount, NAME_TTL_MS));
  }

  private void onCheckEnded(CheckEnded e) {
    PendingCheck check = pending.remove(e.number());
    if (retiredCheckNumber >= 0) {
      if (e.number() == retiredCheckNumber) {
        retiredCheckNumber = -1;
        reportReplaced(retired, Double.isNaN(e.total()) ? 0 : e.total());
      }
      return;
    }
    if (check != null && check.name == current && current.confirmedTotal == 0 && Double.isNaN(e.total())) {
      // Its first add may come late, and look like one that another counter has: a new name has none.
      current = null;
      return;
    }
    if (check == null || Double.isNaN(e.total()) || check.name != current && check.name != previous) {
      return;
    }
    SentinelName name = check.name;
    if (name.confirmedTotal > 0 && e.total() < check.minTotal) {
      onLowerTotal(name, e.total());
      return;
    }
    name.confirmedTotal = Math.max(name.confirmedTotal, e.total());
    if (check.confirmsSameCounter) {
      previous = null;
    }
  }

  /** One that lacks the name may have a copy from before the name was begun: an older name tells. */
  private void onLowerTotal(SentinelName name, double total) {
    if (total > FIRST_AMOUNT || retired == null || retired == name || now
        - retired.startedAt > MAX_RETIRED_NAME_AGE_MS) {
      reportReplaced(name, total);
      return;
    }
    pending.clear();
    retiredCheckNumber = nextNumber;
    send(-1, retired);
  }

  /**
   * What was confirmed before is void; a new name begins at the new counter, and late answers tell nothing.
   *
   * @param total of that name at the new counter, with the amount that asked for it; 0 when that is not known
   */
  private void reportReplaced(SentinelName name, double total) {
    boolean isCopy = total > FIRST_AMOUNT;
    int checksInCopy = (int) Math.min(name.sentAt.size(), Math.max(1, total - FIRST_AMOUNT));
    double lostSince = isCopy ? name.sentAt.get(checksInCopy - 1) : Double.NEGATIVE_INFINITY;
    incarnation++;
    previous = null;
    current = null;
    retired = null;
    pending.clear();
    actions.add(new Replaced(incarnation, isCopy ? Origin.OLD_COPY : Origin.EMPTY, lostSince));
    check(-1);
  }
}
