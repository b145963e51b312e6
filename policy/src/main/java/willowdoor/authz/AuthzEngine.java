package willowdoor.authz;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import willowdoor.authz.AuthzAction.StartCall;
import willowdoor.authz.AuthzAction.CancelCall;
import willowdoor.authz.AuthzAction.Deny;
import willowdoor.authz.AuthzAction.Pass;
import willowdoor.authz.AuthzAction.Refuse;
import willowdoor.authz.AuthzAction.NoDecisionCause;
import willowdoor.authz.AuthzAction.PassReason;
import willowdoor.authz.AuthzEvent.CallEnded;
import willowdoor.authz.AuthzEvent.Arrived;
import willowdoor.authz.AuthzEvent.RequestEnded;
import willowdoor.authz.AuthzEvent.Result;
import willowdoor.authz.AuthzSettings.Choice;
import willowdoor.authz.AuthzSettings.WeightedAuthoriser;
import willowdoor.authz.AuthzSettings.Member;
import willowdoor.authz.AuthzSettings.OnFailure;

/**
 * Chooses the authorisers to ask about a request and derives the decision from their answers. A request is
 * decided once, with one pass, denial or refusal; later results of its calls are ignored. Does no I/O, reads
 * no clock and starts no thread.
 *
 * <ul>
 * <li>A request has one call in progress at a time. Another authoriser is asked if the call provably did not
 *     reach the one before; if it may have, only if the member's checks are idempotent. Each authoriser is
 *     asked at most once for a request.
 * <li>A call has its member's timeout, and all calls of a request together end early enough to leave the
 *     backends their share of the time.
 * <li>The calls in progress at an authoriser are limited. There is no queue: a request that finds all
 *     authorisers at their limits is not decided but refused, or let through, at once, so a member with a
 *     slow authoriser never has more requests waiting than that limit.
 * <li>A decision to allow is reused only for as long as the authoriser permits, for the same check of the
 *     same firm.
 * </ul>
 */
public final class AuthzEngine {

  /** Shortest timeout of a call; a connection to the same machine can take as long. */
  private static final double MIN_CALL_MS = 5;
  /** A timeout is no failure of the authoriser if it was below this share of the member's timeout. */
  private static final double CONCLUSIVE_TIMEOUT_SHARE = 0.5;
  /** Clients are asked to wait at least this long before a retry. */
  private static final double MIN_HOLD_OFF_MS = 100;

  /** A request that waits for a decision. */
  private static final class PendingCheck {
    private final Arrived request;
    private final Member member;
    private final double decideByMs;
    private final BitSet triedAuthorisers = new BitSet();
    private int callNumber = -1;
    private int currentAuthoriser = -1;
    private boolean isProbe;
    private double timeoutMs;

    PendingCheck(Arrived request, Member member, double decideByMs) {
      this.request = request;
      this.member = member;
      this.decideByMs = decideByMs;
    }
  }

  private record AllowKey(long customer, String checkDigest) { }

  private record CachedAllow(double untilMs, Object grant) { }

  private final AuthzSettings settings;
  private final SplittableRandom random;
  private final List<CircuitBreaker> breakers = new ArrayList<>();
  private final Map<String, PendingCheck> checks = new HashMap<>();
  private final Map<String, Map<AllowKey, CachedAllow>> allowCaches = new HashMap<>();
  private double now;
  private List<AuthzAction> actions = new ArrayList<>();

  public AuthzEngine(AuthzSettings settings, long seed) {
    this.settings = settings;
    this.random = new SplittableRandom(seed);
    settings.authorisers().forEach(a -> breakers.add(new CircuitBreaker(a, settings.health(), random)));
    settings.members().forEach(m -> allowCaches.put(m.name(), new LinkedHashMap<>(16, 0.75f, true) {
      private static final long serialVersionUID = 1;

      @Override
      protected boolean removeEldestEntry(Map.Entry<AllowKey, CachedAllow> eldest) {
        return size() > m.maxCacheEntries();
      }
    }));
  }

  /** The first member that matches a request, or null if the request needs no decision. */
  public Member memberOf(String className, String plan, long customer) {
    for (Member m : settings.members()) {
      if (m.appliesTo(className, plan, customer)) {
        return m;
      }
    }
    return null;
  }

  /** Number of undecided requests; at most the sum of the authorisers' call limits, as each has one call. */
  public int undecidedCount() {
    return checks.size();
  }

  /** Number of calls in progress at an authoriser. */
  public int callsOut(int authoriser) {
    return breakers.get(authoriser).callsOut();
  }

  /** Whether an authoriser is ejected. */
  public boolean isEjected(int authoriser) {
    return breakers.get(authoriser).isEjected();
  }

  /** Handles one event and returns the actions to perform, in order; {@code nowMs} never goes back. */
  public List<AuthzAction> on(double nowMs, AuthzEvent event) {
    now = nowMs;
    actions = new ArrayList<>(2);
    if (event instanceof Arrived e) {
      onArrived(e);
    } else if (event instanceof CallEnded e) {
      onCallEnded(e);
    } else if (event instanceof RequestEnded e) {
      onRequestEnded(e);
    }
    return actions;
  }

  private void onArrived(Arrived e) {
    Member member = memberOf(e.className(), e.plan(), e.customer());
    if (member == null) {
      actions.add(new Pass(e.id(), PassReason.NOT_ASKED, null));
      return;
    }
    if (checks.containsKey(e.id())) {
      throw new IllegalArgumentException("id: " + e.id() + " (expected: the id of no undecided request)");
    }
    CachedAllow cached = cachedAllow(member, e);
    if (cached != null) {
      actions.add(new Pass(e.id(), PassReason.ALLOWED_BEFORE, cached.grant()));
      return;
    }
    PendingCheck check = new PendingCheck(e, member,
        now + Math.max(0, e.giveUpMs() - now) * (1 - member.backendsShare()));
    checks.put(e.id(), check);
    askNext(check, NoDecisionCause.FAILED);
  }

