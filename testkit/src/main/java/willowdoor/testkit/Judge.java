package willowdoor.testkit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import willowdoor.testkit.Ledger.Asked;
import willowdoor.testkit.Ledger.Entry;
import willowdoor.testkit.Ledger.Kind;
import willowdoor.testkit.Terms.PlanTerms;

/**
 * Reads a ledger when the run is over and holds it to the five rules. It knows what clients, backends and
 * machines saw and nothing of the doors' insides, so it can't share their mistakes.
 *
 * <p>What it lets pass: a request whose door was killed or stopped while it was out; a request on a kept
 * connection that was cut unanswered, when the client sent it again (a door may end a connection between
 * requests); a request whose client left first.
 */
public final class Judge {

  /** Later than this after the client's time ran out, or after the grace, is late; for scheduling alone. */
  public static final double SLACK_MS = 50;
  /** The ceiling's slack is wider by what its rate gives in this time, as moments of arrival scatter. */
  private static final double CEILING_SCATTER_MS = 150;
  /** A connection's end may be seen so long after what was written later on another one. */
  private static final double CROSSING_MS = 20;
  /** Work sent to a cold backend may be over its budget by so many attempts, for chance. */
  private static final double COLD_SPARE_ATTEMPTS = 4;

  /** What can be broken. */
  public enum Rule { ANSWERED_ONCE, EFFECT_ONCE, ONE_ATTEMPT_OUT, REFUSED_HARMLESS, DRAIN_KEPT, COLD_SPARED,
      CEILING_KEPT, CHECKED_ONCE, ALLOWED_FIRST, BUDGET_KEPT, SENT_TO_NONE_OUT, PERMIT_ONE_HOLDER,
      TWO_VERSIONS, HALT_KEPT, WAY_BACK_ENDS }

  /** One break of a rule: what happened, and the history of the request or machine, in order. */
  public record Breach(Rule rule, String what, List<Entry> history) {

    @Override
    public String toString() {
      StringBuilder text = new StringBuilder(rule + ": " + what + '\n');
      history.forEach(e -> text.append("    ").append(e).append('\n'));
      return text.toString();
    }
  }

  /** The verdict, with the figures that stand beside it. */
  public record Verdict(List<Breach> breaches, int requests, int served, int refused, int failed,
      int excused) {

    /** True when no rule was broken. */
    public boolean kept() {
      return breaches.isEmpty();
    }

    /** How many breaks of one rule there are. */
    public long count(Rule rule) {
      return breaches.stream().filter(b -> b.rule() == rule).count();
    }

    @Override
    public String toString() {
      StringBuilder text = new StringBuilder(String.format(
          "requests %d: served %d, refused %d, failed %d, excused (their door was killed or stopped, or none "
          + "took them, or the client left) %d; rules broken %d%n", requests, served, refused, failed,
              excused, breaches.size()));
      breaches.stream().limit(20).forEach(text::append);
      return text.toString();
    }
  }

  private final Ledger ledger;
  private final Terms terms;
  private final BackendShape shape;
  private final Authorisation authorisation;
  private Budgets budgets;
  private final List<Breach> breaches = new ArrayList<>();
  private final Map<String, List<double[]>> away = new HashMap<>();
  private int served;
  private int refused;
  private int failed;
  private int excused;

  /** How large a backend is: what the rule on cold ones goes by. */
  public record BackendShape(int cores, double workMs) { }

  /**
   * Which requests need an authoriser's allow.
   *
   * @param needed of those that are not, nothing is asked and nothing held
   * @param idempotent checks may be repeated
   */
  public record Authorisation(Predicate<Asked> needed, boolean idempotent) { }

  /**
   * How many may be out at once.
   *
   * @param isDoor tells names of doors from those of backends
   * @param lapseMs a door that was killed so long ago counts as out, until it is started again
   */
  public record Budgets(int doors, int backends, Predicate<String> isDoor, double lapseMs) { }

  /** Holds operators' words to these too; null for none. */
  public Judge budgets(Budgets kept) {
    budgets = kept;
    return this;
  }

  public Judge(Ledger ledger, Terms terms, BackendShape shape) {
    this(ledger, terms, shape, null);
  }

