package willowdoor.net;

import java.io.IOException;
import java.lang.reflect.Proxy;

/**
 * SIGHUP, which would end the JVM where nothing handles it. The JDK's one interface to signals is reached by
 * reflection, as the compiler warns of every other use of it, and warnings are errors here.
 */
final class ReloadSignal {

  private ReloadSignal() {
  }

  static void handle(Runnable reload) throws IOException {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object handling = Proxy.newProxyInstance(ReloadSignal.class.getClassLoader(), new Class<?>[] {handler},
          (proxy, method, arguments) -> {
            reload.run();
            return null;
          });
      signal.getMethod("handle", signal, handler)
          .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), handling);
    } catch (ReflectiveOperationException e) {
      throw new IOException("cannot handle SIGHUP", e);
    }
  }
}
