package willowdoor.net;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import willowdoor.policy.AttemptStart;
import willowdoor.policy.GatewayApi.Action;
import willowdoor.policy.GatewayApi.Add;
import willowdoor.policy.GatewayApi.Cancel;
import willowdoor.policy.GatewayApi.ClientLeft;
import willowdoor.policy.GatewayApi.Counted;
import willowdoor.policy.GatewayApi.CounterReplaced;
import willowdoor.policy.GatewayApi.Event;
import willowdoor.policy.GatewayApi.Fail;
import willowdoor.policy.GatewayApi.Foresee;
import willowdoor.policy.GatewayApi.Outcome;
import willowdoor.policy.GatewayApi.Refuse;
import willowdoor.policy.GatewayApi.Request;
import willowdoor.policy.GatewayApi.Roster;
import willowdoor.policy.GatewayApi.RosterForm;
import willowdoor.policy.GatewayApi.Send;
import willowdoor.policy.GatewayApi.Status;
import willowdoor.policy.GatewayApi.WakeAt;
import willowdoor.policy.GatewayApi.Woken;
import willowdoor.policy.Learned;
import willowdoor.policy.QuotaPolicy;

/**
 * Takes events to the module and its actions to the sockets; the only caller of the module. Holds the table
 * of requests taken and attempts out. All on the event loop's thread.
 */
final class ModuleDriver implements CounterStore.Listener {

  private static final Logger LOG = Logger.getLogger(ModuleDriver.class.getName());
  /** The last moment for a final answer, ahead of the client's own: later than any answer of the module. */
  private static final double LAST_CALL_MS = 6;
  /** A module that failed on its wake-up is woken again after this. */
  private static final long WAKE_AGAIN_MS = 100;

  /** Who waits for the one final answer. */
  interface Client {
    /**
     * A backend's answer, with further headers for the client, or null.
     *
     * @param rest its body, as it comes; null when the answer is whole
     */
    void served(FullHttpResponse answer, HttpHeaders more, AnswerPipe rest);

    void refused(double holdOffMs);

    void failed();

    /** The gate's own answer, which is only lent. */
    default void answered(FullHttpResponse answer) {
      failed();
    }

    /** Whether it has left, also if that has not been read yet. */
    default boolean gone() {
      return false;
    }

    /** What a gate may look at. */
    default Gate.Origin origin() {
      return new Gate.Origin(EmptyHttpHeaders.INSTANCE, null);
    }
  }

  /** One request from its taking until it is answered and none of its attempts is out. */
  private final class Live {
    final Request request;
    final FullHttpRequest message;
    final Client client;
    final List<Attempt> attempts = new ArrayList<>(1);
    Future<?> lastCall;
    boolean finished;
    int out;
    /** True while the gate has it: the module has not heard of it. */
    boolean atGate;
    /** True while the gate takes it; and whether it let it pass meanwhile. */
    boolean entering;
    boolean passed;
    /** Null unless it entered the gate, and once the gate has heard of its end. */
    Gate.Entry entry;
    Gate.End end;
    double takenMs;
    HttpHeaders forClient;

    Live(Request request, FullHttpRequest message, Client client) {
      this.request = request;
      this.message = message;
      this.client = client;
    }

    /** Marks the final answer; true for the first caller only. */
    boolean finish(Gate.End how) {
      if (finished) {
        return false;
      }
      finished = true;
      lastCall.cancel(false);
      end = how;
      RequestLog.note(request.id(), "ended", "how", how, "after_ms", clock.now() - takenMs,
          "attempts", attempts.size(), "in_flight", out);
      if (ends != null) {
        ends.ended(request, how, clock.now() - takenMs);
      }
      tellGate();
      return true;
    }

    void tellGate() {
      if (entry != null) {
        Gate.Entry told = entry;
        entry = null;
        try {
          told.ended(end);
        } catch (RuntimeException e) {
          LOG.log(Level.SEVERE, "the gate failed at the end of " + request.id(), e);
        }
      }
    }

