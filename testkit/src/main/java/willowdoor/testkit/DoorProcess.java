package willowdoor.testkit;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import willowdoor.testkit.EventHistory.Entry;
import willowdoor.testkit.EventHistory.Kind;

/**
 * A door that is a child process of its own, with signals. Ended and killed with the run: every process that
 * was started here is known by its handle, and no other is touched.
 */
public final class DoorProcess implements Door {

  private static final double TICKS_PER_S = 100;
  /** Ended with this process, also where that is told to end: left behind they would ask others' backends. */
  private static final Set<DoorProcess> ALL = ConcurrentHashMap.newKeySet();

  static {
    Runtime.getRuntime().addShutdownHook(new Thread(() -> ALL.forEach(DoorProcess::close), "end-of-doors"));
  }

  private final String name;
  private final InetSocketAddress address;
  private final EventHistory eventHistory;
  private final Supplier<List<String>> command;
  private final Map<String, String> environment;
  private final File log;
  private Process process;
  /** A process that was replaced and has not ended yet. */
  private Process replacedProcess;
  private boolean killed;
  /** The process that a door's own process started in its place; 0 for none. */
  private long successorPid;

  /**
   * A door by the command that the supplier gives at each start (it may write a fresh configuration first).
   * What it prints goes to the end of the log.
   */
  public DoorProcess(String name, InetSocketAddress address, EventHistory eventHistory,
      Supplier<List<String>> command,
      Map<String, String> environment, File log) {
    this.name = name;
    this.address = address;
    this.eventHistory = eventHistory;
    this.command = command;
    this.environment = environment;
    this.log = log;
    ALL.add(this);
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public InetSocketAddress address() {
    return address;
  }

  @Override
  public synchronized void start() {
    if (isAlive()) {
      return;
    }
    successorPid = 0;
    process = launch(command.get());
    killed = false;
    eventHistory.addMachineEntry(Kind.STARTED, name, "");
    recordExit(process);
  }

  /** Starts a second process by the command, to take the address over from the one that runs. */
  public synchronized Process replace(List<String> takeOver) {
    replacedProcess = process;
    process = launch(takeOver);
    return process;
  }

  /** The process that was replaced last, or null. */
  public synchronized Process replacedProcess() {
    return replacedProcess;
  }

  /** The process that runs now, or ran last. */
  public synchronized Process process() {
    return process;
  }

  /** From here on the door is that process too, which its own process has started; 0 for no other. */
  synchronized void followSuccessor(long pid) {
    if (process == null || pid != process.pid()) {
      successorPid = pid;
    }
  }

  /** Whether there is such a process, and not only its name. */
  static boolean isRunning(long pid) {
    try {
      String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
      return stat.charAt(stat.lastIndexOf(')') + 2) != 'Z';
    } catch (IOException e) {
      return false;
    }
  }

  private boolean hasOwnProcess() {
    return process != null && process.isAlive();
  }

  private Process launch(List<String> commandLine) {
    try {
      ProcessBuilder builder = new ProcessBuilder(commandLine).redirectErrorStream(true)
          .redirectOutput(ProcessBuilder.Redirect.appendTo(log));
      builder.environment().putAll(environment);
      return builder.start();
    } catch (IOException e) {
      throw new UncheckedIOException(name + " could not be started by " + commandLine, e);
    }
  }

  private void recordExit(Process started) {
    started.onExit().thenAccept(p -> {
      synchronized (this) {
        if (!killed || p != process) {
          eventHistory.addMachineEntry(
              new Entry(eventHistory.now(), Kind.EXITED, name, "", p.exitValue(), ""));
        }
      }
    });
  }

  @Override
  public synchronized void kill() {
    if (isAlive()) {
      killed = true;
      eventHistory.addMachineEntry(Kind.KILLED, name, "");
      killProcesses();
    }
  }

  private void killProcesses() {
    // The older first, so that it can't start another.
    for (Process p : new Process[] {replacedProcess, process}) {
      if (p != null && p.isAlive()) {
        p.destroyForcibly();
        join(p, 10_000);
      }
    }
    if (isRunning(successorPid)) {
      ProcessHandle.of(successorPid).ifPresent(ProcessHandle::destroyForcibly);
      long until = System.nanoTime() + 10_000_000_000L;
      while (isRunning(successorPid) && System.nanoTime() < until) {
        Thread.onSpinWait();
      }
    }
  }

  @Override
  public synchronized void terminate() {
    if (isAlive()) {
      eventHistory.addMachineEntry(Kind.ENDING, name, "");
      process.destroy();
      if (isRunning(successorPid)) {
        ProcessHandle.of(successorPid).ifPresent(ProcessHandle::destroy);
      }
    }
  }

  /** Stops it (SIGSTOP) or has it go on (SIGCONT). */
  public synchronized void setSuspended(boolean on) {
    if (isAlive()) {
      if (on) {
        eventHistory.addMachineEntry(Kind.STOPPED, name, "");
      }
      signal(on ? "STOP" : "CONT");
      if (!on) {
        eventHistory.addMachineEntry(Kind.CONTINUED, name, "");
      }
    }
  }

  /** Sends a signal by its name. */
  public void signal(String signal) {
    try {
      for (long pid : new long[] {process.pid(), successorPid}) {
        if (isRunning(pid)) {
          new ProcessBuilder("kill", "-" + signal, Long.toString(pid)).inheritIO().start().waitFor();
        }
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public synchronized boolean isAlive() {
    return hasOwnProcess() || isRunning(successorPid);
  }

  /** Waits for the process to end; true when it has. */
  public static boolean join(Process process, long ms) {
    try {
      return process.waitFor(ms, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Resident memory in megabytes; 0 when it has no process. */
  public double residentMb() {
    try {
      return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
          .filter(l -> l.startsWith("VmRSS")).mapToDouble(l -> Double.parseDouble(l.split("\\s+")[1]) / 1024)
          .findFirst().orElse(0);
    } catch (IOException e) {
      return 0;
    }
  }

  /** CPU used so far in seconds; 0 when it has no process. */
  public double cpuSeconds() {
    try {
      String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
      String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
      return (Double.parseDouble(fields[11]) + Double.parseDouble(fields[12])) / TICKS_PER_S;
    } catch (IOException e) {
      return 0;
    }
  }

  /** Ends every process of it at once, without a word in the ledger: the run is over. */
  public synchronized void close() {
    killProcesses();
    ALL.remove(this);
  }
}
