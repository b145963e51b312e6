package willowdoor.net;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import willowdoor.memory.Holder;
import willowdoor.memory.MemoryBudget;
import willowdoor.policy.AttemptStart;
import willowdoor.policy.BegunRequests;
import willowdoor.policy.GatewayApi.Action;
import willowdoor.policy.GatewayApi.Add;
import willowdoor.policy.GatewayApi.AnswerProgress;
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
 * Delivers events to the decision module ({@link QuotaPolicy}) and executes the actions that the module
 * returns; nothing else calls the module. Holds the table of accepted requests and of their attempts in
 * flight. Everything runs on the event loop's thread.
 */
final class ModuleDriver implements CounterStore.Listener {

  private static final Logger LOG = Logger.getLogger(ModuleDriver.class.getName());
  /**
   * How long before the client's own deadline a final answer is sent at the latest, in milliseconds. All
   * answers of the module come earlier.
   */
  private static final double FINAL_ANSWER_MARGIN_MS = 6;
  /** Longest time that clients wait, where the other process tells an id without it. */
  private static final double MAX_DEADLINE_MS = 5_000;
  /** Delay in milliseconds before a wake-up on which the module failed is delivered again. */
  private static final long WAKE_RETRY_MS = 100;

  /** Receives the one final answer of a request. */
  interface Client {
    /**
     * Passes on a backend's answer.
     *
     * @param extraHeaders further headers for the client, or null
     * @param rest the remaining body, streamed as it arrives; null when the answer is complete
     */
    void served(FullHttpResponse answer, HttpHeaders extraHeaders, AnswerPipe rest);

    void refused(double holdOffMs);

    void failed();

    /**
     * Sends the request filter's own answer. The reference stays with the caller: an implementation that
     * writes the answer retains it.
     */
    default void answered(FullHttpResponse answer) {
      failed();
    }

    /** Whether the client has disconnected, even if the disconnect has not been read from the socket yet. */
    default boolean isGone() {
      return false;
    }

    /**
     * Whether the connection may hold input that was not read yet; the end of a connection comes after all
     * input. May stay true, as some clients write without end.
     */
    default boolean mayHoldUnreadInput() {
      return false;
    }

    /** What a request filter may inspect besides the request. */
    default RequestFilter.Origin origin() {
      return new RequestFilter.Origin(EmptyHttpHeaders.INSTANCE, null);
    }
  }

  /** State of one request, from its acceptance until it has its final answer and no attempt is in flight. */
  private final class RequestState {
    final Request request;
    final FullHttpRequest message;
    final Client client;
    /** What the request takes in the memory budget. */
    final long heldBytes;
    final List<Attempt> attempts = new ArrayList<>(1);
    Future<?> finalAnswerTimer;
    boolean finished;
    /** Whether an attempt of this request has begun. */
    boolean begun;
    int attemptsInFlight;
    /** True while the request is in the filter: the module has not been given the request yet. */
    boolean inFilter;
    /**
     * True until the call of the filter returns; {@link #passedFilter} tells whether the filter let the
     * request proceed.
     */
    boolean enteringFilter;
    boolean passedFilter;
    /** Null unless the filter handles the request, and null again once the filter was told of the end. */
    RequestFilter.FilteredRequest filtered;
    RequestFilter.RequestEnd end;
    double acceptedMs;
    HttpHeaders responseHeaders;

    RequestState(Request request, FullHttpRequest message, Client client, long heldBytes) {
      this.request = request;
      this.message = message;
      this.client = client;
      this.heldBytes = heldBytes;
    }

