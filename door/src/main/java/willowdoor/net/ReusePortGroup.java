package willowdoor.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.unix.Buffer;
import io.netty.channel.unix.IntegerUnixChannelOption;
import io.netty.channel.unix.RawUnixChannelOption;
import java.lang.ref.Reference;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The sockets of several processes that listen at one address (SO_REUSEPORT). By default the kernel
 * distributes new connections over all of them, and resets those in the accept queue of a socket that is
 * closed. So before a process closes its socket it directs new connections to another one, by a filter
 * program that the whole group shares.
 */
final class ReusePortGroup {

  private static final Logger LOG = Logger.getLogger(ReusePortGroup.class.getName());
  private static final int SOL_SOCKET = 1;
  /** Size of Linux's {@code struct sock_fprog}, and the offset of its pointer to the instructions. */
  private static final int PROGRAM_BYTES = 16;
  private static final int POINTER_OFFSET = 8;
  /** Size of a {@code struct sock_filter}, and the code of the instruction that returns a constant. */
  private static final int INSTRUCTION_BYTES = 8;
  private static final short RETURN_CONSTANT = 0x06;

  private static final RawUnixChannelOption ATTACH_PROGRAM =
      new RawUnixChannelOption("SO_ATTACH_REUSEPORT_CBPF", SOL_SOCKET, 51, PROGRAM_BYTES);
  private static final IntegerUnixChannelOption DETACH_PROGRAM =
      new IntegerUnixChannelOption("SO_DETACH_REUSEPORT_BPF", SOL_SOCKET, 68);

  private ReusePortGroup() {
  }

  /**
   * Directs all new connections of the group to one of its sockets, until {@link #distribute}. Connections
   * whose handshake has begun still reach the socket that they were distributed to.
   *
   * @param listening any socket of the group
   * @param index the position of the chosen socket, counted from 0 in the order in which they began to listen
   * @return whether the system supports this
   */
  static boolean directTo(Channel listening, int index) {
    if (!(listening instanceof EpollServerSocketChannel socket)) {
      return false;
    }
    ByteBuffer instruction = direct(INSTRUCTION_BYTES);
    instruction.putShort(RETURN_CONSTANT).putShort((short) 0).putInt(index);
    ByteBuffer program = direct(PROGRAM_BYTES);
    program.putShort(0, (short) 1).putLong(POINTER_OFFSET, Buffer.memoryAddress(instruction));
    try {
      return socket.config().setOption(ATTACH_PROGRAM, program);
    } catch (ChannelException e) {
      LOG.log(Level.FINE, "new connections cannot be directed to one process", e);
      return false;
    } finally {
      // The kernel reads the instruction through its address, which does not keep the buffer alive.
      Reference.reachabilityFence(instruction);
    }
  }

  /** Distributes new connections over all sockets of the group again. */
  static void distribute(Channel listening) {
    if (listening instanceof EpollServerSocketChannel socket && socket.isActive()) {
      try {
        socket.config().setOption(DETACH_PROGRAM, 0);
      } catch (ChannelException e) {
        LOG.log(Level.FINE, "no program was attached", e);
      }
    }
  }

  private static ByteBuffer direct(int bytes) {
    return ByteBuffer.allocateDirect(bytes).order(ByteOrder.nativeOrder());
  }
}