    /** Ends what has not reached its backend whole: nobody waits for it any more, and it has not run. */
    void withdrawUnsent() {
      for (Attempt attempt : List.copyOf(attempts)) {
        if (!attempt.written) {
          attempt.abandon(Status.NOT_SENT);
        }
      }
    }

    /** A request stays in the table while an attempt of it is out: the module still gets that outcome. */
    void forgetIfDone() {
      if (finished && out == 0 && live.remove(request.id(), this)) {
        heldBytes -= message.content().readableBytes();
        message.release();
      }
    }
  }

  private final EventLoop loop;
  private final Clock clock;
  private final QuotaPolicy policy;
  private final BackendPool backends;
  private CounterStore counter;
  private Gate gate;
  /** Null where nobody listens. */
  private Ends ends;
  /** Null where firms' ceilings are used together by the shared count. */
  private CeilingShares ceilings;
  private final Map<String, Live> live = new HashMap<>();
  private final ArrayDeque<Event> inbox = new ArrayDeque<>();
  private int heldBytes;
  private boolean delivering;
  /** The process is about to end: nobody would answer what it took now. */
  private boolean ended;

  ModuleDriver(EventLoop loop, Clock clock, QuotaPolicy policy, BackendPool backends) {
    this.loop = loop;
    this.clock = clock;
    this.policy = policy;
    this.backends = backends;
  }

  void start(CounterStore counter, EndpointUpdate known) {
    this.counter = counter;
    policy.start(clock.now()).forEach(this::execute);
    backends.onRoster(known);
    deliver(new Roster(RosterForm.REMEMBERED, known.entries()));
  }

  /** Has requests pass a gate from here on; null has none. */
  void guard(Gate other) {
    gate = other;
  }

  /** Has each request's end told; null has none. */
  void listen(Ends other) {
    ends = other;
  }

  /** The part of a customer's use that comes through this door. */
  double through(Request request) {
    return policy.through(request.customer(), request.entryPoints());
  }

  /** What it has learned, for the process that takes its place; it owes nothing to shared counts then. */
  Learned learned() {
    return Learned.of(policy, clock.now());
  }

  /** Goes on from what another process had learned so long ago. */
  void inherit(Learned told, double agoMs) {
    told.inherit(policy, clock.now(), agoMs);
  }

  /** Has nothing wait at the gate any more, or lets it wait again. */
  void draining(boolean on) {
    if (gate != null) {
      gate.draining(on);
    }
  }

  boolean ended() {
    return ended;
  }

  int held() {
    return live.size();
  }

  /** Bytes of the bodies held. */
  int heldBytes() {
    return heldBytes;
  }

  boolean holds(String id) {
    return live.containsKey(id);
  }

  /** Takes a request; the message is kept until no attempt needs it. */
  void take(Request request, FullHttpRequest message, Client client) {
    Live r = new Live(request, message.retain(), client);
    live.put(request.id(), r);
    heldBytes += message.content().readableBytes();
    r.takenMs = clock.now();
    double left = Math.max(0, request.giveUpMs() - LAST_CALL_MS - r.takenMs);
    RequestLog.note(request.id(), "accepted", "class", request.className(), "left_ms",
        request.giveUpMs() - r.takenMs);
    r.lastCall = loop.schedule(() -> fail(r), (long) (left * 1000), TimeUnit.MICROSECONDS);
    if (gate != null && gate.concerns(request)) {
      enter(r);
    } else {
      deliver(request);
    }
  }

  /** At the gate, unless the module refuses it by what it knows already: that spares the asking. */
  private void enter(Live r) {
    RequestLog.note(r.request.id(), "at gate");
    r.atGate = true;
    r.entering = true;
    if (gate.foresees()) {
      deliver(new Foresee(r.request));
    }
    if (r.finished) {
      return;
    }
    try {
      r.entry = gate.enter(r.request, r.message, r.client.origin(), new Gate.Passage() {
        @Override
        public void pass(HttpHeaders forClient) {
          if (r.atGate && !r.finished) {
            r.atGate = false;
            r.forClient = forClient;
            r.passed = true;
            if (!r.entering) {
              deliver(r.request);
            }
          }
        }

        @Override
        public void answer(FullHttpResponse answer) {
          if (r.atGate && r.finish(Gate.End.ANSWERED_HERE)) {
            r.client.answered(answer);
            r.forgetIfDone();
          }
          answer.release();
        }

        @Override
        public void refuse(double comeBackMs) {
          if (r.atGate && r.finish(Gate.End.REFUSED)) {
            r.client.refused(comeBackMs);
            r.forgetIfDone();
          }
        }
      });
      r.entering = false;
      if (r.finished) {
        r.tellGate();
      } else if (r.passed) {
        deliver(r.request);
      }
    } catch (RuntimeException e) {
      LOG.log(Level.SEVERE, "the gate failed on " + r.request.id(), e);
      fail(r);
    }
  }

