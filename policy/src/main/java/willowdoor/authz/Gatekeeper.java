package willowdoor.authz;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import willowdoor.authz.AuthzAction.Ask;
import willowdoor.authz.AuthzAction.Cancel;
import willowdoor.authz.AuthzAction.Deny;
import willowdoor.authz.AuthzAction.Pass;
import willowdoor.authz.AuthzAction.Refuse;
import willowdoor.authz.AuthzAction.Unanswered;
import willowdoor.authz.AuthzAction.Why;
import willowdoor.authz.AuthzEvent.Answered;
import willowdoor.authz.AuthzEvent.Arrived;
import willowdoor.authz.AuthzEvent.Over;
import willowdoor.authz.AuthzEvent.Result;
import willowdoor.authz.AuthzSettings.Choice;
import willowdoor.authz.AuthzSettings.Choosable;
import willowdoor.authz.AuthzSettings.Member;
import willowdoor.authz.AuthzSettings.OnFailure;

/**
 * Decides whom to ask about a request and what follows from the answers. One request is decided once: it
 * leaves this class with its one pass, denial or refusal, and nothing that comes later of its calls counts.
 * No I/O, no clock, no thread.
 *
 * <ul>
 * <li>One call of a request is out at a time. A further authoriser is asked when a call provably never
 *     reached the one before; after a call that may have, only where the member's checks are idempotent.
 *     Each authoriser is asked once for a request.
 * <li>A call waits for its member's limit, and all calls of a request together end early enough to leave the
 *     backends their share of the time.
 * <li>An authoriser has a bound of calls out. There is no queue: a request that finds all at their bound is
 *     refused at once, so a member with a slow authoriser holds no more than that bound.
 * <li>Allows are used again only as long as the authoriser permits, for the same check of the same firm.
 * </ul>
 */
public final class Gatekeeper {

  /** A call with less time than this is not begun: a connection on the same machine takes that long. */
  private static final double LEAST_CALL_MS = 5;
  /** A call that was given less than this share of its member's limit tells nothing by timing out. */
  private static final double FAIR_SHARE = 0.5;
  /** Without anything better to tell, clients are asked to wait so long. */
  private static final double USUAL_HOLD_OFF_MS = 100;

  /** One request that is being asked about. */
  private static final class Check {
    private final Arrived request;
    private final Member member;
    private final double decideBy;
    private final BitSet tried = new BitSet();
    private int call = -1;
    private int asked = -1;
    private boolean probe;
    private double timeoutMs;

    Check(Arrived request, Member member, double decideBy) {
      this.request = request;
      this.member = member;
      this.decideBy = decideBy;
    }
  }

  private record Subject(long customer, String check) { }

  private record Allow(double untilMs, Object grant) { }

  private final AuthzSettings settings;
  private final SplittableRandom random;
  private final List<Breaker> breakers = new ArrayList<>();
  private final Map<String, Check> checks = new HashMap<>();
  private final Map<String, Map<Subject, Allow>> allows = new HashMap<>();
  private double now;
  private List<AuthzAction> out = new ArrayList<>();

  public Gatekeeper(AuthzSettings settings, long seed) {
    this.settings = settings;
    this.random = new SplittableRandom(seed);
    settings.authorisers().forEach(a -> breakers.add(new Breaker(a, settings.health(), random)));
    settings.members().forEach(m -> allows.put(m.name(), new LinkedHashMap<>(16, 0.75f, true) {
      private static final long serialVersionUID = 1;

      @Override
      protected boolean removeEldestEntry(Map.Entry<Subject, Allow> eldest) {
        return size() > m.cacheEntries();
      }
    }));
  }

  /** The member whose authorisers are asked about such a request, or null when none is. */
  public Member memberOf(String className, String plan, long customer) {
    for (Member m : settings.members()) {
      if (m.asks(className, plan, customer)) {
        return m;
      }
    }
    return null;
  }

  /** Requests undecided. Bounded by the sum of the authorisers' calls, as each has one call out. */
  public int undecided() {
    return checks.size();
  }

  /** Calls out at an authoriser. */
  public int out(int authoriser) {
    return breakers.get(authoriser).out();
  }

  /** Whether an authoriser is ejected. */
  public boolean ejected(int authoriser) {
    return breakers.get(authoriser).ejected();
  }

  /** Takes one event and gives what to do, in order. */
  public List<AuthzAction> on(double nowMs, AuthzEvent event) {
    now = nowMs;
    out = new ArrayList<>(2);
    if (event instanceof Arrived e) {
      onArrived(e);
    } else if (event instanceof Answered e) {
      onAnswered(e);
    } else if (event instanceof Over e) {
      onOver(e);
    }
    return out;
  }

