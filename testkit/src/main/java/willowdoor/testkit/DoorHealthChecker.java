package willowdoor.testkit;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Load balancer stand-in in front of the doors: sends {@code GET /up} to each door at a fixed interval and
 * distributes requests among the doors that answer 200. As in service, a dead door is detected late, after
 * {@value #FAILURES_TO_MARK_DOWN} failed checks in a row.
 */
final class DoorHealthChecker {

  private static final long CHECK_INTERVAL_MS = 200;
  private static final int FAILURES_TO_MARK_DOWN = 4;
  private static final long CHECK_TIMEOUT_MS = 1_000;

  /** Health of one door. */
  private final class DoorStatus {
    private final Door door;
    private volatile boolean up;
    private int consecutiveFailures;
    private boolean checking;

    DoorStatus(Door door) {
      this.door = door;
    }

    private void check() {
      if (checking || stopped) {
        return;
      }
      checking = true;
      AtomicBoolean answered = new AtomicBoolean();
      ChannelFuture connecting = new Bootstrap().group(loop).channel(NioSocketChannel.class)
          .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CHECK_TIMEOUT_MS)
          .handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel ch) {
              ch.pipeline().addLast(new ReadTimeoutHandler(CHECK_TIMEOUT_MS, TimeUnit.MILLISECONDS),
                  new HttpClientCodec(), new SimpleChannelInboundHandler<Object>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, Object part) {
                      if (part instanceof HttpResponse r && answered.compareAndSet(false, true)) {
                        onResult(r.status().code() == 200);
                        ctx.close();
                      }
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                      ctx.close();
                    }
                  });
            }
          }).connect(door.address());
      connecting.addListener((ChannelFuture c) -> {
        if (c.isSuccess()) {
          DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
              "/up");
          request.headers().set("Host", "door").set("Connection", "close");
          c.channel().writeAndFlush(request);
        }
      });
      connecting.channel().closeFuture().addListener(c -> {
        checking = false;
        if (!answered.get() && ++consecutiveFailures >= FAILURES_TO_MARK_DOWN) {
          up = false;
        }
      });
    }

    private void onResult(boolean healthy) {
      consecutiveFailures = 0;
      up = healthy;
    }
  }

  private final EventLoop loop;
  private final List<DoorStatus> statuses = new ArrayList<>();
  private volatile boolean stopped;

  DoorHealthChecker(EventLoop loop, List<? extends Door> doors) {
    this.loop = loop;
    doors.forEach(d -> statuses.add(new DoorStatus(d)));
    loop.scheduleWithFixedDelay(() -> statuses.forEach(DoorStatus::check), 0, CHECK_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
  }

  void stop() {
    stopped = true;
  }

  /** Number of doors that currently receive requests. */
  int up() {
    return (int) statuses.stream().filter(p -> p.up).count();
  }

  boolean up(int door) {
    return statuses.get(door).up;
  }

  /** Chooses the door of the set at the given offset, or the next one that is up; null when none is. */
  Door choose(int first, int spread, int offset) {
    for (int i = 0; i < spread; i++) {
      DoorStatus status = statuses.get((first + (offset + i) % spread) % statuses.size());
      if (status.up) {
        return status.door;
      }
    }
    return null;
  }

  static String hostAndPort(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ':' + address.getPort();
  }
}
