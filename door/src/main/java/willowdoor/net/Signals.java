package willowdoor.net;

import java.io.IOException;
import java.lang.reflect.Proxy;

/**
 * Handles signals to this process. An unhandled SIGHUP would end the JVM; SIGTERM runs the JVM's shutdown
 * hooks once, and a second SIGTERM goes unnoticed. The JDK's only interface to signals is used by reflection,
 * as the compiler warns of every direct use, and warnings are errors in this build.
 */
public final class Signals {

  private Signals() {
  }

  /**
   * Runs the handler at each signal of that name, on a thread of the JVM.
   *
   * @param name the name without the leading SIG, such as HUP
   * @return false if this process was started with the signal ignored: the JVM then never runs the handler
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
