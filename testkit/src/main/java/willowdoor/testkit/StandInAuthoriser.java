package willowdoor.testkit;

import com.google.protobuf.InvalidProtocolBufferException;
import io.envoyproxy.envoy.service.auth.v3.AttributeContext;
import io.envoyproxy.envoy.service.auth.v3.CheckRequest;
import io.envoyproxy.envoy.service.auth.v3.CheckResponse;
import io.envoyproxy.envoy.service.auth.v3.DeniedHttpResponse;
import io.envoyproxy.envoy.type.v3.HttpStatus;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http2.DefaultHttp2DataFrame;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.DefaultHttp2HeadersFrame;
import io.netty.handler.codec.http2.DefaultHttp2ResetFrame;
import io.netty.handler.codec.http2.Http2DataFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2FrameCodec;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2HeadersFrame;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.handler.codec.http2.Http2StreamChannel;
import io.netty.handler.codec.http2.Http2StreamFrame;
import io.netty.handler.ssl.SslContext;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.logging.Level;
import java.util.logging.Logger;
import willowdoor.testkit.EventHistory.Kind;

/**
 * A scripted authoriser: {@code envoy.service.auth.v3.Authorization/Check} on HTTP/2 frames, so that it can
 * violate the protocol in ways that a gRPC server can't. Records each complete check, and each answer before
 * it is written. Runs on one event loop.
 */
public final class StandInAuthoriser {

  /** How a check is handled. */
  public enum Behaviour {
    ALLOWS,
    DENIES,
    /** Allows and denies alternately. */
    FLIPS,
    /** Never answers. */
    STALLS,
    /** Allows after the time set by {@link #setDelay}. */
    LATE,
    /** Resets the stream after receiving the check. */
    RESETS,
    /** Refuses the stream before processing it (REFUSED_STREAM, RFC 9113, section 8.7). */
    REFUSES_STREAMS,
    /** Sends GOAWAY with each check and still answers the check. */
    GOES_AWAY,
    /** Sends a GOAWAY whose last stream id excludes the check, and closes the connection. */
    GOES_AWAY_UNSEEN,
    /** Resets the connection after receiving the check. */
    DIES,
    /** Answers with bytes that are not a valid message. */
    SPOILS,
    /** Answers with a message of 1 MiB. */
    OVERSIZED,
    /** Writes two allows in one call. */
    ANSWERS_TWICE,
    /** Ends the call with the gRPC status UNAVAILABLE. */
    UNAVAILABLE
  }

  /**
   * Kept in a field because the JDK drops a logger, and its level, when nothing refers to it. The level hides
   * messages about frames after a GOAWAY, which are expected here.
   */
  private static final Logger DECODER_LOG = Logger.getLogger(
      "io.netty.handler.codec.http2.DefaultHttp2ConnectionDecoder");
  private static final int MAX_CHECK_BYTES = 1 << 20;
  private static final int MAX_KEPT_CHECKS = 1_000;
  private static final int UNAVAILABLE_CODE = 14;
  private static final int PERMISSION_DENIED = 7;

  private final String name;
  private final EventLoop loop;
  private final EventHistory eventHistory;
  private final Http2Settings http2Settings;
  private final SslContext tls;
  private final ChannelGroup openConnections;
  private final Queue<CheckRequest> receivedChecks = new ConcurrentLinkedQueue<>();
  private final AtomicInteger checks = new AtomicInteger();
  private final AtomicInteger connections = new AtomicInteger();
  private final AtomicInteger abandoned = new AtomicInteger();
  private volatile Behaviour behaviour = Behaviour.ALLOWS;
  private volatile long delayMs;
  private volatile Function<CheckRequest, CheckResponse> script;
  private Channel serverChannel;
  private InetSocketAddress address;
  private boolean flipped;
  private boolean alive;

  /** Listens on a free loopback port; {@code settings} are announced to clients, {@code tls} may be null. */
  public StandInAuthoriser(String name, EventLoop loop, EventHistory eventHistory, Http2Settings settings,
      SslContext tls) {
    this.name = name;
    this.loop = loop;
    this.eventHistory = eventHistory;
    this.http2Settings = settings;
    this.tls = tls;
    this.openConnections = new DefaultChannelGroup(loop);
    DECODER_LOG.setLevel(Level.WARNING);
    listen();
  }

