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
import java.util.List;
import java.util.Map;
import java.util.logging.Logger;
import willowdoor.steward.Codec;

/**
 * Stores which backends are out of service, as the stewards last told this door. Each process of the door has
 * its own file, so that two processes running at the same time don't overwrite each other. A new process
 * merges all files; until the stewards have answered, it may treat too many backends as out, never too few.
 */
final class TakenOutFiles {

  private static final Logger LOG = Logger.getLogger(TakenOutFiles.class.getName());
  private static final int MAX_BYTES = 4 << 20;

  private final Path prefix;
  private final Path ownFile;

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

  /** Merges the contents of all files; null if there are none. An unreadable file is logged and ignored. */
  Map<String, Long> read() {
    Map<String, Long> all = null;
    try {
      for (Path file : files()) {
        try {
          if (Files.size(file) > MAX_BYTES) {
            throw new IOException("it is longer than " + MAX_BYTES + " bytes");
          }
          Map<String, Long> some = Codec.mapperFor().readValue(Files.readAllBytes(file),
              new TypeReference<>() { });
          all = all == null ? new HashMap<>() : all;
          for (Map.Entry<String, Long> e : some.entrySet()) {
            all.merge(e.getKey(), e.getValue(), Math::max);
          }
        } catch (IOException e) {
          LOG.warning(file + " can't be read and is ignored: " + e.getMessage());
        }
      }
    } catch (IOException e) {
      LOG.warning("the files of earlier processes can't be listed: " + e.getMessage());
    }
    return all;
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
