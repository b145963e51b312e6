package willowdoor.extauthz;

import io.envoyproxy.envoy.service.auth.v3.CheckRequest;
import io.envoyproxy.envoy.service.auth.v3.CheckResponse;
import io.grpc.ClientCall;
import io.grpc.Status;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.logging.Logger;
import willowdoor.authz.AuthzAction;
import willowdoor.authz.AuthzAction.StartCall;
import willowdoor.authz.AuthzAction.CancelCall;
import willowdoor.authz.AuthzAction.Deny;
import willowdoor.authz.AuthzAction.Pass;
import willowdoor.authz.AuthzAction.Refuse;
import willowdoor.authz.AuthzEvent;
import willowdoor.authz.AuthzEvent.CallEnded;
import willowdoor.authz.AuthzEvent.Arrived;
import willowdoor.authz.AuthzEvent.RequestEnded;
import willowdoor.authz.AuthzEvent.Result;
import willowdoor.authz.AuthzSettings.Member;
import willowdoor.authz.AuthzEngine;
import willowdoor.extauthz.ExtAuthzSettings.Link;
import willowdoor.net.FrontDoor;
import willowdoor.net.RequestFilter;
import willowdoor.policy.GatewayApi.Request;

/**
 * The gate that asks members' policy servers for authorisation (envoy.service.auth.v3). Passes events to the
 * {@link AuthzEngine}, and its actions to the authorisers' channels and the request's passage; all decisions
 * are the {@link AuthzEngine}'s. Runs on the door's event loop, except for TLS files and the log, which use
 * one thread of their own.
 */
public final class ExtAuthzGate implements RequestFilter, AutoCloseable {

  private static final Logger LOG = Logger.getLogger(ExtAuthzGate.class.getName());
  private static final long LOG_WRITE_INTERVAL_MS = 50;

  private final ExtAuthzSettings settings;
  private final String door;
  private final EventLoop loop;
  private final DoubleSupplier clock;
  private final AuthzEngine gatekeeper;
  private final Answers answers;
  private final List<AuthoriserLink> links = new ArrayList<>();
  private final Map<String, PendingRequest> pendingRequests = new HashMap<>();
  private final ArrayDeque<AuthzEvent> eventQueue = new ArrayDeque<>();
  private final DecisionLog log;
  private final ScheduledExecutorService backgroundExecutor;
  private boolean delivering;

  private ExtAuthzGate(ExtAuthzSettings settings, String door, EventLoop loop, DoubleSupplier clock,
      long seed) {
    this.settings = settings;
    this.door = door;
    this.loop = loop;
    this.clock = clock;
    gatekeeper = new AuthzEngine(settings.decisions(), seed);
    answers = new Answers(settings.bounds());
    log = settings.log() == null ? null : new DecisionLog(settings.log());
    backgroundExecutor = Executors.newSingleThreadScheduledExecutor(task -> {
      Thread t = new Thread(task, "authorisation");
      t.setDaemon(true);
      return t;
    });
  }

  /**
   * Reads the TLS files and starts connecting; must not run on the event loop.
   *
   * @param door this door's name in the log
   * @param group the group that holds the door's one event loop
   * @param clock the door's clock
   * @throws IOException if TLS files can't be used; the message is fit for operators
   */
  public static ExtAuthzGate open(ExtAuthzSettings settings, String door, EventLoopGroup group,
      DoubleSupplier clock, long seed) throws IOException {
    return open(settings, door, group, FrontDoor.socketType(), clock, seed);
  }

  /**
   * Warms up this process for checks, within the limit; for a thread that may block, not the event loop.
   *
   * @return approximate number of made-up requests that went through
   */
  public static int warmUp(long limitMs) {
    return GateWarmUp.run(limitMs);
  }

