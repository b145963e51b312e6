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
import willowdoor.policy.GatewayApi.PreCheck;
import willowdoor.policy.GatewayApi.Outcome;
import willowdoor.policy.GatewayApi.Refuse;
import willowdoor.policy.GatewayApi.Request;
import willowdoor.policy.GatewayApi.Roster;
import willowdoor.policy.GatewayApi.RosterForm;
import willowdoor.policy.GatewayApi.Send;
import willowdoor.policy.GatewayApi.Status;
import willowdoor.policy.GatewayApi.WakeAt;
import willowdoor.policy.GatewayApi.Woken;
import willowdoor.policy.LearnedState;
import willowdoor.policy.QuotaPolicy;

/**
 * Takes events to the module and its actions to the sockets; the only caller of the module. Holds the table
 * of requests taken and attempts out. All on the event loop's thread.
 */
final class ModuleDriver implements CounterStore.Listener {

  private static final Logger LOG = Logger.getLogger(ModuleDriver.class.getName());
  /** The last moment for a final answer, ahead of the client's own: later than any answer of the module. */
  private static final double FINAL_ANSWER_MARGIN_MS = 6;
  /** A module that failed on its wake-up is woken again after this. */
  private static final long WAKE_RETRY_MS = 100;

  /** Who waits for the one final answer. */
  interface Client {
    /**
     * A backend's answer, with further headers for the client, or null.
     *
     * @param rest its body, as it comes; null when the answer is whole
     */
    void served(FullHttpResponse answer, HttpHeaders extraHeaders, AnswerPipe rest);

    void refused(double holdOffMs);

    void failed();

    /** The gate's own answer, which is only lent. */
    default void answered(FullHttpResponse answer) {
      failed();
    }

    /** Whether it has left, also if that has not been read yet. */
    default boolean isGone() {
      return false;
    }

    /** What a gate may look at. */
    default RequestFilter.Origin origin() {
      return new RequestFilter.Origin(EmptyHttpHeaders.INSTANCE, null);
    }
  }

  /** One request from its taking until it is answered and none of its attempts is out. */
  private final class RequestState {
    final Request request;
    final FullHttpRequest message;
    final Client client;
    final List<Attempt> attempts = new ArrayList<>(1);
    Future<?> finalAnswerTimer;
    boolean finished;
    int attemptsInFlight;
    /** True while the gate has it: the module has not heard of it. */
    boolean inFilter;
    /** True while the gate takes it; and whether it let it pass meanwhile. */
    boolean enteringFilter;
    boolean passedFilter;
    /** Null unless it entered the gate, and once the gate has heard of its end. */
    RequestFilter.FilteredRequest filtered;
    RequestFilter.RequestEnd end;
    double acceptedMs;
    HttpHeaders responseHeaders;

    RequestState(Request request, FullHttpRequest message, Client client) {
      this.request = request;
      this.message = message;
      this.client = client;
    }

    /** Marks the final answer; true for the first caller only. */
    boolean finish(RequestFilter.RequestEnd requestEnd) {
      if (finished) {
        return false;
      }
      finished = true;
      finalAnswerTimer.cancel(false);
      end = requestEnd;
      RequestLog.note(request.id(), "ended", "how", requestEnd, "after_ms", clock.now() - acceptedMs,
          "attempts", attempts.size(), "in_flight", attemptsInFlight);
      if (endListener != null) {
        endListener.onRequestEnd(request, requestEnd, clock.now() - acceptedMs);
      }
      notifyFilter();
      return true;
    }

    void notifyFilter() {
      if (filtered != null) {
        RequestFilter.FilteredRequest notified = filtered;
        filtered = null;
        try {
          notified.onEnd(end);
        } catch (RuntimeException e) {
          LOG.log(Level.SEVERE, "the gate failed at the end of " + request.id(), e);
        }
      }
    }

    /** Ends what has not reached its backend whole: nobody waits for it any more, and it has not run. */
    void abandonUnsent() {
      for (Attempt attempt : List.copyOf(attempts)) {
        if (!attempt.written) {
          attempt.abandon(Status.NOT_SENT);
        }
      }
    }

