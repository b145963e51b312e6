package willowdoor.net;

import io.netty.util.internal.PlatformDependent;

/**
 * Limits on the connections and on the memory for peers' bytes, from the process's configuration. Running
 * out of file descriptors brings the whole process down (a class that is loaded late, a log line), so each
 * kind of socket gets its own share.
 *
 * @param connections connections of clients and to backends
 * @param memoryPoolBytes what peers may make the process hold beyond the floors of their connections
 */
public record ResourceLimits(int connections, long memoryPoolBytes) {

  /**
   * File descriptors of the JVM and the event loop: its files, the jar, epoll, timer and event descriptors.
   */
  private static final int OWN_DESCRIPTORS = 24;
  /**
   * Connections to the counter and to discovery, counted twice: both sets are open while a new configuration
   * takes over.
   */
  private static final int PEER_CONNECTIONS = 2 * (CounterClient.CONNECTIONS + 1);
  private static final int SPARE_DESCRIPTORS = 14;
  /** Defaults for a configuration without limits: those of a medium-sized machine. */
  public static final double DEFAULT_SOCKETS = 1024;
  public static final double DEFAULT_MEMORY_MB = 128;
  private static final double POOL_SHARE_OF_MEMORY = 1.0 / 16;
  private static final double POOL_SHARE_OF_DIRECT_MEMORY = 1.0 / 4;
  private static final double POOL_SHARE_OF_HEAP = 1.0 / 6;

  /** The limits for so many file descriptors and megabytes of memory, and for this JVM's own limits. */
  public static ResourceLimits of(double sockets, double memoryMb) {
    double poolBytes = Math.min(memoryMb * (1 << 20) * POOL_SHARE_OF_MEMORY,
        Math.min(PlatformDependent.maxDirectMemory() * POOL_SHARE_OF_DIRECT_MEMORY,
            Runtime.getRuntime().maxMemory() * POOL_SHARE_OF_HEAP));
    return new ResourceLimits(
        Math.max(16, (int) sockets - OWN_DESCRIPTORS - PEER_CONNECTIONS - SPARE_DESCRIPTORS),
        (long) poolBytes);
  }
}
