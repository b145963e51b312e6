package willowdoor.daemon.life;

import java.io.IOException;
import java.util.logging.Logger;
import willowdoor.steward.link.StewardProcess;

/**
 * A steward inside a daemon, on threads of its own: for a fleet that has no machine to spare for one. A
 * daemon that takes over from another has the same steward; its disk and address are free when the other has
 * ended, so it is begun again and again until then.
 */
final class InnerSteward implements AutoCloseable {

  private static final Logger LOG = Logger.getLogger(InnerSteward.class.getName());
  private static final long AGAIN_MS = 100;

  private final StewardProcess.Settings settings;
  private final Thread beginning = new Thread(this::begin, "inner-steward");
  private StewardProcess process;
  private boolean closed;
  private String said = "";

  /** Begins at once, and doesn't wait for it. */
  InnerSteward(StewardProcess.Settings settings) {
    this.settings = settings;
    beginning.setDaemon(true);
    beginning.start();
  }

  private void begin() {
    try {
      while (!tried()) {
        Thread.sleep(AGAIN_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized boolean tried() throws InterruptedException {
    if (closed) {
      return true;
    }
    try {
      process = new StewardProcess(settings);
      LOG.info("steward " + settings.self().name() + " takes part, at " + process.address());
      process.ended().thenAccept(code -> LOG.severe("the steward inside has ended; the door serves on"));
      return true;
    } catch (IOException e) {
      if (!e.getMessage().equals(said)) {
        said = e.getMessage();
        LOG.info("the steward inside can't begin yet: " + said);
      }
      return false;
    }
  }

  @Override
  public void close() {
    synchronized (this) {
      closed = true;
      if (process == null) {
        return;
      }
    }
    try {
      process.close();
    } catch (IOException e) {
      LOG.warning("the steward inside: " + e.getMessage());
    }
  }
}
