package willowdoor.extauthz;

import io.envoyproxy.envoy.service.auth.v3.AuthorizationGrpc;
import io.envoyproxy.envoy.service.auth.v3.CheckRequest;
import io.envoyproxy.envoy.service.auth.v3.CheckResponse;
import io.grpc.CallOptions;
import io.grpc.ClientCall;
import io.grpc.ClientStreamTracer;
import io.grpc.ConnectivityState;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.netty.NettyChannelBuilder;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.ssl.SslContext;
import java.util.concurrent.TimeUnit;
import willowdoor.extauthz.ExtAuthzSettings.Link;

/**
 * The gRPC channel to one authoriser, on the door's event loop: no other thread is used. The end of a call is
 * reported once, together with whether the authoriser can have seen the call.
 *
 * <p>gRPC itself retries a call only if HTTP/2 proves that it was not processed (REFUSED_STREAM, or a GOAWAY
 * that names an earlier stream); no other retry happens below {@link ExtAuthzGate}. Reconnects back off from
 * 1 s to 2 minutes with jitter (gRPC's connection backoff); a probe doesn't wait for the backoff.
 */
final class AuthoriserLink {

  private static final int MAX_METADATA_BYTES = 8 * 1024;
  private static final long IDLE_DAYS = 30;

  /** Receives the end of a call. */
  interface Listener {
    /**
     * Called once, on the event loop.
     *
     * @param status OK with exactly one answer, or the reason why there is none
     * @param answer null unless the status is OK
     * @param reached false if the authoriser provably never saw the call
     */
    void ended(Status status, CheckResponse answer, boolean reached);
  }

  private final Link link;
  private final EventLoopGroup group;
  private final Class<? extends Channel> channelType;
  private final int maxAnswerBytes;
  private ManagedChannel channel;

  /**
   * Starts connecting at once, without blocking: the caller has prepared the TLS context.
   *
   * @param tls the TLS context, or null for plaintext
   */
  AuthoriserLink(Link link, EventLoopGroup group, Class<? extends Channel> channelType, int maxAnswerBytes,
      SslContext tls) {
    this.link = link;
    this.group = group;
    this.channelType = channelType;
    this.maxAnswerBytes = maxAnswerBytes;
    channel = open(tls);
  }

  private ManagedChannel open(SslContext tls) {
    NettyChannelBuilder builder = NettyChannelBuilder.forAddress(link.address()).eventLoopGroup(group)
        .channelType(channelType).directExecutor().disableServiceConfigLookUp()
        .withOption(ChannelOption.ALLOCATOR, ByteBufAllocator.DEFAULT)
        .maxInboundMessageSize(maxAnswerBytes).maxInboundMetadataSize(MAX_METADATA_BYTES)
        .idleTimeout(IDLE_DAYS, TimeUnit.DAYS).userAgent("willowdoor")
        .keepAliveTime((long) link.keepAliveMs(), TimeUnit.MILLISECONDS)
        .keepAliveTimeout((long) link.keepAliveAnswerMs(), TimeUnit.MILLISECONDS)
        .keepAliveWithoutCalls(true);
    if (tls == null) {
      builder.usePlaintext();
    } else {
      builder.sslContext(tls).overrideAuthority(link.tls().serverName());
    }
    ManagedChannel opened = builder.build();
    keepConnected(opened);
    return opened;
  }

  /** Reconnects as soon as a connection has ended, instead of on the next call, which would have to wait. */
  private static void keepConnected(ManagedChannel channel) {
    ConnectivityState state = channel.getState(true);
    if (state != ConnectivityState.SHUTDOWN) {
      channel.notifyWhenStateChanged(state, () -> keepConnected(channel));
    }
  }

  Link link() {
    return link;
  }

  /**
   * Opens a new connection with the given TLS context for further calls; calls in flight finish on the old
   * connection.
   */
  void renew(SslContext tls) {
    ManagedChannel old = channel;
    channel = open(tls);
    old.shutdown();
  }

  /** Closes the connection and cancels all calls. */
  void close() {
    channel.shutdownNow();
  }

  /** Records whether a call's stream was written to a connection. */
  private static final class StreamWrittenTracer extends ClientStreamTracer.Factory {
    private boolean reached;

    @Override
    public ClientStreamTracer newClientStreamTracer(ClientStreamTracer.StreamInfo info, Metadata headers) {
      // A transparent retry: HTTP/2 has proved that the previous stream was not processed.
      reached = false;
      return new ClientStreamTracer() {
        @Override
        public void outboundHeaders() {
          reached = true;
        }
      };
    }
  }

  /**
   * Sends a check. The listener may be called before this method returns.
   *
   * @param limitMs deadline of the call, from now
   * @param probe connect now, regardless of the backoff
   * @return the call, which can be cancelled
   */
  ClientCall<CheckRequest, CheckResponse> check(CheckRequest request, double limitMs, boolean probe,
      Listener listener) {
    if (probe && channel.getState(false) == ConnectivityState.TRANSIENT_FAILURE) {
      channel.resetConnectBackoff();
    }
    StreamWrittenTracer reach = new StreamWrittenTracer();
    CallOptions options = CallOptions.DEFAULT.withStreamTracerFactory(reach)
        .withDeadlineAfter((long) (limitMs * 1_000), TimeUnit.MICROSECONDS);
    if (probe) {
      options = options.withWaitForReady();
    }
    ClientCall<CheckRequest, CheckResponse> call = channel.newCall(AuthorizationGrpc.getCheckMethod(),
        options);
    call.start(new ClientCall.Listener<>() {
      private CheckResponse answer;
      private boolean twice;

      @Override
      public void onMessage(CheckResponse message) {
        twice = answer != null;
        answer = message;
      }

      @Override
      public void onClose(Status status, Metadata trailers) {
        Status end = !status.isOk() ? status
            : twice ? Status.INTERNAL.withDescription("two answers to one call")
            : answer == null ? Status.INTERNAL.withDescription("no answer")
            : status;
        listener.ended(end, end.isOk() ? answer : null, reach.reached);
      }
    }, new Metadata());
    // Requests two messages, so that a second answer is detected as a protocol violation.
    call.request(2);
    call.sendMessage(request);
    call.halfClose();
    return call;
  }
}
