package willowdoor.testkit;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import willowdoor.testkit.EventHistory.ClientRequest;
import willowdoor.testkit.EventHistory.Kind;
import willowdoor.testkit.LoadStatistics.TryOutcome;

/**
 * Clients of the gateway: the members' purchasing systems. Requests arrive as one seeded Poisson process over
 * all firms and are sent over kept-alive connections to the doors of each firm's set, with up to two retries
 * after a delay. A try whose reused connection was closed without an answer is sent once more on a new
 * connection, as HTTP allows. Runs on one event loop. At most {@value #MAX_OUTSTANDING_TRIES} tries are
 * outstanding; tries due beyond that are skipped and counted.
 */
public final class ClientFleet {

  private static final int MAX_OUTSTANDING_TRIES = 20_000;
  private static final int RETRIES = 2;
  private static final double MIN_DEADLINE_SHARE = 0.5;
  private static final double BUY_SHARE = 0.3;
  private static final double TRANSFER_SHARE = 0.05;
  private static final double BACKOFF_MS = 50;
  private static final int BODY_BYTES = 200;
  private static final long REPEAT_DELAY_MS = 300;

  /**
   * The load that the fleet generates: a request rate over a number of firms, a share of them heavy.
   *
   * @param heavyWeight weight of a heavy firm in the request rate; that of any other is 1
   * @param maxSpread bound on the number of doors in a firm's set; a set has at least two doors when there
   *     are two
   * @param uneven most of a firm's requests go through one or two doors of its set, and these change every
   *     {@value #BUSIEST_DOORS_PERIOD_MS} ms
   */
  public record Load(double requestsPerSecond, int firms, double heavyShare, double heavyWeight,
      int maxSpread, boolean uneven) {

    public Load(double requestsPerSecond, int firms, double heavyShare, double heavyTimes, int mostSpread) {
      this(requestsPerSecond, firms, heavyShare, heavyTimes, mostSpread, false);
    }
  }

  private static final long BUSIEST_DOORS_PERIOD_MS = 15_000;

  private record Firm(String id, String plan, int first, int spread, double weight) { }

  private final EventLoop loop;
  private final EventHistory eventHistory;
  private final RunSettings runSettings;
  private final DoorHealthChecker doorHealth;
  private final Load load;
  private final Random random;
  private final LoadStatistics statistics = new LoadStatistics();
  private final List<Firm> firms = new ArrayList<>();
  private final double totalWeight;
  private final Map<Door, ArrayDeque<DoorConnection>> idleConnections = new HashMap<>();
  private double nextDueMs;
  private final AtomicInteger outstanding = new AtomicInteger();
  private final AtomicLong sentTries = new AtomicLong();
  private final AtomicInteger unservedFirms = new AtomicInteger();
  private final AtomicLong skippedTries = new AtomicLong();
  private volatile boolean running;

  public ClientFleet(EventLoop loop, EventHistory eventHistory, RunSettings runSettings,
      List<? extends Door> doors, Load load,
      long seed) {
    this.loop = loop;
    this.eventHistory = eventHistory;
    this.runSettings = runSettings;
    this.doorHealth = new DoorHealthChecker(loop, doors);
    this.load = load;
    this.random = new Random(seed);
    double weights = 0;
    for (int i = 0; i < load.firms(); i++) {
      boolean heavy = random.nextDouble() < load.heavyShare();
      int spread = Math.min(doors.size(), 2 + random.nextInt(Math.max(1, load.maxSpread() - 1)));
      Firm f = new Firm(String.format("%016x", 0x1000L + i), plan(i).name(),
          random.nextInt(doors.size()), spread, heavy ? load.heavyWeight() : 1);
      firms.add(f);
      weights += f.weight();
    }
    totalWeight = weights;
  }

  /** Every third firm has the first plan, all others have the second. */
  private RunSettings.PlanTerms plan(int firm) {
    return runSettings.plans().get(firm % 3 == 0 ? 0 : Math.min(1, runSettings.plans().size() - 1));
  }

  /** Statistics so far. */
  public LoadStatistics statistics() {
    return statistics;
  }

  /** Number of tries sent so far. */
  public long sentTries() {
    return sentTries.get();
  }

  /** Number of tries that were due but skipped, because too many were outstanding. */
  public long skippedTries() {
    return skippedTries.get();
  }

  /** Number of outstanding tries. */
  public int outstanding() {
    return outstanding.get();
  }

  /** Number of doors that receive requests now. */
  public int doorsUp() {
    return doorHealth.up();
  }

  public boolean isUp(int door) {
    return doorHealth.up(door);
  }

