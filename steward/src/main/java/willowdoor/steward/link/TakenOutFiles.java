package willowdoor.steward.link;

import com.fasterxml.jackson.core.type.TypeReference;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.logging.Logger;
import willowdoor.steward.Codec;

/**
 * Stores which backends are out of service, as the stewards last told this door. Each process of the door has
 * its own file, so that two processes running at the same time don't overwrite each other. A new process
 * merges all files; until the stewards have answered, it may treat too many backends as out, never too few.
 *
 * <p>A file is evidence only while the stewards wait for its process before they call a further backend out.
 * So it is deleted before the process reports its end, and what cannot be read whole is no evidence.
 */
final class TakenOutFiles {

  private static final Logger LOG = Logger.getLogger(TakenOutFiles.class.getName());
  private static final int MAX_BYTES = 4 << 20;

  private final Path prefix;
  private final Path ownFile;
  /** Files of earlier processes that {@link #read} has found. */
  private final Set<Path> earlierFiles = new HashSet<>();

  /** Uses this prefix of the file names, and a suffix for this process. */
  TakenOutFiles(Path prefix, String incarnation) {
    this.prefix = prefix.toAbsolutePath();
    ownFile = Path.of(this.prefix + "." + incarnation);
  }

  private List<Path> files() throws IOException {
    List<Path> all = new ArrayList<>();
    try (DirectoryStream<Path> found = Files.newDirectoryStream(prefix.getParent(),
        x -> x.getFileName().toString().startsWith(prefix.getFileName() + ".")
            && !x.getFileName().toString().endsWith(".new"))) {
      found.forEach(all::add);
    }
    return all;
  }

  /**
   * Merges the contents of all files; null if there are none, or if one cannot be read, which may be the one
   * that names a backend.
   */
  Map<String, Long> read() {
    try {
      earlierFiles.addAll(files());
      Map<String, Long> all = new HashMap<>();
      for (Path file : earlierFiles) {
        read(file).forEach((backend, permit) -> all.merge(backend, permit, Math::max));
      }
      return earlierFiles.isEmpty() ? null : all;
    } catch (IOException e) {
      LOG.warning("which backends are out can't be read from the files of earlier processes: " + e);
      return null;
    }
  }

  private static Map<String, Long> read(Path file) throws IOException {
    if (Files.size(file) > MAX_BYTES) {
      throw new IOException(file + " is longer than " + MAX_BYTES + " bytes");
    }
    return Codec.mapperFor().readValue(Files.readAllBytes(file), new TypeReference<>() { });
  }

  /** Replaces this process's file; the content is on disk when the method returns. */
  void write(Map<String, Long> out) throws IOException {
    Path fresh = Path.of(ownFile + ".new");
    try (FileChannel file = FileChannel.open(fresh, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
        StandardOpenOption.TRUNCATE_EXISTING)) {
      file.write(java.nio.ByteBuffer.wrap(Codec.mapperFor().writeValueAsBytes(out)));
      file.force(true);
    }
    Files.move(fresh, ownFile, StandardCopyOption.ATOMIC_MOVE);
  }

  /** Deletes this process's file and those that it has read; they are gone when the method returns. */
  void deleteOwnAndEarlier() throws IOException {
    earlierFiles.add(ownFile);
    for (Path file : earlierFiles) {
      Files.deleteIfExists(file);
    }
    try (FileChannel directory = FileChannel.open(prefix.getParent(), StandardOpenOption.READ)) {
      directory.force(true);
    }
  }

  /** Deletes the files of other processes, which have ended, once this process has its own file. */
  void deleteOthers() {
    try {
      for (Path file : files()) {
        if (!file.equals(ownFile) && Files.exists(ownFile)) {
          Files.deleteIfExists(file);
        }
      }
    } catch (IOException e) {
      LOG.warning("the files of earlier processes can't be deleted: " + e.getMessage());
    }
  }
}
