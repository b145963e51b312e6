package willowdoor.policy;

import java.util.*;
import willowdoor.policy.GatewayApi.*;
import willowdoor.policy.GatewayState.*;

/**
 * All decisions of one gateway. Its interface (settings, events, actions) is GatewayApi.java in this folder.
 * The ordinary path: each request's estimate is added to its customer's shared count, refused if the answer
 * shows that it passes the plan's quota, and settled by the true units (docs/design.md tells the departures).
 * One instance a gateway, one thread; time comes with the events.
 */
public final class QuotaPolicy {

  // ---- Constants ----

  /** Longest window of a count: many refills of any usual quota, so edges are rare. */
  private static final double MAX_WINDOW_MS = 25_000;
  /** Up to this many entry points each meets a customer often enough to follow its bucket that long. */
  private static final double MAX_FOLLOWING_ENTRY_POINTS = 3;
  /** What a customer is taken to use of its rate before anything is known: most stay well under it. */
  private static final double ASSUMED_RATE_SHARE = 0.5;
  /** Counts estimated to be past the limit by this share of it are not asked for: the answer is known. */
  private static final double SURELY_SPENT_SHARE = 0.5;
  private static final double COUNT_TTL_MS = 60_000;
  /** How often waiting requests are looked at: well under what a person or an aim notices. */
  private static final double TICK_MS = 25;
  /** Without open requests a slow pulse is enough: it shows when this gateway stood still. */
  private static final double IDLE_TICK_MS = 250;
  /** A wake-up later than this means that this gateway stood still: far more than any load explains. */
  private static final double STALL_MS = 100;
  /** A request waits for the counter at most this share of its aim; the rest is for the backends. */
  private static final double COUNTER_WAIT_SHARE_OF_AIM = 0.06;
  /** Calls failing in a row before the counter is taken to be away; fewer is a lost packet. */
  private static final int COUNTER_AWAY_AFTER_FAILURES = 4;
  /** Least spacing of trial calls while the counter is away: of a gateway's, and of the whole fleet's. */
  private static final double COUNTER_TRIAL_MS = 250;
  private static final double FLEET_COUNTER_TRIAL_MS = 5;
  /** Multiplicative decrease and additive increase of the share of requests that call, as in TCP. */
  private static final double CALL_SHARE_DECREASE_FACTOR = 0.7;
  private static final double CALL_SHARE_INCREASE = 0.02;
  /** Increase for each second between answers, so that gateways with few calls recover as soon as others. */
  private static final double CALL_SHARE_INCREASE_PER_S = 0.05;
  private static final double MIN_CALL_SHARE = 0.02;
  /** Where calling resumes when an absent counter is back, so that all gateways together do not flood it. */
  private static final double CALL_SHARE_AFTER_RETURN = 0.3;
  /** Calls a second by which all gateways together put back what a replaced counter has lost. */
  private static final double FLEET_RESTORE_CALLS_PER_S = 2_000;
  /** Share of a ceiling for many gateways by themselves: a largest request each would be all of it. */
  private static final double LOCAL_CEILING_SHARE = 0.25;
  /** A customer known to be spent is still asked about this often, as refunds of others may have come. */
  private static final double SPENT_RECHECK_MS = 400;
  /** A customer whose places were all taken is not asked about for this long: a fraction of an attempt. */
  private static final double SLOT_RECHECK_MS = 50;
  /** How long the spending of a customer is remembered for its rates: longer than a burst, a few refills. */
  private static final double RATE_MEMORY_MS = 5_000;
  /** How long a rarely met customer is taken to go on as last seen: heavy use comes in long spells. */
  private static final double USAGE_SPELL_MS = 15_000;
  /** Weight of the newest answer in a backend's failures; its slowness, which differs more; the fleet's. */
  private static final double FAILURE_WEIGHT = 0.2;
  private static final double SLOWNESS_WEIGHT = 0.05;
  private static final double FLEET_SLOWNESS_WEIGHT = 0.02;
  /** One answer shows no more slowness than this: beyond it, that an attempt fails is what matters. */
  private static final double MAX_SLOWNESS = 20;
  /** An attempt out for so many times what its size explains shows a slow backend; a silent one. */
  private static final double OVERDUE_FACTOR = 1.5;
  private static final double SILENT_FACTOR = 2.5;
  /** A backend failing more of its answers than this, as after three in a row, rests for a growing while. */
  private static final double FAILING_SHARE = 0.4;
  private static final double BACKOFF_MS = 1_000;
  /** Backends that a gateway keeps to (subsetting), and gateways that each has at least: few connections. */
  private static final int SUBSET_SIZE = 12;
  /** Backends compared for a request, over all gateways; two at least, as equal stale reports make a herd. */
  private static final double FLEET_CANDIDATES = 30;
  /** Further attempts for each request, earned by first attempts, and how many the fleet may save up. */
  private static final double RETRY_TOKENS_PER_REQUEST = 0.15;
  private static final double FLEET_MAX_RETRY_TOKENS = 30;
  /** A first attempt that can be repeated is given up after this share of the aim, so that a second fits. */
  private static final double FIRST_ATTEMPT_SHARE_OF_AIM = 0.65;
  /** No repeat leaves in this last part of the time for which it is dropped: it may yet have to wait. */
  private static final double REPEAT_MARGIN_SHARE = 0.25;
  /** Answer this long before the client gives up, so that the answer itself is in time. */
  private static final double ANSWER_MARGIN_MS = 15;
  /** Attempts out at a backend, of all gateways, from which on further ones mostly wait: few for any. */
  private static final double MIN_KNEE = 3;
  /** No crowd is seen before so many answers: they tell whether there is one. */
  private static final int MIN_ANSWERS_TO_SHED = 20;
  /** It lies higher where answers at a crowd take less of their aims than this: by so much with each. */
  private static final double KNEE_RAISE_BELOW = 0.12;
  private static final double KNEE_RAISE = 0.02;
  /** And lower again, to the least, where they take more than this. */
  private static final double KNEE_LOWER_ABOVE = 0.25;
  private static final double KNEE_LOWER = 0.02;
  /** Crowding, in knees, from which on the least worthy requests are shed, and how steeply more are. */
  private static final double SHED_FROM_CROWDING = 0.5;
  private static final double SHED_SLOPE = 1.2;
  /** What has less of a chance to be in time is refused unless the fleet has room for anything. */
  private static final double MIN_CHANCE_IN_TIME = 0.5;
  /** So much more is asked of a request that no answer of the counter has confirmed. */
  private static final double UNCONFIRMED_SURCHARGE = 0.3;
  /** How sharply the chance of an answer in time falls round the aim: answers to one size vary by a half. */
  private static final double IN_TIME_SHARPNESS = 3;
  /** A fleet less crowded than this has room for anything, also for what earns beyond its quota. */
  private static final double SPARE_CROWDING = 0.4;
  /** Weight of the newest answer in the fleet's wait: the last twenty count, or the last few seconds. */
  private static final double PRESSURE_WEIGHT = 0.05;
  private static final double PRESSURE_DECAY_MS = 4_000;
  /** A backend with fewer requests than this, of all gateways, is not taken to queue. */
  private static final double IDLE_REQUESTS = 3;
  /** Random spread of expected waits, so that gateways with the same reports pick different backends. */
  private static final double WAIT_JITTER = 0.05;
  /** How long a backend's measured speed and failures are worth much without a further answer. */
  private static final double LEARNED_DECAY_MS = 6_000;
  /** How long a load report is worth much: others' requests there are mostly answered by then. */
  private static final double LOAD_REPORT_DECAY_MS = 700;
  /** Wait for any usable backend this share of the aim before refusing. */
  private static final double BACKEND_WAIT_SHARE_OF_AIM = 0.4;
  /** What a backend is taken to need before anything was seen of it. */
  private static final double DEFAULT_SERVICE_MS = 100;

  private final Settings settings;
  private final SplittableRandom random;
  final Map<String, Plan> plans = new HashMap<>();
  final Map<String, RequestClass> classes = new HashMap<>();
  private List<Action> actions = new ArrayList<>();
  double now, startedAt;

