package willowdoor.daemon.life;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/**
 * Finds the process that listens on an address, for the error message of a second process that cannot bind
 * it. The kernel's tables of TCP sockets give the inode of the socket, and the descriptors of each process
 * show which one owns it. Only processes of the same user can be inspected; for others the number of the
 * user is given. Without procfs the owner is reported as unknown.
 */
final class ListenerLookup {

  private static final String LISTEN_STATE = "0A";
  /**
   * Prefix of an IPv4 address to which an IPv6 socket is bound (IPv4-mapped address), in the kernel's
   * notation.
   */
  private static final String IPV4_MAPPED_PREFIX = "0000000000000000FFFF0000";
  private static final int LOCAL_ADDRESS_COLUMN = 1;
  private static final int STATE_COLUMN = 3;
  private static final int USER_COLUMN = 7;
  private static final int INODE_COLUMN = 9;
  private static final int MAX_COMMAND_LENGTH = 120;

  private ListenerLookup() {
  }

  /** Describes the owner, such as "process 4711 (java -jar ...)". */
  static String describe(InetSocketAddress address) {
    try {
      for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
        for (String line : Files.readAllLines(Path.of(table))) {
          String[] columns = line.trim().split("\\s+");
          if (columns.length > INODE_COLUMN && columns[STATE_COLUMN].equals(LISTEN_STATE)
              && isBoundTo(columns[LOCAL_ADDRESS_COLUMN], address)) {
            String process = findProcess("socket:[" + columns[INODE_COLUMN] + "]");
            return process != null ? process : "a process of user number " + columns[USER_COLUMN];
          }
        }
      }
    } catch (IOException e) {
      // Falls through: there is no procfs, or a file in it disappeared while it was read.
    }
    return "an unknown process";
  }

  private static boolean isBoundTo(String localAddress, InetSocketAddress wanted) {
    int colon = localAddress.indexOf(':');
    String ip = localAddress.substring(0, colon);
    boolean isWildcard = ip.chars().allMatch(c -> c == '0');
    return Integer.parseInt(localAddress.substring(colon + 1), 16) == wanted.getPort()
        && (isWildcard || ip.equals(kernelHex(wanted.getAddress()))
        || ip.equals(IPV4_MAPPED_PREFIX + kernelHex(wanted.getAddress())));
  }

  /** The address as the kernel prints it: words of four bytes, each in little-endian order. */
  private static String kernelHex(InetAddress address) {
    byte[] b = address.getAddress();
    StringBuilder text = new StringBuilder();
    for (int word = 0; word < b.length; word += 4) {
      for (int i = 3; i >= 0; i--) {
        text.append(String.format(Locale.ROOT, "%02X", b[word + i]));
      }
    }
    return text.toString();
  }

  private static String findProcess(String socket) throws IOException {
    try (DirectoryStream<Path> processes = Files.newDirectoryStream(Path.of("/proc"), "[0-9]*")) {
      for (Path process : processes) {
        if (hasDescriptor(process.resolve("fd"), socket)) {
          String command = Files.readString(process.resolve("cmdline")).replace('\0', ' ').trim();
          return "process " + process.getFileName() + " (" + (command.length() > MAX_COMMAND_LENGTH
              ? command.substring(0, MAX_COMMAND_LENGTH) + "..." : command) + ")";
        }
      }
    }
    return null;
  }

  private static boolean hasDescriptor(Path descriptors, String socket) {
    try (DirectoryStream<Path> links = Files.newDirectoryStream(descriptors)) {
      for (Path fd : links) {
        if (Files.readSymbolicLink(fd).toString().equals(socket)) {
          return true;
        }
      }
    } catch (IOException | java.nio.file.DirectoryIteratorException e) {
      // The process belongs to another user or has just ended.
    }
    return false;
  }
}