  /** With authorisation null, as without any. */
  public Judge(Ledger ledger, Terms terms, BackendShape shape, Authorisation authorisation) {
    this.authorisation = authorisation;
    this.ledger = ledger;
    this.terms = terms;
    this.shape = shape;
  }

  /** Holds the whole ledger to all rules. */
  public Verdict verdict() {
    if (ledger.overflown()) {
      throw new IllegalStateException("the ledger is over its " + Ledger.MOST_ENTRIES
          + " entries: no verdict");
    }
    doorsAway();
    Map<String, List<Entry>> histories = ledger.histories();
    histories.forEach((id, history) -> {
      Asked asked = ledger.asked(id);
      if (asked == null) {
        breach(Rule.ANSWERED_ONCE, "no client sent a request " + id, history);
      } else {
        answers(asked, history);
        effects(asked, history);
        oneOut(id, history);
        if (authorisation != null) {
          checks(asked, history);
        }
      }
    });
    drains(histories);
    colds(histories);
    ceilings(histories);
    if (budgets != null) {
      permits();
      sentToNoneOut(histories);
      releases();
    }
    return new Verdict(List.copyOf(breaches), histories.size(), served, refused, failed, excused);
  }

  private void breach(Rule rule, String what, List<Entry> history) {
    breaches.add(new Breach(rule, what, history));
  }

  /** The spans in which each door was no live door: from a kill to its start, from a stop to its going on. */
  private void doorsAway() {
    Map<String, Double> since = new HashMap<>();
    for (Entry e : ledger.machines()) {
      switch (e.kind()) {
        case KILLED, STOPPED -> since.putIfAbsent(e.subject(), e.atMs());
        case STARTED, CONTINUED -> {
          Double from = since.remove(e.subject());
          if (from != null) {
            away.computeIfAbsent(e.subject(), d -> new ArrayList<>()).add(new double[] {from, e.atMs()});
          }
        }
        default -> { }
      }
    }
    since.forEach((door, from) -> away.computeIfAbsent(door, d -> new ArrayList<>())
        .add(new double[] {from, Double.POSITIVE_INFINITY}));
  }

  private boolean wasAway(String door, double from, double to) {
    return away.getOrDefault(door, List.of()).stream().anyMatch(s -> s[0] <= to && s[1] >= from);
  }

  /** Rule 1: a request taken by a live door has exactly one final answer, in time. */
  private void answers(Asked asked, List<Entry> history) {
    Entry taken = null;
    int answers = 0;
    int takings = 0;
    int cutsOnKept = 0;
    boolean left = false;
    boolean sentOn = false;
    for (Entry e : history) {
      switch (e.kind()) {
        case ASKED -> {
          takings++;
          taken = e;
        }
        case ANSWERED -> {
          answers++;
          count(e.amount());
          if (e.atMs() - asked.dueMs() > asked.timeoutMs() + SLACK_MS && !wasAway(e.other(), asked.dueMs(),
              e.atMs())) {
            breach(Rule.ANSWERED_ONCE, String.format(
                "answered %.0f ms after it was sent, with %.0f ms to wait",
                e.atMs() - asked.dueMs(), asked.timeoutMs()), history);
          }
        }
        case FIRST_BYTE -> sentOn = true;
        case CUT -> {
          cutsOnKept += e.note().equals("kept") ? 1 : 0;
          if (sentOn && !wasAway(e.other(), asked.dueMs(), e.atMs() + SLACK_MS)) {
            breach(Rule.ANSWERED_ONCE, "its connection was cut after it was sent on", history);
            return;
          }
        }
        case LEFT -> left = true;
        case FORGED -> breach(Rule.ANSWERED_ONCE, "served with what no backend made for it", history);
        default -> { }
      }
    }
    if (answers > 1) {
      breach(Rule.ANSWERED_ONCE, answers + " final answers", history);
    } else if (answers == 0 && taken != null) {
      double until = asked.dueMs() + asked.timeoutMs();
      if (left || wasAway(taken.other(), taken.atMs(), until) || takings == cutsOnKept) {
        excused++;
      } else {
        breach(Rule.ANSWERED_ONCE, "never answered", history);
      }
    } else if (answers == 0) {
      excused++;
    }
  }

