package willowdoor.policy;

import java.util.*;
import willowdoor.policy.GatewayApi.*;
import willowdoor.policy.GatewayState.*;

/**
 * Makes all decisions of one gateway: admission by shared quota, choice of a backend, retries, load shedding.
 * Its interface (settings, events and actions) is {@link GatewayApi}.
 *
 * <p>On the ordinary path the estimated units of a request are added to its customer's shared count. The
 * request is refused if the returned total shows that it exceeds the quota of the plan; otherwise it is sent,
 * and the count is corrected by the true units. docs/design.md describes the exceptions.
 *
 * <p>Each gateway has one instance, used by one thread. The current time is passed in with each event.
 */
public final class QuotaPolicy {

  // ---- Constants ----

  /**
   * Longest window of a shared count, in milliseconds, unless the bucket of the plan takes longer to refill.
   * It spans many refills of any usual quota, so that window edges are rare.
   */
  private static final double MAX_WINDOW_MS = 25_000;
  /**
   * Number of entry points up to which each gateway sees a customer often enough to follow its token bucket
   * for the longest window; with more entry points the window is proportionally shorter.
   */
  private static final double MAX_FOLLOWING_ENTRY_POINTS = 3;
  /**
   * Share of its rate that a customer is assumed to use before anything is known of it: most customers stay
   * well below their rate.
   */
  private static final double ASSUMED_RATE_SHARE = 0.5;
  /**
   * A count that is estimated to exceed the burst by this share of the burst is not asked for: the answer
   * would be a refusal.
   */
  private static final double SURELY_SPENT_SHARE = 0.5;
  /** Limit of the accounts that are followed. */
  static final int MAX_ACCOUNTS = 16_384;
  /** Accounts that are checked for removal with each request. */
  private static final int ACCOUNTS_CHECKED = 4;
  /** Time after which the counter forgets a count, in milliseconds. */
  private static final double COUNT_TTL_MS = 60_000;
  /**
   * Interval in milliseconds at which open requests are checked: too short for a person to notice, and short
   * compared with the target times of requests.
   */
  private static final double TICK_MS = 25;
  /** Interval of the timer in milliseconds while no request is open: enough to detect a stall. */
  private static final double IDLE_TICK_MS = 250;
  /**
   * Delay of a timer in milliseconds from which on this gateway is taken to have stalled: far more than any
   * load explains.
   */
  private static final double STALL_MS = 100;
  /**
   * Longest wait of a request for the counter, as a share of its target time; the rest is left for the
   * backends.
   */
  private static final double COUNTER_WAIT_SHARE_OF_AIM = 0.06;
  /** Consecutive failed calls after which the counter is treated as absent; fewer may be a lost packet. */
  private static final int COUNTER_AWAY_AFTER_FAILURES = 4;
  /**
   * Interval between trial calls of one gateway while the counter is absent, in milliseconds; the actual
   * intervals vary at random by up to a quarter of it.
   */
  private static final double COUNTER_TRIAL_MS = 250;
  /**
   * Least mean interval between the trial calls of all gateways together while the counter is absent, in
   * milliseconds.
   */
  private static final double FLEET_COUNTER_TRIAL_MS = 5;
  /**
   * Factor by which failed calls lower the share of requests that call the counter, at most once per call
   * timeout: multiplicative decrease and additive increase, as in TCP congestion control.
   */
  private static final double CALL_SHARE_DECREASE_FACTOR = 0.7;
  /** Increase of that share with each answer of the counter. */
  private static final double CALL_SHARE_INCREASE = 0.02;
  /**
   * Further increase for each second since the previous answer, for one second at most, so that gateways with
   * few calls recover as soon as others.
   */
  private static final double CALL_SHARE_INCREASE_PER_S = 0.05;
  /** Lower bound of that share. */
  private static final double MIN_CALL_SHARE = 0.02;
  /**
   * That share when an absent counter answers again: less than 1, so that the gateways together do not flood
   * the counter.
   */
  private static final double CALL_SHARE_AFTER_RETURN = 0.3;
  /**
   * Calls per second with which all gateways together restore the counts that a replaced counter has lost. A
   * gateway makes at least one call each time.
   */
  private static final double FLEET_RESTORE_CALLS_PER_S = 2_000;
  /**
   * Share of a ceiling that the gateways may use without the shared count where they are many: with room for
   * a largest request at each of them it would be the whole ceiling.
   */
  private static final double LOCAL_CEILING_SHARE = 0.25;
  /**
   * Interval in milliseconds at which the counter is asked again for a customer that is known to have used up
   * its quota, as other gateways may have returned units.
   */
  private static final double SPENT_RECHECK_MS = 400;
  /**
   * Time in milliseconds for which no slot is requested for a customer after all of its slots were found to
   * be taken: a fraction of the duration of an attempt.
   */
  private static final double SLOT_RECHECK_MS = 50;
  /**
   * Time constant of the usage rates of a customer whose bucket is followed, in milliseconds: longer than a
   * burst, a few refills of the bucket.
   */
  private static final double RATE_MEMORY_MS = 5_000;
  /**
   * Time constant in milliseconds for which a rarely seen customer is assumed to use its quota as last seen:
   * heavy use comes in long spells.
   */
  private static final double USAGE_SPELL_MS = 15_000;
  /**
   * Weight of the newest answer in the failure rates of a backend, a zone and a cell; a tenth of it in the
   * mean service time.
   */
  private static final double FAILURE_WEIGHT = 0.2;
  /** Weight of the newest answer in the slowness of a backend, which varies more than its failures. */
  private static final double SLOWNESS_WEIGHT = 0.05;
  /** Weight of the newest answer in the slowness of the whole fleet. */
  private static final double FLEET_SLOWNESS_WEIGHT = 0.02;
  /**
   * Upper bound of the slowness that one answer can show, as a multiple of its expected time: beyond it, only
   * the failure of the attempt matters.
   */
  private static final double MAX_SLOWNESS = 20;
  /** Multiple of its expected time after which an unanswered attempt makes its backend count as slow. */
  private static final double OVERDUE_FACTOR = 1.5;
  /** Multiple of its expected time after which an unanswered attempt may be cancelled as silent. */
  private static final double SILENT_FACTOR = 2.5;
  /** Failure rate above which a backend gets no requests for a growing time, as after three failures. */
  private static final double FAILING_SHARE = 0.4;
  /**
   * First backoff of a failing backend in milliseconds. It doubles up to eight times this value, and is
   * lengthened at random by up to 30 percent.
   */
  private static final double BACKOFF_MS = 1_000;
  /**
   * Least number of backends that a gateway uses, and of gateways that use a backend on average (subsetting).
   * It limits the number of connections.
   */
  private static final int SUBSET_SIZE = 12;
  /**
   * Backends compared for a request, divided by the number of gateways; at least two are compared. Many
   * gateways that compare many backends by the same stale reports would all choose the same one.
   */
  private static final double FLEET_CANDIDATES = 30;
  /**
   * Retry tokens that the first attempt of a request earns. A further attempt costs one token, unless the
   * attempt before ended in a way that is no sign of overload.
   */
  private static final double RETRY_TOKENS_PER_REQUEST = 0.15;
  /** Retry tokens that all gateways together can save up; each gateway can save at least one. */
  private static final double FLEET_MAX_RETRY_TOKENS = 30;
  /**
   * Share of its target time after which a silent attempt may be cancelled if the request may be repeated, so
   * that a second attempt still fits.
   */
  private static final double FIRST_ATTEMPT_SHARE_OF_AIM = 0.65;
  /**
   * Last part of the repeat window of a keyed request, as a share of it, in which no repeat is sent: the
   * repeat may have to queue until the backends no longer recognise it.
   */
  private static final double REPEAT_MARGIN_SHARE = 0.25;
  /** Time in milliseconds for which a gateway may be held up between a decision and its effect. */
  private static final double HOLD_UP_MS = 150;
  /**
   * Time in milliseconds in which an attempt at a backend in slow start has to begin. Attempts whose
   * connections come up together later would exceed what the backend may get then.
   */
  private static final double SLOW_START_BEGIN_MS = 300;
  /**
   * Time in milliseconds before the client gives up at which the last answer is sent, so that the answer
   * itself arrives in time.
   */
  private static final double ANSWER_MARGIN_MS = 15;
  /**
   * Initial value and lower bound of the knee: the number of attempts in flight at a backend, from all
   * gateways, beyond which further attempts mostly wait. It is a small number for any backend.
   */
  private static final double MIN_KNEE = 3;
  /** Answers needed before requests are shed for their low value: they show whether the fleet is crowded. */
  private static final int MIN_ANSWERS_TO_SHED = 20;
  /** Mean latency, as a share of the target time, below which the knee rises while the fleet is crowded. */
  private static final double KNEE_RAISE_BELOW = 0.12;
  /**
   * Relative rise of the knee with one answer, multiplied by the square of the crowding; an answer at most
   * doubles it.
   */
  private static final double KNEE_RAISE = 0.02;
  /** Mean latency, as a share of the target time, above which the knee falls, down to its lower bound. */
  private static final double KNEE_LOWER_ABOVE = 0.25;
  /** Relative fall of the knee with one answer. */
  private static final double KNEE_LOWER = 0.02;
  /**
   * Crowding (attempts in flight per backend, divided by the knee) from which on the least valuable requests
   * are shed.
   */
  private static final double SHED_FROM_CROWDING = 0.5;
  /**
   * Rise of the value that a request needs for each unit of crowding beyond that, as a multiple of the mean
   * worth of requests.
   */
  private static final double SHED_SLOPE = 1.2;
  /** Chance of an answer in time below which a request is refused, unless the fleet has spare capacity. */
  private static final double MIN_CHANCE_IN_TIME = 0.5;
  /**
   * Value that a request needs in addition if no answer of the counter has confirmed it, as a multiple of the
   * mean worth of requests.
   */
  private static final double UNCONFIRMED_SURCHARGE = 0.3;
  /**
   * Exponent that sets how sharply the chance of an answer in time falls around the target time: latencies of
   * requests of one size vary by a half.
   */
  private static final double IN_TIME_SHARPNESS = 3;
  /**
   * Crowding below which the fleet has spare capacity for any request, including requests beyond the quota
   * whose plan earns by them.
   */
  private static final double SPARE_CROWDING = 0.4;
  /**
   * Least weight of the newest answer in the mean latencies of the fleet: about the last twenty answers
   * count, or those of the last few seconds.
   */
  private static final double PRESSURE_WEIGHT = 0.05;
  /**
   * Time constant in milliseconds of these means, of the failure rates of zones and cells, and of the rate of
   * attempts.
   */
  private static final double PRESSURE_DECAY_MS = 4_000;
  /** Requests at a backend, from all gateways, below which no queue is assumed there. Currently not used. */
  private static final double IDLE_REQUESTS = 3;
  /**
   * Random spread of the expected waits, as a share of them, so that gateways with the same reports choose
   * different backends.
   */
  private static final double WAIT_JITTER = 0.05;
  /**
   * Time constant in milliseconds with which the measured slowness and failures of a backend lose weight
   * without a further answer.
   */
  private static final double LEARNED_DECAY_MS = 6_000;
  /**
   * Time constant in milliseconds with which a load report loses weight: most of the requests of other
   * gateways that it counted are answered by then.
   */
  private static final double LOAD_REPORT_DECAY_MS = 700;
  /** Longest wait of a request for a usable backend before it is refused, as a share of its target time. */
  private static final double BACKEND_WAIT_SHARE_OF_AIM = 0.4;
  /** Service time in milliseconds that is assumed before any answer was seen. */
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