  /** Starts sending requests. */
  public void start() {
    running = true;
    loop.execute(() -> {
      nextDueMs = eventHistory.now();
      sendDueRequests();
    });
  }

  /**
   * Adds a flood of requests of the first firm at this rate, from a number of clients that identify
   * themselves; a client that gets a Retry-After time repeats the request at the same door at that time.
   */
  public void flood(double perSecond, int clients) {
    loop.execute(() -> flood(perSecond, clients, eventHistory.now()));
  }

  private void flood(double perSecond, int clients, double from) {
    double due = from;
    while (running && due <= eventHistory.now()) {
      if (outstanding.get() >= MAX_OUTSTANDING_TRIES) {
        skippedTries.incrementAndGet();
      } else {
        Try t = new Try(firms.get(0), RequestKind.QUOTE, units(), runSettings.deadlineMs(), null, 0,
            eventHistory.now());
        t.client = 1 + random.nextInt(clients);
        t.start();
      }
      due += -Math.log(1 - random.nextDouble()) * 1000 / perSecond;
    }
    if (running) {
      double next = due;
      loop.schedule(() -> flood(perSecond, clients, next), 1, TimeUnit.MILLISECONDS);
    }
  }

  private int units() {
    return Math.min(RunSettings.MAX_UNITS, 1 + (int) (-Math.log(1 - random.nextDouble()) * 1.2));
  }

  /** Stops sending new requests; outstanding ones are completed. */
  public void stop() {
    running = false;
  }

  /**
   * Lets every firm request one unit repeatedly until it is served. A door settles the actual cost of a
   * firm's requests with the firm's next request.
   */
  public void askOnceEach() {
    loop.execute(() -> {
      unservedFirms.set(firms.size());
      for (int i = 0; i < firms.size(); i++) {
        Firm firm = firms.get(i);
        loop.schedule(() -> askOnce(firm), 2L * i, TimeUnit.MILLISECONDS);
      }
    });
  }

  /** Number of firms not served yet since {@link #askOnceEach}. */
  public int unservedFirms() {
    return unservedFirms.get();
  }

  /** Identifiers of all firms. */
  public List<String> firms() {
    return firms.stream().map(Firm::id).toList();
  }

  private void askOnce(Firm firm) {
    Try t = new Try(firm, RequestKind.QUOTE, 1, runSettings.deadlineMs(), null, RETRIES, eventHistory.now());
    t.onEnd = how -> {
      if (how == TryOutcome.SERVED) {
        unservedFirms.decrementAndGet();
      } else {
        loop.schedule(() -> askOnce(firm), REPEAT_DELAY_MS, TimeUnit.MILLISECONDS);
      }
    };
    t.start();
  }

  /** Stops sending, stops the health checks and closes idle connections. */
  public void close() {
    stop();
    doorHealth.stop();
    loop.submit(() -> idleConnections.values().forEach(q -> q.forEach(l -> l.channel.close())))
        .syncUninterruptibly();
  }

  private void sendDueRequests() {
    double now = eventHistory.now();
    while (running && nextDueMs <= now) {
      if (outstanding.get() >= MAX_OUTSTANDING_TRIES) {
        skippedTries.incrementAndGet();
      } else {
        Firm firm = drawFirm();
        RequestKind kind = drawKind();
        int units = units();
        double timeout = runSettings.deadlineMs()
            * (MIN_DEADLINE_SHARE + random.nextDouble() * (1 - MIN_DEADLINE_SHARE));
        String key = kind.keyed() ? String.format("%016x%016x", random.nextLong(), random.nextLong()) : null;
        new Try(firm, kind, units, Math.floor(timeout), key, 0, now).start();
      }
      nextDueMs += -Math.log(1 - random.nextDouble()) * 1000 / load.requestsPerSecond();
    }
    if (running) {
      loop.schedule(this::sendDueRequests, 1, TimeUnit.MILLISECONDS);
    }
  }

  private RequestKind drawKind() {
    double at = random.nextDouble();
    return at < BUY_SHARE ? RequestKind.BUY : at < BUY_SHARE + TRANSFER_SHARE ? RequestKind.TRANSFER
        : RequestKind.QUOTE;
  }

  private Firm drawFirm() {
    double remaining = random.nextDouble() * totalWeight;
    for (Firm firm : firms) {
      remaining -= firm.weight();
      if (remaining <= 0) {
        return firm;
      }
    }
    return firms.get(firms.size() - 1);
  }