  private void count(double status) {
    if (status == 200) {
      served++;
    } else if (status == 429 || status == 503) {
      refused++;
    } else {
      failed++;
    }
  }

  /**
   * Rule 2: no effect runs twice, and what was refused to the client has not run where it can't be undone.
   */
  private void effects(Asked asked, List<Entry> history) {
    List<Entry> ran = history.stream().filter(e -> e.kind() == Kind.EFFECT).toList();
    if (asked.kind().once() && ran.size() > 1) {
      breach(Rule.EFFECT_ONCE, "its effect ran " + ran.size() + " times", history);
    }
    boolean refusedIt = history.stream().anyMatch(
        e -> e.kind() == Kind.ANSWERED && (e.amount() == 429 || e.amount() == 503));
    // Where all backends drop repeats, a client that was refused may ask again whatever ran.
    if (!asked.kind().repeatsDropped() && refusedIt && !ran.isEmpty()) {
      breach(Rule.REFUSED_HARMLESS, "refused, though its effect ran", history);
    }
  }

  /** Asked about once unless that may be repeated, and nothing sent on before an allow or after a denial. */
  private void checks(Asked asked, List<Entry> history) {
    List<Entry> checks = history.stream().filter(e -> e.kind() == Kind.CHECKED).toList();
    boolean needed = authorisation.needed().test(asked);
    if (checks.size() > (!needed ? 0 : authorisation.idempotent() ? Integer.MAX_VALUE : 1)) {
      breach(Rule.CHECKED_ONCE, checks.size() + " checks of it", history);
    }
    boolean allowed = false;
    boolean denied = false;
    for (Entry e : history) {
      allowed |= e.kind() == Kind.ALLOWED;
      denied |= e.kind() == Kind.DENIED;
      if (needed && e.kind() == Kind.FIRST_BYTE && (!allowed || denied)) {
        breach(Rule.ALLOWED_FIRST, denied ? "sent on though it was denied" : "sent on without an allow",
            history);
        return;
      }
    }
  }

  /** Never two attempts out: the second's last byte may not come while the first has not ended. */
  private void oneOut(String id, List<Entry> history) {
    Map<String, Entry> out = new HashMap<>();
    double overlap = Double.NaN;
    for (Entry e : history) {
      switch (e.kind()) {
        case LAST_BYTE -> {
          overlap = out.isEmpty() ? Double.NaN : e.atMs();
          out.put(e.note(), e);
        }
        case REPLIED, TURNED_AWAY, ATTEMPT_ENDED -> {
          out.remove(e.note());
          if (e.atMs() - overlap <= CROSSING_MS && out.size() <= 1) {
            overlap = Double.NaN;
          }
        }
        default -> { }
      }
    }
    if (!Double.isNaN(overlap)) {
      breach(Rule.ONE_ATTEMPT_OUT, "two attempts of " + id + " out at once", history);
    }
  }

  /** Rule 3: nothing new to a backend later than the grace after the door was told that it drains. */
  private void drains(Map<String, List<Entry>> histories) {
    Map<String, TreeMap<Double, Boolean>> told = new HashMap<>();
    for (Entry e : ledger.machines()) {
      if (e.kind() == Kind.TOLD_DRAIN || e.kind() == Kind.TOLD_SERVING) {
        told.computeIfAbsent(e.subject() + '>' + e.other(), k -> new TreeMap<>())
            .put(e.atMs(), e.kind() == Kind.TOLD_DRAIN);
      }
    }
    histories.forEach((id, history) -> {
      String door = "";
      for (Entry e : history) {
        if (e.kind() == Kind.ASKED) {
          door = e.other();
        } else if (e.kind() == Kind.FIRST_BYTE && told.containsKey(door + '>' + e.other())) {
          var last = told.get(door + '>' + e.other()).floorEntry(e.atMs());
          if (last != null && last.getValue() && e.atMs() - last.getKey() > terms.drainGraceMs() + SLACK_MS) {
            breach(Rule.DRAIN_KEPT, String.format("sent to %s %.0f ms after %s was told that it drains",
                e.other(), e.atMs() - last.getKey(), door), history);
          }
        }
      }
    });
  }

