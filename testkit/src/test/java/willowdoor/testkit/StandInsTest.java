package willowdoor.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class StandInsTest {

  /** A stand-in that closes and listens again immediately gets the same port. */
  @Test
  void rebindsItsPortImmediatelyAfterClose() {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    try {
      StandInCounter counter = new StandInCounter(group, new EventHistory());
      var before = counter.address();
      for (int i = 0; i < 500; i++) {
        counter.cutOff(door -> true);
        counter.reconnect();
      }
      assertEquals(before, counter.address());
    } finally {
      group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
  }
}
