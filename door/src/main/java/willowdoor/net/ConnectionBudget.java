package willowdoor.net;

/**
 * The connections of clients and to backends, which share what descriptors there are: a crowd of clients may
 * take what the backends do not need, and gives it back as they need more.
 */
final class ConnectionBudget {

  /** Kept free for backends in any case, and beyond what they have. */
  private static final double RESERVED_FOR_BACKENDS = 0.25;
  private static final double BACKEND_HEADROOM = 0.08;
  /** Clients hold a third of all descriptors at most for requests, each with one attempt out. */
  private static final double MAX_FOR_BACKENDS = 0.44;

  private final int configuredTotal;
  private int total;
  private int clients;
  private int backends;

  ConnectionBudget(int total) {
    this.configuredTotal = total;
    this.total = total;
  }

  /** This process has such a part of the places from here on; what is open stays open. */
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

  /** How many clients there may be by now. */
  int maxClients() {
    return total - (int) (Math.max(total * RESERVED_FOR_BACKENDS, backends + total * BACKEND_HEADROOM));
  }

  boolean hasRoomForBackend() {
    return backends < total * MAX_FOR_BACKENDS && clients + backends < total;
  }
}
