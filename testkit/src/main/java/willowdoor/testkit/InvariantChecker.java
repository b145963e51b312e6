package willowdoor.testkit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import willowdoor.testkit.EventHistory.ClientRequest;
import willowdoor.testkit.EventHistory.Entry;
import willowdoor.testkit.EventHistory.Kind;
import willowdoor.testkit.RunSettings.PlanTerms;

/**
 * Reads a ledger when the run is over and holds it to the five rules. It knows what clients, backends and
 * machines saw and nothing of the doors' insides, so it can't share their mistakes.
 *
 * <p>What it lets pass: a request whose door was killed or stopped while it was out; a request on a kept
 * connection that was cut unanswered, when the client sent it again (a door may end a connection between
 * requests); a request whose client left first.
 */
public final class InvariantChecker {

  /** Later than this after the client's time ran out, or after the grace, is late; for scheduling alone. */
  public static final double DEADLINE_SLACK_MS = 50;
  /** The ceiling's slack is wider by what its rate gives in this time, as moments of arrival scatter. */
  private static final double ARRIVAL_JITTER_MS = 150;
  /** A connection's end may be seen so long after what was written later on another one. */
  private static final double CLOSE_REORDERING_MS = 20;
  /** Work sent to a cold backend may be over its budget by so many attempts, for chance. */
  private static final double COLD_SPARE_ATTEMPTS = 4;

  /** What can be broken. */
  public enum Rule { ANSWERED_ONCE, EFFECT_ONCE, ONE_ATTEMPT_OUT, REFUSED_HARMLESS, DRAIN_KEPT, COLD_SPARED,
      CEILING_KEPT, CHECKED_ONCE, ALLOWED_FIRST, BUDGET_KEPT, SENT_TO_NONE_OUT, PERMIT_ONE_HOLDER,
      TWO_VERSIONS, HALT_KEPT, WAY_BACK_ENDS }

  /** One break of a rule: what happened, and the history of the request or machine, in order. */
  public record Violation(Rule rule, String description, List<Entry> history) {

    @Override
    public String toString() {
      StringBuilder text = new StringBuilder(rule + ": " + description + '\n');
      history.forEach(e -> text.append("    ").append(e).append('\n'));
      return text.toString();
    }
  }

  /** The verdict, with the figures that stand beside it. */
  public record Verdict(List<Violation> violations, int requests, int served, int refused, int failed,
      int excused) {

    /** True when no rule was broken. */
    public boolean passed() {
      return violations.isEmpty();
    }

    /** How many breaks of one rule there are. */
    public long count(Rule rule) {
      return violations.stream().filter(b -> b.rule() == rule).count();
    }

    @Override
    public String toString() {
      StringBuilder text = new StringBuilder(String.format(
          "requests %d: served %d, refused %d, failed %d, excused (their door was killed or stopped, or none "
          + "took them, or the client left) %d; rules broken %d%n", requests, served, refused, failed,
              excused, violations.size()));
      violations.stream().limit(20).forEach(text::append);
      return text.toString();
    }
  }

  private final EventHistory eventHistory;
  private final RunSettings runSettings;
  private final BackendCapacity capacity;
  private final Authorisation authorisation;
  private Budgets budgets;
  private final List<Violation> violations = new ArrayList<>();
  private final Map<String, List<double[]>> doorDowntimes = new HashMap<>();
  private int served;
  private int refused;
  private int failed;
  private int excused;

  /** How large a backend is: what the rule on cold ones goes by. */
  public record BackendCapacity(int cores, double workMs) { }

  /**
   * Which requests need an authoriser's allow.
   *
   * @param required of those that are not, nothing is asked and nothing held
   * @param idempotent checks may be repeated
   */
  public record Authorisation(Predicate<ClientRequest> required, boolean idempotent) { }

  /**
   * How many may be out at once.
   *
   * @param isDoor tells names of doors from those of backends
   * @param countedOutAfterMs a door that was killed so long ago counts as out, until it is started again
   */
  public record Budgets(int doors, int backends, Predicate<String> isDoor, double countedOutAfterMs) { }

  /** Holds operators' words to these too; null for none. */
  public InvariantChecker withBudgets(Budgets limits) {
    budgets = limits;
    return this;
  }

