package willowdoor.steward.link;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;

/** Creates event loop groups with a single daemon thread. */
final class SingleThreadLoop {

  private SingleThreadLoop() {
  }

  static EventLoopGroup create(String name) {
    return new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory(name, true),
        NioIoHandler.newFactory());
  }
}
