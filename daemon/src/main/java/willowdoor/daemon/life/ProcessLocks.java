package willowdoor.daemon.life;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;

/**
 * Detects which processes of a door have ended. Each process holds a lock on a file of its own until it
 * ends, whatever the cause. This also covers a successor that dies while it waits for the door's lock: it
 * never held that lock, so the lock does not show its death, and backends to which the dead process might
 * still send would never be released.
 *
 * <p>A file is locked before it is renamed to its final name, so that no file of a living process is ever
 * found unlocked. Bound: a check looks at no more than {@value #MAX_FILES} files.
 */
final class ProcessLocks implements Closeable {

  private static final int MAX_FILES = 100;

  private final Path folder;
  private final String prefix;
  private final Path ownFile;
  private final FileChannel channel;

  /** Creates and locks the file of this process, in the folder of the door's lock file. */
  ProcessLocks(Path lockFile, String incarnation) throws IOException {
    folder = lockFile.toAbsolutePath().getParent();
    prefix = lockFile.getFileName() + ".process.";
    ownFile = folder.resolve(prefix + incarnation);
    Path temporary = folder.resolve(lockFile.getFileName() + ".begins." + incarnation);
    channel = FileChannel.open(temporary, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    FileLock lock = channel.tryLock();
    if (lock == null) {
      channel.close();
      throw new IOException("the file " + temporary
          + " is locked by another process (expected: no other process "
          + incarnation + ")");
    }
    Files.move(temporary, ownFile, StandardCopyOption.ATOMIC_MOVE);
  }

  /** The incarnations of processes that have ended and are not yet {@link #forget forgotten}. */
  List<String> ended() throws IOException {
    List<String> ended = new ArrayList<>();
    int checked = 0;
    try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, prefix + "*")) {
      for (Path file : files) {
        if (!file.equals(ownFile) && checked++ < MAX_FILES && isUnlocked(file)) {
          ended.add(file.getFileName().toString().substring(prefix.length()));
        }
      }
    }
    return ended;
  }

  private static boolean isUnlocked(Path file) throws IOException {
    try (FileChannel fileChannel = FileChannel.open(file, StandardOpenOption.WRITE)) {
      FileLock lock = fileChannel.tryLock();
      return lock != null;
    } catch (OverlappingFileLockException e) {
      // The lock is held by this process itself.
      return false;
    }
  }

  /** Removes the file of an ended process, once its end has been reported. */
  void forget(String incarnation) throws IOException {
    Files.deleteIfExists(folder.resolve(prefix + incarnation));
  }

  /**
   * Releases the lock, as the end of the process would do. The process that next holds the door's lock
   * removes the file.
   */
  @Override
  public void close() throws IOException {
    channel.close();
  }
}
