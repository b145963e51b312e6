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
final class TwinFile {

  private static final Logger LOG = Logger.getLogger(TwinFile.class.getName());
  private static final String NAME = "front-door.process";
  private static final String FIRST = "front-door-process 1 ";
  private static final int MOST_BYTES = 256;

  private final Path file;

  /** In the folder that both processes share; with null there is none, and no file. */
  TwinFile(String folder) {
    file = folder == null || folder.isEmpty() ? null : Path.of(folder, NAME);
  }

  /** Where the process that wrote it is managed, or null. */
  InetSocketAddress read() {
    if (file == null) {
      return null;
    }
    try {
      byte[] bytes = Files.size(file) > MOST_BYTES ? new byte[0] : Files.readAllBytes(file);
      String text = new String(bytes, StandardCharsets.UTF_8);
      InetSocketAddress address = text.startsWith(FIRST) && text.endsWith(" end\n")
          ? RosterNews.address(text.substring(FIRST.length(), text.length() - " end\n".length())) : null;
      if (address == null) {
        LOG.warning(file + " is left aside: expected '" + FIRST + "ADDRESS end' in one line");
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
  void write(InetSocketAddress own) {
    if (file == null) {
      return;
    }
    try {
      Path whole = Files.createTempFile(file.getParent(), NAME, ".new");
      Files.writeString(whole, FIRST + own.getAddress().getHostAddress() + ":" + own.getPort() + " end\n");
      Files.move(whole, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    } catch (IOException | RuntimeException e) {
      LOG.warning(file + " could not be written: " + e.getMessage());
    }
  }
}
