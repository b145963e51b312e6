package willowdoor.net;

/**
 * The connections of clients and to backends, which share what descriptors there are: a crowd of clients may
 * take what the backends do not need, and gives it back as they need more.
 */
final class Places {

  /** Kept free for backends in any case, and beyond what they have. */
  private static final double LEAST_FOR_BACKENDS = 0.25;
  private static final double AHEAD_FOR_BACKENDS = 0.08;
  /** Clients hold a third of all descriptors at most for requests, each with one attempt out. */
  private static final double MOST_FOR_BACKENDS = 0.44;

  private final int whole;
  private int all;
  private int clients;
  private int backends;

  Places(int all) {
    this.whole = all;
    this.all = all;
  }

  /** This process has such a part of the places from here on; what is open stays open. */
  void part(double part) {
    all = (int) (whole * part);
  }

  void client(int change) {
    clients += change;
  }

  void backend(int change) {
    backends += change;
  }

  int clients() {
    return clients;
  }

  /** How many clients there may be by now. */
  int mostClients() {
    return all - (int) (Math.max(all * LEAST_FOR_BACKENDS, backends + all * AHEAD_FOR_BACKENDS));
  }

  boolean roomForBackend() {
    return backends < all * MOST_FOR_BACKENDS && clients + backends < all;
  }
}
