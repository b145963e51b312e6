package willowdoor.net;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.Objects;
import java.util.logging.Logger;

/**
 * Tells when a configuration file is to be reloaded: at SIGHUP or, in a process that cannot receive SIGHUP,
 * when the file was replaced. A process that is started with SIGHUP ignored, as {@code nohup} does, passes
 * this on to all its child processes, and a JVM started in this way never runs a handler for the signal.
 */
public final class ReloadTrigger {

  private static final Logger LOG = Logger.getLogger(ReloadTrigger.class.getName());
  /**
   * Interval of the checks of the file, in milliseconds. Well below the 1 s in which a door must act on news
   * of discovery: the new address may send some at once.
   */
  private static final long POLL_INTERVAL_MS = 200;

  /**
   * Identifies a version of the file; at least one component changes when the file is replaced by a rename or
   * written to.
   */
  private record FileVersion(Object key, long modifiedNanos, long bytes) { }

  private final Path path;
  private final FileVersion initialVersion;

  /** Records the present version of the file; to be created before the file is read. */
  public ReloadTrigger(Path path) {
    this.path = path;
    initialVersion = readVersion();
  }

  /** Whether the file exists and differs from the version recorded at construction. */
  boolean hasChanged() {
    FileVersion current = readVersion();
    return current != null && !current.equals(initialVersion);
  }

  /** Runs the handler at each SIGHUP or, where SIGHUP is ignored, within 0.2 s of each change of the file. */
  public void onReload(Runnable handler) throws IOException {
    if (!Signals.handle("HUP", handler)) {
      LOG.info("this process was started with SIGHUP ignored: " + path + " is checked every "
          + POLL_INTERVAL_MS + " ms instead");
      Thread poller = new Thread(() -> poll(handler), "replaced-file");
      poller.setDaemon(true);
      poller.start();
    }
  }

  private void poll(Runnable handler) {
    FileVersion previous = initialVersion;
    try {
      while (true) {
        Thread.sleep(POLL_INTERVAL_MS);
        FileVersion current = readVersion();
        if (current != null && !current.equals(previous)) {
          previous = current;
          handler.run();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** The present version, or null if the file cannot be read at this moment. */
  private FileVersion readVersion() {
    try {
      BasicFileAttributes attributes = Files.readAttributes(path, BasicFileAttributes.class);
      return new FileVersion(Objects.requireNonNullElse(attributes.fileKey(), path),
          attributes.lastModifiedTime().to(java.util.concurrent.TimeUnit.NANOSECONDS), attributes.size());
    } catch (IOException e) {
      return null;
    }
  }
}