  public QuotaPolicy(Settings settings, long seed) {
    this.settings = settings;
    this.random = new SplittableRandom(seed);
    maxRetryTokens = Math.max(1, FLEET_MAX_RETRY_TOKENS / Math.max(1, settings.gateways()));
    retryTokens = maxRetryTokens;
    settings.plans().forEach(p -> plans.put(p.name(), p));
    settings.classes().forEach(c -> classes.put(c.name(), c));
  }

  /** To be called once, before any event. */
  public List<Action> start(double nowMs) {
    now = nowMs;
    startedAt = nowMs;
    actions = new ArrayList<>();
    armTimer(TICK_MS);
    if (settings.capabilities().rosterOnRequest()) {
      actions.add(new FollowRoster());
    }
    return actions;
  }

  /** The part of a customer's use of late that came through this gateway; an even one while not known. */
  public double localUsageShare(long customer, int entryPoints) {
    Account account = accounts.get(customer);
    boolean known = account != null && consecutiveCallFailures < COUNTER_AWAY_AFTER_FAILURES
        && account.ownRate + account.othersRate > 0;
    return known ? account.ownRate / (account.ownRate + account.othersRate) : 1.0 / Math.max(1, entryPoints);
  }

  /** Takes one event and gives what to do, in order. */
  public List<Action> on(double nowMs, Event event) {
    now = nowMs;
    actions = new ArrayList<>();
    detectStall();
    if (event instanceof Request e) {
      onRequest(e);
      if (wakeAt > now + TICK_MS && !openJobs.isEmpty()) {
        armTimer(TICK_MS);
      }
    } else if (event instanceof Outcome e) {
      onOutcome(e);
    } else if (event instanceof Counted e) {
      onCounted(e);
    } else if (event instanceof CounterReplaced e) {
      onCounterReplaced(e.lostSinceMs());
    } else if (event instanceof Woken e) {
      onWoken(e);
    } else if (event instanceof Roster e) {
      onRoster(e);
    } else if (event instanceof ClientLeft e) {
      onClientLeft(e.request());
    } else if (event instanceof PreCheck e) {
      onPreCheck(e.request());
    } else if (event instanceof StreamStarted e && openJobs.containsKey(e.request())) {
      openJobs.get(e.request()).streaming = true;
    }
    return actions;
  }

  // ---- Quota ----

  /** What this gateway knows of one customer: a replica of its plan's bucket, fed by the shared totals. */
  final class Account extends AccountState {
    Account(Request request, Plan plan) {
      super(request.customer(), plan, Math.max(1, Math.min(request.entryPoints(), settings.gateways())), now);
      ceilingShare = request.ceilingShare();
      double refillMs = plan.rate() > 0 ? 1000 * plan.burst() / plan.rate() : 0;
      double followedMs = plan.ceilingRate() > 0 ? MAX_WINDOW_MS : MAX_WINDOW_MS
          * MAX_FOLLOWING_ENTRY_POINTS / this.entryPoints;
      windowMs = Math.max(refillMs, Math.min(MAX_WINDOW_MS, followedMs));
      countsPerWindow = windowMs < 2 * refillMs && settings.capabilities().sharedCounter();
      windowOffsetMs = Math.floorMod(customer * 0x9E3779B97F4A7C15L, (long) MAX_WINDOW_MS);
      level = settings.capabilities().sharedCounter() ? plan.burst() : plan.burst() / this.entryPoints;
      fillCeiling((now - startedAt) / 1000);
      localQuotaUnits = random.nextDouble() * settings.maxUnits();
      othersRate = plan.rate() * (countsPerWindow ? ASSUMED_RATE_SHARE : 1 - 1.0 / this.entryPoints);
    }

    /**
     * The share of a ceiling for gateways by themselves: all for two, for more a largest request each; of
     * many, and where totals tell all, a part. Where shares are told, all, as no count can be relied on.
     */
    double localCeilingShare() {
      double each = Math.max(2.0 / entryPoints, entryPoints * settings.maxUnits() / plan.ceilingBurst());
      return ceilingShare != null ? 1 : countsPerWindow || entryPoints > MAX_FOLLOWING_ENTRY_POINTS
          ? LOCAL_CEILING_SHARE : Math.min(1, each);
    }

    double maxSharedCeilingUnits() {
      return (plan.ceilingBurst() + plan.ceilingSlack() / 2) * (1 - localCeilingShare());
    }

    /** Whether the window before that one is told, and by a counter that has lost nothing of it. */
    boolean isPreviousTotalKnown(long window) {
      return previousTotalWindow == window - 1 && counterReturnedAt < windowStart(now) - windowMs;
    }

    /** What is left of the ceiling with such a total, if all of the last window was spent at its end. */
    double minSharedCeilingUnits(double total) {
      boolean previousKnown = isPreviousTotalKnown(currentWindow(now));
      double filledFrom = previousKnown ? windowStart(now) : Math.max(windowStart(now), counterReturnedAt);
      double unitsThen = Math
          .max(0, maxSharedCeilingUnits()
          - (previousKnown ? Math.min(previousTotal, plan.burst()) : plan.burst()));
      return Math.min(maxSharedCeilingUnits(),
          unitsThen + plan.ceilingRate() * (1 - localCeilingShare()) * (now - filledFrom) / 1000)
          - total;
    }

    /** The same, as followed from the answer before, with all that others used since then used just now. */
    double followedSharedCeilingUnits(boolean newWindow, long window, double total, double added) {
      double lastCapped = Math.min(lastTotal, plan.burst());
      double earlierGrowth = !newWindow ? -lastCapped : totalWindow == window - 1
          ? Math.min(previousTotal, plan.burst()) - lastCapped : previousTotal;
      boolean continuous = syncedAt >= counterReturnedAt && (!newWindow || isPreviousTotalKnown(window));
      return continuous ? sharedCeilingUnits - earlierGrowth - Math.min(total, plan.burst() + added) + added
          : Double.NEGATIVE_INFINITY;
    }

    void fillCeiling(double seconds) {
      double burst = plan.ceilingBurst() + plan.ceilingSlack() / 2;
      double gatewayShare = ceilingShare == null ? localCeilingShare() / entryPoints
          : now < ceilingShare.untilMs() ? ceilingShare.share() : ceilingShare.nextShare();
      sharedCeilingUnits = Math
          .min(maxSharedCeilingUnits(),
          sharedCeilingUnits + plan.ceilingRate() * (1 - localCeilingShare()) * seconds);
      localCeilingUnits = Math
          .min(burst * gatewayShare, localCeilingUnits + plan.ceilingRate() * gatewayShare * seconds);
    }

    /** What another share than before has filled until now is counted by the less of both. */
    void updateCeilingShare(CeilingShare next) {
      CeilingShare previous = ceilingShare;
      ceilingShare = next != null && previous != null && next.share() > previous.share() ? previous : next;
      advance();
      ceilingShare = next;
    }

    /** This gateway's even part of the quota: what it may send on unasked. */
    void fillLocalQuota(double seconds) {
      double cap = Math.max(plan.burst() / entryPoints, settings.maxUnits());
      localQuotaUnits = Math.min(cap, localQuotaUnits + plan.rate() / entryPoints * seconds);
    }

    /** Refills to the present; others go on spending as they did, but this gateway keeps its own share. */
    void advance() {
      double seconds = (now - levelUpdatedAt) / 1000;
      levelUpdatedAt = now;
      if (seconds <= 0) {
        return;
      }
      fillLocalQuota(seconds);
      if (countsPerWindow) {
        deductExpectedUse(seconds);
        return;
      }
      double rateFloor = plan.rate() * 0.05;
      double ownShare = (ownRate + rateFloor) / (ownRate + othersRate + rateFloor * entryPoints);
      boolean shared = settings.capabilities().sharedCounter();
      double othersUse = shared ? Math.min(othersRate, plan.rate() * (1 - ownShare)) : othersRate;
      double cap = shared ? plan.burst() : plan.burst() / entryPoints;
      double levelWithoutOthers = Math.min(cap, level + plan.rate() * seconds);
      level = Math.min(cap, level + (plan.rate() - othersUse) * seconds);
      assumedOthersUnits += levelWithoutOthers - level;
      fillCeiling(seconds);
    }

