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
 * Checks the event history of a finished run against the invariants of {@link Rule}. The checker knows only
 * what clients, backends and processes observed and nothing of the doors' internal state, so that it can't
 * share a door's errors.
 *
 * <p>Requests that are excused: those whose door was killed or stopped while they were outstanding; those on
 * a reused connection that was closed without an answer and that the client sent again (a door may close a
 * connection between requests); and those whose client disconnected first.
 */
public final class InvariantChecker {

  /**
   * Tolerance for scheduling delays when an answer or attempt is compared with a deadline or the drain grace
   * period.
   */
  public static final double DEADLINE_SLACK_MS = 50;
  /** Widens a ceiling's slack by what its rate grants in this time, because arrival times vary. */
  private static final double ARRIVAL_JITTER_MS = 150;
  /**
   * The close of a connection may be observed up to this long after data written later on another connection.
   */
  private static final double CLOSE_REORDERING_MS = 20;
  /** Attempts by which work sent to a cold backend may exceed its limit, to allow for random variation. */
  private static final double COLD_SPARE_ATTEMPTS = 4;

  /** Invariants that a run must keep. */
  public enum Rule { ANSWERED_ONCE, EFFECT_ONCE, ONE_ATTEMPT_OUT, REFUSED_HARMLESS, DRAIN_KEPT, COLD_SPARED,
      CEILING_KEPT, CHECKED_ONCE, ALLOWED_FIRST, BUDGET_KEPT, SENT_TO_NONE_OUT, PERMIT_ONE_HOLDER,
      TWO_VERSIONS, HALT_KEPT, WAY_BACK_ENDS }

  /** One violation of a rule: a description, and the history of the request, door or backend, in order. */
  public record Violation(Rule rule, String description, List<Entry> history) {

    @Override
    public String toString() {
      StringBuilder text = new StringBuilder(rule + ": " + description + '\n');
      history.forEach(e -> text.append("    ").append(e).append('\n'));
      return text.toString();
    }
  }

