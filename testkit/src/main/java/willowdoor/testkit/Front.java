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
 * What stands before the doors: asks each for {@code GET /up} at a steady pace and deals requests among those
 * that answer 200. A dead door is noticed late, as in service: after so many failed looks in a row.
 */
final class Front {

  private static final long LOOK_MS = 200;
  private static final int LOOKS_TO_NOTICE = 4;
  private static final long LOOK_LIMIT_MS = 1_000;

  /** What it knows of one door. */
  private final class Place {
    private final Door door;
    private volatile boolean up;
    private int failed;
    private boolean looking;

    Place(Door door) {
      this.door = door;
    }

    private void look() {
      if (looking || stopped) {
        return;
      }
      looking = true;
      AtomicBoolean answered = new AtomicBoolean();
      ChannelFuture f = new Bootstrap().group(loop).channel(NioSocketChannel.class)
          .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) LOOK_LIMIT_MS)
          .handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel ch) {
              ch.pipeline().addLast(new ReadTimeoutHandler(LOOK_LIMIT_MS, TimeUnit.MILLISECONDS),
                  new HttpClientCodec(), new SimpleChannelInboundHandler<Object>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, Object part) {
                      if (part instanceof HttpResponse r && answered.compareAndSet(false, true)) {
                        told(r.status().code() == 200);
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
      f.addListener((ChannelFuture c) -> {
        if (c.isSuccess()) {
          DefaultFullHttpRequest up = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/up");
          up.headers().set("Host", "door").set("Connection", "close");
          c.channel().writeAndFlush(up);
        }
      });
      f.channel().closeFuture().addListener(c -> {
        looking = false;
        if (!answered.get() && ++failed >= LOOKS_TO_NOTICE) {
          up = false;
        }
      });
    }

    private void told(boolean well) {
      failed = 0;
      up = well;
    }
  }

  private final EventLoop loop;
  private final List<Place> places = new ArrayList<>();
  private volatile boolean stopped;

  Front(EventLoop loop, List<? extends Door> doors) {
    this.loop = loop;
    doors.forEach(d -> places.add(new Place(d)));
    loop.scheduleWithFixedDelay(() -> places.forEach(Place::look), 0, LOOK_MS, TimeUnit.MILLISECONDS);
  }

  void stop() {
    stopped = true;
  }

  /** How many doors it deals to now. */
  int up() {
    return (int) places.stream().filter(p -> p.up).count();
  }

  boolean up(int door) {
    return places.get(door).up;
  }

  /** The door of the set at that offset, or the next one that it holds for up, or null. */
  Door choose(int first, int spread, int offset) {
    for (int i = 0; i < spread; i++) {
      Place p = places.get((first + (offset + i) % spread) % places.size());
      if (p.up) {
        return p.door;
      }
    }
    return null;
  }

  static String host(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ':' + address.getPort();
  }
}