    /** A request stays in the table while an attempt of it is out: the module still gets that outcome. */
    void removeIfDone() {
      if (finished && attemptsInFlight == 0 && requests.remove(request.id(), this)) {
        heldBodyBytes -= message.content().readableBytes();
        message.release();
      }
    }
  }

  private final EventLoop loop;
  private final Clock clock;
  private final QuotaPolicy policy;
  private final BackendPool backends;
  private CounterStore counter;
  private RequestFilter filter;
  /** Null where nobody listens. */
  private RequestEndListener endListener;
  /** Null where firms' ceilings are used together by the shared count. */
  private CeilingShares ceilingShares;
  private final Map<String, RequestState> requests = new HashMap<>();
  private final ArrayDeque<Event> pendingEvents = new ArrayDeque<>();
  private int heldBodyBytes;
  private boolean delivering;
  /** The process is about to end: nobody would answer what it took now. */
  private boolean closed;

  ModuleDriver(EventLoop loop, Clock clock, QuotaPolicy policy, BackendPool backends) {
    this.loop = loop;
    this.clock = clock;
    this.policy = policy;
    this.backends = backends;
  }

  void start(CounterStore counter, EndpointUpdate remembered) {
    this.counter = counter;
    policy.start(clock.now()).forEach(this::execute);
    backends.onRoster(remembered);
    deliver(new Roster(RosterForm.REMEMBERED, remembered.entries()));
  }

  /** Has requests pass a gate from here on; null has none. */
  void setFilter(RequestFilter requestFilter) {
    filter = requestFilter;
  }

  /** Has each request's end told; null has none. */
  void setEndListener(RequestEndListener listener) {
    endListener = listener;
  }

  /** The part of a customer's use that comes through this door. */
  double trafficShare(Request request) {
    return policy.localUsageShare(request.customer(), request.entryPoints());
  }

  /** What it has learned, for the process that takes its place; it owes nothing to shared counts then. */
  LearnedState learnedState() {
    return LearnedState.takeFrom(policy, clock.now());
  }

  /** Goes on from what another process had learned so long ago. */
  void restoreLearned(LearnedState learned, double ageMs) {
    learned.restoreInto(policy, clock.now(), ageMs);
  }

  /** Has nothing wait at the gate any more, or lets it wait again. */
  void setDraining(boolean draining) {
    if (filter != null) {
      filter.setDraining(draining);
    }
  }

  boolean isClosed() {
    return closed;
  }

  int heldRequests() {
    return requests.size();
  }

  /** Bytes of the bodies held. */
  int heldBodyBytes() {
    return heldBodyBytes;
  }

  boolean holds(String id) {
    return requests.containsKey(id);
  }

  /** Takes a request; the message is kept until no attempt needs it. */
  void accept(Request request, FullHttpRequest message, Client client) {
    RequestState state = new RequestState(request, message.retain(), client);
    requests.put(request.id(), state);
    heldBodyBytes += message.content().readableBytes();
    state.acceptedMs = clock.now();
    double remainingMs = Math.max(0, request.giveUpMs() - FINAL_ANSWER_MARGIN_MS - state.acceptedMs);
    RequestLog.note(request.id(), "accepted", "class", request.className(), "left_ms",
        request.giveUpMs() - state.acceptedMs);
    state.finalAnswerTimer = loop
        .schedule(() -> fail(state), (long) (remainingMs * 1000), TimeUnit.MICROSECONDS);
    if (filter != null && filter.appliesTo(request)) {
      applyFilter(state);
    } else {
      deliver(request);
    }
  }

