package willowdoor.testkit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import willowdoor.testkit.EventHistory.Kind;

/**
 * Stand-in of the discovery service, with a separate port for each door, so that it is known which door was
 * told what and when. A watch receives the complete list and then every change. When it hangs, connections
 * stay open and nothing is written.
 */
public final class StandInDiscovery {

  private static final long HEARTBEAT_MS = 2_000;

  /** One backend in the list; its state is active, leaving or left. */
  public record Listed(String id, InetSocketAddress address, String zone, String state, long startedMs) {
    String json() {
      return String.format(Locale.ROOT,
          "{\"id\":\"%s\",\"addr\":\"%s:%d\",\"zone\":\"%s\",\"kind\":\"k\",\"cell\":0,"
          + "\"state\":\"%s\",\"weight\":1.0,\"started_ms\":%d}", id, address.getAddress().getHostAddress(),
          address.getPort(), zone, state, startedMs);
    }

    Listed withState(String other) {
      return new Listed(id, address, zone, other, startedMs);
    }
  }

  private final EventLoopGroup group;
  private final EventHistory eventHistory;
  private final Map<String, Listed> list = new LinkedHashMap<>();
  private final Map<String, InetSocketAddress> agents = new ConcurrentHashMap<>();
  private final Map<Channel, String> watches = new HashMap<>();
  private final Map<String, Map<String, String>> statesByDoor = new HashMap<>();
  private long version = 1;
  private boolean hanging;

  public StandInDiscovery(EventLoopGroup group, EventHistory eventHistory) {
    this.group = group;
    this.eventHistory = eventHistory;
    group.next().scheduleWithFixedDelay(this::sendHeartbeats, HEARTBEAT_MS, HEARTBEAT_MS,
        TimeUnit.MILLISECONDS);
  }

  /** Address of the discovery agent for one door. */
  public InetSocketAddress agentOf(String door) {
    return agents.computeIfAbsent(door, name -> (InetSocketAddress) new ServerBootstrap().group(group)
        .channel(NioServerSocketChannel.class).childHandler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel ch) {
            ch.pipeline().addLast(new HttpServerCodec(), new AgentConnection(name));
          }
        }).bind("127.0.0.1", 0).syncUninterruptibly().channel().localAddress());
  }

  /** Adds, changes or removes a backend and sends the change to every watch. */
  public synchronized void publish(Listed backend) {
    if (backend.state().equals("left")) {
      list.remove(backend.id());
    } else {
      list.put(backend.id(), backend);
    }
    version++;
    if (!hanging) {
      watches.forEach((channel, door) -> sendChange(channel, door, false, List.of(backend)));
    }
  }

  /** Changes the state of a listed backend. */
  public synchronized void setState(String id, String state) {
    Listed known = list.get(id);
    if (known != null) {
      publish(known.withState(state));
    }
  }

  /** The list as JSON, in the form in which a door's configuration holds the known backends. */
  public synchronized String listJson() {
    return "{\"version\":" + version + ",\"full\":true,\"servers\":["
        + list.values().stream().map(Listed::json).collect(Collectors.joining(",")) + "]}";
  }

  /** The backends that are listed now. */
  public synchronized List<Listed> listed() {
    return new ArrayList<>(list.values());
  }

  /** When {@code on}, writes nothing on any watch; otherwise resumes by sending the complete list. */
  public synchronized void setHanging(boolean on) {
    hanging = on;
    if (!on) {
      watches.forEach((channel, door) -> sendChange(channel, door, true, listed()));
    }
  }

  /** Number of open watches. */
  public synchronized int watchCount() {
    return watches.size();
  }

  private synchronized void sendHeartbeats() {
    if (!hanging) {
      watches.keySet().forEach(c -> c.writeAndFlush(content("\n")));
    }
  }

  private static DefaultHttpContent content(String text) {
    return new DefaultHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
  }

  /** Sends the change, and records what the door was told once the write has succeeded. */
  private void sendChange(Channel channel, String door, boolean full, List<Listed> entries) {
    String json = "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":["
        + entries.stream().map(Listed::json).collect(Collectors.joining(",")) + "]}\n";
    channel.writeAndFlush(content(json)).addListener(f -> {
      if (f.isSuccess()) {
        recordStates(door, full, entries);
      }
    });
  }

  private synchronized void recordStates(String door, boolean full, List<Listed> entries) {
    Map<String, String> known = statesByDoor.computeIfAbsent(door, d -> new HashMap<>());
    for (Listed e : entries) {
      String last = known.put(e.id(), e.state());
      if (!e.state().equals(last)) {
        eventHistory.addMachineEntry(e.state().equals("active") ? Kind.TOLD_SERVING : Kind.TOLD_DRAIN, door,
            e.id());
      }
    }
    if (full) {
      List<String> named = entries.stream().map(Listed::id).toList();
      known.entrySet().stream().filter(e -> e.getValue().equals("active") && !named.contains(e.getKey()))
          .forEach(e -> {
            e.setValue("left");
            eventHistory.addMachineEntry(Kind.TOLD_DRAIN, door, e.getKey());
          });
    }
  }

  /** One connection of a door. */
  private final class AgentConnection extends SimpleChannelInboundHandler<Object> {
    private final String door;

    AgentConnection(String door) {
      super(false);
      this.door = door;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Object message) {
      boolean watch = message instanceof HttpRequest r && r.uri().contains("stream=1");
      boolean ask = message instanceof HttpRequest && !watch;
      ReferenceCountUtil.release(message);
      if (watch) {
        watch(ctx.channel());
      } else if (ask) {
        ByteBuf body = Unpooled.copiedBuffer(listJson(), StandardCharsets.US_ASCII);
        DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        head.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        ctx.write(head);
        ctx.write(new DefaultHttpContent(body));
        ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
      }
    }

    private void watch(Channel channel) {
      synchronized (StandInDiscovery.this) {
        watches.put(channel, door);
        DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        channel.writeAndFlush(head);
        if (!hanging) {
          sendChange(channel, door, true, listed());
        }
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      synchronized (StandInDiscovery.this) {
        watches.remove(ctx.channel());
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
