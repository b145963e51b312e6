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
 * The one file by which a second process of a front door finds the first: its management address. It is
 * written whole or not at all. One that is torn, of another version or too long is named in the log and left
 * aside; one that names a dead process is found out by the call to it.
 */
final class ProcessFile {

  private static final Logger LOG = Logger.getLogger(ProcessFile.class.getName());
  private static final String FILE_NAME = "front-door.process";
  private static final String PREFIX = "front-door-process 1 ";
  private static final int MAX_BYTES = 256;

  private final Path file;

  /** In the folder that both processes share; with null there is none, and no file. */
  ProcessFile(String folder) {
    file = folder == null || folder.isEmpty() ? null : Path.of(folder, FILE_NAME);
  }

  /** Where the process that wrote it is managed, or null. */
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

  /** Names this process, so that the next one finds it; without a file it will not. */
  void write(InetSocketAddress ownAddress) {
    if (file == null) {
      return;
    }
    try {
      Path temporary = Files.createTempFile(file.getParent(), FILE_NAME, ".new");
      Files.writeString(temporary,
          PREFIX + ownAddress.getAddress().getHostAddress() + ":" + ownAddress.getPort() + " end\n");
      Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    } catch (IOException | RuntimeException e) {
      LOG.warning(file + " could not be written: " + e.getMessage());
    }
  }
}
