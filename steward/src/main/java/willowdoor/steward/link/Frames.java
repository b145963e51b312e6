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
final class Frames extends MessageToMessageCodec<ByteBuf, Object> {

  /** Before anybody has said who they are. */
  static final int MOST_FIRST = 4 << 10;
  /** A list of 10,000 backends, or how all stands. */
  static final int MOST_CALL = 2 << 20;
  /** Eight commands of the longest kind, as text. */
  static final int MOST_STEWARDS = 16 << 20;

  private static final String LENGTHS = "lengths";
  private static final byte LINK = 0;
  private static final byte STEWARDS = 1;
  private static final ObjectMapper JSON = Codec.mapperFor(LinkMessage.class, Call.class, Answer.class);

  /** Puts them at the end of a pipeline. */
  static void add(ChannelPipeline pipeline) {
    pipeline.addLast(LENGTHS, lengths(MOST_FIRST));
    pipeline.addLast(new LengthFieldPrepender(4), new Frames());
  }

  /** Allows longer ones from here on. */
  static void allow(ChannelPipeline pipeline, int most) {
    pipeline.replace(LENGTHS, LENGTHS, lengths(most));
  }

  private static LengthFieldBasedFrameDecoder lengths(int most) {
    return new LengthFieldBasedFrameDecoder(most, 0, 4, 0, 4);
  }

  @Override
  protected void encode(ChannelHandlerContext ctx, Object message, List<Object> out) throws IOException {
    boolean link = message instanceof LinkMessage;
    byte[] bytes = link ? JSON.writerFor(LinkMessage.class).writeValueAsBytes(message) : (byte[]) message;
    out.add(Unpooled.wrappedBuffer(new byte[] {link ? LINK : STEWARDS}, bytes));
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf frame, List<Object> out) throws IOException {
    byte kind = frame.isReadable() ? frame.readByte() : -1;
    if (kind == LINK) {
      out.add(JSON.readValue(ByteBufUtil.getBytes(frame), LinkMessage.class));
    } else if (kind == STEWARDS) {
      out.add(ByteBufUtil.getBytes(frame));
    } else {
      throw new IOException("a frame of kind " + kind + " (expected: " + LINK + " or " + STEWARDS + ")");
    }
  }
}