  private CachedAllow cachedAllow(Member member, Arrived e) {
    if (member.maxCacheMs() <= 0 || e.checkDigest() == null) {
      return null;
    }
    AllowKey key = new AllowKey(e.customer(), e.checkDigest());
    CachedAllow allow = allowCaches.get(member.name()).get(key);
    if (allow != null && allow.untilMs() <= now) {
      allowCaches.get(member.name()).remove(key);
      return null;
    }
    return allow;
  }

  /**
   * Calls an available authoriser, or ends the check without a decision: LATE if no time is left,
   * {@code cause} if a call was made, and otherwise EJECTED or BUSY.
   */
  private void askNext(PendingCheck check, NoDecisionCause cause) {
    double timeout = Math.min(check.member.callTimeoutMs(), check.decideByMs - now);
    if (timeout < MIN_CALL_MS) {
      endWithoutDecision(check, NoDecisionCause.LATE);
      return;
    }
    int chosen = choose(check);
    if (chosen < 0) {
      endWithoutDecision(check, check.callNumber >= 0 ? cause : noneAvailableCause(check));
      return;
    }
    check.callNumber++;
    check.currentAuthoriser = chosen;
    check.triedAuthorisers.set(chosen);
    check.timeoutMs = timeout;
    check.isProbe = breakers.get(chosen).callStarted(check.request.bodyBytes());
    actions.add(new StartCall(check.request.id(), check.callNumber, chosen, timeout, check.isProbe));
  }

  private int choose(PendingCheck check) {
    List<WeightedAuthoriser> all = check.member.authorisers();
    double sum = 0;
    int chosen = -1;
    for (WeightedAuthoriser c : all) {
      CircuitBreaker b = breakers.get(c.authoriser());
      if (check.triedAuthorisers.get(c.authoriser()) || b.isBlocked(now)
          || b.isFull(check.request.bodyBytes())) {
        continue;
      }
      if (check.member.choice() == Choice.ORDER) {
        return c.authoriser();
      }
      // Weighted random choice in one pass (reservoir sampling, Chao, 1982, for a sample of one).
      sum += c.weight();
      if (random.nextDouble() * sum < c.weight()) {
        chosen = c.authoriser();
      }
    }
    return chosen;
  }

  private NoDecisionCause noneAvailableCause(PendingCheck check) {
    return check.member.authorisers().stream().allMatch(c -> breakers.get(c.authoriser()).isBlocked(now))
        ? NoDecisionCause.EJECTED : NoDecisionCause.BUSY;
  }

  private void endWithoutDecision(PendingCheck check, NoDecisionCause cause) {
    String id = check.request.id();
    checks.remove(id);
    if (check.member.onFailure(check.request.className()) == OnFailure.OPEN) {
      actions.add(new Pass(id, PassReason.FAILED_OPEN, null));
    } else {
      actions.add(new Refuse(id, cause, holdOffMs(check)));
    }
  }

  /** Time until the first of the member's authorisers may be called again, but at least the minimum. */
  private double holdOffMs(PendingCheck check) {
    double at = Double.POSITIVE_INFINITY;
    for (WeightedAuthoriser c : check.member.authorisers()) {
      at = Math.min(at, breakers.get(c.authoriser()).availableAt(now));
    }
    return Math.max(MIN_HOLD_OFF_MS, at - now);
  }

  private void onCallEnded(CallEnded e) {
    PendingCheck check = checks.get(e.id());
    if (check == null || check.callNumber != e.call()) {
      return;
    }
    recordResult(check, e.result());
    if (e.result().isDecision()) {
      checks.remove(e.id());
      if (e.result() == Result.ALLOWED) {
        cacheAllow(check, e);
        actions.add(new Pass(e.id(), PassReason.ALLOWED, e.grant()));
      } else {
        allowCaches.get(check.member.name()).remove(new AllowKey(check.request.customer(), check.request
            .checkDigest()));
        actions.add(new Deny(e.id(), e.call()));
      }
    } else if (e.result() == Result.NOT_REACHED || check.member.repeatable()) {
      askNext(check, NoDecisionCause.FAILED);
    } else {
      endWithoutDecision(check, NoDecisionCause.FAILED);
    }
  }

  private void recordResult(PendingCheck check, Result result) {
    CircuitBreaker b = breakers.get(check.currentAuthoriser);
    boolean inconclusive = result == Result.TIMED_OUT
        && check.timeoutMs < CONCLUSIVE_TIMEOUT_SHARE * check.member.callTimeoutMs();
    if (inconclusive) {
      b.callDiscarded(check.request.bodyBytes(), check.isProbe);
    } else {
      b.callEnded(now, check.request.bodyBytes(), check.isProbe, result.isDecision());
    }
  }

  private void cacheAllow(PendingCheck check, CallEnded e) {
    double forMs = Math.min(e.reusableForMs(), check.member.maxCacheMs());
    if (forMs > 0 && check.request.checkDigest() != null) {
      allowCaches.get(check.member.name())
          .put(new AllowKey(check.request.customer(), check.request.checkDigest()),
          new CachedAllow(now + forMs, e.grant()));
    }
  }

  private void onRequestEnded(RequestEnded e) {
    PendingCheck check = checks.remove(e.id());
    if (check != null) {
      breakers.get(check.currentAuthoriser).callDiscarded(check.request.bodyBytes(), check.isProbe);
      actions.add(new CancelCall(e.id(), check.callNumber));
    }
  }
}
