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
 * The line protocol of a handover, over a unix socket. Lines end in LF. The listening socket is passed as a
 * descriptor (SCM_RIGHTS), after both sides have announced that the descriptor comes next:
 *
 * <pre>
 *   successor -> holder   takeover 1 PID ADDRESS
 *   holder -> successor   handing PID claims learned   or  refused REASON, then close
 *   successor -> holder   send
 *   holder -> successor   (the descriptor)
 *   successor -> holder   ready learned            it accepts connections from now on
 *   holder -> successor   yours                    the holder drains
 *   holder -> successor   learned ...              its learned state, in lines ({@link LearnedStateLines})
 * </pre>
 *
 * <p>Each side adds the word {@code learned} if it supports the lines of learned state, which are sent
 * only if both sides have added it. An older process sends {@code handing PID} or {@code ready}, and
 * receives only lines that it understands.
 *
 * <p>Claims of request ids go both ways on the same connection ({@link HandoverClaims}).
 *
 * <p>The connection stays open while the holder drains, so that each side notices if the other one dies.
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
  private static final int MAX_LINE_BYTES = 1_024;

  private HandoverProtocol() {
  }

  /** Adds the codecs for lines to the pipeline of a connection. */
  static void addLineCodec(ChannelPipeline pipeline) {
    pipeline.addLast("frames", new LineBasedFrameDecoder(MAX_LINE_BYTES));
    pipeline.addLast("reader", new StringDecoder(StandardCharsets.UTF_8));
    pipeline.addLast("writer", new StringEncoder(StandardCharsets.UTF_8));
  }

  /** Switches the connection to receive a descriptor next, or lines again. */
  static void setDescriptorMode(ChannelHandlerContext ctx, boolean on) {
    ((EpollDomainSocketChannel) ctx.channel()).config()
        .setReadMode(on ? DomainSocketReadMode.FILE_DESCRIPTORS : DomainSocketReadMode.BYTES);
  }

  static void writeLine(ChannelHandlerContext ctx, String line) {
    ctx.writeAndFlush(line + '\n');
  }
}
