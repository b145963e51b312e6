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
 * Tells who listens on an address, for the message to a second process that wants it: the kernel's table of
 * TCP sockets names the socket's inode, and the descriptors of processes name whose it is. Only processes of
 * the same user can be looked into; of another one the user's number is told. Without procfs it tells
 * nothing.
 */
final class AddressHolder {

  private static final String LISTENS = "0A";
  /** A socket of the sixth family that is bound to an address of the fourth. */
  private static final String MAPPED = "0000000000000000FFFF0000";
  private static final int LOCAL = 1;
  private static final int STATE = 3;
  private static final int USER = 7;
  private static final int INODE = 9;
  private static final int LONGEST_COMMAND = 120;

  private AddressHolder() {
  }

  /** In words, such as "process 4711 (java -jar ...)". */
  static String of(InetSocketAddress address) {
    try {
      for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
        for (String line : Files.readAllLines(Path.of(table))) {
          String[] f = line.trim().split("\\s+");
          if (f.length > INODE && f[STATE].equals(LISTENS) && listensFor(f[LOCAL], address)) {
            String process = process("socket:[" + f[INODE] + "]");
            return process != null ? process : "a process of user number " + f[USER];
          }
        }
      }
    } catch (IOException e) {
      // Falls through: no procfs, or it changed under the reading.
    }
    return "an unknown process";
  }

  private static boolean listensFor(String local, InetSocketAddress wanted) {
    int colon = local.indexOf(':');
    String ip = local.substring(0, colon);
    boolean any = ip.chars().allMatch(c -> c == '0');
    return Integer.parseInt(local.substring(colon + 1), 16) == wanted.getPort()
        && (any || ip.equals(hex(wanted.getAddress())) || ip.equals(MAPPED + hex(wanted.getAddress())));
  }

  /** As the kernel prints it: words of four bytes, each in the machine's (little-endian) order. */
  private static String hex(InetAddress address) {
    byte[] b = address.getAddress();
    StringBuilder text = new StringBuilder();
    for (int word = 0; word < b.length; word += 4) {
      for (int i = 3; i >= 0; i--) {
        text.append(String.format(Locale.ROOT, "%02X", b[word + i]));
      }
    }
    return text.toString();
  }

  private static String process(String socket) throws IOException {
    try (DirectoryStream<Path> processes = Files.newDirectoryStream(Path.of("/proc"), "[0-9]*")) {
      for (Path process : processes) {
        if (holds(process.resolve("fd"), socket)) {
          String command = Files.readString(process.resolve("cmdline")).replace('\0', ' ').trim();
          return "process " + process.getFileName() + " (" + (command.length() > LONGEST_COMMAND
              ? command.substring(0, LONGEST_COMMAND) + "..." : command) + ")";
        }
      }
    }
    return null;
  }

  private static boolean holds(Path descriptors, String socket) {
    try (DirectoryStream<Path> all = Files.newDirectoryStream(descriptors)) {
      for (Path fd : all) {
        if (Files.readSymbolicLink(fd).toString().equals(socket)) {
          return true;
        }
      }
    } catch (IOException | java.nio.file.DirectoryIteratorException e) {
      // Another user's process, or one that has just ended.
    }
    return false;
  }
}
