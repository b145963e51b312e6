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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.logging.Logger;
import willowdoor.policy.LearnedState;

/**
 * The successor's side of a handover: asks the running instance for its listening socket, and says when this
 * one takes connections. If the holder dies meanwhile, this process has the socket and goes on; if the holder
 * says no, it must not.
 */
final class HandoverClient {

  private static final Logger LOG = Logger.getLogger(HandoverClient.class.getName());
  private static final long ANSWER_TIMEOUT_MS = 5_000;

  private final CompletableFuture<Integer> descriptor = new CompletableFuture<>();
  private final CompletableFuture<Void> confirmed = new CompletableFuture<>();
  private final Runnable onLateRefusal;
  private final Consumer<LearnedState> onLearned;
  private final LearnedStateLines learnedLines = new LearnedStateLines();
  private Channel channel;
  private volatile boolean holderSendsLearnedState;
  private boolean acceptsLearnedState = true;

  private HandoverClient(Runnable onLateRefusal, Consumer<LearnedState> onLearned) {
    this.onLateRefusal = onLateRefusal;
    this.onLearned = onLearned;
  }

  /**
   * Asks at the path; null when nobody answers there, so that there is nothing to take over.
   *
   * @param onLateRefusal called when the holder says no after it has handed the socket over
   * @param onLearned called with what the holder has learned, where it tells and its word is whole
   */
  static HandoverClient connect(EventLoopGroup group, Path path, String listenAddress, Runnable onLateRefusal,
      Consumer<LearnedState> onLearned) throws IOException, InterruptedException {
    if (!Files.exists(path)) {
      return null;
    }
    HandoverClient client = new HandoverClient(onLateRefusal, onLearned);
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
    client.channel
        .writeAndFlush(HandoverProtocol.TAKE_OVER + " " + HandoverProtocol.VERSION + " "
        + ProcessHandle.current()
        .pid()
        + " " + listenAddress + "\n");
    return client;
  }

  /** The listening socket's descriptor in this process. */
  int descriptor() throws IOException, InterruptedException {
    try {
      return descriptor.get(ANSWER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException e) {
      throw new IOException(e.getCause().getMessage(), e);
    } catch (TimeoutException e) {
      channel.close();
      throw new IOException("the running instance did not hand over its socket in " + ANSWER_TIMEOUT_MS
          + " ms",
          e);
    }
  }

  /** Says that this instance takes connections. */
  void announceReady() {
    channel.writeAndFlush(
        (holderSendsLearnedState ? HandoverProtocol.READY_FOR_LEARNED_STATE : HandoverProtocol.READY) + "\n");
  }

  /** What the running instance says. */
  private final class HolderHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (message instanceof FileDescriptor fd) {
        HandoverProtocol.setDescriptorMode(ctx, false);
        descriptor.complete(fd.intValue());
      } else if (message instanceof String line) {
        handleLine(ctx, line);
      }
    }

    private void handleLine(ChannelHandlerContext ctx, String line) {
      if (line.startsWith(HandoverProtocol.HANDING + " ")) {
        holderSendsLearnedState = line.endsWith(" " + LearnedStateLines.LINE_PREFIX);
        HandoverProtocol.setDescriptorMode(ctx, true);
        HandoverProtocol.writeLine(ctx, HandoverProtocol.SEND);
      } else if (line.equals(HandoverProtocol.CONFIRMED)) {
        confirmed.complete(null);
      } else if (line.startsWith(LearnedStateLines.LINE_PREFIX + " ")) {
        handleLearnedLine(line);
      } else if (!descriptor.completeExceptionally(new IOException("the running instance says: " + line))) {
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
        LOG.warning("what the running instance has learned is left aside: " + e.getMessage());
      }
    }

    /** The end before the socket has come is a failure; after that the holder is dead and the socket ours. */
    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      descriptor.completeExceptionally(new IOException("the running instance ended before it handed over"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
