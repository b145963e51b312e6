package willowdoor.recovery;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import willowdoor.recovery.RightsAction.Call;
import willowdoor.recovery.RightsAction.Share;
import willowdoor.recovery.RightsAction.WakeAt;
import willowdoor.recovery.RightsEvent.CallEnded;
import willowdoor.recovery.RightsEvent.Requested;
import willowdoor.recovery.RightsEvent.Activated;
import willowdoor.recovery.RightsEvent.HandedOver;
import willowdoor.recovery.RightsEvent.Woken;

/**
 * Divides each firm's ceiling among the doors of its set, so that the parts never make more than the whole,
 * whatever becomes of the counter: lost, replaced, an old copy, or two at once. No I/O, no clock, no thread.
 *
 * <p>The algorithm is that of rights which their holder gives away: a door may spend its own rights without
 * asking anyone, and the only change is that a holder lowers its own first and then tells one other door what
 * it has given. (D. Barbará and H. Garcia-Molina, "The Demarcation Protocol", VLDB Journal 3, 1994; for
 * replicas that may be split, V. Balegas et al., "Extending Eventually Consistent Cloud Databases for
 * Enforcing Numeric Invariants", SRDS 2015.) What is lost on the way is lost: the parts then make less, never
 * more.
 *
 * <p>Rights are quanta, {@value #QUANTA} to a ceiling, of its rate and its burst alike. An era of
 * {@value #PERIOD_MS} ms begins with even parts. Within it doors tell how much they were asked for, all under
 * one name of the firm, in a digit each. A door asked for less than its part gives the difference to those
 * asked for more than theirs, down to a floor of half its part, or of one largest request. A gift is added
 * to a name that only its receiver goes by, in a digit of the giver's; the receiver takes the largest digit
 * that it has seen, so that a counter which has forgotten, or knows another past, takes nothing away and adds
 * nothing. Gifts end with the era, for the receiver {@value #CLOCK_SKEW_GUARD_MS} ms before: clocks of doors
 * differ by
 * less than that.
 *
 * <p>A door that began within an era can't know what its life before had given away: until that era's end it
 * keeps to the floor, and gives nothing. Received gifts are not given on, for the same reason. A life that
 * hands over to another keeps nothing for what it still takes; one that takes back is as one that begins.
 *
 * <p>Bounds: sets of {@value #MAX_DOORS} doors at the most (larger ones keep even parts), {@value
 * #MAX_FIRMS} firms (further ones keep even parts), {@value #MAX_CALLS_PER_S} calls a second of a door (what
 * is
 * over waits for the next turn). What a door is not part of, it sends nothing of.
 */
public final class CeilingRights {

  /** Parts of a ceiling. */
  static final int QUANTA = 64;
  /** How long gifts last; counts of the counter live three times as long. */
  static final double PERIOD_MS = 20_000;
  /** A receiver lets go of gifts so long before the era's end. */
  static final double CLOCK_SKEW_GUARD_MS = 1_000;
  /** Four digits of this base make a total of less than 10^7, of which the counter keeps each digit. */
  static final int DIGIT_BASE = 50;
  static final int MAX_DOORS = 4;
  static final int MAX_FIRMS = 4_096;
  static final int MAX_CALLS_PER_S = 100;
  /** Spacing of a firm's calls while a door of its set is asked for more than its part, and otherwise. */
  static final double OVERLOADED_CALL_INTERVAL_MS = 500;
  static final double CALL_INTERVAL_MS = 1_000;
  private static final double WAKE_INTERVAL_MS = 250;
  /** After a call that failed none is made for so long. */
  private static final double FAILURE_BACKOFF_MS = 1_000;
  private static final double NAME_TTL_MS = 60_000;
  /** Demand is told in steps of what the ceiling gives in this time. */
  private static final double DEMAND_STEP_S = 0.5;
  /** Weight of the era before, or of even parts, beside what this era has shown; in steps. */
  private static final double PRIOR_WEIGHT_STEPS = 2;
  /** A door asked for this much of its part's rate is pressed: bursts of its own lie ahead. */
  private static final double OVERLOAD_RATE_SHARE = 0.4;
  /** An era's demand is judged from here on. */
  private static final double MIN_OBSERVATION_MS = 1_000;

