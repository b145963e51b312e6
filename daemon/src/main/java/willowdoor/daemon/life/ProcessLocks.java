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
 * Which processes of a door have ended: each holds a lock on a file of its own until its end, however that
 * comes. Guards against a successor that dies while it waits for the door's lock: nobody holds that lock
 * after it, so nobody's holding shows that it is gone, and it would hold up what it might still send to.
 *
 * <p>A file comes to its name locked, so that none is found unlocked while its process lives. Bound: so many
 * files are looked at a time, {@value #MAX_FILES}.
 */
final class ProcessLocks implements Closeable {

  private static final int MAX_FILES = 100;

  private final Path folder;
  private final String prefix;
  private final Path ownFile;
  private final FileChannel channel;

  /** Locks this process's file, beside the door's lock file. */
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

  /** The incarnations of processes that have ended and were not {@link #forget forgotten}. */
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
      // Held in this very process.
      return false;
    }
  }

  /** It has been told of. */
  void forget(String incarnation) throws IOException {
    Files.deleteIfExists(folder.resolve(prefix + incarnation));
  }

  /** As an end of the process would; whoever holds the door's lock after it takes the file away. */
  @Override
  public void close() throws IOException {
    channel.close();
  }
}