  void clientLeft(String id) {
    Live r = live.get(id);
    if (r != null) {
      left(r);
    }
  }

  private void left(Live r) {
    if (r.finish(Gate.End.LEFT)) {
      tellLeft(r);
      r.forgetIfDone();
    }
  }

  private void tellLeft(Live r) {
    if (!r.atGate) {
      deliver(new ClientLeft(r.request.id()));
    }
    r.withdrawUnsent();
  }

  @Override
  public void counted(Counted counted) {
    if (ceilings == null || !ceilings.acceptIfOwn(counted)) {
      deliver(counted);
    }
  }

  /** Has firms' ceilings divided among the doors from here on. */
  void divide(CeilingShares shares) {
    ceilings = shares;
  }

  @Override
  public void replaced(double lostSinceMs) {
    deliver(new CounterReplaced(lostSinceMs));
  }

  void onRoster(EndpointUpdate news) {
    backends.onRoster(news);
    deliver(new Roster(news.full() ? RosterForm.COMPLETE : RosterForm.CHANGES, news.entries()));
  }

  /** Fails all that is still unanswered, and takes nothing more: the process is about to end. */
  void failAll() {
    ended = true;
    List.copyOf(live.values()).forEach(this::fail);
  }

  /**
   * The net under module and gate: a request that they left unanswered fails while its client still listens.
   * At the gate nothing of it has run, so there it is refused.
   */
  private void fail(Live r) {
    if (r.finish(r.atGate ? Gate.End.REFUSED : Gate.End.FAILED)) {
      if (r.atGate) {
        r.client.refused(0);
      } else {
        r.client.failed();
      }
      tellLeft(r);
      r.forgetIfDone();
    }
  }

  /** Whether an attempt is out at the backend. */
  boolean sendsTo(long backend) {
    return live.values().stream().flatMap(r -> r.attempts.stream())
        .anyMatch(a -> a.backendId == backend && !a.ended());
  }

  /** Events that come up while an event is worked on wait for their turn: the module is not re-entered. */
  private void deliver(Event event) {
    inbox.add(event);
    if (delivering) {
      return;
    }
    delivering = true;
    try {
      for (Event e = inbox.poll(); e != null; e = inbox.poll()) {
        step(e);
      }
    } finally {
      delivering = false;
    }
  }

  private void step(Event event) {
    List<Action> actions;
    try {
      boolean divided = ceilings != null && event instanceof Request;
      actions = policy.on(clock.now(), divided ? ceilings.withShare((Request) event) : event);
    } catch (RuntimeException e) {
      LOG.log(Level.SEVERE, "the module failed on " + event, e);
      recover(event);
      return;
    }
    for (Action action : actions) {
      try {
        execute(action);
      } catch (RuntimeException e) {
        LOG.log(Level.SEVERE, "could not do " + action, e);
      }
    }
  }

