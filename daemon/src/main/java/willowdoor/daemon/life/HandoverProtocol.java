package willowdoor.daemon.life;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.epoll.EpollDomainSocketChannel;
import io.netty.channel.unix.DomainSocketReadMode;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.string.StringDecoder;
import io.netty.handler.codec.string.StringEncoder;
import java.nio.charset.StandardCharsets;

/**
 * What both sides of a handover speak, over a unix socket. Lines end in LF; the listening socket itself goes
 * along as a descriptor (SCM_RIGHTS), once both sides have said that it comes next:
 *
 * <pre>
 *   successor -> holder   takeover 1 PID ADDRESS
 *   holder -> successor   handing PID learned      or  refused REASON, and the end
 *   successor -> holder   send
 *   holder -> successor   (the descriptor)
 *   successor -> holder   ready learned            it takes connections from here on
 *   holder -> successor   yours                    the holder drains
 *   holder -> successor   learned ...              what it has learned, in lines ({@link LearnedStateLines})
 * </pre>
 *
 * <p>The word {@code learned} is said by who knows of such lines, and they come only where both have said it;
 * an older process on either side says {@code handing PID} or {@code ready} and hears no more than it knows.
 *
 * <p>The connection stays open while the holder drains: its end tells each side of the other's death.
 */
final class HandoverProtocol {

  static final String VERSION = "1";
  static final String TAKE_OVER = "takeover";
  static final String HANDING = "handing";
  static final String REFUSED = "refused";
  static final String SEND = "send";
  static final String READY = "ready";
  static final String READY_FOR_LEARNED_STATE = READY + " " + LearnedStateLines.LINE_PREFIX;
  static final String CONFIRMED = "yours";
  private static final int MAX_LINE_BYTES = 512;

  private HandoverProtocol() {
  }

  /** Sets a connection up for lines. */
  static void addLineCodec(ChannelPipeline pipeline) {
    pipeline.addLast("frames", new LineBasedFrameDecoder(MAX_LINE_BYTES));
    pipeline.addLast("reader", new StringDecoder(StandardCharsets.UTF_8));
    pipeline.addLast("writer", new StringEncoder(StandardCharsets.UTF_8));
  }

  /** The next thing to come is a descriptor, or a line again. */
  static void setDescriptorMode(ChannelHandlerContext ctx, boolean on) {
    ((EpollDomainSocketChannel) ctx.channel()).config()
        .setReadMode(on ? DomainSocketReadMode.FILE_DESCRIPTORS : DomainSocketReadMode.BYTES);
  }

  static void writeLine(ChannelHandlerContext ctx, String line) {
    ctx.writeAndFlush(line + '\n');
  }
}