  /**
   * What operators were told: never more out at once than may be, a permit for one thing only, one permit for
   * a thing. From the word to an operator until the return is asked for is less than it is out, so nothing is
   * found that was not so.
   */
  private void permits() {
    Map<String, Entry> out = new HashMap<>();
    Map<String, String> holders = new HashMap<>();
    Map<String, Double> dead = new HashMap<>();
    for (Entry e : ledger.machines()) {
      switch (e.kind()) {
        case KILLED -> dead.put(e.subject(), e.atMs());
        case STARTED -> dead.remove(e.subject());
        case GIVEN_BACK -> out.remove(e.subject());
        case PERMITTED -> {
          String holder = holders.putIfAbsent(e.other(), e.subject());
          Entry before = out.put(e.subject(), e);
          if (holder != null && !holder.equals(e.subject())
              || before != null && !before.other().equals(e.other())) {
            breach(Rule.PERMIT_ONE_HOLDER, "permit " + e.other() + " of " + e.subject() + " beside that of "
                + (holder == null ? before.other() : holder), List.of(e));
          }
          boolean door = budgets.isDoor().test(e.subject());
          List<Entry> all = out.values().stream()
              .filter(x -> budgets.isDoor().test(x.subject()) == door).toList();
          long gone = !door ? 0 : dead.entrySet().stream().filter(x -> budgets.isDoor().test(x.getKey())
              && !out.containsKey(x.getKey()) && x.getValue() < e.atMs() - budgets.lapseMs()).count();
          if (before == null && all.size() + gone > (door ? budgets.doors() : budgets.backends())) {
            breach(Rule.BUDGET_KEPT, all.size() + " " + (door ? "doors" : "backends")
                + " are out on purpose and " + gone + " were killed", all);
          }
        }
        default -> { }
      }
    }
  }

  /**
   * Releases: never more than two versions live at a time; nothing begins between the word that all is still
   * and the wish to go on; and who asked for a version, back or forth, was told in the end that all doors
   * have it, or that it is halted, and it was so when told.
   */
  private void releases() {
    Map<Double, Entry> live = new HashMap<>();
    Entry halted = null;
    Entry asked = null;
    for (Entry e : ledger.machines()) {
      switch (e.kind()) {
        case RUNS -> {
          live.put(e.amount(), e);
          if (live.values().stream().map(Entry::other).distinct().count() > 2) {
            breach(Rule.TWO_VERSIONS, "more than two versions live", List.copyOf(live.values()));
          }
          if (halted != null && halted.other().equals(e.other())) {
            breach(Rule.HALT_KEPT,
                String.format("%s begins %s %.0f ms after an operator was told that nothing"
                + " is under way any more", e.subject(), e.other(), e.atMs() - halted.atMs()),
                    List.of(halted, e));
          }
        }
        case RAN -> live.remove(e.amount());
        case HALTED -> {
          halted = e;
          asked = null;
        }
        case LET_ON -> {
          halted = null;
          asked = e;
        }
        case RELEASED -> {
          asked = null;
          List<Entry> others = live.values().stream().filter(x -> !x.other().equals(e.other())
              && live.values().stream().noneMatch(y -> y.subject().equals(x.subject())
                  && y.other().equals(e.other()))).toList();
          if (!others.isEmpty()) {
            breach(Rule.WAY_BACK_ENDS, "told that every door has " + e.other() + ", and " + others.size()
                + " have not", others);
          }
        }
        default -> { }
      }
    }
    if (asked != null) {
      breach(Rule.WAY_BACK_ENDS, "asked to have all doors with " + asked.other()
          + ", and never told that they"
          + " have it, or why not", List.of(asked));
    }
  }

  /** Nothing comes to a backend between the word that it is out and the wish to have it back. */
  private void sentToNoneOut(Map<String, List<Entry>> histories) {
    Map<String, TreeMap<Double, Boolean>> told = new HashMap<>();
    for (Entry e : ledger.machines()) {
      if (e.kind() == Kind.OUT || e.kind() == Kind.GIVEN_BACK) {
        told.computeIfAbsent(e.subject(), k -> new TreeMap<>()).put(e.atMs(), e.kind() == Kind.OUT);
      }
    }
    histories.forEach((id, history) -> {
      for (Entry e : history) {
        var last = e.kind() == Kind.FIRST_BYTE && told.containsKey(e.other())
            ? told.get(e.other()).floorEntry(e.atMs()) : null;
        if (last != null && last.getValue()) {
          breach(Rule.SENT_TO_NONE_OUT, String.format("sent to %s %.0f ms after an operator was told that "
              + "nothing is sent there", e.other(), e.atMs() - last.getKey()), history);
          return;
        }
      }
    });
  }

