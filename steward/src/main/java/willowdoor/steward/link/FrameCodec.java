package willowdoor.steward.link;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.MessageToMessageCodec;
import java.io.IOException;
import java.util.List;
import willowdoor.steward.Codec;

/**
 * The link's frames: four bytes of length, one that tells the kind, and a message. A message of the link is
 * JSON; one between stewards is passed as it is, as bytes.
 */
final class FrameCodec extends MessageToMessageCodec<ByteBuf, Object> {

  /** Before anybody has said who they are. */
  static final int MAX_HELLO_BYTES = 4 << 10;
  /** A list of 10,000 backends, or how all stands. */
  static final int MAX_CALL_BYTES = 2 << 20;
  /** Eight commands of the longest kind, as text. */
  static final int MAX_STEWARD_BYTES = 16 << 20;

  private static final String LENGTH_DECODER = "lengths";
  private static final byte LINK_MESSAGE = 0;
  private static final byte STEWARD_MESSAGE = 1;
  private static final ObjectMapper JSON = Codec.mapperFor(LinkMessage.class, Call.class, Answer.class);

  /** Puts them at the end of a pipeline. */
  static void addTo(ChannelPipeline pipeline) {
    pipeline.addLast(LENGTH_DECODER, lengthDecoder(MAX_HELLO_BYTES));
    pipeline.addLast(new LengthFieldPrepender(4), new FrameCodec());
  }

  /** Allows longer ones from here on. */
  static void setMaxLength(ChannelPipeline pipeline, int maxBytes) {
    pipeline.replace(LENGTH_DECODER, LENGTH_DECODER, lengthDecoder(maxBytes));
  }

  private static LengthFieldBasedFrameDecoder lengthDecoder(int maxBytes) {
    return new LengthFieldBasedFrameDecoder(maxBytes, 0, 4, 0, 4);
  }

  @Override
  protected void encode(ChannelHandlerContext ctx, Object message, List<Object> out) throws IOException {
    boolean link = message instanceof LinkMessage;
    byte[] bytes = link ? JSON.writerFor(LinkMessage.class).writeValueAsBytes(message) : (byte[]) message;
    out.add(Unpooled.wrappedBuffer(new byte[] {link ? LINK_MESSAGE : STEWARD_MESSAGE}, bytes));
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf frame, List<Object> out) throws IOException {
    byte kind = frame.isReadable() ? frame.readByte() : -1;
    if (kind == LINK_MESSAGE) {
      out.add(JSON.readValue(ByteBufUtil.getBytes(frame), LinkMessage.class));
    } else if (kind == STEWARD_MESSAGE) {
      out.add(ByteBufUtil.getBytes(frame));
    } else {
      throw new IOException("a frame of kind " + kind + " (expected: " + LINK_MESSAGE + " or "
          + STEWARD_MESSAGE + ")");
    }
  }
}
