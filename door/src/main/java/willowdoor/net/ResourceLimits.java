package willowdoor.net;

/**
 * What the process may hold, from the limits that its configuration tells. Descriptors that run out take
 * the whole process down (a class that loads late, a log line), so all kinds of sockets get fitting parts.
 */
public record ResourceLimits(int connections, int maxBodyBytes) {

  /** Descriptors of the JVM and of the event loop: its files, the jar, epoll, timer and event descriptors. */
  private static final int OWN_DESCRIPTORS = 24;
  /** Connections to the counter and to discovery, twice, as while a new configuration takes over. */
  private static final int PEER_CONNECTIONS = 2 * (CounterClient.CONNECTIONS + 1);
  private static final int SPARE_DESCRIPTORS = 14;
  /** Without limits in the configuration, those of a middling machine hold. */
  public static final double DEFAULT_SOCKETS = 1024;
  public static final double DEFAULT_MEMORY_MB = 128;
  private static final double BODY_SHARE_OF_MEMORY = 1.0 / 16;

  /** The bounds under limits of so many descriptors and megabytes. */
  public static ResourceLimits of(double sockets, double memoryMb) {
    return new ResourceLimits(Math
        .max(16, (int) sockets - OWN_DESCRIPTORS - PEER_CONNECTIONS - SPARE_DESCRIPTORS),
        (int) (memoryMb * BODY_SHARE_OF_MEMORY * (1 << 20)));
  }
}