  /** A fault in the module costs the request it came up with, never the process. */
  private void recover(Event event) {
    if (event instanceof Request e) {
      failId(e.id());
    } else if (event instanceof Foresee e) {
      failId(e.request().id());
    } else if (event instanceof Outcome e) {
      failId(e.request());
    } else if (event instanceof Woken) {
      loop.schedule(() -> deliver(event), WAKE_AGAIN_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void failId(String id) {
    Live r = live.get(id);
    if (r != null) {
      fail(r);
    }
  }

  private void execute(Action action) {
    if (action instanceof Send a) {
      send(a);
    } else if (action instanceof Add a) {
      counter.add(a.name(), a.amount(), a.ttlMs());
    } else if (action instanceof WakeAt a) {
      wake(a);
    } else if (action instanceof Refuse a) {
      Live r = live.get(a.request());
      if (r != null && !r.finished) {
        RequestLog.note(a.request(), "refused", "spent", a.spent(), "hold_off_ms", a.holdOffMs());
        double holdOffMs = r.entry == null ? a.holdOffMs() : r.entry.advised(a.spent(), a.holdOffMs());
        r.finish(Gate.End.REFUSED);
        r.client.refused(holdOffMs);
        r.forgetIfDone();
      }
    } else if (action instanceof Fail a) {
      Live r = live.get(a.request());
      if (r != null && r.finish(Gate.End.FAILED)) {
        r.client.failed();
        r.forgetIfDone();
      }
    } else if (action instanceof Cancel a) {
      Live r = live.get(a.request());
      if (r != null && a.attempt() < r.attempts.size()) {
        r.attempts.get(a.attempt()).abandon(Status.CANCELLED);
      }
    }
    // FollowRoster needs nothing: the list is watched from the start.
  }

  /** Never early: the module lets a wake-up pass that comes before its time, and then none would follow. */
  private void wake(WakeAt a) {
    double wait = Math.max(0, a.atMs() - clock.now());
    loop.schedule(() -> deliver(new Woken(a.label())), (long) Math.ceil(wait * 1000) + 1,
        TimeUnit.MICROSECONDS);
  }

  private void send(Send a) {
    Live r = live.get(a.request());
    if (r == null || r.finished) {
      int attempt = r == null ? 0 : r.attempts.size();
      deliver(new Outcome(a.request(), attempt, a.backend(), Status.NOT_SENT, 0, true, 0, null));
      return;
    }
    int number = r.attempts.size();
    double sentAt = clock.now();
    double giveUp = r.request.giveUpMs();
    double deadline = a.timeoutMs() > 0 ? Math.min(sentAt + a.timeoutMs(), giveUp) : giveUp;
    Attempt attempt = new Attempt(r.message, deadline) {
      @Override
      AttemptStart startDecision(double nowMs) {
        return AttemptStart.of(ended(), r.finished, r.client.gone(), deadline - nowMs);
      }

      @Override
      void onWithheld(AttemptStart reason) {
        if (reason == AttemptStart.CLIENT_GONE) {
          left(r);
        }
        super.onWithheld(reason);
      }

      @Override
      void onEnd(Status status, FullHttpResponse answer) {
        attemptEnded(r, number, a.backend(), status, clock.now() - sentAt, answer, restOfAnswer);
      }
    };
    attempt.backendId = a.backend();
    r.attempts.add(attempt);
    r.out++;
    RequestLog.note(a.request(), "attempt started", "attempt", number,
        "backend", Long.toHexString(a.backend()), "timeout_ms", deadline - sentAt);
    backends.start(a.backend(), attempt);
  }

  private void attemptEnded(Live r, int number, long backend, Status status, double latencyMs,
      FullHttpResponse answer, AnswerPipe rest) {
    r.out--;
    RequestLog.note(r.request.id(), "attempt ended", "attempt", number, "status", status,
        "after_ms", latencyMs, "request_over", r.finished);
    double units = 0;
    if (answer != null) {
      units = units(answer.headers().get(Headers.UNITS_CHARGED));
      if (r.entry != null && !r.finished) {
        r.entry.charged(units);
      }
      if (r.finish(Gate.End.SERVED)) {
        r.client.served(answer, r.forClient, rest);
      } else if (rest != null) {
        rest.abort();
      }
    }
    deliver(new Outcome(r.request.id(), number, backend, status, latencyMs, r.finished, units, null));
    r.forgetIfDone();
  }

  private static double units(String header) {
    try {
      double units = header == null ? 0 : Double.parseDouble(header);
      return Double.isFinite(units) && units > 0 ? units : 0;
    } catch (NumberFormatException e) {
      return 0;
    }
  }
}
