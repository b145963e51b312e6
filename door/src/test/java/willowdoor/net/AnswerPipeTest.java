package willowdoor.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;
import willowdoor.policy.AnswerLifecycle;

/** A pipe without a receiver releases its buffers when it is aborted. */
class AnswerPipeTest {

  @Test
  void abortReleasesBufferedPieces() {
    EmbeddedChannel backend = new EmbeddedChannel();
    AnswerPipe pipe = new AnswerPipe(backend, new TurnLimitHandler(), new AnswerLifecycle(0, true), () -> 0);
    ByteBuf first = Unpooled.buffer().writeZero(100);
    pipe.forward(first);
    pipe.abort();
    assertEquals(0, first.refCnt());
    assertFalse(backend.isOpen());
    ByteBuf late = Unpooled.buffer().writeZero(100);
    pipe.forward(late);
    assertEquals(0, late.refCnt());
  }
}