  public InvariantChecker(EventHistory eventHistory, RunSettings runSettings, BackendCapacity capacity) {
    this(eventHistory, runSettings, capacity, null);
  }

  /** With authorisation null, as without any. */
  public InvariantChecker(EventHistory eventHistory, RunSettings runSettings, BackendCapacity capacity,
      Authorisation authorisation) {
    this.authorisation = authorisation;
    this.eventHistory = eventHistory;
    this.runSettings = runSettings;
    this.capacity = capacity;
  }

  /** Holds the whole ledger to all rules. */
  public Verdict verdict() {
    if (eventHistory.overflowed()) {
      throw new IllegalStateException("the ledger is over its " + EventHistory.MAX_ENTRIES
          + " entries: no verdict");
    }
    collectDoorDowntimes();
    Map<String, List<Entry>> histories = eventHistory.requestHistories();
    histories.forEach((id, history) -> {
      ClientRequest request = eventHistory.clientRequest(id);
      if (request == null) {
        addViolation(Rule.ANSWERED_ONCE, "no client sent a request " + id, history);
      } else {
        checkAnswers(request, history);
        checkEffects(request, history);
        checkSingleAttempt(id, history);
        if (authorisation != null) {
          checkAuthorisation(request, history);
        }
      }
    });
    checkDrains(histories);
    checkColdStarts(histories);
    checkCeilings(histories);
    if (budgets != null) {
      checkPermits();
      checkBackendsOut(histories);
      checkReleases();
    }
    return new Verdict(List.copyOf(violations), histories.size(), served, refused, failed, excused);
  }

  private void addViolation(Rule rule, String description, List<Entry> history) {
    violations.add(new Violation(rule, description, history));
  }

  /** The spans in which each door was no live door: from a kill to its start, from a stop to its going on. */
  private void collectDoorDowntimes() {
    Map<String, Double> since = new HashMap<>();
    for (Entry e : eventHistory.machineEntries()) {
      switch (e.kind()) {
        case KILLED, STOPPED -> since.putIfAbsent(e.subject(), e.atMs());
        case STARTED, CONTINUED -> {
          Double from = since.remove(e.subject());
          if (from != null) {
            doorDowntimes.computeIfAbsent(e.subject(), d -> new ArrayList<>())
                .add(new double[] {from, e.atMs()});
          }
        }
        default -> { }
      }
    }
    since.forEach((door, from) -> doorDowntimes.computeIfAbsent(door, d -> new ArrayList<>())
        .add(new double[] {from, Double.POSITIVE_INFINITY}));
  }

  private boolean wasDown(String door, double from, double to) {
    return doorDowntimes.getOrDefault(door, List.of()).stream().anyMatch(s -> s[0] <= to && s[1] >= from);
  }

  /** Rule 1: a request taken by a live door has exactly one final answer, in time. */
  private void checkAnswers(ClientRequest request, List<Entry> history) {
    Entry lastSend = null;
    int answers = 0;
    int sends = 0;
    int cutsOnReusedConnections = 0;
    boolean clientLeft = false;
    boolean forwarded = false;
    for (Entry e : history) {
      switch (e.kind()) {
        case ASKED -> {
          sends++;
          lastSend = e;
        }
        case ANSWERED -> {
          answers++;
          countOutcome(e.amount());
          if (e.atMs() - request.dueMs() > request.timeoutMs() + DEADLINE_SLACK_MS
              && !wasDown(e.other(), request.dueMs(),
              e.atMs())) {
            addViolation(Rule.ANSWERED_ONCE, String.format(
                "answered %.0f ms after it was sent, with %.0f ms to wait",
                e.atMs() - request.dueMs(), request.timeoutMs()), history);
          }
        }
        case FIRST_BYTE -> forwarded = true;
        case CUT -> {
          cutsOnReusedConnections += e.note().equals("kept") ? 1 : 0;
          if (forwarded && !wasDown(e.other(), request.dueMs(), e.atMs() + DEADLINE_SLACK_MS)) {
            addViolation(Rule.ANSWERED_ONCE, "its connection was cut after it was sent on", history);
            return;
          }
        }
        case LEFT -> clientLeft = true;
        case FORGED -> addViolation(Rule.ANSWERED_ONCE, "served with what no backend made for it", history);
        default -> { }
      }
    }
    if (answers > 1) {
      addViolation(Rule.ANSWERED_ONCE, answers + " final answers", history);
    } else if (answers == 0 && lastSend != null) {
      double until = request.dueMs() + request.timeoutMs();
      if (clientLeft || wasDown(lastSend.other(), lastSend.atMs(), until)
          || sends == cutsOnReusedConnections) {
        excused++;
      } else {
        addViolation(Rule.ANSWERED_ONCE, "never answered", history);
      }
    } else if (answers == 0) {
      excused++;
    }
  }

