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
import willowdoor.testkit.Ledger.Asked;
import willowdoor.testkit.Ledger.Kind;
import willowdoor.testkit.Tally.End;

/**
 * The members' purchasing systems: firms that ask at their own pace (a seeded Poisson stream over all), over
 * kept connections to the doors of each firm's set, with up to two retries after a wait. A try that was cut
 * on a kept connection with nothing answered goes out once more on a new one, as the protocol allows. All on
 * one event loop; at most {@value #MOST_OUT} tries are out, beyond which no new one is begun and that is
 * counted.
 */
public final class ClientFleet {

  private static final int MOST_OUT = 20_000;
  private static final int RETRIES = 2;
  private static final double LEAST_SHARE_OF_DEADLINE = 0.5;
  private static final double BUY_SHARE = 0.3;
  private static final double TRANSFER_SHARE = 0.05;
  private static final double BACKOFF_MS = 50;
  private static final int BODY_BYTES = 200;
  private static final long ASK_AGAIN_MS = 300;

  /**
   * What the fleet asks: this many requests a second over so many firms, a part of them heavy.
   *
   * @param uneven most of a firm's requests come through one or two doors of its set, and these change every
   *     {@value #BUSIEST_MS} ms
   */
  public record Load(double requestsPerSecond, int firms, double heavyShare, double heavyTimes,
      int mostSpread, boolean uneven) {

    public Load(double requestsPerSecond, int firms, double heavyShare, double heavyTimes, int mostSpread) {
      this(requestsPerSecond, firms, heavyShare, heavyTimes, mostSpread, false);
    }
  }

  private static final long BUSIEST_MS = 15_000;

  private record Firm(String id, String plan, int first, int spread, double weight) { }

  private final EventLoop loop;
  private final Ledger ledger;
  private final Terms terms;
  private final Front front;
  private final Load load;
  private final Random random;
  private final Tally tally = new Tally();
  private final List<Firm> firms = new ArrayList<>();
  private final double allWeight;
  private final Map<Door, ArrayDeque<Link>> idle = new HashMap<>();
  private double nextDueMs;
  private final AtomicInteger out = new AtomicInteger();
  private final AtomicLong sent = new AtomicLong();
  private final AtomicInteger unserved = new AtomicInteger();
  private final AtomicLong skipped = new AtomicLong();
  private volatile boolean running;

  public ClientFleet(EventLoop loop, Ledger ledger, Terms terms, List<? extends Door> doors, Load load,
      long seed) {
    this.loop = loop;
    this.ledger = ledger;
    this.terms = terms;
    this.front = new Front(loop, doors);
    this.load = load;
    this.random = new Random(seed);
    double weights = 0;
    for (int i = 0; i < load.firms(); i++) {
      boolean heavy = random.nextDouble() < load.heavyShare();
      int spread = Math.min(doors.size(), 2 + random.nextInt(Math.max(1, load.mostSpread() - 1)));
      Firm f = new Firm(String.format("%016x", 0x1000L + i), plan(i).name(),
          random.nextInt(doors.size()), spread, heavy ? load.heavyTimes() : 1);
      firms.add(f);
      weights += f.weight();
    }
    allWeight = weights;
  }

  /** Every third firm has the first plan, all others have the second. */
  private Terms.PlanTerms plan(int firm) {
    return terms.plans().get(firm % 3 == 0 ? 0 : Math.min(1, terms.plans().size() - 1));
  }

  /** Its figures so far. */
  public Tally tally() {
    return tally;
  }

  /** Tries sent so far. */
  public long sent() {
    return sent.get();
  }

  /** Tries that were due and not begun, as too many were out. */
  public long skipped() {
    return skipped.get();
  }

  /** Tries without their end yet. */
  public int out() {
    return out.get();
  }

  /** Doors that take requests now. */
  public int doorsUp() {
    return front.up();
  }

  public boolean up(int door) {
    return front.up(door);
  }

  /** Begins to ask. */
  public void begin() {
    running = true;
    loop.execute(() -> {
      nextDueMs = ledger.now();
      tick();
    });
  }

  /**
   * Has the first firm ask as often beside its share of the load, by so many clients, each of which names
   * itself; one that is told when to come back asks the same door then.
   */
  public void flood(double perSecond, int clients) {
    loop.execute(() -> flood(perSecond, clients, ledger.now()));
  }

