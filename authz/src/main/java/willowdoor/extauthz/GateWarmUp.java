package willowdoor.extauthz;

import io.envoyproxy.envoy.config.core.v3.HeaderValue;
import io.envoyproxy.envoy.config.core.v3.HeaderValueOption;
import io.envoyproxy.envoy.service.auth.v3.AuthorizationGrpc;
import io.envoyproxy.envoy.service.auth.v3.CheckRequest;
import io.envoyproxy.envoy.service.auth.v3.CheckResponse;
import io.envoyproxy.envoy.service.auth.v3.DeniedHttpResponse;
import io.envoyproxy.envoy.service.auth.v3.OkHttpResponse;
import io.grpc.Server;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.StreamObserver;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalIoHandler;
import io.netty.channel.local.LocalServerChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Level;
import java.util.logging.Logger;
import willowdoor.authz.AuthzSettings;
import willowdoor.authz.AuthzSettings.Authoriser;
import willowdoor.authz.AuthzSettings.Choice;
import willowdoor.authz.AuthzSettings.WeightedAuthoriser;
import willowdoor.authz.AuthzSettings.Health;
import willowdoor.authz.AuthzSettings.Member;
import willowdoor.extauthz.ExtAuthzSettings.AnswerBounds;
import willowdoor.extauthz.ExtAuthzSettings.Content;
import willowdoor.extauthz.ExtAuthzSettings.Link;
import willowdoor.net.RequestFilter;
import willowdoor.policy.GatewayApi.Request;

/**
 * Sends made-up requests through a gate of its own, whose authoriser answers on in-memory channels. Without
 * the warm-up, the first real checks would load gRPC and protobuf and block the door's event loop for more
 * than a second, with all other requests. Runs on an event loop of its own, limited in time and number.
 */
final class GateWarmUp {

  private static final Logger LOG = Logger.getLogger(GateWarmUp.class.getName());
  /**
   * These loggers warn that in-memory channels lack the TCP options that gRPC sets on every channel. The list
   * keeps the loggers, and so their levels, from garbage collection.
   */
  private static final List<Logger> BOOTSTRAPS = List.of(Logger.getLogger("io.netty.bootstrap.Bootstrap"),
      Logger.getLogger("io.netty.bootstrap.ServerBootstrap"));
  private static final int MAX_CHECKS = 4_000;
  private static final int CONCURRENT_CHECKS = 8;
  private static final double CHECK_TIMEOUT_MS = 10_000;

  private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, LocalIoHandler.newFactory());
  private final AtomicInteger begun = new AtomicInteger();
  private final CountDownLatch done = new CountDownLatch(CONCURRENT_CHECKS);
  private final long untilNanos;
  private ExtAuthzGate gate;

  private GateWarmUp(long limitMs) {
    untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMs);
  }

  /**
   * Runs the warm-up for {@code limitMs} at most, on a thread that may block. Returns the approximate number
   * of requests that went through.
   */
  static int run(long limitMs) {
    GateWarmUp warmUp = new GateWarmUp(limitMs);
    BOOTSTRAPS.forEach(l -> l.setLevel(Level.SEVERE));
    try {
      return warmUp.go(limitMs);
    } catch (IOException e) {
      LOG.warning("the authorisation warm-up failed: " + e.getMessage());
      return 0;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return 0;
    } finally {
      BOOTSTRAPS.forEach(l -> l.setLevel(null));
      warmUp.group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }
  }

  private int go(long limitMs) throws IOException, InterruptedException {
    LocalAddress address = new LocalAddress(GateWarmUp.class);
    Server server = NettyServerBuilder.forAddress(address).channelType(LocalServerChannel.class)
        .bossEventLoopGroup(group).workerEventLoopGroup(group).directExecutor()
        .addService(new LocalAuthoriser())
        .build().start();
    gate = ExtAuthzGate.open(settings(address), "warm-up", group, LocalChannel.class, GateWarmUp::now, 1);
    try {
      for (int i = 0; i < CONCURRENT_CHECKS; i++) {
        group.next().execute(this::next);
      }
      done.await(limitMs, TimeUnit.MILLISECONDS);
      return begun.get();
    } finally {
      gate.close();
      server.shutdownNow();
    }
  }

  private static double now() {
    return System.nanoTime() / 1e6;
  }

  private static ExtAuthzSettings settings(LocalAddress address) {
    Member member = new Member("made-up", List.of(), Set.of(), Set.of("made-up"),
        List.of(new WeightedAuthoriser(0, 1)), Choice.ORDER, CHECK_TIMEOUT_MS, 0.1, false, Set.of(), 0, 1);
    return new ExtAuthzSettings(new AuthzSettings(List.of(new Authoriser("made-up", 1_000, 1 << 20)),
        List.of(member), new Health(1_000, 1, 1, 1, 0)), List.of(new Link("made-up", address, null, 60_000,
        10_000)), List.of(new Content(List.of("content-type"), 100)), new AnswerBounds(65_536, 32, 8_192,
        4_096), null, 0);
  }

  private void next() {
    int number = begun.getAndIncrement();
    if (number >= MAX_CHECKS || System.nanoTime() > untilNanos) {
      done.countDown();
      return;
    }
    HttpHeaders headers = new DefaultHttpHeaders().set("content-type", "text/plain");
    FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/made-up/1",
        Unpooled.wrappedBuffer(new byte[50]), headers, new DefaultHttpHeaders());
    Request request = new Request("made-up-" + number, "made-up", "made-up", number, 1, 1,
        now() + CHECK_TIMEOUT_MS);
    RequestFilter.FilteredRequest[] entry = new RequestFilter.FilteredRequest[1];
    entry[0] = gate
        .filter(request, message, new RequestFilter.Origin(headers, null), new RequestFilter.Continuation() {
      @Override
      public void proceed(HttpHeaders forClient) {
        end(RequestFilter.RequestEnd.SERVED);
      }

      @Override
      public void answer(FullHttpResponse answer) {
        answer.release();
        end(RequestFilter.RequestEnd.ANSWERED_HERE);
      }

      @Override
      public void refuse(double comeBackMs) {
        end(RequestFilter.RequestEnd.REFUSED);
      }

      private void end(RequestFilter.RequestEnd how) {
        group.next().execute(() -> {
          entry[0].onEnd(how);
          next();
        });
      }
    });
  }

  /** An authoriser that allows most requests and denies every eighth. */
  private static final class LocalAuthoriser extends AuthorizationGrpc.AuthorizationImplBase {
    private int asked;

    @Override
    public void check(CheckRequest request, StreamObserver<CheckResponse> answers) {
      answers.onNext(++asked % 8 == 0 ? CheckResponse.newBuilder()
          .setStatus(com.google.rpc.Status.newBuilder().setCode(7))
          .setDeniedResponse(DeniedHttpResponse.newBuilder().setBody("no")).build()
          : CheckResponse.newBuilder().setOkResponse(OkHttpResponse.newBuilder().addHeaders(
              HeaderValueOption.newBuilder().setHeader(HeaderValue.newBuilder().setKey("x-made").setValue(
                  "up")))).build());
      answers.onCompleted();
    }
  }
}
