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
public final class ReplacedFile {

  private static final Logger LOG = Logger.getLogger(ReplacedFile.class.getName());
  /** Well inside the second that a door may take to heed news: the new address may tell some at once. */
  private static final long LOOK_MS = 200;

  /** Which file it is; any part differs after a rename over it or a write into it. */
  private record Look(Object key, long modifiedNanos, long bytes) { }

  private final Path path;
  private final Look first;

  /** Remembers the file as it is; to be made before the file is read. */
  public ReplacedFile(Path path) {
    this.path = path;
    first = look();
  }

  /** Whether it is another than at first. */
  boolean changed() {
    Look now = look();
    return now != null && !now.equals(first);
  }

  /** Runs the handler at each SIGHUP or, where none can be heard, within 0.2 s of each change of the file. */
  public void onHangUp(Runnable handler) throws IOException {
    if (!Signals.handle("HUP", handler)) {
      LOG.info("SIGHUP is ignored by whoever started this process: " + path + " is looked at each "
          + LOOK_MS + " ms instead");
      Thread looking = new Thread(() -> run(handler), "replaced-file");
      looking.setDaemon(true);
      looking.start();
    }
  }

  private void run(Runnable handler) {
    Look before = first;
    try {
      while (true) {
        Thread.sleep(LOOK_MS);
        Look now = look();
        if (now != null && !now.equals(before)) {
          before = now;
          handler.run();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Null where there is none at this moment. */
  private Look look() {
    try {
      BasicFileAttributes a = Files.readAttributes(path, BasicFileAttributes.class);
      return new Look(Objects.requireNonNullElse(a.fileKey(), path),
          a.lastModifiedTime().to(java.util.concurrent.TimeUnit.NANOSECONDS), a.size());
    } catch (IOException e) {
      return null;
    }
  }
}
