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
 * Encodes frames: four bytes of length, one byte of kind, and the message. Link messages are JSON; consensus
 * messages between stewards are passed through as bytes.
 */
final class FrameCodec extends MessageToMessageCodec<ByteBuf, Object> {

  /** Limit before the hello was accepted. */
  static final int MAX_HELLO_BYTES = 4 << 10;
  /** Limit of a call or answer: a list of 10,000 backends, or the state of the record. */
  static final int MAX_CALL_BYTES = 2 << 20;
  /** Limit between stewards: eight commands of maximum length, as text. */
  static final int MAX_STEWARD_BYTES = 16 << 20;

  private static final String LENGTH_DECODER = "lengths";
  private static final byte LINK_MESSAGE = 0;
  private static final byte STEWARD_MESSAGE = 1;
  private static final ObjectMapper JSON = Codec.mapperFor(LinkMessage.class, Call.class, Answer.class);

  /** Adds the frame handlers at the end of a pipeline. */
  static void addTo(ChannelPipeline pipeline) {
    pipeline.addLast(LENGTH_DECODER, lengthDecoder(MAX_HELLO_BYTES));
    pipeline.addLast(new LengthFieldPrepender(4), new FrameCodec());
  }

  /** Changes the limit for the frames that follow. */
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
