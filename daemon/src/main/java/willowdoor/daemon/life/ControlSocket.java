package willowdoor.daemon.life;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollServerDomainSocketChannel;
import io.netty.channel.unix.DomainSocketAddress;
import io.netty.channel.unix.FileDescriptor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import willowdoor.life.InstanceLifecycle.Phase;
import willowdoor.life.LifecycleEvent.SuccessorLost;
import willowdoor.life.LifecycleEvent.SuccessorReady;
import willowdoor.net.FileWriter;
import willowdoor.net.FrontDoor;

/**
 * The holder's side of a handover: passes the listening socket to one successor at a time, and reports the
 * outcome to the life cycle of the instance. Only the current user may open the file of the control socket.
 * The file is put into place by an atomic rename, so that the path always exists, and a file that a killed
 * process left behind is replaced.
 *
 * <p>A successor that stalls after its request is refused when the limit for readiness has passed.
 * Bound: at most {@value #MAX_CONNECTIONS} connections; further ones are refused.
 */
final class ControlSocket {

  private static final Logger LOG = Logger.getLogger(ControlSocket.class.getName());
  private static final int MAX_CONNECTIONS = 8;

  private final Instance instance;
  private final FrontDoor door;
  private final Path path;
  private final long readyLimitMs;
  private final HandoverClaims claims;
  private final FileWriter fileWriter = new FileWriter("control-socket");
  private Channel serverChannel;
  private int connections;
  /** The connection of the successor that currently takes over, or null. */
  private SuccessorConnection successor;

  ControlSocket(FrontDoor door, Instance instance, Path path, long readyLimitMs, HandoverClaims claims) {
    this.door = door;
    this.instance = instance;
    this.path = path;
    this.readyLimitMs = readyLimitMs;
    this.claims = claims;
  }

  /** Listens on the path soon, and then runs the action, whether or not it could; called on the loop. */
  void open(Runnable then) {
    fileWriter.execute(() -> {
      tryOpen();
      then.run();
    });
  }

  /**
   * Writes no file from now on, and ends the connection of the successor: nothing begins here any more. Not
   * to be called on the event loop.
   */
  void close() {
    fileWriter.close();
    if (!door.loop().isShuttingDown()) {
      door.loop().execute(this::releaseSuccessor);
    }
  }

  private void releaseSuccessor() {
    if (successor != null) {
      door.failAll();
      successor.connection.close();
    }
  }

  private boolean tryOpen() {
    try {
      open();
      return true;
    } catch (IOException e) {
      LOG.warning("cannot open the control socket, so no successor can take over: " + e.getMessage());
      return false;
    }
  }

  private void open() throws IOException {
    Path temporary = path.resolveSibling(path.getFileName() + "." + ProcessHandle.current().pid());
    Files.deleteIfExists(temporary);
    try {
      serverChannel = new ServerBootstrap().group(door.group()).channel(EpollServerDomainSocketChannel.class)
          .childHandler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel ch) {
              HandoverProtocol.addLineCodec(ch.pipeline());
              ch.pipeline().addLast(new SuccessorConnection());
            }
          }).bind(new DomainSocketAddress(temporary.toFile())).sync().channel();
      Files.setPosixFilePermissions(temporary, PosixFilePermissions.fromString("rw-------"));
      Files.move(temporary, path, StandardCopyOption.ATOMIC_MOVE);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    } catch (Exception e) {
      Files.deleteIfExists(temporary);
      throw new IOException("take_over.control_socket: cannot listen on " + path + ": " + e.getMessage(), e);
    }
  }

  private String listenAddress() {
    return Daemon.formatAddress((InetSocketAddress) door.address());
  }

  /** Replaces the file at the path again, after a successor that had replaced it is gone. */
  void reopen() {
    Channel previous = serverChannel;
    fileWriter.execute(() -> {
      if (tryOpen()) {
        previous.close();
      }
    });
  }

  /** The connection of a process that asks to take over; runs on the event loop. */
  private final class SuccessorConnection extends SimpleChannelInboundHandler<String> {
    private String pid = "?";
    private ChannelHandlerContext connection;
    private boolean counted;
    private boolean descriptorSent;
    private boolean ready;

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      counted = true;
      if (++connections > MAX_CONNECTIONS) {
        refuse(ctx, "too many processes ask at once");
      }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, String line) {
      if (successor == this && descriptorSent && claims.handle(ctx, line)) {
        return;
      }
      String[] words = line.split(" ");
      if (words[0].equals(HandoverProtocol.TAKE_OVER) && words.length == 4) {
        handleTakeOver(ctx, words);
      } else if (line.equals(HandoverProtocol.SEND) && successor == this && !descriptorSent) {
        descriptorSent = true;
        ctx.writeAndFlush(new FileDescriptor(door.descriptor()));
      } else if ((line.equals(HandoverProtocol.READY)
          || line.equals(HandoverProtocol.READY_FOR_LEARNED_STATE)) && descriptorSent && !ready) {
        ready = true;
        LOG.info("process " + pid + " has taken over " + listenAddress());
        claims.onOtherTakesClients(ctx);
        instance.post(new SuccessorReady());
        HandoverProtocol.writeLine(ctx, HandoverProtocol.CONFIRMED);
        if (line.equals(HandoverProtocol.READY_FOR_LEARNED_STATE)) {
          door.loop().execute(() -> sendLearnedState(ctx));
        }
      } else {
        refuse(ctx, "not understood: " + line);
      }
    }

    private void handleTakeOver(ChannelHandlerContext ctx, String[] words) {
      pid = words[2];
      if (!words[1].equals(HandoverProtocol.VERSION)) {
        refuse(ctx, "handover version " + words[1] + " (expected: " + HandoverProtocol.VERSION + ")");
      } else if (!words[3].equals(listenAddress())) {
        refuse(ctx, "process " + ProcessHandle.current().pid() + " listens on " + listenAddress()
            + ", not on "
            + words[3]);
      } else if (successor != null) {
        refuse(ctx, "process " + successor.pid + " is taking over already");
      } else if (instance.phase() != Phase.READY && instance.phase() != Phase.OUT) {
        refuse(ctx, "process " + ProcessHandle.current().pid() + " is " + instance.phase());
      } else {
        successor = this;
        connection = ctx;
        ctx.executor().schedule(() -> {
          if (!ready && ctx.channel().isActive()) {
            refuse(ctx, "not ready within " + readyLimitMs + " ms");
          }
        }, readyLimitMs, TimeUnit.MILLISECONDS);
        HandoverProtocol.writeLine(ctx, HandoverProtocol.HANDING + " " + ProcessHandle.current().pid() + " "
            + HandoverClaims.SUPPORTED + " " + LearnedStateLines.LINE_PREFIX);
      }
    }

    private void sendLearnedState(ChannelHandlerContext ctx) {
      LearnedStateLines.encode(door.learnedState()).forEach(x -> ctx.write(x + '\n'));
      ctx.flush();
    }

    private void refuse(ChannelHandlerContext ctx, String reason) {
      ctx.writeAndFlush(HandoverProtocol.REFUSED + " " + reason + '\n')
          .addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      connections -= counted ? 1 : 0;
      claims.detach(ctx);
      if (successor == this) {
        successor = null;
        if (ready) {
          instance.post(new SuccessorLost());
        } else {
          LOG.warning("process " + pid + " did not become ready; serving on");
        }
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }

  /** Whether this machine can pass a socket to another process (epoll is available). */
  static boolean isAvailable() {
    return Epoll.isAvailable();
  }
}