  /** At the gate, unless the module refuses it by what it knows already: that spares the asking. */
  private void applyFilter(RequestState state) {
    RequestLog.note(state.request.id(), "at gate");
    state.inFilter = true;
    state.enteringFilter = true;
    if (filter.wantsQuotaPrecheck()) {
      deliver(new PreCheck(state.request));
    }
    if (state.finished) {
      return;
    }
    try {
      state.filtered = filter
          .filter(state.request, state.message, state.client.origin(), new RequestFilter.Continuation() {
        @Override
        public void proceed(HttpHeaders forClient) {
          if (state.inFilter && !state.finished) {
            state.inFilter = false;
            state.responseHeaders = forClient;
            state.passedFilter = true;
            if (!state.enteringFilter) {
              deliver(state.request);
            }
          }
        }

        @Override
        public void answer(FullHttpResponse answer) {
          if (state.inFilter && state.finish(RequestFilter.RequestEnd.ANSWERED_HERE)) {
            state.client.answered(answer);
            state.removeIfDone();
          }
          answer.release();
        }

        @Override
        public void refuse(double comeBackMs) {
          if (state.inFilter && state.finish(RequestFilter.RequestEnd.REFUSED)) {
            state.client.refused(comeBackMs);
            state.removeIfDone();
          }
        }
      });
      state.enteringFilter = false;
      if (state.finished) {
        state.notifyFilter();
      } else if (state.passedFilter) {
        deliver(state.request);
      }
    } catch (RuntimeException e) {
      LOG.log(Level.SEVERE, "the gate failed on " + state.request.id(), e);
      fail(state);
    }
  }

  void clientLeft(String id) {
    RequestState state = requests.get(id);
    if (state != null) {
      handleClientLeft(state);
    }
  }

  private void handleClientLeft(RequestState state) {
    if (state.finish(RequestFilter.RequestEnd.LEFT)) {
      notifyClientLeft(state);
      state.removeIfDone();
    }
  }

  private void notifyClientLeft(RequestState state) {
    if (!state.inFilter) {
      deliver(new ClientLeft(state.request.id()));
    }
    state.abandonUnsent();
  }

  @Override
  public void counted(Counted counted) {
    if (ceilingShares == null || !ceilingShares.acceptIfOwn(counted)) {
      deliver(counted);
    }
  }

  /** Has firms' ceilings divided among the doors from here on. */
  void setCeilingShares(CeilingShares shares) {
    ceilingShares = shares;
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
    closed = true;
    List.copyOf(requests.values()).forEach(this::fail);
  }

  /**
   * The net under module and gate: a request that they left unanswered fails while its client still listens.
   * At the gate nothing of it has run, so there it is refused.
   */
  private void fail(RequestState state) {
    if (state.finish(state.inFilter ? RequestFilter.RequestEnd.REFUSED : RequestFilter.RequestEnd.FAILED)) {
      if (state.inFilter) {
        state.client.refused(0);
      } else {
        state.client.failed();
      }
      notifyClientLeft(state);
      state.removeIfDone();
    }
  }

  /** Whether an attempt is out at the backend. */
  boolean hasAttemptTo(long backend) {
    return requests.values().stream().flatMap(r -> r.attempts.stream())
        .anyMatch(a -> a.backendId == backend && !a.ended());
  }

  /** Events that come up while an event is worked on wait for their turn: the module is not re-entered. */
  private void deliver(Event event) {
    pendingEvents.add(event);
    if (delivering) {
      return;
    }
    delivering = true;
    try {
      for (Event e = pendingEvents.poll(); e != null; e = pendingEvents.poll()) {
        process(e);
      }
    } finally {
      delivering = false;
    }
  }

