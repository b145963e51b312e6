package willowdoor.net;

/**
 * Limits on the connections and bodies that the process may hold, from its configuration. Running out of file
 * descriptors brings the whole process down (a class that is loaded late, a log line), so each kind of socket
 * gets its own share.
 */
public record ResourceLimits(int connections, int maxBodyBytes) {

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
  private static final double BODY_SHARE_OF_MEMORY = 1.0 / 16;

  /** The limits for so many file descriptors and so many megabytes of memory. */
  public static ResourceLimits of(double sockets, double memoryMb) {
    return new ResourceLimits(
        Math.max(16, (int) sockets - OWN_DESCRIPTORS - PEER_CONNECTIONS - SPARE_DESCRIPTORS),
        (int) (memoryMb * BODY_SHARE_OF_MEMORY * (1 << 20)));
  }
}
