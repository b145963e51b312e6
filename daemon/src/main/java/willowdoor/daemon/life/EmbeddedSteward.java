package willowdoor.daemon.life;

import java.io.IOException;
import java.util.logging.Logger;
import willowdoor.steward.link.StewardProcess;

/**
 * A steward inside a daemon, on threads of its own: for a fleet that has no machine to spare for one. A
 * daemon that takes over from another has the same steward; its disk and address are free when the other has
 * ended, so it is begun again and again until then.
 */
final class EmbeddedSteward implements AutoCloseable {

  private static final Logger LOG = Logger.getLogger(EmbeddedSteward.class.getName());
  private static final long RETRY_INTERVAL_MS = 100;

  private final StewardProcess.Settings settings;
  private final Thread startThread = new Thread(this::startWithRetries, "inner-steward");
  private StewardProcess process;
  private boolean closed;
  private String lastError = "";

  /** Begins at once, and doesn't wait for it. */
  EmbeddedSteward(StewardProcess.Settings settings) {
    this.settings = settings;
    startThread.setDaemon(true);
    startThread.start();
  }

  private void startWithRetries() {
    try {
      while (!tryStart()) {
        Thread.sleep(RETRY_INTERVAL_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized boolean tryStart() throws InterruptedException {
    if (closed) {
      return true;
    }
    try {
      process = new StewardProcess(settings);
      LOG.info("steward " + settings.self().name() + " takes part, at " + process.address());
      process.ended().thenAccept(code -> LOG.severe("the steward inside has ended; the door serves on"));
      return true;
    } catch (IOException e) {
      if (!e.getMessage().equals(lastError)) {
        lastError = e.getMessage();
        LOG.info("the steward inside can't begin yet: " + lastError);
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