  private void onArrived(Arrived e) {
    Member member = memberOf(e.className(), e.plan(), e.customer());
    if (member == null) {
      out.add(new Pass(e.id(), Why.NOT_ASKED, null));
      return;
    }
    if (checks.containsKey(e.id())) {
      throw new IllegalArgumentException("id: " + e.id() + " (expected: one that is not being asked about)");
    }
    Allow before = allowed(member, e);
    if (before != null) {
      out.add(new Pass(e.id(), Why.ALLOWED_BEFORE, before.grant()));
      return;
    }
    Check check = new Check(e, member, now + Math.max(0, e.giveUpMs() - now) * (1 - member.backendsShare()));
    checks.put(e.id(), check);
    askNext(check, Unanswered.FAILED);
  }

  private Allow allowed(Member member, Arrived e) {
    if (member.cacheMostMs() <= 0 || e.subject() == null) {
      return null;
    }
    Subject subject = new Subject(e.customer(), e.subject());
    Allow allow = allows.get(member.name()).get(subject);
    if (allow != null && allow.untilMs() <= now) {
      allows.get(member.name()).remove(subject);
      return null;
    }
    return allow;
  }

  /** Asks an authoriser that may be asked, or ends the check for the cause given, or for a better one. */
  private void askNext(Check check, Unanswered cause) {
    double timeout = Math.min(check.member.limitMs(), check.decideBy - now);
    if (timeout < LEAST_CALL_MS) {
      unanswered(check, Unanswered.LATE);
      return;
    }
    int chosen = choose(check);
    if (chosen < 0) {
      unanswered(check, check.call >= 0 ? cause : whyNone(check));
      return;
    }
    check.call++;
    check.asked = chosen;
    check.tried.set(chosen);
    check.timeoutMs = timeout;
    check.probe = breakers.get(chosen).asked(check.request.bytes());
    out.add(new Ask(check.request.id(), check.call, chosen, timeout, check.probe));
  }

  private int choose(Check check) {
    List<Choosable> all = check.member.authorisers();
    double sum = 0;
    int chosen = -1;
    for (Choosable c : all) {
      Breaker b = breakers.get(c.authoriser());
      if (check.tried.get(c.authoriser()) || b.closedTo(now) || b.full(check.request.bytes())) {
        continue;
      }
      if (check.member.choice() == Choice.ORDER) {
        return c.authoriser();
      }
      // Weighted choice in one pass (Chao, 1982, for a sample of one).
      sum += c.weight();
      if (random.nextDouble() * sum < c.weight()) {
        chosen = c.authoriser();
      }
    }
    return chosen;
  }

  private Unanswered whyNone(Check check) {
    return check.member.authorisers().stream().allMatch(c -> breakers.get(c.authoriser()).closedTo(now))
        ? Unanswered.EJECTED : Unanswered.BUSY;
  }

  private void unanswered(Check check, Unanswered cause) {
    String id = check.request.id();
    checks.remove(id);
    if (check.member.onFailure(check.request.className()) == OnFailure.OPEN) {
      out.add(new Pass(id, Why.FAILED_OPEN, null));
    } else {
      out.add(new Refuse(id, cause, holdOff(check)));
    }
  }

  /** Until the first of the member's authorisers may be asked again. */
  private double holdOff(Check check) {
    double at = Double.POSITIVE_INFINITY;
    for (Choosable c : check.member.authorisers()) {
      at = Math.min(at, breakers.get(c.authoriser()).opensAt(now));
    }
    return Math.max(USUAL_HOLD_OFF_MS, at - now);
  }

  private void onAnswered(Answered e) {
    Check check = checks.get(e.id());
    if (check == null || check.call != e.call()) {
      return;
    }
    ended(check, e.result());
    if (e.result().decides()) {
      checks.remove(e.id());
      if (e.result() == Result.ALLOWED) {
        remember(check, e);
        out.add(new Pass(e.id(), Why.ALLOWED, e.grant()));
      } else {
        allows.get(check.member.name()).remove(new Subject(check.request.customer(), check.request
            .subject()));
        out.add(new Deny(e.id(), e.call()));
      }
    } else if (e.result() == Result.NOT_REACHED || check.member.repeatable()) {
      askNext(check, Unanswered.FAILED);
    } else {
      unanswered(check, Unanswered.FAILED);
    }
  }

  private void ended(Check check, Result result) {
    Breaker b = breakers.get(check.asked);
    boolean unfair = result == Result.TIMED_OUT && check.timeoutMs < FAIR_SHARE * check.member.limitMs();
    if (unfair) {
      b.forgotten(check.request.bytes(), check.probe);
    } else {
      b.ended(now, check.request.bytes(), check.probe, result.decides());
    }
  }

  private void remember(Check check, Answered e) {
    double forMs = Math.min(e.allowForMs(), check.member.cacheMostMs());
    if (forMs > 0 && check.request.subject() != null) {
      allows.get(check.member.name()).put(new Subject(check.request.customer(), check.request.subject()),
          new Allow(now + forMs, e.grant()));
    }
  }

  private void onOver(Over e) {
    Check check = checks.remove(e.id());
    if (check != null) {
      breakers.get(check.asked).forgotten(check.request.bytes(), check.probe);
      out.add(new Cancel(e.id(), check.call));
    }
  }
}