  private void process(Event event) {
    List<Action> actions;
    try {
      boolean addShare = ceilingShares != null && event instanceof Request;
      actions = policy.on(clock.now(), addShare ? ceilingShares.withShare((Request) event) : event);
    } catch (RuntimeException e) {
      LOG.log(Level.SEVERE, "the module failed on " + event, e);
      handleModuleFailure(event);
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
  private void handleModuleFailure(Event event) {
    if (event instanceof Request e) {
      failById(e.id());
    } else if (event instanceof PreCheck e) {
      failById(e.request().id());
    } else if (event instanceof Outcome e) {
      failById(e.request());
    } else if (event instanceof Woken) {
      loop.schedule(() -> deliver(event), WAKE_RETRY_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void failById(String id) {
    RequestState state = requests.get(id);
    if (state != null) {
      fail(state);
    }
  }

  private void execute(Action action) {
    if (action instanceof Send a) {
      send(a);
    } else if (action instanceof Add a) {
      counter.add(a.name(), a.amount(), a.ttlMs());
    } else if (action instanceof WakeAt a) {
      scheduleWakeUp(a);
    } else if (action instanceof Refuse a) {
      RequestState state = requests.get(a.request());
      if (state != null && !state.finished) {
        RequestLog.note(a.request(), "refused", "spent", a.quotaExhausted(), "hold_off_ms", a.retryAfterMs());
        double holdOffMs = state.filtered == null ? a.retryAfterMs()
            : state.filtered.adviseHoldOff(a.quotaExhausted(), a.retryAfterMs());
        state.finish(RequestFilter.RequestEnd.REFUSED);
        state.client.refused(holdOffMs);
        state.removeIfDone();
      }
    } else if (action instanceof Fail a) {
      RequestState state = requests.get(a.request());
      if (state != null && state.finish(RequestFilter.RequestEnd.FAILED)) {
        state.client.failed();
        state.removeIfDone();
      }
    } else if (action instanceof Cancel a) {
      RequestState state = requests.get(a.request());
      if (state != null && a.attempt() < state.attempts.size()) {
        state.attempts.get(a.attempt()).abandon(Status.CANCELLED);
      }
    }
    // FollowRoster needs nothing: the list is watched from the start.
  }

  /** Never early: the module lets a wake-up pass that comes before its time, and then none would follow. */
  private void scheduleWakeUp(WakeAt action) {
    double waitMs = Math.max(0, action.atMs() - clock.now());
    loop.schedule(() -> deliver(new Woken(action.label())), (long) Math.ceil(waitMs * 1000) + 1,
        TimeUnit.MICROSECONDS);
  }

  private void send(Send a) {
    RequestState state = requests.get(a.request());
    if (state == null || state.finished) {
      int attempt = state == null ? 0 : state.attempts.size();
      deliver(new Outcome(a.request(), attempt, a.backend(), Status.NOT_SENT, 0, true, 0, null));
      return;
    }
    int number = state.attempts.size();
    double sentMs = clock.now();
    double giveUpMs = state.request.giveUpMs();
    double attemptDeadlineMs = a.timeoutMs() > 0 ? Math.min(sentMs + a.timeoutMs(), giveUpMs) : giveUpMs;
    Attempt attempt = new Attempt(state.message, attemptDeadlineMs) {
      @Override
      AttemptStart startDecision(double nowMs) {
        return AttemptStart.of(ended(), state.finished, state.client.isGone(), attemptDeadlineMs - nowMs);
      }

      @Override
      void onWithheld(AttemptStart reason) {
        if (reason == AttemptStart.CLIENT_GONE) {
          handleClientLeft(state);
        }
        super.onWithheld(reason);
      }

      @Override
      void onEnd(Status status, FullHttpResponse answer) {
        attemptEnded(state, number, a.backend(), status, clock.now() - sentMs, answer, restOfAnswer);
      }
    };
    attempt.backendId = a.backend();
    state.attempts.add(attempt);
    state.attemptsInFlight++;
    RequestLog.note(a.request(), "attempt started", "attempt", number,
        "backend", Long.toHexString(a.backend()), "timeout_ms", attemptDeadlineMs - sentMs);
    backends.start(a.backend(), attempt);
  }

  private void attemptEnded(RequestState state, int number, long backend, Status status, double latencyMs,
      FullHttpResponse answer, AnswerPipe rest) {
    state.attemptsInFlight--;
    RequestLog.note(state.request.id(), "attempt ended", "attempt", number, "status", status,
        "after_ms", latencyMs, "request_over", state.finished);
    double units = 0;
    if (answer != null) {
      units = parseUnits(answer.headers().get(Headers.UNITS_CHARGED));
      if (state.filtered != null && !state.finished) {
        state.filtered.onUnitsCharged(units);
      }
      if (state.finish(RequestFilter.RequestEnd.SERVED)) {
        state.client.served(answer, state.responseHeaders, rest);
      } else if (rest != null) {
        rest.abort();
      }
    }
    deliver(new Outcome(state.request.id(), number, backend, status, latencyMs, state.finished, units, null));
    state.removeIfDone();
  }

  private static double parseUnits(String header) {
    try {
      double units = header == null ? 0 : Double.parseDouble(header);
      return Double.isFinite(units) && units > 0 ? units : 0;
    } catch (NumberFormatException e) {
      return 0;
    }
  }
}
