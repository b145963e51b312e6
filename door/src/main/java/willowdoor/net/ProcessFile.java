package willowdoor.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.logging.Logger;

/**
 * The file by which a second process of a front door finds the first. It holds the first process's management
 * address and is written atomically. A file that is incomplete, of another version or too long is logged and
 * ignored. That a file names a process which has ended is found out by the call to that process.
 */
final class ProcessFile {

  private static final Logger LOG = Logger.getLogger(ProcessFile.class.getName());
  private static final String FILE_NAME = "front-door.process";
  private static final String PREFIX = "front-door-process 1 ";
  private static final int MAX_BYTES = 256;

  private final Path file;

  /**
   * Uses the file in the folder that both processes share; if the folder is null or empty there is no file.
   */
  ProcessFile(String folder) {
    file = folder == null || folder.isEmpty() ? null : Path.of(folder, FILE_NAME);
  }

  /** Returns the management address of the process that wrote the file; null without a valid file. */
  InetSocketAddress read() {
    if (file == null) {
      return null;
    }
    try {
      byte[] bytes = Files.size(file) > MAX_BYTES ? new byte[0] : Files.readAllBytes(file);
      String text = new String(bytes, StandardCharsets.UTF_8);
      InetSocketAddress address = text.startsWith(PREFIX) && text.endsWith(" end\n")
          ? EndpointUpdate.parseAddress(text.substring(PREFIX.length(), text.length() - " end\n".length()))
          : null;
      if (address == null) {
        LOG.warning(file + " is left aside: expected '" + PREFIX + "ADDRESS end' in one line");
      }
      return address;
    } catch (NoSuchFileException e) {
      return null;
    } catch (IOException | RuntimeException e) {
      LOG.warning(file + " is left aside: " + e.getMessage());
      return null;
    }
  }

  /** Writes this process's address, so that the next process finds it. A failure is only logged. */
  void write(InetSocketAddress ownAddress) {
    if (file == null) {
      return;
    }
    try {
      Path temporary = Files.createTempFile(file.getParent(), FILE_NAME, ".new");
      Files.writeString(temporary, PREFIX + ownAddress.getAddress().getHostAddress() + ":"
          + ownAddress.getPort() + " end\n");
      Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    } catch (IOException | RuntimeException e) {
      LOG.warning(file + " could not be written: " + e.getMessage());
    }
  }
}
