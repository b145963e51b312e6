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
 * Detects that the counter was replaced by another one, with one call for all names together, in a protocol
 * that can only add to names. Does no I/O, reads no clock and starts no thread.
 *
 * <p>Each door adds positive amounts to a sentinel name that no other door uses. A counter that has confirmed
 * a total can never answer a later call with less than that total plus the call's amount. If an answer is
 * lower, it comes from another counter: one that started empty, or from a copy that lacks the confirmed
 * addition. As only a lower bound is used, this holds even if answers are lost, late or out of order.
 * Additions whose answers were lost can raise a total and so hide a replacement from a call, but they can
 * never cause a false report.
 *
 * <p>To keep such additions from hiding an empty counter too, the first addition to a name is {@value
 * #FIRST_AMOUNT}: the later additions of a door, each of 1, add up to less than that. Only one first addition
 * is pending at a time, and if its answer is lost, its name is abandoned. If several were pending, those that
 * arrive after the counter was emptied would raise its total to the confirmed one and hide the loss for good.
 * The total of a name in a copy shows the copy's age, as each check adds 1 and the times of the checks are
 * kept. A copy made before the name was first used looks empty by that name; then the name used before is
 * checked, and only its answer distinguishes an empty counter from a copy.
 *
 * <p>By the protocol, names live for at most {@value #NAME_TTL_MS} ms. Well before that a new name is
 * started, and the old one is still checked until one of its checks, sent after the new name's first answer,
 * is answered. If the old name's total still holds then, the new name was started at the same counter. A door
 * that got no answer for so long that no name is left to compare with reports the counter as replaced.
 *
 * <p>A check is the first call on each new connection, and is also sent every {@value #CHECK_INTERVAL_MS} ms,
 * for counters that are replaced behind a connection that stays. Two cases are not detected: a copy that
 * contains every check of this door, so one made after the last check; and a split, in which different doors
 * use different counters, as each door sees only one.
 */
public final class CounterWatch {

  /** Interval of the checks. */
  static final double CHECK_INTERVAL_MS = 250;
  /** The longest time that the protocol keeps a name. */
  static final double NAME_TTL_MS = 60_000;
  /** After this time a new name is started; the rest of a name's life allows for late calls. */
  static final double NAME_ROTATION_MS = 25_000;
  /** A name older than this is not checked, as it could expire before the counter answers. */
  static final double MAX_NAME_AGE_MS = 42_000;
  /** Up to this age the retired name can tell a copy from an empty counter; well before it expires. */
  static final double MAX_RETIRED_NAME_AGE_MS = 55_000;
  /** The first amount added to a name. */
  static final double FIRST_AMOUNT = 1e6;
  /** Limit of unanswered checks; beyond it none is sent, as the counter does not answer. */
  static final int MAX_PENDING_CHECKS = 64;

  /** A sentinel name and the largest total confirmed for it, which is 0 before the first answer. */
  private static final class SentinelName {
    private final String text;
    private final double startedAt;
    private double confirmedTotal;
    /**
     * When each check was sent. Unless one was lost, the n-th check raised the total to
     * {@link #FIRST_AMOUNT} + n - 1.
     */
    private final List<Double> sentAt = new ArrayList<>();

    SentinelName(String text, double startedAt) {
      this.text = text;
      this.startedAt = startedAt;
    }
  }

  /**
   * A check that is not answered yet.
   *
   * @param minTotal the lowest total that the counter which confirmed the name can answer
   * @param confirmsSameCounter whether the check of the previous name was sent after the current name's first
   *     answer, so that its own answer shows that both names are at the same counter
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
  /** The previous name, until an answer shows that the current one is at the same counter. */
  private SentinelName previous;
  /** The previous name, kept longer, to see whether a counter that lacks the current name has this one. */
  private SentinelName retired;
  /** Number of the check of the retired name, or -1; until that ends nothing is sent or accepted. */
  private long retiredCheckNumber = -1;
  private double lastCheckAt = Double.NEGATIVE_INFINITY;

  /**
   * Creates the watch of one door.
   *
   * @param door distinguishes the names from those of all other doors and of this door's earlier processes;
   *     1 to 32 letters and digits
   */
  public CounterWatch(String door) {
    if (!door.matches("[A-Za-z0-9]{1,32}")) {
      throw new IllegalArgumentException("door: \"" + door + "\" (expected: 1 to 32 letters and digits)");
    }
    this.door = door;
  }

  /** Number of counters seen so far, from 1. */
  public int incarnation() {
    return incarnation;
  }

  /** Whether any total is confirmed, so that a replacement of the counter would be noticed. */
  public boolean hasConfirmedTotal() {
    return current != null && current.confirmedTotal > 0 || previous != null && previous.confirmedTotal > 0;
  }

  /** Handles one event and returns the actions to perform, in order; {@code nowMs} never goes back. */
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
      // The previous name may expire before an answer comes, so its total proves nothing any more.
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
      // The first addition may still arrive late, at a replaced counter, and look like a confirmed one; a
      // new name has no such addition.
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

  /** A counter that lacks the name may be a copy made before the name was started; an older name shows it. */
  private void onLowerTotal(SentinelName name, double total) {
    if (total > FIRST_AMOUNT || retired == null || retired == name
        || now - retired.startedAt > MAX_RETIRED_NAME_AGE_MS) {
      reportReplaced(name, total);
      return;
    }
    pending.clear();
    retiredCheckNumber = nextNumber;
    send(-1, retired);
  }

  /**
   * Reports a replaced counter: all confirmed totals are void, a new name is started at the new counter, and
   * late answers are ignored.
   *
   * @param total the name's total at the new counter, with the check's own amount; 0 if it is not known
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