  static ExtAuthzGate open(ExtAuthzSettings settings, String door, EventLoopGroup group,
      Class<? extends Channel> channelType, DoubleSupplier clock, long seed) throws IOException {
    ExtAuthzGate gate = new ExtAuthzGate(settings, door, group.next(), clock, seed);
    try {
      for (Link link : settings.links()) {
        gate.connect(link, group, channelType);
      }
    } catch (IOException e) {
      gate.close();
      throw e;
    }
    if (gate.log != null) {
      gate.backgroundExecutor.scheduleWithFixedDelay(gate.log::write, LOG_WRITE_INTERVAL_MS,
          LOG_WRITE_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
    return gate;
  }

  private void connect(Link link, EventLoopGroup group, Class<? extends Channel> channelType)
      throws IOException {
    TlsFiles files = link.tls() == null ? null : new TlsFiles(link.tls());
    SslContext tls = files == null ? null : files.read();
    AuthoriserLink opened = new AuthoriserLink(link, group, channelType,
        settings.bounds().answerBytes(), tls);
    links.add(opened);
    if (files != null) {
      watch(opened, files);
    }
  }

  /** Reloads changed TLS files; while they can't be used, the connection keeps the previous ones. */
  private void watch(AuthoriserLink link, TlsFiles files) {
    long every = (long) link.link().tls().checkIntervalMs();
    backgroundExecutor.scheduleWithFixedDelay(() -> {
      if (files.changed()) {
        try {
          SslContext tls = files.read();
          loop.execute(() -> link.renew(tls));
          LOG.info(link.link().name() + ": reconnecting with the changed TLS files");
        } catch (IOException | RuntimeException e) {
          LOG.warning(link.link().name() + ": keeping the previous TLS files: " + e.getMessage());
        }
      }
    }, every, every, TimeUnit.MILLISECONDS);
  }

  @Override
  public boolean appliesTo(Request request) {
    return gatekeeper.memberOf(request.className(), request.planName(), request.customer()) != null;
  }

  /** Returns the number of requests without a decision. */
  public int undecided() {
    return gatekeeper.undecidedCount();
  }

  /** One request from its arrival at the gate to its end. */
  private final class PendingRequest implements FilteredRequest {
    private final Request request;
    private final FullHttpRequest message;
    private final Member member;
    private final Continuation passage;
    private final double arrivedMs = clock.getAsDouble();
    private final CheckRequest check;
    private final List<DecisionLog.Call> calls = new ArrayList<>(1);
    private ClientCall<CheckRequest, CheckResponse> call;
    private Denial denial;
    private String decision = "none";
    private double decidedMs;
    private String metadata;

    PendingRequest(Request request, FullHttpRequest message, Origin origin, Continuation passage) {
      this.request = request;
      this.message = message;
      this.passage = passage;
      member = gatekeeper.memberOf(request.className(), request.planName(), request.customer());
      check = Checks.of(request, member, settings.contents().get(settings.decisions().members()
          .indexOf(member)), message, origin, arrivedMs);
    }

    void arrived() {
      String subject = member.maxCacheMs() > 0 ? Checks.subject(check) : null;
      deliver(new Arrived(request.id(), request.className(), request.planName(), request.customer(),
          request.giveUpMs(), message.content().readableBytes(), subject));
    }

    void ask(StartCall ask) {
      double askedMs = clock.getAsDouble();
      AuthoriserLink link = links.get(ask.authoriser());
      call = link.check(check, ask.timeoutMs(), ask.probe(), (status, answer, reached) -> {
        double took = clock.getAsDouble() - askedMs;
        Answers.Reading read = status.isOk() ? answers.read(answer) : null;
        Result result = result(status, read, reached);
        if (pendingRequests.get(request.id()) == this) {
          calls.add(new DecisionLog.Call(link.link().name(), ask.probe(), ask.timeoutMs(), took, result
              .name(),
              reached, note(status, read)));
        }
        Grant grant = read instanceof Answers.Allowed a ? a.grant() : null;
        if (read instanceof Answers.Denied d) {
          denial = d.denial();
        }
        deliver(new CallEnded(request.id(), ask.call(), result, read instanceof Answers.Allowed a
            ? a.allowForMs() : 0, grant));
      });
    }

    void decided(String how) {
      decision = how;
      decidedMs = clock.getAsDouble();
    }

    void pass(Pass pass) {
      decided(pass.reason().name());
      Grant grant = (Grant) pass.grant();
      if (grant == null) {
        passage.proceed(null);
      } else {
        metadata = grant.metadata();
        grant.applyTo(message.headers());
        passage.proceed(grant.clientHeaders());
      }
    }

    void deny() {
      decided("DENIED " + denial.status());
      metadata = denial.metadata();
      passage.answer(denial.answer());
    }

    void refuse(Refuse refuse) {
      decided("REFUSED " + refuse.cause());
      passage.answer(refusal(refuse));
    }

    /** Called once, when the request has ended. */
    @Override
    public void onEnd(RequestEnd end) {
      boolean undecided = decision.equals("none");
      if (undecided) {
        decidedMs = clock.getAsDouble();
        deliver(new RequestEnded(request.id()));
        cancel();
      }
      pendingRequests.remove(request.id(), this);
      if (log != null) {
        log.add(new DecisionLog.Entry(arrivedMs, door, request.id(), member.name(),
            Checks.firm(request), request.planName(), request.className(),
            List.copyOf(calls), decision, decidedMs - arrivedMs, end.name(), clock.getAsDouble() - arrivedMs,
            metadata));
      }
    }

    void cancel() {
      if (call != null) {
        call.cancel("the request is over", null);
      }
    }
  }

  @Override
  public FilteredRequest filter(Request request, FullHttpRequest message, Origin origin,
      Continuation passage) {
    PendingRequest entered = new PendingRequest(request, message, origin, passage);
    pendingRequests.put(request.id(), entered);
    entered.arrived();
    return entered;
  }

  private void deliver(AuthzEvent event) {
    eventQueue.add(event);
    if (delivering) {
      return;
    }
    delivering = true;
    try {
      for (AuthzEvent e = eventQueue.poll(); e != null; e = eventQueue.poll()) {
        gatekeeper.on(clock.getAsDouble(), e).forEach(this::execute);
      }
    } finally {
      delivering = false;
    }
  }

  private void execute(AuthzAction action) {
    if (action instanceof StartCall a) {
      pendingRequests.get(a.id()).ask(a);
    } else if (action instanceof Pass a) {
      pendingRequests.get(a.id()).pass(a);
    } else if (action instanceof Deny a) {
      pendingRequests.get(a.id()).deny();
    } else if (action instanceof Refuse a) {
      pendingRequests.get(a.id()).refuse(a);
    } else if (action instanceof CancelCall a && pendingRequests.containsKey(a.id())) {
      pendingRequests.get(a.id()).cancel();
    }
  }

  private static Result result(Status status, Answers.Reading read, boolean reached) {
    if (read instanceof Answers.Allowed) {
      return Result.ALLOWED;
    } else if (read instanceof Answers.Denied) {
      return Result.DENIED;
    } else if (read instanceof Answers.Malformed) {
      return Result.BAD_ANSWER;
    } else if (read instanceof Answers.Undecided) {
      return Result.FAILED;
    } else if (!reached) {
      return Result.NOT_REACHED;
    }
    return status.getCode() == Status.Code.DEADLINE_EXCEEDED ? Result.TIMED_OUT : Result.FAILED;
  }

  private static String note(Status status, Answers.Reading read) {
    if (read instanceof Answers.Malformed b) {
      return b.why();
    } else if (read instanceof Answers.Undecided u) {
      return u.why();
    }
    return status.isOk() ? "" : Answers.truncate(status.getCode() + " "
        + String.valueOf(status.getDescription()));
  }

  /** Creates the answer to a request that was not started: 503, with a retry time if a retry may help. */
  private FullHttpResponse refusal(Refuse refuse) {
    ByteBuf text = Unpooled.copiedBuffer("no authorisation: " + refuse.cause().name().toLowerCase(Locale.ROOT)
        + '\n', StandardCharsets.US_ASCII);
    FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
        HttpResponseStatus.SERVICE_UNAVAILABLE, text);
    double wait = Math.min(refuse.holdOffMs(), settings.maxRetryAfterMs());
    if (wait > 0) {
      answer.headers().set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", wait / 1_000));
    }
    return answer;
  }

  /** Closes all connections and writes the remaining log entries; for a thread that may block. */
  @Override
  public void close() {
    backgroundExecutor.shutdownNow();
    loop.execute(() -> links.forEach(AuthoriserLink::close));
    if (log != null) {
      log.write();
    }
  }
}
