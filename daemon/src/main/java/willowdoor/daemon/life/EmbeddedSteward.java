package willowdoor.daemon.life;

import java.io.IOException;
import java.util.logging.Logger;
import willowdoor.steward.link.StewardProcess;

/**
 * A steward that runs inside a daemon on its own threads, for a fleet without a separate machine for
 * stewards. A daemon that takes over from another runs the same steward. The disk and the address of the
 * steward are free only when the other daemon has ended, so the start is retried until then.
 */
final class EmbeddedSteward implements AutoCloseable {

  private static final Logger LOG = Logger.getLogger(EmbeddedSteward.class.getName());
  private static final long RETRY_INTERVAL_MS = 100;

  private final StewardProcess.Settings settings;
  private final Thread startThread = new Thread(this::startWithRetries, "inner-steward");
  private StewardProcess process;
  private boolean closed;
  private String lastError = "";

  /** Starts the steward in the background. */
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
      LOG.info("steward " + settings.self().name() + " (embedded) listens at " + process.address());
      process.ended()
          .thenAccept(code -> LOG.severe("the embedded steward has ended; the door continues to serve"));
      return true;
    } catch (IOException e) {
      if (!e.getMessage().equals(lastError)) {
        lastError = e.getMessage();
        LOG.info("the embedded steward cannot start yet: " + lastError);
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
      LOG.warning("cannot close the embedded steward: " + e.getMessage());
    }
  }
}