  public String name() {
    return name;
  }

  public InetSocketAddress address() {
    return address;
  }

  /** Sets how checks are handled from the next one on. */
  public void setBehaviour(Behaviour newBehaviour) {
    behaviour = newBehaviour;
  }

  /** Delays answers by that many milliseconds. */
  public void setDelay(long ms) {
    delayMs = ms;
  }

  /** Answers checks with a function; null restores the configured behaviour. */
  public void setScript(Function<CheckRequest, CheckResponse> answers) {
    script = answers;
  }

  /** Number of complete checks received. */
  public int checks() {
    return checks.get();
  }

  /** Number of connections accepted so far. */
  public int connections() {
    return connections.get();
  }

  /** Number of calls that the client cancelled before they were answered. */
  public int abandoned() {
    return abandoned.get();
  }

  /**
   * Returns the next received check, of the first {@value #MAX_KEPT_CHECKS} of a run; null when there is
   * none.
   */
  public CheckRequest nextCheck() {
    return receivedChecks.poll();
  }

  private void listen() {
    InetSocketAddress at = address == null ? StandIns.anyAddress() : address;
    serverChannel = StandIns.listen(new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true).childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel ch) {
            openConnections.add(ch);
            connections.incrementAndGet();
            if (tls != null) {
              ch.pipeline().addLast(tls.newHandler(ch.alloc()));
            }
            Http2FrameCodec codec = Http2FrameCodecBuilder.forServer().initialSettings(http2Settings).build();
            ch.pipeline().addLast(codec, new Http2MultiplexHandler(new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel stream) {
                stream.pipeline().addLast(new Call(codec));
              }
            }), new ChannelInboundHandlerAdapter() {
              @Override
              public void exceptionCaught(ChannelHandlerContext c, Throwable cause) {
                // Caused by the protocol violations made here; the codec closes the connection.
              }
            });
          }
        }), at);
    address = (InetSocketAddress) serverChannel.localAddress();
    alive = true;
    eventHistory.addMachineEntry(Kind.STARTED, name, "");
  }

  /** Simulates a process crash: connections are reset and new ones are refused. */
  public synchronized void kill() {
    if (!alive) {
      return;
    }
    alive = false;
    serverChannel.close().syncUninterruptibly();
    loop.submit(() -> openConnections.forEach(StandInAuthoriser::reset)).syncUninterruptibly();
    eventHistory.addMachineEntry(Kind.KILLED, name, "");
  }

  /** Listens again at the same address and allows all checks. */
  public synchronized void restart() {
    behaviour = Behaviour.ALLOWS;
    if (!alive) {
      listen();
    }
  }

  private static void reset(Channel connection) {
    connection.config().setOption(ChannelOption.SO_LINGER, 0);
    connection.close();
  }

  /** An allow without further fields. */
  public static CheckResponse allow() {
    return CheckResponse.getDefaultInstance();
  }

  /** A denial with the given HTTP status and body for the client. */
  public static CheckResponse deny(int status, String body) {
    return CheckResponse.newBuilder()
        .setStatus(com.google.rpc.Status.newBuilder().setCode(PERMISSION_DENIED))
        .setDeniedResponse(DeniedHttpResponse.newBuilder().setBody(body)
            .setStatus(HttpStatus.newBuilder().setCodeValue(status))).build();
  }

  /** One call. */
  private final class Call extends SimpleChannelInboundHandler<Http2StreamFrame> {
    private final Http2FrameCodec codec;
    private final ByteBuf body = Unpooled.buffer();
    private ChannelHandlerContext ctx;
    private String id = "";
    private String attempt = "";
    private boolean answered;

    Call(Http2FrameCodec codec) {
      this.codec = codec;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
      ctx = added;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext c, Http2StreamFrame frame) {
      if (frame instanceof Http2HeadersFrame) {
        if (behaviour == Behaviour.REFUSES_STREAMS) {
          answered = true;
          ctx.writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.REFUSED_STREAM));
        } else if (behaviour == Behaviour.GOES_AWAY_UNSEEN) {
          answered = true;
          goAway(streamId() - 2);
          ctx.channel().parent().close();
        }
      } else if (frame instanceof Http2DataFrame data && !answered) {
        body.writeBytes(data.content());
        if (body.readableBytes() > MAX_CHECK_BYTES) {
          ctx.writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.CANCEL));
        } else if (data.isEndStream()) {
          onCheck();
        }
      }
    }

    private int streamId() {
      return ((Http2StreamChannel) ctx.channel()).stream().id();
    }

    private void goAway(int lastStream) {
      ChannelHandlerContext at = ctx.channel().parent().pipeline().context(codec);
      codec.goAway(at, lastStream, 0, Unpooled.EMPTY_BUFFER, at.newPromise());
      at.flush();
    }

    private void onCheck() {
      CheckRequest request;
      try {
        body.skipBytes(1);
        int length = body.readInt();
        request = CheckRequest.parseFrom(body.nioBuffer(body.readerIndex(), length));
      } catch (InvalidProtocolBufferException e) {
        ctx.writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.PROTOCOL_ERROR));
        return;
      }
      AttributeContext.HttpRequest http = request.getAttributes().getRequest().getHttp();
      id = http.getId();
      attempt = name + "/" + ctx.channel().parent().id().asShortText() + "/" + streamId();
      eventHistory.addRequestEntry(Kind.CHECKED, id, name, 0, attempt);
      if (checks.incrementAndGet() <= MAX_KEPT_CHECKS) {
        receivedChecks.add(request);
      }
      answer(request);
    }

    private void answer(CheckRequest request) {
      if (script != null) {
        afterDelay(() -> write(script.apply(request)));
        return;
      }
      switch (behaviour) {
        case DENIES -> afterDelay(() -> write(deny(403, "denied by " + name)));
        case FLIPS -> {
          flipped = !flipped;
          boolean allows = flipped;
          afterDelay(() -> write(allows ? allow() : deny(403, "denied by " + name)));
        }
        case STALLS -> { }
        case RESETS -> ctx.writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.INTERNAL_ERROR));
        case GOES_AWAY -> {
          goAway(streamId());
          afterDelay(() -> write(allow()));
        }
        case DIES -> reset(ctx.channel().parent());
        case SPOILS -> afterDelay(() -> send(new byte[] {(byte) 0xff, (byte) 0xff, (byte) 0xff, 1}, 1, 0));
        case OVERSIZED -> afterDelay(() -> send(new byte[1 << 20], 1, 0));
        case ANSWERS_TWICE -> afterDelay(() -> {
          recordAnswer(allow());
          send(allow().toByteArray(), 2, 0);
        });
        case UNAVAILABLE -> afterDelay(() -> send(null, 0, UNAVAILABLE_CODE));
        default -> afterDelay(() -> write(allow()));
      }
    }

    private void afterDelay(Runnable task) {
      if (delayMs == 0) {
        task.run();
      } else {
        loop.schedule(task, delayMs, TimeUnit.MILLISECONDS);
      }
    }

    private void recordAnswer(CheckResponse answer) {
      eventHistory.addRequestEntry(answer.getStatus().getCode() == 0 ? Kind.ALLOWED : Kind.DENIED, id, name,
          0, attempt);
    }

    private void write(CheckResponse answer) {
      if (ctx.channel().isActive()) {
        recordAnswer(answer);
        send(answer.toByteArray(), 1, 0);
      }
    }

    private void send(byte[] message, int times, int status) {
      answered = true;
      ctx.write(new DefaultHttp2HeadersFrame(new DefaultHttp2Headers().status("200")
          .set("content-type", "application/grpc")));
      for (int i = 0; i < times; i++) {
        ByteBuf framed = Unpooled.buffer(message.length + 5).writeByte(0).writeInt(message.length)
            .writeBytes(message);
        ctx.write(new DefaultHttp2DataFrame(framed));
      }
      ctx.writeAndFlush(new DefaultHttp2HeadersFrame(new DefaultHttp2Headers().set("grpc-status",
          Integer.toString(status)), true));
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext c, Object event) {
      if (event instanceof io.netty.handler.codec.http2.Http2ResetFrame) {
        abandoned.incrementAndGet();
      }
      ReferenceCountUtil.release(event);
    }

    @Override
    public void channelInactive(ChannelHandlerContext c) {
      body.release();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext c, Throwable cause) {
      c.close();
    }
  }
}
