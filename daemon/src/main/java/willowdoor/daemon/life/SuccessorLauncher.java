package willowdoor.daemon.life;

import io.netty.channel.EventLoop;
import java.io.File;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.logging.Logger;
import willowdoor.life.InstanceLifecycle.Phase;

/**
 * Starts the successor processes of a release by the configured command, and reports failed attempts. The
 * decisions are made elsewhere: the stewards' record decides whether an attempt starts, and the successor
 * asks the record itself whether it may serve.
 *
 * <p>A successor that hangs before it takes over is killed after the time limit. The control socket serves
 * one successor at a time.
 */
final class SuccessorLauncher {

  /** Environment variable that passes the number of the attempt to the successor. */
  static final String ATTEMPT_VARIABLE = "WILLOWDOOR_ATTEMPT";

  private static final Logger LOG = Logger.getLogger(SuccessorLauncher.class.getName());
  private static final String VERSION_PLACEHOLDER = "{version}";
  private static final long PHASE_CHECK_INTERVAL_MS = 100;

  private final EventLoop loop;
  private final Instance instance;
  private final List<String> command;
  private final long readyLimitMs;
  private final LongConsumer onAttemptFailed;

  /**
   * Creates the launcher of an instance.
   *
   * @param command the words of the command, in which {version} is replaced by the version; empty if no
   *     successor may be started
   * @param onAttemptFailed called with the number of an attempt whose process could not be started, or has
   *     ended while this instance still serves
   */
  SuccessorLauncher(EventLoop loop, Instance instance, List<String> command, long readyLimitMs,
      LongConsumer onAttemptFailed) {
    this.loop = loop;
    this.instance = instance;
    this.command = List.copyOf(command);
    this.readyLimitMs = readyLimitMs;
    this.onAttemptFailed = onAttemptFailed;
  }

  /** Starts a successor on a separate thread, because starting a process would block the event loop. */
  void start(long attempt, String version) {
    Thread launcher = new Thread(() -> launch(attempt, version), "successor");
    launcher.setDaemon(true);
    launcher.start();
  }

  private void launch(long attempt, String version) {
    if (command.isEmpty()) {
      LOG.warning("attempt " + attempt + " requires version " + version
          + ", but agreement.successor is not set");
      onAttemptFailed.accept(attempt);
      return;
    }
    List<String> arguments = command.stream().map(x -> x.replace(VERSION_PLACEHOLDER, version)).toList();
    try {
      ProcessBuilder builder = new ProcessBuilder(arguments).redirectInput(new File("/dev/null"))
          .redirectOutput(ProcessBuilder.Redirect.INHERIT).redirectError(ProcessBuilder.Redirect.INHERIT);
      builder.environment().put(ATTEMPT_VARIABLE, Long.toString(attempt));
      Process process = builder.start();
      LOG.info("attempt " + attempt + ": process " + process.pid() + " was started to take over with version "
          + version);
      process.onExit().thenRun(() -> loop.execute(() -> processEnded(attempt, process)));
      loop.schedule(() -> killIfNotReady(process), readyLimitMs, TimeUnit.MILLISECONDS);
    } catch (IOException e) {
      LOG.warning("attempt " + attempt + ": " + e.getMessage());
      onAttemptFailed.accept(attempt);
    }
  }

  private boolean isServing() {
    return instance.phase() == Phase.READY || instance.phase() == Phase.OUT;
  }

  /**
   * Reports the attempt as failed only while this instance serves. If the successor died just after it took
   * over, this instance is still draining and may serve again soon, so the check is repeated.
   */
  private void processEnded(long attempt, Process process) {
    if (isServing()) {
      LOG.warning("attempt " + attempt + ": process " + process.pid() + " ended with " + process.exitValue()
          + "; this instance continues to serve");
      onAttemptFailed.accept(attempt);
    } else if (instance.phase() == Phase.DRAINING) {
      loop.schedule(() -> processEnded(attempt, process), PHASE_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void killIfNotReady(Process process) {
    if (isServing() && process.isAlive()) {
      LOG.warning("process " + process.pid() + " has not taken over within " + readyLimitMs
          + " ms and is killed");
      process.destroyForcibly();
    }
  }
}