    /** Room left in this window, less what the others are expected to use; a new window starts at nought. */
    void deductExpectedUse(double seconds) {
      double sinceWindowStart = now - windowStart(now);
      double elapsedMs = Math.min(sinceWindowStart, seconds * 1000);
      level = elapsedMs == sinceWindowStart ? plan.burst() : level;
      double assumedRate = ASSUMED_RATE_SHARE * plan.rate();
      double confidence = Double.isNaN(syncedAt) ? 0 : Math.exp((syncedAt - now) / USAGE_SPELL_MS);
      level -= (assumedRate + confidence * (othersRate - assumedRate)) * elapsedMs / 1000;
    }

    /** Far from its limit by all that is known: where calls are scarce, they are for others. */
    boolean isFarFromLimit() {
      return !countsPerWindow && level > plan.burst() / 2;
    }

    /** Whether the customer is known to be spent, so that a call would only add to the counter's load. */
    boolean isSurelySpent(double units) {
      boolean totalPastBurst = totalWindow == currentWindow(now) && lastTotal >= plan.burst();
      return countsPerWindow ? level < (totalPastBurst ? units : -SURELY_SPENT_SHARE * plan.burst())
          : maxLevel() < units && now - syncedAt < SPENT_RECHECK_MS;
    }

    /** The most the bucket can hold if the others have spent nothing since the last answer. */
    double maxLevel() {
      return Math.min(plan.burst(), level + assumedOthersUnits) - inFlightUnits;
    }
  }

  /** In order of use, so that the longest idle is dropped when another is met: nothing grows for ever. */
  final Map<Long, Account> accounts = new LinkedHashMap<>(16, 0.75f, true) {
    @Override
    protected boolean removeEldestEntry(Map.Entry<Long, Account> e) {
      return now - e.getValue().levelUpdatedAt > COUNT_TTL_MS && e.getValue().attemptsInFlight == 0;
    }
  };
  private final Map<String, ArrayDeque<CounterCall<Account, Job>>> pendingCalls = new HashMap<>();
  /** Accounts whose units are to be put back at a counter that replaced another, at most all there are. */
  private final ArrayDeque<Account> accountsToRestore = new ArrayDeque<>();
  private double callShare = 1;
  private double callShareCutAt = Double.NEGATIVE_INFINITY, nextTrialAt = Double.NEGATIVE_INFINITY,
      lastCounterAnswerAt;
  private double counterReturnedAt = Double.NEGATIVE_INFINITY;
  private int consecutiveCallFailures;

  Account account(Request request) {
    Account account = accounts.computeIfAbsent(request.customer(), c -> new Account(request,
        plans.getOrDefault(request.planName(), strictestPlan())));
    account.updateCeilingShare(request.ceilingShare());
    return account;
  }

  private Plan strictestPlan() {
    return settings.plans().stream().filter(p -> p.rate() > 0).min(Comparator.comparingDouble(Plan::rate))
        .orElse(new Plan("", 0, 0, 0, 0, 0, 0, 0, 0, 0));
  }

  private void checkQuota(Job job) {
    Account account = job.account;
    if (account.plan.maxOpenAttempts() <= 0) {
      checkUnits(job);
    } else if (account.slotsInUse() >= account.plan.maxOpenAttempts() || now < account.slotsFullUntil) {
      onQuotaExceeded(job);
    } else if (settings.capabilities().sharedCounter() && shouldCallCounter(callShare * callShare)) {
      requestSlot(account, job);
    } else {
      decideSlotLocally(job);
    }
  }

  // ---- Places: attempts out at once, counted over all gateways ----

  /**
   * Asks for one of the places of a plan that bounds attempts out at once; asks for units go first. A count's
   * name lasts a window, so that a place whose gateway died is lost until its end at most; what this gateway
   * has out then is carried over with its first ask in the new one.
   */
  private void requestSlot(Account account, Job job) {
    long window = account.currentWindow(now);
    double carried = window == account.slotWindow ? 0 : account.slots;
    account.pendingSlots = window == account.slotWindow ? account.pendingSlots : 0;
    account.slotWindow = window;
    job.waitingForCounter = true;
    account.slotRequests++;
    callCounter(new CounterCall<>(account, window, 1 + carried + account.pendingSlots, job, true));
    account.pendingSlots = 0;
  }

  /** Counted by this gateway alone: an even part of the places, one at least. */
  private void decideSlotLocally(Job job) {
    Account account = job.account;
    if (account.attemptsInFlight < Math.max(1, account.plan.maxOpenAttempts() / account.entryPoints)) {
      checkUnits(job);
    } else {
      onQuotaExceeded(job);
    }
  }

  /** A total below what this gateway itself holds shows a loss, which is put back; no answer means added. */
  private void onSlotCounted(CounterCall<Account, Job> call, Counted result) {
    Account account = call.account();
    Job job = call.job();
    if (result.status().provesNotRun() && call.window() == account.slotWindow) {
      account.pendingSlots += call.amount() - (job == null ? 0 : 1);
    }
    if (job == null) {
      return;
    }
    account.slotRequests--;
    boolean added = !result.status().provesNotRun();
    boolean requestEnded = !openJobs.containsKey(job.request.id()) && job.currentAttempt == null;
    if (added) {
      job.holdsSlot = true;
      account.slots++;
    }
    if (result.status() == Status.OK && call.window() == account.slotWindow
        && result.total() < account.slots) {
      callCounter(new CounterCall<>(account, call.window(), account.slots - result.total(), null, true));
    }
    if (requestEnded) {
      releaseSlot(job);
    } else if (job.waitingForCounter) {
      job.waitingForCounter = false;
      if (result.status() != Status.OK) {
        decideSlotLocally(job);
      } else if (result.total() <= account.plan.maxOpenAttempts()) {
        checkUnits(job);
      } else {
        account.slotsFullUntil = now + SLOT_RECHECK_MS;
        onQuotaExceeded(job);
      }
    }
  }

  /** Gives its place back once none of its attempts is out and none will follow. */
  private void releaseSlot(Job job) {
    if (job.holdsSlot && job.currentAttempt == null) {
      job.holdsSlot = false;
      Account account = job.account;
      account.slots--;
      callCounter(new CounterCall<>(account, account.slotWindow, -1, null, true));
    }
  }

  /** The plan's rate and ceiling. */
  private void checkUnits(Job job) {
    Account account = job.account;
    double units = job.request.units();
    if (account.plan.rate() <= 0 && account.plan.ceilingRate() <= 0) {
      dispatch(job);
    } else if (!settings.capabilities().sharedCounter()) {
      decideByQuota(job, false);
    } else if (account.isSurelySpent(units)) {
      onQuotaExceeded(job);
    } else if (shouldCallCounter(account.isFarFromLimit() ? callShare * callShare : Math.sqrt(callShare))) {
      requestUnits(account, job);
    } else {
      decideByQuota(job, false);
    }
  }

  /**
   * Whether to call the counter, with such a chance where it answers. Guards against a slow, full, silent or
   * refusing counter: fewer call, and spaced trials remain. Harm: longer held to the replica than needed.
   */
  private boolean shouldCallCounter(double probability) {
    if (consecutiveCallFailures >= COUNTER_AWAY_AFTER_FAILURES) {
      if (now < nextTrialAt) {
        return false;
      }
      nextTrialAt = nextTrialTime();
      return true;
    }
    return random.nextDouble() < Math.max(MIN_CALL_SHARE, probability);
  }

  private void requestUnits(Account account, Job job) {
    double units = job.request.units();
    job.waitingForCounter = true;
    job.callPending = true;
    job.unitsInCall = account.countsPerWindow || account.level >= units ? units : 0;
    if (account.countsPerWindow && account.plan.ceilingRate() > 0
        && account.requestedPreviousWindow < account.currentWindow(now) - 1) {
      account.requestedPreviousWindow = account.currentWindow(now) - 1;
      callCounter(new CounterCall<>(account, account.requestedPreviousWindow, 0, null));
    }
    callCounter(
        new CounterCall<>(account, account.currentWindow(now), job.unitsInCall + account.pendingUnits, job));
    account.inFlightUnits += job.unitsInCall;
    account.pendingUnits = 0;
  }

