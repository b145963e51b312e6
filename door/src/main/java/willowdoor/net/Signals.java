package willowdoor.net;

import java.io.IOException;
import java.lang.reflect.Proxy;

/**
 * Signals to this process. SIGHUP would end the JVM where nothing handles it; SIGTERM runs its shutdown hooks
 * once and never tells of a second one. The JDK's one interface to signals is reached by reflection, as the
 * compiler warns of every other use of it, and warnings are errors here.
 */
public final class Signals {

  private Signals() {
  }

  /**
   * Runs the handler at each signal of that name, on a thread of the JVM's own.
   *
   * @param name without the leading SIG, such as HUP
   * @return false where whoever started this process had the signal ignored: the JVM then never runs it
   */
  public static boolean handle(String name, Runnable handler) throws IOException {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> type = Class.forName("sun.misc.SignalHandler");
      Object handlerProxy = Proxy.newProxyInstance(Signals.class.getClassLoader(), new Class<?>[] {type},
          (proxy, method, arguments) -> {
            handler.run();
            return null;
          });
      Object previous = signal.getMethod("handle", signal, type)
          .invoke(null, signal.getConstructor(String.class).newInstance(name), handlerProxy);
      return previous != type.getField("SIG_IGN").get(null);
    } catch (ReflectiveOperationException e) {
      throw new IOException("cannot handle SIG" + name, e);
    }
  }
}
