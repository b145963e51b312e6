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
import willowdoor.policy.Learned;

/**
 * The successor's side of a handover: asks the running instance for its listening socket, and says when this
 * one takes connections. If the holder dies meanwhile, this process has the socket and goes on; if the holder
 * says no, it must not.
 */
final class TakeOver {

  private static final Logger LOG = Logger.getLogger(TakeOver.class.getName());
  private static final long ANSWER_LIMIT_MS = 5_000;

  private final CompletableFuture<Integer> descriptor = new CompletableFuture<>();
  private final CompletableFuture<Void> yours = new CompletableFuture<>();
  private final Runnable refusedLater;
  private final Consumer<Learned> learned;
  private final LearnedLines lines = new LearnedLines();
  private Channel channel;
  private volatile boolean teaches;
  private boolean listens = true;

  private TakeOver(Runnable refusedLater, Consumer<Learned> learned) {
    this.refusedLater = refusedLater;
    this.learned = learned;
  }

  /**
   * Asks at the path; null when nobody answers there, so that there is nothing to take over.
   *
   * @param refusedLater called when the holder says no after it has handed the socket over
   * @param learned called with what the holder has learned, where it tells and its word is whole
   */
  static TakeOver ask(EventLoopGroup group, Path path, String listen, Runnable refusedLater,
      Consumer<Learned> learned) throws IOException, InterruptedException {
    if (!Files.exists(path)) {
      return null;
    }
    TakeOver ask = new TakeOver(refusedLater, learned);
    ChannelFuture connected = new Bootstrap().group(group).channel(EpollDomainSocketChannel.class)
        .handler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel ch) {
            Handover.lines(ch.pipeline());
            ch.pipeline().addLast(ask.new Holder());
          }
        }).connect(new DomainSocketAddress(path.toFile())).await();
    if (!connected.isSuccess()) {
      return null;
    }
    ask.channel = connected.channel();
    ask.channel.writeAndFlush(Handover.TAKE_OVER + " " + Handover.VERSION + " " + ProcessHandle.current()
        .pid()
        + " " + listen + "\n");
    return ask;
  }

  /** The listening socket's descriptor in this process. */
  int descriptor() throws IOException, InterruptedException {
    try {
      return descriptor.get(ANSWER_LIMIT_MS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException e) {
      throw new IOException(e.getCause().getMessage(), e);
    } catch (TimeoutException e) {
      channel.close();
      throw new IOException("the running instance did not hand over its socket in " + ANSWER_LIMIT_MS + " ms",
          e);
    }
  }

  /** Says that this instance takes connections. */
  void ready() {
    channel.writeAndFlush((teaches ? Handover.READY_TO_LEARN : Handover.READY) + "\n");
  }

  /** What the running instance says. */
  private final class Holder extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (message instanceof FileDescriptor fd) {
        Handover.expectDescriptor(ctx, false);
        descriptor.complete(fd.intValue());
      } else if (message instanceof String line) {
        line(ctx, line);
      }
    }

    private void line(ChannelHandlerContext ctx, String line) {
      if (line.startsWith(Handover.HANDING + " ")) {
        teaches = line.endsWith(" " + LearnedLines.WORD);
        Handover.expectDescriptor(ctx, true);
        Handover.say(ctx, Handover.SEND);
      } else if (line.equals(Handover.YOURS)) {
        yours.complete(null);
      } else if (line.startsWith(LearnedLines.WORD + " ")) {
        learn(line);
      } else if (!descriptor.completeExceptionally(new IOException("the running instance says: " + line))) {
        refusedLater.run();
      }
    }

    private void learn(String line) {
      try {
        Learned whole = listens ? lines.next(line) : null;
        if (whole != null) {
          learned.accept(whole);
        }
      } catch (IOException e) {
        listens = false;
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