  private void onCounted(Counted reply) {
    ArrayDeque<CounterCall<Account, Job>> queue = pendingCalls.get(reply.name());
    if (queue == null) {
      return;
    }
    CounterCall<Account, Job> call = queue.poll();
    if (queue.isEmpty()) {
      pendingCalls.remove(reply.name());
    }
    Account account = call.account();
    if (call.forSlot()) {
      trackCounterHealth(reply);
      onSlotCounted(call, reply);
      return;
    }
    Counted result = reply.status() != Status.OK || reply.total() < account.implausibleTotal(settings) ? reply
        : new Counted(reply.name(), Status.SPOILT, 0, reply.latencyMs());
    Job job = call.job();
    account.advance();
    if (job == null) {
      trackCounterHealth(result);
      onBackgroundCounted(call, result);
      return;
    }
    if (result.status() == Status.SPOILT && job.waitingForCounter && !job.totalReread) {
      rereadTotal(result.name(), call);
      return;
    }
    account.inFlightUnits -= job.unitsInCall;
    if (!isStalled() || result.status() == Status.OK) {
      trackCounterHealth(result);
    }
    boolean added = !result.status().provesNotRun();
    if (result.status() == Status.OK) {
      applyTotal(account, call, result.total());
    } else if (added) {
      account.uncertainUnits += call.amount();
    } else {
      account.pendingUnits += call.amount() - job.unitsInCall;
    }
    job.callPending = false;
    if (!job.waitingForCounter) {
      account.pendingUnits += (job.charged ? job.request.units() : 0) - (added ? job.unitsInCall : 0);
      return;
    }
    job.waitingForCounter = false;
    job.mayBeCounted = added && job.unitsInCall > 0;
    decideByQuota(job, result.status() == Status.OK);
  }

  /** An answer that cannot be read tells that the amount was added: the total is read once more. */
  private void rereadTotal(String name, CounterCall<Account, Job> call) {
    call.job().totalReread = true;
    pendingCalls.computeIfAbsent(name, n -> new ArrayDeque<>()).add(call);
    actions.add(new Add(name, 0, COUNT_TTL_MS));
  }

  private void trackCounterHealth(Counted result) {
    boolean wasAway = consecutiveCallFailures >= COUNTER_AWAY_AFTER_FAILURES;
    consecutiveCallFailures = result.status() == Status.OK ? 0 : consecutiveCallFailures + 1;
    if (result.status() != Status.OK) {
      callShare *= now - callShareCutAt > settings.capabilities().counterTimeoutMs()
          ? CALL_SHARE_DECREASE_FACTOR : 1;
      nextTrialAt = consecutiveCallFailures == COUNTER_AWAY_AFTER_FAILURES ? nextTrialTime() : nextTrialAt;
    } else if (wasAway) {
      callShare = CALL_SHARE_AFTER_RETURN;
      counterReturnedAt = now;
    } else {
      callShare += CALL_SHARE_INCREASE + CALL_SHARE_INCREASE_PER_S
          * Math.min(1, (now - lastCounterAnswerAt) / 1000);
    }
    callShareCutAt = result.status() == Status.OK || now
        - callShareCutAt <= settings.capabilities().counterTimeoutMs() ? callShareCutAt : now;
    lastCounterAnswerAt = result.status() == Status.OK ? now : lastCounterAnswerAt;
    callShare = Math.min(1, Math.max(MIN_CALL_SHARE, callShare));
  }

  /** Trials of the whole fleet are bounded, and spread by chance; each gateway's come within seconds. */
  private double nextTrialTime() {
    double spacing = Math.max(COUNTER_TRIAL_MS, FLEET_COUNTER_TRIAL_MS * settings.gateways());
    return now + spacing * (0.75 + 0.5 * random.nextDouble());
  }

  /**
   * Replays the growth of the shared total into the replica. Growth beyond what was added here is others'.
   * A total that halves is an emptied counter, not fresh quota: the replica keeps its level.
   */
  private void applyTotal(Account account, CounterCall<Account, Job> call, double total) {
    boolean newWindow = account.totalWindow != call.window();
    double growth = newWindow ? total : total - account.lastTotal;
    if (!newWindow && account.totalBeforeReplacement > 0) {
      growth = Math.max(call.amount(), total - account.totalBeforeReplacement);
    }
    account.totalBeforeReplacement = 0;
    boolean wasSynced = !Double.isNaN(account.syncedAt);
    double windowStart = call.window() * account.windowMs - account.windowOffsetMs;
    double sinceMs = now - (newWindow || !wasSynced ? windowStart : account.syncedAt);
    double others = growth - call.amount();
    if (!newWindow && others < 0 && total < account.lastTotal / 2) {
      others = Math.max(0, total - call.amount());
    }
    if (account.countsPerWindow) {
      account.sharedCeilingUnits = Math
          .max(account.minSharedCeilingUnits(total - (call.job() == null ? 0 : call.job().unitsInCall)),
          account.followedSharedCeilingUnits(newWindow, call.window(), total, call.amount()));
    }
    account.confirmedAdds = newWindow ? call.amount() : account.confirmedAdds + call.amount();
    account.totalWindow = call.window();
    account.lastTotal = total;
    if (account.countsPerWindow) {
      double levelByTotal = account.plan.burst() - (total - call.job().unitsInCall);
      double level = call.window() == account.replacementWindow ? Math.min(account.level, levelByTotal)
          : levelByTotal;
      account.level = call.window() == account.currentWindow(now) ? level : account.level;
      updateRates(account, Math.max(0, others), sinceMs);
      return;
    }
    double ownPart = Math.min(account.uncertainUnits, Math.max(0, others));
    others -= ownPart;
    account.pendingUnits += account.uncertainUnits - ownPart;
    account.uncertainUnits = 0;
    if (wasSynced) {
      double replacedAssumption = account.assumedOthersUnits
          * Math.min(1, sinceMs / Math.max(1, now - account.syncedAt));
      account.level = Math.min(account.plan.burst(), account.level + replacedAssumption - others);
    } else {
      account.level = Math
          .min(account.plan.burst(), account.level + account.plan.rate() * sinceMs / 1000 - others);
    }
    account.sharedCeilingUnits -= others;
    account.fillCeiling(0);
    account.assumedOthersUnits = 0;
    updateRates(account, others, sinceMs);
  }

  /**
   * Another counter counts from here on. Where one burst a window is counted by totals alone, each gateway
   * puts back what it had added itself and the new one lacks, with the customer's next add: all of them
   * together make the old total, and none of it comes twice. Until the window's end no answer raises the
   * level, as others may not have put theirs back yet. Where a bucket is followed, the replica keeps what is
   * known. Totals are read from nought on, or from what was seen before, where a copy has a part.
   */
  private void onCounterReplaced(double lostSinceMs) {
    for (Account a : accounts.values()) {
      double windowStart = a.windowStart(now);
      boolean partlyCopied = lostSinceMs > windowStart;
      if (a.countsPerWindow && a.totalWindow == a.currentWindow(now)) {
        a.pendingUnits += a.confirmedAdds * (partlyCopied ? (now - lostSinceMs) / (now - windowStart) : 1);
        a.replacementWindow = a.totalWindow;
      }
      a.confirmedAdds = 0;
      if (a.slots > 0 && !partlyCopied && a.slotWindow == a.currentWindow(now)) {
        callCounter(new CounterCall<>(a, a.slotWindow, a.slots, null, true));
      }
      a.totalBeforeReplacement = partlyCopied ? Math.max(a.totalBeforeReplacement, a.lastTotal) : 0;
      a.lastTotal = 0;
    }
    accountsToRestore.clear();
    accounts.values().stream().filter(a -> a.replacementWindow == a.currentWindow(now) && a.pendingUnits > 0)
        .sorted(Comparator.comparingDouble(a -> -a.pendingUnits)).forEach(accountsToRestore::add);
    restoreCounts();
  }

  /** Puts back unasked too, the most spent first: a customer may turn to a gateway that knows nothing. */
  private void restoreCounts() {
    int callsLeft = (int) Math
        .max(1, FLEET_RESTORE_CALLS_PER_S * TICK_MS / 1000 / Math.max(1, settings.gateways()));
    while (callsLeft > 0 && !accountsToRestore.isEmpty()) {
      Account a = accountsToRestore.poll();
      if (a.pendingUnits > 0 && a.replacementWindow == a.currentWindow(now)) {
        callsLeft--;
        CounterCall<Account, Job> call = new CounterCall<>(a, a.replacementWindow, a.pendingUnits, null);
        callCounter(call);
        a.pendingUnits = 0;
      }
    }
  }

