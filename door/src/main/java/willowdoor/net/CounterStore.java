package willowdoor.net;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.function.DoubleSupplier;
import willowdoor.policy.GatewayApi.Counted;

/**
 * Where the shared counts are: adds an amount to a name and tells the total, or a known kind of not knowing;
 * and tells when the counts that answer are not those that answered before. All calls and all that is told
 * are on the door's loop; nothing here may block it.
 */
public interface CounterStore {

  /** Opens its connections; to be called once. */
  void start();

  /**
   * Adds to a name. Its end is told exactly once, at the call's limit at the latest, and the ends of calls
   * for one name in the order of the calls. An add whose end is not OK and does not prove otherwise may have
   * been made, or may yet be made.
   *
   * @param amount 1e9 at the most, of either sign; 0 reads
   * @param ttlMs life of a new name, 60,000 at the most
   */
  void add(String name, double amount, double ttlMs);

  /** Moves to another address; what is out at the old one ends there. Null changes nothing. */
  void moveTo(InetSocketAddress newAddress);

  /** Closes its connections and ends its threads, if it has any. */
  void close();

  /** Who uses the counts. */
  interface Listener {
    /** The end of a call. */
    void counted(Counted end);

    /**
     * Others' counts answer than before.
     *
     * @param lostSinceMs on the door's clock: what was added until then may be in them, what was added later
     * is not; negative infinity when they have nothing
     */
    void replaced(double lostSinceMs);
  }

  /** Makes a door's store. */
  interface Maker {
    /**
     * A store that is not started yet.
     *
     * @param doorId distinguishes this life of this door from all others; letters and digits
     */
    CounterStore make(EventLoop loop, DoubleSupplier clock, String doorId, Config config, Listener listener);
  }
}
