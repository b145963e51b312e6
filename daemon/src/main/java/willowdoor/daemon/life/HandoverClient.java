package willowdoor.daemon.life;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.epoll.EpollDomainSocketChannel;
import io.netty.channel.unix.DomainSocketAddress;
import io.netty.channel.unix.FileDescriptor;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.logging.Logger;
import willowdoor.policy.LearnedState;

/**
 * The successor's side of a handover: asks the running instance (the holder) for its listening socket, and
 * reports when this process accepts connections. If the holder dies after it has passed the socket on, this
 * process owns the socket and continues its start; if the holder refuses, this process must not continue.
 */
final class HandoverClient {

  private static final Logger LOG = Logger.getLogger(HandoverClient.class.getName());
  private static final long ANSWER_TIMEOUT_MS = 5_000;

  private final CompletableFuture<Integer> descriptor = new CompletableFuture<>();
  private final CompletableFuture<Void> confirmed = new CompletableFuture<>();
  private final HandoverClaims claims;
  private final Runnable onLateRefusal;
  private final Consumer<LearnedState> onLearned;
  private final LearnedStateLines learnedLines = new LearnedStateLines();
  private Channel channel;
  private volatile boolean holderSendsLearnedState;
  private boolean holderTakesClaims;
  private boolean acceptsLearnedState = true;

  private HandoverClient(HandoverClaims claims, Runnable onLateRefusal, Consumer<LearnedState> onLearned) {
    this.claims = claims;
    this.onLateRefusal = onLateRefusal;
    this.onLearned = onLearned;
  }

  /**
   * Connects to the control socket and requests the handover. Returns null if there is no file at the path or
   * no process listens there, so that there is nothing to take over.
   *
   * @param claims claims ids at the holder once it has handed over
   * @param onLateRefusal called if the holder refuses after it has handed the socket over
   * @param onLearned called with the learned state of the holder, once it has been received completely
   */
  static HandoverClient connect(EventLoopGroup group, Path path, String listenAddress, HandoverClaims claims,
      Runnable onLateRefusal, Consumer<LearnedState> onLearned) throws IOException, InterruptedException {
    if (!Files.exists(path)) {
      return null;
    }
    HandoverClient client = new HandoverClient(claims, onLateRefusal, onLearned);
    ChannelFuture connected = new Bootstrap().group(group).channel(EpollDomainSocketChannel.class)
        .handler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel ch) {
            HandoverProtocol.addLineCodec(ch.pipeline());
            ch.pipeline().addLast(client.new HolderHandler());
          }
        }).connect(new DomainSocketAddress(path.toFile())).await();
    if (!connected.isSuccess()) {
      return null;
    }
    client.channel = connected.channel();
    client.channel.writeAndFlush(HandoverProtocol.TAKE_OVER + " " + HandoverProtocol.VERSION + " "
        + ProcessHandle.current()
        .pid()
        + " " + listenAddress + "\n");
    return client;
  }

  /** The descriptor of the listening socket in this process; waits for it up to the answer timeout. */
  int descriptor() throws IOException, InterruptedException {
    try {
      return descriptor.get(ANSWER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException e) {
      throw new IOException(e.getCause().getMessage(), e);
    } catch (TimeoutException e) {
      channel.close();
      throw new IOException("the running instance did not hand over its socket within " + ANSWER_TIMEOUT_MS
          + " ms",
          e);
    }
  }

  /** Tells the holder that this instance accepts connections from now on. */
  void announceReady() {
    channel.writeAndFlush((holderSendsLearnedState ? HandoverProtocol.READY_FOR_LEARNED_STATE
        : HandoverProtocol.READY) + "\n");
  }

  /** Handles the messages of the running instance. */
  private final class HolderHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (message instanceof FileDescriptor fd) {
        HandoverProtocol.setDescriptorMode(ctx, false);
        if (holderTakesClaims) {
          claims.attach(ctx, true);
          claims.announce();
        }
        descriptor.complete(fd.intValue());
      } else if (message instanceof String line) {
        handleLine(ctx, line);
      }
    }

    private void handleLine(ChannelHandlerContext ctx, String line) {
      if (claims.handle(ctx, line)) {
        return;
      }
      if (line.startsWith(HandoverProtocol.HANDING + " ")) {
        holderTakesClaims = List.of(line.split(" ")).contains(HandoverClaims.SUPPORTED);
        holderSendsLearnedState = line.endsWith(" " + LearnedStateLines.LINE_PREFIX);
        HandoverProtocol.setDescriptorMode(ctx, true);
        HandoverProtocol.writeLine(ctx, HandoverProtocol.SEND);
      } else if (line.equals(HandoverProtocol.CONFIRMED)) {
        confirmed.complete(null);
      } else if (line.startsWith(LearnedStateLines.LINE_PREFIX + " ")) {
        handleLearnedLine(line);
      } else if (!descriptor.completeExceptionally(
          new IOException("the running instance refused the handover: " + line))) {
        claims.onRefused();
        onLateRefusal.run();
      }
    }

    private void handleLearnedLine(String line) {
      try {
        LearnedState learned = acceptsLearnedState ? learnedLines.read(line) : null;
        if (learned != null) {
          onLearned.accept(learned);
        }
      } catch (IOException e) {
        acceptsLearnedState = false;
        LOG.warning("the learned state of the running instance is ignored: " + e.getMessage());
      }
    }

    /**
     * A connection that ends before the descriptor has been received is a failure. After that it means that
     * the holder has ended, and this process owns the socket.
     */
    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      claims.detach(ctx);
      descriptor.completeExceptionally(new IOException("the running instance ended before it handed over"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