  private void callCounter(CounterCall<Account, Job> call) {
    String name = call.counterName();
    pendingCalls.computeIfAbsent(name, n -> new ArrayDeque<>()).add(call);
    actions.add(new Add(name, call.amount(), COUNT_TTL_MS));
  }

  /** The end of a call that put back what is known, and that no request waits for. */
  private void onBackgroundCounted(CounterCall<Account, Job> call, Counted result) {
    Account account = call.account();
    if (result.status() == Status.OK && call.window() == account.requestedPreviousWindow) {
      account.previousTotal = result.total();
      account.previousTotalWindow = call.window();
    } else if (result.status() == Status.OK && call.window() == account.totalWindow) {
      account.confirmedAdds += call.amount();
      account.lastTotal = result.total();
      account.level = Math.min(account.level, account.plan.burst() - result.total());
    } else if (result.status().provesNotRun() && call.window() == account.totalWindow) {
      account.pendingUnits += call.amount();
    }
  }

  private void updateRates(Account account, double others, double sinceMs) {
    double sinceSyncMs = Double.isNaN(account.syncedAt) ? sinceMs : now - account.syncedAt;
    double keep = Math
        .exp(-(account.countsPerWindow ? sinceSyncMs : sinceMs) / (account.countsPerWindow
        ? USAGE_SPELL_MS / 3 : RATE_MEMORY_MS));
    double seconds = Math.max(0.001, sinceMs / 1000);
    account.othersRate = Math.max(0, keep * account.othersRate + (1 - keep) * others / seconds);
    account.ownRate = keep * account.ownRate + (1 - keep) * account.ownUnitsSinceSync / seconds;
    account.ownUnitsSinceSync = 0;
    account.syncedAt = now;
  }

  /** By the answered total, or else by the replica with the share of the refill this gateway is used to. */
  private void decideByQuota(Job job, boolean answered) {
    Account account = job.account;
    double units = job.request.units();
    double available = answered || account.countsPerWindow ? account.level : account.level
        - account.inFlightUnits + (job.callPending ? job.unitsInCall : 0);
    boolean unconfirmed = settings.capabilities().sharedCounter() && !answered;
    boolean withinQuota = available >= units
        && (!unconfirmed || !account.countsPerWindow || account.localQuotaUnits >= units)
        || unconfirmed && !account.countsPerWindow && consecutiveCallFailures >= COUNTER_AWAY_AFTER_FAILURES
        && account.localQuotaUnits >= units;
    boolean barred = account.plan.rate() > 0 && !withinQuota
        || unconfirmed && !account.isFarFromLimit() && shouldShed(job, UNCONFIRMED_SURCHARGE);
    if (barred || !takeFromCeiling(account, units, answered)) {
      account.pendingUnits -= job.mayBeCounted && (!account.countsPerWindow || withinQuota) ? units : 0;
      job.mayBeCounted = false;
      onQuotaExceeded(job);
      return;
    }
    account.level -= units;
    account.localQuotaUnits = Math.max(0, account.localQuotaUnits - units);
    account.ownUnitsSinceSync += units;
    job.charged = true;
    account.pendingUnits += job.mayBeCounted || job.callPending ? 0 : units;
    dispatch(job);
  }

  /**
   * A hard ceiling: sends that the counter answered for come out of the part that is counted, all others out
   * of this gateway's own part, so the sum holds whatever the counter answers or forgets.
   */
  private boolean takeFromCeiling(Account account, double units, boolean answered) {
    if (account.plan.ceilingRate() <= 0) {
      return true;
    }
    boolean fromShared = answered && account.sharedCeilingUnits >= units;
    boolean fromLocal = !fromShared && account.localCeilingUnits >= units;
    account.sharedCeilingUnits -= fromShared ? units : 0;
    account.localCeilingUnits -= fromLocal ? units : 0;
    return fromShared || fromLocal;
  }

  /** Beyond its quota a request goes on only where the plan earns by it, under no ceiling, fleet idle. */
  private void onQuotaExceeded(Job job) {
    if (servesBeyondQuota(job.account.plan)) {
      dispatch(job);
    } else {
      refuse(job, msUntilRefilled(job.account, job.request.units()), true);
    }
  }

  private boolean servesBeyondQuota(Plan plan) {
    return plan.beyondEarns() > plan.beyondCost() && plan.ceilingRate() <= 0
        && crowding() < SPARE_CROWDING;
  }

  /** When its units are there again, or one of its places: an attempt's time later. */
  private double msUntilRefilled(Account account, double units) {
    return account.plan.rate() > 0 ? Math.max(TICK_MS, (units - account.level) / account.plan.rate() * 1000)
        : fleetServiceMs;
  }

  /** Guards what is asked about a request before this module has it against a flood of a spent customer. */
  private void onPreCheck(Request request) {
    Account account = accounts.get(request.customer());
    if (account == null || account.plan.rate() <= 0 || !settings.capabilities().sharedCounter()) {
      return;
    }
    account.advance();
    if (account.isSurelySpent(request.units()) && !servesBeyondQuota(account.plan)) {
      actions.add(new Refuse(request.id(), retryAdviceMs(msUntilRefilled(account, request.units())), true));
    }
  }

  private void settleTrueUnits(Job job, double trueUnits) {
    Account account = job.account;
    if (job.charged && trueUnits > 0) {
      double gap = trueUnits - job.request.units();
      account.advance();
      if (gap < 0 && account.plan.ceilingRate() > 0 && account.localCeilingShare() < 1) {
        double covered = Math.min(-gap, account.localCeilingUnits);
        account.localCeilingUnits -= covered;
        gap = -covered;
      }
      account.level -= gap;
      account.pendingUnits += gap;
    }
  }

  private void refundUnits(Job job) {
    if (job.charged && job.attemptCount == 0) {
      job.account.level += job.request.units();
      job.account.pendingUnits -= job.request.units();
      job.charged = false;
    }
  }

  // ---- Backends ----

  final class Backend extends BackendState {
    final LinkedHashSet<Attempt<Job, Backend>> attemptsInFlight = new LinkedHashSet<>();

    Backend(long id) {
      super(id, now);
      coldTokens = random.nextDouble();
    }

    /**
     * Requests here from all gateways, own ones that end before a request of such a need would in part; a
     * report is trusted less as it ages, so no backend stays shunned.
     */
    double estimatedLoad(double expectedMs) {
      double own = 0;
      for (Attempt<Job, Backend> a : attemptsInFlight) {
        double attemptMs = a.job.expectedMs();
        own += Math.min(1,
            Math.max(attemptMs / 4, attemptMs - (now - a.sentAt) / fleetSlowness) / expectedMs);
      }
      double othersAverage = meanAttemptsInFlight.value / Math.max(1, serving.size())
          * (settings.gateways() - 1);
      if (Double.isNaN(reportedLoad)) {
        return own + othersAverage;
      }
      double fresh = Math.exp((loadReportedAt - now) / LOAD_REPORT_DECAY_MS);
      return own + othersAverage + fresh * (Math.max(0, reportedLoad - ownLoadAtReport) - othersAverage);
    }

    /** How much longer than usual requests take here. */
    double slowness() {
      return Double.isNaN(measuredSlowness) ? fleetSlowness : fleetSlowness + memoryWeight()
          * (measuredSlowness - fleetSlowness);
    }

    /**
     * What was learned of a backend fades while it answers nothing. Guards against shunning one after
     * a trouble of any kind that nobody sees end. Harm: a lasting trouble is met again once in a while.
     */
    double memoryWeight() {
      return Math.exp((lastAnswerAt - now) / LEARNED_DECAY_MS);
    }

    /** Expected time to an answer: service time by requests held, longer where the oldest is overdue. */
    double waitScore(Job job) {
      double expectedMs = job.expectedMs();
      double score = expectedMs * slowness() * (1 + estimatedLoad(expectedMs) / relativeCapacity);
      if (!attemptsInFlight.isEmpty()) {
        Attempt<Job, Backend> oldest = attemptsInFlight.iterator().next();
        score += Math.max(0, now - oldest.sentAt - OVERDUE_FACTOR * oldest.job.expectedMs() * fleetSlowness);
      }
      if (!zone.equals(settings.zone())) {
        score += settings.crossZonePrice() * job.aimMs();
      }
      return score * (1 + 4 * Math.max(groupFailureRate(now), failureRate * memoryWeight()))
          * (needsTrial ? 0.5 : 1);
    }
  }

