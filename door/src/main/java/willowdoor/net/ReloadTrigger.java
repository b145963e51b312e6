package willowdoor.net;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.Objects;
import java.util.logging.Logger;

/**
 * Tells when a file was replaced, to a process that can't be told by a signal. Whoever is started with
 * SIGHUP ignored, as {@code nohup} has it, hands that on to all that it starts, and the JVM holds to it: a
 * handler is never run.
 */
public final class ReloadTrigger {

  private static final Logger LOG = Logger.getLogger(ReloadTrigger.class.getName());
  /** Well inside the second that a door may take to heed news: the new address may tell some at once. */
  private static final long POLL_INTERVAL_MS = 200;

  /** Which file it is; any part differs after a rename over it or a write into it. */
  private record FileVersion(Object key, long modifiedNanos, long bytes) { }

  private final Path path;
  private final FileVersion initialVersion;

  /** Remembers the file as it is; to be made before the file is read. */
  public ReloadTrigger(Path path) {
    this.path = path;
    initialVersion = readVersion();
  }

  /** Whether it is another than at first. */
  boolean hasChanged() {
    FileVersion current = readVersion();
    return current != null && !current.equals(initialVersion);
  }

  /** Runs the handler at each SIGHUP or, where none can be heard, within 0.2 s of each change of the file. */
  public void onReload(Runnable handler) throws IOException {
    if (!Signals.handle("HUP", handler)) {
      LOG.info("SIGHUP is ignored by whoever started this process: " + path + " is looked at each "
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

  /** Null where there is none at this moment. */
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
