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
 * A door that runs as a child process and can be sent signals. Only processes started here, or by a door
 * itself and tracked here, are ever signalled, and all of them end with the run.
 */
public final class DoorProcess implements Door {

  private static final double TICKS_PER_S = 100;
  /**
   * Doors whose processes end with this JVM, also when it is terminated by a signal: left behind, they would
   * send requests to backends of other runs.
   */
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
  /** A process that has been replaced and may still be running. */
  private Process replacedProcess;
  private boolean killed;
  /** Process id of a successor started by the door's own process; 0 for none. */
  private long successorPid;

  /**
   * A door that is started with the command that the supplier returns at each start (the supplier may write a
   * new configuration first). Output is appended to the log.
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

  /** Starts a second process that takes over the address from the running one. */
  public synchronized Process replace(List<String> takeOver) {
    replacedProcess = process;
    process = launch(takeOver);
    return process;
  }

  /** The process that was replaced last, or null. */
  public synchronized Process replacedProcess() {
    return replacedProcess;
  }

  /** The process that is running now, or ran last. */
  public synchronized Process process() {
    return process;
  }

  /** From now on the door also includes that process, which its own process has started. */
  synchronized void followSuccessor(long pid) {
    if (process == null || pid != process.pid()) {
      successorPid = pid;
    }
  }

  /** Returns true when a process with that id exists and is not a zombie. */
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
      throw new UncheckedIOException(name + " could not be started with command " + commandLine, e);
    }
  }

  private void recordExit(Process started) {
    started.onExit().thenAccept(p -> {
      synchronized (this) {
        if (!killed || p != process) {
          eventHistory.addMachineEntry(new Entry(eventHistory.now(), Kind.EXITED, name, "", p.exitValue(),
              ""));
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
    // The older process is killed first, so that it can't start another.
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

  /** Suspends (SIGSTOP) or continues (SIGCONT) the door. */
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

  /** Sends a signal, by name, to every running process of the door. */
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

  /** Waits for the process to end, for {@code ms} milliseconds at most; returns true when it has ended. */
  public static boolean join(Process process, long ms) {
    try {
      return process.waitFor(ms, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Resident memory in megabytes; 0 when there is no process. */
  public double residentMb() {
    try {
      return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
          .filter(l -> l.startsWith("VmRSS")).mapToDouble(l -> Double.parseDouble(l.split("\\s+")[1]) / 1024)
          .findFirst().orElse(0);
    } catch (IOException e) {
      return 0;
    }
  }

  /** CPU time used so far, in seconds; 0 when there is no process. */
  public double cpuSeconds() {
    try {
      String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
      String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
      return (Double.parseDouble(fields[11]) + Double.parseDouble(fields[12])) / TICKS_PER_S;
    } catch (IOException e) {
      return 0;
    }
  }

  /** Kills every process of the door without an entry in the event history, because the run is over. */
  public synchronized void close() {
    killProcesses();
    ALL.remove(this);
  }
}