  final TreeMap<Long, Backend> backends = new TreeMap<>();
  private final Map<String, DecayingMean> groupFailureRates = new HashMap<>();
  double fleetServiceMs = DEFAULT_SERVICE_MS;
  /**
   * How much longer than by {@link #serviceTimes} requests take, over all backends: near 1, as needs follow.
   */
  double fleetSlowness = 1;
  private final List<Backend> serving = new ArrayList<>();
  private final List<Backend> subset = new ArrayList<>();
  private int warmCount;
  private double warmCountedAt = Double.NEGATIVE_INFINITY, sendRate, sendRateAt;

  private void onRoster(Roster roster) {
    if (roster.form() == RosterForm.FAILED) {
      actions.add(new WakeAt(now + 1000, "follow"));
      return;
    }
    if (roster.form() != RosterForm.CHANGES) {
      backends.values().forEach(b -> b.phase = Phase.REMOVED);
    }
    for (BackendEntry x : roster.entries()) {
      Backend b = backends.computeIfAbsent(x.id(), Backend::new);
      if (b.reportedStartMs != x.startedMs() && b.phase != null) {
        backends.put(b.id, b = new Backend(b.id));
      }
      b.zone = x.zone();
      b.cell = x.cell();
      b.zoneFailureRate = groupFailureRate(x.zone());
      b.cellFailureRate = groupFailureRate(x.zone() + "/" + x.cell());
      b.phase = x.phase();
      b.assumedStartMs = Math.max(b.assumedStartMs, x.startedMs());
      b.reportedStartMs = x.startedMs();
      b.reportedCapacity = settings.capacitiesReported() ? Math.max(x.capacity(), 1e-6) : 1;
    }
    backends.values().removeIf(b -> b.phase == Phase.REMOVED && b.attemptsInFlight.isEmpty());
    serving.clear();
    backends.values().stream().filter(b -> b.phase == Phase.SERVING).forEach(serving::add);
    double mean = serving.stream().mapToDouble(b -> b.reportedCapacity).average().orElse(1);
    serving.forEach(b -> b.relativeCapacity = b.reportedCapacity / mean);
    subset.clear();
    serving.stream().sorted(Comparator.comparingLong(b -> b.rank(settings.selfIndex())))
        .limit(Math.max(SUBSET_SIZE, SUBSET_SIZE * serving.size() / Math.max(1, settings.gateways())))
        .forEach(subset::add);
    warmCountedAt = Double.NEGATIVE_INFINITY;
  }

  private DecayingMean groupFailureRate(String groupName) {
    return groupFailureRates
        .computeIfAbsent(groupName, g -> new DecayingMean(FAILURE_WEIGHT, PRESSURE_DECAY_MS, now));
  }

  /**
   * The most promising of a few backends drawn by chance (power of two choices): with many gateways, equal
   * stale reports would send all to the same one. Rests are ignored where all drawn rest.
   */
  private Backend pickBackend(Job job) {
    boolean inKeyedGroup = job.keyedBackend != null && job.requestClass.group() != Group.ALL;
    List<Backend> candidates = inKeyedGroup ? serving.stream().filter(b -> isInGroup(b, job)).toList()
        : subset;
    int wanted = (int) Math.max(2, Math.ceil(FLEET_CANDIDATES / Math.max(2, settings.gateways())));
    Backend best = pickBest(candidates, job, wanted, false);
    best = best != null || inKeyedGroup ? best : pickBest(serving, job, wanted, false);
    return best != null ? best : pickBest(candidates, job, wanted, true);
  }

  private Backend pickBest(List<Backend> candidates, Job job, int wanted, boolean ignoreBackoff) {
    Backend best = null;
    double bestScore = Double.POSITIVE_INFINITY;
    boolean all = candidates.size() <= wanted;
    int draws = all ? candidates.size() : 3 * wanted;
    for (int i = 0, found = 0; i < draws && found < wanted; i++) {
      Backend b = candidates.get(all ? i : random.nextInt(candidates.size()));
      if (!isUsable(b, job, ignoreBackoff)) {
        continue;
      }
      found++;
      double score = b.waitScore(job) * (1 + WAIT_JITTER * random.nextDouble())
          * (b == job.lastBackend ? 4 : 1);
      if (score < bestScore) {
        bestScore = score;
        best = b;
      }
    }
    return best;
  }

  private boolean isUsable(Backend backend, Job job, boolean ignoreBackoff) {
    boolean trialBarred = backend.needsTrial
        && (!backend.attemptsInFlight.isEmpty() || job.requestClass.repeat() == Repeat.UNSAFE);
    boolean backingOff = !ignoreBackoff
        && (now < backend.backoffUntil || trialBarred || backend.groupFailureRate(now) > FAILING_SHARE);
    return backend.phase == Phase.SERVING && now >= backend.overloadedUntil && !backingOff
        && (!backend.isCold(settings.rules(), now) || hasColdToken(backend));
  }

  /**
   * Guards a backend that has just started, for whatever cause: it gets no more than its present part of what
   * a warm one gets from here, attempts of every kind included, or of what a single core does, shared by all
   * gateways, where none is warm or this gateway is new. Harm: slower use of a fleet that comes back.
   */
  private boolean hasColdToken(Backend backend) {
    double floor = 1000 / Math.max(1, fleetServiceMs) / settings.gateways();
    double rate = Math.max(sendsPerWarmBackend(), floor) * backend.warmUpShare(settings.rules(), now);
    backend.coldTokens = Math.min(1, backend.coldTokens + rate * (now - backend.coldTokensAt) / 1000);
    backend.coldTokensAt = now;
    return backend.coldTokens >= 1;
  }

  private double sendsPerWarmBackend() {
    if (now - warmCountedAt > 500) {
      warmCount = (int) serving.stream().filter(b -> !b.isCold(settings.rules(), now)).count();
      warmCountedAt = now;
    }
    return warmCount == 0 ? 0 : sendRate * Math.exp((sendRateAt - now) / PRESSURE_DECAY_MS) / warmCount;
  }

  private boolean isInGroup(Backend backend, Job job) {
    return backend.zone.equals(job.keyedBackend.zone)
        && (job.requestClass.group() == Group.ZONE || backend.cell == job.keyedBackend.cell);
  }

  private void learnFromOutcome(Backend backend, Attempt<Job, Backend> attempt, Outcome outcome) {
    Load load = outcome.load();
    if (load != null && !Double.isNaN(load.inFlight())) {
      backend.reportedLoad = load.inFlight();
      backend.ownLoadAtReport = backend.attemptsInFlight.size();
      backend.loadReportedAt = now;
    }
    boolean failed = switch (outcome.status()) {
      case ERROR, RESET, UNREACHABLE -> true;
      case TIMED_OUT, CANCELLED -> backend.lastAnswerAt <= attempt.sentAt && attempt.sentAt > stalledUntil;
      default -> false;
    };
    double memoryWeight = backend.memoryWeight();
    // A spoilt answer tells that the backend works; any may give one, so none rests for it.
    if (outcome.status() == Status.OK || outcome.status() == Status.ERROR
        || outcome.status() == Status.REJECTED
        || outcome.status() == Status.SPOILT) {
      backend.lastAnswerAt = now;
    }
    if (outcome.status() == Status.OK || failed) {
      backend.failureRate *= memoryWeight;
      backend.failureRate += FAILURE_WEIGHT * ((failed ? 1 : 0) - backend.failureRate);
      backend.zoneFailureRate.add(failed ? 1 : 0, now);
      backend.cellFailureRate.add(failed ? 1 : 0, now);
    }
    if (outcome.status() == Status.OK) {
      clearSuspectedRestart(backend, attempt);
      backend.needsTrial = false;
      backend.backoffCount = backend.failureRate < FAILING_SHARE / 4 ? 0 : backend.backoffCount;
      double serviceMs = load != null && !Double.isNaN(load.serviceMs()) ? load.serviceMs()
          : outcome.latencyMs();
      double knownSlowness = backend.slowness();
      double slowness = Math.min(MAX_SLOWNESS, serviceMs / attempt.job.expectedMs());
      backend.measuredSlowness = knownSlowness + SLOWNESS_WEIGHT * (slowness - knownSlowness);
      fleetSlowness += FLEET_SLOWNESS_WEIGHT * (slowness - fleetSlowness);
      fleetServiceMs += FAILURE_WEIGHT / 10 * (serviceMs - fleetServiceMs);
    } else if (outcome.status() == Status.REJECTED) {
      backend.overloadedUntil = now + 2 * fleetServiceMs;
    } else if (failed) {
      if (outcome.status() == Status.UNREACHABLE && !backend.isCold(settings.rules(), now)) {
        backend.coldTokensAt = backend.assumedStartMs = backend.suspectedRestartAt = now;
        backend.coldTokens = random.nextDouble();
      }
      if (backend.failureRate > FAILING_SHARE || backend.needsTrial) {
        backend.backoffUntil = now + BACKOFF_MS * (1 << Math.min(backend.backoffCount, 3))
            * (1 + 0.3 * random.nextDouble());
        backend.backoffCount++;
        backend.needsTrial = true;
      }
    }
  }