  /** Offset, in the firm's set, of the door that is tried first. */
  private int chooseOffset(Firm firm) {
    if (!load.uneven()) {
      return random.nextInt(firm.spread());
    }
    // A firm's busiest doors are derived from its id and the current period.
    Random busiest = new Random(31 * firm.id().hashCode()
        + (long) (eventHistory.now() / BUSIEST_DOORS_PERIOD_MS +
        (firm.id().hashCode() & 15) / 16.0));
    double[] weights = new double[firm.spread()];
    double sum = 0;
    for (int i = 0; i < weights.length; i++) {
      weights[i] = Math.pow(busiest.nextDouble(), 3);
      sum += weights[i];
    }
    double remaining = random.nextDouble() * sum;
    int i = 0;
    while (i < weights.length - 1 && remaining >= weights[i]) {
      remaining -= weights[i++];
    }
    return i;
  }

  /** One try of a client, from the time it is due to its outcome. */
  private final class Try {
    private final Firm firm;
    private final RequestKind kind;
    private final int units;
    private final double timeoutMs;
    private final String key;
    private final int number;
    private final String id = String.format("%016x", random.nextLong());
    private final double dueMs = eventHistory.now();
    private final double firstDueMs;
    private Door door;
    private DoorConnection connection;
    /** Number of the client among a flooding firm's clients; 0 when the request names no client. */
    private int client;
    /** The door that asked for a retry at this time by Retry-After; null for any other try. */
    private Door returnDoor;
    private boolean resent;
    private boolean ended;
    private Future<?> timer;
    private Consumer<TryOutcome> onEnd;

    Try(Firm firm, RequestKind kind, int units, double timeoutMs, String key, int number,
        double firstDueMs) {
      this.firm = firm;
      this.kind = kind;
      this.units = units;
      this.timeoutMs = timeoutMs;
      this.key = key;
      this.number = number;
      this.firstDueMs = firstDueMs;
    }

    void start() {
      outstanding.incrementAndGet();
      sentTries.incrementAndGet();
      door = returnDoor != null ? returnDoor : doorHealth.choose(firm.first(), firm.spread(),
          chooseOffset(firm));
      if (door == null) {
        end(TryOutcome.NO_DOOR, 0);
        return;
      }
      eventHistory.registerRequest(new ClientRequest(id, firm.id(), firm.plan(), kind, key, units, timeoutMs,
          number, dueMs));
      timer = loop.schedule(() -> {
        if (!ended) {
          eventHistory.addRequestEntry(Kind.GAVE_UP, id, door.name(), 0, "");
          DoorConnection used = connection;
          end(TryOutcome.UNANSWERED, 0);
          if (used != null) {
            used.channel.close();
          }
        }
      }, (long) timeoutMs + 1, TimeUnit.MILLISECONDS);
      send();
    }

    private void send() {
      ArrayDeque<DoorConnection> kept = idleConnections.computeIfAbsent(door, d -> new ArrayDeque<>());
      DoorConnection free = resent ? null : kept.pollLast();
      while (free != null && !free.channel.isActive()) {
        free = kept.pollLast();
      }
      if (free != null) {
        free.send(this);
      } else {
        connect();
      }
    }