  /** One firm as this door sees it. */
  private static final class FirmState {
    private final int doorCount;
    private final int doorIndex;
    private final double unitsPerStep;
    private final int floorQuanta;
    private long period = Long.MIN_VALUE;
    private double[] priorShares;
    /** Steps asked for at each door in this era, as told; here: told, and not told yet. */
    private final int[] reportedDemand;
    private int reportedSteps;
    private double unreportedSteps;
    private final int[] transferredTo;
    private final int[] receivedFrom;
    private double lastRequestAt;
    private double nextCallAt;
    private boolean overloaded;

    FirmState(Requested e) {
      doorCount = e.doorCount();
      doorIndex = e.doorIndex();
      unitsPerStep = e.rate() * DEMAND_STEP_S;
      int evenQuanta = QUANTA / doorCount;
      int largestRequestQuanta = (int) Math.ceil(QUANTA * e.maxUnits() / e.burst());
      floorQuanta = Math.min(evenQuanta, Math.max(evenQuanta / 2, largestRequestQuanta));
      reportedDemand = new int[doorCount];
      transferredTo = new int[doorCount];
      receivedFrom = new int[doorCount];
      priorShares = evenShares();
    }

    int evenQuanta() {
      return QUANTA / doorCount;
    }

    double[] evenShares() {
      double[] parts = new double[doorCount];
      Arrays.fill(parts, 1.0 / doorCount);
      return parts;
    }

    int transferredTotal() {
      return Arrays.stream(transferredTo).sum();
    }

    int receivedTotal() {
      return Arrays.stream(receivedFrom).sum();
    }

    double demandOf(int door) {
      return door == doorIndex ? reportedSteps + unreportedSteps : reportedDemand[door];
    }

    double[] demandShares() {
      double[] shares = new double[doorCount];
      double total = PRIOR_WEIGHT_STEPS;
      for (int i = 0; i < doorCount; i++) {
        total += demandOf(i);
      }
      for (int i = 0; i < doorCount; i++) {
        shares[i] = (demandOf(i) + PRIOR_WEIGHT_STEPS * priorShares[i]) / total;
      }
      return shares;
    }

    /** Quanta that each door would have if all went by what was asked for, none below the floor. */
    double[] targetQuanta() {
      double[] targets = demandShares();
      for (int i = 0; i < doorCount; i++) {
        targets[i] = floorQuanta + doorCount * (evenQuanta() - floorQuanta) * targets[i];
      }
      return targets;
    }
  }

  private double startedAt;
  private boolean handedOver;
  private final LinkedHashMap<Long, FirmState> firms = new LinkedHashMap<>(16, 0.75f, true);
  private List<RightsAction> actions = new ArrayList<>();
  private double now;
  private double backoffUntil = Double.NEGATIVE_INFINITY;
  private double callTokens = MAX_CALLS_PER_S;
  private double callTokensAt;

  /** For a door that begins to live now. */
  public CeilingRights(double nowMs) {
    startedAt = nowMs;
    callTokensAt = nowMs;
  }

  /** Whether a name at the counter is one of these, and its answers are to be told here. */
  public static boolean ownsName(String name) {
    return name.indexOf('^') > 0;
  }

  /** Takes one event and gives what to do, in order. */
  public List<RightsAction> on(double nowMs, RightsEvent event) {
    now = nowMs;
    actions = new ArrayList<>(2);
    if (event instanceof Requested e) {
      onRequested(e);
    } else if (event instanceof CallEnded e) {
      onCallEnded(e);
    } else if (event instanceof Activated) {
      startedAt = now;
      handedOver = false;
    } else if (event instanceof HandedOver) {
      handedOver = true;
    } else if (event instanceof Woken) {
      firms.forEach((customer, f) -> reportDemandIfDue(customer, f));
      actions.add(new WakeAt(now + WAKE_INTERVAL_MS));
    }
    return actions;
  }

