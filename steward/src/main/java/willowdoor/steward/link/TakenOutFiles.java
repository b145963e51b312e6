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
 * Which backends are out, by what processes of a door were told last: a file of each process beside the
 * others, so that two that live at a time don't write over each other. A process that begins takes all of
 * them together, which is too many out, if anything, until the stewards have told.
 */
final class TakenOutFiles {

  private static final Logger LOG = Logger.getLogger(TakenOutFiles.class.getName());
  private static final int MAX_BYTES = 4 << 20;

  private final Path prefix;
  private final Path ownFile;

  /** By this prefix of the files' names, and this process's own part. */
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

  /** What all of them say; null where there are none. One that can't be read is named, and says nothing. */
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
          LOG.warning(file + " can't be read, and is passed over: " + e.getMessage());
        }
      }
    } catch (IOException e) {
      LOG.warning("what processes before this one remembered can't be found: " + e.getMessage());
    }
    return all;
  }

  /** Keeps this, and has it on the disk before it returns. */
  void write(Map<String, Long> out) throws IOException {
    Path fresh = Path.of(ownFile + ".new");
    try (FileChannel file = FileChannel.open(fresh, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
        StandardOpenOption.TRUNCATE_EXISTING)) {
      file.write(java.nio.ByteBuffer.wrap(Codec.mapperFor().writeValueAsBytes(out)));
      file.force(true);
    }
    Files.move(fresh, ownFile, StandardCopyOption.ATOMIC_MOVE);
  }

  /** Removes those of other processes, which have ended; this one's own is there. */
  void deleteOthers() {
    try {
      for (Path file : files()) {
        if (!file.equals(ownFile) && Files.exists(ownFile)) {
          Files.deleteIfExists(file);
        }
      }
    } catch (IOException e) {
      LOG.warning("what processes before this one remembered stays: " + e.getMessage());
    }
  }
}
