package willowdoor.net;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * A backend whose connections open late. Its accept queue is full until {@link #open}, so the kernel drops
 * the client's SYN, and the connection opens only with a retransmission, one second after the first.
 */
final class LateBackend implements Closeable {

  private static final int BACKLOG = 1;
  private static final int CONNECT_LIMIT_MS = 150;

  final BlockingQueue<Peers.Message> requests = new LinkedBlockingQueue<>();
  private final ServerSocket server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private final int queuedFillers;

  LateBackend() throws IOException {
    List<Socket> accepted = new ArrayList<>();
    boolean full = false;
    while (!full) {
      Socket socket = new Socket();
      sockets.add(socket);
      try {
        socket.connect(new InetSocketAddress(server.getInetAddress(), port()), CONNECT_LIMIT_MS);
        accepted.add(socket);
      } catch (SocketTimeoutException e) {
        full = true;
      }
    }
    queuedFillers = accepted.size();
  }

  int port() {
    return server.getLocalPort();
  }

  /** Empties the accept queue, accepts connections from here on, and answers each request. */
  void open() throws IOException {
    for (int i = 0; i < queuedFillers; i++) {
      server.accept().close();
    }
    Peers.thread(() -> {
      while (true) {
        Socket socket = server.accept();
        sockets.add(socket);
        Peers.thread(() -> serve(socket));
      }
    });
  }

  private void serve(Socket socket) throws IOException {
    BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
    while (true) {
      requests.add(Peers.read(in));
      Peers.write(socket.getOutputStream(), Peers.OK);
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