    /** Marks the request as finished. Returns true for the first call only. */
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
          LOG.log(Level.SEVERE, "request filter failed at the end of request " + request.id(), e);
        }
      }
    }

    /**
     * Ends the attempts whose backend may not have the whole request yet: nobody waits for them any more, and
     * they must not begin.
     */
    void abandonUnsent() {
      for (Attempt attempt : List.copyOf(attempts)) {
        if (attempt.mayLackBytes()) {
          attempt.abandon(attempt.written ? Status.SPOILT : Status.NOT_SENT);
        }
      }
    }

    /** Whether the request may run any number of times. */
    boolean isSafe() {
      return message.method().equals(HttpMethod.GET);
    }

    /** Whether a request with this id that must not run twice has begun, and is not this one. */
    boolean idBegunByAnother() {
      return !begun && !isSafe() && begunRequests.contains(clock.now(), request.id());
    }

    void noteBegun() {
      if (!begun && !isSafe()) {
        begun = true;
        begunRequests.add(clock.now(), request.id(), request.giveUpMs());
      }
    }

    /** Whether an attempt other than this one may still reach a backend. */
    boolean hasOtherInFlight(Attempt attempt) {
      return attempts.stream().anyMatch(a -> a != attempt && !a.ended());
    }

    /**
     * Removes the finished request unless an attempt is in flight: the module still gets the outcome of that
     * attempt.
     */
    void removeIfDone() {
      if (finished && attemptsInFlight == 0 && requests.remove(request.id(), this)) {
        memory.remove(Holder.ACCEPTED, heldBytes);
        message.release();
      }
    }
  }

  private final EventLoop loop;
  private final Clock clock;
  private final QuotaPolicy policy;
  private final BackendPool backends;
  private final MemoryBudget memory;
  private CounterStore counter;
  private RequestFilter filter;
  /** Null if nothing listens for the ends of requests. */
  private RequestEndListener endListener;
  /** Null if all doors use the firms' ceilings jointly through the shared count. */
  private CeilingShares ceilingShares;
  private final Map<String, RequestState> requests = new HashMap<>();
  private final BegunRequests begunRequests = new BegunRequests();
  private final ArrayDeque<Event> pendingEvents = new ArrayDeque<>();
  private boolean delivering;
  /** True once the process is about to exit: a request accepted now would not be answered. */
  private boolean closed;

  ModuleDriver(EventLoop loop, Clock clock, QuotaPolicy policy, BackendPool backends, MemoryBudget memory) {
    this.loop = loop;
    this.clock = clock;
    this.policy = policy;
    this.backends = backends;
    this.memory = memory;
  }

  void start(CounterStore counter, EndpointUpdate remembered) {
    this.counter = counter;
    policy.start(clock.now()).forEach(this::execute);
    backends.onRoster(remembered);
    deliver(new Roster(RosterForm.REMEMBERED, remembered.entries()));
  }

  /** Sets the filter that requests pass from now on; null for none. */
  void setFilter(RequestFilter requestFilter) {
    filter = requestFilter;
  }

  /** Sets the listener that is told of the end of each request; null for none. */
  void setEndListener(RequestEndListener listener) {
    endListener = listener;
  }

  /** The share of a customer's traffic that comes through this door. */
  double trafficShare(Request request) {
    return policy.localUsageShare(request.customer(), request.entryPoints());
  }

  /**
   * What the module has learned, for the process that replaces this one; afterwards the module owes nothing
   * to the shared counts.
   */
  LearnedState learnedState() {
    return LearnedState.takeFrom(policy, clock.now());
  }

  /**
   * Restores what another process had learned.
   *
   * @param ageMs milliseconds since the other process exported it
   */
  void restoreLearned(LearnedState learned, double ageMs) {
    learned.restoreInto(policy, clock.now(), ageMs);
  }

  /**
   * Tells the filter, if there is one, whether the door drains: while it does, no request may wait in the
   * filter.
   */
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

  boolean holds(String id) {
    return requests.containsKey(id);
  }

  /** Whether a request with this id has begun, here or at the other process, and must not run twice. */
  boolean hasBegun(String id) {
    return begunRequests.contains(clock.now(), id);
  }

  /** The ids of the requests that have begun, or are held and may begin, and must not run twice. */
  List<String> begunIds() {
    List<String> ids = begunRequests.ids(clock.now());
    requests.values().stream().filter(r -> !r.isSafe() && !r.begun && !r.finished)
        .forEach(r -> ids.add(r.request.id()));
    return ids;
  }

  /** Notes ids of requests that have begun at the other process of this front door. */
  void noteBegunElsewhere(List<String> ids) {
    double now = clock.now();
    ids.forEach(id -> begunRequests.addOfOther(now, id, now + MAX_DEADLINE_MS));
  }

  /**
   * Decides on ids that the other process of this front door claims for its requests, and returns those that
   * must not begin there.
   *
   * @param isFirst whether this process is the first of the two
   */
  List<String> rejectedClaims(List<String> ids, boolean isFirst) {
    double now = clock.now();
    return ids.stream().filter(id ->
        !begunRequests.confirmClaim(now, id, now + MAX_DEADLINE_MS, isFirst && holds(id))).toList();
  }

  /** The other process of this front door has ended. */
  void onOtherProcessEnded() {
    begunRequests.onOtherEnded();
  }

  /**
   * Accepts a request; the message is retained until no attempt needs it.
   *
   * @param heldBytes what the request takes in the memory budget until then
   */
  void accept(Request request, FullHttpRequest message, Client client, long heldBytes) {
    RequestState state = new RequestState(request, message.retain(), client, heldBytes);
    requests.put(request.id(), state);
    memory.add(Holder.ACCEPTED, heldBytes);
    state.acceptedMs = clock.now();
    double remainingMs = Math.max(0, request.giveUpMs() - FINAL_ANSWER_MARGIN_MS - state.acceptedMs);
    RequestLog.note(request.id(), "accepted", "class", request.className(), "left_ms",
        request.giveUpMs() - state.acceptedMs);
    state.finalAnswerTimer = loop.schedule(() -> fail(state), (long) (remainingMs * 1000),
        TimeUnit.MICROSECONDS);
    if (filter != null && filter.appliesTo(request)) {
      applyFilter(state);
    } else {
      deliver(request);
    }
  }

  /**
   * Passes the request to the filter. If the filter asks for it, the module first checks the request against
   * what it knows already; a refusal then saves the call of the filter.
   */
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
      state.filtered = filter.filter(state.request, state.message, state.client.origin(),
          new RequestFilter.Continuation() {
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
      LOG.log(Level.SEVERE, "request filter failed on request " + state.request.id(), e);
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

  /** Divides the firms' ceilings among the doors from now on. */
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

  /** Fails all unanswered requests and accepts no more, as the process is about to exit. */
  void failAll() {
    closed = true;
    List.copyOf(requests.values()).forEach(this::fail);
  }

  /**
   * Safety net below module and filter: fails a request that both left unanswered, while its client still
   * listens. An answer that still comes is passed on instead. Nothing of a request in the filter has run, so
   * such a request is refused, and the client may retry.
   */
  private void fail(RequestState state) {
    List.copyOf(state.attempts).forEach(Attempt::passOnAnswer);
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

  /** Whether an attempt is in flight at the backend. */
  boolean hasAttemptTo(long backend) {
    return requests.values().stream().flatMap(r -> r.attempts.stream())
        .anyMatch(a -> a.backendId == backend && !a.ended());
  }

  /**
   * Delivers an event to the module. An event that arises while another is processed is queued: the module is
   * not re-entered.
   */
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
      LOG.log(Level.SEVERE, "decision module failed on event " + event, e);
      handleModuleFailure(event);
      return;
    }
    for (Action action : actions) {
      try {
        execute(action);
      } catch (RuntimeException e) {
        LOG.log(Level.SEVERE, "failed to execute action " + action, e);
      }
    }
  }

  /**
   * Limits a failure of the module to the request of the event, so that the process goes on. A failed wake-up
   * is delivered again.
   */
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
        state.attempts.get(a.attempt()).cancel();
      }
    }
    // FollowRoster needs no action: the backend list is watched from the start.
  }

  /**
   * Schedules a wake-up of the module, never early: the module ignores a wake-up that comes before its time,
   * and no other would follow.
   */
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
    Attempt attempt = new Attempt(state.message, attemptDeadlineMs, a.conditions()) {
      @Override
      AttemptStart startDecision(double nowMs, boolean backendReplaced) {
        return AttemptStart.of(new AttemptStart.Circumstances(ended(), state.finished, state.client.isGone(),
            state.idBegunByAnother(), state.hasOtherInFlight(this), backendReplaced,
            conditions.beginByMs() - nowMs, attemptDeadlineMs - nowMs));
      }

      @Override
      boolean awaitsClientInput() {
        return !state.finished && state.client.mayHoldUnreadInput();
      }

      @Override
      void onBegin() {
        state.noteBegun();
      }

      @Override
      void onAnswerBegun() {
        if (!answerBegun) {
          deliver(new AnswerProgress(a.request(), number));
        }
        super.onAnswerBegun();
      }

      @Override
      void onWithheld(AttemptStart reason) {
        if (reason == AttemptStart.CLIENT_GONE) {
          handleClientLeft(state);
        } else if (reason == AttemptStart.ID_HAS_BEGUN) {
          fail(state);
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
    // Behind all that the sockets have to tell at this moment, the client's end among it.
    loop.execute(() -> backends.start(a.backend(), attempt));
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