  /**
   * A backend that looked restarted and then answers what was sent before that has not restarted. Guards
   * against connections that fail for another cause, a few of which would make the whole fleet look cold.
   */
  private void clearSuspectedRestart(Backend backend, Attempt<Job, Backend> attempt) {
    if (attempt.sentAt < backend.suspectedRestartAt) {
      backend.assumedStartMs = backend.reportedStartMs;
      backend.suspectedRestartAt = Double.NEGATIVE_INFINITY;
      warmCountedAt = Double.NEGATIVE_INFINITY;
    }
  }

  // ---- Attempts ----

  /** A request taken and not yet finally answered. */
  private final class Job extends JobState {
    final Account account;
    Attempt<Job, Backend> currentAttempt;
    Backend keyedBackend, lastBackend;

    Job(Request request, RequestClass requestClass, Account account) {
      super(request, requestClass, now);
      this.account = account;
    }

    double expectedMs() {
      return QuotaPolicy.this.serviceTime(requestClass).expectedMs(request.units());
    }

    double worth() {
      return requestClass.value() * account.plan.worthFactor();
    }
  }

  private final LinkedHashMap<String, Job> openJobs = new LinkedHashMap<>();
  private final Map<String, Attempt<Job, Backend>> attemptsByKey = new HashMap<>();
  private final double maxRetryTokens;
  private double retryTokens;
  private double meanWorth = Double.NaN;
  /** What requests of a class take, for the classes of the settings and one for any other. */
  final Map<String, ServiceTimeModel> serviceTimes = new HashMap<>();
  private final DecayingMean recentLatencyMs = new DecayingMean(PRESSURE_WEIGHT, PRESSURE_DECAY_MS, now);
  /** Times of answers by their aims, and attempts out at a backend from which on further ones mostly wait. */
  private final DecayingMean recentShareOfAim = new DecayingMean(PRESSURE_WEIGHT, PRESSURE_DECAY_MS, now);
  private int answerCount;
  double knee = MIN_KNEE;
  private final DecayingMean recentExpectedMs = new DecayingMean(PRESSURE_WEIGHT, PRESSURE_DECAY_MS, now);
  private final DecayingMean meanAttemptsInFlight = new DecayingMean(0.3, 1000, now);
  private double lastOkAt = Double.NEGATIVE_INFINITY;
  private int attemptsInFlight;

  /** A class not in the settings is treated as one that must never run twice. */
  private RequestClass requestClass(Request request) {
    RequestClass known = classes.get(request.className());
    double left = request.giveUpMs() - now;
    return known != null ? known
        : new RequestClass(request.className(), 1, 0, left / 2, left, Repeat.UNSAFE, Group.CELL, 0, false);
  }

  private void onRequest(Request request) {
    meanAttemptsInFlight.add(attemptsInFlight, now);
    Job job = new Job(request, requestClass(request), account(request));
    openJobs.put(request.id(), job);
    double worth = job.worth();
    meanWorth = Double.isNaN(meanWorth) ? worth : meanWorth + 0.01 * (worth - meanWorth);
    if (openJobs.size() >= settings.capabilities().maxOpenRequests() || isTooLate(job)
        || shouldShed(job, 0)) {
      refuse(job, fleetServiceMs, false);
    } else {
      checkQuota(job);
    }
  }

  /**
   * Whether this request earns too little for the room it takes: its worth, by its chance to be answered
   * within its aim, against a bar that rises with the crowding of the fleet. Sheds what earns least for its
   * work first (as DAGOR does by business priority: Zhou et al., "Overload Control for Scaling WeChat
   * Microservices", 2018), and tells a large request from a small one. Attempts out, unlike times, stay the
   * same where all backends are slow at once, so that alone sheds nothing that can be in time. Harm: backends
   * with many cores are used less than they could be until the knee is found.
   */
  private boolean shouldShed(Job job, double surcharge) {
    double expected = job.expectedMs() * recentSlowness();
    double inTime = 1 / (1 + Math.pow(expected / job.aimMs(), IN_TIME_SHARPNESS));
    double value = job.worth() / Math.max(1e-9, meanWorth) * inTime;
    double bar = answerCount < MIN_ANSWERS_TO_SHED ? 0 : (crowding() - SHED_FROM_CROWDING) * SHED_SLOPE;
    return inTime < MIN_CHANCE_IN_TIME && crowding() > SPARE_CROWDING || value < bar + surcharge;
  }

  /** Attempts out at all gateways for each backend, in knees; half of it as it was over the last second. */
  private double crowding() {
    double attempts = (meanAttemptsInFlight.value + attemptsInFlight) / 2;
    return attempts * settings.gateways() / Math.max(1, serving.size()) / knee;
  }

  /** How much longer than usual answers have taken lately, sizes allowed for; forgotten without answers. */
  private double recentSlowness() {
    return recentExpectedMs.value <= 0 ? 1
        : 1 + (recentLatencyMs.value / recentExpectedMs.value - 1)
        * Math.exp((recentExpectedMs.updatedAt() - now) / PRESSURE_DECAY_MS);
  }

  private ServiceTimeModel serviceTime(RequestClass requestClass) {
    return serviceTimes.computeIfAbsent(requestClass.name(), n -> new ServiceTimeModel(DEFAULT_SERVICE_MS));
  }

  /**
   * The time that this gateway itself stood still is not the fleet's. An attempt that timed out while others
   * were answered lost its answer: that tells of no wait. Harm: a few slow backends stay unseen here.
   */
  private void recordLatency(Attempt<Job, Backend> attempt, Outcome outcome) {
    boolean answerLost = outcome.status() == Status.TIMED_OUT && lastOkAt > attempt.sentAt;
    lastOkAt = outcome.status() == Status.OK ? now : lastOkAt;
    if (outcome.status() == Status.OK || outcome.status() == Status.REJECTED
        || outcome.status() == Status.TIMED_OUT && !answerLost) {
      double stalledMs = Math.max(0, stalledUntil - Math.max(stalledFrom, attempt.sentAt));
      ServiceTimeModel model = serviceTime(attempt.job.requestClass);
      double expectedMs = attempt.job.expectedMs();
      double latencyMs = outcome.status() == Status.REJECTED ? Math.max(attempt.job.aimMs(), expectedMs)
          : Math.max(0, outcome.latencyMs() - stalledMs);
      recentLatencyMs.add(Math.min(latencyMs, 2 * attempt.job.aimMs()), now);
      recentExpectedMs.add(expectedMs, now);
      answerCount++;
      recentShareOfAim.add(Math.min(2, latencyMs / attempt.job.aimMs()), now);
      knee *= recentShareOfAim.value > KNEE_LOWER_ABOVE ? 1 - KNEE_LOWER
          : recentShareOfAim.value < KNEE_RAISE_BELOW && crowding() > SHED_FROM_CROWDING
              ? 1 + Math.min(1, KNEE_RAISE * crowding() * crowding()) : 1;
      knee = Math.max(MIN_KNEE, knee);
      if (outcome.status() == Status.OK) {
        model.learn(attempt.job.request.units(), latencyMs);
      }
    }
  }

