package willowdoor.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;
import willowdoor.memory.MemoryBudget;
import willowdoor.policy.GatewayApi.BackendEntry;
import willowdoor.policy.GatewayApi.Phase;
import willowdoor.policy.GatewayApi.Plan;
import willowdoor.policy.GatewayApi.Repeat;
import willowdoor.policy.GatewayApi.RequestClass;
import willowdoor.policy.QuotaPolicy;

/**
 * Sends made-up requests through a separate front door without sockets, so that the code is loaded and
 * compiled before the first client connects. Guards against a slow first phase of service where CPU is short:
 * a request through cold code needs about ten times the CPU. Drawback: the start takes longer, by the time
 * limit at most, and a restarted door is missing for that long.
 */
final class WarmUp {

  private static final Logger LOG = Logger.getLogger(WarmUp.class.getName());
  /** Twice the 200 calls after which the compiler compiles a method. */
  static final int MAX_REQUESTS = 400;
  /** Maximum time that a start is extended by, in milliseconds: a restarted door is missing for that long. */
  static final double TIME_LIMIT_MS = 700;
  /**
   * The same for a process that starts beside one that serves: that one still takes the clients, the new
   * process gets all of them at once, and it must report itself ready within 6 s.
   */
  static final int MAX_REQUESTS_SECOND_PROCESS = 4_000;
  static final double TIME_LIMIT_SECOND_PROCESS_MS = 2_500;
  private static final int BACKENDS = 8;
  private static final int CUSTOMERS = 50;
  private static final int REQUESTS_PER_CONNECTION = 10;

  private final Config config;
  private final Clock clock = new Clock();
  /** Runs the tasks of the loop, on which nothing runs by itself; nothing keeps it alive afterwards. */
  private final EmbeddedChannel loopRunner = new EmbeddedChannel();
  private final EventLoop loop = loopRunner.eventLoop();
  private final List<EmbeddedChannel> backends = new ArrayList<>();
  private final List<EmbeddedChannel> counters = new ArrayList<>();
  private int served;

  WarmUp(Config config) {
    this.config = config;
  }

  /** Warms up until the time limit at the latest; returns the number of requests served. */
  int run(double limitMs) {
    return run(limitMs, MAX_REQUESTS);
  }

  /** Like {@link #run(double)}, with a maximum number of requests. */
  int run(double limitMs, int requests) {
    try {
      sendRequests(clock.now() + limitMs, requests);
    } catch (RuntimeException e) {
      LOG.log(Level.WARNING, "warm-up failed", e);
    }
    return served;
  }

  private void sendRequests(double untilMs, int requests) {
    ConnectionBudget budget = new ConnectionBudget(Integer.MAX_VALUE / 2);
    MemoryBudget memory = new MemoryBudget(config.limits().memoryPoolBytes());
    BackendPool pool = new BackendPool(loop, clock, (address, handler) -> open(backends, handler),
        config.idleTimeoutMs(), budget, memory);
    ModuleDriver driver = new ModuleDriver(loop, clock, new QuotaPolicy(config.settings(), 1), pool, memory);
    ClientServer clients = new ClientServer(loop, clock, driver, pool, new RequestReader(config.settings()),
        memory, budget);
    CounterClient counter = new CounterClient(loop, clock, (address, handler) -> open(counters, handler),
        config.discovery(), config.settings().capabilities().counterTimeoutMs(), driver::counted);
    counter.start();
    driver.start(counter, roster());
    for (int i = 0; i < requests && clock.now() < untilMs; i += REQUESTS_PER_CONNECTION) {
      EmbeddedChannel client = new EmbeddedChannel(new ChannelInitializer<Channel>() {
        @Override
        protected void initChannel(Channel channel) {
          clients.adopt(channel);
        }
      });
      for (int k = 0; k < REQUESTS_PER_CONNECTION; k++) {
        client.writeInbound(text(request(i + k)));
        answerPending(counters, "ok 1\r\n");
        loopRunner.runPendingTasks();
        answerPending(backends, "HTTP/1.1 200 OK\r\nX-Units-Charged: 1\r\nContent-Length: 4\r\n\r\nfine");
        ByteBuf answered = client.readOutbound();
        served += answered != null && answered.toString(StandardCharsets.US_ASCII).startsWith("HTTP/1.1 200")
            ? 1 : 0;
        client.releaseOutbound();
        if (answered != null) {
          answered.release();
        }
      }
      client.close();
    }
    backends.forEach(Channel::close);
    counters.forEach(Channel::close);
  }

  private static ChannelFuture open(List<EmbeddedChannel> channels, ChannelHandler handler) {
    EmbeddedChannel channel = new EmbeddedChannel(handler);
    channels.add(channel);
    return channel.newSucceededFuture();
  }

  /** Answers on each connection on which something was sent. */
  private static void answerPending(List<EmbeddedChannel> channels, String response) {
    for (EmbeddedChannel channel : List.copyOf(channels)) {
      if (channel.releaseOutbound()) {
        channel.writeInbound(text(response));
      }
    }
    channels.removeIf(channel -> !channel.isActive());
  }

  private static ByteBuf text(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
  }

  private static EndpointUpdate roster() {
    List<BackendEntry> entries = new ArrayList<>();
    Map<Long, InetSocketAddress> addresses = new HashMap<>();
    for (long id = 1; id <= BACKENDS; id++) {
      entries.add(new BackendEntry(id, id % 2 == 0 ? "a" : "b", 0, Phase.SERVING, 1, 0));
      addresses.put(id, InetSocketAddress.createUnresolved("backend-" + id, 1));
    }
    return new EndpointUpdate(1, true, entries, addresses);
  }

  private String request(int number) {
    List<RequestClass> classes = config.settings().classes();
    List<Plan> plans = config.settings().plans();
    RequestClass requestClass = classes.get(number % classes.size());
    Plan plan = plans.get(number / classes.size() % plans.size());
    boolean safe = requestClass.repeat() == Repeat.SAFE;
    return (safe ? "GET /" : "POST /") + requestClass.name()
        + "/1 HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: w"
        + number + "\r\nRequest-Class: " + requestClass.name() + "\r\nX-Plan: " + plan.name()
        + "\r\nX-Customer: "
        + String.format("%016x", number % CUSTOMERS) + "\r\nRequest-Timeout-Ms: "
        + (long) Math.max(1, requestClass.deadlineMs()) + "\r\nIdempotency-Key: w" + number
        + "\r\nX-Quota: units=1,spread=1,first=0" + (safe ? "" : "\r\nContent-Length: 4") + "\r\n\r\n"
        + (safe ? "" : "body");
  }
}
