package willowdoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Input that takes long is followed by a pause, which nothing undoes. */
class TurnLimitHandlerTest {

  private static final int MUCH = 16_384;
  private static final int MAX_PAUSE_MS = 40;

  private long handlingMs = 2;
  private int reads;
  private final TurnLimitHandler input = new TurnLimitHandler() {
    @Override
    void onRead(ChannelHandlerContext ctx, ByteBuf bytes) {
      long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(handlingMs);
      while (System.nanoTime() < endNanos) {
        Thread.onSpinWait();
      }
      bytes.release();
    }
  };
  private final EmbeddedChannel channel = new EmbeddedChannel(new ChannelOutboundHandlerAdapter() {
    @Override
    public void read(ChannelHandlerContext ctx) {
      reads++;
      ctx.read();
    }
  }, input);

  private void read(int bytes) {
    channel.writeInbound(Unpooled.wrappedBuffer(new byte[bytes]));
  }

  private void awaitEndOfPause() throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(MAX_PAUSE_MS + 1);
    channel.runScheduledPendingTasks();
  }

  /** Guards against a handler that reads on for an incomplete message, which made the pause void. */
  @Test
  void noHandlerReadsOnDuringThePause() throws Exception {
    read(MUCH);
    assertFalse(channel.config().isAutoRead());
    int before = reads;
    channel.read();
    assertEquals(before, reads);
    awaitEndOfPause();
    assertTrue(channel.config().isAutoRead());
    assertTrue(reads > before);
  }

  /** Guards against a pause whose end undoes the backpressure of a slow client. */
  @Test
  void theEndOfThePauseKeepsTheConnectionUnread() throws Exception {
    read(MUCH);
    input.setReading(channel, false);
    awaitEndOfPause();
    assertFalse(channel.config().isAutoRead());
    input.setReading(channel, true);
    assertTrue(channel.config().isAutoRead());
  }

  @Test
  void shortInputIsFollowedByNoPause() {
    read(300);
    assertTrue(channel.config().isAutoRead());
    handlingMs = 0;
    read(MUCH);
    assertTrue(channel.config().isAutoRead());
  }
}