  private void dispatch(Job job) {
    Backend backend = pickBackend(job);
    job.waitingForBackend = backend == null && !isTooLate(job);
    if (backend != null) {
      send(job, backend);
    } else if (!job.waitingForBackend) {
      giveUp(job);
    }
  }

  private void send(Job job, Backend backend) {
    double leftMs = job.request.giveUpMs() - now - ANSWER_MARGIN_MS;
    if (leftMs <= 0 || job.attemptCount >= settings.capabilities().maxAttempts()) {
      giveUp(job);
      return;
    }
    if (backend.isCold(settings.rules(), now)) {
      backend.coldTokens -= 1;
    }
    sendRate = sendRate * Math.exp((sendRateAt - now) / PRESSURE_DECAY_MS) + 1000 / PRESSURE_DECAY_MS;
    sendRateAt = now;
    double tokenCost = job.attemptCount == 0 ? -RETRY_TOKENS_PER_REQUEST : job.retryExempt ? 0 : 1;
    retryTokens = Math.min(maxRetryTokens, retryTokens - tokenCost);
    job.retryExempt = false;
    Attempt<Job, Backend> attempt = new Attempt<>(job, job.attemptCount, backend, now);
    job.attemptCount++;
    job.currentAttempt = attempt;
    job.lastBackend = backend;
    job.account.attemptsInFlight++;
    attemptsInFlight++;
    backend.attemptsInFlight.add(attempt);
    attemptsByKey.put(job.request.id() + "#" + attempt.number, attempt);
    actions.add(new Send(job.request.id(), backend.id, leftMs));
  }

  /** A request that ended while it waited for the counter must not be sent when the answer comes. */
  private void onClientLeft(String id) {
    Job job = openJobs.remove(id);
    if (job != null) {
      job.waitingForCounter = false;
      refundUnits(job);
      releaseSlot(job);
    }
  }

  private void onOutcome(Outcome outcome) {
    Attempt<Job, Backend> attempt = attemptsByKey.remove(outcome.request() + "#" + outcome.attempt());
    if (attempt == null) {
      return;
    }
    Job job = attempt.job;
    attempt.backend.attemptsInFlight.remove(attempt);
    job.account.attemptsInFlight--;
    attemptsInFlight--;
    recordLatency(attempt, outcome);
    job.currentAttempt = job.currentAttempt == attempt ? null : job.currentAttempt;
    if (outcome.requestOver() || !openJobs.containsKey(outcome.request())) {
      releaseSlot(job);
    }
    learnFromOutcome(attempt.backend, attempt, outcome);
    if (outcome.status() == Status.OK) {
      settleTrueUnits(job, outcome.trueUnits());
    }
    job.mayHaveRun |= !outcome.status().provesNotRun();
    if (job.mayHaveRun && job.requestClass.repeat() == Repeat.KEYED && job.keyedBackend == null) {
      job.keyedBackend = attempt.backend;
      job.repeatsDroppedUntil = attempt.sentAt + job.requestClass.repeatWindowMs();
    }
    // None of these tells of overload, against which the budget of further attempts guards.
    job.retryExempt = outcome.status() == Status.UNREACHABLE || outcome.status() == Status.BROKEN
        || outcome.status() == Status.NOT_SENT || outcome.status() == Status.SPOILT;
    if (outcome.requestOver()) {
      openJobs.remove(outcome.request());
    } else if (openJobs.containsKey(outcome.request())) {
      retryOrGiveUp(job);
    }
  }

  private void retryOrGiveUp(Job job) {
    boolean allowed = !job.mayHaveRun || job.requestClass.repeat() == Repeat.SAFE
        || job.requestClass.repeat() == Repeat.KEYED && now < job.repeatsDroppedUntil - REPEAT_MARGIN_SHARE
        * job.requestClass.repeatWindowMs();
    double leftMs = job.request.giveUpMs() - now;
    if (!allowed || retryTokens < 1 && !job.retryExempt || leftMs < fleetServiceMs / 2 + ANSWER_MARGIN_MS) {
      giveUp(job);
    } else {
      dispatch(job);
    }
  }

  /** The final answer when no attempt will follow: a refusal where that promise holds, else a failure. */
  private void giveUp(Job job) {
    boolean retryIsHarmless = !job.mayHaveRun || job.requestClass.repeat() == Repeat.SAFE
        || job.requestClass.repeat() == Repeat.KEYED && job.requestClass.group() == Group.ALL
        && now < job.repeatsDroppedUntil;
    if (retryIsHarmless) {
      refuse(job, fleetServiceMs, false);
    } else {
      releaseSlot(job);
      openJobs.remove(job.request.id());
      actions.add(new Fail(job.request.id()));
    }
  }

  private void refuse(Job job, double retryAfterMs, boolean quotaExhausted) {
    refundUnits(job);
    releaseSlot(job);
    openJobs.remove(job.request.id());
    actions.add(new Refuse(job.request.id(), retryAdviceMs(retryAfterMs), quotaExhausted));
  }

  private double retryAdviceMs(double retryAfterMs) {
    return settings.capabilities().mayAdviseRetry()
        ? Math.min(retryAfterMs, settings.capabilities().maxRetryAfterMs()) : 0;
  }

  // ---- Timers ----

  private double wakeAt, stalledFrom, stalledUntil = Double.NEGATIVE_INFINITY;

  private void onWoken(Woken woken) {
    if (woken.label().equals("follow")) {
      actions.add(new FollowRoster());
    } else if (now >= wakeAt) {
      (isStalled() ? List.<Job>of() : List.copyOf(openJobs.values())).forEach(this::checkProgress);
      restoreCounts();
      armTimer(isStalled() ? 1 : openJobs.isEmpty() && accountsToRestore.isEmpty() ? IDLE_TICK_MS : TICK_MS);
    }
  }

  private void armTimer(double ms) {
    wakeAt = now + ms;
    actions.add(new WakeAt(wakeAt, "tick"));
  }

  /**
   * A wake-up long overdue shows that this gateway stood still. What came meanwhile is read first, and no
   * wait seen over that time is booked to a backend or the counter.
   */
  private void detectStall() {
    if (now - wakeAt > STALL_MS) {
      stalledUntil = now;
      stalledFrom = wakeAt;
      wakeAt = now;
    }
  }

  private boolean isStalled() {
    return now <= stalledUntil;
  }

  /** Keeps every request moving: no wait for the counter or for a backend outlasts its bound. */
  private void checkProgress(Job job) {
    double waitedMs = now - job.receivedAt;
    boolean tooLate = isTooLate(job);
    if (job.currentAttempt != null) {
      cancelIfSilent(job);
    } else if (job.waitingForCounter && (tooLate || waitedMs > COUNTER_WAIT_SHARE_OF_AIM * job.aimMs())) {
      job.waitingForCounter = false;
      if (job.callPending) {
        decideByQuota(job, false);
      } else {
        decideSlotLocally(job);
      }
    } else if (job.waitingForBackend && (tooLate || waitedMs > BACKEND_WAIT_SHARE_OF_AIM * job.aimMs())) {
      giveUp(job);
    } else if (job.waitingForBackend) {
      dispatch(job);
    }
  }

  /** True when the next look would come too late for an answer in time. */
  private boolean isTooLate(Job job) {
    return now + ANSWER_MARGIN_MS + TICK_MS >= job.request.giveUpMs();
  }

  /**
   * Takes an attempt back from a backend that has answered nothing since it was sent, if a second fits.
   * Guards against dead, cut off and stalled backends. One that its size explains is left alone, as taking it
   * back stops nothing on a backend that works on. Harm: one slow request looks the same; budgeted.
   */
  private void cancelIfSilent(Job job) {
    Attempt<Job, Backend> attempt = job.currentAttempt;
    if (attempt.backend.lastAnswerAt <= attempt.sentAt
        && now - attempt.sentAt > Math
        .max(job.aimMs() * FIRST_ATTEMPT_SHARE_OF_AIM, SILENT_FACTOR * job.expectedMs())
        && !job.cancelledAsSilent && !job.streaming && settings.capabilities().mayCancel()
        && job.requestClass.repeat() != Repeat.UNSAFE && retryTokens >= 1) {
      job.cancelledAsSilent = true;
      actions.add(new Cancel(job.request.id(), attempt.number));
    }
  }
}
