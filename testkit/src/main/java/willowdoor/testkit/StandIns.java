package willowdoor.testkit;

import java.net.InetSocketAddress;

/** Where stand-ins listen. */
public final class StandIns {

  private StandIns() {
  }

  /**
   * Any free port of a loopback address that nobody connects from: a connection made on this machine comes
   * from 127.0.0.1 unless it says otherwise, so while a stand-in is down, none can take its port as its own.
   * On 127.0.0.1 one did, and a stand-in that was to come back found its address in use.
   */
  public static InetSocketAddress anyAddress() {
    return new InetSocketAddress("127.0.0.2", 0);
  }

  /** As a setting has it. */
  public static String text(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }
}
