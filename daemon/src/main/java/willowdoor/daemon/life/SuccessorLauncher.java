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
 * Starts the processes that a release has take this one's place, by the configured command, and tells what
 * came to nothing. It chooses nothing: whether to begin was decided by the record, and whether the successor
 * may serve it asks the record itself.
 *
 * <p>Guards against a successor that hangs before it asks for the socket: after the limit it is killed. One
 * at a time.
 */
final class SuccessorLauncher {

  /** Names the attempt to the process that is started for it. */
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
   * For an instance.
   *
   * @param command words in which {version} stands for the version; none where nothing may be started
   * @param onAttemptFailed told the attempt whose process has ended while this instance serves on
   */
  SuccessorLauncher(EventLoop loop, Instance instance, List<String> command, long readyLimitMs,
      LongConsumer onAttemptFailed) {
    this.loop = loop;
    this.instance = instance;
    this.command = List.copyOf(command);
    this.readyLimitMs = readyLimitMs;
    this.onAttemptFailed = onAttemptFailed;
  }

  /** Starts one; on no loop of its own, as starting a process takes a while. */
  void start(long attempt, String version) {
    Thread launcher = new Thread(() -> launch(attempt, version), "successor");
    launcher.setDaemon(true);
    launcher.start();
  }

  private void launch(long attempt, String version) {
    if (command.isEmpty()) {
      LOG.warning("attempt " + attempt + " wants version " + version
          + ", and agreement.successor is not set");
      onAttemptFailed.accept(attempt);
      return;
    }
    List<String> arguments = command.stream().map(x -> x.replace(VERSION_PLACEHOLDER, version)).toList();
    try {
      ProcessBuilder builder = new ProcessBuilder(arguments).redirectInput(new File("/dev/null"))
          .redirectOutput(ProcessBuilder.Redirect.INHERIT).redirectError(ProcessBuilder.Redirect.INHERIT);
      builder.environment().put(ATTEMPT_VARIABLE, Long.toString(attempt));
      Process process = builder.start();
      LOG.info("attempt " + attempt + ": process " + process.pid() + " is to take over with version "
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

  /** Told only while this one serves: it may be about to, if its successor died just after it took over. */
  private void processEnded(long attempt, Process process) {
    if (isServing()) {
      LOG.warning("attempt " + attempt + ": process " + process.pid() + " ended with " + process.exitValue()
          + "; this one serves on");
      onAttemptFailed.accept(attempt);
    } else if (instance.phase() == Phase.DRAINING) {
      loop.schedule(() -> processEnded(attempt, process), PHASE_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void killIfNotReady(Process process) {
    if (isServing() && process.isAlive()) {
      LOG.warning("process " + process.pid() + " has not taken over within " + readyLimitMs
          + " ms, and is killed");
      process.destroyForcibly();
    }
  }
}
