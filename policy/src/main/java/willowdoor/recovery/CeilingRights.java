package willowdoor.recovery;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import willowdoor.recovery.RightsAction.Call;
import willowdoor.recovery.RightsAction.Share;
import willowdoor.recovery.RightsAction.WakeAt;
import willowdoor.recovery.RightsEvent.Answered;
import willowdoor.recovery.RightsEvent.Asked;
import willowdoor.recovery.RightsEvent.Begun;
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
 * {@value #ERA_MS} ms begins with even parts. Within it doors tell how much they were asked for, all under
 * one name of the firm, in a digit each. A door asked for less than its part gives the difference to those
 * asked for more than theirs, down to a floor of half its part, or of one largest request. A gift is added
 * to a name that only its receiver goes by, in a digit of the giver's; the receiver takes the largest digit
 * that it has seen, so that a counter which has forgotten, or knows another past, takes nothing away and adds
 * nothing. Gifts end with the era, for the receiver {@value #GUARD_MS} ms before: clocks of doors differ by
 * less than that.
 *
 * <p>A door that began within an era can't know what its life before had given away: until that era's end it
 * keeps to the floor, and gives nothing. Received gifts are not given on, for the same reason. A life that
 * hands over to another keeps nothing for what it still takes; one that takes back is as one that begins.
 *
 * <p>Bounds: sets of {@value #MOST_DOORS} doors at the most (larger ones keep even parts), {@value
 * #MOST_FIRMS} firms (further ones keep even parts), {@value #CALLS_PER_S} calls a second of a door (what is
 * over waits for the next turn). What a door is not part of, it sends nothing of.
 */
public final class CeilingRights {

  /** Parts of a ceiling. */
  static final int QUANTA = 64;
  /** How long gifts last; counts of the counter live three times as long. */
  static final double ERA_MS = 20_000;
  /** A receiver lets go of gifts so long before the era's end. */
  static final double GUARD_MS = 1_000;
  /** Four digits of this base make a total of less than 10^7, of which the counter keeps each digit. */
  static final int BASE = 50;
  static final int MOST_DOORS = 4;
  static final int MOST_FIRMS = 4_096;
  static final int CALLS_PER_S = 100;
  /** Spacing of a firm's calls while a door of its set is asked for more than its part, and otherwise. */
  static final double PRESSED_MS = 500;
  static final double EASY_MS = 1_000;
  private static final double WAKE_MS = 250;
  /** After a call that failed none is made for so long. */
  private static final double QUIET_MS = 1_000;
  private static final double NAME_LIFE_MS = 60_000;
  /** Demand is told in steps of what the ceiling gives in this time. */
  private static final double STEP_S = 0.5;
  /** Weight of the era before, or of even parts, beside what this era has shown; in steps. */
  private static final double PRIOR = 2;
  /** A door asked for this much of its part's rate is pressed: bursts of its own lie ahead. */
  private static final double PRESSED = 0.4;
  /** An era's demand is judged from here on. */
  private static final double JUDGED_AFTER_MS = 1_000;

  /** One firm as this door sees it. */
  private static final class Firm {
    private final int doors;
    private final int place;
    private final double step;
    private final int floor;
    private long era = Long.MIN_VALUE;
    private double[] prior;
    /** Steps asked for at each door in this era, as told; here: told, and not told yet. */
    private final int[] demand;
    private int told;
    private double untold;
    private final int[] given;
    private final int[] got;
    private double askedAt;
    private double callAt;
    private boolean pressed;

    Firm(Asked e) {
      doors = e.doors();
      place = e.place();
      step = e.rate() * STEP_S;
      int even = QUANTA / doors;
      int largest = (int) Math.ceil(QUANTA * e.mostUnits() / e.burst());
      floor = Math.min(even, Math.max(even / 2, largest));
      demand = new int[doors];
      given = new int[doors];
      got = new int[doors];
      prior = even();
    }

    int base() {
      return QUANTA / doors;
    }

    double[] even() {
      double[] parts = new double[doors];
      Arrays.fill(parts, 1.0 / doors);
      return parts;
    }

    int givenAway() {
      return Arrays.stream(given).sum();
    }

    int received() {
      return Arrays.stream(got).sum();
    }

    double asked(int door) {
      return door == place ? told + untold : demand[door];
    }

    double[] shares() {
      double[] shares = new double[doors];
      double all = PRIOR;
      for (int i = 0; i < doors; i++) {
        all += asked(i);
      }
      for (int i = 0; i < doors; i++) {
        shares[i] = (asked(i) + PRIOR * prior[i]) / all;
      }
      return shares;
    }

    /** Quanta that each door would have if all went by what was asked for, none below the floor. */
    double[] targets() {
      double[] targets = shares();
      for (int i = 0; i < doors; i++) {
        targets[i] = floor + doors * (base() - floor) * targets[i];
      }
      return targets;
    }
  }

  private double bornAt;
  private boolean handedOver;
  private final LinkedHashMap<Long, Firm> firms = new LinkedHashMap<>(16, 0.75f, true);
  private List<RightsAction> actions = new ArrayList<>();
  private double now;
  private double quietUntil = Double.NEGATIVE_INFINITY;
  private double calls = CALLS_PER_S;
  private double callsAt;

  /** For a door that begins to live now. */
  public CeilingRights(double nowMs) {
    bornAt = nowMs;
    callsAt = nowMs;
  }

  /** Whether a name at the counter is one of these, and its answers are to be told here. */
  public static boolean owns(String name) {
    return name.indexOf('^') > 0;
  }

  /** Takes one event and gives what to do, in order. */
  public List<RightsAction> on(double nowMs, RightsEvent event) {
    now = nowMs;
    actions = new ArrayList<>(2);
    if (event instanceof Asked e) {
      onAsked(e);
    } else if (event instanceof Answered e) {
      onAnswered(e);
    } else if (event instanceof Begun) {
      bornAt = now;
      handedOver = false;
    } else if (event instanceof HandedOver) {
      handedOver = true;
    } else if (event instanceof Woken) {
      firms.forEach((customer, f) -> turn(customer, f));
      actions.add(new WakeAt(now + WAKE_MS));
    }
    return actions;
  }

  private void onAsked(Asked e) {
    if (handedOver || e.place() < 0 || e.place() >= e.doors()) {
      actions.add(new Share(0, Double.POSITIVE_INFINITY, 0));
    } else if (e.doors() == 1 || e.doors() > MOST_DOORS) {
      actions.add(new Share(1.0 / e.doors(), Double.POSITIVE_INFINITY, 1.0 / e.doors()));
    } else {
      Firm f = firm(e);
      roll(e.customer(), f);
      f.untold += f.step > 0 ? e.units() / f.step : 0;
      f.askedAt = now;
      actions.add(share(e.customer(), f));
      turn(e.customer(), f);
    }
  }

  /** The firm, kept while there is room for it: one that is not kept has given nothing in any era. */
  private Firm firm(Asked e) {
    Firm f = firms.get(e.customer());
    if (f != null && f.doors == e.doors() && f.place == e.place()) {
      return f;
    }
    Firm made = new Firm(e);
    if (f != null) {
      // Its set has changed: what was given of the old parts may be in use until the era's end.
      made.given[made.place] = made.base() - made.floor;
      made.era = era(e.customer());
    }
    if (f == null && firms.size() >= MOST_FIRMS) {
      Map.Entry<Long, Firm> eldest = firms.entrySet().iterator().next();
      if (now - eldest.getValue().askedAt <= ERA_MS) {
        return made;
      }
      firms.remove(eldest.getKey());
    }
    firms.put(e.customer(), made);
    return made;
  }

  private static double phase(long customer) {
    return Math.floorMod(customer * 0x9E3779B97F4A7C15L, (long) ERA_MS);
  }

  private long era(long customer) {
    return (long) Math.floor((now + phase(customer)) / ERA_MS);
  }

  private double eraStart(long customer, long era) {
    return era * ERA_MS - phase(customer);
  }

  private void roll(long customer, Firm f) {
    long era = era(customer);
    if (era != f.era) {
      f.prior = era == f.era + 1 ? f.shares() : f.even();
      f.era = era;
      f.told = 0;
      f.untold = 0;
      f.pressed = false;
      Arrays.fill(f.demand, 0);
      Arrays.fill(f.given, 0);
      Arrays.fill(f.got, 0);
    }
  }

  private boolean bornInEra(long customer, Firm f) {
    return bornAt > eraStart(customer, f.era) - GUARD_MS;
  }

  private Share share(long customer, Firm f) {
    int own = bornInEra(customer, f) ? f.floor : f.base() - f.givenAway();
    double end = eraStart(customer, f.era + 1) - GUARD_MS;
    int received = now < end ? f.received() : 0;
    return new Share((own + received) / (double) QUANTA, received > 0 ? end : Double.POSITIVE_INFINITY,
        own / (double) QUANTA);
  }

  /** Tells what was asked for here since the last time, and hears of the others, when it is time to. */
  private void turn(long customer, Firm f) {
    roll(customer, f);
    if (handedOver || now < f.callAt || now < quietUntil || now - f.askedAt > ERA_MS) {
      return;
    }
    int steps = (int) Math.min(f.untold, BASE - 1 - f.told);
    // A life before may have told its part: nothing is added that could run over into another digit.
    steps = bornInEra(customer, f) ? 0 : steps;
    if (call(name(customer, "d", f), steps, f.place)) {
      f.told += steps;
      f.untold -= steps;
      f.callAt = now + (f.pressed ? PRESSED_MS : EASY_MS);
    }
  }

  private static String name(long customer, String of, Firm f) {
    return Long.toString(customer, 36) + '^' + of + ':' + f.era;
  }

  private boolean call(String name, int count, int digit) {
    calls = Math.min(CALLS_PER_S, calls + CALLS_PER_S * (now - callsAt) / 1000);
    callsAt = now;
    if (calls < 1) {
      return false;
    }
    calls -= 1;
    actions.add(new Call(name, count * Math.pow(BASE, digit), NAME_LIFE_MS));
    return true;
  }

  private void onAnswered(Answered e) {
    if (Double.isNaN(e.total())) {
      quietUntil = now + QUIET_MS;
      return;
    }
    int mark = e.name().indexOf('^');
    int colon = e.name().indexOf(':');
    long customer = Long.parseLong(e.name().substring(0, mark), 36);
    Firm f = firms.get(customer);
    if (f == null || handedOver || Long.parseLong(e.name().substring(colon + 1)) != f.era
        || f.era != era(customer)) {
      return;
    }
    String of = e.name().substring(mark + 1, colon);
    int[] digits = digits(e.total(), f.doors);
    if (digits == null) {
      return;
    }
    if (of.equals("d")) {
      for (int i = 0; i < f.doors; i++) {
        f.demand[i] = Math.max(f.demand[i], digits[i]);
      }
      judge(customer, f);
    } else if (of.equals(Integer.toString(f.place))) {
      for (int i = 0; i < f.doors; i++) {
        // More than a door can give is no gift of these doors.
        boolean gift = i != f.place && digits[i] <= f.base() - f.floor;
        f.got[i] = gift ? Math.max(f.got[i], digits[i]) : f.got[i];
      }
    }
  }

  /** The digits of a total, or null when it is none of this kind. */
  private static int[] digits(double total, int doors) {
    if (!(total >= 0) || total != Math.rint(total) || total >= Math.pow(BASE, doors)) {
      return null;
    }
    int[] digits = new int[doors];
    long rest = (long) total;
    for (int i = 0; i < doors; i++) {
      digits[i] = (int) (rest % BASE);
      rest /= BASE;
    }
    return digits;
  }

  private void judge(long customer, Firm f) {
    double began = eraStart(customer, f.era);
    if (now - began < JUDGED_AFTER_MS) {
      return;
    }
    double steps = (now - began) / 1000 / STEP_S;
    double[] targets = f.targets();
    double missing = 0;
    for (int i = 0; i < f.doors; i++) {
      boolean short_ = f.asked(i) > PRESSED * steps * f.base() / QUANTA && targets[i] > f.base();
      targets[i] = short_ ? targets[i] - f.base() : i == f.place ? targets[i] : 0;
      missing += short_ ? targets[i] : 0;
      f.pressed |= short_;
      if (short_ && i == f.place) {
        call(name(customer, Integer.toString(f.place), f), 0, 0);
        return;
      }
    }
    if (missing <= 0 || bornInEra(customer, f)) {
      return;
    }
    int spare = Math.min(f.base() - f.floor, (int) (f.base() - targets[f.place]));
    for (int i = 0; i < f.doors; i++) {
      int more = i == f.place ? 0 : (int) (spare * targets[i] / missing) - f.given[i];
      more = Math.min(more, spare - f.givenAway());
      if (more > 0) {
        // Lowered before it is told: a call that is lost costs this door's part, and nobody's ceiling.
        f.given[i] += more;
        if (!call(name(customer, Integer.toString(i), f), more, f.place)) {
          f.given[i] -= more;
        }
      }
    }
  }
}