  /** Rule 4: within any window, a cold backend gets no more work than the multiple of what it can do. */
  private void colds(Map<String, List<Entry>> histories) {
    Map<String, List<Double>> starts = new HashMap<>();
    for (Entry e : ledger.machines()) {
      if (e.kind() == Kind.STARTED && e.note().equals("cold")) {
        starts.computeIfAbsent(e.subject(), k -> new ArrayList<>()).add(e.atMs());
      }
    }
    if (starts.isEmpty()) {
      return;
    }
    Map<String, List<Entry>> sent = new HashMap<>();
    histories.values().forEach(h -> h.stream().filter(e -> e.kind() == Kind.LAST_BYTE)
        .forEach(e -> sent.computeIfAbsent(e.other(), k -> new ArrayList<>()).add(e)));
    starts.forEach((backend, times) -> times.forEach(start -> {
      List<Entry> came = sent.getOrDefault(backend, List.of()).stream()
          .filter(e -> e.atMs() >= start && e.atMs() < start + terms.coldMs())
          .sorted(Comparator.comparingDouble(Entry::atMs)).toList();
      ArrayDeque<Entry> window = new ArrayDeque<>();
      for (Entry e : came) {
        window.add(e);
        while (window.peekFirst().atMs() <= e.atMs() - terms.tipAfterMs()) {
          window.pollFirst();
        }
        double can = capacity(start, e.atMs()) * terms.tipAfterMs();
        double spare = COLD_SPARE_ATTEMPTS * shape.workMs();
        if (window.size() * shape.workMs() > terms.tipMultiple() * can + spare) {
          breach(Rule.COLD_SPARED, String.format(
              "%s, %.0f ms after its start, was sent %d attempts in %.0f ms",
              backend, e.atMs() - start, window.size(), terms.tipAfterMs()), List.copyOf(window));
          return;
        }
      }
    }));
  }

  /** Milliseconds of work that a backend does in a millisecond, so long after a cold start. */
  private double capacity(double start, double at) {
    double share = terms.coldFrom() + (1 - terms.coldFrom()) * Math.min(1, (at - start) / terms.coldMs());
    return shape.cores() * share;
  }

  /** Rule 5: first attempts of a firm, over all doors, take no more than the plan's ceiling and its slack. */
  private void ceilings(Map<String, List<Entry>> histories) {
    Map<String, List<Entry>> byFirm = new HashMap<>();
    Map<String, PlanTerms> plans = new HashMap<>();
    histories.forEach((id, history) -> {
      Asked asked = ledger.asked(id);
      if (asked != null && terms.plan(asked.plan()).ceilingRate() > 0) {
        history.stream().filter(e -> e.kind() == Kind.LAST_BYTE).findFirst().ifPresent(e -> {
          plans.put(asked.firm(), terms.plan(asked.plan()));
          byFirm.computeIfAbsent(asked.firm(), f -> new ArrayList<>()).add(e);
        });
      }
    });
    byFirm.forEach((firm, sends) -> {
      PlanTerms plan = plans.get(firm);
      double slack = plan.ceilingSlack() + plan.ceilingRate() * CEILING_SCATTER_MS / 1000;
      double store = plan.ceilingBurst();
      double at = 0;
      sends.sort(Comparator.comparingDouble(Entry::atMs));
      for (Entry e : sends) {
        store = Math.min(plan.ceilingBurst(), store + (e.atMs() - at) * plan.ceilingRate() / 1000);
        at = e.atMs();
        store -= e.amount();
        if (store < -slack) {
          breach(Rule.CEILING_KEPT, String.format("firm %s of %s: %.1f units over its ceiling (slack %.1f)",
              firm, plan.name(), -store, slack), ledger.history(e.subject()));
          return;
        }
      }
    });
  }
}
