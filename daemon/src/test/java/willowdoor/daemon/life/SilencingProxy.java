package willowdoor.daemon.life;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A TCP proxy that can silence its open connections: it keeps them open but discards their bytes. Connections
 * that are opened later are forwarded.
 */
final class SilencingProxy implements AutoCloseable {

  private final ServerSocket serverSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final InetSocketAddress target;
  private final AtomicInteger connections = new AtomicInteger();
  private final AtomicInteger silencedUpTo = new AtomicInteger();
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();

  SilencingProxy(InetSocketAddress to) throws IOException {
    this.target = to;
    run(() -> {
      while (true) {
        Socket from = serverSocket.accept();
        Socket onward = new Socket(to.getAddress(), to.getPort());
        sockets.add(from);
        sockets.add(onward);
        int number = connections.incrementAndGet();
        run(() -> copy(number, from, onward));
        run(() -> copy(number, onward, from));
      }
    });
  }

  private interface Work {
    void go() throws IOException;
  }

  private static void run(Work work) {
    Thread t = new Thread(() -> {
      try {
        work.go();
      } catch (IOException e) {
        // The connection or the listening socket was closed, so nothing is left to forward.
      }
    }, "deaf");
    t.setDaemon(true);
    t.start();
  }

  private void copy(int number, Socket from, Socket onward) throws IOException {
    byte[] bytes = new byte[4_096];
    InputStream in = from.getInputStream();
    for (int n = in.read(bytes); n >= 0; n = in.read(bytes)) {
      if (number > silencedUpTo.get()) {
        onward.getOutputStream().write(bytes, 0, n);
      }
    }
  }

  int port() {
    return serverSocket.getLocalPort();
  }

  int connections() {
    return connections.get();
  }

  void silenceOpenConnections() {
    silencedUpTo.set(connections.get());
  }

  @Override
  public void close() throws IOException {
    serverSocket.close();
    for (Socket s : sockets) {
      s.close();
    }
  }
}