  private void countOutcome(double status) {
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
  private void checkEffects(ClientRequest request, List<Entry> history) {
    List<Entry> effects = history.stream().filter(e -> e.kind() == Kind.EFFECT).toList();
    if (request.kind().runsOnce() && effects.size() > 1) {
      addViolation(Rule.EFFECT_ONCE, "its effect ran " + effects.size() + " times", history);
    }
    boolean wasRefused = history.stream().anyMatch(
        e -> e.kind() == Kind.ANSWERED && (e.amount() == 429 || e.amount() == 503));
    // Where all backends drop repeats, a client that was refused may ask again whatever ran.
    if (!request.kind().isSafeToRepeat() && wasRefused && !effects.isEmpty()) {
      addViolation(Rule.REFUSED_HARMLESS, "refused, though its effect ran", history);
    }
  }

  /** Asked about once unless that may be repeated, and nothing sent on before an allow or after a denial. */
  private void checkAuthorisation(ClientRequest request, List<Entry> history) {
    List<Entry> checks = history.stream().filter(e -> e.kind() == Kind.CHECKED).toList();
    boolean required = authorisation.required().test(request);
    if (checks.size() > (!required ? 0 : authorisation.idempotent() ? Integer.MAX_VALUE : 1)) {
      addViolation(Rule.CHECKED_ONCE, checks.size() + " checks of it", history);
    }
    boolean allowed = false;
    boolean denied = false;
    for (Entry e : history) {
      allowed |= e.kind() == Kind.ALLOWED;
      denied |= e.kind() == Kind.DENIED;
      if (required && e.kind() == Kind.FIRST_BYTE && (!allowed || denied)) {
        addViolation(Rule.ALLOWED_FIRST, denied ? "sent on though it was denied" : "sent on without an allow",
            history);
        return;
      }
    }
  }

  /** Never two attempts out: the second's last byte may not come while the first has not ended. */
  private void checkSingleAttempt(String id, List<Entry> history) {
    Map<String, Entry> outstanding = new HashMap<>();
    double overlapMs = Double.NaN;
    for (Entry e : history) {
      switch (e.kind()) {
        case LAST_BYTE -> {
          overlapMs = outstanding.isEmpty() ? Double.NaN : e.atMs();
          outstanding.put(e.note(), e);
        }
        case REPLIED, TURNED_AWAY, ATTEMPT_ENDED -> {
          outstanding.remove(e.note());
          if (e.atMs() - overlapMs <= CLOSE_REORDERING_MS && outstanding.size() <= 1) {
            overlapMs = Double.NaN;
          }
        }
        default -> { }
      }
    }
    if (!Double.isNaN(overlapMs)) {
      addViolation(Rule.ONE_ATTEMPT_OUT, "two attempts of " + id + " out at once", history);
    }
  }

  /** Rule 3: nothing new to a backend later than the grace after the door was told that it drains. */
  private void checkDrains(Map<String, List<Entry>> histories) {
    Map<String, TreeMap<Double, Boolean>> drainStates = new HashMap<>();
    for (Entry e : eventHistory.machineEntries()) {
      if (e.kind() == Kind.TOLD_DRAIN || e.kind() == Kind.TOLD_SERVING) {
        drainStates.computeIfAbsent(e.subject() + '>' + e.other(), k -> new TreeMap<>())
            .put(e.atMs(), e.kind() == Kind.TOLD_DRAIN);
      }
    }
    histories.forEach((id, history) -> {
      String door = "";
      for (Entry e : history) {
        if (e.kind() == Kind.ASKED) {
          door = e.other();
        } else if (e.kind() == Kind.FIRST_BYTE && drainStates.containsKey(door + '>' + e.other())) {
          var lastNotice = drainStates.get(door + '>' + e.other()).floorEntry(e.atMs());
          if (lastNotice != null && lastNotice.getValue() && e.atMs()
              - lastNotice.getKey() > runSettings.drainGraceMs() + DEADLINE_SLACK_MS) {
            addViolation(Rule.DRAIN_KEPT, String.format("sent to %s %.0f ms after %s was told that it drains",
                e.other(), e.atMs() - lastNotice.getKey(), door), history);
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
  private void checkPermits() {
    Map<String, Entry> membersOut = new HashMap<>();
    Map<String, String> holders = new HashMap<>();
    Map<String, Double> killedAtMs = new HashMap<>();
    for (Entry e : eventHistory.machineEntries()) {
      switch (e.kind()) {
        case KILLED -> killedAtMs.put(e.subject(), e.atMs());
        case STARTED -> killedAtMs.remove(e.subject());
        case GIVEN_BACK -> membersOut.remove(e.subject());
        case PERMITTED -> {
          String holder = holders.putIfAbsent(e.other(), e.subject());
          Entry previous = membersOut.put(e.subject(), e);
          if (holder != null && !holder.equals(e.subject())
              || previous != null && !previous.other().equals(e.other())) {
            addViolation(Rule.PERMIT_ONE_HOLDER,
                "permit " + e.other() + " of " + e.subject() + " beside that of "
                + (holder == null ? previous.other() : holder), List.of(e));
          }
          boolean isDoor = budgets.isDoor().test(e.subject());
          List<Entry> sameKind = membersOut.values().stream()
              .filter(x -> budgets.isDoor().test(x.subject()) == isDoor).toList();
          long longKilledDoors = !isDoor ? 0
              : killedAtMs.entrySet().stream().filter(x -> budgets.isDoor().test(x.getKey())
              && !membersOut.containsKey(x.getKey()) && x.getValue() < e.atMs() - budgets.countedOutAfterMs())
              .count();
          if (previous == null
              && sameKind.size() + longKilledDoors > (isDoor ? budgets.doors() : budgets.backends())) {
            addViolation(Rule.BUDGET_KEPT, sameKind.size() + " " + (isDoor ? "doors" : "backends")
                + " are out on purpose and " + longKilledDoors + " were killed", sameKind);
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
  private void checkReleases() {
    Map<Double, Entry> processes = new HashMap<>();
    Entry halted = null;
    Entry pendingRequest = null;
    for (Entry e : eventHistory.machineEntries()) {
      switch (e.kind()) {
        case RUNS -> {
          processes.put(e.amount(), e);
          if (processes.values().stream().map(Entry::other).distinct().count() > 2) {
            addViolation(Rule.TWO_VERSIONS, "more than two versions live", List.copyOf(processes.values()));
          }
          if (halted != null && halted.other().equals(e.other())) {
            addViolation(Rule.HALT_KEPT,
                String.format("%s begins %s %.0f ms after an operator was told that nothing"
                + " is under way any more", e.subject(), e.other(), e.atMs() - halted.atMs()),
                    List.of(halted, e));
          }
        }
        case RAN -> processes.remove(e.amount());
        case HALTED -> {
          halted = e;
          pendingRequest = null;
        }
        case LET_ON -> {
          halted = null;
          pendingRequest = e;
        }
        case RELEASED -> {
          pendingRequest = null;
          List<Entry> outdated = processes.values().stream().filter(x -> !x.other().equals(e.other())
              && processes.values().stream().noneMatch(y -> y.subject().equals(x.subject())
                  && y.other().equals(e.other()))).toList();
          if (!outdated.isEmpty()) {
            addViolation(Rule.WAY_BACK_ENDS,
                "told that every door has " + e.other() + ", and " + outdated.size()
                + " have not", outdated);
          }
        }
        default -> { }
      }
    }
    if (pendingRequest != null) {
      addViolation(Rule.WAY_BACK_ENDS, "asked to have all doors with " + pendingRequest.other()
          + ", and never told that they"
          + " have it, or why not", List.of(pendingRequest));
    }
  }

  /** Nothing comes to a backend between the word that it is out and the wish to have it back. */
  private void checkBackendsOut(Map<String, List<Entry>> histories) {
    Map<String, TreeMap<Double, Boolean>> outStates = new HashMap<>();
    for (Entry e : eventHistory.machineEntries()) {
      if (e.kind() == Kind.OUT || e.kind() == Kind.GIVEN_BACK) {
        outStates.computeIfAbsent(e.subject(), k -> new TreeMap<>()).put(e.atMs(), e.kind() == Kind.OUT);
      }
    }
    histories.forEach((id, history) -> {
      for (Entry e : history) {
        var lastNotice = e.kind() == Kind.FIRST_BYTE && outStates.containsKey(e.other())
            ? outStates.get(e.other()).floorEntry(e.atMs()) : null;
        if (lastNotice != null && lastNotice.getValue()) {
          addViolation(Rule.SENT_TO_NONE_OUT,
              String.format("sent to %s %.0f ms after an operator was told that "
              + "nothing is sent there", e.other(), e.atMs() - lastNotice.getKey()), history);
          return;
        }
      }
    });
  }

  /** Rule 4: within any window, a cold backend gets no more work than the multiple of what it can do. */
  private void checkColdStarts(Map<String, List<Entry>> histories) {
    Map<String, List<Double>> starts = new HashMap<>();
    for (Entry e : eventHistory.machineEntries()) {
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
      List<Entry> attempts = sent.getOrDefault(backend, List.of()).stream()
          .filter(e -> e.atMs() >= start && e.atMs() < start + runSettings.coldMs())
          .sorted(Comparator.comparingDouble(Entry::atMs)).toList();
      ArrayDeque<Entry> window = new ArrayDeque<>();
      for (Entry e : attempts) {
        window.add(e);
        while (window.peekFirst().atMs() <= e.atMs() - runSettings.tipAfterMs()) {
          window.pollFirst();
        }
        double capacityMs = capacity(start, e.atMs()) * runSettings.tipAfterMs();
        double allowanceMs = COLD_SPARE_ATTEMPTS * capacity.workMs();
        if (window.size() * capacity.workMs() > runSettings.tipMultiple() * capacityMs + allowanceMs) {
          addViolation(Rule.COLD_SPARED, String.format(
              "%s, %.0f ms after its start, was sent %d attempts in %.0f ms",
              backend, e.atMs() - start, window.size(), runSettings.tipAfterMs()), List.copyOf(window));
          return;
        }
      }
    }));
  }

  /** Milliseconds of work that a backend does in a millisecond, so long after a cold start. */
  private double capacity(double start, double at) {
    double share = runSettings.coldFrom() + (1 - runSettings.coldFrom())
        * Math.min(1, (at - start) / runSettings.coldMs());
    return capacity.cores() * share;
  }

  /** Rule 5: first attempts of a firm, over all doors, take no more than the plan's ceiling and its slack. */
  private void checkCeilings(Map<String, List<Entry>> histories) {
    Map<String, List<Entry>> byFirm = new HashMap<>();
    Map<String, PlanTerms> plans = new HashMap<>();
    histories.forEach((id, history) -> {
      ClientRequest request = eventHistory.clientRequest(id);
      if (request != null && runSettings.plan(request.plan()).ceilingRate() > 0) {
        history.stream().filter(e -> e.kind() == Kind.LAST_BYTE).findFirst().ifPresent(e -> {
          plans.put(request.firm(), runSettings.plan(request.plan()));
          byFirm.computeIfAbsent(request.firm(), f -> new ArrayList<>()).add(e);
        });
      }
    });
    byFirm.forEach((firm, sends) -> {
      PlanTerms plan = plans.get(firm);
      double slack = plan.ceilingSlack() + plan.ceilingRate() * ARRIVAL_JITTER_MS / 1000;
      double level = plan.ceilingBurst();
      double lastMs = 0;
      sends.sort(Comparator.comparingDouble(Entry::atMs));
      for (Entry e : sends) {
        level = Math.min(plan.ceilingBurst(), level + (e.atMs() - lastMs) * plan.ceilingRate() / 1000);
        lastMs = e.atMs();
        level -= e.amount();
        if (level < -slack) {
          addViolation(Rule.CEILING_KEPT,
              String.format("firm %s of %s: %.1f units over its ceiling (slack %.1f)",
              firm, plan.name(), -level, slack), eventHistory.requestHistory(e.subject()));
          return;
        }
      }
    });
  }
}
