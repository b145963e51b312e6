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
  private static final double WINDOW_MS = 25_000;
  /** Up to this many entry points each meets a customer often enough to follow its bucket that long. */
  private static final double FOLLOWING = 3;
  /** What a customer is taken to use of its rate before anything is known: most stay well under it. */
  private static final double USUAL_USE = 0.5;
  /** Counts estimated to be past the limit by this share of it are not asked for: the answer is known. */
  private static final double SURELY_SPENT = 0.5;
  private static final double COUNT_TTL_MS = 60_000;
  /** How often waiting requests are looked at: well under what a person or an aim notices. */
  private static final double TICK_MS = 25;
  /** Without open requests a slow pulse is enough: it shows when this gateway stood still. */
  private static final double PULSE_MS = 250;
  /** A wake-up later than this means that this gateway stood still: far more than any load explains. */
  private static final double STALL_MS = 100;
  /** A request waits for the counter at most this share of its aim; the rest is for the backends. */
  private static final double COUNT_WAIT_OF_AIM = 0.06;
  /** Calls failing in a row before the counter is taken to be away; fewer is a lost packet. */
  private static final int COUNTER_AWAY_AFTER = 4;
  /** Least spacing of trial calls while the counter is away: of a gateway's, and of the whole fleet's. */
  private static final double TRIAL_MS = 250;
  private static final double FLEET_TRIAL_MS = 5;
  /** Multiplicative decrease and additive increase of the share of requests that call, as in TCP. */
  private static final double PACE_CUT = 0.7;
  private static final double PACE_STEP = 0.02;
  /** Increase for each second between answers, so that gateways with few calls recover as soon as others. */
  private static final double PACE_STEP_PER_S = 0.05;
  private static final double PACE_LEAST = 0.02;
  /** Where calling resumes when an absent counter is back, so that all gateways together do not flood it. */
  private static final double PACE_BACK = 0.3;
  /** Calls a second by which all gateways together put back what a replaced counter has lost. */
  private static final double REBUILD_FLEET_PER_S = 2_000;
  /** Share of a ceiling for many gateways by themselves: a largest request each would be all of it. */
  private static final double OWN_OF_MANY = 0.25;
  /** A customer known to be spent is still asked about this often, as refunds of others may have come. */
  private static final double SPENT_RECHECK_MS = 400;
  /** A customer whose places were all taken is not asked about for this long: a fraction of an attempt. */
  private static final double PLACE_RECHECK_MS = 50;
  /** How long the spending of a customer is remembered for its rates: longer than a burst, a few refills. */
  private static final double RATE_MEMORY_MS = 5_000;
  /** How long a rarely met customer is taken to go on as last seen: heavy use comes in long spells. */
  private static final double SPELL_MS = 15_000;
  /** Weight of the newest answer in a backend's failures; its slowness, which differs more; the fleet's. */
  private static final double NEWEST = 0.2;
  private static final double SLOWNESS_NEWEST = 0.05;
  private static final double FLEET_NEWEST = 0.02;
  /** One answer shows no more slowness than this: beyond it, that an attempt fails is what matters. */
  private static final double SLOWEST = 20;
  /** An attempt out for so many times what its size explains shows a slow backend; a silent one. */
  private static final double OVERDUE = 1.5;
  private static final double SILENT = 2.5;
  /** A backend failing more of its answers than this, as after three in a row, rests for a growing while. */
  private static final double FAILING_SHARE = 0.4;
  private static final double REST_MS = 1_000;
  /** Backends that a gateway keeps to (subsetting), and gateways that each has at least: few connections. */
  private static final int SUBSET = 12;
  /** Backends compared for a request, over all gateways; two at least, as equal stale reports make a herd. */
  private static final double FLEET_CANDIDATES = 30;
  /** Further attempts for each request, earned by first attempts, and how many the fleet may save up. */
  private static final double RETRY_EARNED = 0.15;
  private static final double FLEET_RETRIES_SAVED = 30;
  /** A first attempt that can be repeated is given up after this share of the aim, so that a second fits. */
  private static final double FIRST_TRY_OF_AIM = 0.65;
  /** No repeat leaves in this last part of the time for which it is dropped: it may yet have to wait. */
  private static final double QUEUED = 0.25;
  /** Answer this long before the client gives up, so that the answer itself is in time. */
  private static final double GUARD_MS = 15;
  /** Attempts out at a backend, of all gateways, from which on further ones mostly wait: few for any. */
  private static final double LEAST_KNEE = 3;
  /** No crowd is seen before so many answers: they tell whether there is one. */
  private static final int FIRST_ANSWERS = 20;
  /** It lies higher where answers at a crowd take less of their aims than this: by so much with each. */
  private static final double KNEE_UP_UNDER = 0.12;
  private static final double KNEE_UP = 0.02;
  /** And lower again, to the least, where they take more than this. */
  private static final double KNEE_DOWN_OVER = 0.25;
  private static final double KNEE_DOWN = 0.02;
  /** Crowding, in knees, from which on the least worthy requests are shed, and how steeply more are. */
  private static final double SHED_FROM = 0.5;
  private static final double SHED_SLOPE = 1.2;
  /** What has less of a chance to be in time is refused unless the fleet has room for anything. */
  private static final double LEAST_CHANCE = 0.5;
  /** So much more is asked of a request that no answer of the counter has confirmed. */
  private static final double UNCONFIRMED = 0.3;
  /** How sharply the chance of an answer in time falls round the aim: answers to one size vary by a half. */
  private static final double IN_TIME_SHARPNESS = 3;
  /** A fleet less crowded than this has room for anything, also for what earns beyond its quota. */
  private static final double SPARE = 0.4;
  /** Weight of the newest answer in the fleet's wait: the last twenty count, or the last few seconds. */
  private static final double PRESSURE_NEWEST = 0.05;
  private static final double PRESSURE_LIFE_MS = 4_000;
  /** A backend with fewer requests than this, of all gateways, is not taken to queue. */
  private static final double IDLE_HELD = 3;
  /** Random spread of expected waits, so that gateways with the same reports pick different backends. */
  private static final double SPREAD = 0.05;
  /** How long a backend's measured speed and failures are worth much without a further answer. */
  private static final double LEARNED_LIFE_MS = 6_000;
  /** How long a load report is worth much: others' requests there are mostly answered by then. */
  private static final double REPORT_LIFE_MS = 700;
  /** Wait for any usable backend this share of the aim before refusing. */
  private static final double HOLD_OF_AIM = 0.4;
  /** What a backend is taken to need before anything was seen of it. */
  private static final double UNKNOWN_SERVICE_MS = 100;

  private final Settings settings;
  private final SplittableRandom random;
  final Map<String, Plan> plans = new HashMap<>();
  final Map<String, RequestClass> classes = new HashMap<>();
  private List<Action> out = new ArrayList<>();
  double now, startedAt;

  public QuotaPolicy(Settings settings, long seed) {
    this.settings = settings;
    this.random = new SplittableRandom(seed);
    retriesSaved = Math.max(1, FLEET_RETRIES_SAVED / Math.max(1, settings.gateways()));
    retryTokens = retriesSaved;
    settings.plans().forEach(p -> plans.put(p.name(), p));
    settings.classes().forEach(c -> classes.put(c.name(), c));
  }

  /** To be called once, before any event. */
  public List<Action> start(double nowMs) {
    now = nowMs;
    startedAt = nowMs;
    out = new ArrayList<>();
    arm(TICK_MS);
    if (settings.allowed().rosterOnRequest()) {
      out.add(new FollowRoster());
    }
    return out;
  }

  /** The part of a customer's use of late that came through this gateway; an even one while not known. */
  public double through(long customer, int entryPoints) {
    Account a = accounts.get(customer);
    boolean known = a != null && callsFailed < COUNTER_AWAY_AFTER && a.ownRate + a.othersRate > 0;
    return known ? a.ownRate / (a.ownRate + a.othersRate) : 1.0 / Math.max(1, entryPoints);
  }

  /** Takes one event and gives what to do, in order. */
  public List<Action> on(double nowMs, Event event) {
    now = nowMs;
    out = new ArrayList<>();
    noteStall();
    if (event instanceof Request e) {
      onRequest(e);
      if (wakeAt > now + TICK_MS && !open.isEmpty()) {
        arm(TICK_MS);
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
    } else if (event instanceof Foresee e) {
      onForesee(e.request());
    } else if (event instanceof StreamBegan e && open.containsKey(e.request())) {
      open.get(e.request()).streaming = true;
    }
    return out;
  }

  // ---- Quota ----

  /** What this gateway knows of one customer: a replica of its plan's bucket, fed by the shared totals. */
  final class Account extends AccountState {
    Account(Request r, Plan plan) {
      super(r.customer(), plan, Math.max(1, Math.min(r.entryPoints(), settings.gateways())), now);
      share = r.ceiling();
      double refillMs = plan.rate() > 0 ? 1000 * plan.burst() / plan.rate() : 0;
      double followed = plan.ceilingRate() > 0 ? WINDOW_MS : WINDOW_MS * FOLLOWING / this.gateways;
      windowMs = Math.max(refillMs, Math.min(WINDOW_MS, followed));
      plain = windowMs < 2 * refillMs && settings.allowed().sharedCount();
      phase = Math.floorMod(customer * 0x9E3779B97F4A7C15L, (long) WINDOW_MS);
      level = settings.allowed().sharedCount() ? plan.burst() : plan.burst() / this.gateways;
      fillCeiling((now - startedAt) / 1000);
      part = random.nextDouble() * settings.maxUnits();
      othersRate = plan.rate() * (plain ? USUAL_USE : 1 - 1.0 / this.gateways);
    }

    /**
     * The share of a ceiling for gateways by themselves: all for two, for more a largest request each; of
     * many, and where totals tell all, a part. Where shares are told, all, as no count can be relied on.
     */
    double ownShare() {
      double each = Math.max(2.0 / gateways, gateways * settings.maxUnits() / plan.ceilingBurst());
      return share != null ? 1 : plain || gateways > FOLLOWING ? OWN_OF_MANY : Math.min(1, each);
    }

    double countedMost() {
      return (plan.ceilingBurst() + plan.ceilingSlack() / 2) * (1 - ownShare());
    }

    /** Whether the window before that one is told, and by a counter that has lost nothing of it. */
    boolean pastKnown(long counting) {
      return pastWindow == counting - 1 && counterBackAt < windowStart(now) - windowMs;
    }

    /** What is left of the ceiling with such a total, if all of the last window was spent at its end. */
    double countedAtLeast(double total) {
      boolean known = pastKnown(windowNow(now));
      double begun = known ? windowStart(now) : Math.max(windowStart(now), counterBackAt);
      double then = Math.max(0, countedMost() - (known ? Math.min(past, plan.burst()) : plan.burst()));
      return Math.min(countedMost(), then + plan.ceilingRate() * (1 - ownShare()) * (now - begun) / 1000)
          - total;
    }

    /** The same, as followed from the answer before, with all that others used since then used just now. */
    double countedOn(boolean fresh, long counting, double total, double added) {
      double before = Math.min(seen, plan.burst());
      double rest = !fresh ? -before : window == counting - 1 ? Math.min(past, plan.burst()) - before : past;
      boolean on = syncedAt >= counterBackAt && (!fresh || pastKnown(counting));
      return on ? counted - rest - Math.min(total, plan.burst() + added) + added : Double.NEGATIVE_INFINITY;
    }

    void fillCeiling(double dt) {
      double burst = plan.ceilingBurst() + plan.ceilingSlack() / 2;
      double part = share == null ? ownShare() / gateways
          : now < share.untilMs() ? share.share() : share.then();
      counted = Math.min(countedMost(), counted + plan.ceilingRate() * (1 - ownShare()) * dt);
      own = Math.min(burst * part, own + plan.ceilingRate() * part * dt);
    }

    /** What another share than before has filled until now is counted by the less of both. */
    void shared(CeilingShare told) {
      CeilingShare before = share;
      share = told != null && before != null && told.share() > before.share() ? before : told;
      advance();
      share = told;
    }

    /** This gateway's even part of the quota: what it may send on unasked. */
    void fillPart(double dt) {
      double most = Math.max(plan.burst() / gateways, settings.maxUnits());
      part = Math.min(most, part + plan.rate() / gateways * dt);
    }

    /** Refills to the present; others go on spending as they did, but this gateway keeps its own share. */
    void advance() {
      double dt = (now - levelAt) / 1000;
      levelAt = now;
      if (dt <= 0) {
        return;
      }
      fillPart(dt);
      if (plain) {
        expectUse(dt);
        return;
      }
      double least = plan.rate() * 0.05;
      double share = (ownRate + least) / (ownRate + othersRate + least * gateways);
      boolean shared = settings.allowed().sharedCount();
      double others = shared ? Math.min(othersRate, plan.rate() * (1 - share)) : othersRate;
      double cap = shared ? plan.burst() : plan.burst() / gateways;
      double full = Math.min(cap, level + plan.rate() * dt);
      level = Math.min(cap, level + (plan.rate() - others) * dt);
      assumed += full - level;
      fillCeiling(dt);
    }

    /** Room left in this window, less what the others are expected to use; a new window starts at nought. */
    void expectUse(double dt) {
      double begun = now - windowStart(now);
      double span = Math.min(begun, dt * 1000);
      level = span == begun ? plan.burst() : level;
      double usual = USUAL_USE * plan.rate();
      double known = Double.isNaN(syncedAt) ? 0 : Math.exp((syncedAt - now) / SPELL_MS);
      level -= (usual + known * (othersRate - usual)) * span / 1000;
    }

    /** Far from its limit by all that is known: where calls are scarce, they are for others. */
    boolean comfortable() {
      return !plain && level > plan.burst() / 2;
    }

    /** Whether the customer is known to be spent, so that a call would only add to the counter's load. */
    boolean surelySpent(double units) {
      boolean told = window == windowNow(now) && seen >= plan.burst();
      return plain ? level < (told ? units : -SURELY_SPENT * plan.burst())
          : most() < units && now - syncedAt < SPENT_RECHECK_MS;
    }

    /** The most the bucket can hold if the others have spent nothing since the last answer. */
    double most() {
      return Math.min(plan.burst(), level + assumed) - flying;
    }
  }

  /** In order of use, so that the longest idle is dropped when another is met: nothing grows for ever. */
  final Map<Long, Account> accounts = new LinkedHashMap<>(16, 0.75f, true) {
    @Override
    protected boolean removeEldestEntry(Map.Entry<Long, Account> e) {
      return now - e.getValue().levelAt > COUNT_TTL_MS && e.getValue().out == 0;
    }
  };
  private final Map<String, ArrayDeque<Call<Account, Job>>> calls = new HashMap<>();
  /** Accounts whose units are to be put back at a counter that replaced another, at most all there are. */
  private final ArrayDeque<Account> rebuilding = new ArrayDeque<>();
  private double pace = 1;
  private double pacedAt = Double.NEGATIVE_INFINITY, trialAt = Double.NEGATIVE_INFINITY, answeredAt;
  private double counterBackAt = Double.NEGATIVE_INFINITY;
  private int callsFailed;

  Account account(Request r) {
    Account a = accounts.computeIfAbsent(r.customer(), c -> new Account(r,
        plans.getOrDefault(r.planName(), mostCarefulPlan())));
    a.shared(r.ceiling());
    return a;
  }

  private Plan mostCarefulPlan() {
    return settings.plans().stream().filter(p -> p.rate() > 0).min(Comparator.comparingDouble(Plan::rate))
        .orElse(new Plan("", 0, 0, 0, 0, 0, 0, 0, 0, 0));
  }

  private void check(Job job) {
    Account a = job.account;
    if (a.plan.openLimit() <= 0) {
      checkUnits(job);
    } else if (a.placesKnown() >= a.plan.openLimit() || now < a.fullUntil) {
      beyondQuota(job);
    } else if (settings.allowed().sharedCount() && mayCall(pace * pace)) {
      askPlace(a, job);
    } else {
      withoutPlace(job);
    }
  }

  // ---- Places: attempts out at once, counted over all gateways ----

  /**
   * Asks for one of the places of a plan that bounds attempts out at once; asks for units go first. A count's
   * name lasts a window, so that a place whose gateway died is lost until its end at most; what this gateway
   * has out then is carried over with its first ask in the new one.
   */
  private void askPlace(Account a, Job job) {
    long window = a.windowNow(now);
    double carried = window == a.placeWindow ? 0 : a.places;
    a.placesOwed = window == a.placeWindow ? a.placesOwed : 0;
    a.placeWindow = window;
    job.waiting = true;
    a.asking++;
    calls(new Call<>(a, window, 1 + carried + a.placesOwed, job, true));
    a.placesOwed = 0;
  }

  /** Counted by this gateway alone: an even part of the places, one at least. */
  private void withoutPlace(Job job) {
    Account a = job.account;
    if (a.out < Math.max(1, a.plan.openLimit() / a.gateways)) {
      checkUnits(job);
    } else {
      beyondQuota(job);
    }
  }

  /** A total below what this gateway itself holds shows a loss, which is put back; no answer means added. */
  private void onPlaceCounted(Call<Account, Job> call, Counted e) {
    Account a = call.account();
    Job job = call.job();
    if (e.status().provesNotRun() && call.window() == a.placeWindow) {
      a.placesOwed += call.amount() - (job == null ? 0 : 1);
    }
    if (job == null) {
      return;
    }
    a.asking--;
    boolean added = !e.status().provesNotRun();
    boolean over = !open.containsKey(job.request.id()) && job.live == null;
    if (added) {
      job.placed = true;
      a.places++;
    }
    if (e.status() == Status.OK && call.window() == a.placeWindow && e.total() < a.places) {
      calls(new Call<>(a, call.window(), a.places - e.total(), null, true));
    }
    if (over) {
      freePlace(job);
    } else if (job.waiting) {
      job.waiting = false;
      if (e.status() != Status.OK) {
        withoutPlace(job);
      } else if (e.total() <= a.plan.openLimit()) {
        checkUnits(job);
      } else {
        a.fullUntil = now + PLACE_RECHECK_MS;
        beyondQuota(job);
      }
    }
  }

  /** Gives its place back once none of its attempts is out and none will follow. */
  private void freePlace(Job job) {
    if (job.placed && job.live == null) {
      job.placed = false;
      Account a = job.account;
      a.places--;
      calls(new Call<>(a, a.placeWindow, -1, null, true));
    }
  }

  /** The plan's rate and ceiling. */
  private void checkUnits(Job job) {
    Account a = job.account;
    double units = job.request.units();
    if (a.plan.rate() <= 0 && a.plan.ceilingRate() <= 0) {
      dispatch(job);
    } else if (!settings.allowed().sharedCount()) {
      decide(job, false);
    } else if (a.surelySpent(units)) {
      beyondQuota(job);
    } else if (mayCall(a.comfortable() ? pace * pace : Math.sqrt(pace))) {
      call(a, job);
    } else {
      decide(job, false);
    }
  }

  /**
   * Whether to call the counter, with such a chance where it answers. Guards against a slow, full, silent or
   * refusing counter: fewer call, and spaced trials remain. Harm: longer held to the replica than needed.
   */
  private boolean mayCall(double chance) {
    if (callsFailed >= COUNTER_AWAY_AFTER) {
      if (now < trialAt) {
        return false;
      }
      trialAt = nextTrial();
      return true;
    }
    return random.nextDouble() < Math.max(PACE_LEAST, chance);
  }

  private void call(Account a, Job job) {
    double units = job.request.units();
    job.waiting = true;
    job.called = true;
    job.asked = a.plain || a.level >= units ? units : 0;
    if (a.plain && a.plan.ceilingRate() > 0 && a.pastAsked < a.windowNow(now) - 1) {
      a.pastAsked = a.windowNow(now) - 1;
      calls(new Call<>(a, a.pastAsked, 0, null));
    }
    calls(new Call<>(a, a.windowNow(now), job.asked + a.owed, job));
    a.flying += job.asked;
    a.owed = 0;
  }

  private void onCounted(Counted told) {
    ArrayDeque<Call<Account, Job>> queue = calls.get(told.name());
    if (queue == null) {
      return;
    }
    Call<Account, Job> call = queue.poll();
    if (queue.isEmpty()) {
      calls.remove(told.name());
    }
    Account a = call.account();
    if (call.place()) {
      judgeCounter(told);
      onPlaceCounted(call, told);
      return;
    }
    Counted e = told.status() != Status.OK || told.total() < a.implausible(settings) ? told
        : new Counted(told.name(), Status.SPOILT, 0, told.latencyMs());
    Job job = call.job();
    a.advance();
    if (job == null) {
      judgeCounter(e);
      wasPutBack(call, e);
      return;
    }
    if (e.status() == Status.SPOILT && job.waiting && !job.reread) {
      readAgain(e.name(), call);
      return;
    }
    a.flying -= job.asked;
    if (!stalled() || e.status() == Status.OK) {
      judgeCounter(e);
    }
    boolean added = !e.status().provesNotRun();
    if (e.status() == Status.OK) {
      observe(a, call, e.total());
    } else if (added) {
      a.maybe += call.amount();
    } else {
      a.owed += call.amount() - job.asked;
    }
    job.called = false;
    if (!job.waiting) {
      a.owed += (job.inQuota ? job.request.units() : 0) - (added ? job.asked : 0);
      return;
    }
    job.waiting = false;
    job.added = added && job.asked > 0;
    decide(job, e.status() == Status.OK);
  }

  /** An answer that cannot be read tells that the amount was added: the total is read once more. */
  private void readAgain(String name, Call<Account, Job> call) {
    call.job().reread = true;
    calls.computeIfAbsent(name, n -> new ArrayDeque<>()).add(call);
    out.add(new Add(name, 0, COUNT_TTL_MS));
  }

  private void judgeCounter(Counted e) {
    boolean away = callsFailed >= COUNTER_AWAY_AFTER;
    callsFailed = e.status() == Status.OK ? 0 : callsFailed + 1;
    if (e.status() != Status.OK) {
      pace *= now - pacedAt > settings.allowed().countLimitMs() ? PACE_CUT : 1;
      trialAt = callsFailed == COUNTER_AWAY_AFTER ? nextTrial() : trialAt;
    } else if (away) {
      pace = PACE_BACK;
      counterBackAt = now;
    } else {
      pace += PACE_STEP + PACE_STEP_PER_S * Math.min(1, (now - answeredAt) / 1000);
    }
    pacedAt = e.status() == Status.OK || now - pacedAt <= settings.allowed().countLimitMs() ? pacedAt : now;
    answeredAt = e.status() == Status.OK ? now : answeredAt;
    pace = Math.min(1, Math.max(PACE_LEAST, pace));
  }

  /** Trials of the whole fleet are bounded, and spread by chance; each gateway's come within seconds. */
  private double nextTrial() {
    double spacing = Math.max(TRIAL_MS, FLEET_TRIAL_MS * settings.gateways());
    return now + spacing * (0.75 + 0.5 * random.nextDouble());
  }

  /**
   * Replays the growth of the shared total into the replica. Growth beyond what was added here is others'.
   * A total that halves is an emptied counter, not fresh quota: the replica keeps its level.
   */
  private void observe(Account a, Call<Account, Job> call, double total) {
    boolean fresh = a.window != call.window();
    double growth = fresh ? total : total - a.seen;
    if (!fresh && a.before > 0) {
      growth = Math.max(call.amount(), total - a.before);
    }
    a.before = 0;
    boolean carried = !Double.isNaN(a.syncedAt);
    double started = call.window() * a.windowMs - a.phase;
    double since = now - (fresh || !carried ? started : a.syncedAt);
    double others = growth - call.amount();
    if (!fresh && others < 0 && total < a.seen / 2) {
      others = Math.max(0, total - call.amount());
    }
    if (a.plain) {
      a.counted = Math.max(a.countedAtLeast(total - (call.job() == null ? 0 : call.job().asked)),
          a.countedOn(fresh, call.window(), total, call.amount()));
    }
    a.given = fresh ? call.amount() : a.given + call.amount();
    a.window = call.window();
    a.seen = total;
    if (a.plain) {
      double told = a.plan.burst() - (total - call.job().asked);
      double level = call.window() == a.rebuilt ? Math.min(a.level, told) : told;
      a.level = call.window() == a.windowNow(now) ? level : a.level;
      learnRates(a, Math.max(0, others), since);
      return;
    }
    double mine = Math.min(a.maybe, Math.max(0, others));
    others -= mine;
    a.owed += a.maybe - mine;
    a.maybe = 0;
    if (carried) {
      double replaced = a.assumed * Math.min(1, since / Math.max(1, now - a.syncedAt));
      a.level = Math.min(a.plan.burst(), a.level + replaced - others);
    } else {
      a.level = Math.min(a.plan.burst(), a.level + a.plan.rate() * since / 1000 - others);
    }
    a.counted -= others;
    a.fillCeiling(0);
    a.assumed = 0;
    learnRates(a, others, since);
  }

  /**
   * Another counter counts from here on. Where one burst a window is counted by totals alone, each gateway
   * puts back what it had added itself and the new one lacks, with the customer's next add: all of them
   * together make the old total, and none of it comes twice. Until the window's end no answer raises the
   * level, as others may not have put theirs back yet. Where a bucket is followed, the replica keeps what is
   * known. Totals are read from nought on, or from what was seen before, where a copy has a part.
   */
  private void onCounterReplaced(double lostSince) {
    for (Account a : accounts.values()) {
      double begun = a.windowStart(now);
      boolean partly = lostSince > begun;
      if (a.plain && a.window == a.windowNow(now)) {
        a.owed += a.given * (partly ? (now - lostSince) / (now - begun) : 1);
        a.rebuilt = a.window;
      }
      a.given = 0;
      if (a.places > 0 && !partly && a.placeWindow == a.windowNow(now)) {
        calls(new Call<>(a, a.placeWindow, a.places, null, true));
      }
      a.before = partly ? Math.max(a.before, a.seen) : 0;
      a.seen = 0;
    }
    rebuilding.clear();
    accounts.values().stream().filter(a -> a.rebuilt == a.windowNow(now) && a.owed > 0)
        .sorted(Comparator.comparingDouble(a -> -a.owed)).forEach(rebuilding::add);
    putBack();
  }

  /** Puts back unasked too, the most spent first: a customer may turn to a gateway that knows nothing. */
  private void putBack() {
    int calls = (int) Math.max(1, REBUILD_FLEET_PER_S * TICK_MS / 1000 / Math.max(1, settings.gateways()));
    while (calls > 0 && !rebuilding.isEmpty()) {
      Account a = rebuilding.poll();
      if (a.owed > 0 && a.rebuilt == a.windowNow(now)) {
        calls--;
        Call<Account, Job> call = new Call<>(a, a.rebuilt, a.owed, null);
        calls(call);
        a.owed = 0;
      }
    }
  }

  private void calls(Call<Account, Job> call) {
    String name = call.name();
    calls.computeIfAbsent(name, n -> new ArrayDeque<>()).add(call);
    out.add(new Add(name, call.amount(), COUNT_TTL_MS));
  }

  /** The end of a call that put back what is known, and that no request waits for. */
  private void wasPutBack(Call<Account, Job> call, Counted e) {
    Account a = call.account();
    if (e.status() == Status.OK && call.window() == a.pastAsked) {
      a.past = e.total();
      a.pastWindow = call.window();
    } else if (e.status() == Status.OK && call.window() == a.window) {
      a.given += call.amount();
      a.seen = e.total();
      a.level = Math.min(a.level, a.plan.burst() - e.total());
    } else if (e.status().provesNotRun() && call.window() == a.window) {
      a.owed += call.amount();
    }
  }

  private void learnRates(Account a, double others, double sinceMs) {
    double age = Double.isNaN(a.syncedAt) ? sinceMs : now - a.syncedAt;
    double keep = Math.exp(-(a.plain ? age : sinceMs) / (a.plain ? SPELL_MS / 3 : RATE_MEMORY_MS));
    double seconds = Math.max(0.001, sinceMs / 1000);
    a.othersRate = Math.max(0, keep * a.othersRate + (1 - keep) * others / seconds);
    a.ownRate = keep * a.ownRate + (1 - keep) * a.ownSince / seconds;
    a.ownSince = 0;
    a.syncedAt = now;
  }

  /** By the answered total, or else by the replica with the share of the refill this gateway is used to. */
  private void decide(Job job, boolean answered) {
    Account a = job.account;
    double units = job.request.units();
    double room = answered || a.plain ? a.level : a.level - a.flying + (job.called ? job.asked : 0);
    boolean unasked = settings.allowed().sharedCount() && !answered;
    boolean within = room >= units && (!unasked || !a.plain || a.part >= units)
        || unasked && !a.plain && callsFailed >= COUNTER_AWAY_AFTER && a.part >= units;
    boolean barred = a.plan.rate() > 0 && !within
        || unasked && !a.comfortable() && pressed(job, UNCONFIRMED);
    if (barred || !holdsCeiling(a, units, answered)) {
      a.owed -= job.added && (!a.plain || within) ? units : 0;
      job.added = false;
      beyondQuota(job);
      return;
    }
    a.level -= units;
    a.part = Math.max(0, a.part - units);
    a.ownSince += units;
    job.inQuota = true;
    a.owed += job.added || job.called ? 0 : units;
    dispatch(job);
  }

  /**
   * A hard ceiling: sends that the counter answered for come out of the part that is counted, all others out
   * of this gateway's own part, so the sum holds whatever the counter answers or forgets.
   */
  private boolean holdsCeiling(Account a, double units, boolean answered) {
    if (a.plan.ceilingRate() <= 0) {
      return true;
    }
    boolean together = answered && a.counted >= units;
    boolean alone = !together && a.own >= units;
    a.counted -= together ? units : 0;
    a.own -= alone ? units : 0;
    return together || alone;
  }

  /** Beyond its quota a request goes on only where the plan earns by it, under no ceiling, fleet idle. */
  private void beyondQuota(Job job) {
    if (earnsBeyond(job.account.plan)) {
      dispatch(job);
    } else {
      refuse(job, refilledIn(job.account, job.request.units()), true);
    }
  }

  private boolean earnsBeyond(Plan plan) {
    return plan.beyondEarns() > plan.beyondCost() && plan.ceilingRate() <= 0
        && crowding() < SPARE;
  }

  /** When its units are there again, or one of its places: an attempt's time later. */
  private double refilledIn(Account a, double units) {
    return a.plan.rate() > 0 ? Math.max(TICK_MS, (units - a.level) / a.plan.rate() * 1000) : fleetService;
  }

  /** Guards what is asked about a request before this module has it against a flood of a spent customer. */
  private void onForesee(Request r) {
    Account a = accounts.get(r.customer());
    if (a == null || a.plan.rate() <= 0 || !settings.allowed().sharedCount()) {
      return;
    }
    a.advance();
    if (a.surelySpent(r.units()) && !earnsBeyond(a.plan)) {
      out.add(new Refuse(r.id(), advised(refilledIn(a, r.units())), true));
    }
  }

  private void settle(Job job, double trueUnits) {
    Account a = job.account;
    if (job.inQuota && trueUnits > 0) {
      double gap = trueUnits - job.request.units();
      a.advance();
      if (gap < 0 && a.plan.ceilingRate() > 0 && a.ownShare() < 1) {
        double covered = Math.min(-gap, a.own);
        a.own -= covered;
        gap = -covered;
      }
      a.level -= gap;
      a.owed += gap;
    }
  }

  private void takeBack(Job job) {
    if (job.inQuota && job.attempts == 0) {
      job.account.level += job.request.units();
      job.account.owed -= job.request.units();
      job.inQuota = false;
    }
  }

  // ---- Backends ----

  final class Backend extends BackendState {
    final LinkedHashSet<Attempt<Job, Backend>> out = new LinkedHashSet<>();

    Backend(long id) {
      super(id, now);
      coldTokens = random.nextDouble();
    }

    /**
     * Requests here from all gateways, own ones that end before a request of such a need would in part; a
     * report is trusted less as it ages, so no backend stays shunned.
     */
    double held(double needs) {
      double mine = 0;
      for (Attempt<Job, Backend> a : out) {
        double theirs = a.job.need();
        mine += Math.min(1, Math.max(theirs / 4, theirs - (now - a.sentAt) / fleetSlow) / needs);
      }
      double usual = outMean.value / Math.max(1, serving.size()) * (settings.gateways() - 1);
      if (Double.isNaN(reported)) {
        return mine + usual;
      }
      double fresh = Math.exp((reportedAt - now) / REPORT_LIFE_MS);
      return mine + usual + fresh * (Math.max(0, reported - reportedOwn) - usual);
    }

    /** How much longer than usual requests take here. */
    double slowness() {
      return Double.isNaN(service) ? fleetSlow : fleetSlow + remembered() * (service - fleetSlow);
    }

    /**
     * What was learned of a backend fades while it answers nothing. Guards against shunning one after
     * a trouble of any kind that nobody sees end. Harm: a lasting trouble is met again once in a while.
     */
    double remembered() {
      return Math.exp((answeredAt - now) / LEARNED_LIFE_MS);
    }

    /** Expected time to an answer: service time by requests held, longer where the oldest is overdue. */
    double wait(Job job) {
      double needs = job.need();
      double w = needs * slowness() * (1 + held(needs) / size);
      if (!out.isEmpty()) {
        Attempt<Job, Backend> oldest = out.iterator().next();
        w += Math.max(0, now - oldest.sentAt - OVERDUE * oldest.job.need() * fleetSlow);
      }
      if (!zone.equals(settings.zone())) {
        w += settings.crossZonePrice() * job.aim();
      }
      return w * (1 + 4 * Math.max(nearFailing(now), failing * remembered())) * (trial ? 0.5 : 1);
    }
  }

  final TreeMap<Long, Backend> backends = new TreeMap<>();
  private final Map<String, Mean> failing = new HashMap<>();
  double fleetService = UNKNOWN_SERVICE_MS;
  /** How much longer than by {@link #needs} requests take, over all backends: near 1, as needs follow. */
  double fleetSlow = 1;
  private final List<Backend> serving = new ArrayList<>();
  private final List<Backend> usual = new ArrayList<>();
  private int warm;
  private double warmAt = Double.NEGATIVE_INFINITY, sendRate, sendsAt;

  private void onRoster(Roster e) {
    if (e.form() == RosterForm.FAILED) {
      out.add(new WakeAt(now + 1000, "follow"));
      return;
    }
    if (e.form() != RosterForm.CHANGES) {
      backends.values().forEach(b -> b.phase = Phase.REMOVED);
    }
    for (BackendEntry x : e.entries()) {
      Backend b = backends.computeIfAbsent(x.id(), Backend::new);
      if (b.toldStart != x.startedMs() && b.phase != null) {
        backends.put(b.id, b = new Backend(b.id));
      }
      b.zone = x.zone();
      b.cell = x.cell();
      b.zoneFailing = failing(x.zone());
      b.cellFailing = failing(x.zone() + "/" + x.cell());
      b.phase = x.phase();
      b.startedMs = Math.max(b.startedMs, x.startedMs());
      b.toldStart = x.startedMs();
      b.told = settings.sizesTold() ? Math.max(x.size(), 1e-6) : 1;
    }
    backends.values().removeIf(b -> b.phase == Phase.REMOVED && b.out.isEmpty());
    serving.clear();
    backends.values().stream().filter(b -> b.phase == Phase.SERVING).forEach(serving::add);
    double mean = serving.stream().mapToDouble(b -> b.told).average().orElse(1);
    serving.forEach(b -> b.size = b.told / mean);
    usual.clear();
    serving.stream().sorted(Comparator.comparingLong(b -> b.rank(settings.self())))
        .limit(Math.max(SUBSET, SUBSET * serving.size() / Math.max(1, settings.gateways())))
        .forEach(usual::add);
    warmAt = Double.NEGATIVE_INFINITY;
  }

  private Mean failing(String group) {
    return failing.computeIfAbsent(group, g -> new Mean(NEWEST, PRESSURE_LIFE_MS, now));
  }

  /**
   * The most promising of a few backends drawn by chance (power of two choices): with many gateways, equal
   * stale reports would send all to the same one. Rests are ignored where all drawn rest.
   */
  private Backend pick(Job job) {
    boolean bound = job.keyedTo != null && job.type.group() != Group.ALL;
    List<Backend> among = bound ? serving.stream().filter(b -> inGroup(b, job)).toList() : usual;
    int wanted = (int) Math.max(2, Math.ceil(FLEET_CANDIDATES / Math.max(2, settings.gateways())));
    Backend best = bestOf(among, job, wanted, false);
    best = best != null || bound ? best : bestOf(serving, job, wanted, false);
    return best != null ? best : bestOf(among, job, wanted, true);
  }

  private Backend bestOf(List<Backend> among, Job job, int wanted, boolean ignoreRest) {
    Backend best = null;
    double bestWait = Double.POSITIVE_INFINITY;
    boolean all = among.size() <= wanted;
    int draws = all ? among.size() : 3 * wanted;
    for (int i = 0, found = 0; i < draws && found < wanted; i++) {
      Backend b = among.get(all ? i : random.nextInt(among.size()));
      if (!usable(b, job, ignoreRest)) {
        continue;
      }
      found++;
      double w = b.wait(job) * (1 + SPREAD * random.nextDouble()) * (b == job.lastBackend ? 4 : 1);
      if (w < bestWait) {
        bestWait = w;
        best = b;
      }
    }
    return best;
  }

  private boolean usable(Backend b, Job job, boolean ignoreRest) {
    boolean trialBarred = b.trial && (!b.out.isEmpty() || job.type.repeat() == Repeat.UNSAFE);
    boolean resting = !ignoreRest && (now < b.restUntil || trialBarred || b.nearFailing(now) > FAILING_SHARE);
    return b.phase == Phase.SERVING && now >= b.fullUntil && !resting
        && (!b.cold(settings.rules(), now) || coldRoom(b));
  }

  /**
   * Guards a backend that has just started, for whatever cause: it gets no more than its present part of what
   * a warm one gets from here, attempts of every kind included, or of what a single core does, shared by all
   * gateways, where none is warm or this gateway is new. Harm: slower use of a fleet that comes back.
   */
  private boolean coldRoom(Backend b) {
    double floor = 1000 / Math.max(1, fleetService) / settings.gateways();
    double rate = Math.max(sendsPerBackend(), floor) * b.warmShare(settings.rules(), now);
    b.coldTokens = Math.min(1, b.coldTokens + rate * (now - b.coldAt) / 1000);
    b.coldAt = now;
    return b.coldTokens >= 1;
  }

  private double sendsPerBackend() {
    if (now - warmAt > 500) {
      warm = (int) serving.stream().filter(b -> !b.cold(settings.rules(), now)).count();
      warmAt = now;
    }
    return warm == 0 ? 0 : sendRate * Math.exp((sendsAt - now) / PRESSURE_LIFE_MS) / warm;
  }

  private boolean inGroup(Backend b, Job job) {
    return b.zone.equals(job.keyedTo.zone) && (job.type.group() == Group.ZONE || b.cell == job.keyedTo.cell);
  }

  private void learn(Backend b, Attempt<Job, Backend> attempt, Outcome e) {
    Load load = e.load();
    if (load != null && !Double.isNaN(load.inFlight())) {
      b.reported = load.inFlight();
      b.reportedOwn = b.out.size();
      b.reportedAt = now;
    }
    boolean bad = switch (e.status()) {
      case ERROR, RESET, UNREACHABLE -> true;
      case TIMED_OUT, CANCELLED -> b.answeredAt <= attempt.sentAt && attempt.sentAt > stalledUntil;
      default -> false;
    };
    double forget = b.remembered();
    // A spoilt answer tells that the backend works; any may give one, so none rests for it.
    if (e.status() == Status.OK || e.status() == Status.ERROR || e.status() == Status.REJECTED
        || e.status() == Status.SPOILT) {
      b.answeredAt = now;
    }
    if (e.status() == Status.OK || bad) {
      b.failing *= forget;
      b.failing += NEWEST * ((bad ? 1 : 0) - b.failing);
      b.zoneFailing.add(bad ? 1 : 0, now);
      b.cellFailing.add(bad ? 1 : 0, now);
    }
    if (e.status() == Status.OK) {
      trust(b, attempt);
      b.trial = false;
      b.rests = b.failing < FAILING_SHARE / 4 ? 0 : b.rests;
      double service = load != null && !Double.isNaN(load.serviceMs()) ? load.serviceMs() : e.latencyMs();
      double known = b.slowness();
      double slow = Math.min(SLOWEST, service / attempt.job.need());
      b.service = known + SLOWNESS_NEWEST * (slow - known);
      fleetSlow += FLEET_NEWEST * (slow - fleetSlow);
      fleetService += NEWEST / 10 * (service - fleetService);
    } else if (e.status() == Status.REJECTED) {
      b.fullUntil = now + 2 * fleetService;
    } else if (bad) {
      if (e.status() == Status.UNREACHABLE && !b.cold(settings.rules(), now)) {
        b.coldAt = b.startedMs = b.doubtedAt = now;
        b.coldTokens = random.nextDouble();
      }
      if (b.failing > FAILING_SHARE || b.trial) {
        b.restUntil = now + REST_MS * (1 << Math.min(b.rests, 3)) * (1 + 0.3 * random.nextDouble());
        b.rests++;
        b.trial = true;
      }
    }
  }

  /**
   * A backend that looked restarted and then answers what was sent before that has not restarted. Guards
   * against connections that fail for another cause, a few of which would make the whole fleet look cold.
   */
  private void trust(Backend b, Attempt<Job, Backend> attempt) {
    if (attempt.sentAt < b.doubtedAt) {
      b.startedMs = b.toldStart;
      b.doubtedAt = Double.NEGATIVE_INFINITY;
      warmAt = Double.NEGATIVE_INFINITY;
    }
  }

  // ---- Attempts ----

  /** A request taken and not yet finally answered. */
  private final class Job extends JobState {
    final Account account;
    Attempt<Job, Backend> live;
    Backend keyedTo, lastBackend;

    Job(Request request, RequestClass type, Account account) {
      super(request, type, now);
      this.account = account;
    }

    double need() {
      return QuotaPolicy.this.need(type).of(request.units());
    }

    double worth() {
      return type.value() * account.plan.worthFactor();
    }
  }

  private final LinkedHashMap<String, Job> open = new LinkedHashMap<>();
  private final Map<String, Attempt<Job, Backend>> attempts = new HashMap<>();
  private final double retriesSaved;
  private double retryTokens;
  private double meanWorth = Double.NaN;
  /** What requests of a class take, for the classes of the settings and one for any other. */
  final Map<String, Need> needs = new HashMap<>();
  private final Mean took = new Mean(PRESSURE_NEWEST, PRESSURE_LIFE_MS, now);
  /** Times of answers by their aims, and attempts out at a backend from which on further ones mostly wait. */
  private final Mean ofAim = new Mean(PRESSURE_NEWEST, PRESSURE_LIFE_MS, now);
  private int answers;
  double knee = LEAST_KNEE;
  private final Mean needed = new Mean(PRESSURE_NEWEST, PRESSURE_LIFE_MS, now);
  private final Mean outMean = new Mean(0.3, 1000, now);
  private double okAt = Double.NEGATIVE_INFINITY;
  private int outNow;

  /** A class not in the settings is treated as one that must never run twice. */
  private RequestClass type(Request r) {
    RequestClass known = classes.get(r.className());
    double left = r.giveUpMs() - now;
    return known != null ? known
        : new RequestClass(r.className(), 1, 0, left / 2, left, Repeat.UNSAFE, Group.CELL, 0, false);
  }

  private void onRequest(Request r) {
    outMean.add(outNow, now);
    Job job = new Job(r, type(r), account(r));
    open.put(r.id(), job);
    double worth = job.worth();
    meanWorth = Double.isNaN(meanWorth) ? worth : meanWorth + 0.01 * (worth - meanWorth);
    if (open.size() >= settings.allowed().open() || late(job) || pressed(job, 0)) {
      refuse(job, fleetService, false);
    } else {
      check(job);
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
  private boolean pressed(Job job, double more) {
    double expected = job.need() * slowness();
    double inTime = 1 / (1 + Math.pow(expected / job.aim(), IN_TIME_SHARPNESS));
    double value = job.worth() / Math.max(1e-9, meanWorth) * inTime;
    double bar = answers < FIRST_ANSWERS ? 0 : (crowding() - SHED_FROM) * SHED_SLOPE;
    return inTime < LEAST_CHANCE && crowding() > SPARE || value < bar + more;
  }

  /** Attempts out at all gateways for each backend, in knees; half of it as it was over the last second. */
  private double crowding() {
    double held = (outMean.value + outNow) / 2;
    return held * settings.gateways() / Math.max(1, serving.size()) / knee;
  }

  /** How much longer than usual answers have taken lately, sizes allowed for; forgotten without answers. */
  private double slowness() {
    return needed.value <= 0 ? 1
        : 1 + (took.value / needed.value - 1) * Math.exp((needed.at() - now) / PRESSURE_LIFE_MS);
  }

  private Need need(RequestClass type) {
    return needs.computeIfAbsent(type.name(), n -> new Need(UNKNOWN_SERVICE_MS));
  }

  /**
   * The time that this gateway itself stood still is not the fleet's. An attempt that timed out while others
   * were answered lost its answer: that tells of no wait. Harm: a few slow backends stay unseen here.
   */
  private void measureWait(Attempt<Job, Backend> attempt, Outcome e) {
    boolean lost = e.status() == Status.TIMED_OUT && okAt > attempt.sentAt;
    okAt = e.status() == Status.OK ? now : okAt;
    if (e.status() == Status.OK || e.status() == Status.REJECTED || e.status() == Status.TIMED_OUT && !lost) {
      double stood = Math.max(0, stalledUntil - Math.max(stalledFrom, attempt.sentAt));
      Need need = need(attempt.job.type);
      double usual = attempt.job.need();
      double waited = e.status() == Status.REJECTED ? Math.max(attempt.job.aim(), usual)
          : Math.max(0, e.latencyMs() - stood);
      took.add(Math.min(waited, 2 * attempt.job.aim()), now);
      needed.add(usual, now);
      answers++;
      ofAim.add(Math.min(2, waited / attempt.job.aim()), now);
      knee *= ofAim.value > KNEE_DOWN_OVER ? 1 - KNEE_DOWN
          : ofAim.value < KNEE_UP_UNDER && crowding() > SHED_FROM
              ? 1 + Math.min(1, KNEE_UP * crowding() * crowding()) : 1;
      knee = Math.max(LEAST_KNEE, knee);
      if (e.status() == Status.OK) {
        need.learn(attempt.job.request.units(), waited);
      }
    }
  }

  private void dispatch(Job job) {
    Backend b = pick(job);
    job.held = b == null && !late(job);
    if (b != null) {
      send(job, b);
    } else if (!job.held) {
      giveUp(job);
    }
  }

  private void send(Job job, Backend b) {
    double left = job.request.giveUpMs() - now - GUARD_MS;
    if (left <= 0 || job.attempts >= settings.allowed().attempts()) {
      giveUp(job);
      return;
    }
    if (b.cold(settings.rules(), now)) {
      b.coldTokens -= 1;
    }
    sendRate = sendRate * Math.exp((sendsAt - now) / PRESSURE_LIFE_MS) + 1000 / PRESSURE_LIFE_MS;
    sendsAt = now;
    double spent = job.attempts == 0 ? -RETRY_EARNED : job.unreached ? 0 : 1;
    retryTokens = Math.min(retriesSaved, retryTokens - spent);
    job.unreached = false;
    Attempt<Job, Backend> attempt = new Attempt<>(job, job.attempts, b, now);
    job.attempts++;
    job.live = attempt;
    job.lastBackend = b;
    job.account.out++;
    outNow++;
    b.out.add(attempt);
    attempts.put(job.request.id() + "#" + attempt.number, attempt);
    out.add(new Send(job.request.id(), b.id, left));
  }

  /** A request that ended while it waited for the counter must not be sent when the answer comes. */
  private void onClientLeft(String id) {
    Job job = open.remove(id);
    if (job != null) {
      job.waiting = false;
      takeBack(job);
      freePlace(job);
    }
  }

  private void onOutcome(Outcome e) {
    Attempt<Job, Backend> attempt = attempts.remove(e.request() + "#" + e.attempt());
    if (attempt == null) {
      return;
    }
    Job job = attempt.job;
    attempt.backend.out.remove(attempt);
    job.account.out--;
    outNow--;
    measureWait(attempt, e);
    job.live = job.live == attempt ? null : job.live;
    if (e.over() || !open.containsKey(e.request())) {
      freePlace(job);
    }
    learn(attempt.backend, attempt, e);
    if (e.status() == Status.OK) {
      settle(job, e.trueUnits());
    }
    job.mayHaveRun |= !e.status().provesNotRun();
    if (job.mayHaveRun && job.type.repeat() == Repeat.KEYED && job.keyedTo == null) {
      job.keyedTo = attempt.backend;
      job.keyedUntil = attempt.sentAt + job.type.repeatWindowMs();
    }
    // None of these tells of overload, against which the budget of further attempts guards.
    job.unreached = e.status() == Status.UNREACHABLE || e.status() == Status.BROKEN
        || e.status() == Status.NOT_SENT || e.status() == Status.SPOILT;
    if (e.over()) {
      open.remove(e.request());
    } else if (open.containsKey(e.request())) {
      again(job);
    }
  }

  private void again(Job job) {
    boolean allowed = !job.mayHaveRun || job.type.repeat() == Repeat.SAFE
        || job.type.repeat() == Repeat.KEYED && now < job.keyedUntil - QUEUED * job.type.repeatWindowMs();
    double left = job.request.giveUpMs() - now;
    if (!allowed || retryTokens < 1 && !job.unreached || left < fleetService / 2 + GUARD_MS) {
      giveUp(job);
    } else {
      dispatch(job);
    }
  }

  /** The final answer when no attempt will follow: a refusal where that promise holds, else a failure. */
  private void giveUp(Job job) {
    boolean harmless = !job.mayHaveRun || job.type.repeat() == Repeat.SAFE
        || job.type.repeat() == Repeat.KEYED && job.type.group() == Group.ALL && now < job.keyedUntil;
    if (harmless) {
      refuse(job, fleetService, false);
    } else {
      freePlace(job);
      open.remove(job.request.id());
      out.add(new Fail(job.request.id()));
    }
  }

  private void refuse(Job job, double holdOffMs, boolean spent) {
    takeBack(job);
    freePlace(job);
    open.remove(job.request.id());
    out.add(new Refuse(job.request.id(), advised(holdOffMs), spent));
  }

  private double advised(double holdOffMs) {
    return settings.allowed().holdOff() ? Math.min(holdOffMs, settings.allowed().maxHoldOffMs()) : 0;
  }

  // ---- Timers ----

  private double wakeAt, stalledFrom, stalledUntil = Double.NEGATIVE_INFINITY;

  private void onWoken(Woken e) {
    if (e.label().equals("follow")) {
      out.add(new FollowRoster());
    } else if (now >= wakeAt) {
      (stalled() ? List.<Job>of() : List.copyOf(open.values())).forEach(this::look);
      putBack();
      arm(stalled() ? 1 : open.isEmpty() && rebuilding.isEmpty() ? PULSE_MS : TICK_MS);
    }
  }

  private void arm(double ms) {
    wakeAt = now + ms;
    out.add(new WakeAt(wakeAt, "tick"));
  }

  /**
   * A wake-up long overdue shows that this gateway stood still. What came meanwhile is read first, and no
   * wait seen over that time is booked to a backend or the counter.
   */
  private void noteStall() {
    if (now - wakeAt > STALL_MS) {
      stalledUntil = now;
      stalledFrom = wakeAt;
      wakeAt = now;
    }
  }

  private boolean stalled() {
    return now <= stalledUntil;
  }

  /** Keeps every request moving: no wait for the counter or for a backend outlasts its bound. */
  private void look(Job job) {
    double waited = now - job.takenAt;
    boolean late = late(job);
    if (job.live != null) {
      abandonSilent(job);
    } else if (job.waiting && (late || waited > COUNT_WAIT_OF_AIM * job.aim())) {
      job.waiting = false;
      if (job.called) {
        decide(job, false);
      } else {
        withoutPlace(job);
      }
    } else if (job.held && (late || waited > HOLD_OF_AIM * job.aim())) {
      giveUp(job);
    } else if (job.held) {
      dispatch(job);
    }
  }

  /** True when the next look would come too late for an answer in time. */
  private boolean late(Job job) {
    return now + GUARD_MS + TICK_MS >= job.request.giveUpMs();
  }

  /**
   * Takes an attempt back from a backend that has answered nothing since it was sent, if a second fits.
   * Guards against dead, cut off and stalled backends. One that its size explains is left alone, as taking it
   * back stops nothing on a backend that works on. Harm: one slow request looks the same; budgeted.
   */
  private void abandonSilent(Job job) {
    Attempt<Job, Backend> a = job.live;
    if (a.backend.answeredAt <= a.sentAt
        && now - a.sentAt > Math.max(job.aim() * FIRST_TRY_OF_AIM, SILENT * job.need())
        && !job.abandoned && !job.streaming && settings.allowed().cancel()
        && job.type.repeat() != Repeat.UNSAFE && retryTokens >= 1) {
      job.abandoned = true;
      out.add(new Cancel(job.request.id(), a.number));
    }
  }
}