  /** The violations found, and how many requests ended in each way. */
  public record Verdict(List<Violation> violations, int requests, int served, int refused, int failed,
      int excused) {

    /** Returns true when no rule was violated. */
    public boolean passed() {
      return violations.isEmpty();
    }

    /** Number of violations of one rule. */
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

  /**
   * Capacity of a backend, for the rule on cold starts: its cores and the mean work of one request in
   * milliseconds.
   */
  public record BackendCapacity(int cores, double workMs) { }

  /**
   * Which requests need an authoriser's approval.
   *
   * @param required selects the requests that need a check; for all others no check may be made
   * @param idempotent true when a check may be repeated
   */
  public record Authorisation(Predicate<ClientRequest> required, boolean idempotent) { }

  /**
   * How many doors and backends may be out of service on purpose at the same time.
   *
   * @param isDoor tells names of doors from those of backends
   * @param countedOutAfterMs a door killed more than this long ago counts as out until it is started again
   */
  public record Budgets(int doors, int backends, Predicate<String> isDoor, double countedOutAfterMs) { }

  /** Also checks permits, backends out and releases against these budgets; null checks none of them. */
  public InvariantChecker withBudgets(Budgets limits) {
    budgets = limits;
    return this;
  }

  public InvariantChecker(EventHistory eventHistory, RunSettings runSettings, BackendCapacity capacity) {
    this(eventHistory, runSettings, capacity, null);
  }

  /** A checker of the given history; a null authorisation skips the rules on checks. */
  public InvariantChecker(EventHistory eventHistory, RunSettings runSettings, BackendCapacity capacity,
      Authorisation authorisation) {
    this.authorisation = authorisation;
    this.eventHistory = eventHistory;
    this.runSettings = runSettings;
    this.capacity = capacity;
  }

  /**
   * Checks the whole history against all rules.
   *
   * @throws IllegalStateException when the history overflowed and is incomplete
   */
  public Verdict verdict() {
    if (eventHistory.overflowed()) {
      throw new IllegalStateException("the event history exceeded " + EventHistory.MAX_ENTRIES
          + " entries and is incomplete");
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

  /**
   * Collects the periods in which each door was unavailable: from a kill to the next start, and from SIGSTOP
   * to SIGCONT.
   */
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

  /** Rule 1: a request accepted by a running door gets exactly one final answer, within its timeout. */
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
            addViolation(Rule.ANSWERED_ONCE, "its connection was closed after it was forwarded", history);
            return;
          }
        }
        case LEFT -> clientLeft = true;
        case FORGED -> addViolation(Rule.ANSWERED_ONCE, "answered with a body that no backend made for it",
            history);
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
   * Rule 2: no effect that may run only once runs twice, and no request whose effect ran is refused unless a
   * repeat of it is harmless.
   */
  private void checkEffects(ClientRequest request, List<Entry> history) {
    List<Entry> effects = history.stream().filter(e -> e.kind() == Kind.EFFECT).toList();
    if (request.kind().runsOnce() && effects.size() > 1) {
      addViolation(Rule.EFFECT_ONCE, "its effect ran " + effects.size() + " times", history);
    }
    boolean wasRefused = history.stream().anyMatch(
        e -> e.kind() == Kind.ANSWERED && (e.amount() == 429 || e.amount() == 503));
    // When all backends drop repeats, a refused client may safely ask again even if the effect ran.
    if (!request.kind().isSafeToRepeat() && wasRefused && !effects.isEmpty()) {
      addViolation(Rule.REFUSED_HARMLESS, "refused, though its effect ran", history);
    }
  }

  /**
   * A request is checked once unless checks are idempotent, and nothing is forwarded before an allow or after
   * a denial.
   */
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
        addViolation(Rule.ALLOWED_FIRST, denied ? "forwarded after a denial" : "forwarded without an allow",
            history);
        return;
      }
    }
  }

  /**
   * Only one attempt is outstanding: the last byte of a second attempt may not arrive before the first has
   * ended.
   */
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
      addViolation(Rule.ONE_ATTEMPT_OUT, "two attempts of " + id + " outstanding at once", history);
    }
  }

  /**
   * Rule 3: no attempt reaches a backend later than the grace period after the door was told that it is
   * draining.
   */
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
          if (lastNotice != null && lastNotice.getValue()
              && e.atMs() - lastNotice.getKey() > runSettings.drainGraceMs() + DEADLINE_SLACK_MS) {
            addViolation(Rule.DRAIN_KEPT,
                String.format("sent to %s %.0f ms after %s was told that it is draining",
                e.other(), e.atMs() - lastNotice.getKey(), door), history);
          }
        }
      }
    });
  }

  /**
   * Permits given to operators: the budgets are never exceeded, a permit has one holder, and a holder has one
   * permit. The time between an operator receiving a permit and asking for its return is shorter than the
   * actual outage, so this check reports no false violations.
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
            addViolation(Rule.PERMIT_ONE_HOLDER, "permit " + e.other() + " of " + e.subject()
                + " beside that of "
                + (holder == null ? previous.other() : holder), List.of(e));
          }
          boolean isDoor = budgets.isDoor().test(e.subject());
          List<Entry> sameKind = membersOut.values().stream()
              .filter(x -> budgets.isDoor().test(x.subject()) == isDoor).toList();
          long longKilledDoors = !isDoor ? 0 : killedAtMs.entrySet().stream()
              .filter(x -> budgets.isDoor().test(x.getKey())
              && !membersOut.containsKey(x.getKey()) && x.getValue() < e.atMs() - budgets.countedOutAfterMs())
              .count();
          if (previous == null
              && sameKind.size() + longKilledDoors > (isDoor ? budgets.doors() : budgets.backends())) {
            addViolation(Rule.BUDGET_KEPT, sameKind.size() + " " + (isDoor ? "doors" : "backends")
                + " are out with a permit and " + longKilledDoors + " were killed", sameKind);
          }
        }
        default -> { }
      }
    }
  }

  /**
   * Releases: at most two versions run at the same time; no process of the halted version starts between the
   * report that the release is halted and the request to continue; and every request for a version, forward
   * or back, ends with the report that all doors run that version, or that the release is halted, and the
   * report is true when it is made.
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
            addViolation(Rule.TWO_VERSIONS, "more than two versions run at once",
                List.copyOf(processes.values()));
          }
          if (halted != null && halted.other().equals(e.other())) {
            addViolation(Rule.HALT_KEPT,
                String.format("%s starts %s %.0f ms after an operator was told that the release"
                + " is halted", e.subject(), e.other(), e.atMs() - halted.atMs()),
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
            addViolation(Rule.WAY_BACK_ENDS, "every door was reported to have " + e.other() + ", and "
                + outdated.size()
                + " have not", outdated);
          }
        }
        default -> { }
      }
    }
    if (pendingRequest != null) {
      addViolation(Rule.WAY_BACK_ENDS, "a release of all doors to " + pendingRequest.other()
          + " was requested, and neither"
          + " its completion nor a halt was reported", List.of(pendingRequest));
    }
  }

  /** No attempt reaches a backend between the report that it is out and the request to bring it back. */
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

  /**
   * Rule 4: in every window of {@code tipAfterMs}, a cold backend gets at most {@code tipMultiple} times the
   * work that it can do.
   */
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

  /** Work that a backend can do in one millisecond, in milliseconds, at a moment after its cold start. */
  private double capacity(double start, double at) {
    double share = runSettings.coldFrom() + (1 - runSettings.coldFrom())
        * Math.min(1, (at - start) / runSettings.coldMs());
    return capacity.cores() * share;
  }

  /**
   * Rule 5: first attempts of a firm over all doors together stay within the plan's ceiling and its slack, as
   * a token bucket.
   */
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