  /** Starts the policy; to be called once, before any event. */
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

  /**
   * The share of a customer's recent use that came through this gateway, from 0 to 1; an even share while it
   * is not known.
   */
  public double localUsageShare(long customer, int entryPoints) {
    Account account = accounts.get(customer);
    boolean known = account != null && consecutiveCallFailures < COUNTER_AWAY_AFTER_FAILURES
        && account.ownRate + account.othersRate > 0;
    return known ? account.ownRate / (account.ownRate + account.othersRate) : 1.0 / Math.max(1, entryPoints);
  }

  /** Handles one event and returns the actions that the gateway has to take, in order. */
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
    } else if (event instanceof AnswerProgress e) {
      onAnswerProgress(e);
    } else if (event instanceof StreamStarted e && openJobs.containsKey(e.request())) {
      openJobs.get(e.request()).streaming = true;
    }
    return actions;
  }

  // ---- Quota ----

  /** State of one customer: a replica of its plan's token bucket, updated from the shared totals. */
  final class Account extends AccountState {
    Account(Request request, Plan plan) {
      super(request.customer(), plan, Math.max(1, Math.min(request.entryPoints(), settings.gateways())), now);
      ceilingShare = request.ceilingShare();
      double refillMs = plan.rate() > 0 ? 1000 * plan.burst() / plan.rate() : 0;
      double followedMs = plan.ceilingRate() > 0 ? MAX_WINDOW_MS
          : MAX_WINDOW_MS * MAX_FOLLOWING_ENTRY_POINTS / this.entryPoints;
      windowMs = Math.max(refillMs, Math.min(MAX_WINDOW_MS, followedMs));
      countsPerWindow = windowMs < 2 * refillMs && settings.capabilities().sharedCounter();
      windowOffsetMs = Math.floorMod(customer * 0x9E3779B97F4A7C15L, (long) MAX_WINDOW_MS);
      level = settings.capabilities().sharedCounter() ? plan.burst() : plan.burst() / this.entryPoints;
      fillCeiling((now - startedAt) / 1000);
      localQuotaUnits = random.nextDouble() * settings.maxUnits();
      othersRate = plan.rate() * (countsPerWindow ? ASSUMED_RATE_SHARE : 1 - 1.0 / this.entryPoints);
    }

    /**
     * The share of the ceiling that all gateways together may use without the shared count. For one or two
     * gateways it is the whole ceiling; for three it is two thirds, or a largest request for each of them if
     * that is more. For more gateways, and where each window is counted by its total alone, it is a fixed
     * share. Where gateways are assigned shares of the ceiling, these divide the whole ceiling, as no count
     * can be relied on.
     */
    double localCeilingShare() {
      double each = Math.max(2.0 / entryPoints, entryPoints * settings.maxUnits() / plan.ceilingBurst());
      return ceilingShare != null ? 1 : countsPerWindow || entryPoints > MAX_FOLLOWING_ENTRY_POINTS
          ? LOCAL_CEILING_SHARE : Math.min(1, each);
    }

    double maxSharedCeilingUnits() {
      return (plan.ceilingBurst() + plan.ceilingSlack() / 2) * (1 - localCeilingShare());
    }

    /**
     * Whether the total of the window before the given one is known, from a counter that has been available
     * since before that window began.
     */
    boolean isPreviousTotalKnown(long window) {
      return previousTotalWindow == window - 1 && counterReturnedAt < windowStart(now) - windowMs;
    }

    /**
     * Lower bound of the units left in the shared part of the ceiling, for a total of the current window. It
     * assumes that all units of the previous window were used at its end; if the total of that window is not
     * known, that they were a full burst.
     */
    double minSharedCeilingUnits(double total) {
      boolean previousKnown = isPreviousTotalKnown(currentWindow(now));
      double filledFrom = previousKnown ? windowStart(now) : Math.max(windowStart(now), counterReturnedAt);
      double unitsThen = Math.max(0, maxSharedCeilingUnits()
          - (previousKnown ? Math.min(previousTotal, plan.burst()) : plan.burst()));
      return Math.min(maxSharedCeilingUnits(),
          unitsThen + plan.ceilingRate() * (1 - localCeilingShare()) * (now - filledFrom) / 1000)
          - total;
    }

    /**
     * Units left in the shared part of the ceiling, followed from the previous answer. It assumes that all
     * units that other gateways have added since then were used just now. Negative infinity if it cannot be
     * followed.
     */
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
      sharedCeilingUnits = Math.min(maxSharedCeilingUnits(),
          sharedCeilingUnits + plan.ceilingRate() * (1 - localCeilingShare()) * seconds);
      localCeilingUnits =
          Math.min(burst * gatewayShare, localCeilingUnits + plan.ceilingRate() * gatewayShare * seconds);
    }

    /**
     * Sets the assigned share of the ceiling. The time up to now is refilled by the smaller of the old and
     * the new share.
     */
    void updateCeilingShare(CeilingShare next) {
      CeilingShare previous = ceilingShare;
      ceilingShare = next != null && previous != null && next.share() > previous.share() ? previous : next;
      advance();
      ceilingShare = next;
    }

    /** Refills this gateway's even part of the quota, which it may use without an answer of the counter. */
    void fillLocalQuota(double seconds) {
      double cap = Math.max(plan.burst() / entryPoints, settings.maxUnits());
      localQuotaUnits = Math.min(cap, localQuotaUnits + plan.rate() / entryPoints * seconds);
    }

    /**
     * Refills the replica up to now. Other gateways are assumed to go on using units at their measured rates,
     * but not beyond the rate that leaves this gateway its own share.
     */
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

    /**
     * Lowers the level by what the other gateways are expected to have used; at the start of a window, from a
     * full burst on.
     */
    void deductExpectedUse(double seconds) {
      double sinceWindowStart = now - windowStart(now);
      double elapsedMs = Math.min(sinceWindowStart, seconds * 1000);
      level = elapsedMs == sinceWindowStart ? plan.burst() : level;
      double assumedRate = ASSUMED_RATE_SHARE * plan.rate();
      double confidence = Double.isNaN(syncedAt) ? 0 : Math.exp((syncedAt - now) / USAGE_SPELL_MS);
      level -= (assumedRate + confidence * (othersRate - assumedRate)) * elapsedMs / 1000;
    }

    /**
     * Whether the followed bucket is more than half full. Where calls to the counter are limited, they are
     * left to other customers then.
     */
    boolean isFarFromLimit() {
      return !countsPerWindow && level > plan.burst() / 2;
    }

    /**
     * Whether the quota is known to be used up for a request of that size, so that a call would only add load
     * to the counter.
     */
    boolean isSurelySpent(double units) {
      boolean totalPastBurst = totalWindow == currentWindow(now) && lastTotal >= plan.burst();
      return countsPerWindow ? level < (totalPastBurst ? units : -SURELY_SPENT_SHARE * plan.burst())
          : maxLevel() < units && now - syncedAt < SPENT_RECHECK_MS;
    }

    /** The highest possible level: if the other gateways have used nothing since the last answer. */
    double maxLevel() {
      return Math.min(plan.burst(), level + assumedOthersUnits) - inFlightUnits;
    }
  }

  /** Accounts in order of use, {@link #MAX_ACCOUNTS} at most beside those with attempts in flight. */
  final Map<Long, Account> accounts = new LinkedHashMap<>(16, 0.75f, true);
  private final Map<String, ArrayDeque<CounterCall<Account, Job>>> pendingCalls = new HashMap<>();
  /** Accounts whose units are still to be restored at a counter that replaced another. */
  private final ArrayDeque<Account> accountsToRestore = new ArrayDeque<>();
  /**
   * Adaptive share of requests that call the counter; requests that matter more call with a higher
   * probability, others with a lower one.
   */
  private double callShare = 1;
  private double callShareCutAt = Double.NEGATIVE_INFINITY, nextTrialAt = Double.NEGATIVE_INFINITY,
      lastCounterAnswerAt;
  private double counterReturnedAt = Double.NEGATIVE_INFINITY;
  private int consecutiveCallFailures;

  Account account(Request request) {
    Account account = accounts.computeIfAbsent(request.customer(), c -> new Account(request,
        plans.getOrDefault(request.planName(), strictestPlan())));
    account.updateCeilingShare(request.ceilingShare());
    dropUnusedAccounts();
    return account;
  }

  /**
   * Drops accounts that were unused for longer than the counter keeps a count, and the ones unused for
   * longest beyond the bound: names that never come again must not fill the memory. A customer that comes
   * again is followed anew, by the shared count.
   */
  private void dropUnusedAccounts() {
    Iterator<Account> eldest = accounts.values().iterator();
    for (int checked = 0; checked < ACCOUNTS_CHECKED && eldest.hasNext(); checked++) {
      Account account = eldest.next();
      if (accounts.size() <= MAX_ACCOUNTS && now - account.levelUpdatedAt <= COUNT_TTL_MS) {
        return;
      }
      if (account.attemptsInFlight == 0) {
        eldest.remove();
      }
    }
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

  // ---- Slots: attempts in flight at once, counted over all gateways ----

  /**
   * Requests a slot for a plan that limits the attempts in flight; where calls to the counter are limited,
   * calls for units take precedence.
   *
   * <p>Each window has a count of its own, so the slot of a gateway that died is lost until the end of the
   * window at most. The slots that this gateway holds at that time are added to the count of the new window
   * with its first request.
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

  /** Decides by the attempts of this gateway alone, which has an even part of the slots, at least one. */
  private void decideSlotLocally(Job job) {
    Account account = job.account;
    if (account.attemptsInFlight < Math.max(1, account.plan.maxOpenAttempts() / account.entryPoints)) {
      checkUnits(job);
    } else {
      onQuotaExceeded(job);
    }
  }

  /**
   * Handles the end of a call about slots. A call that has no answer is taken to have added its amount. A
   * total below the number of slots that this gateway holds shows that the counter lost some, which are added
   * again.
   */
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

  /** Returns the slot of a request once none of its attempts is in flight and none will follow. */
  private void releaseSlot(Job job) {
    if (job.holdsSlot && job.currentAttempt == null) {
      job.holdsSlot = false;
      Account account = job.account;
      account.slots--;
      callCounter(new CounterCall<>(account, account.slotWindow, -1, null, true));
    }
  }

  /** Checks the rate and the ceiling of the plan. */
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
   * Decides whether to call the counter: with the given probability while it answers. This protects a slow,
   * overloaded, silent or refusing counter: fewer requests call it, and while it is absent only spaced trial
   * calls are made. Drawback: requests are decided by the replica for longer than necessary.
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
    callCounter(new CounterCall<>(account, account.currentWindow(now), job.unitsInCall + account.pendingUnits,
        job));
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

  /** Reads a total again after an unreadable answer, which shows that the amount was added. */
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
      callShare += CALL_SHARE_INCREASE
          + CALL_SHARE_INCREASE_PER_S * Math.min(1, (now - lastCounterAnswerAt) / 1000);
    }
    callShareCutAt = result.status() == Status.OK
        || now - callShareCutAt <= settings.capabilities().counterTimeoutMs() ? callShareCutAt : now;
    lastCounterAnswerAt = result.status() == Status.OK ? now : lastCounterAnswerAt;
    callShare = Math.min(1, Math.max(MIN_CALL_SHARE, callShare));
  }

  /**
   * The time of the next trial call. The interval grows with the number of gateways, which limits the calls
   * of the whole fleet, and varies at random, which spreads them; each gateway still makes a call every few
   * seconds.
   */
  private double nextTrialTime() {
    double spacing = Math.max(COUNTER_TRIAL_MS, FLEET_COUNTER_TRIAL_MS * settings.gateways());
    return now + spacing * (0.75 + 0.5 * random.nextDouble());
  }

  /**
   * Applies a total of the shared count to the replica. Growth beyond the amount added here was added by
   * other gateways. A total that has fallen by more than half comes from a counter that was emptied: this is
   * not new quota, and the replica keeps its level.
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
      account.sharedCeilingUnits =
          Math.max(account.minSharedCeilingUnits(total - (call.job() == null ? 0 : call.job().unitsInCall)),
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
      account.level = Math.min(account.plan.burst(),
          account.level + account.plan.rate() * sinceMs / 1000 - others);
    }
    account.sharedCeilingUnits -= others;
    account.fillCeiling(0);
    account.assumedOthersUnits = 0;
    updateRates(account, others, sinceMs);
  }

  /**
   * Handles the replacement of the counter.
   *
   * <p>Where each window is counted by its total alone, each gateway restores what it had added itself and
   * the new counter lacks, with the next call for the customer or without one. Together the gateways restore
   * the old total, and nothing is added twice. Until the end of the window no answer raises the level, as
   * other gateways may not have restored their units yet. Where a bucket is followed, the replica keeps its
   * level. The growth of later totals is measured from 0, or from the last total where the new counter began
   * with a copy of a part of the window.
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

  /**
   * Restores counts that no request waits for, beginning with the most units: a customer may turn to a
   * gateway that knows nothing of it.
   */
  private void restoreCounts() {
    int callsLeft = (int) Math.max(1,
        FLEET_RESTORE_CALLS_PER_S * TICK_MS / 1000 / Math.max(1, settings.gateways()));
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

  /**
   * Handles the end of a call that no request waits for: it restored a count or read the total of the
   * previous window.
   */
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
    double keep = Math.exp(-(account.countsPerWindow ? sinceSyncMs : sinceMs)
        / (account.countsPerWindow ? USAGE_SPELL_MS / 3 : RATE_MEMORY_MS));
    double seconds = Math.max(0.001, sinceMs / 1000);
    account.othersRate = Math.max(0, keep * account.othersRate + (1 - keep) * others / seconds);
    account.ownRate = keep * account.ownRate + (1 - keep) * account.ownUnitsSinceSync / seconds;
    account.ownUnitsSinceSync = 0;
    account.syncedAt = now;
  }

  /**
   * Admits a request or not, by its quota and ceiling. The quota is checked against the answered total, or
   * without an answer against the replica, in which this gateway keeps its usual share of the refill.
   */
  private void decideByQuota(Job job, boolean answered) {
    Account account = job.account;
    double units = job.request.units();
    double available = answered || account.countsPerWindow ? account.level
        : account.level - account.inFlightUnits + (job.callPending ? job.unitsInCall : 0);
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
   * Takes the units from the ceiling, and returns whether there were enough. A request for which the counter
   * answered takes them from the shared part, if there are enough; any other request takes them from this
   * gateway's own part. So the sum keeps to the ceiling whatever the counter answers or forgets.
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

  /**
   * Handles a request beyond its quota, its ceiling or its slots. It is sent only where the plan earns by it
   * and has no ceiling, and the fleet has spare capacity.
   */
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

  /**
   * Time in milliseconds until the units of a request are refilled; without a rate, the time of an attempt,
   * after which a slot may be free.
   */
  private double msUntilRefilled(Account account, double units) {
    return account.plan.rate() > 0 ? Math.max(TICK_MS, (units - account.level) / account.plan.rate() * 1000)
        : fleetServiceMs;
  }

  /**
   * Refuses a request early if its customer is known to have used up its quota. This protects the checks that
   * come before this policy, such as external authorisation, from a flood of requests of that customer.
   */
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
     * Estimated number of requests at this backend, from all gateways. An own attempt that ends before a
     * request of the given expected time would, counts in part. A load report loses weight as it ages, so
     * that no backend is avoided for good.
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

    /** Time of requests here as a multiple of their expected time; without answers, that of the fleet. */
    double slowness() {
      return Double.isNaN(measuredSlowness) ? fleetSlowness
          : fleetSlowness + memoryWeight() * (measuredSlowness - fleetSlowness);
    }

    /**
     * Weight of what was learned of this backend, from 0 to 1; it falls while the backend answers nothing. So
     * a backend is not avoided after a fault whose end no answer shows. Drawback: a lasting fault is met
     * again from time to time.
     */
    double memoryWeight() {
      return Math.exp((lastAnswerAt - now) / LEARNED_DECAY_MS);
    }

    /**
     * Score of this backend for a request; the lowest is chosen. It is the expected time to an answer in
     * milliseconds, from the service time and the requests at the backend, longer where the oldest attempt is
     * overdue, where the backend is in another zone, or where requests have failed lately.
     */
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
   * Times of requests as a multiple of those expected by {@link #serviceTimes}, over all backends: near 1, as
   * the expected times follow the measured ones.
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
      if (b.reportedStartMs != x.startedMs()) {
        b.reportedStartMs = x.startedMs();
        // A start in the future is one of just now, by a clock that is ahead of the one of this process.
        b.startMs = Math.min(x.startedMs(), now);
        b.assumedStartMs = Math.max(b.assumedStartMs, b.startMs);
      }
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
    return groupFailureRates.computeIfAbsent(groupName,
        g -> new DecayingMean(FAILURE_WEIGHT, PRESSURE_DECAY_MS, now));
  }

  /**
   * Chooses the best of a few backends drawn at random (power of two choices): with many gateways, the same
   * stale reports would send all requests to the same backend. Backoffs are ignored where no other backend is
   * usable.
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
   * Whether a backend that has just started, for whatever reason, may get an attempt now. To protect it, this
   * gateway gives it no more than its warm-up share of the attempts that a warm backend gets from here,
   * attempts of every kind included. Where no backend is warm, or this gateway is new, the limit is the same
   * share of what a single core can handle, divided among all gateways. Drawback: a fleet that restarts is
   * used more slowly than possible.
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
    // An unreadable answer shows that the backend works. Any backend may give one, so it causes no backoff.
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
        backend.backoffUntil = now
            + BACKOFF_MS * (1 << Math.min(backend.backoffCount, 3)) * (1 + 0.3 * random.nextDouble());
        backend.backoffCount++;
        backend.needsTrial = true;
      }
    }
  }

  /**
   * Clears the suspicion that a backend has restarted if it answers an attempt that was sent before. Without
   * this, connections that fail for another reason, even a few, would make the whole fleet look cold.
   */
  private void clearSuspectedRestart(Backend backend, Attempt<Job, Backend> attempt) {
    if (attempt.sentAt < backend.suspectedRestartAt) {
      backend.assumedStartMs = backend.startMs;
      backend.suspectedRestartAt = Double.NEGATIVE_INFINITY;
      warmCountedAt = Double.NEGATIVE_INFINITY;
    }
  }

  // ---- Attempts ----

  /** A request that was received and has no final answer yet. */
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
  /** Models of the service times by name of the request class, also for classes that the settings lack. */
  final Map<String, ServiceTimeModel> serviceTimes = new HashMap<>();
  private final DecayingMean recentLatencyMs = new DecayingMean(PRESSURE_WEIGHT, PRESSURE_DECAY_MS, now);
  /** Latency of the latest answers as a share of their target times. */
  private final DecayingMean recentShareOfAim = new DecayingMean(PRESSURE_WEIGHT, PRESSURE_DECAY_MS, now);
  private int answerCount;
  /** Attempts in flight at a backend, from all gateways, beyond which further attempts mostly wait. */
  double knee = MIN_KNEE;
  private final DecayingMean recentExpectedMs = new DecayingMean(PRESSURE_WEIGHT, PRESSURE_DECAY_MS, now);
  private final DecayingMean meanAttemptsInFlight = new DecayingMean(0.3, 1000, now);
  private double lastOkAt = Double.NEGATIVE_INFINITY;
  private int attemptsInFlight;

  /** The class of a request; one that the settings lack is treated as one that must never run twice. */
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
   * Whether a request earns too little for the capacity that it takes. Its value is its worth multiplied by
   * the chance of an answer within its target time; the value required rises with the crowding of the fleet.
   * So the requests that earn least for their work are shed first, and a large request is told from a small
   * one. (DAGOR does so by business priority: Zhou et al., "Overload Control for Scaling WeChat
   * Microservices", 2018.)
   *
   * <p>Crowding is measured in attempts in flight, which, unlike latencies, stay the same where all backends
   * are slow at once: that alone sheds no request that can be answered in time. Drawback: backends with many
   * cores are used less than possible until the knee is found.
   */
  private boolean shouldShed(Job job, double surcharge) {
    double expected = job.expectedMs() * recentSlowness();
    double inTime = 1 / (1 + Math.pow(expected / job.aimMs(), IN_TIME_SHARPNESS));
    double value = job.worth() / Math.max(1e-9, meanWorth) * inTime;
    double bar = answerCount < MIN_ANSWERS_TO_SHED ? 0 : (crowding() - SHED_FROM_CROWDING) * SHED_SLOPE;
    return inTime < MIN_CHANCE_IN_TIME && crowding() > SPARE_CROWDING || value < bar + surcharge;
  }

  /**
   * Attempts in flight per backend, divided by the knee, estimated from those of this gateway. The mean over
   * about the last second makes up half of it.
   */
  private double crowding() {
    double attempts = (meanAttemptsInFlight.value + attemptsInFlight) / 2;
    return attempts * settings.gateways() / Math.max(1, serving.size()) / knee;
  }

  /** Latency of recent answers as a multiple of that expected for their sizes; 1 without recent answers. */
  private double recentSlowness() {
    return recentExpectedMs.value <= 0 ? 1
        : 1 + (recentLatencyMs.value / recentExpectedMs.value - 1)
        * Math.exp((recentExpectedMs.updatedAt() - now) / PRESSURE_DECAY_MS);
  }

  private ServiceTimeModel serviceTime(RequestClass requestClass) {
    return serviceTimes.computeIfAbsent(requestClass.name(), n -> new ServiceTimeModel(DEFAULT_SERVICE_MS));
  }

  /**
   * Records the latency of an ended attempt. Time for which this gateway itself was stalled is not counted.
   * An attempt that timed out, though another was answered since it was sent, lost its answer and shows no
   * latency. Drawback: a few slow backends remain unnoticed here.
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
    boolean cold = backend.isCold(settings.rules(), now);
    if (cold) {
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
    double beginBy = Math.min(repeatUntil(job), cold ? now + SLOW_START_BEGIN_MS : Double.POSITIVE_INFINITY);
    actions.add(new Send(job.request.id(), backend.id, leftMs,
        new AttemptConditions(beginBy, job.repeatsDroppedUntil - HOLD_UP_MS, backend.reportedStartMs,
            isReplaceable(job))));
  }

  /**
   * Whether another attempt may follow the one that begins now if its answer stalls. After one spoilt answer
   * the next is waited for: two backends that stall alike are less likely than answers that come slowly.
   */
  private boolean isReplaceable(Job job) {
    double stalledBy = now + AnswerLifecycle.BODY_SILENCE_MS;
    boolean mayRepeat = job.requestClass.repeat() == Repeat.SAFE
        || job.requestClass.repeat() == Repeat.KEYED && stalledBy < repeatUntil(job, now);
    return mayRepeat && !job.answerWasSpoilt
        && job.attemptCount < settings.capabilities().maxAttempts()
        && job.request.giveUpMs() - stalledBy >= minRetryMs();
  }

  /** The time that a request needs for another attempt. */
  private double minRetryMs() {
    return fleetServiceMs / 2 + ANSWER_MARGIN_MS;
  }

  /** The time until which a repeat of the request may begin; infinity if nothing limits it. */
  private static double repeatUntil(Job job) {
    return job.repeatsDroppedUntil - repeatMarginMs(job);
  }

  /** The same, if an attempt that begins at that moment may be the first of a keyed request that runs. */
  private static double repeatUntil(Job job, double firstAtMs) {
    return Math.min(job.repeatsDroppedUntil, firstAtMs + job.requestClass.repeatWindowMs())
        - repeatMarginMs(job);
  }

  private static double repeatMarginMs(Job job) {
    return Math.max(HOLD_UP_MS, REPEAT_MARGIN_SHARE * job.requestClass.repeatWindowMs());
  }

  /** Ends a request whose client left. One that waits for the counter is not sent when the answer comes. */
  private void onClientLeft(String id) {
    Job job = openJobs.remove(id);
    if (job != null) {
      job.waitingForCounter = false;
      refundUnits(job);
      releaseSlot(job);
    }
  }

  /** An attempt whose answer has begun is not cancelled as silent; whether it stalls is seen elsewhere. */
  private void onAnswerProgress(AnswerProgress progress) {
    Attempt<Job, Backend> attempt = attemptsByKey.get(progress.request() + "#" + progress.attempt());
    if (attempt != null) {
      attempt.answerBegun = true;
      attempt.backend.lastAnswerAt = now;
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
    job.answerWasSpoilt |= outcome.status() == Status.SPOILT;
    if (job.mayHaveRun && job.requestClass.repeat() == Repeat.KEYED && job.keyedBackend == null) {
      job.keyedBackend = attempt.backend;
      job.repeatsDroppedUntil = attempt.sentAt + job.requestClass.repeatWindowMs();
    }
    // None of these is a sign of overload, against which the budget of retries protects.
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
        || job.requestClass.repeat() == Repeat.KEYED
        && now < repeatUntil(job);
    double leftMs = job.request.giveUpMs() - now;
    if (!allowed || retryTokens < 1 && !job.retryExempt || leftMs < minRetryMs()) {
      giveUp(job);
    } else {
      dispatch(job);
    }
  }

  /**
   * Gives the final answer when no attempt will follow: a refusal if it is harmless for the client to try
   * again, otherwise a failure.
   */
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
   * Detects by an overdue timer that this gateway stalled. Events that arrived meanwhile are handled first,
   * and latencies seen over that time are not attributed to a backend or to the counter.
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

  /** Checks the progress of a request: no wait for the counter or for a backend exceeds its bound. */
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

  /** Whether the next check would come too late for an answer in time. */
  private boolean isTooLate(Job job) {
    return now + ANSWER_MARGIN_MS + TICK_MS >= job.request.giveUpMs();
  }

  /**
   * Cancels an attempt at a backend that has answered nothing since it was sent, if a second attempt fits.
   * This protects against dead, unreachable and stalled backends. An attempt whose size explains its time is
   * left alone, as cancelling it does not stop the work of a healthy backend. Drawback: a single slow request
   * looks the same; the retry budget limits the cost.
   */
  private void cancelIfSilent(Job job) {
    Attempt<Job, Backend> attempt = job.currentAttempt;
    if (!attempt.answerBegun && attempt.backend.lastAnswerAt <= attempt.sentAt
        && now - attempt.sentAt > Math.max(job.aimMs() * FIRST_ATTEMPT_SHARE_OF_AIM,
        SILENT_FACTOR * job.expectedMs())
        && !job.cancelledAsSilent && !job.streaming && settings.capabilities().mayCancel()
        && job.requestClass.repeat() != Repeat.UNSAFE && retryTokens >= 1) {
      job.cancelledAsSilent = true;
      actions.add(new Cancel(job.request.id(), attempt.number));
    }
  }
}
