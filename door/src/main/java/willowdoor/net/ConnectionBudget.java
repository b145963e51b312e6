package willowdoor.net;

/**
 * Counts the connections of clients and to backends, which share the available file descriptors: clients may
 * use what the backends do not need, and give it back as backends need more.
 */
final class ConnectionBudget {

  /**
   * Shares of the total that are kept for backends: in any case, and beyond the connections that backends
   * have.
   */
  private static final double RESERVED_FOR_BACKENDS = 0.25;
  private static final double BACKEND_HEADROOM = 0.08;
  /**
   * Maximum share for backends. Clients hold at most a third of all descriptors for requests, each with one
   * attempt in flight.
   */
  private static final double MAX_FOR_BACKENDS = 0.44;

  private final int configuredTotal;
  private int total;
  private int clients;
  private int backends;

  ConnectionBudget(int total) {
    this.configuredTotal = total;
    this.total = total;
  }

  /** Limits this process to a share of the total from now on; open connections stay open. */
  void setShare(double share) {
    total = (int) (configuredTotal * share);
  }

  void addClients(int change) {
    clients += change;
  }

  void addBackends(int change) {
    backends += change;
  }

  int clients() {
    return clients;
  }

  /** The number of client connections allowed at present. */
  int maxClients() {
    return total - (int) (Math.max(total * RESERVED_FOR_BACKENDS, backends + total * BACKEND_HEADROOM));
  }

  boolean hasRoomForBackend() {
    return backends < total * MAX_FOR_BACKENDS && clients + backends < total;
  }
}