  private void flood(double perSecond, int clients, double from) {
    double due = from;
    while (running && due <= ledger.now()) {
      if (out.get() >= MOST_OUT) {
        skipped.incrementAndGet();
      } else {
        Try t = new Try(firms.get(0), RequestKind.QUOTE, units(), terms.deadlineMs(), null, 0, ledger.now());
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
    return Math.min(Terms.MOST_UNITS, 1 + (int) (-Math.log(1 - random.nextDouble()) * 1.2));
  }

  /** Asks nothing new; what is out runs to its end. */
  public void end() {
    running = false;
  }

  /**
   * Has every firm ask for one unit, again and again until it is served. A door settles what a firm's
   * requests
   * truly cost with the firm's next request.
   */
  public void askOnceEach() {
    loop.execute(() -> {
      unserved.set(firms.size());
      for (int i = 0; i < firms.size(); i++) {
        Firm firm = firms.get(i);
        loop.schedule(() -> askOnce(firm), 2L * i, TimeUnit.MILLISECONDS);
      }
    });
  }

  /** Firms that have not been served since then. */
  public int unserved() {
    return unserved.get();
  }

  /** The firms' identifiers. */
  public List<String> firms() {
    return firms.stream().map(Firm::id).toList();
  }

  private void askOnce(Firm firm) {
    Try t = new Try(firm, RequestKind.QUOTE, 1, terms.deadlineMs(), null, RETRIES, ledger.now());
    t.whenEnded = how -> {
      if (how == End.SERVED) {
        unserved.decrementAndGet();
      } else {
        loop.schedule(() -> askOnce(firm), ASK_AGAIN_MS, TimeUnit.MILLISECONDS);
      }
    };
    t.start();
  }

  /** Ends its looks at the doors too. */
  public void close() {
    end();
    front.stop();
    loop.submit(() -> idle.values().forEach(q -> q.forEach(l -> l.channel.close()))).syncUninterruptibly();
  }

  private void tick() {
    double now = ledger.now();
    while (running && nextDueMs <= now) {
      if (out.get() >= MOST_OUT) {
        skipped.incrementAndGet();
      } else {
        Firm firm = drawFirm();
        RequestKind kind = drawKind();
        int units = units();
        double timeout = terms.deadlineMs()
            * (LEAST_SHARE_OF_DEADLINE + random.nextDouble() * (1 - LEAST_SHARE_OF_DEADLINE));
        String key = kind.keyed() ? String.format("%016x%016x", random.nextLong(), random.nextLong()) : null;
        new Try(firm, kind, units, Math.floor(timeout), key, 0, now).start();
      }
      nextDueMs += -Math.log(1 - random.nextDouble()) * 1000 / load.requestsPerSecond();
    }
    if (running) {
      loop.schedule(this::tick, 1, TimeUnit.MILLISECONDS);
    }
  }

  private RequestKind drawKind() {
    double at = random.nextDouble();
    return at < BUY_SHARE ? RequestKind.BUY : at < BUY_SHARE + TRANSFER_SHARE ? RequestKind.TRANSFER
        : RequestKind.QUOTE;
  }

  private Firm drawFirm() {
    double at = random.nextDouble() * allWeight;
    for (Firm f : firms) {
      at -= f.weight();
      if (at <= 0) {
        return f;
      }
    }
    return firms.get(firms.size() - 1);
  }

  /** Which door of the set is tried first. */
  private int offset(Firm f) {
    if (!load.uneven()) {
      return random.nextInt(f.spread());
    }
    // A firm's busiest doors follow from its number and the span of time.
    Random busiest = new Random(31 * f.id().hashCode() + (long) (ledger.now() / BUSIEST_MS +
        (f.id().hashCode() & 15) / 16.0));
    double[] weights = new double[f.spread()];
    double sum = 0;
    for (int i = 0; i < weights.length; i++) {
      weights[i] = Math.pow(busiest.nextDouble(), 3);
      sum += weights[i];
    }
    double at = random.nextDouble() * sum;
    int i = 0;
    while (i < weights.length - 1 && at >= weights[i]) {
      at -= weights[i++];
    }
    return i;
  }

  /** One try of a client, from its being due to its end. */
  private final class Try {
    private final Firm firm;
    private final RequestKind kind;
    private final int units;
    private final double timeoutMs;
    private final String key;
    private final int number;
    private final String id = String.format("%016x", random.nextLong());
    private final double dueMs = ledger.now();
    private final double firstDueMs;
    private Door door;
    private Link link;
    /** Which of a flooding firm's clients this is; 0 is any. */
    private int client;
    /** Where it was told to come back now; null where it was not. */
    private Door told;
    private boolean again;
    private boolean ended;
    private Future<?> timer;
    private Consumer<End> whenEnded;

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
      out.incrementAndGet();
      sent.incrementAndGet();
      door = told != null ? told : front.choose(firm.first(), firm.spread(), offset(firm));
      if (door == null) {
        end(End.NO_DOOR, 0);
        return;
      }
      ledger.open(new Asked(id, firm.id(), firm.plan(), kind, key, units, timeoutMs, number, dueMs));
      timer = loop.schedule(() -> {
        if (!ended) {
          ledger.request(Kind.GAVE_UP, id, door.name(), 0, "");
          Link used = link;
          end(End.UNANSWERED, 0);
          if (used != null) {
            used.channel.close();
          }
        }
      }, (long) timeoutMs + 1, TimeUnit.MILLISECONDS);
      ask();
    }

    private void ask() {
      ArrayDeque<Link> kept = idle.computeIfAbsent(door, d -> new ArrayDeque<>());
      Link free = again ? null : kept.pollLast();
      while (free != null && !free.channel.isActive()) {
        free = kept.pollLast();
      }
      if (free != null) {
        free.carry(this);
      } else {
        connect();
      }
    }

    private void connect() {
      Link fresh = new Link(door);
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
              fresh.carry(this);
            } else {
              ledger.request(Kind.NOT_TAKEN, id, door.name(), 0, String.valueOf(f.cause().getMessage()));
              end(End.NOT_TAKEN, 0);
            }
          });
    }

    private DefaultFullHttpRequest message() {
      boolean post = kind.method().equals("POST");
      ByteBuf body = post ? Unpooled.copiedBuffer("x".repeat(BODY_BYTES), StandardCharsets.US_ASCII)
          : Unpooled.EMPTY_BUFFER;
      DefaultFullHttpRequest m = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
          HttpMethod.valueOf(kind.method()),
          "/" + kind.className() + "/" + number, body);
      double left = Math.max(1, dueMs + timeoutMs - ledger.now());
      m.headers().set("Host", Front.host(door.address())).set("Request-Id", id)
          .set("Request-Class", kind.className()).set("X-Plan", firm.plan()).set("X-Customer", firm.id())
          .set("Request-Timeout-Ms", (long) Math.ceil(left))
          .set("X-Quota", "units=" + units + ",spread=" + firm.spread() + ",first=" + firm.first());
      if (client > 0) {
        m.headers().set("X-Client", client);
      }
      if (post) {
        m.headers().set("Content-Length", BODY_BYTES);
      }
      if (key != null) {
        m.headers().set("Idempotency-Key", key);
      }
      if (number > 0) {
        m.headers().set("Client-Retry", "1");
      }
      return m;
    }

    void answered(FullHttpResponse answer) {
      int status = answer.status().code();
      if (ended) {
        ledger.request(Kind.ANSWERED, id, door.name(), status, "after its end");
        return;
      }
      ledger.request(Kind.ANSWERED, id, door.name(), status, "");
      if (status == 200 && !answer.content().toString(StandardCharsets.US_ASCII).startsWith("made for " + id
          + " by")) {
        ledger.request(Kind.FORGED, id, door.name(), 0, "");
      }
      double wait = 0;
      String advice = answer.headers().get("Retry-After");
      if (advice != null) {
        wait = Double.parseDouble(advice) * 1000;
      }
      end(status == 200 ? End.SERVED : status == 429 || status == 503 ? End.REFUSED : End.FAILED, wait);
    }

    void cut(boolean kept) {
      if (ended) {
        return;
      }
      ledger.request(Kind.CUT, id, door.name(), 0, kept ? "kept" : "");
      link = null;
      if (kept && !again) {
        again = true;
        ask();
      } else {
        end(End.UNANSWERED, 0);
      }
    }

    void notWritten() {
      if (!ended) {
        ledger.request(Kind.NOT_TAKEN, id, door.name(), 0, "not written whole");
        end(End.NOT_TAKEN, 0);
      }
    }

    private void end(End how, double adviceMs) {
      ended = true;
      out.decrementAndGet();
      if (timer != null) {
        timer.cancel(false);
      }
      tally.tried(dueMs, how, ledger.now() - dueMs, firm.id(), firm.plan(), units);
      if (told != null) {
        tally.returned(firm.id(), firm.plan(), how);
      }
      if (how != End.SERVED && number < RETRIES && running) {
        double wait = Math.max(adviceMs, BACKOFF_MS * (1 << number) * (0.5 + random.nextDouble()));
        loop.schedule(() -> {
          if (running) {
            Try next = new Try(firm, kind, units, timeoutMs, key, number + 1, firstDueMs);
            next.client = client;
            next.told = client > 0 && adviceMs > 0 && wait == adviceMs ? door : null;
            next.start();
          } else {
            lastEnded(how);
          }
        }, (long) wait, TimeUnit.MILLISECONDS);
      } else {
        lastEnded(how);
      }
    }

    private void lastEnded(End how) {
      if (whenEnded != null) {
        whenEnded.accept(how);
        return;
      }
      tally.request(firstDueMs, how, firm.id(), firm.plan(), units);
    }
  }

  /** One kept connection to a door. */
  private final class Link extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final Door door;
    private Channel channel;
    private Try current;
    private boolean kept;

    Link(Door door) {
      this.door = door;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
      channel = ctx.channel();
    }

    void carry(Try t) {
      current = t;
      t.link = this;
      channel.writeAndFlush(t.message()).addListener(f -> {
        if (f.isSuccess()) {
          ledger.request(Kind.ASKED, t.id, door.name(), 0, kept ? "kept" : "");
        } else if (current == t) {
          current = null;
          if (kept) {
            t.cut(true);
          } else {
            t.notWritten();
          }
        }
      });
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
      Try t = current;
      current = null;
      kept = true;
      if (t == null) {
        throw new IllegalStateException(String.format(Locale.ROOT, "%s answered unasked", door.name()));
      }
      if (HttpUtil.isKeepAlive(answer)) {
        idle.computeIfAbsent(door, d -> new ArrayDeque<>()).addLast(this);
      } else {
        ctx.close();
      }
      t.answered(answer);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      idle.computeIfAbsent(door, d -> new ArrayDeque<>()).remove(this);
      Try t = current;
      current = null;
      if (t != null) {
        t.cut(kept);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