    private void connect() {
      DoorConnection fresh = new DoorConnection(door);
      new Bootstrap().group(loop).channel(NioSocketChannel.class)
          .option(ChannelOption.TCP_NODELAY, true).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1_000)
          .handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel ch) {
              ch.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(128 * 1024), fresh);
            }
          }).connect(door.address()).addListener((ChannelFuture f) -> {
            if (ended) {
              f.channel().close();
            } else if (f.isSuccess()) {
              fresh.send(this);
            } else {
              eventHistory.addRequestEntry(Kind.NOT_TAKEN, id, door.name(), 0,
                  String.valueOf(f.cause().getMessage()));
              end(TryOutcome.NOT_TAKEN, 0);
            }
          });
    }

    private DefaultFullHttpRequest toHttpRequest() {
      boolean post = kind.method().equals("POST");
      ByteBuf body = post ? Unpooled.copiedBuffer("x".repeat(BODY_BYTES), StandardCharsets.US_ASCII)
          : Unpooled.EMPTY_BUFFER;
      DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
          HttpMethod.valueOf(kind.method()),
          "/" + kind.className() + "/" + number, body);
      double leftMs = Math.max(1, dueMs + timeoutMs - eventHistory.now());
      request.headers().set("Host", DoorHealthChecker.hostAndPort(door.address())).set("Request-Id", id)
          .set("Request-Class", kind.className()).set("X-Plan", firm.plan()).set("X-Customer", firm.id())
          .set("Request-Timeout-Ms", (long) Math.ceil(leftMs))
          .set("X-Quota", "units=" + units + ",spread=" + firm.spread() + ",first=" + firm.first());
      if (client > 0) {
        request.headers().set("X-Client", client);
      }
      if (post) {
        request.headers().set("Content-Length", BODY_BYTES);
      }
      if (key != null) {
        request.headers().set("Idempotency-Key", key);
      }
      if (number > 0) {
        request.headers().set("Client-Retry", "1");
      }
      return request;
    }

    void onAnswer(FullHttpResponse answer) {
      int status = answer.status().code();
      if (ended) {
        eventHistory.addRequestEntry(Kind.ANSWERED, id, door.name(), status, "after its end");
        return;
      }
      eventHistory.addRequestEntry(Kind.ANSWERED, id, door.name(), status, "");
      if (status == 200 && !answer.content().toString(StandardCharsets.US_ASCII).startsWith("made for " + id
          + " by")) {
        eventHistory.addRequestEntry(Kind.FORGED, id, door.name(), 0, "");
      }
      double waitMs = 0;
      String retryAfter = answer.headers().get("Retry-After");
      if (retryAfter != null) {
        waitMs = Double.parseDouble(retryAfter) * 1000;
      }
      end(status == 200 ? TryOutcome.SERVED : status == 429 || status == 503 ? TryOutcome.REFUSED
          : TryOutcome.FAILED, waitMs);
    }

    void onConnectionClosed(boolean kept) {
      if (ended) {
        return;
      }
      eventHistory.addRequestEntry(Kind.CUT, id, door.name(), 0, kept ? "kept" : "");
      connection = null;
      if (kept && !resent) {
        resent = true;
        send();
      } else {
        end(TryOutcome.UNANSWERED, 0);
      }
    }

    void onWriteFailed() {
      if (!ended) {
        eventHistory.addRequestEntry(Kind.NOT_TAKEN, id, door.name(), 0, "not written completely");
        end(TryOutcome.NOT_TAKEN, 0);
      }
    }

    private void end(TryOutcome outcome, double retryAfterMs) {
      ended = true;
      outstanding.decrementAndGet();
      if (timer != null) {
        timer.cancel(false);
      }
      statistics.recordTry(dueMs, outcome, eventHistory.now() - dueMs, firm.id(), firm.plan(), units);
      if (returnDoor != null) {
        statistics.recordPromptedRetry(firm.id(), firm.plan(), outcome);
      }
      if (outcome != TryOutcome.SERVED && number < RETRIES && running) {
        double waitMs = Math.max(retryAfterMs, BACKOFF_MS * (1 << number) * (0.5 + random.nextDouble()));
        loop.schedule(() -> {
          if (running) {
            Try next = new Try(firm, kind, units, timeoutMs, key, number + 1, firstDueMs);
            next.client = client;
            next.returnDoor = client > 0 && retryAfterMs > 0 && waitMs == retryAfterMs ? door : null;
            next.start();
          } else {
            finishRequest(outcome);
          }
        }, (long) waitMs, TimeUnit.MILLISECONDS);
      } else {
        finishRequest(outcome);
      }
    }

    private void finishRequest(TryOutcome outcome) {
      if (onEnd != null) {
        onEnd.accept(outcome);
        return;
      }
      statistics.recordRequest(firstDueMs, outcome, firm.id(), firm.plan(), units);
    }
  }

  /** One kept-alive connection to a door. */
  private final class DoorConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final Door door;
    private Channel channel;
    private Try current;
    private boolean reused;

    DoorConnection(Door door) {
      this.door = door;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
      channel = ctx.channel();
    }

    void send(Try clientTry) {
      current = clientTry;
      clientTry.connection = this;
      channel.writeAndFlush(clientTry.toHttpRequest()).addListener(f -> {
        if (f.isSuccess()) {
          eventHistory.addRequestEntry(Kind.ASKED, clientTry.id, door.name(), 0, reused ? "kept" : "");
        } else if (current == clientTry) {
          current = null;
          if (reused) {
            clientTry.onConnectionClosed(true);
          } else {
            clientTry.onWriteFailed();
          }
        }
      });
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
      Try answeredTry = current;
      current = null;
      reused = true;
      if (answeredTry == null) {
        throw new IllegalStateException(String.format(Locale.ROOT, "%s sent an answer without a request",
            door.name()));
      }
      if (HttpUtil.isKeepAlive(answer)) {
        idleConnections.computeIfAbsent(door, d -> new ArrayDeque<>()).addLast(this);
      } else {
        ctx.close();
      }
      answeredTry.onAnswer(answer);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      idleConnections.computeIfAbsent(door, d -> new ArrayDeque<>()).remove(this);
      Try cutTry = current;
      current = null;
      if (cutTry != null) {
        cutTry.onConnectionClosed(reused);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