  private void onRequested(Requested e) {
    if (handedOver || e.doorIndex() < 0 || e.doorIndex() >= e.doorCount()) {
      actions.add(new Share(0, Double.POSITIVE_INFINITY, 0));
    } else if (e.doorCount() == 1 || e.doorCount() > MAX_DOORS) {
      actions.add(new Share(1.0 / e.doorCount(), Double.POSITIVE_INFINITY, 1.0 / e.doorCount()));
    } else {
      FirmState f = firmState(e);
      rollPeriod(e.customer(), f);
      f.unreportedSteps += f.unitsPerStep > 0 ? e.units() / f.unitsPerStep : 0;
      f.lastRequestAt = now;
      actions.add(currentShare(e.customer(), f));
      reportDemandIfDue(e.customer(), f);
    }
  }

  /** The firm, kept while there is room for it: one that is not kept has given nothing in any era. */
  private FirmState firmState(Requested e) {
    FirmState f = firms.get(e.customer());
    if (f != null && f.doorCount == e.doorCount() && f.doorIndex == e.doorIndex()) {
      return f;
    }
    FirmState created = new FirmState(e);
    if (f != null) {
      // Its set has changed: what was given of the old parts may be in use until the era's end.
      created.transferredTo[created.doorIndex] = created.evenQuanta() - created.floorQuanta;
      created.period = periodOf(e.customer());
    }
    if (f == null && firms.size() >= MAX_FIRMS) {
      Map.Entry<Long, FirmState> eldest = firms.entrySet().iterator().next();
      if (now - eldest.getValue().lastRequestAt <= PERIOD_MS) {
        return created;
      }
      firms.remove(eldest.getKey());
    }
    firms.put(e.customer(), created);
    return created;
  }

  private static double periodOffset(long customer) {
    return Math.floorMod(customer * 0x9E3779B97F4A7C15L, (long) PERIOD_MS);
  }

  private long periodOf(long customer) {
    return (long) Math.floor((now + periodOffset(customer)) / PERIOD_MS);
  }

  private double periodStart(long customer, long period) {
    return period * PERIOD_MS - periodOffset(customer);
  }

  private void rollPeriod(long customer, FirmState f) {
    long period = periodOf(customer);
    if (period != f.period) {
      f.priorShares = period == f.period + 1 ? f.demandShares() : f.evenShares();
      f.period = period;
      f.reportedSteps = 0;
      f.unreportedSteps = 0;
      f.overloaded = false;
      Arrays.fill(f.reportedDemand, 0);
      Arrays.fill(f.transferredTo, 0);
      Arrays.fill(f.receivedFrom, 0);
    }
  }

  private boolean startedInPeriod(long customer, FirmState f) {
    return startedAt > periodStart(customer, f.period) - CLOCK_SKEW_GUARD_MS;
  }

  private Share currentShare(long customer, FirmState f) {
    int ownQuanta = startedInPeriod(customer, f) ? f.floorQuanta : f.evenQuanta() - f.transferredTotal();
    double transfersEnd = periodStart(customer, f.period + 1) - CLOCK_SKEW_GUARD_MS;
    int receivedQuanta = now < transfersEnd ? f.receivedTotal() : 0;
    return new Share((ownQuanta + receivedQuanta) / (double) QUANTA,
        receivedQuanta > 0 ? transfersEnd : Double.POSITIVE_INFINITY,
        ownQuanta / (double) QUANTA);
  }

  /** Tells what was asked for here since the last time, and hears of the others, when it is time to. */
  private void reportDemandIfDue(long customer, FirmState f) {
    rollPeriod(customer, f);
    if (handedOver || now < f.nextCallAt || now < backoffUntil || now - f.lastRequestAt > PERIOD_MS) {
      return;
    }
    int steps = (int) Math.min(f.unreportedSteps, DIGIT_BASE - 1 - f.reportedSteps);
    // A life before may have told its part: nothing is added that could run over into another digit.
    steps = startedInPeriod(customer, f) ? 0 : steps;
    if (callCounter(counterName(customer, "d", f), steps, f.doorIndex)) {
      f.reportedSteps += steps;
      f.unreportedSteps -= steps;
      f.nextCallAt = now + (f.overloaded ? OVERLOADED_CALL_INTERVAL_MS : CALL_INTERVAL_MS);
    }
  }

  private static String counterName(long customer, String purpose, FirmState f) {
    return Long.toString(customer, 36) + '^' + purpose + ':' + f.period;
  }

