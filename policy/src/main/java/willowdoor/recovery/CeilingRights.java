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
 * Divides each firm's ceiling among the doors that serve the firm, so that the shares never add up to more
 * than the ceiling, whatever happens to the counter: lost, replaced, restored from an old copy, or split in
 * two. Does no I/O, reads no clock and starts no thread.
 *
 * <p>The algorithm moves rights between doors: a door spends its own rights without asking anyone, and the
 * only change is a transfer, in which the holder first lowers its own rights and then tells one other door
 * how much it transferred. (D. Barbará and H. Garcia-Molina, "The Demarcation Protocol", VLDB Journal 3,
 * 1994; for replicas that may be partitioned, V. Balegas et al., "Extending Eventually Consistent Cloud
 * Databases for Enforcing Numeric Invariants", SRDS 2015.) A transfer that is lost on the way stays lost: the
 * shares then add up to less than the ceiling, never to more.
 *
 * <p>Rights are counted in quanta, {@value #QUANTA} to a ceiling, which divide its rate and its burst alike.
 * Each period of {@value #PERIOD_MS} ms starts with even shares. Within a period the doors report their
 * demand under one counter name of the firm, each door in its own digit of the total. A door whose demand is
 * below its even share transfers the difference to the doors whose demand is above theirs. It keeps at least
 * a floor: half of the even share, or one largest request, but no more than the even share. A transfer is
 * added to a counter name that belongs to the receiver alone, in the sender's digit. The receiver uses the
 * largest digit that it has seen, so that a counter which lost its totals or has other ones takes nothing
 * away and adds nothing. Transfers end with the period, for the receiver {@value #CLOCK_SKEW_GUARD_MS} ms
 * earlier, as the clocks of doors differ by less than that.
 *
 * <p>A door process that started within a period cannot know what the door's previous process transferred:
 * until the period ends it has the floor only, and transfers nothing. Received rights are not passed on, for
 * the same reason. A process that hands over to another has no share for requests that still arrive; one that
 * takes over again is treated as one that has just started.
 *
 * <p>Limits: {@value #MAX_DOORS} doors to a firm (larger sets keep even shares), {@value #MAX_FIRMS} firms
 * (further ones keep even shares), {@value #MAX_CALLS_PER_S} counter calls a second for each door (calls
 * beyond that wait until the next wake-up or request). A door sends nothing about firms that it does not
 * serve.
 */
public final class CeilingRights {

  /** Number of quanta that a ceiling is divided into. */
  static final int QUANTA = 64;
  /** Length of a period, after which transfers end; names at the counter live three times as long. */
  static final double PERIOD_MS = 20_000;
  /** A receiver stops using transfers this long before the period ends. */
  static final double CLOCK_SKEW_GUARD_MS = 1_000;
  /** Base of the digits in a total: four of them stay below 10^7, up to which the counter is exact. */
  static final int DIGIT_BASE = 50;
  static final int MAX_DOORS = 4;
  static final int MAX_FIRMS = 4_096;
  static final int MAX_CALLS_PER_S = 100;
  /** Interval of a firm's demand calls once a door of its set was overloaded in this period. */
  static final double OVERLOADED_CALL_INTERVAL_MS = 500;
  /** Interval of a firm's demand calls otherwise. */
  static final double CALL_INTERVAL_MS = 1_000;
  private static final double WAKE_INTERVAL_MS = 250;
  /** After a failed call no demand is reported for this long. */
  private static final double FAILURE_BACKOFF_MS = 1_000;
  private static final double NAME_TTL_MS = 60_000;
  /** Demand is reported in steps; one step is what the ceiling's rate yields in this time. */
  private static final double DEMAND_STEP_S = 0.5;
  /** Weight, in steps, of the previous period's shares (or of even shares) against this period's demand. */
  private static final double PRIOR_WEIGHT_STEPS = 2;
  /** A door counts as overloaded above this share of its part of the rate, to leave room for bursts. */
  private static final double OVERLOAD_RATE_SHARE = 0.4;
  /** No rights are transferred before this much of a period has passed. */
  private static final double MIN_OBSERVATION_MS = 1_000;

  /** The state of one firm in this door. */
  private static final class FirmState {
    private final int doorCount;
    private final int doorIndex;
    private final double unitsPerStep;
    private final int floorQuanta;
    private long period = Long.MIN_VALUE;
    private double[] priorShares;
    /** Demand of each door in this period, in steps, as the counter has answered. */
    private final int[] reportedDemand;
    /** Demand of this door that was reported, in steps. */
    private int reportedSteps;
    /** Demand of this door that was not reported yet, in steps. */
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

    /** Quanta of each door if rights followed demand alone, none below the floor. */
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

  /** For a door process that starts now. */
  public CeilingRights(double nowMs) {
    startedAt = nowMs;
    callTokensAt = nowMs;
  }

  /** Whether a counter name is one of this class, whose answers are to be passed to {@link #on}. */
  public static boolean ownsName(String name) {
    return name.indexOf('^') > 0;
  }

  /** Handles one event and returns the actions to perform, in order; {@code nowMs} never goes back. */
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

  /** The firm's state, stored if there is room; a firm whose state is not stored has transferred nothing. */
  private FirmState firmState(Requested e) {
    FirmState f = firms.get(e.customer());
    if (f != null && f.doorCount == e.doorCount() && f.doorIndex == e.doorIndex()) {
      return f;
    }
    FirmState created = new FirmState(e);
    if (f != null) {
      // The firm's set of doors has changed: transfers of the old shares may be in use until the period ends.
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
        receivedQuanta > 0 ? transfersEnd : Double.POSITIVE_INFINITY, ownQuanta / (double) QUANTA);
  }

  /** When a call is due, reports this door's new demand; the answer holds the demand of all doors. */
  private void reportDemandIfDue(long customer, FirmState f) {
    rollPeriod(customer, f);
    if (handedOver || now < f.nextCallAt || now < backoffUntil || now - f.lastRequestAt > PERIOD_MS) {
      return;
    }
    int steps = (int) Math.min(f.unreportedSteps, DIGIT_BASE - 1 - f.reportedSteps);
    // The door's previous process may have reported demand: adding more could overflow into the next digit.
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
        // A digit above what a door can transfer does not come from these doors.
        boolean plausible = i != f.doorIndex && digits[i] <= f.evenQuanta() - f.floorQuanta;
        f.receivedFrom[i] = plausible ? Math.max(f.receivedFrom[i], digits[i]) : f.receivedFrom[i];
      }
    }
  }

  /** The digits of a total, one for each door, or null if doors cannot have made this total. */
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
        // Lowered before the call: if the call is lost, this door loses rights, and the ceiling holds.
        f.transferredTo[i] += quanta;
        if (!callCounter(counterName(customer, Integer.toString(i), f), quanta, f.doorIndex)) {
          f.transferredTo[i] -= quanta;
        }
      }
    }
  }
}
