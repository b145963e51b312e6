package willowdoor.net;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.function.DoubleSupplier;
import willowdoor.policy.GatewayApi.Counted;

/**
 * The shared counts. Adds an amount to a name and reports the total, or a status that says what is known
 * about an add without a total. Also reports when the counts that answer are not those that answered
 * before. All calls and all reports are made on the door's event loop, which no method may block.
 */
public interface CounterStore {

  /** Opens the connections; called once. */
  void start();

  /**
   * Adds to a name. The end of the call is reported exactly once, no later than at the call's time limit,
   * and the ends of calls for one name in the order of the calls. An add that ended with a status other
   * than OK, and not with one that proves that it was not made, may have been made or may still be made.
   *
   * @param amount at most 1e9, of either sign; 0 only reads the total
   * @param ttlMs lifetime of a new name in milliseconds, at most 60,000
   */
  void add(String name, double amount, double ttlMs);

  /** Moves to another address; calls pending at the old address end there. Null changes nothing. */
  void moveTo(InetSocketAddress newAddress);

  /** Closes the connections and ends the threads, if there are any. */
  void close();

  /** Receives the results of calls. */
  interface Listener {
    /** Reports the end of a call. */
    void counted(Counted end);

    /**
     * Reports that other counts answer than before.
     *
     * @param lostSinceMs on the door's clock: amounts added until then may be in the new counts, later ones
     *     are not; negative infinity when none are
     */
    void replaced(double lostSinceMs);
  }

  /** Creates a door's store. */
  interface Maker {
    /**
     * Creates a store that is not started yet.
     *
     * @param doorId distinguishes this run of this door from all other doors and from its own
     *     earlier runs; letters and digits
     */
    CounterStore make(EventLoop loop, DoubleSupplier clock, String doorId, Config config, Listener listener);
  }
}