  private boolean callCounter(String name, int count, int digit) {
    callTokens = Math.min(MAX_CALLS_PER_S, callTokens + MAX_CALLS_PER_S * (now - callTokensAt) / 1000);
    callTokensAt = now;
    if (callTokens < 1) {
      return false;
    }
    callTokens -= 1;
    actions.add(new Call(name, count * Math.pow(DIGIT_BASE, digit), NAME_TTL_MS));
    return true;
  }

  private void onCallEnded(CallEnded e) {
    if (Double.isNaN(e.total())) {
      backoffUntil = now + FAILURE_BACKOFF_MS;
      return;
    }
    int separator = e.name().indexOf('^');
    int colon = e.name().indexOf(':');
    long customer = Long.parseLong(e.name().substring(0, separator), 36);
    FirmState f = firms.get(customer);
    if (f == null || handedOver || Long.parseLong(e.name().substring(colon + 1)) != f.period
        || f.period != periodOf(customer)) {
      return;
    }
    String purpose = e.name().substring(separator + 1, colon);
    int[] digits = digits(e.total(), f.doorCount);
    if (digits == null) {
      return;
    }
    if (purpose.equals("d")) {
      for (int i = 0; i < f.doorCount; i++) {
        f.reportedDemand[i] = Math.max(f.reportedDemand[i], digits[i]);
      }
      transferSpareRights(customer, f);
    } else if (purpose.equals(Integer.toString(f.doorIndex))) {
      for (int i = 0; i < f.doorCount; i++) {
        // More than a door can give is no gift of these doors.
        boolean plausible = i != f.doorIndex && digits[i] <= f.evenQuanta() - f.floorQuanta;
        f.receivedFrom[i] = plausible ? Math.max(f.receivedFrom[i], digits[i]) : f.receivedFrom[i];
      }
    }
  }

  /** The digits of a total, or null when it is none of this kind. */
  private static int[] digits(double total, int doors) {
    if (!(total >= 0) || total != Math.rint(total) || total >= Math.pow(DIGIT_BASE, doors)) {
      return null;
    }
    int[] digits = new int[doors];
    long remaining = (long) total;
    for (int i = 0; i < doors; i++) {
      digits[i] = (int) (remaining % DIGIT_BASE);
      remaining /= DIGIT_BASE;
    }
    return digits;
  }

  private void transferSpareRights(long customer, FirmState f) {
    double periodStart = periodStart(customer, f.period);
    if (now - periodStart < MIN_OBSERVATION_MS) {
      return;
    }
    double steps = (now - periodStart) / 1000 / DEMAND_STEP_S;
    double[] targets = f.targetQuanta();
    double totalShortfall = 0;
    for (int i = 0; i < f.doorCount; i++) {
      boolean overloaded = f.demandOf(i) > OVERLOAD_RATE_SHARE * steps * f.evenQuanta() / QUANTA
          && targets[i] > f.evenQuanta();
      targets[i] = overloaded ? targets[i] - f.evenQuanta() : i == f.doorIndex ? targets[i] : 0;
      totalShortfall += overloaded ? targets[i] : 0;
      f.overloaded |= overloaded;
      if (overloaded && i == f.doorIndex) {
        callCounter(counterName(customer, Integer.toString(f.doorIndex), f), 0, 0);
        return;
      }
    }
    if (totalShortfall <= 0 || startedInPeriod(customer, f)) {
      return;
    }
    int spare = Math.min(f.evenQuanta() - f.floorQuanta, (int) (f.evenQuanta() - targets[f.doorIndex]));
    for (int i = 0; i < f.doorCount; i++) {
      int quanta = i == f.doorIndex ? 0 : (int) (spare * targets[i] / totalShortfall) - f.transferredTo[i];
      quanta = Math.min(quanta, spare - f.transferredTotal());
      if (quanta > 0) {
        // Lowered before it is told: a call that is lost costs this door's part, and nobody's ceiling.
        f.transferredTo[i] += quanta;
        if (!callCounter(counterName(customer, Integer.toString(i), f), quanta, f.doorIndex)) {
          f.transferredTo[i] -= quanta;
        }
      }
    }
  }
}
